package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/clock"
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

// TestHandOver guards against a next leader that is not told which workers may be down, and against a leader of a later term that believes it.
func TestHandOver(t *testing.T) {
	tests := map[string]struct {
		term int
		told bool
	}{
		"next term":  {2, true},
		"later term": {3, false},
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
				second.options.Core.Term = test.term
				second.takeHandover(l.handover, clock.Now())
				got, ok := second.core.leaseEnds["w1"]
				qt.Assert(t, ok, qt.Equals, test.told)
				qt.Assert(t, !ok || got >= end && got <= max(end, clock.Now())+storeClockError, qt.IsTrue, qt.Commentf("%v, %v", got, end))
			})
		})
	}
}
