package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
)

// commit stores what has changed. Only one batch is in flight at a time.
func (e *Engine) commit(now time.Duration) {
	if e.committing || now < e.retryAfter || (now < e.lastAttemptEnd+commitInterval && e.core.Backlog() <= batchRows) {
		return
	}
	b, tx, err := e.nextBatch()
	if err != nil {
		e.logger.Error("Batch could not be encoded.", "batch", e.batchNumber, "error", err)
		e.core.BatchFailed(b)
		e.retryAfter = now + commitPause
		return
	}
	if b.Empty() {
		if len(b.exitAcks) > 0 {
			e.core.BatchStored(b)
			e.notifyStored()
		}
		return
	}
	e.committing = true
	number, chain := e.batchNumber, e.chainVersion
	e.spawn(func() { e.commitBatch(b, tx, number, chain) })
}

// nextBatch returns the next batch and its transaction, with fewer rows if the store would refuse it.
func (e *Engine) nextBatch() (Batch, store.Tx, error) {
	for limit := batchRows; ; limit /= 2 {
		b := e.core.TakeBatch(limit)
		if b.Empty() {
			return b, store.Tx{}, nil
		}
		e.batchNumber++
		tx, err := e.transaction(b)
		e.addLeaseRecord(&tx, &b)
		if err != nil || tx.Fits() || limit <= minBatchRows {
			return b, tx, err
		}
		e.core.BatchFailed(b)
	}
}

// notifyStored wakes the renewals that wait for a batch.
func (e *Engine) notifyStored() {
	close(e.batchStored)
	e.batchStored = make(chan struct{})
}

func (e *Engine) transaction(b Batch) (store.Tx, error) {
	chain, err := e.encode(rowkeys.Chain{Fence: e.options.Core.Fence, Batch: e.batchNumber})
	if err != nil {
		return store.Tx{}, err
	}
	tx := store.Tx{
		// The leader row keeps its version for the whole term. The version of the chain row makes batches fail that are
		// carried out late.
		Expected: []store.Expect{{Key: rowkeys.Leadership("holder"), Version: e.options.Core.Fence}, {Key: rowkeys.Leadership(rowkeys.RowChain), Version: e.chainVersion}},
		Puts:     []store.Put{{Key: rowkeys.Leadership(rowkeys.RowChain), Value: chain}},
	}
	tx.Puts = append(tx.Puts, b.progressRows.Puts...)
	tx.Removes = append(tx.Removes, b.progressRows.Removes...)
	storeOffset, _ := e.options.Clock.At(0)
	for id, entry := range b.Roster {
		if entry == nil {
			e.addRemove(&tx, rosterKey(id))
			continue
		}
		e.addPut(&tx, rosterKey(id), entry.toStore(storeOffset))
	}
	for id, at := range b.InstanceCommandTimes {
		recorded, _ := e.options.Clock.At(at)
		e.addPut(&tx, commandKey(id), max(recorded, 1))
	}
	for _, id := range b.ExpiredCommands {
		e.addRemove(&tx, commandKey(id))
	}
	for _, m := range b.begun {
		e.addPut(&tx, m.key(), m.worker)
	}
	for _, row := range b.Snapshots {
		row.At += storeOffset
		e.addPut(&tx, rowkeys.Snapshot(row.Name), row)
	}
	if b.removesOldRows {
		tx.Removes = append(tx.Removes, rowkeys.Leadership(rowkeys.RowRoster), rowkeys.Leadership(rowkeys.RowInstances))
	}
	for _, id := range b.PrunedJobs {
		tx.Removes = append(tx.Removes, rowkeys.Progress(id))
	}
	for n, w := range b.Waves {
		w.Since, _ = e.options.Clock.At(w.Since)
		e.addPut(&tx, rowkeys.Progress(rowkeys.WaveName(n)), w)
		if name, ok := e.waveRow(n); ok {
			tx.Puts = append(tx.Puts, e.options.Waves.WaveStatus(name, w.Finished))
		}
	}
	return tx, nil
}

// waveRow returns the name of the row that requests a wave, the first one if there are several.
func (e *Engine) waveRow(number int) (first string, ok bool) {
	for name, doc := range e.options.Waves.Waves() {
		if doc.Number == number && (!ok || name < first) {
			first, ok = name, true
		}
	}
	return first, ok
}

// addPut adds a row other than of a job to a transaction. A row that cannot be encoded or that the store would refuse is left out, since
// the whole batch would fail with it, and with it the progress of all jobs.
func (e *Engine) addPut(tx *store.Tx, key store.Key, v any) {
	value, err := e.encode(v)
	put := store.Put{Key: key, Value: value}
	if err == nil {
		err = put.Validate()
	}
	if err != nil {
		e.logRefusedRow(key, err)
		return
	}
	tx.Puts = append(tx.Puts, put)
}

// addRemove adds the removal of a row to a transaction, unless the store cannot have the row.
func (e *Engine) addRemove(tx *store.Tx, key store.Key) {
	if err := key.Validate(); err != nil {
		e.logger.Warn("Row cannot be in the store; its removal is left out of the batch.", "table", key.Table, "row", key.Name, "error", err)
		return
	}
	tx.Removes = append(tx.Removes, key)
}

// commitBatch commits a batch. If the outcome is not known, it reads it back.
func (e *Engine) commitBatch(b Batch, tx store.Tx, number, chain uint64) {
	ctx, cancel := context.WithTimeout(e.ctx, commitTimeout+time.Duration(tx.Size())*time.Second/minUploadRate)
	defer cancel()
	sent := clock.Now()
	result, err := e.options.Store.Commit(ctx, tx)
	e.options.Clock.Update(result.Now)
	next := result.Version
	if errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrConflict) {
		next, err = e.resolveOutcome(number, chain, err)
	}
	if err == nil {
		e.options.Leadership.Confirm(e.options.Core.Fence, sent)
	} else {
		if errors.Is(err, store.ErrNotDone) {
			e.logger.Warn("Batch was refused by the store.", "batch", number, "rows", len(tx.Puts)+len(tx.Removes), "entries", tx.Entries(), "content", b.rowCounts(), "took", clock.Now()-sent, "error", err)
		}
		e.sleep(commitPause)
	}
	e.post(func(c *Core) {
		e.committing = false
		e.lastAttemptEnd = clock.Now()
		if err != nil {
			if errors.Is(err, store.ErrNotDone) {
				c.counts.RefusedBatches++
			}
			if next != 0 {
				e.chainVersion = next
			}
			e.notCommitted++
			if !errors.Is(err, errBatchNotCommitted) {
				e.notCommitted = 0
			}
			if errors.Is(err, store.ErrRefused) || e.notCommitted >= maxNotCommitted {
				c.BatchRefused(b, err)
				return
			}
			c.BatchFailed(b)
			return
		}
		e.notCommitted = 0
		e.chainVersion = next
		c.SetStoredVersion(next)
		c.BatchStored(b)
		e.notifyStored()
	})
}

// maxNotCommitted is the number of batches in a row without an answer, of which none was carried out, from which on they count as refused.
const maxNotCommitted = 5

// errBatchNotCommitted means that a batch without an answer has not been carried out.
var errBatchNotCommitted = errors.New("batch was not carried out")

// resolveOutcome reads the chain row after a batch whose outcome is not known. It returns the version of the chain row.
func (e *Engine) resolveOutcome(number, chain uint64, cause error) (uint64, error) {
	ctx, cancel := context.WithTimeout(e.ctx, readTimeout)
	defer cancel()
	rows, err := e.options.Store.Scan(ctx, rowkeys.TableLeadership, "", "", "")
	if err != nil {
		e.logger.Warn("Outcome of a batch is unknown.", "batch", number, "cause", cause, "error", err)
		// The next batch expects the same version, so it finds out what became of this one.
		return chain, err
	}
	var current rowkeys.Chain
	var version, leaderVersion uint64
	for _, row := range rows.Rows {
		switch row.Name {
		case rowkeys.RowChain:
			version = row.Version
			if err := decode(row.Value, &current); err != nil {
				return chain, err
			}
		case "holder":
			leaderVersion = row.Version
		}
	}
	switch {
	case leaderVersion != e.options.Core.Fence:
		e.options.Leadership.Depose(e.options.Core.Fence, "the leader row has another version")
		return chain, ErrNotLeader
	case current.Fence == e.options.Core.Fence && current.Batch == number:
		e.logger.Info("Batch was stored although no answer came.", "batch", number, "cause", cause)
		return version, nil
	}
	e.logger.Warn("Batch was not stored.", "batch", number, "cause", cause, "chain", version)
	return version, errBatchNotCommitted
}
