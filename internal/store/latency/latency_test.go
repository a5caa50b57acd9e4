package latency_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/store/latency"
)

// TestTimeout guards against calls that are given up although a slow store would answer them, and against calls that wait for long when the
// store is quick or does not answer.
func TestTimeout(t *testing.T) {
	const base = 700 * time.Millisecond
	type call struct{ at, took time.Duration }
	for name, test := range map[string]struct {
		calls []call
		now   time.Duration
		slow  bool
		want  time.Duration
	}{
		"no call":       {now: time.Second, want: base},
		"quick":         {calls: []call{{time.Second, 15 * time.Millisecond}, {2 * time.Second, 20 * time.Millisecond}}, now: 2 * time.Second, want: base},
		"slow":          {calls: []call{{time.Second, 400 * time.Millisecond}, {2 * time.Second, 400 * time.Millisecond}}, now: 2 * time.Second, slow: true, want: 2 * time.Second},
		"very slow":     {calls: []call{{time.Second, 900 * time.Millisecond}}, now: time.Second, slow: true, want: 2500 * time.Millisecond},
		"a little slow": {calls: []call{{time.Second, 150 * time.Millisecond}}, now: time.Second, slow: true, want: 750 * time.Millisecond},
		"one slow call": {calls: []call{{time.Second, 10 * time.Millisecond}, {2 * time.Second, 400 * time.Millisecond}}, now: 2 * time.Second, want: base},
		"silent since":  {calls: []call{{time.Second, 400 * time.Millisecond}}, now: 4 * time.Second, want: base},
		"quick again":   {calls: []call{{time.Second, 400 * time.Millisecond}, {4 * time.Second, 10 * time.Millisecond}}, now: 4 * time.Second, want: base},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, start := latency.New(), time.Now()
			for _, c := range test.calls {
				tracker.Answered(start.Add(c.at), c.took)
			}
			qt.Assert(t, tracker.Slow(start.Add(test.now)), qt.Equals, test.slow)
			qt.Assert(t, tracker.Timeout(start.Add(test.now), base), qt.Equals, test.want)
		})
	}
}
