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
	// inboxSize bounds the messages that wait for a pool loop. Senders block beyond it.
	inboxSize = 1024
)

var (
	errNoRetry  = problem.NotRun(problem.NoEndpoint, "no retry is allowed")
	errStopping = problem.NotRun(problem.Stopping, "").RetryAfter(time.Second)
)

// poolLoop owns the queue, the endpoints and the idle connections of one pool. Only its goroutine accesses them;
// other goroutines send it messages.
type poolLoop struct {
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

func newPoolLoop(pool string, o *Options) *poolLoop {
	return &poolLoop{
		pool:          pool,
		options:       o,
		logger:        o.Logger,
		messages:      make(chan message, inboxSize),
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

// run handles messages until the loop is stopped and no request is in flight.
func (l *poolLoop) run() {
	defer close(l.done)
	defer l.idle.closeAll()
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for !l.stopping || l.inFlight > 0 {
		var ticks <-chan time.Time
		if len(l.queued)+len(l.awaitingEndpoint) > 0 {
			timer.Reset(pollInterval)
			ticks = timer.C
		}
		select {
		case m := <-l.messages:
			now := time.Now()
			l.withRecovery("message", func() { m.apply(l, now) })
			l.applyPending(now)
			l.withRecovery("dispatch", func() { l.dispatch(now) })
		case now := <-ticks:
			l.withRecovery("expiry", func() { l.expireRequests(now) })
			l.withRecovery("dispatch", func() { l.dispatch(now) })
		}
	}
}

// applyPending applies the messages that have already arrived, so that one call of dispatch serves them all.
func (l *poolLoop) applyPending(now time.Time) {
	for range inboxSize {
		select {
		case m := <-l.messages:
			l.withRecovery("message", func() { m.apply(l, now) })
		default:
			return
		}
	}
}

// withRecovery calls f and recovers from a panic, so that the loop goes on. The request being handled is rejected.
func (l *poolLoop) withRecovery(step string, f func()) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		l.logger.Error("Pool loop recovered from a panic.", "pool", l.pool, "step", step, "panic", r)
		if tr := l.current; tr != nil {
			l.current = nil
			l.rejectRequest(time.Now(), tr, problem.NotRun(problem.Internal, "request could not be dispatched"))
		}
	}()
	f()
}

// rejectRequest rejects a request that waits in the queue or for an endpoint. It does nothing in other states.
func (l *poolLoop) rejectRequest(now time.Time, tr *trackedRequest, p *problem.Problem) {
	switch tr.state {
	case stateQueued:
		delete(l.queued, tr.request.ID)
		tr.state = stateEnded
		l.scheduler.Cancel(tr.request.ID)
	case stateAwaitingEndpoint:
		if i := slices.Index(l.awaitingEndpoint, tr); i >= 0 {
			l.awaitingEndpoint = slices.Delete(l.awaitingEndpoint, i, i+1)
		}
		l.finishRequest(now, tr, false)
	default:
		return
	}
	tr.sendGrant(grant{err: p})
}

func (l *poolLoop) submit(now time.Time, tr *trackedRequest) {
	if l.stopping {
		tr.sendGrant(grant{err: errStopping})
		return
	}
	r := tr.request
	tr.queueRequest = queue.Request{
		ID: r.ID, Class: r.Class, Team: r.Team, Arrival: r.Arrival, Deadline: r.Deadline, Bytes: len(r.Body),
	}
	l.current = tr
	l.retryBudget(r.Class).RecordFirstAttempt(now)
	l.scheduler.SetCapacity(now, l.endpoints.FreeSlots(now)+l.inFlight)
	if err := l.scheduler.Offer(now, tr.queueRequest); err != nil {
		tr.state = stateEnded
		tr.sendGrant(grant{err: rejectionProblem(err)})
	} else {
		l.queued[r.ID] = tr
	}
	l.current = nil
}

func (l *poolLoop) retryBudget(class string) *retry.Budget {
	b, ok := l.retryBudgets[class]
	if !ok {
		b = retry.NewBudget(l.options.Retry)
		l.retryBudgets[class] = b
	}
	return b
}

// dispatch grants attempts while slots are free: first to requests that already left the queue, such as retries, then
// to queued ones.
func (l *poolLoop) dispatch(now time.Time) {
	l.dispatchAwaitingEndpoint(now)
	if len(l.queued) == 0 {
		return
	}
	free := l.endpoints.FreeSlots(now)
	l.scheduler.SetCapacity(now, free+l.inFlight)
	clear(l.permitErrors)
	defer l.releasePermits()
	for ; free > 0; free-- {
		r, ok := l.scheduler.Next(now, l.mayRun)
		if !ok {
			return
		}
		tr, ok := l.queued[r.ID]
		if !ok {
			l.scheduler.Aborted(now, r, 0)
			continue
		}
		l.current = tr
		delete(l.queued, r.ID)
		tr.permit = l.permits[r.Team]
		delete(l.permits, r.Team)
		tr.state = stateAwaitingEndpoint
		l.inFlight++
		target, ok := l.endpoints.Acquire(now)
		if ok {
			l.grantAttempt(now, tr, target)
		} else {
			l.awaitingEndpoint = append(l.awaitingEndpoint, tr)
		}
		l.current = nil
	}
}

// mayRun reports whether the team may run one more request. It acquires the permit for that.
func (l *poolLoop) mayRun(team string) bool {
	if team == "" || l.options.Permits == nil {
		return true
	}
	if l.permits[team] != nil {
		return true
	}
	permit, err := l.options.Permits.Acquire(team)
	if err != nil {
		l.permitErrors[team] = err
		return false
	}
	l.permits[team] = permit
	return true
}

func (l *poolLoop) releasePermits() {
	for _, permit := range l.permits {
		permit.Release()
	}
	clear(l.permits)
}

func (l *poolLoop) dispatchAwaitingEndpoint(now time.Time) {
	l.awaitingEndpoint = slices.DeleteFunc(l.awaitingEndpoint, func(tr *trackedRequest) bool {
		if tr.notBefore.After(now) {
			return false
		}
		if !l.ensurePermit(tr) {
			return false
		}
		target, ok := l.endpoints.Acquire(now, tr.lastEndpoint)
		if !ok {
			target, ok = l.endpoints.Acquire(now)
		}
		if ok {
			l.grantAttempt(now, tr, target)
		}
		return ok
	})
}

// ensurePermit acquires a new permit for a retry whose previous attempt still holds its own. It reports whether the
// request has a permit.
func (l *poolLoop) ensurePermit(tr *trackedRequest) bool {
	if tr.permit != nil || tr.request.Team == "" || l.options.Permits == nil {
		return true
	}
	permit, err := l.options.Permits.Acquire(tr.request.Team)
	if err != nil {
		return false
	}
	tr.permit = permit
	return true
}

func (l *poolLoop) grantAttempt(now time.Time, tr *trackedRequest, target endpoint.Endpoint) {
	tr.attempts++
	tr.lastEndpoint = target.ID
	tr.state = stateInAttempt
	tr.grantedAt = now
	tr.sendGrant(grant{target: target, idleConn: l.idle.pop(target), permit: tr.permit, hedgeAfter: l.hedgeAfter(now, tr)})
}

// scheduleRetry schedules another attempt. It reports false if none is allowed.
func (l *poolLoop) scheduleRetry(now time.Time, tr *trackedRequest, notRun bool) bool {
	if l.stopping {
		return false
	}
	delay, ok := l.retryPolicy.Retry(now, retry.Request{
		Idempotent: tr.request.Idempotent,
		NotRun:     notRun,
		Retries:    tr.attempts - 1,
		Deadline:   tr.request.Deadline,
	}, l.retryBudget(tr.request.Class))
	if !ok {
		return false
	}
	if notRun && tr.attempts == 1 {
		// A refusal, because the endpoint is full or leaving, is no sign that other endpoints would refuse too.
		delay = 0
	}
	tr.notBefore = now.Add(delay)
	tr.state = stateAwaitingEndpoint
	l.awaitingEndpoint = append(l.awaitingEndpoint, tr)
	if l.options.Observer != nil {
		l.options.Observer.Retry(l.pool, tr.request.Class)
	}
	return true
}

// releaseEndpoint releases the slot at an endpoint and keeps the connection for reuse, if it is not nil.
func (l *poolLoop) releaseEndpoint(now time.Time, target endpoint.Endpoint, conn *connection.Conn, outcome endpoint.Outcome) {
	l.endpoints.Release(now, target.ID, outcome)
	if conn != nil {
		l.idle.add(target, conn)
	}
}

// finishRequest ends a request that was dispatched. Its slot time feeds the estimates of the scheduler only if it was
// answered.
func (l *poolLoop) finishRequest(now time.Time, tr *trackedRequest, answered bool) {
	tr.state = stateEnded
	l.inFlight--
	if tr.permit != nil {
		tr.permit.Release()
	}
	if answered {
		l.scheduler.Finished(now, tr.queueRequest, tr.slotTime)
	} else {
		l.scheduler.Aborted(now, tr.queueRequest, tr.slotTime)
	}
}

// expireRequests rejects waiting requests that can no longer finish in time.
func (l *poolLoop) expireRequests(now time.Time) {
	for _, r := range l.scheduler.Expire(now) {
		if tr, ok := l.queued[r.ID]; ok {
			delete(l.queued, r.ID)
			tr.state = stateEnded
			tr.sendGrant(grant{err: l.expiryProblem(r.Team)})
		}
	}
	for _, tr := range slices.Clone(l.awaitingEndpoint) {
		if !now.Before(tr.request.Deadline) {
			l.rejectRequest(now, tr, problem.NotRun(problem.Late, "no endpoint became free in time"))
		}
	}
	if now.Sub(l.lostCheckedAt) > lostCheckInterval {
		l.lostCheckedAt = now
		l.rejectLostRequests(now)
	}
}

// rejectLostRequests rejects requests that the scheduler no longer has, which only a panic inside it can cause.
func (l *poolLoop) rejectLostRequests(now time.Time) {
	for _, tr := range l.queued {
		if now.Sub(tr.request.Deadline) > lostCheckInterval {
			l.rejectRequest(now, tr, problem.NotRun(problem.Internal, "request was lost in the queue"))
		}
	}
}

// expiryProblem returns the reason why a request of the team was not dispatched in time.
func (l *poolLoop) expiryProblem(team string) *problem.Problem {
	if err := l.permitErrors[team]; err != nil {
		return permitProblem(err)
	}
	return problem.NotRun(problem.Late, "request waited too long in the queue").RetryAfter(time.Second)
}

func (l *poolLoop) setEndpoints(now time.Time, endpoints []endpoint.Endpoint) {
	l.endpoints.Update(now, endpoints)
	l.idle.prune(endpoints)
}

// stop rejects waiting requests. Requests in flight go on.
func (l *poolLoop) stop(now time.Time) {
	l.stopping = true
	for _, tr := range l.queued {
		l.rejectRequest(now, tr, errStopping)
	}
	for _, tr := range slices.Clone(l.awaitingEndpoint) {
		l.rejectRequest(now, tr, errStopping)
	}
}

func (l *poolLoop) load(now time.Time) Load {
	return Load{
		Pool:     l.pool,
		Queued:   len(l.queued) + len(l.awaitingEndpoint),
		InFlight: l.inFlight,
		Free:     l.endpoints.FreeSlots(now),
		Idle:     l.idle.count(),
	}
}
