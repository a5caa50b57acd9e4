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

// callBuckets are histogram buckets for calls, as upper bounds in seconds. A store call takes 10 ms under normal load
// and 0.5 s when the store is slow.
var callBuckets = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// jobBuckets are histogram buckets for the stages of a job, as upper bounds in seconds. Latency targets lie between
// 1 and 10 s.
var jobBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3, 5, 8, 15, 30, 60}

// Jobs holds the metrics of a process that accepts and schedules jobs. It is safe for concurrent use.
type Jobs struct {
	registry *prometheus.Registry
	calls    *prometheus.HistogramVec
	store    *prometheus.HistogramVec
	stages   *prometheus.HistogramVec
}

// JobStats is the state of a process and its scheduler at a scrape.
type JobStats struct {
	// Leader is 1 while the process is the leader, and 0 otherwise. Term is the number of the current term.
	Leader float64
	Term   float64
	// ConfigVersion is the version of the configuration in force. ConfigAge is the time since it was last confirmed
	// to be the newest.
	ConfigVersion float64
	ConfigAge     time.Duration
	// Nodes counts the live processes that send heartbeats.
	Nodes float64
	// DroppedLines counts log lines that were dropped because the reader of the log was too slow.
	DroppedLines float64
	// Jobs counts jobs by state, Workers counts workers by state, and Runs counts starts and exits of tasks by event.
	Jobs    map[string]float64
	Workers map[string]float64
	Runs    map[string]float64
	// WaitingTasks counts the tasks of services that do not run, by reason, and LongestWaits is the longest time for which one of them has
	// not.
	WaitingTasks map[string]float64
	LongestWaits map[string]time.Duration
	// RefusedBatches counts the batches that the store refused in the current term. SinceStored is the time since a batch was stored,
	// and 0 if none waits.
	RefusedBatches float64
	SinceStored    time.Duration
	// EvacuatedFor is the time since the process has known that a data centre is evacuated, and EvacuationRuns counts the runs that are left
	// there.
	EvacuatedFor   map[string]time.Duration
	EvacuationRuns map[string]float64
	// Clients is what the clients of each listener hold.
	Clients map[string]ClientStats
	// Decisions counts the decisions of the parts of the scheduler that are switched by settings, by part and outcome.
	Decisions map[[2]string]float64
}

// NewJobs returns the metrics of a process. It calls source at each scrape.
func NewJobs(source func(ctx context.Context) JobStats) *Jobs {
	j := &Jobs{registry: prometheus.NewRegistry()}
	histogram := func(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
		j.registry.MustRegister(h)
		return h
	}
	j.calls = histogram("client_call_seconds", "Duration of client calls by kind and outcome.", callBuckets, "call", "outcome")
	j.store = histogram("store_call_seconds", "Duration of store calls by kind and outcome.", callBuckets, "call", "outcome")
	j.stages = histogram("job_stage_seconds", "Time from the acceptance of a job to its first start, and to the commit of its end to the store.", jobBuckets, "queue", "stage")
	j.registry.MustRegister(collectors.NewGoCollector(), &jobCollector{source: source})
	return j
}

// Handler serves the metrics.
func (j *Jobs) Handler() http.Handler {
	return promhttp.HandlerFor(j.registry, promhttp.HandlerOpts{})
}

// Call records the duration of a client call.
func (j *Jobs) Call(call, outcome string, took time.Duration) {
	j.calls.WithLabelValues(call, outcome).Observe(took.Seconds())
}

// ObserveStage records the time from the acceptance of a job until it reached a stage.
func (j *Jobs) ObserveStage(queue, stage string, after time.Duration) {
	j.stages.WithLabelValues(queue, stage).Observe(after.Seconds())
}

// InstrumentStore returns a store that forwards to s and records the duration and outcome of each call.
func (j *Jobs) InstrumentStore(s store.Store) store.Store { return &meteredStore{store: s, jobs: j} }

type meteredStore struct {
	store store.Store
	jobs  *Jobs
}

var _ store.Store = (*meteredStore)(nil)

func (m *meteredStore) observeCall(call string, start time.Duration, err error) {
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
	m.jobs.store.WithLabelValues(call, outcome).Observe((clock.Now() - start).Seconds())
}

// Commit implements [store.Store].
func (m *meteredStore) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	start := clock.Now()
	result, err := m.store.Commit(ctx, tx)
	m.observeCall("commit", start, err)
	return result, err
}

// Scan implements [store.Store].
func (m *meteredStore) Scan(ctx context.Context, table, partition, from, to string) (store.Rows, error) {
	start := clock.Now()
	rows, err := m.store.Scan(ctx, table, partition, from, to)
	m.observeCall("scan", start, err)
	return rows, err
}

// Partitions implements [store.Store].
func (m *meteredStore) Partitions(ctx context.Context, table string) (store.Partitions, error) {
	start := clock.Now()
	partitions, err := m.store.Partitions(ctx, table)
	m.observeCall("parts", start, err)
	return partitions, err
}

// Changes implements [store.Store].
func (m *meteredStore) Changes(ctx context.Context, table string, after uint64, maxWait time.Duration) (store.Rows, error) {
	start := clock.Now()
	rows, err := m.store.Changes(ctx, table, after, maxWait)
	m.observeCall("changes", start, err)
	return rows, err
}

// Names of the metrics about evacuations, which "chivetiller evacuation list" reads.
const (
	EvacuatedForName   = namespace + "_evacuation_since_seconds"
	EvacuationRunsName = namespace + "_evacuation_runs"
	DataCentreLabel    = "data_centre"
)

// scrapeTimeout is the time limit for reading the scheduler's state at a scrape.
const scrapeTimeout = 200 * time.Millisecond

// jobCollector reads the state of the scheduler at each scrape.
type jobCollector struct {
	source func(ctx context.Context) JobStats
}

var (
	descLeader    = prometheus.NewDesc(namespace+"_duty_held", "1 while the process is the leader.", nil, nil)
	descTerm      = prometheus.NewDesc(namespace+"_duty_tenure", "Number of the current leader term, counted over all processes.", nil, nil)
	descVersion   = prometheus.NewDesc(namespace+"_config_version", "Version of the configuration in force.", nil, nil)
	descAge       = prometheus.NewDesc(namespace+"_config_age_seconds", "Time since the configuration was last confirmed to be the newest.", nil, nil)
	descNodes     = prometheus.NewDesc(namespace+"_nodes_live", "Live processes that send heartbeats: all of a small fleet, the candidates for leadership of a large one.", nil, nil)
	descDropped   = prometheus.NewDesc(namespace+"_log_lines_dropped_total", "Log lines that were dropped because the reader of the log was too slow.", nil, nil)
	descJobs      = prometheus.NewDesc(namespace+"_jobs", "Jobs that the leader knows, by state.", []string{"state"}, nil)
	descWorkers   = prometheus.NewDesc(namespace+"_workers", "Workers that the leader knows, by state.", []string{"state"}, nil)
	descWaiting   = prometheus.NewDesc(namespace+"_service_tasks_waiting", "Tasks of services that do not run, by reason.", []string{"reason"}, nil)
	descLongest   = prometheus.NewDesc(namespace+"_service_tasks_longest_wait_seconds", "Longest time for which a task of a service has not run, by its present reason.", []string{"reason"}, nil)
	descRefused   = prometheus.NewDesc(namespace+"_batches_refused_total", "Batches of the leader that the store refused, in the current term.", nil, nil)
	descStored    = prometheus.NewDesc(namespace+"_batch_age_seconds", "Time since the leader has stored a batch, while another one waits.", nil, nil)
	descDecided   = prometheus.NewDesc(namespace+"_scheduler_decisions_total", "Decisions of the parts of the scheduler that are switched by settings, in the current term.", []string{"part", "outcome"}, nil)
	descEvacuated = prometheus.NewDesc(EvacuatedForName, "Time since this process has known that the data centre is evacuated.", []string{DataCentreLabel}, nil)
	descEvacRuns  = prometheus.NewDesc(EvacuationRunsName, "Runs that are left in an evacuated data centre, as the leader knows.", []string{DataCentreLabel}, nil)
	descRuns      = prometheus.NewDesc(namespace+"_runs_total", "Starts and exits of tasks in the current term.", []string{"event"}, nil)
)

// Describe implements [prometheus.Collector].
func (c *jobCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descLeader, descTerm, descVersion, descAge, descNodes, descDropped, descJobs, descWorkers, descRuns, descWaiting, descLongest, descRefused, descStored, descDecided, descEvacuated, descEvacRuns, descClients, descHeld, descDenied} {
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
	gauge(descLeader, s.Leader)
	gauge(descTerm, s.Term)
	gauge(descVersion, s.ConfigVersion)
	gauge(descAge, s.ConfigAge.Seconds())
	gauge(descNodes, s.Nodes)
	out <- prometheus.MustNewConstMetric(descDropped, prometheus.CounterValue, s.DroppedLines)
	gauge(descStored, s.SinceStored.Seconds())
	out <- prometheus.MustNewConstMetric(descRefused, prometheus.CounterValue, s.RefusedBatches)
	collectClients(out, s.Clients)
	for reason, n := range s.WaitingTasks {
		gauge(descWaiting, n, reason)
	}
	for reason, wait := range s.LongestWaits {
		gauge(descLongest, wait.Seconds(), reason)
	}
	for dataCentre, since := range s.EvacuatedFor {
		gauge(descEvacuated, since.Seconds(), dataCentre)
	}
	for dataCentre, n := range s.EvacuationRuns {
		gauge(descEvacRuns, n, dataCentre)
	}
	for state, n := range s.Jobs {
		gauge(descJobs, n, state)
	}
	for state, n := range s.Workers {
		gauge(descWorkers, n, state)
	}
	for decision, n := range s.Decisions {
		out <- prometheus.MustNewConstMetric(descDecided, prometheus.CounterValue, n, decision[0], decision[1])
	}
	for event, n := range s.Runs {
		out <- prometheus.MustNewConstMetric(descRuns, prometheus.CounterValue, n, event)
	}
}
