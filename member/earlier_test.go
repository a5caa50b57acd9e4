package member

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/jobs/horizon"
	"github.com/chivetiller/chivetiller/scheduler"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
)

// newCandidate returns a member that has read the nodes and sends no heartbeats by itself.
func newCandidate(t *testing.T, s store.Store, name string) *Member {
	m := New(Options{Store: s, Clock: &store.Clock{}, Self: Node{Name: name, Incarnation: "1"}})
	qt.Assert(t, m.writeHeartbeat(t.Context(), name), qt.IsNil)
	qt.Assert(t, m.scanNodes(t.Context()), qt.IsNil)
	return m
}

// acquireFrom makes a member acquire leadership while it takes the leader for dead.
func acquireFrom(t *testing.T, m *Member) Term {
	qt.Assert(t, m.scanNodes(t.Context()), qt.IsNil)
	m.mu.Lock()
	m.scanningSince, m.leaderRowSince = 0, 0
	if s, ok := m.nodes[m.leaderRow.Leader]; ok {
		s.lastChange = 0
	}
	m.mu.Unlock()
	m.acquire(t.Context())
	term, leading := m.Term()
	qt.Assert(t, leading, qt.IsTrue)
	return term
}

// activeUntil returns the time until which the scheduler of a term takes earlier leaders to act.
func activeUntil(term Term) time.Duration {
	leaders := horizon.Leaders{AcquiredAt: term.AcquiredAt, EarlierUntil: term.EarlierLeadersUntil}
	if term.PreviousLeaderEnded {
		leaders.PreviousEndedAt = term.AcquiredAt
	}
	return leaders.ActiveUntil(scheduler.LeadershipTimeout)
}

// TestTwoTermsBack guards against a leader that is cut off and goes on renewing leases while a later one takes it to have ended,
// because the leader between the two has.
func TestTwoTermsBack(t *testing.T) {
	tests := map[string]struct {
		// end ends the second leader.
		end func(t *testing.T, second *Member)
		// before means that the third leader starts before the second one ends, so that it sees its row early.
		before bool
	}{
		"resigned":                {func(t *testing.T, second *Member) { second.resign(t.Context()) }, true},
		"resigned, third started": {func(t *testing.T, second *Member) { second.resign(t.Context()) }, false},
		"replaced": {func(t *testing.T, second *Member) {
			second.options.Self.Incarnation = "2"
			qt.Assert(t, second.writeHeartbeat(t.Context(), "b"), qt.IsNil)
		}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := memory.New()
			first, second := newCandidate(t, s, "a"), newCandidate(t, s, "b")
			term := acquireFrom(t, first)
			var third *Member
			if test.before {
				third = newCandidate(t, s, "c")
			}
			first.Confirm(term.Fence, clock.Now())
			acquireFrom(t, second)
			if test.before {
				qt.Assert(t, third.scanNodes(t.Context()), qt.IsNil)
			}
			time.Sleep(200 * time.Millisecond)
			test.end(t, second)
			if !test.before {
				third = newCandidate(t, s, "c")
			}
			term = acquireFrom(t, third)
			qt.Assert(t, term.PreviousLeaderEnded, qt.IsTrue)
			qt.Assert(t, activeUntil(term) >= first.validUntil, qt.IsTrue, qt.Commentf("%s too early", first.validUntil-activeUntil(term)))
			// It waits no longer than the first leader can act, but for the error of the store's clock.
			qt.Assert(t, activeUntil(term)-first.validUntil <= storeClockError+100*time.Millisecond, qt.IsTrue)
		})
	}
}

// TestRollingRestart guards against a leader that waits for earlier ones although each has resigned.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	s := memory.New()
	var previous *Member
	for _, name := range []string{"a", "b", "c", "d"} {
		m := newCandidate(t, s, name)
		if previous != nil {
			time.Sleep(storeClockError)
			previous.resign(t.Context())
		}
		term := acquireFrom(t, m)
		qt.Assert(t, activeUntil(term), qt.Equals, term.AcquiredAt, qt.Commentf("node %s", name))
		previous = m
	}
}

// TestLeaderRowVersions guards against a leader row that the version before or after cannot read, and against one without the time of
// the earlier leaders that is read as "none".
func TestLeaderRowVersions(t *testing.T) {
	t.Parallel()
	type earlierRow struct {
		Leader      string `cbor:"1,keyasint"`
		Incarnation string `cbor:"2,keyasint"`
		Term        int    `cbor:"3,keyasint"`
		Resigned    bool   `cbor:"4,keyasint,omitempty"`
	}
	value, err := cbor.Marshal(leaderRow{Leader: "a", Incarnation: "1", Term: 2, Resigned: true, EarlierUntil: time.Minute})
	qt.Assert(t, err, qt.IsNil)
	var earlier earlierRow
	qt.Assert(t, cbor.Unmarshal(value, &earlier), qt.IsNil)
	qt.Assert(t, earlier, qt.Equals, earlierRow{Leader: "a", Incarnation: "1", Term: 2, Resigned: true})

	s := memory.New()
	value, err = cbor.Marshal(earlier)
	qt.Assert(t, err, qt.IsNil)
	_, err = s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: keyLeader, Value: value}, {Key: keyLeaderCopy, Value: value}}})
	qt.Assert(t, err, qt.IsNil)
	before := clock.Now()
	term := acquireFrom(t, newCandidate(t, s, "b"))
	qt.Assert(t, term.PreviousLeaderEnded, qt.IsTrue)
	qt.Assert(t, activeUntil(term) >= before+scheduler.LeadershipTimeout, qt.IsTrue)
}

// TestRestartedNode guards against a node that restarts and takes over from its own process before, and waits 3 s longer than others
// although the heartbeats of that process tell that all earlier leaders have ended.
func TestRestartedNode(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		heartbeat bool
		// wait is how long the new leader takes earlier ones to act.
		wait time.Duration
	}{
		"heartbeat of the leader is known": {true, 0},
		"no heartbeat":                     {false, scheduler.LeadershipTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := memory.New()
			first, second := newCandidate(t, s, "a"), newCandidate(t, s, "b")
			acquireFrom(t, first)
			first.resign(t.Context())
			acquireFrom(t, second)
			if test.heartbeat {
				qt.Assert(t, second.writeHeartbeat(t.Context(), "b"), qt.IsNil)
			}
			// The error counts for each of the two terms.
			time.Sleep(2 * storeClockError)
			restarted := New(Options{Store: s, Clock: &store.Clock{}, Self: Node{Name: "b", Incarnation: "2"}})
			qt.Assert(t, restarted.scanNodes(t.Context()), qt.IsNil)
			term := acquireFrom(t, restarted)
			qt.Assert(t, term.PreviousLeaderEnded, qt.IsTrue)
			wait := activeUntil(term) - term.AcquiredAt
			qt.Assert(t, wait <= test.wait && wait > test.wait-200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", wait))
		})
	}
}

// TestLeadersOfEarlierVersions guards against a lease of a leader of an earlier version that is taken as expired too early during an
// upgrade, because the leaders before this one bound leases by the confirmation of their leadership and it does not.
func TestLeadersOfEarlierVersions(t *testing.T) {
	t.Parallel()
	const seenBefore = 2 * time.Second
	tests := map[string]struct {
		// rows are the rows of the leaders before, by their BoundedFrom.
		rows []int
		// until is the time after the start of the term until which leaders of earlier versions may send commands.
		until time.Duration
	}{
		"no leader before":           {nil, 0},
		"earlier version":            {[]int{0}, scheduler.LeadershipTimeout},
		"this version for long":      {[]int{1, 1}, scheduler.LeadershipTimeout - seenBefore},
		"earlier version for long":   {[]int{0, 0}, scheduler.LeadershipTimeout},
		"upgraded":                   {[]int{0, 2}, scheduler.LeadershipTimeout},
		"downgraded":                 {[]int{1, 0}, scheduler.LeadershipTimeout},
		"upgraded again, row missed": {[]int{1, 3}, scheduler.LeadershipTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := memory.New()
			m := newCandidate(t, s, "m")
			for i, from := range test.rows {
				if i > 0 {
					time.Sleep(seenBefore)
				}
				value, err := cbor.Marshal(leaderRow{Leader: "a", Incarnation: "1", Term: 2*i + 1, BoundedFrom: from})
				qt.Assert(t, err, qt.IsNil)
				_, err = s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: keyLeader, Value: value}, {Key: keyLeaderCopy, Value: value}}})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, m.scanNodes(t.Context()), qt.IsNil)
			}
			term := acquireFrom(t, m)
			until := term.UnboundedLeadersUntil
			if until != 0 {
				until -= term.AcquiredAt
			}
			qt.Assert(t, until <= test.until && until > test.until-200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", until))
			// The next leader learns of the same leaders, also from a resignation.
			for range 2 {
				qt.Assert(t, m.scanNodes(t.Context()), qt.IsNil)
				want := term.Number
				if n := len(test.rows); n > 0 && test.rows[n-1] != 0 {
					want = test.rows[n-1]
				}
				qt.Assert(t, m.leaderRow.BoundedFrom, qt.Equals, want)
				m.resign(t.Context())
			}
		})
	}
}

// TestConfirmedAt guards against a confirmation that counts from the answer of the store and not from the call, and against one of a term
// that has ended.
func TestConfirmedAt(t *testing.T) {
	t.Parallel()
	s := memory.New()
	m := newCandidate(t, s, "a")
	term := acquireFrom(t, m)
	at, leading := m.ConfirmedAt(term.Fence)
	qt.Assert(t, leading && at <= term.AcquiredAt, qt.IsTrue)
	sent := clock.Now()
	time.Sleep(time.Millisecond)
	m.Confirm(term.Fence, sent)
	at, leading = m.ConfirmedAt(term.Fence)
	qt.Assert(t, leading && at == sent, qt.IsTrue)
	m.Depose(term.Fence, "test")
	_, leading = m.ConfirmedAt(term.Fence)
	qt.Assert(t, leading, qt.IsFalse)
}
