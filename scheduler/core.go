// Package scheduler decides which task runs where and when, for all pools of one duty. One process holds
// the duty at a time. Its core takes events and gives orders and has no sockets; the engine around it
// talks to workers, instances and the store.
//
// # Usage
//
//	core := scheduler.NewCore(scheduler.Options{Bounds: bounds, Fence: fence, Tenure: tenure})
//	core.AddJob(now, job, progress)
//	for _, order := range core.Schedule(now) { ... }
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// Options are the options of a core.
type Options struct {
	Bounds Bounds
	// Fence is the fencing token of the duty.
	Fence uint64
	// Tenure counts the holders of the duty from 1.
	Tenure int
	// Began is when the duty was taken, on the own clock.
	Began time.Duration
	// Handed means that the holder before gave the duty back and sends no more orders.
	Handed bool
	// Observer is told of the stages of jobs. It may be nil.
	Observer Observer
	Logger   hclog.Logger
}

// Observer is told of the stages of jobs.
type Observer interface {
	// Stage notes that a job of a queue has reached a stage, so long after it was accepted.
	Stage(queue, stage string, after time.Duration)
}

// Stages of a job.
const (
	StageStarted = "started"
	StageEnded   = "ended"
)

// OrderKind is the kind of an order to a worker.
type OrderKind int

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
	// OrderLook asks for a report at once.
	OrderLook
)

// Order is an order to a worker. Its reply goes back to the core with [Core.Replied].
type Order struct {
	Kind   OrderKind
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
	orders []Order
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
	questions []Question
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
		o: o, logger: o.Logger.Named("scheduler"), now: o.Began, catalog: catalog.New(0, 0, nil, nil, nil),
		jobs: make(map[string]*job), pools: make(map[string]*pool), hosts: make(map[string]*host), teams: make(map[string]work.Resources),
		changed: make(map[*job]bool), early: make(map[string]time.Duration), unknown: make(map[string]time.Duration),
		former: make(map[string]map[string]work.Resources), stored: o.Began, formerEnded: o.Began + Tenure, learned: newEstimator(), fleet: newFleet(),
	}
}

// SetTime advances the own clock.
func (c *Core) SetTime(now time.Duration) { c.now = max(c.now, now) }

// SetUnix gives the time since 1970 at an own time.
func (c *Core) SetUnix(now, unix time.Duration) { c.unix = unix - now }

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
		if state, ok := c.State(id); ok {
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
		c.o.Observer.Stage(j.doc.Queue, stage, c.now-j.accepted)
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

// AddJob takes a job from its row. Progress is nil for a job without stored progress. It does nothing for a job
// that is known.
func (c *Core) AddJob(doc work.Job, progress *work.Progress, storeNow time.Duration) {
	if _, ok := c.jobs[doc.ID]; ok {
		return
	}
	if progress == nil {
		progress = work.NewProgress()
	}
	progress.Normalize()
	j := &job{
		doc: doc, progress: progress, stored: progress.State, open: make(map[int]*occurrence),
		chain: doc.Chain(), accepted: c.now - max(0, storeNow-doc.Accepted), begun: len(progress.Occurrences)+len(progress.Complete) > 0,
	}
	for i := range doc.Steps {
		j.service = j.service || doc.Steps[i].Service
	}
	c.jobs[doc.ID] = j
	delete(c.unknown, doc.ID)
	if progress.State.Ended() {
		j.ended = c.now
		return
	}
	p := c.pool(doc.Pool)
	p.jobs = append(p.jobs, j)
	p.dirty = true
	c.openDue(j)
	c.noteFormer(j)
	c.seenJobs = c.seenJobs || !j.service
	if !j.service && c.now-j.accepted < rateWindow {
		p.arrive(j.accepted, j.doc.Work())
	}
	c.logger.Debug("Job is known.", "job", doc.ID, "queue", doc.Queue, "team", doc.Team, "pool", doc.Pool, "begun", j.begun)
	if _, ok := c.early[doc.ID]; ok {
		delete(c.early, doc.ID)
		c.Cancel(doc.ID)
	}
}

// Cancel cancels a job. A cancellation that comes before its job is kept.
func (c *Core) Cancel(id string) {
	j, ok := c.jobs[id]
	if !ok {
		c.early[id] = c.now
		return
	}
	if j.progress.State.Ended() {
		return
	}
	c.logger.Info("Job is cancelled.", "job", id)
	c.end(j, work.Cancelled, "cancelled")
}

// end gives a job its final state and stops what runs of it.
func (c *Core) end(j *job, state work.State, reason string) {
	j.progress.State = state
	j.progress.Reason = reason
	j.ended = c.now
	if state == work.Cancelled {
		// The row of the cancellation is stored already.
		j.stored = state
	}
	c.changed[j] = true
	for _, o := range j.open {
		for _, s := range o.steps {
			for i := range s.tasks {
				for _, r := range s.tasks[i].runs {
					c.stop(r, reason)
				}
			}
		}
	}
	p := c.pool(j.doc.Pool)
	if i := slices.Index(p.jobs, j); i >= 0 {
		p.jobs = slices.Delete(p.jobs, i, i+1)
	}
}

// openDue opens the occurrences that are due.
func (c *Core) openDue(j *job) {
	if j.progress.State.Ended() {
		return
	}
	for j.next < j.doc.Occurrences() {
		k := j.next
		due := j.accepted
		if j.doc.Times > 0 {
			due = j.doc.Due(k) - c.unix
			if c.unix == 0 || c.now < due {
				return
			}
		}
		j.next++
		if j.progress.Complete[k] {
			continue
		}
		j.open[k] = newOccurrence(j, k, due)
		c.pool(j.doc.Pool).dirty = true
	}
}

func newOccurrence(j *job, k int, due time.Duration) *occurrence {
	o := &occurrence{number: k, due: due, progress: j.progress.Occurrence(&j.doc, k)}
	o.recorded = slices.Clone(o.progress.Workers)
	for i := range j.doc.Steps {
		doc := &j.doc.Steps[i]
		s := &step{job: j, occurrence: o, number: i, doc: doc, progress: &o.progress.Steps[i], tasks: make([]task, doc.Count)}
		for t := range s.tasks {
			if s.progress.IsDone(t) {
				s.tasks[t].done = true
				continue
			}
			if _, number, ok := o.progress.Run(i, t); ok {
				s.tasks[t].lastRun = number
				s.gangRun = max(s.gangRun, number)
			}
			s.left++
			s.idle++
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// State returns the state of a job as clients may see it.
func (c *Core) State(id string) (work.State, bool) {
	j, ok := c.jobs[id]
	if !ok {
		return 0, false
	}
	if j.stored.Ended() {
		return j.stored, true
	}
	if j.begun {
		return work.Running, true
	}
	return work.Pending, true
}

// Waiting returns how many accepted jobs of a queue have not begun.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, p := range c.pools {
		for _, j := range p.jobs {
			if j.doc.Queue == queue && !j.begun {
				n++
			}
		}
	}
	return n
}

// step returns the step of a task that is open.
func (c *Core) step(t work.Task) (*step, bool) {
	j, ok := c.jobs[t.Job]
	if !ok {
		return nil, false
	}
	o, ok := j.open[t.Occurrence]
	if !ok || t.Step >= len(o.steps) || t.Index >= len(o.steps[t.Step].tasks) {
		return nil, false
	}
	return o.steps[t.Step], true
}

// done marks a task as done and ends what is complete with it.
func (c *Core) done(s *step, index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	t.done = true
	s.left--
	s.occurrence.known = false
	c.pool(s.job.doc.Pool).dirty = true
	if len(t.runs) == 0 {
		s.idle--
	}
	s.progress.SetDone(index)
	c.changed[s.job] = true
	for _, r := range t.runs {
		c.stop(r, "another run is done")
	}
	if s.left > 0 {
		return
	}
	o := s.occurrence
	for _, other := range o.steps {
		if other.left > 0 {
			return
		}
	}
	j := s.job
	delete(j.open, o.number)
	delete(j.progress.Occurrences, o.number)
	j.progress.Complete[o.number] = true
	c.logger.Info("Occurrence is complete.", "job", j.doc.ID, "occurrence", o.number, "after", c.now-o.due)
	if len(j.progress.Complete) == j.doc.Occurrences() {
		c.end(j, work.Finished, "")
	}
}

// Batch is progress to store.
type Batch struct {
	Progress map[string]*work.Progress
	Removed  []string
	// Roster is nil if the stored one is right.
	Roster []RosterEntry
	Waves  map[int]WaveProgress
	// Instances holds when instances were ordered last, on the own clock. It is nil if nothing has to be recorded.
	Instances map[string]time.Duration
	jobs      []*job
	states    []work.State
	starts    []*run
	orders    []InstanceOrder
	acks      map[*host]uint64
}

// Empty reports whether there is nothing to store.
func (b *Batch) Empty() bool {
	return len(b.Progress) == 0 && len(b.starts) == 0 && len(b.Removed) == 0 && b.Roster == nil && len(b.Waves) == 0 && b.Instances == nil
}

// Take returns what has changed since the last batch, at most limit rows. If that is all, the batch
// acknowledges the ends that were processed.
func (c *Core) Take(limit int) Batch {
	b := Batch{Progress: make(map[string]*work.Progress), acks: make(map[*host]uint64)}
	if c.rosterChanged {
		b.Roster = c.roster()
		c.rosterChanged = false
		limit--
	}
	b.Waves = c.fleet.takeWaves()
	if len(c.fleet.plans) > 0 {
		b.orders, c.fleet.plans = c.fleet.plans, nil
		b.Instances = c.fleet.takeRecorded(c.now)
	}
	limit -= len(b.Waves)
	for j := range c.changed {
		if limit <= 0 {
			break
		}
		b.Progress[j.doc.ID] = j.progress
		b.jobs = append(b.jobs, j)
		b.states = append(b.states, j.progress.State)
		delete(c.changed, j)
		limit--
	}
	for len(c.removed) > 0 && limit > 0 {
		b.Removed = append(b.Removed, c.removed[0])
		c.removed = c.removed[1:]
		limit--
	}
	if len(c.changed) == 0 {
		b.starts = c.plans
		c.plans = nil
		for _, h := range c.hosts {
			if h.seen > h.stored {
				b.acks[h] = h.seen
			}
		}
	}
	return b
}

// forgetAtOnce is how many jobs are forgotten at a time. Each has two rows besides its progress.
const forgetAtOnce = store.MaxEntries / 2

// Forget returns the jobs whose rows are to be removed.
func (c *Core) Forget() []string {
	n := min(len(c.forget), forgetAtOnce)
	ids := c.forget[:n:n]
	c.forget = c.forget[n:]
	return ids
}

// Forgotten notes that the rows of jobs are removed, except for their progress.
func (c *Core) Forgotten(ids []string) { c.removed = append(c.removed, ids...) }

// Committed notes that a batch is stored.
func (c *Core) Committed(b Batch) {
	for h, seen := range b.acks {
		h.stored = max(h.stored, seen)
	}
	for i, j := range b.jobs {
		j.stored = b.states[i]
		if j.stored.Ended() {
			c.observe(j, StageEnded)
			c.logger.Info("End of the job is stored.", "job", j.doc.ID, "state", j.stored.String(), "after", c.now-j.accepted, "reason", j.progress.Reason)
		}
	}
	for _, r := range b.starts {
		o := r.step.occurrence
		if !slices.Contains(o.recorded, r.on.report.ID) {
			o.recorded = append(o.recorded, r.on.report.ID)
		}
		c.order(r)
	}
	c.fleet.orders = append(c.fleet.orders, b.orders...)
	c.stored = c.now
}

// Returned takes back a batch that was not stored.
func (c *Core) Returned(b Batch) {
	for _, j := range b.jobs {
		c.changed[j] = true
	}
	c.plans = append(b.starts, c.plans...)
	c.removed = append(c.removed, b.Removed...)
	c.rosterChanged = c.rosterChanged || b.Roster != nil
	c.fleet.returnWaves(b.Waves)
	c.fleet.plans = append(b.orders, c.fleet.plans...)
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
