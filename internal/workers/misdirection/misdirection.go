// Package misdirection tells which entries of the registry lead to another instance than the one that they name.
//
// # Usage
//
//	d := misdirection.New()
//	d.Record(report, now)         // another instance has answered at the address
//	d.Misdirects(report, now)     // while it does, the worker is not used
//	d.Retain(listed)              // with each list of the registry
//
// # States
//
// An entry misdirects for a pause after each answer of another instance. A changed entry does not.
package misdirection

import (
	"maps"
	"time"

	"github.com/chivetiller/chivetiller/common/backoff"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// firstPause is the time after which a worker is used again at whose address another instance has answered, if its entry in
	// the registry has not changed. It doubles with each further time.
	firstPause = 400 * time.Millisecond
	// MaxPause limits that time.
	MaxPause = 30 * time.Second
)

// entry is an entry of the registry whose address leads to another instance.
type entry struct {
	address     string
	incarnation int64
	count       int
	until       time.Duration
}

// Directory holds the entries that lead to another instance, by worker ID.
type Directory struct{ entries map[string]*entry }

// New returns a directory without such entries.
func New() *Directory { return &Directory{entries: make(map[string]*entry)} }

// Record records that another instance has answered at the address of an entry.
func (d *Directory) Record(r worker.Report, now time.Duration) {
	m := d.entries[r.ID]
	if m == nil || m.address != r.Address || m.incarnation != r.Incarnation {
		m = &entry{address: r.Address, incarnation: r.Incarnation}
		d.entries[r.ID] = m
	}
	m.count++
	m.until = now + backoff.Doubled(m.count, firstPause, MaxPause)
}

// Misdirects reports whether an entry still leads to another instance.
func (d *Directory) Misdirects(r worker.Report, now time.Duration) bool {
	m := d.entries[r.ID]
	return m != nil && now < m.until && m.address == r.Address && m.incarnation == r.Incarnation
}

// Retain forgets the entries that the registry does not list any more.
func (d *Directory) Retain(listed map[string]bool) {
	maps.DeleteFunc(d.entries, func(id string, _ *entry) bool { return !listed[id] })
}

// Len returns the number of entries that are remembered.
func (d *Directory) Len() int { return len(d.entries) }
