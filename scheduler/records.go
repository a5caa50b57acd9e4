package scheduler

import (
	"slices"
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
