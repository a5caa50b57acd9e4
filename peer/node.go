package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/internal/clients/handshakes"
)

// Application error codes with which connections are closed.
const (
	codeClosed quic.ApplicationErrorCode = iota
	codeDuplicateConnection
	codeStaleIncarnation
	codeSelfConnection
	codeBadHello
	codeCertificateExpired
)

// parallelFetchDelay is the age of a delta fetch in progress at which a second one from another peer may start. All
// peers report a new version at nearly the same time, and one reply is enough.
const parallelFetchDelay = 250 * time.Millisecond

// minHeartbeatGap is the minimum time between heartbeats. It limits the extra ones that new configuration versions cause.
const minHeartbeatGap = 50 * time.Millisecond

// Node connects this entry instance with its peers. It is safe for concurrent use.
type Node struct {
	options       Options
	configuration Configuration
	logger        hclog.Logger
	certificates  *certificateLoader
	conn          *countingConn
	transport     *quic.Transport
	handshakes    *handshakes.Limit
	listener      *quic.Listener
	cancel        context.CancelFunc
	tasks         sync.WaitGroup
	leaving       atomic.Bool
	self          hello

	mu          sync.Mutex
	members     *membership
	links       map[string]*link
	dialTargets map[string]*dialTarget
	// nextRedial is the earliest time at which an address that failed before may be dialled again.
	nextRedial time.Time
	handlers   map[string]Handler
	loads      map[string]Load
	registry   *registry
	// registered holds the IDs of the other entry instances in the table at the last renewal.
	registered []string
	// activeFetches is the number of delta fetches in progress, and lastFetchStart the start of the last one.
	activeFetches  int
	lastFetchStart time.Time
	// latestVersion is the latest version that any peer reported, and latestVersionFrom that peer.
	latestVersion     uint64
	latestVersionFrom *link
}

// New checks the options and reads the certificates.
func New(o Options) (*Node, error) {
	o = o.withDefaults()
	if o.ID == "" || o.Configuration == nil {
		return nil, eris.New("peer options need an ID and a configuration")
	}
	logger := o.Logger.Named("peer")
	m, err := newCertificateLoader(o.Certificates, logger)
	if err != nil {
		return nil, err
	}
	n := &Node{
		options:       o,
		configuration: o.Configuration,
		logger:        logger,
		certificates:  m,
		members:       newMembership(o.HeartbeatInterval, time.Now()),
		links:         make(map[string]*link),
		dialTargets:   make(map[string]*dialTarget),
		handlers:      make(map[string]Handler),
		loads:         make(map[string]Load),
	}
	n.Handle(kindConfigDelta, n.handleConfigDelta)
	n.Handle(kindLeaving, n.handleLeaving)
	return n, nil
}

// Handle sets the handler of a kind of request.
func (n *Node) Handle(kind string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[kind] = h
}

// Start opens the socket, registers this node and begins to connect. It does not wait for peers or for the platform.
func (n *Node) Start(ctx context.Context) error {
	conn := n.options.Conn
	if conn == nil {
		var err error
		if conn, err = net.ListenPacket("udp", n.options.Listen); err != nil {
			return eris.Wrap(err, "listen for peers")
		}
	}
	n.conn = &countingConn{conn: conn}
	n.handshakes = handshakes.New(maxHandshakes, n.isDialTarget)
	n.transport = &quic.Transport{Conn: n.conn, ConnContext: n.handshakes.Begin, VerifySourceAddress: n.handshakes.MustVerify}
	listener, err := n.transport.Listen(n.certificates.serverConfig(), n.quicConfig())
	if err != nil {
		_ = conn.Close()
		return eris.Wrap(err, "listen for peers")
	}
	n.listener = listener
	n.self = hello{ID: n.options.ID, DataCentre: n.options.DataCentre, Address: n.options.Advertise, Incarnation: n.options.Incarnation}
	if n.self.Address == "" {
		n.self.Address = conn.LocalAddr().String()
	}
	n.registry = newRegistry(n.options.Table, n.logger)
	if n.self.Incarnation == 0 {
		n.self.Incarnation = n.registry.nextIncarnation(ctx, n.self.ID)
	}
	for _, address := range n.options.Peers {
		n.addDialTarget(address, true)
	}
	running, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.tasks.Go(func() { n.acceptConnections(running) })
	n.tasks.Go(func() { n.dialPeers(running) })
	n.tasks.Go(func() { n.sendHeartbeats(running) })
	if n.options.Table != nil {
		n.tasks.Go(func() { n.renewRegistration(running) })
	}
	return nil
}

func (n *Node) quicConfig() *quic.Config {
	const idleIntervals = deadAfterIntervals + 2 // longer than the failure detector takes, so that connections survive a short network partition
	return &quic.Config{
		Versions:                []quic.Version{quic.Version1},
		HandshakeIdleTimeout:    requestTimeout,
		MaxIdleTimeout:          max(idleIntervals*n.options.HeartbeatInterval, requestTimeout),
		EnableDatagrams:         true,
		DisablePathMTUDiscovery: true, // probes would cost more than large packets save
	}
}

// maxHandshakes limits the handshakes with clients that are not known as peers. Each is held for up to requestTimeout.
const maxHandshakes = 64

// isDialTarget reports whether an address is that of a peer. Peers dial from the address at which they listen.
func (n *Node) isDialTarget(address net.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dialTargets[address.String()] != nil
}

// Stop announces that this node leaves, as [Node.Leave] does, and closes all connections.
func (n *Node) Stop(ctx context.Context) error {
	if n.cancel == nil {
		return nil
	}
	n.Leave(ctx)
	n.cancel()
	_ = n.listener.Close()
	err := n.transport.Close()
	_ = n.conn.Close()
	n.tasks.Wait()
	return err
}

// Leave announces that this node will stop, and waits at most a second for the peers to confirm.
// The node keeps serving peers until Stop.
func (n *Node) Leave(ctx context.Context) {
	if n.leaving.Swap(true) {
		return
	}
	const announceTimeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	n.registry.deleteOwn(ctx, n.self)
	var sent sync.WaitGroup
	for _, l := range n.currentLinks() {
		sent.Go(func() {
			if _, err := roundTrip(ctx, l.conn, request{Kind: kindLeaving}); err != nil {
				n.logger.Debug("Peer could not be notified that this instance leaves.", "peer", l.peer.ID, "error", err)
			}
		})
	}
	sent.Wait()
}

// ID returns the name of this node.
func (n *Node) ID() string { return n.options.ID }

// Incarnation returns the incarnation of this node. It is known after Start.
func (n *Node) Incarnation() uint64 { return n.self.Incarnation }

// Address returns the address that peers dial. It is known after Start.
func (n *Node) Address() string { return n.self.Address }

// Members returns the other entry instances, sorted by ID.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.list(time.Now())
}

// Registered returns the IDs of the other entry instances that were registered at the last renewal.
func (n *Node) Registered() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.registered)
}

// StableFor returns the time since a member was last added or changed its state.
func (n *Node) StableFor() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.members.refreshStates(now)
	return now.Sub(n.members.lastChange)
}

// Stats returns the traffic since Start.
func (n *Node) Stats() Stats {
	return Stats{
		SentBytes: n.conn.sent.Load(), ReceivedBytes: n.conn.received.Load(),
		SentPackets: n.conn.sentPackets.Load(), ReceivedPackets: n.conn.receivedPackets.Load(),
	}
}

// SetLoad sets the load of a pool that is reported to peers until RemoveLoad is called.
func (n *Node) SetLoad(pool string, load Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads[pool] = load
}

// RemoveLoad stops reporting the load of a pool.
func (n *Node) RemoveLoad(pool string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.loads[pool]; ok {
		n.loads[pool] = Load{} // peers remove a pool with an empty load
	}
}

// loadsToSend returns the sorted names of the pools, their loads, and the bytes that the heartbeat to one peer may spend on them.
func (n *Node) loadsToSend() ([]string, map[string]Load, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	const heartbeatOverhead = 100
	bytesPerHeartbeat := int(float64(n.options.LoadBytesPerSecond) * n.options.HeartbeatInterval.Seconds())
	budget := min(bytesPerHeartbeat/max(1, len(n.links)), maxDatagramBytes-heartbeatOverhead)
	return slices.Sorted(maps.Keys(n.loads)), maps.Clone(n.loads), budget
}

// Request sends a request to a member and returns the reply of its handler.
func (n *Node) Request(ctx context.Context, id, kind string, body []byte) ([]byte, error) {
	n.mu.Lock()
	l := n.links[id]
	n.mu.Unlock()
	if l == nil {
		return nil, eris.Errorf("peer %q is not connected", id)
	}
	return roundTrip(ctx, l.conn, request{Kind: kind, Body: body})
}

func (n *Node) handleRequest(ctx context.Context, from hello, r request) ([]byte, error) {
	n.mu.Lock()
	h, ok := n.handlers[r.Kind]
	n.mu.Unlock()
	if !ok {
		return nil, eris.Errorf("unknown kind of request %q", r.Kind)
	}
	return h(ctx, Member{ID: from.ID, Incarnation: from.Incarnation, DataCentre: from.DataCentre, Address: from.Address}, r.Body)
}

func (n *Node) handleConfigDelta(_ context.Context, _ Member, body []byte) ([]byte, error) {
	var r configDeltaRequest
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, eris.Wrap(err, "decode request")
	}
	return n.configuration.Delta(r.After)
}

func (n *Node) handleLeaving(_ context.Context, from Member, _ []byte) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.markLeaving(time.Now(), from.ID, from.Incarnation)
	return nil, nil
}

// recordHeartbeat updates the member that sent the heartbeat.
func (n *Node) recordHeartbeat(from hello, h heartbeat, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.members.recordContact(now, from.ID, from.Incarnation)
	if known == nil {
		return
	}
	if h.Leaving {
		n.members.markLeaving(now, from.ID, from.Incarnation)
	}
	known.Version = max(known.Version, h.Version)
	for _, l := range h.Loads {
		known.Loads[l.Pool] = l.Load
		if l.Load == (Load{}) {
			delete(known.Loads, l.Pool)
		}
	}
}

// sendHeartbeats sends heartbeats to all peers, at the heartbeat interval and soon after a new configuration version is in force.
func (n *Node) sendHeartbeats(ctx context.Context) {
	for {
		changed := n.configuration.Changed()
		// The spread keeps nodes that were started together from sending at the same instant.
		spread := 0.9 + 0.2*rand.Float64()
		timer := time.NewTimer(time.Duration(spread * float64(n.options.HeartbeatInterval)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		now := time.Now()
		for _, l := range n.currentLinks() {
			if now.After(l.expires) {
				n.logger.Warn("Certificate of a peer has expired; its connection is closed.", "peer", l.peer.ID)
				_ = l.conn.CloseWithError(codeCertificateExpired, "certificate has expired")
				continue
			}
			l.sendHeartbeat()
		}
		if err := sleep(ctx, minHeartbeatGap); err != nil {
			return
		}
	}
}

// sleep waits for the duration, or returns the error of the context if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// beginFetch records the version that a peer has and reports whether a fetch may begin now. A fetch in progress
// checks for later versions itself before it ends.
func (n *Node) beginFetch(from *link, version uint64, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version > n.latestVersion {
		n.latestVersion, n.latestVersionFrom = version, from
	}
	if n.activeFetches > 0 && now.Sub(n.lastFetchStart) < parallelFetchDelay {
		return false
	}
	n.activeFetches++
	n.lastFetchStart = now
	return true
}

// endFetch ends a fetch and returns nil. If the fetch did not fail and a peer has reported a version later than
// that of this node, the fetch continues from that peer, which is returned.
func (n *Node) endFetch(failed bool) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version, _, _ := n.configuration.Report(); !failed && n.latestVersion > version {
		return n.latestVersionFrom
	}
	n.activeFetches--
	return nil
}

func (n *Node) currentLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.links))
}
