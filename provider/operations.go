package provider

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/chivetiller/chivetiller/common/ident"
)

const (
	operationPrefix = "op/"
	// maxDeletes is how many operation rows one transaction deletes besides its own writes.
	maxDeletes = 16
	// maxPendingDeletes limits each queue of operation rows to be deleted. The oldest rows beyond it are left to the cleaner.
	maxPendingDeletes = 8192
	// unknownOperationRetention is how long the row of an operation with an unknown outcome is kept, because the operation
	// may take effect late and its user may repeat it.
	unknownOperationRetention = 10 * time.Minute
)

func operationKey(id string) string { return operationPrefix + id }

// operations holds the operation rows of this process that are to be deleted. An operation row records that a transaction
// has taken effect, so that a retry finds it.
type operations struct {
	retention time.Duration

	mu sync.Mutex
	// known and unknown hold the operations with a known and an unknown outcome, each ordered by deleteAt.
	known, unknown []operationRow
}

// operationRow is the row of an operation and the earliest time at which it may be deleted.
type operationRow struct {
	id       string
	deleteAt time.Time
}

// extend adds to the transaction the check and the write of its operation row, and the deletion of rows that are due. It
// returns the rows to be deleted.
func (o *operations) extend(txn Txn, now time.Time) (Txn, []operationRow) {
	key := operationKey(txn.OperationID)
	txn.Checks = append(slices.Clip(txn.Checks), Check{Key: key})
	txn.Writes = append(slices.Clip(txn.Writes), Write{Key: key})
	o.mu.Lock()
	defer o.mu.Unlock()
	deleted := takeDeletable(&o.known, nil, now)
	deleted = takeDeletable(&o.unknown, deleted, now)
	for _, s := range deleted {
		txn.Writes = append(txn.Writes, Write{Key: operationKey(s.id), Delete: true})
	}
	return txn, deleted
}

// takeDeletable moves the rows that are due from the front of the queue, until there are maxDeletes.
func takeDeletable(queue *[]operationRow, to []operationRow, now time.Time) []operationRow {
	for len(*queue) > 0 && len(to) < maxDeletes && !(*queue)[0].deleteAt.After(now) {
		to = append(to, (*queue)[0])
		*queue = (*queue)[1:]
	}
	return to
}

// recordOutcome records the outcome of a transaction. If it may have failed, a later transaction deletes the operation rows
// that it was to delete.
func (o *operations) recordOutcome(id string, deleted []operationRow, err error, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.known = append(o.known, deleted...)
	}
	switch {
	case err == nil:
		o.known = append(o.known, operationRow{id: id, deleteAt: now.Add(o.retention)})
	case errors.Is(err, ErrUnknownOutcome):
		o.unknown = append(o.unknown, operationRow{id: id, deleteAt: now.Add(unknownOperationRetention)})
	}
	o.known = o.known[max(len(o.known)-maxPendingDeletes, 0):]
	o.unknown = o.unknown[max(len(o.unknown)-maxPendingDeletes, 0):]
}

// OrphanedOperationRetention is how long operation rows are kept that their process has not deleted.
const OrphanedOperationRetention = time.Hour

// OperationCleaner removes old operation rows that their processes have not deleted. It is used by one housekeeping duty,
// which is a control loop that one process runs at a time.
type OperationCleaner struct {
	table Table
	after string
}

// NewOperationCleaner returns a cleaner that begins with the first row.
func NewOperationCleaner(table Table) *OperationCleaner {
	return &OperationCleaner{table: table}
}

// Clean reads the next limit rows and removes those older than [OrphanedOperationRetention], with one read and at most one
// write. It returns the number of removed rows and whether it has reached the last old row. In that case the next call
// begins with the first row. guard adds checks to the transaction; it may be nil.
func (c *OperationCleaner) Clean(ctx context.Context, now time.Time, limit int, guard func(Txn) Txn) (removed int, last bool, err error) {
	rows, err := c.table.Scan(ctx, operationPrefix, c.after, limit)
	if err != nil {
		return 0, false, err
	}
	txn := Txn{OperationID: ident.New()}
	last = len(rows) < limit
	for _, row := range rows {
		created, ok := operationTime(row.Key)
		if !ok {
			continue
		}
		if !created.Before(now.Add(-OrphanedOperationRetention)) {
			// Identifiers sort by time, so that all later rows are newer.
			last = true
			break
		}
		txn.Checks = append(txn.Checks, Check{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, Write{Key: row.Key, Delete: true})
	}
	if removed = len(txn.Writes); removed > 0 {
		if guard != nil {
			txn = guard(txn)
		}
		if err := c.table.Commit(ctx, txn); err != nil {
			return 0, false, err
		}
	}
	c.after = ""
	if !last {
		c.after = rows[len(rows)-1].Key
	}
	return removed, last, nil
}

// operationTime returns the time at which an operation was created. Its identifier, a UUID of version 7, contains it.
func operationTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(strings.TrimPrefix(key, operationPrefix))
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}
