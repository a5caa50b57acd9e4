package endpoint

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is a live entry instance.
type Member struct {
	ID         string
	DataCentre string
}

// remoteDivisor is the divisor that gives the fraction of an endpoint's slots for entry instances in other data
// centres. These occupy a slot also during the round trip, so a larger fraction costs capacity: 5 % at half of
// the slots, with a service time of 20 ms and a delay of 1.4 ms one way. A smaller fraction would leave no room
// for spillover.
const remoteDivisor = 4

// SplitQuota divides limit slots or connections of an endpoint among the members and returns the quotas in the
// order of members. The sum of the quotas is limit, or 0 without members. No member in another data centre gets
// more than a member in the data centre of the endpoint. All members compute the same split from the same list,
// in any order, and a further member never raises the quota of another. The IDs of members must be unique.
func SplitQuota(limit int, endpointID, dataCentre string, members []Member) []int {
	quotas := make([]int, len(members))
	for i := range members {
		quotas[i] = memberQuota(limit, endpointID, dataCentre, members, i)
	}
	return quotas
}

// memberQuota returns the quota of the member with the index self.
func memberQuota(limit int, endpointID, dataCentre string, members []Member, self int) int {
	// The first members of a group (local or remote) get the remainder of the division. Their order differs
	// between endpoints, so that the remainders do not all go to the same member.
	var local, remote, position int
	selfLocal := members[self].DataCentre == dataCentre
	selfRank := rank(endpointID, members[self].ID)
	for i, m := range members {
		isLocal := m.DataCentre == dataCentre
		if isLocal {
			local++
		} else {
			remote++
		}
		if i == self || isLocal != selfLocal {
			continue
		}
		if r := rank(endpointID, m.ID); r < selfRank || r == selfRank && m.ID < members[self].ID {
			position++
		}
	}
	forLocal, forRemote := splitLocalRemote(limit, local, remote)
	total, size := forRemote, remote
	if selfLocal {
		total, size = forLocal, local
	}
	quota := total / size
	if position < total%size {
		quota++
	}
	return quota
}

// splitLocalRemote divides limit between the groups of local and remote members. No remote member gets more
// than a local one.
func splitLocalRemote(limit, local, remote int) (forLocal, forRemote int) {
	if local == 0 {
		return 0, limit
	}
	forRemote = limit / remoteDivisor
	for forRemote > remote*((limit-forRemote)/local) {
		forRemote--
	}
	return limit - forRemote, forRemote
}

// rank returns a hash by which the members of an endpoint are ordered.
func rank(endpointID, memberID string) uint64 {
	var hashes [16]byte
	binary.LittleEndian.PutUint64(hashes[:], xxhash.Sum64String(endpointID))
	binary.LittleEndian.PutUint64(hashes[8:], xxhash.Sum64String(memberID))
	return xxhash.Sum64(hashes[:])
}

// Quotas computes the quotas of one entry instance while the membership changes. A quota shrinks as soon
// as a member joins, and grows only after the membership was unchanged for the stable time. The sum of the
// quotas in force at all entry instances therefore never exceeds the limit, provided that each instance
// learns of a change within the stable time.
type Quotas struct {
	self       string
	stableTime time.Duration
	// members is the current membership. countedMembers also holds the members that have left within the
	// stable time and may still use their quotas.
	members        []Member
	countedMembers []Member
	membersChanged time.Time
	initialised    bool
	// joined means that the others have had time to shrink their quotas for this entry instance.
	joined bool
}

// NewQuotas returns the quotas of the entry instance with the ID self. The stable time must be longer than the
// suspicion timeout of the membership.
func NewQuotas(self string, stable time.Duration) *Quotas {
	return &Quotas{self: self, stableTime: stable}
}

// Update sets the live members, including the entry instance itself.
func (q *Quotas) Update(now time.Time, members []Member) {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	sorted = slices.Compact(sorted)
	q.applyStableMembership(now)
	if q.initialised && slices.Equal(sorted, q.members) {
		return
	}
	q.initialised = true
	q.membersChanged = now
	q.members = sorted
	for _, m := range sorted {
		if !slices.Contains(q.countedMembers, m) {
			q.countedMembers = append(q.countedMembers, m)
		}
	}
}

// applyStableMembership no longer counts members that have left, once the membership was unchanged for the
// stable time.
func (q *Quotas) applyStableMembership(now time.Time) {
	if !q.Stable(now) {
		return
	}
	q.joined = true
	if len(q.countedMembers) != len(q.members) {
		q.countedMembers = slices.Clone(q.members)
	}
}

// Stable reports whether the membership was unchanged for the stable time.
func (q *Quotas) Stable(now time.Time) bool {
	return q.initialised && now.Sub(q.membersChanged) >= q.stableTime
}

// Quota returns how many of limit slots or connections of the endpoint this entry instance may use now.
// It is 0 until the first membership was unchanged for the stable time.
func (q *Quotas) Quota(now time.Time, limit int, endpointID, dataCentre string) int {
	q.applyStableMembership(now)
	if !q.joined {
		return 0
	}
	self := slices.IndexFunc(q.countedMembers, func(m Member) bool { return m.ID == q.self })
	if self < 0 {
		return 0
	}
	return memberQuota(limit, endpointID, dataCentre, q.countedMembers, self)
}
