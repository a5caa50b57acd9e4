package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/provider"
)

// maxRounds bounds how often a batch is repeated after conflicts. Each round settles at least the rows
// that changed, so that more are needed only if other processes claim the same keys at the same time.
const maxRounds = 4

// maxBatchBytes bounds the responses in one transaction, apart from the last one. A full batch of the
// largest responses would otherwise have 1.4 MB in the encoding of the platform.
const maxBatchBytes = 256 << 10

// run writes batches until the store stops.
func (s *Store) run() {
	defer close(s.done)
	defer s.refuseQueued()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 20 * time.Millisecond
	pause.MaxInterval = time.Second
	for {
		select {
		case <-s.wake:
		case <-s.ctx.Done():
			return
		}
		s.sleep(s.o.BatchDelay)
		for {
			claims, outcomes, stopping := s.take()
			if len(claims) == 0 && len(outcomes) == 0 {
				if stopping {
					return
				}
				break
			}
			left := s.write(claims, outcomes)
			s.putBack(left)
			if len(left) == 0 {
				pause.Reset()
				continue
			}
			if s.ctx.Err() != nil {
				return
			}
			s.sleepOrClaims(pause.NextBackOff())
		}
	}
}

// refuseQueued answers the claims that were never sent when the store ends.
func (s *Store) refuseQueued() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.claims {
		r.result <- fmt.Errorf("%w: store is stopped", ErrNotClaimed)
	}
	s.claims = nil
}

// sleep waits for d or the end of the store.
func (s *Store) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// sleepOrClaims waits for d, but no longer than a window after a new claim.
func (s *Store) sleepOrClaims(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.wake:
		s.sleep(s.o.BatchDelay)
	case <-s.ctx.Done():
	}
}

// take removes a batch from the queues. No row is in it twice. Claims come first, but leave half of the
// batch to outcomes, which would pile up otherwise.
func (s *Store) take() ([]*request, []*outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := make(map[string]bool)
	var claims []*request
	room := s.o.MaxBatch - min(len(s.outcomes), s.o.MaxBatch/2)
	s.claims = slices.DeleteFunc(s.claims, func(r *request) bool {
		if len(claims) >= room || used[r.key] {
			return false
		}
		used[r.key] = true
		claims = append(claims, r)
		return true
	})
	var outcomes []*outcome
	bytes := 0
	s.outcomes = slices.DeleteFunc(s.outcomes, func(o *outcome) bool {
		if len(claims)+len(outcomes) >= s.o.MaxBatch || bytes >= maxBatchBytes || used[o.key] {
			return false
		}
		used[o.key] = true
		bytes += len(o.record.Response)
		outcomes = append(outcomes, o)
		return true
	})
	return claims, outcomes, s.stopping
}

// putBack queues outcomes again that could not be written.
func (s *Store) putBack(outcomes []*outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range outcomes {
		if o.tries++; len(s.outcomes) < s.o.MaxPending {
			s.outcomes = append(s.outcomes, o)
		}
	}
}

// batch is one transaction in the making.
type batch struct {
	owner    string
	claims   []*request
	outcomes []*outcome
	// rows holds the rows as they were read. A claim whose row was not read is taken to be absent.
	rows map[string]provider.Row
}

// write claims and settles in one transaction, which is repeated without the rows that changed. It
// returns the outcomes that have to be written again.
func (s *Store) write(claims []*request, outcomes []*outcome) []*outcome {
	b := &batch{owner: s.o.Owner, claims: claims, outcomes: outcomes, rows: make(map[string]provider.Row)}
	ctx, cancel := context.WithTimeout(s.ctx, s.o.Timeout)
	defer cancel()
	err := s.refresh(ctx, b, len(outcomes) > 0, false)
	for round := 0; err == nil; round++ {
		if len(b.claims) == 0 && len(b.outcomes) == 0 {
			return nil
		}
		err = s.o.Table.Commit(ctx, b.txn())
		if err == nil {
			for _, r := range b.claims {
				r.result <- nil
			}
			return nil
		}
		if errors.Is(err, provider.ErrConflict) && round < maxRounds {
			err = s.refresh(ctx, b, true, true)
		}
	}
	s.fail(b, err)
	return b.outcomes
}

// refresh reads the rows of the batch and removes what they settle. Claims are read only after a
// conflict, since nearly all keys are new.
func (s *Store) refresh(ctx context.Context, b *batch, needed, claims bool) error {
	if !needed {
		return nil
	}
	keys := make([]string, 0, len(b.claims)+len(b.outcomes))
	for _, o := range b.outcomes {
		keys = append(keys, o.key)
	}
	if claims {
		for _, r := range b.claims {
			keys = append(keys, r.key)
		}
	}
	rows, err := s.o.Table.Read(ctx, keys...)
	if err != nil {
		return err
	}
	clear(b.rows)
	for _, row := range rows {
		b.rows[row.Key] = row
	}
	b.claims = slices.DeleteFunc(b.claims, func(r *request) bool { return s.refused(b, r) })
	b.outcomes = slices.DeleteFunc(b.outcomes, func(o *outcome) bool { return s.superfluous(b, o) })
	return nil
}

// refused answers a claim whose row shows that the key is taken, or is the effect of this claim itself.
func (s *Store) refused(b *batch, r *request) bool {
	row, ok := b.rows[r.key]
	if !ok {
		return false
	}
	old, err := decode(row)
	if err != nil {
		r.result <- fmt.Errorf("%w: %w", ErrNotClaimed, err)
		return true
	}
	if old.ID == r.id && old.State == stateClaimed {
		r.result <- nil
		return true
	}
	if err := old.refusal(r.digest); err != nil {
		r.result <- err
		return true
	}
	return false
}

// superfluous reports whether an outcome need not be written: it is there already, or the row belongs to another claim.
func (s *Store) superfluous(b *batch, o *outcome) bool {
	row, ok := b.rows[o.key]
	if !ok {
		// An unconfirmed claim may still take effect. A released row in its place prevents that.
		return !o.resolve
	}
	old, err := decode(row)
	if err != nil {
		s.logger.Error("Claim row cannot be decoded.", "row", o.key, "error", err)
		return true
	}
	if o.resolve && old.State == stateReleased && old.ID != o.record.ID {
		// The unconfirmed claim may have been written against this version of the row.
		return false
	}
	return old.ID != o.record.ID || old.State != stateClaimed
}

// txn returns the transaction of the batch.
func (b *batch) txn() provider.Txn {
	txn := provider.Txn{OperationID: ident.New()}
	now := time.Now().UnixMilli()
	add := func(key string, r record) {
		r.Written = now
		txn.Checks = append(txn.Checks, provider.Check{Key: key, Version: b.rows[key].Version})
		txn.Writes = append(txn.Writes, provider.Write{Key: key, Value: r.encode()})
	}
	for _, r := range b.claims {
		add(r.key, record{ID: r.id, Owner: b.owner, Digest: r.digest[:], State: stateClaimed})
	}
	for _, o := range b.outcomes {
		add(o.key, o.record)
	}
	return txn
}

// fail answers the claims of a batch that was not confirmed. Those that may have taken effect are released.
func (s *Store) fail(b *batch, err error) {
	for _, r := range b.claims {
		r.result <- fmt.Errorf("%w: %w", ErrNotClaimed, err)
		if errors.Is(err, provider.ErrUnavailable) || errors.Is(err, provider.ErrOverBudget) || errors.Is(err, provider.ErrConflict) {
			continue
		}
		s.settle(&outcome{
			key: r.key, resolve: true,
			record: record{ID: r.id, Owner: s.o.Owner, Digest: r.digest[:], State: stateReleased},
		})
	}
}
