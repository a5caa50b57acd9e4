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

const (
	// fleetRowsShare is the share of the rows of a batch for commands of instances and the progress of waves, and rosterRowsShare
	// that for the roster, while jobs have changed too.
	fleetRowsShare  = 0.3
	rosterRowsShare = 0.2
)

// TakeBatch returns what has changed since the last batch, in at most limit rows. If that is everything, the batch
// also acknowledges the exits that were processed.
func (c *Core) TakeBatch(limit int) Batch {
	b := Batch{Progress: make(map[string]*work.Progress), exitAcks: make(map[*workerState]uint64)}
	fleetLimit := int(fleetRowsShare * float64(limit))
	b.Waves, b.begun = c.fleet.takeChangedWaves(fleetLimit)
	b.instanceCommands, b.InstanceCommandTimes = c.fleet.takePlannedCommands(c.now, fleetLimit-len(b.begun))
	limit -= 2*len(b.Waves) + len(b.begun) + len(b.instanceCommands)
	b.Roster = c.takeRosterChanges(max(int(rosterRowsShare*float64(limit)), limit-len(c.changedJobs)))
	limit -= len(b.Roster)
	b.removesOldRows, c.hasOldRows = c.hasOldRows, false
	for j := range c.changedJobs {
		if limit <= 0 {
			break
		}
		b.Progress[j.doc.ID] = j.progress
		b.jobs = append(b.jobs, j)
		b.states = append(b.states, j.progress.State)
		delete(c.changedJobs, j)
		limit--
	}
	for len(c.prunedJobs) > 0 && limit > 0 {
		b.PrunedJobs = append(b.PrunedJobs, c.prunedJobs[0])
		c.prunedJobs = c.prunedJobs[1:]
		limit--
	}
	if len(c.changedJobs) == 0 {
		b.plannedRuns = c.plannedRuns
		c.plannedRuns = nil
		for _, ws := range c.workers {
			if ws.exitsProcessed > ws.exitsStored {
				b.exitAcks[ws] = ws.exitsProcessed
			}
		}
	}
	if !b.Empty() {
		b.ExpiredCommands = c.fleet.takeExpiredCommands(c.now, limit)
	}
	return b
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

// JobsPruned records that the rows of jobs are removed, except for their progress.
func (c *Core) JobsPruned(ids []string) { c.prunedJobs = append(c.prunedJobs, ids...) }

// BatchStored records that a batch was stored. The runs and commands that waited for it can start.
func (c *Core) BatchStored(b Batch) {
	for ws, number := range b.exitAcks {
		ws.exitsStored = max(ws.exitsStored, number)
	}
	for i, j := range b.jobs {
		j.storedState = b.states[i]
		if j.storedState.Ended() {
			c.observeStage(j, StageEnded)
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
