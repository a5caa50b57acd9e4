package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/internal/jobs/order"
	"github.com/chivetiller/chivetiller/internal/jobs/remainingwork"
	"github.com/chivetiller/chivetiller/internal/jobs/runtimes"
	"github.com/chivetiller/chivetiller/internal/jobs/waiting"
	"github.com/chivetiller/chivetiller/internal/jobs/whereabouts"
	"github.com/chivetiller/chivetiller/work"
)

// maxRoomChecks limits the workers of which it is computed when they have room. That of all would take as long as several passes.
const maxRoomChecks = 256

// Where tells where a job would go now.
func (e *Engine) Where(ctx context.Context, q whereabouts.Question) (a whereabouts.Answer, err error) {
	report, age, _ := e.LoadReport(q.Queue)
	var unknown error
	err = e.query(ctx, func(c *Core) { a, unknown = c.where(q.Job(), report, age) })
	return a, cmp.Or(err, unknown)
}

// where tells where a job would go now, by the decisions of a pass. It changes nothing, not even what is computed once and kept.
func (c *Core) where(doc work.Job, report admission.Report, age time.Duration) (a whereabouts.Answer, err error) {
	q, known := c.catalog.Queue(doc.Queue)
	if !known {
		return a, whereabouts.ErrUnknownQueue
	}
	doc.Pool = q.Pool
	p := c.pools[q.Pool]
	if p == nil {
		p = &pool{name: q.Pool}
	}
	a = whereabouts.NewAnswer(q.Pool, admission.Decide(report, age, q, &doc))
	j := newJob(doc, work.NewProgress(), c.now)
	o := newOccurrence(j, 0, c.now)
	j.open[0], o.learnsPath = o, c.options.Features.LearnedRunTimes
	var levels func(string, bool) int
	if c.sharesTeams() {
		levels = p.shares.Level
		j.beyondRate = !j.service && slices.Contains(c.shares.rates.Exhausted(c.now, c.catalog.Weight), doc.Team)
		a.SetShare(j.beyondRate, &p.shares, doc.Team)
	}
	s, usable, e := o.steps[0], c.usableWorkers(p), c.learned.Preview(o.steps[0].class())
	o.remaining.Set([]remainingwork.Step{{TasksLeft: s.tasksLeft, CPU: s.doc.Request.CPU, Typical: e.Median()}}, c.now+1)
	candidates := c.heldCandidates(append(slices.Clone(p.jobs), j))
	ahead := order.Ahead(candidates, (*candidate).key, (*candidate).team, levels, func(cand *candidate) bool { return cand.job == j })
	a.Ahead, a.Waiting = ahead.Jobs, len(candidates)-1
	chosen := c.chooseFirst(s, usable)
	for _, ws := range p.workers {
		a.AddWorker(c.suitability(s, ws, chosen), ws == chosen)
	}
	var room time.Duration
	if chosen == nil {
		if a.Wait = waiting.ForWorker; len(p.workers) > 0 {
			a.Wait = c.waitReason(s, 0)
		}
		if chosen, room = c.nextRoom(s, usable); chosen == nil || a.WaitsForOthers(s.doc.Gang) {
			return a, nil
		}
	}
	far := s.doc.DataRack != "" && s.doc.DataRack != chosen.report.Rack()
	a.SetTimes(e, c.learned.Delay(doc.Queue, 1+chosen.slowness, far), room, ahead.CoreSeconds, j.service)
	return a, nil
}

// chooseFirst returns the worker on which the first task of a new step would start, and nil if it would wait.
func (c *Core) chooseFirst(s *step, usable []*workerState) *workerState {
	switch {
	case !c.withinTeamLimit(s, 1), c.queueOf(s.job).Policy != nil:
	case !s.doc.Gang:
		return c.chooseWorker(s, 0, usable)
	case c.withinTeamLimit(s, int64(s.tasksLeft)):
		if chosen := c.chooseGang(s, usable); chosen != nil {
			return chosen[0]
		}
	}
	return nil
}

// heldCandidates returns the candidates of jobs in the order in which they are tried, by the remaining work that the last pass knew.
func (c *Core) heldCandidates(jobs []*job) []candidate {
	all := make([]candidate, 0, len(jobs))
	for _, j := range jobs {
		for _, o := range j.open {
			held := *o
			held.remaining = o.remaining.Held()
			if cand, ok := c.candidate(j, &held, c.queueOf(j)); ok {
				all = append(all, cand)
			}
		}
	}
	slices.SortFunc(all, candidate.compare)
	return all
}

// suitability returns what speaks for and against a worker for the first task of a step.
func (c *Core) suitability(s *step, ws, chosen *workerState) whereabouts.Worker {
	return whereabouts.Worker{
		ID: ws.report.ID, Rack: ws.report.Rack(), DataRack: s.doc.DataRack, State: c.workerStateName(ws), Silent: c.silent(ws), Cores: float64(ws.report.Capacity.CPU) / 1000,
		Accepts: c.acceptsTasks(ws) && (!s.doc.Service || !c.late(ws)), Labelled: ws.report.HasLabel(s.doc.RequiredLabel), Eligible: c.eligible(s, ws),
		Fits: s.doc.ReservedResources().Fits(ws.freeCapacity()), LeavesReserved: ws.leavesReserved(s, 1), Slower: chosen != nil && ws.slowness > chosen.slowness,
	}
}

// nextRoom returns the worker that is expected to have room for a task first, and how long that takes. Of many workers only some are regarded.
func (c *Core) nextRoom(s *step, usable []*workerState) (best *workerState, left time.Duration) {
	expect := func(of *step) runtimes.Expectation { return c.learned.Preview(of.class()) }
	for i := 0; i < len(usable); i += 1 + len(usable)/maxRoomChecks {
		if wait, ok := c.timeToRoom(s, usable[i], expect); ok && c.eligible(s, usable[i]) && (best == nil || wait < left) {
			best, left = usable[i], wait
		}
	}
	return best, left
}
