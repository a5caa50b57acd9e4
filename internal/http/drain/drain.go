// Package drain ends the connections of an HTTP server without losing requests that the server has read.
//
// [http.Server.Shutdown] drops each request that is read after it was called, also one that the server reads from an idle connection just
// before that is closed: its client sees the end of the connection, and cannot know whether the request was carried out. [Drainer.Drain]
// goes before it. It ends idle connections from the side of their reader: what has been read is answered, with "Connection: close", and
// what has not been read is refused by a reset.
//
// # Usage
//
//	d := drain.New()
//	server := &http.Server{Handler: d.Handler(h), ConnState: d.ConnState}
//	go server.Serve(d.Listener(listener))
//	...
//	err := d.Drain(ctx)
//	err = errors.Join(err, server.Shutdown(ctx))
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// interval is how often connections that have become idle are ended.
const interval = 20 * time.Millisecond

// Drainer ends the connections of a server.
type Drainer struct {
	draining atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]bool
}

// New returns a drainer of a server.
func New() *Drainer { return &Drainer{conns: make(map[*conn]bool)} }

// Handler returns a handler that also asks clients to close their connections during [Drainer.Drain].
func (d *Drainer) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Listener returns a listener whose TCP connections are drained.
func (d *Drainer) Listener(l net.Listener) net.Listener {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, l)
	return listener{l, d}
}

// ConnState is the ConnState of the server.
func (d *Drainer) ConnState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		tracked.setBusy(false)
	case http.StateHijacked, http.StateClosed:
		d.mu.Lock()
		delete(d.conns, tracked)
		d.mu.Unlock()
	}
}

// Drain closes the listeners and waits until all requests that the server has read are answered and all connections are closed. It fails
// with the error of the context if that ends first.
func (d *Drainer) Drain(ctx context.Context) error {
	d.draining.Store(true)
	d.mu.Lock()
	for _, l := range d.listeners {
		// Shutdown closes it again and returns an error, if any.
		_ = l.Close()
	}
	d.mu.Unlock()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		// The wait before the first round lets the server read what has arrived, for example while the process was paused.
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if d.interrupt() == 0 {
			return nil
		}
	}
}

// interrupt ends the reads of connections without a request, and returns how many connections are open.
func (d *Drainer) interrupt() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.interrupt()
	}
	return len(d.conns)
}

type listener struct {
	net.Listener
	drainer *Drainer
}

// Accept implements [net.Listener].
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		if l.drainer.draining.Load() {
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	c := &conn{TCPConn: tcp}
	l.drainer.mu.Lock()
	defer l.drainer.mu.Unlock()
	l.drainer.conns[c] = true
	return c, nil
}

type conn struct {
	*net.TCPConn

	mu sync.Mutex
	// busy means that bytes of a request have been read that is not answered.
	busy bool
}

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.setBusy(true)
	}
	return n, err
}

func (c *conn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
}

// interrupt makes the server close the connection unless it has read from it. A deadline that is set between a read and setBusy does no
// harm: the server sets its own before it reads further.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		// It fails only for connections that are closed.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}
