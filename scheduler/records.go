package scheduler

import (
	"cmp"
	"iter"
	"slices"

	"github.com/chivetiller/chivetiller/work"
)

// spareRecordedWorkers is how many workers an occurrence may have recorded, besides two for each task, before those that are gone are
// searched.
const spareRecordedWorkers = 64

// forgetWorkers removes the workers on which no task of an occurrence can be running from its record, and reports whether there were any. A
// service is started again as often as its workers are lost, so that the record would grow without limit.
func (c *Core) forgetWorkers(o *occurrence) bool {
	forgotten := o.progress.ForgetWorkers(func(id string) bool {
		_, unknown := c.previousUsage[id]
		return c.workers[id] == nil && !unknown
	})
	o.recordedWorkers = slices.DeleteFunc(o.recordedWorkers, func(id string) bool { return !slices.Contains(o.progress.Workers, id) })
	return forgotten
}

// recordRunEnd records that a run has ended, so that the next leader does not wait for its worker.
func (c *Core) recordRunEnd(s *step, index, number int) {
	if !s.occurrence.progress.EndRun(s.number, index, number) {
		return
	}
	c.changedJobs[s.job] = true
	if !s.recordsAll() {
		return
	}
	for _, r := range s.tasks[index].runs {
		if r.phase != planned && r.number != number {
			// Another run of the task is still being stopped.
			c.recordAdopted(r)
		}
	}
}

// forgetWorkersOfServices removes workers that are gone from the records of services, for which the next leader would wait. The record of
// another job ends with it.
func (c *Core) forgetWorkersOfServices() {
	if !c.workersGone {
		return
	}
	c.workersGone = false
	for _, p := range c.pools {
		for _, j := range p.jobs {
			if !j.service {
				continue
			}
			for _, o := range j.open {
				if c.forgetWorkers(o) {
					c.changedJobs[j] = true
				}
			}
		}
	}
}

// recordAdopted records a run that is not on record as running, such as one whose late start was carried out after its end was recorded. The
// next leader starts the task elsewhere otherwise. A newer run on record may go on, on a worker that has not answered.
func (c *Core) recordAdopted(r *run) {
	if _, number, ok := r.step.occurrence.progress.Run(r.step.number, r.index); !ok || number < r.number {
		r.step.occurrence.progress.SetRun(r.step.number, r.index, r.worker.report.ID, r.number)
		c.changedJobs[r.step.job] = true
	}
}

// endedProgress returns what is stored of the progress of a job that has ended: its state, and the runs that may still be at work. The next
// leader counts them against the limit of the team, since they go on until their workers have carried out the stops.
func (c *Core) endedProgress(j *job) *work.Progress {
	p := &work.Progress{State: j.progress.State, Reason: j.progress.Reason}
	for r := range c.runsLeft(j) {
		if p.Occurrences == nil {
			p.Occurrences = make(map[int]*work.OccurrenceProgress)
		}
		o := p.Occurrence(&j.doc, r.step.occurrence.number)
		first, number, ok := o.Run(r.step.number, r.index)
		o.SetRun(r.step.number, r.index, r.worker, r.number)
		if ok {
			o.SetFirstRun(r.step.number, r.index, first, number)
		}
	}
	return p
}

// runLeft is a run that may still be at work.
type runLeft struct {
	step   *step
	index  int
	worker string
	number int
}

// runsLeft returns the runs of each task of a job that may still be at work, the latest one last.
func (c *Core) runsLeft(j *job) iter.Seq[runLeft] {
	return func(yield func(runLeft) bool) {
		for _, o := range j.open {
			for _, s := range o.steps {
				for i := range s.tasks {
					for _, r := range c.mayRun(s, i) {
						if !yield(r) {
							return
						}
					}
				}
			}
		}
	}
}

// mayRun returns the runs of a task that may be at work, the latest one last: those of this term, and of a step with copies, or if there are
// none, those on record whose workers have not answered.
func (c *Core) mayRun(s *step, index int) []runLeft {
	t := &s.tasks[index]
	var left []runLeft
	for _, r := range t.runs {
		if r.phase != planned {
			left = append(left, runLeft{s, index, r.worker.report.ID, r.number})
		}
	}
	if !s.doc.Speculative && (t.done || len(left) > 0) {
		return left
	}
	for id, number := range s.occurrence.progress.OpenRuns(s.number, index) {
		_, unanswered := c.previousUsage[id]
		if r := (runLeft{s, index, id, number}); unanswered && !slices.Contains(left, r) {
			left = append(left, r)
		}
	}
	slices.SortFunc(left, func(a, b runLeft) int { return cmp.Compare(a.number, b.number) })
	return left
}

// noteEndedRuns records whether the rows of a job that has ended name runs.
func (c *Core) noteEndedRuns(j *job, runs bool) {
	if runs {
		c.endedWithRuns[j] = true
	} else {
		delete(c.endedWithRuns, j)
	}
}

// forgetEndedRuns has the rows of ended jobs stored again once none of their runs may be at work.
func (c *Core) forgetEndedRuns() {
	for j := range c.endedWithRuns {
		left := false
		for range c.runsLeft(j) {
			left = true
			break
		}
		if !left {
			c.changedJobs[j] = true
		}
	}
}

// recallEndedRuns records the runs of an ended job that were at work under the previous leader. They are stopped once their workers report
// them.
func (c *Core) recallEndedRuns(j *job) {
	for k := range j.progress.Occurrences {
		j.open[k] = newOccurrence(j, k, c.now)
	}
	if len(j.open) > 0 {
		c.endedWithRuns[j], j.endStored = true, true
		c.recordPreviousUsage(j)
	}
}
