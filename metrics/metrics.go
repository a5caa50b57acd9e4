// Package metrics exports the metrics of entry instances and of scheduling processes to Prometheus.
//
// # Usage
//
//	set := metrics.NewSet(metrics.Sources{Pools: func() []metrics.PoolStats { ... }, ...})
//	set.Request("counterQuote", "answered", 12*time.Millisecond)
//	mux.Handle("/metrics", set.Handler())
//
// Label values are names that operators configure (class, pool, team) or that the code fixes (reason, state), so their
// number is bounded. Requests are not labelled by team: teams times classes would make a scrape larger than 1 MB.
// The burn report has the figures of each team.
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
	// FreeSlots counts the unused slots that this entry instance may use.
	FreeSlots int
	// Usable, Quarantined and Leaving count endpoints.
	Usable      int
	Quarantined int
	Leaving     int
}

// TeamStats is the part of a team's upper limit that one entry instance holds, and its requests in progress.
type TeamStats struct {
	Team    string
	Held    int
	Running int
}

// ConfigStats is the state of the configuration.
type ConfigStats struct {
	Version uint64
	// Age is the time since the version was last confirmed to be current. It is meaningless if Known is false.
	Age   time.Duration
	Known bool
}

// Sources are the functions that are called at each scrape. Metrics whose source is nil are left out.
type Sources struct {
	Pools  func() []PoolStats
	Teams  func() []TeamStats
	Config func() ConfigStats
	// Peers counts peers by state.
	Peers func() map[string]int
	// Duties counts the duties (control loops) that this entry instance holds.
	Duties func() int
	// Instances counts the instances of all pools by state.
	Instances func() map[string]int
	// Clients is what the clients of each listener hold.
	Clients func() map[string]ClientStats
}

// Set holds the metrics of an entry instance.
type Set struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	duration       *prometheus.HistogramVec
	endpointFaults *prometheus.CounterVec
	extraAttempts  *prometheus.CounterVec
}

// NewSet returns the metrics of an entry instance. It also registers the collectors of other packages, and panics if
// two of them collide.
func NewSet(sources Sources, others ...prometheus.Collector) *Set {
	s := &Set{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "requests_total",
			Help:      "Requests of callers by class and result. The result is answered, or the reason for the rejection or failure.",
		}, []string{"class", "result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "request_duration_seconds",
			Help:      "Time from the arrival of a request to its response, by class.",
			Buckets:   prometheus.ExponentialBuckets(0.001, 2.5, 11),
		}, []string{"class"}),
		endpointFaults: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "endpoint_faults_total",
			Help:      "Faulty responses of endpoints by kind.",
		}, []string{"kind"}),
		extraAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "extra_attempts_total",
			Help:      "Attempts after the first one of a request, by class and kind: retry or hedge.",
		}, []string{"class", "kind"}),
	}
	s.registry.MustRegister(
		s.requests, s.duration, s.endpointFaults, s.extraAttempts,
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

// Fault counts a faulty response of an endpoint under its kind.
func (s *Set) Fault(kind string) {
	s.endpointFaults.WithLabelValues(kind).Inc()
}

// ExtraAttempt counts an attempt after the first one of a request. The kind is "retry" or "hedge".
func (s *Set) ExtraAttempt(class, kind string) {
	s.extraAttempts.WithLabelValues(class, kind).Inc()
}

// Handler serves the metrics over HTTP.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Registry returns the registry, so that a program that embeds this package can add its own metrics.
func (s *Set) Registry() *prometheus.Registry { return s.registry }
