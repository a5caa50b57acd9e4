package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestStartWithoutAnswer guards against a task that waits on one worker for good, because its start gets no answer that can be used.
func TestStartWithoutAnswer(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	r.addJob(work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 1000}, Service: true}}})
	starts := make(map[string]int)
	running := false
	for range 600 {
		r.advance(50 * time.Millisecond)
		r.reply("w1")
		r.reply("w2")
		for _, cmd := range r.pass() {
			switch {
			case cmd.Kind != CommandStart:
				r.core.HandleReply(cmd, worker.Reply{Clock: r.now}, r.now, nil)
			case cmd.Target.ID == "w1":
				starts["w1"]++
				r.core.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
			default:
				starts[cmd.Target.ID]++
				running = true
				r.accept([]Command{cmd})
			}
		}
	}
	t.Logf("starts %v, waiting %v", starts, r.core.Counts().WaitingTasks)
	qt.Assert(t, running, qt.IsTrue)
}

// TestUnansweredStartOnDrainingWorker guards against a start that is repeated on a worker that is known to be leaving for long.
func TestUnansweredStartOnDrainingWorker(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("j", 1)
	qt.Assert(t, startsOf(r.leaveUnanswered(100*time.Millisecond, "w1")), qt.Not(qt.HasLen), 0)
	report := rigReport("w1", coresOnly(4))
	report.Draining, report.Remaining = true, time.Minute
	r.core.SetWorkers([]worker.Report{report})
	const drainWindow = 2 * time.Second
	r.leaveUnanswered(drainWindow, "w1")
	qt.Assert(t, startsOf(r.leaveUnanswered(10*time.Second, "w1")), qt.HasLen, 0)
}

// TestUnansweredStartBeyondTeamLimit guards against a start that is repeated when the team may not run the task any more.
func TestUnansweredStartBeyondTeamLimit(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	r.addJob(work.Job{ID: "j", Queue: "q", Pool: "p", Team: "limited", Steps: []work.Step{{Count: 4, Request: coresOnly(1)}}})
	qt.Assert(t, startsOf(r.leaveUnanswered(100*time.Millisecond, "w1", "w2")), qt.Not(qt.HasLen), 0)
	r.core.SetCatalog(catalog.New(2, 0, []catalog.Queue{{
		Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond,
	}}, []catalog.Pool{{Name: "p"}}, []catalog.Team{{Name: "limited", Limit: work.Resources{CPU: 100}}}))
	const configDelay = 2 * time.Second
	r.leaveUnanswered(configDelay, "w1", "w2")
	tasks := make(map[work.Task]bool)
	for _, cmd := range r.leaveUnanswered(10*time.Second, "w1", "w2") {
		if cmd.Kind == CommandStart {
			tasks[cmd.Start.Task] = true
		}
	}
	// One task beyond the limit may run.
	qt.Assert(t, len(tasks) <= 1, qt.IsTrue, qt.Commentf("started: %v", tasks))
}
