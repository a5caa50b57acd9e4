package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/internal/workers/throttling"
	"github.com/chivetiller/chivetiller/worker"
)

// adjustBestEffort throttles the best-effort tasks of a worker while a service task next to them is over its latency target.
func (c *Core) adjustBestEffort(ws *workerState) {
	if ws.bestEffort == 0 {
		return
	}
	var services throttling.Services
	for _, r := range ws.runs {
		if target := r.step.doc.TailLatencyTarget; target > 0 && !r.step.doc.BestEffort {
			services.Add(time.Duration(r.load)*time.Millisecond, target)
		}
	}
	for _, r := range ws.runs {
		if r.step.doc.BestEffort && r.phase == running {
			c.throttle(r, services.Limit(r.speedLimit, c.now-ws.throttledAt))
		}
	}
}

// throttle limits the speed of a best-effort task.
func (c *Core) throttle(r *run, percent int) {
	if r.speedLimit == percent {
		return
	}
	r.speedLimit = percent
	r.worker.throttledAt = c.now
	c.logger.Info("Speed limit of a best-effort task was changed.", "job", r.step.job.doc.ID, "task", r.name(), "worker", r.worker.report.ID, "percent", percent)
	to := c.newCall(r.worker)
	c.commands = append(c.commands, Command{
		Kind: CommandThrottle, Target: workerTarget(r.worker), run: r, call: to,
		Run: worker.RunCommand{Task: r.task(), Run: r.number, Fence: to.fence, SpeedPercent: percent},
	})
}
