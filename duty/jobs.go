package duty

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/chivetiller/chivetiller/job"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
)

const (
	// calls is the number of calls to workers at a time.
	calls = 16
	// cancelsPerPass bounds the stops of cancelled tasks in one pass, so that a wave of cancellations
	// does not delay the next placements. At two passes a second that is 400 stops a second.
	cancelsPerPass = 200
	// checkpointLimit bounds a checkpoint for an urgent job, which has to start within 2.1 s.
	checkpointLimit = 500 * time.Millisecond
	// retention is how long the rows of ended jobs are kept.
	retention = time.Hour
	// saveInterval is the time between two writes of what was learned of the kinds.
	saveInterval = 30 * time.Second
)

// JobsOptions are the options of the job duties.
type JobsOptions struct {
	Table     provider.Table
	Instances provider.Instances
	Tasks     provider.Tasks
	// Objects receive the jobs that ended an hour ago. Without it they are only removed.
	Objects provider.Objects
	// DataCentres returns the data centres of the fleet.
	DataCentres func() []string
	// Limits may be nil, which means that teams have no limits.
	Limits job.Limits
	// LeaseDuration is how long a worker goes on without a renewal; 30 s if 0.
	LeaseDuration time.Duration
	Logger        hclog.Logger
}

// Jobs runs the jobs of the data centres whose duties are held.
type Jobs struct {
	options JobsOptions
	rows    *pool.Store
	reports *pool.Reports

	// mu guards centres.
	mu      sync.Mutex
	centres map[string]*centre
}

var _ Controller = (*Jobs)(nil)

// centre is the state of one data centre. Its memory can be lost: rows and reports bring it back.
type centre struct {
	options JobsOptions
	name    string
	store   *job.Store
	learner *job.Learner
	health  *job.Health
	// token is the version of the fence row, which grows with each takeover.
	token   uint64
	renewed time.Time
	started map[string]bool
	// limited holds the teams that were at their limits, and until when no job of theirs is tried.
	limited map[string]time.Time
	wanted  map[string]bool
	// learned counts the runs since what they taught was saved.
	learned int
	saved   time.Time
}

// NewJobs returns the job duties.
func NewJobs(o JobsOptions) *Jobs {
	if o.LeaseDuration <= 0 {
		o.LeaseDuration = 30 * time.Second
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("jobs")
	return &Jobs{options: o, rows: pool.NewStore(o.Table), reports: pool.NewReports(o.Instances), centres: make(map[string]*centre)}
}

// Pass implements [Controller].
func (d *Jobs) Pass(ctx context.Context, leases Leases) error {
	now := time.Now()
	var held []*centre
	for _, name := range d.options.DataCentres() {
		if fence, ok := leases.Holds(JobsDuty(name)); ok {
			c := d.centre(name)
			c.hold(fence)
			held = append(held, c)
		}
	}
	if len(held) == 0 {
		return nil
	}
	if err := d.reports.Refresh(ctx); err != nil {
		return quiet(err)
	}
	rows, err := d.rows.List(ctx)
	if err != nil {
		return quiet(err)
	}
	var errs []error
	for _, c := range held {
		errs = append(errs, quiet(c.pass(ctx, leases, d.workers(now, c, rows))))
	}
	return errors.Join(errs...)
}

// Quarantined returns the workers of a data centre that get no jobs because they fail many kinds.
func (d *Jobs) Quarantined(name string) []string {
	return d.centre(name).health.List(time.Now())
}

func (d *Jobs) centre(name string) *centre {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.centres[name]
	if !ok {
		c = &centre{
			options: d.options, name: name, store: job.NewStore(d.options.Table, d.options.Limits),
			health: job.NewHealth(), started: make(map[string]bool), limited: make(map[string]time.Time), wanted: make(map[string]bool),
		}
		d.centres[name] = c
	}
	return c
}

// worker is a worker with what the rows and reports say of it.
type worker struct {
	job.Worker
	// vacate means that a planned stop waits for the tasks of the worker.
	vacate bool
	// missing means that the platform no longer lists the worker.
	missing bool
}

func (d *Jobs) workers(now time.Time, c *centre, rows []pool.Stored) map[string]worker {
	workers := make(map[string]worker)
	for _, row := range rows {
		if row.DataCentre != c.name {
			continue
		}
		report, known := d.reports.Get(row.ID)
		missing := d.reports.Missing(row.ID)
		phase := row.Phase()
		workers[row.ID] = worker{
			Worker: job.Worker{
				ID: row.ID, Rack: row.Rack, Size: job.Size{Cores: report.Cores, Memory: report.Memory, Accelerators: report.Accelerators},
				Unschedulable: row.Down() || !known || report.State != provider.InstanceLive || missing || c.health.Quarantined(now, row.ID),
			},
			vacate:  phase == pool.StateDraining || phase == pool.StateMoving,
			missing: missing,
		}
	}
	return workers
}

// hold notes a new term of the duty. Runs that an earlier holder started are started again: that has no
// effect on those that began, and makes the platform refuse the calls of the earlier holder.
func (c *centre) hold(fence provider.Check) {
	if c.token != fence.Version {
		c.token = fence.Version
		c.renewed = time.Time{}
		// The holder in between has learned more and saved it.
		c.learner = nil
		clear(c.started)
	}
}

// pass does one round for the data centre. Renewals come first, since a lease that runs out ends work;
// cancellations come after the placements, so that many of them delay none.
func (c *centre) pass(ctx context.Context, leases Leases, workers map[string]worker) error {
	p := &jobsPass{centre: c, leases: leases, now: time.Now(), workers: workers}
	if err := p.read(ctx); err != nil {
		return err
	}
	p.renew(ctx)
	for _, step := range []func(context.Context) error{p.finish, p.place, p.cancel, p.vacate, p.cleanUp} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// each calls f for every job, a bounded number at a time, and returns those for which it succeeded.
func each(ctx context.Context, jobs []job.Stored, f func(context.Context, job.Stored) error) []job.Stored {
	var mu sync.Mutex
	var done []job.Stored
	var group errgroup.Group
	group.SetLimit(calls)
	for _, j := range jobs {
		group.Go(func() error {
			if f(ctx, j) == nil {
				mu.Lock()
				defer mu.Unlock()
				done = append(done, j)
			}
			return nil
		})
	}
	_ = group.Wait()
	return done
}
