// Package connection sends requests to endpoints over HTTP/1.1 keep-alive connections, one request at a time.
// Unlike http.Transport, it reports whether any byte of a request was sent, and never repeats a request by itself.
//
// # Usage
//
//	c, err := connection.Dial(ctx, "127.0.0.1:9000", connection.Limits{})
//	response, err := c.Exchange(ctx, request)
//	if !c.Reusable() {
//		c.Close()
//	}
package connection

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/problem"
)

// Default limits of responses, in bytes.
const (
	DefaultMaxHeader = 64 << 10
	DefaultMaxBody   = 1 << 20
)

const bufferSize = 4 << 10

// Limits bound what is read from an endpoint, in bytes.
type Limits struct {
	MaxHeader int
	MaxBody   int
}

func (l Limits) withDefaults() Limits {
	if l.MaxHeader == 0 {
		l.MaxHeader = DefaultMaxHeader
	}
	if l.MaxBody == 0 {
		l.MaxBody = DefaultMaxBody
	}
	return l
}

// Request is a request to an endpoint.
type Request struct {
	ID       string
	Method   string
	URL      *url.URL
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// CheckBeforeSend is called right before the first byte is sent. If it fails, nothing is sent. It may be nil.
	CheckBeforeSend func() error
}

// Response is a complete response of an endpoint.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun says that the endpoint did not act on the request.
	NotRun bool
}

// Conn is a connection to an endpoint. One goroutine at a time uses it.
type Conn struct {
	conn    net.Conn
	rawConn syscall.RawConn
	limits  Limits
	reader  *bufio.Reader
	writer  *bufio.Writer
	// remainingBytes is the number of bytes that may still be read from the endpoint in this exchange.
	remainingBytes  int
	checkBeforeSend func() error
	// checkErr is the error of checkBeforeSend, and writeErr the error of writing to the connection. They are kept
	// here because the HTTP library wraps errors in a way that hides them from errors.As.
	checkErr, writeErr error
	// sent says that at least one byte of the request was written.
	sent     bool
	reusable bool
	alive    bool
	peek     func(fd uintptr) bool
	// host, request and body are reused by each exchange to save allocations.
	host    string
	request http.Request
	body    bodyReader
}

// Dial connects to an endpoint.
func Dial(ctx context.Context, address string, limits Limits) (*Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to endpoint at %s", address)
	}
	return newConn(conn, limits), nil
}

func newConn(conn net.Conn, limits Limits) *Conn {
	c := &Conn{conn: conn, limits: limits.withDefaults(), reusable: true, host: conn.RemoteAddr().String()}
	c.reader = bufio.NewReaderSize(limitedReader{c}, bufferSize)
	c.writer = bufio.NewWriterSize(checkedWriter{c}, bufferSize)
	if s, ok := conn.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			c.rawConn = raw
		}
	}
	c.peek = c.peekOnce
	return c
}

// Close closes the connection. It may be called at any time, also by another goroutine.
func (c *Conn) Close() { _ = c.conn.Close() }

// Reusable reports whether the connection can carry another request.
func (c *Conn) Reusable() bool { return c.reusable }

// Alive reports whether an idle connection is still open and has received nothing. A connection that has received
// the end of the stream, or bytes that belong to no request, cannot be reused.
func (c *Conn) Alive() bool {
	if !c.reusable || c.reader.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	// If the deadline of the last exchange has passed, Read fails at once and does not look at the socket.
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return false
	}
	c.alive = false
	if err := c.rawConn.Read(c.peek); err != nil {
		return false
	}
	return c.alive
}

// peekOnce reads one byte without blocking. The connection is alive only if there is nothing to read (EAGAIN).
func (c *Conn) peekOnce(fd uintptr) bool {
	var b [1]byte
	_, err := syscall.Read(int(fd), b[:])
	c.alive = errors.Is(err, syscall.EAGAIN)
	return true
}

// Exchange sends the request and returns the complete response. Any error is a *Fault.
// The exchange ends when the context ends. A context that cannot end causes no extra work.
func (c *Conn) Exchange(ctx context.Context, r *Request) (*Response, error) {
	c.reusable = false
	c.sent, c.checkErr, c.writeErr = false, nil, nil
	c.checkBeforeSend = r.CheckBeforeSend
	c.remainingBytes = c.limits.MaxHeader + c.limits.MaxBody
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, c.interrupt)
		defer func() {
			if !stop() {
				// The interrupt may still be running and would end the next exchange.
				c.reusable = false
			}
		}()
	}
	if err := c.conn.SetDeadline(r.Deadline); err != nil {
		return nil, c.newFault(ctx, FaultConnection, err)
	}
	if ctx.Err() != nil {
		c.interrupt() // SetDeadline above may have undone an interrupt that came before it
	}
	request := c.httpRequest(r)
	// An idle connection must not keep the body in memory.
	defer c.releaseRequest()
	err := request.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		return c.handleWriteError(ctx, r, request, err)
	}
	return c.readResponse(ctx, r, request)
}

// handleWriteError handles a request that could not be sent completely. The endpoint may have refused it before it
// read everything. Its response is then returned, as it says more than the error.
func (c *Conn) handleWriteError(ctx context.Context, r *Request, request *http.Request, cause error) (*Response, error) {
	if c.sent {
		if response, err := c.readResponse(ctx, r, request); err == nil {
			c.reusable = false
			return response, nil
		}
	}
	return nil, c.writeFault(ctx, cause)
}

// httpRequest converts the request to one that the standard library can write. It is valid for one exchange.
func (c *Conn) httpRequest(r *Request) *http.Request {
	c.request = http.Request{
		Method:        r.Method,
		URL:           r.URL,
		Host:          c.host,
		Header:        r.Header,
		ContentLength: int64(len(r.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(r.Body) > 0 {
		c.body.Reset(r.Body)
		c.request.Body = &c.body
	}
	return &c.request
}

// releaseRequest drops the references to the request of the last exchange.
func (c *Conn) releaseRequest() {
	c.checkBeforeSend = nil
	c.request = http.Request{}
	c.body.Reset(nil)
}

// bodyReader is the body of a request. It has a Close method, as http.Request requires.
type bodyReader struct{ bytes.Reader }

// Close implements io.Closer.
func (*bodyReader) Close() error { return nil }

// writeFault converts an error of sending to a fault. If the check failed, nothing was sent and the connection can
// be reused.
func (c *Conn) writeFault(ctx context.Context, err error) error {
	if c.checkErr != nil {
		c.writer.Reset(checkedWriter{c})
		c.reusable = true
		return &Fault{Kind: FaultCheck, Err: c.checkErr}
	}
	if c.writeErr != nil {
		err = c.writeErr
	}
	return c.newFault(ctx, FaultConnection, err)
}

// interrupt ends the exchange by a deadline in the past. The connection stays open for [Conn.DiscardUntil].
func (c *Conn) interrupt() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }

// CloseWrite shuts down the sending side, by which the endpoint can notice that nobody waits for the response and
// stop the run.
func (c *Conn) CloseWrite() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		// If this fails, the connection is broken, and DiscardUntil returns at once.
		_ = tcp.CloseWrite()
	}
}

// lateResponsePause is the time without further bytes after which a late response counts as complete.
const lateResponsePause = 200 * time.Millisecond

// DiscardUntil receives and discards the late response to an abandoned exchange, and closes the connection. It returns
// when the response is complete, the endpoint has closed the connection, or the given time has passed. Until then the
// endpoint may still run the request.
func (c *Conn) DiscardUntil(until time.Time) {
	defer c.Close()
	if err := c.conn.SetDeadline(until); err != nil {
		return
	}
	buffer := make([]byte, bufferSize)
	for {
		if _, err := c.conn.Read(buffer); err != nil {
			return
		}
		pauseEnd := time.Now().Add(lateResponsePause)
		if pauseEnd.After(until) {
			pauseEnd = until
		}
		if err := c.conn.SetDeadline(pauseEnd); err != nil {
			return
		}
	}
}

// newFault returns a fault of the given kind, or of a timeout or cancellation if that is what ended the exchange.
func (c *Conn) newFault(ctx context.Context, kind FaultKind, err error) error {
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		kind = FaultCancelled
	case errors.As(err, &netErr) && netErr.Timeout():
		kind = FaultTimeout
	}
	return &Fault{Kind: kind, Sent: c.sent, Err: err}
}

// checkedWriter writes to the connection, and calls checkBeforeSend before the first byte of a request.
type checkedWriter struct{ *Conn }

func (w checkedWriter) Write(p []byte) (int, error) {
	if !w.sent && w.checkBeforeSend != nil {
		if err := w.checkBeforeSend(); err != nil {
			w.checkErr = err
			return 0, err
		}
	}
	n, err := w.conn.Write(p)
	if n > 0 {
		w.sent = true
	}
	if err != nil {
		w.writeErr = err
	}
	return n, err
}

// errTooLong means that an endpoint sent more bytes than the limits allow.
var errTooLong = errors.New("response is larger than the limit")

// limitedReader reads from the connection, up to the limits of one exchange.
type limitedReader struct{ *Conn }

func (r limitedReader) Read(p []byte) (int, error) {
	if r.remainingBytes <= 0 {
		return 0, errTooLong
	}
	n, err := r.conn.Read(p[:min(len(p), r.remainingBytes)])
	r.remainingBytes -= n
	return n, err
}

// requestIDKey is the canonical form of the request ID header.
var requestIDKey = http.CanonicalHeaderKey(problem.HeaderRequestID)
