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
	// renewalsPerTerm leaves time for two failed renewals before a part expires.
	renewalsPerTerm = 3
	// windowRounds is the length of the window in which demand is observed, in rounds.
	windowRounds = 3
	// stopTries bounds the rounds in which Stop returns all parts. With the default pauses they take up to 4 s.
	stopTries = 4
	// maxRounds bounds the repeats of a batch after conflicts within one round.
	maxRounds = 4
	// minPause is the least time between two rounds that denied requests cause. With 100 ms, the reads of
	// 7 instances with 360 teams over their limits took 30 of the 33 a second of each instance, under a load
	// that asked four times as often as TestCost does now.
	minPause = 250 * time.Millisecond
)

// Start acquires parts of all teams and keeps them until Stop. It returns after the first round, also if that failed.
func (h *Holder) Start(ctx context.Context) error {
	if err := h.Sync(ctx); err != nil {
		h.logger.Warn("Allotments are not held yet.", "error", err)
	}
	h.renewal.Start()
	return nil
}

// round does one round, and waits a little so that denied requests do not cause one round after the other.
func (h *Holder) round(ctx context.Context) {
	if err := h.Sync(ctx); err != nil && ctx.Err() == nil {
		h.logger.Debug("Allotments are not renewed.", "error", err)
	}
	select {
	case <-time.After(minPause):
	case <-ctx.Done():
	}
}

// Stop returns all parts. Requests should have ended before: parts that are in use are kept until peers reclaim them.
func (h *Holder) Stop(ctx context.Context) error {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.renewal.Stop()
	// Peers that take what is returned can conflict with the return of the rest.
	_, err := backoff.Retry(ctx, func() (struct{}, error) { return struct{}{}, h.Sync(ctx) },
		backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxTries(stopTries))
	return err
}

// Sync does one round: it reads the rows of all teams, renews parts that are due, and requests or returns
// amounts. Start does this in the background; tests and tools may call it directly.
func (h *Holder) Sync(ctx context.Context) error {
	h.syncing.Lock()
	defer h.syncing.Unlock()
	h.mu.Lock()
	maps.DeleteFunc(h.teams, func(_ string, a *account) bool { return a.ended(h.o.Holder) })
	teams := slices.Sorted(maps.Keys(h.teams))
	h.mu.Unlock()
	var errs []error
	var due []string
	const maxRead = 256
	for chunk := range slices.Chunk(teams, maxRead) {
		if err := h.read(ctx, chunk); err != nil {
			errs = append(errs, err)
			continue
		}
		due = append(due, h.due(chunk)...)
	}
	// The parts that expire first go first, so that a round cut short by the budget leaves out the others.
	h.sortByRenewal(due)
	for batch := range slices.Chunk(due, h.o.MaxBatch) {
		if err := h.commit(ctx, batch, 0); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (h *Holder) sortByRenewal(teams []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortStableFunc(teams, func(a, b string) int { return h.teams[a].renewed.Compare(h.teams[b].renewed) })
}

// read reads the rows of the teams.
func (h *Holder) read(ctx context.Context, teams []string) error {
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
		if err := h.absorb(h.teams[team], byKey[keys[i]], now); err != nil {
			return err
		}
	}
	return nil
}

// absorb takes over what a row says. The zero row is an absent one.
func (h *Holder) absorb(a *account, row provider.Row, now time.Time) error {
	if row.Version == a.version {
		return nil
	}
	r, err := decode(row)
	if err != nil {
		return err
	}
	a.version, a.record = row.Version, r
	for name, p := range r.Holders {
		if name != h.o.Holder && (a.seen[name].since.IsZero() || a.seen[name].count != p.Count) {
			a.seen[name] = sighting{count: p.Count, since: now}
		}
	}
	maps.DeleteFunc(a.seen, func(name string, _ sighting) bool { _, ok := r.Holders[name]; return !ok })
	own, ok := r.Holders[h.o.Holder]
	for _, t := range a.attempts {
		if ok && t.count == own.Count {
			h.confirm(a, t)
		}
	}
	// Versions never repeat, so that attempts on another version can no longer take effect.
	a.attempts = slices.DeleteFunc(a.attempts, func(t attempt) bool { return t.checked != row.Version })
	if !ok && a.held > 0 {
		// A holder that stops has returned the part itself.
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

// confirm takes over the term of an attempt that took effect. It counts from before the transaction was sent.
func (h *Holder) confirm(a *account, t attempt) {
	if until := t.sent.Add(h.o.LeaseDuration); until.After(a.until) {
		a.until, a.renewed = until, t.sent
	}
}

// due returns the teams whose rows have to be written.
func (h *Holder) due(teams []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var due []string
	for _, team := range teams {
		h.teams[team].roll(now, windowRounds*h.o.Interval)
		if _, ok := h.plan(h.teams[team], now); ok {
			due = append(due, team)
		}
	}
	return due
}

// commit writes the parts of the teams in one transaction. After a conflict it reads the rows again, and
// after a second one halves the batch, so that a busy row does not hold up the others.
func (h *Holder) commit(ctx context.Context, teams []string, round int) error {
	txn, sent := h.prepare(teams)
	if len(txn.Writes) == 0 {
		return nil
	}
	err := h.o.Table.Commit(ctx, txn)
	switch {
	case err == nil:
		return h.read(ctx, sent)
	case errors.Is(err, provider.ErrConflict) && round < maxRounds:
		h.forget(sent)
		if err := h.read(ctx, sent); err != nil {
			return err
		}
		if half := len(sent) / 2; round > 0 && half > 0 {
			return errors.Join(h.commit(ctx, sent[:half], round+1), h.commit(ctx, sent[half:], round+1))
		}
		return h.commit(ctx, sent, round+1)
	case !errors.Is(err, provider.ErrUnknownOutcome):
		h.forget(sent)
	}
	return err
}

// prepare builds the transaction of the teams that are due and notes it as an attempt.
func (h *Holder) prepare(teams []string) (provider.Txn, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	txn := provider.Txn{OperationID: ident.New()}
	var sent []string
	for _, team := range teams {
		a := h.teams[team]
		r, ok := h.plan(a, now)
		if !ok {
			continue
		}
		h.count++
		amount := 0
		if own, ok := r.Holders[h.o.Holder]; ok {
			own.Count, amount = h.count, own.Amount
			a.asked(own.Want)
			r.Holders[h.o.Holder] = own
		}
		a.attempts = appendAttempt(a.attempts, attempt{checked: a.version, count: h.count, amount: amount, sent: now})
		txn.Checks = append(txn.Checks, provider.Check{Key: rowKey(team), Version: a.version})
		txn.Writes = append(txn.Writes, provider.Write{Key: rowKey(team), Value: r.encode()})
		sent = append(sent, team)
	}
	return txn, sent
}

// appendAttempt adds an attempt. Of too many, the oldest one gives its amount to the next and is dropped:
// it can still take effect, but its term would be over.
func appendAttempt(attempts []attempt, t attempt) []attempt {
	const maxAttempts = 8
	if len(attempts) >= maxAttempts {
		attempts[1].amount = min(attempts[0].amount, attempts[1].amount)
		attempts = slices.Delete(attempts, 0, 1)
	}
	return append(attempts, t)
}

// forget removes the newest attempt of the teams, which certainly had no effect.
func (h *Holder) forget(teams []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, team := range teams {
		a := h.teams[team]
		a.attempts = a.attempts[:len(a.attempts)-1]
	}
}
