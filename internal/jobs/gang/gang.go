// Package gang tells how many instances a gang needs, and finds room for its tasks. All of them start together or not at all, so that it
// needs the instances at once.
//
// # Usage
//
//	shape := gang.Shape{Request: request, Count: tasks, MaxPerWorker: 2}
//	if shape.Width(capacities) == 0 {
//		// It does not fit on all of them together.
//	}
//	for _, rack := range gang.ByRack(workers, rackOf, preferred) {
//		if chosen := gang.Spread(len(tasks), rack, fits); chosen != nil {
//			return chosen
//		}
//	}
package gang

import "github.com/chivetiller/chivetiller/work"

// Shape is what the width of a gang depends on.
type Shape struct {
	Request             work.Resources
	Count, MaxPerWorker int
}

// TasksOn returns how many of its tasks an instance of a capacity can hold.
func (g Shape) TasksOn(capacity work.Resources) int {
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
		if left -= g.TasksOn(capacity); left <= 0 {
			return i + 1
		}
	}
	return 0
}
