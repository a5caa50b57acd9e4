package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

// AddJob takes a job from its row. Progress is nil for a job without stored progress. It does nothing for a job
// that is known.
func (c *Core) AddJob(doc work.Job, progress *work.Progress, storeNow time.Duration) {
	if _, ok := c.jobs[doc.ID]; ok {
		return
	}
	if progress == nil {
		progress = work.NewProgress()
	}
	progress.Init()
	j := &job{
		doc: doc, progress: progress, stored: progress.State, open: make(map[int]*occurrence),
		chain: doc.Chain(), accepted: c.now - max(0, storeNow-doc.Accepted), begun: len(progress.Occurrences)+len(progress.Complete) > 0,
	}
	for i := range doc.Steps {
		j.service = j.service || doc.Steps[i].Service
	}
	c.jobs[doc.ID] = j
	delete(c.unknown, doc.ID)
	if progress.State.Ended() {
		j.ended = c.now
		return
	}
	p := c.pool(doc.Pool)
	p.jobs = append(p.jobs, j)
	p.dirty = true
	c.openDue(j)
	c.noteFormer(j)
	c.seenJobs = c.seenJobs || !j.service
	if !j.service && c.now-j.accepted < rateWindow {
		p.arrive(j.accepted, j.doc.Work())
	}
	c.logger.Debug("Job is known.", "job", doc.ID, "queue", doc.Queue, "team", doc.Team, "pool", doc.Pool, "begun", j.begun)
	if _, ok := c.early[doc.ID]; ok {
		delete(c.early, doc.ID)
		c.Cancel(doc.ID)
	}
}

// Cancel cancels a job. A cancellation that comes before its job is kept.
func (c *Core) Cancel(id string) {
	j, ok := c.jobs[id]
	if !ok {
		c.early[id] = c.now
		return
	}
	if j.progress.State.Ended() {
		return
	}
	c.logger.Info("Job is cancelled.", "job", id)
	c.end(j, work.Cancelled, "cancelled")
}

// end gives a job its final state and stops what runs of it.
func (c *Core) end(j *job, state work.State, reason string) {
	j.progress.State = state
	j.progress.Reason = reason
	j.ended = c.now
	if state == work.Cancelled {
		// The row of the cancellation is stored already.
		j.stored = state
	}
	c.changed[j] = true
	for _, o := range j.open {
		for _, s := range o.steps {
			for i := range s.tasks {
				for _, r := range s.tasks[i].runs {
					c.stop(r, reason)
				}
			}
		}
	}
	p := c.pool(j.doc.Pool)
	if i := slices.Index(p.jobs, j); i >= 0 {
		p.jobs = slices.Delete(p.jobs, i, i+1)
	}
}

// openDue opens the occurrences that are due.
func (c *Core) openDue(j *job) {
	if j.progress.State.Ended() {
		return
	}
	for j.next < j.doc.Occurrences() {
		k := j.next
		due := j.accepted
		if j.doc.Times > 0 {
			due = j.doc.Due(k) - c.unix
			if c.unix == 0 || c.now < due {
				return
			}
		}
		j.next++
		if j.progress.Complete[k] {
			continue
		}
		j.open[k] = newOccurrence(j, k, due)
		c.pool(j.doc.Pool).dirty = true
	}
}

func newOccurrence(j *job, k int, due time.Duration) *occurrence {
	o := &occurrence{number: k, due: due, progress: j.progress.Occurrence(&j.doc, k)}
	o.recorded = slices.Clone(o.progress.Workers)
	for i := range j.doc.Steps {
		doc := &j.doc.Steps[i]
		s := &step{job: j, occurrence: o, number: i, doc: doc, progress: &o.progress.Steps[i], tasks: make([]task, doc.Count)}
		for t := range s.tasks {
			if s.progress.IsDone(t) {
				s.tasks[t].done = true
				continue
			}
			if _, number, ok := o.progress.Run(i, t); ok {
				s.tasks[t].lastRun = number
				s.gangRun = max(s.gangRun, number)
			}
			s.left++
			s.idle++
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// State returns the state of a job as clients may see it.
func (c *Core) JobState(id string) (work.State, bool) {
	j, ok := c.jobs[id]
	if !ok {
		return 0, false
	}
	if j.stored.Ended() {
		return j.stored, true
	}
	if j.begun {
		return work.Running, true
	}
	return work.Pending, true
}

// Waiting returns how many accepted jobs of a queue have not begun.
func (c *Core) WaitingJobs(queue string) int {
	n := 0
	for _, p := range c.pools {
		for _, j := range p.jobs {
			if j.doc.Queue == queue && !j.begun {
				n++
			}
		}
	}
	return n
}

// step returns the step of a task that is open.
func (c *Core) step(t work.Task) (*step, bool) {
	j, ok := c.jobs[t.Job]
	if !ok {
		return nil, false
	}
	o, ok := j.open[t.Occurrence]
	if !ok || t.Step >= len(o.steps) || t.Index >= len(o.steps[t.Step].tasks) {
		return nil, false
	}
	return o.steps[t.Step], true
}

// done marks a task as done and ends what is complete with it.
func (c *Core) done(s *step, index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	t.done = true
	s.left--
	s.occurrence.known = false
	c.pool(s.job.doc.Pool).dirty = true
	if len(t.runs) == 0 {
		s.idle--
	}
	s.progress.SetDone(index)
	c.changed[s.job] = true
	for _, r := range t.runs {
		c.stop(r, "another run is done")
	}
	if s.left > 0 {
		return
	}
	o := s.occurrence
	for _, other := range o.steps {
		if other.left > 0 {
			return
		}
	}
	j := s.job
	delete(j.open, o.number)
	delete(j.progress.Occurrences, o.number)
	j.progress.Complete[o.number] = true
	c.logger.Info("Occurrence is complete.", "job", j.doc.ID, "occurrence", o.number, "after", c.now-o.due)
	if len(j.progress.Complete) == j.doc.Occurrences() {
		c.end(j, work.Finished, "")
	}
}
