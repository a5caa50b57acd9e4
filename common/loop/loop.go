// Package loop runs the background work of a part from its start to its stop.
//
// # Usage
//
//	l := loop.New(loop.Every(time.Second, part.refresh))
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

// New returns a loop that does not run yet. The function returns when its context ends.
func New(run func(ctx context.Context)) *Loop { return &Loop{run: run} }

// Start runs the function. It does nothing if the function runs already.
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

// Stop ends the function and waits for it. It does nothing if the function does not run.
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

// Every returns a function that calls f after each interval until its context ends.
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

// Jittered returns a function that calls f after intervals that vary by a quarter, and when wake receives, which may
// be nil. The jitter keeps processes that started together apart.
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
