package scheduler

import "time"

// health judges a worker by the ends of its tasks.
type health struct {
	// failing is the recent share of failed ends.
	failing float64
	// streak counts the failed ends in a row, and jobs the different jobs among them.
	streak  int
	lastJob string
	jobs    int
	until   time.Duration
	// terms counts the quarantines in a row.
	terms int
}

const (
	// failureWeight is the weight of one end in the share of failed ends of a worker. Four ends in a row decide.
	failureWeight = 0.3
	// failureLimit is the share of failed ends above which a worker is quarantined.
	failureLimit = 0.6
	// failureJobs is how many different jobs have to fail in a row. Fewer may be the fault of the jobs.
	failureJobs = 3
	// quarantineTerm is the first quarantine. It doubles up to quarantineMax while the worker goes on failing.
	quarantineTerm = 2 * time.Second
	quarantineMax  = 8 * time.Second
)

func (h *health) quarantined(now time.Duration) bool { return now < h.until }

func (h *health) succeeded() {
	h.failing *= 1 - failureWeight
	h.streak, h.jobs, h.terms, h.lastJob = 0, 0, 0, ""
}

// failed notes a failed end and reports whether it starts a quarantine.
func (h *health) failed(now time.Duration, job string) bool {
	h.failing += failureWeight * (1 - h.failing)
	h.streak++
	if job != h.lastJob {
		h.lastJob = job
		h.jobs++
	}
	if h.failing < failureLimit || (h.jobs < failureJobs && h.terms == 0) || h.quarantined(now) {
		return false
	}
	h.until = now + min(quarantineTerm<<h.terms, quarantineMax)
	h.terms++
	return true
}

func (c *Core) noteSuccess(r *run) {
	r.on.health.succeeded()
	if !r.step.doc.Service && r.confirmed > 0 {
		c.learned.observe(r.step.job.doc.Queue, r.step.doc.Estimate, c.now-r.since)
	}
}

func (c *Core) noteFailure(r *run) {
	h := r.on
	if r.step.failures(r.index) > 0 {
		// The task has failed elsewhere, which says more about the job.
		return
	}
	if h.health.failed(c.now, r.step.job.doc.ID) {
		c.logger.Warn("Worker is quarantined.", "worker", h.report.ID, "failing", h.health.failing, "streak", h.health.streak, "until", h.health.until-c.now)
	}
}

func (s *step) failures(index int) int { return len(s.progress.Failures[s.unit(index)]) }

// estimator learns how far off the estimates of a queue are.
type estimator struct{ ratio map[string]float64 }

func newEstimator() *estimator { return &estimator{ratio: make(map[string]float64)} }

const (
	// ratioWeight is the weight of one end. About twenty ends change the ratio.
	ratioWeight = 0.05
	// ratioMin and ratioMax bound the ratio against single slow workers.
	ratioMin = 0.3
	ratioMax = 3
)

func (e *estimator) observe(queue string, estimate, took time.Duration) {
	if estimate <= 0 {
		return
	}
	seen := min(max(float64(took)/float64(estimate), ratioMin), ratioMax)
	old, ok := e.ratio[queue]
	if !ok {
		old = 1
	}
	e.ratio[queue] = old + ratioWeight*(seen-old)
}

// estimate returns how long a task of a step takes.
func (e *estimator) estimate(s *step) time.Duration {
	ratio, ok := e.ratio[s.job.doc.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(float64(s.doc.Estimate) * ratio)
}
