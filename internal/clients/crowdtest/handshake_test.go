package crowdtest

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"

	"github.com/chivetiller/chivetiller/peer/devcert"
)

const (
	// handshakesAtOnce is how many handshakes a client of the crowd has open in the time of the attack.
	handshakesAtOnce = 12
	// handshakeInterval is the time between two handshakes of a client.
	handshakeInterval = 50 * time.Millisecond
)

// silencedConn sends the first packets only, so that a handshake stays incomplete.
type silencedConn struct {
	*net.UDPConn
	mu   sync.Mutex
	left int
}

// WriteTo implements [net.PacketConn].
func (c *silencedConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.mu.Lock()
	silent := c.left == 0
	if !silent {
		c.left--
	}
	c.mu.Unlock()
	if silent {
		return len(p), nil
	}
	return c.UDPConn.WriteTo(p, to)
}

// TestEntryHandshakes guards against an entry instance that runs out of memory because of clients without a certificate that begin
// connections to its port for peers and leave them incomplete.
func TestEntryHandshakes(t *testing.T) {
	dir := t.TempDir()
	authority, err := devcert.NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	files, err := authority.Write(dir, "north-1", time.Hour)
	qt.Assert(t, err, qt.IsNil)
	s := startEntry(t, files)
	to, err := net.ResolveUDPAddr("udp", s.peers)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), attack)
	defer cancel()
	var clients sync.WaitGroup
	for range crowd {
		clients.Go(func() {
			for range handshakesAtOnce {
				clients.Go(func() { beginHandshake(ctx, to) })
				select {
				case <-time.After(handshakeInterval):
				case <-ctx.Done():
					return
				}
			}
		})
	}
	clients.Wait()
	s.check(t)
}

func beginHandshake(ctx context.Context, to *net.UDPAddr) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return
	}
	defer socket.Close()
	transport := &quic.Transport{Conn: &silencedConn{UDPConn: socket, left: 3}}
	defer transport.Close()
	config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"chivetiller-peer/1"}, MinVersion: tls.VersionTLS13}
	if conn, err := transport.Dial(ctx, to, config, &quic.Config{HandshakeIdleTimeout: attack}); err == nil {
		_ = conn.CloseWithError(0, "")
	}
}
