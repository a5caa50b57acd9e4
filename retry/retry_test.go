package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/retry"
)

var start = time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)

// TestBudgetBound guards against retries and hedged attempts that exceed the ratio of the first attempts plus
// the burst, in any order of events.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0.01, 1).Draw(t, "ratio")
		burst := rapid.Float64Range(1, 50).Draw(t, "burst")
		b := retry.NewBudget(retry.Options{Ratio: ratio, Burst: burst})
		first, allowed := 0, 0
		for _, isFirst := range rapid.SliceOfN(rapid.Bool(), 0, 2000).Draw(t, "events") {
			if isFirst {
				b.RecordFirstAttempt(start)
				first++
			} else if b.Allow(start) {
				allowed++
			}
			if float64(allowed) > ratio*float64(first)+burst+1e-6 {
				t.Fatalf("%d retries for %d first attempts", allowed, first)
			}
		}
	})
}

// TestRetry guards against retries that are not allowed, and against tokens spent on them.
func TestRetry(t *testing.T) {
	far := start.Add(time.Minute)
	tests := map[string]struct {
		attempt retry.Request
		want    bool
	}{
		"idempotent":         {retry.Request{Idempotent: true, Deadline: far}, true},
		"not run":            {retry.Request{NotRun: true, Deadline: far}, true},
		"may have run":       {retry.Request{Deadline: far}, false},
		"third retry":        {retry.Request{Idempotent: true, Retries: retry.MaxRetries, Deadline: far}, false},
		"after the deadline": {retry.Request{Idempotent: true, Deadline: start}, false},
		"too little time left": {retry.Request{Idempotent: true, ServiceTime: time.Second,
			Deadline: start.Add(time.Second)}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := retry.NewBudget(retry.Options{Burst: 1})
			delay, ok := retry.NewPolicy().Retry(start, tt.attempt, b)
			qt.Assert(t, ok, qt.Equals, tt.want)
			qt.Assert(t, delay > 0, qt.Equals, tt.want)
			qt.Assert(t, b.Allow(start), qt.Equals, !tt.want)
		})
	}
}

// TestHedge guards against hedged attempts of requests that may run only once, of attempts that are not slow,
// and without budget.
func TestHedge(t *testing.T) {
	tests := map[string]struct {
		samples    int
		after      time.Duration
		idempotent bool
		spent      bool
		want       bool
	}{
		"slow":           {1000, 120 * time.Millisecond, true, false, true},
		"ordinary":       {1000, 50 * time.Millisecond, true, false, false},
		"not idempotent": {1000, 120 * time.Millisecond, false, false, false},
		"unknown":        {50, 120 * time.Millisecond, true, false, false},
		"budget spent":   {1000, 120 * time.Millisecond, true, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h, b := retry.NewHedger(), retry.NewBudget(retry.Options{Burst: 1})
			for i := range tt.samples {
				h.Observe(start, time.Duration(i%100)*time.Millisecond)
			}
			if tt.spent {
				b.Allow(start)
			}
			a := retry.Request{Idempotent: tt.idempotent, Deadline: start.Add(time.Second)}
			qt.Assert(t, h.AllowHedge(start.Add(tt.after), start, a, b), qt.Equals, tt.want)
		})
	}
}
