// Package throttling limits the speed of best-effort tasks by the latency of the services beside them on a worker.
//
// # Usage
//
//	var services throttling.Services
//	services.Add(tail, target) // for each service on the worker
//	limit = services.Limit(limit, sinceLastChange)
package throttling

import "time"

const (
	// FullSpeed is full speed in percent. A service task that reports it is at work; as a limit it lets a best-effort task use all left-over
	// capacity.
	FullSpeed = 100
	// UnknownSpeed means that the limit in force at the worker is not known.
	UnknownSpeed = -1
	// Step is the step, in percent, by which best-effort tasks are sped up.
	Step = 25
	// Interval is the minimum time between two steps, so that the load after the last one is known.
	Interval = 1500 * time.Millisecond
	// speedUpBelow is the share of the latency target below which they are sped up again.
	speedUpBelow = 0.6
)

// Services tells how the services of a worker meet their latency targets. The zero value is that of a worker without services.
type Services struct{ over, near bool }

// Add adds a service with its latency and its target.
func (s *Services) Add(tail, target time.Duration) {
	s.over = s.over || tail > target
	s.near = s.near || float64(tail) > speedUpBelow*float64(target)
}

// Limit returns the limit of a best-effort task that has a limit now. sinceChange is the time since a limit was changed on the worker.
func (s *Services) Limit(limit int, sinceChange time.Duration) int {
	switch {
	case s.over || limit == UnknownSpeed:
		return 0
	case !s.near && limit < FullSpeed && sinceChange > Interval:
		return min(FullSpeed, limit+Step)
	}
	return limit
}
