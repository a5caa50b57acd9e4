// Package scheduler decides which task runs where and when, for all pools. One process at a time, the leader, runs
// it. [Core] holds the state and the decisions: it takes events, returns commands and uses no sockets. [Engine]
// runs a core for one term of leadership and talks to workers, instances and the store.
//
// # Usage
//
//	core := scheduler.NewCore(scheduler.Options{Bounds: bounds, Fence: fence, Term: term, AcquiredAt: now})
//	core.AddJob(job, progress, storeNow)
//	core.Schedule(now)
//	for _, command := range core.TakeCommands() { ... }
package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/datacentres/evacuation"
	"github.com/chivetiller/chivetiller/internal/jobs/finishedruns"
	"github.com/chivetiller/chivetiller/internal/jobs/horizon"
	"github.com/chivetiller/chivetiller/internal/jobs/waiting"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
	"github.com/chivetiller/chivetiller/internal/store/quarantine"
	"github.com/chivetiller/chivetiller/internal/store/snapshot"
	"github.com/chivetiller/chivetiller/internal/teams/share"
	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/internal/workers/misdirection"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// Options configure a core.
type Options struct {
	Bounds Bounds
	// Fence is the fencing token of the leadership.
	Fence uint64
	// Term is the number of the term of leadership, from 1.
	Term int
	// AcquiredAt is the monotonic time at which leadership was acquired.
	AcquiredAt time.Duration
	// PreviousLeaderEnded means that the previous leader has resigned, or its process has ended, so it sends no more commands.
	PreviousLeaderEnded bool
	// EarlierLeadersUntil is the monotonic time until which the leaders before the previous one may send commands. It is 0 if that
	// is not known.
	EarlierLeadersUntil time.Duration
	// PreviousLeaderSeenAt is a monotonic time at which the leader row named the previous leader. It is 0 if that is not known.
	PreviousLeaderSeenAt time.Duration
	// UnboundedLeadersUntil is the monotonic time until which leaders of earlier versions may send commands, which do not bound leases by
	// the confirmation of their leadership. It is 0 if there are none.
	UnboundedLeadersUntil time.Duration
	// LeasesBoundedFrom is the first of the terms up to this one whose leaders all bound leases by the confirmation of their leadership and
	// observe the record of leases. It is 0 if that is not known.
	LeasesBoundedFrom int
	// InstanceCommandRate is the number of commands for instances a second that the platform accepts, and 0 if it is not known.
	InstanceCommandRate float64
	// Features switches parts of the scheduler.
	Features serving.Scheduling
	// Observer is notified of the stages of jobs. It may be nil.
	Observer Observer
	Logger   hclog.Logger
}

// Observer is notified of the stages of jobs.
type Observer interface {
	// ObserveStage records that a job of a queue has reached a stage. after is the time since the job was accepted.
	ObserveStage(queue, stage string, after time.Duration)
}

// Stages of a job.
const (
	StageStarted = "started"
	StageEnded   = "ended"
)

// CommandKind is the kind of a command to a worker.
type CommandKind int

// Kinds of commands.
const (
	CommandStart CommandKind = iota
	CommandStop
	CommandThrottle
	// CommandPoll requests an immediate status report.
	CommandPoll
)

// Command is a command to a worker. Its reply goes back to the core with [Core.HandleReply].
type Command struct {
	Kind   CommandKind
	Target worker.Target
	Start  worker.StartCommand
	Run    worker.RunCommand
	Renew  worker.RenewCommand
	run    *run
	call   call
	// repeated means that the command is sent after a pause.
	repeated bool
}

// Core is the state of the scheduler. It is not safe for concurrent use. All times are monotonic times of this process.
type Core struct {
	options Options
	logger  hclog.Logger
	catalog *catalog.Catalog
	now     time.Duration
	// confirmedAt is the time at which the leadership was last confirmed.
	confirmedAt time.Duration
	// wallClockOffset is the wall clock time (since 1970) at monotonic time 0.
	wallClockOffset time.Duration
	jobs            map[string]*job
	pools           map[string]*pool
	workers         map[string]*workerState
	teamUsage       map[string]work.Resources
	commands        []Command
	// plannedRuns holds the runs that are started once their record is stored.
	plannedRuns []*run
	// unansweredRuns holds the runs whose start got no answer and is repeated.
	unansweredRuns []*run
	// changedJobs holds the jobs whose progress is not stored.
	changedJobs map[*job]bool
	// jobsToPrune holds the ended jobs whose rows are to be removed, and prunedJobs those of which only the progress row is left.
	jobsToPrune []string
	prunedJobs  []string
	// jobsToShorten holds the ended jobs whose rows are to be shortened.
	jobsToShorten []work.Job
	// endedWithRuns holds the ended jobs whose rows name runs that may still be at work.
	endedWithRuns map[*job]bool
	// earlyCancels holds the cancellations of jobs that are not known yet, with the time at which each came in or was last to be removed,
	// and cancelsToPrune those whose rows are to be removed.
	earlyCancels   map[string]time.Duration
	cancelsToPrune []string
	// unknownJobs holds the jobs that are not known but that a worker has reported a run or an exit of, with the time of the
	// first such report.
	unknownJobs map[string]time.Duration
	// rosterChanges holds the IDs of the workers whose stored roster entry is out of date.
	rosterChanges map[string]bool
	// misdirected holds the workers at whose addresses another instance has answered.
	misdirected misdirection.List
	// unknownPools holds, by worker ID, the pool of an entry that the configuration does not name.
	unknownPools map[string]string
	// hasOldRows means that the store has rows of an earlier version that other rows have replaced.
	hasOldRows bool
	// previousUsage holds, for each worker on which previous leaders started tasks and that has not answered in this
	// term, what the teams may have running there.
	previousUsage map[string]map[string]work.Resources
	// workersGone means that workers have been removed, or leases of previous leaders have expired, since the records of services were
	// searched for such workers.
	workersGone bool
	// leaseRecord holds the workers that may be down, with the ends of their leases, and servingSince is the time since which
	// calls are sent without an interruption. servedAt is the time of the latest pass.
	leaseRecord  *leaserecord.Record
	servingSince time.Duration
	servedAt     time.Duration
	// previousRuns holds, for each worker that has not answered in this term, the latest runs that previous leaders started there.
	previousRuns map[string][]recordedRun
	// earlierCalls holds the calls to workers that were removed, by worker ID.
	earlierCalls map[string]earlierCalls
	// silences holds the workers that were removed because they were silent, by address.
	silences map[string][]silence
	// storedVersion is the version of the last batch that was stored.
	storedVersion uint64
	// leaders is what is known of the earlier leaders, and limits are the limits to what they permitted.
	leaders horizon.Leaders
	limits  horizon.Limits
	// batchJobSeen means that a job other than a service has come in during this term.
	batchJobSeen bool
	// prunedAt is the time of the last search for jobs that ended long ago.
	prunedAt time.Duration
	// stopsRepeatedAt is the time of the last check for stops without effect.
	stopsRepeatedAt time.Duration
	// refusedRows holds the rows because of which the store has refused batches.
	refusedRows quarantine.List
	// lastStored is the time at which a batch was last stored.
	lastStored time.Duration
	// unstoredSince is the time since which something waits to be stored, and 0 if nothing does.
	unstoredSince time.Duration
	deposed       bool
	// learned is what is learned of run times.
	learned *finishedruns.Learner
	// snapshots holds what is learned and kept for the next leaders.
	snapshots *snapshot.Set
	shares    teamShares
	fleet     *fleet
	// evacuations holds the evacuated data centres. evacuationLoggedAt is the time of the latest log line about the runs there.
	evacuations        evacuation.Set
	evacuationLoggedAt time.Duration
	counts             Counts
	policyQueries      []PolicyQuery
	// idle is a buffer for the idle tasks of a step.
	idle []int
	// waitingTasks counts the tasks of services that did not run at waitingCheckedAt, and longestWaits is for how long they had not.
	waitingTasks     map[waiting.Reason]int
	longestWaits     map[waiting.Reason]time.Duration
	waitingCheckedAt time.Duration
}

// Counts are totals of the term, for metrics.
type Counts struct {
	Started, Done, Failed, Stopped, Lost, Refused uint64
	// Crashed counts the runs under which a worker has crashed.
	Crashed uint64
	// Jobs counts the jobs and Workers the workers by state.
	Jobs    map[string]int
	Workers map[string]int
	// WaitingTasks counts the tasks of services that do not run, and LongestWaits is the longest time for which one of them has not.
	WaitingTasks map[waiting.Reason]int
	LongestWaits map[waiting.Reason]time.Duration
	// EvacuationRuns counts the runs that are left in each evacuated data centre.
	EvacuationRuns map[string]int
	// Decisions counts the decisions of the parts that are switched by settings.
	Decisions map[Decision]uint64
	// RefusedBatches counts the batches that the store refused. SinceStored is the time since a batch was stored, while another one waits.
	RefusedBatches uint64
	SinceStored    time.Duration
}

// Decision names an outcome of a part of the scheduler, for metrics.
type Decision struct{ Part, Outcome string }

// countDecision counts a decision.
func (c *Core) countDecision(part, outcome string) {
	if c.counts.Decisions == nil {
		c.counts.Decisions = make(map[Decision]uint64)
	}
	c.counts.Decisions[Decision{Part: part, Outcome: outcome}]++
}

// NewCore returns a core without jobs and workers.
func NewCore(o Options) *Core {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	c := &Core{
		options: o, logger: o.Logger.Named("scheduler"), now: o.AcquiredAt, confirmedAt: o.AcquiredAt, catalog: catalog.New(0, 0, nil, nil, nil),
		jobs: make(map[string]*job), pools: make(map[string]*pool), workers: make(map[string]*workerState), teamUsage: make(map[string]work.Resources),
		changedJobs: make(map[*job]bool), endedWithRuns: make(map[*job]bool), earlyCancels: make(map[string]time.Duration), unknownJobs: make(map[string]time.Duration),
		rosterChanges: make(map[string]bool), misdirected: make(misdirection.List), unknownPools: make(map[string]string),
		previousUsage: make(map[string]map[string]work.Resources), previousRuns: make(map[string][]recordedRun), earlierCalls: make(map[string]earlierCalls), silences: make(map[string][]silence),
		waitingTasks: make(map[waiting.Reason]int), longestWaits: make(map[waiting.Reason]time.Duration), lastStored: o.AcquiredAt, leaders: o.leaders(), limits: permissionLimits(o.Bounds),
		learned: finishedruns.New(o.Features.LearnedRunTimes, o.Features.WorkerPace), snapshots: snapshot.NewSet(), shares: teamShares{rates: share.NewRates()}, fleet: newFleet(), leaseRecord: leaserecord.New(maxRecordBytes),
	}
	c.learned.Keep(c.snapshots)
	return c
}

// SetTime advances the monotonic time.
func (c *Core) SetTime(now time.Duration) { c.now = max(c.now, now) }

// SetConfirmed sets the monotonic time at which the latest call was sent by which the store has confirmed the leadership. It limits
// leases. Before the first call it is the time at which leadership was acquired.
func (c *Core) SetConfirmed(at time.Duration) { c.confirmedAt = at }

// SetWallClock sets the wall clock time (since 1970) at a monotonic time.
func (c *Core) SetWallClock(now, wallClock time.Duration) { c.wallClockOffset = wallClock - now }

// SetCatalog puts a configuration into force, unless a newer one is.
func (c *Core) SetCatalog(cat *catalog.Catalog) {
	if cat.Version >= c.catalog.Version {
		c.catalog = cat
	}
}

// Deposed reports whether a worker or the instance service has seen a higher fencing token.
func (c *Core) Deposed() bool { return c.deposed }

// Counts returns the totals of the term and the present number of jobs and workers by state.
func (c *Core) Counts() Counts {
	counts := c.counts
	counts.Decisions = maps.Clone(c.counts.Decisions)
	counts.Jobs, counts.Workers = make(map[string]int), make(map[string]int)
	for id := range c.jobs {
		if state, ok := c.JobState(id); ok {
			counts.Jobs[state.String()]++
		}
	}
	counts.EvacuationRuns = c.evacuationRuns()
	counts.WaitingTasks, counts.LongestWaits = maps.Clone(c.waitingTasks), maps.Clone(c.longestWaits)
	if c.unstoredSince > 0 {
		counts.SinceStored = c.now - max(c.lastStored, c.unstoredSince)
	}
	for _, ws := range c.workers {
		counts.Workers[c.workerStateName(ws)]++
	}
	return counts
}

// workerStateName names the state of a worker for metrics.
func (c *Core) workerStateName(ws *workerState) string {
	switch {
	case !ws.answered:
		return "notReached"
	case ws.leaseExpired:
		return "lapsed"
	case ws.report.Draining:
		return "leaving"
	case c.evacuated(ws):
		return "evacuated"
	case ws.cordoned:
		return "drained"
	case ws.health.Quarantined(c.now):
		return "quarantined"
	case !ws.listed || !ws.registered():
		return "notListed"
	case ws.overcommitted():
		return "overcommitted"
	}
	return "inUse"
}

func (c *Core) observeStage(j *job, stage string) {
	if c.options.Observer != nil {
		c.options.Observer.ObserveStage(j.doc.Queue, stage, c.now-j.acceptedAt)
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

// handleTimeouts does what is due without an event: it starts planned runs during a store outage, repeats
// stops without effect, opens due occurrences, expires leases and prunes old jobs.
func (c *Core) handleTimeouts() {
	c.forgetPreviousUsage()
	c.startDuringOutage()
	c.repeatStops()
	c.repeatUnansweredStarts()
	c.checkWaitingTasks()
	c.checkUnstored()
	for _, p := range c.pools {
		for _, j := range p.jobs {
			if j.nextOccurrence < j.doc.Occurrences() {
				c.openDueOccurrences(j)
			}
		}
	}
	mayDoubt := c.mayDoubt()
	if mayDoubt {
		c.doubtUnknownWorkers()
	}
	for _, ws := range c.workers {
		if mayDoubt {
			c.doubtSilentWorker(ws)
		}
		c.checkLease(ws)
		c.pursueOrders(ws)
	}
	c.forgetWorkersOfServices()
	c.forgetEndedRuns()
	if c.now-c.prunedAt < pruneInterval {
		return
	}
	c.prunedAt = c.now
	for _, ws := range c.workers {
		// What is known of a worker without runs fades.
		c.ratePace(ws)
	}
	c.pruneSilences()
	c.pruneLeaseRecord()
	for id, j := range c.jobs {
		if j.progress.State.Ended() && j.storedState.Ended() && !c.changedJobs[j] && c.now-j.endedAt > c.options.Bounds.Retention+retentionMargin {
			delete(c.jobs, id)
			delete(c.endedWithRuns, j)
			c.jobsToPrune = append(c.jobsToPrune, id)
		}
	}
	for id, since := range c.earlyCancels {
		if c.now-since > c.options.Bounds.Retention {
			// It is kept until its row is removed, since its job may be stored at the same time.
			c.earlyCancels[id] = c.now
			c.cancelsToPrune = append(c.cancelsToPrune, id)
		}
	}
}

// pruneInterval is the time between two searches for jobs that ended long ago. Most of the known jobs have ended.
const pruneInterval = time.Second

// retentionMargin is added to the retention of ended jobs, so that a submission that is repeated late is still recognised.
const retentionMargin = 30 * time.Second

// sortWorkers sorts workers by ID.
func sortWorkers(workers []*workerState) []*workerState {
	slices.SortFunc(workers, func(a, b *workerState) int { return cmp.Compare(a.report.ID, b.report.ID) })
	return workers
}
