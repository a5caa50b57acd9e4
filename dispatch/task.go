package dispatch

import (
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/dispatch/connection"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/queue"
	"github.com/chivetiller/chivetiller/retry"
)

const (
	// tick is how often waiting requests are looked at when nothing else happens, to expire them
	// and to find permits and endpoints that became free elsewhere.
	tick = 5 * time.Millisecond
	// sweepInterval is how long after its deadline a request may stay in the queue.
	sweepInterval = time.Second
	// mailboxSize bounds the messages that wait for a task. Senders block beyond it.
	mailboxSize = 1024
)

var (
	errNoRetry  = problem.NotRun(problem.NoEndpoint, "no retry is allowed")
	errStopping = problem.NotRun(problem.Stopping, "").RetryAfter(time.Second)
)

// task owns the queue, the endpoints and the idle connections of one pool.
// Everything else talks to it by messages.
type task struct {
	pool     string
	o        *Options
	logger   hclog.Logger
	messages chan message
	// done is closed when the task has ended.
	done chan struct{}

	scheduler Scheduler
	endpoints Endpoints
	budgets   map[string]*retry.Budget
	policy    *retry.Policy
	// tails are the estimates of attempt times by class.
	tails    map[string]*tail
	idle     idleConns
	waiting  map[string]*ticket
	retries  []*ticket
	inFlight int
	// swept is when waiting requests were last compared with their deadlines.
	swept    time.Time
	stopping bool
	// current is the request that is being handled.
	current *ticket
	// permits are acquired in the current round and not used yet.
	permits map[string]Permit
	// denials are the reasons why teams got no permit in the current round.
	denials map[string]error
}

func newTask(pool string, o *Options) *task {
	return &task{
		pool:      pool,
		o:         o,
		logger:    o.Logger,
		messages:  make(chan message, mailboxSize),
		done:      make(chan struct{}),
		scheduler: o.NewScheduler(pool),
		endpoints: o.NewEndpoints(pool),
		budgets:   make(map[string]*retry.Budget),
		policy:    retry.NewPolicy(),
		tails:     make(map[string]*tail),
		idle:      make(idleConns),
		waiting:   make(map[string]*ticket),
		permits:   make(map[string]Permit),
		denials:   make(map[string]error),
	}
}

// run receives messages until the task is stopped and nothing is in flight.
func (t *task) run() {
	defer close(t.done)
	defer t.idle.closeAll()
	ticker := time.NewTimer(tick)
	defer ticker.Stop()
	for !t.stopping || t.inFlight > 0 {
		var ticks <-chan time.Time
		if len(t.waiting)+len(t.retries) > 0 {
			ticker.Reset(tick)
			ticks = ticker.C
		}
		select {
		case m := <-t.messages:
			now := time.Now()
			t.guard("message", func() { m.apply(t, now) })
			t.drain(now)
			t.guard("dispatch", func() { t.dispatch(now) })
		case now := <-ticks:
			t.guard("expiry", func() { t.expire(now) })
			t.guard("dispatch", func() { t.dispatch(now) })
		}
	}
}

// drain applies the messages that are already there, so that one round of dispatch serves them all.
func (t *task) drain(now time.Time) {
	for range mailboxSize {
		select {
		case m := <-t.messages:
			t.guard("message", func() { m.apply(t, now) })
		default:
			return
		}
	}
}

// guard keeps the task alive when one request makes it panic. That request is answered.
func (t *task) guard(step string, f func()) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		t.logger.Error("Dispatch task recovered from a panic.", "pool", t.pool, "step", step, "panic", r)
		if k := t.current; k != nil {
			t.current = nil
			t.abandon(time.Now(), k, problem.NotRun(problem.Internal, "request could not be dispatched"))
		}
	}()
	f()
}

// abandon answers a request that waits for an attempt, wherever it is.
func (t *task) abandon(now time.Time, k *ticket, p *problem.Problem) {
	switch k.state {
	case stateWaiting:
		delete(t.waiting, k.request.ID)
		k.state = stateEnded
		t.scheduler.Cancel(k.request.ID)
	case stateRetrying:
		if i := slices.Index(t.retries, k); i >= 0 {
			t.retries = slices.Delete(t.retries, i, i+1)
		}
		t.finish(now, k, false)
	default:
		return
	}
	k.answer(grant{err: p})
}

func (t *task) submit(now time.Time, k *ticket) {
	if t.stopping {
		k.answer(grant{err: errStopping})
		return
	}
	r := k.request
	k.queued = queue.Request{
		ID: r.ID, Class: r.Class, Team: r.Team, Arrival: r.Arrival, Deadline: r.Deadline, Bytes: len(r.Body),
	}
	t.current = k
	t.budget(r.Class).RecordFirstAttempt(now)
	t.scheduler.SetCapacity(now, t.endpoints.FreeSlots(now)+t.inFlight)
	if err := t.scheduler.Offer(now, k.queued); err != nil {
		k.state = stateEnded
		k.answer(grant{err: rejection(err)})
	} else {
		t.waiting[r.ID] = k
	}
	t.current = nil
}

func (t *task) budget(class string) *retry.Budget {
	b, ok := t.budgets[class]
	if !ok {
		b = retry.NewBudget(t.o.Retry)
		t.budgets[class] = b
	}
	return b
}

// dispatch grants attempts while there are free slots, retries first.
func (t *task) dispatch(now time.Time) {
	t.dispatchRetries(now)
	if len(t.waiting) == 0 {
		return
	}
	free := t.endpoints.FreeSlots(now)
	t.scheduler.SetCapacity(now, free+t.inFlight)
	clear(t.denials)
	defer t.releasePermits()
	for ; free > 0; free-- {
		r, ok := t.scheduler.Next(now, t.mayRun)
		if !ok {
			return
		}
		k, ok := t.waiting[r.ID]
		if !ok {
			t.scheduler.Aborted(now, r, 0)
			continue
		}
		t.current = k
		delete(t.waiting, r.ID)
		k.permit = t.permits[r.Team]
		delete(t.permits, r.Team)
		k.state = stateRetrying
		t.inFlight++
		target, ok := t.endpoints.Acquire(now)
		if ok {
			t.grant(now, k, target)
		} else {
			t.retries = append(t.retries, k)
		}
		t.current = nil
	}
}

// mayRun reports whether the team has a permit for one more request.
func (t *task) mayRun(team string) bool {
	if team == "" || t.o.Permits == nil {
		return true
	}
	if t.permits[team] != nil {
		return true
	}
	permit, err := t.o.Permits.Acquire(team)
	if err != nil {
		t.denials[team] = err
		return false
	}
	t.permits[team] = permit
	return true
}

func (t *task) releasePermits() {
	for _, permit := range t.permits {
		permit.Release()
	}
	clear(t.permits)
}

func (t *task) dispatchRetries(now time.Time) {
	t.retries = slices.DeleteFunc(t.retries, func(k *ticket) bool {
		if k.notBefore.After(now) {
			return false
		}
		if !t.holdPermit(k) {
			return false
		}
		target, ok := t.endpoints.Acquire(now, k.last)
		if !ok {
			target, ok = t.endpoints.Acquire(now)
		}
		if ok {
			t.grant(now, k, target)
		}
		return ok
	})
}

// holdPermit acquires a permit for a retry if that of the first attempt stays with it.
func (t *task) holdPermit(k *ticket) bool {
	if k.permit != nil || k.request.Team == "" || t.o.Permits == nil {
		return true
	}
	permit, err := t.o.Permits.Acquire(k.request.Team)
	if err != nil {
		return false
	}
	k.permit = permit
	return true
}

func (t *task) grant(now time.Time, k *ticket, target endpoint.Endpoint) {
	k.attempts++
	k.last = target.ID
	k.state = stateGranted
	k.granted = now
	k.answer(grant{target: target, idle: t.idle.take(target), permit: k.permit, hedgeAfter: t.hedgeAfter(now, k)})
}

// retry queues another attempt, or reports false if none is allowed.
func (t *task) retry(now time.Time, k *ticket, notRun bool) bool {
	if t.stopping {
		return false
	}
	delay, ok := t.policy.Retry(now, retry.Request{
		Idempotent: k.request.Idempotent,
		NotRun:     notRun,
		Retries:    k.attempts - 1,
		Deadline:   k.request.Deadline,
	}, t.budget(k.request.Class))
	if !ok {
		return false
	}
	if notRun && k.attempts == 1 {
		// An endpoint that refuses, because it is full or leaving, says nothing about the others.
		delay = 0
	}
	k.notBefore = now.Add(delay)
	k.state = stateRetrying
	t.retries = append(t.retries, k)
	if t.o.Observer != nil {
		t.o.Observer.Retry(t.pool, k.request.Class)
	}
	return true
}

// giveBack returns an endpoint and its connection.
func (t *task) giveBack(now time.Time, target endpoint.Endpoint, conn *connection.Conn, outcome endpoint.Outcome) {
	t.endpoints.Release(now, target.ID, outcome)
	if conn != nil {
		t.idle.put(target, conn)
	}
}

// finish ends a request that was dispatched. Its slot time is learned only from a complete response.
func (t *task) finish(now time.Time, k *ticket, answered bool) {
	k.state = stateEnded
	t.inFlight--
	if k.permit != nil {
		k.permit.Release()
	}
	if answered {
		t.scheduler.Finished(now, k.queued, k.slotTime)
	} else {
		t.scheduler.Aborted(now, k.queued, k.slotTime)
	}
}

// expire rejects requests that can no longer finish in time.
func (t *task) expire(now time.Time) {
	for _, r := range t.scheduler.Expire(now) {
		if k, ok := t.waiting[r.ID]; ok {
			delete(t.waiting, r.ID)
			k.state = stateEnded
			k.answer(grant{err: t.expired(r.Team)})
		}
	}
	for _, k := range slices.Clone(t.retries) {
		if !now.Before(k.request.Deadline) {
			t.abandon(now, k, problem.NotRun(problem.Late, "no endpoint became free in time"))
		}
	}
	if now.Sub(t.swept) > sweepInterval {
		t.swept = now
		t.sweep(now)
	}
}

// sweep answers requests that the scheduler no longer knows, which only a panic inside it can cause.
func (t *task) sweep(now time.Time) {
	for _, k := range t.waiting {
		if now.Sub(k.request.Deadline) > sweepInterval {
			t.abandon(now, k, problem.NotRun(problem.Internal, "request was lost in the queue"))
		}
	}
}

// expired says why a request was not dispatched in time.
func (t *task) expired(team string) *problem.Problem {
	if err := t.denials[team]; err != nil {
		return denial(err)
	}
	return problem.NotRun(problem.Late, "request waited too long in the queue").RetryAfter(time.Second)
}

func (t *task) setEndpoints(now time.Time, endpoints []endpoint.Endpoint) {
	t.endpoints.Update(now, endpoints)
	t.idle.keep(endpoints)
}

// stop rejects what waits. Requests in flight go on.
func (t *task) stop(now time.Time) {
	t.stopping = true
	for _, k := range t.waiting {
		t.abandon(now, k, errStopping)
	}
	for _, k := range slices.Clone(t.retries) {
		t.abandon(now, k, errStopping)
	}
}

func (t *task) load(now time.Time) Load {
	return Load{
		Pool:     t.pool,
		Queued:   len(t.waiting) + len(t.retries),
		InFlight: t.inFlight,
		Free:     t.endpoints.FreeSlots(now),
		Idle:     t.idle.count(),
	}
}
