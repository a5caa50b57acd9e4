package duty

import (
	"context"
	"slices"

	"github.com/chivetiller/chivetiller/move"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/wave"
)

// movePrefix marks the operations of moves in instance rows. The name of the receiving pool follows.
const movePrefix = "move/"

// move begins the moves that the planner orders. The holder of the spare pool's duty decides for all
// pools, so two processes never lend one spare instance twice; what it takes from other pools is guarded
// by their rows of planned stops.
func (f *Fleet) move(ctx context.Context, p *pass) error {
	spare := slices.IndexFunc(p.pools, pool.Pool.Spare)
	if f.options.Loads == nil || spare < 0 {
		return nil
	}
	duty := PoolDuty(p.pools[spare].Name())
	if _, held := p.leases.Holds(duty); !held {
		return nil
	}
	f.planner.Observe(p.now, f.options.Loads())
	for _, order := range f.planner.Plan(p.now, f.movePools(p)) {
		from := slices.IndexFunc(p.pools, func(each pool.Pool) bool { return each.Name() == order.From })
		if from < 0 {
			continue
		}
		fence, held := p.leases.Holds(duty)
		if !held {
			return nil
		}
		if err := f.beginMove(ctx, p, p.pools[from], order, fence); err != nil {
			return quiet(err)
		}
	}
	return nil
}

// movePools returns what the planner needs to know of the pools.
func (f *Fleet) movePools(p *pass) []move.Pool {
	pools := make([]move.Pool, 0, len(p.pools))
	arriving := make(map[string]int)
	for _, row := range p.rows {
		if row.TargetPool != "" {
			arriving[row.TargetPool]++
		}
	}
	for _, each := range p.pools {
		in := move.Pool{Name: each.Name(), Spare: each.Spare(), Arriving: arriving[each.Name()]}
		slots := 0
		for _, row := range p.byPool[each.Name()] {
			report, _ := f.reports.Get(row.ID)
			slots = max(slots, report.Slots)
			if row.Down() && row.TargetPool == "" && InMaintenance(row.Instance) {
				// An instance in maintenance is back sooner than a moved one would arrive.
				in.Serving++
				continue
			}
			if row.Down() || !f.available(row.ID) {
				continue
			}
			in.Serving++
			if row.HomePool != row.Pool {
				in.FromSpare++
			}
		}
		in.Slots = float64(slots)
		pools = append(pools, in)
	}
	return pools
}

// InMaintenance reports whether an instance is stopped by a wave and expected back.
func InMaintenance(in pool.Instance) bool {
	return wave.IsWave(in.Operation) && in.State != pool.StateFailed
}

// leaving returns the number of instances on their way out of a pool.
func leaving(rows []pool.Stored) int {
	count := 0
	for _, row := range rows {
		if row.TargetPool != "" {
			count++
		}
	}
	return count
}

func (f *Fleet) beginMove(ctx context.Context, p *pass, from pool.Pool, order move.Transfer, fence provider.Check) error {
	members := make([]wave.Member, 0, len(p.byPool[from.Name()]))
	for _, row := range p.byPool[from.Name()] {
		members = append(members, wave.Member{
			ID: row.ID, Rack: row.Rack, DataCentre: row.DataCentre,
			Down:    row.Down() || !f.available(row.ID),
			Pending: !order.Return || row.HomePool != row.Pool,
		})
	}
	chosen := wave.Plan(from, members)
	chosen = chosen[:min(len(chosen), order.Count, max(0, from.MaxMovable(len(members))-leaving(p.byPool[from.Name()])))]
	if len(chosen) == 0 {
		return nil
	}
	version, ok := p.planned[from.Name()]
	if !ok {
		return nil
	}
	var olds []pool.Stored
	var nexts []pool.Instance
	for i, row := range p.byPool[from.Name()] {
		if !slices.Contains(chosen, row.ID) {
			continue
		}
		target := order.To
		if order.Return {
			target = row.HomePool
		}
		report, _ := f.reports.Get(row.ID)
		next := wave.BeginStop(p.now, row.Instance, report, pool.StateMoving, movePrefix+target)
		next.TargetPool = target
		olds, nexts = append(olds, row), append(nexts, next)
		// The pool has used this part of its budget, also if the outcome of the transaction is unknown.
		p.byPool[from.Name()][i].Instance = next
		p.begun[row.ID] = true
	}
	if err := f.rows.BeginStops(ctx, from.Name(), version, olds, nexts, fence); err != nil {
		return err
	}
	delete(p.planned, from.Name())
	f.options.Logger.Info("Moves begun.", "from", from.Name(), "to", order.To, "instances", chosen)
	f.announce(nexts...)
	for _, next := range nexts {
		f.call(ctx, p, next, wave.CallDrain)
	}
	return nil
}
