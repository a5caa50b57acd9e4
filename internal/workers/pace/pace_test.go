package pace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/internal/workers/pace"
)

const halfLife = 20 * time.Second

// TestFactor guards against a slow worker that is not found, and against workers that count as slow for a few long tasks, for one job that was
// expected wrongly, or for nothing.
func TestFactor(t *testing.T) {
	type run struct {
		job   int
		ratio float64
	}
	repeat := func(n int, ratios ...float64) (runs []run) {
		for i := range n {
			runs = append(runs, run{i, ratios[i%len(ratios)]})
		}
		return runs
	}
	tests := map[string]struct {
		runs     []run
		min, max float64
	}{
		"new":                      {nil, 1, 1},
		"usual":                    {repeat(9, 0.8, 1.2, 1), 1, 1},
		"two jobs":                 {repeat(2, 5), 1, 1},
		"many runs of one job":     {[]run{{1, 5}, {1, 5}, {1, 5}, {1, 5}}, 1, 1},
		"slow":                     {repeat(9, 2.5, 3, 3.5), 2.4, 3.3},
		"fast":                     {repeat(9, 0.5), 0.45, 0.6},
		"one long task":            {append(repeat(6, 1), run{6, 7}), 1, 1},
		"two long tasks":           {append(repeat(6, 1), run{6, 7}, run{7, 7}), 1, 1},
		"slow with one short task": {append(repeat(8, 3), run{9, 0.4}), 2.4, 3.3},
		"far too slow":             {repeat(9, 1000), 4, 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := pace.New(halfLife)
			for i, r := range test.runs {
				tracker.Observe("w", fmt.Sprint(r.job), r.ratio, time.Duration(i)*100*time.Millisecond)
			}
			got := tracker.Factor("w")
			qt.Assert(t, got >= test.min && got <= test.max, qt.IsTrue, qt.Commentf("%g", got))
			qt.Assert(t, tracker.Factor("other"), qt.Equals, 1.0)
		})
	}
}

// TestRate guards against a worker that is named slow or usual again and again while its factor varies little.
func TestRate(t *testing.T) {
	tracker := pace.New(halfLife)
	var names []string
	for i := range 200 {
		ratio := 1.75 + 0.1*float64(i%3)
		if i >= 100 {
			ratio = 1
		}
		tracker.Observe("w", fmt.Sprint(i), ratio, time.Second)
		if _, name := tracker.Rate("w"); name != "" {
			names = append(names, name)
		}
	}
	qt.Assert(t, names, qt.DeepEquals, []string{"slow", "usual"})
	_, name := tracker.Rate("other")
	qt.Assert(t, name, qt.Equals, "")
}

// TestNoise guards against workers of usual pace that count as slow: each has tasks that vary, a few that take seven times as long, and jobs that
// were expected wrongly.
func TestNoise(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	tracker := pace.New(halfLife)
	const workers = 300
	slow := 0
	for i := range workers {
		for job := range 20 {
			ratio := math.Exp(0.3 * random.NormFloat64())
			if random.Float64() < 0.03 {
				ratio *= 7
			}
			tracker.Observe(fmt.Sprint(i), fmt.Sprint(job), ratio, time.Second)
		}
		if tracker.Factor(fmt.Sprint(i)) > 1.5 {
			slow++
		}
	}
	qt.Assert(t, slow, qt.Equals, 0)
}

// TestRecovery guards against a worker that counts as slow for long after it is not, whether it gets tasks or not.
func TestRecovery(t *testing.T) {
	slow := func() *pace.Tracker {
		tracker := pace.New(halfLife)
		for i := range 9 {
			tracker.Observe("w", fmt.Sprint(i), 4, time.Second)
		}
		qt.Assert(t, tracker.Factor("w") > 3, qt.IsTrue)
		return tracker
	}
	tracker := slow()
	for i := range 6 {
		tracker.Observe("w", fmt.Sprint("later", i), 1, 2*time.Second)
	}
	qt.Assert(t, tracker.Factor("w"), qt.Equals, 1.0)
	tracker = slow()
	tracker.Advance(3 * halfLife)
	qt.Assert(t, tracker.Factor("w"), qt.Equals, 1.0)
	tracker.Advance(10 * halfLife)
	qt.Assert(t, tracker.Known("w"), qt.IsFalse)
}

// TestModel guards against factors that are out of range, and against memory or rows without bound, whatever is observed.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := pace.New(halfLife)
		now, latest := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(0, 60).Draw(t, "runs") {
			worker := rapid.StringMatching("[a-c]{0,2}").Draw(t, "worker")
			now += time.Duration(rapid.Int64Range(-int64(time.Second), int64(10*time.Second)).Draw(t, "passed"))
			latest = max(latest, now)
			tracker.Observe(worker, rapid.StringMatching("[a-f]").Draw(t, "job"), rapid.Float64().Draw(t, "ratio"), now)
			if f := tracker.Factor(worker); !(f >= 1.0/8-1e-6) || f > 8+1e-6 {
				t.Fatalf("factor %g", f)
			}
		}
		data, err := tracker.Snapshot(latest)
		if err != nil {
			t.Fatal(err)
		}
		next := pace.New(halfLife)
		if data != nil {
			if err := next.Restore(data, latest); err != nil {
				t.Fatal(err)
			}
		}
		next.Advance(latest)
		for _, worker := range []string{"", "a", "b", "c", "aa"} {
			if a, b := tracker.Factor(worker), next.Factor(worker); math.Abs(a-b) > 0.1*a {
				t.Fatalf("worker %q: factor %g, restored %g", worker, a, b)
			}
		}
	})
}

// TestManyWorkers guards against a snapshot that does not fit into a row, and against a row that cannot be read and changes what is known.
func TestManyWorkers(t *testing.T) {
	tracker := pace.New(halfLife)
	for i := range 10000 {
		for job := range 4 {
			tracker.Observe(fmt.Sprintf("a-worker-with-quite-a-long-name-%06d", i), fmt.Sprint(job), 4, time.Duration(i)*time.Millisecond)
		}
	}
	data, err := tracker.Snapshot(10 * time.Second)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(data) > 10000 && len(data) < 65000, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	qt.Assert(t, tracker.Restore([]byte("x"), 0), qt.IsNotNil)
	qt.Assert(t, tracker.Factor("a-worker-with-quite-a-long-name-009999") > 2, qt.IsTrue)
}
