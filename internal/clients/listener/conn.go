package listener

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivetiller/chivetiller/internal/clients/budget"
)

// Conn is a connection whose reads are counted against the budget.
type Conn struct {
	net.Conn
	listener *Listener
	// entry is guarded by the lock of the listener.
	entry *budget.Conn
	write writeAge
	// refusal is why the connection is ended, and nil if it is not.
	refusal atomic.Pointer[Refusal]
	// answerable means that a refusal may be written: a head is half-read and no handler has begun.
	answerable atomic.Bool
	// lastRead is when bytes arrived last. The steps of a request follow within microseconds, and reading the clock for each costs time.
	lastRead atomic.Int64

	// mu keeps a deadline of the HTTP server from replacing that of a connection that ends.
	mu sync.Mutex
}

var _ net.Conn = (*Conn)(nil)

// Read implements [net.Conn]. It fails with a [Refusal] once the connection is over the budget.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		l, at := c.listener, now()
		c.lastRead.Store(int64(at))
		l.mu.Lock()
		before := c.entry.State()
		lines := 0
		if !l.options.Binary && c.entry.CountsLines(n) {
			lines = bytes.Count(p[:n], []byte{'\n'})
		}
		closed, reason := l.budget.Receive(c.entry, int64(n), int64(lines), at)
		inHead := c.entry.State() == budget.InHead
		if reason == budget.Evicted {
			// It was counted when it was closed.
			l.count(closed, budget.None)
		} else {
			l.count(closed, reason)
		}
		l.mu.Unlock()
		end(closed, budget.Evicted)
		if inHead && before != budget.InHead {
			c.answerable.Store(true)
		}
		if reason != budget.None {
			c.end(reason)
		}
	}
	refusal := c.refusal.Load()
	if refusal == nil {
		return n, err
	}
	if c.answerable.Swap(false) && refusal.Reason != budget.Evicted {
		c.refuse(refusal)
	}
	return 0, refusal
}

// refuse answers a request for which no handler has begun. The goroutine that reads calls it, which writes nothing else then.
func (c *Conn) refuse(r *Refusal) {
	answer := r.answer()
	if f := c.listener.options.Refuse; f != nil {
		answer = f(r)
	}
	// The connection is closed whether or not the client receives the answer.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write(answer)
}

// end makes all reads fail, so that the goroutine that serves the connection closes it.
func (c *Conn) end(reason budget.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.refusal.CompareAndSwap(nil, &Refusal{reason}) {
		return
	}
	if reason == budget.Evicted {
		// Its descriptor is wanted for another connection.
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
}

// SetReadDeadline implements [net.Conn]. The deadline of a connection that is ended stays as it is.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal.Load() != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements [net.Conn].
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Write implements [net.Conn].
func (c *Conn) Write(p []byte) (int, error) {
	if c.write.due(now()) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the direction to the client, which the HTTP server does before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.budget.Close(c.entry)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (c *Conn) readAt() time.Duration { return time.Duration(c.lastRead.Load()) }

func (c *Conn) headRead(hasBody bool) {
	c.answerable.Store(false)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.budget.HeadRead(c.entry, hasBody, c.readAt())
}

func (c *Conn) answered() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.budget.Answered(c.entry)
}

func (c *Conn) wait() {
	l := c.listener
	l.mu.Lock()
	closed, reason := l.budget.Wait(c.entry, now())
	l.count(closed, reason)
	l.mu.Unlock()
	end(closed, budget.Evicted)
	if reason != budget.None {
		c.end(reason)
	}
}

// MessageRead tells the budget that a message of a protocol other than HTTP is complete. The next one begins with the next byte.
func (c *Conn) MessageRead() { c.wait() }

// body is the body of a request, of which each part is counted against the budget.
type body struct {
	io.ReadCloser
	conn *Conn
	// refusal is what all reads return once the request is refused.
	refusal *Refusal
}

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) {
	if b.refusal != nil {
		return 0, b.refusal
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if refusal := b.conn.hold(int64(n)); refusal != nil {
			b.refusal = refusal
			return 0, refusal
		}
	}
	if errors.Is(err, io.EOF) {
		b.conn.bodyRead()
	}
	// The HTTP server may replace the error of the connection by its own.
	if err != nil && !errors.Is(err, io.EOF) {
		if refusal := b.conn.ended(); refusal != nil {
			return n, refusal
		}
	}
	return n, err
}

func (c *Conn) ended() *Refusal { return c.refusal.Load() }

// hold reserves memory for a part of a body. The request is refused without it, and its connection is closed after the answer.
func (c *Conn) hold(n int64) *Refusal {
	l := c.listener
	l.mu.Lock()
	closed, reason := l.budget.Hold(c.entry, n, c.readAt())
	if reason == budget.Evicted {
		l.count(closed, budget.None)
	} else {
		l.count(closed, reason)
	}
	l.mu.Unlock()
	end(closed, budget.Evicted)
	if reason == budget.None {
		return nil
	}
	c.end(reason)
	return c.ended()
}

func (c *Conn) bodyRead() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.budget.BodyRead(c.entry, c.readAt())
}

// WriteRefusal answers a request whose body was refused. It reports whether the error is a [Refusal].
func WriteRefusal(w http.ResponseWriter, err error) bool {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	if s := refusal.RetryAfter(); s > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(s))
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(refusal.Status())
	return true
}
