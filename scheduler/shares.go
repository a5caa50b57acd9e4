package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/internal/teams/share"
	"github.com/chivetiller/chivetiller/work"
)

// teamShares holds which jobs are within the rates of their teams. beyond counts the others since the log line at loggedAt.
type teamShares struct {
	rates    *share.Rates
	beyond   int
	loggedAt time.Duration
}

// sharesTeams reports whether the weights of teams order the jobs of full pools.
func (c *Core) sharesTeams() bool { return c.options.Features.TeamShares && c.catalog.Weighted() }

// beyondRate reports whether the team of a new job has sent more jobs than it is owed, and counts the job.
func (c *Core) beyondRate(j *job) bool {
	if !c.sharesTeams() || j.service {
		return false
	}
	team, outcome := j.doc.Team, "within"
	within := c.shares.rates.Take(team, c.catalog.Weight(team), j.acceptedAt)
	if !within {
		outcome = "beyond"
		if c.shares.beyond++; c.now-c.shares.loggedAt >= beyondLogInterval {
			c.logger.Info("Team sends more jobs than it is owed.", "team", team, "weight", c.catalog.Weight(team), "queue", j.doc.Queue, "jobsOfAll", c.shares.beyond)
			c.shares.loggedAt, c.shares.beyond = c.now, 0
		}
	}
	c.countDecision("teamShares", outcome)
	return !within
}

// beyondLogInterval is the minimum time between two log lines about jobs beyond the rates of their teams.
const beyondLogInterval = time.Second

// teamLevels returns the function that orders the teams of candidates, and nil without weights.
func (c *Core) teamLevels(p *pool, candidates []candidate, usable []*workerState) func(team string, beyond bool) int {
	if !c.sharesTeams() {
		return nil
	}
	var capacity work.Resources
	for _, ws := range usable {
		capacity = capacity.Plus(ws.report.Capacity)
	}
	p.shares.Advance(c.now, capacity, func(yield func(string) bool) {
		for i := range candidates {
			if !yield(candidates[i].team()) {
				return
			}
		}
	}, c.catalog.Weight)
	return p.shares.Level
}
