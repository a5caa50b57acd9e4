package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/jobs/crashloop"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestCutWorkersDoNotFailJob guards against a job that is shown as failed although no run of it has failed, because workers are cut off
// just after they have begun one of its tasks.
func TestCutWorkersDoNotFailJob(t *testing.T) {
	const cuts = 8
	tests := map[string]struct {
		workers int
		service bool
		cut     cut
		// term is the time between two changes of the leader, if any.
		term time.Duration
	}{
		"service, confirmed start":        {workers: 9, service: true, cut: cut{after: crashFleetStep, lasts: 7 * time.Second}},
		"service, unanswered start":       {workers: 9, service: true, cut: cut{lasts: 7 * time.Second}},
		"service, two workers":            {workers: 2, service: true, cut: cut{after: crashFleetStep, lasts: 7 * time.Second}},
		"service, long cuts":              {workers: 9, service: true, cut: cut{after: crashFleetStep, lasts: 20 * time.Second}},
		"service, workers are replaced":   {workers: 9, service: true, cut: cut{lasts: 7 * time.Second, asOther: true}},
		"service, leader changes":         {workers: 9, service: true, cut: cut{after: crashFleetStep, lasts: 7 * time.Second}, term: 5 * time.Second},
		"task, confirmed start":           {workers: 9, cut: cut{after: crashFleetStep, lasts: 7 * time.Second}},
		"task, unanswered start":          {workers: 9, cut: cut{lasts: 7 * time.Second}},
		"task, two workers":               {workers: 2, cut: cut{after: crashFleetStep, lasts: 7 * time.Second}},
		"task, long cuts":                 {workers: 9, cut: cut{after: crashFleetStep, lasts: 20 * time.Second}},
		"task, leader changes":            {workers: 9, cut: cut{after: crashFleetStep, lasts: 7 * time.Second}, term: 5 * time.Second},
		"task, leader changes often":      {workers: 9, cut: cut{after: crashFleetStep, lasts: 7 * time.Second}, term: 1300 * time.Millisecond},
		"task, unanswered, leader change": {workers: 9, cut: cut{lasts: 7 * time.Second}, term: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, test.workers, false)
			f.work = 5 * time.Second
			f.run(time.Second)
			task, left := work.Task{Job: "a", Index: 2}, cuts
			f.cut = func(started work.Task) *cut {
				if started != task || left == 0 {
					return nil
				}
				left--
				return &test.cut
			}
			f.addJob("a", work.Step{Count: 3, Service: test.service})
			for next := f.now + test.term; left > 0 && f.now < 4*time.Minute; f.run(crashFleetStep) {
				if test.term > 0 && f.now >= next {
					next += test.term
					f.changeLeader()
				}
				qt.Assert(t, f.state("a"), qt.Not(qt.Equals), work.Failed, qt.Commentf("after %d cuts", cuts-left))
			}
			qt.Assert(t, left, qt.Equals, 0)
			// The cut ends, the lease before it does, and the users call a task lost that does not run 9 s after its last run.
			f.run(test.cut.lasts + 9*time.Second)
			if test.service {
				qt.Assert(t, f.running("a"), qt.Equals, 3)
				return
			}
			f.run(f.work)
			qt.Assert(t, f.state("a"), qt.Equals, work.Finished)
		})
	}
}

// TestDeadlyTaskOfSilentWorkers guards against a task that crashes workers without end because each of them is silent for so long that its
// lease has ended before it is known to have crashed.
func TestDeadlyTaskOfSilentWorkers(t *testing.T) {
	for _, lasts := range []time.Duration{5 * time.Second, 7 * time.Second, 12 * time.Second} {
		for name, after := range map[string]time.Duration{"confirmed start": crashFleetStep, "unanswered start": 0} {
			t.Run(fmt.Sprint(name, " ", lasts), func(t *testing.T) {
				f := newCrashFleet(t, 8, false)
				f.run(time.Second)
				bad := work.Task{Job: "bad", Index: 1}
				f.cut = func(started work.Task) *cut {
					if started != bad {
						return nil
					}
					return &cut{after: after, lasts: lasts, asOther: true}
				}
				f.addJob("bad", work.Step{Count: 3})
				for i := range 6 {
					f.addJob(fmt.Sprintf("good%d", i), work.Step{Count: 4})
				}
				f.run(2 * time.Minute)
				// The users allow two starts after the third crash. One that is not known yet, because its worker is silent, is on top.
				qt.Check(t, f.starts[bad] <= 3+2+1, qt.IsTrue, qt.Commentf("started %d times", f.starts[bad]))
				qt.Check(t, f.state("bad"), qt.Equals, work.Failed)
				for i := range 6 {
					qt.Check(t, f.state(fmt.Sprintf("good%d", i)), qt.Equals, work.Finished)
				}
			})
		}
	}
}

// TestCountedCrashIsNoSilence guards against a task that a new leader takes for the cause of more crashes than there were, and that waits
// for that, because the worker of its last run is gone and the crash of that run was counted before.
func TestCountedCrashIsNoSilence(t *testing.T) {
	tests := map[string]struct {
		// counted tells whether the last run is among those under which a worker has crashed.
		counted bool
		before  int
		want    crashloop.Count
		pause   bool
	}{
		"one crash, counted":       {counted: true, before: 1, want: crashloop.Count{All: 1, Confirmed: 1}},
		"two crashes, one counted": {counted: true, before: 2, want: crashloop.Count{All: 2, Confirmed: 2}},
		"two crashes, not counted": {before: 2, want: crashloop.Count{All: 2, Confirmed: 2, Silent: 1}, pause: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, "w1")
			r.core.SetRoster([]RosterEntry{{ID: "w9", Pool: "p", Address: "w9:1", Incarnation: rigIncarnation, Capacity: coresOnly(4)}})
			doc := work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(1)}}}
			progress := work.NewProgress()
			o := progress.Occurrence(&doc, 0)
			for run := range test.before {
				o.Steps[0].AddCrash(0, run+1, true)
			}
			run := test.before + 1
			if test.counted {
				run = test.before
			}
			o.SetRun(0, 0, "w9", run)
			r.core.AddJob(doc, progress, 0)
			for r.core.workers["w9"] != nil {
				r.advance(crashFleetStep)
				r.reply("w1")
				r.schedule()
			}
			s := r.core.jobs["a"].open[0].steps[0]
			qt.Assert(t, s.crashCount(0), qt.Equals, test.want)
			qt.Assert(t, r.core.pausedAfterCrash(s, 0), qt.Equals, test.pause)
		})
	}
}

// TestCountedCrashOfPreviousLeader guards against a task of a service that waits longer, because a new leader counts a crash again that the
// previous one has counted when the worker of that run restarts.
func TestCountedCrashOfPreviousLeader(t *testing.T) {
	for name, service := range map[string]bool{"service": true, "task": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, "w1")
			r.core.SetRoster([]RosterEntry{{ID: "w9", Pool: "p", Address: "w9:1", Incarnation: rigIncarnation, Capacity: coresOnly(4)}})
			doc := work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(1), Service: service}}}
			progress := work.NewProgress()
			o := progress.Occurrence(&doc, 0)
			o.Steps[0].AddCrash(0, 1, true)
			o.Steps[0].AddCrash(0, 2, true)
			o.SetRun(0, 0, "w9", 2)
			r.core.AddJob(doc, progress, 0)
			renewal, ok := r.core.Renewal("w9")
			qt.Assert(t, ok, qt.IsTrue)
			r.core.HandleStatus(renewal.call, worker.Status{Reply: worker.Reply{Clock: time.Second, Incarnation: rigIncarnation + 1}}, r.now, nil)
			s := r.core.jobs["a"].open[0].steps[0]
			qt.Check(t, s.crashCount(0), qt.Equals, crashloop.Count{All: 2, Confirmed: 2})
			qt.Check(t, s.untelling(0), qt.Equals, 0)
			qt.Check(t, r.core.pausedAfterCrash(s, 0), qt.IsFalse)
		})
	}
}
