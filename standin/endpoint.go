// Package standin is a stand-in for endpoints, for development and tests. It records every run of a request, so that tests
// can compare the responses that callers received with what actually ran.
//
// # Usage
//
//	e := standin.New(standin.Options{ID: "e1", Service: standin.Fixed(2 * time.Millisecond)})
//	if err := e.Start(ctx); err != nil { ... }
//	defer e.Stop(ctx)
//	...
//	for _, run := range e.Runs() { ... }
package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/problem"
)

// Defaults of an endpoint. They are the sizes of the workers of both users of the project.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

// Options configure an endpoint.
type Options struct {
	ID string
	// Address is where the endpoint listens. The default is a free port of 127.0.0.1.
	Address string
	// Slots is the maximum number of requests that run at the same time, and Connections that of open connections.
	// The defaults are DefaultSlots and DefaultConnections.
	Slots       int
	Connections int
	// ServiceTime is the distribution of the time that a request runs. The default is no delay.
	ServiceTime Distribution
	// MaxRuns is how many runs are kept at least; older ones are dropped. The default 0 keeps all.
	MaxRuns int
	// RecordArrivals records when the kernel received each request. It is available on Linux only.
	RecordArrivals bool
	Logger         hclog.Logger
}

// Endpoint is a stand-in endpoint.
type Endpoint struct {
	o      Options
	logger hclog.Logger

	mu          sync.Mutex
	server      *http.Server
	listener    net.Listener
	address     string
	incarnation uint64
	draining    bool
	// running is the number of requests that occupy slots. inFlight also counts requests whose response is being sent.
	running     int
	inFlight    int
	connections int
	fault       activeFault
	record      runRecord
	onRequest   func(r *http.Request)
}

// New returns an endpoint that has not been started.
func New(o Options) *Endpoint {
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections == 0 {
		o.Connections = DefaultConnections
	}
	if o.ServiceTime == nil {
		o.ServiceTime = Fixed(0)
	}
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return &Endpoint{o: o, logger: o.Logger.Named("endpoint"), record: runRecord{limit: o.MaxRuns}}
}

// Start listens and serves. Each start begins a new incarnation.
func (e *Endpoint) Start(_ context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.o.Address
	if e.address != "" {
		address = e.address // A reboot keeps the port.
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "endpoint %q cannot listen", e.o.ID)
	}
	if e.o.RecordArrivals {
		if err := enableArrivals(listener); err != nil {
			e.logger.Warn("Arrivals are not recorded.", "id", e.o.ID, "error", err)
		}
	}
	e.address = listener.Addr().String()
	e.incarnation++
	e.draining = false
	e.connections = 0
	server := &http.Server{
		Handler:           http.HandlerFunc(e.serve),
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	e.server = server
	e.listener = listener
	limited := &limitedListener{Listener: listener, endpoint: e, incarnation: e.incarnation}
	go func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			e.logger.Error("Endpoint stopped serving.", "id", e.o.ID, "error", err)
		}
	}()
	return nil
}

// Stop finishes the requests in flight and closes the endpoint. It fails if they have not finished when ctx ends.
func (e *Endpoint) Stop(ctx context.Context) error {
	e.mu.Lock()
	server, listener := e.server, e.listener
	e.mu.Unlock()
	if server == nil {
		return nil
	}
	defer listener.Close()
	if err := server.Shutdown(ctx); err != nil {
		return errors.Join(eris.Wrapf(err, "endpoint %q has requests in flight", e.o.ID), server.Close())
	}
	return nil
}

// Crash closes all connections at once, as a failure does.
func (e *Endpoint) Crash() error {
	e.mu.Lock()
	server, listener := e.server, e.listener
	e.mu.Unlock()
	err := server.Close()
	// The server does not know the listener yet if it has just been started.
	listener.Close()
	return err
}

// Reboot stops the endpoint at once and starts it as a new incarnation after the delay.
func (e *Endpoint) Reboot(ctx context.Context, delay time.Duration) error {
	if err := e.Crash(); err != nil {
		return err
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return e.Start(ctx)
}

// Drain makes the endpoint refuse new requests. The response is marked as not run.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Undrain makes the endpoint accept requests again.
func (e *Endpoint) Undrain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = false
}

// OnRequest sets a function that is called with each request before it is admitted. It must not retain the request.
func (e *Endpoint) OnRequest(f func(r *http.Request)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onRequest = f
}

// ID returns the name of the endpoint.
func (e *Endpoint) ID() string { return e.o.ID }

// Address returns the IP address and port.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Incarnation returns the number of starts.
func (e *Endpoint) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// InFlight returns the number of requests that are running or whose response is being sent.
func (e *Endpoint) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// Connections returns the number of open connections.
func (e *Endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connections
}

// Draining reports whether the endpoint refuses new requests.
func (e *Endpoint) Draining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// admit acquires a slot. It returns an empty string, or the reason for which the request is refused.
func (e *Endpoint) admit() (reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		e.record.refused++
		return "draining"
	case e.running >= e.o.Slots:
		e.record.refused++
		return "all slots are in use"
	}
	e.running++
	e.inFlight++
	e.record.peakRunning = max(e.record.peakRunning, e.running)
	return ""
}

func (e *Endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Endpoint) finishRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	onRequest := e.onRequest
	e.mu.Unlock()
	if onRequest != nil {
		onRequest(r)
	}
	fault := e.nextFault(r)
	if fault.Kind == FaultCloseBeforeReading {
		closeConnection(r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// A request that arrives incompletely is not run.
		closeConnection(r)
		return
	}
	arrivedAt := arrival(r)
	id := r.Header.Get(problem.HeaderRequestID)
	w.Header().Set(problem.HeaderRequestID, id)
	if reason := e.admit(); reason != "" {
		w.Header().Set(problem.HeaderNotRun, "true")
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	defer e.finishRequest()
	digest := sha256.Sum256(body)
	run := e.beginRun(Run{
		RequestID:      id,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		Digest:         hex.EncodeToString(digest[:]),
		Arrival:        arrivedAt,
		Start:          time.Now(),
	})
	e.simulateWork(r.Context(), fault)
	// The slot is released before the response, because a caller that has received it may send the next request at once.
	ended := time.Now()
	e.releaseSlot()
	sent := e.respond(w, r, fault, id, body)
	e.endRun(run, ended, sent, r.Context().Err() != nil)
}

// simulateWork waits for a service time, or until the connection is closed.
func (e *Endpoint) simulateWork(ctx context.Context, fault Fault) {
	d := e.o.ServiceTime()
	switch fault.Kind {
	case FaultFailFast:
		return
	case FaultSlow:
		d += fault.Delay
	}
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// respond sends the normal response, which echoes the body, or that of the fault. It reports whether a whole response was
// sent.
func (e *Endpoint) respond(w http.ResponseWriter, r *http.Request, fault Fault, id string, body []byte) bool {
	if fault.Kind != FaultNone && fault.Kind != FaultSlow {
		return respondWithFault(w, r, fault, id, body)
	}
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Digest", contentDigest(body))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Endpoint", e.o.ID)
	if r.Context().Err() != nil {
		return false
	}
	if _, err := w.Write(body); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
