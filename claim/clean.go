package claim

import (
	"context"
	"time"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/provider"
)

// Retention is how long claims are kept. It is far longer than callers go on repeating a request.
const Retention = 24 * time.Hour

// Cleaner removes old claims. It is used by one housekeeping duty and is not safe for concurrent use.
type Cleaner struct {
	table provider.Table
	after string
}

// NewCleaner returns a cleaner that begins with the first claim row.
func NewCleaner(table provider.Table) *Cleaner {
	return &Cleaner{table: table}
}

// Clean scans the next claims, up to the limit, and removes those written more than [Retention] before now. It takes one
// scan and at most one transaction. It returns the number removed, and whether it reached the last claim; the next
// call then begins again with the first. guard adds checks to the transaction, such as that of a fencing token; it
// may be nil.
func (c *Cleaner) Clean(ctx context.Context, now time.Time, limit int, guard func(provider.Txn) provider.Txn) (removed int, last bool, err error) {
	rows, err := c.table.Scan(ctx, rowPrefix, c.after, limit)
	if err != nil {
		return 0, false, err
	}
	txn := provider.Txn{OperationID: ident.New()}
	for _, row := range rows {
		r, err := decode(row)
		// A row that cannot be decoded may have a newer format, so it is kept.
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
