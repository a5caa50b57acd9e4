package dispatch

import (
	"context"
	"time"

	"github.com/chivetiller/chivetiller/dispatch/connection"
	"github.com/chivetiller/chivetiller/endpoint"
)

const (
	// minHedgeDelay is the shortest delay before an attempt is hedged. With a shorter one, a hedge saves the caller
	// less time than it costs.
	minHedgeDelay = 5 * time.Millisecond
	// minHedgeSamples is the number of measured attempts of a class before any of its attempts is hedged.
	minHedgeSamples = 100
)

// tailEstimate estimates the 95th percentile of attempt times. Each sample moves the estimate by a fraction of itself.
// A step up is 19 times as large as a step down, so that the estimate settles where 1 of 20 samples is above it.
type tailEstimate struct {
	estimate time.Duration
	samples  int
}

// tailGain is the fraction by which a sample above the estimate moves it.
const tailGain = 0.1

func (t *tailEstimate) addSample(sample time.Duration) {
	t.samples++
	switch {
	case t.samples == 1:
		t.estimate = sample
	case sample > t.estimate:
		t.estimate += time.Duration(tailGain * float64(t.estimate))
	default:
		t.estimate -= time.Duration(tailGain / 19 * float64(t.estimate))
	}
}

// hedgeAfter returns the delay before an attempt is hedged, or 0 if it is not hedged.
func (l *poolLoop) hedgeAfter(now time.Time, tr *trackedRequest) time.Duration {
	if l.options.DisableHedging || !tr.request.Idempotent || tr.attempts > 1 {
		return 0
	}
	tail := l.tailEstimates[tr.request.Class]
	if tail == nil || tail.samples < minHedgeSamples {
		return 0
	}
	delay := max(tail.estimate, minHedgeDelay)
	if now.Add(delay).After(tr.request.Deadline) {
		return 0
	}
	return delay
}

// recordAttemptTime adds the duration of an answered attempt to the estimate of its class.
func (l *poolLoop) recordAttemptTime(class string, attempt time.Duration) {
	v, ok := l.tailEstimates[class]
	if !ok {
		v = &tailEstimate{}
		l.tailEstimates[class] = v
	}
	v.addSample(attempt)
}

// hedgeRequest requests a second attempt (a hedge) while the first one runs.
type hedgeRequest struct {
	tracked *trackedRequest
	reply   chan grant
}

func (m hedgeRequest) apply(l *poolLoop, now time.Time) { m.reply <- l.grantHedge(now, m.tracked) }

// grantHedge grants a second attempt if the retry budget allows it and a permit and a slot at another endpoint are
// available without waiting.
func (l *poolLoop) grantHedge(now time.Time, tr *trackedRequest) grant {
	refused := grant{err: errNoRetry}
	if l.stopping || tr.state != stateInAttempt || l.endpoints.FreeSlots(now) == 0 {
		return refused
	}
	var permit Permit
	if tr.permit != nil {
		// The second attempt counts as another running request of the team.
		p, err := l.options.Permits.Acquire(tr.request.Team)
		if err != nil {
			return refused
		}
		permit = p
	}
	if l.retryBudget(tr.request.Class).Allow(now) {
		if target, ok := l.endpoints.Acquire(now, tr.lastEndpoint); ok {
			tr.attempts++
			l.inFlight++
			if l.options.Observer != nil {
				l.options.Observer.Hedge(l.pool, tr.request.Class)
			}
			return grant{target: target, idleConn: l.idle.pop(target), permit: permit}
		}
	}
	if permit != nil {
		permit.Release()
	}
	return refused
}

// hedgeEnded reports the end of a second attempt and returns its endpoint slot, connection and permit.
type hedgeEnded struct {
	grant   grant
	conn    *connection.Conn
	outcome endpoint.Outcome
	// permitHeld says that execution.releasePermitAfterRun releases the permit.
	permitHeld bool
}

func (m hedgeEnded) apply(l *poolLoop, now time.Time) {
	l.releaseEndpoint(now, m.grant.target, m.conn, m.outcome)
	l.inFlight--
	if m.grant.permit != nil && !m.permitHeld {
		m.grant.permit.Release()
	}
}

// attemptWithHedge makes an attempt and, if that takes longer than g.hedgeAfter, a second one. The first final response
// is returned, and the other attempt is cancelled. The returned outcome and connection are those of the first attempt.
func (e *execution) attemptWithHedge(ctx context.Context, g grant) (result, *connection.Conn) {
	first, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	second, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	results := make(chan result, 1)
	timer := time.AfterFunc(g.hedgeAfter, func() {
		r := e.hedgeAttempt(second)
		if r.isFinal() {
			cancelFirst()
		}
		results <- r
	})
	res, conn := e.attempt(first, g)
	if timer.Stop() || res.isFinal() {
		return res, conn
	}
	// The first attempt failed, or was cancelled because the second one received a final response.
	other := <-results
	if other.isFinal() {
		// Counting a lost race as a failure quarantines an endpoint that is nearly always slower than the second attempt.
		res.outcome = endpoint.OutcomeFailed
	}
	res.notRun = res.notRun && other.notRun
	if other.response != nil && (other.isFinal() || res.response == nil) {
		res.response, res.problem, res.retry = other.response, nil, other.retry
		res.answered = true
	}
	return res, conn
}

// hedgeAttempt makes the second attempt if the loop grants one.
func (e *execution) hedgeAttempt(ctx context.Context) result {
	none := result{notRun: true}
	m := hedgeRequest{tracked: &e.tracked, reply: make(chan grant, 1)}
	if !e.loop.send(m) {
		return none
	}
	var g grant
	select {
	case g = <-m.reply:
	case <-e.loop.done:
		return none
	}
	if g.err != nil {
		return none
	}
	res, conn := e.attempt(ctx, g)
	e.loop.send(hedgeEnded{grant: g, conn: conn, outcome: res.outcome, permitHeld: res.permitHeld})
	return res
}

// isFinal reports whether the attempt received a response that another attempt would not improve.
func (r result) isFinal() bool { return r.response != nil && !r.retry }
