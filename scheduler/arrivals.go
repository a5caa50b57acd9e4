package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/common/backoff"
	"github.com/chivetiller/chivetiller/instance"
)

const (
	// survivalTime is how long the worker of an instance that has moved has to answer until the instance counts as usable. A crash is
	// noticed within contactTimeout.
	survivalTime = 5 * time.Second
	// freeLostRounds is the number of rounds in a row that may be lost without consequences. A failure beside the moves costs one or two.
	freeLostRounds = 2
	// firstArrivalPause is the pause after the first lost round that has consequences. It doubles with each further one up to
	// maxArrivalPause.
	firstArrivalPause = 2 * time.Second
	maxArrivalPause   = 2 * time.Minute
)

// movedInstance is an instance that has moved to a pool and has not survived its arrival yet.
type movedInstance struct {
	pool      string
	plannedAt time.Duration
	// reachableSince is the time since which its worker has been reachable, and 0 if it is not.
	reachableSince time.Duration
	// lost means that it does not count as capacity any more. It may still answer, late.
	lost bool
}

// arrivalLosses counts the rounds of moves into a pool, one after the other, in which instances were lost on arrival and none survived.
type arrivalLosses struct {
	rounds int
	// countedAt is the time at which the latest round was counted. Instances whose move was planned before belong to it.
	countedAt   time.Duration
	pausedUntil time.Duration
}

// judgeArrivals finds out which of the instances that have moved have survived their arrival and which were lost.
func (c *Core) judgeArrivals() {
	f := c.fleet
	lost := make(map[string]int)
	for id, moved := range f.arrivals {
		inst, listed := f.instances[id]
		if listed && (inst.Pool != moved.pool || inst.State == instance.InMaintenance || f.draining(id)) {
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
			if losses, ok := f.arrivalLosses[moved.pool]; !ok || moved.plannedAt >= losses.countedAt {
				lost[moved.pool]++
			}
		}
	}
	for pool, instances := range lost {
		losses, ok := f.arrivalLosses[pool]
		if !ok {
			losses = &arrivalLosses{}
			f.arrivalLosses[pool] = losses
		}
		losses.rounds++
		losses.countedAt = c.now
		var pause time.Duration
		if losses.rounds > freeLostRounds {
			pause = backoff.Doubled(losses.rounds-freeLostRounds, firstArrivalPause, maxArrivalPause)
		}
		losses.pausedUntil = c.now + pause
		c.logger.Warn("Instances were lost on arrival in a pool.", "pool", pool, "instances", instances, "roundsInARow", losses.rounds, "pause", pause)
	}
}

// maxArrivals returns how many instances a pool may get now. That is less than it needs after instances were lost on arrival one round
// after the other, since whatever takes them down would take down the whole spare pool.
func (c *Core) maxArrivals(d demand) int {
	f := c.fleet
	missing := d.need - d.have
	losses, ok := f.arrivalLosses[d.pool]
	if !ok || losses.rounds <= freeLostRounds {
		return missing
	}
	if c.now < losses.pausedUntil {
		return 0
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
	return min(missing, max(1, d.need>>(losses.rounds-freeLostRounds))-arriving)
}
