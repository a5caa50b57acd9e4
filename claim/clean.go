package claim

import (
	"context"
	"time"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/provider"
)

// Retention is how long claims are kept. It is far longer than a caller repeats a request.
const Retention = 24 * time.Hour

// Cleaner removes old claims. It serves one housekeeping duty.
type Cleaner struct {
	table provider.Table
	after string
}

// NewCleaner returns a cleaner that begins with the first claim.
func NewCleaner(table provider.Table) *Cleaner {
	return &Cleaner{table: table}
}

// Clean looks at the next limit claims and removes those written more than [Retention] before now, with
// one read and at most one write. It returns the number removed and whether it reached the last claim,
// after which it begins again with the first. guard adds checks to the transaction, such as that of a
// fencing token; it may be nil.
func (c *Cleaner) Clean(ctx context.Context, now time.Time, limit int, guard func(provider.Txn) provider.Txn) (removed int, last bool, err error) {
	rows, err := c.table.Scan(ctx, rowPrefix, c.after, limit)
	if err != nil {
		return 0, false, err
	}
	txn := provider.Txn{OperationID: ident.New()}
	for _, row := range rows {
		r, err := decode(row)
		// The row of a newer format is left alone.
		if err != nil || !r.writtenBefore(now.Add(-Retention)) {
			continue
		}
		txn.Checks = append(txn.Checks, provider.Check{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, provider.Write{Key: row.Key, Delete: true})
	}
	if removed = len(txn.Writes); removed > 0 {
		if guard != nil {
			txn = guard(txn)
		}
		if err := c.table.Commit(ctx, txn); err != nil {
			return 0, false, err
		}
	}
	if last = len(rows) < limit; last {
		c.after = ""
	} else {
		c.after = rows[len(rows)-1].Key
	}
	return removed, last, nil
}
