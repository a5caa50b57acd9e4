package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// SetWorkers takes the registry. Workers that it no longer names get no new tasks, and are kept as long as they answer.
func (c *Core) SetWorkers(reports []worker.Report) {
	listed := make(map[string]bool, len(reports))
	for _, r := range reports {
		listed[r.ID] = true
		h, ok := c.hosts[r.ID]
		if ok && h.report.Born != 0 && r.Born != 0 && r.Born != h.report.Born {
			c.loseHost(h, "the worker has started again")
			ok = false
		}
		if ok && h.report.Address != r.Address {
			c.loseHost(h, "the worker has another address")
			ok = false
		}
		if !ok {
			h = c.addHost(r)
		}
		if r.Draining && !h.report.Draining {
			h.draining = c.now
			c.logger.Info("Worker leaves.", "worker", r.ID, "pool", r.Pool, "remaining", r.Remaining, "runs", len(h.runs))
		}
		if !h.listed && ok {
			c.logger.Info("Worker is listed again.", "worker", r.ID, "after", c.now-h.unlisted)
		}
		h.report, h.listed = r, true
	}
	for id, h := range c.hosts {
		if listed[id] {
			continue
		}
		if h.listed {
			h.listed, h.unlisted = false, c.now
			c.logger.Warn("Worker is no longer listed.", "worker", id, "pool", h.report.Pool, "contactAge", c.now-h.contact, "runs", len(h.runs))
		}
	}
}

func (c *Core) addHost(r worker.Report) *host {
	h := &host{report: r, runs: make(map[work.Task]*run), received: c.now, sent: c.now}
	c.hosts[r.ID] = h
	p := c.pool(r.Pool)
	p.hosts = sortedHosts(append(p.hosts, h))
	c.rosterChanged = true
	c.logger.Info("Worker is known.", "worker", r.ID, "pool", r.Pool, "address", r.Address, "cpu", r.Capacity.CPU, "born", r.Born)
	return h
}

// loseHost drops a worker whose life has ended.
func (c *Core) loseHost(h *host, reason string) {
	for _, r := range hostRuns(h) {
		c.lose(r, reason)
	}
	delete(c.hosts, h.report.ID)
	delete(c.former, h.report.ID)
	p := c.pool(h.report.Pool)
	if i := slices.Index(p.hosts, h); i >= 0 {
		p.hosts = slices.Delete(p.hosts, i, i+1)
	}
	c.rosterChanged = true
	c.logger.Warn("Worker is gone.", "worker", h.report.ID, "pool", h.report.Pool, "reason", reason)
}

func hostRuns(h *host) []*run {
	runs := make([]*run, 0, len(h.runs))
	for _, r := range h.runs {
		runs = append(runs, r)
	}
	return runs
}

// Renewal is a lease renewal to send to a worker.
type Renewal struct {
	// Unresponsive means that the worker has not answered for a while, so that it is tried less often.
	Unresponsive bool
	Target       worker.Target
	Command      worker.RenewOrder
	// Pending means that ends are not stored yet, so that the worker would answer at once.
	Pending bool
}

// Workers returns the IDs of the workers whose leases are to be renewed.
func (c *Core) Workers() []string {
	ids := make([]string, 0, len(c.hosts))
	for id := range c.hosts {
		ids = append(ids, id)
	}
	return ids
}

// Renewal returns the next lease renewal of a worker, and false if there is no such worker.
func (c *Core) Renewal(id string) (Renewal, bool) {
	h, ok := c.hosts[id]
	if !ok {
		return Renewal{}, false
	}
	r := Renewal{Target: target(h), Pending: h.seen > h.stored, Unresponsive: c.now-h.contact > contactTimeout}
	r.Command = worker.RenewOrder{Fence: c.o.Fence, Acknowledged: h.stored, Wait: renewWait}
	if !h.touched || r.Pending {
		r.Command.Wait = 0
	}
	if h.clock > 0 {
		// A renewal without an answer may have been carried out. The lease of a silent worker is not extended any
		// further, so that it runs out.
		high := h.clockAt(min(c.now, h.contact+renewWithin))
		h.until = max(h.until, high+min(leaseTerm, c.o.Bounds.MaxLease))
		r.Command.Until = h.until
	}
	return r, true
}

// leaseEnd returns the lease to put into an order. It does not go beyond the last renewal.
func (c *Core) leaseEnd(h *host) time.Duration { return h.until }

func (c *Core) noteClock(h *host, reply worker.Reply, sent time.Duration) {
	h.contact = c.now
	if sent >= h.sent {
		h.clock, h.sent, h.received = reply.Clock, sent, c.now
	}
}

// Observe takes the answer of a worker to a renewal that was sent at sent.
func (c *Core) HandleStatus(id string, status worker.Status, sent time.Duration, err error) {
	h, ok := c.hosts[id]
	if !ok {
		return
	}
	switch status.Outcome {
	case worker.Accepted:
	case worker.Fenced:
		c.fenced(h, err)
		return
	case worker.OtherInstance:
		c.loseHost(h, "another instance answers")
		return
	default:
		if c.now-h.contact > contactTimeout && h.touched && !h.silent {
			h.silent = true
			c.logger.Warn("Worker does not answer.", "worker", id, "contactAge", c.now-h.contact, "outcome", status.Outcome.String(), "error", err)
		}
		return
	}
	if status.Born != 0 && h.report.Born != 0 && status.Born != h.report.Born {
		c.reborn(h, status.Born)
	}
	if h.report.Born == 0 && status.Born != 0 {
		h.report.Born = status.Born
		c.rosterChanged = true
	}
	silent := c.now - h.contact
	h.silent = false
	c.noteClock(h, status.Reply, sent)
	if !h.touched || silent > contactTimeout {
		c.logger.Info("Worker answers.", "worker", id, "pool", h.report.Pool, "runs", len(status.Running), "ends", len(status.Ended), "lapsed", h.lapsed)
	}
	if h.until == 0 {
		// The holder before may have renewed the lease up to now.
		h.until = status.Clock + leaseTerm
	}
	c.takeEnds(h, status.Ended)
	// Answers on different connections may overtake each other. An older list must not bring back what has ended.
	if status.Clock >= h.reportClock {
		h.reported, h.reportClock = c.now, status.Clock
		c.takeRuns(h, status, sent)
	}
	if !h.touched || h.lapsed || silent > contactTimeout {
		c.pool(h.report.Pool).dirty = true
	}
	if !h.touched {
		h.reached = c.now
	}
	h.lapsed = false
	h.touched = true
	delete(c.former, id)
	c.watchServices(h)
}

// reborn notes that the worker has started again under its ID.
func (c *Core) reborn(h *host, born int64) {
	c.logger.Warn("Worker has started again.", "worker", h.report.ID, "born", born)
	for _, r := range hostRuns(h) {
		if r.confirmed == 0 {
			h.late = append(h.late, lateOrder{task: r.task(), run: r.number, since: c.now})
			r.step.tasks[r.index].notBefore = c.now + rebirthPause
		}
		c.lose(r, "the worker has started again")
	}
	// Orders that got no answer may still reach the new life, which knows no runs. A stop shuts them out.
	for _, l := range h.late {
		if c.now-l.since < lateOrders {
			c.stopUnwanted(h, l.task, l.run)
		}
	}
	h.late = nil
	h.report.Born = born
	h.reportClock = 0
	h.seen, h.stored, h.until, h.clock, h.lapsed = 0, 0, 0, 0, false
	h.sent, h.received = 0, c.now
	c.rosterChanged = true
}

// fenced notes that the worker has seen a higher token.
func (c *Core) fenced(h *host, err error) {
	if !c.deposed {
		c.logger.Warn("Worker has seen a higher fencing token.", "worker", h.report.ID, "fence", c.o.Fence, "error", err)
	}
	c.deposed = true
}

func (c *Core) takeEnds(h *host, ends []worker.End) {
	for _, e := range ends {
		if e.Seq <= h.seen {
			continue
		}
		if _, ok := c.jobs[e.Task.Job]; !ok && c.withinGrace(e.Task.Job) {
			// The job may have been accepted just now. Its end is not acknowledged before the job is known.
			return
		}
		h.seen = e.Seq
		if s, ok := c.step(e.Task); ok {
			t := &s.tasks[e.Task.Index]
			t.endedRun = max(t.endedRun, e.Number)
		}
		if r, ok := h.runs[e.Task]; ok && r.number == e.Number {
			c.ended(r, e.How, e.Checkpoint)
			continue
		}
		c.endedUnknown(h, e)
	}
}

// withinGrace reports whether the unknown job may still become known.
func (c *Core) withinGrace(id string) bool {
	since, ok := c.unknown[id]
	if !ok {
		c.unknown[id] = c.now
		return true
	}
	return c.now-since < unknownGrace
}

// endedUnknown takes the end of a run that is not booked, such as one of an earlier holder.
func (c *Core) endedUnknown(h *host, e worker.End) {
	s, ok := c.step(e.Task)
	if !ok {
		return
	}
	t := &s.tasks[e.Task.Index]
	t.lastRun = max(t.lastRun, e.Number)
	if h.lapsed && len(t.runs) > 0 {
		// The lease ran out before the end was acknowledged, and another run has begun since.
		return
	}
	if t.done {
		return
	}
	c.logger.Info("Task of an earlier time ended.", "job", e.Task.Job, "occurrence", e.Task.Occurrence, "step", e.Task.Step, "index", e.Task.Index,
		"run", e.Number, "worker", h.report.ID, "how", e.How.String())
	if e.Checkpoint != "" && (s.doc.Checkpoints || s.doc.Gang) {
		s.progress.SetCheckpoint(s.unit(e.Task.Index), e.Checkpoint)
		c.changed[s.job] = true
	}
	s.job.begun = true
	c.noteEnd(s, e.Task.Index, e.Number, nil, e.How)
}

func (c *Core) takeRuns(h *host, status worker.Status, sent time.Duration) {
	named := make(map[work.Task]int, len(status.Running))
	h.foreign = 0
	for _, row := range status.Running {
		named[row.Task] = row.Number
		r, ok := h.runs[row.Task]
		if ok && r.number == row.Number {
			c.refresh(r, row)
			continue
		}
		c.adopt(h, row)
		if _, booked := h.runs[row.Task]; !booked {
			h.foreign++
		}
	}
	if len(status.Ended) >= endsPerAnswer {
		return
	}
	for t, r := range h.runs {
		if number, ok := named[t]; ok && number == r.number {
			continue
		}
		// An answer that was asked for before the worker confirmed the run need not name it.
		if r.confirmed == 0 || r.confirmed > sent {
			continue
		}
		r.missing++
		if r.missing > 1 {
			c.lose(r, "the worker does not name it")
		}
	}
}

// endsPerAnswer is how many ends a worker lists at a time, from the platform's pages.
const endsPerAnswer = 500

func (c *Core) refresh(r *run, row worker.Run) {
	r.missing = 0
	if r.phase == starting {
		r.phase = running
	}
	if r.confirmed == 0 {
		r.confirmed = c.now
	}
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
	if row.Percent != r.percent {
		r.percent, r.moved = row.Percent, c.now
	}
	r.load = row.Load
}

// repeatStops orders the stops again that had no effect for long. The run may not be there at all.
func (c *Core) repeatStops() {
	if c.now-c.repeated < stopRepeat/10 {
		return
	}
	c.repeated = c.now
	for _, h := range c.hosts {
		for _, r := range h.runs {
			if r.phase == stopping && c.now-r.stopped > c.o.Bounds.StopTimeout+stopRepeat {
				c.orderStop(r)
			}
		}
	}
}

// adopt takes a run that an earlier holder started, or one that was carried out late.
func (c *Core) adopt(h *host, row worker.Run) {
	s, ok := c.step(row.Task)
	if !ok {
		if _, known := c.jobs[row.Task.Job]; !known && c.withinGrace(row.Task.Job) {
			return
		}
		c.logger.Info("Unwanted run is stopped.", "job", row.Task.Job, "worker", h.report.ID, "run", row.Number)
		c.stopUnwanted(h, row.Task, row.Number)
		return
	}
	t := &s.tasks[row.Task.Index]
	if row.Number <= t.endedRun {
		return
	}
	if _, booked := h.runs[row.Task]; booked {
		// The booked run was never there or has ended; the list of ends tells.
		return
	}
	r := &run{step: s, index: row.Task.Index, number: row.Number, on: h, phase: running, since: c.now, confirmed: c.now, moved: c.now, pace: unknownPace}
	other := len(t.runs) > 0
	c.attach(r)
	t.lastRun = max(t.lastRun, row.Number)
	if s.doc.Gang {
		s.gangRun = max(s.gangRun, row.Number)
	}
	s.job.begun = true
	c.refresh(r, row)
	c.logger.Info("Run is adopted.", "job", row.Task.Job, "task", r.name(), "run", row.Number, "worker", h.report.ID, "percent", row.Percent)
	if t.done || (other && !s.doc.Speculative) || s.job.progress.State.Ended() {
		c.stop(r, "the job has ended, or the task is done or runs elsewhere")
	}
}

// stopUnwanted stops a run that is not booked, or shuts it out if it is not there yet.
func (c *Core) stopUnwanted(h *host, t work.Task, number int) {
	c.orders = append(c.orders, Command{
		Kind: CommandStop, Target: target(h), Run: worker.RunOrder{Task: t, Run: number, Fence: c.o.Fence}, host: h, run: unwanted,
	})
}

// lateOrder is a start that got no answer and may be carried out later.
type lateOrder struct {
	task  work.Task
	run   int
	since time.Duration
}

const (
	// lateOrders is how long an order that got no answer may still be carried out. The platform delays orders up to 12 s.
	lateOrders = 13 * time.Second
	// rebirthPause is the time for the stops that shut out late orders.
	rebirthPause = 600 * time.Millisecond
)

// unwanted stands for runs that belong to no known task.
var unwanted = &run{step: &step{tasks: make([]task, 1), job: &job{}, occurrence: &occurrence{}, doc: &work.Step{}}}

// checkLapse takes the tasks off a worker whose lease has surely run out.
func (c *Core) checkLapse(h *host) {
	if !h.touched {
		if !h.listed && c.now-h.unlisted > forgetAfter {
			c.loseHost(h, "unlisted and never reached")
		}
		return
	}
	if h.lapsed {
		if !h.listed {
			c.loseHost(h, "unlisted and silent")
		}
		return
	}
	if c.now < h.lapseAt() {
		return
	}
	h.lapsed = true
	c.logger.Warn("Lease of the worker has run out.", "worker", h.report.ID, "pool", h.report.Pool, "contactAge", c.now-h.contact, "runs", len(h.runs))
	for _, r := range hostRuns(h) {
		c.lose(r, "the lease has run out")
	}
}

// forgetAfter is how long a worker that was never reached is tried after the registry has dropped it.
const forgetAfter = 5 * time.Second

// usable reports whether a worker may get tasks.
func (c *Core) usable(h *host) bool {
	if !h.listed || !h.touched || h.lapsed || h.reserved || h.report.Draining || c.now < h.closed || c.now-h.contact > contactTimeout {
		return false
	}
	if h.health.quarantined(c.now) {
		return false
	}
	high := h.clockAt(c.now)
	return h.until-high > leaseReserve
}
