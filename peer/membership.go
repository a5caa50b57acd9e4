package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is the state of a member.
type State string

// States of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
	// Leaving members have announced that they stop. They answer until they are dead.
	Leaving State = "leaving"
)

// Member is another entry instance.
type Member struct {
	ID          string
	Incarnation uint64
	DataCentre  string
	// Address is where the member accepts peers.
	Address string
	State   State
	// Version is the configuration version that the member reported last.
	Version uint64
	// SinceLastContact is the time since the last heartbeat.
	SinceLastContact time.Duration
	// Loads is the load of each pool that the member reported last.
	Loads map[string]Load
}

// Times of the failure detector, in units of the heartbeat interval.
const (
	suspectAfter = 3 // two lost heartbeats in a row are no failure
	deadAfter    = 8
	// forgetAfter keeps a dead member for status and for the check of its incarnation.
	forgetAfter = 600
)

type member struct {
	Member
	heard   time.Time
	leaving bool
}

// membership holds what is known of the other entry instances. It is not safe for concurrent use.
type membership struct {
	interval time.Duration
	members  map[string]*member
	// changed is when a member was last added, removed or changed its state.
	changed time.Time
}

func newMembership(interval time.Duration, now time.Time) *membership {
	return &membership{interval: interval, members: make(map[string]*member), changed: now}
}

// join adds a member, or a new incarnation of one. It returns false if a later incarnation is known.
func (m *membership) join(now time.Time, h hello) bool {
	old := m.members[h.ID]
	switch {
	case old == nil, old.Incarnation < h.Incarnation:
		m.changed = now
	case old.Incarnation > h.Incarnation:
		return false
	default:
		m.hear(now, h.ID, h.Incarnation)
		return true
	}
	m.members[h.ID] = &member{
		Member: Member{ID: h.ID, Incarnation: h.Incarnation, DataCentre: h.DataCentre, Address: h.Address, State: Alive, Loads: make(map[string]Load)},
		heard:  now,
	}
	return true
}

// hear records a sign of life. It returns nil if the incarnation is not the one that is known.
func (m *membership) hear(now time.Time, id string, incarnation uint64) *member {
	known := m.members[id]
	if known == nil || known.Incarnation != incarnation {
		return nil
	}
	known.heard = now
	m.refresh(now, known)
	return known
}

// leave marks a member that announced its stop.
func (m *membership) leave(now time.Time, id string, incarnation uint64) {
	if known := m.members[id]; known != nil && known.Incarnation == incarnation {
		known.leaving = true
		m.refresh(now, known)
	}
}

// tick brings the states up to now.
func (m *membership) tick(now time.Time) {
	for id, known := range m.members {
		m.refresh(now, known)
		if now.Sub(known.heard) > forgetAfter*m.interval {
			delete(m.members, id)
		}
	}
}

func (m *membership) refresh(now time.Time, known *member) {
	state := Alive
	switch silent := now.Sub(known.heard); {
	case silent > deadAfter*m.interval:
		state = Dead
	case known.leaving:
		state = Leaving
	case silent > suspectAfter*m.interval:
		state = Suspect
	}
	if state != known.State {
		known.State = state
		m.changed = now
	}
}

// list returns copies of all members by ID.
func (m *membership) list(now time.Time) []Member {
	m.tick(now)
	members := make([]Member, 0, len(m.members))
	for _, known := range m.members {
		copied := known.Member
		copied.SinceLastContact = now.Sub(known.heard)
		copied.Loads = maps.Clone(known.Loads)
		members = append(members, copied)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}
