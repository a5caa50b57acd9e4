package status_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/burn"
	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/status"
	"github.com/chivetiller/chivetiller/wave"
)

var noon = time.Date(2030, 5, 1, 12, 0, 0, 0, time.UTC)

// newInputs returns a fleet in which pool7 is short of slots, pool3 has a failed instance and class2 misses its
// target.
func newInputs(t testing.TB, pools, workers, classes, entries int) status.Inputs {
	in := status.Inputs{
		Now: noon, Entry: "entry0", Platform: "up", ConfigVersion: 12, ConfigAge: time.Second, ConfigConfirmed: true, KeysAdmitted: true,
		Loads: map[string]status.Load{"pool7": {Queued: 5, Running: 8, Slots: 8}},
		Waves: []wave.Progress{{Name: "kernel", State: wave.StateRunning, Pools: []wave.PoolProgress{{Size: 10, Rebooted: 4, Skipped: 1}}}},
	}
	for i := range pools {
		p, err := pool.New(pool.Spec{Name: fmt.Sprintf("pool%d", i), MaxUnavailable: "20%"})
		qt.Assert(t, err, qt.IsNil)
		in.Pools = append(in.Pools, p)
	}
	for i := range workers {
		row := pool.Instance{ID: fmt.Sprintf("i%d", i), Pool: fmt.Sprintf("pool%d", i%pools), State: pool.StateServing}
		if i == 3 {
			row.State = pool.StateFailed
		}
		in.Rows = append(in.Rows, pool.Stored{Instance: row})
	}
	recorder := burn.NewRecorder("entry0", 1, noon)
	for i := range classes {
		c, err := class.New(class.Spec{Name: fmt.Sprintf("class%d", i), Pool: fmt.Sprintf("pool%d", i%pools), Target: "1s", Share: 1})
		qt.Assert(t, err, qt.IsNil)
		in.Classes = append(in.Classes, c)
		outcome := burn.Met
		if i == 2 {
			outcome = burn.Late
		}
		recorder.Record(c.Name(), "team", outcome)
	}
	in.BurnHistory = recorder.CloseBucket(noon)
	for i := range entries {
		in.Entries = append(in.Entries, status.Entry{Name: fmt.Sprintf("entry%d", i), State: "alive", Version: 12})
	}
	if entries > 1 {
		in.Entries[1].State = "dead"
	}
	return in
}

// TestOrder guards against a report that lists what needs attention below what does not.
func TestOrder(t *testing.T) {
	r := status.NewReport(newInputs(t, 20, 60, 30, 7))
	qt.Assert(t, r.Pools[0].Pool, qt.Equals, "pool7")
	qt.Assert(t, r.Pools[0].Short, qt.IsTrue)
	qt.Assert(t, r.Pools[1].Pool, qt.Equals, "pool3")
	qt.Assert(t, r.Classes[0].Class, qt.Equals, "class2")
	qt.Assert(t, r.Entries[0].Name, qt.Equals, "entry1")
	qt.Assert(t, r.TargetsMet(), qt.IsFalse)

	var out bytes.Buffer
	qt.Assert(t, status.Write(&out, r, 5), qt.IsNil)
	for _, want := range []string{"TARGETS ARE MISSED", "SHORT", "... and 15 more", "5 of 10", "dead"} {
		qt.Check(t, strings.Contains(out.String(), want), qt.IsTrue, qt.Commentf("%q is missing in\n%s", want, out.String()))
	}
}

// TestUnknown guards against a class without a record that looks as if it met its target, and against a report
// that does not say that keyed work is rejected.
func TestUnknown(t *testing.T) {
	in := newInputs(t, 1, 1, 1, 1)
	in.BurnHistory, in.ConfigConfirmed, in.KeysAdmitted = nil, false, false
	var out bytes.Buffer
	qt.Assert(t, status.Write(&out, status.NewReport(in), 0), qt.IsNil)
	for _, want := range []string{"unknown", "never confirmed", "KEYED WORK IS REJECTED"} {
		qt.Check(t, strings.Contains(out.String(), want), qt.IsTrue, qt.Commentf("%q is missing in\n%s", want, out.String()))
	}
}

// BenchmarkReport measures the time to make and write a report. The target at the largest size is 1 s, including
// the reads of the data.
func BenchmarkReport(b *testing.B) {
	for _, size := range []struct{ pools, workers, classes, entries int }{{5, 50, 10, 7}, {50, 700, 100, 20}, {273, 3700, 546, 70}} {
		b.Run(fmt.Sprintf("pools=%d/workers=%d", size.pools, size.workers), func(b *testing.B) {
			in := newInputs(b, size.pools, size.workers, size.classes, size.entries)
			for b.Loop() {
				var out bytes.Buffer
				qt.Assert(b, status.Write(&out, status.NewReport(in), status.DefaultRows), qt.IsNil)
			}
		})
	}
}
