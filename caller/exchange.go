package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/dispatch"
	clients "github.com/chivetiller/chivetiller/internal/clients/listener"
)

func newRequestID() string { return ident.New() }

// exchange handles one request of a caller and its response.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	start  time.Time
	id     string
	head   *requestHead
	class  class.Class
	team   string
	// snapshot is the configuration that was in force right before the key was checked at admission.
	snapshot *config.Snapshot
	// dispatched says that the request may have been sent to an endpoint.
	dispatched bool
	// written says that the response may have been sent in part.
	written bool
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	e := exchange{server: s, w: w, r: r, start: time.Now(), id: newRequestID()}
	defer e.rejectAfterPanic()
	e.serve()
}

// rejectAfterPanic rejects a request whose handler panics.
func (e *exchange) rejectAfterPanic() {
	v := recover()
	if v == nil {
		return
	}
	e.server.logger.Error("Request handler recovered from a panic.", "request", e.id, "panic", v)
	if e.written {
		// The response may have been sent in part. Only a closed connection shows the caller that it is incomplete.
		panic(http.ErrAbortHandler)
	}
	p := problem.NotRun(problem.Internal, "request could not be handled")
	if e.dispatched {
		p = problem.Unknown(problem.Internal, "request could not be handled to its end")
	}
	e.reject(p)
}

func (e *exchange) serve() {
	var p *problem.Problem
	if e.head, p = decodeHead(e.r, e.server.options.MaxHeader); p != nil {
		e.reject(p)
		return
	}
	request, p := e.prepare()
	if p != nil {
		e.reject(p)
		return
	}
	response, stored, p := e.claimAndDispatch(request)
	if p != nil {
		e.reject(p)
		return
	}
	e.respond(response, stored)
}

// prepare checks the class and the key, reads the body, and returns the request to dispatch.
func (e *exchange) prepare() (*dispatch.Request, *problem.Problem) {
	e.snapshot = e.server.options.Source.Snapshot()
	c, ok := e.snapshot.Class(e.head.class)
	if !ok {
		return nil, problem.NotRun(problem.UnknownClass, "class "+strconv.Quote(e.head.class)+" does not exist")
	}
	e.class = c
	var check func() error
	if !c.Open() {
		name, p := e.authenticate()
		if p != nil {
			return nil, p
		}
		e.team, check = name, e.checkKey
	}
	body, p := e.readBody()
	if p != nil {
		return nil, p
	}
	timeout := c.Target()
	if e.head.timeout > 0 {
		timeout = min(timeout, e.head.timeout)
	}
	e.head.header[problem.HeaderRequestID] = []string{e.id}
	return &dispatch.Request{
		ID:              e.id,
		Class:           c.Name(),
		Team:            e.team,
		Arrival:         e.start,
		Deadline:        e.start.Add(timeout),
		Idempotent:      e.head.idempotent,
		Method:          e.head.method,
		URL:             e.head.url,
		Header:          e.head.header,
		Body:            body,
		CheckBeforeSend: check,
	}, nil
}

// authenticate returns the name of the team that the key belongs to.
func (e *exchange) authenticate() (string, *problem.Problem) {
	t, err := e.server.options.Source.Authenticate(e.head.apiKey)
	switch {
	case err == nil:
		return t.Name(), nil
	case errors.Is(err, config.ErrUnknownKey):
		return "", problem.NotRun(problem.InvalidKey, "")
	}
	return "", errKeysUnchecked
}

var errKeysUnchecked = problem.NotRun(problem.KeysUnchecked, "configuration is not known to be current").RetryAfter(time.Second)

// checkKey checks the key again right before the request is sent to an endpoint. The key may have been revoked since
// admission, while the request waited in the queue or the process was paused.
func (e *exchange) checkKey() error {
	snapshot, err := e.server.options.Source.SnapshotForKeys()
	if err != nil {
		return errKeysUnchecked
	}
	if snapshot == e.snapshot {
		return nil // the key was valid in this snapshot at admission
	}
	name, p := e.authenticate()
	if p != nil {
		return p
	}
	if name != e.team {
		return problem.NotRun(problem.InvalidKey, "key was issued to another team")
	}
	return nil
}

// initialBodyBuffer is the most memory in bytes that is allocated for a body before any of it has arrived.
const initialBodyBuffer = 16 << 10

// readBody reads the body up to MaxBody bytes within ReadTimeout.
func (e *exchange) readBody() ([]byte, *problem.Problem) {
	length, limit := e.r.ContentLength, e.server.options.MaxBody
	if length > int64(limit) {
		return nil, problem.NotRun(problem.BodyTooLarge, "limit is "+strconv.Itoa(limit)+" bytes")
	}
	if length == 0 || e.r.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(e.w)
	if err := control.SetReadDeadline(time.Now().Add(e.server.options.ReadTimeout)); err != nil {
		return nil, problem.NotRun(problem.Internal, "read deadline cannot be set")
	}
	body, err := readUpTo(e.r.Body, length, limit)
	var refusal *clients.Refusal
	switch {
	case errors.As(err, &refusal):
		return nil, refusalProblem(refusal)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, problem.NotRun(problem.SlowCaller, "body did not arrive in time")
	case errors.Is(err, errBodyTooLarge):
		return nil, problem.NotRun(problem.BodyTooLarge, "limit is "+strconv.Itoa(limit)+" bytes")
	case err != nil:
		return nil, malformed("body is incomplete or not framed properly")
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, problem.NotRun(problem.Internal, "read deadline cannot be set")
	}
	return body, nil
}

var errBodyTooLarge = errors.New("body is too large")

// readUpTo reads a body of up to limit bytes. The announced length is negative if it is unknown. Memory grows with the
// bytes received and not with the announced length, so that a caller can't reserve memory by a header.
func readUpTo(r io.Reader, length int64, limit int) ([]byte, error) {
	size := initialBodyBuffer
	if length >= 0 {
		size = min(size, int(length)+1)
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			body = slices.Grow(body, len(body))
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > limit {
			return nil, errBodyTooLarge
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// claimAndDispatch dispatches the request. If it has an idempotency key, the key is claimed first, and the request
// goes on even when the caller goes away.
func (e *exchange) claimAndDispatch(request *dispatch.Request) (response *dispatch.Response, stored bool, p *problem.Problem) {
	if e.head.idempotencyKey != "" {
		return e.dispatchClaimed(request)
	}
	response, p = e.dispatch(e.r.Context(), request)
	return response, false, p
}

func (e *exchange) dispatch(ctx context.Context, request *dispatch.Request) (*dispatch.Response, *problem.Problem) {
	e.dispatched = true
	response, err := e.server.options.Dispatcher.Do(ctx, e.class.Pool(), request)
	if err == nil {
		return response, nil
	}
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = problem.Unknown(problem.Internal, err.Error())
	}
	return nil, p
}

// respond sends a complete response to the caller.
func (e *exchange) respond(response *dispatch.Response, stored bool) {
	h := e.w.Header()
	for name, values := range response.Header {
		if hopByHopHeaders[name] || name == problem.HeaderNotRun {
			continue
		}
		h[name] = values
	}
	removeConnectionHeaders(h, response.Header["Connection"])
	h[problem.HeaderRequestID] = []string{e.id}
	if e.r.Method != http.MethodHead && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	}
	outcome := OutcomeAnswered
	if stored {
		outcome = OutcomeStored
		h[HeaderStored] = []string{"true"}
	}
	if !e.write(response.Status, response.Body) {
		outcome = OutcomeUndelivered
	}
	e.reportEvent(outcome, response.Status, false)
}

// write sends status and body. It reports false if the caller certainly did not receive them.
func (e *exchange) write(status int, body []byte) bool {
	e.prepareWrite()
	e.w.WriteHeader(status)
	if len(body) > 0 {
		if _, err := e.w.Write(body); err != nil {
			return false
		}
	}
	return e.r.Context().Err() == nil
}

// prepareWrite sets the write deadline, and asks the caller to close the connection if the server is stopping.
func (e *exchange) prepareWrite() {
	e.written = true
	if e.server.stopping.Load() {
		e.w.Header().Set("Connection", "close")
	}
	// Setting the deadline fails only if the connection is closed already.
	_ = http.NewResponseController(e.w).SetWriteDeadline(time.Now().Add(e.server.options.WriteTimeout))
}

// reject sends a problem document to the caller, and logs and reports the rejection.
func (e *exchange) reject(p *problem.Problem) {
	e.prepareWrite()
	switch p.Kind() {
	case problem.SlowCaller, problem.BodyTooLarge, problem.HeaderTooLarge, problem.Malformed:
		// The rest of the request is not read, so the connection cannot carry another.
		e.w.Header().Set("Connection", "close")
	}
	// If this fails, the caller has closed the connection.
	_ = p.Write(e.w, e.id)
	trace := ""
	if e.head != nil {
		trace = e.head.traceParent
	}
	e.server.rejections.write(e.id, e.r.RemoteAddr, e.class.Name(), trace, p)
	e.reportEvent(p.Kind().Name, p.Kind().Status, p.NotRun())
}

func (e *exchange) reportEvent(outcome string, status int, notRun bool) {
	o := e.server.options.Observer
	if o == nil {
		return
	}
	o.RequestEnded(Event{
		Class: e.class.Name(), Team: e.team, Outcome: outcome, Status: status, NotRun: notRun,
		Target: e.class.Target(), Duration: time.Since(e.start),
	})
}
