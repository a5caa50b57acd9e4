package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is a live entry instance.
type Member struct {
	ID         string
	DataCentre string
}

// localWeight is the weight of an entry instance in the data centre of the endpoint; others have weight
// 1. With a weight below 2 every entry instance gets a slot before a local one gets its second.
const localWeight = 1.9

// Split divides limit slots or connections of an endpoint over the members and returns the parts in the
// order of members. The sum of the parts is limit, or 0 without members. Members in the data centre of
// the endpoint come first. All members compute the same split from the same list, in any order, and a
// further member never raises the part of another.
func Split(limit int, endpointID, dataCentre string, members []Member) []int {
	parts := make([]int, len(members))
	if len(members) == 0 {
		return parts
	}
	weight := func(m Member) float64 {
		if m.DataCentre == dataCentre {
			return localWeight
		}
		return 1
	}
	order := make([]int, len(members))
	ranks := make([]uint64, len(members))
	for i, m := range members {
		order[i] = i
		ranks[i] = xxhash.Sum64String(endpointID + "\x00" + m.ID)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(weight(members[b]), weight(members[a])),
			cmp.Compare(ranks[a], ranks[b]),
			cmp.Compare(members[a].ID, members[b].ID))
	})
	// The method of D'Hondt: the next slot goes to the member with the highest weight per slot.
	for range limit {
		best, bestQuotient := 0, 0.0
		for _, i := range order {
			if quotient := weight(members[i]) / float64(parts[i]+1); quotient > bestQuotient {
				best, bestQuotient = i, quotient
			}
		}
		parts[best]++
	}
	return parts
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

// Part returns how many of limit slots or connections of the endpoint this entry instance may use now.
// It is 0 until the first membership was unchanged for the stable time.
func (q *Quotas) Part(now time.Time, limit int, endpointID, dataCentre string) int {
	q.settle(now)
	if !q.joined {
		return 0
	}
	self := slices.IndexFunc(q.counted, func(m Member) bool { return m.ID == q.self })
	if self < 0 {
		return 0
	}
	return Split(limit, endpointID, dataCentre, q.counted)[self]
}
