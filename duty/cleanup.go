package duty

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/provider"
)

const (
	// rowsPerPass bounds the rows of a kind that one pass looks at, with one read and one write of the store.
	// At one pass a second that keeps up with 500 claims a second.
	rowsPerPass = 500
	// cleanupInterval is the time between two rounds of what grows slowly.
	cleanupInterval = time.Hour
	// objectsPerRound bounds the objects that one round deletes.
	objectsPerRound = 500
)

// RowCleaner removes old rows of one kind, with a bounded number of calls.
type RowCleaner interface {
	Clean(ctx context.Context, now time.Time, limit int, guard func(provider.Txn) provider.Txn) (removed int, last bool, err error)
}

// ChangeCompactor moves old changes of the configuration to the object store.
type ChangeCompactor interface {
	Compact(ctx context.Context) (moved int, err error)
}

// CleanupOptions are the options of the clean-up.
type CleanupOptions struct {
	// Rows are cleaned in every pass.
	Rows    []RowCleaner
	Changes ChangeCompactor
	// Prune deletes up to limit objects of the burn history that no report needs.
	Prune  func(ctx context.Context, now time.Time, limit int) (int, error)
	Logger hclog.Logger
}

// Cleanup removes what is no longer needed, while the duty for housekeeping is held.
type Cleanup struct {
	options CleanupOptions
	logger  hclog.Logger
	// next is when the next round of changes and objects is due.
	next time.Time
}

var _ Controller = (*Cleanup)(nil)

// NewCleanup returns the clean-up.
func NewCleanup(o CleanupOptions) *Cleanup {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return &Cleanup{options: o, logger: o.Logger.Named("cleanup")}
}

// Pass implements [Controller].
func (c *Cleanup) Pass(ctx context.Context, leases Leases) error {
	fence, ok := leases.Holds(Housekeeping)
	if !ok {
		return nil
	}
	now := time.Now()
	guard := func(txn provider.Txn) provider.Txn {
		txn.Checks = append(txn.Checks, fence)
		return txn
	}
	for _, rows := range c.options.Rows {
		if _, _, err := rows.Clean(ctx, now, rowsPerPass, guard); err != nil {
			return quiet(err)
		}
	}
	if now.Before(c.next) {
		return nil
	}
	moved, errChanges := c.options.Changes.Compact(ctx)
	deleted, errObjects := c.options.Prune(ctx, now, objectsPerRound)
	if err := errors.Join(eris.Wrap(errChanges, "move old changes"), eris.Wrap(errObjects, "delete old burn history")); err != nil {
		return quiet(err)
	}
	c.next = now.Add(cleanupInterval)
	if moved+deleted > 0 {
		c.logger.Info("Old data removed.", "changes", moved, "objects", deleted)
	}
	return nil
}
