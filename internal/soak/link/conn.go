package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection that tells whether the other side has read what was written before it closed. If it has, Read ends with [io.EOF];
// otherwise with ECONNRESET, also where the bytes crossed the close.
type Conn struct {
	*net.TCPConn
	// asked means that bytes were written since the last ones were read.
	asked atomic.Bool
}

// resetTimeout is how long after the end of a stream the reset of bytes that crossed it may arrive.
const resetTimeout = 20 * time.Millisecond

// Dial opens a connection. It has the signature of DialContext of [net/http.Transport].
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, net.UnknownNetworkError(network)
	}
	return &Conn{TCPConn: tcp}, nil
}

// Read implements [net.Conn].
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.asked.Store(false)
	}
	if errors.Is(err, io.EOF) && c.asked.Load() && c.fails() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// Write implements [net.Conn].
func (c *Conn) Write(p []byte) (int, error) {
	c.asked.Store(true)
	return c.TCPConn.Write(p)
}

// fails reports whether the socket gets an error within resetTimeout. A read after the end of the stream does not return it.
func (c *Conn) fails() bool {
	for end := time.Now().Add(resetTimeout); !c.failed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// failed reports whether the socket has an error, and clears it.
func (c *Conn) failed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	pending := 0
	if err := raw.Control(func(fd uintptr) {
		pending, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	}); err != nil {
		return false
	}
	return err == nil && pending != 0
}

// isReset reports whether an error means that the other side has closed a connection without reading everything.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// interrupt ends a read that waits.
func interrupt(c net.Conn) {
	// It fails only for connections that are closed.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}
