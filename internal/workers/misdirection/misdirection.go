// Package misdirection remembers the entries of the registry whose addresses lead to other instances than the workers that they name.
//
// # Usage
//
//	list := make(misdirection.List)
//	list.Add(report, now) // another instance has answered at the address
//	if list.Leads(report, now) {
//		// The worker is not added by this entry yet.
//	}
//	list.Forget(listed)
package misdirection

import (
	"maps"
	"time"

	"github.com/chivetiller/chivetiller/common/backoff"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// firstPause is the time after which a worker is used again at whose address another instance has answered, if its entry in
	// the registry has not changed. It doubles with each further time up to MaxPause.
	firstPause = 400 * time.Millisecond
	// MaxPause is the longest pause.
	MaxPause = 30 * time.Second
)

// List holds the entries by worker ID.
type List map[string]*entry

// entry is an entry of the registry whose address leads to another instance.
type entry struct {
	address     string
	incarnation int64
	count       int
	until       time.Duration
}

// Add records that another instance has answered at the address of an entry.
func (l List) Add(r worker.Report, now time.Duration) {
	e := l[r.ID]
	if e == nil || e.address != r.Address || e.incarnation != r.Incarnation {
		e = &entry{address: r.Address, incarnation: r.Incarnation}
		l[r.ID] = e
	}
	e.count++
	e.until = now + backoff.Doubled(e.count, firstPause, MaxPause)
}

// Leads reports whether an entry still counts as leading to another instance.
func (l List) Leads(r worker.Report, now time.Duration) bool {
	e := l[r.ID]
	return e != nil && now < e.until && e.address == r.Address && e.incarnation == r.Incarnation
}

// Forget forgets the entries that the registry does not list any more.
func (l List) Forget(listed map[string]bool) {
	maps.DeleteFunc(l, func(id string, _ *entry) bool { return !listed[id] })
}
