package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// Bounds of the pause between attempts to connect to one address. The upper one
// bounds how long a healed partition goes unnoticed.
const (
	minRedial = 200 * time.Millisecond
	maxRedial = 5 * time.Second
	// redialPace is the time between attempts to reach any of the addresses that failed before. An attempt that
	// nobody answers sends several handshake packets of 1,200 bytes, and without the pace a node that was cut off
	// from three or four others sent 10.8 KB/s of the 6 KB/s that it may.
	redialPace = 4 * time.Second
	// dialTimeout is above two round trips between distant regions.
	dialTimeout = time.Second
	// connectTick is how often the addresses are checked.
	connectTick = 100 * time.Millisecond
	// selfRedial is the pause for an address at which this node reached itself.
	selfRedial = time.Hour
)

var errSelf = errors.New("address is that of this instance")

// target is an address that this node connects to.
type target struct {
	// id is the peer that answered there last.
	id string
	// fixed addresses come from the settings. Others are dropped when their registration is gone.
	fixed bool
	// failed is set after an attempt that did not succeed.
	failed   bool
	dialling bool
	next     time.Time
	backoff  *backoff.ExponentialBackOff
}

func (n *Node) addTarget(address string, fixed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == n.self.Address || n.targets[address] != nil {
		return
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRedial, maxRedial
	n.targets[address] = &target{fixed: fixed, backoff: b}
}

// keepTargets adds the registered addresses and drops those that are neither registered, connected nor in the settings.
func (n *Node) keepTargets(registered []registration) {
	kept := make(map[string]bool, len(registered))
	ids := make([]string, 0, len(registered))
	for _, reg := range registered {
		ids = append(ids, reg.ID)
		kept[reg.Address] = true
		n.addTarget(reg.Address, false)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.registered = ids
	for _, l := range n.links {
		kept[l.peer.Address] = true
	}
	for address, t := range n.targets {
		if !t.fixed && !t.dialling && !kept[address] {
			delete(n.targets, address)
		}
	}
}

// connect dials all addresses whose peers are not connected.
func (n *Node) connect(ctx context.Context) {
	ticker := time.NewTicker(connectTick)
	defer ticker.Stop()
	for {
		for _, address := range n.due(time.Now()) {
			n.tasks.Go(func() {
				err := n.dial(ctx, address)
				if err != nil && ctx.Err() == nil {
					n.logger.Debug("Peer cannot be reached.", "address", address, "error", err)
				}
				n.dialled(address, err)
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// due returns the addresses to dial now and marks them.
func (n *Node) due(now time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	connected := make(map[string]bool, len(n.links))
	for _, l := range n.links {
		connected[l.peer.Address] = true
	}
	var (
		addresses []string
		failed    string
	)
	for address, t := range n.targets {
		if t.dialling || connected[address] || n.links[t.id] != nil || now.Before(t.next) {
			continue
		}
		if t.failed {
			if failed == "" || t.next.Before(n.targets[failed].next) {
				failed = address
			}
			continue
		}
		t.dialling = true
		addresses = append(addresses, address)
	}
	if failed != "" && !now.Before(n.redial) {
		spread := 0.75 + 0.5*rand.Float64()
		n.redial = now.Add(time.Duration(spread * float64(redialPace)))
		n.targets[failed].dialling = true
		addresses = append(addresses, failed)
	}
	return addresses
}

func (n *Node) dialled(address string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.targets[address]
	if t == nil {
		return
	}
	t.dialling = false
	t.failed = err != nil
	if err == nil {
		t.backoff.Reset()
	}
	t.next = time.Now().Add(t.backoff.NextBackOff())
	if errors.Is(err, errSelf) {
		t.next = time.Now().Add(selfRedial)
	}
}

func (n *Node) dial(ctx context.Context, address string) error {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return eris.Wrap(err, "address of peer")
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := n.transport.Dial(dialCtx, udp, n.material.client(), n.quicConfig())
	if err != nil {
		return err
	}
	body, err := cbor.Marshal(n.self)
	if err != nil {
		return eris.Wrap(err, "encode hello")
	}
	answer, err := roundTrip(ctx, conn, request{Kind: kindHello, Body: body})
	if err != nil {
		_ = conn.CloseWithError(codeBadHello, "no answer to hello")
		return err
	}
	var peer hello
	if err := cbor.Unmarshal(answer, &peer); err != nil {
		_ = conn.CloseWithError(codeBadHello, "hello cannot be decoded")
		return eris.Wrap(err, "decode hello")
	}
	n.mu.Lock()
	if t := n.targets[address]; t != nil {
		t.id = peer.ID
	}
	n.mu.Unlock()
	return n.adopt(ctx, newLink(n, conn, peer, true))
}

func (n *Node) accept(ctx context.Context) {
	for {
		conn, err := n.listener.Accept(ctx)
		if err != nil {
			return
		}
		n.tasks.Go(func() {
			if err := n.welcome(ctx, conn); err != nil {
				n.logger.Debug("Connection of a peer was refused.", "address", conn.RemoteAddr().String(), "error", err)
			}
		})
	}
}

// welcome answers the hello of a peer that has connected. Its certificate was verified by the handshake.
func (n *Node) welcome(ctx context.Context, conn *quic.Conn) error {
	peer, err := n.answerHello(ctx, conn)
	if err != nil {
		_ = conn.CloseWithError(codeBadHello, "hello is missing or malformed")
		return err
	}
	return n.adopt(ctx, newLink(n, conn, peer, false))
}

func (n *Node) answerHello(ctx context.Context, conn *quic.Conn) (hello, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return hello{}, err
	}
	if err := stream.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return hello{}, err
	}
	var r request
	if err := readMessage(stream, &r); err != nil {
		return hello{}, err
	}
	var peer hello
	if r.Kind != kindHello {
		return hello{}, eris.Errorf("first request is %q", r.Kind)
	}
	if err := cbor.Unmarshal(r.Body, &peer); err != nil {
		return hello{}, eris.Wrap(err, "decode hello")
	}
	if peer.ID == "" {
		return hello{}, eris.New("hello has no ID")
	}
	body, err := cbor.Marshal(n.self)
	if err != nil {
		return hello{}, eris.Wrap(err, "encode hello")
	}
	return peer, writeMessage(stream, response{Body: body})
}

// adopt makes the link the one to its peer and runs it, or closes it if another one is better.
func (n *Node) adopt(ctx context.Context, l *link) error {
	if l.peer.ID == n.self.ID {
		_ = l.conn.CloseWithError(codeSelf, "connected to itself")
		return errSelf
	}
	n.mu.Lock()
	if !n.members.join(time.Now(), l.peer) {
		n.mu.Unlock()
		_ = l.conn.CloseWithError(codeStale, "a later incarnation is known")
		return eris.Errorf("peer %q has a later incarnation", l.peer.ID)
	}
	old := n.links[l.peer.ID]
	if old != nil && !n.better(l, old) {
		n.mu.Unlock()
		_ = l.conn.CloseWithError(codeDuplicate, "connected already")
		return nil
	}
	n.links[l.peer.ID] = l
	n.mu.Unlock()
	if old != nil {
		_ = old.conn.CloseWithError(codeDuplicate, "connected anew")
	}
	n.logger.Info("Peer is connected.", "peer", l.peer.ID, "incarnation", l.peer.Incarnation)
	n.addTarget(l.peer.Address, false)
	n.tasks.Go(func() {
		l.run(ctx)
		n.mu.Lock()
		if n.links[l.peer.ID] == l {
			delete(n.links, l.peer.ID)
		}
		n.mu.Unlock()
	})
	return nil
}

// better reports whether a new link replaces the old one. Both sides decide alike: the later incarnation wins,
// then the connection that the node with the lower ID dialled, then the newer one.
func (n *Node) better(l, old *link) bool {
	if l.peer.Incarnation != old.peer.Incarnation {
		return l.peer.Incarnation > old.peer.Incarnation
	}
	lowerDialled := func(l *link) bool { return l.local == (n.self.ID < l.peer.ID) }
	return lowerDialled(l) || !lowerDialled(old)
}
