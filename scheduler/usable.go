package scheduler

// registered reports whether the latest registry entry is of the present life of the worker.
func (ws *workerState) registered() bool {
	return ws.report.Incarnation == 0 || ws.report.Incarnation == ws.identity.Incarnation
}

// presentIncarnation returns the incarnation of the worker's present life: that of the latest registry entry, if it has one.
func (ws *workerState) presentIncarnation() int64 {
	if ws.registered() {
		return ws.identity.Incarnation
	}
	return ws.report.Incarnation
}

// acceptsTasks reports whether tasks may be started on a worker.
func (c *Core) acceptsTasks(ws *workerState) bool {
	return !ws.cordoned && !ws.health.Quarantined(c.now) && c.mayStartOn(ws)
}

// silent reports whether a worker that has answered before may be down.
func (c *Core) silent(ws *workerState) bool {
	return ws.answered && (ws.startUnanswered || ws.replaced || c.now-ws.lastContact > contactTimeout)
}

// mayStartOn reports whether a start on a worker would be carried out and may be, whether the worker is avoided or not.
func (c *Core) mayStartOn(ws *workerState) bool {
	if c.evacuated(ws) || !ws.listed || !ws.registered() || !ws.answered || ws.leaseExpired || c.silent(ws) || !ws.ruledOut(c.now) {
		return false
	}
	if ws.report.Draining || c.now < ws.noTasksBefore || (ws.unknownRuns > 0 && !c.guardsCapacity(ws)) {
		return false
	}
	maxClock := ws.maxClockAt(c.now)
	return ws.requestedExpiry-maxClock > leaseReserve
}

// late reports whether a worker should have answered a renewal by now. It is likely to be down, which takes seconds to be known after a start.
func (c *Core) late(ws *workerState) bool { return c.now-ws.lastContact > doubtedAfter }
