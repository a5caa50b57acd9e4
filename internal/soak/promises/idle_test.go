package promises_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

// TestLastingTasks guards against times without a run that count although something was disturbed or there was no room, and against a count
// that differs from what breaks the promise.
func TestLastingTasks(t *testing.T) {
	const begins = "submit a 200 lasting; begin a.0.0.0 1 w1; begin a.0.0.1 1 w1; begin a.0.0.2 1 w1; at 5s; end a.0.0.2 1 "
	tests := map[string]struct {
		script string
		// counted holds what counts of each time without a run of task a.0.0.2.
		counted []time.Duration
		broken  bool
	}{
		"idle for 10 s in calm":        {"failed; at 21s; begin a.0.0.2 2 w2", []time.Duration{10 * time.Second}, true},
		"ends before it counts":        {"failed; at 9s", nil, false},
		"idle in the end":              {"failed; at 15s", []time.Duration{4 * time.Second}, true},
		"waits 5.6 s for a lease":      {"lapsed; at 10.6s; begin a.0.0.2 2 w2; at 30s", []time.Duration{-400 * ms}, false},
		"runs again in time":           {"lapsed; at 13s; begin a.0.0.2 2 w2; at 30s", []time.Duration{2 * time.Second}, false},
		"twice":                        {"failed; at 12s; begin a.0.0.2 2 w2; end a.0.0.2 2 failed; at 17s; begin a.0.0.2 3 w2; at 30s", []time.Duration{time.Second, -time.Second}, false},
		"beside a disruption":          {"failed; at 8s; disrupt killed p1; at 11s; begin a.0.0.2 2 w2; at 30s", []time.Duration{-time.Second}, false},
		"during a disruption":          {"failed; at 8s; freeze w4; at 21s; begin a.0.0.2 2 w2; at 30s; close w4", nil, false},
		"disrupted until the end":      {"failed; at 8s; freeze w4; at 30s", nil, false},
		"beside many disruptions":      {"failed; at 8s; disrupt killed p1; at 11s; disrupt frozen w4; at 14s; disrupt cut p2; at 17s; begin a.0.0.2 2 w2; at 30s", []time.Duration{-time.Second}, false},
		"after a disruption":           {"failed; at 8s; disrupt killed p1; at 14s; begin a.0.0.2 2 w2; at 30s", []time.Duration{2 * time.Second}, false},
		"too long after a disruption":  {"failed; at 8s; disrupt killed p1; at 16s; begin a.0.0.2 2 w2; at 30s", []time.Duration{4 * time.Second}, true},
		"too long before a disruption": {"failed; at 15s; disrupt killed p1; at 16s; begin a.0.0.2 2 w2; at 30s", []time.Duration{4 * time.Second}, true},
		"beside planned work":          {"failed; at 8s; disrupt maintenance w4; at 11s; disrupt reload p1; at 15s; begin a.0.0.2 2 w2; at 30s", []time.Duration{4 * time.Second}, false},
		"all workers drain":            {"failed; drain w1; drain w2; drain w3; drain w4; at 20s; begin a.0.0.2 2 w2; at 30s", []time.Duration{0}, false},
		"workers drain later":          {"failed; at 13.2s; drain w1; drain w2; drain w3; drain w4; at 30s", []time.Duration{2 * time.Second}, false},
		"cancelled":                    {"failed; at 13s; cancel a 200; at 30s", []time.Duration{2 * time.Second}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay()
				perform(p, begins+test.script)
				tasks := promises.LastingTasks(p.History, promises.DefaultBounds())
				index := slices.IndexFunc(tasks, func(t promises.LastingTask) bool { return t.Task.String() == "a.0.0.2" })
				qt.Assert(t, index >= 0, qt.IsTrue)
				var counted []time.Duration
				for _, idle := range tasks[index].Idle {
					counted = append(counted, idle.Counted.Round(100*ms))
				}
				qt.Assert(t, counted, qt.DeepEquals, test.counted)
				for _, v := range promises.Check(p.History, promises.DefaultBounds()) {
					if v.Promise == promises.AcceptedKept {
						qt.Assert(t, len(v.Violations) > 0, qt.Equals, test.broken, qt.Commentf("%v", v.Violations))
					}
				}
			})
		})
	}
}
