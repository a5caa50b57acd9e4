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

// maxConflictRetries is the maximum number of retries of a batch after conflicts. Each retry resolves at least the rows
// that had changed, so more are needed only if other processes claim the same keys at the same time.
const maxConflictRetries = 4

// maxBatchBytes bounds the total size of the responses in one transaction, not counting the last one. Without it, a
// full batch of the largest responses would take 1.4 MB in the encoding of the platform.
const maxBatchBytes = 256 << 10

// maxRejections is how often an outcome may fail alone, while other transactions succeed, until it is dropped. A table that loses half of
// all transactions does not reach it.
const maxRejections = 20

// writeBatches writes batches of claims and outcomes until the store stops. Outcomes that could not be written are
// retried after an exponential delay.
func (s *Store) writeBatches() {
	defer close(s.done)
	defer s.rejectQueued()
	r := newRetries(s.o.MaxBatch)
	for {
		select {
		case <-s.wake:
		case <-s.ctx.Done():
			return
		}
		s.sleep(s.o.BatchDelay)
		for {
			claims, outcomes, stopping := s.takeBatch(r)
			if len(claims) == 0 && len(outcomes) == 0 {
				if s.PendingOutcomes() > 0 {
					s.sleepUntilClaims(time.Until(r.next))
					if s.ctx.Err() != nil {
						return
					}
					continue
				}
				if stopping {
					return
				}
				break
			}
			retried := len(outcomes) > 0 && outcomes[0].attempts > 0
			unwritten := s.writeBatch(claims, outcomes)
			if len(unwritten) == 0 {
				r.recordSuccess(retried)
				continue
			}
			r.recordFailure(unwritten, len(claims) == 0)
			s.requeueOutcomes(unwritten)
			if s.ctx.Err() != nil {
				return
			}
		}
	}
}

// retries decides when outcomes that could not be written are tried again, and how many in one transaction. The transactions become
// smaller with each failure, so that an outcome that the table rejects keeps no other one from being written.
type retries struct {
	delay    *backoff.ExponentialBackOff
	next     time.Time
	maxBatch int
	limit    int
	// written counts the transactions that succeeded.
	written int
}

func newRetries(maxBatch int) *retries {
	r := &retries{delay: backoff.NewExponentialBackOff(), maxBatch: maxBatch, limit: maxBatch}
	r.delay.InitialInterval = 20 * time.Millisecond
	r.delay.MaxInterval = time.Second
	return r
}

func (r *retries) recordSuccess(retried bool) {
	r.written++
	if retried {
		r.delay.Reset()
		r.next = time.Time{}
		r.limit = min(2*r.limit, r.maxBatch)
	}
}

// recordFailure records that outcomes were not written. withoutClaims means that their transaction had no claims.
func (r *retries) recordFailure(outcomes []*outcome, withoutClaims bool) {
	r.next = time.Now().Add(r.delay.NextBackOff())
	r.limit = max(1, min(r.limit, len(outcomes))/2)
	for _, o := range outcomes {
		if len(outcomes) == 1 && withoutClaims && r.written > o.writtenBefore {
			o.rejections++
		}
		o.attempts++
		o.writtenBefore = r.written
	}
}

// rejectQueued rejects the claims that have not been sent when the store stops.
func (s *Store) rejectQueued() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.claims {
		r.result <- fmt.Errorf("%w: store is stopped", ErrNotClaimed)
	}
	s.claims = nil
}

// sleep waits for d, or less if the store stops.
func (s *Store) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// sleepUntilClaims waits for d, or only until BatchDelay after a new claim.
func (s *Store) sleepUntilClaims(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.wake:
		s.sleep(s.o.BatchDelay)
	case <-s.ctx.Done():
	}
}

// takeBatch removes a batch from the queues. It contains no row twice. Outcomes that failed before are in batches of their own, so that
// they fail neither claims nor other outcomes. Otherwise claims have priority, but leave up to half of the batch to outcomes, which
// would accumulate otherwise. The last result reports whether the store is stopping.
func (s *Store) takeBatch(r *retries) ([]*pendingClaim, []*outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(r.next) {
		if failed := s.takeOutcomes(true, r.limit, make(map[string]bool)); len(failed) > 0 {
			return nil, failed, s.stopping
		}
	}
	fresh := 0
	for _, o := range s.outcomes {
		if o.attempts == 0 {
			fresh++
		}
	}
	used := make(map[string]bool)
	var claims []*pendingClaim
	maxClaims := s.o.MaxBatch - min(fresh, s.o.MaxBatch/2)
	s.claims = slices.DeleteFunc(s.claims, func(r *pendingClaim) bool {
		if len(claims) >= maxClaims || used[r.key] {
			return false
		}
		used[r.key] = true
		claims = append(claims, r)
		return true
	})
	return claims, s.takeOutcomes(false, s.o.MaxBatch-len(claims), used), s.stopping
}

// takeOutcomes removes outcomes from the queue: those that failed before, or the others. It leaves out the keys that are used.
func (s *Store) takeOutcomes(failed bool, limit int, used map[string]bool) []*outcome {
	var outcomes []*outcome
	bytes := 0
	s.outcomes = slices.DeleteFunc(s.outcomes, func(o *outcome) bool {
		if (o.attempts > 0) != failed || len(outcomes) >= limit || bytes >= maxBatchBytes || used[o.key] {
			return false
		}
		used[o.key] = true
		bytes += len(o.record.Response)
		outcomes = append(outcomes, o)
		return true
	})
	return outcomes
}

// requeueOutcomes queues outcomes again that could not be written, as far as the queue has room. Those that the table has rejected too
// often are dropped.
func (s *Store) requeueOutcomes(outcomes []*outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range outcomes {
		switch {
		case o.rejections >= maxRejections:
			s.logger.Error("Dropped the outcome of a claim because the table rejects it.", "row", o.key, "state", o.record.State, "attempts", o.attempts)
		case len(s.outcomes) < s.o.MaxPending:
			s.outcomes = append(s.outcomes, o)
		}
	}
}

// batch holds the claims and outcomes of one transaction.
type batch struct {
	owner    string
	claims   []*pendingClaim
	outcomes []*outcome
	// rows holds the rows that were read, by key. The row of a claim is assumed to be absent if it was not read.
	rows map[string]provider.Row
}

// writeBatch writes claims and outcomes in one transaction. After a conflict it retries without the rows that are
// resolved by then. It returns the outcomes that have to be written again.
func (s *Store) writeBatch(claims []*pendingClaim, outcomes []*outcome) []*outcome {
	b := &batch{owner: s.o.Owner, claims: claims, outcomes: outcomes, rows: make(map[string]provider.Row)}
	ctx, cancel := context.WithTimeout(s.ctx, s.o.Timeout)
	defer cancel()
	err := s.refreshBatch(ctx, b, len(outcomes) > 0, false)
	for retry := 0; err == nil; retry++ {
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
		if errors.Is(err, provider.ErrConflict) && retry < maxConflictRetries {
			err = s.refreshBatch(ctx, b, true, true)
		}
	}
	s.failBatch(b, err)
	return b.outcomes
}

// refreshBatch reads the rows of the batch and removes the claims and outcomes that need no write any more. It does
// nothing unless needed. The rows of claims are read only after a conflict, since nearly all keys are new.
func (s *Store) refreshBatch(ctx context.Context, b *batch, needed, readClaims bool) error {
	if !needed {
		return nil
	}
	keys := make([]string, 0, len(b.claims)+len(b.outcomes))
	for _, o := range b.outcomes {
		keys = append(keys, o.key)
	}
	if readClaims {
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
	b.claims = slices.DeleteFunc(b.claims, func(r *pendingClaim) bool { return s.answerFromRow(b, r) })
	b.outcomes = slices.DeleteFunc(b.outcomes, func(o *outcome) bool { return s.isObsolete(b, o) })
	return nil
}

// answerFromRow answers a claim if its row shows that the key is taken, or that this claim itself was written by an
// earlier attempt. It reports whether the claim was answered.
func (s *Store) answerFromRow(b *batch, r *pendingClaim) bool {
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

// isObsolete reports whether an outcome need not be written, because the row has it already or belongs to another
// claim.
func (s *Store) isObsolete(b *batch, o *outcome) bool {
	row, ok := b.rows[o.key]
	if !ok {
		// An unconfirmed claim may still take effect. A row in the state released prevents that.
		return !o.unconfirmed
	}
	old, err := decode(row)
	if err != nil {
		s.logger.Error("Cannot decode the row of a claim.", "row", o.key, "error", err)
		return true
	}
	if o.unconfirmed && old.State == stateReleased && old.ID != o.record.ID {
		// The unconfirmed claim may still take effect on this version of the row. Writing the row prevents that.
		return false
	}
	return old.ID != o.record.ID || old.State != stateClaimed
}

// txn returns the transaction that writes the batch.
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

// failBatch rejects the claims of a batch that was not confirmed. Those that may have taken effect are released.
func (s *Store) failBatch(b *batch, err error) {
	for _, r := range b.claims {
		r.result <- fmt.Errorf("%w: %w", ErrNotClaimed, err)
		if errors.Is(err, provider.ErrUnavailable) || errors.Is(err, provider.ErrOverBudget) || errors.Is(err, provider.ErrConflict) {
			continue
		}
		s.queueOutcome(&outcome{
			key: r.key, unconfirmed: true,
			record: record{ID: r.id, Owner: s.o.Owner, Digest: r.digest[:], State: stateReleased},
		})
	}
}
