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
	// maxDeletes bounds the operation rows that one transaction deletes besides its own writes.
	maxDeletes = 16
	// maxSettled bounds the operation rows that wait to be deleted. More are left to the cleaner.
	maxSettled = 8192
	// unknownAfter is how long the row of an operation with an unknown outcome is left, since the operation
	// may take effect late and its user may repeat it.
	unknownAfter = 10 * time.Minute
)

func operationKey(id string) string { return operationPrefix + id }

// operations keeps the operation rows of this process that can be deleted.
type operations struct {
	settleAfter time.Duration

	mu sync.Mutex
	// settled and unknown are in the order in which they can be deleted.
	settled, unknown []settled
}

type settled struct {
	id string
	at time.Time
}

// extend adds the operation row of the transaction and deletes settled ones.
func (o *operations) extend(txn Txn, now time.Time) (Txn, []settled) {
	key := operationKey(txn.OperationID)
	txn.Checks = append(slices.Clip(txn.Checks), Check{Key: key})
	txn.Writes = append(slices.Clip(txn.Writes), Write{Key: key})
	o.mu.Lock()
	defer o.mu.Unlock()
	deleted := take(&o.settled, nil, now)
	deleted = take(&o.unknown, deleted, now)
	for _, s := range deleted {
		txn.Writes = append(txn.Writes, Write{Key: operationKey(s.id), Delete: true})
	}
	return txn, deleted
}

// take moves those from the front of the queue that can be deleted.
func take(queue *[]settled, to []settled, now time.Time) []settled {
	for len(*queue) > 0 && len(to) < maxDeletes && !(*queue)[0].at.After(now) {
		to = append(to, (*queue)[0])
		*queue = (*queue)[1:]
	}
	return to
}

// finish notes the outcome of a transaction. Operation rows that it may not have deleted are deleted by a later one.
func (o *operations) finish(id string, deleted []settled, err error, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.settled = append(o.settled, deleted...)
	}
	switch {
	case err == nil:
		o.settled = append(o.settled, settled{id: id, at: now.Add(o.settleAfter)})
	case errors.Is(err, ErrUnknownOutcome):
		o.unknown = append(o.unknown, settled{id: id, at: now.Add(unknownAfter)})
	}
	o.settled = o.settled[max(len(o.settled)-maxSettled, 0):]
	o.unknown = o.unknown[max(len(o.unknown)-maxSettled, 0):]
}

// OrphanedOperationRetention is how long operation rows are kept whose process is gone.
const OrphanedOperationRetention = time.Hour

// OperationCleaner removes old operation rows that their processes left behind. It serves one housekeeping duty.
type OperationCleaner struct {
	table Table
	after string
}

// NewOperationCleaner returns a cleaner that begins with the first row.
func NewOperationCleaner(table Table) *OperationCleaner {
	return &OperationCleaner{table: table}
}

// Clean looks at the next limit rows and removes those older than [OrphanedOperationRetention], with one read and
// at most one write. It returns the number removed and whether it reached the last old row, after which it
// begins again with the first. guard adds checks to the transaction; it may be nil.
func (c *OperationCleaner) Clean(ctx context.Context, now time.Time, limit int, guard func(Txn) Txn) (removed int, last bool, err error) {
	rows, err := c.table.Scan(ctx, operationPrefix, c.after, limit)
	if err != nil {
		return 0, false, err
	}
	txn := Txn{OperationID: ident.New()}
	last = len(rows) < limit
	for _, row := range rows {
		made, ok := operationTime(row.Key)
		if !ok {
			continue
		}
		if !made.Before(now.Add(-OrphanedOperationRetention)) {
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

// operationTime returns when an operation was made, which its identifier contains.
func operationTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(strings.TrimPrefix(key, operationPrefix))
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}
