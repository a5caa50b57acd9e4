package allotment

import (
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/platform"
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

func decode(row platform.Row) (record, error) {
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

// fair returns the amount of the holder by max-min fairness: each holder and the jobs receive what they
// want, or an equal part of what the smaller ones leave. What nobody wants is divided equally over the holders.
func (r record) fair(holder string) int {
	const jobs = "" // sorts first and is no holder
	names := make([]string, 1, 1+len(r.Holders))
	names[0] = jobs
	wants := map[string]int{jobs: r.Jobs + r.jobsWant()}
	for name, p := range r.Holders {
		names = append(names, name)
		wants[name] = p.Want
	}
	slices.SortFunc(names, func(a, b string) int {
		if wants[a] != wants[b] {
			return wants[a] - wants[b]
		}
		if a < b {
			return -1
		}
		return 1
	})
	left, result := max(r.Limit, 0), 0
	for i, name := range names {
		// Rounded up, so that the smallest limits are not lost to rounding. What is left never gets negative.
		count := len(names) - i
		given := min(wants[name], (left+count-1)/count)
		left -= given
		if name == holder {
			result = given
		}
	}
	holders := len(r.Holders)
	if left > 0 && holders > 0 {
		result += left / holders
		if slices.Index(slices.Sorted(maps.Keys(r.Holders)), holder) < left%holders {
			result++
		}
	}
	return result
}
