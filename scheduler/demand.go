package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/jobs/gang"
	"github.com/chivetiller/chivetiller/internal/jobs/order"
	"github.com/chivetiller/chivetiller/work"
)

// demand is the number of instances that a pool needs and has.
type demand struct {
	pool string
	need int
	have int
}

// neededCores returns the number of cores that a pool needs. Services need what they request. Jobs need enough to finish
// within their latency targets, or enough to keep up with arrivals if that is more.
func (c *Core) neededCores(p *pool) float64 {
	var total, jobs float64
	for _, j := range p.jobs {
		q := c.queueOf(j)
		for _, o := range j.open {
			if j.service {
				for _, s := range o.steps {
					if s.doc.Service && !s.doc.BestEffort {
						total += float64(s.tasksLeft) * float64(s.doc.Request.CPU) / 1000
					}
				}
				continue
			}
			criticalPath, left := c.remainingWork(o)
			jobs += left / max(order.TimeLeft(c.now, criticalPath, o.latencyStart(j), o.targetEnd(q, j)), minTimeLeft).Seconds()
		}
	}
	return total + max(jobs, p.arrivals.ExpectedRate(c.now))
}

// minWidth returns the number of workers that the widest service of the pool needs. One more allows moving its tasks one by one.
func (p *pool) minWidth() int {
	widest := 0
	for _, j := range p.jobs {
		widest = max(widest, j.doc.MinWorkers())
	}
	return widest
}

// waitingGangs returns the shapes of the gangs of a pool that wait to start, and whose teams may start them. Those that require a label are
// left out, since moves do not look at the labels of instances.
func (c *Core) waitingGangs(p *pool) map[gang.Shape]bool {
	var shapes map[gang.Shape]bool
	for _, j := range p.jobs {
		for _, o := range j.open {
			for _, s := range o.steps {
				if !s.doc.Gang || s.doc.RequiredLabel != "" || s.tasksLeft == 0 || s.idleTasks < s.tasksLeft || !s.ready() || !c.withinTeamLimit(s, int64(s.tasksLeft)) {
					continue
				}
				if shapes == nil {
					shapes = make(map[gang.Shape]bool)
				}
				shapes[gang.Shape{Request: s.doc.ReservedResources(), Count: s.tasksLeft, MaxPerWorker: s.doc.MaxPerWorker}] = true
			}
		}
	}
	return shapes
}

// gangWidth returns the number of instances that a pool needs for the widest gang that waits to start. All its tasks start together, so that it
// needs them at once, however little work it is. A gang that does not fit even with the spare instances needs none.
func (c *Core) gangWidth(p *pool, spare string) int {
	shapes := c.waitingGangs(p)
	if len(shapes) == 0 {
		return 0
	}
	var inPool, inSpare []work.Resources
	for _, inst := range c.fleet.instances {
		switch {
		case inst.Pool == p.name && c.serves(inst):
			inPool = append(inPool, inst.Capacity)
		case spare != "" && inst.Pool == spare && inst.State == instance.Up && !c.evacuations.Contains(inst.DataCentre):
			inSpare = append(inSpare, inst.Capacity)
		}
	}
	byCPU := func(a, b work.Resources) int { return cmp.Compare(b.CPU, a.CPU) }
	slices.SortFunc(inPool, byCPU)
	slices.SortFunc(inSpare, byCPU)
	widest, all := 0, slices.Concat(inPool, inSpare)
	for shape := range shapes {
		width := shape.Width(all)
		if width == 0 && !p.tooWide[shape] {
			if p.tooWide == nil {
				p.tooWide = make(map[gang.Shape]bool)
			}
			p.tooWide[shape] = true
			c.logger.Warn("Gang does not fit into its pool and the spare instances.", "pool", p.name, "tasks", shape.Count, "cpu", shape.Request.CPU,
				"memory", shape.Request.Memory, "gpu", shape.Request.GPU, "maxPerWorker", shape.MaxPerWorker, "inPool", len(inPool), "spare", len(inSpare))
		}
		widest = max(widest, width)
	}
	return widest
}

// demands returns the demand of each pool that a queue uses or that has jobs left, and the mean number of cores of an instance.
func (c *Core) demands(spare string) ([]demand, float64) {
	used := make(map[string]bool)
	for i := range c.catalog.Queues {
		used[c.catalog.Queues[i].Pool] = true
	}
	have := make(map[string]int)
	avoided := make(map[string]int)
	missing := make(map[string]float64)
	var cores float64
	for id, inst := range c.fleet.instances {
		total, unavailable := c.instanceCores(inst)
		cores += total
		pool := inst.Pool
		if mv, ok := c.fleet.pendingMoves[id]; ok {
			pool = mv.pool
		}
		// An instance that is in maintenance or unreachable is replaced in the meantime.
		if c.serves(inst) {
			have[pool]++
			missing[pool] += unavailable
			if pool == inst.Pool && c.withoutTasks(inst) {
				avoided[pool]++
			}
		}
	}
	if len(c.fleet.instances) == 0 {
		return nil, 0
	}
	perInstance := cores / float64(len(c.fleet.instances))
	var demands []demand
	for name := range c.catalog.Pools {
		if name == spare {
			continue
		}
		p := c.pool(name)
		if !used[name] && len(p.jobs) == 0 {
			continue
		}
		width := p.minWidth() + 1
		if p.overdueAt > 0 && c.now-p.overdueAt < overdueMemory {
			width += avoided[name]
		}
		need := max(minInstances, width, c.gangWidth(p, spare), int(math.Ceil((c.neededCores(p)*headroom+missing[name])/perInstance)))
		demands = append(demands, demand{pool: name, need: need, have: have[name]})
	}
	return demands, perInstance
}

// overdueMemory is how long after a task of a service was overdue its pool gets other instances for those whose workers take no tasks.
const overdueMemory = 3 * time.Second

// withoutTasks reports whether the worker of an instance that serves takes no tasks at present.
func (c *Core) withoutTasks(inst instance.Instance) bool {
	ws, ok := c.workers[inst.Worker]
	return ok && ws.answered && !c.acceptsTasks(ws)
}

// instanceCores returns the number of cores of an instance, and how many of them its worker does not offer at present.
func (c *Core) instanceCores(inst instance.Instance) (cores, missing float64) {
	cores = float64(inst.Capacity.CPU) / 1000
	ws, ok := c.workers[inst.Worker]
	if !ok || !ws.listed || !ws.registered() {
		return cores, 0
	}
	full := float64(ws.maxCPU) / 1000
	return max(cores, full), full - float64(ws.report.Capacity.CPU)/1000
}

// listedWorker is the worker of an instance and the time of the first list that showed it.
type listedWorker struct {
	worker, pool string
	at           time.Duration
}

// registrationGrace is how long an instance counts towards its pool after a list first showed its worker, although that has
// not answered yet. In benchmarks workers answered within 0.4 s of the first list that named them.
const registrationGrace = time.Second

// serves reports whether an instance adds to the capacity of its pool, or soon will.
func (c *Core) serves(inst instance.Instance) bool {
	return !c.evacuations.Contains(inst.DataCentre) && c.inOrder(inst)
}

// inOrder reports whether an instance serves unless its data centre is evacuated.
func (c *Core) inOrder(inst instance.Instance) bool {
	switch {
	case inst.State == instance.Moving:
		return true
	case inst.State != instance.Up || c.fleet.draining(inst.ID):
		return false
	}
	return c.reachable(inst) || c.now-c.fleet.firstListed[inst.ID].at < registrationGrace
}

// reachable reports whether the worker on an instance has answered recently.
func (c *Core) reachable(inst instance.Instance) bool {
	ws, ok := c.workers[inst.Worker]
	return ok && ws.answered && !ws.leaseExpired && c.now-ws.lastContact <= contactTimeout
}

// unreachableDataCentres returns the data centres that have workers of which none is reachable. An instance that moves
// there would be of no use.
func (c *Core) unreachableDataCentres() map[string]bool {
	unreachable := make(map[string]bool)
	for _, inst := range c.fleet.instances {
		if inst.State != instance.Up || inst.Worker == "" {
			continue
		}
		if c.inOrder(inst) || c.fleet.draining(inst.ID) {
			unreachable[inst.DataCentre] = false
		} else if _, known := unreachable[inst.DataCentre]; !known {
			unreachable[inst.DataCentre] = true
		}
	}
	return unreachable
}
