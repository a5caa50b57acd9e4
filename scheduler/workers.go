package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/finishedruns"
	"github.com/chivetiller/chivetiller/internal/workers/throttling"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// SetWorkers sets the workers that the registry lists. Workers that are no longer listed get no new tasks and are kept
// as long as they answer.
func (c *Core) SetWorkers(reports []worker.Report) {
	if features := c.options.Features.For(len(reports)); features != c.options.Features {
		c.options.Features, c.learned = features, finishedruns.New(false, false)
		c.logger.Info("Parts of the scheduler are off, since the fleet is larger than their limit.", "workers", len(reports), "limit", features.MaxWorkers)
	}
	listed := make(map[string]bool, len(reports))
	for _, r := range reports {
		listed[r.ID] = true
		ws, ok := c.workers[r.ID]
		if ok && r.Incarnation == ws.report.Incarnation && !ws.registered() {
			continue
		}
		if ok && c.contradicts(r, ws) {
			// The worker counts as not listed until its entry is right again.
			delete(listed, r.ID)
			if !ws.contradicted {
				c.logger.Warn("Registry entry of a worker has another address or pool.", "worker", r.ID, "address", ws.report.Address, "pool", ws.report.Pool,
					"listedAddress", r.Address, "listedPool", r.Pool)
			}
			ws.contradicted = true
			continue
		}
		if ok && changesPlace(r, ws) {
			c.dropCrashedWorker(ws, "the address or pool of the worker has changed")
			ok = false
		}
		if !ok {
			if !c.usable(r) {
				continue
			}
			ws = c.addWorker(r)
		}
		if r.Draining && !ws.report.Draining {
			c.logger.Info("Worker is draining and will leave.", "worker", r.ID, "pool", r.Pool, "remaining", r.Remaining, "runs", len(ws.runs))
		}
		if !ws.listed && ok {
			c.logger.Info("Worker is in the registry again.", "worker", r.ID, "after", c.now-ws.unlistedSince)
		}
		if before := ws.report.Capacity; r.Capacity != before {
			c.logger.Info("Capacity of the worker has changed.", "worker", r.ID, "pool", r.Pool, "cpu", r.Capacity.CPU, "memory", r.Capacity.Memory, "gpu", r.Capacity.GPU,
				"cpuBefore", before.CPU, "memoryBefore", before.Memory, "gpuBefore", before.GPU, "reserved", ws.used.CPU, "runs", len(ws.runs))
		}
		if r.Incarnation != ws.report.Incarnation {
			ws.maxCPU = 0
		}
		ws.maxCPU = max(ws.maxCPU, r.Capacity.CPU)
		if ws.identity.Incarnation == 0 {
			// The first reply of a new life tells what runs there, so the runs of one that is known are taken as lost only then.
			ws.identity.Incarnation = r.Incarnation
		}
		ws.report, ws.listed, ws.contradicted = r, true, false
	}
	c.forgetEntries(listed)
	for id, ws := range c.workers {
		if listed[id] {
			continue
		}
		if ws.listed {
			ws.listed, ws.unlistedSince = false, c.now
			c.logger.Warn("Worker is no longer in the registry.", "worker", id, "pool", ws.report.Pool, "contactAge", c.contactAge(ws), "runs", len(ws.runs))
		}
	}
}

func (c *Core) addWorker(r worker.Report) *workerState {
	// Most workers have one life in a term. It is kept beside the worker, since each pass reads both of all workers.
	var added struct {
		worker workerState
		life   workerLife
	}
	ws := &added.worker
	*ws = workerState{workerLife: &added.life, report: r, maxCPU: r.Capacity.CPU, runs: make(map[work.Task]*run)}
	earlier := c.earlierCalls[r.ID]
	added.life = c.newLife(ws, worker.Life{ID: r.ID, Incarnation: r.Incarnation}, earlier)
	added.life.restarted = earlier.fence != 0 && earlier.incarnation != r.Incarnation
	c.workers[r.ID] = ws
	p := c.pool(r.Pool)
	p.workers = sortWorkers(append(p.workers, ws))
	c.rosterChanges[r.ID] = true
	c.logger.Info("Worker was added.", "worker", r.ID, "pool", r.Pool, "address", r.Address, "cpu", r.Capacity.CPU, "born", r.Incarnation)
	c.resolveSilences(ws, false)
	return ws
}

// dropWorker removes a worker that has ended or cannot be used any more. Its runs are lost.
func (c *Core) dropWorker(ws *workerState, reason string) {
	for _, r := range runsOn(ws) {
		c.markRunLost(r, reason)
	}
	c.keepCalls(ws)
	delete(c.workers, ws.report.ID)
	c.forgetTickets(ws)
	c.workersGone = true
	delete(c.previousUsage, ws.report.ID)
	delete(c.previousRuns, ws.report.ID)
	p := c.pool(ws.report.Pool)
	if i := slices.Index(p.workers, ws); i >= 0 {
		p.workers = slices.Delete(p.workers, i, i+1)
	}
	c.rosterChanges[ws.report.ID] = true
	c.logger.Warn("Worker was removed.", "worker", ws.report.ID, "pool", ws.report.Pool, "reason", reason)
}

// dropCrashedWorker removes a worker that has ended without notice.
func (c *Core) dropCrashedWorker(ws *workerState, reason string) {
	runs := c.runsAtCrash(ws, true)
	c.dropWorker(ws, reason)
	c.recordCrash(ws, runs)
}

// dropSilentWorker removes a worker that has crashed or lost its connections. Starts that it has survived are not suspects then.
func (c *Core) dropSilentWorker(ws *workerState, reason string) {
	runs := slices.DeleteFunc(c.runsAtCrash(ws, false), func(r *run) bool { return r.start().Proven() })
	c.dropWorker(ws, reason)
	if c.hasSuccessor(ws) {
		c.recordCrash(ws, runs)
		return
	}
	c.recordSilence(ws, runs)
}

func runsOn(ws *workerState) []*run {
	runs := make([]*run, 0, len(ws.runs))
	for _, r := range ws.runs {
		runs = append(runs, r)
	}
	return runs
}

// Renewal is a lease renewal to send to a worker.
type Renewal struct {
	// Unresponsive means that the worker has not answered for a while, so renewals are sent less often.
	Unresponsive bool
	Target       worker.Target
	Command      worker.RenewCommand
	// Pending means that a batch is awaited: some exits are not stored yet, which the worker lists again, so that it would answer at once,
	// the worker has restarted and gets a higher fencing token, or the record of leases still names it.
	Pending bool
	call    call
}

// Workers returns the IDs of the workers whose leases are to be renewed.
func (c *Core) Workers() []string {
	ids := make([]string, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	return ids
}

// Renewal returns the next lease renewal of a worker, and false if there is no such worker.
func (c *Core) Renewal(id string) (Renewal, bool) {
	ws, ok := c.workers[id]
	if !ok {
		return Renewal{}, false
	}
	to := c.newCall(ws)
	r := Renewal{Target: workerTarget(ws), call: to, Pending: ws.exitsProcessed > ws.exits.Stored() || ws.needsFence(c.now) || c.leaseRecord.Returning(id), Unresponsive: c.now-ws.lastContact > contactTimeout}
	r.Command = worker.RenewCommand{Fence: to.fence, AcknowledgedSeq: ws.exits.Stored(), MaxWait: renewWait}
	if !ws.answered || r.Pending || !ws.ruledOut(c.now) {
		r.Command.MaxWait = 0
	}
	if ws.doubtedAt > 0 || ws.replaced {
		// A next life would forget exits that nobody has seen.
		r.Command.MaxWait, r.Command.AcknowledgedSeq = 0, 0
	}
	if ws.replaced {
		return r, true
	}
	if ws.clock > 0 {
		c.extendLease(ws)
		r.Command.LeaseExpiry = ws.requestedExpiry
	}
	return r, true
}

// extendLease sets the expiry that the next commands to a worker request. The earliest times are used: the next leader counts on a lease
// that ends leaseDuration after the last renewal and maxUnconfirmedLease after the last confirmation, and the last reply may have waited
// for an exit. A renewal without an answer may have been carried out. The lease of an unresponsive worker is not extended any further, so
// that it expires.
func (c *Core) extendLease(ws *workerState) {
	if c.leaseRecord.Holds(ws.report.ID) {
		return
	}
	minClock := ws.minClockAt(max(ws.clockReceived, min(c.now, ws.lastContact+maxLeaseExtension)))
	expiry := min(minClock+min(leaseDuration, c.options.Bounds.MaxLease), ws.earliestClockAt(c.confirmedAt)+maxUnconfirmedLease)
	ws.requestedExpiry = max(ws.requestedExpiry, expiry)
	ws.previousLonger = ws.previousLonger && ws.requestedExpiry < ws.previousExpiry
}

// contactAge returns the time since the last reply of a worker, for logs. For a worker that has not answered in this term, that is the
// time since the start of the term.
func (c *Core) contactAge(ws *workerState) time.Duration {
	return c.now - max(ws.lastContact, c.options.AcquiredAt)
}

// leaseEnd returns the lease expiry to put into a command. It is not later than that of the last renewal.
func (c *Core) leaseEnd(ws *workerState) time.Duration { return ws.requestedExpiry }

// recordClock records the worker's clock in a reply, unless the reply to a later request is known already.
func (c *Core) recordClock(ws *workerState, reply worker.Reply, sent time.Duration) {
	ws.lastContact = c.now
	ws.latestClock = max(ws.latestClock, reply.Clock)
	if ws.startUnanswered {
		ws.startUnanswered = false
		c.pool(ws.report.Pool).needsPlanning = true
	}
	if sent >= ws.clockSent {
		ws.clock, ws.clockSent, ws.clockReceived = reply.Clock, sent, c.now
	}
}

// HandleStatus processes the reply of a worker to a renewal or poll. sent is the time at which that was sent.
func (c *Core) HandleStatus(to call, status worker.Status, sent time.Duration, err error) {
	ws := to.life.worker
	id := ws.report.ID
	if !c.admits(to, status) {
		c.logDropped(to, status.Reply, sent)
		return
	}
	switch status.Outcome {
	case worker.Accepted:
	case worker.Fenced:
		if to.overtaken() {
			c.logDropped(to, status.Reply, sent)
			return
		}
		c.markDeposed(ws, err)
		return
	case worker.OtherInstance:
		c.dropMisdirected(ws)
		return
	default:
		ws.doubtedAt = c.now
		if c.now-ws.lastContact > contactTimeout && ws.answered && !ws.unresponsive {
			ws.unresponsive = true
			c.logger.Warn("Worker is unresponsive.", "worker", id, "contactAge", c.contactAge(ws), "outcome", status.Outcome.String(), "error", err)
		}
		return
	}
	silence := c.now - ws.lastContact
	c.identify(ws, status.Incarnation)
	c.recordAnswer(to)
	ws.unresponsive, ws.replaced = false, false
	if sent >= ws.doubtedAt {
		ws.doubtedAt = 0
	}
	c.recordClock(ws, status.Reply, sent)
	if status.Incarnation != 0 {
		ws.aliveAt = max(ws.aliveAt, sent)
	}
	if !ws.answered || silence > contactTimeout {
		c.logger.Info("Worker has answered.", "worker", id, "pool", ws.report.Pool, "runs", len(status.Running), "ends", len(status.Exited), "lapsed", ws.leaseExpired)
	}
	c.leaseRecord.TakeBack(id, c.now)
	if !ws.answered && ws.requestedExpiry == 0 {
		// The previous leader may have renewed the lease up to now.
		ws.previousExpiry, ws.previousLonger = status.Clock+leaseDuration, true
		if ws.restarted && (ws.earlier.fence == 0 || c.now <= c.leaders.ActiveUntil(c.limits.Confirmation)+maxCommandDelay) {
			// A call of an earlier leader to an earlier life may have arrived up to now.
			longest := ws.maxLease
			if ws.earlierEnd != 0 {
				longest = min(longest, ws.earlierEnd-sent)
			}
			ws.previousExpiry = max(ws.previousExpiry, status.Clock+longest)
		}
		c.extendLease(ws)
	}
	c.processExits(ws, status.Exited)
	// Replies on different connections may overtake each other. An older report must not bring back a run that has exited.
	if status.Clock >= ws.reportClock {
		ws.reportedAt, ws.reportClock = c.now, status.Clock
		c.processRuns(ws, status, sent)
	}
	c.settleOrders(ws, to, status, sent)
	if !ws.answered || ws.leaseExpired || silence > contactTimeout {
		c.pool(ws.report.Pool).needsPlanning = true
	}
	if !ws.answered {
		ws.firstReply = c.now
		c.resolveSilences(ws, true)
	}
	if ws.leaseExpired {
		c.rosterChanges[id] = true
	}
	ws.leaseExpired, ws.expiredRuns = false, nil
	ws.answered = true
	delete(c.previousUsage, id)
	delete(c.previousRuns, id)
	c.adjustBestEffort(ws)
}

// markDeposed records that a worker has seen a higher fencing token, so another process is the leader.
func (c *Core) markDeposed(ws *workerState, err error) {
	if !c.deposed {
		c.logger.Warn("Worker has seen a higher fencing token.", "worker", ws.report.ID, "fence", ws.fence, "error", err)
	}
	c.deposed = true
}

// processExits processes the exits in a report, in the order of their numbers. Those that were processed before are skipped.
func (c *Core) processExits(ws *workerState, exits []worker.Exit) {
	for _, e := range exits {
		if e.Seq <= ws.exitsProcessed {
			continue
		}
		if _, ok := c.jobs[e.Task.Job]; !ok && c.withinGrace(e.Task.Job) {
			// The job may just have been accepted. The exit is not acknowledged before the job is known.
			return
		}
		ws.exitsProcessed = e.Seq
		ws.exits.Add(e.Seq, c.jobs[e.Task.Job])
		if s, ok := c.findStep(e.Task); ok {
			t := &s.tasks[e.Task.Index]
			t.exitedRun = max(t.exitedRun, e.Number)
			if s.copies != nil {
				s.copies.Ended(e.Task.Index, e.Number)
			}
		}
		if r, ok := ws.runs[e.Task]; ok && r.number == e.Number {
			c.handleExit(r, e.Reason, e.Checkpoint)
			continue
		}
		c.processUnknownExit(ws, e)
	}
}

// withinGrace reports whether an unknown job may still become known.
func (c *Core) withinGrace(id string) bool {
	since, ok := c.unknownJobs[id]
	if !ok {
		c.unknownJobs[id] = c.now
		return true
	}
	return c.now-since < unknownJobGrace
}

// processUnknownExit processes the exit of a run that is not recorded, such as one that a previous leader started.
func (c *Core) processUnknownExit(ws *workerState, e worker.Exit) {
	s, ok := c.findStep(e.Task)
	if !ok {
		return
	}
	t := &s.tasks[e.Task.Index]
	t.lastRun = max(t.lastRun, e.Number)
	c.recordRunEnd(s, e.Task.Index, e.Number)
	if ws.leaseExpired && len(t.runs) > 0 {
		// The lease expired before the exit was acknowledged, and another run has started since.
		return
	}
	if t.done {
		return
	}
	c.logger.Info("Unrecorded run has exited.", "job", e.Task.Job, "occurrence", e.Task.Occurrence, "step", e.Task.Step, "index", e.Task.Index,
		"run", e.Number, "worker", ws.report.ID, "how", e.Reason.String())
	if e.Checkpoint != "" && (s.doc.Checkpoints || s.doc.Gang) {
		s.progress.SetCheckpoint(s.unitIndex(e.Task.Index), e.Checkpoint)
		c.changedJobs[s.job] = true
	}
	s.job.started, s.job.begun = true, true
	c.applyExit(s, e.Task.Index, e.Number, nil, e.Reason)
}

// processRuns compares the runs in a report with those on record. It adopts runs that are not, and marks runs as lost
// that two reports in a row lack.
func (c *Core) processRuns(ws *workerState, status worker.Status, sent time.Duration) {
	reported := make(map[work.Task]int, len(status.Running))
	ws.unknownRuns = 0
	for _, row := range status.Running {
		reported[row.Task] = row.Number
		r, ok := ws.runs[row.Task]
		if ok && r.number == row.Number {
			c.updateRun(r, row)
			continue
		}
		c.adoptRun(ws, row)
		if _, recorded := ws.runs[row.Task]; !recorded {
			ws.unknownRuns++
		}
	}
	if len(status.Exited) >= exitsPerReply {
		return
	}
	for t, r := range ws.runs {
		if number, ok := reported[t]; ok && number == r.number {
			continue
		}
		if r.repeatAfterReport && r.phase == starting && !r.startGivenUp {
			r.repeatAfterReport = false
			c.repeatStart(r)
		}
		// A report that was requested before the worker confirmed the run may lack it.
		if r.confirmedAt == 0 || r.confirmedAt > sent {
			continue
		}
		r.missingReports++
		if r.missingReports > 1 {
			c.markRunLost(r, "the worker does not report it")
		}
	}
}

const (
	// exitsPerReply is the maximum number of exits in one reply, as the platform documents it.
	exitsPerReply = 500
	// maxOpenExits is the number of runs and of exits that are not stored, from which on a worker gets no tasks: it could not list all
	// their exits. The rest is for the members of a gang.
	maxOpenExits = exitsPerReply - 100
)

func (c *Core) updateRun(r *run, row worker.Run) {
	r.missingReports, r.step.job.begun = 0, true
	if r.phase == starting {
		r.phase = running
	}
	r.startGivenUp = false
	if r.confirmedAt == 0 {
		c.confirm(r)
	}
	c.forgetCrashes(r)
	if row.Checkpoint != "" && row.Checkpoint != r.checkpoint {
		r.checkpoint, r.savedAt = row.Checkpoint, c.now
	}
	r.speedPercent, r.load = row.SpeedPercent, row.Load
	c.recordWork(r)
}

// repeatStops sends stops again that had no effect for long, for instance because the run does not exist.
func (c *Core) repeatStops() {
	if c.now-c.stopsRepeatedAt < stopRepeatDelay/10 {
		return
	}
	c.stopsRepeatedAt = c.now
	for _, ws := range c.workers {
		for _, r := range ws.runs {
			if r.phase == stopping && (!r.stopUnknown || !r.protected()) && c.now-r.stopSentAt > c.options.Bounds.StopTimeout+stopRepeatDelay {
				c.commandStop(r)
			}
		}
	}
}

// adoptRun records a run that a previous leader started, or whose start was carried out late.
func (c *Core) adoptRun(ws *workerState, row worker.Run) {
	s, ok := c.findStep(row.Task)
	if !ok {
		if _, known := c.jobs[row.Task.Job]; !known && c.withinGrace(row.Task.Job) {
			return
		}
		c.logger.Info("Run of an unknown or completed task is stopped.", "job", row.Task.Job, "worker", ws.report.ID, "run", row.Number)
		c.stopUnknownRun(ws, row.Task, row.Number)
		return
	}
	t := &s.tasks[row.Task.Index]
	if s.copies == nil && row.Number <= t.exitedRun || s.copies != nil && s.copies.HasEnded(row.Task.Index, row.Number) {
		return
	}
	if _, recorded := ws.runs[row.Task]; recorded {
		// The recorded run never started or has exited. The list of exits tells which.
		return
	}
	r := &run{step: s, index: row.Task.Index, number: row.Number, worker: ws, phase: running, startedAt: c.now, speedLimit: throttling.UnknownSpeed}
	c.confirm(r)
	other := len(t.runs) > 0
	c.attachRun(r)
	t.lastRun = max(t.lastRun, row.Number)
	if s.doc.Gang {
		s.gangRun = max(s.gangRun, row.Number)
	}
	s.job.started = true
	if s.recordsAll() && !other && !t.done {
		c.recordAdopted(r)
	}
	c.updateRun(r, row)
	c.logger.Info("Running task was adopted.", "job", row.Task.Job, "task", r.name(), "run", row.Number, "worker", ws.report.ID, "percent", row.SpeedPercent)
	if t.done || (other && !s.doc.Speculative) || s.job.progress.State.Ended() {
		c.stopRun(r, "the job has ended, or the task is done or runs on another worker")
	}
}

// checkLease marks the runs of a worker as lost once its lease is certain to have expired.
func (c *Core) checkLease(ws *workerState) {
	if !ws.answered {
		if !ws.listed && c.now-ws.unlistedSince > unreachedTimeout && c.previousLeaseExpired(ws.report.ID) {
			c.dropSilentWorker(ws, "not in the registry and never reached")
		}
		return
	}
	if ws.restarted && ws.earlierLeaseEnded(c.now) {
		ws.restarted = false
		c.rosterChanges[ws.report.ID] = true
	}
	if ws.leaseExpired {
		if !ws.listed {
			c.dropSilentWorker(ws, "not in the registry and unresponsive")
		}
		return
	}
	if c.now < ws.certainExpiry() {
		return
	}
	ws.leaseExpired = true
	c.rosterChanges[ws.report.ID] = true
	c.logger.Warn("Lease of the worker has expired.", "worker", ws.report.ID, "pool", ws.report.Pool, "contactAge", c.contactAge(ws), "runs", len(ws.runs))
	ws.expiredRuns = c.runsAtCrash(ws, false)
	for _, r := range runsOn(ws) {
		c.markRunLost(r, "the lease has expired")
	}
}

// unreachedTimeout is how long a worker that has never answered is kept at least after the registry has dropped it.
const unreachedTimeout = 5 * time.Second
