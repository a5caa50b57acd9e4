package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// recordedJob adds a job with one task of which a previous leader has started run 7 on a worker.
func (r *rig) recordedJob(id, workerID string) {
	progress := work.NewProgress()
	doc := work.Job{ID: id, Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 1000}}}}
	progress.Occurrence(&doc, 0).SetRun(0, 0, workerID, 7)
	r.core.AddJob(doc, progress, 0)
}

// TestUnlistedUnreachedWorker guards against a task that runs twice because a worker that a new leader has not reached is dropped
// before its lease has ended: its entry has expired in the registry, while the previous leader is cut off with it and renews the lease.
func TestUnlistedUnreachedWorker(t *testing.T) {
	roster := []RosterEntry{{ID: "w9", Pool: "p", Address: "w9:1", Incarnation: rigIncarnation, Capacity: work.Resources{CPU: 4000, Memory: 4000}}}
	tests := map[string]struct {
		previousEnded bool
		// leaseEnd is the time after the start of the term until which the task may run on the unreached worker.
		leaseEnd time.Duration
	}{
		"previous leader may act":   {false, maxUnconfirmedLease},
		"previous leader has ended": {true, leaseDuration},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, "w1")
			if test.previousEnded {
				r.core.PreviousLeaderEnded()
			}
			r.core.SetRoster(roster)
			r.recordedJob("a", "w9")
			r.register("w1")
			pass := func() []string {
				r.advance(100 * time.Millisecond)
				r.reply("w1")
				return startsOf(r.pass())
			}
			start := r.now
			for r.now < start+test.leaseEnd {
				qt.Assert(t, pass(), qt.HasLen, 0, qt.Commentf("%s after the start of the term", r.now-start))
			}
			var starts []string
			for r.now < start+test.leaseEnd+time.Second {
				starts = append(starts, pass()...)
			}
			qt.Assert(t, starts, qt.DeepEquals, []string{"a 0.0.0 1001 w1"})
			for r.now < start+test.leaseEnd+unreachedTimeout {
				pass()
			}
			_, kept := r.core.workers["w9"]
			qt.Assert(t, kept, qt.IsFalse)
		})
	}
}

// TestRestartedUnreachedWorker guards against a task that runs twice because a worker has started again under its ID: a start for its
// earlier life that arrives late runs until the longest lease ends that the worker grants, since the end that it names is on a clock
// that was far ahead.
func TestRestartedUnreachedWorker(t *testing.T) {
	lastArrival := LeadershipTimeout + maxCommandDelay
	tests := map[string]struct {
		incarnation int64
		leaseEnd    time.Duration
	}{
		"same life": {rigIncarnation, maxUnconfirmedLease},
		"new life":  {rigIncarnation + 1, lastArrival + rigBounds().MaxLease},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, "w1")
			r.core.SetRoster([]RosterEntry{{ID: "w9", Pool: "p", Address: "w9:1", Incarnation: rigIncarnation, Capacity: work.Resources{CPU: 4000, Memory: 4000}}})
			r.recordedJob("a", "w9")
			reports := []worker.Report{rigReport("w1", work.Resources{CPU: 4000, Memory: 4000}), rigReport("w9", work.Resources{CPU: 4000, Memory: 4000})}
			reports[1].Incarnation = test.incarnation
			start := r.now
			pass := func() []string {
				r.advance(100 * time.Millisecond)
				r.core.SetWorkers(reports)
				r.reply("w1")
				return startsOf(r.pass())
			}
			for r.now < start+test.leaseEnd {
				qt.Assert(t, pass(), qt.HasLen, 0, qt.Commentf("%s after the start of the term", r.now-start))
			}
			var starts []string
			for r.now < start+test.leaseEnd+time.Second {
				starts = append(starts, pass()...)
			}
			qt.Assert(t, starts, qt.DeepEquals, []string{"a 0.0.0 1001 w1"})
		})
	}
}
