package series_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/internal/soak/series"
)

// drawSize draws a size.
func drawSize(t *rapid.T) series.Size {
	return series.Size{
		Nodes: rapid.IntRange(1, 200).Draw(t, "nodes"), Workers: rapid.IntRange(1, 200).Draw(t, "workers"),
		Duration: time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second,
	}
}

func TestSeries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, size := rapid.Uint64().Draw(t, "seed"), drawSize(t)
		faults := series.New(seed, size)
		if again := series.New(seed, size); !slices.Equal(again, faults) {
			t.Fatalf("another series from the same seed: %v, not %v", again, faults)
		}
		var last time.Duration
		for _, f := range faults {
			if f.At < last || f.At+f.Duration > size.Duration || f.Target < 0 || f.Target >= max(size.Nodes, size.Workers) {
				t.Fatalf("%v", f)
			}
			last = f.At
		}
	})
}

func TestAllKinds(t *testing.T) {
	c := qt.New(t)
	seen, patterns := make(map[series.Kind]bool), make(map[string]bool)
	overlaps := 0
	for seed := range uint64(50) {
		var end time.Duration
		for _, f := range series.New(seed, series.Size{Nodes: 3, Workers: 9, Duration: 20 * time.Second}) {
			seen[f.Kind], patterns[f.Pattern] = true, true
			if f.At < end {
				overlaps++
			}
			end = max(end, f.At+f.Duration)
		}
	}
	c.Assert(len(seen), qt.Equals, len(series.Kinds()))
	// The six patterns, and faults without one.
	c.Assert(len(patterns), qt.Equals, 7)
	c.Assert(overlaps > 50, qt.IsTrue)
}
