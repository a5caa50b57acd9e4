package losses

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLimit guards against a pool that takes down all spare instances, and against single losses that have consequences.
func TestLimit(t *testing.T) {
	var r Rounds
	now := time.Minute
	for round, test := range map[int]struct {
		pause time.Duration
		want  int
	}{0: {0, 10}, 1: {0, 10}, 2: {0, 10}, 3: {2 * time.Second, 7}, 4: {4 * time.Second, 3}, 5: {8 * time.Second, 1}, 9: {2 * time.Minute, 0}} {
		r = Rounds{}
		var pause time.Duration
		for range round {
			pause = r.Add(now)
		}
		qt.Assert(t, pause, qt.Equals, test.pause)
		qt.Assert(t, r.Count(), qt.Equals, round)
		if pause > 0 {
			qt.Assert(t, r.Limit(now+pause-1, 16, 10, 1), qt.Equals, 0)
		}
		qt.Assert(t, r.Limit(now+pause, 16, 10, 1), qt.Equals, test.want)
	}
}

// TestBegins guards against the instances of one round that count as several.
func TestBegins(t *testing.T) {
	var r Rounds
	qt.Assert(t, r.Begins(0), qt.IsTrue)
	r.Add(time.Minute)
	qt.Assert(t, r.Begins(time.Minute-1), qt.IsFalse)
	qt.Assert(t, r.Begins(time.Minute), qt.IsTrue)
}
