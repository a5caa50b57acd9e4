package scheduler

import (
	"slices"

	"github.com/chivetiller/chivetiller/internal/datacentres/evacuation"
	"github.com/chivetiller/chivetiller/internal/jobs/waiting"
)

// SetEvacuations sets the evacuated data centres. What was planned there and is not sent yet is taken back.
func (c *Core) SetEvacuations(set evacuation.Set) {
	begun, ended := set.Without(c.evacuations), c.evacuations.Without(set)
	c.evacuations = set
	if len(begun)+len(ended) == 0 {
		return
	}
	for _, p := range c.pools {
		p.needsPlanning = true
	}
	c.logger.Info("Evacuated data centres have changed.", "begun", begun, "ended", ended, "evacuated", set.Names(), "plansDropped", c.dropEvacuatedPlans(),
		"startsWithdrawn", c.withdrawStarts(), "movesWithdrawn", c.withdrawMoves(), "runs", c.evacuationRuns())
}

// evacuated reports whether a worker is in an evacuated data centre.
func (c *Core) evacuated(ws *workerState) bool { return c.evacuations.Contains(ws.report.DataCentre) }

// dropEvacuatedPlans drops the runs that are planned in evacuated data centres, and returns their number.
func (c *Core) dropEvacuatedPlans() (dropped int) {
	for _, ws := range c.workers {
		if !c.evacuated(ws) {
			continue
		}
		for _, r := range runsOn(ws) {
			if r.phase == planned && r.attached() {
				c.dropPlan(r)
				c.stopGang(r)
				dropped++
			}
		}
	}
	return dropped
}

// withdrawStarts withdraws the starts in evacuated data centres that are not sent, and returns their number. They may wait for long: nothing
// is sent while the leadership is not confirmed.
func (c *Core) withdrawStarts() int {
	var withdrawn []*run
	c.commands = slices.DeleteFunc(c.commands, func(cmd Command) bool {
		if cmd.Kind != CommandStart || !c.evacuated(cmd.run.worker) {
			return false
		}
		withdrawn = append(withdrawn, cmd.run)
		return true
	})
	for _, r := range withdrawn {
		switch {
		case !r.attached() || r.phase != starting:
		case r.unanswered > 0:
			c.repeatStart(r)
		default:
			c.dropPlan(r)
			c.stopGang(r)
		}
	}
	return len(withdrawn)
}

// withdrawMoves withdraws the moves of instances of evacuated data centres into pools that are not sent, and returns their number.
func (c *Core) withdrawMoves() (withdrawn int) {
	for _, cmd := range slices.Clone(c.fleet.plannedCommands) {
		if cmd.Wave == 0 && cmd.Pool != c.sparePool() && c.evacuations.Contains(c.fleet.instances[cmd.Instance].DataCentre) {
			c.withdrawCommand(cmd, c.now)
			withdrawn++
		}
	}
	return withdrawn
}

// evacuationRuns returns the number of runs that are left in each evacuated data centre.
func (c *Core) evacuationRuns() map[string]int {
	runs := make(map[string]int)
	for _, name := range c.evacuations.Names() {
		runs[name] = 0
	}
	for _, ws := range c.workers {
		if c.evacuated(ws) {
			runs[ws.report.DataCentre] += len(ws.runs)
		}
	}
	return runs
}

// moveOut stops the runs in evacuated data centres that can go on elsewhere, each when a worker has room for it and the disruption budget
// of its step allows. Only pools that this pass has planned are looked at: tasks that wait there have taken the room that they can use.
func (c *Core) moveOut() {
	if c.evacuations.Len() == 0 {
		return
	}
	usable := make(map[*pool][]*workerState)
	gangs := make(map[*step]bool)
	decisions := make(map[string]int)
	for _, ws := range c.workers {
		if !c.evacuated(ws) || ws.report.Draining || c.pool(ws.report.Pool).plannedAt != c.now {
			continue
		}
		for _, r := range runsOn(ws) {
			s := r.step
			if r.phase != running || gangs[s] {
				continue
			}
			gangs[s] = s.doc.Gang
			p := c.pool(s.job.doc.Pool)
			var places []*workerState
			hasRoom := func() bool {
				if usable[p] == nil {
					usable[p] = c.usableWorkers(p)
				}
				places = c.placesElsewhere(r, usable[p])
				return len(places) > 0
			}
			d := evacuation.Run{Lasting: s.doc.Service, Resumable: s.doc.Checkpoints}.Decide(hasRoom, func() bool { return c.mayStopUnit(r) })
			decisions[d.String()]++
			if d != evacuation.MoveOut {
				continue
			}
			c.countDecision("evacuation", d.String())
			for _, place := range places {
				p.reserve(s, place, c.now)
			}
			for _, member := range r.unit() {
				c.stopRun(member, "its data centre is evacuated")
			}
		}
	}
	if len(decisions) > 0 && c.now >= c.evacuationLoggedAt+waiting.LogAfter {
		c.evacuationLoggedAt = c.now
		c.logger.Info("Runs are left in evacuated data centres.", "runs", c.evacuationRuns(), "decisions", decisions)
	}
}

// unit returns the runs that are stopped together: those of a gang, or the run alone.
func (r *run) unit() []*run {
	if !r.step.doc.Gang {
		return []*run{r}
	}
	var members []*run
	for i := range r.step.tasks {
		members = append(members, r.step.tasks[i].runs...)
	}
	return members
}

// mayStopUnit reports whether stopping a run, with the other members of its gang, stays within the disruption budget of its step.
func (c *Core) mayStopUnit(r *run) bool {
	unit := r.unit()
	if !r.step.doc.Service || r.step.doc.MaxDisruptions == 0 {
		return true
	}
	return len(unit) <= r.step.doc.MaxDisruptions && !slices.ContainsFunc(unit, func(member *run) bool { return !c.mayDisrupt(member) })
}

// placesElsewhere returns workers with room for a run, or for all members of its gang, and none if they could not start there at once.
func (c *Core) placesElsewhere(r *run, usable []*workerState) []*workerState {
	s := r.step
	if c.blocked(s) || c.blockedTask(s, r.index) || c.pausedAfterCrash(s, r.index) || c.now < s.job.notStoredBefore || !c.withinTeamLimit(s, 0) || !c.storesBatches() {
		return nil
	}
	if s.doc.Gang {
		// The members elsewhere make room for others.
		for _, member := range r.unit() {
			if ws := member.worker; c.acceptsTasks(ws) {
				ws.used = ws.used.Minus(s.doc.ReservedResources())
				defer func() { ws.used = ws.used.Plus(s.doc.ReservedResources()) }()
			}
		}
	}
	var free []*workerState
	for _, ws := range usable {
		if s.doc.ReservedResources().Fits(ws.unreserved()) && (s.doc.MaxPerWorker == 0 || c.tasksOn(s, ws)+ws.reservedFor(s) < s.doc.MaxPerWorker) {
			free = append(free, ws)
		}
	}
	if s.doc.Gang {
		return c.chooseGang(s, free)
	}
	if ws := c.chooseWorker(s, r.index, free); ws != nil {
		return []*workerState{ws}
	}
	c.queryPolicy(s, true)
	return nil
}

// movingOut returns the number of tasks of a step that are stopped and start elsewhere, so that reserved room waits for them.
func (c *Core) movingOut(s *step) (n int) {
	if c.evacuations.Len() == 0 {
		return 0
	}
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.phase == stopping {
				n++
			}
		}
	}
	return n
}

// releaseEvacuated switches off empty instances of evacuated data centres whose pools have what they need elsewhere. They are not missed
// when the data centre is taken back.
func (c *Core) releaseEvacuated(spare string, demands []demand) {
	if c.evacuations.Len() == 0 || spare == "" || !c.batchJobSeen {
		return
	}
	served := make(map[string]demand)
	for _, d := range demands {
		if d.have >= d.need {
			served[d.pool] = d
		}
	}
	for id, inst := range c.fleet.instances {
		d, ok := served[inst.Pool]
		since := c.evacuations.Since(inst.DataCentre)
		if ok && since > 0 && c.now-since >= releaseDelay && len(c.fleet.pendingMoves) < c.maxMoves() && c.movable(id, inst) && c.reachable(inst) && c.isEmpty(inst) {
			c.countDecision("evacuation", "switchOff")
			c.startMove(id, spare, d)
		}
	}
}
