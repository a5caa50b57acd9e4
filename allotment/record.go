package allotment

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/provider"
)

const rowPrefix = "allotment/"

func rowKey(team string) string { return rowPrefix + url.PathEscape(team) }

// record is the value of the row of a team.
type record struct {
	// Limit is the upper limit of the team as of Version, the version of the configuration.
	Limit   int    `json:"limit"`
	Version uint64 `json:"version"`
	// Jobs is the number of running jobs. They count against the limit.
	Jobs    int             `json:"jobs,omitempty"`
	Holders map[string]part `json:"holders,omitempty"`
}

// part is the share of one entry instance.
type part struct {
	Amount int `json:"amount"`
	// Count grows with each renewal.
	Count uint64 `json:"count"`
	// Want is how much the holder could use now.
	Want int `json:"want,omitempty"`
	// JobsWant is how many more jobs the holder would start.
	JobsWant int `json:"jobsWant,omitempty"`
	// Hold is how long after its last renewal the holder's requests can still be running, in milliseconds.
	Hold int64 `json:"hold"`
}

func (p part) hold() time.Duration { return time.Duration(p.Hold) * time.Millisecond }

func decode(row provider.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, eris.Wrapf(err, "decode row %q", row.Key)
	}
	return r, nil
}

func (r record) encode() []byte {
	// A record has no field that fails to encode.
	data, _ := json.Marshal(r)
	return data
}

func (r record) clone() record {
	r.Holders = maps.Clone(r.Holders)
	if r.Holders == nil {
		r.Holders = make(map[string]part)
	}
	return r
}

// sum returns the amounts of all holders and jobs.
func (r record) sum() int {
	total := r.Jobs
	for _, p := range r.Holders {
		total += p.Amount
	}
	return total
}

// inForce returns the limit that holds over the whole fleet now. It is above Limit while holders shrink to a lowered one.
func (r record) inForce() int { return max(r.Limit, r.sum()) }

// jobsWant returns how many more jobs would start.
func (r record) jobsWant() int {
	total := 0
	for _, p := range r.Holders {
		total += p.JobsWant
	}
	return total
}

// given is an amount for a holder.
type given struct {
	name   string
	amount int
}

// fair returns the amounts of the holders by max-min fairness: each holder and the jobs receive what they
// want, or an equal part of what the smaller ones leave. What nobody wants goes to those that have least.
func (r record) fair() []given {
	const jobs = "" // sorts first and is no holder
	all := make([]given, 1, 1+len(r.Holders))
	all[0] = given{name: jobs, amount: r.Jobs + r.jobsWant()}
	for name, p := range r.Holders {
		all = append(all, given{name: name, amount: p.Want})
	}
	sortGiven(all)
	left := max(r.Limit, 0)
	for i := range all {
		// Rounded up, so that a limit below the number of holders is not lost to rounding.
		count := len(all) - i
		all[i].amount = min(all[i].amount, (left+count-1)/count)
		left -= all[i].amount
	}
	holders := slices.DeleteFunc(all, func(g given) bool { return g.name == jobs })
	sortGiven(holders)
	raise(holders, left)
	return holders
}

func sortGiven(all []given) {
	slices.SortFunc(all, func(a, b given) int {
		return cmp.Or(cmp.Compare(a.amount, b.amount), strings.Compare(a.name, b.name))
	})
}

// raise divides what is left over the holders with the smallest amounts, up to a common level. They are sorted by amount.
func raise(holders []given, left int) {
	for i := range holders {
		count, level := i+1, holders[i].amount
		if count < len(holders) {
			if need := (holders[i+1].amount - level) * count; need <= left {
				left -= need
				for j := range count {
					holders[j].amount = holders[i+1].amount
				}
				continue
			}
		}
		for j := range count {
			holders[j].amount += left / count
			if j < left%count {
				holders[j].amount++
			}
		}
		return
	}
}
