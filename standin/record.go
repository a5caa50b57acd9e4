package standin

import (
	"context"
	"net"
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
	Digest string    `json:"digest"`
	Start  time.Time `json:"start"`
	// End is when the work ended, before the response was sent. It is zero until the response was sent.
	End time.Time `json:"end"`
	// Sent says that a whole response was sent.
	Sent bool `json:"sent"`
	// Interrupted says that the connection was closed before the response.
	Interrupted bool `json:"interrupted"`
}

type record struct {
	limit   int
	dropped int
	runs    []Run
	refused int
	peak    int
}

// Runs returns the runs so far in the order of their start.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.record.runs...)
}

// WaitIdle returns once no request is in flight, so that the record is complete. A response reaches its caller a
// little before the record says so.
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

// PeakRunning returns the largest number of requests that ran at a time.
func (e *Endpoint) PeakRunning() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.peak
}

// begin adds a run and returns its number.
func (e *Endpoint) begin(run Run) int {
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

func (e *Endpoint) end(number int, at time.Time, sent, interrupted bool) {
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

type connKey struct{}

// limitedListener closes connections beyond the limit of its endpoint.
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
			return &countedConn{TCPConn: tcp, endpoint: l.endpoint, incarnation: l.incarnation}, nil
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

type countedConn struct {
	*net.TCPConn
	endpoint    *Endpoint
	incarnation uint64
	once        sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.endpoint.removeConnection(c.incarnation) })
	return c.TCPConn.Close()
}
