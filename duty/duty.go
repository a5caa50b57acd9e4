// Package duty runs the control duties of an entry instance. A duty is held under a lease by one entry
// instance at a time; every transaction of a duty carries the check of the lease's fence row.
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
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/lease"
	"github.com/chivetiller/chivetiller/provider"
)

// Shards is the number of duties over which the pools are spread.
const Shards = 32

// PoolDuty returns the duty that a pool belongs to.
func PoolDuty(name string) string { return ShardDuty(int(xxhash.Sum64String(name) % Shards)) }

// ShardDuty returns the name of a duty for pools.
func ShardDuty(i int) string { return fmt.Sprintf("pools/%02d", i) }

// JobsDuty returns the name of the duty that places jobs in a data centre.
func JobsDuty(dataCentre string) string { return "jobs/" + dataCentre }

// Housekeeping is the duty that adopts instances, ends waves and removes old rows.
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

// Leases says which duties this entry instance holds.
type Leases interface {
	// Holds returns the check to add to every transaction of the duty. It reports false if the
	// lease is not held, or may have run out while the process was paused.
	Holds(duty string) (provider.Check, bool)
}

// Controller do one pass over those of their duties that are held.
type Controller interface {
	// Pass does what can be done now and returns. It is called again after the interval.
	Pass(ctx context.Context, leases Leases) error
}

// Options are the options of a runner.
type Options struct {
	Leases Leases
	// Interval is the time between two passes; 1 s if 0.
	Interval time.Duration
	// Timeout limits one pass; 10 s if 0.
	Timeout time.Duration
	Logger  hclog.Logger
}

// Runner calls the passes of duties, each kind in a goroutine of its own, so that a slow one does not
// delay the others.
type Runner struct {
	options Options
	duties  []Controller
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// NewRunner returns a runner that is not started.
func NewRunner(o Options, duties ...Controller) *Runner {
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
	return &Runner{options: o, duties: duties}
}

// Start begins the passes. They end with Stop, not with the context.
func (r *Runner) Start(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	for _, d := range r.duties {
		r.wait.Go(func() { r.run(ctx, d) })
	}
	return nil
}

// Stop ends the passes and waits for the current ones.
func (r *Runner) Stop(context.Context) error {
	if r.cancel != nil {
		r.cancel()
	}
	r.wait.Wait()
	return nil
}

func (r *Runner) run(ctx context.Context, d Controller) {
	ticker := time.NewTicker(r.options.Interval)
	defer ticker.Stop()
	for {
		passCtx, cancel := context.WithTimeout(ctx, r.options.Timeout)
		err := d.Pass(passCtx, r.options.Leases)
		cancel()
		if err != nil && ctx.Err() == nil {
			r.options.Logger.Warn("Pass failed, will be repeated.", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// passing reports whether an error ends only the current step: another process was first, or the
// platform did not answer. The next pass reads everything again.
func passing(err error) bool {
	return errors.Is(err, provider.ErrConflict) || errors.Is(err, provider.ErrUnavailable) ||
		errors.Is(err, provider.ErrUnknownOutcome) || errors.Is(err, provider.ErrOverBudget) ||
		errors.Is(err, provider.ErrNotFound)
}

// managed are leases of a manager.
type managed struct{ manager *lease.Manager }

// LeasesFromManager returns the leases of a manager.
func LeasesFromManager(m *lease.Manager) Leases { return managed{manager: m} }

// Holds implements [Leases].
func (m managed) Holds(duty string) (provider.Check, bool) {
	held, ok := m.manager.Held(duty)
	if !ok {
		return provider.Check{}, false
	}
	return held.Guard(provider.Txn{}).Checks[0], true
}
