package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/copies"
	"github.com/chivetiller/chivetiller/internal/pools/arrivals"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

// AddJob adds a job from its row. progress is nil for a job without stored progress. A job that is known already is
// left as it is. storeNow is the present time of the store.
func (c *Core) AddJob(doc work.Job, progress *work.Progress, storeNow time.Duration) {
	if _, ok := c.jobs[doc.ID]; ok {
		return
	}
	if progress == nil {
		progress = work.NewProgress()
	}
	progress.Init()
	if doc.EndState.Ended() {
		progress.State = doc.EndState
	}
	j := newJob(doc, progress, c.now-max(0, storeNow-doc.AcceptedAt))
	c.jobs[doc.ID] = j
	delete(c.unknownJobs, doc.ID)
	if progress.State.Ended() {
		j.endedAt = c.now
		c.recallEndedRuns(j)
		return
	}
	j.beyondRate = c.beyondRate(j)
	p := c.pool(doc.Pool)
	p.jobs = append(p.jobs, j)
	p.needsPlanning = true
	c.openDueOccurrences(j)
	c.recordPreviousUsage(j)
	c.batchJobSeen = c.batchJobSeen || !j.service
	if !j.service && c.now-j.acceptedAt < arrivals.Span {
		p.arrivals.Record(j.acceptedAt, j.doc.CoreSeconds())
	}
	c.logger.Debug("Job was added.", "job", doc.ID, "queue", doc.Queue, "team", doc.Team, "pool", doc.Pool, "begun", j.started, "beyondRate", j.beyondRate)
	if _, ok := c.earlyCancels[doc.ID]; ok {
		delete(c.earlyCancels, doc.ID)
		c.Cancel(doc.ID)
	}
}

// newJob returns a job that was accepted at a time, with its progress as it is stored.
func newJob(doc work.Job, progress *work.Progress, acceptedAt time.Duration) *job {
	storedParts := progress.Parts
	progress.Parts = 0
	return &job{
		doc: doc, progress: progress, service: doc.ServiceTasks() > 0, tasks: doc.Tasks(), storedParts: storedParts, storedState: progress.State, open: make(map[int]*occurrence),
		criticalPath: doc.CriticalPath(), acceptedAt: acceptedAt, started: len(progress.Occurrences)+len(progress.Complete) > 0, begun: progress.Begun(),
	}
}

// Cancel cancels a job. A cancellation that arrives before its job is kept.
func (c *Core) Cancel(id string) {
	j, ok := c.jobs[id]
	if !ok {
		c.earlyCancels[id] = c.now
		return
	}
	if j.progress.State.Ended() {
		return
	}
	c.logger.Info("Job was cancelled.", "job", id)
	c.endJob(j, work.Cancelled, "cancelled")
}

// endJob gives a job its final state and stops its runs. The first final state stays: clients have been shown it, and a run that has been
// told to stop may still be done.
func (c *Core) endJob(j *job, state work.State, reason string) {
	if j.progress.State.Ended() {
		return
	}
	j.progress.State = state
	j.progress.Reason = reason
	j.endedAt = c.now
	if state == work.Cancelled {
		// The row of the cancellation is stored already.
		j.storedState = state
	}
	c.changedJobs[j] = true
	for _, o := range j.open {
		for _, s := range o.steps {
			for i := range s.tasks {
				for _, r := range s.tasks[i].runs {
					c.stopRun(r, reason)
				}
			}
		}
	}
	p := c.pool(j.doc.Pool)
	if i := slices.Index(p.jobs, j); i >= 0 {
		p.jobs = slices.Delete(p.jobs, i, i+1)
	}
}

const (
	// maxOpenBytes is the maximum size of the open occurrences of a job in its row. The rest is for failures, checkpoints and the list of
	// complete occurrences.
	maxOpenBytes = store.MaxRowBytes * 3 / 4
	// occurrenceBytes and taskBytes are the upper limits for an occurrence without its tasks and for a task with a run.
	occurrenceBytes = 32
	taskBytes       = 10
)

// mayOpenAnother reports whether another occurrence fits beside the open ones. Otherwise it waits until one of them is complete.
func (j *job) mayOpenAnother() bool {
	return len(j.open) == 0 || (len(j.open)+1)*(occurrenceBytes+taskBytes*j.tasks) <= maxOpenBytes
}

// openDueOccurrences opens the occurrences that are due.
func (c *Core) openDueOccurrences(j *job) {
	if j.progress.State.Ended() {
		return
	}
	for j.nextOccurrence < j.doc.Occurrences() {
		k := j.nextOccurrence
		due := j.acceptedAt
		if j.doc.ScheduledOccurrences > 0 {
			due = j.doc.Due(k) - c.wallClockOffset
			if c.wallClockOffset == 0 || c.now < due {
				return
			}
		}
		if _, begun := j.progress.Occurrences[k]; !begun && !j.progress.Complete[k] && !j.mayOpenAnother() {
			return
		}
		j.nextOccurrence++
		if j.progress.Complete[k] {
			continue
		}
		j.open[k] = newOccurrence(j, k, due)
		j.open[k].learnsPath = c.options.Features.LearnedRunTimes
		c.pool(j.doc.Pool).needsPlanning = true
	}
}

func newOccurrence(j *job, k int, due time.Duration) *occurrence {
	o := &occurrence{number: k, dueAt: due, progress: j.progress.Occurrence(&j.doc, k)}
	o.recordedWorkers = slices.Clone(o.progress.Workers)
	// Each pass reads the steps of all jobs that wait, so they are kept beside each other.
	steps := make([]step, len(j.doc.Steps))
	o.steps = make([]*step, len(steps))
	for i := range j.doc.Steps {
		doc := &j.doc.Steps[i]
		s := &steps[i]
		*s = step{job: j, occurrence: o, number: i, doc: doc, progress: &o.progress.Steps[i], tasks: make([]task, doc.Count), copies: copies.NewStep(doc)}
		for t := range s.tasks {
			if s.progress.IsDone(t) {
				s.tasks[t].done = true
				continue
			}
			s.tasks[t].lastRun = o.progress.LastRun(i, t)
			s.gangRun = max(s.gangRun, s.tasks[t].lastRun)
			s.tasksLeft++
			s.idleTasks++
		}
		o.steps[i] = s
	}
	return o
}

// JobState returns the state of a job as clients may see it.
func (c *Core) JobState(id string) (work.State, bool) {
	j, ok := c.jobs[id]
	if !ok {
		return 0, false
	}
	if j.storedState.Ended() {
		return j.storedState, true
	}
	if j.started {
		return work.Running, true
	}
	return work.Pending, true
}

// WaitingJobs returns the number of accepted jobs of a queue of which no worker is known to have begun a task.
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

// findStep returns the step of a task. It finds nothing if the occurrence is not open.
func (c *Core) findStep(t work.Task) (*step, bool) {
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

// markTaskDone marks a task as done, and completes its occurrence and job if it was the last one.
func (c *Core) markTaskDone(s *step, index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	t.done = true
	s.tasksLeft--
	s.occurrence.remaining.Invalidate()
	c.pool(s.job.doc.Pool).needsPlanning = true
	if len(t.runs) == 0 {
		s.idleTasks--
	}
	s.progress.SetDone(index)
	c.changedJobs[s.job] = true
	for _, r := range t.runs {
		c.stopRun(r, "another run of the task is done")
	}
	if s.tasksLeft > 0 {
		return
	}
	o := s.occurrence
	for _, other := range o.steps {
		if other.tasksLeft > 0 {
			return
		}
	}
	j := s.job
	delete(j.open, o.number)
	delete(j.progress.Occurrences, o.number)
	j.progress.Complete[o.number] = true
	c.logger.Info("Occurrence was completed.", "job", j.doc.ID, "occurrence", o.number, "after", c.now-o.dueAt)
	if len(j.progress.Complete) == j.doc.Occurrences() {
		c.endJob(j, work.Finished, "")
	}
}
