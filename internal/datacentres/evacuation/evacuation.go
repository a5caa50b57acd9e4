// Package evacuation knows which data centres the operator evacuates, and decides what becomes of a run in one of them. In an evacuated
// data centre nothing is started. What runs there moves out if it can go on elsewhere, and finishes otherwise.
//
// # Usage
//
//	var rows evacuation.Rows
//	rows.Replace(names, version, now) // all rows, as of a version of the store
//	rows.Apply("dc-1", true, rowVersion, now)
//	rows.Advance(version)
//	if set := rows.Set(); set.Contains("dc-1") {
//		switch evacuation.Run{Lasting: true}.Decide(hasRoom, mayStop) { ... }
//	}
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Set is a set of evacuated data centres. It does not change; the zero value is empty. Times are monotonic times of one process.
type Set struct{ since map[string]time.Duration }

// NewSet returns a set of data centres that are evacuated since a time.
func NewSet(since time.Duration, dataCentres ...string) Set {
	s := Set{since: make(map[string]time.Duration, len(dataCentres))}
	for _, name := range dataCentres {
		s.since[name] = since
	}
	return s
}

// Contains reports whether a data centre is evacuated.
func (s Set) Contains(dataCentre string) bool {
	_, ok := s.since[dataCentre]
	return ok
}

// Len returns the number of evacuated data centres.
func (s Set) Len() int { return len(s.since) }

// Names returns the evacuated data centres in order.
func (s Set) Names() []string { return slices.Sorted(maps.Keys(s.since)) }

// Since returns the time at which this process learned that a data centre is evacuated, and 0 if it is not.
func (s Set) Since(dataCentre string) time.Duration { return s.since[dataCentre] }

// Without returns the data centres of the set that another one lacks, in order.
func (s Set) Without(other Set) []string {
	return slices.DeleteFunc(s.Names(), other.Contains)
}

// Rows follows the rows that name evacuated data centres. Reads may overlap: what a read tells is ignored if the rows are known as of a
// later version. The zero value knows of no evacuation.
type Rows struct {
	set Set
	// version is the version of the store up to which all changes are known, and changed that of the latest change of each data centre.
	version uint64
	changed map[string]uint64
}

// Set returns the evacuated data centres.
func (r *Rows) Set() Set { return r.set }

// Apply records that the row of a data centre was written or removed with a version of the store. It reports whether that changes the set.
func (r *Rows) Apply(dataCentre string, evacuated bool, version uint64, now time.Duration) bool {
	if version <= r.version || version < r.changed[dataCentre] {
		return false
	}
	if r.changed == nil {
		r.changed = make(map[string]uint64)
	}
	r.changed[dataCentre] = version
	if evacuated == r.set.Contains(dataCentre) {
		return false
	}
	since := maps.Clone(r.set.since)
	if evacuated {
		if since == nil {
			since = make(map[string]time.Duration)
		}
		since[dataCentre] = now
	} else {
		delete(since, dataCentre)
	}
	r.set = Set{since: since}
	return true
}

// Advance records that all changes up to a version of the store have been applied.
func (r *Rows) Advance(version uint64) {
	r.version = max(r.version, version)
	maps.DeleteFunc(r.changed, func(_ string, changed uint64) bool { return changed <= r.version })
}

// Replace records that these are all evacuated data centres as of a version of the store. It reports whether that changes the set.
func (r *Rows) Replace(dataCentres []string, version uint64, now time.Duration) bool {
	if version < r.version {
		return false
	}
	next := NewSet(now, dataCentres...)
	for name, since := range r.set.since {
		if next.Contains(name) {
			next.since[name] = since
		}
	}
	// Changes of later versions are known already if another read has returned them.
	for name, at := range r.changed {
		if at <= version {
			continue
		}
		if since, evacuated := r.set.since[name]; evacuated {
			next.since[name] = since
		} else {
			delete(next.since, name)
		}
	}
	changed := len(next.Without(r.set))+len(r.set.Without(next)) > 0
	r.set = next
	r.Advance(version)
	return changed
}

// Decision is what becomes of a run in an evacuated data centre.
type Decision int

// Decisions.
const (
	// Finish leaves a run to end by itself: it could not go on elsewhere.
	Finish Decision = iota
	// WaitForRoom leaves a run until a worker of another data centre has room for it.
	WaitForRoom
	// WaitForBudget leaves a run until the disruption budget of its step allows stopping it.
	WaitForBudget
	// MoveOut stops a run, so that it goes on elsewhere.
	MoveOut
)

// String returns the name of the decision.
func (d Decision) String() string {
	return [...]string{"finish", "waitForRoom", "waitForBudget", "moveOut"}[d]
}

// Run is what the decision about a run depends on.
type Run struct {
	// Lasting means that the run does not end by itself, and Resumable that it goes on from a checkpoint after a stop.
	Lasting, Resumable bool
}

// Decide returns what becomes of the run. hasRoom reports whether another data centre has room for it, and mayStop whether the disruption
// budget allows a stop; it is asked last, since it may cost a call to a worker.
func (r Run) Decide(hasRoom, mayStop func() bool) Decision {
	switch {
	case !r.Lasting && !r.Resumable:
		return Finish
	case !hasRoom():
		return WaitForRoom
	case !mayStop():
		return WaitForBudget
	}
	return MoveOut
}
