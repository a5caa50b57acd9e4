package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/pools/donors"
)

const (
	// planInterval is the time between two plans of moves.
	planInterval = 150 * time.Millisecond
	// minTimeLeft is the lower limit of the time in which the work of a job is to be done, for the demand of a pool.
	minTimeLeft = 400 * time.Millisecond
	// headroom is the factor by which a pool gets more than its demand, since tasks do not fill instances completely.
	headroom = 1.15
	// minInstances is the minimum size of a pool, so that some instances are left after the loss of a rack.
	minInstances = 3
	// releaseDelay is how long an instance has to be in excess before it is switched off. Two moves cost as much as 2.3 s of
	// an instance in a pool.
	releaseDelay = 1800 * time.Millisecond
	// moveDrain is how long tasks may keep running on an instance that is to move.
	moveDrain = 1500 * time.Millisecond
	// minMaxMoves is the lower limit for the maximum number of moves in progress.
	minMaxMoves = 24
	// moveRateShare is the share of the commands that the platform accepts which is used for moves. The rest is for maintenance and
	// for commands that are repeated.
	moveRateShare = 0.8
)

// maxMoves returns the maximum number of moves in progress: as many as the platform accepts between two plans. A surge of a large
// pool needs hundreds of instances within a second.
func (c *Core) maxMoves() int {
	return max(minMaxMoves, int(moveRateShare*c.options.InstanceCommandRate*planInterval.Seconds()))
}

// pendingMove is a move that has not been accepted yet.
type pendingMove struct {
	pool  string
	since time.Duration
}

// planMoves moves instances from pools with too many to pools with too few, and switches off those that are not needed.
func (c *Core) planMoves() {
	f := c.fleet
	if c.now < f.plannedAt+planInterval {
		return
	}
	f.plannedAt = c.now
	spare := c.sparePool()
	demands, perInstance := c.demands(spare)
	if perInstance == 0 {
		return
	}
	c.advanceMoves()
	c.judgeArrivals()
	f.unreachable = c.unreachableDataCentres()
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Or(cmp.Compare(b.need-b.have, a.need-a.have), cmp.Compare(a.pool, b.pool))
	})
	excess := make(map[string]int)
	for _, d := range demands {
		if d.have > d.need {
			excess[d.pool] = d.have - d.need
		} else {
			delete(f.excessSince, d.pool)
		}
	}
	maxMoves := c.maxMoves()
	available := donors.List{InUse: c.instancesInUse(excess, demands), Spare: c.spareInstances(spare)}
	for _, d := range demands {
		for n := c.maxArrivals(d); n > 0 && len(f.pendingMoves) < maxMoves; n-- {
			id := available.Choose(excess)
			if id == "" {
				return
			}
			c.startMove(id, d.pool, d)
		}
	}
	c.releaseExcess(spare, excess, demands, available.InUse)
	c.releaseEvacuated(spare, demands)
}

// sparePool returns the pool whose instances are switched off.
func (c *Core) sparePool() string {
	for name, p := range c.catalog.Pools {
		if p.Spare {
			return name
		}
	}
	return ""
}

// spareInstances returns the instances of the spare pool that can move, by ID.
func (c *Core) spareInstances(spare string) []string {
	var ids []string
	for id, inst := range c.fleet.instances {
		if inst.Pool == spare && !c.evacuations.Contains(inst.DataCentre) && c.movable(id, inst) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// movable reports whether an instance can be commanded to move.
func (c *Core) movable(id string, inst instance.Instance) bool {
	f := c.fleet
	_, moving := f.pendingMoves[id]
	return inst.State == instance.Up && !moving && !f.commandInFlight[id] && c.now >= f.pausedUntil[id] && !f.draining(id) && !f.unreachable[inst.DataCentre] && c.mayCommand(id)
}

// draining reports whether a wave is draining the instance.
func (f *fleet) draining(id string) bool {
	for _, w := range f.waves {
		if _, ok := w.drainingSince[id]; ok {
			if _, started := w.begun[id]; !started {
				return true
			}
		}
	}
	return false
}

// instancesInUse returns the instances that can move in pools with an excess, in no order. None of them runs a
// service or a best-effort task, or is kept free for a service.
func (c *Core) instancesInUse(excess map[string]int, demands []demand) []donors.Instance {
	var list []donors.Instance
	for _, d := range demands {
		if excess[d.pool] <= 0 {
			continue
		}
		for _, ws := range c.pool(d.pool).workers {
			if ws.services+ws.bestEffort+len(ws.reservations) > 0 || ws.cordoned || ws.report.Draining || c.evacuated(ws) {
				continue
			}
			id, ok := c.fleet.byWorker[ws.report.ID]
			if !ok || !c.movable(id, c.fleet.instances[id]) || !c.reachable(c.fleet.instances[id]) {
				continue
			}
			list = append(list, donors.Instance{ID: id, Pool: d.pool, Runs: len(ws.runs)})
		}
	}
	slices.SortStableFunc(list, func(a, b donors.Instance) int { return cmp.Compare(a.Runs, b.Runs) })
	return list
}

// releaseExcess switches off empty instances of pools that have had an excess for a while.
func (c *Core) releaseExcess(spare string, excess map[string]int, demands []demand, inUse []donors.Instance) {
	f := c.fleet
	// Nothing is known about the demand before the first batch job of the term.
	if spare == "" || !c.batchJobSeen {
		return
	}
	for _, d := range demands {
		if excess[d.pool] <= 0 {
			continue
		}
		since, ok := f.excessSince[d.pool]
		if !ok {
			f.excessSince[d.pool] = c.now
			continue
		}
		if c.now-since < releaseDelay || c.pool(d.pool).arrivals.IsRising(c.now) {
			continue
		}
		for _, candidate := range inUse {
			if excess[d.pool] <= 0 || len(f.pendingMoves) >= c.maxMoves() || candidate.Runs > 0 {
				break
			}
			if candidate.Pool != d.pool {
				continue
			}
			excess[d.pool]--
			c.startMove(candidate.ID, spare, d)
		}
	}
}

// startMove plans the move of an instance to a pool, for the demand of that pool or of the one that it leaves.
func (c *Core) startMove(id, pool string, cause demand) {
	inst := c.fleet.instances[id]
	c.fleet.pendingMoves[id] = &pendingMove{pool: pool, since: c.now}
	ws, ok := c.workers[inst.Worker]
	if ok {
		ws.cordon(id)
	}
	c.logger.Info("Move of an instance was planned.", "instance", id, "from", inst.Pool, "to", pool, "worker", inst.Worker, "listAge", c.now-c.fleet.listedAt,
		"pool", cause.pool, "need", cause.need, "have", cause.have)
	c.commandMove(id)
}

// commandMove plans the move command of an instance, if it is empty.
func (c *Core) commandMove(id string) {
	f := c.fleet
	inst, mv := f.instances[id], f.pendingMoves[id]
	if f.commandInFlight[id] || c.now < f.pausedUntil[id] {
		return
	}
	if !c.isEmpty(inst) {
		return
	}
	f.planCommand(c.now, InstanceCommand{Instance: id, Pool: mv.pool, worker: inst.Worker})
}

// advanceMoves commands the moves of instances that have become empty, and cancels those that have not in time.
func (c *Core) advanceMoves() {
	f := c.fleet
	for id, mv := range f.pendingMoves {
		inst, ok := f.instances[id]
		if f.commandInFlight[id] {
			continue
		}
		useless := c.evacuations.Contains(inst.DataCentre) && mv.pool != c.sparePool()
		if !ok || inst.State != instance.Up || useless || c.now-mv.since > moveDrain {
			c.dropMove(id)
			continue
		}
		c.commandMove(id)
	}
}

// dropMove cancels a move. The instance stays in use where it is.
func (c *Core) dropMove(id string) {
	f := c.fleet
	delete(f.pendingMoves, id)
	if ws, ok := c.workers[f.instances[id].Worker]; ok && !f.draining(id) {
		ws.cordoned = false
	}
}

// handleMoveReply processes the outcome of a move.
func (c *Core) handleMoveReply(cmd InstanceCommand, outcome instance.Outcome) {
	f := c.fleet
	switch outcome {
	case instance.Accepted:
		inst := f.instances[cmd.Instance]
		inst.Pool, inst.State, inst.Worker = cmd.Pool, instance.Moving, ""
		f.instances[cmd.Instance] = inst
		f.acceptedMoves[cmd.Instance] = acceptedMove{pool: cmd.Pool, at: c.now}
		if mv, ok := f.pendingMoves[cmd.Instance]; ok && cmd.Pool != c.sparePool() {
			f.joining.Add(cmd.Instance, cmd.Pool, mv.since)
		}
		delete(f.pendingMoves, cmd.Instance)
	case instance.Unknown:
		// The command is repeated. The platform accepts a move that is already done.
	default:
		c.dropMove(cmd.Instance)
	}
}

// acceptedMove is a move that was accepted. Older lists do not show it.
type acceptedMove struct {
	pool string
	at   time.Duration
}
