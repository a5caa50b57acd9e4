// Package loop runs a background goroutine that can be started and stopped.
//
// # Usage
//
//	l := loop.New(loop.Every(time.Second, cache.refresh))
//	l.Start()
//	defer l.Stop()
package loop

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Loop runs a function in a goroutine. It is safe for concurrent use.
type Loop struct {
	run func(ctx context.Context)

	mu     sync.Mutex
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a stopped loop for run, which has to return when its context is cancelled.
func New(run func(ctx context.Context)) *Loop { return &Loop{run: run} }

// Start runs the function in a goroutine. It does nothing if the loop is already started.
func (l *Loop) Start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.done.Go(func() { l.run(ctx) })
}

// Stop cancels the context of the function and waits until it returns. It does nothing if the loop is not started.
func (l *Loop) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel == nil {
		return
	}
	l.cancel()
	l.done.Wait()
	l.cancel = nil
}

// Every returns a function that calls f at each interval until its context is cancelled. The first call comes after
// one interval.
func Every(interval time.Duration, f func(ctx context.Context)) func(ctx context.Context) {
	return func(ctx context.Context) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				f(ctx)
			case <-ctx.Done():
				return
			}
		}
	}
}

// Jittered returns a function that calls f at intervals that vary randomly by up to a quarter, and on each receive from
// wake, which may be nil. It runs until its context is cancelled. The jitter keeps processes that started together
// from acting at the same moment.
func Jittered(interval time.Duration, wake <-chan struct{}, f func(ctx context.Context)) func(ctx context.Context) {
	return func(ctx context.Context) {
		for {
			timer := time.NewTimer(interval*3/4 + rand.N(interval/2))
			select {
			case <-timer.C:
			case <-wake:
			case <-ctx.Done():
			}
			timer.Stop()
			if ctx.Err() != nil {
				return
			}
			f(ctx)
		}
	}
}
