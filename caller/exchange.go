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
)

func newID() string { return ident.New() }

// exchange is one request of a caller and its response.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	start  time.Time
	id     string
	work   *work
	class  class.Class
	team   string
	// snapshot is the configuration at admission, before the key was checked.
	snapshot *config.Snapshot
	// dispatched says that the request may have been sent to an endpoint.
	dispatched bool
	written    bool
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	e := exchange{server: s, w: w, r: r, start: time.Now(), id: newID()}
	defer e.recover()
	e.serve()
}

// recover answers a request whose handler panics.
func (e *exchange) recover() {
	v := recover()
	if v == nil {
		return
	}
	e.server.logger.Error("Request handler recovered from a panic.", "request", e.id, "panic", v)
	if e.written {
		// A part of a response cannot be completed. Only closing the connection shows that.
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
	if e.work, p = decode(e.r, e.server.o.MaxHeader); p != nil {
		e.reject(p)
		return
	}
	request, p := e.prepare()
	if p != nil {
		e.reject(p)
		return
	}
	response, stored, p := e.do(request)
	if p != nil {
		e.reject(p)
		return
	}
	e.respond(response, stored)
}

// prepare checks class and key, and reads the body.
func (e *exchange) prepare() (*dispatch.Request, *problem.Problem) {
	e.snapshot = e.server.o.Source.Snapshot()
	c, ok := e.snapshot.Class(e.work.class)
	if !ok {
		return nil, problem.NotRun(problem.UnknownClass, "class "+strconv.Quote(e.work.class)+" does not exist")
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
	if e.work.timeout > 0 {
		timeout = min(timeout, e.work.timeout)
	}
	e.work.header[problem.HeaderRequestID] = []string{e.id}
	return &dispatch.Request{
		ID:         e.id,
		Class:      c.Name(),
		Team:       e.team,
		Arrival:    e.start,
		Deadline:   e.start.Add(timeout),
		Idempotent: e.work.idempotent,
		Method:     e.work.method,
		URL:        e.work.url,
		Header:     e.work.header,
		Body:       body,
		Check:      check,
	}, nil
}

// authenticate returns the team of the key.
func (e *exchange) authenticate() (string, *problem.Problem) {
	t, err := e.server.o.Source.Authenticate(e.work.key)
	switch {
	case err == nil:
		return t.Name(), nil
	case errors.Is(err, config.ErrUnknownKey):
		return "", problem.NotRun(problem.InvalidKey, "")
	}
	return "", errKeysUnchecked
}

var errKeysUnchecked = problem.NotRun(problem.KeysUnchecked, "configuration is not known to be current").RetryAfter(time.Second)

// checkKey repeats the check of the key right before the request is sent: the request may have waited,
// or the process may have been paused.
func (e *exchange) checkKey() error {
	source := e.server.o.Source
	if source.Snapshot() == e.snapshot {
		// The key was valid in this version; only its age can have changed.
		if err := source.Policy().CheckAge(source.Age()); err != nil {
			return errKeysUnchecked
		}
		return nil
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

// firstRead is how much is allocated for a body before any of it has arrived.
const firstRead = 16 << 10

// readBody reads the body within the limits of size and time.
func (e *exchange) readBody() ([]byte, *problem.Problem) {
	length, limit := e.r.ContentLength, e.server.o.MaxBody
	if length > int64(limit) {
		return nil, problem.NotRun(problem.BodyTooLarge, "limit is "+strconv.Itoa(limit)+" bytes")
	}
	if length == 0 || e.r.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(e.w)
	if err := control.SetReadDeadline(time.Now().Add(e.server.o.ReadTimeout)); err != nil {
		return nil, problem.NotRun(problem.Internal, "read deadline cannot be set")
	}
	body, err := readUpTo(e.r.Body, length, limit)
	switch {
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

// readUpTo reads a body of the announced length, or of an unknown length if that is negative.
// Memory grows with what arrives and not with what is announced.
func readUpTo(r io.Reader, length int64, limit int) ([]byte, error) {
	size := firstRead
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

// do passes the request on. A claimed one goes on when the caller goes away.
func (e *exchange) do(request *dispatch.Request) (response *dispatch.Response, stored bool, p *problem.Problem) {
	if e.work.idempotencyKey != "" {
		return e.doClaimed(request)
	}
	response, p = e.dispatch(e.r.Context(), request)
	return response, false, p
}

func (e *exchange) dispatch(ctx context.Context, request *dispatch.Request) (*dispatch.Response, *problem.Problem) {
	e.dispatched = true
	response, err := e.server.o.Work.Do(ctx, e.class.Pool(), request)
	if err == nil {
		return response, nil
	}
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = problem.Unknown(problem.Internal, err.Error())
	}
	return nil, p
}

// respond sends a complete response.
func (e *exchange) respond(response *dispatch.Response, stored bool) {
	h := e.w.Header()
	for name, values := range response.Header {
		if hopHeaders[name] || name == problem.HeaderNotRun {
			continue
		}
		h[name] = values
	}
	removeNamed(h, response.Header["Connection"])
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
	e.observe(outcome, response.Status, false)
}

// write sends status and body and reports whether the caller can have taken them.
func (e *exchange) write(status int, body []byte) bool {
	e.beforeWrite()
	e.w.WriteHeader(status)
	if len(body) > 0 {
		if _, err := e.w.Write(body); err != nil {
			return false
		}
	}
	return e.r.Context().Err() == nil
}

func (e *exchange) beforeWrite() {
	e.written = true
	if e.server.stopping.Load() {
		e.w.Header().Set("Connection", "close")
	}
	// A connection that cannot have a deadline is closed already.
	_ = http.NewResponseController(e.w).SetWriteDeadline(time.Now().Add(e.server.o.WriteTimeout))
}

// reject answers with a problem document.
func (e *exchange) reject(p *problem.Problem) {
	e.beforeWrite()
	switch p.Kind() {
	case problem.SlowCaller, problem.BodyTooLarge, problem.HeaderTooLarge, problem.Malformed:
		// The rest of the request is not read, so the connection cannot carry another.
		e.w.Header().Set("Connection", "close")
	}
	// The caller has gone if this fails.
	_ = p.Write(e.w, e.id)
	trace := ""
	if e.work != nil {
		trace = e.work.trace
	}
	e.server.log.write(e.id, e.r.RemoteAddr, e.class.Name(), trace, p)
	e.observe(p.Kind().Name, p.Kind().Status, p.NotRun())
}

func (e *exchange) observe(outcome string, status int, notRun bool) {
	o := e.server.o.Observer
	if o == nil {
		return
	}
	o.RequestEnded(Event{
		Class: e.class.Name(), Team: e.team, Outcome: outcome, Status: status, NotRun: notRun,
		Target: e.class.Target(), Duration: time.Since(e.start),
	})
}
