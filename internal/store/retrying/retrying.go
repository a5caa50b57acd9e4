// Package retrying reads from a store that does not carry out some of the reads.
//
// # Usage
//
//	rows, err := retrying.Reads{Store: rows, Logger: logger}.Scan(ctx, "job", "", "", "")
package retrying

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/store"
)

// pause is the pause before a read is repeated that the store did not carry out.
const pause = 100 * time.Millisecond

// Reads repeats reads that the store does not carry out, until the context ends. A scan goes on after the last row that was
// read. The time of a read is not limited otherwise: with enough rows, a read that begins again with the first one would never end.
type Reads struct {
	store.Store
	Logger hclog.Logger
}

// Scan implements [store.Store].
func (r Reads) Scan(ctx context.Context, table, partition, from, to string) (store.Rows, error) {
	var all store.Rows
	for {
		rows, err := r.Store.Scan(ctx, table, partition, from, to)
		if all.Version == 0 {
			all.Version = rows.Version
		}
		all.Now = max(all.Now, rows.Now)
		all.Rows = append(all.Rows, rows.Rows...)
		if err == nil || !r.mayRetry(ctx, table, err) {
			return all, err
		}
		if n := len(rows.Rows); n > 0 {
			from = rows.Rows[n-1].Name + "\x00"
		}
	}
}

// Partitions implements [store.Store].
func (r Reads) Partitions(ctx context.Context, table string) (store.Partitions, error) {
	for {
		partitions, err := r.Store.Partitions(ctx, table)
		if err == nil || !r.mayRetry(ctx, table, err) {
			return partitions, err
		}
	}
}

// mayRetry reports whether a failed read is to be repeated, after a pause if the store has refused it.
func (r Reads) mayRetry(ctx context.Context, table string, err error) bool {
	silent := errors.Is(err, store.ErrSilent)
	if errors.Is(err, store.ErrRefused) || !silent && !errors.Is(err, store.ErrNotDone) {
		return false
	}
	if !silent {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return false
	}
	r.Logger.Warn("Table was not read; the read goes on.", "table", table, "error", err)
	return true
}
