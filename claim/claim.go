// Package claim makes sure that a non-idempotent request runs at most once. Before such a request is sent to an
// endpoint, its idempotency key is claimed: a row in the platform's table records who sends the request, and later
// its outcome. A repeated request finds the row and is not sent again.
//
// # Usage
//
//	store := claim.NewStore(claim.Options{Table: table, Owner: "entry-1/7"})
//	defer store.Stop(ctx)
//	c, err := store.Claim(ctx, "supervisors", idempotencyKey, digest)
//	...
//	c.Done(response) // or c.Release() if the request certainly did not run
package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/provider"
)

var (
	// ErrMismatch means that the key was claimed for a request with a different method, path or body.
	ErrMismatch = errors.New("key was used for another request")
	// ErrNotClaimed means that the claim could not be written or confirmed. The request must not run.
	ErrNotClaimed = errors.New("request could not be claimed")
)

// TakenError is returned for a key that is claimed already.
type TakenError struct {
	// Done reports whether the first request is known to have run. If not, its outcome is unknown.
	Done bool
	// Stored reports whether Response holds the response of the first request.
	Stored   bool
	Response []byte
}

// Error implements error.
func (t *TakenError) Error() string {
	if t.Done {
		return "key is claimed and its request is done"
	}
	return "key is claimed and the outcome of its request is unknown"
}

// MaxResponse is the largest response that is stored with a claim, in bytes.
const MaxResponse = 16 << 10

// Options configure a store. Fields that are 0 have the defaults stated.
type Options struct {
	Table provider.Table
	// Owner names the process and its incarnation.
	Owner  string
	Logger hclog.Logger
	// BatchDelay is how long the first claim of a batch waits for more claims. The default is 3 ms.
	BatchDelay time.Duration
	// MaxBatch is the maximum number of rows in a transaction. The default is 64.
	MaxBatch int
	// MaxPending is the maximum number of outcomes that wait to be written. Further outcomes are dropped: their
	// responses are not stored, and their claims remain in the state claimed. The default is 4096.
	MaxPending int
	// Timeout bounds the writing of a batch with all its retries. The default is 1 s.
	Timeout time.Duration
}

const (
	defaultBatchDelay = 3 * time.Millisecond
	defaultMaxBatch   = 64
	defaultMaxPending = 4096
	defaultTimeout    = time.Second
)

// Store claims keys and records the outcomes of their requests. Claims that arrive within a few milliseconds share
// a transaction.
type Store struct {
	o      Options
	logger hclog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	done   chan struct{}

	mu       sync.Mutex
	claims   []*pendingClaim
	outcomes []*outcome
	stopping bool
}

// pendingClaim is a claim that waits for its transaction. The result receives one value: nil if the key is claimed.
type pendingClaim struct {
	ctx    context.Context
	key    string
	digest [32]byte
	id     string
	result chan error
}

// outcome is the final record of a claim that waits to be written.
type outcome struct {
	key      string
	record   record
	attempts int
	// rejections counts the attempts that failed although other transactions had succeeded since the previous attempt. writtenBefore is
	// the number of transactions that had succeeded by then.
	rejections    int
	writtenBefore int
	// unconfirmed means that it is not known whether the claim itself was written.
	unconfirmed bool
}

// Claim is a key that this process has claimed.
type Claim struct {
	store  *Store
	key    string
	id     string
	digest [32]byte
	once   sync.Once
}

// NewStore returns a store and starts its background writer. The caller has to call [Store.Stop].
func NewStore(o Options) *Store {
	if o.BatchDelay <= 0 {
		o.BatchDelay = defaultBatchDelay
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.MaxPending <= 0 {
		o.MaxPending = defaultMaxPending
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Store{
		o: o, logger: o.Logger.Named("claim"), ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go s.writeBatches()
	return s
}

// Claim claims the key of a team for a request. The digest is that of the request's method, path and body. Claim
// fails with a [*TakenError], [ErrMismatch] or [ErrNotClaimed].
func (s *Store) Claim(ctx context.Context, team, key string, digest [32]byte) (*Claim, error) {
	r := &pendingClaim{ctx: ctx, key: rowKey(team, key), digest: digest, id: ident.New(), result: make(chan error, 1)}
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		return nil, fmt.Errorf("%w: store is stopping", ErrNotClaimed)
	}
	s.claims = append(s.claims, r)
	s.mu.Unlock()
	s.wakeWriter()
	select {
	case err := <-r.result:
		if err != nil {
			return nil, err
		}
		return s.newClaim(r), nil
	case <-ctx.Done():
		return nil, s.abandon(r)
	}
}

func (s *Store) newClaim(r *pendingClaim) *Claim {
	return &Claim{store: s, key: r.key, id: r.id, digest: r.digest}
}

// abandon cancels a claim whose caller no longer waits.
func (s *Store) abandon(r *pendingClaim) error {
	s.mu.Lock()
	queued := slices.Contains(s.claims, r)
	s.claims = slices.DeleteFunc(s.claims, func(other *pendingClaim) bool { return other == r })
	s.mu.Unlock()
	if !queued {
		// The transaction may have been sent already. If it takes effect, the claim is released afterwards.
		go func() {
			if err := <-r.result; err == nil {
				s.newClaim(r).Release()
			}
		}()
	}
	return fmt.Errorf("%w: %w", ErrNotClaimed, r.ctx.Err())
}

// Done records in the background that the request ran. The response is stored with it if it has at most [MaxResponse]
// bytes.
func (c *Claim) Done(response []byte) {
	r := record{State: stateDone}
	if len(response) <= MaxResponse {
		r.Response, r.Stored = slices.Clone(response), true
	}
	c.recordOutcome(r)
}

// Release releases the key in the background, so that it can be claimed again. It is only for a request that
// certainly did not run.
func (c *Claim) Release() { c.recordOutcome(record{State: stateReleased}) }

func (c *Claim) recordOutcome(r record) {
	c.once.Do(func() {
		r.ID, r.Owner, r.Digest = c.id, c.store.o.Owner, c.digest[:]
		c.store.queueOutcome(&outcome{key: c.key, record: r})
	})
}

// queueOutcome queues an outcome to be written. If the queue is full, it logs and drops the outcome.
func (s *Store) queueOutcome(o *outcome) {
	s.mu.Lock()
	full := len(s.outcomes) >= s.o.MaxPending
	if !full {
		s.outcomes = append(s.outcomes, o)
	}
	s.mu.Unlock()
	if full {
		s.logger.Warn("Dropped the outcome of a claim because too many are waiting.", "row", o.key, "state", o.record.State)
		return
	}
	s.wakeWriter()
}

// PendingOutcomes returns the number of outcomes that wait to be written.
func (s *Store) PendingOutcomes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.outcomes)
}

func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Stop rejects new claims, writes the waiting outcomes and stops the background writer. It fails if not all outcomes
// are written when ctx ends.
func (s *Store) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.wakeWriter()
	select {
	case <-s.done:
		s.cancel()
		return nil
	case <-ctx.Done():
	}
	s.cancel()
	<-s.done
	if n := s.PendingOutcomes(); n > 0 {
		return fmt.Errorf("%d outcomes of claims are not recorded: %w", n, ctx.Err())
	}
	return nil
}
