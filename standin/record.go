package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is the record of one run of a request.
type Run struct {
	RequestID      string `json:"requestId"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	// Digest is the SHA-256 digest of the body in hex.
	Digest string `json:"digest"`
	// Arrival is the time at which the kernel received the last bytes of the request. It is zero if it is unknown, see
	// [Options.RecordArrivals].
	Arrival time.Time `json:"arrival,omitzero"`
	Start   time.Time `json:"start"`
	// End is the time at which the work ended, before the response was sent. It is zero until the response has been sent
	// or has failed.
	End time.Time `json:"end"`
	// Sent means that a whole response was sent.
	Sent bool `json:"sent"`
	// Interrupted means that the connection was closed before a whole response was sent.
	Interrupted bool `json:"interrupted"`
}

type runRecord struct {
	limit       int
	dropped     int
	runs        []Run
	refused     int
	peakRunning int
}

// Runs returns the runs so far in the order of their start.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.record.runs...)
}

// WaitIdle waits until no request is in flight, so that all runs are recorded completely. A caller may receive the response
// shortly before its run is complete in the record.
func (e *Endpoint) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for e.InFlight() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Refused returns how many requests were refused as not run.
func (e *Endpoint) Refused() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.refused
}

// PeakRunning returns the largest number of requests that ran at the same time.
func (e *Endpoint) PeakRunning() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.peakRunning
}

// beginRun adds a run and returns its number.
func (e *Endpoint) beginRun(run Run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.record
	if r.limit > 0 && len(r.runs) >= 2*r.limit {
		r.dropped += r.limit
		r.runs = append(r.runs[:0], r.runs[r.limit:]...)
	}
	r.runs = append(r.runs, run)
	return r.dropped + len(r.runs) - 1
}

func (e *Endpoint) endRun(number int, at time.Time, sent, interrupted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := number - e.record.dropped
	if i < 0 {
		return
	}
	run := &e.record.runs[i]
	run.End = at
	run.Sent = sent
	run.Interrupted = interrupted && !sent
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// limitedListener closes connections that exceed the limit of its endpoint.
type limitedListener struct {
	net.Listener
	endpoint    *Endpoint
	incarnation uint64
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.endpoint.addConnection() {
			tcp, _ := c.(*net.TCPConn)
			return &countedConn{TCPConn: tcp, endpoint: l.endpoint, incarnation: l.incarnation, arrivals: l.endpoint.arrivals(tcp)}, nil
		}
		c.Close()
	}
}

func (e *Endpoint) addConnection() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.connections >= e.o.Connections {
		return false
	}
	e.connections++
	return true
}

func (e *Endpoint) removeConnection(incarnation uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation == e.incarnation {
		e.connections--
	}
}

// countedConn is a connection that counts against the limit of its endpoint until it is closed.
type countedConn struct {
	*net.TCPConn
	endpoint    *Endpoint
	incarnation uint64
	// arrivals is nil if arrivals are not recorded.
	arrivals *arrivalReader
	once     sync.Once
}

// arrivals returns a reader of the connection that records arrivals, or nil if there are none to record.
func (e *Endpoint) arrivals(conn *net.TCPConn) *arrivalReader {
	if !e.o.RecordArrivals {
		return nil
	}
	reader, err := newArrivalReader(conn)
	if err != nil {
		e.logger.Warn("Arrivals are not recorded.", "id", e.o.ID, "error", err)
		return nil
	}
	return reader
}

// arrival returns when the last bytes that were read from the connection of a request arrived, or zero if unknown.
func arrival(r *http.Request) time.Time {
	c, ok := r.Context().Value(connKey{}).(*countedConn)
	if !ok || c.arrivals == nil {
		return time.Time{}
	}
	return c.arrivals.time()
}

// Read implements [io.Reader].
func (c *countedConn) Read(p []byte) (int, error) {
	if c.arrivals != nil {
		return c.arrivals.Read(p)
	}
	return c.TCPConn.Read(p)
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.endpoint.removeConnection(c.incarnation) })
	return c.TCPConn.Close()
}
