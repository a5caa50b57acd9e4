// Package store describes the transactional store, whose rows are shared by all processes and outlive them.
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
	// ErrConflict means that a row does not have the expected version. Nothing was written.
	ErrConflict = errors.New("row has another version")
	// ErrNotDone means that the store did not execute the call.
	ErrNotDone = errors.New("store did not carry out the call")
	// ErrRefused means that the store does not accept the call, however often it is sent. Such an error is ErrNotDone, too.
	ErrRefused = errors.New("store refuses the call")
	// ErrUnknown means that the call may have been executed, or may still be.
	ErrUnknown = errors.New("outcome of the call is unknown")
	// ErrSilent means that no part of the reply to a read has arrived for a while.
	ErrSilent = errors.New("store is silent")
	// ErrHistoryGone means that the requested changes are no longer in the history.
	ErrHistoryGone = errors.New("history is no longer kept")
)

// Key identifies a row. All rows of one transaction are in the same partition. Nodes send keys to each other with the names of the
// fields.
type Key struct {
	Table     string
	Partition string `cbor:"Part"`
	Name      string
}

// Row is a row with its version. All versions come from one counter, which grows with each transaction.
type Row struct {
	Key
	Value   []byte
	Version uint64
	// Deleted marks a row that was removed, in a list of changes.
	Deleted bool
}

// Expect is a precondition: the row has the version, or does not exist if the version is 0.
type Expect struct {
	Key
	Version uint64
}

// Put writes a row.
type Put struct {
	Key
	Value []byte
}

// Tx is a transaction. It takes effect as a whole or not at all.
type Tx struct {
	Expected []Expect
	Puts     []Put
	Removes  []Key
}

// Result is the reply to a transaction.
type Result struct {
	Version uint64
	// Now is the monotonic time of the store.
	Now time.Duration
	// Current holds, after a conflict, the current state of the rows that do not have the expected version.
	Current []Row
}

// Rows is a list of rows as of one version.
type Rows struct {
	Rows    []Row
	Version uint64
	Now     time.Duration
}

// Partitions is a list of the partitions of a table as of one version. A partition that gets its first row later is not in it.
type Partitions struct {
	Names   []string
	Version uint64
	Now     time.Duration
}

// Store is the transactional store. It is linearizable.
type Store interface {
	// Commit fails with ErrConflict, ErrNotDone or ErrUnknown. A transaction that is not valid fails with ErrRefused before it is sent.
	Commit(ctx context.Context, tx Tx) (Result, error)
	// Scan returns the rows of a partition of a table with from <= name < to. An empty to means no upper bound. Like all reads, it
	// takes as long as parts of the reply arrive, and fails with ErrSilent if none do. A scan that fails returns the rows that it has
	// read, so that another one may go on after them.
	Scan(ctx context.Context, table, partition, from, to string) (Rows, error)
	// Partitions lists the partitions of a table that have rows.
	Partitions(ctx context.Context, table string) (Partitions, error)
	// Changes returns the rows of all partitions of a table that changed after a version, in the order of their versions. It waits
	// up to wait for the first change.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Rows, error)
}

// ScanAll returns the rows of all partitions of a table. The version of the result is that of the list of the partitions, so that reading
// the changes after this version misses none: a partition may get its first row after the list was read.
func ScanAll(ctx context.Context, s Store, table string) (Rows, error) {
	partitions, err := s.Partitions(ctx, table)
	if err != nil {
		return Rows{}, err
	}
	pages := make([]Rows, len(partitions.Names))
	group, ctx := errgroup.WithContext(ctx)
	for i, partition := range partitions.Names {
		group.Go(func() (err error) {
			pages[i], err = s.Scan(ctx, table, partition, "", "")
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Rows{}, err
	}
	all := Rows{Version: partitions.Version, Now: partitions.Now}
	for _, page := range pages {
		all.Now = max(all.Now, page.Now)
		all.Rows = append(all.Rows, page.Rows...)
	}
	return all, nil
}
