package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// stopUnknownRun stops a run that is not recorded. If it has not started yet, the worker rejects its late start.
func (c *Core) stopUnknownRun(ws *workerState, t work.Task, number int) {
	to := c.newCall(ws)
	c.commands = append(c.commands, Command{
		Kind: CommandStop, Target: workerTarget(ws), Run: worker.RunCommand{Task: t, Run: number, Fence: to.fence}, call: to, run: unknownRun,
	})
}

// unansweredStart is a start command that got no answer and may be carried out later.
type unansweredStart struct {
	task  work.Task
	run   int
	since time.Duration
}

// mayArrive reports whether the command may still be carried out.
func (s unansweredStart) mayArrive(now time.Duration) bool { return now-s.since < maxCommandDelay }

// recordUnansweredStart records the latest start of a run that got no answer, and forgets those that cannot arrive any more.
func (c *Core) recordUnansweredStart(r *run) {
	ws := r.worker
	ws.unansweredStarts = slices.DeleteFunc(ws.unansweredStarts, func(s unansweredStart) bool {
		return s.task == r.task() && s.run == r.number || !s.mayArrive(c.now)
	})
	ws.unansweredStarts = append(ws.unansweredStarts, unansweredStart{task: r.task(), run: r.number, since: c.now})
}

const (
	// maxCommandDelay is how long a command without an answer may still be carried out. The platform delays commands by up to 12 s.
	maxCommandDelay = 13 * time.Second
	// restartPause delays the next start of a task until the stops against late starts have been sent.
	restartPause = 600 * time.Millisecond
)

// unknownRun stands for runs that belong to no known task.
var unknownRun = &run{step: &step{tasks: make([]task, 1), job: &job{}, occurrence: &occurrence{}, doc: &work.Step{}}}
