package delegate

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// dialTimeout limits connecting to a delegate. A node that is switched off does not reject the connection.
	dialTimeout = 250 * time.Millisecond
	// silenceTimeout is the time without a response after which a call that times out makes the connection suspect. Connections may
	// become silent without a reset. A delegate carries renewals, so it responds many times a second.
	silenceTimeout = 350 * time.Millisecond
	// suspectTimeout is the time after which a connection that is still silent is dropped. The leader may have been too busy to read
	// the responses, which it does meanwhile.
	suspectTimeout = 200 * time.Millisecond
	// retryAfter is the time after a failed connection in which the delegate is not used.
	retryAfter = 2 * time.Second
	// maxQueued limits the requests that wait to be written. If the connection is that slow, the leader calls workers itself.
	maxQueued = 1024
)

var (
	// errNoLink means that a request was not sent, because there is no connection.
	errNoLink = errors.New("no connection to the delegate")
	// errLinkLost means that the connection ended before the response, so the command may have been sent.
	errLinkLost = errors.New("connection to the delegate was lost")
	// errWorkerSilent means that the delegate got no answer from the worker. A call that times out at the leader first says nothing
	// about the worker: an overloaded leader reads responses late, and calling workers itself would load it more.
	errWorkerSilent = errors.New("worker did not answer the delegate")
)

// link is a connection to a delegate. It is safe for concurrent use.
type link struct {
	name, address string
	logger        hclog.Logger

	mu   sync.Mutex
	conn net.Conn
	out  chan request
	// connecting is closed when the attempt to connect has ended, and nil while there is none. Until retryAt no new one is made.
	connecting chan struct{}
	retryAt    time.Duration
	// failed means that the last connection or attempt has failed. suspectSince is the time since which the connection is suspect,
	// and 0 if it is not.
	failed       bool
	suspectSince time.Duration
	// closed means that no connection is to be made any more.
	closed    bool
	seq       uint64
	pending   map[uint64]chan response
	lastReply time.Duration
}

func newLink(name, address string, logger hclog.Logger) *link {
	return &link{name: name, address: address, logger: logger, pending: make(map[uint64]chan response)}
}

// usable reports whether requests can be sent. If there is no connection, it starts to make one. Requests wait for the first one: a
// new leader renews all leases at once, and could not make all these calls itself.
func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return len(l.out) < maxQueued
	}
	if l.connecting == nil && !l.closed && clock.Now() >= l.retryAt {
		l.connecting = make(chan struct{})
		go l.connect()
	}
	return l.connecting != nil && !l.failed
}

func (l *link) connect() {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", l.address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && l.closed {
		closeConn(conn, l.logger)
		err = errNoLink
	}
	close(l.connecting)
	l.connecting, l.failed = nil, err != nil
	if err != nil {
		l.retryAt = clock.Now() + retryAfter
		l.logger.Warn("Delegate cannot be reached.", "delegate", l.name, "error", err)
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Closing resets the connection. Otherwise abandoned commands could arrive after a network partition has ended.
		if err := tcp.SetLinger(0); err != nil {
			l.logger.Debug("Linger time was not set.", "delegate", l.name, "error", err)
		}
	}
	l.logger.Info("Delegate is in use.", "delegate", l.name, "address", l.address)
	// A request is queued only while fewer than maxQueued are, or by callers that checked this at the same time.
	l.conn, l.out, l.lastReply, l.suspectSince = conn, make(chan request, 2*maxQueued), clock.Now(), 0
	go writeAll(conn, l.out, l.logger)
	go l.read(conn)
}

// read delivers responses until the connection ends.
func (l *link) read(conn net.Conn) {
	decoder := cbor.NewDecoder(bufio.NewReaderSize(conn, bufferSize))
	for {
		var r response
		if err := decoder.Decode(&r); err != nil {
			l.drop(conn, err)
			return
		}
		l.mu.Lock()
		l.lastReply, l.suspectSince = clock.Now(), 0
		waiting, ok := l.pending[r.Seq]
		delete(l.pending, r.Seq)
		l.mu.Unlock()
		if ok {
			waiting <- r
		}
	}
}

// drop ends a connection. The calls that wait for a response fail.
func (l *link) drop(conn net.Conn, cause error) {
	closeConn(conn, l.logger)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	l.logger.Warn("Delegate is not used for a while: the connection was lost.", "delegate", l.name, "pending", len(l.pending), "error", cause)
	close(l.out)
	l.conn, l.out, l.retryAt, l.failed = nil, nil, clock.Now()+retryAfter, true
	for seq, waiting := range l.pending {
		delete(l.pending, seq)
		close(waiting)
	}
}

// close ends the connection, if there is one, for good.
func (l *link) close() {
	l.mu.Lock()
	conn := l.conn
	l.closed = true
	l.mu.Unlock()
	if conn != nil {
		l.drop(conn, errors.New("the delegate is no longer needed"))
	}
}

// call sends a request and waits for its response. The error is errNoLink if nothing was sent.
func (l *link) call(ctx context.Context, r request) (worker.Status, error) {
	unknown := worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}
	waiting := make(chan response, 1)
	l.mu.Lock()
	if connecting := l.connecting; l.conn == nil && connecting != nil {
		l.mu.Unlock()
		select {
		case <-connecting:
		case <-ctx.Done():
			return unknown, errNoLink
		}
		l.mu.Lock()
	}
	conn := l.conn
	if conn == nil {
		l.mu.Unlock()
		return unknown, errNoLink
	}
	l.seq++
	r.Seq = l.seq
	select {
	case l.out <- r:
	default:
		l.mu.Unlock()
		return unknown, errNoLink
	}
	l.pending[r.Seq] = waiting
	l.mu.Unlock()
	select {
	case reply, ok := <-waiting:
		if !ok {
			return unknown, errLinkLost
		}
		if reply.Status.Outcome == worker.Unknown {
			if reply.NotSent {
				reply.Status.Outcome = worker.NotSent
			}
			return reply.Status, fmt.Errorf("%w %s: %s", errWorkerSilent, l.name, reply.Error)
		}
		if reply.Error != "" {
			return reply.Status, fmt.Errorf("through node %s: %s", l.name, reply.Error)
		}
		return reply.Status, nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	delete(l.pending, r.Seq)
	silent := l.silentFor(clock.Now())
	l.mu.Unlock()
	if silent > 0 {
		l.drop(conn, fmt.Errorf("no response for %s", silent))
	}
	return unknown, fmt.Errorf("through node %s: %w", l.name, ctx.Err())
}

// silentFor records that a call has timed out, and returns for how long the connection has been silent if it is to be dropped.
func (l *link) silentFor(now time.Duration) time.Duration {
	silent := now - l.lastReply
	switch {
	case silent < silenceTimeout:
	case l.suspectSince == 0:
		l.suspectSince = now
	case now-l.suspectSince > suspectTimeout:
		return silent
	}
	return 0
}
