package dispatch

import (
	"time"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/dispatch/connection"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/queue"
	"github.com/chivetiller/chivetiller/team"
)

// message is sent to a pool loop, which applies it on its own goroutine.
type message interface {
	apply(l *poolLoop, now time.Time)
}

// requestState is the state of a request in its pool loop.
type requestState int

const (
	// stateQueued: the request waits in the queue of the scheduler.
	stateQueued requestState = iota
	// stateAwaitingEndpoint: the request has left the queue, counts against the upper limit of its team, and waits
	// for an endpoint.
	stateAwaitingEndpoint
	// stateInAttempt: the requesting goroutine makes an attempt and will report its end.
	stateInAttempt
	stateEnded
)

// trackedRequest is a request and its state. Only the pool loop accesses the fields other than request and reply.
type trackedRequest struct {
	request *Request
	// reply receives one grant for the submission and for each retry.
	reply        chan grant
	state        requestState
	queueRequest queue.Request
	permit       Permit
	attempts     int
	lastEndpoint string
	grantedAt    time.Time
	// slotTime is the time that attempts of the request have occupied a slot.
	slotTime time.Duration
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
}

// grant allows one attempt at an endpoint. If err is set, it allows none.
type grant struct {
	target endpoint.Endpoint
	// idleConn is a connection to reuse if it is still open. It may be nil.
	idleConn *connection.Conn
	permit   Permit
	// hedgeAfter is the delay after which a hedge is requested; 0 means never.
	hedgeAfter time.Duration
	err        *problem.Problem
}

// sendGrant sends a grant to the requesting goroutine. It never blocks the loop: a grant that finds the channel full
// is dropped.
func (tr *trackedRequest) sendGrant(g grant) {
	select {
	case tr.reply <- g:
	default:
	}
}

// submit queues a new request.
type submit struct{ tracked *trackedRequest }

func (m submit) apply(l *poolLoop, now time.Time) { l.submit(now, m.tracked) }

// cancel withdraws a request that waits for an attempt.
type cancel struct{ tracked *trackedRequest }

func (m cancel) apply(l *poolLoop, now time.Time) {
	l.rejectRequest(now, m.tracked, problem.NotRun(problem.Cancelled, ""))
}

// attemptEnded reports the end of an attempt and returns its endpoint slot and connection.
type attemptEnded struct {
	tracked *trackedRequest
	target  endpoint.Endpoint
	// conn is nil if the connection cannot be reused.
	conn    *connection.Conn
	outcome endpoint.Outcome
	// answered says that the attempt ended with a complete response, its own or that of a hedge, and that its duration
	// counts for the estimates of attempt and slot times.
	answered bool
	// permitHeld says that execution.releasePermitAfterRun releases the permit of the attempt.
	permitHeld bool
	// retry requests another attempt.
	retry bool
	// notRun says that certainly no attempt so far has run.
	notRun bool
}

func (m *attemptEnded) apply(l *poolLoop, now time.Time) {
	l.releaseEndpoint(now, m.target, m.conn, m.outcome)
	elapsed := now.Sub(m.tracked.grantedAt)
	m.tracked.slotTime += elapsed
	if m.answered {
		l.recordAttemptTime(m.tracked.request.Class, elapsed)
	}
	if m.permitHeld {
		m.tracked.permit = nil
	}
	if !m.retry {
		l.finishRequest(now, m.tracked, m.answered)
		return
	}
	if !l.scheduleRetry(now, m.tracked, m.notRun) {
		l.finishRequest(now, m.tracked, false)
		m.tracked.sendGrant(grant{err: errNoRetry})
	}
}

// configure replaces the classes and teams.
type configure struct {
	classes []class.Class
	teams   []team.Team
}

func (m configure) apply(l *poolLoop, _ time.Time) { l.scheduler.Configure(m.classes, m.teams) }

// setEndpoints replaces the endpoints.
type setEndpoints struct{ endpoints []endpoint.Endpoint }

func (m setEndpoints) apply(l *poolLoop, now time.Time) { l.setEndpoints(now, m.endpoints) }

// stop ends the loop once nothing is in flight.
type stop struct{}

func (stop) apply(l *poolLoop, now time.Time) { l.stop(now) }

// usageQuery queries the slot time that teams have used. The reply is empty if the queue is.
type usageQuery struct{ reply chan []queue.Usage }

func (m usageQuery) apply(l *poolLoop, _ time.Time) {
	if requests, _ := l.scheduler.Queued(); requests == 0 {
		m.reply <- nil
		return
	}
	m.reply <- l.scheduler.Usage(nil)
}

// peerUsage records the slot time that teams have used at another entry instance.
type peerUsage struct {
	peer string
	list []queue.Usage
}

func (m peerUsage) apply(l *poolLoop, _ time.Time) { l.scheduler.ObservePeerUsage(m.peer, m.list) }

// removePeer removes the recorded usage of another entry instance.
type removePeer struct{ peer string }

func (m removePeer) apply(l *poolLoop, _ time.Time) { l.scheduler.RemovePeer(m.peer) }

// loadQuery queries the load of the pool.
type loadQuery struct{ reply chan Load }

func (m loadQuery) apply(l *poolLoop, now time.Time) { m.reply <- l.load(now) }

// Load is the load of one pool at this entry instance. Free is the number of free slots of its endpoints.
type Load struct {
	Pool     string `json:"pool"`
	Queued   int    `json:"queued"`
	InFlight int    `json:"inFlight"`
	Free     int    `json:"free"`
	// Idle is the number of open connections that carry no request.
	Idle int `json:"idle"`
}
