// Package leaserecord decides which workers a leader records as possibly lost, and when it may extend their leases again. A leader stores
// the record in the course of its term, so that the knowledge does not end with it. It has no clock and calls nothing. The proof is in
// docs/decisions/handover.md.
//
// A worker is in one of three states:
//   - free: no stored record can name it. Only then is its lease extended.
//   - recorded: the record names it with the time at which its lease has certainly ended, or will with the next batch.
//   - returning: the record does not name it any more, and the stored one may still do.
//
// [Record.Doubt] makes a free or returning worker recorded, [Record.TakeBack] a recorded one returning, and [Record.Stored] the returning
// ones that the stored record lacks free. A batch that failed or has an unknown outcome frees no worker. The next leader starts with the
// stored record ([Record.Adopt]) and keeps the promise of those before it.
//
// # Usage
//
//	record := leaserecord.New(maxBytes)
//	record.Doubt(id, leaserecord.Entry{Incarnation: incarnation, End: certainExpiry})
//	if entries, changed := record.Take(now); changed {
//		// Store entries, and call record.Stored(entries) or record.Failed().
//	}
//	if !record.Holds(id) {
//		// The lease may be extended.
//	}
package leaserecord

import (
	"maps"
	"time"
)

const (
	// interval is the minimum time between two batches that are made for the record alone, unless workers are returning.
	interval = 500 * time.Millisecond
	// settleTime is how long a worker that was taken back is recorded only after a silence of flapSilence, so that one that flaps does not
	// cause two batches each time.
	settleTime  = 10 * time.Second
	flapSilence = 3 * time.Second
)

// Entry is a worker in a record.
type Entry struct {
	// Incarnation is the life of the worker that the entry is about, and 0 if it is not known.
	Incarnation int64
	// End is the local monotonic time at which the lease has certainly ended.
	End time.Duration
	// StoredEnd is End on the store's clock, and 0 until that is computed. It stays as it is from leader to leader, so that the error of
	// the clock does not add up.
	StoredEnd time.Duration
}

// IsOf reports whether the entry may be about a life of the worker.
func (e Entry) IsOf(incarnation int64) bool {
	return e.Incarnation == 0 || incarnation == 0 || e.Incarnation == incarnation
}

// Entries are the workers in a record by ID.
type Entries map[string]Entry

// entryBytes is the longest encoding of an entry besides the ID of its worker.
const entryBytes = 24

// Size returns an upper bound of the encoded size of an entry, in bytes.
func Size(id string) int { return len(id) + entryBytes }

// Record is the record of a leader. It is not safe for concurrent use.
type Record struct {
	// limit is the maximum size of the entries, and size their present one, in bytes.
	limit   int
	size    int
	entries Entries
	// exposed holds the workers that a stored record may name. They get no longer lease.
	exposed Entries
	// returning holds the workers that have been taken back, as far as they are exposed.
	returning map[string]bool
	// unreadable means that the stored record may name any worker.
	unreadable bool
	changed    bool
	// takenAt is the time of the last batch with the record.
	takenAt time.Duration
	// returnedAt is when workers have been taken back.
	returnedAt map[string]time.Duration
}

// New returns an empty record. The sizes of its entries add up to at most limit.
func New(limit int) *Record {
	return &Record{limit: limit, entries: make(Entries), exposed: make(Entries), returning: make(map[string]bool), returnedAt: make(map[string]time.Duration)}
}

// Adopt starts with the record that an earlier leader has stored.
func (r *Record) Adopt(stored Entries) {
	r.entries, r.exposed = maps.Clone(stored), maps.Clone(stored)
	if stored == nil {
		r.entries, r.exposed = make(Entries), make(Entries)
	}
	r.size = 0
	for id := range r.entries {
		r.size += Size(id)
	}
}

// AdoptUnreadable starts with a stored record that cannot be read. No worker is free until it is replaced.
func (r *Record) AdoptUnreadable() { r.unreadable, r.changed = true, true }

// Replace makes the next batch store the record, also if it has not changed.
func (r *Record) Replace() { r.changed = true }

// Len returns the number of recorded workers.
func (r *Record) Len() int { return len(r.entries) }

// Entry returns the entry of a recorded worker.
func (r *Record) Entry(id string) (Entry, bool) {
	e, ok := r.entries[id]
	return e, ok
}

// Entries returns a copy of all entries.
func (r *Record) Entries() Entries { return maps.Clone(r.entries) }

// Holds reports whether the lease of a worker must not be extended.
func (r *Record) Holds(id string) bool {
	if len(r.entries) == 0 && len(r.exposed) == 0 {
		return r.unreadable
	}
	_, recorded := r.entries[id]
	_, exposed := r.exposed[id]
	return recorded || exposed || r.unreadable
}

// Returning reports whether a worker has been taken back and is not free yet.
func (r *Record) Returning(id string) bool { return r.returning[id] }

// Admits reports whether a worker that has been silent for a time may be recorded.
func (r *Record) Admits(id string, silence, now time.Duration) bool {
	if !r.mayAdd(id) {
		return false
	}
	at, returned := r.returnedAt[id]
	return !returned || now-at > settleTime || silence > flapSilence
}

// Doubt records a worker, unless it is recorded or the record is full. The caller extends its lease no more.
func (r *Record) Doubt(id string, e Entry) {
	if !r.mayAdd(id) {
		return
	}
	// The lease has not been extended since a stored record has named the worker.
	if before, exposed := r.exposed[id]; exposed && before.Incarnation == e.Incarnation && before.End < e.End {
		e = before
	}
	r.entries[id] = e
	r.size += Size(id)
	r.changed = true
	delete(r.returning, id)
}

// mayAdd reports whether a worker is not recorded and fits.
func (r *Record) mayAdd(id string) bool {
	_, recorded := r.entries[id]
	return !recorded && r.size+Size(id) <= r.limit
}

// remove removes a recorded worker.
func (r *Record) remove(id string) {
	delete(r.entries, id)
	r.size -= Size(id)
	r.changed = true
}

// TakeBack removes a worker that has answered.
func (r *Record) TakeBack(id string, now time.Duration) {
	_, recorded := r.entries[id]
	_, exposed := r.exposed[id]
	if !recorded && !exposed {
		return
	}
	if recorded {
		r.remove(id)
		r.returnedAt[id] = now
	}
	if exposed {
		r.returning[id] = true
	}
}

// Prune removes the workers whose leases have ended and that are not needed. It changes no lease: they are free once that is stored.
func (r *Record) Prune(now time.Duration, needed func(id string) bool) {
	for id, e := range r.entries {
		if now > e.End && !needed(id) {
			r.remove(id)
		}
	}
	maps.DeleteFunc(r.returnedAt, func(_ string, at time.Duration) bool { return now-at > settleTime })
}

// SetStoredEnd records the end of a lease on the store's clock.
func (r *Record) SetStoredEnd(id string, end time.Duration) {
	for _, entries := range []Entries{r.entries, r.exposed} {
		if e, ok := entries[id]; ok {
			e.StoredEnd = end
			entries[id] = e
		}
	}
}

// Due reports whether a batch is to be made for the record alone.
func (r *Record) Due(now time.Duration) bool {
	return r.changed && (len(r.returning) > 0 || r.unreadable || now-r.takenAt >= interval)
}

// Take returns the entries to be stored, and false if they have not changed. A worker that they name may be in a stored record from then on.
func (r *Record) Take(now time.Duration) (Entries, bool) {
	if !r.changed {
		return nil, false
	}
	r.changed, r.takenAt = false, now
	maps.Copy(r.exposed, r.entries)
	return maps.Clone(r.entries), true
}

// Failed records that the entries that were taken last have not been stored, or that this is not known.
func (r *Record) Failed() { r.changed = true }

// Stored records that entries are stored.
func (r *Record) Stored(entries Entries) {
	r.exposed, r.unreadable = maps.Clone(entries), false
	maps.DeleteFunc(r.returning, func(id string, _ bool) bool {
		_, exposed := entries[id]
		return !exposed
	})
}
