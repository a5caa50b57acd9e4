package scheduler

import (
	"math"
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
	plans  []InstanceOrder
	orders []InstanceOrder
	// recorded holds when each instance was ordered last, and formerOrders the orders of earlier holders.
	recorded     map[string]time.Duration
	formerOrders map[string]time.Duration
	// busy holds the instances with an order on its way, and until when others are not ordered again.
	busy  map[string]bool
	pause map[string]time.Duration
	// byWorker holds the instance of each worker.
	byWorker map[string]string
	// moves holds the moves that are not accepted yet, and moved those that are, until a newer list.
	moves map[string]*movement
	moved map[string]move
	// excess holds since when a pool has had too many instances.
	excess  map[string]time.Duration
	planned time.Duration
}

// wave is a request for maintenance and how far it is.
type wave struct {
	doc instance.Wave
	// since is when the wave became known.
	since time.Duration
	// begun holds the instances whose maintenance has begun, with the worker that ran before.
	begun map[string]string
	// accepted is when the maintenance of an instance was accepted. Older lists do not show it.
	accepted map[string]time.Duration
	dropped  map[string]bool
	draining map[string]time.Duration
	finished bool
	changed  bool
}

// WaveProgress is what is stored of a wave.
type WaveProgress struct {
	Number int `cbor:"1,keyasint"`
	// Begun holds the instances whose maintenance has begun, with the worker that ran on them before.
	Begun    map[string]string `cbor:"2,keyasint,omitempty"`
	Finished bool              `cbor:"3,keyasint,omitempty"`
}

// InstanceOrder is an order for an instance. Its outcome goes back to the core with [Core.InstanceReplied].
type InstanceOrder struct {
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
		byWorker: make(map[string]string), moves: make(map[string]*movement), moved: make(map[string]move), excess: make(map[string]time.Duration),
	}
}

// AddWave takes a request for maintenance with its stored progress, which may be nil.
func (c *Core) AddWave(doc instance.Wave, progress *WaveProgress) {
	if _, ok := c.fleet.waves[doc.Number]; ok {
		return
	}
	w := &wave{doc: doc, since: c.now, begun: make(map[string]string), accepted: make(map[string]time.Duration), dropped: make(map[string]bool), draining: make(map[string]time.Duration), changed: progress == nil}
	if progress != nil {
		for id, worker := range progress.Begun {
			w.begun[id] = worker
		}
		w.finished = progress.Finished
	}
	c.fleet.waves[doc.Number] = w
	c.logger.Info("Wave is known.", "wave", doc.Number, "instances", len(doc.Instances), "maxDown", doc.MaxDown, "finishBy", doc.FinishBy, "begun", len(w.begun), "finished", w.finished)
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
	return !ok || c.now > at+max(c.o.Bounds.OrderTurn, Tenure+instanceTimeout)+orderMargin
}

// SetFormerOrders takes when an earlier holder recorded its latest orders for instances, on the own clock.
func (c *Core) SetFormerOrders(recorded map[string]time.Duration) {
	for id, at := range recorded {
		c.fleet.formerOrders[id] = at
		c.fleet.recorded[id] = at
	}
}

// order gives an order for an instance once it is recorded.
func (f *fleet) order(now time.Duration, o InstanceOrder) {
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
func (c *Core) InstanceOrders() []InstanceOrder {
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

// planWave drains instances of a wave and orders their maintenance, at most MaxDown at a time.
func (c *Core) planWave(w *wave) {
	f := c.fleet
	down := 0
	for id := range w.begun {
		m, ok := f.instances[id]
		// A list may be older than the last order, also one of an earlier holder.
		if ok && (m.State != instance.Up || f.listed <= w.accepted[id] || f.listed <= f.recorded[id]+listLag) {
			down++
		}
	}
	waiting := make([]string, 0, len(w.doc.Instances))
	for _, id := range w.doc.Instances {
		if _, begun := w.begun[id]; begun || w.dropped[id] {
			continue
		}
		m, ok := f.instances[id]
		if !ok {
			c.logger.Warn("Instance of a wave is not listed.", "wave", w.doc.Number, "instance", id)
			w.dropped[id] = true
			continue
		}
		waiting = append(waiting, id)
		if f.busy[id] || (m.State == instance.InMaintenance) {
			down++
		}
	}
	if len(waiting) == 0 {
		if !w.finished {
			w.finished, w.changed = true, true
			c.logger.Info("Wave is finished.", "wave", w.doc.Number, "took", c.now-w.since, "instances", len(w.begun), "dropped", len(w.dropped))
		}
		return
	}
	c.drainNext(w, waiting, min(w.doc.MaxDown, c.wavePace(w, len(waiting)))-down)
	for _, id := range waiting {
		if down >= w.doc.MaxDown {
			return
		}
		if c.maintain(w, id) {
			down++
		}
	}
}

// wavePace returns how many instances of a wave are drained or in maintenance at a time, so that it ends in time and takes
// no more capacity than it has to.
func (c *Core) wavePace(w *wave, waiting int) int {
	left := w.since + w.doc.FinishBy - waveReserve - c.now
	each := c.o.Bounds.Upkeep + drainTime
	if left < each {
		return w.doc.MaxDown
	}
	return int(math.Ceil(float64(waiting) * float64(each) / float64(left)))
}

const (
	// waveReserve is left at the end of a wave for instances that take long to become empty.
	waveReserve = 5 * time.Second
	// drainTime is how long an instance takes to become empty. Tasks take about a second.
	drainTime = 2 * time.Second
)

// drainNext reserves instances so that they become empty, up to a number of instances. Those that are switched off cost nothing.
func (c *Core) drainNext(w *wave, waiting []string, limit int) {
	draining := 0
	for _, id := range waiting {
		if _, ok := w.draining[id]; ok {
			draining++
		}
	}
	for {
		id := c.emptiest(w, waiting)
		if id == "" || (draining >= limit && c.fleet.instances[id].Worker != "") {
			return
		}
		w.draining[id] = c.now
		draining++
		if h, ok := c.hosts[c.fleet.instances[id].Worker]; ok {
			h.reserved = true
			c.logger.Info("Instance is drained for maintenance.", "wave", w.doc.Number, "instance", id, "worker", h.report.ID, "runs", len(h.runs))
		}
	}
}

// emptiest returns the instance that is not drained yet and has the least to lose.
func (c *Core) emptiest(w *wave, waiting []string) string {
	best, bestRuns := "", 0
	for _, id := range waiting {
		if _, ok := w.draining[id]; ok {
			continue
		}
		if _, moving := c.fleet.moves[id]; moving || c.fleet.instances[id].State != instance.Up {
			continue
		}
		runs := 0
		if h, ok := c.hosts[c.fleet.instances[id].Worker]; ok {
			runs = len(h.runs) + servicePenalty*h.services
		}
		if best == "" || runs < bestRuns {
			best, bestRuns = id, runs
		}
	}
	return best
}

// servicePenalty is how many batch tasks a service task counts for when instances are drained.
const servicePenalty = 10

// maintain orders the maintenance of an instance that is empty. It reports whether an order is on its way.
func (c *Core) maintain(w *wave, id string) bool {
	f := c.fleet
	since, draining := w.draining[id]
	if !draining || c.now < f.pause[id] || !c.mayOrder(id) {
		return false
	}
	if f.busy[id] {
		// It is counted already.
		return false
	}
	m := f.instances[id]
	if m.State != instance.Up {
		return false
	}
	if !c.empty(m) {
		if h, ok := c.hosts[m.Worker]; ok {
			h.reserved = true
			c.evacuate(h, c.now-since > drainPatience)
		}
		return false
	}
	f.order(c.now, InstanceOrder{Instance: id, Wave: w.doc.Number, worker: m.Worker})
	c.logger.Info("Maintenance is ordered.", "wave", w.doc.Number, "instance", id, "worker", m.Worker, "fence", c.o.Fence, "listAge", c.now-f.listed)
	return true
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
	return len(h.runs) == 0 && h.foreign == 0 && c.now-h.contact < servingAge
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
		if other == nil || c.now-other.on.contact > servingAge {
			away++
			continue
		}
		// The holder before may have stopped the task, which goes on until the worker has carried that out.
		if c.o.Tenure > 1 && c.now < other.on.reached+c.o.Bounds.StopTimeout+stopMargin {
			return false
		}
		if c.now-other.on.contact > lookAge {
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
	c.orders = append(c.orders, Order{Kind: OrderLook, Target: target(h), host: h, run: unwanted, Renew: worker.RenewOrder{
		Until: h.until, Fence: c.o.Fence, Acknowledged: h.stored,
	}})
}

// InstanceReplied takes the outcome of an order for an instance.
func (c *Core) InstanceReplied(o InstanceOrder, outcome instance.Outcome, err error) {
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

// takeWaves returns the waves whose progress is not stored.
func (f *fleet) takeWaves() map[int]WaveProgress {
	var changed map[int]WaveProgress
	for n, w := range f.waves {
		if !w.changed {
			continue
		}
		if changed == nil {
			changed = make(map[int]WaveProgress)
		}
		begun := make(map[string]string, len(w.begun))
		for id, worker := range w.begun {
			begun[id] = worker
		}
		changed[n] = WaveProgress{Number: n, Begun: begun, Finished: w.finished}
		w.changed = false
	}
	return changed
}

func (f *fleet) returnWaves(waves map[int]WaveProgress) {
	for n := range waves {
		if w, ok := f.waves[n]; ok {
			w.changed = true
		}
	}
}
