// Package memory is an in-memory fake of the transactional store for tests, with fault injection.
//
// # Usage
//
//	s := memory.New()
//	s.InjectFaults(func(*store.Tx) memory.Fault { return memory.LoseReply })
package memory

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/store"
)

// Fault is an injected fault of a call.
type Fault int

// Faults of a call.
const (
	None Fault = iota
	// Refuse means that the call is not executed and fails with ErrNotDone.
	Refuse
	// LoseCall means that the call is not executed and gets no reply.
	LoseCall
	// LoseReply means that the call is executed and gets no reply.
	LoseReply
)

// Store keeps rows in memory. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[store.Key]store.Row
	version uint64
	// historyStart is the version after which changes are available.
	historyStart uint64
	fault        func(tx *store.Tx) Fault
	beforeRead   func()
	calls        int
}

var (
	_ store.Store = (*Store)(nil)
	_ store.Store = (*View)(nil)
)

// New returns an empty store.
func New() *Store { return &Store{rows: make(map[store.Key]store.Row)} }

// InjectFaults makes f choose the fault of each call. The argument of f is nil for a read. A nil f ends the faults.
func (s *Store) InjectFaults(f func(tx *store.Tx) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// BeforeReads makes f run before each read. f may call the store's other methods. A nil f ends this.
func (s *Store) BeforeReads(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeRead = f
}

// startRead runs the function that is to run before each read.
func (s *Store) startRead() {
	s.mu.Lock()
	f := s.beforeRead
	s.mu.Unlock()
	if f != nil {
		f()
	}
}

// DropHistory makes all changes so far unavailable.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyStart = s.version
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// nextFault counts a call and returns its fault.
func (s *Store) nextFault(tx *store.Tx) Fault {
	s.calls++
	if s.fault == nil {
		return None
	}
	return s.fault(tx)
}

// Commit implements [store.Store].
func (s *Store) Commit(_ context.Context, tx store.Tx) (store.Result, error) {
	if err := tx.Validate(); err != nil {
		return store.Result{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.nextFault(&tx)
	switch fault {
	case Refuse:
		return store.Result{}, store.ErrNotDone
	case LoseCall:
		return store.Result{}, store.ErrUnknown
	}
	result := store.Result{Version: s.version, Now: clock.Now()}
	for _, e := range tx.Expected {
		// A removed row does not exist, which is what version 0 expects.
		if row := s.rows[e.Key]; row.Deleted && e.Version != 0 || !row.Deleted && row.Version != e.Version {
			result.Current = append(result.Current, row)
		}
	}
	if len(result.Current) > 0 {
		if fault == LoseReply {
			return store.Result{}, store.ErrUnknown
		}
		return result, store.ErrConflict
	}
	s.version++
	for _, p := range tx.Puts {
		s.rows[p.Key] = store.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: s.version}
	}
	for _, k := range tx.Removes {
		s.rows[k] = store.Row{Key: k, Version: s.version, Deleted: true}
	}
	if fault == LoseReply {
		return store.Result{}, store.ErrUnknown
	}
	result.Version = s.version
	return result, nil
}

// Scan implements [store.Store].
func (s *Store) Scan(_ context.Context, table, partition, from, to string) (store.Rows, error) {
	s.startRead()
	return s.selectRows(func(r store.Row) bool {
		return r.Table == table && r.Partition == partition && !r.Deleted && r.Name >= from && (to == "" || r.Name < to)
	}, func(a, b store.Row) int { return cmp.Compare(a.Name, b.Name) })
}

// Partitions implements [store.Store].
func (s *Store) Partitions(_ context.Context, table string) (store.Partitions, error) {
	s.startRead()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault(nil) != None {
		return store.Partitions{}, store.ErrNotDone
	}
	partitions := store.Partitions{Version: s.version, Now: clock.Now()}
	for k, r := range s.rows {
		if k.Table == table && !r.Deleted && !slices.Contains(partitions.Names, k.Partition) {
			partitions.Names = append(partitions.Names, k.Partition)
		}
	}
	slices.Sort(partitions.Names)
	return partitions, nil
}

// Changes implements [store.Store]. It does not wait.
func (s *Store) Changes(_ context.Context, table string, after uint64, _ time.Duration) (store.Rows, error) {
	s.startRead()
	s.mu.Lock()
	gone := after < s.historyStart
	s.mu.Unlock()
	if gone {
		return store.Rows{}, store.ErrHistoryGone
	}
	return s.selectRows(func(r store.Row) bool { return r.Table == table && r.Version > after },
		func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
}

// selectRows returns the rows that match, in the given order.
func (s *Store) selectRows(match func(store.Row) bool, order func(a, b store.Row) int) (store.Rows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault(nil) != None {
		return store.Rows{}, store.ErrNotDone
	}
	rows := store.Rows{Version: s.version, Now: clock.Now()}
	for _, r := range s.rows {
		if match(r) {
			rows.Rows = append(rows.Rows, r)
		}
	}
	slices.SortFunc(rows.Rows, order)
	return rows, nil
}

// View is the store as one process sees it. The process can be disconnected from the store.
type View struct {
	store.Store
	// disconnected is the error of transactions while the process is disconnected, and nil while it is connected.
	disconnected atomic.Pointer[error]
}

// NewView returns a connected view of a store.
func NewView(s store.Store) *View { return &View{Store: s} }

// Disconnect disconnects the process. Its transactions fail with the error, and its reads with ErrNotDone.
func (v *View) Disconnect(err error) { v.disconnected.Store(&err) }

// Reconnect connects the process again.
func (v *View) Reconnect() { v.disconnected.Store(nil) }

// Commit implements [store.Store].
func (v *View) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	if err := v.disconnected.Load(); err != nil {
		return store.Result{}, *err
	}
	return v.Store.Commit(ctx, tx)
}

// Scan implements [store.Store].
func (v *View) Scan(ctx context.Context, table, partition, from, to string) (store.Rows, error) {
	if v.disconnected.Load() != nil {
		return store.Rows{}, store.ErrNotDone
	}
	return v.Store.Scan(ctx, table, partition, from, to)
}

// Partitions implements [store.Store].
func (v *View) Partitions(ctx context.Context, table string) (store.Partitions, error) {
	if v.disconnected.Load() != nil {
		return store.Partitions{}, store.ErrNotDone
	}
	return v.Store.Partitions(ctx, table)
}

// Changes implements [store.Store].
func (v *View) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Rows, error) {
	if v.disconnected.Load() != nil {
		return store.Rows{}, store.ErrNotDone
	}
	return v.Store.Changes(ctx, table, after, wait)
}
