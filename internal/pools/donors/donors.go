// Package donors chooses the instances that move to a pool.
//
// # Usage
//
//	list := donors.New(inUse, spare)
//	for id := list.Choose(excess); id != ""; id = list.Choose(excess) { ... }
package donors

import (
	"cmp"
	"slices"
)

// Donor is an instance that can move to another pool, and the number of tasks that run on it.
type Donor struct {
	Instance, Pool string
	Runs           int
}

// List lists the instances that can move, each once in a plan.
type List struct {
	// inUse holds those of pools with an excess, the emptiest first, and spare those that are switched off.
	inUse []Donor
	spare []string
}

// New returns a list of instances that are in use, and of others that are switched off. It sorts the former.
func New(inUse []Donor, spare []string) *List {
	slices.SortStableFunc(inUse, func(a, b Donor) int { return cmp.Compare(a.Runs, b.Runs) })
	return &List{inUse: inUse, spare: spare}
}

// InUse returns the instances in use that were not chosen, the emptiest first.
func (l *List) InUse() []Donor { return l.inUse }

// Choose returns the instance whose move costs least, and "" if there is none: an empty one of a pool with an excess, one that is
// switched off, or one that will be empty soon. It takes the instance off the list and its pool's excess.
func (l *List) Choose(excess map[string]int) string {
	for len(l.inUse) > 0 && excess[l.inUse[0].Pool] <= 0 {
		l.inUse = l.inUse[1:]
	}
	if len(l.spare) > 0 && (len(l.inUse) == 0 || l.inUse[0].Runs > 0) {
		id := l.spare[0]
		l.spare = l.spare[1:]
		return id
	}
	if len(l.inUse) == 0 {
		return ""
	}
	first := l.inUse[0]
	l.inUse = l.inUse[1:]
	excess[first.Pool]--
	return first.Instance
}
