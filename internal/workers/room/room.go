// Package room computes when a worker has room for a task.
//
// # Usage
//
//	left, ok := room.Soonest(free, need, []room.Ending{{Left: time.Second, Frees: charged}})
package room

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

// Ending is the expected end of a run.
type Ending struct {
	Left  time.Duration
	Frees work.Resources
}

// Soonest returns the time until a need fits into what is free, which grows with each ending. It reports false if it does not fit after all of
// them. It sorts the endings.
func Soonest(free, need work.Resources, endings []Ending) (time.Duration, bool) {
	if need.Fits(free) {
		return 0, true
	}
	slices.SortFunc(endings, func(a, b Ending) int { return cmp.Compare(a.Left, b.Left) })
	for _, e := range endings {
		if free = free.Plus(e.Frees); need.Fits(free) {
			return e.Left, true
		}
	}
	return 0, false
}
