package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/workers/avoidance"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestFailedServiceWaitsForSoundWorker guards against a task that starts on a quarantined worker as soon as it has failed, since its service was
// accepted long before.
func TestFailedServiceWaitsForSoundWorker(t *testing.T) {
	r := newIdleRig(t, 2)
	task := work.Task{Job: "s"}
	r.core.workers["w1"].health.Quarantine(r.now, time.Hour)
	r.addService("s", 1, 4000)
	r.play(10 * time.Second)
	qt.Assert(t, r.runs["w0"], qt.HasLen, 1)
	r.end("w0", task, worker.ExitFailed)
	r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(1), Service: true}}})
	r.core.jobs["a"].acceptedAt = 0
	r.core.jobs["s"].acceptedAt = r.now
	failedAt := r.now
	for !r.isRunning(task) {
		r.play(idleStep)
		qt.Assert(t, r.now-failedAt < avoidance.MaxWait+time.Second, qt.IsTrue)
	}
	qt.Assert(t, r.runs["w1"], qt.HasLen, 1)
	qt.Assert(t, r.now-failedAt >= avoidance.MaxWait, qt.IsTrue, qt.Commentf("started after %v", r.now-failedAt))
}

// TestLongestIdleTaskFirst guards against a task that waits for long because tasks of its service with lower numbers take each worker that gets
// room.
func TestLongestIdleTaskFirst(t *testing.T) {
	r := newIdleRig(t, 2)
	r.addService("s", 2, 4000)
	r.play(time.Second)
	first, second := work.Task{Job: "s"}, work.Task{Job: "s", Index: 1}
	at := func(task work.Task) string {
		for id, runs := range r.runs {
			if len(runs) > 0 && runs[0].Task == task {
				return id
			}
		}
		return ""
	}
	lost := at(second)
	r.downSince[lost] = r.now
	r.play(10 * time.Second)
	qt.Assert(t, r.isRunning(second), qt.IsFalse)
	r.end(at(first), first, worker.ExitFailed)
	r.play(time.Second)
	qt.Assert(t, r.isRunning(second), qt.IsTrue)
	qt.Assert(t, r.isRunning(first), qt.IsFalse)
}

// TestOverdueServiceBesideCommand guards against an overdue task on a drained worker that a command for its instance may end: one in flight, or,
// for a step with a disruption budget, one without an answer.
func TestOverdueServiceBesideCommand(t *testing.T) {
	tests := map[string]struct {
		inFlight bool
		budget   int
	}{
		"in flight":                 {true, 0},
		"in flight, protected step": {true, 1},
		"no answer, protected step": {false, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newIdleFleet(t, 2)
			commands := 0
			r.answer = func(InstanceCommand) instance.Outcome { commands++; return instance.Unknown }
			r.core.AddWave(instance.Wave{Number: 1, Instances: []string{"m-w1"}, MaxDuration: 8 * time.Second, MaxUnavailable: 1}, nil)
			for commands == 0 {
				r.play(idleStep)
			}
			r.addJob(work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 2, Request: coresOnly(1), Service: true, MaxPerWorker: 1, MaxDisruptions: test.budget}}})
			// Later a task starts there although a command without an answer may end it.
			play, closed := r.play, maxProtectedWait-idleStep
			if test.inFlight {
				play, closed = r.idleRig.play, 6*time.Second
			}
			for end := r.now + closed; r.now < end; {
				play(idleStep)
				if r.core.workers["w1"].cordoned {
					qt.Assert(t, r.runs["w1"], qt.HasLen, 0)
				}
			}
			qt.Assert(t, r.runs["w2"], qt.HasLen, 1)
		})
	}
}

// TestPolicyAsksAboutAvoidedWorkers guards against an overdue task that finds no avoided worker, since none was asked about and has a ticket.
func TestPolicyAsksAboutAvoidedWorkers(t *testing.T) {
	tests := map[string]func(ws *workerState, now time.Duration){
		"quarantined": func(ws *workerState, now time.Duration) {
			ws.health.Quarantine(now, time.Hour)
		},
		"drained": func(ws *workerState, _ time.Duration) { ws.cordoned = true },
	}
	for name, avoid := range tests {
		t.Run(name, func(t *testing.T) {
			r := newPolicyRig(t, 2)
			avoid(r.core.workers["w1"], r.now)
			r.addService("s", 2, 1000)
			r.play(avoidance.MaxWait + time.Second)
			qt.Assert(t, r.runs["w0"], qt.HasLen, 1)
			qt.Assert(t, r.runs["w1"], qt.HasLen, 1)
		})
	}
}

// TestDroppedPlanIsRecordedAsEnded guards against a next leader that waits for a worker on which a run was planned and never started.
func TestDroppedPlanIsRecordedAsEnded(t *testing.T) {
	r := newIdleRig(t, 1)
	s := r.addService("s", 1, 1000)
	r.schedule()
	b := r.core.TakeBatch(batchRows)
	qt.Assert(t, b.Empty(), qt.IsFalse)
	r.advance(contactTimeout + time.Millisecond)
	r.core.BatchStored(b)
	qt.Assert(t, s.tasks[0].runs, qt.HasLen, 0)
	qt.Assert(t, s.occurrence.progress.Steps[0].Runs[0].Worker < 0, qt.IsTrue)
	qt.Assert(t, r.core.changedJobs[s.job], qt.IsTrue)
}

// TestRestartKeepsOtherTickets guards against a start with the ticket of an earlier life of its worker, whose rejection costs the step all of its
// tickets.
func TestRestartKeepsOtherTickets(t *testing.T) {
	r := newPolicyRig(t, 2)
	s := r.addService("s", 2, 1000)
	r.play(time.Second)
	r.core.handleRestart(r.core.workers["w0"], rigIncarnation+1)
	_, ok := s.tickets.Ticket("w0", r.now)
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = s.tickets.Ticket("w1", r.now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, s.tickets.Unasked([]string{"w0", "w1"}, r.now), qt.DeepEquals, []string{"w0"})
}
