package job

import (
	"slices"
	"time"
)

// Limits of the quarantine.
const (
	// quarantineKinds is the number of kinds that have to fail on a worker. One or two kinds can be broken themselves.
	quarantineKinds = 3
	healthWindow    = 10 * time.Minute
	// firstQuarantine doubles with each quarantine that follows without a success, up to longestQuarantine.
	firstQuarantine   = 5 * time.Minute
	longestQuarantine = 4 * time.Hour
)

// Health finds workers that fail many kinds of job. It is not safe for concurrent use.
type Health struct {
	workers map[string]*workerHealth
}

type workerHealth struct {
	failures map[string]time.Time
	until    time.Time
	length   time.Duration
}

// NewHealth returns a health record without failures.
func NewHealth() *Health { return &Health{workers: make(map[string]*workerHealth)} }

// RecordFailure takes the failure of a run and reports whether the worker is now quarantined.
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
	// After a quarantine the first failure begins the next one.
	if recent >= quarantineKinds || w.length > 0 && !now.Before(w.until) {
		w.length = min(max(2*w.length, firstQuarantine), longestQuarantine)
		w.until = now.Add(w.length)
		clear(w.failures)
	}
	return now.Before(w.until)
}

// RecordSuccess takes the success of a run.
func (h *Health) RecordSuccess(worker string) { delete(h.workers, worker) }

// Quarantined reports whether no job may be placed on the worker.
func (h *Health) Quarantined(now time.Time, worker string) bool {
	w, ok := h.workers[worker]
	return ok && now.Before(w.until)
}

// List returns the quarantined workers in order.
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
