// Package member keeps the list of live processes and elects the leader among them. Both the processes and the leader are rows of
// the store; the leader alone decides where tasks run.
//
// # Usage
//
//	m := member.New(member.Options{Store: s, Self: member.Node{Name: "front-1", Address: "10.0.0.1:7000"}})
//	m.Start()
//	if term, ok := m.Term(); ok && m.IsLeader(term.Fence) { ... }
package member

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/common/loop"
	"github.com/chivetiller/chivetiller/store"
)

// Tables and rows of the package.
const (
	tableNodes = "node"
	// The stored names of the leader row are those of earlier versions.
	tableLeader = "duty"
	rowLeader   = "holder"
	// alternateSuffix is added to the name of a node for the alternate table partition of its heartbeats.
	alternateSuffix = "+"
)

const (
	// heartbeatInterval is the time between two heartbeats, and between two scans of the nodes. Each heartbeat costs two calls of
	// the store.
	heartbeatInterval = 400 * time.Millisecond
	// leaderHeartbeatInterval is the time between two heartbeats of the leader. It is shorter so that a failed leader is detected
	// sooner.
	leaderHeartbeatInterval = 200 * time.Millisecond
	// maxPendingHeartbeats limits the heartbeats without a reply.
	maxPendingHeartbeats = 4
	// deadTimeout is the time without a heartbeat after which a node counts as dead. It covers three heartbeats, and one more of
	// a slow store. The leases of the tasks have 1.5 s left at that time.
	deadTimeout = 1500 * time.Millisecond
	// suspectTimeout is the time without a heartbeat after which the leader counts as dead for a node whose calls do not reach it
	// either. It covers three heartbeats of the leader.
	suspectTimeout = 600 * time.Millisecond
	// suspectScanInterval is the time between two scans of the nodes while the leader is suspected to be dead.
	suspectScanInterval = 150 * time.Millisecond
	// suspectPause is the time after a new heartbeat of a suspected leader in which it is not suspected again. It limits the
	// additional scans.
	suspectPause = time.Second
	// unconfirmedAfter is the time without a confirmation of the term after which the leader informs its callers. Commits and
	// scans confirm the term every 0.4 s, and a slow store adds 0.3 s.
	unconfirmedAfter = 700 * time.Millisecond
	// candidateDelay is the time that a candidate for leadership waits for each candidate ranked before it.
	candidateDelay = 200 * time.Millisecond
	// candidateTimeout is the time without a heartbeat after which a node no longer delays the candidates ranked behind it. It is
	// probably unreachable together with the leader.
	candidateTimeout = 900 * time.Millisecond
	// callTimeout limits one call of the store. A slow store takes up to 0.3 s.
	callTimeout = 900 * time.Millisecond
	// maxCandidates is the number of nodes that send heartbeats. Only they can become the leader, answer for peers and carry its
	// commands. All others follow them without a row of their own, so that the rows that a node reads do not grow with the fleet.
	maxCandidates = 24
	// followerInterval is the time between two scans of the nodes by a follower. With two of them lost, the list still counts as
	// fresh only after additional scans.
	followerInterval = 700 * time.Millisecond
	// followAfter is the time for which enough stronger nodes have to be live before a candidate becomes a follower. After a start,
	// all nodes are candidates.
	followAfter = 3 * time.Second
	// forgetAfter is the time without a heartbeat after which a node is forgotten. The last heartbeat of a node that has been
	// replaced under another name stays in the store.
	forgetAfter = time.Minute
	// recentVersions is how many of the latest transactions a first scan reads heartbeats from. With the number of
	// transactions that the store allows, they go back at least half a second, which contains a heartbeat of each node.
	recentVersions = 2000
	// maxScanGap is the time between two scans after which the time without a heartbeat is counted anew for all nodes, since
	// heartbeats during the gap were not read.
	maxScanGap = 1300 * time.Millisecond
)

// Node is a process in the list.
type Node struct {
	Name string `cbor:"1,keyasint"`
	// Address is where peers connect.
	Address    string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	// Incarnation identifies one start of the process.
	Incarnation string `cbor:"4,keyasint"`
	// Fence is the fencing token of the leader in a result of [Member.Leader]. It is not stored.
	Fence uint64 `cbor:"5,keyasint,omitempty"`
	// Leaving means that the node is about to stop and does not acquire leadership.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Count grows with each heartbeat.
	Count uint64 `cbor:"7,keyasint"`
	// Cores is the processor share of the node. The node with the largest share acquires leadership first.
	Cores float64 `cbor:"8,keyasint,omitempty"`
	// CommandAddress is where the node accepts commands for workers, which it carries for the leader. It is empty for nodes of
	// earlier versions.
	CommandAddress string `cbor:"9,keyasint,omitempty"`
	// LeaderFence is the fencing token of the leader in its own heartbeats, and EarlierUntil the time on the store's clock until which
	// the leaders before it may send commands. Both are 0 in those of other nodes and of earlier versions.
	LeaderFence  uint64        `cbor:"10,keyasint,omitempty"`
	EarlierUntil time.Duration `cbor:"11,keyasint,omitempty"`
}

// Options are the options of a member.
type Options struct {
	Store  store.Store
	Clock  *store.Clock
	Self   Node
	Logger hclog.Logger
}

// Member takes part in the list and the election on behalf of this process. It is safe for concurrent use.
type Member struct {
	options Options
	logger  hclog.Logger
	loop    *loop.Loop

	mu         sync.Mutex
	heartbeats uint64
	nodes      map[string]*nodeState
	// malformed holds the names of the rows that could not be decoded when they last changed.
	malformed map[string]bool
	lastScan  time.Duration
	// leaderLiveAt is the time of the last scan in which a live node was the leader, or at which this node resigned.
	leaderLiveAt time.Duration
	// scannedVersion is the version up to which changes have been read, and 0 before the first scan.
	scannedVersion uint64
	// scanningSince is the time since which the nodes have been scanned without a gap.
	scanningSince time.Duration
	// leaderRow is the latest known leader row, leaderVersion is its version, and leaderRowSince is when it was first read.
	leaderRow      leaderRow
	leaderVersion  uint64
	leaderRowSince time.Duration
	// leaderTermSince is when a row of the term in leaderRow was first read.
	leaderTermSince time.Duration
	// boundedSince is when a row with the BoundedFrom in leaderRow was first read.
	boundedSince time.Duration
	// earlierUntil is the time on the store's clock until which the leaders before the one with the token earlierFence may send
	// commands, as its heartbeats tell. It is 0 if none has been read.
	earlierFence uint64
	earlierUntil time.Duration
	// suspectedFence is the fencing token of a leader that calls did not reach. suspicionClearedAt is when a suspected leader
	// last sent a new heartbeat. wake ends the wait between two scans.
	suspectedFence     uint64
	suspicionClearedAt time.Duration
	wake               chan struct{}
	// term is the term of this process while it is the leader, and validUntil is the time until which it is confirmed.
	term       *Term
	validUntil time.Duration
	leaving    bool
	// following means that this node is not a candidate, and outrankedSince is since when enough others precede it. It is 0 while
	// they do not.
	following      bool
	outrankedSince time.Duration
}

// New returns a member that is not started.
func New(o Options) *Member {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	m := &Member{options: o, logger: o.Logger.Named("member"), nodes: make(map[string]*nodeState), malformed: make(map[string]bool), wake: make(chan struct{}, 1)}
	m.loop = loop.New(m.run)
	return m
}

// Start starts to send heartbeats and to take part in the election.
func (m *Member) Start() { m.loop.Start() }

// Stop resigns if this process is the leader, and marks the node as leaving.
func (m *Member) Stop() {
	m.loop.Stop()
	m.mu.Lock()
	m.leaving = true
	term := m.term
	m.term = nil
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if term != nil {
		m.writeResignation(ctx, *term)
	}
	if m.Following() {
		return
	}
	if err := m.writeHeartbeat(ctx, m.options.Self.Name); err != nil {
		m.logger.Warn("Last heartbeat was not stored.", "error", err)
	}
}

func (m *Member) run(ctx context.Context) {
	m.tryHeartbeat(ctx, m.options.Self.Name)
	var heartbeats sync.WaitGroup
	defer heartbeats.Wait()
	heartbeats.Go(func() { m.sendHeartbeats(ctx) })
	for ctx.Err() == nil {
		m.updateLeadership(ctx)
		m.waitForScan(ctx)
	}
}

// waitForScan returns when the next regular scan is due. While the leader is suspected to be dead, it makes additional scans.
func (m *Member) waitForScan(ctx context.Context) {
	regular := time.NewTimer(m.scanInterval())
	defer regular.Stop()
	for {
		var additional <-chan time.Time
		if m.leaderSuspected() {
			additional = time.After(suspectScanInterval)
		}
		select {
		case <-regular.C:
			return
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-additional:
		}
		m.updateLeadership(ctx)
	}
}

// SuspectLeader records that a call did not reach the leader with the fencing token. If its heartbeats are missing too, it counts
// as dead sooner.
func (m *Member) SuspectLeader(fence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if fence == 0 || fence != m.leaderVersion || fence == m.suspectedFence || clock.Now()-m.suspicionClearedAt < suspectPause {
		return
	}
	m.suspectedFence = fence
	m.logger.Info("Leader is suspected to be dead.", "holder", m.leaderRow.Leader, "fence", fence)
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Member) leaderSuspected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspectedFence != 0 && m.suspectedFence == m.leaderVersion
}

// updateLeadership scans the nodes. Then the leader confirms its term or resigns, and another node acquires leadership if it is its
// turn.
func (m *Member) updateLeadership(ctx context.Context) {
	reading, cancelRead := context.WithTimeout(ctx, callTimeout)
	defer cancelRead()
	if err := m.scanNodes(reading); err != nil {
		if ctx.Err() == nil {
			m.logger.Warn("Nodes cannot be scanned.", "error", err)
		}
		return
	}
	m.updateCandidacy()
	if term, ok := m.Term(); ok {
		m.checkTerm(ctx, term)
		if m.largerNodeLive(term) {
			m.resign(ctx)
		}
		return
	}
	if !m.shouldAcquire() {
		return
	}
	m.acquire(ctx)
}

// scanNodes reads the rows of the nodes and of the leader, and updates what is known of them.
func (m *Member) scanNodes(ctx context.Context) error {
	rows, err := m.readNodes(ctx)
	if err != nil {
		return err
	}
	m.options.Clock.Update(rows.Now)
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.lastScan > maxScanGap {
		m.scanningSince = now
	}
	m.lastScan = now
	for _, row := range rows.Rows {
		if row.Deleted {
			continue
		}
		if row.Key == keyLeaderCopy || row.Key == keyLeader {
			m.decodeLeaderRow(row, now)
			continue
		}
		n, err := decodeNode(row)
		if err != nil {
			if !m.malformed[row.Name] {
				m.logger.Warn("Row of a node cannot be decoded.", "row", row.Name, "error", err)
			}
			m.malformed[row.Name] = true
			continue
		}
		delete(m.malformed, row.Name)
		if n.EarlierUntil != 0 && n.LeaderFence >= m.earlierFence {
			m.earlierFence, m.earlierUntil = n.LeaderFence, n.EarlierUntil
		}
		s, ok := m.nodes[n.Name]
		if !ok {
			m.logger.Debug("Node was added.", "node", n.Name, "address", n.Address, "zone", n.DataCentre)
			s = &nodeState{node: n, version: row.Version, lastChange: now, firstSeen: now}
			s.addIncarnation(n.Incarnation, row.Version)
			m.nodes[n.Name] = s
			continue
		}
		s.addIncarnation(n.Incarnation, row.Version)
		if row.Version > s.version && s.node.Incarnation != n.Incarnation {
			s.firstSeen = now
		}
		if row.Version > s.version {
			s.node, s.version, s.lastChange = n, row.Version, now
			if n.Name == m.leaderRow.Leader && m.suspectedFence != 0 {
				m.suspectedFence, m.suspicionClearedAt = 0, now
			}
		}
	}
	for name, s := range m.nodes {
		if now-max(s.lastChange, m.scanningSince) > forgetAfter {
			m.logger.Debug("Node was forgotten.", "node", name, "silentFor", now-s.lastChange)
			delete(m.nodes, name)
		}
	}
	m.scannedVersion = rows.Version
	if _, exists := m.liveLeader(now); exists {
		m.leaderLiveAt = now
	}
	return nil
}

// readNodes returns the rows that have changed since the last scan. The first scan, and one for which the store no longer has the
// changes, returns the leader row and the recent heartbeats instead, or the last heartbeat of the leader if the store no longer has those
// either. It does not read the rows of all nodes: each has a partition of its own, so that many nodes that start at the same time would
// make more calls than the store allows.
func (m *Member) readNodes(ctx context.Context) (store.Rows, error) {
	m.mu.Lock()
	after := m.scannedVersion
	m.mu.Unlock()
	if after > 0 {
		rows, err := m.options.Store.Changes(ctx, tableNodes, after, 0)
		if !errors.Is(err, store.ErrHistoryGone) {
			return rows, err
		}
		m.logger.Warn("Changes of the nodes are no longer in the history; the next heartbeats are awaited.", "after", after)
	}
	leader, err := m.options.Store.Scan(ctx, tableLeader, "", rowLeader, rowLeader+"\x00")
	if err != nil {
		return store.Rows{}, err
	}
	if since := leader.Version - min(leader.Version, recentVersions); after == 0 || since > after {
		recent, err := m.options.Store.Changes(ctx, tableNodes, since, 0)
		if !errors.Is(err, store.ErrHistoryGone) {
			recent.Rows = append(recent.Rows, leader.Rows...)
			return recent, err
		}
	}
	return m.readLeaderHeartbeat(ctx, leader)
}

// isLive reports whether a node counts as live. While the nodes cannot be scanned, none is declared dead.
func (m *Member) isLive(s *nodeState, now time.Duration) bool {
	return now-max(s.lastChange, m.scanningSince) < deadTimeout || now-m.lastScan > maxScanGap
}

// Live returns the live nodes that send heartbeats and are not about to stop, in the order in which they acquire leadership: those
// with the most cores first.
func (m *Member) Live() []Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveNodes(clock.Now())
}

func (m *Member) liveNodes(now time.Duration) []Node {
	var live []Node
	for _, s := range m.nodes {
		if m.isLive(s, now) && !s.node.Leaving {
			live = append(live, s.node)
		}
	}
	slices.SortFunc(live, compareNodes)
	return live
}

// compareNodes orders nodes for the election.
func compareNodes(a, b Node) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
}

// compareCandidates orders nodes for candidacy. Nodes of the same size are in the order of a hash, since names often begin with the
// data centre, and candidates should not all be in one.
func compareCandidates(a, b Node) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

// updateCandidacy makes this node a candidate if fewer than maxCandidates live nodes precede it, and a follower if that has not been
// so for followAfter.
func (m *Member) updateCandidacy() {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	preceding := 0
	for _, n := range m.liveNodes(now) {
		if n.Name != m.options.Self.Name && compareCandidates(n, m.options.Self) < 0 {
			preceding++
		}
	}
	if preceding < maxCandidates || m.term != nil {
		m.outrankedSince = 0
		if m.following {
			m.following = false
			m.logger.Info("Node is a candidate for leadership.", "preceding", preceding)
		}
		return
	}
	if m.outrankedSince == 0 {
		m.outrankedSince = now
	}
	if !m.following && now-m.outrankedSince > followAfter {
		m.following = true
		m.logger.Info("Node is a follower: it sends no heartbeats.", "preceding", preceding)
	}
}

// Following reports whether this node is a follower.
func (m *Member) Following() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.following
}

// scanInterval returns the time between two regular scans of the nodes.
func (m *Member) scanInterval() time.Duration {
	if m.Following() {
		return followerInterval
	}
	return heartbeatInterval
}

// NodesFresh reports whether the nodes were scanned recently. A process that cannot read from the store does not learn of a new
// leader.
func (m *Member) NodesFresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return clock.Now()-m.lastScan < maxScanGap
}

// Leader returns the live node that is the leader.
func (m *Member) Leader() (Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, exists := m.liveLeader(clock.Now())
	return n, exists && n.Name != ""
}

// LastLeader returns the name of the node in the latest leader row that is known, live or not, and "" if none is known.
func (m *Member) LastLeader() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != nil {
		return m.options.Self.Name
	}
	return m.leaderRow.Leader
}

// liveLeader returns the node in the leader row, and whether it is live. If the leader row is newer than the last heartbeat of
// its node, the node has just acquired leadership and counts as live. The node is empty if it has not been read yet.
func (m *Member) liveLeader(now time.Duration) (Node, bool) {
	if m.term != nil {
		self := m.options.Self
		self.Fence = m.term.Fence
		return self, true
	}
	if m.leaderVersion == 0 || m.leaderRow.Resigned || m.leaderRow.Leader == m.options.Self.Name {
		return Node{}, false
	}
	s, ok := m.nodes[m.leaderRow.Leader]
	if !ok {
		return Node{}, now-m.leaderRowSince < deadTimeout
	}
	n := s.node
	n.Fence = m.leaderVersion
	if m.leaderVersion > s.version && now-m.leaderRowSince < deadTimeout {
		return n, true
	}
	live := m.isLive(s, now)
	if m.suspectedFence == m.leaderVersion && now-m.lastScan < maxScanGap {
		live = live && now-max(s.lastChange, m.scanningSince) < suspectTimeout
	}
	return n, n.Incarnation == m.leaderRow.Incarnation && live && !n.Leaving
}
