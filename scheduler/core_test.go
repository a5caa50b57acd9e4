package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestRecordBeforeStart guards against a run that starts before it is stored, so that the next leader would not know of it.
func TestRecordBeforeStart(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	qt.Assert(t, r.schedule(), qt.HasLen, 0)
	b := r.core.TakeBatch(100)
	worker, number, ok := b.Progress["a"].Occurrences[0].Run(0, 0)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, worker, qt.Equals, "w1")
	qt.Assert(t, number, qt.Equals, 1)
	r.core.BatchFailed(b)
	qt.Assert(t, r.schedule(), qt.HasLen, 0)
	r.store()
	qt.Assert(t, startsOf(r.schedule()), qt.DeepEquals, []string{"a 0.0.0 1 w1"})
}

// TestStepOrder guards against a step that starts before the steps it depends on are done.
func TestStepOrder(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 2, 1)
	commands := r.pass()
	qt.Assert(t, startsOf(commands), qt.DeepEquals, []string{"a 0.0.0 1 w1", "a 0.0.1 1 w1"})
	r.accept(commands)
	second := r.runs["w1"][1]
	r.runs["w1"] = r.runs["w1"][:1]
	r.finish("w1", worker.ExitDone)
	r.runs["w1"] = []worker.Run{second}
	r.advance(100 * time.Millisecond)
	r.reply("w1")
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	r.finish("w1", worker.ExitDone)
	r.advance(100 * time.Millisecond)
	r.reply("w1")
	qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"a 0.1.0 1 w1"})
}

// TestStateShownWhenStored guards against showing a job as finished before that is stored. After a change of leader it would run again.
func TestStateShownWhenStored(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	r.accept(r.pass())
	r.finish("w1", worker.ExitDone)
	r.reply("w1")
	state, _ := r.core.JobState("a")
	qt.Assert(t, state, qt.Equals, work.Running)
	renewal, _ := r.core.Renewal("w1")
	qt.Assert(t, renewal.Command.AcknowledgedSeq, qt.Equals, uint64(0))
	qt.Assert(t, renewal.Pending, qt.IsTrue)
	r.store()
	state, _ = r.core.JobState("a")
	qt.Assert(t, state, qt.Equals, work.Finished)
	renewal, _ = r.core.Renewal("w1")
	qt.Assert(t, renewal.Command.AcknowledgedSeq, qt.Equals, uint64(1))
}

// TestUnresponsiveWorker guards against unanswered renewals that extend the lease for ever, so that the tasks never start
// elsewhere, and against a start elsewhere before the lease has expired.
func TestUnresponsiveWorker(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	r.addSteps("a", 1)
	commands := r.pass()
	r.accept(commands)
	first := commands[0].Target.ID
	other := map[string]string{"w1": "w2", "w2": "w1"}[first]
	silence := r.now
	var again []string
	for len(again) == 0 && r.now-silence < 10*time.Second {
		r.advance(200 * time.Millisecond)
		r.reply(other)
		_, ok := r.core.Renewal(first)
		qt.Assert(t, ok, qt.IsTrue)
		again = startsOf(r.pass())
	}
	qt.Assert(t, again, qt.DeepEquals, []string{"a 0.0.0 2 " + other})
	qt.Assert(t, r.now-silence >= leaseDuration, qt.IsTrue)
	qt.Assert(t, r.now-silence <= leaseDuration+maxLeaseExtension+time.Second, qt.IsTrue)
}

// TestFailureCountedOnce guards against a failure that the previous leader has stored and the next one counts again.
func TestFailureCountedOnce(t *testing.T) {
	r := newRig(t, 2, "w1")
	progress := work.NewProgress()
	doc := work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 1000}}}}
	o := progress.Occurrence(&doc, 0)
	o.SetRun(0, 0, "w1", 1)
	o.Steps[0].AddFailure(0, 1)
	r.core.AddJob(doc, progress, 0)
	r.exits["w1"] = []worker.Exit{{Seq: 1, Task: work.Task{Job: "a"}, Number: 1, Reason: worker.ExitFailed}}
	r.reply("w1")
	r.store()
	state, _ := r.core.JobState("a")
	qt.Assert(t, state, qt.Equals, work.Running)
}

// TestAttempts guards against a task that starts again after its last allowed attempt.
func TestAttempts(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	for range 2 {
		r.advance(time.Second)
		r.reply("w1")
		commands := r.pass()
		qt.Assert(t, startsOf(commands), qt.HasLen, 1)
		r.accept(commands)
		r.finish("w1", worker.ExitFailed)
		r.reply("w1")
	}
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	state, _ := r.core.JobState("a")
	qt.Assert(t, state, qt.Equals, work.Failed)
}

// TestRetryElsewhere guards against a task that uses up its attempts on one faulty worker.
func TestRetryElsewhere(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	r.addSteps("a", 1)
	commands := r.pass()
	r.accept(commands)
	first := commands[0].Target.ID
	other := map[string]string{"w1": "w2", "w2": "w1"}[first]
	r.finish(first, worker.ExitFailed)
	r.reply(first)
	r.register(first)
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	r.register("w1", "w2")
	r.advance(100 * time.Millisecond)
	qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"a 0.0.0 2 " + other})
}

// TestAdoptedRunOfCancelledJob guards against a run that continues after its job was cancelled and the leader has changed.
func TestAdoptedRunOfCancelledJob(t *testing.T) {
	r := newRig(t, 2, "w1")
	r.addSteps("a", 1)
	r.core.Cancel("a")
	r.runs["w1"] = []worker.Run{{Task: work.Task{Job: "a"}, Number: 1}}
	r.reply("w1")
	qt.Assert(t, countStops(r.schedule()), qt.Equals, 1)
}

// TestNextLeaderWaits guards against a second run of a task while the first may still run on a worker that has not
// answered the new leader.
func TestNextLeaderWaits(t *testing.T) {
	r := newRig(t, 2, "w1")
	progress := work.NewProgress()
	doc := work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 1000}}}}
	progress.Occurrence(&doc, 0).SetRun(0, 0, "w9", 7)
	r.core.AddJob(doc, progress, 0)
	r.addSteps("b", 1)
	qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"b 0.0.0 1001 w1"})
	for r.now < time.Minute+maxUnconfirmedLease {
		r.advance(500 * time.Millisecond)
		r.reply("w1")
		qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	}
	r.advance(time.Second)
	r.reply("w1")
	qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"a 0.0.0 1001 w1"})
}

// TestPreviousLeaderEnded guards against waiting for a previous leader that is known to have ended.
func TestPreviousLeaderEnded(t *testing.T) {
	r := newRig(t, 2, "w1")
	before := r.core.previousLeasesExpireAt()
	r.core.PreviousLeaderEnded()
	const sooner = (maxUnconfirmedLease - leaseDuration) / 100 * (100 + 2*100*maxClockSlowdown)
	qt.Assert(t, before-r.core.previousLeasesExpireAt(), qt.Equals, sooner)
}

// TestStoreOutage guards against a start during a store outage on a worker that the next leader would not wait for.
func TestStoreOutage(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	r.addSteps("a", 3, 3)
	commands := r.pass()
	r.accept(commands)
	used := commands[0].Target.ID
	for _, cmd := range commands {
		qt.Assert(t, cmd.Target.ID, qt.Equals, used)
	}
	r.finish(used, worker.ExitDone)
	r.advance(time.Second)
	r.reply("w1")
	r.reply("w2")
	r.schedule()
	r.advance(outageAfter + 100*time.Millisecond)
	r.reply("w1")
	r.reply("w2")
	for _, s := range startsOf(r.schedule()) {
		qt.Assert(t, s[len(s)-2:], qt.Equals, used)
	}
	r.addSteps("b", 1)
	r.schedule()
	r.advance(outageAfter + 100*time.Millisecond)
	for _, s := range startsOf(r.schedule()) {
		qt.Assert(t, s[:1], qt.Equals, "a")
	}
}

// TestStopIsRepeated guards against a run that stays on record after an unanswered stop, so that its task never starts again.
func TestStopIsRepeated(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	commands := r.pass()
	qt.Assert(t, startsOf(commands), qt.HasLen, 1)
	r.core.HandleReply(commands[0], worker.Reply{Outcome: worker.Unknown}, r.now, nil)
	again := r.schedule()
	qt.Assert(t, startsOf(again), qt.HasLen, 1)
	r.core.HandleReply(again[0], worker.Reply{Outcome: worker.Unhealthy, Clock: r.now}, r.now, nil)
	stop := r.schedule()
	qt.Assert(t, countStops(stop), qt.Equals, 1)
	r.core.HandleReply(stop[0], worker.Reply{Outcome: worker.Unknown}, r.now, nil)
	r.advance(500 * time.Millisecond)
	repeated := r.schedule()
	qt.Assert(t, countStops(repeated), qt.Equals, 1)
	r.core.HandleReply(repeated[0], worker.Reply{Clock: r.now}, r.now, nil)
	var orderedAgain []string
	for range 10 {
		r.advance(300 * time.Millisecond)
		r.reply("w1")
		orderedAgain = append(orderedAgain, startsOf(r.pass())...)
	}
	qt.Assert(t, orderedAgain, qt.DeepEquals, []string{"a 0.0.0 2 w1"})
}

// TestWorkerRestart guards against an unanswered start that reaches the next incarnation of a worker under the same ID.
func TestWorkerRestart(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	commands := r.pass()
	r.core.HandleReply(commands[0], worker.Reply{Outcome: worker.Unknown}, r.now, nil)
	r.schedule()
	r.core.HandleStatus(r.callTo("w1"), worker.Status{Reply: worker.Reply{Clock: time.Second, Incarnation: rigIncarnation + 1}}, r.now, nil)
	after := r.schedule()
	qt.Assert(t, countStops(after) > 0, qt.IsTrue)
	qt.Assert(t, startsOf(after), qt.HasLen, 0)
}

// TestTeamLimit guards against a team that exceeds its upper limit, also through runs on workers that have not answered.
func TestTeamLimit(t *testing.T) {
	tests := map[string]struct {
		unansweredWorker bool
		want             int
	}{
		"all known":              {false, 2},
		"one run is unconfirmed": {true, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, "w1")
			doc := work.Job{ID: "a", Queue: "q", Pool: "p", Team: "limited", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 1000}}}}
			if test.unansweredWorker {
				progress := work.NewProgress()
				progress.Occurrence(&doc, 0).SetRun(0, 0, "w9", 7)
				r.core.AddJob(doc, progress, 0)
			}
			doc.ID, doc.Steps = "b", []work.Step{{Count: 4, Request: work.Resources{CPU: 1000}}}
			r.addJob(doc)
			qt.Assert(t, startsOf(r.pass()), qt.HasLen, test.want)
		})
	}
}

// TestGang guards against a gang that starts only in part, and against members with different run numbers.
func TestGang(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	step := work.Step{Count: 6, Request: work.Resources{CPU: 1000}, Gang: true}
	r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{step}})
	r.addJob(work.Job{ID: "b", Queue: "q", Pool: "p", Steps: []work.Step{step}})
	commands := r.pass()
	qt.Assert(t, startsOf(commands), qt.HasLen, 6)
	for _, cmd := range commands {
		qt.Assert(t, cmd.Start.Task.Job, qt.Equals, commands[0].Start.Task.Job)
		qt.Assert(t, cmd.Start.Run, qt.Equals, 1)
	}
	r.accept(commands)
	// The exit of one member counts for all.
	first := r.runs["w1"][0]
	r.exits["w1"] = []worker.Exit{{Seq: 1, Task: first.Task, Number: first.Number, Reason: worker.ExitDone}}
	r.reply("w1")
	r.store()
	state, _ := r.core.JobState(first.Task.Job)
	qt.Assert(t, state, qt.Equals, work.Finished)
}

// TestStaleReport guards against a stale report that brings back a run after its exit, so that it counts as at work.
func TestStaleReport(t *testing.T) {
	r := newRig(t, 1, "w1")
	j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 100}, Service: true}}})
	r.accept(r.pass())
	r.reply("w1")
	older := worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: rigIncarnation}, Running: r.runs["w1"]}
	sent := r.now
	r.advance(100 * time.Millisecond)
	r.finish("w1", worker.ExitStopped)
	r.reply("w1")
	r.core.HandleStatus(r.callTo("w1"), older, sent, nil)
	qt.Assert(t, j.open[0].steps[0].tasks[0].runs, qt.HasLen, 0)
	// A report that is newer than the last one but still lists the run must not bring it back either.
	older.Clock = r.now + time.Millisecond
	r.core.HandleStatus(r.callTo("w1"), older, sent, nil)
	qt.Assert(t, j.open[0].steps[0].tasks[0].runs, qt.HasLen, 0)
}

// TestMaxPerWorker guards against more tasks of a step on a worker than the step allows.
func TestMaxPerWorker(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 3, Request: work.Resources{CPU: 100}, MaxPerWorker: 1}}})
	on := make(map[string]int)
	for _, cmd := range r.pass() {
		on[cmd.Target.ID]++
	}
	qt.Assert(t, on, qt.DeepEquals, map[string]int{"w1": 1, "w2": 1})
}

// TestDisruptions guards against a planned stop of a service task while another task of its step may be down, for instance
// on a worker that has not answered.
func TestDisruptions(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{
		Count: 2, Request: work.Resources{CPU: 100}, MaxPerWorker: 1, Service: true, MaxDisruptions: 1,
	}}})
	r.accept(r.pass())
	r.reply("w1")
	r.reply("w2")
	first := j.open[0].steps[0].tasks[0].runs[0]
	qt.Assert(t, r.core.mayDisrupt(first), qt.IsTrue)
	r.advance(maxPollAge + time.Millisecond)
	qt.Assert(t, r.core.mayDisrupt(first), qt.IsFalse)
	polls := r.schedule()
	qt.Assert(t, polls, qt.HasLen, 1)
	qt.Assert(t, polls[0].Kind, qt.Equals, CommandPoll)
	qt.Assert(t, polls[0].Target.ID, qt.Not(qt.Equals), first.worker.report.ID)
	r.reply(polls[0].Target.ID)
	qt.Assert(t, r.core.mayDisrupt(first), qt.IsTrue)
	r.advance(maxServingAge + time.Millisecond)
	r.reply(first.worker.report.ID)
	qt.Assert(t, r.core.mayDisrupt(first), qt.IsFalse)
}

// TestStopOfPreviousLeader guards against a planned stop while another task of the service is ending because the previous
// leader has stopped it. Its worker still reports it as at work.
func TestStopOfPreviousLeader(t *testing.T) {
	r := newRig(t, 2, "w1", "w2")
	j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{
		Count: 2, Request: work.Resources{CPU: 100}, MaxPerWorker: 1, Service: true, MaxDisruptions: 1,
	}}})
	r.runs["w1"] = []worker.Run{{Task: work.Task{Job: "a"}, Number: 1, SpeedPercent: 100}}
	r.runs["w2"] = []worker.Run{{Task: work.Task{Job: "a", Index: 1}, Number: 1, SpeedPercent: 100}}
	r.reply("w1")
	r.reply("w2")
	first := j.open[0].steps[0].tasks[0].runs[0]
	qt.Assert(t, r.core.mayDisrupt(first), qt.IsFalse)
	r.advance(rigBounds().StopTimeout + stopMargin)
	r.reply("w1")
	r.reply("w2")
	qt.Assert(t, r.core.mayDisrupt(first), qt.IsTrue)
}

// TestEmptyInstance guards against a command for an instance whose worker may run tasks that the leader does not know of.
func TestEmptyInstance(t *testing.T) {
	r := newRig(t, 2, "w1")
	r.register("w1", "w2")
	tests := map[string]struct {
		worker string
		want   bool
	}{
		"switched off":     {"", true},
		"answered":         {"w1", true},
		"has not answered": {"w2", false},
		"is not known":     {"w3", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, r.core.isEmpty(instance.Instance{ID: "m", Worker: test.worker}), qt.Equals, test.want)
		})
	}
}

// TestPreviousInstanceCommands guards against overlapping commands of two leaders for one instance.
func TestPreviousInstanceCommands(t *testing.T) {
	r := newRig(t, 2, "w1")
	r.core.SetPreviousInstanceCommands(map[string]time.Duration{"m1": r.now})
	qt.Assert(t, r.core.mayCommand("m1"), qt.IsFalse)
	qt.Assert(t, r.core.mayCommand("m2"), qt.IsTrue)
	r.advance(LeadershipTimeout + instanceTimeout)
	qt.Assert(t, r.core.mayCommand("m1"), qt.IsFalse)
	r.advance(time.Second)
	qt.Assert(t, r.core.mayCommand("m1"), qt.IsTrue)
}

// TestDeposed guards against commands of a leader after a worker has seen a higher fencing token.
func TestDeposed(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.core.HandleStatus(r.callTo("w1"), worker.Status{Reply: worker.Reply{Outcome: worker.Fenced}}, r.now, nil)
	r.addSteps("a", 1)
	qt.Assert(t, r.pass(), qt.HasLen, 0)
	qt.Assert(t, r.core.Deposed(), qt.IsTrue)
}

// TestSchedule guards against an occurrence that starts before it is due.
func TestSchedule(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.core.SetWallClock(r.now, 1000*time.Second)
	r.addJob(work.Job{
		ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 100}}},
		FirstDue: 1001 * time.Second, Interval: time.Second, ScheduledOccurrences: 2,
	})
	var got []string
	for range 5 {
		got = append(got, startsOf(r.pass())...)
		r.advance(500 * time.Millisecond)
		r.reply("w1")
	}
	qt.Assert(t, got, qt.DeepEquals, []string{"a 0.0.0 1 w1", "a 1.0.0 1 w1"})
	qt.Assert(t, r.core.jobs["a"].open[0].dueAt, qt.Equals, time.Minute+time.Second)
}

// TestReplyOfNewerVersion guards against a reply or exit of a newer version that panics the scheduler of each leader in turn.
func TestReplyOfNewerVersion(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 2)
	commands := r.pass()
	qt.Assert(t, startsOf(commands), qt.HasLen, 2)
	r.core.HandleReply(commands[0], worker.Reply{Outcome: 1000, Clock: r.now}, r.now, nil)
	r.accept(commands[1:])
	r.finish("w1", 1000)
	r.reply("w1")
	qt.Assert(t, r.core.workers["w1"].runs, qt.HasLen, 0)
}
