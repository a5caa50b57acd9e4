package duty

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/job"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/wave"
)

// ErrInvalid marks an operator's request that cannot succeed unless it is changed, or until the state of the fleet
// allows it. Other errors come from the platform: [provider.ErrNotFound], [provider.ErrConflict] and the temporary
// ones.
var ErrInvalid = errors.New("invalid request")

// OperationsOptions configures operations.
type OperationsOptions struct {
	Table     provider.Table
	Instances provider.Instances
	// Pools returns the configured pools.
	Pools func() []pool.Pool
	// HasTeam reports whether a team is configured.
	HasTeam func(name string) bool
	Logger  hclog.Logger
}

// Operations are the calls that operators make on instances, waves and jobs, at any entry instance. They only
// write rows; the holders of the duties act on them.
type Operations struct {
	options    OperationsOptions
	waves      *wave.Store
	unreadable *unreadableRows

	// mu guards reports.
	mu      sync.Mutex
	reports *pool.Reports
}

// NewOperations returns the operations of an entry instance.
func NewOperations(o OperationsOptions) *Operations {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return &Operations{options: o, waves: wave.NewStore(o.Table), unreadable: newUnreadableRows(o.Logger.Named("operations")), reports: pool.NewReports(o.Instances)}
}

// InstanceView is an instance row together with the platform's report on the instance.
type InstanceView struct {
	pool.Instance
	// Platform is the state in the platform's list; empty if the instance is not listed.
	Platform provider.InstanceState `json:"platform"`
	Address  string                 `json:"address,omitempty"`
	InFlight int                    `json:"inFlight"`
	Reported time.Time              `json:"reported,omitzero"`
}

// Wave actions of [Operations.ChangeWave].
const (
	ActionPause  = "pause"
	ActionResume = "resume"
	ActionAbort  = "abort"
)

// ListInstances returns the instances of a pool, or of all pools if the name is empty. An unknown pool is an
// [ErrInvalid].
func (o *Operations) ListInstances(ctx context.Context, name string) ([]InstanceView, error) {
	if name != "" {
		if _, err := o.findPool(name); err != nil {
			return nil, err
		}
	}
	rows, reports, err := o.readInstances(ctx)
	if err != nil {
		return nil, err
	}
	views := make([]InstanceView, 0, len(rows))
	for _, row := range rows {
		if name != "" && row.Pool != name {
			continue
		}
		report := reports[row.ID]
		views = append(views, InstanceView{
			Instance: row.Instance, Platform: report.State, Address: report.Address, InFlight: report.InFlight, Reported: report.Reported,
		})
	}
	return views, nil
}

// AssignInstance assigns an instance to a pool permanently: at once if it is in no pool, by a move otherwise. A
// move that would exceed the availability budget of the current pool is refused with an [ErrInvalid].
func (o *Operations) AssignInstance(ctx context.Context, id, name string) (pool.Instance, error) {
	if _, err := o.findPool(name); err != nil {
		return pool.Instance{}, err
	}
	store := pool.NewStore(o.options.Table)
	_, reports, err := o.readInstances(ctx)
	if err != nil {
		return pool.Instance{}, err
	}
	report, listed := reports[id]
	row, err := store.Get(ctx, id)
	if errors.Is(err, provider.ErrNotFound) {
		if !listed {
			return pool.Instance{}, asInvalid(eris.Errorf("the platform lists no instance %q", id))
		}
		if _, err := store.Adopt(ctx, time.Now(), report, name); err != nil {
			return pool.Instance{}, err
		}
		row, err = store.Get(ctx, id)
	}
	if err != nil {
		return pool.Instance{}, err
	}
	if row.Pool == name && row.HomePool == name || row.TargetPool == name {
		return row.Instance, nil
	}
	return o.beginAssignment(ctx, store, row, report, name)
}

// beginAssignment assigns an instance that has a row to another pool.
func (o *Operations) beginAssignment(ctx context.Context, store *pool.Store, row pool.Stored, report provider.Instance, name string) (pool.Instance, error) {
	if row.Down() {
		return pool.Instance{}, asInvalid(eris.Errorf("instance %q is %s under %s", row.ID, row.State, row.Operation))
	}
	if row.Pool == name {
		// The instance was moved to the pool for a time and now becomes a permanent member.
		next := row.Transition(time.Now(), row.State)
		next.HomePool = name
		return next, store.Update(ctx, row, next)
	}
	planned, err := store.PlannedStopVersions(ctx, row.Pool)
	if err != nil {
		return pool.Instance{}, err
	}
	// A pool that was deleted has no budget left to keep.
	if from, err := o.findPool(row.Pool); err == nil {
		if err := o.checkMayLeave(ctx, from, row.ID); err != nil {
			return pool.Instance{}, err
		}
	}
	next := wave.BeginStop(time.Now(), row.Instance, report, pool.StateMoving, movePrefix+name)
	next.TargetPool, next.HomePool = name, name
	return next, store.BeginStops(ctx, row.Pool, planned[row.Pool], []pool.Stored{row}, []pool.Instance{next})
}

// checkMayLeave returns an error that says why an instance may not leave its pool now, or nil.
func (o *Operations) checkMayLeave(ctx context.Context, from pool.Pool, id string) error {
	rows, err := pool.NewStore(o.options.Table).List(ctx)
	if err != nil {
		return err
	}
	_, reports, err := o.readInstances(ctx)
	if err != nil {
		return err
	}
	var members []wave.Member
	down, leaving := 0, 0
	for _, each := range rows {
		if each.Pool != from.Name() {
			continue
		}
		m := wave.Member{ID: each.ID, Rack: each.Rack, DataCentre: each.DataCentre, Pending: each.ID == id}
		if m.Down = each.Down() || reports[each.ID].State != provider.InstanceLive; m.Down {
			down++
		}
		if each.TargetPool != "" {
			leaving++
		}
		members = append(members, m)
	}
	size := len(members)
	if len(wave.Plan(from, members)) == 0 {
		return asInvalid(eris.Errorf("pool %q has %d of %d instances out of service, and its budget allows no more in the pool, rack or data centre of %q: try again later",
			from.Name(), down, size, id))
	}
	if from.MaxMovable(size) <= leaving {
		return asInvalid(eris.Errorf("pool %q would become so small that its budget of %s allows no stop", from.Name(), from.Spec().MaxUnavailable))
	}
	return nil
}

// RemoveInstance removes the row of an instance that the platform no longer has. An instance that it still has is
// an [ErrInvalid].
func (o *Operations) RemoveInstance(ctx context.Context, id string) error {
	_, reports, err := o.readInstances(ctx)
	if err != nil {
		return err
	}
	if report, ok := reports[id]; ok && report.State != provider.InstanceGone {
		return asInvalid(eris.Errorf("instance %q is %s according to the platform", id, report.State))
	}
	return pool.NewStore(o.options.Table).Remove(ctx, id)
}

// CreateWave begins a wave.
func (o *Operations) CreateWave(ctx context.Context, spec wave.Spec) (wave.Progress, error) {
	rows, _, err := o.readInstances(ctx)
	if err != nil {
		return wave.Progress{}, err
	}
	w, err := o.waves.Create(ctx, spec, time.Now(), o.options.Pools(), rows)
	if err != nil {
		return wave.Progress{}, asInvalid(err)
	}
	return w.Progress(time.Now(), rows), nil
}

// ListWaves returns the progress of all waves.
func (o *Operations) ListWaves(ctx context.Context) ([]wave.Progress, error) {
	var unreadable []string
	waves, err := o.waves.ListReadable(ctx, o.unreadable.note("wave", &unreadable))
	if err != nil {
		return nil, err
	}
	rows, err := o.readRows(ctx)
	if err != nil {
		return nil, err
	}
	all := make([]wave.Progress, 0, len(waves))
	for _, w := range waves {
		all = append(all, w.Progress(time.Now(), rows))
	}
	return all, nil
}

// GetWave returns the progress of a wave.
func (o *Operations) GetWave(ctx context.Context, name string) (wave.Progress, error) {
	w, err := o.waves.Get(ctx, name)
	if err != nil {
		return wave.Progress{}, err
	}
	return o.waveProgress(ctx, w.Wave)
}

// ChangeWave pauses, resumes or aborts a wave. Unknown actions are an [ErrInvalid].
func (o *Operations) ChangeWave(ctx context.Context, name, action string) (wave.Progress, error) {
	states := map[string]wave.State{ActionPause: wave.StatePaused, ActionResume: wave.StateRunning, ActionAbort: wave.StateAborted}
	to, ok := states[action]
	if !ok {
		return wave.Progress{}, asInvalid(eris.Errorf("action %q is none of %s, %s and %s", action, ActionPause, ActionResume, ActionAbort))
	}
	w, err := o.waves.SetState(ctx, name, to)
	if err != nil {
		return wave.Progress{}, asInvalid(err)
	}
	return o.waveProgress(ctx, w)
}

func (o *Operations) waveProgress(ctx context.Context, w wave.Wave) (wave.Progress, error) {
	rows, err := o.readRows(ctx)
	if err != nil {
		return wave.Progress{}, err
	}
	return w.Progress(time.Now(), rows), nil
}

// SubmitJob queues a job. If the spec names no data centre, the job goes to the one with the most workers that are
// large enough for it. A job that is larger than every worker, or whose team or data centre is unknown, is an
// [ErrInvalid].
func (o *Operations) SubmitJob(ctx context.Context, spec job.Spec) (job.Job, error) {
	rows, reports, err := o.readInstances(ctx)
	if err != nil {
		return job.Job{}, err
	}
	dataCentre := spec.DataCentre
	fitting := make(map[string]int)
	for _, row := range rows {
		fitting[row.DataCentre] += 0
		r := reports[row.ID]
		if spec.Cores <= r.Cores && spec.Memory <= r.Memory && spec.Accelerators <= r.Accelerators {
			fitting[row.DataCentre]++
		}
	}
	if dataCentre == "" {
		for name, count := range fitting {
			if dataCentre == "" || count > fitting[dataCentre] || count == fitting[dataCentre] && name < dataCentre {
				dataCentre = name
			}
		}
	}
	j, err := job.New(spec, dataCentre, time.Now())
	if err != nil {
		return job.Job{}, asInvalid(err)
	}
	switch count, known := fitting[dataCentre]; {
	case !known:
		return job.Job{}, asInvalid(eris.Errorf("data centre %q has no workers", dataCentre))
	case count == 0:
		return job.Job{}, asInvalid(eris.Errorf("job of kind %q is larger than every worker in data centre %q: %v cores, %d bytes, %d accelerators",
			spec.Kind, dataCentre, spec.Cores, spec.Memory, spec.Accelerators))
	case !o.options.HasTeam(spec.Team):
		return job.Job{}, asInvalid(eris.Errorf("unknown team %q", spec.Team))
	}
	return j, job.NewStore(o.options.Table, nil).Submit(ctx, j)
}

// ListJobs returns the jobs of a data centre, or all if the name is empty.
func (o *Operations) ListJobs(ctx context.Context, dataCentre string) ([]job.Job, error) {
	var unreadable []string
	stored, err := job.NewStore(o.options.Table, nil).ListReadable(ctx, dataCentre, o.unreadable.note("job", &unreadable))
	if err != nil {
		return nil, err
	}
	jobs := make([]job.Job, 0, len(stored))
	for _, j := range stored {
		jobs = append(jobs, j.Job)
	}
	return jobs, nil
}

// GetJob returns a job.
func (o *Operations) GetJob(ctx context.Context, id string) (job.Job, error) {
	stored, err := job.NewStore(o.options.Table, nil).Get(ctx, id)
	return stored.Job, err
}

// CancelJob cancels a job.
func (o *Operations) CancelJob(ctx context.Context, id string) (job.Job, error) {
	return job.NewStore(o.options.Table, nil).Cancel(ctx, id, time.Now())
}

func (o *Operations) findPool(name string) (pool.Pool, error) {
	pools := o.options.Pools()
	i := slices.IndexFunc(pools, func(p pool.Pool) bool { return p.Name() == name })
	if i < 0 {
		return pool.Pool{}, asInvalid(eris.Errorf("unknown pool %q", name))
	}
	return pools[i], nil
}

// readRows returns the instance rows that can be read.
func (o *Operations) readRows(ctx context.Context) ([]pool.Stored, error) {
	var unreadable []string
	return pool.NewStore(o.options.Table).ListReadable(ctx, o.unreadable.note("instance", &unreadable))
}

// readInstances returns the instance rows, and the newest reports by instance ID.
func (o *Operations) readInstances(ctx context.Context) ([]pool.Stored, map[string]provider.Instance, error) {
	rows, err := o.readRows(ctx)
	if err != nil {
		return nil, nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.reports.Refresh(ctx); err != nil {
		return nil, nil, err
	}
	reports := make(map[string]provider.Instance, len(rows))
	for id, report := range o.reports.All() {
		reports[id] = report
	}
	return rows, reports, nil
}

// asInvalid marks an error as [ErrInvalid], unless it comes from the platform.
func asInvalid(err error) error {
	if isTransient(err) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrInvalid, err)
}
