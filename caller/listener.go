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
	"github.com/chivetiller/chivetiller/internal/clients/budget"
	clients "github.com/chivetiller/chivetiller/internal/clients/listener"
)

// problemListener is on top of the listener that bounds what callers hold. It replaces the plain-text errors that the HTTP server of the standard library writes before any handler
// runs by problem documents like those of handlers. It also sends one if a request head arrives too slowly, where the
// HTTP server closes the connection without a response.
type problemListener struct {
	*clients.Listener
	server *Server
}

// Accept implements net.Listener.
func (l problemListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &problemConn{Conn: c, server: l.server}, nil
}

// problemConn is a connection of a caller, in which errors of the HTTP server are replaced by problem documents.
type problemConn struct {
	net.Conn
	server *Server
	// unhandled says that bytes were received since the last handler began and the last write.
	unhandled atomic.Bool
	// timedOut says that the read deadline passed while bytes were unhandled.
	timedOut atomic.Bool
	// refusal is why the request was refused because of what callers hold.
	refusal atomic.Pointer[clients.Refusal]
}

// NetConn returns the connection below, as that of [tls.Conn] does.
func (c *problemConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the direction to the caller, which the HTTP server does before it closes a connection with unread bytes.
func (c *problemConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

type connContextKey struct{}

func (l problemListener) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(l.ConnContext(ctx, c), connContextKey{}, c)
}

// markHandled records on the connection of the request that a handler answers the bytes received so far.
func markHandled(r *http.Request) {
	if c, ok := r.Context().Value(connContextKey{}).(*problemConn); ok {
		c.unhandled.Store(false)
		c.timedOut.Store(false)
	}
}

// Read implements net.Conn.
func (c *problemConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.unhandled.Store(true)
	}
	var refusal *clients.Refusal
	if errors.As(err, &refusal) {
		c.refusal.Store(refusal)
		if refusal.Reason != budget.Evicted {
			c.unhandled.Store(true)
		}
	}
	if err != nil && c.unhandled.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		c.timedOut.Store(true)
	}
	return n, err
}

var errSlowHead = problem.NotRun(problem.SlowCaller, "head did not arrive in time")

// refusalProblem returns the problem for a request that was refused because of what callers hold.
func refusalProblem(r *clients.Refusal) *problem.Problem {
	switch r.Status() {
	case http.StatusRequestHeaderFieldsTooLarge:
		return problem.NotRun(problem.HeaderTooLarge, "")
	case http.StatusRequestTimeout:
		return problem.NotRun(problem.SlowCaller, "request did not arrive in time")
	case http.StatusRequestEntityTooLarge:
		return problem.NotRun(problem.BodyTooLarge, "body is sent in too small chunks")
	}
	return problem.NotRun(problem.Overloaded, "callers hold too much").RetryAfter(time.Second)
}

// Close implements net.Conn. It first sends a problem document if a request head arrived too slowly or was refused.
func (c *problemConn) Close() error {
	refusal := c.refusal.Load()
	if c.unhandled.Load() && (c.timedOut.Load() || refusal != nil) {
		c.unhandled.Store(false)
		p := errSlowHead
		if refusal != nil {
			p = refusalProblem(refusal)
		}
		// The connection is closed whether or not the caller receives the document.
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Conn.Write(c.reportProblem(p))
	}
	return c.Conn.Close()
}

// serverErrorHeaders are the headers of the errors that the HTTP server itself writes. It writes each by one call.
var serverErrorHeaders = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

const statusPrefix = "HTTP/1.1 "

// Write implements net.Conn. It replaces an error of the HTTP server by a problem document.
func (c *problemConn) Write(p []byte) (int, error) {
	c.unhandled.Store(false)
	if len(p) <= len(statusPrefix)+3 || (p[len(statusPrefix)] != '4' && p[len(statusPrefix)] != '5') {
		return c.Conn.Write(p)
	}
	serverProblem := httpServerProblem(p)
	if serverProblem == nil {
		return c.Conn.Write(p)
	}
	if c.timedOut.Load() {
		serverProblem = errSlowHead
	}
	if _, err := c.Conn.Write(c.reportProblem(serverProblem)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// httpServerProblem returns the problem for an error response that the HTTP server itself wrote, or nil if p is
// anything else.
func httpServerProblem(p []byte) *problem.Problem {
	end := bytes.Index(p, []byte("\r\n"))
	if end < len(statusPrefix)+3 {
		return nil
	}
	kind := problem.Malformed
	switch status := string(p[len(statusPrefix) : len(statusPrefix)+3]); {
	case status == "417" && !bytes.Contains(p, []byte(problem.HeaderRequestID)):
		return problem.NotRun(kind, "value of Expect is not supported")
	case !bytes.HasPrefix(p[end:], serverErrorHeaders):
		return nil
	case status == "431":
		return problem.NotRun(problem.HeaderTooLarge, "")
	}
	return problem.NotRun(kind, "request is not valid HTTP/1.1")
}

// reportProblem logs and reports the problem, and returns the bytes of an HTTP response with its document.
func (c *problemConn) reportProblem(p *problem.Problem) []byte {
	id := newRequestID()
	c.server.rejections.write(id, c.RemoteAddr().String(), "", "", p)
	if o := c.server.options.Observer; o != nil {
		o.RequestEnded(Event{Outcome: p.Kind().Name, Status: p.Kind().Status, NotRun: true})
	}
	body := p.JSON(id)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		p.Kind().Status, http.StatusText(p.Kind().Status), problem.ContentType, problem.HeaderRequestID, id, len(body))
	return append([]byte(head), body...)
}
