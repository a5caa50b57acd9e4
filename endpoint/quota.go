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

// remotePart is the part of an endpoint's slots, as a divisor, that entry instances in other data centres
// get. They hold a slot also during the round trip, so more of it costs capacity (5 % at half of the
// slots, 20 ms of service and 1.4 ms one way). Less would leave no room for overflow.
const remotePart = 4

// SplitQuota divides limit slots or connections of an endpoint over the members and returns the parts in the
// order of members. The sum of the parts is limit, or 0 without members. Members in the data centre of
// the endpoint come first. All members compute the same split from the same list, in any order, and a
// further member never raises the part of another. Members have different IDs.
func SplitQuota(limit int, endpointID, dataCentre string, members []Member) []int {
	parts := make([]int, len(members))
	for i := range members {
		parts[i] = part(limit, endpointID, dataCentre, members, i)
	}
	return parts
}

// part returns the part of the member at self.
func part(limit int, endpointID, dataCentre string, members []Member, self int) int {
	// Members take turns within their group, in an order that differs between endpoints.
	var local, remote, turn int
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
			turn++
		}
	}
	forLocal, forRemote := apportion(limit, local, remote)
	total, size := forRemote, remote
	if selfLocal {
		total, size = forLocal, local
	}
	mine := total / size
	if turn < total%size {
		mine++
	}
	return mine
}

// apportion divides limit between local and remote members. No remote member gets more than a local one.
func apportion(limit, local, remote int) (forLocal, forRemote int) {
	if local == 0 {
		return 0, limit
	}
	forRemote = limit / remotePart
	for forRemote > remote*((limit-forRemote)/local) {
		forRemote--
	}
	return limit - forRemote, forRemote
}

// rank orders the members of an endpoint.
func rank(endpointID, memberID string) uint64 {
	var hashes [16]byte
	binary.LittleEndian.PutUint64(hashes[:], xxhash.Sum64String(endpointID))
	binary.LittleEndian.PutUint64(hashes[8:], xxhash.Sum64String(memberID))
	return xxhash.Sum64(hashes[:])
}

// Quotas computes the parts of one entry instance while the membership changes. A part shrinks as soon
// as a member appears, and grows only after the membership was unchanged for the stable time. The
// parts that are in force at all entry instances at a time therefore never exceed the limit, if each
// learns of a change within the stable time.
type Quotas struct {
	self   string
	stable time.Duration
	// members is the present membership; counted holds also those that left too recently.
	members []Member
	counted []Member
	changed time.Time
	started bool
	// joined means that the others have had time to shrink their parts for this entry instance.
	joined bool
}

// NewQuotas returns the quotas of the entry instance self. The stable time is longer than the suspicion timeout.
func NewQuotas(self string, stable time.Duration) *Quotas {
	return &Quotas{self: self, stable: stable}
}

// Update sets the live members, including the entry instance itself.
func (q *Quotas) Update(now time.Time, members []Member) {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	sorted = slices.Compact(sorted)
	q.settle(now)
	if q.started && slices.Equal(sorted, q.members) {
		return
	}
	q.started = true
	q.changed = now
	q.members = sorted
	for _, m := range sorted {
		if !slices.Contains(q.counted, m) {
			q.counted = append(q.counted, m)
		}
	}
}

// settle forgets former members once the membership was unchanged for the stable time.
func (q *Quotas) settle(now time.Time) {
	if !q.Stable(now) {
		return
	}
	q.joined = true
	if len(q.counted) != len(q.members) {
		q.counted = slices.Clone(q.members)
	}
}

// Stable reports whether the membership was unchanged for the stable time.
func (q *Quotas) Stable(now time.Time) bool {
	return q.started && now.Sub(q.changed) >= q.stable
}

// Quota returns how many of limit slots or connections of the endpoint this entry instance may use now.
// It is 0 until the first membership was unchanged for the stable time.
func (q *Quotas) Quota(now time.Time, limit int, endpointID, dataCentre string) int {
	q.settle(now)
	if !q.joined {
		return 0
	}
	self := slices.IndexFunc(q.counted, func(m Member) bool { return m.ID == q.self })
	if self < 0 {
		return 0
	}
	return part(limit, endpointID, dataCentre, q.counted, self)
}
