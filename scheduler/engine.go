package scheduler

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/datacentres/evacuation"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/internal/workers/registry"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// idleTick is the time between two passes without an event.
	idleTick = 20 * time.Millisecond
	// passInterval is the minimum time between two passes, and passShare the maximum share of time spent in them. A task that is
	// placed waits for its batch, so that a shorter interval would not start it sooner.
	passInterval = 8 * time.Millisecond
	passShare    = 0.2
	// commitInterval is the minimum time between two batches, unless more has changed than one holds. It bounds the calls to the
	// store, which are paid for, to 50 a second.
	commitInterval = 20 * time.Millisecond
	// commitTimeout is the timeout of one batch, besides the time to send it. A slow store takes up to 0.5 s.
	commitTimeout = time.Second
	// minUploadRate is the number of bytes a second that reach the store. The slowest links have 10 Mbit/s and carry commands, too.
	minUploadRate = 512 << 10
	// commitPause is the pause after a batch that failed.
	commitPause = 100 * time.Millisecond
	// batchRows is the maximum number of rows in a batch. Two conditions, the row of the chain and the rows of an earlier version
	// that are removed come on top.
	batchRows = store.MaxEntries - 8
	// minBatchRows is how few rows fit into a transaction, however large they are.
	minBatchRows = store.MaxBytes / (2 * store.MaxRowBytes)
	// commandTimeout is the timeout of a command to a worker. The longest link has a latency of 20 ms one way.
	commandTimeout = 400 * time.Millisecond
	// commandPause is the pause before a command is repeated.
	commandPause = 50 * time.Millisecond
	// renewTimeout is the timeout of a lease renewal on top of its wait.
	renewTimeout = 500 * time.Millisecond
	// renewPause is the pause after a renewal that failed.
	renewPause = 150 * time.Millisecond
	// unresponsivePause replaces renewPause for a worker that has not answered for a while.
	unresponsivePause = 600 * time.Millisecond
	// ackWait is how long a renewal waits for the exits of its worker to be stored. After that the lease is renewed without
	// acknowledging them.
	ackWait = 200 * time.Millisecond
	// registryInterval is the time between two scans of the worker registry, which shows instances that join a pool.
	registryInterval = 200 * time.Millisecond
	// jobsInterval is the time between two reads of new jobs. It finds the jobs whose notification was lost.
	jobsInterval = 700 * time.Millisecond
	// instancesInterval is the minimum time between two lists of the instances, and perInstanceInterval the one for each of
	// them. An entry has about 250 bytes, so lists take up to 4 Mbit/s.
	instancesInterval   = 300 * time.Millisecond
	perInstanceInterval = 500 * time.Microsecond
	// shortenInterval is the time between two rounds in which rows of ended jobs are shortened. Each takes a transaction for each
	// partition of jobs.
	shortenInterval = time.Second
	// readTimeout is the timeout of a read from the store or of the instances.
	readTimeout = time.Second
	// instanceTimeout is the timeout of a command for an instance.
	instanceTimeout = 1500 * time.Millisecond
	// adviceTimeout is the timeout of a query to the policy service, which answers queries one at a time.
	adviceTimeout = 3 * time.Second
	// inboxSize is the maximum number of queued events.
	inboxSize = 4096
)

// Waves gives access to the requests for maintenance.
type Waves interface {
	// Waves returns the requests by row name.
	Waves() map[string]instance.Wave
	// WaveStatus returns the row that reports the progress of a wave.
	WaveStatus(name string, finished bool) store.Put
}

// Evacuations gives access to the evacuated data centres.
type Evacuations interface {
	Evacuations() evacuation.Set
	// Refresh reads them now, again and again until that succeeds or ctx is done.
	Refresh(ctx context.Context) error
}

// Leadership tells whether this process is still the leader. All methods take the fencing token of a term.
type Leadership interface {
	// IsLeader reports whether leadership was confirmed recently.
	IsLeader(fence uint64) bool
	// ConfirmedAt returns the monotonic time at which the latest call was sent by which the store has confirmed the leadership, and false
	// if the term has ended.
	ConfirmedAt(fence uint64) (at time.Duration, leading bool)
	// Confirm records that this process was still the leader at a monotonic time.
	Confirm(fence uint64, at time.Duration)
	// Depose ends leadership because another process has acquired it.
	Depose(fence uint64, reason string)
	// PreviousLeaderEnded reports whether the process of the previous leader is known to have ended.
	PreviousLeaderEnded() bool
}

// EngineOptions configure an engine.
type EngineOptions struct {
	Core Options
	// Name is the name of this node.
	Name  string
	Store store.Store
	// Clock estimates the time of the store.
	Clock    *store.Clock
	Registry registry.Decoder
	Waves    Waves
	// Evacuations may be nil.
	Evacuations Evacuations
	Workers     worker.Commander
	Instances   instance.Fleet
	Advisor     advice.Advisor
	// Catalog returns the configuration in force.
	Catalog    func() *catalog.Catalog
	Leadership Leadership
	Logger     hclog.Logger
}

// Engine runs the scheduler for one term of leadership. Its loop owns the core; all other goroutines send it messages.
type Engine struct {
	options EngineOptions
	logger  hclog.Logger
	core    *Core
	inbox   chan func(*Core)
	cancel  context.CancelFunc
	ctx     context.Context
	tasks   sync.WaitGroup
	// encode encodes rows. Tests replace it.
	encode func(v any) ([]byte, error)

	// The fields below are used by the loop only.
	renewing   map[string]bool
	committing bool
	// lastAttemptEnd is the time at which the last attempt to store a batch ended, also a failed one.
	lastAttemptEnd time.Duration
	// retryAfter is the time before which no batch is taken, after one that could not be encoded.
	retryAfter   time.Duration
	lastPass     time.Duration
	passDuration time.Duration
	batchNumber  uint64
	// notCommitted counts the batches in a row that got no answer and were not carried out.
	notCommitted int
	chainVersion uint64
	batchStored  chan struct{}

	// reports are the latest reports for admission. Other goroutines read them.
	reports atomic.Pointer[loadReports]
}

// NewEngine returns an engine that is not started.
func NewEngine(o EngineOptions) *Engine {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Core.Logger = o.Logger
	ctx, cancel := context.WithCancel(context.Background())
	return &Engine{
		options: o, logger: o.Logger.Named("engine"), core: NewCore(o.Core), inbox: make(chan func(*Core), inboxSize), ctx: ctx, cancel: cancel,
		encode: encode, renewing: make(map[string]bool), batchStored: make(chan struct{}),
	}
}

// Start reads all rows of the scheduler and starts scheduling. A panic ends the term and not the process, as in [Engine.spawn].
func (e *Engine) Start(ctx context.Context) (err error) {
	defer func() {
		if p := recover(); p != nil {
			e.handlePanic(p)
			err = eris.Errorf("panic: %v", p)
		}
	}()
	return e.start(ctx)
}

func (e *Engine) start(ctx context.Context) error {
	since := clock.Now()
	var l *loadedRows
	reads, readCtx := errgroup.WithContext(ctx)
	reads.Go(func() (err error) {
		l, err = load(readCtx, e.options.Store, e.logger, e.logRow)
		return eris.Wrap(err, "read the rows of the scheduler")
	})
	if e.options.Evacuations != nil {
		// The process may have read them long ago, or may have its configuration from a peer.
		reads.Go(func() error { return eris.Wrap(e.options.Evacuations.Refresh(readCtx), "read the evacuations") })
	}
	if err := reads.Wait(); err != nil {
		return err
	}
	e.options.Clock.Update(l.now)
	if err := e.storeClockRow(ctx, l); err != nil {
		return err
	}
	e.chainVersion = l.chain
	now := clock.Now()
	c := e.core
	c.SetTime(now)
	e.updateConfirmation()
	e.updateOperatorRows()
	storeNow, _ := e.options.Clock.At(now)
	c.SetWallClock(now, l.clock.WallClock+storeNow-l.clock.Store)
	for i, entry := range l.roster {
		l.roster[i] = entry.fromStore(now - storeNow)
	}
	c.SetRoster(l.roster)
	e.takeHandover(l.handover, !l.handoverUnreadable, now)
	c.MigrateRows(l.oldRoster, l.hasOldRows)
	c.snapshots.Restore(l.snapshots, now-storeNow, func(name string, err error) { e.logger.Warn("Snapshot cannot be used.", "name", name, "error", err) })
	for id, at := range l.instances {
		l.instances[id] = now - (storeNow - at)
	}
	c.SetPreviousInstanceCommands(l.instances)
	for _, w := range l.waves {
		if w.Since != 0 {
			w.Since = now - (storeNow - w.Since)
		}
	}
	// The rates of teams count jobs in the order of their acceptance.
	for _, j := range slices.SortedFunc(maps.Values(l.jobs), func(a, b work.Job) int { return cmp.Compare(a.AcceptedAt, b.AcceptedAt) }) {
		c.AddJob(j, l.progress[j.ID], storeNow)
	}
	c.JobsPruned(l.staleParts)
	for _, id := range l.cancelled {
		c.Cancel(id)
	}
	e.logger.Info("Leadership begins.", "fence", e.options.Core.Fence, "tenure", e.options.Core.Term, "jobs", len(l.jobs), "cancelled", len(l.cancelled),
		"roster", len(l.roster), "version", l.version, "rows", l.rows, "bytes", l.bytes, "took", clock.Now()-since)
	e.spawn(e.runLoop)
	e.spawn(e.watchRegistry)
	e.spawn(func() { e.watchJobs(l.version) })
	e.spawn(func() { e.watchWaves(l.waves) })
	e.spawn(func() { e.repeat(shortenInterval, e.shortenJobs) })
	return nil
}

// logRow logs a row that cannot be decoded.
func (e *Engine) logRow(row store.Row, err error) {
	e.logger.Error("Row cannot be read.", "table", row.Table, "row", row.Name, "error", err)
}

// storeClockRow makes sure that the store has the row that relates its clock to wall clock time.
func (e *Engine) storeClockRow(ctx context.Context, l *loadedRows) error {
	if l.clock != (rowkeys.Clock{}) {
		return nil
	}
	// Reading the rows has taken some time, so both clocks are read here.
	at, known := e.options.Clock.Now()
	if !known {
		return eris.New("the time of the store is not known yet")
	}
	l.clock = rowkeys.Clock{Store: at, WallClock: time.Duration(time.Now().UnixNano())}
	value, err := encode(l.clock)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err = e.options.Store.Commit(ctx, store.Tx{
		Expected: []store.Expect{{Key: rowkeys.Leadership(rowkeys.RowClock)}}, Puts: []store.Put{{Key: rowkeys.Leadership(rowkeys.RowClock), Value: value}},
	})
	return eris.Wrap(err, "store the wall clock time of the store's clock")
}

// spawn runs f in the background. A panic ends the term and not the process, which also serves clients.
func (e *Engine) spawn(f func()) {
	e.tasks.Go(func() {
		defer func() {
			if p := recover(); p != nil {
				e.handlePanic(p)
			}
		}()
		f()
	})
}

// handlePanic ends the term after a panic. It is called while the stack still shows the cause.
func (e *Engine) handlePanic(p any) {
	e.logger.Error("Scheduler has panicked; leadership is given up.", "fence", e.options.Core.Fence, "panic", p, "stack", string(debug.Stack()))
	e.options.Leadership.Depose(e.options.Core.Fence, "the scheduler has panicked")
	e.cancel()
}

// Stop ends the term. It does not wait for the replies to commands that were sent.
func (e *Engine) Stop() {
	e.cancel()
	e.tasks.Wait()
	e.logger.Info("Leadership ends.", "fence", e.options.Core.Fence)
}

// Fence returns the fencing token of the term.
func (e *Engine) Fence() uint64 { return e.options.Core.Fence }

// Term returns the number of the term.
func (e *Engine) Term() int { return e.options.Core.Term }

// IsLeader reports whether leadership was confirmed recently, so that commands may be sent.
func (e *Engine) IsLeader() bool {
	return e.ctx.Err() == nil && e.options.Leadership.IsLeader(e.options.Core.Fence)
}

// post sends a message to the loop.
func (e *Engine) post(f func(*Core)) {
	select {
	case e.inbox <- f:
	case <-e.ctx.Done():
	}
}

// ErrNotLeader means that this process is not the leader.
var ErrNotLeader = errors.New("this node is not the leader")

// query runs a function in the loop and waits until it returns. Once query has returned, the function does not run any more, also after
// an error, so that it may write to variables of the caller.
func (e *Engine) query(ctx context.Context, f func(*Core)) error {
	var (
		claimed  atomic.Bool
		returned bool
	)
	done := make(chan struct{})
	message := func(c *Core) {
		if claimed.Swap(true) {
			return
		}
		defer close(done)
		f(c)
		returned = true
	}
	select {
	case e.inbox <- message:
	case <-e.ctx.Done():
		return ErrNotLeader
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
	case <-e.ctx.Done():
		if !claimed.Swap(true) {
			return ErrNotLeader
		}
	case <-ctx.Done():
		if !claimed.Swap(true) {
			return ctx.Err()
		}
	}
	<-done
	if !returned {
		return ErrNotLeader
	}
	return nil
}

// JobSubmitted notifies the engine of a job that was stored.
func (e *Engine) JobSubmitted(j work.Job) {
	now, _ := e.options.Clock.Now()
	e.post(func(c *Core) { c.AddJob(j, nil, now) })
}

// JobCancelled notifies the engine of a cancellation that was stored.
func (e *Engine) JobCancelled(id string) { e.post(func(c *Core) { c.Cancel(id) }) }

// JobState returns the state of a job, and false if the engine does not know it.
func (e *Engine) JobState(ctx context.Context, id string) (state work.State, known bool, err error) {
	if !e.IsLeader() {
		return 0, false, ErrNotLeader
	}
	err = e.query(ctx, func(c *Core) { state, known = c.JobState(id) })
	return state, known, err
}

// WaitingJobs returns the number of jobs of a queue that have not started.
func (e *Engine) WaitingJobs(ctx context.Context, queue string) (count int, err error) {
	if !e.IsLeader() {
		return 0, ErrNotLeader
	}
	err = e.query(ctx, func(c *Core) { count = c.WaitingJobs(queue) })
	return count, err
}

// Counts returns the totals of the term and the present number of jobs and workers by state.
func (e *Engine) Counts(ctx context.Context) (counts Counts, err error) {
	err = e.query(ctx, func(c *Core) { counts = c.Counts() })
	return counts, err
}

// runLoop handles messages and runs passes until the term ends. It owns the core.
func (e *Engine) runLoop() {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		wait := idleTick
		select {
		case f := <-e.inbox:
			e.handleMessages(f)
			e.dispatch(clock.Now())
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

// handleMessages applies a message and all those queued behind it.
func (e *Engine) handleMessages(f func(*Core)) {
	e.core.SetTime(clock.Now())
	f(e.core)
	for range len(e.inbox) {
		(<-e.inbox)(e.core)
	}
}

// runPass schedules, sends commands and stores what has changed.
func (e *Engine) runPass() {
	now := clock.Now()
	e.lastPass = now
	c := e.core
	if !e.options.Leadership.IsLeader(e.options.Core.Fence) {
		// The state stays valid until another process acquires leadership. A stored batch confirms that none has.
		c.Interrupted()
		e.commit(now)
		return
	}
	if e.options.Leadership.PreviousLeaderEnded() {
		c.PreviousLeaderEnded()
	}
	e.updateConfirmation()
	e.updateOperatorRows()
	c.Schedule(now)
	for _, cmd := range c.TakeInstanceCommands() {
		e.spawn(func() { e.sendInstanceCommand(cmd) })
	}
	for _, q := range c.TakePolicyQueries() {
		e.spawn(func() { e.sendPolicyQuery(q) })
	}
	if ids := c.TakeJobsToPrune(); len(ids) > 0 {
		e.spawn(func() { e.pruneJobs(ids) })
	}
	if ids := c.TakeCancelsToPrune(); len(ids) > 0 {
		e.spawn(func() { e.pruneCancels(ids) })
	}
	if c.Deposed() {
		e.options.Leadership.Depose(e.options.Core.Fence, "a worker or the instance service has seen a higher fencing token")
		return
	}
	for _, id := range c.Workers() {
		if !e.renewing[id] {
			e.renewing[id] = true
			e.spawn(func() { e.renewLease(id) })
		}
	}
	if last := e.reports.Load(); last == nil || now-last.at >= reportInterval {
		e.reports.Store(c.loadReports())
	}
	e.dispatch(now)
	e.commit(now)
}

// updateConfirmation tells the core when the leadership was last confirmed. It is called by the loop.
func (e *Engine) updateConfirmation() {
	if at, leading := e.options.Leadership.ConfirmedAt(e.Fence()); leading {
		e.core.SetConfirmed(at)
	}
}

// updateOperatorRows tells the core what the operator has written. It is called by the loop.
func (e *Engine) updateOperatorRows() {
	e.core.SetCatalog(e.options.Catalog())
	if e.options.Evacuations != nil {
		e.core.SetEvacuations(e.options.Evacuations.Evacuations())
	}
}

// dispatch sends the commands that are due and stores what has changed. It follows every message and does not wait for a pass: the
// passes of an overloaded leader are far apart, and each batch starts only a limited number of tasks.
func (e *Engine) dispatch(now time.Duration) {
	if e.options.Leadership.IsLeader(e.options.Core.Fence) {
		for _, cmd := range e.core.TakeCommands() {
			e.spawn(func() { e.sendCommand(cmd) })
		}
	}
	if e.core.Backlog() > 0 {
		e.commit(now)
	}
}
