package scheduler

import (
	"slices"

	"github.com/chivetiller/chivetiller/internal/jobs/crashloop"
	"github.com/chivetiller/chivetiller/internal/jobs/order"
)

// addTest records a planned run of a task under which a worker has crashed before.
func (c *Core) addTest(r *run) {
	r.worker.tests++
	r.worker.testsLikely = r.worker.testsLikely || r.likely()
	p := c.pool(r.worker.report.Pool)
	p.tests = append(p.tests, r)
}

// endTests ends the tests of suspects whose worker has survived their start, and of runs that have ended. It requests a report from a
// worker if that would end a test.
func (c *Core) endTests(p *pool) {
	tests := p.tests
	p.tests = p.tests[:0]
	for _, r := range tests {
		r.worker.tests, r.worker.testsLikely = 0, false
	}
	for _, r := range tests {
		if !r.attached() || r.start().Proven() {
			continue
		}
		c.addTest(r)
		if r.confirmedAt > 0 && crashloop.MayProve(c.now-r.confirmedAt) {
			c.pollWorker(r.worker)
		}
	}
	clear(tests[len(p.tests):])
}

// placement holds the workers on which a pass may start tasks of a pool.
type placement struct {
	workers []*workerState
	// forSuspects holds the workers that test fewer suspects than groupSize, and likelyLeft is how many tasks may start that are likely
	// to crash their workers. They are set for the first suspect of the pass.
	forSuspects []*workerState
	groupSize   int
	likelyLeft  int
	filtered    bool
	// overdue means that a task which is likely to crash its worker has waited for long.
	overdue bool
	// spare means that the workers are those that other tasks have left over. While others wait, only idle ones may crash.
	spare    bool
	idleOnly bool
}

// workersFor returns the workers on which a task may be started. A task under which a worker has crashed before gets one that tests few
// others, so that the next crash tells them apart. One that is likely the cause gets a worker that tests no other, and that runs nothing
// if there is such a worker in time.
func (c *Core) workersFor(p *placement, s *step, index int) []*workerState {
	crashes := s.crashCount(index)
	if !crashes.Suspect() {
		return p.workers
	}
	if !p.filtered {
		c.filterForSuspects(p, c.pool(s.job.doc.Pool))
	}
	if !crashes.Likely() {
		return p.forSuspects
	}
	t := &s.tasks[index]
	if t.emptyWorkerSince == 0 {
		t.emptyWorkerSince = c.now
	}
	waitedFor := c.now - t.emptyWorkerSince
	p.overdue = p.overdue || waitedFor >= crashloop.OverdueLikelyWait
	if p.likelyLeft <= 0 {
		return nil
	}
	waited := waitedFor >= crashloop.EmptyWorkerWait
	var alone []*workerState
	for _, ws := range p.forSuspects {
		switch {
		case ws.tests > 0:
		case len(ws.runs) == 0, waited && !p.spare, waited && !p.idleOnly && !ws.hasUnprovenStart():
			alone = append(alone, ws)
		}
	}
	return alone
}

func (c *Core) filterForSuspects(p *placement, in *pool) {
	p.filtered = true
	p.groupSize = crashloop.GroupSize(in.waitingSuspects(), len(p.workers))
	for _, ws := range p.workers {
		if ws.tests < p.groupSize && !ws.testsLikely {
			p.forSuspects = append(p.forSuspects, ws)
		}
	}
	p.likelyLeft = in.likelyLeft(crashloop.LikelyShare)
}

// likelyLeft returns how many tasks may start that are likely to crash their workers, for the share of the workers that may be down.
// Those of the stored roster that neither are listed nor have answered are gone.
func (p *pool) likelyLeft(share float64) int {
	inUse := 0
	for _, ws := range p.workers {
		if ws.listed || ws.answered {
			inUse++
		}
	}
	left := max(1, int(share*float64(inUse)))
	for _, r := range p.tests {
		if r.likely() {
			left--
		}
	}
	return left
}

// placeOnSpareWorkers starts tasks that are likely to crash their workers on those that other tasks have left over in a pass. While others
// wait, these are the workers that run nothing.
func (c *Core) placeOnSpareWorkers(p *pool, candidates []candidate, workers *placement, othersWait bool) {
	if !workers.filtered {
		return
	}
	share := crashloop.SpareLikelyShare
	if workers.overdue {
		share = crashloop.OverdueLikelyShare
	}
	workers.spare, workers.idleOnly, workers.likelyLeft = true, othersWait, p.likelyLeft(share)
	for _, cand := range candidates {
		if cand.Tier() == order.LikelyCause && workers.likelyLeft > 0 {
			c.placeOccurrence(cand, workers)
		}
	}
}

// waitingSuspects returns the number of tasks that wait and under which a worker has crashed before.
func (p *pool) waitingSuspects() int {
	n := 0
	for _, j := range p.jobs {
		for _, o := range j.open {
			for _, s := range o.steps {
				if s.idleTasks > 0 {
					n += min(s.idleTasks, s.suspects())
				}
			}
		}
	}
	return n
}

// recordStart records that a task was placed on a worker in this pass.
func (p *placement) recordStart(s *step, index int, ws *workerState) {
	crashes := s.crashCount(index)
	if !crashes.Suspect() {
		return
	}
	if crashes.Likely() {
		p.likelyLeft--
	}
	if ws.tests < p.groupSize && !ws.testsLikely {
		return
	}
	if i := slices.Index(p.forSuspects, ws); i >= 0 {
		p.forSuspects = slices.Delete(p.forSuspects, i, i+1)
	}
}
