package job

import (
	"slices"
	"time"
)

// Limits of the quarantine.
const (
	// quarantineKinds is the number of kinds of job that have to fail on a worker within healthWindow. If only one or
	// two kinds fail, the fault may be in the jobs.
	quarantineKinds = 3
	healthWindow    = 10 * time.Minute
	// firstQuarantine is the duration of the first quarantine. It doubles with each further one that follows without a
	// successful run in between, up to longestQuarantine.
	firstQuarantine   = 5 * time.Minute
	longestQuarantine = 4 * time.Hour
)

// Health finds workers on which many kinds of job fail, and quarantines them. It is not safe for concurrent use.
type Health struct {
	workers map[string]*workerHealth
}

type workerHealth struct {
	failures         map[string]time.Time
	quarantinedUntil time.Time
	quarantine       time.Duration
}

// NewHealth returns a health record without failures.
func NewHealth() *Health { return &Health{workers: make(map[string]*workerHealth)} }

// RecordFailure records the failure of a run and reports whether the worker is now quarantined.
func (h *Health) RecordFailure(now time.Time, worker, kind string) bool {
	w, ok := h.workers[worker]
	if !ok {
		w = &workerHealth{failures: make(map[string]time.Time)}
		h.workers[worker] = w
	}
	w.failures[kind] = now
	recent := 0
	for name, at := range w.failures {
		if now.Sub(at) > healthWindow {
			delete(w.failures, name)
			continue
		}
		recent++
	}
	// After a quarantine, the first failure starts the next one.
	if recent >= quarantineKinds || w.quarantine > 0 && !now.Before(w.quarantinedUntil) {
		w.quarantine = min(max(2*w.quarantine, firstQuarantine), longestQuarantine)
		w.quarantinedUntil = now.Add(w.quarantine)
		clear(w.failures)
	}
	return now.Before(w.quarantinedUntil)
}

// RecordSuccess records the success of a run, which clears the failures and the quarantine of the worker.
func (h *Health) RecordSuccess(worker string) { delete(h.workers, worker) }

// Quarantined reports whether no job may be placed on the worker.
func (h *Health) Quarantined(now time.Time, worker string) bool {
	w, ok := h.workers[worker]
	return ok && now.Before(w.quarantinedUntil)
}

// List returns the names of the quarantined workers in order.
func (h *Health) List(now time.Time) []string {
	var names []string
	for name := range h.workers {
		if h.Quarantined(now, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
