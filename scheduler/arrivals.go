package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/pools/losses"
)

// survivalTime is how long the worker of an instance that has moved has to answer until the instance counts as usable. A crash is
// noticed within contactTimeout.
const survivalTime = 5 * time.Second

// movedInstance is an instance that has moved to a pool and has not survived its arrival yet.
type movedInstance struct {
	pool      string
	plannedAt time.Duration
	// reachableSince is the time since which its worker has been reachable, and 0 if it is not.
	reachableSince time.Duration
	// lost means that it does not count as capacity any more. It may still answer, late.
	lost bool
}

// judgeArrivals finds out which of the instances that have moved have survived their arrival and which were lost.
func (c *Core) judgeArrivals() {
	f := c.fleet
	lost := make(map[string]int)
	for id, moved := range f.arrivals {
		inst, listed := f.instances[id]
		if listed && (inst.Pool != moved.pool || inst.State == instance.InMaintenance || f.draining(id) || c.evacuations.Contains(inst.DataCentre)) {
			delete(f.arrivals, id)
			continue
		}
		switch {
		case !listed || inst.State != instance.Up || !c.reachable(inst):
			moved.reachableSince = 0
		case moved.reachableSince == 0:
			moved.reachableSince = c.now
		case c.now-moved.reachableSince >= survivalTime:
			delete(f.arrivals, id)
			delete(f.arrivalLosses, moved.pool)
			continue
		}
		if !moved.lost && (!listed || !c.serves(inst)) {
			moved.lost = true
			if before, ok := f.arrivalLosses[moved.pool]; !ok || before.Begins(moved.plannedAt) {
				lost[moved.pool]++
			}
		}
	}
	for pool, instances := range lost {
		if f.arrivalLosses[pool] == nil {
			f.arrivalLosses[pool] = &losses.Rounds{}
		}
		pause := f.arrivalLosses[pool].Add(c.now)
		c.logger.Warn("Instances were lost on arrival in a pool.", "pool", pool, "instances", instances, "roundsInARow", f.arrivalLosses[pool].Count(), "pause", pause)
	}
}

// maxArrivals returns how many instances a pool may get now. That is less than it needs after instances were lost on arrival one round
// after the other, since whatever takes them down would take down the whole spare pool.
func (c *Core) maxArrivals(d demand) int {
	f := c.fleet
	missing := d.need - d.have
	rounds, ok := f.arrivalLosses[d.pool]
	if !ok {
		return missing
	}
	arriving := 0
	for _, moved := range f.arrivals {
		if moved.pool == d.pool && !moved.lost {
			arriving++
		}
	}
	for _, mv := range f.pendingMoves {
		if mv.pool == d.pool {
			arriving++
		}
	}
	return rounds.Limit(c.now, d.need, missing, arriving)
}
