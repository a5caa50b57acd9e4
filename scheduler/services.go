package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/worker"
)

const (
	// fullSpeed is full speed in percent. A service task that reports it is at work; as a limit it lets a best-effort task
	// use all left-over capacity.
	fullSpeed = 100
	// unknownSpeed means that the limit in force at the worker is not known.
	unknownSpeed = -1
	// speedUpBelow is the share of the latency target below which best-effort tasks are sped up again.
	speedUpBelow = 0.6
	// speedUpStep is the step, in percent, by which they are sped up.
	speedUpStep = 25
	// speedUpInterval is the minimum time between two steps, so that the load after the last one is known.
	speedUpInterval = 1500 * time.Millisecond
)

// adjustBestEffort throttles the best-effort tasks of a worker while a service task next to them is over its latency target.
func (c *Core) adjustBestEffort(ws *workerState) {
	over, near := false, false
	bestEffort := 0
	for _, r := range ws.runs {
		switch {
		case r.step.doc.BestEffort:
			bestEffort++
		case r.step.doc.TailLatencyTarget > 0:
			tail := time.Duration(r.load) * time.Millisecond
			over = over || tail > r.step.doc.TailLatencyTarget
			near = near || float64(tail) > speedUpBelow*float64(r.step.doc.TailLatencyTarget)
		}
	}
	if bestEffort == 0 {
		return
	}
	for _, r := range ws.runs {
		if !r.step.doc.BestEffort || r.phase != running {
			continue
		}
		switch {
		case over:
			c.throttle(r, 0)
		case r.speedLimit == unknownSpeed:
			c.throttle(r, 0)
		case !near && r.speedLimit < fullSpeed && c.now-ws.throttledAt > speedUpInterval:
			c.throttle(r, min(fullSpeed, r.speedLimit+speedUpStep))
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
