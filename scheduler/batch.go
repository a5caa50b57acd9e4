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
	starts               []*run
	orders               []InstanceCommand
	acks                 map[*host]uint64
}

// Empty reports whether there is nothing to store.
func (b *Batch) Empty() bool {
	return len(b.Progress) == 0 && len(b.starts) == 0 && len(b.PrunedJobs) == 0 && b.Roster == nil && len(b.Waves) == 0 && b.InstanceCommandTimes == nil
}

// Take returns what has changed since the last batch, at most limit rows. If that is all, the batch
// acknowledges the ends that were processed.
func (c *Core) TakeBatch(limit int) Batch {
	b := Batch{Progress: make(map[string]*work.Progress), acks: make(map[*host]uint64)}
	if c.rosterChanged {
		b.Roster = c.roster()
		c.rosterChanged = false
		limit--
	}
	b.Waves = c.fleet.takeWaves()
	if len(c.fleet.plans) > 0 {
		b.orders, c.fleet.plans = c.fleet.plans, nil
		b.InstanceCommandTimes = c.fleet.takeRecorded(c.now)
	}
	limit -= len(b.Waves)
	for j := range c.changed {
		if limit <= 0 {
			break
		}
		b.Progress[j.doc.ID] = j.progress
		b.jobs = append(b.jobs, j)
		b.states = append(b.states, j.progress.State)
		delete(c.changed, j)
		limit--
	}
	for len(c.removed) > 0 && limit > 0 {
		b.PrunedJobs = append(b.PrunedJobs, c.removed[0])
		c.removed = c.removed[1:]
		limit--
	}
	if len(c.changed) == 0 {
		b.starts = c.plans
		c.plans = nil
		for _, h := range c.hosts {
			if h.seen > h.stored {
				b.acks[h] = h.seen
			}
		}
	}
	return b
}

// forgetAtOnce is how many jobs are forgotten at a time. Each has two rows besides its progress.
const forgetAtOnce = store.MaxEntries / 2

// Forget returns the jobs whose rows are to be removed.
func (c *Core) JobsToPrune() []string {
	n := min(len(c.forget), forgetAtOnce)
	ids := c.forget[:n:n]
	c.forget = c.forget[n:]
	return ids
}

// Forgotten notes that the rows of jobs are removed, except for their progress.
func (c *Core) JobsPruned(ids []string) { c.removed = append(c.removed, ids...) }

// Committed notes that a batch is stored.
func (c *Core) BatchStored(b Batch) {
	for h, seen := range b.acks {
		h.stored = max(h.stored, seen)
	}
	for i, j := range b.jobs {
		j.stored = b.states[i]
		if j.stored.Ended() {
			c.observe(j, StageEnded)
			c.logger.Info("End of the job is stored.", "job", j.doc.ID, "state", j.stored.String(), "after", c.now-j.accepted, "reason", j.progress.Reason)
		}
	}
	for _, r := range b.starts {
		o := r.step.occurrence
		if !slices.Contains(o.recorded, r.on.report.ID) {
			o.recorded = append(o.recorded, r.on.report.ID)
		}
		c.order(r)
	}
	c.fleet.orders = append(c.fleet.orders, b.orders...)
	c.stored = c.now
}

// Returned takes back a batch that was not stored.
func (c *Core) BatchFailed(b Batch) {
	for _, j := range b.jobs {
		c.changed[j] = true
	}
	c.plans = append(b.starts, c.plans...)
	c.removed = append(c.removed, b.PrunedJobs...)
	c.rosterChanged = c.rosterChanged || b.Roster != nil
	c.fleet.returnWaves(b.Waves)
	c.fleet.plans = append(b.orders, c.fleet.plans...)
}
