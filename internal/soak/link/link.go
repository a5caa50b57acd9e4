// Package link forwards TCP connections and disturbs them on demand. If a target closes a connection without having read all that the
// client has sent, the connection of the client is reset, as it would be without a link; otherwise it ends.
//
// # Usage
//
//	l, err := link.Listen("127.0.0.1:0", target)
//	l.Disturb(link.Silent)
//	time.Sleep(time.Second)
//	l.Restore()
package link

import (
	"context"
	"net"
	"sync"
	"time"
)

// Mode is what a link does with connections.
type Mode int

// Modes.
const (
	// Pass forwards everything.
	Pass Mode = iota
	// Delayed forwards each read after [Delay].
	Delayed
	// Reset resets open connections once, and forwards new ones.
	Reset
	// CutTo loses the bytes that go to the target.
	CutTo
	// CutFrom loses the bytes that come from the target.
	CutFrom
	// Cut loses the bytes of both ways.
	Cut
	// Silent makes open connections carry nothing until they are closed, and forwards new ones.
	Silent
)

// Delay is by how much delayed links forward later.
const Delay = 150 * time.Millisecond

const bufferSize = 32 << 10

// Link forwards connections to a target.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	pipes map[*pipe]bool
}

// pipe is a forwarded connection.
type pipe struct {
	client, server net.Conn
	// lossyTo and lossyFrom mean that bytes of a way were lost, so that nothing further may be delivered.
	lossyTo, lossyFrom bool
}

// Listen starts a link.
func Listen(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, pipes: make(map[*pipe]bool)}
	go l.accept()
	return l, nil
}

// Address returns the address at which the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Disturb sets the mode of the link.
func (l *Link) Disturb(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	for p := range l.pipes {
		switch m {
		case Reset:
			p.reset()
		case Silent:
			p.lossyTo, p.lossyFrom = true, true
		}
	}
}

// Restore ends a disturbance. Connections that have lost bytes are reset, unless they are to stay silent.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		if l.mode != Silent && (p.lossyTo || p.lossyFrom) {
			p.reset()
		}
	}
	l.mode = Pass
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

func (l *Link) forward(client net.Conn) {
	server, err := Dial(context.Background(), "tcp", l.target)
	if err != nil {
		reset(client)
		return
	}
	p := &pipe{client: client, server: server}
	l.mu.Lock()
	l.pipes[p] = true
	l.mu.Unlock()
	ends := make(chan end, 2)
	go func() { ends <- l.copy(p, client, server, true) }()
	go func() { ends <- l.copy(p, server, client, false) }()
	first := <-ends
	if !first.lost && !first.to {
		// Bytes that are being forwarded may arrive after the target has closed.
		interrupt(client)
	}
	unread := first.unread
	if first.lost || !first.to {
		// If the end is lost, the other side does not see it either.
		unread = (<-ends).unread || unread
	}
	if unread || server.(*Conn).failed() {
		reset(client)
	}
	_ = client.Close()
	_ = server.Close()
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
}

// end is how one way of a connection ended.
type end struct {
	// to means the way to the target, and lost that the end is not passed on.
	to, lost bool
	// unread means that the target has not read everything.
	unread bool
}

// copy forwards one way of a connection until it ends.
func (l *Link) copy(p *pipe, in, out net.Conn, to bool) end {
	buffer := make([]byte, bufferSize)
	for {
		n, err := in.Read(buffer)
		lost, delayed := l.pass(p, to)
		if lost {
			if err != nil {
				return end{to: to, lost: true}
			}
			continue
		}
		if delayed {
			time.Sleep(Delay)
		}
		if n > 0 {
			if _, err := out.Write(buffer[:n]); err != nil {
				return end{to: to, unread: to && isReset(err)}
			}
		}
		if err != nil {
			return end{to: to, unread: !to && isReset(err)}
		}
	}
}

// pass reports whether bytes of one way are lost, and otherwise whether they are late.
func (l *Link) pass(p *pipe, to bool) (lost, delayed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lossy := &p.lossyFrom
	if to {
		lossy = &p.lossyTo
	}
	if l.mode == Cut || l.mode == CutTo && to || l.mode == CutFrom && !to {
		*lossy = true
	}
	return *lossy, l.mode == Delayed
}

func (p *pipe) reset() {
	reset(p.client)
	reset(p.server)
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// It fails only for connections that are closed.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
