// Package scheduler decides which task runs where and when, for all pools of one duty. One process holds
// the duty at a time. Its core takes events and gives orders and has no sockets; the engine around it
// talks to workers, instances and the store.
//
// # Usage
//
//	core := scheduler.NewCore(scheduler.Options{Bounds: bounds, Fence: fence, Tenure: tenure})
//	core.AddJob(job, progress, storeNow)
//	for _, order := range core.Schedule(now) { ... }
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// Options are the options of a core.
type Options struct {
	Bounds Bounds
	// Fence is the fencing token of the duty.
	Fence uint64
	// Term counts the holders of the duty from 1.
	Term int
	// AcquiredAt is when the duty was taken, on the own clock.
	AcquiredAt time.Duration
	// PreviousLeaderStopped means that the holder before gave the duty back and sends no more orders.
	PreviousLeaderStopped bool
	// Observer is told of the stages of jobs. It may be nil.
	Observer Observer
	Logger   hclog.Logger
}

// Observer is told of the stages of jobs.
type Observer interface {
	// ObserveStage notes that a job of a queue has reached a stage, so long after it was accepted.
	ObserveStage(queue, stage string, after time.Duration)
}

// Stages of a job.
const (
	StageStarted = "started"
	StageEnded   = "ended"
)

// CommandKind is the kind of an order to a worker.
type CommandKind int

// Kinds of orders.
const (
	CommandStart CommandKind = iota
	CommandStop
	CommandThrottle
	// CommandPoll asks for a report at once.
	CommandPoll
)

// Command is an order to a worker. Its reply goes back to the core with [Core.Replied].
type Command struct {
	Kind   CommandKind
	Target worker.Target
	Start  worker.StartOrder
	Run    worker.RunOrder
	Renew  worker.RenewOrder
	run    *run
	worker *workerState
}

// Core is the state of the duty. It is not safe for concurrent use. Times are on a steady own clock.
type Core struct {
	o       Options
	logger  hclog.Logger
	catalog *catalog.Catalog
	now     time.Duration
	// unix is the time since 1970 at own time 0.
	wallClockOffset time.Duration
	jobs            map[string]*job
	pools           map[string]*pool
	workers         map[string]*workerState
	teamUsage       map[string]work.Resources
	commands        []Command
	// plans holds the runs that are ordered once their record is stored.
	plannedRuns []*run
	// changed holds the jobs whose progress is not stored.
	changedJobs map[*job]bool
	// forget holds the ended jobs whose rows are to be removed, and removed those of which only the progress is left.
	jobsToPrune []string
	prunedJobs  []string
	// early holds the cancellations of jobs that are not known yet.
	earlyCancels map[string]time.Duration
	// unknown holds since when ends or runs of unknown jobs are seen.
	unknownJobs map[string]time.Duration
	// rosterChanged means that the stored roster does not name all workers.
	rosterChanged bool
	// former holds the workers on which an earlier holder started tasks and that have not answered under the own
	// fence, with what the teams may have running there.
	previousUsage map[string]map[string]work.Resources
	// formerEnded is when the holder before is known to have ended.
	previousLeaderEndedAt time.Duration
	// seenJobs means that a job other than a service has come.
	batchJobSeen bool
	// repeated is when stops without effect were looked for last.
	stopsRepeatedAt time.Duration
	// stored is when a batch was stored last.
	lastCommit    time.Duration
	deposed       bool
	durations     *estimator
	fleet         *fleet
	counts        Counts
	policyQueries []PolicyQuery
}

// Counts are totals of the term for metrics.
type Counts struct {
	Started, Done, Failed, Stopped, Lost, Refused uint64
	// Jobs counts jobs by state, and Workers workers.
	Jobs    map[string]int
	Workers map[string]int
}

// NewCore returns a core without jobs and workers.
func NewCore(o Options) *Core {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return &Core{
		o: o, logger: o.Logger.Named("scheduler"), now: o.AcquiredAt, catalog: catalog.New(0, 0, nil, nil, nil),
		jobs: make(map[string]*job), pools: make(map[string]*pool), workers: make(map[string]*workerState), teamUsage: make(map[string]work.Resources),
		changedJobs: make(map[*job]bool), earlyCancels: make(map[string]time.Duration), unknownJobs: make(map[string]time.Duration),
		previousUsage: make(map[string]map[string]work.Resources), lastCommit: o.AcquiredAt, previousLeaderEndedAt: o.AcquiredAt + LeadershipTimeout, durations: newEstimator(), fleet: newFleet(),
	}
}

// SetTime advances the own clock.
func (c *Core) SetTime(now time.Duration) { c.now = max(c.now, now) }

// SetUnix gives the time since 1970 at an own time.
func (c *Core) SetWallClock(now, unix time.Duration) { c.wallClockOffset = unix - now }

// SetCatalog puts a configuration into force.
func (c *Core) SetCatalog(cat *catalog.Catalog) {
	if cat.Version >= c.catalog.Version {
		c.catalog = cat
	}
}

// Deposed reports whether a worker has seen a higher fencing token.
func (c *Core) Deposed() bool { return c.deposed }

// Counts returns the totals and the present state.
func (c *Core) Counts() Counts {
	counts := c.counts
	counts.Jobs, counts.Workers = make(map[string]int), make(map[string]int)
	for id := range c.jobs {
		if state, ok := c.JobState(id); ok {
			counts.Jobs[state.String()]++
		}
	}
	for _, ws := range c.workers {
		counts.Workers[c.workerStateName(ws)]++
	}
	return counts
}

// describe names the state of a worker.
func (c *Core) workerStateName(ws *workerState) string {
	switch {
	case !ws.answered:
		return "notReached"
	case ws.leaseExpired:
		return "lapsed"
	case ws.report.Draining:
		return "leaving"
	case ws.cordoned:
		return "drained"
	case ws.health.quarantined(c.now):
		return "quarantined"
	case !ws.listed:
		return "notListed"
	}
	return "inUse"
}

func (c *Core) observeStage(j *job, stage string) {
	if c.o.Observer != nil {
		c.o.Observer.ObserveStage(j.doc.Queue, stage, c.now-j.acceptedAt)
	}
}

func (c *Core) pool(name string) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = &pool{name: name}
		c.pools[name] = p
	}
	return p
}

// sweep does what is due without an event: due occurrences, lapsed leases, old jobs.
func (c *Core) handleTimeouts() {
	if len(c.previousUsage) > 0 && c.now > c.previousLeasesExpireAt() {
		c.logger.Info("Leases of the holder before have run out.", "workers", len(c.previousUsage))
		clear(c.previousUsage)
	}
	c.startDuringOutage()
	c.repeatStops()
	for _, p := range c.pools {
		for _, j := range p.jobs {
			if j.nextOccurrence < j.doc.Occurrences() {
				c.openDueOccurrences(j)
			}
		}
	}
	for _, ws := range c.workers {
		c.checkLease(ws)
	}
	for id, j := range c.jobs {
		if j.progress.State.Ended() && j.storedState.Ended() && !c.changedJobs[j] && c.now-j.endedAt > c.o.Bounds.Retention+retentionMargin {
			delete(c.jobs, id)
			c.jobsToPrune = append(c.jobsToPrune, id)
		}
	}
	for id, since := range c.earlyCancels {
		if c.now-since > c.o.Bounds.Retention {
			delete(c.earlyCancels, id)
		}
	}
}

// retentionMargin is added to the time for which ended jobs are kept, for submissions that are repeated late.
const retentionMargin = 30 * time.Second

// sortedHosts returns the workers in the order of their IDs.
func sortWorkers(workers []*workerState) []*workerState {
	slices.SortFunc(workers, func(a, b *workerState) int { return cmp.Compare(a.report.ID, b.report.ID) })
	return workers
}
