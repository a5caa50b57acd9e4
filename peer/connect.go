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

// Times of dialling. The delay between attempts to dial one address grows from minRedialDelay to maxRedialDelay,
// which bounds the time until the end of a network partition is noticed.
const (
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = 5 * time.Second
	// failedDialInterval is the time between attempts to dial any of the addresses that failed before. It keeps a node
	// that is partitioned from three or four others below its limit of 6 KB/s: each unanswered attempt sends several
	// handshake packets of 1,200 bytes, which add up to 10.8 KB/s without this interval.
	failedDialInterval = 4 * time.Second
	// dialTimeout is longer than two round trips between distant regions.
	dialTimeout = time.Second
	// dialCheckInterval is the time between checks for addresses that are due.
	dialCheckInterval = 100 * time.Millisecond
	// selfRedialDelay is the delay before an address at which this node reached itself is dialled again.
	selfRedialDelay = time.Hour
)

var errSelfConnection = errors.New("address belongs to this instance")

// dialTarget is an address that this node connects to.
type dialTarget struct {
	// peerID is the ID of the peer that last answered at the address.
	peerID string
	// configured is set for addresses from the settings. Others are removed when their registration is gone.
	configured bool
	// failed is set if the last attempt failed.
	failed   bool
	dialling bool
	nextDial time.Time
	backoff  *backoff.ExponentialBackOff
}

func (n *Node) addDialTarget(address string, configured bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == n.self.Address || n.dialTargets[address] != nil {
		return
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRedialDelay, maxRedialDelay
	n.dialTargets[address] = &dialTarget{configured: configured, backoff: b}
}

// updateDialTargets adds the registered addresses and removes those that are neither registered, connected nor in the settings.
func (n *Node) updateDialTargets(registered []registration) {
	kept := make(map[string]bool, len(registered))
	ids := make([]string, 0, len(registered))
	for _, reg := range registered {
		ids = append(ids, reg.ID)
		kept[reg.Address] = true
		n.addDialTarget(reg.Address, false)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.registered = ids
	for _, l := range n.links {
		kept[l.peer.Address] = true
	}
	for address, t := range n.dialTargets {
		if !t.configured && !t.dialling && !kept[address] {
			delete(n.dialTargets, address)
		}
	}
}

// dialPeers keeps dialling the addresses whose peers are not connected until the context is cancelled.
func (n *Node) dialPeers(ctx context.Context) {
	ticker := time.NewTicker(dialCheckInterval)
	defer ticker.Stop()
	for {
		for _, address := range n.takeDueAddresses(time.Now()) {
			n.tasks.Go(func() {
				err := n.dial(ctx, address)
				if err != nil && ctx.Err() == nil {
					n.logger.Debug("Peer cannot be reached.", "address", address, "error", err)
				}
				n.recordDialResult(address, err)
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// takeDueAddresses returns the addresses to dial now and marks them as being dialled.
// Of those that failed before, it returns only the one that has been due longest, once in failedDialInterval.
func (n *Node) takeDueAddresses(now time.Time) []string {
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
	for address, t := range n.dialTargets {
		if t.dialling || connected[address] || n.links[t.peerID] != nil || now.Before(t.nextDial) {
			continue
		}
		if t.failed {
			if failed == "" || t.nextDial.Before(n.dialTargets[failed].nextDial) {
				failed = address
			}
			continue
		}
		t.dialling = true
		addresses = append(addresses, address)
	}
	if failed != "" && !now.Before(n.nextRedial) {
		spread := 0.75 + 0.5*rand.Float64()
		n.nextRedial = now.Add(time.Duration(spread * float64(failedDialInterval)))
		n.dialTargets[failed].dialling = true
		addresses = append(addresses, failed)
	}
	return addresses
}

// recordDialResult records the result of an attempt to dial and schedules the next one.
func (n *Node) recordDialResult(address string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.dialTargets[address]
	if t == nil {
		return
	}
	t.dialling = false
	t.failed = err != nil
	if err == nil {
		t.backoff.Reset()
	}
	t.nextDial = time.Now().Add(t.backoff.NextBackOff())
	if errors.Is(err, errSelfConnection) {
		t.nextDial = time.Now().Add(selfRedialDelay)
	}
}

// dial connects to the address and exchanges hellos with the peer.
func (n *Node) dial(ctx context.Context, address string) error {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return eris.Wrap(err, "resolve address of peer")
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := n.transport.Dial(dialCtx, udp, n.certificates.clientConfig(), n.quicConfig())
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
	if t := n.dialTargets[address]; t != nil {
		t.peerID = peer.ID
	}
	n.mu.Unlock()
	return n.installLink(ctx, newLink(n, conn, peer, true))
}

func (n *Node) acceptConnections(ctx context.Context) {
	for {
		conn, err := n.listener.Accept(ctx)
		if err != nil {
			return
		}
		n.handshakes.Complete(conn.Context())
		n.tasks.Go(func() {
			if err := n.acceptPeer(ctx, conn); err != nil {
				n.logger.Debug("Connection from a peer was refused.", "address", conn.RemoteAddr().String(), "error", err)
			}
		})
	}
}

// acceptPeer answers the hello of a peer that dialled this node. The TLS handshake has verified its certificate.
func (n *Node) acceptPeer(ctx context.Context, conn *quic.Conn) error {
	peer, err := n.exchangeHello(ctx, conn)
	if err != nil {
		_ = conn.CloseWithError(codeBadHello, "hello is missing or malformed")
		return err
	}
	return n.installLink(ctx, newLink(n, conn, peer, false))
}

// exchangeHello reads the hello of the peer and answers it with that of this node.
func (n *Node) exchangeHello(ctx context.Context, conn *quic.Conn) (hello, error) {
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
		return hello{}, eris.Errorf("first request is %q instead of hello", r.Kind)
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

// installLink makes the link the connection to its peer and runs it. It closes the link if the existing one is to stay,
// if a later incarnation of the peer is known, or if this node has dialled itself.
func (n *Node) installLink(ctx context.Context, l *link) error {
	if l.peer.ID == n.self.ID {
		_ = l.conn.CloseWithError(codeSelfConnection, "connected to itself")
		return errSelfConnection
	}
	n.mu.Lock()
	if !n.members.join(time.Now(), l.peer) {
		n.mu.Unlock()
		_ = l.conn.CloseWithError(codeStaleIncarnation, "a later incarnation is known")
		return eris.Errorf("a later incarnation of peer %q is known", l.peer.ID)
	}
	old := n.links[l.peer.ID]
	if old != nil && !n.shouldReplace(l, old) {
		n.mu.Unlock()
		_ = l.conn.CloseWithError(codeDuplicateConnection, "connected already")
		return nil
	}
	n.links[l.peer.ID] = l
	n.mu.Unlock()
	if old != nil {
		_ = old.conn.CloseWithError(codeDuplicateConnection, "connected anew")
	}
	n.logger.Info("Peer is connected.", "peer", l.peer.ID, "incarnation", l.peer.Incarnation)
	n.addDialTarget(l.peer.Address, false)
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

// shouldReplace reports whether a new link replaces the old one. Both sides reach the same decision: the later
// incarnation wins, then the connection that the node with the lower ID dialled, then the newer one.
func (n *Node) shouldReplace(l, old *link) bool {
	if l.peer.Incarnation != old.peer.Incarnation {
		return l.peer.Incarnation > old.peer.Incarnation
	}
	lowerDialled := func(l *link) bool { return l.dialled == (n.self.ID < l.peer.ID) }
	return lowerDialled(l) || !lowerDialled(old)
}
