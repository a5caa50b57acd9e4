package scheduler

// overcommitted reports whether more is reserved on a worker than its capacity, which may shrink at any time.
func (ws *workerState) overcommitted() bool { return !ws.used.Fits(ws.report.Capacity) }

// hasRoom reports whether what is reserved on a worker fits by its registry entry, which is of its present life.
func (ws *workerState) hasRoom() bool { return ws.registered() && !ws.overcommitted() }

// stillFits reports whether a planned run still has room on its worker, and a gang on all of its workers.
func (r *run) stillFits() bool {
	if !r.step.doc.Gang {
		return r.worker.hasRoom()
	}
	for i := range r.step.tasks {
		for _, member := range r.step.tasks[i].runs {
			if member.number == r.number && member.phase == planned && !member.worker.hasRoom() {
				return false
			}
		}
	}
	return true
}

// guardsCapacity reports whether a worker rejects what does not fit.
func (c *Core) guardsCapacity(ws *workerState) bool {
	return c.catalog.Pools[ws.report.Pool].EnforcesCapacity
}

// mayRepeatStart reports whether an unanswered start may be sent again: it fits, or the worker rejects it if it does not. What was true when
// it was first sent may not be true any more.
func (c *Core) mayRepeatStart(r *run) bool {
	if r.worker.report.Draining || c.evacuated(r.worker) || !c.withinTeamLimit(r.step, 0) {
		return false
	}
	return r.worker.hasRoom() || r.worker.registered() && c.guardsCapacity(r.worker)
}
