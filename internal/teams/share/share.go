// Package share decides which teams come first in a pool that is full, by the weights of the teams.
//
// The weight of a team has two meanings. It is the number of jobs a second that the team is owed: jobs within that rate go before those
// beyond it. And it is the share of a full pool: a team that uses far more than its share goes after the others, and the jobs beyond the
// rates are ordered by what their teams use.
//
// # Usage
//
//	rates := share.NewRates()
//	beyond := !rates.Take(team, weight, acceptedAt) // once for each job, in the order of acceptance
//
//	var pool share.Pool
//	pool.Add(team, request, service)                // each run, with pool.Remove at its end
//	pool.Advance(now, capacity, waiting, weight)    // each pass
//	level := pool.Level(team, beyond)               // lowest first; it changes with each run that is added
//
// # States
//
// A job is within the rate or beyond it, from its acceptance to its end. A team is within its share of a pool, or far over it
// while it uses more than [farOver] times as much.
//
// All times are monotonic times of one process. Weights are positive.
package share

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

const (
	// burst is the time for which a team may save its jobs up, so that jobs that arrive in groups count as within the rate.
	burst = 2 * time.Second
	// minBurst is the number of jobs that each team may save up. With less than one a team would never be within its rate.
	minBurst = 1
	// maxCredit is the time for which a team may save up the share that it does not use.
	maxCredit = time.Second
	// farOver is the multiple of its share beyond which a team goes after others although its jobs are within the rate. Below that the
	// order by least remaining work gives the callers more.
	farOver = 2
	// steps is the number of levels for each share that a team uses. Coarse levels keep the order within a team and between similar teams.
	steps = 2
	// maxLevel bounds the levels, for teams with a very small share.
	maxLevel = 1000
)

// Rates tells which jobs are within the rate of their team. It is a token bucket for each team.
type Rates struct{ buckets map[string]bucket }

type bucket struct {
	tokens float64
	at     time.Duration
}

// NewRates returns rates whose buckets are full.
func NewRates() *Rates { return &Rates{buckets: make(map[string]bucket)} }

// Take reports whether a job of a team that was accepted at a time is within the rate, and counts it if so.
func (r *Rates) Take(team string, weight float64, at time.Duration) bool {
	limit := max(minBurst, weight*burst.Seconds())
	b, ok := r.buckets[team]
	if !ok {
		b = bucket{tokens: limit, at: at}
	}
	// Jobs may become known in another order than they were accepted in. An earlier one adds no tokens.
	b.tokens = min(limit, b.tokens+weight*max(0, at-b.at).Seconds())
	b.at = max(b.at, at)
	within := b.tokens >= 1
	if within {
		b.tokens--
	}
	r.buckets[team] = b
	return within
}

// Exhausted returns the teams whose next job is beyond their rate, if it is accepted at a time. weight returns the weight of a team.
func (r *Rates) Exhausted(at time.Duration, weight func(team string) float64) []string {
	var teams []string
	for team, b := range r.buckets {
		if b.tokens+weight(team)*max(0, at-b.at).Seconds() < 1 {
			teams = append(teams, team)
		}
	}
	slices.Sort(teams)
	return teams
}

// Pool is what the teams use of a pool. The zero value is a pool without runs.
type Pool struct {
	teams map[string]*usage
	// services is what services use. Their places do not depend on shares, so that it is not part of what is shared.
	services work.Resources
	shared   work.Resources
	at       time.Duration
	weights  float64
}

// usage is what a team uses.
type usage struct {
	running work.Resources
	weight  float64
	// credit is the unused share, in parts of the pool times seconds.
	credit float64
	// seen means that the team has jobs that wait.
	seen bool
}

// Add adds a run of a team.
func (p *Pool) Add(team string, r work.Resources, service bool) {
	if service {
		p.services = p.services.Plus(r)
		return
	}
	u := p.team(team)
	u.running = u.running.Plus(r)
}

// Remove removes a run of a team.
func (p *Pool) Remove(team string, r work.Resources, service bool) {
	if service {
		p.services = p.services.Minus(r)
		return
	}
	u := p.team(team)
	u.running = u.running.Minus(r)
}

// Services returns what services use.
func (p *Pool) Services() work.Resources { return p.services }

func (p *Pool) team(name string) *usage {
	u, ok := p.teams[name]
	if !ok {
		if p.teams == nil {
			p.teams = make(map[string]*usage)
		}
		// A negative weight means that the team has its full credit at the next Advance.
		u = &usage{weight: -1}
		p.teams[name] = u
	}
	return u
}

// Advance sets the time, the capacity of the pool and the teams whose jobs wait. weight returns the weight of a team.
func (p *Pool) Advance(now time.Duration, capacity work.Resources, waiting func(yield func(team string) bool), weight func(team string) float64) {
	for team := range waiting {
		p.team(team).seen = true
	}
	p.shared = capacity.Minus(p.services)
	p.weights = 0
	for name, u := range p.teams {
		w := weight(name)
		if u.weight < 0 {
			u.credit = 1
		}
		u.weight = w
		p.weights += w
	}
	elapsed := max(0, now-p.at).Seconds()
	p.at = max(p.at, now)
	for name, u := range p.teams {
		share := u.weight / p.weights
		full := share * maxCredit.Seconds()
		u.credit = min(full, max(0, u.credit+(share-p.used(u))*elapsed))
		// A team that uses nothing is kept until its credit is full, so that it gains nothing by a pause.
		if u.running == (work.Resources{}) && !u.seen && u.credit >= full {
			delete(p.teams, name)
		}
		u.seen = false
	}
}

// used returns the dominant share of a team: the largest part of a resource of the pool that it uses.
func (p *Pool) used(u *usage) float64 {
	return max(part(u.running.CPU, p.shared.CPU), part(u.running.Memory, p.shared.Memory), part(u.running.GPU, p.shared.GPU))
}

func part(used, capacity int64) float64 {
	if used <= 0 {
		return 0
	}
	return float64(used) / float64(max(1, capacity))
}

// Used returns the dominant share of a team and the share that it is owed, as parts of the pool.
func (p *Pool) Used(team string) (used, owed float64) {
	u, ok := p.teams[team]
	if !ok || u.weight < 0 {
		return 0, 0
	}
	return p.used(u), u.weight / p.weights
}

// Level orders the teams, lowest first. For jobs within the rate it tells only those teams apart that are far over their share. For jobs
// beyond the rate it grows with what the team uses, less its credit.
func (p *Pool) Level(team string, beyond bool) int {
	u, ok := p.teams[team]
	if !ok || u.weight < 0 {
		return 0
	}
	shares := (p.used(u) - u.credit/maxCredit.Seconds()) / (u.weight / p.weights)
	if beyond {
		return int(min(maxLevel, max(0, shares*steps)))
	}
	if shares > farOver {
		return 1
	}
	return 0
}
