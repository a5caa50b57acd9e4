package scheduler

import (
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

// recordUnansweredStart records the latest start of a run that got no answer.
func (c *Core) recordUnansweredStart(r *run) {
	r.worker.unansweredStarts.Add(r.task(), r.number, c.now, maxCommandDelay)
}

const (
	// maxCommandDelay is how long a command without an answer may still be carried out. The platform delays commands by up to 12 s.
	maxCommandDelay = 13 * time.Second
	// restartPause delays the next start of a task until the stops against late starts have been sent.
	restartPause = 600 * time.Millisecond
)

// unknownRun stands for runs that belong to no known task.
var unknownRun = &run{step: &step{tasks: make([]task, 1), job: &job{}, occurrence: &occurrence{}, doc: &work.Step{}}}
