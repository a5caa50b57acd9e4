package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestBatchAcrossRestart guards against exits of a life that are acknowledged unseen, since a batch was in flight across its start.
func TestBatchAcrossRestart(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 3)
	r.accept(r.pass())
	r.finish("w1", worker.ExitDone)
	r.reply("w1")
	b := r.core.TakeBatch(100)
	qt.Assert(t, b.exitAcks, qt.HasLen, 1)
	r.core.HandleStatus(r.callTo("w1"), worker.Status{Reply: worker.Reply{Clock: time.Millisecond, Incarnation: rigNextIncarnation}}, r.now, nil)
	r.core.BatchStored(b)
	renewal, _ := r.core.Renewal("w1")
	qt.Assert(t, renewal.Command.AcknowledgedSeq, qt.Equals, uint64(0))
}

// renew sends a renewal to a worker and returns a function that delivers the answer of a life.
func (r *rig) renew(id string) (answer func(clock time.Duration, incarnation int64)) {
	renewal, ok := r.core.Renewal(id)
	qt.Assert(r.t, ok, qt.IsTrue)
	sent := r.now
	return func(clock time.Duration, incarnation int64) {
		r.core.HandleStatus(renewal.call, worker.Status{Reply: worker.Reply{Clock: clock, Incarnation: incarnation}, Running: r.runs[id]}, sent, nil)
	}
}

// TestAnswerOfEarlierLife guards against a worker that counts as started again, so that its tasks are started elsewhere, since an answer of
// its earlier life arrives last.
func TestAnswerOfEarlierLife(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	earlier := r.renew("w1")
	r.advance(500 * time.Millisecond)
	r.renew("w1")(10*time.Millisecond, rigNextIncarnation)
	before := *r.core.workers["w1"].workerLife
	earlier(time.Minute, rigIncarnation)
	qt.Assert(t, r.core.workers["w1"].identity.Incarnation, qt.Equals, int64(rigNextIncarnation))
	qt.Assert(t, r.core.workers["w1"].clock, qt.Equals, before.clock)
}

// TestReplyForEarlierLife guards against a lease that is requested by the clock of an earlier life, since a reply to a command for it
// arrives last.
func TestReplyForEarlierLife(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	start := r.pass()[0]
	r.renew("w1")(10*time.Millisecond, rigNextIncarnation)
	r.core.HandleReply(start, worker.Reply{Clock: r.now}, r.now, nil)
	renewal, _ := r.core.Renewal("w1")
	qt.Assert(t, renewal.Command.LeaseExpiry, qt.Equals, 10*time.Millisecond+leaseDuration)
}

// TestStartAnsweredByNextLife guards against a run that counts as confirmed by a life that has ended, and against more commands for it.
// Only the clock in the reply tells that the worker has started again.
func TestStartAnsweredByNextLife(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	start := r.pass()[0]
	r.advance(time.Second)
	r.core.HandleReply(start, worker.Reply{Clock: 30 * time.Millisecond}, r.now, nil)
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	renewal, _ := r.core.Renewal("w1")
	qt.Assert(t, renewal.Command.LeaseExpiry, qt.Equals, time.Duration(0))
	qt.Assert(t, renewal.Command.AcknowledgedSeq, qt.Equals, uint64(0))
	r.addSteps("b", 1)
	r.runs["w1"] = []worker.Run{{Task: start.Start.Task, Number: start.Start.Run}}
	r.renew("w1")(50*time.Millisecond, rigNextIncarnation)
	qt.Assert(t, r.core.workers["w1"].runs[start.Start.Task].number, qt.Equals, start.Start.Run)
}

// TestAcknowledgementAfterUnansweredCall guards against exits of the next life that are acknowledged unseen, by the numbers of this one.
// A call without an answer is the first sign that the worker may have started again.
func TestAcknowledgementAfterUnansweredCall(t *testing.T) {
	unknown := worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}
	calls := map[string]func(r *rig){
		"renewal": func(r *rig) { r.core.HandleStatus(r.callTo("w1"), unknown, r.now, nil) },
		"renewal that was not sent": func(r *rig) {
			r.core.HandleStatus(r.callTo("w1"), worker.Status{Reply: worker.Reply{Outcome: worker.NotSent}}, r.now, nil)
		},
		"start": func(r *rig) {
			r.addSteps("b", 1)
			r.core.HandleReply(r.pass()[0], unknown.Reply, r.now, nil)
		},
	}
	for name, unanswered := range calls {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			acknowledged := func() uint64 {
				renewal, _ := r.core.Renewal("w1")
				return renewal.Command.AcknowledgedSeq
			}
			r.addSteps("a", 3)
			r.accept(r.pass())
			r.finish("w1", worker.ExitDone)
			r.reply("w1")
			r.store()
			qt.Assert(t, acknowledged(), qt.Equals, uint64(3))
			sentBefore := r.renew("w1")
			r.advance(500 * time.Millisecond)
			unanswered(r)
			qt.Assert(t, acknowledged(), qt.Equals, uint64(0))
			r.advance(10 * time.Millisecond)
			sentBefore(r.now, rigIncarnation)
			qt.Assert(t, acknowledged(), qt.Equals, uint64(0))
			r.renew("w1")(r.now, rigIncarnation)
			qt.Assert(t, acknowledged(), qt.Equals, uint64(3))
		})
	}
}

// moveOn makes a worker start again under its ID and report.
func (r *rig) moveOn(id string) {
	r.renew(id)(10*time.Millisecond, rigNextIncarnation)
	r.advance(time.Millisecond)
}

// TestEarlierCallsAreRuledOut guards against calls for an earlier life that the next one carries out late. They start tasks that are done,
// and acknowledge exits that nobody has seen.
func TestEarlierCallsAreRuledOut(t *testing.T) {
	r := newRig(t, 1, "w1")
	earlier, _ := r.core.Renewal("w1")
	r.moveOn("w1")
	r.core.SetWorkers([]worker.Report{restartedReport("w1")})
	probe, _ := r.core.Renewal("w1")
	qt.Assert(t, probe.Command.Fence, qt.Equals, earlier.Command.Fence)
	qt.Assert(t, probe.Pending, qt.IsTrue)
	r.store()
	polls := r.schedule()
	qt.Assert(t, polls, qt.HasLen, 1)
	raised, _ := r.core.Renewal("w1")
	qt.Assert(t, polls[0].Renew.Fence, qt.Equals, raised.Command.Fence)
	qt.Assert(t, raised.Command.Fence > earlier.Command.Fence, qt.IsTrue)
	qt.Assert(t, raised.Pending, qt.IsFalse)
	qt.Assert(t, raised.Command.MaxWait, qt.Equals, time.Duration(0))

	r.addSteps("a", 1)
	r.core.HandleStatus(probe.call, worker.Status{Reply: worker.Reply{Clock: 11 * time.Millisecond, Incarnation: rigNextIncarnation}}, r.now, nil)
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	r.core.HandleStatus(raised.call, worker.Status{Reply: worker.Reply{Clock: 12 * time.Millisecond, Incarnation: rigNextIncarnation}}, r.now, nil)
	r.renew("w1")(12*time.Millisecond, rigNextIncarnation)
	starts := r.pass()
	qt.Assert(t, startsOf(starts), qt.DeepEquals, []string{"a 0.0.0 1 w1"})
	qt.Assert(t, starts[0].Start.Fence, qt.Equals, raised.Command.Fence)
}

// TestFencedByOwnCall guards against a leader that resigns because a worker refuses a call that a later one of the same leader overtook.
func TestFencedByOwnCall(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.moveOn("w1")
	late, _ := r.core.Renewal("w1")
	r.store()
	r.renew("w1")(12*time.Millisecond, rigNextIncarnation)
	r.core.HandleStatus(late.call, worker.Status{Reply: worker.Reply{Outcome: worker.Fenced}}, r.now, nil)
	qt.Assert(t, r.core.Deposed(), qt.IsFalse)
	r.core.HandleStatus(r.callTo("w1"), worker.Status{Reply: worker.Reply{Outcome: worker.Fenced}}, r.now, nil)
	qt.Assert(t, r.core.Deposed(), qt.IsTrue)
}

// TestWorkerBackUnderItsID guards against starts without an answer that are forgotten with a worker, and carried out when it is back.
func TestWorkerBackUnderItsID(t *testing.T) {
	r := newRig(t, 1, "w1")
	before, _ := r.core.Renewal("w1")
	r.core.dropSilentWorker(r.core.workers["w1"], "not in the registry and unresponsive")
	r.register("w1")
	r.reply("w1")
	r.addSteps("a", 1)
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	r.reply("w1")
	starts := r.pass()
	qt.Assert(t, startsOf(starts), qt.DeepEquals, []string{"a 0.0.0 1 w1"})
	qt.Assert(t, starts[0].Start.Fence > before.Command.Fence, qt.IsTrue)
	// The worker is still in the same life, so that its leases are by the clock that they were requested by.
	qt.Assert(t, r.core.workers["w1"].earlierExpiry(), qt.Equals, time.Duration(0))
}

// TestLeaseFromEarlierCall guards against a second run of a task, while the first one is under a lease that a call for the earlier life of
// its worker gave, and against a task that waits for longer than that lease. By the clock of the next life, the lease that was requested of a
// long life is as long as a lease may be.
func TestLeaseFromEarlierCall(t *testing.T) {
	longest := rigBounds().MaxLease
	tests := map[string]struct {
		// term is how long the leader has led, and age the clock of the earlier life.
		term, age, lease time.Duration
	}{
		"long life":                           {30 * time.Second, time.Minute, longest},
		"short life":                          {30 * time.Second, time.Second, time.Second + leaseDuration},
		"calls of an earlier leader may come": {time.Second, time.Second, longest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w2")
			r.advance(test.term)
			r.register("w1")
			for range 2 {
				r.renew("w1")(test.age, rigIncarnation)
			}
			r.moveOn("w1")
			r.core.SetWorkers([]worker.Report{restartedReport("w1")})
			r.store()
			for range 2 {
				r.renew("w1")(12*time.Millisecond, rigNextIncarnation)
			}
			r.addSteps("a", 1)
			starts := r.pass()
			qt.Assert(t, startsOf(starts), qt.DeepEquals, []string{"a 0.0.0 1 w1"})
			r.core.HandleReply(starts[0], worker.Reply{Clock: 13 * time.Millisecond}, r.now, nil)
			silence := r.now
			r.core.SetWorkers([]worker.Report{restartedReport("w1"), rigReport("w2", coresOnly(4))})
			var again []string
			for len(again) == 0 && r.now-silence < 30*time.Second {
				r.advance(200 * time.Millisecond)
				r.reply("w2")
				r.core.Renewal("w1")
				again = startsOf(r.pass())
			}
			qt.Assert(t, again, qt.DeepEquals, []string{"a 0.0.0 2 w2"})
			took, least := r.now-silence, min(longest, test.lease-13*time.Millisecond)
			qt.Assert(t, took >= least && took <= test.lease+time.Second, qt.IsTrue, qt.Commentf("after %s", took))
		})
	}
}

// TestTokenOfBatch guards against a worker that gets no tasks any more after a restart, and against one that refuses the next leader.
func TestTokenOfBatch(t *testing.T) {
	s := memory.New()
	e, _ := newTestEngine(t, s, 1)
	e.core.AddJob(work.Job{ID: "a", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}}, nil, 0)
	e.core.endJob(e.core.jobs["a"], work.Failed, "test")
	e.dispatch(clock.Now())
	e.handleMessages(<-e.inbox)
	qt.Assert(t, e.core.storedVersion > e.options.Core.Fence, qt.IsTrue)
	next, _ := newTestEngine(t, s, 2)
	qt.Assert(t, e.core.storedVersion < next.options.Core.Fence, qt.IsTrue)
}

// TestFenceOfReturningWorker guards against a leader that takes itself for deposed, because a worker that was removed long ago returns in the
// same life and has seen a token that ruled out orders.
func TestFenceOfReturningWorker(t *testing.T) {
	r := newRig(t, 1, "w1", "w2", "w3")
	ws := r.core.workers["w1"]
	r.core.ruleOut(ws, ws.fence)
	r.store()
	r.reply("w1")
	raised := ws.fence
	qt.Assert(t, raised > r.core.options.Fence, qt.IsTrue)
	r.core.dropWorker(ws, "test")
	r.advance(maxCommandDelay + 2*rigBounds().MaxLease + time.Second)
	// The calls to workers that were removed long ago are forgotten when another one is removed.
	r.core.dropWorker(r.core.workers["w3"], "test")
	r.register("w1", "w2")
	qt.Assert(t, r.callTo("w1").fence >= raised, qt.IsTrue)
}
