package crashloop

import (
	"slices"
	"time"
)

const (
	// LikelyShare is the share of the workers of a pool that may be down because of tasks that are likely to crash them. The rest is for
	// tasks that come while these are down.
	LikelyShare = 0.25
	// SpareLikelyShare is LikelyShare for workers that no other task can use.
	SpareLikelyShare = 0.5
	// OverdueLikelyShare is SpareLikelyShare if a task has waited for OverdueLikelyWait.
	OverdueLikelyShare = 0.75
	// OverdueLikelyWait is longer than a worker is down after a crash. Tasks that wait for longer do so behind others.
	OverdueLikelyWait = 5 * time.Second
	// EmptyWorkerWait is how long a task that is likely to crash its worker waits for one that runs nothing.
	EmptyWorkerWait = 2 * time.Second
)

// Sites holds where workers crashed under a task in this term. A nil Sites is that of a task without crashes.
type Sites struct {
	// Addresses are those of workers that were not known to have survived the start, and LateAddresses those of the others.
	Addresses, LateAddresses []string
	// Untelling counts the crashes that tell nothing of the task.
	Untelling int
	// SilentRuns holds the numbers of the runs whose workers fell silent, and of which nothing is known since.
	SilentRuns []int
	// Latest is the time of the last crash, or of the last worker that was found to be silent.
	Latest time.Duration
}

// Add adds the address of a worker that has crashed.
func (s *Sites) Add(address string, late bool) {
	list := &s.Addresses
	if late {
		list = &s.LateAddresses
	}
	if !slices.Contains(*list, address) {
		*list = append(*list, address)
	}
}

// Crashed reports whether a worker has crashed at an address under the task, which may be the cause.
func (s *Sites) Crashed(address string) bool {
	return s != nil && slices.Contains(s.Addresses, address)
}

// Repeated reports whether a crash at an address is not the first one there. Crashes long after a start are told apart from others.
func (s *Sites) Repeated(address string, late bool) bool {
	return s.Crashed(address) || s != nil && late && slices.Contains(s.LateAddresses, address)
}

// MayCrashByItself reports whether the task waits until a worker has lived for a while, since workers at its address crashed again and
// again.
func (s *Sites) MayCrashByItself(address string, lived time.Duration) bool {
	return s.Repeated(address, true) && lived < RequiredLife(s.Untelling)
}
