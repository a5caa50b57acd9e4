package scheduler

import "time"

const (
	// waitLogAfter is how long a task of a service has not run when that is logged, and again after as long.
	waitLogAfter = 3 * time.Second
	// waitCheckInterval is the time between two checks for tasks of services that do not run.
	waitCheckInterval = time.Second
	// maxWaitLines is the maximum number of log lines of one check.
	maxWaitLines = 5
)

// WaitReason tells why a task of a service does not run.
type WaitReason string

// Reasons, in the order in which they are checked.
const (
	WaitForBatch          WaitReason = "batch not stored"
	WaitForPreviousLeader WaitReason = "leases of a previous leader"
	WaitForStorableJob    WaitReason = "progress of the job cannot be stored"
	WaitAfterRun          WaitReason = "pause after the last run"
	WaitForPolicy         WaitReason = "no policy decision"
	WaitForTeamLimit      WaitReason = "limit of the team"
	WaitForWorker         WaitReason = "no worker in use"
	WaitForEligibleWorker WaitReason = "no eligible worker"
	WaitForRoom           WaitReason = "no room on a worker"
	WaitForPlacement      WaitReason = "not placed yet"
)

// checkWaitingTasks counts the tasks of services that do not run, by reason, and logs those that have not for long.
func (c *Core) checkWaitingTasks() {
	if c.now-c.waitingCheckedAt < waitCheckInterval {
		return
	}
	c.waitingCheckedAt = c.now
	clear(c.waitingTasks)
	lines, omitted := 0, 0
	for _, p := range c.pools {
		for _, j := range p.jobs {
			if !j.service || j.progress.State.Ended() {
				continue
			}
			for _, o := range j.open {
				for _, s := range o.steps {
					if !s.doc.Service || !s.ready() {
						continue
					}
					for i := range s.tasks {
						if !c.checkWaitingTask(s, i) {
							continue
						}
						if lines < maxWaitLines {
							c.logWaitingTask(p, s, i)
							lines++
							continue
						}
						omitted++
					}
				}
			}
		}
	}
	if omitted > 0 {
		c.logger.Warn("More tasks of services do not run.", "tasks", omitted, "reasons", c.waitingTasks)
	}
}

// checkUnstored records since when something waits to be stored.
func (c *Core) checkUnstored() {
	switch {
	case len(c.changedJobs) == 0 && len(c.plannedRuns) == 0:
		c.unstoredSince = 0
	case c.unstoredSince == 0:
		c.unstoredSince = c.now
	}
}

// checkWaitingTask counts a task if it does not run, and reports whether that is to be logged.
func (c *Core) checkWaitingTask(s *step, index int) bool {
	wait := &s.serviceWait().tasks[index]
	for _, r := range s.tasks[index].runs {
		if r.phase != planned {
			wait.since = 0
			return false
		}
	}
	if wait.since == 0 {
		wait.since, wait.loggedAt = c.now, c.now
	}
	c.waitingTasks[c.waitReason(s, index)]++
	if c.now-wait.loggedAt < waitLogAfter {
		return false
	}
	wait.loggedAt = c.now
	return true
}

func (c *Core) logWaitingTask(p *pool, s *step, index int) {
	var largest int64
	usable := c.usableWorkers(p)
	for _, ws := range usable {
		largest = max(largest, ws.freeCapacity().CPU)
	}
	name := (&run{step: s, index: index}).name()
	c.logger.Warn("Task of a service does not run.", "job", s.job.doc.ID, "task", name, "pool", p.name, "for", c.now-s.serviceWait().tasks[index].since,
		"reason", string(c.waitReason(s, index)), "cpu", s.doc.ReservedResources().CPU, "largestRoom", largest, "usable", len(usable), "workers", len(p.workers),
		"lastStored", c.now-c.lastStored)
}

// waitReason returns why a task that is not done does not run.
func (c *Core) waitReason(s *step, index int) WaitReason {
	j, t := s.job, &s.tasks[index]
	switch {
	case len(t.runs) > 0:
		return WaitForBatch
	case c.blocked(s.occurrence):
		return WaitForPreviousLeader
	case c.now < j.notStoredBefore:
		return WaitForStorableJob
	case c.now < t.notBefore, s.doc.Gang && c.now < s.notBefore:
		return WaitAfterRun
	}
	if q, ok := c.catalog.Queue(j.doc.Queue); ok && q.Policy != nil && (s.tickets == nil || c.now >= s.tickets.validUntil) {
		return WaitForPolicy
	}
	if !c.withinTeamLimit(s, 1) {
		return WaitForTeamLimit
	}
	usable := c.usableWorkers(c.pool(j.doc.Pool))
	if len(usable) == 0 {
		return WaitForWorker
	}
	reason := WaitForEligibleWorker
	for _, ws := range usable {
		switch {
		case !c.eligible(s, ws):
		case s.doc.ReservedResources().Fits(ws.freeCapacity()):
			return WaitForPlacement
		default:
			reason = WaitForRoom
		}
	}
	return reason
}
