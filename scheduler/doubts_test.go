package scheduler

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestServiceAcrossLostLeaders guards against a task that waits for the lease of a worker that is gone, anew after each leader that is lost
// without a word.
func TestServiceAcrossLostLeaders(t *testing.T) {
	for _, each := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(each.String(), func(t *testing.T) {
			task := work.Task{Job: "s"}
			r := newIdleRig(t, 2)
			r.addService("s", 1, 1000)
			r.play(time.Second)
			j := r.core.jobs["s"]
			doc, stored := j.doc, j.progress
			gone := j.open[0].steps[0].tasks[0].runs[0].worker.report.ID
			lastRun := r.now
			r.downSince[gone] = r.now
			r.play(2 * time.Second)
			qt.Assert(t, r.leases[gone].End > 0, qt.IsTrue)
			for term := 2; term < 8; term++ {
				next := newIdleRig(t, 2)
				next.now, next.calm, next.longest = r.now+takeoverTime, lastRun, r.longest
				next.downSince[gone], next.idleSince[task] = r.downSince[gone], max(lastRun, r.idleSince[task])
				next.runs = r.runs
				next.core = NewCore(Options{Bounds: rigBounds(), Fence: uint64(100 * term), Term: term, AcquiredAt: next.now, EarlierLeadersUntil: r.now + LeadershipTimeout})
				next.core.SetCatalog(r.core.catalog)
				next.core.SetLeaseEnds(r.leases)
				next.core.AddJob(doc, stored, 0)
				next.leases = r.leases
				r = next
				r.play(each)
				stored = r.core.jobs["s"].progress
			}
			qt.Assert(t, r.longest < maxIdle-idleReserve, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
		})
	}
}

// TestRecordedWorkerGetsNoLease guards against a task that runs twice because a leader extends a lease of which the stored record tells that
// it ends before.
func TestRecordedWorkerGetsNoLease(t *testing.T) {
	tests := map[string]struct {
		// adopt makes the worker one that an earlier leader has recorded.
		adopt bool
		// fails is the number of batches that fail after the worker has answered.
		fails int
	}{
		"recorded in this term":    {false, 0},
		"batches fail":             {false, 3},
		"recorded in another term": {true, 0},
		"adopted, batches fail":    {true, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1", "w2")
			r.addSteps("a", 2)
			r.accept(r.pass())
			for range 13 {
				r.advance(100 * time.Millisecond)
				r.reply("w2")
				r.pass()
			}
			if test.adopt {
				r = newRig(t, 2)
				r.core.SetLeaseEnds(leaserecord.Entries{"w1": {End: r.now + 4*time.Second, Incarnation: rigIncarnation}})
				r.register("w1")
			}
			_, recorded := r.core.leaseRecord.Entry("w1")
			qt.Assert(t, recorded, qt.IsTrue)
			_, recorded = r.core.leaseRecord.Entry("w2")
			qt.Assert(t, recorded, qt.IsFalse)
			before := r.core.workers["w1"].requestedExpiry
			requested := func() time.Duration {
				r.advance(100 * time.Millisecond)
				renewal, _ := r.core.Renewal("w1")
				r.core.HandleStatus(renewal.call, worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: rigIncarnation}, Running: r.runs["w1"]}, r.now, nil)
				renewal, _ = r.core.Renewal("w1")
				return renewal.Command.LeaseExpiry
			}
			qt.Assert(t, requested(), qt.Equals, before)
			for range test.fails {
				b := r.core.TakeBatch(100)
				qt.Assert(t, b.LeaseEnds, qt.IsNotNil)
				qt.Assert(t, requested(), qt.Equals, before)
				r.core.BatchFailed(b)
				qt.Assert(t, requested(), qt.Equals, before)
			}
			b := r.core.TakeBatch(100)
			qt.Assert(t, b.LeaseEnds, qt.HasLen, 0)
			qt.Assert(t, b.Empty(), qt.IsFalse)
			qt.Assert(t, requested(), qt.Equals, before)
			r.core.BatchStored(b)
			qt.Assert(t, requested(), qt.Equals, r.now+leaseDuration)
		})
	}
}

// TestRecordedLeaseEnd guards against an end in the record that is earlier than that of a lease: of the worker itself, or one that an earlier
// leader may have given to a worker that this one has not reached.
func TestRecordedLeaseEnd(t *testing.T) {
	r := newRig(t, 2, "w1")
	r.core.SetRoster([]RosterEntry{{ID: "w8", Pool: "p", Address: "w8:1", Incarnation: rigIncarnation, Capacity: coresOnly(4)}})
	for i, id := range []string{"w8", "w9", "restarted"} {
		r.recordedJob(string(rune('a'+i)), id)
	}
	r.core.SetRoster([]RosterEntry{{ID: "restarted", Pool: "p", Address: "r:1", Incarnation: rigIncarnation + 1, Capacity: coresOnly(4)}})
	r.core.SetWorkers([]worker.Report{rigReport("w1", coresOnly(4)), rigReport("restarted", coresOnly(4))})
	r.addSteps("d", 1)
	r.accept(r.pass())
	expiry := r.core.workers["w1"].certainExpiry()
	r.pass()
	r.passUntil(r.now + maxLeaseExtension)
	r.advance(time.Millisecond)
	r.core.Renewal("w1")
	expiry = max(expiry, r.core.workers["w1"].certainExpiry())
	r.pass()
	want := leaserecord.Entries{
		"w1": {Incarnation: rigIncarnation, End: expiry}, "w8": {Incarnation: rigIncarnation, End: r.core.previousLeasesExpireAt()}, "w9": {End: r.core.previousLeasesExpireAt()},
	}
	qt.Assert(t, r.leases, qt.DeepEquals, want)
	// The next leader does not compute later ends, and that for another life of the worker does not count.
	next := newRig(t, 3)
	next.advance(3 * time.Second)
	next.core.SetLeaseEnds(r.leases)
	next.register("w1")
	for id, e := range want {
		qt.Assert(t, next.core.previousLeaseEnd(id), qt.Equals, min(e.End, next.core.previousLeasesExpireAt()))
	}
	other := newRig(t, 3)
	other.core.SetLeaseEnds(r.leases)
	other.core.SetWorkers([]worker.Report{restartedReport("w1")})
	qt.Assert(t, other.core.previousLeaseEnd("w1"), qt.Equals, other.core.leaders.LeasesUntil(other.core.limits, true))
}

// TestNoRecordWithoutStore guards against workers that lose their tasks in an outage of the store, because they cannot be taken back.
func TestNoRecordWithoutStore(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	r.accept(r.pass())
	confirmed := r.now
	r.passUntil(r.now + maxLeaseExtension)
	r.advance(100 * time.Millisecond)
	r.core.SetConfirmed(confirmed)
	r.schedule()
	qt.Assert(t, r.core.leaseRecord.Len(), qt.Equals, 0)
	r.core.SetConfirmed(r.now)
	r.schedule()
	qt.Assert(t, r.core.leaseRecord.Len(), qt.Equals, 1)
}

// TestLargestLeaseRecord guards against a record that its row cannot hold, which would keep workers from being taken back.
func TestLargestLeaseRecord(t *testing.T) {
	for _, length := range []int{1, 17, 300} {
		e, _ := newTestEngine(t, memory.New(), 1)
		for i := range store.MaxRowBytes / 20 {
			e.core.leaseRecord.Doubt(strings.Repeat("w", length)+strconv.Itoa(10000+i), leaserecord.Entry{Incarnation: math.MaxInt64, End: 1, StoredEnd: math.MaxInt64})
		}
		value, err := e.encode(e.newHandoverRow(e.core.leaseRecord.Entries()))
		qt.Assert(t, err, qt.IsNil)
		put := store.Put{Key: leaseRecordKey, Value: value}
		qt.Assert(t, put.Validate(), qt.IsNil, qt.Commentf("%d workers", e.core.leaseRecord.Len()))
	}
}
