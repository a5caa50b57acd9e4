package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/order"
	"github.com/chivetiller/chivetiller/internal/jobs/preemption"
)

// roomTries is the number of tasks of a pass that may find no run to be stopped. The search reads all runs of the pool.
const roomTries = 4

type preemptible = preemption.Worker[*workerState, *run]

// makeRoom stops runs in a full pool for urgent jobs that are within their targets.
func (c *Core) makeRoom(p *pool, candidates []candidate, usable []*workerState) {
	if c.now-p.roomCheckedAt < replanInterval || p.preemptions.PoolLeft(c.now, len(p.workers)) <= 0 {
		return
	}
	p.roomCheckedAt = c.now
	rooms := c.preemptible(usable)
	tries := 0
	for _, cand := range candidates {
		if cand.Tier() != order.InTime {
			continue
		}
		for _, s := range cand.occurrence.steps {
			if s.idleTasks == 0 || s.doc.Gang || s.suspects() > 0 || !s.ready() || c.blocked(s) || slices.ContainsFunc(s.tasks, func(t task) bool { return c.now < t.notBefore }) {
				continue
			}
			waiting := s.idleTasks
			for _, ws := range p.reserved {
				waiting -= ws.reservedFor(s)
			}
			for n := s.idleTasks - waiting + 1; n <= s.idleTasks && c.withinTeamLimit(s, int64(n)); n++ {
				if tries == roomTries || len(rooms) == 0 || p.preemptions.PoolLeft(c.now, len(p.workers)) <= 0 {
					return
				}
				if chosen := c.preemptFor(p, cand, s, rooms); chosen >= 0 {
					rooms = slices.Delete(rooms, chosen, chosen+1)
					continue
				}
				tries++
				break
			}
		}
	}
}

// preemptFor stops runs on a worker so that it has room for one more task of a step, and keeps the room for the step. It returns the index of
// the worker, and -1 if there is none.
func (c *Core) preemptFor(p *pool, cand candidate, s *step, rooms []preemptible) int {
	left := cand.job.preemptions.JobLeft(c.now)
	chosen, stops, ok := preemption.Choose(s.doc.ReservedResources(), preemption.Urgency{Priority: cand.queue.Priority}, rooms, left,
		func(ws *workerState) bool { return c.eligible(s, ws) })
	if !ok {
		c.countDecision("preemption", "noRoom")
		return -1
	}
	ws := rooms[chosen].Worker
	p.reserve(s, ws, c.now)
	ws.reservations[len(ws.reservations)-1].until = c.now + preemption.KeepFor
	p.preemptions.Add(c.now, 1)
	cand.job.preemptions.Add(c.now, len(stops))
	for _, r := range stops {
		r.step.preempted.Record(r.index, c.now)
		c.countDecision("preemption", "stopped")
		c.logger.Info("Run makes room for a more urgent job.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", ws.report.ID,
			"urgentJob", cand.job.doc.ID, "step", s.number, "priority", cand.queue.Priority, "sinceSaved", c.now-max(r.savedAt, r.startedAt), "left", c.expectedLeft(r, c.expect), "stops", len(stops))
		c.stopRun(r, "its room is needed for a more urgent job")
	}
	return chosen
}

// preemptible returns the workers with runs that may be stopped for more urgent work. A worker on which room is kept already is not among them,
// so that the room goes to the task for which it was made.
func (c *Core) preemptible(usable []*workerState) []preemptible {
	var rooms []preemptible
	for _, ws := range usable {
		if len(ws.reservations) > 0 || ws.doubtedAt > 0 {
			continue
		}
		runs := make([]preemption.Run[*run], 0, len(ws.runs))
		for _, r := range ws.runs {
			s := r.step
			if r.phase != running || s.tasks[r.index].done || s.crashCount(r.index).Suspect() || !s.preempted.Allows(r.index, c.now) ||
				!preemption.MayStop(s.doc, c.expectedLeft(r, c.expect), c.usualLeft(r), c.options.Bounds.StopTimeout) {
				continue
			}
			q := c.queueOf(s.job)
			tier, _ := c.tierOf(s.job, s.occurrence, q)
			runs = append(runs, preemption.Run[*run]{
				Run: r, Urgency: preemption.Urgency{Priority: q.Priority, Expired: tier == order.Expired}, Size: s.doc.ReservedResources(), SinceSaved: c.now - max(r.savedAt, r.startedAt),
			})
		}
		if len(runs) > 0 {
			rooms = append(rooms, preemption.NewWorker(ws, ws.freeCapacity(), runs, func(a, b *run) int { return a.task().Compare(b.task()) }))
		}
	}
	return rooms
}

// usualLeft returns how long a run goes on until it has taken as long as usual on its worker, and a negative time after that.
func (c *Core) usualLeft(r *run) time.Duration {
	return time.Duration(float64(c.expect(r.step).Median())*c.delayOf(r)) - (c.now - r.startedAt)
}
