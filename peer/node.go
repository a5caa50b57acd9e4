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
)

// Codes with which connections are closed.
const (
	codeClosed quic.ApplicationErrorCode = iota
	codeDuplicate
	codeStale
	codeSelf
	codeBadHello
	codeExpired
)

// fetchGap is how long a fetch of a delta has before another peer is asked at the same time. A version reaches
// a node from all its peers at nearly the same time, and one answer is enough.
const fetchGap = 250 * time.Millisecond

// minBeatGap bounds the extra heartbeats that new versions cause.
const minBeatGap = 50 * time.Millisecond

// Node is this entry instance among its peers. It is safe for concurrent use.
type Node struct {
	options       Options
	configuration Configuration
	logger        hclog.Logger
	material      *material
	conn          *countingConn
	transport     *quic.Transport
	listener      *quic.Listener
	cancel        context.CancelFunc
	tasks         sync.WaitGroup
	leaving       atomic.Bool
	self          hello

	mu      sync.Mutex
	members *membership
	links   map[string]*link
	targets map[string]*target
	// redial is when the next address that failed before may be dialled.
	redial   time.Time
	handlers map[string]Handler
	loads    map[string]Load
	registry *registry
	// registered are the IDs of all entry instances in the table at the last renewal.
	registered []string
	// fetches is the number of fetches of deltas under way, and fetched when the last one began.
	fetches int
	fetched time.Time
	// latest is the latest version that any peer reported, and latestFrom that peer.
	latest     uint64
	latestFrom *link
}

// New checks the options and reads the certificates.
func New(o Options) (*Node, error) {
	o = o.withDefaults()
	if o.ID == "" || o.Configuration == nil {
		return nil, eris.New("peer needs an ID and a configuration")
	}
	logger := o.Logger.Named("peer")
	m, err := newMaterial(o.Certificates, logger)
	if err != nil {
		return nil, err
	}
	n := &Node{
		options:       o,
		configuration: o.Configuration,
		logger:        logger,
		material:      m,
		members:       newMembership(o.HeartbeatInterval, time.Now()),
		links:         make(map[string]*link),
		targets:       make(map[string]*target),
		handlers:      make(map[string]Handler),
		loads:         make(map[string]Load),
	}
	n.Handle(kindConfigDelta, n.answerConfigDelta)
	n.Handle(kindLeaving, n.answerLeaving)
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
	n.transport = &quic.Transport{Conn: n.conn}
	listener, err := n.transport.Listen(n.material.server(), n.quicConfig())
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
		n.self.Incarnation = n.registry.incarnation(ctx, n.self.ID)
	}
	for _, address := range n.options.Peers {
		n.addTarget(address, true)
	}
	running, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.tasks.Go(func() { n.accept(running) })
	n.tasks.Go(func() { n.connect(running) })
	n.tasks.Go(func() { n.beat(running) })
	if n.options.Table != nil {
		n.tasks.Go(func() { n.register(running) })
	}
	return nil
}

func (n *Node) quicConfig() *quic.Config {
	const idleIntervals = deadAfter + 2 // the connection outlives the failure detector, so that a short partition heals at once
	return &quic.Config{
		Versions:                []quic.Version{quic.Version1},
		HandshakeIdleTimeout:    requestTimeout,
		MaxIdleTimeout:          max(idleIntervals*n.options.HeartbeatInterval, requestTimeout),
		EnableDatagrams:         true,
		DisablePathMTUDiscovery: true, // probes would cost more than large packets save
	}
}

// Stop announces that this node leaves, waits until peers have heard it, and closes all connections.
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

// Leave announces that this node will stop. It keeps serving peers until Stop.
func (n *Node) Leave(ctx context.Context) {
	if n.leaving.Swap(true) {
		return
	}
	const announceTimeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	n.registry.remove(ctx, n.self)
	var sent sync.WaitGroup
	for _, l := range n.currentLinks() {
		sent.Go(func() {
			if _, err := roundTrip(ctx, l.conn, request{Kind: kindLeaving}); err != nil {
				n.logger.Debug("Peer did not hear that this instance leaves.", "peer", l.peer.ID, "error", err)
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

// Members returns the other entry instances by ID.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.list(time.Now())
}

// Registered returns the IDs of all entry instances that were registered at the last renewal.
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
	n.members.tick(now)
	return now.Sub(n.members.changed)
}

// Stats returns the traffic since Start.
func (n *Node) Stats() Stats {
	return Stats{
		SentBytes: n.conn.sent.Load(), ReceivedBytes: n.conn.received.Load(),
		SentPackets: n.conn.sentPackets.Load(), ReceivedPackets: n.conn.receivedPackets.Load(),
	}
}

// SetLoad sets the load of a pool that peers are told. RemoveLoad ends it.
func (n *Node) SetLoad(pool string, load Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads[pool] = load
}

// RemoveLoad removes a pool from what peers are told.
func (n *Node) RemoveLoad(pool string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.loads[pool]; ok {
		n.loads[pool] = Load{} // peers drop a pool without any load or slot
	}
}

// loadsFor returns the pools by name, their loads and the bytes that one heartbeat may spend on them.
func (n *Node) loadsFor() ([]string, map[string]Load, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	const heartbeatBytes = 100
	perBeat := int(float64(n.options.LoadBytesPerSecond) * n.options.HeartbeatInterval.Seconds())
	budget := min(perBeat/max(1, len(n.links)), maxDatagram-heartbeatBytes)
	return slices.Sorted(maps.Keys(n.loads)), maps.Clone(n.loads), budget
}

// Request sends a request to a member and returns the answer of its handler.
func (n *Node) Request(ctx context.Context, id, kind string, body []byte) ([]byte, error) {
	n.mu.Lock()
	l := n.links[id]
	n.mu.Unlock()
	if l == nil {
		return nil, eris.Errorf("peer %q is not connected", id)
	}
	return roundTrip(ctx, l.conn, request{Kind: kind, Body: body})
}

func (n *Node) answer(ctx context.Context, from hello, r request) ([]byte, error) {
	n.mu.Lock()
	h, ok := n.handlers[r.Kind]
	n.mu.Unlock()
	if !ok {
		return nil, eris.Errorf("unknown kind of request %q", r.Kind)
	}
	return h(ctx, Member{ID: from.ID, Incarnation: from.Incarnation, DataCentre: from.DataCentre, Address: from.Address}, r.Body)
}

func (n *Node) answerConfigDelta(_ context.Context, _ Member, body []byte) ([]byte, error) {
	var r configDeltaRequest
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, eris.Wrap(err, "decode request")
	}
	return n.configuration.Delta(r.After)
}

func (n *Node) answerLeaving(_ context.Context, from Member, _ []byte) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.leave(time.Now(), from.ID, from.Incarnation)
	return nil, nil
}

// heard records a heartbeat.
func (n *Node) heard(from hello, h heartbeat, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.members.hear(now, from.ID, from.Incarnation)
	if known == nil {
		return
	}
	if h.Leaving {
		n.members.leave(now, from.ID, from.Incarnation)
	}
	known.Version = max(known.Version, h.Version)
	for _, l := range h.Loads {
		known.Loads[l.Pool] = l.Load
		if l.Load == (Load{}) {
			delete(known.Loads, l.Pool)
		}
	}
}

// beat sends heartbeats to all peers, at the interval and soon after a new version is in force.
func (n *Node) beat(ctx context.Context) {
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
				n.logger.Warn("Certificate of a peer has expired.", "peer", l.peer.ID)
				_ = l.conn.CloseWithError(codeExpired, "certificate has expired")
				continue
			}
			l.beat()
		}
		if err := pause(ctx, minBeatGap); err != nil {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// beginFetch records that a peer has a version, and reports whether a fetch may begin now. A fetch that
// is under way looks for later versions itself before it ends.
func (n *Node) beginFetch(from *link, version uint64, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version > n.latest {
		n.latest, n.latestFrom = version, from
	}
	if n.fetches > 0 && now.Sub(n.fetched) < fetchGap {
		return false
	}
	n.fetches++
	n.fetched = now
	return true
}

// endFetch ends a fetch, unless it may go on and a peer has a later version than this node by now. That peer is returned.
func (n *Node) endFetch(failed bool) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version, _, _ := n.configuration.Report(); !failed && n.latest > version {
		return n.latestFrom
	}
	n.fetches--
	return nil
}

func (n *Node) currentLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.links))
}
