package allotment

import (
	"context"

	"github.com/chivetiller/chivetiller/provider"
)

// JobCountUpdate returns the check and the write that change the number of running jobs of a team by delta. The
// caller adds them to the transaction that places or ends the job, so that a job counts exactly while its
// row says that it runs, whoever fails in between. It fails with [ErrLimit] if the limit leaves no room.
func JobCountUpdate(ctx context.Context, table provider.Table, team string, limit, delta int) (provider.Check, provider.Write, error) {
	key := rowKey(team)
	rows, err := table.Read(ctx, key)
	if err != nil {
		return provider.Check{}, provider.Write{}, err
	}
	r := record{Limit: limit}
	check := provider.Check{Key: key}
	if len(rows) > 0 {
		if r, err = decode(rows[0]); err != nil {
			return provider.Check{}, provider.Write{}, err
		}
		check.Version = rows[0].Version
	}
	if delta > 0 && r.sum()+delta > min(limit, r.Limit) {
		return provider.Check{}, provider.Write{}, ErrLimit
	}
	r.Jobs = max(r.Jobs+delta, 0)
	return check, provider.Write{Key: key, Value: r.encode()}, nil
}

// SetJobDemand tells the other holders how many more jobs of a team would start, so that they return what they
// do not need. It is repeated with each renewal until it is set to 0.
func (h *Holder) SetJobDemand(team string, count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, ok := h.teams[team]; ok {
		a.jobsWant = max(count, 0)
		h.notify()
	}
}
