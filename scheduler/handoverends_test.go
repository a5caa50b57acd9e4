package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/worker"
)

// TestHandOverOfRestartedWorker guards against a lease end that was handed over for one life of a worker and is used for the next one, which
// commands to the life before may still reach.
func TestHandOverOfRestartedWorker(t *testing.T) {
	tests := map[string]struct {
		report worker.Report
		used   bool
	}{
		"same life": {rigReport("w1", coresOnly(4)), true},
		"next life": {restartedReport("w1"), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const now = time.Minute
			c := NewCore(Options{Bounds: rigBounds(), Fence: 100, Term: 2, AcquiredAt: now, PreviousLeaderEnded: true, EarlierLeadersUntil: now})
			c.SetTime(now)
			before := rigReport("w1", coresOnly(4))
			c.SetRoster([]RosterEntry{{ID: before.ID, Pool: before.Pool, Address: before.Address, Incarnation: rigIncarnation, Capacity: before.Capacity}})
			c.SetLeaseEnds(leaserecord.Entries{"w1": {End: now + time.Second}})
			c.SetWorkers([]worker.Report{test.report})
			c.SetTime(now + 2*time.Second)
			qt.Assert(t, c.previousLeaseExpired("w1"), qt.Equals, test.used)
			c.SetTime(now + 30*time.Second)
			qt.Assert(t, c.previousLeaseExpired("w1"), qt.IsTrue)
		})
	}
}

// TestHandOverBesideLateReplies guards against a lease end that is too early for the next leader, because the leader that stops knows the
// store's clock from replies that travelled long.
func TestHandOverBesideLateReplies(t *testing.T) {
	for _, delay := range []time.Duration{0, 400 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memory.New()
				first, _ := newTestEngine(t, s, 1)
				first.options.Clock = new(store.Clock)
				first.options.Clock.Update(time.Hour + clock.Now() - delay)
				first.core.workers = newRig(t, 1, "w1").core.workers
				end := first.core.workers["w1"].certainExpiry()
				time.Sleep(doubtedAfter + time.Millisecond)
				first.HandOver(t.Context())
				end = max(end, clock.Now())
				l, err := load(t.Context(), s, first.logger, first.logRow)
				qt.Assert(t, err, qt.IsNil)
				second, _ := newTestEngine(t, s, 1)
				second.options.Core.Term = 2
				second.options.Clock = new(store.Clock)
				second.options.Clock.Update(time.Hour + clock.Now())
				second.takeHandover(l.handover, true, clock.Now())
				got, ok := second.core.leaseRecord.Entry("w1")
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, got.End >= end, qt.IsTrue, qt.Commentf("%v, %v", got, end))
			})
		})
	}
}
