package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/common/backoff"
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
	// failedAt is the time of the latest failed exit.
	failedAt time.Duration
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
	h.failedAt = now
	h.failureStreak++
	if job != h.lastFailedJob {
		h.lastFailedJob = job
		h.failedJobs++
	}
	if h.failureRate < failureLimit || (h.failedJobs < failureJobs && h.quarantines == 0) || h.quarantined(now) {
		return false
	}
	h.quarantines++
	h.quarantinedUntil = now + backoff.Doubled(h.quarantines, quarantineDuration, maxQuarantine)
	return true
}

// recordWork records that a service is at work on its worker. A worker that runs nothing else has no other success.
func (c *Core) recordWork(r *run) {
	if !r.worked && r.step.doc.Service && r.speedPercent >= fullSpeed && c.now-r.confirmedAt >= workProof {
		r.worked = true
		r.worker.health.recordSuccess()
	}
}

// workProof is how long a service has run when its worker counts as in order. Failing workers fail most tasks sooner.
const workProof = 2 * time.Second

func (c *Core) recordSuccess(r *run) {
	r.worker.health.recordSuccess()
	c.recordOvertaken(r)
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

func (s *step) failures(index int) int { return len(s.progress.Failures[s.unitIndex(index)]) }

// estimator learns the ratio between the actual and the estimated run times of a queue.
type estimator struct {
	ratio map[string]float64
	runs  map[string]int
}

func newEstimator() *estimator {
	return &estimator{ratio: make(map[string]float64), runs: make(map[string]int)}
}

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
	e.runs[queue]++
}

// estimate returns the expected run time of a task of a step.
func (e *estimator) estimate(s *step) time.Duration {
	ratio, ok := e.ratio[s.job.doc.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(float64(s.doc.Estimate) * ratio)
}
