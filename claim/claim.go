// Package claim makes sure that a non-idempotent request runs at most once. Before such a request is
// sent to an endpoint, its key is claimed in the platform's table.
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
	// ErrMismatch means that the key was claimed by a request with another method, path or body.
	ErrMismatch = errors.New("key was used for another request")
	// ErrNotClaimed means that the claim could not be written or confirmed. The request must not run.
	ErrNotClaimed = errors.New("request could not be claimed")
)

// TakenError is the error of a claim whose key is claimed already.
type TakenError struct {
	// Done reports whether the first request is known to have run. Otherwise its outcome is unknown.
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
	// BatchDelay is how long the first claim of a batch waits for others. The default is 3 ms.
	BatchDelay time.Duration
	// MaxBatch is the largest number of rows in a transaction. The default is 64.
	MaxBatch int
	// MaxPending bounds the outcomes that wait to be written. Beyond it, responses are not stored and
	// their claims stay in the state claimed. The default is 4096.
	MaxPending int
	// Timeout bounds one transaction. The default is 1 s.
	Timeout time.Duration
}

const (
	defaultWindow     = 3 * time.Millisecond
	defaultMaxBatch   = 64
	defaultMaxPending = 4096
	defaultTimeout    = time.Second
)

// Store claims keys. Claims that arrive within a few milliseconds share a transaction.
type Store struct {
	o      Options
	logger hclog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	done   chan struct{}

	mu       sync.Mutex
	claims   []*request
	outcomes []*outcome
	stopping bool
}

// request is a claim that waits for its transaction.
type request struct {
	ctx    context.Context
	key    string
	digest [32]byte
	id     string
	result chan error
}

// outcome is the end of a claim that waits to be written.
type outcome struct {
	key    string
	record record
	tries  int
	// resolve is set if it is not known whether the claim was written.
	resolve bool
}

// Claim is a key that this process has claimed.
type Claim struct {
	store *Store
	key   string
	id    string
	sum   [32]byte
	once  sync.Once
}

// NewStore starts a store.
func NewStore(o Options) *Store {
	if o.BatchDelay <= 0 {
		o.BatchDelay = defaultWindow
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
	go s.run()
	return s
}

// Claim claims the key of a team for a request with the digest of method, path and body. It fails with
// a [*TakenError], [ErrMismatch] or [ErrNotClaimed].
func (s *Store) Claim(ctx context.Context, team, key string, digest [32]byte) (*Claim, error) {
	r := &request{ctx: ctx, key: rowKey(team, key), digest: digest, id: ident.New(), result: make(chan error, 1)}
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		return nil, fmt.Errorf("%w: store is stopping", ErrNotClaimed)
	}
	s.claims = append(s.claims, r)
	s.mu.Unlock()
	s.notify()
	select {
	case err := <-r.result:
		if err != nil {
			return nil, err
		}
		return s.claimed(r), nil
	case <-ctx.Done():
		return nil, s.abandon(r)
	}
}

func (s *Store) claimed(r *request) *Claim {
	return &Claim{store: s, key: r.key, id: r.id, sum: r.digest}
}

// abandon gives up a claim whose caller no longer waits.
func (s *Store) abandon(r *request) error {
	s.mu.Lock()
	queued := slices.Contains(s.claims, r)
	s.claims = slices.DeleteFunc(s.claims, func(other *request) bool { return other == r })
	s.mu.Unlock()
	if !queued {
		// The transaction is on its way. Its effect is undone after its outcome.
		go func() {
			if err := <-r.result; err == nil {
				s.claimed(r).Release()
			}
		}()
	}
	return fmt.Errorf("%w: %w", ErrNotClaimed, r.ctx.Err())
}

// Done records that the request ran. Its response is stored in the background if it is at most [MaxResponse] long.
func (c *Claim) Done(response []byte) {
	r := record{State: stateDone}
	if len(response) <= MaxResponse {
		r.Response, r.Stored = slices.Clone(response), true
	}
	c.finish(r)
}

// Release gives the key back in the background, after a request that certainly did not run.
func (c *Claim) Release() { c.finish(record{State: stateReleased}) }

func (c *Claim) finish(r record) {
	c.once.Do(func() {
		r.ID, r.Owner, r.Digest = c.id, c.store.o.Owner, c.sum[:]
		c.store.settle(&outcome{key: c.key, record: r})
	})
}

// settle queues an outcome to be written.
func (s *Store) settle(o *outcome) {
	s.mu.Lock()
	full := len(s.outcomes) >= s.o.MaxPending
	if !full {
		s.outcomes = append(s.outcomes, o)
	}
	s.mu.Unlock()
	if full {
		s.logger.Warn("Outcome of a claim is not recorded, too many are waiting.", "row", o.key, "state", o.record.State)
		return
	}
	s.notify()
}

// Pending returns the number of outcomes that wait to be written.
func (s *Store) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.outcomes)
}

func (s *Store) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Stop refuses new claims, writes the outcomes that wait, and ends. It fails if outcomes are left when ctx ends.
func (s *Store) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.notify()
	select {
	case <-s.done:
		s.cancel()
		return nil
	case <-ctx.Done():
	}
	s.cancel()
	<-s.done
	if n := s.Pending(); n > 0 {
		return fmt.Errorf("%d outcomes of claims are not recorded: %w", n, ctx.Err())
	}
	return nil
}
