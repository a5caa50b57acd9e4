package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestStartBeforeRestartStaysRecorded guards against a second run of a task under the next leader, while the start of the first one may still
// reach the next life of its worker.
func TestStartBeforeRestartStaysRecorded(t *testing.T) {
	service := work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(1), Service: true}}}
	first := newRig(t, 1, "w1", "w2")
	j := first.addJob(service)
	commands := first.pass()
	first.core.HandleReply(commands[0], worker.Reply{Outcome: worker.Unknown}, first.now, nil)
	first.schedule()
	first.core.SetWorkers([]worker.Report{restartedReport("w1"), rigReport("w2", coresOnly(4))})
	first.restart("w1")
	qt.Assert(t, startsOf(first.pass()), qt.HasLen, 0)

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
