package misdirection

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

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

// TestListModel guards against a worker that is never used again since another instance answered at its address once, against one that is
// used at once although its entry has not changed, and against memory of workers that are gone.
func TestListModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := make(List)
		now := time.Minute
		var recorded worker.Report
		count, until := 0, time.Duration(0)
		report := func(t *rapid.T) worker.Report {
			return worker.Report{ID: "w", Address: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"), Incarnation: rapid.Int64Range(1, 2).Draw(t, "incarnation")}
		}
		t.Repeat(map[string]func(*rapid.T){
			"record": func(t *rapid.T) {
				r := report(t)
				if count == 0 || r.Address != recorded.Address || r.Incarnation != recorded.Incarnation {
					count = 0
				}
				recorded = r
				count++
				until = now + min(MaxPause, firstPause<<min(count-1, 20))
				l.Add(r, now)
			},
			"wait":   func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond },
			"unlist": func(*rapid.T) { l.Forget(nil); count, until = 0, 0 },
			"list":   func(*rapid.T) { l.Forget(map[string]bool{"w": true}) },
			"": func(t *rapid.T) {
				for _, address := range []string{"a", "b"} {
					for incarnation := int64(1); incarnation <= 2; incarnation++ {
						r := worker.Report{ID: "w", Address: address, Incarnation: incarnation}
						want := count > 0 && now < until && address == recorded.Address && incarnation == recorded.Incarnation
						if got := l.Leads(r, now); got != want {
							t.Fatalf("entry %+v misdirects: %t, want %t", r, got, want)
						}
					}
				}
				if got, want := len(l), min(count, 1); got != want {
					t.Fatalf("%d entries, want %d", got, want)
				}
			},
		})
	})
}
