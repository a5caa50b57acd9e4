package provider

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// State is the state of the platform as a client observes it.
type State int

// States of the platform.
const (
	StateUp State = iota
	StateSlow
	StateDown
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"up", "slow", "down"}[s] }

const (
	// latencyWeight is the weight of the last call in the moving average of the latency. The average follows a change
	// within about ten calls.
	latencyWeight = 0.2
	// shedWhenSlow is how many users are shed once the mean latency reaches SlowAfter. One more user is shed for each
	// further multiple of SlowAfter.
	shedWhenSlow = 2
	// minFailures is the number of consecutive failures from which an outage is assumed, so that a single lost response
	// after an idle time does not count as one.
	minFailures = 3
	// probeInterval is the time without calls after which a user that is shed may send one, so that the end of an outage
	// is detected even if no other user calls.
	probeInterval = time.Second
)

// health derives the state of the platform from the calls of a client. It sends no calls.
type health struct {
	slowAfter, downAfter time.Duration
	logger               hclog.Logger

	mu       sync.Mutex
	latency  time.Duration
	failures int
	// failingSince is the start of the first call of the present series of failures.
	failingSince time.Time
	lastCall     time.Time
	lastState    State
}

func newHealth(o ClientOptions, logger hclog.Logger) *health {
	return &health{slowAfter: o.SlowAfter, downAfter: o.DownAfter, logger: logger}
}

func (h *health) recordResponse(now time.Time, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
	h.recordCall(now, latency)
}

func (h *health) recordFailure(now time.Time, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures == 0 {
		h.failingSince = now.Add(-latency)
	}
	h.failures++
	h.recordCall(now, latency)
}

func (h *health) recordCall(now time.Time, latency time.Duration) {
	h.lastCall = now
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
	if s := h.stateLocked(now); s != h.lastState {
		h.logger.Info("State of the platform changed.", "from", h.lastState, "to", s, "latency", h.latency)
		h.lastState = s
	}
}

func (h *health) state(now time.Time) State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stateLocked(now)
}

func (h *health) stateLocked(now time.Time) State {
	switch {
	case h.failures >= minFailures && now.Sub(h.failingSince) >= h.downAfter:
		return StateDown
	case h.latency >= h.slowAfter:
		return StateSlow
	}
	return StateUp
}

// shed reports whether calls of the user are shed.
func (h *health) shed(user User, now time.Time) bool {
	position := slices.Index(shedOrder, user)
	if position < 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.lastCall) > probeInterval {
		return false
	}
	switch h.stateLocked(now) {
	case StateDown:
		return true
	case StateSlow:
		return position < shedWhenSlow-1+int(h.latency/h.slowAfter)
	}
	return false
}
