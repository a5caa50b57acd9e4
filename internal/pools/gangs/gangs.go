// Package gangs tells how many instances a gang needs, whose tasks start together.
//
// # Usage
//
//	shape := gangs.Shape{Request: work.Resources{CPU: 2000}, Count: 8, MaxPerWorker: 2}
//	instances := shape.Width(capacities)
package gangs

import "github.com/chivetiller/chivetiller/work"

// Shape is what the width of a gang depends on.
type Shape struct {
	Request             work.Resources
	Count, MaxPerWorker int
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
