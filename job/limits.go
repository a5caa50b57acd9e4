package job

import (
	"context"

	"github.com/chivetiller/chivetiller/allotment"
	"github.com/chivetiller/chivetiller/provider"
)

// Limits counts running jobs against the upper limits of their teams, in the transactions that start and end them.
type Limits interface {
	// JobCountUpdate returns the check and the write that change the number of running jobs of a team. It fails
	// with [allotment.ErrLimit] if the limit leaves no room.
	JobCountUpdate(ctx context.Context, team string, delta int) (provider.Check, provider.Write, error)
	// SetJobDemand says how many more jobs of a team would start, so that entry instances return unused parts.
	SetJobDemand(team string, count int)
}

// TeamLimits are the limits of configured teams.
type TeamLimits struct {
	Table provider.Table
	// Limit returns the upper limit of a team; 0 if there is no such team.
	Limit func(team string) int
	// Holder is that of this entry instance.
	Holder *allotment.Holder
}

var _ Limits = TeamLimits{}

// JobCountUpdate implements [Limits].
func (l TeamLimits) JobCountUpdate(ctx context.Context, team string, delta int) (provider.Check, provider.Write, error) {
	return allotment.JobCountUpdate(ctx, l.Table, team, l.Limit(team), delta)
}

// SetJobDemand implements [Limits].
func (l TeamLimits) SetJobDemand(team string, count int) { l.Holder.SetJobDemand(team, count) }

// runningDelta returns the change in the number of running jobs. A job counts until its task is stopped.
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

// limited adds the checks and writes of the teams' limits to a transaction.
func (s *Store) limited(ctx context.Context, txn *provider.Txn, changes []Change) error {
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
