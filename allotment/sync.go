package allotment

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/provider"
)

const (
	// renewalsPerDuration leaves time for two failed renewals before an allotment expires.
	renewalsPerDuration = 3
	// windowSyncs is the length of the window in which demand is observed, in intervals between syncs.
	windowSyncs = 3
	// maxStopAttempts is the maximum number of attempts of Stop to return all allotments. With the default backoff
	// they take up to 4 s.
	maxStopAttempts = 4
	// maxConflictRetries is the maximum number of retries of a batch after conflicts within one sync.
	maxConflictRetries = 4
	// minPause is the minimum time between two syncs that denied requests cause. With 100 ms, 7 instances with 360
	// teams over their limits each make 30 of the 33 reads per second that their budget allows when permits
	// are requested four times as often as in the cost test.
	minPause = 250 * time.Millisecond
)

// Start acquires allotments of all teams and renews them in the background until Stop. It returns nil after the first
// sync, even if that failed.
func (h *Holder) Start(ctx context.Context) error {
	if err := h.Sync(ctx); err != nil {
		h.logger.Warn("Cannot acquire allotments yet, will retry.", "error", err)
	}
	h.renewal.Start()
	return nil
}

// syncAndPause synchronises once, and then waits for minPause so that denied requests do not cause continuous syncs.
func (h *Holder) syncAndPause(ctx context.Context) {
	if err := h.Sync(ctx); err != nil && ctx.Err() == nil {
		h.logger.Debug("Cannot renew allotments.", "error", err)
	}
	select {
	case <-time.After(minPause):
	case <-ctx.Done():
	}
}

// Stop returns all allotments. Requests should have ended before: amounts that are still in use are kept until peers
// reclaim them. Stop fails if the rows could not be read or written.
func (h *Holder) Stop(ctx context.Context) error {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.renewal.Stop()
	// Peers that acquire what is returned can conflict with the return of the rest.
	_, err := backoff.Retry(ctx, func() (struct{}, error) { return struct{}{}, h.Sync(ctx) },
		backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxTries(maxStopAttempts))
	return err
}

// Sync reads the rows of all teams, renews the allotments that are due, and requests or returns amounts. Start does
// this in the background; tests and tools may call it directly.
func (h *Holder) Sync(ctx context.Context) error {
	h.syncMutex.Lock()
	defer h.syncMutex.Unlock()
	h.mu.Lock()
	maps.DeleteFunc(h.teams, func(_ string, a *teamAllotment) bool { return a.isGone(h.o.Holder) })
	teams := slices.Sorted(maps.Keys(h.teams))
	h.mu.Unlock()
	var errs []error
	var due []string
	const maxRead = 256
	for chunk := range slices.Chunk(teams, maxRead) {
		if err := h.readRows(ctx, chunk); err != nil {
			errs = append(errs, err)
			continue
		}
		due = append(due, h.dueTeams(chunk)...)
	}
	// Allotments that expire first are written first, so that they are renewed even if the budget for writes is used
	// up before the end.
	h.sortByRenewal(due)
	for batch := range slices.Chunk(due, h.o.MaxBatch) {
		if err := h.commitBatch(ctx, batch, 0); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (h *Holder) sortByRenewal(teams []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortStableFunc(teams, func(a, b string) int { return h.teams[a].renewedAt.Compare(h.teams[b].renewedAt) })
}

// readRows reads the rows of the teams.
func (h *Holder) readRows(ctx context.Context, teams []string) error {
	keys := make([]string, len(teams))
	for i, team := range teams {
		keys[i] = rowKey(team)
	}
	rows, err := h.o.Table.Read(ctx, keys...)
	if err != nil {
		return err
	}
	byKey := make(map[string]provider.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for i, team := range teams {
		if err := h.updateAllotment(h.teams[team], byKey[keys[i]], now); err != nil {
			return err
		}
	}
	return nil
}

// updateAllotment updates the allotment of a team from its row. A zero row means that there is no such row.
func (h *Holder) updateAllotment(a *teamAllotment, row provider.Row, now time.Time) error {
	if row.Version == a.version {
		return nil
	}
	r, err := decode(row)
	if err != nil {
		return err
	}
	a.version, a.record = row.Version, r
	for name, p := range r.Holders {
		if name != h.o.Holder && (a.peers[name].firstReadAt.IsZero() || a.peers[name].count != p.Count) {
			a.peers[name] = peerRenewal{count: p.Count, firstReadAt: now}
		}
	}
	maps.DeleteFunc(a.peers, func(name string, _ peerRenewal) bool { _, ok := r.Holders[name]; return !ok })
	own, ok := r.Holders[h.o.Holder]
	for _, t := range a.attempts {
		if ok && t.count == own.Count {
			h.confirmAttempt(a, t)
		}
	}
	// A version of a row never comes back, so attempts that require another version can no longer take effect.
	a.attempts = slices.DeleteFunc(a.attempts, func(t attempt) bool { return t.baseVersion != row.Version })
	if !ok && a.held > 0 {
		// A stopping holder has returned the allotment itself.
		level := hclog.Warn
		if h.stopping {
			level = hclog.Debug
		}
		h.logger.Log(level, "Allotment is no longer held.", "team", a.team, "amount", a.held)
		a.generation++
	}
	a.held = own.Amount
	return nil
}

// confirmAttempt extends the allotment after an attempt that took effect. The lease duration starts at the time when
// the transaction was sent.
func (h *Holder) confirmAttempt(a *teamAllotment, t attempt) {
	if until := t.sentAt.Add(h.o.LeaseDuration); until.After(a.expiresAt) {
		a.expiresAt, a.renewedAt = until, t.sentAt
	}
}

// dueTeams returns the teams whose rows have to be written.
func (h *Holder) dueTeams(teams []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var due []string
	for _, team := range teams {
		h.teams[team].advanceWindow(now, windowSyncs*h.o.Interval)
		if _, ok := h.planRow(h.teams[team], now); ok {
			due = append(due, team)
		}
	}
	return due
}

// commitBatch writes the shares of the teams in one transaction. After a conflict it reads the rows again, and after a
// second one it halves the batch, so that a row with frequent conflicts does not delay the others.
func (h *Holder) commitBatch(ctx context.Context, teams []string, conflicts int) error {
	txn, sent := h.buildTxn(teams)
	if len(txn.Writes) == 0 {
		return nil
	}
	err := h.o.Table.Commit(ctx, txn)
	switch {
	case err == nil:
		return h.readRows(ctx, sent)
	case errors.Is(err, provider.ErrConflict) && conflicts < maxConflictRetries:
		h.dropAttempts(sent)
		if err := h.readRows(ctx, sent); err != nil {
			return err
		}
		if half := len(sent) / 2; conflicts > 0 && half > 0 {
			return errors.Join(h.commitBatch(ctx, sent[:half], conflicts+1), h.commitBatch(ctx, sent[half:], conflicts+1))
		}
		return h.commitBatch(ctx, sent, conflicts+1)
	case !errors.Is(err, provider.ErrUnknownOutcome):
		h.dropAttempts(sent)
	}
	return err
}

// buildTxn returns the transaction for the teams that are due, and their names. It records the transaction as an attempt
// of each team.
func (h *Holder) buildTxn(teams []string) (provider.Txn, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	txn := provider.Txn{OperationID: ident.New()}
	var sent []string
	for _, team := range teams {
		a := h.teams[team]
		r, ok := h.planRow(a, now)
		if !ok {
			continue
		}
		h.count++
		amount := 0
		if own, ok := r.Holders[h.o.Holder]; ok {
			own.Count, amount = h.count, own.Amount
			a.recordPublished(own.Want)
			r.Holders[h.o.Holder] = own
		}
		a.attempts = appendAttempt(a.attempts, attempt{baseVersion: a.version, count: h.count, amount: amount, sentAt: now})
		txn.Checks = append(txn.Checks, provider.Check{Key: rowKey(team), Version: a.version})
		txn.Writes = append(txn.Writes, provider.Write{Key: rowKey(team), Value: r.encode()})
		sent = append(sent, team)
	}
	return txn, sent
}

// appendAttempt adds an attempt. If there are too many, the oldest one is dropped and the next one gets the smaller
// amount of the two. The oldest can still take effect, but its lease duration would be over.
func appendAttempt(attempts []attempt, t attempt) []attempt {
	const maxAttempts = 8
	if len(attempts) >= maxAttempts {
		attempts[1].amount = min(attempts[0].amount, attempts[1].amount)
		attempts = slices.Delete(attempts, 0, 1)
	}
	return append(attempts, t)
}

// dropAttempts removes the newest attempt of each team, which certainly had no effect.
func (h *Holder) dropAttempts(teams []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, team := range teams {
		a := h.teams[team]
		a.attempts = a.attempts[:len(a.attempts)-1]
	}
}
