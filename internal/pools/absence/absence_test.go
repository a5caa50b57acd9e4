package absence

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAbsence guards against an instance that counts as gone after a single list, however late that comes, and against one that is reported
// as gone more than once.
func TestAbsence(t *testing.T) {
	const begin = time.Hour
	type outcome struct{ began, gone, proven bool }
	for name, test := range map[string]struct {
		lists []time.Duration
		want  []outcome
	}{
		"one list":  {[]time.Duration{0}, []outcome{{true, false, false}}},
		"too early": {[]time.Duration{0, MinTime - 1}, []outcome{{true, false, false}, {false, false, false}}},
		"proven":    {[]time.Duration{0, MinTime, 2 * MinTime}, []outcome{{true, false, false}, {false, true, true}, {false, false, true}}},
	} {
		t.Run(name, func(t *testing.T) {
			var a Absence
			qt.Assert(t, a.Proven(), qt.IsFalse)
			for i, at := range test.lists {
				began, gone := a.Record(begin + at)
				qt.Assert(t, outcome{began, gone, a.Proven()}, qt.Equals, test.want[i])
				qt.Assert(t, a.Since(), qt.Equals, begin)
			}
		})
	}
}
