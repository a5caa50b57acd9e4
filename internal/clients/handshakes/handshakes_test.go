package handshakes_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"

	"github.com/chivetiller/chivetiller/internal/clients/handshakes"
)

const most = 4

var (
	peer     = &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1}
	stranger = &net.UDPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 2}
)

// TestLimit guards against handshakes beyond the limit, against peers that are refused because of others, and against handshakes that count
// after their end, or twice.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := handshakes.New(most, func(a net.Addr) bool { return a.String() == peer.String() })
		begin := func(from net.Addr) (context.Context, context.CancelFunc, error) {
			ctx, cancel := context.WithCancel(t.Context())
			own, err := l.Begin(ctx, &quic.ClientInfo{RemoteAddr: from})
			return own, cancel, err
		}
		qt.Assert(t, l.MustVerify(stranger), qt.IsFalse)
		var contexts []context.Context
		var cancels []context.CancelFunc
		for range most {
			ctx, cancel, err := begin(stranger)
			qt.Assert(t, err, qt.IsNil)
			contexts, cancels = append(contexts, ctx), append(cancels, cancel)
			qt.Assert(t, l.MustVerify(stranger), qt.IsTrue)
		}
		_, cancel, err := begin(stranger)
		cancel()
		qt.Assert(t, err, qt.ErrorIs, handshakes.ErrTooMany)
		_, cancelPeer, err := begin(peer)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, l.Open(), qt.Equals, most+1)

		l.Complete(contexts[0])
		l.Complete(contexts[0])
		qt.Assert(t, l.Open(), qt.Equals, most)
		cancels[0]()
		cancels[1]()
		cancelPeer()
		synctest.Wait()
		qt.Assert(t, l.Open(), qt.Equals, most-2)
		l.Complete(contexts[1])
		qt.Assert(t, l.Open(), qt.Equals, most-2)
		_, cancel, err = begin(stranger)
		qt.Assert(t, err, qt.IsNil)
		for _, c := range append(cancels, cancel) {
			c()
		}
		synctest.Wait()
		qt.Assert(t, l.Open(), qt.Equals, 0)
		l.Complete(t.Context())
		qt.Assert(t, l.Open(), qt.Equals, 0)
	})
}
