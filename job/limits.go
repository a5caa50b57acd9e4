package job

import (
	"context"

	"github.com/chivetiller/chivetiller/allotment"
	"github.com/chivetiller/chivetiller/provider"
)

// Limits counts running jobs against the upper limits of their teams. The counts change in the same transactions that
// start and end the jobs.
type Limits interface {
	// JobCountUpdate returns the check and the write that change the number of running jobs of a team by delta. It fails
	// with [allotment.ErrLimit] if the limit allows no more jobs.
	JobCountUpdate(ctx context.Context, team string, delta int) (provider.Check, provider.Write, error)
	// SetJobDemand publishes how many more jobs of a team would start if its limit allowed it, so that entry instances
	// return the parts of their allotments that they do not use.
	SetJobDemand(team string, count int)
}

// TeamLimits are the limits of configured teams.
type TeamLimits struct {
	Table provider.Table
	// Limit returns the upper limit of a team, or 0 if there is no such team.
	Limit func(team string) int
	// Holder holds the allotments of this entry instance.
	Holder *allotment.Holder
}

var _ Limits = TeamLimits{}

// JobCountUpdate implements [Limits].
func (l TeamLimits) JobCountUpdate(ctx context.Context, team string, delta int) (provider.Check, provider.Write, error) {
	return allotment.JobCountUpdate(ctx, l.Table, team, l.Limit(team), delta)
}

// SetJobDemand implements [Limits].
func (l TeamLimits) SetJobDemand(team string, count int) { l.Holder.SetJobDemand(team, count) }

// runningDelta returns the change in the number of running jobs: 1, 0 or -1. A job counts until its task has stopped.
func (c Change) runningDelta() int {
	delta := 0
	if c.Next.Worker != "" {
		delta++
	}
	if c.Old.Worker != "" {
		delta--
	}
	return delta
}

// addLimits adds the checks and writes of the teams' job counts to a transaction.
func (s *Store) addLimits(ctx context.Context, txn *provider.Txn, changes []Change) error {
	if s.limits == nil {
		return nil
	}
	deltas := make(map[string]int)
	for _, c := range changes {
		deltas[c.Next.Spec.Team] += c.runningDelta()
	}
	for team, delta := range deltas {
		if delta == 0 {
			continue
		}
		check, write, err := s.limits.JobCountUpdate(ctx, team, delta)
		if err != nil {
			return err
		}
		txn.Checks = append(txn.Checks, check)
		txn.Writes = append(txn.Writes, write)
	}
	return nil
}
