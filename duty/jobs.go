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
	// maxConcurrentCalls limits the calls to workers that one pass makes at a time.
	maxConcurrentCalls = 16
	// cancelsPerPass limits the tasks that one pass stops for cancelled jobs, so that many cancellations do not
	// delay the next placements. At two passes a second, 400 tasks a second are stopped.
	cancelsPerPass = 200
	// checkpointTimeout limits the checkpoint of a task that is stopped for an urgent job, because the
	// requirement for urgent work is a start within 2.1 s.
	checkpointTimeout = 500 * time.Millisecond
	// endedJobRetention is how long the rows of ended jobs stay in the table.
	endedJobRetention = time.Hour
	// kindsSaveInterval is the time between two writes of the learned sizes and run times of job kinds.
	kindsSaveInterval = 30 * time.Second
)

// JobsOptions configures the job duties.
type JobsOptions struct {
	Table     provider.Table
	Instances provider.Instances
	Tasks     provider.Tasks
	// Objects stores the jobs that are removed from the table, an hour after their end. If nil, they are only
	// removed.
	Objects provider.Objects
	// DataCentres returns the data centres of the fleet.
	DataCentres func() []string
	// Limits are the upper limits of the teams; none if nil.
	Limits job.Limits
	// LeaseDuration is how long a worker keeps running a task without a renewal of its lease; 30 s if 0.
	LeaseDuration time.Duration
	Logger        hclog.Logger
}

// Jobs is the controller that places and supervises the jobs of the data centres whose duties are held.
type Jobs struct {
	options JobsOptions
	rows    *pool.Store
	reports *pool.Reports
	// unreadable notes the rows of instances and jobs that cannot be read.
	unreadable *unreadableRows

	// mu guards dataCentres.
	mu          sync.Mutex
	dataCentres map[string]*dataCentreJobs
}

var _ Controller = (*Jobs)(nil)

// dataCentreJobs is the state of the job duty of one data centre. It need not survive a restart, because rows and
// reports restore it.
type dataCentreJobs struct {
	options JobsOptions
	name    string
	store   *job.Store
	// unreadable notes the rows of jobs that cannot be read.
	unreadable *unreadableRows
	learner    *job.Learner
	health     *job.Health
	// token is the fencing token: the version of its row in the table, which grows with each takeover.
	token       uint64
	lastRenewal time.Time
	// startedRuns holds the runs whose start a worker has acknowledged or reported under this token.
	startedRuns map[string]bool
	// limitedUntil holds the teams found at their upper limits, and the time before which no job of theirs is
	// started.
	limitedUntil map[string]time.Time
	// waitingTeams holds the teams with queued jobs at the last pass.
	waitingTeams map[string]bool
	// unsavedRuns counts the runs that the learner has observed since its last save.
	unsavedRuns int
	lastSave    time.Time
}

// NewJobs returns the job controller.
func NewJobs(o JobsOptions) *Jobs {
	if o.LeaseDuration <= 0 {
		o.LeaseDuration = 30 * time.Second
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("jobs")
	return &Jobs{options: o, rows: pool.NewStore(o.Table), reports: pool.NewReports(o.Instances), unreadable: newUnreadableRows(o.Logger), dataCentres: make(map[string]*dataCentreJobs)}
}

// Pass implements [Controller].
func (d *Jobs) Pass(ctx context.Context, leases Leases) error {
	now := time.Now()
	var held []*dataCentreJobs
	for _, name := range d.options.DataCentres() {
		if fence, ok := leases.Holds(JobsDuty(name)); ok {
			c := d.dataCentre(name)
			c.resetOnNewToken(fence)
			held = append(held, c)
		}
	}
	if len(held) == 0 {
		return nil
	}
	if err := d.reports.Refresh(ctx); err != nil {
		return ignoreTransient(err)
	}
	var unreadable []string
	rows, err := d.rows.ListReadable(ctx, d.unreadable.note("instance", &unreadable))
	if err != nil {
		return ignoreTransient(err)
	}
	var errs []error
	for _, c := range held {
		errs = append(errs, ignoreTransient(c.pass(ctx, leases, d.workersOf(now, c, rows, unreadable))))
	}
	return errors.Join(errs...)
}

// Quarantined returns the workers of a data centre that get no jobs because several kinds of job have failed on
// them.
func (d *Jobs) Quarantined(name string) []string {
	return d.dataCentre(name).health.List(time.Now())
}

func (d *Jobs) dataCentre(name string) *dataCentreJobs {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.dataCentres[name]
	if !ok {
		c = &dataCentreJobs{
			options: d.options, name: name, store: job.NewStore(d.options.Table, d.options.Limits), unreadable: d.unreadable,
			health: job.NewHealth(), startedRuns: make(map[string]bool), limitedUntil: make(map[string]time.Time), waitingTeams: make(map[string]bool),
		}
		d.dataCentres[name] = c
	}
	return c
}

// worker is a worker as its row and the reports describe it.
type worker struct {
	job.Worker
	// vacate means that a planned stop is waiting for the tasks of the worker to leave.
	vacate bool
	// missing means that the platform no longer lists the worker.
	missing bool
}

// workersOf returns the workers of a data centre. Those whose rows cannot be read get no jobs and keep those that they have.
func (d *Jobs) workersOf(now time.Time, c *dataCentreJobs, rows []pool.Stored, unreadable []string) map[string]worker {
	workers := make(map[string]worker)
	for _, id := range unreadable {
		if report, known := d.reports.Get(id); known && report.DataCentre == c.name {
			workers[id] = worker{Worker: job.Worker{ID: id, Rack: report.Rack, Unschedulable: true}, missing: d.reports.Missing(id)}
		}
	}
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

// resetOnNewToken resets the state when the duty was acquired with a new fencing token. Clearing startedRuns makes
// the pass start all runs again: this has no effect on running tasks, and makes the platform refuse the calls of
// the previous holder.
func (c *dataCentreJobs) resetOnNewToken(fence provider.Check) {
	if c.token != fence.Version {
		c.token = fence.Version
		c.lastRenewal = time.Time{}
		// Another process may have held the duty since and saved newer data.
		c.learner = nil
		clear(c.startedRuns)
	}
}

// pass runs one pass for the data centre. Renewals come first, because a lease that expires ends a task;
// cancellations come after placements, so that many of them do not delay a placement.
func (c *dataCentreJobs) pass(ctx context.Context, leases Leases, workers map[string]worker) error {
	p := &jobsPass{dataCentreJobs: c, leases: leases, now: time.Now(), workers: workers}
	if err := p.readState(ctx); err != nil {
		return err
	}
	p.renewRuns(ctx)
	for _, step := range []func(context.Context) error{p.finishRuns, p.placeJobs, p.stopCancelled, p.vacateWorkers, p.cleanUp} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// forEachJob calls f for every job, with up to maxConcurrentCalls calls at a time, and returns the jobs for which
// it succeeded.
func forEachJob(ctx context.Context, jobs []job.Stored, f func(context.Context, job.Stored) error) []job.Stored {
	var mu sync.Mutex
	var done []job.Stored
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
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
