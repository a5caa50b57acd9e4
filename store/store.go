// Package store describes the transactional rows that outlast every process.
//
// # Usage
//
//	result, err := s.Commit(ctx, store.Tx{
//		Expected: []store.Expect{{Key: key, Version: 0}},
//		Puts:     []store.Put{{Key: key, Value: value}},
//	})
//	if errors.Is(err, store.ErrConflict) { ... result.Current holds the rows that differ }
package store

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
)

// Errors of the store.
var (
	// ErrConflict means that a row had another version. Nothing was written.
	ErrConflict = errors.New("row has another version")
	// ErrNotDone means that the store did not carry out the call.
	ErrNotDone = errors.New("store did not carry out the call")
	// ErrUnknown means that the call may have been carried out, or may still be.
	ErrUnknown = errors.New("outcome of the call is unknown")
	// ErrHistoryGone means that the changes asked for are no longer kept.
	ErrHistoryGone = errors.New("history is no longer kept")
)

// Limits of one transaction, from the platform's pages.
const (
	MaxEntries = 100
	MaxBytes   = 1 << 20
)

// Key identifies a row. All rows of one transaction are in the same partition.
type Key struct {
	Table     string
	Partition string `cbor:"Part"`
	Name      string
}

// Row is a row with its version. Versions come from one counter that grows with each transaction.
type Row struct {
	Key
	Value   []byte
	Version uint64
	// Deleted marks a row that was removed, in a list of changes.
	Deleted bool
}

// Expect is a condition: the row has the version, or does not exist if the version is 0.
type Expect struct {
	Key
	Version uint64
}

// Put sets a row.
type Put struct {
	Key
	Value []byte
}

// Tx is a transaction. All of it takes effect, or none.
type Tx struct {
	Expected []Expect
	Puts     []Put
	Removes  []Key
}

// Result is the answer to a transaction.
type Result struct {
	Version uint64
	// Now is the steady clock of the store.
	Now time.Duration
	// Current holds the expected rows as they are, after a conflict.
	Current []Row
}

// Rows is a list of rows as of one version.
type Rows struct {
	Rows    []Row
	Version uint64
	Now     time.Duration
}

// Store is the transactional store. It is linearizable.
type Store interface {
	// Commit fails with ErrConflict, ErrNotDone or ErrUnknown.
	Commit(ctx context.Context, tx Tx) (Result, error)
	// Scan returns the rows of a part of a table with from <= name < to. An empty to means no bound.
	Scan(ctx context.Context, table, part, from, to string) (Rows, error)
	// Partitions returns the parts of a table.
	Partitions(ctx context.Context, table string) ([]string, error)
	// Changes returns the rows of all parts of a table that changed after a version, in order, and waits for the first one.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Rows, error)
}

// ScanAll returns the rows of all parts of a table. Its version is the oldest of the parts, so that changes read from there
// on leave nothing out.
func ScanAll(ctx context.Context, s Store, table string) (Rows, error) {
	parts, err := s.Partitions(ctx, table)
	if err != nil {
		return Rows{}, err
	}
	pages := make([]Rows, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	for i, part := range parts {
		group.Go(func() (err error) {
			pages[i], err = s.Scan(ctx, table, part, "", "")
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Rows{}, err
	}
	var all Rows
	for _, page := range pages {
		if all.Version == 0 || page.Version < all.Version {
			all.Version = page.Version
		}
		all.Now = max(all.Now, page.Now)
		all.Rows = append(all.Rows, page.Rows...)
	}
	return all, nil
}
