package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/workers/throttling"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// addService adds a service of which one task may be missing.
func (r *rig) addService(count int) {
	r.addJob(work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: count, Request: coresOnly(1), Service: true, MaxDisruptions: 1}}})
}

// leaveUnanswered passes for a time with workers that answer renewals and polls and no order, and returns the orders.
func (r *rig) leaveUnanswered(d time.Duration, ids ...string) (orders []Command) {
	for end := r.now + d; r.now < end; {
		r.advance(50 * time.Millisecond)
		for _, id := range ids {
			r.reply(id)
		}
		for _, cmd := range r.pass() {
			if cmd.Kind == CommandPoll {
				continue
			}
			orders = append(orders, cmd)
			r.core.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
		}
	}
	return orders
}

// TestStopOfLateStart guards against a stop that follows a start without an answer and ends the task that has come to work late.
func TestStopOfLateStart(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addService(1)
	orders := r.leaveUnanswered(startAnswerTimeout+200*time.Millisecond, "w1")
	qt.Assert(t, len(startsOf(orders)) >= minUnansweredStarts, qt.IsTrue)
	first := orders[0].Start
	r.runs["w1"] = []worker.Run{{Task: first.Task, Number: first.Run, SpeedPercent: throttling.FullSpeed}}
	orders = append(orders, r.leaveUnanswered(time.Minute, "w1")...)
	qt.Assert(t, countStops(orders), qt.Equals, 0)
	qt.Assert(t, r.core.workers["w1"].runs[first.Task].phase, qt.Equals, running)
}

// TestStartElsewhereWithoutStop guards against a task of a service that is away for long, or that runs twice, because a start got no answer.
func TestStartElsewhereWithoutStop(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addService(1)
	started := r.now
	first := r.leaveUnanswered(100*time.Millisecond, "w1")[0]
	r.register("w1", "w2")
	r.reply("w2")
	for r.now < started+6*time.Second {
		for _, cmd := range r.leaveUnanswered(50*time.Millisecond, "w1", "w2") {
			qt.Assert(t, cmd.Kind, qt.Equals, CommandStart)
			if cmd.Target.ID == "w2" {
				qt.Assert(t, cmd.Start.Run > first.Start.Run, qt.IsTrue)
				qt.Assert(t, r.core.workers["w1"].fence > first.Start.Fence, qt.IsTrue)
				return
			}
		}
	}
	t.Fatal("the task is not started elsewhere")
}

// TestStartGivenUpAfterAnother guards against a start that is never ruled out, since a report of an earlier call arrives after another start on
// the same worker was ruled out.
func TestStartGivenUpAfterAnother(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 2)
	starts := r.pass()
	qt.Assert(t, startsOf(starts), qt.HasLen, 2)
	for _, cmd := range starts {
		r.core.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
	}
	ws := r.core.workers["w1"]
	runs := runsOn(ws)
	earlier := r.renew("w1")
	r.core.giveUpStart(runs[0], "test")
	r.store()
	r.reply("w1")
	qt.Assert(t, ws.runs, qt.HasLen, 1)
	r.core.giveUpStart(runs[1], "test")
	earlier(r.now, rigIncarnation)
	qt.Assert(t, ws.runs, qt.HasLen, 1)
	r.reply("w1")
	qt.Assert(t, ws.runs, qt.HasLen, 0)
}

// TestStopWithoutAnswer guards against a stop without an answer that is carried out while other tasks of the service are away.
func TestStopWithoutAnswer(t *testing.T) {
	r := newRig(t, 1, "w1", "w2", "w3")
	r.addService(2)
	r.accept(r.pass())
	r.reply("w1")
	r.reply("w2")
	r.core.evacuate(r.core.workers["w1"], false)
	stops := r.schedule()
	qt.Assert(t, countStops(stops), qt.Equals, 1)
	stop := stops[0]
	r.core.HandleReply(stop, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
	// Nothing else changes, so a batch is stored for the fencing token only.
	b := r.core.TakeBatch(100)
	qt.Assert(t, b.Empty(), qt.Equals, r.core.storedVersion > stop.Run.Fence)
	r.core.BatchFailed(b)
	orders := r.leaveUnanswered(5*time.Second, "w1", "w2", "w3")
	qt.Assert(t, orders, qt.HasLen, 0)
	qt.Assert(t, r.core.workers["w1"].fence > stop.Run.Fence, qt.IsTrue)
	qt.Assert(t, r.core.workers["w1"].runs[stop.Run.Task].phase, qt.Equals, running)
	r.core.evacuate(r.core.workers["w1"], false)
	qt.Assert(t, countStops(r.schedule()), qt.Equals, 1)
}

// TestServiceBesideUnansweredInstanceCommand guards against a task of a service that is placed on an instance whose move or maintenance got no
// answer and is carried out later.
func TestServiceBesideUnansweredInstanceCommand(t *testing.T) {
	for _, outcome := range []instance.Outcome{instance.Unknown, instance.Busy} {
		t.Run(outcome.String(), func(t *testing.T) {
			r := newRig(t, 1, "w1", "w2")
			r.core.HandleInstanceReply(InstanceCommand{Instance: "m-w1", Wave: 1, worker: "w1"}, outcome, nil)
			r.addService(1)
			want := map[instance.Outcome]string{instance.Unknown: "w2", instance.Busy: "w1"}
			qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"s 0.0.0 1 " + want[outcome]})
		})
	}
}

// TestOvertakenStartWithoutRoom guards against a task of a service that never runs again, because its start was overtaken by a call with a
// higher fencing token and its worker has no room for it any more.
func TestOvertakenStartWithoutRoom(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addService(1)
	commands := r.pass()
	qt.Assert(t, startsOf(commands), qt.DeepEquals, []string{"s 0.0.0 1 w1"})
	start := commands[0]
	ws := r.core.workers["w1"]
	r.core.ruleOut(ws, start.Start.Fence)
	r.store()
	r.reply("w1")
	qt.Assert(t, start.call.overtaken(), qt.IsTrue)
	r.core.SetWorkers([]worker.Report{rigReport("w1", coresOnly(0)), rigReport("w2", coresOnly(4))})
	r.core.HandleReply(start, worker.Reply{Outcome: worker.Fenced, Clock: r.now}, r.now, nil)
	for end := r.now + 10*time.Second; r.now < end; {
		r.advance(50 * time.Millisecond)
		r.reply("w1")
		r.reply("w2")
		r.accept(r.pass())
	}
	qt.Assert(t, r.core.jobs["s"].open[0].steps[0].tasks[0].serving(), qt.IsNotNil)
}

// TestWithdrawnStopOfUnansweredStart guards against a task of a service that never runs again, because its start got no answer and a stop of
// the run was not sent, so that neither is repeated and nothing settles the start.
func TestWithdrawnStopOfUnansweredStart(t *testing.T) {
	for name, unanswered := range map[string]bool{"start without an answer before the stop": true, "start without an answer after the stop": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1", "w2")
			r.addService(1)
			var starts []Command
			for _, cmd := range r.pass() {
				if cmd.Kind == CommandStart {
					starts = append(starts, cmd)
				}
			}
			qt.Assert(t, starts, qt.HasLen, 1)
			start := starts[0]
			id := start.Target.ID
			if unanswered {
				r.core.HandleReply(start, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
				r.advance(50 * time.Millisecond)
				r.reply(id)
			}
			r.core.stopRun(start.run, "test")
			for _, cmd := range r.schedule() {
				switch cmd.Kind {
				case CommandStop:
					r.core.HandleReply(cmd, worker.Reply{Outcome: worker.NotSent}, r.now, nil)
				case CommandStart:
					r.core.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
				}
			}
			if !unanswered {
				r.core.HandleReply(start, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
			}
			// The workers answer everything from now on, but the start is not carried out.
			for end := r.now + 10*time.Second; r.now < end; {
				r.advance(50 * time.Millisecond)
				r.reply("w1")
				r.reply("w2")
				r.accept(r.pass())
			}
			serving := r.core.jobs["s"].open[0].steps[0].tasks[0].serving()
			qt.Assert(t, serving, qt.IsNotNil)
		})
	}
}

// TestStartGivenUpDuringOutage guards against a task without a disruption budget whose start got no answer, and that waits until the store is
// back: nothing rules out the start meanwhile, and it is not stopped either.
func TestStartGivenUpDuringOutage(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("j", 1)
	r.schedule()
	// An earlier order is in doubt, so that the start has the token of the latest batch.
	ws := r.core.workers["w1"]
	r.core.ruleOut(ws, ws.fence)
	r.store()
	starts := r.schedule()
	qt.Assert(t, startsOf(starts), qt.HasLen, 1)
	qt.Assert(t, ws.fence, qt.Equals, r.core.storedVersion)
	r.core.HandleReply(starts[0], worker.Reply{Outcome: worker.Unknown}, r.now, nil)
	var orders []Command
	for end := r.now + startAnswerTimeout + 5*time.Second; r.now < end; {
		r.advance(50 * time.Millisecond)
		r.reply("w1")
		// No batch is stored.
		for _, cmd := range r.schedule() {
			if cmd.Kind != CommandPoll {
				orders = append(orders, cmd)
				r.core.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
			}
		}
	}
	qt.Assert(t, countStops(orders) > 0, qt.IsTrue)
}

// TestServiceSpreadBesideUnansweredInstanceCommand guards against tasks of a service that are spread to an instance whose command got no answer,
// although another one has room for all of them.
func TestServiceSpreadBesideUnansweredInstanceCommand(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	r.setCapacity(work.Resources{CPU: 16000, Memory: 64000}, "w1", "w2")
	r.core.HandleInstanceReply(InstanceCommand{Instance: "m-w1", Wave: 1, worker: "w1"}, instance.Unknown, nil)
	r.addService(12)
	starts := make(map[string]int)
	for range 20 {
		r.advance(50 * time.Millisecond)
		r.reply("w1")
		r.reply("w2")
		commands := r.pass()
		for _, cmd := range commands {
			if cmd.Kind == CommandStart {
				starts[cmd.Target.ID]++
			}
		}
		r.accept(commands)
	}
	qt.Assert(t, starts, qt.DeepEquals, map[string]int{"w2": 12})
}
