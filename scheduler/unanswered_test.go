package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
