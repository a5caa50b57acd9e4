// Package metrics exposes what an entry instance does to Prometheus.
//
// # Usage
//
//	set := metrics.NewSet(metrics.Sources{Pools: dispatcher.Stats, ...})
//	set.Request("counterQuote", "answered", 12*time.Millisecond)
//	mux.Handle("/metrics", set.Handler())
//
// Labels are class, pool, team, reason and state: names that operators configure or that the code fixes.
// Requests are not labelled by team, since teams times classes would exceed a scrape of 1 MB; the burn report has them.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "chivetiller"

// PoolStats is the state of a pool as one entry instance sees it.
type PoolStats struct {
	Pool string
	// Queued and Running count requests.
	Queued  int
	Running int
	// FreeSlots counts slots that this entry instance may use and does not.
	FreeSlots int
	// Usable, Quarantined and Leaving count endpoints.
	Usable      int
	Quarantined int
	Leaving     int
}

// TeamStats is what one entry instance holds of a team's upper limit.
type TeamStats struct {
	Team    string
	Held    int
	Running int
}

// ConfigStats is the state of the configuration.
type ConfigStats struct {
	Version uint64
	// Age is the time since the version was certainly current. It has no meaning if Known is false.
	Age   time.Duration
	Known bool
}

// Sources are read at each scrape. Those that are nil are left out.
type Sources struct {
	Pools  func() []PoolStats
	Teams  func() []TeamStats
	Config func() ConfigStats
	// Peers counts peers by state.
	Peers func() map[string]int
	// Duties counts the duties that this entry instance holds.
	Duties func() int
	// Instances counts the instances of all pools by state.
	Instances func() map[string]int
}

// Set holds the metrics of an entry instance.
type Set struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	faults   *prometheus.CounterVec
	extra    *prometheus.CounterVec
}

// NewSet returns the metrics of an entry instance, with the collectors of other parts.
func NewSet(sources Sources, others ...prometheus.Collector) *Set {
	s := &Set{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "requests_total",
			Help:      "Requests of callers by class and result. The result is answered, or the reason of the rejection or failure.",
		}, []string{"class", "result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "request_duration_seconds",
			Help:      "Time from the arrival of a request to its response, by class.",
			Buckets:   prometheus.ExponentialBuckets(0.001, 2.5, 11),
		}, []string{"class"}),
		faults: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "endpoint_faults_total",
			Help:      "Faulty responses of endpoints by kind.",
		}, []string{"kind"}),
		extra: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "extra_attempts_total",
			Help:      "Attempts at endpoints beyond the first of a request, by class and kind: retry or hedge.",
		}, []string{"class", "kind"}),
	}
	s.registry.MustRegister(
		s.requests, s.duration, s.faults, s.extra,
		newStateCollector(sources),
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	s.registry.MustRegister(others...)
	return s
}

// Request counts a request and its duration.
func (s *Set) Request(class, result string, duration time.Duration) {
	s.requests.WithLabelValues(class, result).Inc()
	s.duration.WithLabelValues(class).Observe(duration.Seconds())
}

// Fault counts a faulty response of an endpoint.
func (s *Set) Fault(kind string) {
	s.faults.WithLabelValues(kind).Inc()
}

// ExtraAttempt counts an attempt beyond the first of a request. The kind is "retry" or "hedge".
func (s *Set) ExtraAttempt(class, kind string) {
	s.extra.WithLabelValues(class, kind).Inc()
}

// Handler serves the metrics over HTTP.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Registry returns the registry, so that a program that embeds this package can add its own metrics.
func (s *Set) Registry() *prometheus.Registry { return s.registry }
