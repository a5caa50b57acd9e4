package scheduler

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/internal/jobs/waiting"
	"github.com/chivetiller/chivetiller/work"
)

// TestWaitingTasks guards against tasks of services that do not run and of which no log line tells why.
func TestWaitingTasks(t *testing.T) {
	service := func(change func(*work.Job)) work.Job {
		doc := work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 3000}, Service: true}}}
		if change != nil {
			change(&doc)
		}
		return doc
	}
	tests := map[string]struct {
		doc    work.Job
		before func(r *rig)
		reason waiting.Reason
	}{
		"batch not stored": {service(nil), func(*rig) {}, waiting.ForBatch},
		"no worker":        {service(nil), func(r *rig) { r.register() }, waiting.ForWorker},
		"quarantined": {service(nil), func(r *rig) {
			r.core.workers["w1"].health.Quarantine(r.now+time.Hour, 0)
		}, waiting.ForQuarantine},
		"drained": {service(nil), func(r *rig) {
			r.core.workers["w1"].cordon("m1")
			r.core.fleet.commandInFlight["m1"] = true
		}, waiting.ForDrained},
		"no room":        {service(func(j *work.Job) { j.Steps[0].Request.CPU = 5000 }), func(*rig) {}, waiting.ForRoom},
		"no such worker": {service(func(j *work.Job) { j.Steps[0].RequiredLabel = "b" }), func(*rig) {}, waiting.ForEligibleWorker},
		"team limit":     {service(func(j *work.Job) { j.Team = "limited" }), func(*rig) {}, waiting.ForTeamLimit},
		"pause":          {service(nil), func(r *rig) { r.core.jobs["s"].open[0].steps[0].tasks[0].notBefore = r.now + time.Hour }, waiting.AfterRun},
		"unstorable":     {service(nil), func(r *rig) { r.core.jobs["s"].notStoredBefore = r.now + time.Hour }, waiting.ForStorableJob},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			r := newRig(t, 1, "w1")
			r.core.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
			r.addJob(test.doc)
			test.before(r)
			for range 50 {
				r.advance(100 * time.Millisecond)
				if _, ok := r.core.workers["w1"]; ok {
					r.reply("w1")
				}
				r.schedule()
			}
			qt.Assert(t, r.core.Counts().WaitingTasks, qt.DeepEquals, map[waiting.Reason]int{test.reason: 1})
			longest := r.core.Counts().LongestWaits
			qt.Assert(t, longest, qt.HasLen, 1)
			qt.Assert(t, longest[test.reason] >= 5*time.Second-2*waitCheckInterval && longest[test.reason] <= 5*time.Second, qt.IsTrue, qt.Commentf("%v", longest))
			qt.Assert(t, log.String(), qt.Contains, "Task of a service does not run.")
			qt.Assert(t, log.String(), qt.Contains, string(test.reason))
		})
	}
}

// TestRunningTaskIsNotWaiting guards against a service that counts as waiting while it runs.
func TestRunningTaskIsNotWaiting(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addJob(work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 3000}, Service: true}}})
	r.accept(r.pass())
	for range 50 {
		r.advance(100 * time.Millisecond)
		r.reply("w1")
		r.schedule()
	}
	qt.Assert(t, r.core.Counts().WaitingTasks, qt.HasLen, 0)
	qt.Assert(t, r.core.Counts().LongestWaits, qt.HasLen, 0)
}

// TestLongestWait guards against a longest wait that is counted from a check of the waits, instead of from the last answer that named the run,
// and against one that stays after the task runs again.
func TestLongestWait(t *testing.T) {
	tests := map[string]struct {
		silence time.Duration
		again   bool
	}{
		"silent for 3 s":          {3 * time.Second, false},
		"silent for 5 s":          {5 * time.Second, false},
		"silent, then runs again": {5 * time.Second, true},
		"silent for one check":    {waitCheckInterval, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			j := r.addJob(work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 3000}, Service: true}}})
			r.accept(r.pass())
			r.reply("w1")
			last := r.now
			s := j.open[0].steps[0]
			lost := s.tasks[0].runs[0]
			r.advance(test.silence)
			r.core.markRunLost(lost, "test")
			r.core.checkWaitingTasks()
			qt.Assert(t, r.core.Counts().LongestWaits, qt.DeepEquals, map[waiting.Reason]time.Duration{r.core.waitReason(s, 0): r.now - last})
			if !test.again {
				return
			}
			for range 30 {
				r.advance(100 * time.Millisecond)
				r.reply("w1")
				r.accept(r.pass())
			}
			qt.Assert(t, r.core.Counts().LongestWaits, qt.HasLen, 0)
		})
	}
}

// TestServiceWaitsAfterCrashes guards against a service that waits after crashes of its workers and is said to wait for room or a placement.
func TestServiceWaitsAfterCrashes(t *testing.T) {
	tests := map[string]struct {
		before func(s *step, w *workerState)
		want   waiting.Reason
	}{
		"no crash":     {func(*step, *workerState) {}, waiting.ForPlacement},
		"pause":        {func(s *step, _ *workerState) { s.crashSite(0).Untelling = 1 }, waiting.AfterCrash},
		"likely cause": {func(s *step, w *workerState) { s.addCrashes(2); w.runs[work.Task{Job: "b"}] = unknownRun }, waiting.ForIdleWorker},
		"worker tests": {func(s *step, w *workerState) { s.addCrashes(1); w.tests = 1 }, waiting.ForTestsToEnd},
		"worker returns": {func(s *step, w *workerState) {
			s.crashSite(0).Add(w.report.Address, false)
			s.crashSite(0).Untelling = 9
		}, waiting.ForSteadyWorkers},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			j := r.addJob(work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(1), Service: true}}})
			s := j.open[0].steps[0]
			s.crashSite(0).Latest, s.tasks[0].idleSince = r.now, r.now
			test.before(s, r.core.workers["w1"])
			if test.want != waiting.AfterCrash {
				// The pause has ended.
				s.crashSite(0).Latest = r.now - time.Hour
			}
			qt.Assert(t, r.core.waitReason(s, 0), qt.Equals, test.want)
		})
	}
}

// addCrashes counts crashes of workers under the first task of a step.
func (s *step) addCrashes(n int) {
	for run := range n {
		s.progress.AddCrash(0, run+1, true)
	}
}
