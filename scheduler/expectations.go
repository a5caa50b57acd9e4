package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/finishedruns"
	"github.com/chivetiller/chivetiller/internal/jobs/remainingwork"
	"github.com/chivetiller/chivetiller/internal/jobs/runtimes"
)

// class returns what tells the tasks of a step from others.
func (s *step) class() runtimes.Class {
	return runtimes.Class{Queue: s.job.doc.Queue, Step: s.number, Steps: len(s.job.doc.Steps), Image: s.doc.Image, CPU: s.doc.Request.CPU, Estimate: s.doc.Estimate}
}

// expect returns how long a task of a step is expected to take on a worker of usual pace, near its data.
func (c *Core) expect(s *step) runtimes.Expectation {
	return c.learned.Expect(s.class(), &s.finished, s.tasksLeft > s.idleTasks, func() (times []time.Duration) {
		for i := range s.tasks {
			for _, r := range s.tasks[i].runs {
				if r.phase == running && r.whole {
					times = append(times, time.Duration(float64(c.now-r.startedAt)/c.delayOf(r)))
				}
			}
		}
		return times
	}, c.now)
}

// delayOf returns how many times as long as expected a run takes because of its worker and the distance to its data.
func (c *Core) delayOf(r *run) float64 {
	return c.learned.Delay(r.step.job.doc.Queue, 1+r.worker.slowness, r.isFar())
}

// isFar reports whether a run is away from its data, or from other runs of its gang.
func (r *run) isFar() bool {
	s, rack := r.step.doc, r.worker.report.Rack()
	if !s.SameRack {
		return s.DataRack != "" && rack != s.DataRack
	}
	for i := range r.step.tasks {
		for _, other := range r.step.tasks[i].runs {
			if other.worker.report.Rack() != rack {
				return true
			}
		}
	}
	return s.DataRack != "" && rack != s.DataRack
}

// expectedLeft returns how long a run is expected to go on, by what is expected of its step. One that takes longer goes on for a while.
func (c *Core) expectedLeft(r *run, expect func(*step) runtimes.Expectation) time.Duration {
	if r.phase == stopping {
		return minRunLeft
	}
	delay := c.delayOf(r)
	left := expect(r.step).Left(time.Duration(float64(c.now-r.startedAt) / delay))
	return max(time.Duration(float64(left)*delay), minRunLeft)
}

// remainingWork returns the critical path and the work (in core-seconds) that are left of an occurrence, as expected.
func (c *Core) remainingWork(o *occurrence) (criticalPath time.Duration, coreSeconds float64) {
	if !o.remaining.Valid(c.now) {
		var buffer [4]remainingwork.Step
		steps := buffer[:0]
		for _, s := range o.steps {
			left := remainingwork.Step{DependsOn: s.doc.DependsOn, TasksLeft: s.tasksLeft, CPU: s.doc.Request.CPU}
			if s.tasksLeft > 0 || c.options.Features.LearnedRunTimes {
				// The mean of a wide distribution is far above what most tasks take: pools got a sixth more instances for it, and served no more.
				left.Typical = c.expect(s).Median()
			}
			steps = append(steps, left)
		}
		o.remaining.Set(steps, c.learned.WorkUntil(c.now, o.dueAt))
	}
	return o.remaining.Left()
}

// learnFrom records how long a run took that was done. The members of a gang end together.
func (c *Core) learnFrom(r *run) {
	s := r.step
	c.learned.Observe(&s.finished, finishedruns.Run{
		Class: s.class(), Job: s.job.doc.ID, Worker: r.worker.report.ID, Far: r.isFar(), Took: c.now - r.startedAt,
		Whole: r.whole && r.unanswered == 0 && !s.doc.BestEffort && !s.tasks[r.index].done, Together: s.doc.Gang,
	}, c.now, c.countDecision)
	c.ratePace(r.worker)
}

// ratePace sets by how much tasks take longer on a worker.
func (c *Core) ratePace(ws *workerState) {
	factor, changed := c.learned.Pace().Rate(ws.report.ID)
	if changed != "" {
		c.countDecision("pace", changed)
		c.logger.Info("Pace of a worker has changed.", "worker", ws.report.ID, "pace", changed, "factor", factor, "before", 1+ws.slowness, "runs", len(ws.runs))
	}
	ws.slowness = factor - 1
}
