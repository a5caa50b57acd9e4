// Package duty runs the duties of an entry instance. A duty is a control loop that one entry instance at a
// time runs, under a lease; one run of the loop is a pass. Every transaction of a duty carries a check of the
// row of the lease's fencing token and fails once another process has acquired the lease.
//
// # Usage
//
//	fleet := duty.NewFleet(duty.FleetOptions{Table: table, Instances: instances, Pools: pools, Logger: logger, Announce: leaving})
//	r := duty.NewRunner(duty.Options{Leases: leases, Interval: time.Second, Logger: logger}, fleet)
//	if err := r.Start(ctx); err != nil { ... }
//	defer r.Stop(ctx)
package duty

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/logging"
	"github.com/chivetiller/chivetiller/lease"
	"github.com/chivetiller/chivetiller/provider"
)

// Shards is the number of duties over which the pools are spread.
const Shards = 32

// PoolDuty returns the name of the duty that controls a pool.
func PoolDuty(name string) string { return ShardDuty(int(xxhash.Sum64String(name) % Shards)) }

// ShardDuty returns the name of the duty for shard i of the pools, from 0 to Shards-1.
func ShardDuty(i int) string { return fmt.Sprintf("pools/%02d", i) }

// JobsDuty returns the name of the duty that places jobs in a data centre.
func JobsDuty(dataCentre string) string { return "jobs/" + dataCentre }

// Housekeeping is the name of the duty that adopts instances, ends waves and removes old rows.
const Housekeeping = "housekeeping"

// Names returns the names of all duties of a fleet with these data centres.
func Names(dataCentres []string) []string {
	names := make([]string, 0, Shards+len(dataCentres)+1)
	for i := range Shards {
		names = append(names, ShardDuty(i))
	}
	for _, dc := range dataCentres {
		names = append(names, JobsDuty(dc))
	}
	return append(names, Housekeeping)
}

// Leases reports which duties this entry instance holds.
type Leases interface {
	// Holds returns the check to add to every transaction of the duty. It returns false if the lease
	// is not held, or may have expired while the process was paused.
	Holds(duty string) (provider.Check, bool)
}

// Controller runs the passes of one kind of duty.
type Controller interface {
	// Pass runs one pass over those duties of its kind that are held, without waiting for effects to show. It is
	// called again after the interval, also after an error: each pass reads everything again.
	Pass(ctx context.Context, leases Leases) error
}

// Options configures a runner.
type Options struct {
	Leases Leases
	// Interval is the time between two passes; 1 s if 0.
	Interval time.Duration
	// Timeout limits one pass; 10 s if 0.
	Timeout time.Duration
	Logger  hclog.Logger
}

// Runner runs the passes of each controller at an interval. Each controller has its own goroutine, so that
// a slow one does not delay the others.
type Runner struct {
	options     Options
	controllers []Controller
	cancel      context.CancelFunc
	wait        sync.WaitGroup
}

// NewRunner returns a runner that is not started.
func NewRunner(o Options, controllers ...Controller) *Runner {
	if o.Interval <= 0 {
		o.Interval = time.Second
	}
	if o.Timeout <= 0 {
		o.Timeout = 10 * time.Second
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("duty")
	return &Runner{options: o, controllers: controllers}
}

// Start starts the passes and returns nil. They run until Stop is called, also if the context ends.
func (r *Runner) Start(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	for _, c := range r.controllers {
		r.wait.Go(func() { r.run(ctx, c) })
	}
	return nil
}

// Stop cancels the current passes, waits for them and returns nil.
func (r *Runner) Stop(context.Context) error {
	if r.cancel != nil {
		r.cancel()
	}
	r.wait.Wait()
	return nil
}

func (r *Runner) run(ctx context.Context, c Controller) {
	ticker := time.NewTicker(r.options.Interval)
	defer ticker.Stop()
	for {
		if err := r.pass(ctx, c); err != nil && ctx.Err() == nil {
			r.options.Logger.Warn("Pass failed and will be repeated.", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pass runs one pass. A panic ends the pass and not the process, which also serves callers: the next holder of the duty would read the
// same rows.
func (r *Runner) pass(ctx context.Context, c Controller) (err error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	defer func() {
		if p := recover(); p != nil {
			r.options.Logger.Error("Pass has panicked.", "panic", p, "stack", string(debug.Stack()))
			err = eris.Errorf("panic: %v", p)
		}
	}()
	return c.Pass(ctx, r.options.Leases)
}

// unreadableLogInterval is the time between two log lines about the same row.
const unreadableLogInterval = 10 * time.Second

// unreadableRows notes the rows that cannot be read. A duty leaves them out, since it would not do anything for the other rows otherwise.
type unreadableRows struct {
	logger  hclog.Logger
	limiter *logging.Limiter
}

func newUnreadableRows(logger hclog.Logger) *unreadableRows {
	return &unreadableRows{logger: logger, limiter: logging.NewLimiter(unreadableLogInterval)}
}

// note returns a function that logs a row of a kind and adds its ID to a list.
func (u *unreadableRows) note(kind string, ids *[]string) func(id string, err error) {
	return func(id string, err error) {
		*ids = append(*ids, id)
		if dropped, ok := u.limiter.Allow(kind + " " + id); ok {
			u.logger.Error("Row cannot be read; it is left out.", "kind", kind, "id", id, "error", err, "dropped", dropped)
		}
	}
}

// isTransient reports whether an error affects only the current step: another process changed the row
// first, or the platform did not answer. The next pass reads everything again.
func isTransient(err error) bool {
	return errors.Is(err, provider.ErrConflict) || errors.Is(err, provider.ErrUnavailable) ||
		errors.Is(err, provider.ErrUnknownOutcome) || errors.Is(err, provider.ErrOverBudget) ||
		errors.Is(err, provider.ErrNotFound)
}

// managerLeases implements [Leases] on a lease manager.
type managerLeases struct{ manager *lease.Manager }

// LeasesFromManager returns the leases of a manager.
func LeasesFromManager(m *lease.Manager) Leases { return managerLeases{manager: m} }

// Holds implements [Leases].
func (m managerLeases) Holds(duty string) (provider.Check, bool) {
	held, ok := m.manager.Held(duty)
	if !ok {
		return provider.Check{}, false
	}
	return held.Guard(provider.Txn{}).Checks[0], true
}
