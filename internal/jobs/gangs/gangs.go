// Package gangs finds room for the tasks of a gang, which start together or not at all.
//
// # Usage
//
//	for _, rack := range gangs.ByRack(workers, rackOf, preferred) {
//		if chosen := gangs.Spread(len(tasks), rack, fits); chosen != nil {
//			return chosen
//		}
//	}
//	instances := gangs.Shape{Request: request, Count: count}.Width(capacities)
package gangs

import (
	"maps"
	"slices"

	"github.com/chivetiller/chivetiller/work"
)

// Shape is what the width of a gang depends on.
type Shape struct {
	Request work.Resources
	Count   int
	// MaxPerWorker is the maximum number of its tasks on a worker, and 0 if there is none.
	MaxPerWorker int
}

// tasksOn returns how many of its tasks an instance of a capacity can hold.
func (g Shape) tasksOn(capacity work.Resources) int {
	n := int64(g.Count)
	if g.MaxPerWorker > 0 {
		n = min(n, int64(g.MaxPerWorker))
	}
	for _, r := range [...]struct{ has, needs int64 }{
		{capacity.CPU, g.Request.CPU}, {capacity.Memory, g.Request.Memory}, {capacity.GPU, g.Request.GPU},
	} {
		if r.needs > 0 {
			n = min(n, r.has/r.needs)
		}
	}
	return int(max(0, n))
}

// Width returns how many instances hold a gang, the first of those given, and 0 if all of them do not.
func (g Shape) Width(capacities []work.Resources) int {
	left := g.Count
	for i, capacity := range capacities {
		if left -= g.tasksOn(capacity); left <= 0 {
			return i + 1
		}
	}
	return 0
}

// Spread returns a worker for each of count tasks, the first that fit, and nil if there is not enough room. fits reports whether one more task
// fits on a worker beside n others of the gang.
func Spread[W comparable](count int, workers []W, fits func(w W, n int64) bool) []W {
	assigned := make(map[W]int64)
	chosen := make([]W, 0, count)
	for range count {
		i := slices.IndexFunc(workers, func(w W) bool { return fits(w, assigned[w]) })
		if i < 0 {
			return nil
		}
		assigned[workers[i]]++
		chosen = append(chosen, workers[i])
	}
	return chosen
}

// ByRack returns the workers of each rack, the preferred one first and the others by name.
func ByRack[W any](workers []W, rack func(W) string, preferred string) [][]W {
	racks := make(map[string][]W)
	for _, w := range workers {
		racks[rack(w)] = append(racks[rack(w)], w)
	}
	var groups [][]W
	if first, ok := racks[preferred]; ok {
		groups = append(groups, first)
		delete(racks, preferred)
	}
	for _, name := range slices.Sorted(maps.Keys(racks)) {
		groups = append(groups, racks[name])
	}
	return groups
}

// Last returns workers with those last that a condition holds for, in the same order otherwise.
func Last[W any](workers []W, last func(W) bool) []W {
	var back []W
	ordered := make([]W, 0, len(workers))
	for _, w := range workers {
		if last(w) {
			back = append(back, w)
		} else {
			ordered = append(ordered, w)
		}
	}
	return append(ordered, back...)
}
