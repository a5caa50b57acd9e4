package leaserecord

import (
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRecordModel guards against a lease that is extended while the stored record may name its worker, and against an end that becomes later
// meanwhile: batches fail, are stored without an answer, or are lost, and leaders follow each other.
func TestRecordModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const maxWorkers = 3
		limit := maxWorkers * Size("w1")
		now, stored := time.Minute, Entries{}
		r := New(limit)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond
			id := fmt.Sprint("w", rapid.IntRange(1, 5).Draw(rt, "worker"))
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				r.Doubt(id, Entry{Incarnation: 1, End: now + 4*time.Second})
			case 1:
				r.TakeBack(id, now)
				if _, recorded := r.Entry(id); recorded {
					rt.Fatalf("%s is recorded after it was taken back", id)
				}
			case 2:
				r.Prune(now, func(needed string) bool { return needed != id })
			case 3:
				r = New(limit)
				r.Adopt(stored)
			default:
				entries, changed := r.Take(now)
				if !changed {
					continue
				}
				outcome := rapid.IntRange(0, 2).Draw(rt, "outcome")
				if outcome > 0 {
					for id, e := range entries {
						if before, recorded := stored[id]; recorded && e.End > before.End {
							rt.Fatalf("%s ends at %v, and before at %v", id, e.End, before.End)
						}
					}
					stored = maps.Clone(entries)
				}
				if outcome < 2 {
					r.Failed()
					continue
				}
				r.Stored(entries)
			}
			for id := range stored {
				if !r.Holds(id) {
					rt.Fatalf("%s is free and in the stored record", id)
				}
			}
			if r.Len() > maxWorkers {
				rt.Fatalf("%d workers are recorded", r.Len())
			}
		}
	})
}

// TestReturn guards against a worker that waits longer than necessary for its lease after it has answered.
func TestReturn(t *testing.T) {
	const now = time.Minute
	tests := map[string]struct {
		// events are those after a doubt, by name.
		events []string
		// held, returning and due are what is expected after them.
		held, returning, due bool
	}{
		"not in any batch":     {[]string{"answer"}, false, false, true},
		"in a batch":           {[]string{"take", "answer"}, true, true, true},
		"in a failed batch":    {[]string{"take", "fail", "answer"}, true, true, true},
		"stored":               {[]string{"take", "store", "answer"}, true, true, true},
		"batch on its way":     {[]string{"take", "store", "answer", "take"}, true, true, false},
		"taken back":           {[]string{"take", "store", "answer", "take", "store"}, false, false, false},
		"not taken back":       {[]string{"take", "store", "answer", "take", "fail"}, true, true, true},
		"silent":               {[]string{"take", "store"}, true, false, false},
		"silent again":         {[]string{"take", "store", "answer", "doubt"}, true, false, false},
		"pruned":               {[]string{"take", "store", "prune", "take", "store"}, false, false, false},
		"pruned, has answered": {[]string{"take", "store", "prune", "answer"}, true, true, true},
		"unreadable":           {[]string{"unreadable"}, true, false, true},
		"unreadable, replaced": {[]string{"answer", "unreadable", "take", "store"}, false, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(Size("w"))
			doubt := func() { r.Doubt("w", Entry{End: now - time.Second}) }
			doubt()
			var taken Entries
			events := map[string]func(){
				"doubt": doubt, "answer": func() { r.TakeBack("w", now) }, "take": func() { taken, _ = r.Take(now) }, "fail": r.Failed, "store": func() { r.Stored(taken) },
				"prune": func() { r.Prune(now, func(string) bool { return false }) }, "unreadable": r.AdoptUnreadable,
			}
			for _, e := range test.events {
				events[e]()
			}
			qt.Assert(t, r.Holds("w"), qt.Equals, test.held)
			qt.Assert(t, r.Returning("w"), qt.Equals, test.returning)
			qt.Assert(t, r.Due(now), qt.Equals, test.due)
		})
	}
}

// TestAdmits guards against a write for each silence of a worker that flaps.
func TestAdmits(t *testing.T) {
	r := New(Size("w"))
	const now = time.Minute
	qt.Assert(t, r.Admits("w", time.Second, now), qt.IsTrue)
	r.Doubt("w", Entry{End: now})
	qt.Assert(t, r.Admits("w", time.Second, now), qt.IsFalse)
	qt.Assert(t, r.Admits("other", time.Second, now), qt.IsFalse, qt.Commentf("the record is full"))
	r.TakeBack("w", now)
	qt.Assert(t, r.Admits("w", time.Second, now+time.Second), qt.IsFalse)
	qt.Assert(t, r.Admits("w", flapSilence+1, now+time.Second), qt.IsTrue)
	qt.Assert(t, r.Admits("w", time.Second, now+settleTime+1), qt.IsTrue)
}
