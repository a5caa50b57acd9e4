package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/worker"
)

// This file decides about orders to workers (starts, stops and throttles) whose outcome is unknown. Such an order may be carried out seconds
// later, and what was true when it was sent may not be true then. The next calls to the worker carry a higher fencing token: the report of
// the first one that is answered tells whether the order was carried out, and the worker refuses it from then on.

// ruleOut makes the next calls to a worker rule out the orders up to a fencing token.
func (c *Core) ruleOut(ws *workerState, fence uint64) {
	ws.ruleOutFence, ws.ordersInDoubt = max(ws.ruleOutFence, fence), true
	c.pursueOrders(ws)
}

// pursueOrders polls a worker until it has answered a call that rules out the orders whose outcome is unknown, and the calls to its earlier
// lives.
func (c *Core) pursueOrders(ws *workerState) {
	inDoubt := ws.ruleOutFence > ws.ruledOutFence && c.storedVersion > ws.ruleOutFence || !ws.ruledOut(c.now) && c.storedVersion > ws.earlier.fence
	if inDoubt && ws.answered && !ws.leaseExpired && c.now-ws.lastContact < contactTimeout {
		c.pollWorker(ws)
	}
}

// needsVersion reports whether a higher fencing token than the present stored version is needed, so that a batch is stored for it.
func (c *Core) needsVersion() bool {
	for _, ws := range c.workers {
		if ws.ruleOutFence > ws.ruledOutFence && c.storedVersion <= ws.ruleOutFence || ws.needsFence(c.now) && c.storedVersion <= ws.earlier.fence {
			return true
		}
	}
	return false
}

// mayRuleOut reports whether a higher fencing token can be had soon. The store supplies it.
func (c *Core) mayRuleOut(ws *workerState) bool {
	return c.storedVersion > ws.fence || c.storesBatches()
}

// protected reports whether ending a run needs a place in the disruption budget of its step. A stop of it without an answer is not repeated
// before it is certain that it will not be carried out.
func (r *run) protected() bool {
	s := r.step
	return s.doc.Service && s.doc.MaxDisruptions > 0 && !s.job.progress.State.Ended() && !r.worker.report.Draining
}

// giveUpStart ends the attempts to start a run without an answer. The run stays on record until the worker lists it or the start is ruled
// out. A stop could be carried out after the start and end a task that has come to work; it is used only where that does not matter, while
// the store supplies no fencing token.
func (c *Core) giveUpStart(r *run, reason string) {
	if !r.protected() && !c.mayRuleOut(r.worker) {
		r.phase = running
		c.stopRun(r, reason)
		return
	}
	if r.startGivenUp {
		return
	}
	r.startGivenUp = true
	c.logger.Info("Start is given up.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID, "reason", reason,
		"tries", r.unanswered, "fence", r.startFence, "storedVersion", c.storedVersion, "service", r.step.doc.Service)
	c.ruleOut(r.worker, r.startFence)
}

// startRepeatPause is the time between two starts of a run without an answer. The worker carries out the first one that arrives.
const startRepeatPause = 150 * time.Millisecond

// promptCrashTime is the time after a start was sent within which a worker crashes that a task crashes at once. A worker that has answered a
// call after that is in order, so that it may get further tasks although the start got no answer.
const promptCrashTime = 250 * time.Millisecond

// repeatUnanswered sends a start without an answer again, at once after the first one and with a pause later.
func (c *Core) repeatUnanswered(r *run) {
	if !slices.Contains(c.unansweredRuns, r) {
		c.unansweredRuns = append(c.unansweredRuns, r)
		c.repeatStart(r)
		return
	}
	if c.now-r.startSentAt >= startRepeatPause {
		c.repeatStart(r)
	}
}

// repeatUnansweredStarts sends starts again whose worker has answered other calls since, without waiting for the answers to those in flight.
func (c *Core) repeatUnansweredStarts() {
	c.unansweredRuns = slices.DeleteFunc(c.unansweredRuns, func(r *run) bool {
		return r.phase != starting || r.confirmedAt != 0 || !r.attached()
	})
	for _, r := range c.unansweredRuns {
		if r.startGivenUp {
			c.giveUpStart(r, "the store supplies no fencing token")
			continue
		}
		if r.worker.lastContact > r.startedAt && c.now-r.worker.lastContact < contactTimeout && !r.worker.replaced && !r.repeatAfterReport {
			c.repeatUnanswered(r)
			if r.worker.startUnanswered {
				c.pollWorker(r.worker)
			}
		}
	}
}

// stopUnanswered records that a stop got no answer, or was not sent. It reports whether the stop is not to be repeated yet.
func (c *Core) stopUnanswered(r *run, outcome worker.Outcome) bool {
	if r.confirmedAt == 0 && r.unanswered > 0 {
		c.ruleOut(r.worker, r.startFence)
	}
	if !r.protected() || r.phase != stopping {
		return false
	}
	if outcome != worker.Unknown && !r.stopUnknown {
		c.withdrawStop(r)
		return true
	}
	r.stopUnknown = true
	c.ruleOut(r.worker, r.stopFence)
	return true
}

// withdrawStop records that a stop has had no effect and will have none. It is sent again if it is still wanted and allowed.
func (c *Core) withdrawStop(r *run) {
	c.logger.Info("Stop is withdrawn.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID, "fence", r.stopFence,
		"after", c.now-r.stopSentAt)
	r.phase, r.stopUnknown, r.stopRuledOutAt = running, false, 0
	if r.confirmedAt == 0 {
		r.phase = starting
		if r.unanswered > 0 {
			// The start was not repeated beside the stop.
			c.giveUpStart(r, "its stop is withdrawn")
		}
	}
	if t := &r.step.tasks[r.index]; t.done || len(t.runs) > 1 && !r.step.doc.Speculative {
		c.stopRun(r, "the task is done or runs on another worker")
	}
}

// settleOrders decides about the orders to a worker that the call of a report has ruled out.
func (c *Core) settleOrders(ws *workerState, to call, status worker.Status, sent time.Duration) {
	if to.life != ws.workerLife || !ws.ordersInDoubt || len(status.Exited) >= exitsPerReply {
		return
	}
	if to.fence > ws.ruleOutFence {
		ws.ruledOutFence = ws.ruleOutFence
	}
	// A call with a lower token may be answered after one that has ruled out the same tokens for other orders.
	ws.ordersInDoubt = to.fence <= ws.ruleOutFence
	for _, r := range runsOn(ws) {
		switch {
		case r.phase == planned:
		case r.confirmedAt == 0 && r.unanswered > 0 && (r.startGivenUp || r.phase == stopping) && to.fence > r.startFence:
			if !lists(status, r) {
				c.markNotStarted(r)
			}
		case r.phase == stopping && r.stopUnknown:
			ws.ordersInDoubt = true
			c.settleStop(r, to, status, sent)
		}
	}
}

// settleStop withdraws a stop that is ruled out. A worker lists a run until it has stopped, so a stop that was carried out just before shows
// later.
func (c *Core) settleStop(r *run, to call, status worker.Status, sent time.Duration) {
	switch {
	case to.fence <= r.stopFence:
	case !r.protected():
		c.commandStop(r)
	case r.stopRuledOutAt == 0:
		r.stopRuledOutAt = c.now
	case sent > r.stopRuledOutAt+c.options.Bounds.StopTimeout+stopMargin && lists(status, r):
		c.withdrawStop(r)
	}
}

// lists reports whether a report has a run or its exit.
func lists(status worker.Status, r *run) bool {
	t := r.task()
	return slices.ContainsFunc(status.Running, func(row worker.Run) bool { return row.Task == t && row.Number == r.number }) ||
		slices.ContainsFunc(status.Exited, func(e worker.Exit) bool { return e.Task == t && e.Number == r.number })
}

// markNotStarted removes a run that has not started and will not.
func (c *Core) markNotStarted(r *run) {
	c.logger.Info("Start is ruled out.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID, "fence", r.startFence,
		"after", c.now-r.startedAt, "service", r.step.doc.Service)
	c.detachRun(r)
	c.recordRunEnd(r.step, r.index, r.number)
	c.stopGang(r)
}
