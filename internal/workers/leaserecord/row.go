package leaserecord

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Row is a record as it is stored.
type Row struct {
	// Term is the term of the leader that has written the row.
	Term int `cbor:"1,keyasint"`
	// LeasesUntil holds the time on the store's clock at which the leases of a worker have certainly expired, by worker ID.
	LeasesUntil map[string]time.Duration `cbor:"2,keyasint,omitempty"`
	// Incarnations holds the incarnations of the workers, in the order of their IDs. Rows of earlier versions have none.
	Incarnations []int64 `cbor:"3,keyasint,omitempty"`
}

// Row returns the row of entries of the record. storedEnd returns the time on the store's clock of an end that is not known there yet. It is
// set in the entries and in the record.
func (r *Record) Row(term int, entries Entries, storedEnd func(end time.Duration) time.Duration) Row {
	row := Row{Term: term, LeasesUntil: make(map[string]time.Duration, len(entries)), Incarnations: make([]int64, 0, len(entries))}
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		entry := entries[id]
		if entry.StoredEnd == 0 {
			entry.StoredEnd = storedEnd(entry.End)
			entries[id] = entry
			r.SetStoredEnd(id, entry.StoredEnd)
		}
		row.LeasesUntil[id] = entry.StoredEnd
		row.Incarnations = append(row.Incarnations, entry.Incarnation)
	}
	return row
}

// Entries returns the record that a row holds. offset is what is added to a time on the store's clock.
func (row Row) Entries(offset time.Duration) (Entries, error) {
	if n := len(row.Incarnations); n != 0 && n != len(row.LeasesUntil) {
		return nil, eris.Errorf("record of leases has %d incarnations for %d workers", n, len(row.LeasesUntil))
	}
	entries := make(Entries, len(row.LeasesUntil))
	for i, id := range slices.Sorted(maps.Keys(row.LeasesUntil)) {
		entry := Entry{End: row.LeasesUntil[id] + offset, StoredEnd: row.LeasesUntil[id]}
		if len(row.Incarnations) > 0 {
			entry.Incarnation = row.Incarnations[i]
		}
		entries[id] = entry
	}
	return entries, nil
}
