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
	orderTimeout = 400 * time.Millisecond
	// orderPause is the time before an order is repeated.
	orderPause = 50 * time.Millisecond
	// renewTimeout is how long a renewal may take beyond its wait.
	renewTimeout = 500 * time.Millisecond
	// renewPause is the time after a renewal that failed.
	renewPause = 150 * time.Millisecond
	// silentPause is the same for a worker that has not answered for a while.
	silentPause = 600 * time.Millisecond
	// ackWait is the longest wait for the ends of a worker to be stored before its lease is renewed all the same.
	ackWait = 200 * time.Millisecond
	// registryInterval is the time between two looks at the registry of workers, which show the instances that join a pool.
	registryInterval = 200 * time.Millisecond
	// feedInterval is the time between two looks at new jobs, for those whose notice got lost.
	feedInterval = 700 * time.Millisecond
	// instancesInterval is the least time between two looks at the instances, and instanceInterval the time for each of
	// them, which bounds the bytes: an entry has about 250.
	instancesInterval = 300 * time.Millisecond
	instanceInterval  = 2 * time.Millisecond
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

// Duty tells whether this process still holds the duty.
type Duty interface {
	Holds(fence uint64) bool
	Confirm(fence uint64, at time.Duration)
	Depose(fence uint64, reason string)
	// FormerEnded reports whether the holder before has surely ended.
	FormerEnded() bool
}

// EngineOptions are the options of an engine.
type EngineOptions struct {
	Core      Options
	Name      string
	Store     store.Store
	Clock     *store.Clock
	Registry  Registry
	Waves     Waves
	Orders    worker.Orders
	Instances instance.Fleet
	Advisor   advice.Advisor
	Catalog   func() *catalog.Catalog
	Duty      Duty
	Logger    hclog.Logger
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
	renewing   map[string]bool
	committing bool
	committed  time.Duration
	lastPass   time.Duration
	passTook   time.Duration
	batch      uint64
	chain      uint64
	stored     chan struct{}
	asked      map[string]bool
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
		renewing: make(map[string]bool), stored: make(chan struct{}), asked: make(map[string]bool),
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
	if err := e.tieClock(ctx, l); err != nil {
		return err
	}
	e.chain = l.chain
	now := clock.Now()
	c := e.core
	c.SetTime(now)
	c.SetCatalog(e.o.Catalog())
	storeNow, _ := e.o.Clock.At(now)
	c.SetUnix(now, l.clock.Unix+storeNow-l.clock.Store)
	c.SetRoster(l.roster)
	for id, at := range l.instances {
		l.instances[id] = now - (storeNow - at)
	}
	c.SetFormerOrders(l.instances)
	for id, j := range l.jobs {
		c.AddJob(j, l.progress[id], storeNow)
	}
	for _, id := range l.cancelled {
		c.Cancel(id)
	}
	e.logger.Info("Duty begins.", "fence", e.o.Core.Fence, "tenure", e.o.Core.Tenure, "jobs", len(l.jobs), "cancelled", len(l.cancelled),
		"roster", len(l.roster), "version", l.version)
	e.run(e.loop)
	e.run(e.watchRegistry)
	e.run(func() { e.watchJobs(l.version) })
	e.run(func() { e.watchWaves(l.waves) })
	e.ready.Store(true)
	return nil
}

// tieClock makes sure that the store ties its clock to the time of day.
func (e *Engine) tieClock(ctx context.Context, l *loaded) error {
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
		Expected: []store.Expect{{Key: dutyKey(rowClock)}}, Puts: []store.Put{{Key: dutyKey(rowClock), Value: value}},
	})
	return eris.Wrap(err, "tie the clock of the store to the time of day")
}

func (e *Engine) run(f func()) { e.tasks.Go(f) }

// Stop ends the term. Orders on their way are not waited for.
func (e *Engine) Stop() {
	e.cancel()
	e.tasks.Wait()
	e.logger.Info("Duty ends.", "fence", e.o.Core.Fence)
}

// Fence returns the fencing token of the term.
func (e *Engine) Fence() uint64 { return e.o.Core.Fence }

// Tenure returns the number of the term.
func (e *Engine) Tenure() int { return e.o.Core.Tenure }

// Holds reports whether the duty was confirmed lately, so that orders may be given.
func (e *Engine) Holds() bool { return e.ctx.Err() == nil && e.o.Duty.Holds(e.o.Core.Fence) }

// post sends a message to the loop.
func (e *Engine) post(f func(*Core)) {
	select {
	case e.inbox <- f:
	case <-e.ctx.Done():
	}
}

// ErrNotHolder means that this process does not hold the duty.
var ErrNotHolder = errors.New("the duty is not held")

// ask runs a function in the loop and waits for it.
func (e *Engine) ask(ctx context.Context, f func(*Core)) error {
	done := make(chan struct{})
	select {
	case e.inbox <- func(c *Core) { f(c); close(done) }:
	case <-e.ctx.Done():
		return ErrNotHolder
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-e.ctx.Done():
		return ErrNotHolder
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Submitted tells the engine of a job that was stored.
func (e *Engine) Submitted(j work.Job) {
	now, _ := e.o.Clock.Now()
	e.post(func(c *Core) { c.AddJob(j, nil, now) })
}

// Cancelled tells the engine of a cancellation that was stored.
func (e *Engine) Cancelled(id string) { e.post(func(c *Core) { c.Cancel(id) }) }

// State returns the state of a job, and false if the engine does not know it.
func (e *Engine) State(ctx context.Context, id string) (state work.State, known bool, err error) {
	if !e.Holds() {
		return 0, false, ErrNotHolder
	}
	err = e.ask(ctx, func(c *Core) { state, known = c.State(id) })
	return state, known, err
}

// Waiting returns how many jobs of a queue have not begun.
func (e *Engine) Waiting(ctx context.Context, queue string) (count int, err error) {
	if !e.Holds() {
		return 0, ErrNotHolder
	}
	err = e.ask(ctx, func(c *Core) { count = c.Waiting(queue) })
	return count, err
}

// Counts returns the totals of the term.
func (e *Engine) Counts(ctx context.Context) (counts Counts, err error) {
	err = e.ask(ctx, func(c *Core) { counts = c.Counts() })
	return counts, err
}

// loop owns the core.
func (e *Engine) loop() {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		wait := idleTick
		select {
		case f := <-e.inbox:
			e.handle(f)
			wait = max(passInterval, time.Duration(float64(e.passTook)/passShare)) - (clock.Now() - e.lastPass)
		case <-timer.C:
		case <-e.ctx.Done():
			return
		}
		if wait > 0 && wait != idleTick {
			timer.Reset(wait)
			continue
		}
		e.pass()
		e.passTook = clock.Now() - e.lastPass
		timer.Reset(idleTick)
	}
}

// handle applies a message and all that wait behind it.
func (e *Engine) handle(f func(*Core)) {
	e.core.SetTime(clock.Now())
	f(e.core)
	for range len(e.inbox) {
		(<-e.inbox)(e.core)
	}
}

// pass plans, gives orders and stores what has changed.
func (e *Engine) pass() {
	now := clock.Now()
	e.lastPass = now
	c := e.core
	if !e.o.Duty.Holds(e.o.Core.Fence) {
		// The state stays valid as long as no other process takes the duty. A batch that is stored confirms that.
		e.commit(now)
		return
	}
	if e.o.Duty.FormerEnded() {
		c.FormerEnded()
	}
	c.SetCatalog(e.o.Catalog())
	for _, order := range c.Schedule(now) {
		e.run(func() { e.send(order) })
	}
	for _, order := range c.InstanceOrders() {
		e.run(func() { e.sendInstance(order) })
	}
	for _, q := range c.Questions() {
		e.run(func() { e.sendQuestion(q) })
	}
	if ids := c.Forget(); len(ids) > 0 {
		e.run(func() { e.forget(ids) })
	}
	if c.Deposed() {
		e.o.Duty.Depose(e.o.Core.Fence, "a worker has seen a higher fencing token")
		return
	}
	for _, id := range c.Workers() {
		if !e.renewing[id] {
			e.renewing[id] = true
			e.run(func() { e.renew(id) })
		}
	}
	e.commit(now)
}

// send gives an order to a worker.
func (e *Engine) send(o Order) {
	if o.run.tries > 0 {
		time.Sleep(orderPause)
	}
	// The duty is checked right before the order, since the process may have been suspended.
	if !e.Holds() {
		e.sleep(orderPause)
		e.post(func(c *Core) { c.Replied(o, worker.Reply{Outcome: worker.Unknown}, clock.Now(), ErrNotHolder) })
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, orderTimeout)
	defer cancel()
	sent := clock.Now()
	var reply worker.Reply
	var err error
	switch o.Kind {
	case OrderLook:
		status, err := e.o.Orders.Renew(ctx, o.Target, o.Renew)
		e.post(func(c *Core) { c.Observe(o.Target.ID, status, sent, err) })
		return
	case OrderStart:
		reply, err = e.o.Orders.Start(ctx, o.Target, o.Start)
	case OrderStop:
		reply, err = e.o.Orders.Stop(ctx, o.Target, o.Run)
	case OrderPace:
		reply, err = e.o.Orders.Pace(ctx, o.Target, o.Run)
	}
	e.post(func(c *Core) { c.Replied(o, reply, sent, err) })
}

// forget removes the rows of jobs that ended long ago. Their progress goes last: a job without progress would run again.
func (e *Engine) forget(ids []string) {
	parts := make(map[string][]store.Key)
	for _, id := range ids {
		key := JobKey(id)
		parts[key.Part] = append(parts[key.Part], key, CancelKey(id))
	}
	for part, keys := range parts {
		ctx, cancel := context.WithTimeout(e.ctx, commitTimeout)
		_, err := e.o.Store.Commit(ctx, store.Tx{Removes: keys})
		cancel()
		if err != nil {
			e.logger.Warn("Rows of ended jobs were not removed.", "part", part, "rows", len(keys), "error", err)
			continue
		}
		var done []string
		for _, id := range ids {
			if jobPart(id) == part {
				done = append(done, id)
			}
		}
		e.post(func(c *Core) { c.Forgotten(done) })
	}
}

func (e *Engine) sendInstance(o InstanceOrder) {
	if !e.Holds() {
		e.post(func(c *Core) { c.InstanceReplied(o, instance.Refused, ErrNotHolder) })
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, instanceTimeout)
	defer cancel()
	claim := instance.Claim{Holder: e.o.Name, Fence: e.o.Core.Fence}
	var outcome instance.Outcome
	var err error
	if o.Wave > 0 {
		outcome, err = e.o.Instances.Maintain(ctx, claim, o.Instance, o.Wave)
	} else {
		outcome, err = e.o.Instances.Move(ctx, claim, o.Instance, o.Pool)
	}
	e.post(func(c *Core) { c.InstanceReplied(o, outcome, err) })
}

func (e *Engine) sendQuestion(q Question) {
	ctx, cancel := context.WithTimeout(e.ctx, adviceTimeout)
	defer cancel()
	sent := clock.Now()
	grant, err := e.o.Advisor.Advise(ctx, q.Job, q.Occurrence, q.Step, q.Workers)
	e.post(func(c *Core) { c.Answered(q, grant, sent, err) })
}

// renew renews the lease of a worker until the worker is dropped.
func (e *Engine) renew(id string) {
	defer e.post(func(*Core) { delete(e.renewing, id) })
	for e.Holds() {
		r, known := e.nextRenewal(id)
		if !known || !e.Holds() {
			return
		}
		ctx, cancel := context.WithTimeout(e.ctx, r.Order.Wait+renewTimeout)
		sent := clock.Now()
		status, err := e.o.Orders.Renew(ctx, r.Target, r.Order)
		cancel()
		e.post(func(c *Core) { c.Observe(id, status, sent, err) })
		switch {
		case err != nil && r.Silent:
			e.sleep(silentPause)
		case err != nil:
			e.sleep(renewPause)
		}
	}
}

// nextRenewal returns the next renewal of a worker. It waits a while for ends that are not stored.
func (e *Engine) nextRenewal(id string) (r Renewal, known bool) {
	var stored chan struct{}
	look := func(c *Core) {
		r, known = c.Renewal(id)
		stored = e.stored
	}
	limit := clock.Now() + ackWait
	for {
		if err := e.ask(e.ctx, look); err != nil {
			return r, false
		}
		left := limit - clock.Now()
		if !known || !r.Pending || left <= 0 {
			return r, known
		}
		select {
		case <-stored:
		case <-time.After(left):
		case <-e.ctx.Done():
			return r, false
		}
	}
}

func (e *Engine) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-e.ctx.Done():
	}
}

// commit stores what has changed. One batch is on its way at a time.
func (e *Engine) commit(now time.Duration) {
	if e.committing || now < e.committed+commitInterval {
		return
	}
	b := e.core.Take(batchRows)
	if b.Empty() {
		if len(b.acks) > 0 {
			e.core.Committed(b)
			e.notifyStored()
		}
		return
	}
	e.committing = true
	e.batch++
	tx, err := e.transaction(b)
	if err != nil {
		e.logger.Error("Batch cannot be encoded.", "error", err)
		e.committing = false
		return
	}
	number, chain := e.batch, e.chain
	e.run(func() { e.store(b, tx, number, chain) })
}

// notifyStored wakes the renewals that wait for a batch.
func (e *Engine) notifyStored() {
	close(e.stored)
	e.stored = make(chan struct{})
}

func (e *Engine) transaction(b Batch) (store.Tx, error) {
	chain, err := encode(chainRow{Fence: e.o.Core.Fence, Batch: e.batch})
	if err != nil {
		return store.Tx{}, err
	}
	tx := store.Tx{
		// The holder row keeps its version for the whole term, and the chain shuts out batches that are carried out late.
		Expected: []store.Expect{{Key: dutyKey("holder"), Version: e.o.Core.Fence}, {Key: dutyKey(rowChain), Version: e.chain}},
		Puts:     []store.Put{{Key: dutyKey(rowChain), Value: chain}},
	}
	for id, p := range b.Progress {
		if err := addPut(&tx, progressKey(id), p); err != nil {
			return tx, err
		}
	}
	if b.Roster != nil {
		if err := addPut(&tx, dutyKey(rowRoster), b.Roster); err != nil {
			return tx, err
		}
	}
	if b.Instances != nil {
		instances := make(map[string]time.Duration, len(b.Instances))
		for id, at := range b.Instances {
			if instances[id], _ = e.o.Clock.At(at); instances[id] <= 0 {
				instances[id] = 1
			}
		}
		if err := addPut(&tx, dutyKey(rowInstances), instances); err != nil {
			return tx, err
		}
	}
	for _, id := range b.Removed {
		tx.Removes = append(tx.Removes, progressKey(id))
	}
	for n, w := range b.Waves {
		if err := addPut(&tx, progressKey(waveName(n)), w); err != nil {
			return tx, err
		}
		for name, doc := range e.o.Waves.Waves() {
			if doc.Number == n {
				tx.Puts = append(tx.Puts, e.o.Waves.WaveStatus(name, w.Finished))
			}
		}
	}
	return tx, nil
}

// store commits a batch and finds out what became of it if no answer comes.
func (e *Engine) store(b Batch, tx store.Tx, number, chain uint64) {
	ctx, cancel := context.WithTimeout(e.ctx, commitTimeout)
	defer cancel()
	sent := clock.Now()
	result, err := e.o.Store.Commit(ctx, tx)
	e.o.Clock.Note(result.Now)
	next := result.Version
	if errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrConflict) {
		next, err = e.findOut(number, chain, err)
	}
	if err == nil {
		e.o.Duty.Confirm(e.o.Core.Fence, sent)
	} else {
		e.sleep(commitPause)
	}
	e.post(func(c *Core) {
		e.committing = false
		e.committed = clock.Now()
		switch {
		case err == nil:
			e.chain = next
			c.Committed(b)
			e.notifyStored()
		default:
			if next != 0 {
				e.chain = next
			}
			c.Returned(b)
		}
	})
}

// errBatchNotDone means that a batch without an answer was not carried out so far.
var errBatchNotDone = errors.New("batch was not carried out")

// findOut reads the chain after a batch without an answer. It returns the version of the chain.
func (e *Engine) findOut(number, chain uint64, cause error) (uint64, error) {
	ctx, cancel := context.WithTimeout(e.ctx, readTimeout)
	defer cancel()
	rows, err := e.o.Store.Scan(ctx, tableDuty, "", "", "")
	if err != nil {
		e.logger.Warn("Outcome of a batch is unknown.", "batch", number, "cause", cause, "error", err)
		// The next batch has the same condition: it finds out, too.
		return chain, err
	}
	var current chainRow
	var version, holder uint64
	for _, row := range rows.Rows {
		switch row.Name {
		case rowChain:
			version = row.Version
			if err := decode(row.Value, &current); err != nil {
				return chain, err
			}
		case "holder":
			holder = row.Version
		}
	}
	switch {
	case holder != e.o.Core.Fence:
		e.o.Duty.Depose(e.o.Core.Fence, "the row of the duty has another version")
		return chain, ErrNotHolder
	case current.Fence == e.o.Core.Fence && current.Batch == number:
		e.logger.Info("Batch without an answer was carried out.", "batch", number, "cause", cause)
		return version, nil
	}
	e.logger.Warn("Batch was not carried out.", "batch", number, "cause", cause, "chain", version)
	return version, errBatchNotDone
}
