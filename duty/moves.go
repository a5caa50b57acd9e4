package duty

import (
	"context"
	"slices"

	"github.com/chivetiller/chivetiller/move"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/wave"
)

// movePrefix begins the operation of a move in an instance row. The name of the receiving pool follows.
const movePrefix = "move/"

// beginMoves begins the moves that the planner proposes. Only the holder of the spare pool's duty decides on
// moves, for all pools, so that two processes never move the same spare instance. Its moves out of other pools are
// guarded by the rows of planned stops of these pools.
func (f *Fleet) beginMoves(ctx context.Context, p *fleetPass) error {
	spare := slices.IndexFunc(p.pools, pool.Pool.Spare)
	if f.options.Loads == nil || spare < 0 {
		return nil
	}
	duty := PoolDuty(p.pools[spare].Name())
	if _, held := p.leases.Holds(duty); !held {
		return nil
	}
	f.planner.Observe(p.now, f.options.Loads())
	for _, transfer := range f.planner.Plan(p.now, f.plannerPools(p)) {
		from := slices.IndexFunc(p.pools, func(each pool.Pool) bool { return each.Name() == transfer.From })
		if from < 0 {
			continue
		}
		fence, held := p.leases.Holds(duty)
		if !held {
			return nil
		}
		if err := f.beginMove(ctx, p, p.pools[from], transfer, fence); err != nil {
			return ignoreTransient(err)
		}
	}
	return nil
}

// plannerPools returns the state of the pools as the planner needs it.
func (f *Fleet) plannerPools(p *fleetPass) []move.Pool {
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
				// An instance returns from maintenance sooner than a moved one would arrive.
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

// InMaintenance reports whether an instance is stopped by a wave and is expected to return.
func InMaintenance(in pool.Instance) bool {
	return wave.IsWave(in.Operation) && in.State != pool.StateFailed
}

// countLeaving returns the number of instances that are moving out of a pool.
func countLeaving(rows []pool.Stored) int {
	count := 0
	for _, row := range rows {
		if row.TargetPool != "" {
			count++
		}
	}
	return count
}

// beginMove begins as many moves of a transfer as the availability budget of the pool allows.
func (f *Fleet) beginMove(ctx context.Context, p *fleetPass, from pool.Pool, transfer move.Transfer, fence provider.Check) error {
	members := make([]wave.Member, 0, len(p.byPool[from.Name()]))
	for _, row := range p.byPool[from.Name()] {
		members = append(members, wave.Member{
			ID: row.ID, Rack: row.Rack, DataCentre: row.DataCentre,
			Down:    row.Down() || !f.available(row.ID),
			Pending: !transfer.Return || row.HomePool != row.Pool,
		})
	}
	chosen := wave.Plan(from, append(members, f.unreadableMembers(p)...))
	chosen = chosen[:min(len(chosen), transfer.Count, max(0, from.MaxMovable(len(members))-countLeaving(p.byPool[from.Name()])))]
	if len(chosen) == 0 {
		return nil
	}
	version, ok := p.plannedVersions[from.Name()]
	if !ok {
		return nil
	}
	var oldRows []pool.Stored
	var newRows []pool.Instance
	for i, row := range p.byPool[from.Name()] {
		if !slices.Contains(chosen, row.ID) {
			continue
		}
		target := transfer.To
		if transfer.Return {
			target = row.HomePool
		}
		report, _ := f.reports.Get(row.ID)
		next := wave.BeginStop(p.now, row.Instance, report, pool.StateMoving, movePrefix+target)
		next.TargetPool = target
		oldRows, newRows = append(oldRows, row), append(newRows, next)
		// The move counts against the budget of the pool even if the outcome of the transaction is unknown.
		p.byPool[from.Name()][i].Instance = next
		p.attemptedStops[row.ID] = true
	}
	if err := f.rows.BeginStops(ctx, from.Name(), version, oldRows, newRows, fence); err != nil {
		return err
	}
	delete(p.plannedVersions, from.Name())
	f.options.Logger.Info("Instances are being moved.", "from", from.Name(), "to", transfer.To, "instances", chosen)
	f.announceChanges(newRows...)
	for _, next := range newRows {
		f.callPlatform(ctx, p, next, wave.CallDrain)
	}
	return nil
}
