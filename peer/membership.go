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
	// Leaving members have announced that they will stop. They still answer requests until they are dead.
	Leaving State = "leaving"
)

// Member describes another entry instance as this one knows it.
type Member struct {
	ID          string
	Incarnation uint64
	DataCentre  string
	// Address is the address at which the member accepts peers.
	Address string
	State   State
	// Version is the configuration version that the member last reported.
	Version uint64
	// SinceLastContact is the time since the last heartbeat.
	SinceLastContact time.Duration
	// Loads is the load that the member last reported for each pool.
	Loads map[string]Load
}

// Times of the failure detector since the last contact, in heartbeat intervals.
const (
	suspectAfterIntervals = 3 // tolerates two lost heartbeats in a row
	deadAfterIntervals    = 8
	// removeAfterIntervals is the time after which a dead member is removed. Until then the status shows it,
	// and an older incarnation of it is refused.
	removeAfterIntervals = 600
)

type member struct {
	Member
	lastContact time.Time
	leaving     bool
}

// membership holds the other entry instances and detects which have failed. It is not safe for concurrent use.
type membership struct {
	interval time.Duration
	members  map[string]*member
	// lastChange is when a member was last added, replaced by a new incarnation or changed its state.
	lastChange time.Time
}

func newMembership(interval time.Duration, now time.Time) *membership {
	return &membership{interval: interval, members: make(map[string]*member), lastChange: now}
}

// join adds a member, or a new incarnation of one. It returns false if a later incarnation is known.
func (m *membership) join(now time.Time, h hello) bool {
	old := m.members[h.ID]
	switch {
	case old == nil, old.Incarnation < h.Incarnation:
		m.lastChange = now
	case old.Incarnation > h.Incarnation:
		return false
	default:
		m.recordContact(now, h.ID, h.Incarnation)
		return true
	}
	m.members[h.ID] = &member{
		Member:      Member{ID: h.ID, Incarnation: h.Incarnation, DataCentre: h.DataCentre, Address: h.Address, State: Alive, Loads: make(map[string]Load)},
		lastContact: now,
	}
	return true
}

// recordContact records that a message was received from a member. It returns nil if the incarnation is not the known one.
func (m *membership) recordContact(now time.Time, id string, incarnation uint64) *member {
	known := m.members[id]
	if known == nil || known.Incarnation != incarnation {
		return nil
	}
	known.lastContact = now
	m.refreshState(now, known)
	return known
}

// markLeaving marks a member that has announced its stop.
func (m *membership) markLeaving(now time.Time, id string, incarnation uint64) {
	if known := m.members[id]; known != nil && known.Incarnation == incarnation {
		known.leaving = true
		m.refreshState(now, known)
	}
}

// refreshStates updates the states of all members and removes those that have been silent for too long.
func (m *membership) refreshStates(now time.Time) {
	for id, known := range m.members {
		m.refreshState(now, known)
		if now.Sub(known.lastContact) > removeAfterIntervals*m.interval {
			delete(m.members, id)
		}
	}
}

// refreshState derives the state of a member from the time since its last contact.
func (m *membership) refreshState(now time.Time, known *member) {
	state := Alive
	switch silent := now.Sub(known.lastContact); {
	case silent > deadAfterIntervals*m.interval:
		state = Dead
	case known.leaving:
		state = Leaving
	case silent > suspectAfterIntervals*m.interval:
		state = Suspect
	}
	if state != known.State {
		known.State = state
		m.lastChange = now
	}
}

// list returns copies of all members, sorted by ID.
func (m *membership) list(now time.Time) []Member {
	m.refreshStates(now)
	members := make([]Member, 0, len(m.members))
	for _, known := range m.members {
		copied := known.Member
		copied.SinceLastContact = now.Sub(known.lastContact)
		copied.Loads = maps.Clone(known.Loads)
		members = append(members, copied)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}
