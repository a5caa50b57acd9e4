package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/pools/joining"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/internal/workers/throttling"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// commandMargin is added to the time after which the commands of previous leaders are certain to have ended.
	commandMargin = 500 * time.Millisecond
	// instanceRetryPause is the pause after an instance command that was not accepted. It doubles with each further one of a wave up to
	// maxInstanceRetryPause.
	instanceRetryPause    = time.Second
	maxInstanceRetryPause = 8 * time.Second
	// maxRefusals is the number of commands in a row after which an instance that accepts none counts as failed.
	maxRefusals = 3
	// drainTimeout is how long tasks may keep running on an instance that is due for maintenance.
	drainTimeout = 4 * time.Second
	// stopMargin is added to the time that a worker takes to stop a task.
	stopMargin = 400 * time.Millisecond
	// listLag is the time after a command was recorded during which a list may not show its effect.
	listLag = 1500 * time.Millisecond
	// maxListAge is the maximum age of the list of instances on which commands are based.
	maxListAge = 3 * time.Second
)

// fleet is the scheduler's view of instances and their maintenance.
type fleet struct {
	instances map[string]instance.Instance
	listedAt  time.Duration
	waves     map[int]*wave
	// plannedCommands holds the commands that are sent once they are recorded in the store.
	plannedCommands []InstanceCommand
	commands        []InstanceCommand
	// commandedAt holds the time of the latest command for each instance, and previousCommands those of previous leaders.
	commandedAt      map[string]time.Duration
	previousCommands map[string]time.Duration
	// commandInFlight holds the instances with a command that is planned or sent and has no reply yet.
	// Instances get no command before pausedUntil.
	commandInFlight map[string]bool
	pausedUntil     map[string]time.Duration
	// malformed holds the instances whose entries were malformed in the last list.
	malformed map[string]bool
	// byWorker holds the instance of each worker.
	byWorker map[string]string
	// firstListed holds the time since which an instance is listed with its present worker.
	firstListed map[string]listedWorker
	// pendingMoves holds the moves that are not accepted yet. acceptedMoves holds the others until a newer list is read.
	pendingMoves  map[string]*pendingMove
	acceptedMoves map[string]acceptedMove
	// joining holds the instances that have moved and whose workers have not survived for a while.
	joining *joining.Record
	// excessSince holds the time since which a pool has had too many instances.
	excessSince map[string]time.Duration
	plannedAt   time.Duration
	// unreachable holds the data centres that have workers of which none is reachable.
	unreachable map[string]bool
}

// InstanceCommand is a command for an instance. Its outcome goes back to the core with [Core.HandleInstanceReply].
type InstanceCommand struct {
	Instance string
	// Wave is the number of the wave whose maintenance is to begin, and 0 for a move.
	Wave int
	// Pool is the target of a move.
	Pool   string
	worker string
}

func newFleet() *fleet {
	return &fleet{
		instances: make(map[string]instance.Instance), waves: make(map[int]*wave), commandInFlight: make(map[string]bool), pausedUntil: make(map[string]time.Duration),
		commandedAt: make(map[string]time.Duration), previousCommands: make(map[string]time.Duration),
		byWorker: make(map[string]string), firstListed: make(map[string]listedWorker), pendingMoves: make(map[string]*pendingMove), acceptedMoves: make(map[string]acceptedMove), excessSince: make(map[string]time.Duration),
		joining: joining.New(),
	}
}

// SetInstances sets the list of instances as of a time.
func (c *Core) SetInstances(instances []instance.Instance, at time.Duration) {
	c.fleet.listedAt = at
	malformed := make(map[string]bool)
	for _, inst := range instances {
		if inst.Err == nil {
			continue
		}
		malformed[inst.ID] = true
		if !c.fleet.malformed[inst.ID] {
			c.logger.Warn("Entry of an instance is invalid.", "instance", inst.ID, "error", inst.Err)
		}
	}
	c.fleet.malformed = malformed
	clear(c.fleet.instances)
	clear(c.fleet.byWorker)
	complete := true
	for _, inst := range instances {
		if inst.ID == "" {
			// The entry may be that of any instance that is missing.
			complete = false
			continue
		}
		if mv, ok := c.fleet.acceptedMoves[inst.ID]; ok {
			if mv.at >= at {
				inst.Pool, inst.State, inst.Worker = mv.pool, instance.Moving, ""
			} else {
				delete(c.fleet.acceptedMoves, inst.ID)
			}
		}
		c.fleet.instances[inst.ID] = inst
		if a, ok := c.fleet.firstListed[inst.ID]; !ok || a.worker != inst.Worker || a.pool != inst.Pool {
			c.fleet.firstListed[inst.ID] = listedWorker{worker: inst.Worker, pool: inst.Pool, at: at}
		}
		if inst.Worker != "" {
			c.fleet.byWorker[inst.Worker] = inst.ID
		}
	}
	for _, w := range c.fleet.waves {
		if !w.finished && complete {
			c.recordAbsences(w, at)
		}
	}
}

// NeedsInstances reports whether the scheduler needs the list of instances: there is an unfinished wave or a spare pool.
func (c *Core) NeedsInstances() bool {
	for _, w := range c.fleet.waves {
		if !w.finished {
			return true
		}
	}
	return c.sparePool() != ""
}

// mayCommand reports whether no previous leader can still command the instance. Commands are recorded before they are sent.
func (c *Core) mayCommand(id string) bool {
	at, ok := c.fleet.previousCommands[id]
	return !ok || c.now > at+max(c.options.Bounds.InstanceCommandInterval, LeadershipTimeout+instanceTimeout)+commandMargin
}

// SetPreviousInstanceCommands sets the times at which previous leaders recorded their latest instance commands.
func (c *Core) SetPreviousInstanceCommands(recorded map[string]time.Duration) {
	for id, at := range recorded {
		c.fleet.previousCommands[id] = at
		c.fleet.commandedAt[id] = at
	}
}

// planCommand plans a command. It is sent once it is recorded.
func (f *fleet) planCommand(now time.Duration, cmd InstanceCommand) {
	f.commandInFlight[cmd.Instance] = true
	f.commandedAt[cmd.Instance] = now
	f.plannedCommands = append(f.plannedCommands, cmd)
}

// withdrawCommand removes a command that is planned, so that it does not take the place of another one. The instance gets none before a
// time.
func (c *Core) withdrawCommand(cmd InstanceCommand, until time.Duration) {
	f := c.fleet
	f.plannedCommands = slices.DeleteFunc(f.plannedCommands, func(planned InstanceCommand) bool { return planned.Instance == cmd.Instance })
	delete(f.commandInFlight, cmd.Instance)
	f.pausedUntil[cmd.Instance] = until
	w := f.waves[cmd.Wave]
	if w == nil {
		c.dropMove(cmd.Instance)
		return
	}
	delete(w.commandedAt, cmd.Instance)
	w.refusals[cmd.Instance] = maxRefusals
	c.postponeMaintenance(w, cmd.Instance)
}

// takePlannedCommands returns planned commands that are admitted, at most limit, with the time at which each is recorded. That is the
// present time and not the time of the plan, because the previous batch may have waited for a slow store.
func (f *fleet) takePlannedCommands(now time.Duration, limit int, admits func(store.Key) bool) (commands []InstanceCommand, times map[string]time.Duration) {
	f.plannedCommands = slices.DeleteFunc(f.plannedCommands, func(cmd InstanceCommand) bool {
		if len(commands) >= limit || !admits(commandKey(cmd.Instance)) {
			return false
		}
		commands = append(commands, cmd)
		return true
	})
	times = make(map[string]time.Duration, len(commands))
	for _, cmd := range commands {
		f.commandedAt[cmd.Instance] = now
		times[cmd.Instance] = now
	}
	return commands, times
}

// commandKey returns the key of the row that records the time of the latest command for an instance.
func commandKey(id string) store.Key { return rowkeys.Fleet(rowkeys.CommandPrefix + id) }

// takeExpiredCommands removes the times of commands that are older than commandRetention, at most limit, of those whose rows are
// admitted, and returns their instances.
func (f *fleet) takeExpiredCommands(now time.Duration, limit int, admits func(store.Key) bool) []string {
	var expired []string
	for id, at := range f.commandedAt {
		if len(expired) >= limit {
			break
		}
		if now-at > commandRetention && !f.commandInFlight[id] && admits(commandKey(id)) {
			delete(f.commandedAt, id)
			expired = append(expired, id)
		}
	}
	return expired
}

// commandRetention is how long the time of an instance command is kept.
const commandRetention = 20 * time.Second

// TakeInstanceCommands plans maintenance and moves and returns the commands that are due, which it removes from the
// queue. It also stops service tasks on draining workers.
func (c *Core) TakeInstanceCommands() []InstanceCommand {
	f := c.fleet
	for _, ws := range c.workers {
		if ws.report.Draining {
			c.evacuate(ws, true)
		}
	}
	c.moveOut()
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

// isEmpty reports whether nothing runs on an instance: it has no worker, or the worker has reported so recently, or its
// lease has expired. A worker that is not known or has not answered may run anything.
func (c *Core) isEmpty(inst instance.Instance) bool {
	if inst.Worker == "" {
		return true
	}
	ws, ok := c.workers[inst.Worker]
	if !ok || !ws.answered {
		return false
	}
	if ws.leaseExpired {
		return true
	}
	return len(ws.runs) == 0 && ws.unknownRuns == 0 && c.now-ws.reportedAt < maxServingAge
}

// evacuate stops service tasks on a worker that is about to go down, within their disruption budgets. Batch tasks are
// left to finish. stopCheckpointed also stops those that can continue from a checkpoint, but never on a worker that is
// itself draining.
func (c *Core) evacuate(ws *workerState, stopCheckpointed bool) {
	for _, r := range runsOn(ws) {
		if r.phase != running {
			continue
		}
		s := r.step
		switch {
		case s.doc.Service:
			switch {
			case c.chooseWorker(s, r.index, c.usableWorkers(c.pool(s.job.doc.Pool))) == nil:
				c.queryPolicy(s, true)
			case c.mayDisrupt(r):
				c.stopRun(r, "the worker is about to go down")
			}
		case stopCheckpointed && s.doc.Checkpoints && !ws.report.Draining:
			c.stopRun(r, "the instance is due for maintenance")
		}
	}
}

// evictServices stops the service tasks on a worker that have nowhere else to go, once nothing else runs there and if all of them may be
// disrupted. They start again when its instance is back.
func (c *Core) evictServices(ws *workerState) {
	runs := runsOn(ws)
	for _, r := range runs {
		if !r.step.doc.Service || r.phase != running || !c.mayDisrupt(r) {
			return
		}
	}
	for _, r := range runs {
		if c.mayDisrupt(r) {
			c.stopRun(r, "the instance is due for maintenance, and no other worker has room")
		}
	}
}

// mayDisrupt reports whether stopping a service task stays within the disruption budget of its step. Each other task that
// is not at work counts as down, for whatever reason. Workers whose reports are older than maxPollAge are polled first.
func (c *Core) mayDisrupt(r *run) bool {
	s := r.step
	if s.doc.MaxDisruptions == 0 || r.worker.report.Draining {
		return true
	}
	if r.worker.doubtedAt > 0 {
		// A stop without an answer could not be ruled out soon.
		c.pollWorker(r.worker)
		return false
	}
	down, stale := 0, false
	for i := range s.tasks {
		if i == r.index {
			continue
		}
		other := s.tasks[i].serving()
		if other == nil || c.now-other.worker.reportedAt > maxServingAge {
			down++
			continue
		}
		// The previous leader may have stopped the task, which runs until the worker has carried that out.
		if c.options.Term > 1 && c.now < other.worker.firstReply+c.options.Bounds.StopTimeout+stopMargin {
			return false
		}
		if c.now-other.worker.reportedAt > maxPollAge {
			stale = true
			c.pollWorker(other.worker)
		}
	}
	return down < s.doc.MaxDisruptions && !stale
}

// serving returns the run of a service task that is at work according to the last report, and nil if there is none.
func (t *task) serving() *run {
	for _, r := range t.runs {
		if r.phase == running && r.speedPercent >= throttling.FullSpeed {
			return r
		}
	}
	return nil
}

// pollWorker requests an immediate report from a worker.
func (c *Core) pollWorker(ws *workerState) {
	if c.now < ws.polledAt+pollPause {
		return
	}
	ws.polledAt = c.now
	to := c.newCall(ws)
	c.commands = append(c.commands, Command{Kind: CommandPoll, Target: workerTarget(ws), call: to, run: unknownRun, Renew: worker.RenewCommand{Fence: to.fence}})
}

// HandleInstanceReply processes the outcome of an instance command.
func (c *Core) HandleInstanceReply(cmd InstanceCommand, outcome instance.Outcome, err error) {
	f := c.fleet
	delete(f.commandInFlight, cmd.Instance)
	w := f.waves[cmd.Wave]
	f.commandedAt[cmd.Instance] = c.now
	c.logger.Info("Instance command was answered.", "instance", cmd.Instance, "wave", cmd.Wave, "pool", cmd.Pool, "outcome", outcome.String(), "error", err)
	if outcome == instance.Accepted {
		if ws, ok := c.workers[cmd.worker]; ok {
			c.dropWorker(ws, "the instance is in maintenance or moving")
		}
	}
	if ws, ok := c.workers[cmd.worker]; ok && outcome == instance.Unknown {
		ws.mayLeaveUntil = c.now + maxCommandDelay
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
			w.unstored = append(w.unstored, cmd.Instance)
		}
	case instance.Fenced:
		c.deposed = true
	case instance.NotInWave:
		if w != nil {
			w.dropped[cmd.Instance] = true
		}
		if ws, ok := c.workers[cmd.worker]; ok {
			ws.cordoned = false
		}
	case instance.Busy, instance.Unknown, instance.Invalid:
		// Invalid may mean that the platform does not know the instance yet, or not any more. Only the lists tell.
		f.pausedUntil[cmd.Instance] = c.now + c.recordRefusal(w, cmd.Instance)
	default:
		f.pausedUntil[cmd.Instance] = c.now + instanceRetryPause
	}
}
