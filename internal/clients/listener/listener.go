// Package listener applies a budget to the connections of a listener, so that no crowd of clients takes the memory or the descriptors of the
// process. The HTTP server on top of it stays as it is.
//
// # Usage
//
//	l, err := listener.Listen(address, listener.Options{Name: "front", Limits: limits, Logger: logger})
//	server.ConnContext, server.ConnState = l.ConnContext, listener.ConnState
//	server.MaxHeaderBytes = listener.MaxHeaderBytes
//	server.Handler = l.Handler(handler)
//	err = server.Serve(l)
//
// A handler whose read of a body fails with a [Refusal] answers its status. A protocol other than HTTP calls [Conn.MessageRead] after each
// message.
package listener

import (
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/internal/clients/budget"
	"github.com/chivetiller/chivetiller/metrics"
)

const (
	// MaxHeaderBytes is the limit of the HTTP server for a head, where the limit of the budget follows the configuration.
	MaxHeaderBytes = 64 << 10
	// sweepInterval is the time between two looks for requests whose time is over.
	sweepInterval = 250 * time.Millisecond
	logInterval   = time.Second
	// refusalTimeout limits writing a refusal.
	refusalTimeout = 100 * time.Millisecond
	// writeTimeout limits a write. A client that does not read its answers would otherwise hold them without end.
	writeTimeout = 10 * time.Second
	// writeDeadlineAge is how old the deadline of writes may get before it is set again, which costs time.
	writeDeadlineAge = time.Second
)

// Options are the options of a listener.
type Options struct {
	// Name is the name of the listener in logs and metrics.
	Name string
	// Limits returns the limits in force. It is called several times a second.
	Limits func() budget.Limits
	// ReceiveBuffer is the size of the kernel's receive buffer of a connection in bytes, and 0 for the usual size. Bytes that wait there
	// count as memory of the process, and the kernel would let each connection have several megabytes.
	ReceiveBuffer int
	// Refuse returns the bytes of the answer to a request that is refused before a handler has begun, if it writes an answer other than the
	// usual one without a body.
	Refuse func(r *Refusal) []byte
	// Binary means that the protocol is not HTTP, so that a message has no lines that become fields.
	Binary bool
	Logger hclog.Logger
}

// Stats is the state of a listener.
type Stats struct {
	Connections int
	HalfRead    int
	// Held is in bytes.
	Held int64
	// Refusals counts the refused requests and closed connections by reason.
	Refusals map[budget.Reason]uint64
}

// Metrics returns the state as it is exported.
func (s Stats) Metrics() metrics.ClientStats {
	m := metrics.ClientStats{Connections: float64(s.Connections), HeldBytes: float64(s.Held), Refusals: make(map[string]float64, len(s.Refusals))}
	for reason, n := range s.Refusals {
		m.Refusals[string(reason)] = float64(n)
	}
	return m
}

// Listener applies a budget to the connections that it accepts. It is safe for concurrent use.
type Listener struct {
	net.Listener
	options Options
	logger  hclog.Logger
	stop    chan struct{}
	once    sync.Once

	mu       sync.Mutex
	budget   *budget.Budget
	refusals map[budget.Reason]uint64
}

var _ net.Listener = (*Listener)(nil)

// Listen listens on a TCP address.
func Listen(address string, o Options) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if o.ReceiveBuffer == 0 {
			return nil
		}
		var failed error
		// Connections inherit the size, also while they wait to be accepted.
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, o.ReceiveBuffer)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return Wrap(inner, o), nil
}

// Wrap applies a budget to the connections of a listener.
func Wrap(inner net.Listener, o Options) *Listener {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	l := &Listener{
		Listener: inner, options: o, logger: o.Logger.Named("clients"), stop: make(chan struct{}),
		budget: budget.New(o.Limits()), refusals: make(map[budget.Reason]uint64),
	}
	go l.sweep()
	return l
}

// Accept implements [net.Listener]. A connection for which there is no room is closed at once.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		entry, closed, reason := l.budget.Open(now())
		var c *Conn
		if reason == budget.None {
			c = &Conn{Conn: inner, listener: l, entry: entry}
			entry.Owner = c
		}
		l.count(closed, reason)
		l.mu.Unlock()
		end(closed, budget.Evicted)
		if reason == budget.None {
			return c, nil
		}
		_ = inner.Close()
	}
}

// Close implements [net.Listener]. Connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.stop) })
	return l.Listener.Close()
}

// Stats returns the state of the listener.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Connections: l.budget.Connections(), HalfRead: l.budget.HalfRead(), Held: l.budget.Held(), Refusals: maps.Clone(l.refusals)}
}

// count counts the connections that are closed and a refusal. The lock is held.
func (l *Listener) count(closed []*budget.Conn, reason budget.Reason) {
	if len(closed) > 0 {
		l.refusals[budget.Evicted] += uint64(len(closed))
	}
	if reason != budget.None {
		l.refusals[reason]++
	}
}

// end ends the connections of entries of the budget.
func end(entries []*budget.Conn, reason budget.Reason) {
	for _, e := range entries {
		if c, ok := e.Owner.(*Conn); ok {
			c.end(reason)
		}
	}
}

// sweep ends the requests whose time is over, follows the limits, and logs what was refused, until the listener is closed and has no
// connections.
func (l *Listener) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	logged, loggedAt := make(map[budget.Reason]uint64), now()
	stopped := false
	for {
		select {
		case <-ticker.C:
		case <-l.stop:
			stopped = true
			<-ticker.C
		}
		at := now()
		l.mu.Lock()
		l.budget.SetLimits(l.options.Limits())
		expired := l.budget.Expired(at)
		for _, e := range expired {
			l.count(nil, e.Reason)
		}
		refusals := maps.Clone(l.refusals)
		held, connections := l.budget.Held(), l.budget.Connections()
		l.mu.Unlock()
		for _, e := range expired {
			end([]*budget.Conn{e.Conn}, e.Reason)
		}
		if at-loggedAt >= logInterval && !maps.Equal(refusals, logged) {
			l.log(refusals, logged, held, connections)
			logged, loggedAt = refusals, at
		}
		if stopped && connections == 0 {
			return
		}
	}
}

func (l *Listener) log(refusals, before map[budget.Reason]uint64, held int64, connections int) {
	values := []any{"listener", l.options.Name, "held", held, "connections", connections}
	for reason, n := range refusals {
		if n > before[reason] {
			values = append(values, string(reason), n-before[reason])
		}
	}
	l.logger.Warn("Clients were refused or closed.", values...)
}

// start is what times are relative to.
var start = time.Now()

func now() time.Duration { return time.Since(start) }

// Refusal is why a request is refused. It has not run.
type Refusal struct {
	Reason budget.Reason
}

// The HTTP server writes no answer of its own after a timeout.
var _ net.Error = (*Refusal)(nil)

// Timeout implements [net.Error].
func (r *Refusal) Timeout() bool { return true }

// Temporary implements [net.Error].
func (r *Refusal) Temporary() bool { return false }

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("the request was refused and has not run: %s", string(r.Reason))
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	switch r.Reason {
	case budget.HeadSize:
		return http.StatusRequestHeaderFieldsTooLarge
	case budget.HeadTime, budget.BodyTime, budget.Stall:
		return http.StatusRequestTimeout
	case budget.Chunks:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// RetryAfter is the time after which a client may try again, in seconds, and 0 if that does not help.
func (r *Refusal) RetryAfter() int {
	if r.Status() == http.StatusServiceUnavailable {
		return 1
	}
	return 0
}

// answer returns the bytes of the answer without a body.
func (r *Refusal) answer() []byte {
	retry := ""
	if s := r.RetryAfter(); s > 0 {
		retry = fmt.Sprintf("Retry-After: %d\r\n", s)
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", r.Status(), http.StatusText(r.Status()), retry)
}

type connKey struct{}

// ConnContext adds a connection to the context of its requests, for [http.Server.ConnContext].
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if own := connOf(c); own != nil {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

// unwrapper is a connection on top of another one.
type unwrapper interface{ NetConn() net.Conn }

var _ unwrapper = (*tls.Conn)(nil)

func connOf(c net.Conn) *Conn {
	for {
		switch v := c.(type) {
		case *Conn:
			return v
		case unwrapper:
			c = v.NetConn()
		default:
			return nil
		}
	}
}

// ConnState follows the state of a connection, for [http.Server.ConnState].
func ConnState(c net.Conn, s http.ConnState) {
	if own := connOf(c); own != nil && s == http.StateIdle {
		own.wait()
	}
}

// Handler returns a handler that tells the budget about requests and their bodies.
func (l *Listener) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		c.headRead(hasBody)
		defer c.answered()
		if hasBody {
			// The server keeps its own request, whose body it drains.
			counted := *r
			counted.Body = &body{ReadCloser: r.Body, conn: c}
			r = &counted
		}
		next.ServeHTTP(w, r)
	})
}

// writeAge is atomic, since a refusal may be written while the server writes.
type writeAge struct{ at atomic.Int64 }

func (w *writeAge) due(now time.Duration) bool {
	if last := w.at.Load(); last != 0 && now-time.Duration(last) < writeDeadlineAge {
		return false
	}
	w.at.Store(int64(max(now, 1)))
	return true
}
