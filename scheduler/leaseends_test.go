package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
)

// TestServiceAcrossPlannedStops guards against a task that waits for the lease of a worker that is gone, anew after each planned stop of a
// leader.
func TestServiceAcrossPlannedStops(t *testing.T) {
	for _, each := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		t.Run(each.String(), func(t *testing.T) {
			const terms = 8
			task := work.Task{Job: "s"}
			r := newIdleRig(t, 2)
			r.addService("s", 1, 1000)
			r.play(time.Second)
			j := r.core.jobs["s"]
			doc, stored := j.doc, j.progress
			gone := j.open[0].steps[0].tasks[0].runs[0].worker.report.ID
			lastRun := r.now
			r.downSince[gone] = r.now
			r.play(time.Second)
			for term := 2; term < 2+terms; term++ {
				ends := r.core.LeaseEnds()
				next := newIdleRig(t, 2)
				next.now, next.calm, next.longest = r.now+100*time.Millisecond, lastRun, r.longest
				next.downSince[gone], next.idleSince[task] = r.downSince[gone], max(lastRun, r.idleSince[task])
				next.runs = r.runs
				next.core = NewCore(Options{Bounds: rigBounds(), Fence: uint64(100 * term), Term: term, AcquiredAt: next.now, PreviousLeaderEnded: true, EarlierLeadersUntil: next.now})
				next.core.SetCatalog(r.core.catalog)
				next.core.SetLeaseEnds(ends)
				next.core.AddJob(doc, stored, 0)
				r = next
				r.play(each)
				stored = r.core.jobs["s"].progress
			}
			qt.Assert(t, r.longest < maxIdle-idleReserve, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
		})
	}
}

// TestHandOver guards against a next leader that is not told which workers may be down, and against one that believes it although a leader
// between has not observed the record.
func TestHandOver(t *testing.T) {
	tests := map[string]struct {
		term int
		// from is the first of the terms up to this one whose leaders all observe the record.
		from int
		told bool
	}{
		"next term":                                {2, 1, true},
		"later term":                               {4, 1, true},
		"next term, earlier version before":        {2, 2, true},
		"next term, versions not known":            {2, 0, true},
		"later term, earlier version between":      {3, 3, false},
		"later term, earlier version in both":      {3, 0, false},
		"scheduler started again in the same term": {1, 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memory.New()
				first, _ := newTestEngine(t, s, 1)
				r := newRig(t, 1, "w1")
				first.core.workers = r.core.workers
				end := r.core.workers["w1"].certainExpiry()
				time.Sleep(doubtedAfter + time.Millisecond)
				first.core.SetTime(clock.Now())
				first.HandOver(t.Context())
				l, err := load(t.Context(), s, first.logger, first.logRow)
				qt.Assert(t, err, qt.IsNil)
				second, _ := newTestEngine(t, s, 1)
				second.options.Core.Term, second.options.Core.LeasesBoundedFrom = test.term, test.from
				second.takeHandover(l.handover, true, clock.Now())
				got, ok := second.core.leaseRecord.Entry("w1")
				qt.Assert(t, ok, qt.Equals, test.told)
				qt.Assert(t, second.core.leaseRecord.Holds("w1"), qt.Equals, test.told)
				qt.Assert(t, !ok || got.End >= end && got.End <= max(end, clock.Now())+storeClockError && got.Incarnation == rigIncarnation, qt.IsTrue, qt.Commentf("%v, %v", got, end))
				// The error of the store's clock does not add up.
				qt.Assert(t, !ok || second.newHandoverRow(second.core.leaseRecord.Entries()).LeasesUntil["w1"] == l.handover.LeasesUntil["w1"], qt.IsTrue)
				// A leader of this version whose predecessor was of an earlier one makes the record its own.
				_, changed := second.core.leaseRecord.Take(clock.Now())
				qt.Assert(t, changed, qt.Equals, test.told && (test.from == 0 || test.from > 1))
			})
		})
	}
}

// TestLeaseRecordRows guards against a row that the version before or after misreads, and against a lease that is extended although the
// row may name its worker.
func TestLeaseRecordRows(t *testing.T) {
	type earlierRow struct {
		Term        int                      `cbor:"1,keyasint"`
		LeasesUntil map[string]time.Duration `cbor:"2,keyasint,omitempty"`
	}
	encoded := func(v any) []byte {
		value, err := cbor.Marshal(v)
		qt.Assert(t, err, qt.IsNil)
		return value
	}
	until := map[string]time.Duration{"w1": time.Hour, "w2": time.Minute}
	var earlier earlierRow
	qt.Assert(t, cbor.Unmarshal(encoded(leaserecord.Row{Term: 1, LeasesUntil: until, Incarnations: []int64{1, 2}}), &earlier), qt.IsNil)
	qt.Assert(t, earlier, qt.DeepEquals, earlierRow{1, until})
	tests := map[string]struct {
		value []byte
		// holds tells whether the leases of w1 and of another worker may not be extended.
		holds, holdsOther bool
	}{
		"earlier version": {encoded(earlier), true, false},
		"this version":    {encoded(leaserecord.Row{Term: 1, LeasesUntil: until, Incarnations: []int64{1, 2}}), true, false},
		"no record":       {nil, false, false},
		"no entries":      {encoded(leaserecord.Row{Term: 1}), false, false},
		"broken":          {[]byte{0xff}, true, true},
		"mismatch":        {encoded(leaserecord.Row{Term: 1, LeasesUntil: until, Incarnations: []int64{1}}), true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memory.New()
				if test.value != nil {
					_, err := s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: leaseRecordKey, Value: test.value}}})
					qt.Assert(t, err, qt.IsNil)
				}
				e, _ := newTestEngine(t, s, 2)
				l, err := load(t.Context(), s, e.logger, e.logRow)
				qt.Assert(t, err, qt.IsNil)
				e.takeHandover(l.handover, !l.handoverUnreadable, clock.Now())
				qt.Assert(t, e.core.leaseRecord.Holds("w1"), qt.Equals, test.holds)
				qt.Assert(t, e.core.leaseRecord.Holds("w9"), qt.Equals, test.holdsOther)
				// The first batch replaces a row that cannot be read.
				qt.Assert(t, e.Start(t.Context()), qt.IsNil)
				time.Sleep(time.Second)
				e.Stop()
				qt.Assert(t, e.core.leaseRecord.Holds("w9"), qt.IsFalse)
				l, err = load(t.Context(), s, e.logger, e.logRow)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, l.handoverUnreadable, qt.IsFalse)
			})
		})
	}
}
