package provider

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the metrics of one client.
type metrics struct {
	calls      *prometheus.CounterVec
	collectors []prometheus.Collector
}

func newMetrics(c *Client) *metrics {
	m := &metrics{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chivetiller_platform_calls_total",
		Help: "Calls to the platform by user, kind and outcome.",
	}, []string{"user", "kind", "outcome"})}
	m.collectors = []prometheus.Collector{
		m.calls,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chivetiller_platform_state",
			Help: "State of the platform: 0 is up, 1 is slow, 2 is down.",
		}, func() float64 { return float64(c.State()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chivetiller_platform_latency_seconds",
			Help: "Mean latency of calls to the platform.",
		}, func() float64 { return c.health.meanLatency().Seconds() }),
	}
	return m
}

// Collectors returns the metrics of the client.
func (c *Client) Collectors() []prometheus.Collector { return c.metrics.collectors }

func (m *metrics) count(user User, k kind, err error) {
	outcome := "ok"
	switch {
	case err == nil, errors.Is(err, ErrNotFound):
	case errors.Is(err, ErrConflict):
		outcome = "conflict"
	case errors.Is(err, ErrOverBudget):
		outcome = "refused"
	case errors.Is(err, ErrUnknownOutcome):
		outcome = "unknown"
	default:
		outcome = "unavailable"
	}
	m.calls.WithLabelValues(string(user), k.String(), outcome).Inc()
}

func (h *health) meanLatency() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latency
}
