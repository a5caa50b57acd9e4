package burn_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/burn"
	"github.com/chivetiller/chivetiller/provider"
)

var noon = time.Date(2030, 5, 1, 12, 0, 0, 0, time.UTC)

// TestReport guards against a wrong attainment, burn rate or budget, and against outcomes that wrongly count for
// or against the objective.
func TestReport(t *testing.T) {
	tests := map[string]struct {
		outcomes   map[burn.Outcome]int
		attainment float64
		burnRate   float64
		budgetLeft float64
	}{
		"no requests":     {attainment: 1, budgetLeft: 1},
		"all met":         {outcomes: map[burn.Outcome]int{burn.Met: 10}, attainment: 1, budgetLeft: 1},
		"budget used up":  {outcomes: map[burn.Outcome]int{burn.Met: 99, burn.Late: 1}, attainment: 0.99, burnRate: 1},
		"overspent":       {outcomes: map[burn.Outcome]int{burn.Met: 96, burn.Late: 1, burn.Failed: 1, burn.Refused: 2}, attainment: 0.96, burnRate: 4, budgetLeft: -3},
		"limited is free": {outcomes: map[burn.Outcome]int{burn.Met: 10, burn.Limited: 10}, attainment: 1, budgetLeft: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := burn.NewRecorder("one-1", 1, noon)
			for outcome, n := range tt.outcomes {
				for range n {
					r.Record("quote", "workshops", outcome)
				}
			}
			report := burn.NewReport(noon.Add(time.Second), map[string]float64{"quote": 0.99}, r.CloseBucket(noon))
			row := report.Rows[0]
			qt.Assert(t, row.Class+"/"+row.Team, qt.Equals, "quote/")
			for _, w := range row.Windows {
				qt.Assert(t, fmt.Sprintf("%.6f %.6f", w.Attainment, w.BurnRate), qt.Equals, fmt.Sprintf("%.6f %.6f", tt.attainment, tt.burnRate))
			}
			qt.Assert(t, fmt.Sprintf("%.6f", row.BudgetLeft), qt.Equals, fmt.Sprintf("%.6f", tt.budgetLeft))
		})
	}
}

// TestWindows guards against a window that counts older requests, and against a gap that is reported as a time
// without requests.
func TestWindows(t *testing.T) {
	first := burn.NewRecorder("one-1", 1, noon)
	second := burn.NewRecorder("two-1", 1, noon)
	objects := newObjects()
	save := func(r *burn.Recorder, at time.Time) {
		qt.Assert(t, burn.Save(t.Context(), objects, r.CloseBucket(at)), qt.IsNil)
	}
	first.Record("quote", "workshops", burn.Late)
	save(first, noon)
	first.Record("quote", "workshops", burn.Met)
	second.Record("quote", "phones", burn.Met)
	save(first, noon.Add(50*time.Minute))
	save(second, noon.Add(50*time.Minute))
	save(first, noon.Add(65*time.Minute)) // a minute without requests, in the next chunk
	now := noon.Add(66 * time.Minute)

	chunks, err := burn.Load(t.Context(), objects, now)
	qt.Assert(t, err, qt.IsNil)
	report := burn.NewReport(now, map[string]float64{"quote": 0.99}, chunks)
	var got []string
	for _, row := range report.Rows {
		for _, w := range row.Windows[:3] {
			got = append(got, fmt.Sprintf("%s %s %d/%d", row.Team, w.Window, w.Met, w.Requests))
		}
	}
	qt.Assert(t, got, qt.DeepEquals, []string{
		" 5m 0/0", " 1h 2/2", " 6h 2/3",
		"phones 5m 0/0", "phones 1h 1/1", "phones 6h 1/1",
		"workshops 5m 0/0", "workshops 1h 1/1", "workshops 6h 1/2",
	})
	qt.Assert(t, report.Gaps, qt.DeepEquals, []burn.Gap{
		{From: noon.Add(time.Minute), To: noon.Add(50 * time.Minute)},
		{From: noon.Add(51 * time.Minute), To: noon.Add(65 * time.Minute)},
	})

	deleted, err := burn.Prune(t.Context(), objects, noon.Add(73*time.Hour), 10)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, deleted, qt.Equals, 2)
	qt.Assert(t, len(objects), qt.Equals, 1)
}

// TestOpen guards against a status that leaves out the requests of the current minute or counts them twice.
func TestOpen(t *testing.T) {
	r := burn.NewRecorder("one-1", 1, noon)
	r.Record("quote", "workshops", burn.Met)
	stored := r.CloseBucket(noon)
	r.Record("quote", "workshops", burn.Late)
	for range 2 {
		chunks := slices.Concat(stored, []burn.Chunk{r.CurrentChunk(noon.Add(time.Second))})
		w := burn.NewReport(noon.Add(2*time.Second), map[string]float64{"quote": 0.9}, chunks).Rows[0].Windows[0]
		qt.Assert(t, []uint64{w.Met, w.Late}, qt.DeepEquals, []uint64{1, 1})
	}
	r.Record("quote", "workshops", burn.Late)
	w := burn.NewReport(noon.Add(2*time.Second), map[string]float64{"quote": 0.9}, r.CloseBucket(noon.Add(time.Second))).Rows[0].Windows[0]
	qt.Assert(t, []uint64{w.Met, w.Late}, qt.DeepEquals, []uint64{1, 2})
}

// TestLoadBrokenObject guards against a report that silently leaves out a chunk it could not read.
func TestLoadBrokenObject(t *testing.T) {
	objects := newObjects()
	objects["burn/2030-05-01T12/one-1-1"] = []byte{0xff}
	_, err := burn.Load(t.Context(), objects, noon)
	qt.Assert(t, err, qt.ErrorMatches, `object burn/2030-05-01T12/one-1-1: decode burn history: .*`)
}

// busyObjects is over its read budget for the first calls of Get.
type busyObjects struct {
	fakeObjects
	left int
}

func (o *busyObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if o.left > 0 {
		o.left--
		return nil, provider.ErrOverBudget
	}
	return o.fakeObjects.Get(ctx, name)
}

// TestLoadOverBudget guards against a report that fails or leaves out chunks because it needs more reads than the
// budget has.
func TestLoadOverBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &busyObjects{fakeObjects: newObjects(), left: 30}
		qt.Assert(t, burn.Save(t.Context(), objects, burn.NewRecorder("one-1", 1, noon).CloseBucket(noon)), qt.IsNil)
		chunks, err := burn.Load(t.Context(), objects, noon)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, chunks, qt.HasLen, 1)

		objects.left = 1000
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = burn.Load(ctx, objects, noon)
		qt.Assert(t, err, qt.ErrorIs, provider.ErrOverBudget)
	})
}

type fakeObjects map[string][]byte

func newObjects() fakeObjects { return make(fakeObjects) }

func (o fakeObjects) Put(_ context.Context, name string, data []byte) error {
	o[name] = data
	return nil
}

func (o fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	data, ok := o[name]
	if !ok {
		return nil, provider.ErrNotFound
	}
	return data, nil
}

func (o fakeObjects) List(_ context.Context, prefix string) ([]string, error) {
	var names []string
	for name := range o {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}

func (o fakeObjects) Delete(_ context.Context, name string) error {
	delete(o, name)
	return nil
}

func ExampleNewReport() {
	recorder := burn.NewRecorder("one-1", 1, noon)
	recorder.Record("quote", "workshops", burn.Met)
	recorder.Record("quote", "workshops", burn.Late)
	report := burn.NewReport(noon, map[string]float64{"quote": 0.9}, recorder.CloseBucket(noon))
	fmt.Printf("burn rate %.1f over %s\n", report.Rows[0].Windows[0].BurnRate, report.Rows[0].Windows[0].Window)
	// Output: burn rate 5.0 over 5m
}

// BenchmarkRecord measures the cost of recording a request. The target is at most 1 % of the processor time of a
// request.
func BenchmarkRecord(b *testing.B) {
	for _, teams := range []int{6, 60, 360} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			r := burn.NewRecorder("one-1", 1, noon)
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprintf("team%d", i)
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				i := 0
				for pb.Next() {
					r.Record("quote", names[i%teams], burn.Met)
					i++
				}
			})
		})
	}
}
