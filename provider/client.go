package provider

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/ident"
)

// ClientOptions configure a client. Fields that are 0 have the defaults stated.
type ClientOptions struct {
	Table  Table
	Logger hclog.Logger
	// Writes and Reads are the calls a second that this process may send. The defaults are 42 and 280:
	// 300 writes and 2000 reads a second over 7 entry instances.
	Writes, Reads float64
	// Shares are the parts of the budget reserved for users, with a sum of at most 1. The default is [DefaultShares].
	Shares map[User]float64
	// MaxWait is how long a call waits for its budget. The default is 100 ms.
	MaxWait time.Duration
	// AttemptTimeout bounds one attempt. The default is 500 ms.
	AttemptTimeout time.Duration
	// CallTimeout bounds a call with all its attempts. The default is 2 s.
	CallTimeout time.Duration
	// OperationRetention is how long an operation row is kept after its outcome is known, so that a delayed
	// duplicate finds it. The default is 30 s.
	OperationRetention time.Duration
	// SlowAfter is the mean latency from which the store counts as slow. The default is 100 ms.
	SlowAfter time.Duration
	// DownAfter is the time without a response from which the store counts as down. The default is 3 s.
	DownAfter time.Duration
}

const (
	defaultWrites      = 42
	defaultReads       = 280
	defaultMaxWait     = 100 * time.Millisecond
	defaultAttempt     = 500 * time.Millisecond
	defaultDeadline    = 2 * time.Second
	defaultSettleAfter = 30 * time.Second
	defaultSlowAfter   = 100 * time.Millisecond
	defaultDownAfter   = 3 * time.Second
	firstPause         = 20 * time.Millisecond
	longestPause       = 500 * time.Millisecond
)

// Client sends calls to the store within a budget, and repeats transactions without doing them twice.
type Client struct {
	o          ClientOptions
	logger     hclog.Logger
	budget     *budget
	health     *health
	operations *operations
	metrics    *metrics
}

// NewClient returns a client of a table.
func NewClient(o ClientOptions) *Client {
	set(&o.Writes, defaultWrites)
	set(&o.Reads, defaultReads)
	set(&o.MaxWait, defaultMaxWait)
	set(&o.AttemptTimeout, defaultAttempt)
	set(&o.CallTimeout, defaultDeadline)
	set(&o.OperationRetention, defaultSettleAfter)
	set(&o.SlowAfter, defaultSlowAfter)
	set(&o.DownAfter, defaultDownAfter)
	if o.Shares == nil {
		o.Shares = DefaultShares()
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	c := &Client{o: o, logger: o.Logger.Named("platform"), operations: &operations{settleAfter: o.OperationRetention}}
	c.budget = newBudget(o)
	c.health = newHealth(o, c.logger)
	c.metrics = newMetrics(c)
	return c
}

func set[T float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// State returns the state of the store as this client meets it.
func (c *Client) State() State { return c.health.state(time.Now()) }

// Shed reports whether calls of the user are refused at present because the store is slow or down.
func (c *Client) Shed(user User) bool { return c.health.shed(user, time.Now()) }

// For returns the table as one user calls it.
func (c *Client) For(user User) Table { return userTable{client: c, user: user} }

// userTable is the table with the budget of one user.
type userTable struct {
	client *Client
	user   User
}

// Read implements [Table].
func (t userTable) Read(ctx context.Context, keys ...string) ([]Row, error) {
	var rows []Row
	err := t.client.call(ctx, t.user, read, func(ctx context.Context) error {
		var err error
		rows, err = t.client.o.Table.Read(ctx, keys...)
		return err
	})
	return rows, err
}

// Scan implements [Table].
func (t userTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	err := t.client.call(ctx, t.user, read, func(ctx context.Context) error {
		var err error
		rows, err = t.client.o.Table.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// Commit implements [Table]. Each write needs a check of its row, since without one a late duplicate of
// the transaction could overwrite a newer row. An empty OperationID is replaced by a new one.
func (t userTable) Commit(ctx context.Context, txn Txn) error {
	if err := checked(txn); err != nil {
		return err
	}
	if txn.OperationID == "" {
		txn.OperationID = ident.New()
	}
	c := t.client
	full, deleted := c.operations.extend(txn, time.Now())
	err := c.call(ctx, t.user, write, func(ctx context.Context) error {
		err := c.o.Table.Commit(ctx, full)
		if !errors.Is(err, ErrConflict) {
			return err
		}
		// An earlier attempt may have taken effect and be the reason of the conflict.
		rows, readErr := c.o.Table.Read(ctx, operationKey(txn.OperationID))
		switch {
		case readErr != nil:
			return fmt.Errorf("%w: operation row cannot be read: %s", ErrUnknownOutcome, readErr.Error())
		case len(rows) > 0:
			return nil
		}
		return err
	})
	c.operations.finish(txn.OperationID, deleted, err, time.Now())
	return err
}

func checked(txn Txn) error {
	for _, w := range txn.Writes {
		if !slices.ContainsFunc(txn.Checks, func(c Check) bool { return c.Key == w.Key }) {
			return fmt.Errorf("transaction writes row %q without a check of its version", w.Key)
		}
		if strings.HasPrefix(w.Key, operationPrefix) && !w.Delete {
			return fmt.Errorf("transaction writes row %q, which is reserved for operations", w.Key)
		}
	}
	return nil
}

// kind tells reads from writes.
type kind int

const (
	read kind = iota
	write
)

func (k kind) String() string { return [...]string{"read", "write"}[k] }

// call runs an operation within the budget of the user and repeats it until its outcome is known or the deadline has passed.
func (c *Client) call(ctx context.Context, user User, k kind, operation func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	err := c.repeat(ctx, user, k, operation)
	c.metrics.count(user, k, err)
	return err
}

func (c *Client) repeat(ctx context.Context, user User, k kind, operation func(context.Context) error) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longestPause
	unknown := false
	// finish returns the last error, or that the outcome is unknown if that of any attempt is. The last
	// error is not wrapped then, because an unknown outcome must not also look like one without effect.
	finish := func(err error) error {
		if unknown && !errors.Is(err, ErrUnknownOutcome) {
			return fmt.Errorf("%w: %s", ErrUnknownOutcome, err.Error())
		}
		return err
	}
	for {
		if c.Shed(user) {
			return finish(fmt.Errorf("%w: store is %v", ErrOverBudget, c.State()))
		}
		if err := c.budget.wait(ctx, user, k); err != nil {
			return finish(err)
		}
		err := c.attempt(ctx, k, operation)
		switch {
		case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrNotFound):
			// The store has responded. After an unknown outcome the operation row has been looked up.
			return err
		case errors.Is(err, ErrUnknownOutcome):
			unknown = true
		}
		timer := time.NewTimer(pause.NextBackOff())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return finish(err)
		}
	}
}

// attempt runs the operation once. Its error is exactly one of those of this package.
func (c *Client) attempt(ctx context.Context, k kind, operation func(context.Context) error) error {
	limited, cancel := context.WithTimeout(ctx, c.o.AttemptTimeout)
	defer cancel()
	begin := time.Now()
	err := operation(limited)
	switch {
	case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrNotFound):
		c.health.responded(time.Now(), time.Since(begin))
		return err
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrUnknownOutcome):
	case k == read:
		err = fmt.Errorf("%w: %w", ErrUnavailable, err)
	default:
		err = fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	// A call that its own caller gave up says nothing about the store.
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.health.failed(time.Now(), time.Since(begin))
	}
	return err
}
