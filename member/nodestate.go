package member

import (
	"slices"
	"time"
)

// nodeState is the last known state of a node.
type nodeState struct {
	node    Node
	version uint64
	// lastChange is when a scan last found a new version of the row, and firstSeen when one first found the incarnation.
	lastChange time.Duration
	firstSeen  time.Duration
	// incarnations holds the incarnations in the order in which they were first read, and newestVersion is the version of the first
	// row of the last one. A heartbeat that the store carried out late may be of a process before.
	incarnations  []string
	newestVersion uint64
}

// addIncarnation records the incarnation in a row.
func (s *nodeState) addIncarnation(incarnation string, version uint64) {
	if !slices.Contains(s.incarnations, incarnation) {
		s.incarnations, s.newestVersion = append(s.incarnations, incarnation), version
	}
}

// replacedSince reports whether a new process has replaced the one with an incarnation after a version of the store.
func (s *nodeState) replacedSince(incarnation string, version uint64) bool {
	return s.newestVersion > version && s.incarnations[len(s.incarnations)-1] != incarnation
}
