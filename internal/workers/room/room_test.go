package room

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
)

// TestSoonest guards against room that is expected before enough runs have ended, or although all of them together do not make it.
func TestSoonest(t *testing.T) {
	cores := func(n int64) work.Resources { return work.Resources{CPU: 1000 * n} }
	endings := []Ending{{3 * time.Second, cores(2)}, {time.Second, cores(1)}, {2 * time.Second, work.Resources{Memory: 5}}}
	for name, test := range map[string]struct {
		free, need work.Resources
		want       time.Duration
		ok         bool
	}{
		"free":           {cores(2), cores(2), 0, true},
		"first ending":   {cores(1), cores(2), time.Second, true},
		"all endings":    {cores(1), cores(4), 3 * time.Second, true},
		"other resource": {cores(4), work.Resources{CPU: 1000, Memory: 5}, 2 * time.Second, true},
		"overcommitted":  {cores(-1), cores(2), 3 * time.Second, true},
		"too large":      {cores(1), cores(5), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := Soonest(test.free, test.need, append([]Ending(nil), endings...))
			qt.Assert(t, ok, qt.Equals, test.ok)
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}
