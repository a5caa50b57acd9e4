package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/jobs/crashloop"
	"github.com/chivetiller/chivetiller/internal/workers/avoidance"
)

// maxProtectedWait is how long a task of a step with a disruption budget waits for a worker whose instance may still carry out a command
// without an answer.
const maxProtectedWait = 4 * time.Second

// idleFor returns how long a task of a service has not run, as far as this leader knows.
func (c *Core) idleFor(s *step, index int) time.Duration {
	return c.now - max(s.tasks[index].idleSince, s.occurrence.dueAt)
}

// appendIdle appends the indexes of the tasks that are neither done nor running. Those of a service that have not run for longest come first,
// since there may be fewer workers than tasks for some time.
func (s *step) appendIdle(idle []int) []int {
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.done && len(t.runs) == 0 {
			idle = append(idle, i)
		}
	}
	if s.doc.Service {
		slices.SortStableFunc(idle, func(a, b int) int { return cmp.Compare(s.tasks[a].idleSince, s.tasks[b].idleSince) })
	}
	return idle
}

// avoidanceOf returns what is known against starting a task of a step on a worker.
func (c *Core) avoidanceOf(s *step, ws *workerState, idle time.Duration) avoidance.Worker {
	w := avoidance.Worker{QuarantinedUntil: ws.health.QuarantinedUntil(), FailedAt: ws.health.FailedAt()}
	if ws.cordoned {
		inst, listed := c.fleet.instances[ws.instance]
		// A command without an answer would end the run of a task that may not be disrupted now, but may never be carried out.
		protected := s.doc.MaxDisruptions > 0 && idle < maxProtectedWait
		w.Leaving = c.fleet.commandInFlight[ws.instance] || listed && inst.State != instance.Up || protected && c.now < ws.mayLeaveUntil
	}
	return w
}

// placeOverdue returns a worker for a task of a service for which no other worker has room, among those that are avoided. If there is none, it
// keeps room for the task and returns nil.
func (c *Core) placeOverdue(s *step, index int, workers *placement) *workerState {
	if avoidance.Overdue(c.idleFor(s, index)) && c.otherInstancesMayHelp(s) {
		c.pool(s.job.doc.Pool).overdueAt = c.now
	}
	if ws := c.chooseAvoidedWorker(s, index); ws != nil {
		c.logger.Info("Task of a service starts on a worker that is avoided.", "job", s.job.doc.ID, "task", (&run{step: s, index: index}).name(), "worker", ws.report.ID,
			"idle", c.idleFor(s, index), "state", c.workerStateName(ws), "reservations", len(ws.reservations))
		return ws
	}
	c.reserveRoom(s, workers)
	return nil
}

// chooseAvoidedWorker returns a worker for a task of a service that has waited for long, among those that are avoided, and nil if there is
// none. Room that is kept for other services counts as free once the task has waited for as long as a reservation lasts.
func (c *Core) chooseAvoidedWorker(s *step, index int) *workerState {
	idle := c.idleFor(s, index)
	p, crashes := c.pool(s.job.doc.Pool), s.crashCount(index)
	if !avoidance.Overdue(idle) || crashes.Likely() && p.likelyLeft(crashloop.LikelyShare) <= 0 {
		return nil
	}
	var best *workerState
	var bestCost float64
	charge := s.doc.ReservedResources()
	for _, ws := range p.workers {
		switch {
		case !ws.isAvoided(c.now) || !charge.Fits(ws.freeCapacity()) || !c.takesOverdue(s, ws, idle) || !c.eligible(s, ws):
			continue
		case idle < reservationLimit && !ws.leavesReserved(s, 1):
			continue
		case crashes.Suspect() && ws.tests > 0, len(s.crashSites) > 0 && c.mayCrashByItself(s, index, ws):
			continue
		}
		if cost := c.placementCost(s, index, ws, charge); best == nil || cost < bestCost {
			best, bestCost = ws, cost
		}
	}
	return best
}

// isAvoided reports whether a worker is avoided, or has room that is kept free.
func (ws *workerState) isAvoided(now time.Duration) bool {
	return ws.cordoned || ws.health.Quarantined(now) || len(ws.reservations) > 0
}

// takesOverdue reports whether a task of a step that has been idle for a time may start on a worker that is avoided.
func (c *Core) takesOverdue(s *step, ws *workerState, idle time.Duration) bool {
	return c.mayStartOn(ws) && c.avoidanceOf(s, ws, idle).TakesOverdue(c.now, idle)
}

// placeOverdueGang returns a worker for each task of a gang that lasts and has waited for long, and nil if they do not fit. Workers that are
// avoided come last.
func (c *Core) placeOverdueGang(s *step, usable []*workerState) []*workerState {
	idle := c.idleFor(s, 0)
	if !avoidance.Overdue(idle) {
		return nil
	}
	p := c.pool(s.job.doc.Pool)
	if c.otherInstancesMayHelp(s) {
		p.overdueAt = c.now
	}
	workers := slices.Clone(usable)
	for _, ws := range p.workers {
		if ws.isAvoided(c.now) && !slices.Contains(usable, ws) && c.takesOverdue(s, ws, idle) && (ws.tests == 0 || !s.crashCount(0).Suspect()) {
			workers = append(workers, ws)
		}
	}
	return c.chooseGang(s, workers)
}

// otherInstancesMayHelp reports whether a task of a step might run on a worker of its pool that takes no tasks at present.
func (c *Core) otherInstancesMayHelp(s *step) bool {
	for _, ws := range c.pool(s.job.doc.Pool).workers {
		if !c.acceptsTasks(ws) && ws.report.HasLabel(s.doc.RequiredLabel) && s.doc.ReservedResources().Fits(ws.report.Capacity) {
			return true
		}
	}
	return false
}
