// Package budget bounds what the clients of a listener hold: connections, and the memory of heads and bodies. It decides which request is
// refused, and which connection is closed first to make room.
//
// # Usage
//
//	b := budget.New(limits)
//	c, closed, reason := b.Open(now)             // each accepted connection
//	closed, reason = b.Receive(c, n, lines, now) // each read
//	b.HeadRead(c, hasBody, now)                  // a handler begins
//	closed, reason = b.Hold(c, n, now)           // each part of a body that is to be buffered
//	b.BodyRead(c, now)                           // the request is complete
//	b.Answered(c)                                // the handler has returned
//	closed, reason = b.Wait(c, now)              // the connection waits for the next request
//	b.Close(c)
//	for _, e := range b.Expired(now) { ... }     // several times a second
//
// A reason that is not None means that the request is refused and its connection ends. The returned connections are to be closed to make
// room for the call.
//
// # States
//
// A connection waits for a request, is in a head, is in a body, or is answered. In a head and a body its request is half-read. A connection
// that is answered is never closed for others, since its request may take effect. A connection that is refused or closed for others ends: it
// keeps its descriptor and memory until Close is called, so that connections and memory may exceed the limits by a quarter meanwhile.
package budget

import (
	"cmp"
	"time"
)

// Reason is why a request is refused or a connection is closed.
type Reason string

// Reasons.
const (
	None Reason = ""
	// Connections means that there are too many connections, and HalfRead that there are too many half-read requests.
	Connections Reason = "connections"
	HalfRead    Reason = "halfRead"
	// Memory means that heads and bodies hold too much.
	Memory Reason = "memory"
	// HeadSize means that a head, with the empty lines before it, is too large.
	HeadSize Reason = "headSize"
	// HeadTime and BodyTime mean that a head or a body took too long, and Stall that a body made no progress.
	HeadTime Reason = "headTime"
	BodyTime Reason = "bodyTime"
	Stall    Reason = "stall"
	// Chunks means that the chunks of a body are too small or too many.
	Chunks Reason = "chunks"
	// Evicted means that the connection was closed to make room for others.
	Evicted Reason = "evicted"
)

// State is the state of a connection.
type State int

// States.
const (
	Waiting State = iota
	InHead
	InBody
	Answering
	Ending
	Closed
)

const (
	// ConnectionCost is what a connection holds in bytes at least: two stacks, the buffers of the HTTP server and its structures. 700 silent
	// connections take 10 KB each, and one with a request about 20 KB.
	ConnectionCost = 20 << 10
	// headCost and bodyCost are the bytes that are held for each byte of a head or body. A head is kept as text and as fields. A body is
	// copied when its buffer grows, and decoded.
	headCost = 2
	bodyCost = 3
	// lineCost is what a line of a head holds in bytes besides its text: an entry of a map and a list of values. A field of four bytes takes
	// 140.
	lineCost = 256
	// readAhead is the size of the buffer of the HTTP server. A larger read goes past it, and holds nothing of the next request.
	readAhead = 4 << 10
	// HeadSlack is added to the limit of a head: a read may contain the beginning of the body.
	HeadSlack = 4 << 10
	// smallHold is what a request may hold of the memory that is kept free for small requests, and smallShare is the inverse of that part.
	smallHold  = 32 << 10
	smallShare = 4
	// endingShare is the inverse of the part of the limits that ending connections may use beyond them. A connection ends as soon as the
	// processor is free for it, and a crowd connects again meanwhile.
	endingShare = 4
	// minStall is how long a half-read request must have made no progress before its connection is closed for others.
	minStall = 100 * time.Millisecond
	// progressBytes is what must arrive for a request to have made progress, so that single bytes do not keep a connection open.
	progressBytes = 512
	// maxExpansion and expansionSlack limit the bytes that a body takes on its connection. A chunk of one byte takes six.
	maxExpansion   = 8
	expansionSlack = 64 << 10
	// busyExpansion and busySlack are the limits while half of the memory is in use.
	busyExpansion = 4
	busySlack     = 16 << 10
)

// Limits limit what the clients of a listener hold.
type Limits struct {
	// Memory is in bytes.
	Memory int64
	// Connection is what a connection holds in bytes at least, and ConnectionCost if it is 0.
	Connection int64
	// Connections and HalfRead limit the connections, and those with a half-read request.
	Connections int
	HalfRead    int
	// Head and Body limit a single request, in bytes.
	Head int64
	Body int64
	// HeadTime and BodyTime limit the time in which a head and a body arrive, and StallTime the time without progress of a body.
	HeadTime  time.Duration
	BodyTime  time.Duration
	StallTime time.Duration
}

func (l *Limits) connection() int64 { return cmp.Or(l.Connection, ConnectionCost) }

// Conn is a connection of a client.
type Conn struct {
	state State
	// index is the position in the list of the budget.
	index int
	held  int64
	// ahead is what the last read would hold if all of it belonged to the next head.
	ahead int64
	// head, wire and payload count the bytes of the head, of the body on the connection, and of the body itself.
	head, wire, payload int64
	// since is when the state began, progress when the request last made progress, and arrived what has arrived since then.
	since, progress time.Duration
	arrived         int64
	// Owner is what the caller wants to find a connection by. The budget does not use it.
	Owner any
}

// State returns the state of the connection.
func (c *Conn) State() State { return c.state }

// Held returns what the connection holds in bytes.
func (c *Conn) Held() int64 { return c.held }

// CountsLines reports whether n bytes that arrive may belong to a head, so that their lines count.
func (c *Conn) CountsLines(n int) bool { return c.state != InBody || n <= readAhead }

func (c *Conn) halfRead() bool { return c.state == InHead || c.state == InBody }

// Budget is what the clients of a listener may hold. It is not safe for concurrent use.
type Budget struct {
	limits   Limits
	conns    []*Conn
	held     int64
	halfRead int
	// ending and endingHeld are the number of ending connections and what they hold.
	ending     int
	endingHeld int64
}

// New returns a budget without connections.
func New(l Limits) *Budget { return &Budget{limits: l} }

// SetLimits replaces the limits. What is held already may exceed them.
func (b *Budget) SetLimits(l Limits) { b.limits = l }

// Limits returns the limits in force.
func (b *Budget) Limits() Limits { return b.limits }

// Held returns what all connections hold, in bytes.
func (b *Budget) Held() int64 { return b.held }

// Connections returns the number of connections.
func (b *Budget) Connections() int { return len(b.conns) }

// Ending returns the number of ending connections and what they hold in bytes.
func (b *Budget) Ending() (connections int, held int64) { return b.ending, b.endingHeld }

// HalfRead returns the number of connections with a half-read request.
func (b *Budget) HalfRead() int { return b.halfRead }

func (b *Budget) setState(c *Conn, s State, now time.Duration) {
	before := c.halfRead()
	c.state, c.since, c.progress, c.arrived = s, now, now, 0
	switch after := c.halfRead(); {
	case after && !before:
		b.halfRead++
	case before && !after:
		b.halfRead--
	}
}

func (b *Budget) hold(c *Conn, n int64) {
	c.held += n
	b.held += n
}

// Open admits a connection, unless the reason says otherwise.
func (b *Budget) Open(now time.Duration) (c *Conn, closed []*Conn, reason Reason) {
	if len(b.conns)+b.ending >= b.limits.Connections+b.limits.Connections/endingShare {
		return nil, nil, Connections
	}
	for len(b.conns) >= b.limits.Connections {
		v := b.Victim(nil, now)
		if v == nil {
			return nil, closed, Connections
		}
		closed = append(closed, b.evict(v))
	}
	closed, reason = b.makeRoom(closed, nil, b.limits.connection(), b.limits.Memory, now)
	if reason != None {
		return nil, closed, reason
	}
	c = &Conn{index: len(b.conns), since: now, progress: now}
	b.conns = append(b.conns, c)
	b.hold(c, b.limits.connection())
	return c, closed, None
}

// Receive records n bytes that arrived on a connection. If they belong to a head, they end a number of its lines.
func (b *Budget) Receive(c *Conn, n, lines int64, now time.Duration) (closed []*Conn, reason Reason) {
	switch c.state {
	case Ending, Closed:
		return nil, Evicted
	case Answering:
		// A byte that is read ahead belongs to the next request.
		return nil, None
	case Waiting:
		for b.halfRead >= b.limits.HalfRead {
			v := b.halfReadVictim(c, now)
			if v == nil {
				b.end(c)
				return closed, HalfRead
			}
			closed = append(closed, b.evict(v))
		}
		b.setState(c, InHead, now)
		c.head = 0
	}
	cost := n*headCost + lines*lineCost
	c.ahead = 0
	if n <= readAhead {
		c.ahead = cost
	}
	c.arrived += n
	if c.arrived >= progressBytes {
		c.arrived, c.progress = 0, now
	}
	if c.state == InBody {
		c.wire += n
		if reason = b.checkChunks(c); reason != None {
			b.end(c)
		}
		return closed, reason
	}
	if c.head += n; c.head > b.limits.Head+HeadSlack {
		b.end(c)
		return closed, HeadSize
	}
	return b.reserve(closed, c, cost, now)
}

func (b *Budget) checkChunks(c *Conn) Reason {
	if c.wire > maxExpansion*b.limits.Body+expansionSlack {
		return Chunks
	}
	if 2*b.held > b.limits.Memory && c.wire > busyExpansion*c.payload+busySlack {
		return Chunks
	}
	return None
}

// HeadRead records that the head of the request is complete.
func (b *Budget) HeadRead(c *Conn, hasBody bool, now time.Duration) {
	if c.state >= Ending {
		return
	}
	next := Answering
	if hasBody {
		next = InBody
	}
	b.setState(c, next, now)
	// What was read together with the head belongs to the body.
	c.wire, c.payload = 0, 0
}

// Hold reserves memory for n bytes of a body.
func (b *Budget) Hold(c *Conn, n int64, now time.Duration) (closed []*Conn, reason Reason) {
	if c.state >= Ending {
		return nil, Evicted
	}
	c.payload += n
	return b.reserve(nil, c, n*bodyCost, now)
}

// reserve reserves n bytes. The last part of the memory is for requests that hold little, so that large ones do not keep others out.
func (b *Budget) reserve(closed []*Conn, c *Conn, n int64, now time.Duration) ([]*Conn, Reason) {
	limit := b.limits.Memory
	if c.held+n > b.limits.connection()+smallHold {
		limit -= limit / smallShare
	}
	closed, reason := b.makeRoom(closed, c, n, limit, now)
	if reason != None {
		b.end(c)
		return closed, reason
	}
	b.hold(c, n)
	return closed, None
}

// makeRoom closes connections until n more bytes are within the limit.
func (b *Budget) makeRoom(closed []*Conn, c *Conn, n, limit int64, now time.Duration) ([]*Conn, Reason) {
	if b.held+b.endingHeld+n > b.limits.Memory+b.limits.Memory/endingShare {
		return closed, Memory
	}
	for b.held+n > limit {
		v := b.Victim(c, now)
		if v == nil {
			return closed, Memory
		}
		closed = append(closed, b.evict(v))
	}
	return closed, None
}

// BodyRead records that the request is complete.
func (b *Budget) BodyRead(c *Conn, now time.Duration) {
	if c.state == InBody {
		b.setState(c, Answering, now)
	}
}

// Answered records that the handler has returned, which releases what the request held. The rest of a body may still arrive.
func (b *Budget) Answered(c *Conn) {
	if c.state < Ending {
		b.hold(c, b.limits.connection()-c.held)
	}
}

// Wait records that the connection waits for the next request. The last read may hold a part of it, which the HTTP server reads without
// another read of the connection.
func (b *Budget) Wait(c *Conn, now time.Duration) (closed []*Conn, reason Reason) {
	if c.state >= Ending {
		return nil, None
	}
	b.setState(c, Waiting, now)
	b.Answered(c)
	return b.reserve(nil, c, c.ahead, now)
}

// Close removes a connection. It may be called again.
func (b *Budget) Close(c *Conn) {
	b.end(c)
	if c.state == Ending {
		c.state = Closed
		b.ending--
		b.endingHeld -= c.held
		c.held = 0
	}
}

// end makes a connection one that ends.
func (b *Budget) end(c *Conn) {
	if c.state >= Ending {
		return
	}
	b.setState(c, Ending, 0)
	b.held -= c.held
	b.ending++
	b.endingHeld += c.held
	last := b.conns[len(b.conns)-1]
	b.conns[c.index], last.index = last, c.index
	b.conns[len(b.conns)-1] = nil
	b.conns = b.conns[:len(b.conns)-1]
}

func (b *Budget) evict(c *Conn) *Conn {
	b.end(c)
	return c
}

// Victim returns the connection that is closed first to make room for another one, and nil if none may be. It is the half-read one that has
// held most for longest without progress; without such a one, the one that has waited longest for a request.
func (b *Budget) Victim(except *Conn, now time.Duration) *Conn {
	if v := b.halfReadVictim(except, now); v != nil {
		return v
	}
	var idle *Conn
	for _, c := range b.conns {
		if c != except && c.state == Waiting && now-c.since >= minStall && (idle == nil || c.since < idle.since) {
			idle = c
		}
	}
	return idle
}

func (b *Budget) halfReadVictim(except *Conn, now time.Duration) *Conn {
	var worst *Conn
	var most float64
	for _, c := range b.conns {
		stalled := now - c.progress
		if c == except || !c.halfRead() || stalled < minStall {
			continue
		}
		if product := float64(c.held) * float64(stalled); worst == nil || product > most {
			worst, most = c, product
		}
	}
	return worst
}

// Expiry is a connection whose time is over.
type Expiry struct {
	Conn   *Conn
	Reason Reason
}

// Expired ends the half-read connections whose time is over, and returns them.
func (b *Budget) Expired(now time.Duration) []Expiry {
	var expired []Expiry
	for _, c := range b.conns {
		reason := None
		switch {
		case c.state == InHead && now-c.since > b.limits.HeadTime:
			reason = HeadTime
		case c.state == InBody && now-c.since > b.limits.BodyTime:
			reason = BodyTime
		case c.state == InBody && now-c.progress > b.limits.StallTime:
			reason = Stall
		}
		if reason != None {
			expired = append(expired, Expiry{c, reason})
		}
	}
	for _, e := range expired {
		b.end(e.Conn)
	}
	return expired
}
