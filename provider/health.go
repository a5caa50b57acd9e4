package provider

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// State is the state of the store as a client meets it.
type State int

// States of the store.
const (
	StateUp State = iota
	StateSlow
	StateDown
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"up", "slow", "down"}[s] }

const (
	// latencyWeight is the weight of one call in the mean latency. About ten calls change it.
	latencyWeight = 0.2
	// shedWhenSlow is how many users are refused once the store is slow. One more follows for each further
	// multiple of the latency.
	shedWhenSlow = 2
	// minFailures keeps a single lost response after an idle time from counting as an outage.
	minFailures = 3
	// probeInterval is the time without calls after which users that are shed may send one, so that the
	// end of an outage is seen even if nobody else calls.
	probeInterval = time.Second
)

// health observes the calls of a client. It sends none itself.
type health struct {
	slowAfter, downAfter time.Duration
	logger               hclog.Logger

	mu       sync.Mutex
	latency  time.Duration
	failures int
	// failing is when the first of the failures began.
	failing time.Time
	called  time.Time
	last    State
}

func newHealth(o ClientOptions, logger hclog.Logger) *health {
	return &health{slowAfter: o.SlowAfter, downAfter: o.DownAfter, logger: logger}
}

func (h *health) responded(now time.Time, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
	h.observe(now, latency)
}

func (h *health) failed(now time.Time, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures == 0 {
		h.failing = now.Add(-latency)
	}
	h.failures++
	h.observe(now, latency)
}

func (h *health) observe(now time.Time, latency time.Duration) {
	h.called = now
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
	if s := h.stateLocked(now); s != h.last {
		h.logger.Info("State of the platform changed.", "from", h.last, "to", s, "latency", h.latency)
		h.last = s
	}
}

func (h *health) state(now time.Time) State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stateLocked(now)
}

func (h *health) stateLocked(now time.Time) State {
	switch {
	case h.failures >= minFailures && now.Sub(h.failing) >= h.downAfter:
		return StateDown
	case h.latency >= h.slowAfter:
		return StateSlow
	}
	return StateUp
}

// shed reports whether calls of the user are refused.
func (h *health) shed(user User, now time.Time) bool {
	position := slices.Index(shedOrder, user)
	if position < 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.called) > probeInterval {
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
