package joining

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// firstPause is the first pause of package losses.
const firstPause = 2 * time.Second

// TestLosses guards against a spare pool that is emptied into a pool in which all instances are lost, and against a pool that gets too few
// instances after one has survived.
func TestLosses(t *testing.T) {
	r, now := New(), time.Minute
	state := State{Reachable: false, Serving: false}
	judge := func() map[string]Loss {
		return r.Judge(now, func(string, string) State { return state })
	}
	for round, want := range []Loss{{2, 1, 0}, {2, 2, 0}, {2, 3, firstPause}, {2, 4, 2 * firstPause}} {
		now += time.Minute
		qt.Assert(t, r.Limit("p", 16, 8, 0, now), qt.Equals, []int{8, 8, 8, 8}[round])
		r.Add("a", "p", now)
		r.Add("b", "p", now)
		qt.Assert(t, judge(), qt.DeepEquals, map[string]Loss{"p": want})
		qt.Assert(t, judge(), qt.DeepEquals, map[string]Loss{})
	}
	qt.Assert(t, r.Limit("p", 16, 8, 0, now+2*firstPause-1), qt.Equals, 0)
	now += 2 * firstPause
	qt.Assert(t, r.Limit("p", 16, 8, 1, now), qt.Equals, 3)
	qt.Assert(t, r.LossyPools(), qt.Equals, 1)
	state = State{Reachable: true, Serving: true}
	judge()
	now += survivalTime
	judge()
	qt.Assert(t, r.LossyPools(), qt.Equals, 0)
	qt.Assert(t, r.Limit("p", 16, 8, 0, now), qt.Equals, 8)
}
