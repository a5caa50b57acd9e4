package scheduler

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/internal/store/snapshot"
	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

// Batch is a set of changes to store in one transaction.
type Batch struct {
	Progress map[string]*work.Progress
	// progressRows writes the rows of Progress. parts holds the number of further rows of each of the jobs.
	progressRows store.Tx
	parts        []int
	PrunedJobs   []string
	// Roster holds the changed entries of the roster by worker ID. An entry that is to be removed is nil.
	Roster map[string]*RosterEntry
	Waves  map[int]WaveProgress
	// InstanceCommandTimes holds the monotonic time at which the commands of the batch were recorded, by instance.
	InstanceCommandTimes map[string]time.Duration
	// ExpiredCommands lists the instances whose command times are no longer needed.
	ExpiredCommands []string
	// LeaseEnds is the record of leases, and nil if it has not changed.
	LeaseEnds leaserecord.Entries
	// Snapshots holds what was learned. They are stored beside other changes only.
	Snapshots []snapshot.Row
	begun     []begunMaintenance
	// removesOldRows means that the rows of an earlier version, which are split into several rows now, are removed.
	removesOldRows bool
	// raisesVersion means that the version of the batch is needed as a fencing token.
	raisesVersion    bool
	jobs             []*job
	states           []work.State
	plannedRuns      []*run
	instanceCommands []InstanceCommand
	exitAcks         map[*workerLife]uint64
}

// Empty reports whether there is nothing to store.
func (b *Batch) Empty() bool {
	return len(b.Progress) == 0 && len(b.plannedRuns) == 0 && len(b.PrunedJobs) == 0 && len(b.Roster) == 0 && len(b.Waves) == 0 &&
		len(b.begun) == 0 && len(b.InstanceCommandTimes) == 0 && len(b.ExpiredCommands) == 0 && !b.removesOldRows && !b.raisesVersion &&
		b.LeaseEnds == nil
}

// rowCounts describes the rows of the batch for logs.
func (b *Batch) rowCounts() string {
	return fmt.Sprintf("jobs %d, pruned %d, roster %d, waves %d, begun %d, commands %d, expired %d", len(b.progressRows.Puts)+len(b.progressRows.Removes),
		len(b.PrunedJobs), len(b.Roster), len(b.Waves), len(b.begun), len(b.InstanceCommandTimes), len(b.ExpiredCommands))
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
	for {
		c.refusedRows.Next(c.now)
		b := c.takeBatch(limit)
		if !b.Empty() || !c.refusedRows.Skip() {
			return b
		}
	}
}

// takeBatch returns a batch of the rows that are admitted.
func (c *Core) takeBatch(limit int) Batch {
	admits := c.refusedRows.Admits
	b := Batch{Progress: make(map[string]*work.Progress), exitAcks: make(map[*workerLife]uint64), raisesVersion: c.needsVersion()}
	fleetLimit := int(fleetRowsShare * float64(limit))
	b.Waves, b.begun = c.fleet.takeChangedWaves(fleetLimit, admits)
	fleetRows := rowsPerWave*len(b.Waves) + len(b.begun)
	b.instanceCommands, b.InstanceCommandTimes = c.fleet.takePlannedCommands(c.now, fleetLimit-fleetRows, admits)
	limit -= fleetRows + len(b.instanceCommands)
	b.Roster = c.takeRosterChanges(max(int(rosterRowsShare*float64(limit)), limit-c.changedRows()))
	limit -= len(b.Roster)
	if c.hasOldRows && admits(oldRowsKey) {
		b.removesOldRows, c.hasOldRows = true, false
	}
	c.addJobs(&b, limit)
	limit -= len(b.progressRows.Puts) + len(b.progressRows.Removes)
	written := make(map[string]bool)
	for _, p := range b.progressRows.Puts {
		written[p.Name] = true
	}
	for _, k := range b.progressRows.Removes {
		written[k.Name] = true
	}
	c.prunedJobs = slices.DeleteFunc(c.prunedJobs, func(id string) bool {
		if written[rowkeys.Progress(id).Name] {
			// The job is known again and has new rows of these names.
			return true
		}
		if limit <= 0 || !admits(rowkeys.Progress(id)) {
			return false
		}
		b.PrunedJobs = append(b.PrunedJobs, id)
		limit--
		return true
	})
	var waiting []*run
	for _, r := range c.plannedRuns {
		switch j := r.step.job; {
		case c.now < j.notStoredBefore:
			c.detachRun(r)
		case c.changedJobs[j]:
			waiting = append(waiting, r)
		default:
			b.plannedRuns = append(b.plannedRuns, r)
		}
	}
	c.plannedRuns = waiting
	for _, ws := range c.workers {
		if seq := ws.exits.StoredWith(func(j *job) bool { return c.changedJobs[j] }); seq > ws.exits.Stored() {
			b.exitAcks[ws.workerLife] = seq
		}
	}
	if admits(leaseRecordKey) && (!b.Empty() || c.leaseRecord.Due(c.now)) {
		b.LeaseEnds, _ = c.leaseRecord.Take(c.now)
	}
	if !b.Empty() {
		b.Snapshots = c.snapshots.Take(c.now, limit, func(name string, err error) { c.logger.Error("Snapshot cannot be stored.", "name", name, "error", err) })
		limit -= len(b.Snapshots)
	}
	if !b.Empty() || c.refusedRows.Searching() {
		b.ExpiredCommands = c.fleet.takeExpiredCommands(c.now, limit, admits)
	}
	return b
}

// changedRows returns how many rows the changed jobs may need in a batch.
func (c *Core) changedRows() int {
	if len(c.changedJobs) == 0 {
		return 0
	}
	n := 0
	for j := range c.changedJobs {
		n += 1 + j.storedParts
	}
	return max(n, 2*maxProgressRows)
}

const (
	// maxProgressRows limits the rows of a job. All of them, and the removal of as many, fit into a batch beside the largest share of other rows.
	maxProgressRows = 10
	// maxProgressBytes limits the rows of all jobs of a batch. The rest is for the other rows, which are short.
	maxProgressBytes = store.MaxBytes - 128<<10
	// maxServicePause is the longest pause between two attempts to store the progress of a service, of which a task may be due.
	maxServicePause = 4 * time.Second
	// unstorablePause is the time between two attempts to store a progress that is too large.
	unstorablePause = 5 * time.Second
)

// addJobs adds changed jobs to a batch, at most limit rows.
func (c *Core) addJobs(b *Batch, limit int) {
	rows, size, full := 0, 0, limit <= 0
	add := func(j *job) {
		if full || !c.changedJobs[j] || c.now < j.notStoredBefore || !c.refusedRows.Admits(rowkeys.Progress(j.doc.ID)) {
			return
		}
		tx, parts, err := c.progressRows(j)
		if err != nil {
			j.notStoredBefore = c.now + unstorablePause
			c.logger.Error("Progress of a job cannot be stored; no task of the job is started.", "job", j.doc.ID, "error", err)
			return
		}
		n := len(tx.Puts) + len(tx.Removes)
		if rows+n > limit || size+tx.Size() > maxProgressBytes {
			full = true
			return
		}
		rows += n
		size += tx.Size()
		full = rows >= limit
		b.Progress[j.doc.ID] = j.progress
		b.progressRows.Puts = append(b.progressRows.Puts, tx.Puts...)
		b.progressRows.Removes = append(b.progressRows.Removes, tx.Removes...)
		b.parts = append(b.parts, parts)
		b.jobs = append(b.jobs, j)
		b.states = append(b.states, j.progress.State)
		// The outcome of the batch may stay unknown.
		j.storedParts = max(j.storedParts, parts)
		delete(c.changedJobs, j)
	}
	for _, r := range c.plannedRuns {
		add(r.step.job)
	}
	for _, ended := range []bool{true, false} {
		for j := range c.changedJobs {
			if full {
				return
			}
			if j.progress.State.Ended() == ended {
				add(j)
			}
		}
	}
}

// progressRows returns the rows of the progress of a job, and how many there are besides the first one. Of a job that has ended only
// the state is kept, and the runs that may still be at work.
func (c *Core) progressRows(j *job) (tx store.Tx, parts int, err error) {
	progress := j.progress
	if progress.State.Ended() {
		progress = c.endedProgress(j)
	}
	value, err := encode(progress)
	if err != nil {
		return tx, 0, err
	}
	if progress.State.Ended() {
		if len(value) > store.MaxRowBytes {
			c.logger.Warn("Runs of an ended job are not stored, since they do not fit into its row.", "job", j.doc.ID, "occurrences", len(progress.Occurrences))
			progress = &work.Progress{State: progress.State, Reason: progress.Reason}
			if value, err = encode(progress); err != nil {
				return tx, 0, err
			}
		}
		c.noteEndedRuns(j, len(progress.Occurrences) > 0)
	}
	values := [][]byte{value}
	if len(value) > store.MaxRowBytes {
		if values, err = c.splitProgress(j, progress); err != nil {
			return tx, 0, err
		}
	}
	for part, value := range values {
		put := store.Put{Key: rowkeys.Progress(rowkeys.PartName(j.doc.ID, part)), Value: value}
		if err := put.Validate(); err != nil {
			return tx, 0, err
		}
		tx.Puts = append(tx.Puts, put)
	}
	for part := len(values); part <= j.storedParts; part++ {
		tx.Removes = append(tx.Removes, rowkeys.Progress(rowkeys.PartName(j.doc.ID, part)))
	}
	return tx, len(values) - 1, nil
}

// splitProgress encodes a progress in parts that fit into rows.
func (c *Core) splitProgress(j *job, progress *work.Progress) ([][]byte, error) {
	parts, omitted := progress.Split(store.MaxRowBytes, maxProgressRows)
	if len(parts) > maxProgressRows {
		return nil, eris.Errorf("progress needs %d rows, the limit is %d", len(parts), maxProgressRows)
	}
	if omitted > 0 {
		c.logger.Warn("Checkpoints of a job are not stored, since they do not fit into its rows.", "job", j.doc.ID, "checkpoints", omitted)
	}
	values := make([][]byte, 0, len(parts))
	for _, part := range parts {
		value, err := encode(part)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

// maxPrunedJobs is the maximum number of jobs that are pruned at a time, in a transaction for each partition.
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

// TakeCancelsToPrune returns the jobs whose cancellations are to be removed since they have never been stored, at most maxPrunedJobs, and
// removes them from the queue.
func (c *Core) TakeCancelsToPrune() []string {
	n := min(len(c.cancelsToPrune), maxPrunedJobs)
	ids := c.cancelsToPrune[:n:n]
	c.cancelsToPrune = c.cancelsToPrune[n:]
	return ids
}

// CancelsPruned records that the cancellations of jobs that have never been stored are removed.
func (c *Core) CancelsPruned(ids []string) {
	for _, id := range ids {
		delete(c.earlyCancels, id)
	}
}

// JobsPruned records that the rows of jobs are removed, except for their progress.
func (c *Core) JobsPruned(ids []string) { c.prunedJobs = append(c.prunedJobs, ids...) }

// oldRowsKey stands for the rows of an earlier version that are removed.
var oldRowsKey = rowkeys.Leadership(rowkeys.RowRoster)

// rowKeys returns the keys of the rows of the batch, one for each change that can be stored alone.
func (b *Batch) rowKeys() []store.Key {
	var keys []store.Key
	for _, j := range b.jobs {
		keys = append(keys, rowkeys.Progress(j.doc.ID))
	}
	for _, id := range b.PrunedJobs {
		keys = append(keys, rowkeys.Progress(id))
	}
	for id := range b.Roster {
		keys = append(keys, rosterKey(id))
	}
	for n := range b.Waves {
		keys = append(keys, rowkeys.Progress(rowkeys.WaveName(n)))
	}
	for _, m := range b.begun {
		keys = append(keys, m.key())
	}
	for id := range b.InstanceCommandTimes {
		keys = append(keys, commandKey(id))
	}
	for _, id := range b.ExpiredCommands {
		keys = append(keys, commandKey(id))
	}
	if b.removesOldRows {
		keys = append(keys, oldRowsKey)
	}
	if b.LeaseEnds != nil {
		keys = append(keys, leaseRecordKey)
	}
	for _, row := range b.Snapshots {
		keys = append(keys, rowkeys.Snapshot(row.Name))
	}
	return keys
}

// BatchRefused records that the store refuses a batch however often it is sent. The row at fault is found and set aside, so that it does
// not keep the others from being stored.
func (c *Core) BatchRefused(b Batch, cause error) {
	c.BatchFailed(b)
	key, pause, ok := c.refusedRows.Refused(b.rowKeys(), c.now, errors.Is(cause, store.ErrRefused))
	if c.refusedRows.RefusesAll() {
		c.logger.Error("Store refuses all batches, whatever rows they have.", "error", cause)
		c.refusedRows.Reset()
		for j := range c.changedJobs {
			j.notStoredBefore = 0
		}
		return
	}
	if !ok {
		return
	}
	c.logger.Error("Row is refused by the store; it is set aside.", "table", key.Table, "row", key.Name, "pause", pause, "error", cause)
	for _, j := range b.jobs {
		// Nothing of the job starts meanwhile.
		if j.service {
			pause = min(pause, maxServicePause)
			c.refusedRows.RetryBy(key, c.now+pause)
		}
		j.notStoredBefore = c.now + pause
	}
	for _, cmd := range b.instanceCommands {
		c.withdrawCommand(cmd, c.now+max(pause, unstorablePause))
	}
}

// BatchStored records that a batch was stored. The runs and commands that waited for it can start.
func (c *Core) BatchStored(b Batch) {
	for _, key := range c.refusedRows.Stored(b.rowKeys()) {
		c.logger.Info("Row that was set aside is stored.", "table", key.Table, "row", key.Name)
	}
	for life, number := range b.exitAcks {
		life.exits.SetStored(number)
	}
	if b.LeaseEnds != nil {
		c.leaseRecord.Stored(b.LeaseEnds)
	}
	for i, j := range b.jobs {
		j.storedState, j.storedParts = b.states[i], b.parts[i]
		if !j.storedState.Ended() {
			continue
		}
		if !c.endedWithRuns[j] {
			// The steps tell what the runs use.
			c.jobsToShorten = append(c.jobsToShorten, j.doc.Shortened(j.storedState))
		}
		if !j.endStored {
			j.endStored = true
			c.observeStage(j, StageEnded)
			c.logger.Info("Final state of the job was stored.", "job", j.doc.ID, "state", j.storedState.String(), "after", c.now-j.acceptedAt, "reason", j.progress.Reason)
		}
	}
	for _, r := range b.plannedRuns {
		o := r.step.occurrence
		// A worker that has been forgotten meanwhile is not in the next batch.
		if !slices.Contains(o.recordedWorkers, r.worker.report.ID) && slices.Contains(o.progress.Workers, r.worker.report.ID) {
			o.recordedWorkers = append(o.recordedWorkers, r.worker.report.ID)
		}
	}
	c.startRuns(b.plannedRuns)
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
	if b.LeaseEnds != nil {
		c.leaseRecord.Failed()
	}
	c.snapshots.Failed(b.Snapshots)
	c.fleet.restoreWaves(b.Waves, b.begun)
	c.fleet.plannedCommands = append(b.instanceCommands, c.fleet.plannedCommands...)
	for _, id := range b.ExpiredCommands {
		if _, commanded := c.fleet.commandedAt[id]; !commanded {
			c.fleet.commandedAt[id] = c.now - commandRetention - 1
		}
	}
}
