package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// orderMargin is added to the time after which the orders of an earlier holder have surely ended.
	orderMargin = 500 * time.Millisecond
	// instanceRetry is the pause after an order for an instance that was not accepted.
	instanceRetry = time.Second
	// drainPatience is how long tasks may go on running on an instance that is due for maintenance.
	drainPatience = 4 * time.Second
	// stopMargin is added to the time that a worker takes to stop a task.
	stopMargin = 400 * time.Millisecond
	// listLag is how long after an order was recorded a list may not show its effect.
	listLag = 1500 * time.Millisecond
	// listPatience is how old the list of instances may be when an order is given.
	listPatience = 3 * time.Second
)

// fleet is what the holder knows of instances and their maintenance.
type fleet struct {
	instances map[string]instance.Instance
	listed    time.Duration
	waves     map[int]*wave
	// plans holds the orders that are given once they are recorded.
	plans  []InstanceCommand
	orders []InstanceCommand
	// recorded holds when each instance was ordered last, and formerOrders the orders of earlier holders.
	recorded     map[string]time.Duration
	formerOrders map[string]time.Duration
	// busy holds the instances with an order on its way, and until when others are not ordered again.
	busy  map[string]bool
	pause map[string]time.Duration
	// byWorker holds the instance of each worker.
	byWorker map[string]string
	// arrivals holds since when an instance is listed with its present worker.
	arrivals map[string]listedWorker
	// moves holds the moves that are not accepted yet, and moved those that are, until a newer list.
	moves map[string]*movement
	moved map[string]move
	// excess holds since when a pool has had too many instances.
	excess  map[string]time.Duration
	planned time.Duration
	// dark holds the data centres out of reach.
	dark map[string]bool
}

// InstanceCommand is an order for an instance. Its outcome goes back to the core with [Core.InstanceReplied].
type InstanceCommand struct {
	Instance string
	// Wave is the wave of a maintenance, and 0 for a move.
	Wave int
	// Pool is where a move goes to.
	Pool   string
	worker string
}

func newFleet() *fleet {
	return &fleet{
		instances: make(map[string]instance.Instance), waves: make(map[int]*wave), busy: make(map[string]bool), pause: make(map[string]time.Duration),
		recorded: make(map[string]time.Duration), formerOrders: make(map[string]time.Duration),
		byWorker: make(map[string]string), arrivals: make(map[string]listedWorker), moves: make(map[string]*movement), moved: make(map[string]move), excess: make(map[string]time.Duration),
	}
}

// SetInstances takes the list of instances as of a time.
func (c *Core) SetInstances(instances []instance.Instance, at time.Duration) {
	c.fleet.listed = at
	clear(c.fleet.instances)
	clear(c.fleet.byWorker)
	for _, m := range instances {
		if mv, ok := c.fleet.moved[m.ID]; ok {
			if mv.at >= at {
				m.Pool, m.State, m.Worker = mv.pool, instance.Moving, ""
			} else {
				delete(c.fleet.moved, m.ID)
			}
		}
		c.fleet.instances[m.ID] = m
		if a, ok := c.fleet.arrivals[m.ID]; !ok || a.worker != m.Worker || a.pool != m.Pool {
			c.fleet.arrivals[m.ID] = listedWorker{worker: m.Worker, pool: m.Pool, at: at}
		}
		if m.Worker != "" {
			c.fleet.byWorker[m.Worker] = m.ID
		}
	}
}

// NeedsInstances reports whether the list of instances is of use.
func (c *Core) NeedsInstances() bool {
	for _, w := range c.fleet.waves {
		if !w.finished {
			return true
		}
	}
	return c.sparePool() != ""
}

// mayOrder reports whether no earlier holder can still order the instance. Orders are recorded before they are given.
func (c *Core) mayOrder(id string) bool {
	at, ok := c.fleet.formerOrders[id]
	return !ok || c.now > at+max(c.o.Bounds.InstanceCommandInterval, LeadershipTimeout+instanceTimeout)+orderMargin
}

// SetFormerOrders takes when an earlier holder recorded its latest orders for instances, on the own clock.
func (c *Core) SetPreviousInstanceCommands(recorded map[string]time.Duration) {
	for id, at := range recorded {
		c.fleet.formerOrders[id] = at
		c.fleet.recorded[id] = at
	}
}

// order gives an order for an instance once it is recorded.
func (f *fleet) order(now time.Duration, o InstanceCommand) {
	f.busy[o.Instance] = true
	f.recorded[o.Instance] = now
	f.plans = append(f.plans, o)
}

// takeRecorded returns the latest orders for instances, without those that are of no more use.
func (f *fleet) takeRecorded(now time.Duration) map[string]time.Duration {
	recorded := make(map[string]time.Duration, len(f.recorded))
	for id, at := range f.recorded {
		if now-at > recordedFor {
			delete(f.recorded, id)
			continue
		}
		recorded[id] = at
	}
	return recorded
}

// recordedFor is how long an order for an instance stays recorded.
const recordedFor = 20 * time.Second

// InstanceOrders plans the maintenance and returns the orders that are due.
func (c *Core) InstanceCommands() []InstanceCommand {
	f := c.fleet
	for _, h := range c.hosts {
		if h.report.Draining {
			c.evacuate(h, true)
		}
	}
	if c.deposed || c.now-f.listed > listPatience || len(f.instances) == 0 {
		return nil
	}
	numbers := make([]int, 0, len(f.waves))
	for n := range f.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		if w := f.waves[n]; !w.finished {
			c.planWave(w)
		}
	}
	c.planMoves()
	orders := f.orders
	f.orders = nil
	return orders
}

// empty reports whether nothing runs on an instance: it has no worker, or the worker has said so lately, or its lease has
// run out. A worker that is not known or not heard of may run anything.
func (c *Core) empty(m instance.Instance) bool {
	if m.Worker == "" {
		return true
	}
	h, ok := c.hosts[m.Worker]
	if !ok || !h.touched {
		return false
	}
	if h.lapsed {
		return true
	}
	return len(h.runs) == 0 && h.foreign == 0 && c.now-h.reported < servingAge
}

// evacuate stops service tasks on a worker that is about to end, within their disruption budgets. Batch tasks
// are left to end unless hurry is set and they can go on from a checkpoint.
func (c *Core) evacuate(h *host, hurry bool) {
	for _, r := range hostRuns(h) {
		if r.phase != running {
			continue
		}
		s := r.step
		switch {
		case s.doc.Service:
			if c.choose(s, r.index, c.freeHosts(c.pool(s.job.doc.Pool))) != nil && c.mayDisrupt(r) {
				c.stop(r, "the worker is about to end")
			}
		case hurry && s.doc.Checkpoints && !h.report.Draining:
			c.stop(r, "the instance is due for maintenance")
		}
	}
}

// mayDisrupt reports whether stopping a service task keeps the disruption budget of its step. Each other task that is not
// at work counts as away, whatever the cause. Reports that are older than lookAge are asked for anew first.
func (c *Core) mayDisrupt(r *run) bool {
	s := r.step
	if s.doc.Disruptions == 0 || r.on.report.Draining {
		return true
	}
	away, stale := 0, false
	for i := range s.tasks {
		if i == r.index {
			continue
		}
		other := s.tasks[i].serving()
		if other == nil || c.now-other.on.reported > servingAge {
			away++
			continue
		}
		// The holder before may have stopped the task, which goes on until the worker has carried that out.
		if c.o.Term > 1 && c.now < other.on.reached+c.o.Bounds.StopTimeout+stopMargin {
			return false
		}
		if c.now-other.on.reported > lookAge {
			stale = true
			c.look(other.on)
		}
	}
	return away < s.doc.Disruptions && !stale
}

// serving returns the run of a task that is at work according to the last report.
func (t *task) serving() *run {
	for _, r := range t.runs {
		if r.phase == running && r.percent >= fullPace {
			return r
		}
	}
	return nil
}

// look asks a worker for a report at once.
func (c *Core) look(h *host) {
	if c.now < h.looked+lookPause {
		return
	}
	h.looked = c.now
	c.orders = append(c.orders, Command{Kind: CommandPoll, Target: target(h), host: h, run: unwanted, Renew: worker.RenewOrder{
		Until: h.until, Fence: c.o.Fence, Acknowledged: h.stored,
	}})
}

// InstanceReplied takes the outcome of an order for an instance.
func (c *Core) HandleInstanceReply(o InstanceCommand, outcome instance.Outcome, err error) {
	f := c.fleet
	delete(f.busy, o.Instance)
	w := f.waves[o.Wave]
	f.recorded[o.Instance] = c.now
	c.logger.Info("Order for an instance was answered.", "instance", o.Instance, "wave", o.Wave, "pool", o.Pool, "outcome", outcome.String(), "error", err)
	if outcome == instance.Accepted {
		if h, ok := c.hosts[o.worker]; ok {
			c.loseHost(h, "the instance is in maintenance or moves")
		}
	}
	if o.Wave == 0 && outcome != instance.Fenced {
		c.moveReplied(o, outcome)
		return
	}
	switch outcome {
	case instance.Accepted:
		if w != nil {
			w.begun[o.Instance] = o.worker
			w.accepted[o.Instance] = c.now
			w.changed = true
		}
	case instance.Fenced:
		c.deposed = true
	case instance.NotInWave, instance.Invalid:
		if w != nil {
			w.dropped[o.Instance] = true
		}
		if h, ok := c.hosts[o.worker]; ok {
			h.reserved = false
		}
	default:
		f.pause[o.Instance] = c.now + instanceRetry
	}
}
