package duty

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/move"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/wave"
)

// callRepeat is when an acknowledged call is repeated that has shown no effect. Repeating a reboot
// sooner could restart an instance that is still starting.
const callRepeat = 30 * time.Second

// waveRetention is how long waves are listed after their end.
const waveRetention = 7 * 24 * time.Hour

// FleetOptions are the options of the fleet duties.
type FleetOptions struct {
	Table     provider.Table
	Instances provider.Instances
	// Pools returns the configured pools.
	Pools func() []pool.Pool
	// Announce is called as soon as instances begin to leave, before the platform is told to drain them,
	// and when they serve again. Their State says which. It is also called for those that an earlier holder
	// of the duty had stopped. It may be nil.
	Announce func(changed []pool.Instance)
	// Loads returns the present load of each pool over all entry instances. Without it there are no moves.
	Loads func() []move.Load
	// Moves are the parameters of moves.
	Moves  move.Options
	Logger hclog.Logger
}

// Fleet runs the waves and moves of the pools whose duties are held, and adopts new instances.
type Fleet struct {
	options   FleetOptions
	rows      *pool.Store
	waves     *wave.Store
	reports   *pool.Reports
	planner   *move.Planner
	acked     map[string]ack
	announced map[string]time.Time
}

var _ Controller = (*Fleet)(nil)

// ack is the last acknowledged call for an instance.
type ack struct {
	generation uint64
	call       wave.Call
	at         time.Time
}

// NewFleet returns the fleet duties.
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
		planner: move.NewPlanner(o.Moves), acked: make(map[string]ack), announced: make(map[string]time.Time),
	}
}

// pass is what one pass has read.
type pass struct {
	leases  Leases
	now     time.Time
	pools   []pool.Pool
	planned map[string]uint64
	waves   []wave.Stored
	byPool  map[string][]pool.Stored
	rows    []pool.Stored
	// begun holds the instances whose stop this pass has tried to begin, also if the outcome is unknown.
	begun map[string]bool
}

// Pass implements [Controller].
func (f *Fleet) Pass(ctx context.Context, leases Leases) error {
	p, err := f.read(ctx, leases)
	if err != nil || p == nil {
		return err
	}
	var errs []error
	// Moves come before new stops of waves, because a pool that lacks capacity needs them sooner.
	errs = append(errs, f.adopt(ctx, p), f.move(ctx, p))
	// Instances can be left in a pool that was deleted. Their stops are finished as well.
	for _, name := range slices.Sorted(maps.Keys(p.byPool)) {
		if _, ok := leases.Holds(PoolDuty(name)); ok {
			errs = append(errs, f.step(ctx, p, name))
		}
	}
	for _, each := range p.pools {
		if _, ok := leases.Holds(PoolDuty(each.Name())); ok {
			errs = append(errs, f.begin(ctx, p, each))
		}
	}
	errs = append(errs, f.finish(ctx, p))
	return errors.Join(errs...)
}

// read returns nil if no duty is held. The rows of planned stops are read before the instances: a stop
// that begins in between changes them and makes the transaction of this pass fail.
func (f *Fleet) read(ctx context.Context, leases Leases) (*pass, error) {
	p := &pass{leases: leases, now: time.Now(), pools: f.options.Pools(), byPool: make(map[string][]pool.Stored), begun: make(map[string]bool)}
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
	if p.waves, err = f.waves.List(ctx); err != nil {
		return nil, err
	}
	if p.planned, err = f.rows.PlannedStopVersions(ctx, names...); err != nil {
		return nil, err
	}
	if p.rows, err = f.rows.List(ctx); err != nil {
		return nil, err
	}
	for _, row := range p.rows {
		p.byPool[row.Pool] = append(p.byPool[row.Pool], row)
	}
	return p, nil
}

// adopt gives listed instances without a row to the spare pool.
func (f *Fleet) adopt(ctx context.Context, p *pass) error {
	fence, ok := p.leases.Holds(Housekeeping)
	spare := slices.IndexFunc(p.pools, pool.Pool.Spare)
	if !ok || spare < 0 {
		return nil
	}
	known := make(map[string]bool, len(p.rows))
	for _, row := range p.rows {
		known[row.ID] = true
	}
	for id, report := range f.reports.All() {
		if known[id] || report.State != provider.InstanceLive {
			continue
		}
		adopted, err := f.rows.Adopt(ctx, p.now, report, p.pools[spare].Name(), fence)
		if err != nil {
			return quiet(err)
		}
		if adopted {
			f.options.Logger.Info("Instance adopted.", "instance", id, "pool", p.pools[spare].Name())
		}
	}
	return nil
}

// step moves every stopped instance of a pool one step on.
func (f *Fleet) step(ctx context.Context, p *pass, name string) error {
	rows := p.byPool[name]
	for i, row := range rows {
		if p.begun[row.ID] {
			// The row may not have been written: calls are made only for rows as they were read.
			continue
		}
		if !row.Down() {
			if report, _ := f.reports.Get(row.ID); wave.DrainedByLateCall(p.now, row.Instance, report) {
				f.call(ctx, p, row.Instance, wave.CallUndrain)
			}
			continue
		}
		f.announce(row.Instance)
		report, known := f.reports.Get(row.ID)
		d := wave.NextStep(p.now, row.Instance, report, known, p.rules(row.Operation))
		fence, held := p.leases.Holds(PoolDuty(name))
		if !held {
			return nil
		}
		if !d.Changed {
			f.call(ctx, p, row.Instance, d.Call)
			continue
		}
		if err := f.rows.Update(ctx, row, d.Next, fence); err != nil {
			if err := quiet(err); err != nil {
				return err
			}
			continue
		}
		f.options.Logger.Debug("Instance changed state.", "instance", row.ID, "from", row.State, "to", d.Next.State, "operation", row.Operation)
		// The version of the new row is unknown here; the next pass reads it. A row that moved away
		// stays in this list as down, so that it does not add to the size that the budget is taken of.
		rows[i].Instance = d.Next
		if d.Next.Pool != name {
			rows[i].State = pool.StateMoving
		}
		f.announce(d.Next)
		if next := wave.NextStep(p.now, d.Next, report, known, p.rules(row.Operation)); !next.Changed {
			f.call(ctx, p, d.Next, next.Call)
		}
	}
	return nil
}

// begin starts the stops that the running waves and the budget of the pool allow.
func (f *Fleet) begin(ctx context.Context, p *pass, in pool.Pool) error {
	rows := p.byPool[in.Name()]
	for _, w := range p.waves {
		if w.State() != wave.StateRunning {
			continue
		}
		chosen := wave.Plan(in, w.Members(rows, f.available))
		if len(chosen) == 0 {
			continue
		}
		fence, held := p.leases.Holds(PoolDuty(in.Name()))
		if !held {
			return nil
		}
		var olds []pool.Stored
		var nexts []pool.Instance
		for _, row := range rows {
			if slices.Contains(chosen, row.ID) {
				report, _ := f.reports.Get(row.ID)
				olds = append(olds, row)
				nexts = append(nexts, wave.BeginStop(p.now, row.Instance, report, pool.StateDraining, w.Operation()))
			}
		}
		version, ok := p.planned[in.Name()]
		if !ok {
			// A move has begun in the pool in this pass; the new version is read in the next.
			return nil
		}
		if err := f.rows.BeginStops(ctx, in.Name(), version, olds, nexts, fence, w.Check()); err != nil {
			return quiet(err)
		}
		f.options.Logger.Info("Stops begun.", "pool", in.Name(), "wave", w.Name(), "instances", chosen)
		f.announce(nexts...)
		for _, next := range nexts {
			f.call(ctx, p, next, wave.CallDrain)
		}
		// A second wave would need the new version of the pool's row: it waits for the next pass.
		return nil
	}
	return nil
}

// finish ends the running waves that have nothing left to do, and removes those that ended long ago.
func (f *Fleet) finish(ctx context.Context, p *pass) error {
	fence, held := p.leases.Holds(Housekeeping)
	if !held {
		return nil
	}
	for _, w := range p.waves {
		if !w.Active() && p.now.Sub(w.Ended()) > waveRetention && !slices.ContainsFunc(p.rows, func(row pool.Stored) bool { return row.Operation == w.Operation() }) {
			if err := f.waves.Remove(ctx, w, fence); err != nil {
				return quiet(err)
			}
			continue
		}
		if w.State() != wave.StateRunning || slices.ContainsFunc(p.rows, func(row pool.Stored) bool { return f.holdsUp(w, row) }) {
			continue
		}
		if err := f.waves.MarkDone(ctx, w, fence); err != nil {
			return quiet(err)
		}
		f.options.Logger.Info("Wave is done.", "wave", w.Name(), "after", p.now.Sub(w.Begun()))
	}
	return nil
}

// holdsUp reports whether a wave still has work with an instance. One that the platform reports as gone
// does not count: it comes back with a new incarnation, which is what the wave is for.
func (f *Fleet) holdsUp(w wave.Stored, row pool.Stored) bool {
	if row.Operation == w.Operation() {
		return true
	}
	return w.Pending(row.Instance) && !f.reports.Missing(row.ID)
}

// available reports whether the platform says that an instance is in service.
func (f *Fleet) available(id string) bool {
	report, known := f.reports.Get(id)
	return known && report.State == provider.InstanceLive && !f.reports.Missing(id)
}

// rules returns the limits of an operation. A wave whose row is missing counts as aborted.
func (p *pass) rules(operation string) wave.StopRules {
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

// duty returns the duty under which the pass acts on an instance: that of its pool, or that of the spare
// pool for a move that the holder of the spare pool has just begun.
func (p *pass) duty(in pool.Instance) string {
	own := PoolDuty(in.Pool)
	if _, held := p.leases.Holds(own); held {
		return own
	}
	if spare := slices.IndexFunc(p.pools, pool.Pool.Spare); spare >= 0 && in.State == pool.StateMoving {
		return PoolDuty(p.pools[spare].Name())
	}
	return own
}

// announce tells the entry instance about instances that it was not told about in this stop.
func (f *Fleet) announce(changed ...pool.Instance) {
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

// call sends an order to the platform, unless the same one was acknowledged a short while ago. Its
// failure needs no handling: the effect is seen in a report, and until then the call is repeated.
func (f *Fleet) call(ctx context.Context, p *pass, in pool.Instance, call wave.Call) {
	if call == wave.CallNone {
		return
	}
	last := f.acked[in.ID]
	if last.generation == in.Generation && last.call == call && p.now.Sub(last.at) < callRepeat {
		return
	}
	// The calls carry no fencing token. A holder that was paused must find out before it makes one.
	if _, held := p.leases.Holds(p.duty(in)); !held {
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
	if err != nil {
		f.options.Logger.Warn("Call to the platform failed, will be repeated.", "call", call, "instance", in.ID, "error", err)
		return
	}
	f.acked[in.ID] = ack{generation: in.Generation, call: call, at: p.now}
}

// quiet hides errors after which the next pass reads everything again.
func quiet(err error) error {
	if passing(err) {
		return nil
	}
	return err
}
