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

// execution makes the attempts of one request on the goroutine of its requester.
type execution struct {
	task   *task
	ticket ticket
	// report is sent by reference. It is not written again before the task has answered it.
	report attempted
	// mayHaveRun says that an earlier attempt may have had an effect.
	mayHaveRun bool
}

// result is the result of one attempt. Either response or problem is set.
type result struct {
	response *Response
	problem  *problem.Problem
	outcome  endpoint.Outcome
	// retry says that another attempt is allowed and can help.
	retry bool
	// notRun says that this attempt certainly had no effect.
	notRun bool
	// lingers says that the endpoint may still run the request, and that its permit is released when that ends.
	lingers bool
	// answered says that the time of the attempt tells how long such requests take.
	answered bool
}

func (e *execution) run(ctx context.Context) (*Response, *problem.Problem) {
	if !e.task.send(submit{&e.ticket}) {
		return nil, errStopping
	}
	var last result
	for {
		g := e.await(ctx)
		if g.err != nil {
			return e.refused(last, g.err)
		}
		var conn *connection.Conn
		if g.hedgeAfter > 0 {
			last, conn = e.hedged(ctx, g)
		} else {
			last, conn = e.attempt(ctx, g)
		}
		e.mayHaveRun = e.mayHaveRun || !last.notRun
		retry := last.retry && ctx.Err() == nil
		e.report = attempted{
			ticket: &e.ticket, target: g.target, conn: conn, outcome: last.outcome,
			answered: last.answered, lingers: last.lingers, retry: retry, notRun: !e.mayHaveRun,
		}
		e.task.send(&e.report)
		if !retry {
			return e.end(last)
		}
	}
}

// refused ends a request that gets no further attempt.
func (e *execution) refused(last result, p *problem.Problem) (*Response, *problem.Problem) {
	if last.response == nil && last.problem == nil {
		return nil, p
	}
	return e.end(last)
}

// end returns the last result. A refusal is not called "not run" if an earlier attempt may have run.
func (e *execution) end(last result) (*Response, *problem.Problem) {
	if last.response != nil {
		return last.response, nil
	}
	if e.mayHaveRun && last.problem.NotRun() {
		return nil, problem.Unknown(problem.EndpointFailed, last.problem.Detail()+"; an earlier attempt may have run")
	}
	return nil, last.problem
}

// await waits for a grant, and takes the request back if the context ends first.
func (e *execution) await(ctx context.Context) grant {
	k := &e.ticket
	select {
	case g := <-k.reply:
		return g
	case <-ctx.Done():
		e.task.send(cancel{k})
	case <-e.task.done:
	}
	select {
	case g := <-k.reply:
		return g
	case <-e.task.done:
	}
	// The task has ended and sends no more, but may have answered just before.
	select {
	case g := <-k.reply:
		return g
	default:
		return grant{err: errStopping}
	}
}

// attempt sends the request once. It returns the connection if that can be used again.
func (e *execution) attempt(ctx context.Context, g grant) (res result, reusable *connection.Conn) {
	r := e.ticket.request
	var conn *connection.Conn
	defer func() {
		if p := recover(); p != nil {
			e.task.logger.Error("Attempt recovered from a panic.", "pool", e.task.pool, "request", r.ID, "panic", p)
			res = result{problem: problem.Unknown(problem.Internal, "attempt failed inside the entry instance"), outcome: endpoint.OutcomeInconclusive}
			reusable = nil
			if conn != nil {
				conn.Close()
			}
		}
	}()
	if !r.Idempotent {
		// A run that may not be repeated goes to its end, and its response can be stored.
		ctx = context.WithoutCancel(ctx)
	}
	conn = g.idle
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
			return e.dialFailed(g, err), nil
		}
		conn = c
	}
	response, err := conn.Exchange(ctx, &connection.Request{
		ID: r.ID, Method: r.Method, URL: r.URL, Header: r.Header, Body: r.Body, Deadline: r.Deadline,
		CheckBeforeSend: e.check(g),
	})
	if err != nil && g.permit != nil && mayStillRun(err) {
		go e.linger(g.permit, conn)
		res := e.faulted(g, err)
		res.lingers = true
		return res, nil
	}
	if conn.Reusable() {
		reusable = conn
	} else {
		conn.Close()
	}
	if err != nil {
		return e.faulted(g, err), reusable
	}
	return e.responded(g, response), reusable
}

// mayStillRun reports whether the endpoint may go on with a request whose exchange has failed.
func mayStillRun(err error) bool {
	var fault *connection.Fault
	return errors.As(err, &fault) && fault.Sent &&
		(fault.Kind == connection.FaultTimeout || fault.Kind == connection.FaultCancelled)
}

// linger keeps the permit of a request that was given up until the endpoint has ended it. Without that the
// team could have more running than its upper limit.
func (e *execution) linger(permit Permit, conn *connection.Conn) {
	if e.ticket.request.Idempotent {
		// Only a run that may be repeated is cut short.
		conn.CloseWrite()
	}
	conn.DiscardUntil(time.Now().Add(e.task.o.MaxOverrun))
	permit.Release()
}

// check returns what is checked right before the first byte.
func (e *execution) check(g grant) func() error {
	check := e.ticket.request.CheckBeforeSend
	if g.permit == nil {
		return check
	}
	return func() error {
		if err := g.permit.Check(); err != nil {
			return denial(err)
		}
		if check == nil {
			return nil
		}
		return check()
	}
}

func (e *execution) dial(ctx context.Context, g grant) (*connection.Conn, error) {
	timeout := min(e.task.o.DialTimeout, time.Until(e.ticket.request.Deadline))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return connection.Dial(ctx, g.target.Address, e.task.o.Limits)
}

func (e *execution) dialFailed(g grant, err error) result {
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

// faulted judges an attempt without a complete response.
func (e *execution) faulted(g grant, err error) result {
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
		return result{problem: truth(fault.Sent, problem.Cancelled, ""), outcome: endpoint.OutcomeInconclusive, notRun: !fault.Sent}
	}
	e.logFault(g, fault.Kind, fault.Sent, fault.Err)
	kind, detail := problem.EndpointFailed, "endpoint sent no complete response: "+string(fault.Kind)
	if fault.Kind == connection.FaultTimeout {
		kind, detail = problem.EndpointTimeout, "endpoint sent no complete response before the deadline"
	}
	return result{
		problem: truth(fault.Sent, kind, detail),
		outcome: endpoint.OutcomeFailed,
		retry:   e.ticket.request.Idempotent || !fault.Sent,
		notRun:  !fault.Sent,
	}
}

func truth(mayHaveRun bool, kind problem.Kind, detail string) *problem.Problem {
	if mayHaveRun {
		return problem.Unknown(kind, detail)
	}
	return problem.NotRun(kind, detail)
}

// responded judges a complete response.
func (e *execution) responded(g grant, response *Response) result {
	if response.NotRun {
		if o := e.task.o.Observer; o != nil {
			o.EndpointNotRun(e.task.pool, g.target.ID)
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
	return result{response: response, outcome: endpoint.OutcomeFailed, retry: e.ticket.request.Idempotent && mayHelp(response.Status)}
}

// mayHelp reports whether another endpoint may do better than this status of a server error.
func mayHelp(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (e *execution) logFault(g grant, kind connection.FaultKind, sent bool, err error) {
	e.task.logger.Warn("Endpoint fault.", "pool", e.task.pool, "endpoint", g.target.ID, "request", e.ticket.request.ID,
		"fault", kind, "sent", sent, "error", err)
	if o := e.task.o.Observer; o != nil {
		o.EndpointFault(e.task.pool, g.target.ID, kind)
	}
}

// send passes a message to the task. It reports false if the task has ended.
func (t *task) send(m message) bool {
	select {
	case t.messages <- m:
		return true
	case <-t.done:
		return false
	}
}
