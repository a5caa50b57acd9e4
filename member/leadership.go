package member

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/jobs/horizon"
	"github.com/chivetiller/chivetiller/scheduler"
	"github.com/chivetiller/chivetiller/store"
)

// leaderRow is the row that names the leader. Its version is the fencing token of the term.
type leaderRow struct {
	Leader      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Term        int    `cbor:"3,keyasint"`
	// Resigned means that the leader has resigned and sends no more commands.
	Resigned bool `cbor:"4,keyasint,omitempty"`
	// EarlierUntil is the time on the store's clock until which the leaders before this one may send commands. It is known once the
	// row has been stored, so that only a leader that resigns writes it; heartbeats have it before. It is 0 in rows of earlier
	// versions.
	EarlierUntil time.Duration `cbor:"5,keyasint,omitempty"`
	// BoundedFrom is the first of the latest terms in a row whose leaders bound leases by the confirmation of their leadership, and
	// observe the record of leases. It is 0 in rows of earlier versions.
	BoundedFrom int `cbor:"6,keyasint,omitempty"`
}

// Term is one uninterrupted period of leadership of this process.
type Term struct {
	// Number counts the terms of all nodes from 1, and Fence is the fencing token.
	Number int
	Fence  uint64
	// AcquiredAt is when leadership was acquired, in local monotonic time.
	AcquiredAt time.Duration
	// PreviousLeaderEnded means that the previous leader has resigned, or its process has ended.
	PreviousLeaderEnded bool
	// EarlierLeadersUntil is the time until which the leaders before the previous one may send commands, in local monotonic time.
	EarlierLeadersUntil time.Duration
	// PreviousLeaderSeenAt is a local monotonic time at which the leader row named the previous leader.
	PreviousLeaderSeenAt time.Duration
	// UnboundedLeadersUntil is the local monotonic time until which leaders of earlier versions may send commands, which do not bound
	// leases by the confirmation of their leadership.
	UnboundedLeadersUntil time.Duration
	// LeasesBoundedFrom is the first of the terms up to this one whose leaders all do, and observe the record of leases.
	LeasesBoundedFrom int
	// previous is the row of the previous leader, and previousVersion its version.
	previous        leaderRow
	previousVersion uint64
}

var (
	// keyLeader is the key of the leader row.
	keyLeader = store.Key{Table: tableLeader, Name: rowLeader}
	// keyLeaderCopy is the key of a copy of the leader row in the table of the nodes. Both are written in one transaction and
	// have the same version, so that each scan of the nodes returns the leader too.
	keyLeaderCopy = store.Key{Table: tableNodes, Name: rowLeader}
)

// decodeLeaderRow decodes and records the leader row.
func (m *Member) decodeLeaderRow(row store.Row, now time.Duration) {
	var decoded leaderRow
	if err := cbor.Unmarshal(row.Value, &decoded); err != nil {
		m.logger.Error("Leader row cannot be decoded.", "error", err)
		return
	}
	m.updateLeaderRow(decoded, row.Version, now)
}

// updateLeaderRow records the leader row, unless the same or a newer version is known already.
func (m *Member) updateLeaderRow(row leaderRow, version uint64, now time.Duration) {
	if version <= m.leaderVersion {
		return
	}
	m.logger.Info("Leader row has changed.", "holder", row.Leader, "tenure", row.Term, "fence", version, "released", row.Resigned)
	if row.Term != m.leaderRow.Term || m.leaderVersion == 0 {
		m.leaderTermSince = now
	}
	if row.BoundedFrom != m.leaderRow.BoundedFrom || m.leaderVersion == 0 {
		m.boundedSince = now
	}
	m.leaderRow, m.leaderVersion, m.leaderRowSince = row, version, now
}

// checkTerm reads the leader row, and confirms the term or ends it.
func (m *Member) checkTerm(ctx context.Context, term Term) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := clock.Now()
	rows, err := m.options.Store.Scan(limited, tableLeader, "", rowLeader, rowLeader+"\x00")
	switch {
	case err != nil:
		if ctx.Err() == nil {
			m.logger.Warn("Leadership cannot be confirmed.", "fence", term.Fence, "error", err)
		}
	case len(rows.Rows) == 1 && rows.Rows[0].Version == term.Fence:
		m.Confirm(term.Fence, sent)
	default:
		m.Depose(term.Fence, "the leader row has another version")
	}
}

// Confirm records that the term with the fencing token was still valid at a time, in local monotonic time.
func (m *Member) Confirm(fence uint64, at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != nil && m.term.Fence == fence {
		m.validUntil = max(m.validUntil, at+scheduler.LeadershipTimeout)
	}
}

// ConfirmedAt returns the local monotonic time at which the latest call was sent by which the store has confirmed the term with the
// fencing token, and false if the term has ended.
func (m *Member) ConfirmedAt(fence uint64) (at time.Duration, leading bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term == nil || m.term.Fence != fence {
		return 0, false
	}
	return m.validUntil - scheduler.LeadershipTimeout, true
}

// Depose ends the term with the fencing token because leadership is lost.
func (m *Member) Depose(fence uint64, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != nil && m.term.Fence == fence {
		m.logger.Warn("Leadership is lost.", "fence", fence, "reason", reason)
		m.term = nil
	}
}

// Term returns the current term of this process, and false if this process is not the leader as far as it knows.
func (m *Member) Term() (Term, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term == nil {
		return Term{}, false
	}
	return *m.term, true
}

// IsLeader reports whether the term with the fencing token was confirmed recently. Otherwise another process may have acquired
// leadership. The term continues when it is confirmed again.
func (m *Member) IsLeader(fence uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term != nil && m.term.Fence == fence && clock.Now() < m.validUntil
}

// LeadershipUnconfirmed reports whether this node is the leader and could not confirm this for a while, for instance because
// only the connection between this node and the store is broken.
func (m *Member) LeadershipUnconfirmed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term != nil && clock.Now() > m.validUntil-scheduler.LeadershipTimeout+unconfirmedAfter
}

// shouldAcquire reports whether there is no leader and it is the turn of this node to acquire leadership. Live nodes with more
// cores have precedence, by candidateDelay each.
func (m *Member) shouldAcquire() bool {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != nil || m.leaving || m.following {
		return false
	}
	if _, exists := m.liveLeader(now); exists {
		return false
	}
	rank := 0
	for _, n := range m.liveNodes(now) {
		if n.Name == m.options.Self.Name {
			break
		}
		if n.Name != m.leaderRow.Leader && now-max(m.nodes[n.Name].lastChange, m.scanningSince) < candidateTimeout {
			rank++
		}
	}
	return now-max(m.leaderLiveAt, m.scanningSince) >= time.Duration(rank)*candidateDelay
}

// acquire writes the leader row, unless it names another live node.
func (m *Member) acquire(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := m.options.Store.Scan(limited, tableLeader, "", rowLeader, rowLeader+"\x00")
	if err != nil {
		m.logger.Warn("Leadership cannot be read.", "error", err)
		return
	}
	var previous leaderRow
	var version uint64
	if len(rows.Rows) > 0 {
		version = rows.Rows[0].Version
		if err := cbor.Unmarshal(rows.Rows[0].Value, &previous); err != nil {
			m.logger.Error("Leader row cannot be decoded.", "error", err)
			return
		}
	}
	if m.recordLeaderRow(previous, version) {
		return
	}
	next := leaderRow{Leader: m.options.Self.Name, Incarnation: m.options.Self.Incarnation, Term: previous.Term + 1, BoundedFrom: previous.BoundedFrom}
	if next.BoundedFrom == 0 {
		next.BoundedFrom = next.Term
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		m.logger.Error("Leader row cannot be encoded.", "error", err)
		return
	}
	sent := clock.Now()
	result, err := m.options.Store.Commit(limited, store.Tx{
		Expected: []store.Expect{{Key: keyLeader, Version: version}},
		Puts:     []store.Put{{Key: keyLeader, Value: value}, {Key: keyLeaderCopy, Value: value}},
	})
	fence := result.Version
	if errors.Is(err, store.ErrUnknown) {
		fence, err = m.resolveAcquire(ctx, next)
	}
	if err != nil {
		m.logger.Info("Leadership was not acquired.", "before", previous.Leader, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	term := &Term{Number: next.Term, Fence: fence, AcquiredAt: now, previous: previous, previousVersion: version, LeasesBoundedFrom: next.BoundedFrom}
	if version == 0 {
		term.PreviousLeaderEnded, term.EarlierLeadersUntil = true, now
	} else {
		stored := previous.EarlierUntil
		if stored == 0 && version == m.earlierFence {
			stored = m.earlierUntil
		}
		term.PreviousLeaderEnded = previous.Resigned || m.processReplaced(previous, version)
		term.EarlierLeadersUntil = horizon.EarlierUntil(scheduler.LeadershipTimeout, m.leaderTermSince, m.fromStoreTime(stored, now))
		term.PreviousLeaderSeenAt = m.leaderTermSince
		term.UnboundedLeadersUntil = now + scheduler.LeadershipTimeout
		if previous.BoundedFrom != 0 {
			term.UnboundedLeadersUntil = m.boundedSince + scheduler.LeadershipTimeout
		}
	}
	m.term, m.validUntil = term, sent+scheduler.LeadershipTimeout
	m.logger.Info("Leadership is acquired.", "fence", fence, "tenure", next.Term, "before", previous.Leader, "released", previous.Resigned,
		"beforeEnded", term.PreviousLeaderEnded, "earlierLeadersFor", term.EarlierLeadersUntil-now)
}

// storeClockError is how much the estimate of the store's clock may be behind it: the timeout of a call, since a reply may have
// travelled that long.
const storeClockError = time.Second

// fromStoreTime converts a time on the store's clock into local monotonic time, never into an earlier one. It returns 0 for 0, and
// while the store's clock is not known.
func (m *Member) fromStoreTime(at, now time.Duration) time.Duration {
	storeNow, known := m.options.Clock.At(now)
	if at == 0 || !known {
		return 0
	}
	return now + at - storeNow
}

// toStoreTime converts a local monotonic time into one on the store's clock, never into an earlier one. It returns 0 while that is not
// known.
func (m *Member) toStoreTime(local time.Duration) time.Duration {
	at, known := m.options.Clock.At(local)
	if !known {
		return 0
	}
	return at + storeClockError
}

// recordLeaderRow records the leader row, which may be newer than the last scan, and reports whether a live node is the leader.
func (m *Member) recordLeaderRow(row leaderRow, version uint64) bool {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if version > 0 {
		m.updateLeaderRow(row, version, now)
	}
	_, live := m.liveLeader(now)
	return live
}

// processReplaced reports whether another process has replaced the one that wrote a version of the leader row, on the same instance.
func (m *Member) processReplaced(row leaderRow, version uint64) bool {
	if row.Leader == m.options.Self.Name {
		return row.Incarnation != m.options.Self.Incarnation
	}
	s, ok := m.nodes[row.Leader]
	return ok && s.replacedSince(row.Incarnation, version)
}

// PreviousLeaderEnded reports whether this process is the leader and the process of the previous leader has certainly ended.
func (m *Member) PreviousLeaderEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term != nil && m.processReplaced(m.term.previous, m.term.previousVersion)
}

const (
	// resignFactor is how many times as many cores another node must have for the leader to resign.
	resignFactor = 1.5
	// resignAfter is the time for which a leader does not resign, and for which the larger node has to be known. Each change
	// of the leader costs a fraction of a second.
	resignAfter = 3 * time.Second
)

// largerNodeLive reports whether a node with many more cores could be the leader, for instance after an outage in which only this
// node was live.
func (m *Member) largerNodeLive(term Term) bool {
	now := clock.Now()
	if now-term.AcquiredAt < resignAfter {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.nodes {
		if s.node.Cores > resignFactor*m.options.Self.Cores && !s.node.Leaving && m.isLive(s, now) && now-s.firstSeen > resignAfter {
			return true
		}
	}
	return false
}

// resign ends the term so that another node acquires leadership. This node ranks behind nodes with more cores for the next term.
func (m *Member) resign(ctx context.Context) {
	m.mu.Lock()
	term := m.term
	m.term = nil
	m.leaderLiveAt = clock.Now()
	m.mu.Unlock()
	if term == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.writeResignation(limited, *term)
	if err := m.writeHeartbeat(limited, m.options.Self.Name); err != nil && ctx.Err() == nil {
		m.logger.Warn("Heartbeat after the resignation was not stored.", "error", err)
	}
}

// resolveAcquire finds out whether a write of the leader row with an unknown outcome has taken effect, and returns its version.
func (m *Member) resolveAcquire(ctx context.Context, want leaderRow) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := m.options.Store.Scan(limited, tableLeader, "", rowLeader, rowLeader+"\x00")
	if err != nil {
		return 0, err
	}
	if len(rows.Rows) == 0 {
		return 0, store.ErrUnknown
	}
	var row leaderRow
	if err := cbor.Unmarshal(rows.Rows[0].Value, &row); err != nil {
		return 0, err
	}
	if row != want {
		return 0, store.ErrConflict
	}
	return rows.Rows[0].Version, nil
}

// earlierActiveUntil returns the local monotonic time until which the leaders before a term of this process may send commands. The
// caller holds the lock.
func (m *Member) earlierActiveUntil(term Term) time.Duration {
	leaders := horizon.Leaders{AcquiredAt: term.AcquiredAt, EarlierUntil: term.EarlierLeadersUntil}
	switch {
	case term.PreviousLeaderEnded:
		leaders.PreviousEndedAt = term.AcquiredAt
	case m.processReplaced(term.previous, term.previousVersion):
		leaders.PreviousEndedAt = clock.Now()
	}
	return leaders.ActiveUntil(scheduler.LeadershipTimeout)
}

// writeResignation marks the leader row as resigned, so that other nodes need not wait for the leader to time out.
func (m *Member) writeResignation(ctx context.Context, term Term) {
	m.mu.Lock()
	earlierUntil := m.toStoreTime(m.earlierActiveUntil(term))
	m.mu.Unlock()
	value, err := cbor.Marshal(leaderRow{
		Leader: m.options.Self.Name, Incarnation: m.options.Self.Incarnation, Term: term.Number, Resigned: true,
		EarlierUntil: earlierUntil, BoundedFrom: term.LeasesBoundedFrom,
	})
	if err != nil {
		m.logger.Error("Leader row cannot be encoded.", "error", err)
		return
	}
	_, err = m.options.Store.Commit(ctx, store.Tx{
		Expected: []store.Expect{{Key: keyLeader, Version: term.Fence}},
		Puts:     []store.Put{{Key: keyLeader, Value: value}, {Key: keyLeaderCopy, Value: value}},
	})
	if err != nil {
		m.logger.Warn("Leadership could not be resigned.", "error", err)
		return
	}
	m.logger.Info("Leadership is resigned.", "fence", term.Fence)
}
