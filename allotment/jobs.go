package allotment

import (
	"context"

	"github.com/chivetiller/chivetiller/provider"
)

// JobCountUpdate returns the check and the write that change the number of running jobs of a team by delta. The
// caller adds them to the transaction that starts or ends the job, so that a job is counted exactly while its row says
// that it runs, whichever process fails in between. It fails with [ErrLimit] if the limit allows no more jobs.
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
	if delta > 0 && r.total()+delta > min(limit, r.Limit) {
		return provider.Check{}, provider.Write{}, ErrLimit
	}
	r.Jobs = max(r.Jobs+delta, 0)
	return check, provider.Write{Key: key, Value: r.encode()}, nil
}

// SetJobDemand sets how many more jobs of a team would start if its limit allowed it. The number is published to the
// other holders, so that they return what they do not need. It is published with each renewal until it is set to 0.
func (h *Holder) SetJobDemand(team string, count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, ok := h.teams[team]; ok {
		a.jobDemand = max(count, 0)
		h.wakeLoop()
	}
}
