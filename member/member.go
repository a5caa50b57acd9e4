// Package member keeps the list of live processes and the duty of the one that decides, both as rows of the store.
//
// # Usage
//
//	m := member.New(member.Options{Store: s, Self: member.Node{Name: "front-1", Address: "10.0.0.1:7000"}})
//	m.Start()
//	if tenure, ok := m.Tenure(); ok && m.Holds(tenure.Fence) { ... }
package member

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/common/loop"
	"github.com/chivetiller/chivetiller/store"
)

// Tables and rows of the package.
const (
	tableNodes = "node"
	tableDuty  = "duty"
	rowHolder  = "holder"
	// otherPart is added to the name of a node for the second part of its beats.
	otherPart = "+"
)

const (
	// beatInterval is the time between two beats. Each costs two calls of the store.
	beatInterval = 400 * time.Millisecond
	// holderBeatInterval is the time between two beats of the holder, so that its silence is noticed sooner.
	holderBeatInterval = 200 * time.Millisecond
	// maxBeats bounds the beats without an answer.
	maxBeats = 4
	// deadAfter is after which silence a node counts as dead: three beats, and one of a slow store. The leases
	// of the tasks have 1.5 s left at that time.
	deadAfter = 1500 * time.Millisecond
	// suspectAfter is after which silence the holder counts as dead for a node that cannot reach it either: three
	// beats of the holder.
	suspectAfter = 600 * time.Millisecond
	// suspectInterval is the time between two looks at the rows while the holder is suspected.
	suspectInterval = 150 * time.Millisecond
	// suspectPause is how long a holder that has beaten again is not suspected anew, which bounds the additional looks.
	suspectPause = time.Second
	// unconfirmedAfter is after which time without a confirmation a holder tells those who call it. Commits and looks confirm the
	// duty each 0.4 s, and a slow store adds 0.3 s.
	unconfirmedAfter = 700 * time.Millisecond
	// rankDelay is how much later each next candidate takes the duty.
	rankDelay = 200 * time.Millisecond
	// candidateAfter is after which silence a node no longer delays the candidates behind it. It is likely to be cut off with
	// the holder.
	candidateAfter = 900 * time.Millisecond
	// callTimeout bounds one call of the store. A slow store takes up to 0.3 s.
	callTimeout = 900 * time.Millisecond
	// watchGap is after which time without a look at the rows silence is counted anew.
	watchGap = 1300 * time.Millisecond
)

// Node is a live process.
type Node struct {
	Name string `cbor:"1,keyasint"`
	// Address is where peers connect.
	Address    string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	// Incarnation tells the starts of a process apart.
	Incarnation string `cbor:"4,keyasint"`
	// Fence is the fencing token of the duty in an answer of [Member.Holder]. It is not stored.
	Fence uint64 `cbor:"5,keyasint,omitempty"`
	// Leaving means that the node is about to stop and takes no duty.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Count grows with each beat.
	Count uint64 `cbor:"7,keyasint"`
	// Cores is the processor share of the node. The strongest node takes the duty.
	Cores float64 `cbor:"8,keyasint,omitempty"`
}

// Options are the options of a member.
type Options struct {
	Store  store.Store
	Clock  *store.Clock
	Self   Node
	Logger hclog.Logger
}

// Member is the part of a process in the list. It is safe for concurrent use.
type Member struct {
	o      Options
	logger hclog.Logger
	loop   *loop.Loop

	mu     sync.Mutex
	count  uint64
	seen   map[string]*sighting
	looked time.Duration
	// held is when a live node was last seen to hold the duty.
	held time.Duration
	// after is the version from which on changes are read, and 0 before the first look.
	after uint64
	// steady is since when the rows have been read without a gap.
	steady time.Duration
	// duty is the last row of the duty that was seen, dutyVersion its version, and dutySeen since when it is known.
	duty        holderRow
	dutyVersion uint64
	dutySeen    time.Duration
	// suspected is the fence of a holder that calls did not reach, trusted is when it was last seen to beat again, and wake
	// ends the wait between two rounds.
	suspected uint64
	trusted   time.Duration
	wake      chan struct{}
	tenure    *Term
	valid     time.Duration
	leaving   bool
}

// sighting is what is known of a node.
type sighting struct {
	node    Node
	version uint64
	// changed is when the row was seen to change, and since since when the process is known.
	changed time.Duration
	since   time.Duration
}

// New returns a member that is not started.
func New(o Options) *Member {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	m := &Member{o: o, logger: o.Logger.Named("member"), seen: make(map[string]*sighting), wake: make(chan struct{}, 1)}
	m.loop = loop.New(m.run)
	return m
}

// Start begins to beat.
func (m *Member) Start() { m.loop.Start() }

// Stop gives the duty back and ends.
func (m *Member) Stop() {
	m.loop.Stop()
	m.mu.Lock()
	m.leaving = true
	held := m.tenure
	m.tenure = nil
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if held != nil {
		m.release(ctx, *held)
	}
	if err := m.beat(ctx, m.o.Self.Name); err != nil {
		m.logger.Warn("Last beat was not stored.", "error", err)
	}
}

func (m *Member) run(ctx context.Context) {
	m.tryBeat(ctx, m.o.Self.Name)
	var beats sync.WaitGroup
	defer beats.Wait()
	beats.Go(func() { m.keepBeating(ctx) })
	for ctx.Err() == nil {
		m.decide(ctx)
		m.wait(ctx)
	}
}

// wait ends at the time of the next look. While the holder is suspected the rows are read more often.
func (m *Member) wait(ctx context.Context) {
	look := time.NewTimer(beatInterval)
	defer look.Stop()
	for {
		var again <-chan time.Time
		if m.suspects() {
			again = time.After(suspectInterval)
		}
		select {
		case <-look.C:
			return
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-again:
		}
		m.decide(ctx)
	}
}

// SuspectLeader notes that a call did not reach the holder with that fence. If its beats are missing too, the duty is taken sooner.
func (m *Member) SuspectLeader(fence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if fence == 0 || fence != m.dutyVersion || fence == m.suspected || clock.Now()-m.trusted < suspectPause {
		return
	}
	m.suspected = fence
	m.logger.Info("Holder is suspected.", "holder", m.duty.Holder, "fence", fence)
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Member) suspects() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspected != 0 && m.suspected == m.dutyVersion
}

// decide reads the rows of the nodes, and takes the duty, confirms it or gives it back.
func (m *Member) decide(ctx context.Context) {
	reading, cancelRead := context.WithTimeout(ctx, callTimeout)
	defer cancelRead()
	if err := m.look(reading); err != nil {
		if ctx.Err() == nil {
			m.logger.Warn("Nodes cannot be read.", "error", err)
		}
		return
	}
	if held, ok := m.Term(); ok {
		m.check(ctx, held)
		if m.weak(held) {
			m.giveBack(ctx)
		}
		return
	}
	if !m.shouldTake() {
		return
	}
	m.take(ctx)
}

// look reads the rows of all nodes.
func (m *Member) look(ctx context.Context) error {
	rows, complete, err := m.read(ctx)
	if err != nil {
		return err
	}
	m.o.Clock.Update(rows.Now)
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.looked > watchGap {
		m.steady = now
	}
	m.looked = now
	listed := make(map[string]bool, len(rows.Rows))
	for _, row := range rows.Rows {
		if row.Key == keyAnnounced {
			m.noteDuty(row, now)
			continue
		}
		var n Node
		if err := cbor.Unmarshal(row.Value, &n); err != nil {
			m.logger.Warn("Row of a node cannot be read.", "row", row.Name, "error", err)
			continue
		}
		listed[n.Name] = true
		s, ok := m.seen[n.Name]
		if !ok {
			m.logger.Info("Node is known.", "node", n.Name, "address", n.Address, "zone", n.DataCentre)
			m.seen[n.Name] = &sighting{node: n, version: row.Version, changed: now, since: now}
			continue
		}
		if row.Version > s.version && s.node.Incarnation != n.Incarnation {
			s.since = now
		}
		if row.Version > s.version {
			s.node, s.version, s.changed = n, row.Version, now
			if n.Name == m.duty.Holder && m.suspected != 0 {
				m.suspected, m.trusted = 0, now
			}
		}
	}
	for name := range m.seen {
		if complete && !listed[name] {
			delete(m.seen, name)
		}
	}
	m.after = rows.Version
	if _, held := m.holder(now); held {
		m.held = now
	}
	return nil
}

// read returns the rows that have changed since the last time, or all of them.
func (m *Member) read(ctx context.Context) (rows store.Rows, complete bool, err error) {
	m.mu.Lock()
	after := m.after
	m.mu.Unlock()
	if after > 0 {
		rows, err = m.o.Store.Changes(ctx, tableNodes, after, 0)
		if !errors.Is(err, store.ErrHistoryGone) {
			return rows, false, err
		}
		m.logger.Warn("History of the nodes is gone; all rows are read.", "after", after)
	}
	rows, err = store.ScanAll(ctx, m.o.Store, tableNodes)
	return rows, true, err
}

// live reports whether a node counts as live. While the rows could not be read nobody is declared dead.
func (m *Member) live(s *sighting, now time.Duration) bool {
	return now-max(s.changed, m.steady) < deadAfter || now-m.looked > watchGap
}

// Live returns the live nodes, the strongest first.
func (m *Member) Live() []Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveNodes(clock.Now())
}

func (m *Member) liveNodes(now time.Duration) []Node {
	var live []Node
	for _, s := range m.seen {
		if m.live(s, now) && !s.node.Leaving {
			live = append(live, s.node)
		}
	}
	slices.SortFunc(live, func(a, b Node) int { return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name)) })
	return live
}

// NodesFresh reports whether the rows of the nodes were read lately. A process that the store turns away knows no new holder.
func (m *Member) NodesFresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return clock.Now()-m.looked < watchGap
}

// Leader returns the live node that holds the duty.
func (m *Member) Leader() (Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, held := m.holder(clock.Now())
	return n, held && n.Name != ""
}

// holder returns the live node that the row of the duty names. A row that is newer than the last beat of its holder belongs
// to a node that has just taken the duty. The node is empty if it is not known yet.
func (m *Member) holder(now time.Duration) (Node, bool) {
	if m.tenure != nil {
		self := m.o.Self
		self.Fence = m.tenure.Fence
		return self, true
	}
	if m.dutyVersion == 0 || m.duty.Released || m.duty.Holder == m.o.Self.Name {
		return Node{}, false
	}
	s, ok := m.seen[m.duty.Holder]
	if !ok {
		return Node{}, now-m.dutySeen < deadAfter
	}
	n := s.node
	n.Fence = m.dutyVersion
	if m.dutyVersion > s.version && now-m.dutySeen < deadAfter {
		return n, true
	}
	live := m.live(s, now)
	if m.suspected == m.dutyVersion && now-m.looked < watchGap {
		live = live && now-max(s.changed, m.steady) < suspectAfter
	}
	return n, n.Incarnation == m.duty.Incarnation && live && !n.Leaving
}
