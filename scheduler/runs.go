package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/internal/workers/throttling"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// planRun reserves room for a run on a worker. The run is started once its record is stored.
func (c *Core) planRun(s *step, index, number int, ws *workerState) {
	t := &s.tasks[index]
	r := &run{step: s, index: index, number: number, worker: ws, phase: planned, startedAt: c.now, speedLimit: throttling.FullSpeed}
	c.attachRun(r)
	ws.useReservation(s)
	if s.idleTasks == 0 {
		s.waitsSince = 0
	}
	if s.crashCount(index).Suspect() {
		c.addTest(r)
	}
	t.lastRun, t.emptyWorkerSince = max(t.lastRun, number), 0
	// The next leader has to know where the task may be running, so this is stored before the start.
	s.occurrence.progress.SetRun(s.number, index, ws.report.ID, number)
	if len(s.occurrence.progress.Workers) > 2*s.job.tasks+spareRecordedWorkers {
		c.forgetWorkers(s.occurrence)
	}
	c.changedJobs[s.job] = true
	c.plannedRuns = append(c.plannedRuns, r)
}

// attachRun charges a run to its worker and team.
func (c *Core) attachRun(r *run) {
	t := &r.step.tasks[r.index]
	if len(t.runs) == 0 && !t.done {
		r.step.idleTasks--
	}
	t.runs = append(t.runs, r)
	r.worker.runs[r.task()] = r
	r.worker.used = r.worker.used.Plus(r.step.doc.ReservedResources())
	r.worker.countRun(r.step.doc, 1)
	team := r.step.job.doc.Team
	c.teamUsage[team] = c.teamUsage[team].Plus(r.step.doc.Request)
	c.pool(r.step.job.doc.Pool).shares.Add(team, r.step.doc.ReservedResources(), r.step.doc.Service)
}

// detachRun removes a run from its worker and team. It reports whether the run was attached.
func (c *Core) detachRun(r *run) bool {
	t := &r.step.tasks[r.index]
	for i, other := range t.runs {
		if other != r {
			continue
		}
		t.runs = append(t.runs[:i:i], t.runs[i+1:]...)
		if len(t.runs) == 0 && !t.done {
			r.step.idleTasks++
		}
		if r.copied && r.confirmedAt == 0 {
			r.step.copies.Lost(r.index)
		}
		switch {
		case r.confirmedAt > 0:
			t.idleSince = max(r.confirmedAt, r.worker.lastContact)
		case r.unanswered > 0:
			t.triedAt = r.startedAt
		}
		if r.worker.runs[r.task()] == r {
			delete(r.worker.runs, r.task())
		}
		r.worker.used = r.worker.used.Minus(r.step.doc.ReservedResources())
		r.worker.countRun(r.step.doc, -1)
		c.pool(r.worker.report.Pool).needsPlanning = true
		team := r.step.job.doc.Team
		c.teamUsage[team] = c.teamUsage[team].Minus(r.step.doc.Request)
		c.pool(r.step.job.doc.Pool).shares.Remove(team, r.step.doc.ReservedResources(), r.step.doc.Service)
		t.lastWorker = r.worker.report.ID
		return true
	}
	return false
}

func (c *Core) commandStart(r *run) {
	s, to := r.step, c.newCall(r.worker)
	r.startFence, r.startSentAt = to.fence, c.now
	start := worker.StartCommand{
		Task: r.task(), Run: r.number, Spec: s.job.doc.Spec, LeaseExpiry: c.leaseEnd(r.worker), Fence: to.fence,
	}
	if s.doc.Checkpoints || s.doc.Gang {
		start.Checkpoint = s.progress.Checkpoints[s.unitIndex(r.index)]
	}
	r.whole = start.Checkpoint == ""
	start.Ticket, _ = s.tickets.Ticket(r.worker.report.ID, c.now)
	c.commands = append(c.commands, Command{Kind: CommandStart, Target: workerTarget(r.worker), Start: start, run: r, call: to, repeated: r.unanswered > 0})
}

// unitIndex returns the index under which failures and checkpoints of a task are kept. All tasks of a gang share one.
func (s *step) unitIndex(index int) int {
	if s.doc.Gang {
		return 0
	}
	return index
}

func (r *run) name() string { return r.task().Name() }

func workerTarget(ws *workerState) worker.Target {
	return worker.Target{Life: ws.identity, Address: ws.report.Address, DataCentre: ws.report.DataCentre}
}

// stopRun sends a stop for a run. Its room is free once the worker reports the exit.
func (c *Core) stopRun(r *run, reason string) {
	if r.phase == stopping {
		return
	}
	if r.phase == planned {
		c.dropPlan(r)
		return
	}
	r.phase = stopping
	c.counts.Stopped++
	c.logger.Info("Task is stopped.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID, "reason", reason)
	c.commandStop(r)
}

func (c *Core) commandStop(r *run) {
	r.stopSentAt = c.now
	to := c.newCall(r.worker)
	r.stopFence, r.stopRuledOutAt = to.fence, 0
	c.commands = append(c.commands, Command{
		Kind: CommandStop, Target: workerTarget(r.worker), Run: worker.RunCommand{Task: r.task(), Run: r.number, Fence: to.fence}, run: r, call: to,
		repeated: r.unanswered > 0,
	})
}

// HandleReply processes the reply to a command. sent is the time at which the command was sent.
func (c *Core) HandleReply(cmd Command, reply worker.Reply, sent time.Duration, err error) {
	ws := cmd.call.life.worker
	if !c.current(cmd.call) {
		c.logDropped(cmd.call, reply, sent)
		return
	}
	if reply.Outcome != worker.OtherInstance && reply.Outcome != worker.Fenced && ws.isOther(reply, sent) {
		c.logDropped(cmd.call, reply, sent)
		ws.replaced = true
		reply, err = worker.Reply{Outcome: worker.Unknown}, errOtherLife
		c.pollWorker(ws)
	}
	if reply.Outcome == worker.Unknown || reply.Outcome == worker.NotSent {
		ws.doubtedAt = c.now
	}
	if reply.Clock > 0 && reply.Outcome != worker.OtherInstance {
		c.recordClock(ws, reply, sent)
	}
	if reply.Outcome == worker.Fenced && cmd.call.overtaken() {
		// The worker has done nothing.
		reply.Outcome = worker.NotSent
		if r := cmd.run; cmd.Kind == CommandStart && r.attached() && r.phase == starting && r.unanswered == 0 && c.mayRepeatStart(r) {
			c.commandStart(r)
			return
		}
	}
	switch reply.Outcome {
	case worker.Fenced:
		c.markDeposed(ws, err)
		return
	case worker.OtherInstance:
		c.logger.Warn("Another instance answers at the address of the worker.", "worker", ws.report.ID, "error", err)
		c.dropMisdirected(ws)
		return
	}
	switch cmd.Kind {
	case CommandStart:
		c.handleStartReply(cmd.run, reply, sent, err)
	case CommandStop:
		c.handleStopReply(cmd, reply, err)
	case CommandThrottle:
		// A throttle command that was lost is sent again with the next load report.
		if reply.Outcome != worker.Accepted {
			cmd.run.speedLimit = throttling.UnknownSpeed
		}
		if reply.Outcome == worker.Unknown {
			c.ruleOut(ws, cmd.call.fence)
		}
	}
}

// attached reports whether the run still counts on its worker and team.
func (r *run) attached() bool {
	for _, other := range r.step.tasks[r.index].runs {
		if other == r {
			return true
		}
	}
	return false
}

// repeatStart sends an unanswered start again if it may be, and stops the run if not.
func (c *Core) repeatStart(r *run) {
	if c.mayRepeatStart(r) {
		c.commandStart(r)
		return
	}
	if r.protected() || c.evacuated(r.worker) {
		c.giveUpStart(r, "it may not start there any more")
		return
	}
	// The stop makes the worker reject the start that may still arrive.
	c.stopRun(r, "it may not start there any more")
}

// confirm records that the worker has confirmed a run.
func (c *Core) confirm(r *run) {
	if r.confirmedAt == 0 {
		r.confirmedClock = r.worker.latestClock
		if r.unanswered > 0 && r.phase != stopping {
			c.logger.Info("Start without an answer was carried out.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID,
				"after", c.now-r.startedAt, "tries", r.unanswered, "service", r.step.doc.Service)
		}
	}
	r.confirmedAt = c.now
}

func (c *Core) handleStartReply(r *run, reply worker.Reply, sent time.Duration, err error) {
	if !r.attached() {
		return
	}
	if reply.Outcome == worker.Accepted {
		if r.phase == starting {
			r.phase = running
		}
		r.step.policyFailures, r.step.job.begun = 0, true
		if r.confirmedAt == 0 {
			c.confirm(r)
		}
		return
	}
	c.logger.Warn("Start command was not confirmed.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID,
		"outcome", reply.Outcome.String(), "took", c.now-sent, "tries", r.unanswered, "error", err)
	outcome := reply.Outcome
	if outcome == worker.NotSent && r.unanswered > 0 {
		// An earlier command may still be carried out.
		outcome = worker.Unknown
	}
	switch outcome {
	case worker.NotSent:
		r.worker.startUnanswered = true
	case worker.Unknown:
		// The same run is commanded again. A worker that has it already confirms it.
		r.unanswered++
		if r.worker.lastContact < sent+promptCrashTime {
			r.worker.startUnanswered = true
		}
		c.recordUnansweredStart(r)
		switch {
		case r.phase != starting || r.startGivenUp:
		case c.startFails(r):
			r.worker.noTasksBefore = c.now + startFailedPause
			c.giveUpStart(r, "its start gets no answer while the worker reports")
		case c.now-r.worker.lastContact > contactTimeout || r.worker.replaced:
			// The worker may be down. If it restarts under its ID, the start must not reach its next incarnation.
			r.repeatAfterReport = true
		default:
			c.repeatUnanswered(r)
		}
		return
	case worker.Superseded:
		if r.unanswered > 0 {
			// An earlier command was carried out and the run has exited. The worker reports the exit.
			r.phase = max(r.phase, running)
			c.confirm(r)
			return
		}
		r.step.tasks[r.index].lastRun += runsPerTerm
	case worker.NoRoom:
		r.worker.noTasksBefore = c.now + noRoomPause
	case worker.Expired:
		r.worker.noTasksBefore = c.now + noRoomPause
	case worker.NoTicket:
		c.rejectTicket(r.step, r.worker)
	case worker.Unhealthy:
		r.worker.noTasksBefore = c.now + unhealthyPause
		c.recordFailure(r)
	case worker.Invalid:
		r.step.tasks[r.index].notBefore = c.now + invalidPause
	}
	c.counts.Refused++
	if r.unanswered > 0 {
		if r.protected() {
			c.giveUpStart(r, "start was refused after one without an answer")
			return
		}
		// An earlier command with the same number may still be carried out. A stop makes the worker reject it.
		r.phase = running
		c.stopRun(r, "start was refused after one without an answer")
		return
	}
	c.detachRun(r)
	c.stopGang(r)
}

const (
	// minUnansweredStarts and startAnswerTimeout are how often a start is sent, and for how long, until it is given up if its worker
	// reports all the while.
	minUnansweredStarts = 3
	startAnswerTimeout  = 3 * time.Second
	// startFailedPause is how long the worker of such a start gets no tasks.
	startFailedPause = 500 * time.Millisecond
)

// startFails reports whether the start of a run gets no answer although its worker reports, and does not list the run.
func (c *Core) startFails(r *run) bool {
	return r.unanswered >= minUnansweredStarts && c.now-r.startedAt > startAnswerTimeout && r.worker.lastContact > r.startedAt
}

func (c *Core) handleStopReply(cmd Command, reply worker.Reply, err error) {
	r := cmd.run
	if r == unknownRun {
		if reply.Outcome == worker.Unknown || reply.Outcome == worker.NotSent {
			c.stopUnknownRun(cmd.call.life.worker, cmd.Run.Task, cmd.Run.Run)
		}
		return
	}
	if !r.attached() {
		return
	}
	if reply.Outcome == worker.Accepted {
		c.confirm(r)
		return
	}
	c.logger.Warn("Stop command was not confirmed.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID,
		"outcome", reply.Outcome.String(), "error", err)
	switch reply.Outcome {
	case worker.Unknown, worker.NotSent, worker.Unhealthy:
		if c.stopUnanswered(r, reply.Outcome) {
			return
		}
		// The stop is repeated soon.
		r.stopSentAt = c.now - c.options.Bounds.StopTimeout - stopRepeatDelay + commandPause
	}
}

// handleExit processes the exit of a run that is recorded.
func (c *Core) handleExit(r *run, reason worker.ExitReason, checkpoint string) {
	if !c.detachRun(r) {
		return
	}
	s := r.step
	j := s.job
	j.begun = true
	c.recordRunEnd(s, r.index, r.number)
	c.logger.Info("Task has exited.", "job", j.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID, "how", reason.String(),
		"ran", c.now-r.startedAt, "checkpoint", checkpoint != "")
	if checkpoint != "" && (s.doc.Checkpoints || s.doc.Gang) {
		s.progress.SetCheckpoint(s.unitIndex(r.index), checkpoint)
		c.changedJobs[j] = true
	}
	c.applyExit(s, r.index, r.number, r, reason)
}

// applyExit updates a step after an exit. r is nil if the run is not recorded.
func (c *Core) applyExit(s *step, index, number int, r *run, reason worker.ExitReason) {
	j := s.job
	switch reason {
	case worker.ExitDone:
		c.counts.Done++
		if r != nil {
			c.recordSuccess(r)
		}
		if s.doc.Service {
			return
		}
		if s.doc.Gang {
			for i := range s.tasks {
				c.markTaskDone(s, i)
			}
			return
		}
		c.markTaskDone(s, index)
	case worker.ExitFailed:
		c.counts.Failed++
		if r != nil {
			c.recordFailure(r)
		}
		if s.doc.Service || j.progress.State.Ended() {
			return
		}
		s.tasks[index].failedAt = c.now
		failures := s.progress.AddFailure(s.unitIndex(index), number)
		c.changedJobs[j] = true
		if failures >= c.queueOf(j).Attempts {
			c.logger.Info("Job has failed.", "job", j.doc.ID, "step", s.number, "index", index, "failures", failures)
			c.endJob(j, work.Failed, "a task failed as often as it may")
			return
		}
		if s.doc.Gang && r != nil {
			c.stopGang(r)
		}
	default:
		if s.doc.Gang && r != nil && reason != worker.ExitGangBroken {
			c.stopGang(r)
		}
	}
}

// stopGang stops the other members of a gang.
func (c *Core) stopGang(r *run) {
	s := r.step
	if !s.doc.Gang {
		return
	}
	s.notBefore = max(s.notBefore, c.now+gangPause)
	for i := range s.tasks {
		for _, other := range s.tasks[i].runs {
			if other != r && other.number == r.number {
				c.stopRun(other, "another member of the gang ended")
			}
		}
	}
}

// gangPause is the pause before a gang is started again. Meanwhile the exits of its members come in.
const gangPause = 200 * time.Millisecond

// markRunLost removes a run that ended without a report. It keeps its last checkpoint.
func (c *Core) markRunLost(r *run, reason string) {
	if !c.detachRun(r) {
		return
	}
	if r.confirmedAt == 0 && r.phase != planned {
		r.step.tasks[r.index].triedAt = r.startedAt
	}
	if r.step.doc.Service && (r.confirmedAt > 0 || r.phase == planned) {
		// The next leader judges a crash of the worker by the record of another task. A start without an answer may be carried out in the
		// next life of the worker.
		c.recordRunEnd(r.step, r.index, r.number)
	}
	if r.step.copies != nil {
		r.step.copies.Lost(r.index)
	}
	c.counts.Lost++
	c.logger.Warn("Task was lost.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID, "reason", reason, "ran", c.now-r.startedAt)
	if r.checkpoint != "" && (r.step.doc.Checkpoints || r.step.doc.Gang) {
		r.step.progress.SetCheckpoint(r.step.unitIndex(r.index), r.checkpoint)
		c.changedJobs[r.step.job] = true
	}
	c.stopGang(r)
}
