package crashloop

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSurroundings guards against a service that fails for crashes of workers that crash by themselves.
func TestSurroundings(t *testing.T) {
	tests := map[string]struct {
		around        Surroundings
		calm, telling bool
	}{
		"nothing else crashed":         {Surroundings{SinceOther: -1}, true, true},
		"another worker just crashed":  {Surroundings{SinceOther: 0}, false, true},
		"another worker crashed once":  {Surroundings{SinceOther: calmAfter}, true, true},
		"the same worker, just up":     {Surroundings{SinceOther: -1, Repeated: true, Lived: steadyLife - 1}, true, false},
		"the same worker, up for long": {Surroundings{SinceOther: -1, Repeated: true, Lived: steadyLife}, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, test.around.Calm(), qt.Equals, test.calm)
			qt.Assert(t, test.around.Telling(), qt.Equals, test.telling)
		})
	}
}

// TestPause guards against a deadly service that is started without a bound, and against a pause that outlasts the crashes around it.
func TestPause(t *testing.T) {
	tests := map[string]struct {
		untelling  int
		calm, want time.Duration
		life       time.Duration
	}{
		"no crash":                {0, -1, 0, 0},
		"first":                   {1, 0, firstPause, 0},
		"third":                   {3, 0, 4 * firstPause, 2 * firstSteadyLife},
		"many":                    {20, calmPauseAfter - 1, maxPause, steadyLife},
		"many, the rest is calm":  {20, calmPauseAfter, calmPause, steadyLife},
		"many, nothing else ever": {20, -1, calmPause, steadyLife},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, Pause(test.untelling, test.calm), qt.Equals, test.want)
			qt.Assert(t, RequiredLife(test.untelling), qt.Equals, test.life)
		})
	}
}

// TestHistory guards against a task that is blamed while other workers crash without it, and against one that is excused by its own
// crashes or by those of another task that causes them.
func TestHistory(t *testing.T) {
	type add struct {
		at       time.Duration
		suspects []string
		likely   bool
	}
	tests := map[string]struct {
		adds               []add
		other, unexplained time.Duration
	}{
		"none":                      {nil, -1, -1},
		"a worker with no suspect":  {[]add{{at: 8}}, 2, 2},
		"own crash":                 {[]add{{at: 8, suspects: []string{"a"}}}, -1, -1},
		"own crash with another":    {[]add{{at: 8, suspects: []string{"b", "a"}}}, -1, -1},
		"crash under another":       {[]add{{at: 8, suspects: []string{"b"}}}, 2, -1},
		"crash under a likely one":  {[]add{{at: 8, suspects: []string{"b"}, likely: true}}, -1, -1},
		"another crash, then own":   {[]add{{at: 7}, {at: 8, suspects: []string{"a"}}}, 3, 3},
		"another crash, long since": {[]add{{at: 0}, {at: 10 + 10*time.Second, suspects: []string{"a"}}}, -1, 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var h History[string]
			for _, a := range test.adds {
				h.Add(a.at, a.suspects, a.likely)
			}
			qt.Assert(t, h.SinceOther(10, "a"), qt.Equals, test.other)
			qt.Assert(t, h.SinceUnexplained(10), qt.Equals, test.unexplained)
		})
	}
}

// TestHistoryIsBounded guards against a history that grows with the rate of crashes.
func TestHistoryIsBounded(t *testing.T) {
	var h History[int]
	for i := range 10 * maxRecent {
		h.Add(time.Duration(i), []int{i}, false)
	}
	qt.Assert(t, h.crashes, qt.HasLen, maxRecent)
}

// TestKnown guards against a leader that judges before it can know whether the workers crash by themselves.
func TestKnown(t *testing.T) {
	qt.Assert(t, Known(calmAfter-1), qt.IsFalse)
	qt.Assert(t, Known(calmAfter), qt.IsTrue)
}

// TestRested guards against a pause that outlasts the time within which a service has to run again.
func TestRested(t *testing.T) {
	qt.Assert(t, Rested(maxRest-1), qt.IsFalse)
	qt.Assert(t, Rested(maxRest), qt.IsTrue)
}
