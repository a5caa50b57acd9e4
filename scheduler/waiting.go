package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/crashloop"
	"github.com/chivetiller/chivetiller/internal/jobs/waiting"
)

// waitCheckInterval is the time between two checks for tasks of services that do not run.
const waitCheckInterval = time.Second

// checkWaitingTasks counts the tasks of services that do not run, by reason, and logs those and the suspects of a crash that have not for
// long.
func (c *Core) checkWaitingTasks() {
	if c.now-c.waitingCheckedAt < waitCheckInterval {
		return
	}
	c.waitingCheckedAt = c.now
	clear(c.waitingTasks)
	clear(c.longestWaits)
	services := waiting.NewLog(c.waitingTasks, c.longestWaits)
	suspects := waiting.NewLog(make(map[waiting.Reason]int), make(map[waiting.Reason]time.Duration))
	for _, p := range c.pools {
		for _, j := range p.jobs {
			if j.progress.State.Ended() {
				continue
			}
			for _, o := range j.open {
				for _, s := range o.steps {
					switch {
					case !s.ready():
					case s.doc.Service:
						c.checkWaitingStep(p, s, services)
					case s.idleTasks > 0 && s.suspects() > 0:
						c.checkWaitingStep(p, s, suspects)
					}
				}
			}
		}
	}
	if services.Omitted() > 0 {
		c.logger.Warn("More tasks of services do not run.", "tasks", services.Omitted(), "reasons", services.Reasons())
	}
	if suspects.Omitted() > 0 {
		c.logger.Info("More suspects of crashes do not run.", "tasks", suspects.Omitted(), "reasons", suspects.Reasons())
	}
}

// checkWaitingStep checks the tasks of a service, or the suspects of another step.
func (c *Core) checkWaitingStep(p *pool, s *step, log *waiting.Log) {
	for i := range s.tasks {
		if !s.doc.Service && (s.tasks[i].done || !s.crashCount(i).Suspect()) || !c.checkWaitingTask(s, i, log) || !log.Admits() {
			continue
		}
		c.logWaitingTask(p, s, i)
	}
}

// checkUnstored records since when something waits to be stored.
func (c *Core) checkUnstored() {
	switch {
	case len(c.changedJobs) == 0 && len(c.plannedRuns) == 0 && !c.needsVersion():
		c.unstoredSince = 0
	case c.unstoredSince == 0:
		c.unstoredSince = c.now
	}
}

// checkWaitingTask counts a task if it does not run, and reports whether that is to be logged.
func (c *Core) checkWaitingTask(s *step, index int, log *waiting.Log) bool {
	wait := &s.waits().tasks[index]
	for _, r := range s.tasks[index].runs {
		if r.phase != planned {
			wait.End()
			return false
		}
	}
	wait.Begin(c.now)
	idleSince := wait.Since()
	if lastRan := s.tasks[index].idleSince; lastRan > 0 {
		idleSince = min(idleSince, lastRan)
	}
	log.Count(c.waitReason(s, index), c.now-idleSince)
	return wait.LogDue(c.now)
}

func (c *Core) logWaitingTask(p *pool, s *step, index int) {
	var largest int64
	usable := c.usableWorkers(p)
	for _, ws := range usable {
		largest = max(largest, ws.freeCapacity().CPU)
	}
	name := (&run{step: s, index: index}).name()
	waited := c.now - s.waits().tasks[index].Since()
	if !s.doc.Service {
		crashes := s.crashCount(index)
		c.logger.Info("Suspect of a crash does not run.", "job", s.job.doc.ID, "task", name, "pool", p.name, "for", waited,
			"reason", string(c.waitReason(s, index)), "crashes", crashes.All, "confirmed", crashes.Confirmed, "lateCrashes", crashes.Late, "silent", crashes.Silent,
			"cpu", s.doc.ReservedResources().CPU, "largestRoom", largest, "usable", len(usable), "workers", len(p.workers), "tests", len(p.tests))
		return
	}
	c.logger.Warn("Task of a service does not run.", "job", s.job.doc.ID, "task", name, "pool", p.name, "for", waited,
		"reason", string(c.waitReason(s, index)), "cpu", s.doc.ReservedResources().CPU, "largestRoom", largest, "usable", len(usable), "workers", len(p.workers),
		"states", c.workerStates(p), "lastStored", c.now-c.lastStored)
}

// workerStates counts the workers of a pool by state, for logs.
func (c *Core) workerStates(p *pool) map[string]int {
	states := make(map[string]int)
	for _, ws := range p.workers {
		states[c.workerStateName(ws)]++
	}
	return states
}

// waitReason returns why a task that is not done does not run.
func (c *Core) waitReason(s *step, index int) waiting.Reason {
	j, t := s.job, &s.tasks[index]
	switch {
	case len(t.runs) > 0:
		return waiting.ForBatch
	case c.blocked(s) || c.blockedTask(s, index):
		return waiting.ForPreviousLeader
	case c.now < j.notStoredBefore:
		return waiting.ForStorableJob
	case c.now < t.notBefore, s.doc.Gang && c.now < s.notBefore:
		return waiting.AfterRun
	}
	if q, ok := c.catalog.Queue(j.doc.Queue); ok && q.Policy != nil && !s.tickets.Valid(c.now) {
		return waiting.ForPolicy
	}
	if !c.withinTeamLimit(s, 1) {
		return waiting.ForTeamLimit
	}
	p := c.pool(j.doc.Pool)
	usable := c.usableWorkers(p)
	if len(usable) > 0 && c.pausedAfterCrash(s, index) {
		return waiting.AfterCrash
	}
	reason := waiting.ForEligibleWorker
	if len(usable) == 0 {
		reason = waiting.ForWorker
	}
	var fitting []*workerState
	for _, ws := range usable {
		switch {
		case !c.eligible(s, ws):
		case s.doc.ReservedResources().Fits(ws.freeCapacity()):
			fitting = append(fitting, ws)
		default:
			reason = waiting.ForRoom
		}
	}
	if len(fitting) == 0 {
		return c.avoidedWaitReason(p, s, reason)
	}
	return c.suspectWaitReason(s, index, fitting)
}

// avoidedWaitReason returns why a task does not run on workers that have room for it and are avoided, or a reason if there are none.
func (c *Core) avoidedWaitReason(p *pool, s *step, reason waiting.Reason) waiting.Reason {
	for _, ws := range p.workers {
		if !c.mayStartOn(ws) || !c.eligible(s, ws) || !s.doc.ReservedResources().Fits(ws.freeCapacity()) {
			continue
		}
		if ws.health.Quarantined(c.now) {
			return waiting.ForQuarantine
		}
		if ws.cordoned {
			reason = waiting.ForDrained
		}
	}
	return reason
}

// suspectWaitReason returns why a task does not run on workers that have room for it. Only a suspect of a crash waits for long.
func (c *Core) suspectWaitReason(s *step, index int, fitting []*workerState) waiting.Reason {
	fitting = slices.DeleteFunc(fitting, func(ws *workerState) bool { return c.mayCrashByItself(s, index, ws) })
	if len(fitting) == 0 {
		return waiting.ForSteadyWorkers
	}
	likely := s.likelyCause(index)
	if likely && c.pool(s.job.doc.Pool).likelyLeft(crashloop.LikelyShare) <= 0 {
		return waiting.ForLikelyCauses
	}
	if !s.crashCount(index).Suspect() {
		return waiting.ForPlacement
	}
	fitting = slices.DeleteFunc(fitting, func(ws *workerState) bool { return ws.tests > 0 })
	if len(fitting) == 0 {
		return waiting.ForTestsToEnd
	}
	if likely && !slices.ContainsFunc(fitting, func(ws *workerState) bool { return len(ws.runs) == 0 }) {
		return waiting.ForIdleWorker
	}
	return waiting.ForPlacement
}
