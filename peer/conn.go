package peer

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// packetOverheadBytes is the size of the IPv4 and UDP headers of a packet. With them the counted bytes are those on the wire.
const packetOverheadBytes = 28

// countingConn counts the packets and bytes of a packet connection, IPv4 and UDP headers included.
// It hides the batch methods of the connection, since packets that pass through them would not be counted.
type countingConn struct {
	conn                         net.PacketConn
	sent, received               atomic.Uint64
	sentPackets, receivedPackets atomic.Uint64
}

var _ net.PacketConn = (*countingConn)(nil)

func (c *countingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, addr, err := c.conn.ReadFrom(p)
	if err == nil {
		c.received.Add(uint64(n) + packetOverheadBytes)
		c.receivedPackets.Add(1)
	}
	return n, addr, err
}

func (c *countingConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	n, err := c.conn.WriteTo(p, addr)
	if err == nil {
		c.sent.Add(uint64(n) + packetOverheadBytes)
		c.sentPackets.Add(1)
	}
	return n, err
}

func (c *countingConn) Close() error                       { return c.conn.Close() }
func (c *countingConn) LocalAddr() net.Addr                { return c.conn.LocalAddr() }
func (c *countingConn) SetDeadline(t time.Time) error      { return c.conn.SetDeadline(t) }
func (c *countingConn) SetReadDeadline(t time.Time) error  { return c.conn.SetReadDeadline(t) }
func (c *countingConn) SetWriteDeadline(t time.Time) error { return c.conn.SetWriteDeadline(t) }

// SetReadBuffer does nothing: control traffic fits into the default buffer of the system.
func (c *countingConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, for the same reason as SetReadBuffer.
func (c *countingConn) SetWriteBuffer(int) error { return nil }

// SyscallConn implements [syscall.Conn], through which the QUIC library reads the size of the buffers.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, eris.New("connection does not implement syscall.Conn")
}
