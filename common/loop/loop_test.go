package loop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/loop"
)

// TestLoop guards against a loop that goes on after Stop or ends by itself, and against a Stop that hangs when called
// twice.
func TestLoop(t *testing.T) {
	wake := make(chan struct{})
	tests := map[string]struct {
		run         func(f func(context.Context)) func(context.Context)
		wakes       int
		least, most int
	}{
		"every":    {run: func(f func(context.Context)) func(context.Context) { return loop.Every(time.Second, f) }, least: 100, most: 100},
		"jittered": {run: func(f func(context.Context)) func(context.Context) { return loop.Jittered(time.Second, nil, f) }, least: 80, most: 134},
		"woken":    {run: func(f func(context.Context)) func(context.Context) { return loop.Jittered(time.Hour, wake, f) }, wakes: 7, least: 7, most: 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wake = make(chan struct{})
				calls := 0
				l := loop.New(tt.run(func(context.Context) { calls++ }))
				l.Stop()
				l.Start()
				l.Start()
				for range tt.wakes {
					wake <- struct{}{}
				}
				time.Sleep(100*time.Second + time.Millisecond)
				l.Stop()
				l.Stop()
				after := calls
				time.Sleep(time.Minute)
				qt.Assert(t, calls, qt.Equals, after)
				qt.Assert(t, calls >= tt.least && calls <= tt.most, qt.IsTrue, qt.Commentf("%d calls", calls))
			})
		})
	}
}
