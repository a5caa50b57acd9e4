package dispatch

import (
	"context"
	"time"

	"github.com/chivetiller/chivetiller/dispatch/connection"
	"github.com/chivetiller/chivetiller/endpoint"
)

const (
	// minHedge is the least delay before an attempt is hedged. A shorter one saves a caller less than
	// the second attempt costs.
	minHedge = 5 * time.Millisecond
	// hedgeSamples is how many attempts must have been measured before any is hedged.
	hedgeSamples = 100
)

// tail estimates the 95th percentile of attempt times. It moves by a fraction of itself with each
// sample, up 19 times as far as down, and so balances where 1 of 20 samples is above it.
type tail struct {
	estimate time.Duration
	samples  int
}

// tailGain is the fraction by which a sample above the estimate moves it.
const tailGain = 0.1

func (t *tail) add(sample time.Duration) {
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

// hedgeAfter returns the delay before a second attempt, or 0 if there is none.
func (t *task) hedgeAfter(now time.Time, k *ticket) time.Duration {
	if t.o.DisableHedging || !k.request.Idempotent || k.attempts > 1 {
		return 0
	}
	tail := t.tails[k.request.Class]
	if tail == nil || tail.samples < hedgeSamples {
		return 0
	}
	delay := max(tail.estimate, minHedge)
	if now.Add(delay).After(k.request.Deadline) {
		return 0
	}
	return delay
}

// learn records the time of an attempt that was answered.
func (t *task) learn(class string, attempt time.Duration) {
	v, ok := t.tails[class]
	if !ok {
		v = &tail{}
		t.tails[class] = v
	}
	v.add(attempt)
}

// hedgeRequest asks for a second attempt while the first one runs.
type hedgeRequest struct {
	ticket *ticket
	reply  chan grant
}

func (m hedgeRequest) apply(t *task, now time.Time) { m.reply <- t.hedge(now, m.ticket) }

// hedge grants a second attempt if budget, permit and another endpoint are there at once.
func (t *task) hedge(now time.Time, k *ticket) grant {
	refused := grant{err: errNoRetry}
	if t.stopping || k.state != stateGranted || t.endpoints.FreeSlots(now) == 0 {
		return refused
	}
	var permit Permit
	if k.permit != nil {
		// The second attempt is another running request of the team.
		p, err := t.o.Permits.Acquire(k.request.Team)
		if err != nil {
			return refused
		}
		permit = p
	}
	if t.budget(k.request.Class).Allow(now) {
		if target, ok := t.endpoints.Acquire(now, k.last); ok {
			k.attempts++
			t.inFlight++
			if t.o.Observer != nil {
				t.o.Observer.Hedge(t.pool, k.request.Class)
			}
			return grant{target: target, idle: t.idle.take(target), permit: permit}
		}
	}
	if permit != nil {
		permit.Release()
	}
	return refused
}

// hedgeEnded returns what was lent for a second attempt.
type hedgeEnded struct {
	grant   grant
	conn    *connection.Conn
	outcome endpoint.Outcome
	// lingers says that the permit is released elsewhere.
	lingers bool
}

func (m hedgeEnded) apply(t *task, now time.Time) {
	t.giveBack(now, m.grant.target, m.conn, m.outcome)
	t.inFlight--
	if m.grant.permit != nil && !m.lingers {
		m.grant.permit.Release()
	}
}

// hedged makes an attempt and, if that takes long, a second one. The first complete response counts, and
// the other attempt is cancelled. The returned outcome and connection are those of the first attempt.
func (e *execution) hedged(ctx context.Context, g grant) (result, *connection.Conn) {
	first, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	second, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	results := make(chan result, 1)
	timer := time.AfterFunc(g.hedgeAfter, func() {
		r := e.second(second)
		if r.good() {
			cancelFirst()
		}
		results <- r
	})
	res, conn := e.attempt(first, g)
	if timer.Stop() || res.good() {
		return res, conn
	}
	// The first attempt failed, or was cancelled because the second one has a response.
	other := <-results
	if other.good() {
		// An endpoint that is nearly always slower than the second attempt is quarantined like one that fails.
		res.outcome = endpoint.OutcomeFailed
	}
	res.notRun = res.notRun && other.notRun
	if other.response != nil && (other.good() || res.response == nil) {
		res.response, res.problem, res.retry = other.response, nil, other.retry
		res.answered = true
	}
	return res, conn
}

// second makes the second attempt if one is granted.
func (e *execution) second(ctx context.Context) result {
	none := result{notRun: true}
	m := hedgeRequest{ticket: &e.ticket, reply: make(chan grant, 1)}
	if !e.task.send(m) {
		return none
	}
	var g grant
	select {
	case g = <-m.reply:
	case <-e.task.done:
		return none
	}
	if g.err != nil {
		return none
	}
	res, conn := e.attempt(ctx, g)
	e.task.send(hedgeEnded{grant: g, conn: conn, outcome: res.outcome, lingers: res.lingers})
	return res
}

// good reports whether the attempt brought a response that no other attempt would improve.
func (r result) good() bool { return r.response != nil && !r.retry }
