package metrics

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/store"
)

// callBuckets are the upper bounds for calls in seconds. A calm call of the store takes 10 ms and a slow one 0.5 s.
var callBuckets = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// jobBuckets are the upper bounds for the stages of a job in seconds. Objectives lie between 1 and 10 s.
var jobBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3, 5, 8, 15, 30, 60}

// Jobs are the metrics of a process that takes and schedules jobs. It is safe for concurrent use.
type Jobs struct {
	registry *prometheus.Registry
	calls    *prometheus.HistogramVec
	store    *prometheus.HistogramVec
	stages   *prometheus.HistogramVec
}

// JobStats is the state of the scheduler of a process.
type JobStats struct {
	// Holds is 1 while the process holds the duty, and Tenure counts the terms.
	Holds  float64
	Tenure float64
	// ConfigVersion and ConfigAge are the configuration in force and the time since it was known to be the newest.
	ConfigVersion float64
	ConfigAge     time.Duration
	// Nodes counts the live processes.
	Nodes float64
	// DroppedLines counts log lines that a slow reader did not take.
	DroppedLines float64
	// Jobs counts jobs by state, Workers workers by state, and Runs ends and starts by kind.
	Jobs    map[string]float64
	Workers map[string]float64
	Runs    map[string]float64
}

// NewJobs returns the metrics over a source that is read at each scrape.
func NewJobs(source func(ctx context.Context) JobStats) *Jobs {
	j := &Jobs{registry: prometheus.NewRegistry()}
	histogram := func(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
		j.registry.MustRegister(h)
		return h
	}
	j.calls = histogram("client_call_seconds", "Calls of clients by kind and outcome.", callBuckets, "call", "outcome")
	j.store = histogram("store_call_seconds", "Calls to the store by kind and outcome.", callBuckets, "call", "outcome")
	j.stages = histogram("job_stage_seconds", "Time from the acceptance of a job to its first start and to the storing of its end.", jobBuckets, "queue", "stage")
	j.registry.MustRegister(collectors.NewGoCollector(), &jobCollector{source: source})
	return j
}

// Handler serves the metrics.
func (j *Jobs) Handler() http.Handler {
	return promhttp.HandlerFor(j.registry, promhttp.HandlerOpts{})
}

// Call notes a call of a client.
func (j *Jobs) Call(call, outcome string, took time.Duration) {
	j.calls.WithLabelValues(call, outcome).Observe(took.Seconds())
}

// ObserveStage records that a job has reached a stage.
func (j *Jobs) ObserveStage(queue, stage string, after time.Duration) {
	j.stages.WithLabelValues(queue, stage).Observe(after.Seconds())
}

// Store returns a store whose calls are noted.
func (j *Jobs) Store(s store.Store) store.Store { return &meteredStore{store: s, jobs: j} }

type meteredStore struct {
	store store.Store
	jobs  *Jobs
}

var _ store.Store = (*meteredStore)(nil)

func (m *meteredStore) note(call string, since time.Duration, err error) {
	outcome := "ok"
	switch {
	case errors.Is(err, store.ErrConflict):
		outcome = "conflict"
	case errors.Is(err, store.ErrNotDone):
		outcome = "notDone"
	case errors.Is(err, store.ErrHistoryGone):
		outcome = "historyGone"
	case err != nil:
		outcome = "unknown"
	}
	m.jobs.store.WithLabelValues(call, outcome).Observe((clock.Now() - since).Seconds())
}

// Commit implements [store.Store].
func (m *meteredStore) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	since := clock.Now()
	result, err := m.store.Commit(ctx, tx)
	m.note("commit", since, err)
	return result, err
}

// Scan implements [store.Store].
func (m *meteredStore) Scan(ctx context.Context, table, part, from, to string) (store.Rows, error) {
	since := clock.Now()
	rows, err := m.store.Scan(ctx, table, part, from, to)
	m.note("scan", since, err)
	return rows, err
}

// Partitions implements [store.Store].
func (m *meteredStore) Partitions(ctx context.Context, table string) ([]string, error) {
	since := clock.Now()
	parts, err := m.store.Partitions(ctx, table)
	m.note("parts", since, err)
	return parts, err
}

// Changes implements [store.Store].
func (m *meteredStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Rows, error) {
	since := clock.Now()
	rows, err := m.store.Changes(ctx, table, after, wait)
	m.note("changes", since, err)
	return rows, err
}

// scrapeTimeout bounds the reading of the scheduler's state at a scrape.
const scrapeTimeout = 200 * time.Millisecond

// jobCollector reads the state of the scheduler at each scrape.
type jobCollector struct {
	source func(ctx context.Context) JobStats
}

var (
	descHolds   = prometheus.NewDesc(namespace+"_duty_held", "1 while the process holds the duty.", nil, nil)
	descTenure  = prometheus.NewDesc(namespace+"_duty_tenure", "Term of the duty, counted over all holders.", nil, nil)
	descVersion = prometheus.NewDesc(namespace+"_config_version", "Version of the configuration in force.", nil, nil)
	descAge     = prometheus.NewDesc(namespace+"_config_age_seconds", "Time since the configuration was known to be the newest.", nil, nil)
	descNodes   = prometheus.NewDesc(namespace+"_nodes_live", "Live processes.", nil, nil)
	descDropped = prometheus.NewDesc(namespace+"_log_lines_dropped_total", "Log lines that a slow reader did not take.", nil, nil)
	descJobs    = prometheus.NewDesc(namespace+"_jobs", "Jobs that the holder knows, by state.", []string{"state"}, nil)
	descWorkers = prometheus.NewDesc(namespace+"_workers", "Workers that the holder knows, by state.", []string{"state"}, nil)
	descRuns    = prometheus.NewDesc(namespace+"_runs_total", "Starts and ends of tasks in the present term.", []string{"event"}, nil)
)

// Describe implements [prometheus.Collector].
func (c *jobCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descHolds, descTenure, descVersion, descAge, descNodes, descDropped, descJobs, descWorkers, descRuns} {
		out <- d
	}
}

// Collect implements [prometheus.Collector].
func (c *jobCollector) Collect(out chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	s := c.source(ctx)
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(descHolds, s.Holds)
	gauge(descTenure, s.Tenure)
	gauge(descVersion, s.ConfigVersion)
	gauge(descAge, s.ConfigAge.Seconds())
	gauge(descNodes, s.Nodes)
	out <- prometheus.MustNewConstMetric(descDropped, prometheus.CounterValue, s.DroppedLines)
	for state, n := range s.Jobs {
		gauge(descJobs, n, state)
	}
	for state, n := range s.Workers {
		gauge(descWorkers, n, state)
	}
	for event, n := range s.Runs {
		out <- prometheus.MustNewConstMetric(descRuns, prometheus.CounterValue, n, event)
	}
}
