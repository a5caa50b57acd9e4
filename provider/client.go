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
	// Writes and Reads are the calls per second that this process may send. The defaults are 42 and 280, which divide
	// 300 writes and 2000 reads per second among 7 entry instances.
	Writes, Reads float64
	// Shares are the fractions of the budget that are reserved for users. Their sum is at most 1. The default is [DefaultShares].
	Shares map[User]float64
	// MaxWait is how long a call waits for budget. The default is 100 ms.
	MaxWait time.Duration
	// AttemptTimeout is the timeout of one attempt. The default is 500 ms.
	AttemptTimeout time.Duration
	// CallTimeout is the timeout of a call with all its attempts. The default is 2 s.
	CallTimeout time.Duration
	// OperationRetention is how long the row of an operation is kept after its outcome is known, so that a delayed
	// duplicate of the transaction conflicts with it. The default is 30 s.
	OperationRetention time.Duration
	// SlowAfter is the mean latency from which the platform counts as slow. The default is 100 ms.
	SlowAfter time.Duration
	// DownAfter is the time without a response after which the platform counts as down. The default is 3 s.
	DownAfter time.Duration
}

const (
	defaultWrites             = 42
	defaultReads              = 280
	defaultMaxWait            = 100 * time.Millisecond
	defaultAttemptTimeout     = 500 * time.Millisecond
	defaultCallTimeout        = 2 * time.Second
	defaultOperationRetention = 30 * time.Second
	defaultSlowAfter          = 100 * time.Millisecond
	defaultDownAfter          = 3 * time.Second
	minRetryPause             = 20 * time.Millisecond
	maxRetryPause             = 500 * time.Millisecond
)

// Client sends calls to the platform within a budget and retries them. A transaction that is retried takes effect once.
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
	setDefault(&o.Writes, defaultWrites)
	setDefault(&o.Reads, defaultReads)
	setDefault(&o.MaxWait, defaultMaxWait)
	setDefault(&o.AttemptTimeout, defaultAttemptTimeout)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.OperationRetention, defaultOperationRetention)
	setDefault(&o.SlowAfter, defaultSlowAfter)
	setDefault(&o.DownAfter, defaultDownAfter)
	if o.Shares == nil {
		o.Shares = DefaultShares()
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	c := &Client{o: o, logger: o.Logger.Named("platform"), operations: &operations{retention: o.OperationRetention}}
	c.budget = newBudget(o)
	c.health = newHealth(o, c.logger)
	c.metrics = newMetrics(c)
	return c
}

func setDefault[T float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// State returns the state of the platform as this client observes it.
func (c *Client) State() State { return c.health.state(time.Now()) }

// Shed reports whether calls of the user are refused at present because the platform is slow or down.
func (c *Client) Shed(user User) bool { return c.health.shed(user, time.Now()) }

// For returns the table for one user. Calls count against the budget of the user.
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

// Commit implements [Table]. Each write needs a check of its row, because otherwise a late duplicate of the transaction
// could overwrite a newer row. An empty OperationID is replaced by a new one.
func (t userTable) Commit(ctx context.Context, txn Txn) error {
	if err := validateChecks(txn); err != nil {
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
		// An earlier attempt may have taken effect and caused the conflict.
		rows, readErr := c.o.Table.Read(ctx, operationKey(txn.OperationID))
		switch {
		case readErr != nil:
			return fmt.Errorf("%w: operation row cannot be read: %s", ErrUnknownOutcome, readErr.Error())
		case len(rows) > 0:
			return nil
		}
		return err
	})
	c.operations.recordOutcome(txn.OperationID, deleted, err, time.Now())
	return err
}

// validateChecks fails if a row is written without a check, or if an operation row is written.
func validateChecks(txn Txn) error {
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

// kind is the kind of a call.
type kind int

const (
	read kind = iota
	write
)

func (k kind) String() string { return [...]string{"read", "write"}[k] }

// call runs an operation within the budget of the user and retries it until its outcome is known or the call timeout has
// expired.
func (c *Client) call(ctx context.Context, user User, k kind, operation func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	err := c.callWithRetries(ctx, user, k, operation)
	c.metrics.count(user, k, err)
	return err
}

func (c *Client) callWithRetries(ctx context.Context, user User, k kind, operation func(context.Context) error) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minRetryPause, maxRetryPause
	unknown := false
	// finish returns the last error, or ErrUnknownOutcome if the outcome of any attempt is unknown. In that case it does not
	// wrap the last error, because an unknown outcome must not also match an error that rules out an effect.
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
		if err := c.budget.acquire(ctx, user, k); err != nil {
			return finish(err)
		}
		err := c.attempt(ctx, k, operation)
		switch {
		case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrNotFound):
			// The platform has responded. After an unknown outcome, the operation row has been read.
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

// attempt runs the operation once. Its error wraps exactly one of the errors of this package.
func (c *Client) attempt(ctx context.Context, k kind, operation func(context.Context) error) error {
	limited, cancel := context.WithTimeout(ctx, c.o.AttemptTimeout)
	defer cancel()
	begin := time.Now()
	err := operation(limited)
	switch {
	case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrNotFound):
		c.health.recordResponse(time.Now(), time.Since(begin))
		return err
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrUnknownOutcome):
	case k == read:
		err = fmt.Errorf("%w: %w", ErrUnavailable, err)
	default:
		err = fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	// A call that was cancelled by its caller does not show that the platform is slow or down.
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.health.recordFailure(time.Now(), time.Since(begin))
	}
	return err
}
