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
	// rowsPerPass limits the rows of a kind that one pass examines, with one read and one write of the
	// store. At one pass a second this keeps up with 500 claims a second.
	rowsPerPass = 500
	// cleanupInterval is the time between two clean-ups of configuration changes and burn history, which
	// grow slowly.
	cleanupInterval = time.Hour
	// objectsPerCleanup limits the objects that one clean-up deletes.
	objectsPerCleanup = 500
)

// RowCleaner removes old rows of one kind.
type RowCleaner interface {
	// Clean examines up to limit rows in a bounded number of calls. It passes each transaction through guard,
	// which adds the check of the duty. It returns the number of rows removed, and whether it has reached the
	// last row.
	Clean(ctx context.Context, now time.Time, limit int, guard func(provider.Txn) provider.Txn) (removed int, last bool, err error)
}

// ChangeCompactor moves old changes of the configuration to the object store.
type ChangeCompactor interface {
	// Compact returns the number of changes moved.
	Compact(ctx context.Context) (moved int, err error)
}

// CleanupOptions configures the clean-up.
type CleanupOptions struct {
	// Rows are cleaned in every pass.
	Rows    []RowCleaner
	Changes ChangeCompactor
	// Prune deletes up to limit objects of the burn history that no report needs and returns their number.
	Prune  func(ctx context.Context, now time.Time, limit int) (int, error)
	Logger hclog.Logger
}

// Cleanup is the controller that removes data that is no longer needed, while the housekeeping duty is held.
type Cleanup struct {
	options CleanupOptions
	logger  hclog.Logger
	// nextCleanup is when configuration changes and objects are cleaned up next.
	nextCleanup time.Time
}

var _ Controller = (*Cleanup)(nil)

// NewCleanup returns a Cleanup controller.
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
			return ignoreTransient(err)
		}
	}
	if now.Before(c.nextCleanup) {
		return nil
	}
	moved, errChanges := c.options.Changes.Compact(ctx)
	deleted, errObjects := c.options.Prune(ctx, now, objectsPerCleanup)
	if err := errors.Join(eris.Wrap(errChanges, "move old changes"), eris.Wrap(errObjects, "delete old burn history")); err != nil {
		return ignoreTransient(err)
	}
	c.nextCleanup = now.Add(cleanupInterval)
	if moved+deleted > 0 {
		c.logger.Info("Old data removed.", "changes", moved, "objects", deleted)
	}
	return nil
}
