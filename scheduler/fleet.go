package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// orderMargin is added to the time after which the orders of an earlier holder have surely ended.
	commandMargin = 500 * time.Millisecond
	// instanceRetry is the pause after an order for an instance that was not accepted.
	instanceRetryPause = time.Second
	// drainPatience is how long tasks may go on running on an instance that is due for maintenance.
	drainTimeout = 4 * time.Second
	// stopMargin is added to the time that a worker takes to stop a task.
	stopMargin = 400 * time.Millisecond
	// listLag is how long after an order was recorded a list may not show its effect.
	listLag = 1500 * time.Millisecond
	// listPatience is how old the list of instances may be when an order is given.
	maxListAge = 3 * time.Second
)

// fleet is what the holder knows of instances and their maintenance.
type fleet struct {
	instances map[string]instance.Instance
	listedAt  time.Duration
	waves     map[int]*wave
	// plans holds the orders that are given once they are recorded.
	plannedCommands []InstanceCommand
	commands        []InstanceCommand
	// recorded holds when each instance was ordered last, and formerOrders the orders of earlier holders.
	commandedAt      map[string]time.Duration
	previousCommands map[string]time.Duration
	// busy holds the instances with an order on its way, and until when others are not ordered again.
	busy        map[string]bool
	pausedUntil map[string]time.Duration
	// byWorker holds the instance of each worker.
	byWorker map[string]string
	// arrivals holds since when an instance is listed with its present worker.
	firstListed map[string]listedWorker
	// moves holds the moves that are not accepted yet, and moved those that are, until a newer list.
	pendingMoves  map[string]*pendingMove
	acceptedMoves map[string]acceptedMove
	// excess holds since when a pool has had too many instances.
	excessSince map[string]time.Duration
	plannedAt   time.Duration
	// dark holds the data centres out of reach.
	unreachable map[string]bool
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
		instances: make(map[string]instance.Instance), waves: make(map[int]*wave), busy: make(map[string]bool), pausedUntil: make(map[string]time.Duration),
		commandedAt: make(map[string]time.Duration), previousCommands: make(map[string]time.Duration),
		byWorker: make(map[string]string), firstListed: make(map[string]listedWorker), pendingMoves: make(map[string]*pendingMove), acceptedMoves: make(map[string]acceptedMove), excessSince: make(map[string]time.Duration),
	}
}

// SetInstances takes the list of instances as of a time.
func (c *Core) SetInstances(instances []instance.Instance, at time.Duration) {
	c.fleet.listedAt = at
	clear(c.fleet.instances)
	clear(c.fleet.byWorker)
	for _, m := range instances {
		if mv, ok := c.fleet.acceptedMoves[m.ID]; ok {
			if mv.at >= at {
				m.Pool, m.State, m.Worker = mv.pool, instance.Moving, ""
			} else {
				delete(c.fleet.acceptedMoves, m.ID)
			}
		}
		c.fleet.instances[m.ID] = m
		if a, ok := c.fleet.firstListed[m.ID]; !ok || a.worker != m.Worker || a.pool != m.Pool {
			c.fleet.firstListed[m.ID] = listedWorker{worker: m.Worker, pool: m.Pool, at: at}
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
func (c *Core) mayCommand(id string) bool {
	at, ok := c.fleet.previousCommands[id]
	return !ok || c.now > at+max(c.o.Bounds.InstanceCommandInterval, LeadershipTimeout+instanceTimeout)+commandMargin
}

// SetFormerOrders takes when an earlier holder recorded its latest orders for instances, on the own clock.
func (c *Core) SetPreviousInstanceCommands(recorded map[string]time.Duration) {
	for id, at := range recorded {
		c.fleet.previousCommands[id] = at
		c.fleet.commandedAt[id] = at
	}
}

// order gives an order for an instance once it is recorded.
func (f *fleet) planCommand(now time.Duration, cmd InstanceCommand) {
	f.busy[cmd.Instance] = true
	f.commandedAt[cmd.Instance] = now
	f.plannedCommands = append(f.plannedCommands, cmd)
}

// takeRecorded returns the latest orders for instances, without those that are of no more use.
func (f *fleet) takeCommandTimes(now time.Duration) map[string]time.Duration {
	recorded := make(map[string]time.Duration, len(f.commandedAt))
	for id, at := range f.commandedAt {
		if now-at > commandRetention {
			delete(f.commandedAt, id)
			continue
		}
		recorded[id] = at
	}
	return recorded
}

// recordedFor is how long an order for an instance stays recorded.
const commandRetention = 20 * time.Second

// InstanceOrders plans the maintenance and returns the orders that are due.
func (c *Core) InstanceCommands() []InstanceCommand {
	f := c.fleet
	for _, ws := range c.workers {
		if ws.report.Draining {
			c.evacuate(ws, true)
		}
	}
	if c.deposed || c.now-f.listedAt > maxListAge || len(f.instances) == 0 {
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
	commands := f.commands
	f.commands = nil
	return commands
}

// empty reports whether nothing runs on an instance: it has no worker, or the worker has said so lately, or its lease has
// run out. A worker that is not known or not heard of may run anything.
func (c *Core) isEmpty(m instance.Instance) bool {
	if m.Worker == "" {
		return true
	}
	ws, ok := c.workers[m.Worker]
	if !ok || !ws.answered {
		return false
	}
	if ws.leaseExpired {
		return true
	}
	return len(ws.runs) == 0 && ws.unknownRuns == 0 && c.now-ws.reportedAt < maxServingAge
}

// evacuate stops service tasks on a worker that is about to end, within their disruption budgets. Batch tasks
// are left to end unless hurry is set and they can go on from a checkpoint.
func (c *Core) evacuate(ws *workerState, hurry bool) {
	for _, r := range runsOn(ws) {
		if r.phase != running {
			continue
		}
		s := r.step
		switch {
		case s.doc.Service:
			if c.chooseWorker(s, r.index, c.usableWorkers(c.pool(s.job.doc.Pool))) != nil && c.mayDisrupt(r) {
				c.stopRun(r, "the worker is about to end")
			}
		case hurry && s.doc.Checkpoints && !ws.report.Draining:
			c.stopRun(r, "the instance is due for maintenance")
		}
	}
}

// mayDisrupt reports whether stopping a service task keeps the disruption budget of its step. Each other task that is not
// at work counts as away, whatever the cause. Reports that are older than lookAge are asked for anew first.
func (c *Core) mayDisrupt(r *run) bool {
	s := r.step
	if s.doc.Disruptions == 0 || r.worker.report.Draining {
		return true
	}
	away, stale := 0, false
	for i := range s.tasks {
		if i == r.index {
			continue
		}
		other := s.tasks[i].serving()
		if other == nil || c.now-other.worker.reportedAt > maxServingAge {
			away++
			continue
		}
		// The holder before may have stopped the task, which goes on until the worker has carried that out.
		if c.o.Term > 1 && c.now < other.worker.firstAnswer+c.o.Bounds.StopTimeout+stopMargin {
			return false
		}
		if c.now-other.worker.reportedAt > maxPollAge {
			stale = true
			c.pollWorker(other.worker)
		}
	}
	return away < s.doc.Disruptions && !stale
}

// serving returns the run of a task that is at work according to the last report.
func (t *task) serving() *run {
	for _, r := range t.runs {
		if r.phase == running && r.percent >= fullPercent {
			return r
		}
	}
	return nil
}

// look asks a worker for a report at once.
func (c *Core) pollWorker(ws *workerState) {
	if c.now < ws.polledAt+pollPause {
		return
	}
	ws.polledAt = c.now
	c.commands = append(c.commands, Command{Kind: CommandPoll, Target: workerTarget(ws), worker: ws, run: unknownRun, Renew: worker.RenewOrder{
		Until: ws.leaseUntil, Fence: c.o.Fence, Acknowledged: ws.exitsStored,
	}})
}

// InstanceReplied takes the outcome of an order for an instance.
func (c *Core) HandleInstanceReply(cmd InstanceCommand, outcome instance.Outcome, err error) {
	f := c.fleet
	delete(f.busy, cmd.Instance)
	w := f.waves[cmd.Wave]
	f.commandedAt[cmd.Instance] = c.now
	c.logger.Info("Order for an instance was answered.", "instance", cmd.Instance, "wave", cmd.Wave, "pool", cmd.Pool, "outcome", outcome.String(), "error", err)
	if outcome == instance.Accepted {
		if ws, ok := c.workers[cmd.worker]; ok {
			c.dropWorker(ws, "the instance is in maintenance or moves")
		}
	}
	if cmd.Wave == 0 && outcome != instance.Fenced {
		c.handleMoveReply(cmd, outcome)
		return
	}
	switch outcome {
	case instance.Accepted:
		if w != nil {
			w.begun[cmd.Instance] = cmd.worker
			w.acceptedAt[cmd.Instance] = c.now
			w.changed = true
		}
	case instance.Fenced:
		c.deposed = true
	case instance.NotInWave, instance.Invalid:
		if w != nil {
			w.dropped[cmd.Instance] = true
		}
		if ws, ok := c.workers[cmd.worker]; ok {
			ws.cordoned = false
		}
	default:
		f.pausedUntil[cmd.Instance] = c.now + instanceRetryPause
	}
}
