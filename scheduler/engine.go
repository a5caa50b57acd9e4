package scheduler

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// idleTick is the time between two passes without an event.
	idleTick = 20 * time.Millisecond
	// passInterval is the least time between two passes, and passShare the part of the time that passes may take.
	passInterval = 3 * time.Millisecond
	passShare    = 0.25
	// commitInterval is the least time between two batches, which bounds the priced calls to 50 a second.
	commitInterval = 20 * time.Millisecond
	// commitTimeout bounds one batch. A slow store takes up to 0.5 s.
	commitTimeout = time.Second
	// commitPause is the time after a batch that failed.
	commitPause = 100 * time.Millisecond
	// batchRows is how many rows of jobs a batch has at most. The chain, the roster and wave rows come on top.
	batchRows = 60
	// orderTimeout bounds an order to a worker. The longest link has 20 ms one way.
	commandTimeout = 400 * time.Millisecond
	// orderPause is the time before an order is repeated.
	commandPause = 50 * time.Millisecond
	// renewTimeout is how long a renewal may take beyond its wait.
	renewTimeout = 500 * time.Millisecond
	// renewPause is the time after a renewal that failed.
	renewPause = 150 * time.Millisecond
	// silentPause is the same for a worker that has not answered for a while.
	unresponsivePause = 600 * time.Millisecond
	// ackWait is the longest wait for the ends of a worker to be stored before its lease is renewed all the same.
	ackWait = 200 * time.Millisecond
	// registryInterval is the time between two looks at the registry of workers, which show the instances that join a pool.
	registryInterval = 200 * time.Millisecond
	// feedInterval is the time between two looks at new jobs, for those whose notice got lost.
	jobsInterval = 700 * time.Millisecond
	// instancesInterval is the least time between two looks at the instances, and instanceInterval the time for each of
	// them, which bounds the bytes: an entry has about 250.
	instancesInterval   = 300 * time.Millisecond
	perInstanceInterval = 2 * time.Millisecond
	// registryRefresh is the time between two complete looks at the registry.
	registryRefresh = 10 * time.Second
	// readTimeout bounds a read of the store or of the instances.
	readTimeout = time.Second
	// instanceTimeout bounds an order for an instance.
	instanceTimeout = 1500 * time.Millisecond
	// adviceTimeout bounds a question to the policy service, which answers one after the other.
	adviceTimeout = 3 * time.Second
	// inboxSize is how many events may wait.
	inboxSize = 4096
)

// Registry decodes the entries of workers.
type Registry interface {
	Table() (table, part string)
	Decode(row store.Row) (worker.Report, error)
}

// Waves are the requests for maintenance.
type Waves interface {
	// Waves returns the requests by the name of their row.
	Waves() map[string]instance.Wave
	// WaveStatus returns the row that tells how far a wave is.
	WaveStatus(name string, finished bool) store.Put
}

// Leadership tells whether this process still holds the duty.
type Leadership interface {
	IsLeader(fence uint64) bool
	Confirm(fence uint64, at time.Duration)
	Depose(fence uint64, reason string)
	// PreviousLeaderEnded reports whether the holder before has surely ended.
	PreviousLeaderEnded() bool
}

// EngineOptions are the options of an engine.
type EngineOptions struct {
	Core       Options
	Name       string
	Store      store.Store
	Clock      *store.Clock
	Registry   Registry
	Waves      Waves
	Workers    worker.Orders
	Instances  instance.Fleet
	Advisor    advice.Advisor
	Catalog    func() *catalog.Catalog
	Leadership Leadership
	Logger     hclog.Logger
}

// Engine holds the duty for one term. Its loop owns the core; all others send it messages.
type Engine struct {
	o      EngineOptions
	logger hclog.Logger
	core   *Core
	inbox  chan func(*Core)
	cancel context.CancelFunc
	ctx    context.Context
	tasks  sync.WaitGroup
	ready  atomic.Bool

	// The fields below belong to the loop.
	renewing     map[string]bool
	committing   bool
	lastCommit   time.Duration
	lastPass     time.Duration
	passDuration time.Duration
	batchNumber  uint64
	chainVersion uint64
	batchStored  chan struct{}
	asked        map[string]bool
}

// NewEngine returns an engine that is not started.
func NewEngine(o EngineOptions) *Engine {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Core.Logger = o.Logger
	ctx, cancel := context.WithCancel(context.Background())
	return &Engine{
		o: o, logger: o.Logger.Named("engine"), core: NewCore(o.Core), inbox: make(chan func(*Core), inboxSize), ctx: ctx, cancel: cancel,
		renewing: make(map[string]bool), batchStored: make(chan struct{}), asked: make(map[string]bool),
	}
}

// Start reads the rows of the duty and begins to decide.
func (e *Engine) Start(ctx context.Context) error {
	l, err := load(ctx, e.o.Store, func(row store.Row, err error) {
		e.logger.Error("Row cannot be read.", "table", row.Table, "row", row.Name, "error", err)
	})
	if err != nil {
		return eris.Wrap(err, "read the rows of the duty")
	}
	e.o.Clock.Note(l.now)
	if err := e.storeClockRow(ctx, l); err != nil {
		return err
	}
	e.chainVersion = l.chain
	now := clock.Now()
	c := e.core
	c.SetTime(now)
	c.SetCatalog(e.o.Catalog())
	storeNow, _ := e.o.Clock.At(now)
	c.SetWallClock(now, l.clock.Unix+storeNow-l.clock.Store)
	c.SetRoster(l.roster)
	for id, at := range l.instances {
		l.instances[id] = now - (storeNow - at)
	}
	c.SetPreviousInstanceCommands(l.instances)
	for _, w := range l.waves {
		if w.Since != 0 {
			w.Since = now - (storeNow - w.Since)
		}
	}
	for id, j := range l.jobs {
		c.AddJob(j, l.progress[id], storeNow)
	}
	for _, id := range l.cancelled {
		c.Cancel(id)
	}
	e.logger.Info("Duty begins.", "fence", e.o.Core.Fence, "tenure", e.o.Core.Term, "jobs", len(l.jobs), "cancelled", len(l.cancelled),
		"roster", len(l.roster), "version", l.version)
	e.spawn(e.runLoop)
	e.spawn(e.watchRegistry)
	e.spawn(func() { e.watchJobs(l.version) })
	e.spawn(func() { e.watchWaves(l.waves) })
	e.ready.Store(true)
	return nil
}

// tieClock makes sure that the store ties its clock to the time of day.
func (e *Engine) storeClockRow(ctx context.Context, l *loadedRows) error {
	if l.clock != (clockRow{}) {
		return nil
	}
	// Reading the rows has taken a while, so that both clocks are read now.
	at, known := e.o.Clock.Now()
	if !known {
		return eris.New("the clock of the store is not known")
	}
	l.clock = clockRow{Store: at, Unix: time.Duration(time.Now().UnixNano())}
	value, err := encode(l.clock)
	if err != nil {
		return err
	}
	_, err = e.o.Store.Commit(ctx, store.Tx{
		Expected: []store.Expect{{Key: leadershipKey(rowClock)}}, Puts: []store.Put{{Key: leadershipKey(rowClock), Value: value}},
	})
	return eris.Wrap(err, "tie the clock of the store to the time of day")
}

func (e *Engine) spawn(f func()) { e.tasks.Go(f) }

// Stop ends the term. Orders on their way are not waited for.
func (e *Engine) Stop() {
	e.cancel()
	e.tasks.Wait()
	e.logger.Info("Duty ends.", "fence", e.o.Core.Fence)
}

// Fence returns the fencing token of the term.
func (e *Engine) Fence() uint64 { return e.o.Core.Fence }

// Term returns the number of the term.
func (e *Engine) Term() int { return e.o.Core.Term }

// IsLeader reports whether the duty was confirmed lately, so that orders may be given.
func (e *Engine) IsLeader() bool {
	return e.ctx.Err() == nil && e.o.Leadership.IsLeader(e.o.Core.Fence)
}

// post sends a message to the loop.
func (e *Engine) post(f func(*Core)) {
	select {
	case e.inbox <- f:
	case <-e.ctx.Done():
	}
}

// ErrNotLeader means that this process does not hold the duty.
var ErrNotLeader = errors.New("the duty is not held")

// ask runs a function in the loop and waits for it.
func (e *Engine) query(ctx context.Context, f func(*Core)) error {
	done := make(chan struct{})
	select {
	case e.inbox <- func(c *Core) { f(c); close(done) }:
	case <-e.ctx.Done():
		return ErrNotLeader
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-e.ctx.Done():
		return ErrNotLeader
	case <-ctx.Done():
		return ctx.Err()
	}
}

// JobSubmitted tells the engine of a job that was stored.
func (e *Engine) JobSubmitted(j work.Job) {
	now, _ := e.o.Clock.Now()
	e.post(func(c *Core) { c.AddJob(j, nil, now) })
}

// JobCancelled tells the engine of a cancellation that was stored.
func (e *Engine) JobCancelled(id string) { e.post(func(c *Core) { c.Cancel(id) }) }

// JobState returns the state of a job, and false if the engine does not know it.
func (e *Engine) JobState(ctx context.Context, id string) (state work.State, known bool, err error) {
	if !e.IsLeader() {
		return 0, false, ErrNotLeader
	}
	err = e.query(ctx, func(c *Core) { state, known = c.JobState(id) })
	return state, known, err
}

// WaitingJobs returns how many jobs of a queue have not begun.
func (e *Engine) WaitingJobs(ctx context.Context, queue string) (count int, err error) {
	if !e.IsLeader() {
		return 0, ErrNotLeader
	}
	err = e.query(ctx, func(c *Core) { count = c.WaitingJobs(queue) })
	return count, err
}

// Counts returns the totals of the term.
func (e *Engine) Counts(ctx context.Context) (counts Counts, err error) {
	err = e.query(ctx, func(c *Core) { counts = c.Counts() })
	return counts, err
}

// loop owns the core.
func (e *Engine) runLoop() {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		wait := idleTick
		select {
		case f := <-e.inbox:
			e.handleMessages(f)
			wait = max(passInterval, time.Duration(float64(e.passDuration)/passShare)) - (clock.Now() - e.lastPass)
		case <-timer.C:
		case <-e.ctx.Done():
			return
		}
		if wait > 0 && wait != idleTick {
			timer.Reset(wait)
			continue
		}
		e.runPass()
		e.passDuration = clock.Now() - e.lastPass
		timer.Reset(idleTick)
	}
}

// handle applies a message and all that wait behind it.
func (e *Engine) handleMessages(f func(*Core)) {
	e.core.SetTime(clock.Now())
	f(e.core)
	for range len(e.inbox) {
		(<-e.inbox)(e.core)
	}
}

// pass plans, gives orders and stores what has changed.
func (e *Engine) runPass() {
	now := clock.Now()
	e.lastPass = now
	c := e.core
	if !e.o.Leadership.IsLeader(e.o.Core.Fence) {
		// The state stays valid as long as no other process takes the duty. A batch that is stored confirms that.
		e.commit(now)
		return
	}
	if e.o.Leadership.PreviousLeaderEnded() {
		c.PreviousLeaderEnded()
	}
	c.SetCatalog(e.o.Catalog())
	for _, cmd := range c.Schedule(now) {
		e.spawn(func() { e.sendCommand(cmd) })
	}
	for _, cmd := range c.InstanceCommands() {
		e.spawn(func() { e.sendInstanceCommand(cmd) })
	}
	for _, q := range c.PolicyQueries() {
		e.spawn(func() { e.sendPolicyQuery(q) })
	}
	if ids := c.JobsToPrune(); len(ids) > 0 {
		e.spawn(func() { e.pruneJobs(ids) })
	}
	if c.Deposed() {
		e.o.Leadership.Depose(e.o.Core.Fence, "a worker has seen a higher fencing token")
		return
	}
	for _, id := range c.Workers() {
		if !e.renewing[id] {
			e.renewing[id] = true
			e.spawn(func() { e.renewLease(id) })
		}
	}
	e.commit(now)
}
