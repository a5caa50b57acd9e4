package misdirection

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/worker"
)

// TestList guards against a worker that is added again and again by an entry that leads elsewhere, and against one that stays out after its
// entry was put right.
func TestList(t *testing.T) {
	entry := worker.Report{ID: "w", Address: "a", Incarnation: 1}
	for name, test := range map[string]struct {
		times int
		after time.Duration
		entry worker.Report
		want  bool
	}{
		"first":             {1, firstPause - 1, entry, true},
		"first, over":       {1, firstPause, entry, false},
		"third":             {3, 4*firstPause - 1, entry, true},
		"many":              {100, MaxPause - 1, entry, true},
		"many, over":        {100, MaxPause, entry, false},
		"other address":     {100, 0, worker.Report{ID: "w", Address: "b", Incarnation: 1}, false},
		"other incarnation": {100, 0, worker.Report{ID: "w", Address: "a", Incarnation: 2}, false},
		"other worker":      {100, 0, worker.Report{ID: "v", Address: "a", Incarnation: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := make(List)
			for range test.times {
				l.Add(entry, time.Minute)
			}
			qt.Assert(t, l.Leads(test.entry, time.Minute+test.after), qt.Equals, test.want)
			l.Forget(map[string]bool{"v": true})
			qt.Assert(t, l, qt.HasLen, 0)
		})
	}
}
