package misdirection

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/worker"
)

// TestDirectory guards against a worker that is never used again since another instance answered at its address once, against one that is
// used at once although its entry has not changed, and against memory of workers that are gone.
func TestDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New()
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
				d.Record(r, now)
			},
			"wait":   func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond },
			"unlist": func(*rapid.T) { d.Retain(nil); count, until = 0, 0 },
			"list":   func(*rapid.T) { d.Retain(map[string]bool{"w": true}) },
			"": func(t *rapid.T) {
				for _, address := range []string{"a", "b"} {
					for incarnation := int64(1); incarnation <= 2; incarnation++ {
						r := worker.Report{ID: "w", Address: address, Incarnation: incarnation}
						want := count > 0 && now < until && address == recorded.Address && incarnation == recorded.Incarnation
						if got := d.Misdirects(r, now); got != want {
							t.Fatalf("entry %+v misdirects: %t, want %t", r, got, want)
						}
					}
				}
				if got, want := d.Len(), min(count, 1); got != want {
					t.Fatalf("%d entries, want %d", got, want)
				}
			},
		})
	})
}
