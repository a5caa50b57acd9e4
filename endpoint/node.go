package endpoint

import (
	"math"
	"math/bits"
	"time"
)

const (
	// windowOutcomes is the number of outcomes that are remembered of an endpoint.
	windowOutcomes = 64
	// failuresInRow is the least number of successive failures after which an endpoint is quarantined.
	failuresInRow = 6
	// maxFailuresInRow quarantines an endpoint also if all others fail.
	maxFailuresInRow = 40
	// chanceOfRow is the probability of a row of failures from which on the endpoint is blamed, and not
	// the requests. Requests of a team that fail everywhere must not close the pool to others.
	chanceOfRow = 0.001
	// recentFailures of the last recentOutcomes quarantine an endpoint also if some succeed, as long as
	// the others have less than othersFailing of failures.
	recentFailures = 12
	recentOutcomes = 16
	othersFailing  = 0.25
	recentMask     = 1<<recentOutcomes - 1
)

// node is the state of an endpoint.
type node struct {
	endpoint Endpoint
	zone     *zone
	// index is the position in zone.free, or -1.
	index    int
	inFlight int
	// stale is the number of attempts in flight that began under an earlier incarnation.
	stale int
	// peers is the number of requests that other entry instances run at the endpoint.
	peers int
	// outcomes holds a 1 for each failure among the last outcomes, the latest in the lowest bit.
	outcomes uint64
	// paused means that the endpoint gets one request, a probe, at resume and none before.
	paused bool
	resume time.Time
	// interval is the time until the next probe; it doubles with each probe.
	interval time.Duration
	// probing means that a probe has begun since the pause.
	probing bool
	// waiting is the position in zone.paused, or -1.
	waiting int
	// missing is when the endpoint disappeared from the list. It is zero while it is listed.
	missing time.Time
}

func (n *node) listed() bool { return n.missing.IsZero() && !n.endpoint.Leaving }

// open reports whether the endpoint can take a request without a probe.
func (n *node) open() bool { return n.listed() && !n.paused && n.inFlight < n.endpoint.Quota }

// load is the estimated use of the endpoint: own requests over the quota plus those of peers over all slots.
func (n *node) load() float64 {
	return float64(n.inFlight)/float64(n.endpoint.Quota) + float64(n.peers)/SlotsPerEndpoint
}

func (n *node) record(failed bool) {
	n.outcomes <<= 1
	if failed {
		n.outcomes |= 1
	}
}

// unhealthy reports whether the outcomes call for quarantine, given the failure rate of the others.
func (n *node) unhealthy(others float64) bool {
	row := bits.TrailingZeros64(^n.outcomes)
	if row >= maxFailuresInRow || row >= failuresInRow && math.Pow(others, float64(row)) < chanceOfRow {
		return true
	}
	return others < othersFailing && bits.OnesCount64(n.outcomes&recentMask) >= recentFailures
}

// serving reports whether the endpoint gets new work.
func (n *node) serving() bool { return n.listed() && !n.paused }

// failures returns the number of failures among the remembered outcomes of an endpoint that serves.
func (n *node) failures() int {
	if !n.serving() {
		return 0
	}
	return bits.OnesCount64(n.outcomes)
}

// end ends the pause. Older outcomes are kept, because they tell whether requests fail everywhere.
func (n *node) end() {
	n.outcomes &^= recentMask
	n.paused, n.probing, n.interval = false, false, 0
}

// freeSlots returns the number of slots that can be taken without a probe.
func (n *node) freeSlots() int {
	if !n.open() {
		return 0
	}
	return n.endpoint.Quota - n.inFlight
}

// zone holds the endpoints of a data centre.
type zone struct {
	name string
	// free holds the nodes that are open, in no order.
	free []*node
	// paused is a heap by resume of the paused nodes that are listed.
	paused pausedHeap
}

// place puts the node into the lists where it belongs now.
func (z *zone) place(n *node) {
	switch {
	case n.open() && n.index < 0:
		n.index = len(z.free)
		z.free = append(z.free, n)
	case !n.open() && n.index >= 0:
		last := len(z.free) - 1
		z.free[n.index] = z.free[last]
		z.free[n.index].index = n.index
		z.free[last] = nil
		z.free = z.free[:last]
		n.index = -1
	}
	z.paused.place(n)
}

// pausedHeap orders nodes by the time of their next probe.
type pausedHeap []*node

// Len implements heap.Interface.
func (h pausedHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h pausedHeap) Less(i, j int) bool { return h[i].resume.Before(h[j].resume) }

// Swap implements heap.Interface.
func (h pausedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].waiting, h[j].waiting = i, j
}

// Push implements heap.Interface.
func (h *pausedHeap) Push(x any) {
	n := x.(*node)
	n.waiting = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *pausedHeap) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	n.waiting = -1
	return n
}
