package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestAdoptedRunIsRecorded guards against a second run of a task of a service under the next leader, while the first one, whose start reached
// the next life of its worker, runs on there.
func TestAdoptedRunIsRecorded(t *testing.T) {
	service := work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(1), Service: true}}}
	first := newRig(t, 1, "w1", "w2")
	j := first.addJob(service)
	commands := first.pass()
	qt.Assert(t, startsOf(commands), qt.DeepEquals, []string{"s 0.0.0 1 w1"})
	first.core.HandleReply(commands[0], worker.Reply{Outcome: worker.Unknown}, first.now, nil)
	first.schedule()
	first.core.SetWorkers([]worker.Report{restartedReport("w1"), rigReport("w2", coresOnly(4))})
	first.runs["w1"] = []worker.Run{{Task: work.Task{Job: "s"}, Number: 1}}
	first.restart("w1")
	for range 5 {
		first.advance(200 * time.Millisecond)
		first.restart("w1")
		first.reply("w2")
		qt.Assert(t, startsOf(first.pass()), qt.HasLen, 0)
	}
	qt.Assert(t, j.open[0].steps[0].tasks[0].runs, qt.HasLen, 1)

	next := newRig(t, 2, "w2")
	next.now = first.now + 100*time.Millisecond
	next.core = NewCore(Options{Bounds: rigBounds(), Fence: 100, Term: 2, AcquiredAt: next.now, PreviousLeaderEnded: true, EarlierLeadersUntil: next.now})
	next.core.SetCatalog(first.core.catalog)
	next.core.SetTime(next.now)
	next.core.AddJob(j.doc, j.progress, 0)
	next.register("w2")
	next.reply("w2")
	for range 10 {
		next.advance(200 * time.Millisecond)
		next.reply("w2")
		qt.Assert(t, startsOf(next.pass()), qt.HasLen, 0, qt.Commentf("%v after the takeover", next.now-first.now))
	}
}
