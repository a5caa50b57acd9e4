// Package connection sends requests to endpoints over HTTP/1.1 keep-alive connections, one request at a time.
// It reports whether any byte of a request was sent, which http.Transport does not, and repeats nothing by itself.
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
	conn   net.Conn
	raw    syscall.RawConn
	limits Limits
	reader *bufio.Reader
	writer *bufio.Writer
	// remaining is how many bytes the endpoint may still send in this exchange.
	remaining int
	check     func() error
	// refused is the error of the check, and broken the error of writing to the connection.
	// The HTTP library wraps errors so that they cannot be found by errors.As.
	refused, broken error
	started         bool
	reusable        bool
	quiet           bool
	peek            func(fd uintptr) bool
	// host, request and body are kept for the next exchange, so that each allocates less.
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
			c.raw = raw
		}
	}
	c.peek = c.peekOnce
	return c
}

// Close closes the connection. It may be called at any time, also by another goroutine.
func (c *Conn) Close() { _ = c.conn.Close() }

// Reusable reports whether the connection can carry another request.
func (c *Conn) Reusable() bool { return c.reusable }

// Alive reports whether an idle connection is open and has received nothing.
// The end of the stream or a byte that no request asked for makes it unusable.
func (c *Conn) Alive() bool {
	if !c.reusable || c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	// An elapsed deadline of the last exchange would hide the state of the socket.
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return false
	}
	c.quiet = false
	if err := c.raw.Read(c.peek); err != nil {
		return false
	}
	return c.quiet
}

// peekOnce reads without waiting. Only "nothing to read" leaves the connection usable.
func (c *Conn) peekOnce(fd uintptr) bool {
	var b [1]byte
	_, err := syscall.Read(int(fd), b[:])
	c.quiet = errors.Is(err, syscall.EAGAIN)
	return true
}

// Exchange sends the request and returns the complete response. Any error is a *Fault.
// When the context ends, the exchange ends; a context without end costs nothing.
func (c *Conn) Exchange(ctx context.Context, r *Request) (*Response, error) {
	c.reusable = false
	c.started, c.refused, c.broken = false, nil, nil
	c.check = r.CheckBeforeSend
	c.remaining = c.limits.MaxHeader + c.limits.MaxBody
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, c.interrupt)
		defer func() {
			if !stop() {
				// The interrupt may still run and would hit the next exchange.
				c.reusable = false
			}
		}()
	}
	if err := c.conn.SetDeadline(r.Deadline); err != nil {
		return nil, c.fault(ctx, FaultConnection, err)
	}
	if ctx.Err() != nil {
		c.interrupt() // the deadline above may have replaced that of an earlier interrupt
	}
	request := c.httpRequest(r)
	// An idle connection holds on to no body.
	defer c.forget()
	err := request.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		return c.unsent(ctx, r, request, err)
	}
	return c.read(ctx, r, request)
}

// unsent handles a request that was not sent whole. The endpoint may have refused it before it read
// everything, in which case its response tells more than the error.
func (c *Conn) unsent(ctx context.Context, r *Request, request *http.Request, cause error) (*Response, error) {
	if c.started {
		if response, err := c.read(ctx, r, request); err == nil {
			c.reusable = false
			return response, nil
		}
	}
	return nil, c.writeFault(ctx, cause)
}

// httpRequest builds the form in which the standard library writes a request. It is used for one exchange.
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

func (c *Conn) forget() {
	c.check = nil
	c.request = http.Request{}
	c.body.Reset(nil)
}

// bodyReader is the body of a request.
type bodyReader struct{ bytes.Reader }

// Close implements io.Closer.
func (*bodyReader) Close() error { return nil }

// writeFault turns a failure to send into a fault. If nothing was sent, the connection can be used again.
func (c *Conn) writeFault(ctx context.Context, err error) error {
	if c.refused != nil {
		c.writer.Reset(checkedWriter{c})
		c.reusable = true
		return &Fault{Kind: FaultCheck, Err: c.refused}
	}
	if c.broken != nil {
		err = c.broken
	}
	return c.fault(ctx, FaultConnection, err)
}

// interrupt ends the exchange and leaves the connection open, so that [Conn.DiscardUntil] can follow.
func (c *Conn) interrupt() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }

// CloseWrite tells the endpoint that nobody waits for the response. An endpoint that notices can end the run.
func (c *Conn) CloseWrite() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		// The connection is broken if this fails, which Linger notices.
		_ = tcp.CloseWrite()
	}
}

// lingerQuiet is how long a late response may pause before it counts as complete.
const lingerQuiet = 200 * time.Millisecond

// DiscardUntil waits until the endpoint has sent its late response to an exchange that was given up, has closed the
// connection, or the time has come. It discards what it receives and closes the connection.
// Until then the endpoint may still run the request.
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
		quiet := time.Now().Add(lingerQuiet)
		if quiet.After(until) {
			quiet = until
		}
		if err := c.conn.SetDeadline(quiet); err != nil {
			return
		}
	}
}

func (c *Conn) fault(ctx context.Context, kind FaultKind, err error) error {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		kind = FaultCancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		kind = FaultTimeout
	}
	return &Fault{Kind: kind, Sent: c.started, Err: err}
}

// checkedWriter calls the check before the first byte of a request.
type checkedWriter struct{ *Conn }

func (w checkedWriter) Write(p []byte) (int, error) {
	if !w.started && w.check != nil {
		if err := w.check(); err != nil {
			w.refused = err
			return 0, err
		}
	}
	n, err := w.conn.Write(p)
	if n > 0 {
		w.started = true
	}
	if err != nil {
		w.broken = err
	}
	return n, err
}

// errTooLong means that an endpoint sent more than the limits allow.
var errTooLong = errors.New("response is larger than the limit")

// limitedReader bounds what an endpoint can make this process read for one request.
type limitedReader struct{ *Conn }

func (r limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := r.conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// requestIDKey is the header key that names a request, in canonical form.
var requestIDKey = http.CanonicalHeaderKey(problem.HeaderRequestID)
