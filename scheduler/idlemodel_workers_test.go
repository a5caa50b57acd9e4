package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/workers/throttling"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// idleModelInstance is an instance. Faults belong to it, and end with their time.
type idleModelInstance struct {
	model    *idleModel
	id       string
	address  string
	pool     string
	labels   []string
	cpu      int64
	state    instance.State
	worker   *idleModelWorker
	gone     bool
	lives    int
	bootAt   time.Duration
	leavesAt time.Duration
	// keepsID means that the next worker has the ID of the one before.
	keepsID bool
	// cutUntil is the end of a cut, after which the worker is replaced if cutAsOther is set.
	cutUntil   time.Duration
	cutAsOther bool
	// unhealthyUntil is the end of a fault of the worker, unhealthyMode its kind.
	unhealthyUntil time.Duration
	unhealthyMode  int
	// unlistedUntil is the time until which the registry does not list the worker.
	unlistedUntil time.Duration
	// shrunkUntil is the time until which the worker offers a share of its capacity.
	shrunkUntil time.Duration
	shrunkTo    float64
	// flapUntil is the time until which the worker goes down and up by turns, flapPeriod the time of each turn.
	flapUntil, flapPeriod time.Duration
}

// Kinds of unhealthy workers.
const (
	refusesStarts = iota
	failsRuns
	refusesAndFails
	hangs
	startsUnanswered
	unhealthyModes
)

type idleModelRun struct {
	job    *idleModelJob
	step   *work.Step
	task   work.Task
	number int
	since  time.Duration
	// endsAt is when the run ends, and 0 for a service, with the reason.
	endsAt time.Duration
	reason worker.ExitReason
}

// idleModelWorker is a life of a worker as the platform documents it.
type idleModelWorker struct {
	id          string
	incarnation int64
	born        time.Duration
	// rate is that of the clock.
	rate    float64
	fence   uint64
	expiry  time.Duration
	runs    []*idleModelRun
	highest map[work.Task]int
	exits   []worker.Exit
	seq     uint64
	held    []idleModelHeld
}

// idleModelHeld is a renewal that waits for an exit.
type idleModelHeld struct {
	until time.Duration
	reply func(worker.Status)
}

// idleModelEntryRow is an entry of the registry.
type idleModelEntryRow struct {
	report worker.Report
	seen   time.Duration
}

func (m *idleModel) addInstance(pool string, number int) *idleModelInstance {
	id := fmt.Sprintf("m%02d", len(m.instances))
	inst := &idleModelInstance{
		model: m, id: id, address: id + ":1", pool: pool, cpu: 1000 * idleModelCores,
		labels: []string{fmt.Sprint("m", number%4/3), fmt.Sprint("r1-", number/(4**idleModelScale))},
	}
	m.instances = append(m.instances, inst)
	if pool != "off" {
		inst.boot()
	}
	return inst
}

func (inst *idleModelInstance) boot() {
	m := inst.model
	inst.lives++
	m.lives++
	w := &idleModelWorker{
		id: fmt.Sprintf("%s/%d", inst.id, inst.lives), incarnation: int64(m.now/time.Millisecond)*100 + int64(m.lives%100), born: m.now,
		rate: 1 - maxClockSlowdown*m.chance("clock", inst.id, inst.lives), highest: make(map[work.Task]int),
	}
	if inst.keepsID && inst.lives > 1 {
		w.id = fmt.Sprintf("%s/same", inst.id)
	}
	inst.worker, inst.state, inst.bootAt, inst.leavesAt = w, instance.Up, 0, 0
}

// end ends the worker of the instance, which is back at a time, if that is not 0.
func (inst *idleModelInstance) end(state instance.State, backAt time.Duration) {
	inst.worker, inst.state, inst.bootAt, inst.leavesAt = nil, state, backAt, 0
}

func (inst *idleModelInstance) listed() instance.Instance {
	i := instance.Instance{ID: inst.id, Pool: inst.pool, State: inst.state, Labels: inst.labels, Capacity: work.Resources{CPU: inst.cpu, Memory: 256000}}
	if inst.worker != nil {
		i.Worker = inst.worker.id
	}
	return i
}

func (inst *idleModelInstance) unhealthy(now time.Duration, modes ...int) bool {
	return now < inst.unhealthyUntil && slices.Contains(modes, inst.unhealthyMode)
}

func (inst *idleModelInstance) reachable(now time.Duration) bool {
	return inst.worker != nil && now >= inst.cutUntil && !inst.unhealthy(now, hangs)
}

// sound reports whether nothing is wrong with the instance and it does not leave.
func (inst *idleModelInstance) sound(now time.Duration) bool {
	return inst.reachable(now) && inst.state == instance.Up && now >= inst.unhealthyUntil && now >= inst.unlistedUntil && inst.leavesAt == 0 && now >= inst.flapUntil
}

func (inst *idleModelInstance) capacity() work.Resources {
	c := work.Resources{CPU: inst.cpu, Memory: 256000}
	if inst.model.now < inst.shrunkUntil {
		c.CPU = int64(float64(c.CPU) * inst.shrunkTo)
	}
	return c
}

func (inst *idleModelInstance) free() work.Resources {
	free := inst.capacity()
	for _, r := range inst.worker.runs {
		free = free.Minus(r.step.ReservedResources())
	}
	return free
}

func (w *idleModelWorker) clock(now time.Duration) time.Duration {
	return time.Second + time.Duration(float64(now-w.born)*w.rate)
}

func (w *idleModelWorker) exit(r *idleModelRun, reason worker.ExitReason) {
	w.runs = slices.DeleteFunc(w.runs, func(other *idleModelRun) bool { return other == r })
	w.seq++
	w.exits = append(w.exits, worker.Exit{Seq: w.seq, Task: r.task, Number: r.number, Reason: reason})
}

// stepInstance lets a step of time pass on an instance.
func (m *idleModel) stepInstance(inst *idleModelInstance) {
	if inst.gone {
		return
	}
	if m.now < inst.flapUntil && inst.worker != nil && int((inst.flapUntil-m.now)/inst.flapPeriod)%2 == 0 {
		inst.end(instance.Down, m.now+inst.flapPeriod)
	}
	if inst.bootAt > 0 && m.now >= inst.bootAt {
		if inst.pool == "off" {
			inst.state, inst.bootAt = instance.Up, 0
		} else {
			inst.boot()
		}
	}
	w := inst.worker
	if w == nil {
		return
	}
	if inst.cutUntil > 0 && m.now >= inst.cutUntil {
		inst.cutUntil = 0
		if inst.cutAsOther {
			inst.boot()
			return
		}
	}
	if inst.leavesAt > 0 && m.now >= inst.leavesAt {
		m.unlist(w.id)
		inst.end(instance.Down, m.now+m.between(time.Second, 4*time.Second, "back", inst.id, m.now))
		return
	}
	for _, r := range slices.Clone(w.runs) {
		switch {
		case w.clock(m.now) > w.expiry:
			w.exit(r, worker.ExitLeaseExpired)
		case r.endsAt > 0 && m.now >= r.endsAt:
			w.exit(r, r.reason)
		}
	}
	w.held = slices.DeleteFunc(w.held, func(h idleModelHeld) bool {
		if !inst.reachable(m.now) || len(w.exits) == 0 && m.now < h.until {
			return false
		}
		h.reply(w.status(m.now))
		return true
	})
}

func (w *idleModelWorker) status(now time.Duration) worker.Status {
	s := worker.Status{Reply: worker.Reply{Clock: w.clock(now), Incarnation: w.incarnation}, Exited: slices.Clone(w.exits)}
	for _, r := range w.runs {
		percent := 0
		if now-r.since >= 300*time.Millisecond {
			percent = throttling.FullSpeed
		}
		s.Running = append(s.Running, worker.Run{Task: r.task, Number: r.number, SpeedPercent: percent})
	}
	return s
}

// take checks the fencing token of an order.
func (w *idleModelWorker) take(now time.Duration, fence uint64) (worker.Reply, bool) {
	reply := worker.Reply{Clock: w.clock(now)}
	if fence < w.fence {
		reply.Outcome = worker.Fenced
		return reply, false
	}
	w.fence = fence
	return reply, true
}

// carryOut carries out an order on the worker that is at the address now.
func (m *idleModel) carryOut(inst *idleModelInstance, cmd Command) worker.Reply {
	w := inst.worker
	if w.id != cmd.Target.ID {
		return worker.Reply{Outcome: worker.OtherInstance}
	}
	if inst.unhealthy(m.now, refusesStarts, refusesAndFails) {
		return worker.Reply{Outcome: worker.Unhealthy}
	}
	switch cmd.Kind {
	case CommandStart:
		return m.start(inst, cmd.Start)
	case CommandStop:
		return m.stop(w, cmd.Run)
	}
	reply, _ := w.take(m.now, cmd.Run.Fence)
	return reply
}

func (m *idleModel) start(inst *idleModelInstance, s worker.StartCommand) worker.Reply {
	w := inst.worker
	reply, ok := w.take(m.now, s.Fence)
	if !ok {
		return reply
	}
	i := slices.IndexFunc(w.runs, func(r *idleModelRun) bool { return r.task == s.Task })
	j := m.byID[s.Task.Job]
	step := &j.doc.Steps[s.Task.Step]
	switch {
	case i >= 0 && w.runs[i].number == s.Run:
	case i >= 0 || s.Run <= w.highest[s.Task]:
		reply.Outcome = worker.Superseded
	case s.LeaseExpiry <= w.clock(m.now):
		reply.Outcome = worker.Expired
		return reply
	case m.catalog.Pools[inst.pool].EnforcesCapacity && !step.ReservedResources().Fits(inst.free()):
		reply.Outcome = worker.NoRoom
	case !m.ticketHolds(j, w, s.Ticket):
		reply.Outcome = worker.NoTicket
	default:
		w.highest[s.Task] = s.Run
		r := &idleModelRun{job: j, step: step, task: s.Task, number: s.Run, since: m.now}
		w.runs = append(w.runs, r)
		m.planEnd(inst, r)
	}
	w.expiry = max(w.expiry, s.LeaseExpiry)
	return reply
}

// planEnd decides when a run ends by itself.
func (m *idleModel) planEnd(inst *idleModelInstance, r *idleModelRun) {
	if r.job.takes > 0 {
		r.endsAt = m.now + m.between(r.job.takes*9/10, r.job.takes*12/10, r.task, r.number)
	}
	if m.now < r.job.failUntil && m.chance("fails", r.task) < r.job.failing {
		r.endsAt, r.reason = m.now+r.job.failEvery, worker.ExitFailed
	}
	if inst.unhealthy(m.now, failsRuns, refusesAndFails) {
		r.endsAt, r.reason = m.now+m.between(100*time.Millisecond, 1500*time.Millisecond, "fault", r.task, r.number), worker.ExitFailed
	}
}

func (m *idleModel) stop(w *idleModelWorker, s worker.RunCommand) worker.Reply {
	reply, ok := w.take(m.now, s.Fence)
	if !ok {
		return reply
	}
	w.highest[s.Task] = max(w.highest[s.Task], s.Run)
	for _, r := range w.runs {
		if r.task == s.Task && r.number == s.Run && r.reason != worker.ExitStopped {
			r.endsAt, r.reason = m.now+m.between(0, 800*time.Millisecond, "stop", r.task, r.number), worker.ExitStopped
		}
	}
	return reply
}

// allows reports whether the policy allows a job on a worker.
func (m *idleModel) allows(job, id string) bool { return m.chance("policy", job, id) < 0.9 }

// ticketHolds reports whether a ticket allows a start. It names the worker and its expiry.
func (m *idleModel) ticketHolds(j *idleModelJob, w *idleModelWorker, ticket string) bool {
	if q, ok := m.catalog.Queue(j.doc.Queue); !ok || q.Policy == nil {
		return true
	}
	id, until, ok := strings.Cut(ticket, " ")
	n, err := strconv.ParseInt(until, 10, 64)
	return ok && err == nil && id == fmt.Sprint(w.id, "+", w.incarnation) && m.now < time.Duration(n)
}

// renew extends the lease of a worker, and returns what it reports.
func (m *idleModel) renew(w *idleModelWorker, id string, c worker.RenewCommand) worker.Status {
	if w.id != id {
		return worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}
	}
	reply, ok := w.take(m.now, c.Fence)
	if !ok {
		return worker.Status{Reply: reply}
	}
	w.expiry = max(w.expiry, c.LeaseExpiry)
	w.exits = slices.DeleteFunc(w.exits, func(e worker.Exit) bool { return e.Seq <= c.AcknowledgedSeq })
	return w.status(m.now)
}

// stepRegistry renews the entries of the workers, and removes those that are not renewed.
func (m *idleModel) stepRegistry() {
	if m.faults.storeDown(m.now) {
		return
	}
	for _, inst := range m.instances {
		w := inst.worker
		if w == nil || m.now < inst.cutUntil || m.now < inst.unlistedUntil {
			continue
		}
		r := worker.Report{
			ID: w.id, Pool: inst.pool, Address: inst.address, Incarnation: w.incarnation, Labels: inst.labels, Capacity: inst.capacity(), Draining: inst.leavesAt > 0,
			Remaining: max(0, inst.leavesAt-m.now),
		}
		i := slices.IndexFunc(m.registry, func(e *idleModelEntryRow) bool { return e.report.ID == w.id })
		if i < 0 {
			m.registry = append(m.registry, &idleModelEntryRow{})
			i = len(m.registry) - 1
		}
		m.registry[i].report, m.registry[i].seen = r, m.now
	}
	m.registry = slices.DeleteFunc(m.registry, func(e *idleModelEntryRow) bool { return m.now > e.seen+idleModelEntry })
}

// unlist removes a worker that has left from the registry.
func (m *idleModel) unlist(id string) {
	m.registry = slices.DeleteFunc(m.registry, func(e *idleModelEntryRow) bool { return e.report.ID == id })
}

// at returns the instance at an address.
func (m *idleModel) at(address string) *idleModelInstance {
	for _, inst := range m.instances {
		if inst.address == address {
			return inst
		}
	}
	return nil
}
