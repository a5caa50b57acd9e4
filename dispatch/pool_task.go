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
	// pollInterval is the interval at which waiting requests are checked when no message arrives. The check expires
	// requests, and finds permits and endpoints that became free without a message.
	pollInterval = 5 * time.Millisecond
	// lostCheckInterval is the interval of checks for lost requests, and the time after its deadline at which a request
	// that still waits counts as lost.
	lostCheckInterval = time.Second
	// mailboxSize bounds the messages that wait for a task. Senders block beyond it.
	mailboxSize = 1024
)

var (
	errNoRetry  = problem.NotRun(problem.NoEndpoint, "no retry is allowed")
	errStopping = problem.NotRun(problem.Stopping, "").RetryAfter(time.Second)
)

// poolTask owns the queue, the endpoints and the idle connections of one pool. Only its goroutine accesses them;
// other goroutines send it messages.
type poolTask struct {
	pool     string
	options  *Options
	logger   hclog.Logger
	messages chan message
	// done is closed when run returns.
	done chan struct{}

	scheduler    Scheduler
	endpoints    Endpoints
	retryBudgets map[string]*retry.Budget
	retryPolicy  *retry.Policy
	// tailEstimates are the estimates of attempt times by class.
	tailEstimates    map[string]*tailEstimate
	idle             idleConns
	queued           map[string]*trackedRequest
	awaitingEndpoint []*trackedRequest
	inFlight         int
	// lostCheckedAt is the time of the last check for lost requests.
	lostCheckedAt time.Time
	stopping      bool
	// current is the request being handled, which is rejected if handling it panics.
	current *trackedRequest
	// permits are the permits by team that the current call of dispatch has acquired and not used yet.
	permits map[string]Permit
	// permitErrors are the reasons by team why the last call of dispatch could not acquire a permit.
	permitErrors map[string]error
}

func newPoolTask(pool string, o *Options) *poolTask {
	return &poolTask{
		pool:          pool,
		options:       o,
		logger:        o.Logger,
		messages:      make(chan message, mailboxSize),
		done:          make(chan struct{}),
		scheduler:     o.NewScheduler(pool),
		endpoints:     o.NewEndpoints(pool),
		retryBudgets:  make(map[string]*retry.Budget),
		retryPolicy:   retry.NewPolicy(),
		tailEstimates: make(map[string]*tailEstimate),
		idle:          make(idleConns),
		queued:        make(map[string]*trackedRequest),
		permits:       make(map[string]Permit),
		permitErrors:  make(map[string]error),
	}
}

// run handles messages until the task is stopped and no request is in flight.
func (t *poolTask) run() {
	defer close(t.done)
	defer t.idle.closeAll()
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for !t.stopping || t.inFlight > 0 {
		var ticks <-chan time.Time
		if len(t.queued)+len(t.awaitingEndpoint) > 0 {
			timer.Reset(pollInterval)
			ticks = timer.C
		}
		select {
		case m := <-t.messages:
			now := time.Now()
			t.withRecovery("message", func() { m.apply(t, now) })
			t.applyPending(now)
			t.withRecovery("dispatch", func() { t.dispatch(now) })
		case now := <-ticks:
			t.withRecovery("expiry", func() { t.expireRequests(now) })
			t.withRecovery("dispatch", func() { t.dispatch(now) })
		}
	}
}

// applyPending applies the messages that have already arrived, so that one call of dispatch serves them all.
func (t *poolTask) applyPending(now time.Time) {
	for range mailboxSize {
		select {
		case m := <-t.messages:
			t.withRecovery("message", func() { m.apply(t, now) })
		default:
			return
		}
	}
}

// withRecovery calls f and recovers from a panic, so that the task goes on. The request being handled is rejected.
func (t *poolTask) withRecovery(step string, f func()) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		t.logger.Error("Pool task recovered from a panic.", "pool", t.pool, "step", step, "panic", r)
		if tr := t.current; tr != nil {
			t.current = nil
			t.rejectRequest(time.Now(), tr, problem.NotRun(problem.Internal, "request could not be dispatched"))
		}
	}()
	f()
}

// rejectRequest rejects a request that waits in the queue or for an endpoint. It does nothing in other states.
func (t *poolTask) rejectRequest(now time.Time, tr *trackedRequest, p *problem.Problem) {
	switch tr.state {
	case stateQueued:
		delete(t.queued, tr.request.ID)
		tr.state = stateEnded
		t.scheduler.Cancel(tr.request.ID)
	case stateAwaitingEndpoint:
		if i := slices.Index(t.awaitingEndpoint, tr); i >= 0 {
			t.awaitingEndpoint = slices.Delete(t.awaitingEndpoint, i, i+1)
		}
		t.finishRequest(now, tr, false)
	default:
		return
	}
	tr.sendGrant(grant{err: p})
}

func (t *poolTask) submit(now time.Time, tr *trackedRequest) {
	if t.stopping {
		tr.sendGrant(grant{err: errStopping})
		return
	}
	r := tr.request
	tr.queueRequest = queue.Request{
		ID: r.ID, Class: r.Class, Team: r.Team, Arrival: r.Arrival, Deadline: r.Deadline, Bytes: len(r.Body),
	}
	t.current = tr
	t.retryBudget(r.Class).RecordFirstAttempt(now)
	t.scheduler.SetCapacity(now, t.endpoints.FreeSlots(now)+t.inFlight)
	if err := t.scheduler.Offer(now, tr.queueRequest); err != nil {
		tr.state = stateEnded
		tr.sendGrant(grant{err: rejectionProblem(err)})
	} else {
		t.queued[r.ID] = tr
	}
	t.current = nil
}

func (t *poolTask) retryBudget(class string) *retry.Budget {
	b, ok := t.retryBudgets[class]
	if !ok {
		b = retry.NewBudget(t.options.Retry)
		t.retryBudgets[class] = b
	}
	return b
}

// dispatch grants attempts while slots are free: first to requests that already left the queue, such as retries, then
// to queued ones.
func (t *poolTask) dispatch(now time.Time) {
	t.dispatchAwaitingEndpoint(now)
	if len(t.queued) == 0 {
		return
	}
	free := t.endpoints.FreeSlots(now)
	t.scheduler.SetCapacity(now, free+t.inFlight)
	clear(t.permitErrors)
	defer t.releasePermits()
	for ; free > 0; free-- {
		r, ok := t.scheduler.Next(now, t.mayRun)
		if !ok {
			return
		}
		tr, ok := t.queued[r.ID]
		if !ok {
			t.scheduler.Aborted(now, r, 0)
			continue
		}
		t.current = tr
		delete(t.queued, r.ID)
		tr.permit = t.permits[r.Team]
		delete(t.permits, r.Team)
		tr.state = stateAwaitingEndpoint
		t.inFlight++
		target, ok := t.endpoints.Acquire(now)
		if ok {
			t.grantAttempt(now, tr, target)
		} else {
			t.awaitingEndpoint = append(t.awaitingEndpoint, tr)
		}
		t.current = nil
	}
}

// mayRun reports whether the team may run one more request. It acquires the permit for that.
func (t *poolTask) mayRun(team string) bool {
	if team == "" || t.options.Permits == nil {
		return true
	}
	if t.permits[team] != nil {
		return true
	}
	permit, err := t.options.Permits.Acquire(team)
	if err != nil {
		t.permitErrors[team] = err
		return false
	}
	t.permits[team] = permit
	return true
}

func (t *poolTask) releasePermits() {
	for _, permit := range t.permits {
		permit.Release()
	}
	clear(t.permits)
}

func (t *poolTask) dispatchAwaitingEndpoint(now time.Time) {
	t.awaitingEndpoint = slices.DeleteFunc(t.awaitingEndpoint, func(tr *trackedRequest) bool {
		if tr.notBefore.After(now) {
			return false
		}
		if !t.ensurePermit(tr) {
			return false
		}
		target, ok := t.endpoints.Acquire(now, tr.lastEndpoint)
		if !ok {
			target, ok = t.endpoints.Acquire(now)
		}
		if ok {
			t.grantAttempt(now, tr, target)
		}
		return ok
	})
}

// ensurePermit acquires a new permit for a retry whose previous attempt still holds its own. It reports whether the
// request has a permit.
func (t *poolTask) ensurePermit(tr *trackedRequest) bool {
	if tr.permit != nil || tr.request.Team == "" || t.options.Permits == nil {
		return true
	}
	permit, err := t.options.Permits.Acquire(tr.request.Team)
	if err != nil {
		return false
	}
	tr.permit = permit
	return true
}

func (t *poolTask) grantAttempt(now time.Time, tr *trackedRequest, target endpoint.Endpoint) {
	tr.attempts++
	tr.lastEndpoint = target.ID
	tr.state = stateInAttempt
	tr.grantedAt = now
	tr.sendGrant(grant{target: target, idleConn: t.idle.pop(target), permit: tr.permit, hedgeAfter: t.hedgeAfter(now, tr)})
}

// scheduleRetry schedules another attempt. It reports false if none is allowed.
func (t *poolTask) scheduleRetry(now time.Time, tr *trackedRequest, notRun bool) bool {
	if t.stopping {
		return false
	}
	delay, ok := t.retryPolicy.Retry(now, retry.Request{
		Idempotent: tr.request.Idempotent,
		NotRun:     notRun,
		Retries:    tr.attempts - 1,
		Deadline:   tr.request.Deadline,
	}, t.retryBudget(tr.request.Class))
	if !ok {
		return false
	}
	if notRun && tr.attempts == 1 {
		// A refusal, because the endpoint is full or leaving, is no sign that other endpoints would refuse too.
		delay = 0
	}
	tr.notBefore = now.Add(delay)
	tr.state = stateAwaitingEndpoint
	t.awaitingEndpoint = append(t.awaitingEndpoint, tr)
	if t.options.Observer != nil {
		t.options.Observer.Retry(t.pool, tr.request.Class)
	}
	return true
}

// releaseEndpoint releases the slot at an endpoint and keeps the connection for reuse, if it is not nil.
func (t *poolTask) releaseEndpoint(now time.Time, target endpoint.Endpoint, conn *connection.Conn, outcome endpoint.Outcome) {
	t.endpoints.Release(now, target.ID, outcome)
	if conn != nil {
		t.idle.add(target, conn)
	}
}

// finishRequest ends a request that was dispatched. Its slot time feeds the estimates of the scheduler only if it was
// answered.
func (t *poolTask) finishRequest(now time.Time, tr *trackedRequest, answered bool) {
	tr.state = stateEnded
	t.inFlight--
	if tr.permit != nil {
		tr.permit.Release()
	}
	if answered {
		t.scheduler.Finished(now, tr.queueRequest, tr.slotTime)
	} else {
		t.scheduler.Aborted(now, tr.queueRequest, tr.slotTime)
	}
}

// expireRequests rejects waiting requests that can no longer finish in time.
func (t *poolTask) expireRequests(now time.Time) {
	for _, r := range t.scheduler.Expire(now) {
		if tr, ok := t.queued[r.ID]; ok {
			delete(t.queued, r.ID)
			tr.state = stateEnded
			tr.sendGrant(grant{err: t.expiryProblem(r.Team)})
		}
	}
	for _, tr := range slices.Clone(t.awaitingEndpoint) {
		if !now.Before(tr.request.Deadline) {
			t.rejectRequest(now, tr, problem.NotRun(problem.Late, "no endpoint became free in time"))
		}
	}
	if now.Sub(t.lostCheckedAt) > lostCheckInterval {
		t.lostCheckedAt = now
		t.rejectLostRequests(now)
	}
}

// rejectLostRequests rejects requests that the scheduler no longer has, which only a panic inside it can cause.
func (t *poolTask) rejectLostRequests(now time.Time) {
	for _, tr := range t.queued {
		if now.Sub(tr.request.Deadline) > lostCheckInterval {
			t.rejectRequest(now, tr, problem.NotRun(problem.Internal, "request was lost in the queue"))
		}
	}
}

// expiryProblem returns the reason why a request of the team was not dispatched in time.
func (t *poolTask) expiryProblem(team string) *problem.Problem {
	if err := t.permitErrors[team]; err != nil {
		return permitProblem(err)
	}
	return problem.NotRun(problem.Late, "request waited too long in the queue").RetryAfter(time.Second)
}

func (t *poolTask) setEndpoints(now time.Time, endpoints []endpoint.Endpoint) {
	t.endpoints.Update(now, endpoints)
	t.idle.prune(endpoints)
}

// stop rejects waiting requests. Requests in flight go on.
func (t *poolTask) stop(now time.Time) {
	t.stopping = true
	for _, tr := range t.queued {
		t.rejectRequest(now, tr, errStopping)
	}
	for _, tr := range slices.Clone(t.awaitingEndpoint) {
		t.rejectRequest(now, tr, errStopping)
	}
}

func (t *poolTask) load(now time.Time) Load {
	return Load{
		Pool:     t.pool,
		Queued:   len(t.queued) + len(t.awaitingEndpoint),
		InFlight: t.inFlight,
		Free:     t.endpoints.FreeSlots(now),
		Idle:     t.idle.count(),
	}
}
