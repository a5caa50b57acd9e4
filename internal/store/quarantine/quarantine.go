// Package quarantine finds the rows because of which a store refuses batches, and keeps them out of the others. The rows of a refused
// batch are tried again in halves, by turns with all other rows, until a batch of a single row is refused. That row is set aside for a
// while.
//
// # Usage
//
//	list.Next(now)
//	// Build a batch of rows that list.Admits.
//	if len(batch) == 0 && list.Skip() { ... try again }
//	// After a refusal:
//	if row, pause, ok := list.Refused(batch, now, answered); ok { ... row is set aside }
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/store"
)

const (
	// firstPause is how long a row is set aside. The pause doubles with each further refusal up to maxPause.
	firstPause = 5 * time.Second
	maxPause   = time.Minute
	// unprovenPause is the pause while the store may be at fault and not the row. Tasks that wait for the row start within a few seconds after
	// the store is in order.
	unprovenPause = 2 * time.Second
)

// List holds the rows of refused batches. The zero value is an empty list.
type List struct {
	// groups holds rows that were refused together. The last group is tried next.
	groups [][]store.Key
	// suspects holds the rows of all groups.
	suspects map[store.Key]bool
	aside    map[store.Key]*asideRow
	// trying means that the next batch is of the last group, and turn that it may be. The batches take turns, since a search takes long.
	trying, turn bool
	// inARow counts the refusals since a batch was stored, and stored the batches that were.
	inARow int
	stored int
}

// asideRow is a row that was refused alone.
type asideRow struct {
	until time.Duration
	pause time.Duration
	// stored is the number of batches that had been stored at the latest refusal.
	stored int
}

// Next chooses the rows of the next batch: by turns those of a refused one and all others.
func (l *List) Next(now time.Duration) {
	for key, row := range l.aside {
		if now >= row.until && !l.suspects[key] {
			l.push([]store.Key{key})
		}
	}
	l.turn = !l.turn
	l.trying = l.turn && len(l.groups) > 0
}

// Admits reports whether a row may be in the next batch.
func (l *List) Admits(key store.Key) bool {
	if l.trying {
		return slices.Contains(l.groups[len(l.groups)-1], key)
	}
	return !l.suspects[key] && l.aside[key] == nil
}

// Searching reports whether the next batch is of rows that were refused before.
func (l *List) Searching() bool { return l.trying }

// Skip is called if there is nothing to store of the rows that are admitted. It reports whether another choice may find some.
func (l *List) Skip() bool {
	if l.trying {
		// The rows need not be stored any more.
		for _, key := range l.pop() {
			delete(l.aside, key)
		}
	}
	return len(l.groups) > 0
}

// Stored records that a batch with these rows was stored, and returns those that had been set aside.
func (l *List) Stored(keys []store.Key) (released []store.Key) {
	if l.trying {
		l.pop()
	}
	if len(keys) > 0 {
		l.inARow = 0
		l.stored++
	}
	for _, key := range keys {
		if l.aside[key] != nil {
			released = append(released, key)
			delete(l.aside, key)
		}
	}
	return released
}

// Refused records that a batch with these rows was refused. If it had a single row, that is set aside for the pause that Refused returns.
// answered means that the store has answered. The pause is long only if the store has stored other batches since it refused the row before.
func (l *List) Refused(keys []store.Key, now time.Duration, answered bool) (key store.Key, pause time.Duration, ok bool) {
	if l.trying {
		l.pop()
	}
	l.inARow++
	// A row that is both written and removed stands in the batch twice.
	slices.SortFunc(keys, compareKeys)
	keys = slices.Compact(keys)
	switch len(keys) {
	case 0:
		return store.Key{}, 0, false
	case 1:
		row := l.aside[keys[0]]
		if row == nil {
			row = &asideRow{stored: l.stored}
			if l.aside == nil {
				l.aside = make(map[store.Key]*asideRow)
			}
			l.aside[keys[0]] = row
		}
		if answered && l.stored > row.stored {
			row.pause = min(max(2*row.pause, firstPause), maxPause)
		} else {
			row.pause = unprovenPause
		}
		row.until, row.stored = now+row.pause, l.stored
		return keys[0], row.pause, true
	}
	half := len(keys) / 2
	l.push(keys[half:])
	l.push(keys[:half])
	return store.Key{}, 0, false
}

// RetryBy makes a row that is set aside be tried again by a time.
func (l *List) RetryBy(key store.Key, at time.Duration) {
	if row := l.aside[key]; row != nil {
		row.until = min(row.until, at)
	}
}

// maxInARow is the number of refusals in a row from which on no row is at fault. The search for a row takes fewer.
const maxInARow = 40

// RefusesAll reports whether so many batches were refused in a row that no row of them can be at fault.
func (l *List) RefusesAll() bool { return l.inARow >= maxInARow }

// Reset forgets all rows.
func (l *List) Reset() { *l = List{} }

func compareKeys(a, b store.Key) int {
	return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.Name, b.Name))
}

func (l *List) push(keys []store.Key) {
	if l.suspects == nil {
		l.suspects = make(map[store.Key]bool)
	}
	l.groups = append(l.groups, slices.Clone(keys))
	for _, key := range keys {
		l.suspects[key] = true
	}
}

func (l *List) pop() []store.Key {
	last := len(l.groups) - 1
	keys := l.groups[last]
	l.groups, l.trying = l.groups[:last], false
	for _, key := range keys {
		delete(l.suspects, key)
	}
	return keys
}
