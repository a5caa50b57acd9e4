// Package memory is a stand-in for the transactional store that keeps its rows in memory, with faults for tests.
//
// # Usage
//
//	s := memory.New()
//	s.Fail(func(tx store.Tx) memory.Fault { return memory.LoseAnswer })
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

// Fault is what goes wrong with a call.
type Fault int

// Faults of a call.
const (
	None Fault = iota
	// Refuse means that the call is not carried out and says so.
	Refuse
	// LoseCall means that the call is not carried out and gets no answer.
	LoseCall
	// LoseReply means that the call is carried out and gets no answer.
	LoseReply
)

// Store keeps rows in memory. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[store.Key]store.Row
	version uint64
	// kept is the version from which on changes are known.
	kept  uint64
	fault func(tx *store.Tx) Fault
	calls int
}

var (
	_ store.Store = (*Store)(nil)
	_ store.Store = (*View)(nil)
)

// New returns an empty store.
func New() *Store { return &Store{rows: make(map[store.Key]store.Row)} }

// InjectFaults lets f choose the fault of each call. Its argument is nil for a read.
func (s *Store) InjectFaults(f func(tx *store.Tx) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DropHistory drops the history.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = s.version
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) choose(tx *store.Tx) Fault {
	s.calls++
	if s.fault == nil {
		return None
	}
	return s.fault(tx)
}

// Commit implements [store.Store].
func (s *Store) Commit(_ context.Context, tx store.Tx) (store.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.choose(&tx)
	switch fault {
	case Refuse:
		return store.Result{}, store.ErrNotDone
	case LoseCall:
		return store.Result{}, store.ErrUnknown
	}
	result := store.Result{Version: s.version, Now: clock.Now()}
	for _, e := range tx.Expected {
		if s.rows[e.Key].Version != e.Version || s.rows[e.Key].Deleted {
			result.Current = append(result.Current, s.rows[e.Key])
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
func (s *Store) Scan(_ context.Context, table, part, from, to string) (store.Rows, error) {
	return s.read(func(r store.Row) bool {
		return r.Table == table && r.Partition == part && !r.Deleted && r.Name >= from && (to == "" || r.Name < to)
	}, func(a, b store.Row) int { return cmp.Compare(a.Name, b.Name) })
}

// Partitions implements [store.Store].
func (s *Store) Partitions(_ context.Context, table string) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.choose(nil) != None {
		return nil, store.ErrNotDone
	}
	var parts []string
	for k, r := range s.rows {
		if k.Table == table && !r.Deleted && !slices.Contains(parts, k.Partition) {
			parts = append(parts, k.Partition)
		}
	}
	slices.Sort(parts)
	return parts, nil
}

// Changes implements [store.Store]. It does not wait.
func (s *Store) Changes(_ context.Context, table string, after uint64, _ time.Duration) (store.Rows, error) {
	s.mu.Lock()
	gone := after < s.kept
	s.mu.Unlock()
	if gone {
		return store.Rows{}, store.ErrHistoryGone
	}
	return s.read(func(r store.Row) bool { return r.Table == table && r.Version > after },
		func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
}

func (s *Store) read(match func(store.Row) bool, order func(a, b store.Row) int) (store.Rows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.choose(nil) != None {
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

// View is a store as one process sees it, which can be cut off from it.
type View struct {
	store.Store
	// lost is the error of a transaction while the process is cut off, and nil while it is not.
	lost atomic.Pointer[error]
}

// NewView returns a view that is not cut off.
func NewView(s store.Store) *View { return &View{Store: s} }

// Disconnect cuts the process off. Its transactions fail with the error, and its reads with ErrNotDone.
func (v *View) Disconnect(err error) { v.lost.Store(&err) }

// Reconnect ends the cut.
func (v *View) Reconnect() { v.lost.Store(nil) }

// Commit implements [store.Store].
func (v *View) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	if err := v.lost.Load(); err != nil {
		return store.Result{}, *err
	}
	return v.Store.Commit(ctx, tx)
}

// Scan implements [store.Store].
func (v *View) Scan(ctx context.Context, table, part, from, to string) (store.Rows, error) {
	if v.lost.Load() != nil {
		return store.Rows{}, store.ErrNotDone
	}
	return v.Store.Scan(ctx, table, part, from, to)
}

// Partitions implements [store.Store].
func (v *View) Partitions(ctx context.Context, table string) ([]string, error) {
	if v.lost.Load() != nil {
		return nil, store.ErrNotDone
	}
	return v.Store.Partitions(ctx, table)
}

// Changes implements [store.Store].
func (v *View) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Rows, error) {
	if v.lost.Load() != nil {
		return store.Rows{}, store.ErrNotDone
	}
	return v.Store.Changes(ctx, table, after, wait)
}
