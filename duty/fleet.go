package duty

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/backoff"
	"github.com/chivetiller/chivetiller/move"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/wave"
)

const (
	// callRepeatDelay is the time after which an acknowledged call without a visible effect is repeated. Repeating a reboot sooner
	// could restart an instance that is still starting. It doubles with each repetition up to maxCallRepeatDelay.
	callRepeatDelay    = 30 * time.Second
	maxCallRepeatDelay = 10 * time.Minute
	// failedCallDelay is the time after which a call that failed is repeated. It doubles with each failure up to callRepeatDelay.
	failedCallDelay = 500 * time.Millisecond
)

// waveRetention is how long waves are listed after their end.
const waveRetention = 7 * 24 * time.Hour

// FleetOptions configures the fleet duties.
type FleetOptions struct {
	Table     provider.Table
	Instances provider.Instances
	// Pools returns the configured pools.
	Pools func() []pool.Pool
	// Announce is called as soon as instances begin to leave, before the platform is told to drain them, and when
	// they serve again; their State says which. It is also called for instances that a previous holder of the duty
	// has stopped. It may be nil.
	Announce func(changed []pool.Instance)
	// Loads returns the current load of each pool over all entry instances. If nil, there are no moves.
	Loads func() []move.Load
	// Moves configures the planner of moves.
	Moves  move.Options
	Logger hclog.Logger
}

// Fleet is the controller that runs the waves and moves of the pools whose duties are held, and adopts new
// instances.
type Fleet struct {
	options FleetOptions
	rows    *pool.Store
	waves   *wave.Store
	reports *pool.Reports
	planner *move.Planner
	// calls holds the last call for each instance.
	calls      map[string]platformCall
	unreadable *unreadableRows
	// announced holds the start of the state that was last announced for each instance.
	announced map[string]time.Time
}

var _ Controller = (*Fleet)(nil)

// platformCall is a call to the platform for an instance, which is repeated while it has no visible effect.
type platformCall struct {
	generation uint64
	call       wave.Call
	at         time.Time
	// acknowledged counts the calls that succeeded, and failed those that failed since.
	acknowledged, failed int
}

// repeatAt returns the time from which the call may be repeated.
func (c platformCall) repeatAt() time.Time {
	if c.failed > 0 {
		return c.at.Add(backoff.Doubled(c.failed, failedCallDelay, callRepeatDelay))
	}
	return c.at.Add(backoff.Doubled(c.acknowledged, callRepeatDelay, maxCallRepeatDelay))
}

// NewFleet returns the fleet controller.
func NewFleet(o FleetOptions) *Fleet {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("fleet")
	if o.Announce == nil {
		o.Announce = func([]pool.Instance) {}
	}
	return &Fleet{
		options: o, rows: pool.NewStore(o.Table), waves: wave.NewStore(o.Table), reports: pool.NewReports(o.Instances),
		planner: move.NewPlanner(o.Moves), unreadable: newUnreadableRows(o.Logger), calls: make(map[string]platformCall), announced: make(map[string]time.Time),
	}
}

// fleetPass is the state that one pass has read.
type fleetPass struct {
	leases Leases
	now    time.Time
	pools  []pool.Pool
	// plannedVersions holds, by pool, the version of the row that every planned stop in the pool changes.
	plannedVersions map[string]uint64
	waves           []wave.Stored
	byPool          map[string][]pool.Stored
	rows            []pool.Stored
	// unreadableInstances holds the instances whose rows cannot be read. Each of them may be down and in any pool and wave.
	unreadableInstances []string
	// attemptedStops holds the instances whose stop this pass has tried to begin, also if the outcome is unknown.
	attemptedStops map[string]bool
}

// Pass implements [Controller].
func (f *Fleet) Pass(ctx context.Context, leases Leases) error {
	p, err := f.readState(ctx, leases)
	if err != nil || p == nil {
		return err
	}
	var errs []error
	// Moves begin before new stops of waves, because a pool that lacks capacity needs them sooner.
	errs = append(errs, f.adoptInstances(ctx, p), f.beginMoves(ctx, p))
	// Instances can remain in a pool that was deleted. Their stops are finished as well.
	for _, name := range slices.Sorted(maps.Keys(p.byPool)) {
		if _, ok := leases.Holds(PoolDuty(name)); ok {
			errs = append(errs, f.advanceStops(ctx, p, name))
		}
	}
	for _, each := range p.pools {
		if _, ok := leases.Holds(PoolDuty(each.Name())); ok {
			errs = append(errs, f.beginStops(ctx, p, each))
		}
	}
	errs = append(errs, f.finishWaves(ctx, p))
	return errors.Join(errs...)
}

// readState returns nil if no duty is held. It reads the rows of planned stops before the instances, because a
// stop that begins in between changes them and so makes the transaction of this pass fail.
func (f *Fleet) readState(ctx context.Context, leases Leases) (*fleetPass, error) {
	p := &fleetPass{leases: leases, now: time.Now(), pools: f.options.Pools(), byPool: make(map[string][]pool.Stored), attemptedStops: make(map[string]bool)}
	_, held := leases.Holds(Housekeeping)
	for i := range Shards {
		if _, ok := leases.Holds(ShardDuty(i)); ok {
			held = true
		}
	}
	if !held {
		return nil, nil
	}
	names := make([]string, 0, len(p.pools))
	for _, each := range p.pools {
		names = append(names, each.Name())
	}
	if err := f.reports.Refresh(ctx); err != nil {
		return nil, err
	}
	var err error
	var unreadableWaves []string
	if p.waves, err = f.waves.ListReadable(ctx, f.unreadable.note("wave", &unreadableWaves)); err != nil {
		return nil, err
	}
	if p.plannedVersions, err = f.rows.PlannedStopVersions(ctx, names...); err != nil {
		return nil, err
	}
	if p.rows, err = f.rows.ListReadable(ctx, f.unreadable.note("instance", &p.unreadableInstances)); err != nil {
		return nil, err
	}
	for _, row := range p.rows {
		p.byPool[row.Pool] = append(p.byPool[row.Pool], row)
	}
	return p, nil
}

// adoptInstances adds listed instances that have no row to the spare pool.
func (f *Fleet) adoptInstances(ctx context.Context, p *fleetPass) error {
	fence, ok := p.leases.Holds(Housekeeping)
	spare := slices.IndexFunc(p.pools, pool.Pool.Spare)
	if !ok || spare < 0 {
		return nil
	}
	known := make(map[string]bool, len(p.rows))
	for _, row := range p.rows {
		known[row.ID] = true
	}
	for _, id := range p.unreadableInstances {
		known[id] = true
	}
	for id, report := range f.reports.All() {
		if known[id] || report.State != provider.InstanceLive {
			continue
		}
		adopted, err := f.rows.Adopt(ctx, p.now, report, p.pools[spare].Name(), fence)
		if err != nil {
			return ignoreTransient(err)
		}
		if adopted {
			f.options.Logger.Info("Instance adopted.", "instance", id, "pool", p.pools[spare].Name())
		}
	}
	return nil
}

// advanceStops takes every stopped instance of a pool to the next state of its stop. While there is none, it
// repeats the call to the platform. It also undrains instances that are drained without being stopped.
func (f *Fleet) advanceStops(ctx context.Context, p *fleetPass, name string) error {
	rows := p.byPool[name]
	for i, row := range rows {
		if p.attemptedStops[row.ID] {
			// Calls are made only for rows as they were read. The row of this stop may not have been written.
			continue
		}
		if !row.Down() {
			if report, _ := f.reports.Get(row.ID); wave.DrainedByLateCall(p.now, row.Instance, report) {
				f.callPlatform(ctx, p, row.Instance, wave.CallUndrain)
			}
			continue
		}
		f.announceChanges(row.Instance)
		report, known := f.reports.Get(row.ID)
		d := wave.NextStep(p.now, row.Instance, report, known, p.rulesFor(row.Operation))
		fence, held := p.leases.Holds(PoolDuty(name))
		if !held {
			return nil
		}
		if !d.Changed {
			f.callPlatform(ctx, p, row.Instance, d.Call)
			continue
		}
		if err := f.rows.Update(ctx, row, d.Next, fence); err != nil {
			if err := ignoreTransient(err); err != nil {
				return err
			}
			continue
		}
		if d.Next.State == pool.StateFailed {
			f.options.Logger.Warn("Instance has not returned in time.", "instance", row.ID, "pool", name, "operation", row.Operation)
		}
		f.options.Logger.Debug("Instance changed state.", "instance", row.ID, "from", row.State, "to", d.Next.State, "operation", row.Operation)
		// The version of the new row is unknown here; the next pass reads it. An instance that has moved to
		// another pool stays in this list, but as down, so that counting it in the pool size does not enlarge
		// the budget.
		rows[i].Instance = d.Next
		if d.Next.Pool != name {
			rows[i].State = pool.StateMoving
		}
		f.announceChanges(d.Next)
		if next := wave.NextStep(p.now, d.Next, report, known, p.rulesFor(row.Operation)); !next.Changed {
			f.callPlatform(ctx, p, d.Next, next.Call)
		}
	}
	return nil
}

// beginStops begins the stops that the running waves and the budget of the pool allow.
func (f *Fleet) beginStops(ctx context.Context, p *fleetPass, in pool.Pool) error {
	rows := p.byPool[in.Name()]
	for _, w := range p.waves {
		if w.State() != wave.StateRunning {
			continue
		}
		chosen := wave.Plan(in, append(w.Members(rows, f.available), f.unreadableMembers(p)...))
		if len(chosen) == 0 {
			continue
		}
		fence, held := p.leases.Holds(PoolDuty(in.Name()))
		if !held {
			return nil
		}
		var oldRows []pool.Stored
		var newRows []pool.Instance
		for _, row := range rows {
			if slices.Contains(chosen, row.ID) {
				report, _ := f.reports.Get(row.ID)
				oldRows = append(oldRows, row)
				newRows = append(newRows, wave.BeginStop(p.now, row.Instance, report, pool.StateDraining, w.Operation()))
			}
		}
		version, ok := p.plannedVersions[in.Name()]
		if !ok {
			// A move has begun in the pool in this pass. The next pass reads the new version.
			return nil
		}
		if err := f.rows.BeginStops(ctx, in.Name(), version, oldRows, newRows, fence, w.Check()); err != nil {
			return ignoreTransient(err)
		}
		f.options.Logger.Info("Instances are being stopped for a wave.", "pool", in.Name(), "wave", w.Name(), "instances", chosen)
		f.announceChanges(newRows...)
		for _, next := range newRows {
			f.callPlatform(ctx, p, next, wave.CallDrain)
		}
		// A second wave needs the new version of the pool's row, so it waits for the next pass.
		return nil
	}
	return nil
}

// unreadableMembers returns the instances whose rows cannot be read, as down. They count against the budget of every pool.
func (f *Fleet) unreadableMembers(p *fleetPass) []wave.Member {
	members := make([]wave.Member, 0, len(p.unreadableInstances))
	for _, id := range p.unreadableInstances {
		report, _ := f.reports.Get(id)
		members = append(members, wave.Member{ID: id, Rack: report.Rack, DataCentre: report.DataCentre, Down: true})
	}
	return members
}

// finishWaves ends the running waves that have no work left, and removes those that ended more than waveRetention
// ago. It ends none while there is an instance of which it is not known whether a wave has work left there.
func (f *Fleet) finishWaves(ctx context.Context, p *fleetPass) error {
	fence, held := p.leases.Holds(Housekeeping)
	if !held || len(p.unreadableInstances) > 0 {
		return nil
	}
	for _, w := range p.waves {
		if !w.Active() && p.now.Sub(w.Ended()) > waveRetention && !slices.ContainsFunc(p.rows, func(row pool.Stored) bool { return row.Operation == w.Operation() }) {
			if err := f.waves.Remove(ctx, w, fence); err != nil {
				return ignoreTransient(err)
			}
			continue
		}
		if w.State() != wave.StateRunning || slices.ContainsFunc(p.rows, func(row pool.Stored) bool { return f.hasWorkLeft(w, row) }) {
			continue
		}
		if err := f.waves.MarkDone(ctx, w, fence); err != nil {
			return ignoreTransient(err)
		}
		f.options.Logger.Info("Wave is done.", "wave", w.Name(), "after", p.now.Sub(w.Created()))
	}
	return nil
}

// hasWorkLeft reports whether a wave still has to stop an instance or to finish its stop. An instance that the
// platform reports as gone does not count: it returns with a new incarnation, which is the purpose of the wave.
func (f *Fleet) hasWorkLeft(w wave.Stored, row pool.Stored) bool {
	if row.Operation == w.Operation() {
		return true
	}
	return w.Pending(row.Instance) && !f.reports.Missing(row.ID)
}

// available reports whether the platform lists an instance as in service.
func (f *Fleet) available(id string) bool {
	report, known := f.reports.Get(id)
	return known && report.State == provider.InstanceLive && !f.reports.Missing(id)
}

// rulesFor returns the limits for the stops of an operation. A wave whose row is missing counts as aborted.
func (p *fleetPass) rulesFor(operation string) wave.StopRules {
	for _, w := range p.waves {
		if w.Operation() == operation {
			return w.Rules()
		}
	}
	return wave.StopRules{
		Notice: wave.DefaultNotice, DrainLimit: wave.DefaultDrainLimit, ReturnLimit: wave.DefaultReturnLimit,
		Policy: wave.PolicySkip, Abort: wave.IsWave(operation),
	}
}

// dutyFor returns the duty under which the pass acts on an instance: that of the instance's pool or, for a move
// that the holder of the spare pool's duty has just begun, that of the spare pool.
func (p *fleetPass) dutyFor(in pool.Instance) string {
	own := PoolDuty(in.Pool)
	if _, held := p.leases.Holds(own); held {
		return own
	}
	if spare := slices.IndexFunc(p.pools, pool.Pool.Spare); spare >= 0 && in.State == pool.StateMoving {
		return PoolDuty(p.pools[spare].Name())
	}
	return own
}

// announceChanges announces instances whose current state was not announced before.
func (f *Fleet) announceChanges(changed ...pool.Instance) {
	var fresh []pool.Instance
	for _, in := range changed {
		phase := in.Phase()
		if phase != pool.StateDraining && phase != pool.StateMoving && phase != pool.StateServing {
			continue
		}
		if !f.announced[in.ID].Equal(in.StateSince) {
			f.announced[in.ID] = in.StateSince
			fresh = append(fresh, in)
		}
	}
	if len(fresh) > 0 {
		f.options.Announce(fresh)
	}
}

// callPlatform makes a call for an instance, unless the same call was made a short time ago. A failed call needs no handling, because
// the call is repeated until a report shows its effect.
func (f *Fleet) callPlatform(ctx context.Context, p *fleetPass, in pool.Instance, call wave.Call) {
	if call == wave.CallNone {
		return
	}
	last := f.calls[in.ID]
	if last.generation != in.Generation || last.call != call {
		last = platformCall{generation: in.Generation, call: call}
	} else if p.now.Before(last.repeatAt()) {
		return
	}
	// The calls carry no fencing token, so a holder that was paused has to check its lease before each call.
	if _, held := p.leases.Holds(p.dutyFor(in)); !held {
		return
	}
	var err error
	switch call {
	case wave.CallDrain:
		err = f.options.Instances.Drain(ctx, in.ID)
	case wave.CallUndrain:
		err = f.options.Instances.Undrain(ctx, in.ID)
	case wave.CallReboot:
		err = f.options.Instances.Reboot(ctx, in.ID, in.Incarnation)
	}
	last.at = p.now
	if err != nil {
		last.failed++
		f.calls[in.ID] = last
		f.options.Logger.Warn("Call to the platform failed and will be repeated.", "call", call, "instance", in.ID, "failures", last.failed, "error", err)
		return
	}
	last.acknowledged++
	last.failed = 0
	f.calls[in.ID] = last
	if last.acknowledged > 1 {
		f.options.Logger.Warn("Call to the platform was repeated because it had no effect.", "call", call, "instance", in.ID, "state", in.State, "calls", last.acknowledged)
	}
}

// ignoreTransient returns nil for errors after which the next pass reads everything again.
func ignoreTransient(err error) error {
	if isTransient(err) {
		return nil
	}
	return err
}
