// Package handshakes limits the connections whose handshake is not complete. Each holds the state of its encryption until it is complete or
// times out, although its client has shown no certificate.
//
// # Usage
//
//	h := handshakes.New(most, known)
//	transport := &quic.Transport{Conn: conn, ConnContext: h.Begin, VerifySourceAddress: h.MustVerify}
//	...
//	conn, err := listener.Accept(ctx)
//	h.Complete(conn.Context())
//
// # States
//
// A handshake is open from Begin until Complete or the end of its context. Clients at known addresses are always admitted. Others are
// refused while the limit is reached, and have to show that they receive packets at their address from a quarter of it on.
package handshakes

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// ErrTooMany means that a connection was refused because too many handshakes are open.
var ErrTooMany = errors.New("too many handshakes are not complete")

// verifyShare is the inverse of the part of the limit from which on addresses are verified, which takes a round trip.
const verifyShare = 4

// Limit limits the open handshakes. It is safe for concurrent use.
type Limit struct {
	most int
	// known reports whether an address is that of a peer.
	known func(net.Addr) bool

	mu   sync.Mutex
	open int
}

// New returns a limit without open handshakes.
func New(most int, known func(net.Addr) bool) *Limit { return &Limit{most: most, known: known} }

// Open returns the number of open handshakes.
func (l *Limit) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// MustVerify reports whether a client has to show that it receives packets at its address.
func (l *Limit) MustVerify(net.Addr) bool { return l.Open() >= l.most/verifyShare }

type handshakeKey struct{}

// handshake is an open handshake. It ends once.
type handshake struct{ end func() }

// Begin admits a connection, unless it fails with [ErrTooMany]. The context ends with the connection.
func (l *Limit) Begin(ctx context.Context, client *quic.ClientInfo) (context.Context, error) {
	known := l.known(client.RemoteAddr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.most && !known {
		return nil, ErrTooMany
	}
	l.open++
	h := &handshake{end: sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open--
	})}
	context.AfterFunc(ctx, h.end)
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

// Complete records that the handshake of a connection is complete, by the context of the connection.
func (l *Limit) Complete(ctx context.Context) {
	if h, ok := ctx.Value(handshakeKey{}).(*handshake); ok {
		h.end()
	}
}
