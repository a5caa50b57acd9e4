package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

// Batch is a set of changes to store in one transaction.
type Batch struct {
	Progress   map[string]*work.Progress
	PrunedJobs []string
	// Roster holds the changed entries of the roster by worker ID. An entry that is to be removed is nil.
	Roster map[string]*RosterEntry
	Waves  map[int]WaveProgress
	// InstanceCommandTimes holds the monotonic time at which the commands of the batch were recorded, by instance.
	InstanceCommandTimes map[string]time.Duration
	// ExpiredCommands lists the instances whose command times are no longer needed.
	ExpiredCommands []string
	begun           []begunMaintenance
	// removesOldRows means that the rows of an earlier version, which are split into several rows now, are removed.
	removesOldRows   bool
	jobs             []*job
	states           []work.State
	plannedRuns      []*run
	instanceCommands []InstanceCommand
	exitAcks         map[*workerState]uint64
}

// Empty reports whether there is nothing to store.
func (b *Batch) Empty() bool {
	return len(b.Progress) == 0 && len(b.plannedRuns) == 0 && len(b.PrunedJobs) == 0 && len(b.Roster) == 0 && len(b.Waves) == 0 &&
		len(b.begun) == 0 && len(b.InstanceCommandTimes) == 0 && !b.removesOldRows
}

// Backlog returns the number of jobs whose progress is not stored.
func (c *Core) Backlog() int { return len(c.changedJobs) }

const (
	// fleetRowsShare is the share of the rows of a batch for commands of instances and the progress of waves, and rosterRowsShare
	// that for the roster, while jobs have changed too.
	fleetRowsShare  = 0.3
	rosterRowsShare = 0.2
)

// TakeBatch returns what has changed since the last batch, in at most limit rows. Jobs with planned runs come first, in the order of
// the plan, and those that have ended next. The batch starts the planned runs and acknowledges the exits of all jobs that it leaves
// without a change.
func (c *Core) TakeBatch(limit int) Batch {
	b := Batch{Progress: make(map[string]*work.Progress), exitAcks: make(map[*workerState]uint64)}
	fleetLimit := int(fleetRowsShare * float64(limit))
	b.Waves, b.begun = c.fleet.takeChangedWaves(fleetLimit)
	b.instanceCommands, b.InstanceCommandTimes = c.fleet.takePlannedCommands(c.now, fleetLimit-len(b.begun))
	limit -= 2*len(b.Waves) + len(b.begun) + len(b.instanceCommands)
	b.Roster = c.takeRosterChanges(max(int(rosterRowsShare*float64(limit)), limit-len(c.changedJobs)))
	limit -= len(b.Roster)
	b.removesOldRows, c.hasOldRows = c.hasOldRows, false
	c.addJobs(&b, limit)
	limit -= len(b.jobs)
	for len(c.prunedJobs) > 0 && limit > 0 {
		b.PrunedJobs = append(b.PrunedJobs, c.prunedJobs[0])
		c.prunedJobs = c.prunedJobs[1:]
		limit--
	}
	var waiting []*run
	for _, r := range c.plannedRuns {
		if c.changedJobs[r.step.job] {
			waiting = append(waiting, r)
		} else {
			b.plannedRuns = append(b.plannedRuns, r)
		}
	}
	c.plannedRuns = waiting
	for _, ws := range c.workers {
		if seq := c.storedExits(ws); seq > ws.exitsStored {
			b.exitAcks[ws] = seq
		}
	}
	if !b.Empty() {
		b.ExpiredCommands = c.fleet.takeExpiredCommands(c.now, limit)
	}
	return b
}

// addJobs adds changed jobs to a batch, at most limit.
func (c *Core) addJobs(b *Batch, limit int) {
	add := func(j *job) {
		if len(b.jobs) >= limit || !c.changedJobs[j] {
			return
		}
		b.Progress[j.doc.ID] = j.progress
		b.jobs = append(b.jobs, j)
		b.states = append(b.states, j.progress.State)
		delete(c.changedJobs, j)
	}
	for _, r := range c.plannedRuns {
		add(r.step.job)
	}
	for _, ended := range []bool{true, false} {
		for j := range c.changedJobs {
			if len(b.jobs) >= limit {
				return
			}
			if j.progress.State.Ended() == ended {
				add(j)
			}
		}
	}
}

// unstoredExit is an exit that was processed and whose effect on its job may not be stored yet.
type unstoredExit struct {
	seq uint64
	job *job
}

// storedExits returns the number of the last exit of a worker up to which the effects of all are in this batch or stored already.
func (c *Core) storedExits(ws *workerState) uint64 {
	n := 0
	for n < len(ws.unstoredExits) && !c.changedJobs[ws.unstoredExits[n].job] {
		n++
	}
	if n == 0 {
		return ws.exitsStored
	}
	// The entries stay until the batch is stored.
	return ws.unstoredExits[n-1].seq
}

// recordStoredExits records that the effects of the exits up to a number are stored.
func (ws *workerState) recordStoredExits(seq uint64) {
	ws.exitsStored = max(ws.exitsStored, seq)
	n := 0
	for n < len(ws.unstoredExits) && ws.unstoredExits[n].seq <= ws.exitsStored {
		n++
	}
	ws.unstoredExits = ws.unstoredExits[n:]
}

// maxPrunedJobs is the maximum number of jobs that are pruned at a time. Each has two rows besides its progress.
const maxPrunedJobs = store.MaxEntries / 2

// TakeJobsToPrune returns jobs whose rows are to be removed, at most maxPrunedJobs, and removes them from the queue.
func (c *Core) TakeJobsToPrune() []string {
	n := min(len(c.jobsToPrune), maxPrunedJobs)
	ids := c.jobsToPrune[:n:n]
	c.jobsToPrune = c.jobsToPrune[n:]
	return ids
}

// TakeJobsToShorten returns what is to be kept of the rows of ended jobs, and removes it from the queue.
func (c *Core) TakeJobsToShorten() []work.Job {
	jobs := c.jobsToShorten
	c.jobsToShorten = nil
	return jobs
}

// JobsPruned records that the rows of jobs are removed, except for their progress.
func (c *Core) JobsPruned(ids []string) { c.prunedJobs = append(c.prunedJobs, ids...) }

// BatchStored records that a batch was stored. The runs and commands that waited for it can start.
func (c *Core) BatchStored(b Batch) {
	for ws, number := range b.exitAcks {
		ws.recordStoredExits(number)
	}
	for i, j := range b.jobs {
		j.storedState = b.states[i]
		if j.storedState.Ended() {
			c.observeStage(j, StageEnded)
			c.jobsToShorten = append(c.jobsToShorten, j.doc.Shortened(j.storedState))
			c.logger.Info("Final state of the job was stored.", "job", j.doc.ID, "state", j.storedState.String(), "after", c.now-j.acceptedAt, "reason", j.progress.Reason)
		}
	}
	for _, r := range b.plannedRuns {
		o := r.step.occurrence
		if !slices.Contains(o.recordedWorkers, r.worker.report.ID) {
			o.recordedWorkers = append(o.recordedWorkers, r.worker.report.ID)
		}
		c.startRun(r)
	}
	c.fleet.commands = append(c.fleet.commands, b.instanceCommands...)
	c.lastStored = c.now
}

// BatchFailed marks the changes of a batch that was not stored as not stored again. They go into the next one.
func (c *Core) BatchFailed(b Batch) {
	for _, j := range b.jobs {
		c.changedJobs[j] = true
	}
	c.plannedRuns = append(b.plannedRuns, c.plannedRuns...)
	c.prunedJobs = append(c.prunedJobs, b.PrunedJobs...)
	for id := range b.Roster {
		c.rosterChanges[id] = true
	}
	c.hasOldRows = c.hasOldRows || b.removesOldRows
	c.fleet.restoreWaves(b.Waves, b.begun)
	c.fleet.plannedCommands = append(b.instanceCommands, c.fleet.plannedCommands...)
}
