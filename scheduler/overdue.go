package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/workers/avoidance"
)

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
func (c *Core) avoidanceOf(s *step, ws *workerState) avoidance.Worker {
	w := avoidance.Worker{QuarantinedUntil: ws.health.quarantinedUntil, FailedAt: ws.health.failedAt}
	if ws.cordoned {
		inst, listed := c.fleet.instances[ws.instance]
		// A command without an answer would end the run of a task that may not be disrupted now. Others run until then.
		w.Leaving = c.fleet.commandInFlight[ws.instance] || listed && inst.State != instance.Up || s.doc.MaxDisruptions > 0 && c.now < ws.mayLeaveUntil
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
// none. Room that is kept for other services counts as free.
func (c *Core) chooseAvoidedWorker(s *step, index int) *workerState {
	var best *workerState
	var bestCost float64
	charge := s.doc.ReservedResources()
	for _, ws := range c.workersForOverdue(s, index) {
		if !charge.Fits(ws.freeCapacity()) || !c.eligible(s, ws) || len(s.crashSites) > 0 && c.mayCrashByItself(s, index, ws) {
			continue
		}
		if cost := c.placementCost(s, index, ws, charge); best == nil || cost < bestCost {
			best, bestCost = ws, cost
		}
	}
	return best
}

// workersForOverdue returns the workers on which a task of a service may start that has waited for long, those that are avoided among them.
func (c *Core) workersForOverdue(s *step, index int) []*workerState {
	idle := c.idleFor(s, index)
	if !avoidance.Overdue(idle) {
		return nil
	}
	p := c.pool(s.job.doc.Pool)
	crashes := s.crashCount(index)
	if crashes.Likely() && p.likelyLeft(overdueLikelyShare) <= 0 {
		return nil
	}
	var workers []*workerState
	for _, ws := range p.workers {
		if c.mayStartOn(ws) && c.avoidanceOf(s, ws).TakesOverdue(c.now, idle) && !(crashes.Suspect() && ws.tests > 0) {
			workers = append(workers, ws)
		}
	}
	return workers
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
