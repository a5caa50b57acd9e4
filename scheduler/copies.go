package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/copies"
	"github.com/chivetiller/chivetiller/internal/jobs/order"
)

// lateRun is a run of which a copy may be started.
type lateRun struct {
	*run
	tier order.Tier
	ran  time.Duration
}

// placeCopies starts copies of late runs in a pool in which no task waits for room.
func (c *Core) placeCopies(p *pool, usable []*workerState) {
	if c.now-p.copiesCheckedAt < replanInterval {
		return
	}
	p.copiesCheckedAt = c.now
	late, used := c.lateRuns(p)
	if len(late) == 0 {
		return
	}
	slices.SortStableFunc(late, func(a, b lateRun) int { return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.ran, a.ran)) })
	var capacity int64
	for _, ws := range usable {
		capacity += ws.report.Capacity.CPU
	}
	budget := copies.NewBudget(capacity, used)
	for _, r := range late {
		ws := c.chooseForCopy(r.run, usable)
		switch {
		case ws == nil || !c.withinTeamLimit(r.step, 1):
			c.countDecision("copies", "noRoom")
		case !budget.Take(r.step.doc.Request.CPU):
			c.countDecision("copies", "overBudget")
		default:
			c.planCopy(r, ws)
		}
	}
}

// lateRuns returns the runs of a pool that are late and may have a copy, and the processors that copies use.
func (c *Core) lateRuns(p *pool) (late []lateRun, used int64) {
	for _, j := range p.jobs {
		for _, o := range j.open {
			for _, s := range o.steps {
				if s.copies == nil || s.tasksLeft == 0 || s.idleTasks == len(s.tasks) {
					continue
				}
				tier, known := order.Expired, false
				for i := range s.tasks {
					t := &s.tasks[i]
					if n := len(t.runs); n > 1 || t.done && n > 0 {
						used += s.doc.Request.CPU
					}
					if t.done || len(t.runs) != 1 || !c.isLate(t.runs[0]) {
						continue
					}
					if !known {
						tier, _ = c.tierOf(j, o, c.queueOf(j))
						known = true
					}
					if tier != order.Expired && c.now >= j.notStoredBefore && !c.blocked(s) {
						late = append(late, lateRun{t.runs[0], tier, c.now - t.runs[0].confirmedAt})
					}
				}
			}
		}
	}
	return late, used
}

// isLate reports whether a run should have a copy.
func (c *Core) isLate(r *run) bool {
	s, ws := r.step, r.worker
	if r.phase != running || r.confirmedAt == 0 || s.crashCount(r.index).Suspect() {
		return false
	}
	known := copies.Run{
		Ran: c.now - r.confirmedAt, Troubled: ws.doubtedAt > 0 || ws.health.Quarantined(c.now) || c.silent(ws),
		Failures: s.failures(r.index), Attempts: c.queueOf(s.job).Attempts,
	}
	return s.copies.Wants(r.index, known, c.learned.ExpectByFinished(s.class(), &s.finished, c.now))
}

// chooseForCopy returns a worker for a copy of a run, in another rack if there is one, and nil if there is none.
func (c *Core) chooseForCopy(r *run, usable []*workerState) *workerState {
	var others, sameRack []*workerState
	for _, ws := range usable {
		switch {
		case ws == r.worker || ws.doubtedAt > 0 || c.late(ws):
		case ws.report.Rack() == r.worker.report.Rack():
			sameRack = append(sameRack, ws)
		default:
			others = append(others, ws)
		}
	}
	if ws := c.chooseWorker(r.step, r.index, others); ws != nil {
		return ws
	}
	return c.chooseWorker(r.step, r.index, sameRack)
}

// planCopy plans a copy of a run. Both are recorded, since the next leader has to know where the task may be running.
func (c *Core) planCopy(r lateRun, ws *workerState) {
	s := r.step
	c.planRun(s, r.index, c.nextRunNumber(&s.tasks[r.index]), ws)
	c.plannedRuns[len(c.plannedRuns)-1].copied = true
	s.occurrence.progress.SetFirstRun(s.number, r.index, r.worker.report.ID, r.number)
	s.copies.Started(r.index)
	c.countDecision("copies", "started")
	e := c.learned.ExpectByFinished(s.class(), &s.finished, c.now)
	c.logger.Info("Copy of a late run is planned.", "job", s.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID, "copyOn", ws.report.ID,
		"ran", r.ran, "expected", e.Median(), "runs", e.Runs(), "tier", r.tier)
}

// recordOvertaken records for copies that a run is done, and on which worker another run of the task was overtaken.
func (c *Core) recordOvertaken(r *run) {
	s := r.step
	if s.copies == nil {
		return
	}
	if r.confirmedAt > 0 {
		s.copies.Done(c.now - r.confirmedAt)
	}
	others := s.tasks[r.index].runs
	switch {
	case len(others) == 0:
	case r.copied:
		c.countDecision("copies", "won")
		for _, other := range others {
			other.worker.overtakenAt = c.now
		}
	default:
		c.countDecision("copies", "lost")
	}
}
