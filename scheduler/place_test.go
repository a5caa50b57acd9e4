package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/jobs/crashloop"
)

// TestWorkerThatMayCrashByItself guards against a task that gets the cheapest worker although workers have crashed at its address again and
// again, before the worker has lived for a while.
func TestWorkerThatMayCrashByItself(t *testing.T) {
	const untelling = 10
	tests := map[string]struct {
		crashes int
		lived   time.Duration
		want    string
	}{
		"no crash":  {0, 0, "w1"},
		"new":       {untelling, 0, "w2"},
		"has lived": {untelling, crashloop.RequiredLife(untelling), "w1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1", "w2")
			s := r.addSteps("a", 1).open[0].steps[0]
			if test.crashes > 0 {
				site := s.crashSite(0)
				site.Add(r.core.workers["w1"].report.Address, false)
				site.Untelling = test.crashes
			}
			r.advance(test.lived)
			chosen := r.core.chooseWorker(s, 0, r.core.pool("p").workers)
			qt.Assert(t, chosen, qt.IsNotNil)
			qt.Assert(t, chosen.report.ID, qt.Equals, test.want)
		})
	}
}
