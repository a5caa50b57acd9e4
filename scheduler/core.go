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
	host   *host
}

// Core is the state of the duty. It is not safe for concurrent use. Times are on a steady own clock.
type Core struct {
	o       Options
	logger  hclog.Logger
	catalog *catalog.Catalog
	now     time.Duration
	// unix is the time since 1970 at own time 0.
	unix   time.Duration
	jobs   map[string]*job
	pools  map[string]*pool
	hosts  map[string]*host
	teams  map[string]work.Resources
	orders []Command
	// plans holds the runs that are ordered once their record is stored.
	plans []*run
	// changed holds the jobs whose progress is not stored.
	changed map[*job]bool
	// forget holds the ended jobs whose rows are to be removed, and removed those of which only the progress is left.
	forget  []string
	removed []string
	// early holds the cancellations of jobs that are not known yet.
	early map[string]time.Duration
	// unknown holds since when ends or runs of unknown jobs are seen.
	unknown map[string]time.Duration
	// rosterChanged means that the stored roster does not name all workers.
	rosterChanged bool
	// former holds the workers on which an earlier holder started tasks and that have not answered under the own
	// fence, with what the teams may have running there.
	former map[string]map[string]work.Resources
	// formerEnded is when the holder before is known to have ended.
	formerEnded time.Duration
	// seenJobs means that a job other than a service has come.
	seenJobs bool
	// repeated is when stops without effect were looked for last.
	repeated time.Duration
	// stored is when a batch was stored last.
	stored    time.Duration
	deposed   bool
	learned   *estimator
	fleet     *fleet
	counts    Counts
	questions []PolicyQuery
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
		jobs: make(map[string]*job), pools: make(map[string]*pool), hosts: make(map[string]*host), teams: make(map[string]work.Resources),
		changed: make(map[*job]bool), early: make(map[string]time.Duration), unknown: make(map[string]time.Duration),
		former: make(map[string]map[string]work.Resources), stored: o.AcquiredAt, formerEnded: o.AcquiredAt + LeadershipTimeout, learned: newEstimator(), fleet: newFleet(),
	}
}

// SetTime advances the own clock.
func (c *Core) SetTime(now time.Duration) { c.now = max(c.now, now) }

// SetUnix gives the time since 1970 at an own time.
func (c *Core) SetWallClock(now, unix time.Duration) { c.unix = unix - now }

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
	for _, h := range c.hosts {
		counts.Workers[c.describe(h)]++
	}
	return counts
}

// describe names the state of a worker.
func (c *Core) describe(h *host) string {
	switch {
	case !h.touched:
		return "notReached"
	case h.lapsed:
		return "lapsed"
	case h.report.Draining:
		return "leaving"
	case h.reserved:
		return "drained"
	case h.health.quarantined(c.now):
		return "quarantined"
	case !h.listed:
		return "notListed"
	}
	return "inUse"
}

func (c *Core) observe(j *job, stage string) {
	if c.o.Observer != nil {
		c.o.Observer.ObserveStage(j.doc.Queue, stage, c.now-j.accepted)
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
func (c *Core) sweep() {
	if len(c.former) > 0 && c.now > c.blindUntil() {
		c.logger.Info("Leases of the holder before have run out.", "workers", len(c.former))
		clear(c.former)
	}
	c.orderAway()
	c.repeatStops()
	for _, p := range c.pools {
		for _, j := range p.jobs {
			if j.next < j.doc.Occurrences() {
				c.openDue(j)
			}
		}
	}
	for _, h := range c.hosts {
		c.checkLapse(h)
	}
	for id, j := range c.jobs {
		if j.progress.State.Ended() && j.stored.Ended() && !c.changed[j] && c.now-j.ended > c.o.Bounds.Retention+retentionMargin {
			delete(c.jobs, id)
			c.forget = append(c.forget, id)
		}
	}
	for id, since := range c.early {
		if c.now-since > c.o.Bounds.Retention {
			delete(c.early, id)
		}
	}
}

// retentionMargin is added to the time for which ended jobs are kept, for submissions that are repeated late.
const retentionMargin = 30 * time.Second

// sortedHosts returns the workers in the order of their IDs.
func sortedHosts(hosts []*host) []*host {
	slices.SortFunc(hosts, func(a, b *host) int { return cmp.Compare(a.report.ID, b.report.ID) })
	return hosts
}
