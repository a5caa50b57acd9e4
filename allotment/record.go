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
	// Limit is the upper limit of the team in the configuration of this Version.
	Limit   int    `json:"limit"`
	Version uint64 `json:"version"`
	// Jobs is the number of running jobs. They count against the limit.
	Jobs    int                  `json:"jobs,omitempty"`
	Holders map[string]holderRow `json:"holders,omitempty"`
}

// holderRow is the part of the limit that one entry instance holds.
type holderRow struct {
	Amount int `json:"amount"`
	// Count grows with each renewal.
	Count uint64 `json:"count"`
	// Want is the amount that the holder could use now.
	Want int `json:"want,omitempty"`
	// JobsWant is the number of further jobs that the holder would start if the limit allowed it.
	JobsWant int `json:"jobsWant,omitempty"`
	// ReclaimAfter is the time in milliseconds after its last renewal during which the holder's requests can be running.
	// Peers reclaim the amount after that.
	ReclaimAfter int64 `json:"hold"`
}

func (p holderRow) reclaimAfter() time.Duration {
	return time.Duration(p.ReclaimAfter) * time.Millisecond
}

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
		r.Holders = make(map[string]holderRow)
	}
	return r
}

// total returns the sum of the amounts of all holders and the number of running jobs.
func (r record) total() int {
	total := r.Jobs
	for _, p := range r.Holders {
		total += p.Amount
	}
	return total
}

// limitInForce returns the limit that is effective over the whole fleet now. It is above Limit until all holders have
// shrunk their shares to a lowered limit.
func (r record) limitInForce() int { return max(r.Limit, r.total()) }

// jobDemand returns the number of further jobs that all holders together would start.
func (r record) jobDemand() int {
	total := 0
	for _, p := range r.Holders {
		total += p.JobsWant
	}
	return total
}

// fairAmount is the amount that a holder should have.
type fairAmount struct {
	name   string
	amount int
}

// fairAmounts returns the amounts of the holders by max-min fairness: each holder, and the jobs together, receive what
// they want, or an equal share of what those that want less leave over. Any rest goes to the holders with the
// smallest amounts.
func (r record) fairAmounts() []fairAmount {
	const jobs = "" // sorts first and is not the name of a holder
	all := make([]fairAmount, 1, 1+len(r.Holders))
	all[0] = fairAmount{name: jobs, amount: r.Jobs + r.jobDemand()}
	for name, p := range r.Holders {
		all = append(all, fairAmount{name: name, amount: p.Want})
	}
	sortFairAmounts(all)
	remaining := max(r.Limit, 0)
	for i := range all {
		// The division rounds up. Otherwise, a limit below the number of holders would be divided into amounts of 0.
		count := len(all) - i
		all[i].amount = min(all[i].amount, (remaining+count-1)/count)
		remaining -= all[i].amount
	}
	holders := slices.DeleteFunc(all, func(g fairAmount) bool { return g.name == jobs })
	sortFairAmounts(holders)
	raiseSmallest(holders, remaining)
	return holders
}

func sortFairAmounts(all []fairAmount) {
	slices.SortFunc(all, func(a, b fairAmount) int {
		return cmp.Or(cmp.Compare(a.amount, b.amount), strings.Compare(a.name, b.name))
	})
}

// raiseSmallest distributes the remaining amount over the holders with the smallest amounts, up to a common level. The
// holders have to be sorted by amount.
func raiseSmallest(holders []fairAmount, remaining int) {
	for i := range holders {
		count, level := i+1, holders[i].amount
		if count < len(holders) {
			if needed := (holders[i+1].amount - level) * count; needed <= remaining {
				remaining -= needed
				for j := range count {
					holders[j].amount = holders[i+1].amount
				}
				continue
			}
		}
		for j := range count {
			holders[j].amount += remaining / count
			if j < remaining%count {
				holders[j].amount++
			}
		}
		return
	}
}
