package scheduler

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestServiceBesideReservedWorker guards against a task of a small service that waits for room which is kept for a larger one.
func TestServiceBesideReservedWorker(t *testing.T) {
	r := newIdleRig(t, 2)
	r.addJob(work.Job{ID: "long", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 2, Request: coresOnly(3), Estimate: time.Minute}}})
	r.play(time.Second)
	r.addService("large", 1, 4000)
	r.play(2 * reserveAfter)
	qt.Assert(t, r.core.pool("p").reserved, qt.HasLen, 1)
	clear(r.idleSince)
	r.addService("small", 2, 1000)
	r.calm = r.now - idleAfterCalm
	r.play(2 * time.Second)
	qt.Assert(t, r.core.pool("p").reserved, qt.HasLen, 1)
	r.play(10 * time.Second)
	qt.Assert(t, r.longest < maxIdle-idleReserve, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
	qt.Assert(t, r.idleSince[work.Task{Job: "small"}], qt.Equals, r.now)
	qt.Assert(t, r.idleSince[work.Task{Job: "small", Index: 1}], qt.Equals, r.now)
}

// TestServiceBehindExitsOfUnknownJobs guards against a task that counts as running because its exit is behind those of jobs that are not known.
func TestServiceBehindExitsOfUnknownJobs(t *testing.T) {
	const unknown = 4
	r := newIdleRig(t, 1)
	r.addService("s", 1, 1000)
	r.play(time.Second)
	for i := range unknown {
		r.exits["w0"] = append(r.exits["w0"], worker.Exit{Seq: uint64(i + 1), Task: work.Task{Job: fmt.Sprint("unknown", i)}, Number: 1, Reason: worker.ExitDone})
	}
	r.end("w0", work.Task{Job: "s"}, worker.ExitFailed)
	r.calm = r.now
	r.play(15 * time.Second)
	qt.Assert(t, r.longest < maxIdle-idleReserve, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
}

// TestServiceBesideRunsOfUnknownJobs guards against a task of a service that waits for workers on which runs are listed that nobody knows.
func TestServiceBesideRunsOfUnknownJobs(t *testing.T) {
	r := newIdleRig(t, 2)
	for i, id := range r.workers {
		for n := range 3 {
			r.runs[id] = append(r.runs[id], worker.Run{Task: work.Task{Job: fmt.Sprint("unknown", i, n)}, Number: 1, SpeedPercent: 100})
		}
	}
	r.addService("s", 2, 500)
	r.calm = r.now
	r.play(15 * time.Second)
	qt.Assert(t, r.longest < maxIdle-idleReserve, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
}

// TestServiceAfterLostStarts guards against a task that counts as running, or as about to start, on a worker that has not started it.
func TestServiceAfterLostStarts(t *testing.T) {
	replies := func(outcomes ...worker.Outcome) []worker.Outcome { return outcomes }
	tests := map[string][]worker.Outcome{
		"confirmed, never listed":       replies(worker.Accepted),
		"no answer, then superseded":    replies(worker.Unknown, worker.Superseded),
		"no answer, then no room":       replies(worker.Unknown, worker.NoRoom),
		"no answer, then unhealthy":     replies(worker.Unknown, worker.Unknown, worker.Unhealthy),
		"superseded again and again":    replies(worker.Superseded, worker.Superseded, worker.Superseded),
		"malformed":                     replies(worker.Invalid),
		"lease has expired, then again": replies(worker.Expired, worker.Expired),
		"not sent again and again":      replies(worker.NotSent, worker.NotSent, worker.NotSent, worker.NotSent),
		"never an answer from a worker": slices.Repeat(replies(worker.Unknown), 100),
	}
	for name, outcomes := range tests {
		for _, budget := range []int{0, 1} {
			t.Run(fmt.Sprint(name, ", budget ", budget), func(t *testing.T) {
				r := newIdleRig(t, 2)
				r.addJob(work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(1), Service: true, MaxDisruptions: budget}}})
				first, start, left := "", r.now, outcomes
				for end := r.now + 15*time.Second; r.now < end; {
					r.advance(idleStep)
					r.registerListed()
					for _, id := range r.workers {
						r.renew(id)
					}
					for _, cmd := range r.pass() {
						if cmd.Kind != CommandStart || len(left) == 0 || first != "" && first != cmd.Target.ID {
							r.carryOut(cmd)
							continue
						}
						first = cmd.Target.ID
						r.core.HandleReply(cmd, worker.Reply{Outcome: left[0], Clock: r.now}, r.now, nil)
						left = left[1:]
					}
					if r.isRunning(work.Task{Job: "s"}) {
						break
					}
				}
				t.Logf("runs after %v", r.now-start)
				qt.Assert(t, r.now-start < idleAfterCalm+maxIdle-idleReserve, qt.IsTrue, qt.Commentf("runs after %v", r.now-start))
			})
		}
	}
}

// TestServiceAfterPolicyOutage guards against a service that waits for the policy service for too long after that is back.
func TestServiceAfterPolicyOutage(t *testing.T) {
	const answerTime = 500 * time.Millisecond
	for _, outage := range []time.Duration{2 * time.Second, 3500 * time.Millisecond, 10 * time.Second, 30 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			r := newPolicyRig(t, 2)
			r.addService("s", 2, 1000)
			r.calm = r.now + outage
			// A step has one query at a time.
			var query *PolicyQuery
			var sent time.Duration
			for end := r.calm + 15*time.Second; r.now < end; {
				r.idleRig.play(idleStep)
				for _, q := range r.core.TakePolicyQueries() {
					query, sent = &q, r.now
				}
				switch {
				case query == nil:
				case sent >= r.calm && r.now-sent >= answerTime:
					g := advice.Grant{Tickets: map[string]string{"w0": "ticket", "w1": "ticket"}, Valid: ticketsValid}
					r.core.HandlePolicyReply(*query, g, sent, nil)
					query = nil
				case r.now-sent >= adviceTimeout:
					r.core.HandlePolicyReply(*query, advice.Grant{}, sent, errors.New("no answer"))
					query = nil
				}
			}
			qt.Assert(t, r.longest < maxIdle-idleReserve/2, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
		})
	}
}

// TestServiceBesideDoubtedWorker guards against a task of a service that starts on a worker which is likely to be down, or whose loss takes long
// to be known, although another one has room. If no other has room, the task waits only as long as the doubt.
func TestServiceBesideDoubtedWorker(t *testing.T) {
	const lateAnswer = doubtedAfter + time.Millisecond
	tests := map[string]struct {
		doubt func(r *rig, ws *workerState)
		// alone means that the task starts there at once if there is no other worker.
		alone bool
	}{
		"call without an answer": {func(r *rig, ws *workerState) {
			r.core.HandleStatus(r.callTo(ws.report.ID), worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}, r.now, nil)
		}, true},
		"late answer": {func(r *rig, ws *workerState) { ws.lastContact = r.now - lateAnswer }, false},
		"lease of an earlier life": {func(r *rig, ws *workerState) {
			ws.earlier = earlierCalls{fence: 1, until: r.now + maxCommandDelay}
			ws.ruledOutAt = r.now
		}, true},
	}
	for name, test := range tests {
		for i, doubted := range []string{"w0", "w1"} {
			t.Run(fmt.Sprint(name, ", ", doubted), func(t *testing.T) {
				r := newIdleRig(t, 2)
				r.addService("other", 2, 1000)
				r.play(time.Second)
				test.doubt(r.rig, r.core.workers[doubted])
				r.addService("s", 1, 1000)
				starts := startsOf(r.pass())
				qt.Assert(t, starts, qt.DeepEquals, []string{fmt.Sprint("s 0.0.0 1 w", 1-i)})
			})
		}
		t.Run(name+", alone", func(t *testing.T) {
			r := newIdleRig(t, 1)
			test.doubt(r.rig, r.core.workers["w0"])
			r.addService("s", 1, 1000)
			commands := r.pass()
			qt.Assert(t, len(startsOf(commands)) == 1, qt.Equals, test.alone)
			for _, cmd := range commands {
				r.carryOut(cmd)
			}
			r.play(2 * idleStep)
			qt.Assert(t, r.isRunning(work.Task{Job: "s"}), qt.IsTrue)
		})
	}
}

// TestPlanOutlivesRegistration guards against a start on a worker that has become draining while its run was planned.
func TestPlanOutlivesRegistration(t *testing.T) {
	r := newIdleRig(t, 2)
	r.addService("s", 1, 1000)
	r.schedule()
	ws := r.core.jobs["s"].open[0].steps[0].tasks[0].runs[0].worker
	b := r.core.TakeBatch(batchRows)
	ws.report.Draining = true
	r.advance(4 * time.Second)
	for _, id := range r.workers {
		r.renew(id)
	}
	r.core.BatchStored(b)
	for _, cmd := range r.core.TakeCommands() {
		qt.Assert(t, cmd.Kind == CommandStart && cmd.Target.ID == ws.report.ID, qt.IsFalse)
	}
}

// TestVersionForRestartedWorker guards against a worker that gets no tasks for maxCommandDelay after it has started again, because the store has
// refused its row in the roster, so that no batch supplies the fencing token which rules out calls to its earlier life.
func TestVersionForRestartedWorker(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	r.store()
	ws := r.core.workers["w1"]
	r.core.ruleOut(ws, ws.fence)
	r.reply("w1")
	qt.Assert(t, ws.fence, qt.Equals, r.core.storedVersion)
	for {
		if b := r.core.TakeBatch(batchRows); b.Empty() {
			break
		}
	}
	r.core.refusedRows.Refused([]store.Key{rosterKey("w1")}, r.now, true)
	r.moveOn("w1")
	r.core.SetWorkers([]worker.Report{restartedReport("w1"), rigReport("w2", coresOnly(4))})
	for range 2 {
		renewal, _ := r.core.Renewal("w1")
		r.core.HandleStatus(renewal.call, worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: rigNextIncarnation}}, r.now, nil)
	}
	ws = r.core.workers["w1"]
	qt.Assert(t, ws.ruledOut(r.now), qt.IsFalse)
	b := r.core.TakeBatch(batchRows)
	qt.Assert(t, b.Empty(), qt.IsFalse)
}

// TestLargeServiceBesideSmallOnes guards against a large service that never starts, because small ones take the room that is kept for it.
func TestLargeServiceBesideSmallOnes(t *testing.T) {
	r := newIdleRig(t, 2)
	r.addJob(work.Job{ID: "long", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 4, Request: coresOnly(2), Estimate: 4 * time.Second}}})
	r.play(time.Second)
	r.addService("large", 1, 4000)
	r.play(time.Second)
	for i := range 6 {
		r.addService(fmt.Sprint("small", i), 1, 400)
	}
	start := r.now
	next := r.now + 3*time.Second
	for r.now-start < 40*time.Second && !r.isRunning(work.Task{Job: "large"}) {
		r.play(idleStep)
		if r.now > next {
			next += 4 * time.Second
			for _, id := range r.workers {
				for _, run := range r.runs[id] {
					if run.Task.Job == "long" {
						r.end(id, run.Task, worker.ExitDone)
						break
					}
				}
			}
		}
	}
	qt.Assert(t, r.now-start < 2*reservationLimit, qt.IsTrue, qt.Commentf("does not run for %v", r.now-start))
}
