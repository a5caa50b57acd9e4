package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

// startRuns starts planned runs, and logs them together.
func (c *Core) startRuns(runs []*run) {
	started := make([]*run, 0, len(runs))
	for _, r := range runs {
		if c.startRun(r) {
			started = append(started, r)
		}
	}
	c.logStarts(started)
}

// startRun starts a planned run, and reports whether it has.
func (c *Core) startRun(r *run) bool {
	if r.phase != planned || !r.attached() {
		return false
	}
	if reason := c.cannotStart(r); reason != "" {
		c.logger.Info("Task is not started: "+reason, "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID, "contactAge", c.contactAge(r.worker))
		c.dropPlan(r)
		c.stopGang(r)
		return false
	}
	r.phase, r.sincePlan, r.startedAt = starting, c.now-r.startedAt, c.now
	j := r.step.job
	if !j.started {
		c.observeStage(j, StageStarted)
	}
	j.started = true
	c.counts.Started++
	c.commandStart(r)
	return true
}

// cannotStart returns why a planned run does not start on its worker any more, and "" if it does. The batch may have taken long.
func (c *Core) cannotStart(r *run) string {
	switch ws := r.worker; {
	case c.workers[ws.report.ID] != ws || ws.leaseExpired:
		return "its worker is gone."
	case c.silent(ws):
		return "its worker is silent."
	case ws.report.Draining:
		return "its worker is leaving."
	case c.evacuated(ws):
		return "its data centre is evacuated."
	case !r.stillFits():
		return "there is no room for it any more."
	}
	return ""
}

// dropPlan removes a run that is not started. The next leader need not wait for its worker.
func (c *Core) dropPlan(r *run) {
	c.detachRun(r)
	c.recordRunEnd(r.step, r.index, r.number)
}

// outageAfter is the time without a stored batch after which the store counts as down.
const outageAfter = 500 * time.Millisecond

// limitsCopies reports whether an occurrence may have copies and its team a limit. A start without a record would go beyond the limit under the
// next leader: the record of a task that is done covers it otherwise, but names fewer runs after a copy.
func (c *Core) limitsCopies(s *step) bool {
	return c.catalog.Teams[s.job.doc.Team].Limit != (work.Resources{}) && slices.ContainsFunc(s.occurrence.steps, func(s *step) bool { return s.copies != nil })
}

// startDuringOutage starts planned runs while the store is down, on workers that are recorded for their occurrence. This
// is safe since the next leader starts nothing of an occurrence before all its recorded workers have answered or their
// leases have expired. Tasks of services wait, since the next leader starts those of them whose recorded run has ended, and so
// do tasks under which a worker has crashed, since it has to know of the crash, and copies, of which it counts only those on record.
func (c *Core) startDuringOutage() {
	if len(c.plannedRuns) == 0 || c.now-c.lastStored < outageAfter {
		return
	}
	var due []*run
	remaining := c.plannedRuns[:0]
	for _, r := range c.plannedRuns {
		if c.now-r.startedAt > outageAfter && !r.copied && !c.limitsCopies(r.step) && !r.step.recordsAll() && !r.step.crashCount(r.index).Suspect() && slices.Contains(r.step.occurrence.recordedWorkers, r.worker.report.ID) {
			due = append(due, r)
			continue
		}
		remaining = append(remaining, r)
	}
	c.plannedRuns = remaining
	c.startRuns(due)
}
