package scheduler

import (
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/pools/joining"
)

// judgeArrivals finds out which of the instances that have moved have survived their arrival and which were lost.
func (c *Core) judgeArrivals() {
	f := c.fleet
	lost := f.joining.Judge(c.now, func(id, pool string) joining.State {
		inst, listed := f.instances[id]
		if !listed {
			return joining.State{}
		}
		return joining.State{
			Left:      inst.Pool != pool || inst.State == instance.InMaintenance || f.draining(id) || c.evacuations.Contains(inst.DataCentre),
			Reachable: inst.State == instance.Up && c.reachable(inst), Serving: c.serves(inst),
		}
	})
	for pool, loss := range lost {
		c.logger.Warn("Instances were lost on arrival in a pool.", "pool", pool, "instances", loss.Instances, "roundsInARow", loss.Rounds, "pause", loss.Pause)
	}
}

// maxArrivals returns how many instances a pool may get now.
func (c *Core) maxArrivals(d demand) int {
	pending := 0
	for _, mv := range c.fleet.pendingMoves {
		if mv.pool == d.pool {
			pending++
		}
	}
	return c.fleet.joining.Limit(d.pool, d.need, d.need-d.have, pending, c.now)
}
