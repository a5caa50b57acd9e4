package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/chivetiller/chivetiller/common/problem"
)

// problemListener makes the answers that the HTTP server gives by itself, before any handler runs,
// problem documents like all others, and adds one for a head that arrives too slowly.
type problemListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l problemListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &problemConn{TCPConn: tcp, server: l.server}, nil
}

// problemConn is a connection of a caller.
type problemConn struct {
	*net.TCPConn
	server *Server
	// pending says that bytes have arrived that no handler and no answer accounts for.
	pending atomic.Bool
	// slow says that the time to receive a head elapsed while bytes were pending.
	slow atomic.Bool
}

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// handled tells the connection that a handler answers what has arrived.
func handled(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*problemConn); ok {
		c.pending.Store(false)
		c.slow.Store(false)
	}
}

// Read implements net.Conn.
func (c *problemConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.pending.Store(true)
	}
	if err != nil && c.pending.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		c.slow.Store(true)
	}
	return n, err
}

var errSlowHead = problem.NotRun(problem.SlowCaller, "head did not arrive in time")

// Close implements net.Conn.
func (c *problemConn) Close() error {
	if c.pending.Load() && c.slow.Load() {
		c.pending.Store(false)
		// The connection is closed whether or not the caller takes the answer.
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.TCPConn.Write(c.answer(errSlowHead))
	}
	return c.TCPConn.Close()
}

// errorHeaders is how the HTTP server begins the header of an answer of its own, which it writes by one call.
var errorHeaders = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

const statusPrefix = "HTTP/1.1 "

// Write implements net.Conn.
func (c *problemConn) Write(p []byte) (int, error) {
	c.pending.Store(false)
	if len(p) <= len(statusPrefix)+3 || (p[len(statusPrefix)] != '4' && p[len(statusPrefix)] != '5') {
		return c.TCPConn.Write(p)
	}
	own := ownAnswer(p)
	if own == nil {
		return c.TCPConn.Write(p)
	}
	if c.slow.Load() {
		own = errSlowHead
	}
	if _, err := c.TCPConn.Write(c.answer(own)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// ownAnswer returns the problem that p reports, or nil if p is not an answer of the HTTP server itself.
func ownAnswer(p []byte) *problem.Problem {
	end := bytes.Index(p, []byte("\r\n"))
	if end < len(statusPrefix)+3 {
		return nil
	}
	kind := problem.Malformed
	switch status := string(p[len(statusPrefix) : len(statusPrefix)+3]); {
	case status == "417" && !bytes.Contains(p, []byte(problem.HeaderRequestID)):
		return problem.NotRun(kind, "value of Expect is not supported")
	case !bytes.HasPrefix(p[end:], errorHeaders):
		return nil
	case status == "431":
		return problem.NotRun(problem.HeaderTooLarge, "")
	}
	return problem.NotRun(kind, "request is not valid HTTP/1.1")
}

// answer reports the problem and returns the bytes of its document.
func (c *problemConn) answer(p *problem.Problem) []byte {
	id := newID()
	c.server.log.write(id, c.RemoteAddr().String(), "", "", p)
	if o := c.server.o.Observer; o != nil {
		o.RequestEnded(Event{Outcome: p.Kind().Name, Status: p.Kind().Status, NotRun: true})
	}
	body := p.JSON(id)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		p.Kind().Status, http.StatusText(p.Kind().Status), problem.ContentType, problem.HeaderRequestID, id, len(body))
	return append([]byte(head), body...)
}
