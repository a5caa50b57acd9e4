package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

// Batch is progress to store.
type Batch struct {
	Progress   map[string]*work.Progress
	PrunedJobs []string
	// Roster is nil if the stored one is right.
	Roster []RosterEntry
	Waves  map[int]WaveProgress
	// InstanceCommandTimes holds when instances were ordered last, on the own clock. It is nil if nothing has to be recorded.
	InstanceCommandTimes map[string]time.Duration
	jobs                 []*job
	states               []work.State
	plannedRuns          []*run
	instanceCommands     []InstanceCommand
	exitAcks             map[*workerState]uint64
}

// Empty reports whether there is nothing to store.
func (b *Batch) Empty() bool {
	return len(b.Progress) == 0 && len(b.plannedRuns) == 0 && len(b.PrunedJobs) == 0 && b.Roster == nil && len(b.Waves) == 0 && b.InstanceCommandTimes == nil
}

// Take returns what has changed since the last batch, at most limit rows. If that is all, the batch
// acknowledges the ends that were processed.
func (c *Core) TakeBatch(limit int) Batch {
	b := Batch{Progress: make(map[string]*work.Progress), exitAcks: make(map[*workerState]uint64)}
	if c.rosterChanged {
		b.Roster = c.roster()
		c.rosterChanged = false
		limit--
	}
	b.Waves = c.fleet.takeChangedWaves()
	if len(c.fleet.plannedCommands) > 0 {
		b.instanceCommands, c.fleet.plannedCommands = c.fleet.plannedCommands, nil
		b.InstanceCommandTimes = c.fleet.takeCommandTimes(c.now)
	}
	limit -= len(b.Waves)
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
	return b
}

// forgetAtOnce is how many jobs are forgotten at a time. Each has two rows besides its progress.
const maxPrunedJobs = store.MaxEntries / 2

// Forget returns the jobs whose rows are to be removed.
func (c *Core) JobsToPrune() []string {
	n := min(len(c.jobsToPrune), maxPrunedJobs)
	ids := c.jobsToPrune[:n:n]
	c.jobsToPrune = c.jobsToPrune[n:]
	return ids
}

// Forgotten notes that the rows of jobs are removed, except for their progress.
func (c *Core) JobsPruned(ids []string) { c.prunedJobs = append(c.prunedJobs, ids...) }

// Committed notes that a batch is stored.
func (c *Core) BatchStored(b Batch) {
	for ws, seen := range b.exitAcks {
		ws.exitsStored = max(ws.exitsStored, seen)
	}
	for i, j := range b.jobs {
		j.storedState = b.states[i]
		if j.storedState.Ended() {
			c.observeStage(j, StageEnded)
			c.logger.Info("End of the job is stored.", "job", j.doc.ID, "state", j.storedState.String(), "after", c.now-j.acceptedAt, "reason", j.progress.Reason)
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
	c.lastCommit = c.now
}

// Returned takes back a batch that was not stored.
func (c *Core) BatchFailed(b Batch) {
	for _, j := range b.jobs {
		c.changedJobs[j] = true
	}
	c.plannedRuns = append(b.plannedRuns, c.plannedRuns...)
	c.prunedJobs = append(c.prunedJobs, b.PrunedJobs...)
	c.rosterChanged = c.rosterChanged || b.Roster != nil
	c.fleet.markWavesChanged(b.Waves)
	c.fleet.plannedCommands = append(b.instanceCommands, c.fleet.plannedCommands...)
}
