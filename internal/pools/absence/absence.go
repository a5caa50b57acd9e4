// Package absence tells whether an instance that the lists of the platform lack does not exist any more. A single list may lack an instance
// that has just joined, or that has changed its place between two pages of the list.
//
// # Usage
//
//	var a absence.Absence
//	if began, gone := a.Record(listedAt); gone {
//		// Log that the instance does not exist.
//	}
//	if a.Proven() { ... }
package absence

import "time"

// MinTime is the time for which the lists have to lack an instance.
const MinTime = 1500 * time.Millisecond

// Absence is the time for which the lists have lacked an instance, from the first such list to the latest. The zero value is that of an
// instance that no list has lacked.
type Absence struct {
	first, latest time.Duration
	begun, gone   bool
}

// Record records that a list of a time lacks the instance. It reports whether it is the first one, and whether it is the first one that proves
// that the instance does not exist any more.
func (a *Absence) Record(at time.Duration) (began, gone bool) {
	if !a.begun {
		a.begun, a.first, began = true, at, true
	}
	a.latest = at
	gone = a.Proven() && !a.gone
	a.gone = a.gone || gone
	return began, gone
}

// Since returns the time of the first list.
func (a *Absence) Since() time.Duration { return a.first }

// Proven reports whether the instance does not exist any more.
func (a Absence) Proven() bool { return a.latest-a.first >= MinTime }
