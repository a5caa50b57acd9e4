package dispatch

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/dispatch/connection"
	"github.com/chivetiller/chivetiller/endpoint"
)

// execution makes the attempts of one request on the goroutine that called [Dispatcher.Do].
type execution struct {
	loop    *poolLoop
	tracked trackedRequest
	// report is sent by reference. It is reused only after the loop has replied to it.
	report attemptEnded
	// mayHaveRun says that the endpoint of an earlier attempt may have run the request.
	mayHaveRun bool
}

// result is the result of one attempt, hedge included. Either response or problem is set.
type result struct {
	response *Response
	problem  *problem.Problem
	outcome  endpoint.Outcome
	// retry says that another attempt is allowed and can help.
	retry bool
	// notRun says that the endpoint certainly did not run the request.
	notRun bool
	// permitHeld says that the endpoint may still run the request. Its permit is then released when the run has ended.
	permitHeld bool
	// answered says that the duration of the attempt counts for the estimates of attempt and slot times.
	answered bool
}

func (e *execution) run(ctx context.Context) (*Response, *problem.Problem) {
	if !e.loop.send(submit{&e.tracked}) {
		return nil, errStopping
	}
	var last result
	for {
		g := e.awaitGrant(ctx)
		if g.err != nil {
			return e.finishRejected(last, g.err)
		}
		var conn *connection.Conn
		if g.hedgeAfter > 0 {
			last, conn = e.attemptWithHedge(ctx, g)
		} else {
			last, conn = e.attempt(ctx, g)
		}
		e.mayHaveRun = e.mayHaveRun || !last.notRun
		retry := last.retry && ctx.Err() == nil
		e.report = attemptEnded{
			tracked: &e.tracked, target: g.target, conn: conn, outcome: last.outcome,
			answered: last.answered, permitHeld: last.permitHeld, retry: retry, notRun: !e.mayHaveRun,
		}
		e.loop.send(&e.report)
		if !retry {
			return e.finalResult(last)
		}
	}
}

// finishRejected ends a request that gets no further attempt. The result of its last attempt, if there was one, is
// returned rather than the rejection.
func (e *execution) finishRejected(last result, p *problem.Problem) (*Response, *problem.Problem) {
	if last.response == nil && last.problem == nil {
		return nil, p
	}
	return e.finalResult(last)
}

// finalResult returns the result of the last attempt. If an earlier one may have run, "not run" becomes an unknown
// outcome.
func (e *execution) finalResult(last result) (*Response, *problem.Problem) {
	if last.response != nil {
		return last.response, nil
	}
	if e.mayHaveRun && last.problem.NotRun() {
		return nil, problem.Unknown(problem.EndpointFailed, last.problem.Detail()+"; an earlier attempt may have run")
	}
	return nil, last.problem
}

// awaitGrant waits for a grant. If the context ends first, it withdraws the request.
func (e *execution) awaitGrant(ctx context.Context) grant {
	tr := &e.tracked
	select {
	case g := <-tr.reply:
		return g
	case <-ctx.Done():
		e.loop.send(cancel{tr})
	case <-e.loop.done:
	}
	select {
	case g := <-tr.reply:
		return g
	case <-e.loop.done:
	}
	// The loop has ended, but may have sent a grant just before.
	select {
	case g := <-tr.reply:
		return g
	default:
		return grant{err: errStopping}
	}
}

// attempt sends the request once. It returns the connection if that can be reused, else nil.
func (e *execution) attempt(ctx context.Context, g grant) (res result, reusable *connection.Conn) {
	r := e.tracked.request
	var conn *connection.Conn
	defer func() {
		if p := recover(); p != nil {
			e.loop.logger.Error("Attempt recovered from a panic.", "pool", e.loop.pool, "request", r.ID, "panic", p)
			res = result{problem: problem.Unknown(problem.Internal, "attempt failed inside the entry instance"), outcome: endpoint.OutcomeInconclusive}
			reusable = nil
			if conn != nil {
				conn.Close()
			}
		}
	}()
	if !r.Idempotent {
		// A request that may not be repeated runs to its end even without its caller, so that its response can be stored.
		ctx = context.WithoutCancel(ctx)
	}
	conn = g.idleConn
	if conn != nil && !conn.Alive() {
		conn.Close()
		conn = nil
	}
	if conn == nil {
		c, err := e.dial(ctx, g)
		if err != nil {
			if ctx.Err() != nil {
				return result{problem: problem.NotRun(problem.Cancelled, ""), outcome: endpoint.OutcomeInconclusive, notRun: true}, nil
			}
			return e.dialErrorResult(g, err), nil
		}
		conn = c
	}
	response, err := conn.Exchange(ctx, &connection.Request{
		ID: r.ID, Method: r.Method, URL: r.URL, Header: r.Header, Body: r.Body, Deadline: r.Deadline,
		CheckBeforeSend: e.checkBeforeSend(g),
	})
	if err != nil && g.permit != nil && mayStillRun(err) {
		go e.releasePermitAfterRun(g.permit, conn)
		res := e.faultResult(g, err)
		res.permitHeld = true
		return res, nil
	}
	if conn.Reusable() {
		reusable = conn
	} else {
		conn.Close()
	}
	if err != nil {
		return e.faultResult(g, err), reusable
	}
	return e.responseResult(g, response), reusable
}

// mayStillRun reports whether the endpoint may go on with a request whose exchange has failed.
func mayStillRun(err error) bool {
	var fault *connection.Fault
	return errors.As(err, &fault) && fault.Sent &&
		(fault.Kind == connection.FaultTimeout || fault.Kind == connection.FaultCancelled)
}

// releasePermitAfterRun releases the permit of an abandoned request only when the endpoint has finished running it.
// If it were released at once, the team could have more requests running than its upper limit.
func (e *execution) releasePermitAfterRun(permit Permit, conn *connection.Conn) {
	if e.tracked.request.Idempotent {
		// The end of the stream lets the endpoint stop the run, which is safe only for a request that may be repeated.
		conn.CloseWrite()
	}
	conn.DiscardUntil(time.Now().Add(e.loop.options.MaxOverrun))
	permit.Release()
}

// checkBeforeSend returns the check that runs right before the first byte is sent: that of the permit, then that of
// the request.
func (e *execution) checkBeforeSend(g grant) func() error {
	check := e.tracked.request.CheckBeforeSend
	if g.permit == nil {
		return check
	}
	return func() error {
		if err := g.permit.Check(); err != nil {
			return permitProblem(err)
		}
		if check == nil {
			return nil
		}
		return check()
	}
}

func (e *execution) dial(ctx context.Context, g grant) (*connection.Conn, error) {
	timeout := min(e.loop.options.DialTimeout, time.Until(e.tracked.request.Deadline))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return connection.Dial(ctx, g.target.Address, e.loop.options.Limits)
}

func (e *execution) dialErrorResult(g grant, err error) result {
	outcome := endpoint.OutcomeFailed
	if errors.Is(err, syscall.ECONNREFUSED) {
		outcome = endpoint.OutcomeRefused
	}
	e.logFault(g, connection.FaultConnection, false, err)
	return result{
		problem: problem.NotRun(problem.NoEndpoint, "endpoint does not accept connections").RetryAfter(time.Second),
		outcome: outcome,
		retry:   true,
		notRun:  true,
	}
}

// faultResult returns the result of an attempt without a complete response.
func (e *execution) faultResult(g grant, err error) result {
	var fault *connection.Fault
	if !errors.As(err, &fault) {
		fault = &connection.Fault{Kind: connection.FaultConnection, Sent: true, Err: err}
	}
	if fault.Kind == connection.FaultCheck {
		var p *problem.Problem
		if !errors.As(fault.Err, &p) {
			p = problem.NotRun(problem.Internal, fault.Err.Error())
		}
		return result{problem: p, outcome: endpoint.OutcomeInconclusive, notRun: true}
	}
	if fault.Kind == connection.FaultCancelled {
		return result{problem: outcomeProblem(fault.Sent, problem.Cancelled, ""), outcome: endpoint.OutcomeInconclusive, notRun: !fault.Sent}
	}
	e.logFault(g, fault.Kind, fault.Sent, fault.Err)
	kind, detail := problem.EndpointFailed, "endpoint sent no complete response: "+string(fault.Kind)
	if fault.Kind == connection.FaultTimeout {
		kind, detail = problem.EndpointTimeout, "endpoint sent no complete response before the deadline"
	}
	return result{
		problem: outcomeProblem(fault.Sent, kind, detail),
		outcome: endpoint.OutcomeFailed,
		retry:   e.tracked.request.Idempotent || !fault.Sent,
		notRun:  !fault.Sent,
	}
}

func outcomeProblem(mayHaveRun bool, kind problem.Kind, detail string) *problem.Problem {
	if mayHaveRun {
		return problem.Unknown(kind, detail)
	}
	return problem.NotRun(kind, detail)
}

// responseResult returns the result of an attempt with a complete response.
func (e *execution) responseResult(g grant, response *Response) result {
	if response.NotRun {
		if o := e.loop.options.Observer; o != nil {
			o.EndpointNotRun(e.loop.pool, g.target.ID)
		}
		return result{
			problem: problem.NotRun(problem.NoEndpoint, "endpoint refused the request").RetryAfter(time.Second),
			outcome: endpoint.OutcomeNotRun,
			retry:   true,
			notRun:  true,
		}
	}
	if response.Status < http.StatusInternalServerError {
		return result{response: response, outcome: endpoint.OutcomeOK, answered: true}
	}
	return result{response: response, outcome: endpoint.OutcomeFailed, retry: e.tracked.request.Idempotent && isRetryableStatus(response.Status)}
}

// isRetryableStatus reports whether another endpoint may succeed where one answered with this status.
func isRetryableStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (e *execution) logFault(g grant, kind connection.FaultKind, sent bool, err error) {
	e.loop.logger.Warn("Attempt at an endpoint failed.", "pool", e.loop.pool, "endpoint", g.target.ID, "request", e.tracked.request.ID,
		"fault", kind, "sent", sent, "error", err)
	if o := e.loop.options.Observer; o != nil {
		o.EndpointFault(e.loop.pool, g.target.ID, kind)
	}
}

// send sends a message to the loop, and blocks while its inbox is full. It reports false if the loop has ended.
func (l *poolLoop) send(m message) bool {
	select {
	case l.messages <- m:
		return true
	case <-l.done:
		return false
	}
}
