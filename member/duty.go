package member

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/scheduler"
	"github.com/chivetiller/chivetiller/store"
)

// holderRow is the row of the duty. Its version is the fencing token.
type holderRow struct {
	Holder      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Tenure      int    `cbor:"3,keyasint"`
	// Released means that the holder gave the duty back and sends no more orders.
	Released bool `cbor:"4,keyasint,omitempty"`
}

// Term is a term of the duty.
type Term struct {
	Number int
	Fence  uint64
	// AcquiredAt is when the duty was taken, on the own clock.
	AcquiredAt time.Duration
	// PreviousLeaderGone means that the holder before gave the duty back or has ended.
	PreviousLeaderGone bool
	// before is the holder before.
	before holderRow
}

var (
	// keyHolder is the row of the duty.
	keyHolder = store.Key{Table: tableDuty, Name: rowHolder}
	// keyAnnounced is its copy among the nodes. Both are written in one transaction and have the same version, so that each look
	// at the nodes shows the holder.
	keyAnnounced = store.Key{Table: tableNodes, Name: rowHolder}
)

// noteDuty takes the row of the duty.
func (m *Member) noteDuty(row store.Row, now time.Duration) {
	var duty holderRow
	if err := cbor.Unmarshal(row.Value, &duty); err != nil {
		m.logger.Error("Row of the duty cannot be read.", "error", err)
		return
	}
	m.seeDuty(duty, row.Version, now)
}

// seeDuty notes the row of the duty. A version that is known already changes nothing.
func (m *Member) seeDuty(duty holderRow, version uint64, now time.Duration) {
	if version <= m.dutyVersion {
		return
	}
	m.logger.Info("Row of the duty has changed.", "holder", duty.Holder, "tenure", duty.Tenure, "fence", version, "released", duty.Released)
	m.duty, m.dutyVersion, m.dutySeen = duty, version, now
}

// check reads whether the duty is still held.
func (m *Member) check(ctx context.Context, held Term) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := clock.Now()
	rows, err := m.o.Store.Scan(limited, tableDuty, "", rowHolder, rowHolder+"\x00")
	switch {
	case err != nil:
		if ctx.Err() == nil {
			m.logger.Warn("Duty cannot be confirmed.", "fence", held.Fence, "error", err)
		}
	case len(rows.Rows) == 1 && rows.Rows[0].Version == held.Fence:
		m.Confirm(held.Fence, sent)
	default:
		m.Depose(held.Fence, "the row of the duty has another version")
	}
}

// Confirm notes that the duty was still held at an own time.
func (m *Member) Confirm(fence uint64, at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tenure != nil && m.tenure.Fence == fence {
		m.valid = max(m.valid, at+scheduler.LeadershipTimeout)
	}
}

// Depose notes that the duty is no longer held.
func (m *Member) Depose(fence uint64, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tenure != nil && m.tenure.Fence == fence {
		m.logger.Warn("Duty is lost.", "fence", fence, "reason", reason)
		m.tenure = nil
	}
}

// Term returns the term of the duty that this process holds, as far as it knows.
func (m *Member) Term() (Term, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tenure == nil {
		return Term{}, false
	}
	return *m.tenure, true
}

// IsLeader reports whether the term was confirmed recently. Without that another process may have taken the duty. A term
// that is confirmed again goes on.
func (m *Member) IsLeader(fence uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tenure != nil && m.tenure.Fence == fence && clock.Now() < m.valid
}

// LeadershipUnconfirmed reports whether this node holds the duty and has not been able to confirm it for a while, such as a node that
// only the store turns away.
func (m *Member) LeadershipUnconfirmed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tenure != nil && clock.Now() > m.valid-scheduler.LeadershipTimeout+unconfirmedAfter
}

// shouldTake reports whether this node is the next to take the duty.
func (m *Member) shouldTake() bool {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tenure != nil || m.leaving {
		return false
	}
	if _, held := m.holder(now); held {
		return false
	}
	rank := 0
	for _, n := range m.liveNodes(now) {
		if n.Name == m.o.Self.Name {
			break
		}
		if n.Name != m.duty.Holder && now-max(m.seen[n.Name].changed, m.steady) < candidateAfter {
			rank++
		}
	}
	return now-max(m.held, m.steady) >= time.Duration(rank)*rankDelay
}

// take writes the row of the duty.
func (m *Member) take(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := m.o.Store.Scan(limited, tableDuty, "", rowHolder, rowHolder+"\x00")
	if err != nil {
		m.logger.Warn("Duty cannot be read.", "error", err)
		return
	}
	var before holderRow
	var version uint64
	if len(rows.Rows) > 0 {
		version = rows.Rows[0].Version
		if err := cbor.Unmarshal(rows.Rows[0].Value, &before); err != nil {
			m.logger.Error("Row of the duty cannot be read.", "error", err)
			return
		}
	}
	if m.takenBy(before, version) {
		return
	}
	next := holderRow{Holder: m.o.Self.Name, Incarnation: m.o.Self.Incarnation, Tenure: before.Tenure + 1}
	value, err := cbor.Marshal(next)
	if err != nil {
		m.logger.Error("Row of the duty cannot be encoded.", "error", err)
		return
	}
	sent := clock.Now()
	result, err := m.o.Store.Commit(limited, store.Tx{
		Expected: []store.Expect{{Key: keyHolder, Version: version}},
		Puts:     []store.Put{{Key: keyHolder, Value: value}, {Key: keyAnnounced, Value: value}},
	})
	fence := result.Version
	if errors.Is(err, store.ErrUnknown) {
		fence, err = m.confirmTake(ctx, next)
	}
	if err != nil {
		m.logger.Info("Duty was not taken.", "before", before.Holder, "error", err)
		return
	}
	m.logger.Info("Duty is taken.", "fence", fence, "tenure", next.Tenure, "before", before.Holder, "released", before.Released)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tenure = &Term{Number: next.Tenure, Fence: fence, AcquiredAt: clock.Now(), PreviousLeaderGone: before.Released || m.ended(before), before: before}
	m.valid = sent + scheduler.LeadershipTimeout
}

// takenBy reports whether the row of the duty, which may be newer than the last look, names a live node.
func (m *Member) takenBy(row holderRow, version uint64) bool {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if version > 0 {
		m.seeDuty(row, version, now)
	}
	_, held := m.holder(now)
	return held
}

// ended reports whether the process of a holder has been replaced by another one on its instance.
func (m *Member) ended(row holderRow) bool {
	s, ok := m.seen[row.Holder]
	return ok && s.node.Incarnation != row.Incarnation
}

// PreviousLeaderEnded reports whether the holder before the present one has surely ended.
func (m *Member) PreviousLeaderEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tenure != nil && m.ended(m.tenure.before)
}

const (
	// weakFactor is how many times stronger another node has to be for the duty to be given back.
	weakFactor = 1.5
	// weakAfter is how long a node keeps the duty before that, since each change costs a fraction of a second.
	weakAfter = 3 * time.Second
)

// weak reports whether a much stronger node could hold the duty, such as after an outage in which only this one was live.
func (m *Member) weak(held Term) bool {
	now := clock.Now()
	if now-held.AcquiredAt < weakAfter {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.seen {
		if s.node.Cores > weakFactor*m.o.Self.Cores && !s.node.Leaving && m.live(s, now) && now-s.since > weakAfter {
			return true
		}
	}
	return false
}

// giveBack gives the duty back, so that another node takes it. This node waits for one that is stronger.
func (m *Member) giveBack(ctx context.Context) {
	m.mu.Lock()
	held := m.tenure
	m.tenure = nil
	m.held = clock.Now()
	m.mu.Unlock()
	if held == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.release(limited, *held)
	if err := m.beat(limited, m.o.Self.Name); err != nil && ctx.Err() == nil {
		m.logger.Warn("Return of the duty was not announced.", "error", err)
	}
}

// confirmTake finds out whether a write without an answer has made this process the holder.
func (m *Member) confirmTake(ctx context.Context, want holderRow) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := m.o.Store.Scan(limited, tableDuty, "", rowHolder, rowHolder+"\x00")
	if err != nil {
		return 0, err
	}
	if len(rows.Rows) == 0 {
		return 0, store.ErrUnknown
	}
	var row holderRow
	if err := cbor.Unmarshal(rows.Rows[0].Value, &row); err != nil {
		return 0, err
	}
	if row != want {
		return 0, store.ErrConflict
	}
	return rows.Rows[0].Version, nil
}

func (m *Member) release(ctx context.Context, held Term) {
	value, err := cbor.Marshal(holderRow{Holder: m.o.Self.Name, Incarnation: m.o.Self.Incarnation, Tenure: held.Number, Released: true})
	if err != nil {
		m.logger.Error("Row of the duty cannot be encoded.", "error", err)
		return
	}
	_, err = m.o.Store.Commit(ctx, store.Tx{
		Expected: []store.Expect{{Key: keyHolder, Version: held.Fence}},
		Puts:     []store.Put{{Key: keyHolder, Value: value}, {Key: keyAnnounced, Value: value}},
	})
	if err != nil {
		m.logger.Warn("Duty was not given back.", "error", err)
		return
	}
	m.logger.Info("Duty is given back.", "fence", held.Fence)
}
