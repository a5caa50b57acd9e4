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

// message is what the task of a pool receives.
type message interface {
	apply(t *task, now time.Time)
}

// state is where a request is.
type state int

const (
	// stateWaiting: in the queue.
	stateWaiting state = iota
	// stateRetrying: taken from the queue, holds its place in the team's limit, and waits for an endpoint.
	stateRetrying
	// stateGranted: the requester makes an attempt and will report it.
	stateGranted
	stateEnded
)

// ticket follows a request through the task. Its fields belong to the task, but for request and reply.
type ticket struct {
	request *Request
	// reply receives one grant for each submission or retry.
	reply    chan grant
	state    state
	queued   queue.Request
	permit   Permit
	attempts int
	last     string
	granted  time.Time
	// slotTime is how long slots were in use for the request.
	slotTime time.Duration
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
}

// grant allows one attempt at an endpoint, or says why there is none.
type grant struct {
	target endpoint.Endpoint
	// idle is a connection to use if it is still open, or nil.
	idle   *connection.Conn
	permit Permit
	// hedgeAfter is the time after which a second attempt is asked for; 0 means never.
	hedgeAfter time.Duration
	err        *problem.Problem
}

// answer sends a grant. It never blocks the task, whatever the requester does.
func (k *ticket) answer(g grant) {
	select {
	case k.reply <- g:
	default:
	}
}

// submit asks for the first attempt.
type submit struct{ ticket *ticket }

func (m submit) apply(t *task, now time.Time) { t.submit(now, m.ticket) }

// cancel takes a request back that waits for an attempt.
type cancel struct{ ticket *ticket }

func (m cancel) apply(t *task, now time.Time) {
	t.abandon(now, m.ticket, problem.NotRun(problem.Cancelled, ""))
}

// attempted reports an attempt and returns what was lent for it.
type attempted struct {
	ticket *ticket
	target endpoint.Endpoint
	// conn can carry another request; it is nil if there is no such connection.
	conn    *connection.Conn
	outcome endpoint.Outcome
	// answered says that the attempt ended with a complete response, its own or that of a second attempt.
	answered bool
	// lingers says that the permit of the attempt is released elsewhere.
	lingers bool
	// retry asks for another attempt.
	retry bool
	// notRun says that no attempt so far can have had an effect.
	notRun bool
}

func (m *attempted) apply(t *task, now time.Time) {
	t.giveBack(now, m.target, m.conn, m.outcome)
	elapsed := now.Sub(m.ticket.granted)
	m.ticket.slotTime += elapsed
	if m.answered {
		t.learn(m.ticket.request.Class, elapsed)
	}
	if m.lingers {
		m.ticket.permit = nil
	}
	if !m.retry {
		t.finish(now, m.ticket, m.answered)
		return
	}
	if !t.retry(now, m.ticket, m.notRun) {
		t.finish(now, m.ticket, false)
		m.ticket.answer(grant{err: errNoRetry})
	}
}

// configure replaces the classes and teams.
type configure struct {
	classes []class.Class
	teams   []team.Team
}

func (m configure) apply(t *task, _ time.Time) { t.scheduler.Configure(m.classes, m.teams) }

// setEndpoints replaces the endpoints.
type setEndpoints struct{ endpoints []endpoint.Endpoint }

func (m setEndpoints) apply(t *task, now time.Time) { t.setEndpoints(now, m.endpoints) }

// stop ends the task once nothing is in flight.
type stop struct{}

func (stop) apply(t *task, now time.Time) { t.stop(now) }

// usage asks for the slot time that teams have used; the reply is empty if no work waits.
type usage struct{ reply chan []queue.Usage }

func (m usage) apply(t *task, _ time.Time) {
	if requests, _ := t.scheduler.Queued(); requests == 0 {
		m.reply <- nil
		return
	}
	m.reply <- t.scheduler.Usage(nil)
}

// peerUsage tells what teams have used at a peer.
type peerUsage struct {
	peer string
	list []queue.Usage
}

func (m peerUsage) apply(t *task, _ time.Time) { t.scheduler.ObservePeerUsage(m.peer, m.list) }

// forgetPeer removes what was observed of a peer.
type forgetPeer struct{ peer string }

func (m forgetPeer) apply(t *task, _ time.Time) { t.scheduler.RemovePeer(m.peer) }

// load asks for the load of the pool.
type load struct{ reply chan Load }

func (m load) apply(t *task, now time.Time) { m.reply <- t.load(now) }

// Load is the load of one pool at this entry instance.
type Load struct {
	Pool     string `json:"pool"`
	Queued   int    `json:"queued"`
	InFlight int    `json:"inFlight"`
	Free     int    `json:"free"`
	// Idle is the number of open connections that carry no request.
	Idle int `json:"idle"`
}
