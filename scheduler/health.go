package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/crashloop"
	"github.com/chivetiller/chivetiller/work"
)

// health rates a worker by the exits of its runs.
type health struct {
	// failureRate is the recent share of failed exits.
	failureRate float64
	// failureStreak counts the failed exits in a row, and failedJobs the different jobs among them.
	failureStreak    int
	lastFailedJob    string
	failedJobs       int
	quarantinedUntil time.Duration
	// quarantines counts the quarantines in a row.
	quarantines int
}

const (
	// failureWeight is the weight of one exit in the failure rate. Four exits in a row decide.
	failureWeight = 0.3
	// failureLimit is the failure rate above which a worker is quarantined.
	failureLimit = 0.6
	// failureJobs is how many different jobs have to fail in a row. With fewer, the jobs may be at fault.
	failureJobs = 3
	// quarantineDuration is the first quarantine. It doubles up to maxQuarantine while the worker keeps failing.
	quarantineDuration = 2 * time.Second
	maxQuarantine      = 8 * time.Second
)

func (h *health) quarantined(now time.Duration) bool { return now < h.quarantinedUntil }

func (h *health) recordSuccess() {
	h.failureRate *= 1 - failureWeight
	h.failureStreak, h.failedJobs, h.quarantines, h.lastFailedJob = 0, 0, 0, ""
}

// recordFailure records a failed exit and reports whether it starts a quarantine.
func (h *health) recordFailure(now time.Duration, job string) bool {
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.failureStreak++
	if job != h.lastFailedJob {
		h.lastFailedJob = job
		h.failedJobs++
	}
	if h.failureRate < failureLimit || (h.failedJobs < failureJobs && h.quarantines == 0) || h.quarantined(now) {
		return false
	}
	h.quarantinedUntil = now + min(quarantineDuration<<h.quarantines, maxQuarantine)
	h.quarantines++
	return true
}

func (c *Core) recordSuccess(r *run) {
	r.worker.health.recordSuccess()
	if !r.step.doc.Service && r.confirmedAt > 0 {
		c.estimator.observe(r.step.job.doc.Queue, r.step.doc.Estimate, c.now-r.startedAt)
	}
}

func (c *Core) recordFailure(r *run) {
	ws := r.worker
	if r.step.failures(r.index) > 0 {
		// The task has failed on another worker before, so the job is more likely at fault.
		return
	}
	if ws.health.recordFailure(c.now, r.step.job.doc.ID) {
		c.logger.Warn("Worker is quarantined.", "worker", ws.report.ID, "failing", ws.health.failureRate, "streak", ws.health.failureStreak, "until", ws.health.quarantinedUntil-c.now)
	}
}

// runsAtCrash returns the runs that may have made a worker crash that has not answered since its last contact. With newLife it is known
// to have ended.
func (c *Core) runsAtCrash(ws *workerState, newLife bool) []*run {
	suspects := ws.expiredRuns
	var runs []*run
	var starts []crashloop.Start
	for _, r := range ws.runs {
		if r.phase != planned {
			runs = append(runs, r)
			starts = append(starts, r.start())
		}
	}
	for _, i := range crashloop.Suspects(starts) {
		suspects = append(suspects, runs[i])
	}
	for _, r := range c.previousRuns[ws.report.ID] {
		if newLife || r.step.crashCount(r.index).All > 0 {
			suspects = append(suspects, &run{step: r.step, index: r.index, number: r.number, worker: ws, startedAt: ws.lastContact, previousLeader: true})
		}
	}
	return suspects
}

// recordCrash records that a worker has crashed, unless it was about to leave. A task that keeps crashing workers is given up.
func (c *Core) recordCrash(ws *workerState, suspects []*run) {
	if ws.report.Draining {
		return
	}
	for _, r := range suspects {
		s, j := r.step, r.step.job
		if s.tasks[r.index].done || j.progress.State.Ended() {
			continue
		}
		c.counts.Crashed++
		late := r.start().Proven()
		switch {
		case !late:
			s.progress.AddCrash(s.unitIndex(r.index), r.number, r.confirmedAt > 0)
			s.addCrashAddress(r.index, ws.report.Address)
		case !s.doc.Service:
			s.addLateCrash(r)
		}
		crashes := s.crashCount(r.index)
		c.changedJobs[j] = true
		c.logger.Warn("Worker has crashed under a task.", "job", j.doc.ID, "task", r.name(), "run", r.number, "worker", ws.report.ID,
			"pool", ws.report.Pool, "ranBeforeContact", ws.lastContact-r.startedAt, "with", len(suspects), "crashes", crashes.All, "confirmed", crashes.Confirmed, "late", late, "lateCrashes", crashes.Late)
		if (r.previousLeader && crashes.GiveUpUnseen()) || (!r.previousLeader && crashes.GiveUp()) {
			c.logger.Warn("Job has failed.", "job", j.doc.ID, "task", r.name(), "crashes", crashes.All, "confirmed", crashes.Confirmed, "lateCrashes", crashes.Late)
			c.endJob(j, work.Failed, "workers crashed under a task")
		}
	}
}

func (r *run) start() crashloop.Start {
	return crashloop.Start{Sent: r.startedAt, Confirmed: r.confirmedAt > 0, Survived: r.worker.latestClock - r.confirmedClock}
}

// hasUnprovenStart reports whether the worker may still crash under a start. One more start would not tell the cause then.
func (ws *workerState) hasUnprovenStart() bool {
	for _, r := range ws.runs {
		if !r.start().Proven() {
			return true
		}
	}
	return false
}

// crashCount returns under how many runs of a task a worker has crashed.
func (s *step) crashCount(index int) crashloop.Count {
	if len(s.progress.Crashes) == 0 && len(s.progress.LateCrashes) == 0 {
		return crashloop.Count{}
	}
	unit := s.unitIndex(index)
	return crashloop.Count{All: len(s.progress.Crashes[unit]), Confirmed: s.progress.ConfirmedCrashes[unit], Late: s.progress.LateCrashes[unit]}
}

// forgetCrashes forgets the crashes under a task that has run long enough. A service meets many by chance.
func (c *Core) forgetCrashes(r *run) {
	unit, start := r.step.unitIndex(r.index), r.start()
	if r.step.doc.Gang {
		// Until then it may only have waited for a member that has crashed its worker.
		start.Survived -= c.options.Bounds.GangTimeout
	}
	if start.Exonerated() && r.step.progress.ForgetCrashes(unit) {
		delete(r.step.crashAddresses, unit)
		c.changedJobs[r.step.job] = true
	}
}

// addLateCrash records a crash of a worker that had survived the start of a run. A run of a gang counts once, however many of its members
// were on the worker, and however many of its workers crash together.
func (s *step) addLateCrash(r *run) {
	if s.doc.Gang {
		if r.number == s.lateGangRun {
			return
		}
		s.lateGangRun = r.number
	}
	s.progress.AddLateCrash(s.unitIndex(r.index))
}

// likelyCause reports whether a task has probably made workers crash.
func (s *step) likelyCause(index int) bool { return s.crashCount(index).Likely() }

func (s *step) addCrashAddress(index int, address string) {
	if s.crashAddresses == nil {
		s.crashAddresses = make(map[int][]string)
	}
	unit := s.unitIndex(index)
	if !slices.Contains(s.crashAddresses[unit], address) {
		s.crashAddresses[unit] = append(s.crashAddresses[unit], address)
	}
}

// crashedOn reports whether a worker has crashed under a task at the address of this one, which may be the cause.
func (s *step) crashedOn(index int, ws *workerState) bool {
	return slices.Contains(s.crashAddresses[s.unitIndex(index)], ws.report.Address)
}

// likelyCause reports whether an idle task of an occurrence has probably made workers crash.
func (o *occurrence) likelyCause() bool {
	for _, s := range o.steps {
		if len(s.progress.Crashes) == 0 || !s.ready() {
			continue
		}
		for i := range s.tasks {
			if t := &s.tasks[i]; !t.done && len(t.runs) == 0 && s.likelyCause(i) {
				return true
			}
		}
	}
	return false
}

// likely reports whether the task of a run has probably made workers crash.
func (r *run) likely() bool { return r.step.likelyCause(r.index) }

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

const (
	// likelyShare is the share of the workers of a pool that may be down because of tasks that are likely to crash them. spareLikelyShare
	// applies to workers that no other task can use. The rest is for tasks that come while these are down.
	likelyShare      = 0.25
	spareLikelyShare = 0.5
	// emptyWorkerWait is how long a task that is likely to crash its worker waits for one that runs nothing.
	emptyWorkerWait = 2 * time.Second
)

// placement holds the workers on which a pass may start tasks of a pool.
type placement struct {
	workers []*workerState
	// forSuspects holds the workers that test fewer suspects than groupSize, and likelyLeft is how many tasks may start that are likely
	// to crash their workers. They are set for the first suspect of the pass.
	forSuspects []*workerState
	groupSize   int
	likelyLeft  int
	filtered    bool
	// spare means that the workers are those that other tasks have left over. While others wait, only idle ones may crash.
	spare    bool
	idleOnly bool
}

// workersFor returns the workers on which a task may be started. A task under which a worker has crashed before gets one that tests few
// others, so that the next crash tells them apart. One that is likely the cause gets a worker that tests no other, and that runs nothing
// if there is such a worker in time.
func (c *Core) workersFor(p *placement, s *step, index int) []*workerState {
	crashes := s.crashCount(index)
	if crashes.All == 0 {
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
	if p.likelyLeft <= 0 {
		return nil
	}
	waited := c.now-t.emptyWorkerSince >= emptyWorkerWait
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
	p.likelyLeft = in.likelyLeft(likelyShare)
}

// likelyLeft returns how many tasks may start that are likely to crash their workers, for the share of the workers that may be down.
func (p *pool) likelyLeft(share float64) int {
	left := max(1, int(share*float64(len(p.workers))))
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
	workers.spare, workers.idleOnly, workers.likelyLeft = true, othersWait, p.likelyLeft(spareLikelyShare)
	for _, cand := range candidates {
		if cand.tier == tierLikelyCause && workers.likelyLeft > 0 {
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
				if len(s.progress.Crashes) > 0 && s.idleTasks > 0 {
					n += min(s.idleTasks, len(s.progress.Crashes))
				}
			}
		}
	}
	return n
}

// recordStart records that a task was placed on a worker in this pass.
func (p *placement) recordStart(s *step, index int, ws *workerState) {
	crashes := s.crashCount(index)
	if crashes.All == 0 {
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

func (s *step) failures(index int) int { return len(s.progress.Failures[s.unitIndex(index)]) }

// estimator learns the ratio between the actual and the estimated run times of a queue.
type estimator struct{ ratio map[string]float64 }

func newEstimator() *estimator { return &estimator{ratio: make(map[string]float64)} }

const (
	// ratioWeight is the weight of one run. The ratio follows a change within about twenty runs.
	ratioWeight = 0.05
	// minRatio and maxRatio limit the effect of single slow workers.
	minRatio = 0.3
	maxRatio = 3
)

func (e *estimator) observe(queue string, estimate, took time.Duration) {
	if estimate <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(estimate), minRatio), maxRatio)
	old, ok := e.ratio[queue]
	if !ok {
		old = 1
	}
	e.ratio[queue] = old + ratioWeight*(ratio-old)
}

// estimate returns the expected run time of a task of a step.
func (e *estimator) estimate(s *step) time.Duration {
	ratio, ok := e.ratio[s.job.doc.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(float64(s.doc.Estimate) * ratio)
}
