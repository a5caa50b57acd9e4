package endpoint

import (
	"math"
	"math/bits"
	"time"
)

const (
	// outcomeWindow is the number of last outcomes that are recorded for an endpoint.
	outcomeWindow = 64
	// minFailureStreak is the least number of consecutive failures for which an endpoint is quarantined.
	minFailureStreak = 6
	// maxFailureStreak is the number of consecutive failures for which an endpoint is quarantined even if all
	// others fail too.
	maxFailureStreak = 40
	// maxStreakProbability is the probability of a failure streak, by the failure rate of the other endpoints,
	// below which the streak is attributed to the endpoint and not to the requests. Requests of one team that
	// fail everywhere must not quarantine the endpoints that other teams need.
	maxStreakProbability = 0.001
	// maxRecentFailures is the number of failures among the last recentOutcomeWindow outcomes for which an
	// endpoint is quarantined although some requests succeed. It applies only while the failure rate of the
	// others is below maxOthersFailureRate.
	maxRecentFailures    = 12
	recentOutcomeWindow  = 16
	maxOthersFailureRate = 0.25
	recentOutcomeMask    = 1<<recentOutcomeWindow - 1
)

// endpointState is the state of an endpoint.
type endpointState struct {
	endpoint   Endpoint
	dataCentre *dataCentreEndpoints
	// availableIndex is the position in dataCentre.available, or -1.
	availableIndex int
	inFlight       int
	// staleInFlight is the number of attempts in flight that began under an earlier incarnation.
	staleInFlight int
	// peerInFlight is the number of requests that other entry instances run at the endpoint.
	peerInFlight int
	// failureBits holds the last outcomes: a 1 for each failure, with the latest outcome in the lowest bit.
	failureBits uint64
	// quarantined means that the endpoint gets no request until nextProbe, and then one as a probe.
	quarantined bool
	nextProbe   time.Time
	// probeInterval is the time until the next probe, before jitter. It doubles with each probe.
	probeInterval time.Duration
	// probing means that a probe has been sent since the quarantine began.
	probing bool
	// probeIndex is the position in dataCentre.quarantined, or -1.
	probeIndex int
	// unlistedSince is the time at which the endpoint disappeared from the list. It is zero while the endpoint
	// is listed.
	unlistedSince time.Time
}

// listed reports whether the endpoint is in the list and not leaving.
func (e *endpointState) listed() bool { return e.unlistedSince.IsZero() && !e.endpoint.Leaving }

// available reports whether the endpoint can take a request without a probe.
func (e *endpointState) available() bool {
	return e.listed() && !e.quarantined && e.inFlight < e.endpoint.Quota
}

// load returns the estimated load of the endpoint: the requests of this entry instance over its quota, plus
// those of peers over all slots.
func (e *endpointState) load() float64 {
	return float64(e.inFlight)/float64(e.endpoint.Quota) + float64(e.peerInFlight)/SlotsPerEndpoint
}

// recordOutcome adds an outcome to the window.
func (e *endpointState) recordOutcome(failed bool) {
	e.failureBits <<= 1
	if failed {
		e.failureBits |= 1
	}
}

// shouldQuarantine reports whether the recorded outcomes require a quarantine, given the failure rate of the
// other endpoints.
func (e *endpointState) shouldQuarantine(othersFailureRate float64) bool {
	streak := bits.TrailingZeros64(^e.failureBits)
	if streak >= maxFailureStreak || streak >= minFailureStreak && math.Pow(othersFailureRate, float64(streak)) < maxStreakProbability {
		return true
	}
	return othersFailureRate < maxOthersFailureRate && bits.OnesCount64(e.failureBits&recentOutcomeMask) >= maxRecentFailures
}

// receivesWork reports whether the endpoint gets new work.
func (e *endpointState) receivesWork() bool { return e.listed() && !e.quarantined }

// failureCount returns the number of recorded failures, or 0 if the endpoint gets no new work.
func (e *endpointState) failureCount() int {
	if !e.receivesWork() {
		return 0
	}
	return bits.OnesCount64(e.failureBits)
}

// endQuarantine ends the quarantine and clears the recent outcomes. Older outcomes are kept, because they tell
// whether requests fail at all endpoints.
func (e *endpointState) endQuarantine() {
	e.failureBits &^= recentOutcomeMask
	e.quarantined, e.probing, e.probeInterval = false, false, 0
}

// freeSlots returns the number of slots that can be taken without a probe.
func (e *endpointState) freeSlots() int {
	if !e.available() {
		return 0
	}
	return e.endpoint.Quota - e.inFlight
}

// dataCentreEndpoints holds the endpoints of a data centre.
type dataCentreEndpoints struct {
	name string
	// available holds the endpoints that can take a request without a probe, in no order.
	available []*endpointState
	// quarantined is a heap of the listed endpoints that wait for a probe.
	quarantined probeHeap
}

// updateLists adds the endpoint to the lists that match its state, and removes it from the others.
func (d *dataCentreEndpoints) updateLists(e *endpointState) {
	switch {
	case e.available() && e.availableIndex < 0:
		e.availableIndex = len(d.available)
		d.available = append(d.available, e)
	case !e.available() && e.availableIndex >= 0:
		last := len(d.available) - 1
		d.available[e.availableIndex] = d.available[last]
		d.available[e.availableIndex].availableIndex = e.availableIndex
		d.available[last] = nil
		d.available = d.available[:last]
		e.availableIndex = -1
	}
	d.quarantined.update(e)
}

// probeHeap is a heap of endpoints by the time of their next probe.
type probeHeap []*endpointState

// Len implements heap.Interface.
func (h probeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h probeHeap) Less(i, j int) bool { return h[i].nextProbe.Before(h[j].nextProbe) }

// Swap implements heap.Interface.
func (h probeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].probeIndex, h[j].probeIndex = i, j
}

// Push implements heap.Interface.
func (h *probeHeap) Push(x any) {
	e := x.(*endpointState)
	e.probeIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *probeHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.probeIndex = -1
	return e
}
