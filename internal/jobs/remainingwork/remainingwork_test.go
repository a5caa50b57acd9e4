package remainingwork_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/jobs/remainingwork"
)

// TestWork guards against work that counts steps that are done, or steps side by side as if one followed the other.
func TestWork(t *testing.T) {
	step := func(left int, typical time.Duration, after ...int) remainingwork.Step {
		return remainingwork.Step{DependsOn: after, TasksLeft: left, CPU: 2000, Typical: typical, Mean: 2 * typical}
	}
	tests := map[string]struct {
		steps       []remainingwork.Step
		path        time.Duration
		coreSeconds float64
	}{
		"nothing":       {nil, 0, 0},
		"one":           {[]remainingwork.Step{step(3, time.Second)}, time.Second, 12},
		"in a row":      {[]remainingwork.Step{step(1, time.Second), step(1, 2*time.Second, 0)}, 3 * time.Second, 12},
		"side by side":  {[]remainingwork.Step{step(1, time.Second), step(1, 2*time.Second)}, 2 * time.Second, 12},
		"first is done": {[]remainingwork.Step{step(0, time.Second), step(1, 2*time.Second, 0)}, 2 * time.Second, 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var w remainingwork.Work
			qt.Assert(t, w.Valid(0), qt.IsFalse)
			w.Set(test.steps, time.Minute)
			path, coreSeconds := w.Left()
			qt.Assert(t, path, qt.Equals, test.path)
			qt.Assert(t, coreSeconds, qt.Equals, test.coreSeconds)
			qt.Assert(t, w.Valid(time.Minute-1), qt.IsTrue)
			qt.Assert(t, w.Valid(time.Minute), qt.IsFalse)
			w.Invalidate()
			qt.Assert(t, w.Valid(1), qt.IsFalse)
		})
	}
}
