// Package order holds the order in which the jobs of a pool are served.
//
// # Usage
//
//	key := order.New(order.TierOf(now, criticalPath, start, target), beyond, priority, order.RankOf(coreSecondsLeft))
//	slices.SortFunc(candidates, compare) // by Key.Compare, then by ID
//	for c := range order.Sequence(candidates, key, team, level) {
//		// Start tasks of c. level may return more for its team afterwards.
//	}
package order

import (
	"cmp"
	"iter"
	"time"
)

// Tier orders the jobs of a pool. Within a tier the job with the least remaining work comes first. That order gives the most value for
// each core-second, since each job has a fixed value in addition to the value of its work.
type Tier uint8

// Tiers, in the order in which they are served.
const (
	// LikelyCause is for tasks that have probably made workers crash, and are the only ones to wait for workers that run nothing.
	LikelyCause Tier = iota
	Service
	InTime
	Late
	Expired
)

// LateFactor is the multiple of its latency target up to which a late job still has some value.
const LateFactor = 3

// expiredTime is the time in which jobs are to be done that are too late to have any value but still count as served.
const expiredTime = 20 * time.Second

// minWork is the minimum remaining work, in core-seconds, that is assumed of a job. It keeps the order defined.
const minWork = 0.001

// TierOf returns the tier of a batch job whose critical path is left. Its latency counts from start and should end before target.
func TierOf(now, criticalPath, start, target time.Duration) Tier {
	switch {
	case now+criticalPath <= target:
		return InTime
	case now+criticalPath <= start+LateFactor*(target-start):
		return Late
	}
	return Expired
}

// TimeLeft returns the time in which the work of a batch job should be done. That is until the end of its latency target, or if that is
// missed, until it has no value any more. Work that is later still gets left-over capacity.
func TimeLeft(now, criticalPath, start, target time.Duration) time.Duration {
	if target-now >= criticalPath/2 {
		return target - now
	}
	if end := start + LateFactor*(target-start); end-now >= criticalPath {
		return end - now
	}
	return expiredTime
}

// RankOf returns the rank of a batch job with an amount of remaining work, in core-seconds.
func RankOf(work float64) float64 { return max(work, minWork) }

// Key is the place of a job.
type Key struct {
	// group combines the class and the priority, since thousands of keys are compared in each pass.
	group  int64
	rank   float64
	tier   Tier
	beyond bool
}

const (
	// classShift is the place of the class in a group, above the priority.
	classShift = 48
	// maxPriority keeps priorities, which may be negative, apart from the class.
	maxPriority = 1<<(classShift-1) - 1
)

// New returns the key of a job. priority is that of its queue, and rank its place within a tier, lowest first. beyond means that the job
// is beyond the rate of its team: it goes after those of its tier that are within the rate of theirs.
func New(tier Tier, beyond bool, priority int, rank float64) Key {
	group := class(tier, beyond)<<classShift + int64(min(max(priority, -maxPriority), maxPriority))
	return Key{group: group, rank: rank, tier: tier, beyond: beyond}
}

// Tier returns the tier of the job.
func (k *Key) Tier() Tier { return k.tier }

// Beyond reports whether the job is beyond the rate of its team.
func (k *Key) Beyond() bool { return k.beyond }

// Rank returns the place of the job within its tier. For batch jobs it is the remaining work, in core-seconds.
func (k *Key) Rank() float64 { return k.rank }

// class orders jobs by their tier, and in each tier of batch jobs those beyond the rate of their team last. The tier goes first: a job beyond the
// rate that can still be done in time gives its caller more than one within the rate that is late anyway.
func class(tier Tier, beyond bool) int64 {
	c := 2 * int64(tier)
	if beyond && tier > Service {
		c++
	}
	return c
}

// Compare compares the places of two jobs without regard to the levels of their teams.
func (k *Key) Compare(other *Key) int {
	if k.group != other.group {
		return cmp.Compare(k.group, other.group)
	}
	return cmp.Compare(k.rank, other.rank)
}

// Sequence returns sorted candidates in the order in which they are served. Among batch jobs of the same class and priority those
// of the team with the lowest level come first. The level of a team is read again after each of its candidates, since that may have started
// tasks. Without levels (nil) the order stays as it is.
func Sequence[C any](sorted []C, key func(*C) *Key, team func(*C) string, level func(team string, beyond bool) int) iter.Seq[*C] {
	return func(yield func(*C) bool) {
		var g group
		for start, end := 0, 0; start < len(sorted); start = end {
			first := key(&sorted[start])
			for end = start + 1; end < len(sorted) && first.group == key(&sorted[end]).group; end++ {
			}
			if level == nil || first.tier <= Service {
				for i := start; i < end; i++ {
					if !yield(&sorted[i]) {
						return
					}
				}
				continue
			}
			g.reset(end - start)
			for i := start; i < end; i++ {
				g.add(team(&sorted[i]), i-start)
			}
			for i := range g.teams {
				g.teams[i].level = level(g.teams[i].name, first.beyond)
			}
			for len(g.teams) > 0 {
				t := g.lowest()
				if !yield(&sorted[start+g.teams[t].next]) {
					return
				}
				if g.advance(t) {
					g.teams[t].level = level(g.teams[t].name, first.beyond)
				}
			}
		}
	}
}

// group holds the candidates of the same class and priority by team.
type group struct {
	teams []teamCandidates
	// index holds the position of a team in teams while candidates are added.
	index map[string]int
	// following holds, for each candidate, the next one of its team, and 0 for the last one.
	following []int
}

// teamCandidates are the candidates of a team, from next to last.
type teamCandidates struct {
	name       string
	next, last int
	level      int
}

func (g *group) reset(size int) {
	if g.index == nil {
		g.index = make(map[string]int)
	}
	clear(g.index)
	g.teams = g.teams[:0]
	if cap(g.following) < size {
		g.following = make([]int, size)
	}
	g.following = g.following[:size]
	clear(g.following)
}

func (g *group) add(team string, candidate int) {
	i, ok := g.index[team]
	if !ok {
		g.index[team] = len(g.teams)
		g.teams = append(g.teams, teamCandidates{name: team, next: candidate, last: candidate})
		return
	}
	g.following[g.teams[i].last] = candidate
	g.teams[i].last = candidate
}

// lowest returns the team with the lowest level, and among equal ones that whose candidate comes first.
func (g *group) lowest() int {
	best := 0
	for i := 1; i < len(g.teams); i++ {
		a, b := &g.teams[i], &g.teams[best]
		if a.level < b.level || a.level == b.level && a.next < b.next {
			best = i
		}
	}
	return best
}

// advance goes on to the next candidate of a team. It reports false if there is none and the team was removed.
func (g *group) advance(t int) bool {
	if next := g.following[g.teams[t].next]; next > 0 {
		g.teams[t].next = next
		return true
	}
	g.teams[t] = g.teams[len(g.teams)-1]
	g.teams = g.teams[:len(g.teams)-1]
	return false
}

// Amount is a number of jobs and the remaining work of the batch jobs among them, in core-seconds.
type Amount struct {
	Jobs        int
	CoreSeconds float64
}

// Ahead returns what Sequence serves before the first candidate of which own reports true.
func Ahead[C any](sorted []C, key func(*C) *Key, team func(*C) string, level func(team string, beyond bool) int, own func(*C) bool) (ahead Amount) {
	for c := range Sequence(sorted, key, team, level) {
		if own(c) {
			break
		}
		ahead.Jobs++
		if k := key(c); k.Tier() > Service {
			ahead.CoreSeconds += k.Rank()
		}
	}
	return ahead
}
