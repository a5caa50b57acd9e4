package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// begin places a run on a worker and orders its start.
func (c *Core) begin(s *step, index, number int, h *host) {
	t := &s.tasks[index]
	r := &run{step: s, index: index, number: number, on: h, phase: planned, since: c.now, moved: c.now, pace: fullPace}
	c.attach(r)
	t.lastRun = max(t.lastRun, number)
	// A successor has to know where the task may run before it is started there.
	s.occurrence.progress.SetRun(s.number, index, h.report.ID, number)
	c.changed[s.job] = true
	c.plans = append(c.plans, r)
}

// order starts a planned run.
func (c *Core) order(r *run) {
	if r.phase != planned || !r.attached() {
		return
	}
	if c.hosts[r.on.report.ID] != r.on || r.on.lapsed {
		c.detach(r)
		c.breakGang(r)
		return
	}
	r.phase, r.since = starting, c.now
	j := r.step.job
	if !j.begun {
		c.observe(j, StageStarted)
	}
	j.begun = true
	c.counts.Started++
	c.logger.Info("Task is started.", "job", j.doc.ID, "task", r.name(), "run", r.number, "worker", r.on.report.ID,
		"fence", c.o.Fence, "waited", c.now-r.step.occurrence.due, "contactAge", c.now-r.on.contact, "config", c.catalog.Version)
	c.orderStart(r)
}

// outage is after which time without a stored batch the store counts as away.
const outage = 500 * time.Millisecond

// orderAway starts planned runs while the store is away, on workers that are recorded for their occurrence. A
// successor starts nothing of an occurrence before all its recorded workers have answered or their leases have run out.
func (c *Core) orderAway() {
	if len(c.plans) == 0 || c.now-c.stored < outage {
		return
	}
	left := c.plans[:0]
	for _, r := range c.plans {
		if c.now-r.since > outage && slices.Contains(r.step.occurrence.recorded, r.on.report.ID) {
			c.order(r)
			continue
		}
		left = append(left, r)
	}
	c.plans = left
}

// attach books a run on its worker and team.
func (c *Core) attach(r *run) {
	t := &r.step.tasks[r.index]
	if len(t.runs) == 0 && !t.done {
		r.step.idle--
	}
	t.runs = append(t.runs, r)
	r.on.runs[r.task()] = r
	r.on.used = r.on.used.Plus(r.step.doc.Charge())
	r.on.count(r.step.doc, 1)
	team := r.step.job.doc.Team
	c.teams[team] = c.teams[team].Plus(r.step.doc.Request)
}

// detach takes a run off its worker and team. It reports whether the run was attached.
func (c *Core) detach(r *run) bool {
	t := &r.step.tasks[r.index]
	for i, other := range t.runs {
		if other != r {
			continue
		}
		t.runs = append(t.runs[:i:i], t.runs[i+1:]...)
		if len(t.runs) == 0 && !t.done {
			r.step.idle++
		}
		if r.on.runs[r.task()] == r {
			delete(r.on.runs, r.task())
		}
		r.on.used = r.on.used.Minus(r.step.doc.Charge())
		r.on.count(r.step.doc, -1)
		c.pool(r.on.report.Pool).dirty = true
		team := r.step.job.doc.Team
		c.teams[team] = c.teams[team].Minus(r.step.doc.Request)
		t.lastWorker = r.on.report.ID
		return true
	}
	return false
}

func (c *Core) orderStart(r *run) {
	s := r.step
	order := worker.StartOrder{
		Task: r.task(), Run: r.number, Spec: s.job.doc.Spec, Until: c.leaseEnd(r.on), Fence: c.o.Fence,
	}
	if s.doc.Checkpoints || s.doc.Gang {
		order.Checkpoint = s.progress.Checkpoints[s.unit(r.index)]
	}
	if s.tickets != nil {
		order.Ticket = s.tickets.byWorker[r.on.report.ID]
	}
	c.orders = append(c.orders, Command{Kind: CommandStart, Target: target(r.on), Start: order, run: r, host: r.on})
}

// unit returns the index under which failures and checkpoints of a task are kept. A gang has one.
func (s *step) unit(index int) int {
	if s.doc.Gang {
		return 0
	}
	return index
}

func (r *run) name() string {
	return string(appendInt(appendInt(appendInt(nil, r.step.occurrence.number, 0), r.step.number, '.'), r.index, '.'))
}

func appendInt(b []byte, n int, separator byte) []byte {
	if separator != 0 {
		b = append(b, separator)
	}
	if n >= 10 {
		b = appendInt(b, n/10, 0)
	}
	return append(b, byte('0'+n%10))
}

func target(h *host) worker.Target { return worker.Target{ID: h.report.ID, Address: h.report.Address} }

// stop orders the end of a run. Its room is free once the worker lists the end.
func (c *Core) stop(r *run, reason string) {
	if r.phase == stopping {
		return
	}
	if r.phase == planned {
		c.detach(r)
		return
	}
	r.phase = stopping
	c.counts.Stopped++
	c.logger.Info("Task is stopped.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.on.report.ID, "reason", reason)
	c.orderStop(r)
}

func (c *Core) orderStop(r *run) {
	r.stopped = c.now
	c.orders = append(c.orders, Command{
		Kind: CommandStop, Target: target(r.on), Run: worker.RunOrder{Task: r.task(), Run: r.number, Fence: c.o.Fence}, run: r, host: r.on,
	})
}

// Replied takes the reply to an order.
func (c *Core) HandleReply(o Command, reply worker.Reply, sent time.Duration, err error) {
	h := o.host
	if c.hosts[h.report.ID] != h {
		return
	}
	if reply.Clock > 0 {
		c.noteClock(h, reply, sent)
	}
	switch reply.Outcome {
	case worker.Fenced:
		c.fenced(h, err)
		return
	case worker.OtherInstance:
		c.logger.Warn("Another instance answers for the worker.", "worker", h.report.ID, "error", err)
		c.loseHost(h, "another instance answers")
		return
	}
	switch o.Kind {
	case CommandStart:
		c.startReplied(o.run, reply, sent, err)
	case CommandStop:
		c.stopReplied(o, reply, err)
	case CommandThrottle:
		// A pace that got lost is sent again with the next report of the load.
		if reply.Outcome != worker.Accepted {
			o.run.pace = unknownPace
		}
	}
}

// attached reports whether the run is still booked.
func (r *run) attached() bool {
	for _, other := range r.step.tasks[r.index].runs {
		if other == r {
			return true
		}
	}
	return false
}

func (c *Core) startReplied(r *run, reply worker.Reply, sent time.Duration, err error) {
	if !r.attached() {
		return
	}
	if reply.Outcome == worker.Accepted {
		if r.phase == starting {
			r.phase = running
		}
		if r.confirmed == 0 {
			r.confirmed = c.now
		}
		return
	}
	c.logger.Warn("Start was not confirmed.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.on.report.ID,
		"outcome", reply.Outcome.String(), "took", c.now-sent, "tries", r.tries, "error", err)
	switch reply.Outcome {
	case worker.Unknown:
		// The same run is ordered again: a worker that has it already confirms it.
		r.tries++
		r.on.late = append(r.on.late, lateOrder{task: r.task(), run: r.number, since: c.now})
		if r.phase == starting {
			c.orderStart(r)
		}
		return
	case worker.Superseded:
		if r.tries > 0 {
			// An earlier order was carried out and has ended. The worker lists the end.
			r.phase = max(r.phase, running)
			r.confirmed = c.now
			return
		}
		r.step.tasks[r.index].lastRun += runsPerTenure
	case worker.NoRoom:
		r.on.closed = c.now + noRoomPause
	case worker.Expired:
		r.on.closed = c.now + noRoomPause
	case worker.NoTicket:
		r.step.tickets = nil
	case worker.Unhealthy:
		r.on.closed = c.now + unhealthyPause
		c.noteFailure(r)
	case worker.Invalid:
		r.step.tasks[r.index].notBefore = c.now + invalidPause
	}
	c.counts.Refused++
	if r.tries > 0 {
		// An earlier order with the same number may still be carried out. A stop shuts it out.
		r.phase = running
		c.stop(r, "start was refused after one without an answer")
		return
	}
	c.detach(r)
	c.breakGang(r)
}

func (c *Core) stopReplied(o Command, reply worker.Reply, err error) {
	r := o.run
	if r == unwanted {
		if reply.Outcome == worker.Unknown {
			c.orders = append(c.orders, o)
		}
		return
	}
	if !r.attached() {
		return
	}
	if reply.Outcome == worker.Accepted {
		r.confirmed = c.now
		return
	}
	c.logger.Warn("Stop was not confirmed.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.on.report.ID,
		"outcome", reply.Outcome.String(), "error", err)
	if reply.Outcome == worker.Unknown || reply.Outcome == worker.Unhealthy {
		// The stop is repeated soon.
		r.stopped = c.now - c.o.Bounds.StopTimeout - stopRepeat + orderPause
	}
}

// ended takes the end of a run.
func (c *Core) ended(r *run, how worker.EndKind, checkpoint string) {
	if !c.detach(r) {
		return
	}
	s := r.step
	j := s.job
	c.logger.Info("Task ended.", "job", j.doc.ID, "task", r.name(), "run", r.number, "worker", r.on.report.ID, "how", how.String(),
		"ran", c.now-r.since, "checkpoint", checkpoint != "")
	if checkpoint != "" && (s.doc.Checkpoints || s.doc.Gang) {
		s.progress.SetCheckpoint(s.unit(r.index), checkpoint)
		c.changed[j] = true
	}
	c.noteEnd(s, r.index, r.number, r, how)
}

// noteEnd takes the effect of an end on a step. The run is nil if it is not known.
func (c *Core) noteEnd(s *step, index, number int, r *run, how worker.EndKind) {
	j := s.job
	switch how {
	case worker.EndDone:
		c.counts.Done++
		if r != nil {
			c.noteSuccess(r)
		}
		if s.doc.Service {
			return
		}
		if s.doc.Gang {
			for i := range s.tasks {
				c.done(s, i)
			}
			return
		}
		c.done(s, index)
	case worker.EndFailed:
		c.counts.Failed++
		if r != nil {
			c.noteFailure(r)
		}
		if s.doc.Service || j.progress.State.Ended() {
			return
		}
		s.tasks[index].failed = c.now
		failures := s.progress.AddFailure(s.unit(index), number)
		c.changed[j] = true
		q, ok := c.catalog.Queue(j.doc.Queue)
		if ok && failures >= q.Attempts {
			c.logger.Info("Job has failed.", "job", j.doc.ID, "step", s.number, "index", index, "failures", failures)
			c.end(j, work.Failed, "a task failed as often as it may")
			return
		}
		if s.doc.Gang && r != nil {
			c.breakGang(r)
		}
	default:
		if s.doc.Gang && r != nil && how != worker.EndBroken {
			c.breakGang(r)
		}
	}
}

// breakGang stops the other members of a gang.
func (c *Core) breakGang(r *run) {
	s := r.step
	if !s.doc.Gang {
		return
	}
	s.notBefore = max(s.notBefore, c.now+gangPause)
	for i := range s.tasks {
		for _, other := range s.tasks[i].runs {
			if other != r && other.number == r.number {
				c.stop(other, "another member of the gang ended")
			}
		}
	}
}

// gangPause is the time before a gang starts again, in which the ends of its members come in.
const gangPause = 200 * time.Millisecond

// lose takes a run off that ended without a report.
func (c *Core) lose(r *run, reason string) {
	if !c.detach(r) {
		return
	}
	c.counts.Lost++
	c.logger.Warn("Task is lost.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.on.report.ID, "reason", reason, "ran", c.now-r.since)
	if r.checkpoint != "" && (r.step.doc.Checkpoints || r.step.doc.Gang) {
		r.step.progress.SetCheckpoint(r.step.unit(r.index), r.checkpoint)
		c.changed[r.step.job] = true
	}
	c.breakGang(r)
}
