package remainingwork_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/jobs/remainingwork"
)

// TestWork guards against work that counts steps that are done, or steps side by side as if one followed the other, and against a whole path, on
// which the latency target rests, that shrinks while a job is worked on.
func TestWork(t *testing.T) {
	step := func(left int, typical time.Duration, after ...int) remainingwork.Step {
		return remainingwork.Step{DependsOn: after, TasksLeft: left, CPU: 2000, Typical: typical}
	}
	tests := map[string]struct {
		steps       []remainingwork.Step
		path, whole time.Duration
		coreSeconds float64
	}{
		"nothing":       {nil, 0, 0, 0},
		"one":           {[]remainingwork.Step{step(3, time.Second)}, time.Second, time.Second, 6},
		"in a row":      {[]remainingwork.Step{step(1, time.Second), step(1, 2*time.Second, 0)}, 3 * time.Second, 3 * time.Second, 6},
		"side by side":  {[]remainingwork.Step{step(1, time.Second), step(1, 2*time.Second)}, 2 * time.Second, 2 * time.Second, 6},
		"first is done": {[]remainingwork.Step{step(0, time.Second), step(1, 2*time.Second, 0)}, 2 * time.Second, 3 * time.Second, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var w remainingwork.Work
			qt.Assert(t, w.Valid(0), qt.IsFalse)
			w.Set(test.steps, time.Minute)
			path, coreSeconds := w.Left()
			qt.Assert(t, path, qt.Equals, test.path)
			qt.Assert(t, w.WholePath(), qt.Equals, test.whole)
			qt.Assert(t, coreSeconds, qt.Equals, test.coreSeconds)
			qt.Assert(t, w.Valid(time.Minute-1), qt.IsTrue)
			qt.Assert(t, w.Valid(time.Minute), qt.IsFalse)
			w.Invalidate()
			qt.Assert(t, w.Valid(1), qt.IsFalse)
		})
	}
}

// TestHeld guards against work that is computed again, which others would see, although it was to be left as it is.
func TestHeld(t *testing.T) {
	var w remainingwork.Work
	w.Set([]remainingwork.Step{{TasksLeft: 2, CPU: 1000, Typical: time.Second}}, time.Second)
	held := w.Held()
	qt.Assert(t, held.Valid(time.Hour), qt.IsTrue)
	qt.Assert(t, w.Valid(time.Hour), qt.IsFalse)
	path, coreSeconds := held.Left()
	qt.Assert(t, path, qt.Equals, time.Second)
	qt.Assert(t, coreSeconds, qt.Equals, 2.0)
}
