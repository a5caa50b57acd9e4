// Package latency decides how long a call of the store may take, from how long calls have taken lately, and whether it helps to send a call again
// by another way.
//
// It answers a store that is slow, not down: it carries out the calls of a partition one after the other, so that calls that are given up and sent
// again make it slower for all. With a fixed timeout, a slow-down by a factor of 50 during a surge of submissions ended with no submission
// answered in time, each sent up to four times.
//
// # Usage
//
//	tracker := latency.New()
//	store = latency.Watch(store, tracker)
//	ctx, cancel := context.WithTimeout(ctx, tracker.Timeout(now, base))
//	if !tracker.Slow(now) { relay() }
//
// # States
//
// The store is slow while calls have been answered within recentTime and took slowCall or more on average. Calls without an answer say nothing:
// the answer may be lost, or the store down, and then another call is worth it.
package latency

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/store"
)

const (
	// weight is the weight of a call in the average.
	weight = 0.3
	// recentTime is the time after the last answer for which the average counts.
	recentTime = 2 * time.Second
	// slowCall is the average from which on the store is slow. It takes 10 to 20 ms otherwise.
	slowCall = 150 * time.Millisecond
	// timeoutFactor is the number of averages that a call may take while the store is slow. Calls wait for those before them in their partition.
	timeoutFactor = 5
	// maxTimeout leaves a client with the usual timeout of 3 s time for one more call.
	maxTimeout = 2500 * time.Millisecond
)

// Tracker holds the average time of the answered calls of a process. It is safe for concurrent use.
type Tracker struct {
	mu         sync.Mutex
	average    time.Duration
	answeredAt time.Time
}

// New returns a tracker that knows of no calls.
func New() *Tracker { return &Tracker{} }

// Answered records a call that was answered.
func (t *Tracker) Answered(now time.Time, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.answeredAt) > recentTime {
		t.average = took
	}
	t.average += time.Duration(weight * float64(took-t.average))
	t.answeredAt = now
}

// Slow reports whether the store answers, and takes long for it. A call that was sent again would make it slower.
func (t *Tracker) Slow(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slow(now)
}

func (t *Tracker) slow(now time.Time) bool {
	return now.Sub(t.answeredAt) <= recentTime && t.average >= slowCall
}

// Timeout returns how long a call may take: base, or longer while the store is slow.
func (t *Tracker) Timeout(now time.Time, base time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.slow(now) {
		return base
	}
	return max(base, min(timeoutFactor*t.average, maxTimeout))
}

// Watch returns a store that records the time of the transactions that are answered.
func Watch(s store.Store, t *Tracker) store.Store { return &watched{Store: s, tracker: t} }

type watched struct {
	store.Store
	tracker *Tracker
}

// Commit implements [store.Store].
func (w *watched) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	since := time.Now()
	result, err := w.Store.Commit(ctx, tx)
	if err == nil || errors.Is(err, store.ErrConflict) {
		now := time.Now()
		w.tracker.Answered(now, now.Sub(since))
	}
	return result, err
}
