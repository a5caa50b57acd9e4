// Package health rates a worker by the exits of its runs, and decides for how long one that fails most of what it starts gets no tasks.
//
// # Usage
//
//	var h health.Health
//	h.RecordSuccess()
//	if h.RecordFailure(now, job) {
//		// The worker is quarantined until h.QuarantinedUntil().
//	}
//	if h.Quarantined(now) { ... }
//
// # States
//
// A worker is in order or quarantined. Failures of different jobs in a row quarantine it. A success ends the row, and the length of
// quarantines begins anew.
package health

import (
	"time"

	"github.com/chivetiller/chivetiller/common/backoff"
)

// Health is the rating of a worker. The zero value is that of one without exits.
type Health struct {
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
	// FailureJobs is how many different jobs have to fail in a row. With fewer, the jobs may be at fault.
	FailureJobs = 3
	// quarantineDuration is the first quarantine. It doubles up to MaxQuarantine while the worker keeps failing.
	quarantineDuration = 2 * time.Second
	// MaxQuarantine is the longest quarantine.
	MaxQuarantine = 8 * time.Second
)

// Quarantined reports whether the worker gets no tasks.
func (h *Health) Quarantined(now time.Duration) bool { return now < h.quarantinedUntil }

// QuarantinedUntil returns the end of the latest quarantine.
func (h *Health) QuarantinedUntil() time.Duration { return h.quarantinedUntil }

// FailedAt returns the time of the latest failed exit.
func (h *Health) FailedAt() time.Duration { return h.failedAt }

// FailureRate returns the recent share of failed exits.
func (h *Health) FailureRate() float64 { return h.failureRate }

// FailureStreak returns the number of failed exits in a row.
func (h *Health) FailureStreak() int { return h.failureStreak }

// RecordSuccess records that a run succeeded.
func (h *Health) RecordSuccess() {
	h.failureRate *= 1 - failureWeight
	h.failureStreak, h.failedJobs, h.quarantines, h.lastFailedJob = 0, 0, 0, ""
}

// RecordFailure records a failed exit and reports whether it starts a quarantine.
func (h *Health) RecordFailure(now time.Duration, job string) bool {
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.failedAt = now
	h.failureStreak++
	if job != h.lastFailedJob {
		h.lastFailedJob = job
		h.failedJobs++
	}
	if h.failureRate < failureLimit || (h.failedJobs < FailureJobs && h.quarantines == 0) || h.Quarantined(now) {
		return false
	}
	h.Quarantine(now, backoff.Doubled(h.quarantines+1, quarantineDuration, MaxQuarantine))
	return true
}

// Quarantine starts a quarantine for a failure at a time.
func (h *Health) Quarantine(now, duration time.Duration) {
	h.quarantines++
	h.failedAt, h.quarantinedUntil = now, now+duration
}
