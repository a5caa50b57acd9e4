package gang

import (
	"maps"
	"slices"
)

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
