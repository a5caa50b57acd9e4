// Package snapshot decides when what a leader has learned is written to the store, so that its successors do not begin with nothing.
//
// A learner is a part of the scheduler whose state is an estimate. Its snapshot is one row, which is written seldom and has no effect when
// it is missing, old or unreadable: no promise depends on it.
//
// # Usage
//
//	set := snapshot.NewSet()
//	set.Add("runTimes", model, 10*time.Second)
//	set.Restore(rows, offset, report)      // rows of an earlier leader
//	rows := set.Take(now, limit, report)   // with a batch that is stored anyway
//	set.Failed(rows)                       // if the batch was not stored
//
// # States
//
// A learner is due from its interval after its last snapshot on. Taking a snapshot makes it not due. A snapshot that was not stored makes it
// due again.
package snapshot

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/store"
)

// Learner is a part whose state is worth keeping. All times are monotonic times of this process.
type Learner interface {
	// Snapshot returns the state as of now. Its times are relative to now. It is empty if nothing is known.
	Snapshot(now time.Duration) ([]byte, error)
	// Restore adds a snapshot of an earlier leader that was taken at a time, which may be negative. After an error the state is as before.
	Restore(value []byte, takenAt time.Duration) error
}

// Row is the snapshot of a learner as it is stored.
type Row struct {
	Name string `cbor:"-"`
	// At is the time of the snapshot: in the row a time on the store's clock, in memory a monotonic time of this process.
	At    time.Duration `cbor:"1,keyasint"`
	Value []byte        `cbor:"2,keyasint"`
}

// maxValueBytes leaves room in a row for its encoding.
const maxValueBytes = store.MaxRowBytes - 64

type entry struct {
	learner  Learner
	interval time.Duration
	dueAt    time.Duration
	stored   []byte
}

// Set holds the learners of a leader by name. It is not safe for concurrent use.
type Set struct{ entries map[string]*entry }

// NewSet returns a set without learners.
func NewSet() *Set { return &Set{entries: make(map[string]*entry)} }

// Add adds a learner, of which a snapshot is taken at most once in an interval.
func (s *Set) Add(name string, learner Learner, interval time.Duration) {
	s.entries[name] = &entry{learner: learner, interval: interval}
}

// Restore restores learners from the rows of an earlier leader. offset is what is added to a time on the store's clock. It calls report for
// each snapshot that cannot be used.
func (s *Set) Restore(rows []Row, offset time.Duration, report func(name string, err error)) {
	for _, row := range rows {
		e, ok := s.entries[row.Name]
		if !ok {
			continue
		}
		if err := e.learner.Restore(row.Value, row.At+offset); err != nil {
			report(row.Name, err)
		}
	}
}

// Take returns the snapshots that are due and have changed, at most limit. It calls report for each that cannot be stored.
func (s *Set) Take(now time.Duration, limit int, report func(name string, err error)) []Row {
	var rows []Row
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[name]
		if len(rows) >= limit || now < e.dueAt {
			continue
		}
		e.dueAt = now + e.interval
		value, err := e.learner.Snapshot(now)
		if err == nil && len(value) > maxValueBytes {
			err = eris.Errorf("snapshot has %d bytes, the limit is %d", len(value), maxValueBytes)
		}
		if err != nil {
			report(name, err)
			continue
		}
		if len(value) == 0 || bytes.Equal(value, e.stored) {
			continue
		}
		e.stored = value
		rows = append(rows, Row{Name: name, At: now, Value: value})
	}
	return rows
}

// Failed makes the learners of snapshots that were not stored due again.
func (s *Set) Failed(rows []Row) {
	for _, row := range rows {
		if e, ok := s.entries[row.Name]; ok {
			e.dueAt, e.stored = 0, nil
		}
	}
}
