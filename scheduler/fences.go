package scheduler

import "time"

// earlierCalls are the calls to the earlier lives of a worker in this term. A call names the ID of the worker only, so one that is carried out
// late may reach the next life. It may start a task there that is done, acknowledge exits by the numbers of the earlier life, and give a lease
// by its clock, which is far ahead. Therefore calls to the next life carry a higher fencing token: once a worker has taken one of them, it
// refuses the earlier calls.
type earlierCalls struct {
	// fence is the highest fencing token of the calls, and 0 if there are none.
	fence uint64
	// until is the time until which they may be carried out.
	until time.Duration
	// incarnation is the life that the latest were meant for. The leases that calls to the lives before may have given to it have expired at
	// leasesUntil.
	incarnation int64
	leasesUntil time.Duration
	// leaseExpiry is the latest lease expiry in the calls, each on the clock of the life that it was meant for. It bounds the leases of the
	// next life if onlyOwn is set: no call of an earlier leader can reach that life.
	leaseExpiry time.Duration
	onlyOwn     bool
}

// callsTo returns the calls to a life and those before it.
func (c *Core) callsTo(l *workerLife) earlierCalls {
	if l.calledAt == 0 {
		return l.earlier
	}
	return earlierCalls{
		fence: l.fence, until: max(l.calledAt+maxCommandDelay, l.earlier.until), incarnation: l.identity.Incarnation, leasesUntil: l.earlierExpiry(),
		leaseExpiry: max(l.requestedExpiry, l.earlier.leaseExpiry),
		onlyOwn:     l.earlier.onlyOwn || l.aliveAt > c.leaders.ActiveUntil(c.limits.Confirmation)+maxCommandDelay,
	}
}

// ruledOut reports whether no call to an earlier life can be carried out any more.
func (l *workerLife) ruledOut(now time.Duration) bool {
	return l.earlier.fence == 0 || l.ruledOutAt > 0 || now >= l.earlier.until
}

// needsFence reports whether calls to this life wait for a higher fencing token than that of the calls to earlier ones.
func (l *workerLife) needsFence(now time.Duration) bool {
	return !l.ruledOut(now) && l.fence <= l.earlier.fence
}

// earlierExpiry returns the local time at which leases that calls to earlier lives may have given to this one have expired. Their expiry is on
// the clock of an earlier life, so the worker shortens them to the longest lease that it grants. They end sooner if its clock reaches the
// latest expiry that was requested before.
func (l *workerLife) earlierExpiry() time.Duration {
	if l.earlier.fence == 0 {
		return 0
	}
	if l.earlier.incarnation != 0 && l.earlier.incarnation == l.identity.Incarnation {
		// The worker was removed and is back in the same life, by whose clock the leases were requested.
		return l.earlier.leasesUntil
	}
	until := l.earlier.until
	if l.ruledOutAt > 0 {
		until = min(until, l.ruledOutAt)
	}
	until += time.Duration(float64(l.maxLease)/(1-maxClockSlowdown)) + expiryMargin
	if l.earlier.onlyOwn && l.clock > 0 {
		until = min(until, l.certainlyAt(l.earlier.leaseExpiry))
	}
	return until
}

// SetStoredVersion records the version of a batch that this term has stored. It is below the fencing token of the next leader, which is the
// version of a later transaction, so it may serve as a fencing token of this term.
func (c *Core) SetStoredVersion(version uint64) { c.storedVersion = max(c.storedVersion, version) }

// newCall returns a call to the present life of a worker.
func (c *Core) newCall(ws *workerState) call {
	if ws.needsFence(c.now) && c.storedVersion > ws.earlier.fence || ws.fence <= ws.ruleOutFence && c.storedVersion > ws.ruleOutFence {
		ws.fence = c.storedVersion
	}
	ws.calledAt = c.now
	return call{life: ws.workerLife, fence: ws.fence}
}

// recordAnswer records that the present life of a worker has taken a call.
func (c *Core) recordAnswer(to call) {
	l := to.life
	if l.ruledOut(c.now) || to.fence <= l.earlier.fence || !c.current(to) {
		return
	}
	l.ruledOutAt = c.now
	c.rosterChanges[l.identity.ID] = true
	c.pool(l.worker.report.Pool).needsPlanning = true
	c.logger.Info("Calls to earlier lives of the worker are ruled out.", "worker", l.identity.ID, "born", l.identity.Incarnation, "fence", to.fence, "earlierFence", l.earlier.fence)
}

// overtaken reports whether a call was refused because a later one of this term carried a higher fencing token.
func (to call) overtaken() bool { return to.fence < to.life.fence }

// keepCalls records the calls to a worker that is removed, since it may return under its ID.
func (c *Core) keepCalls(ws *workerState) {
	for id, calls := range c.earlierCalls {
		// A worker that has only been cut off keeps a token that is higher than that of the term.
		if c.now >= calls.until+2*ws.maxLease && calls.fence <= c.options.Fence {
			delete(c.earlierCalls, id)
		}
	}
	c.earlierCalls[ws.report.ID] = c.callsTo(ws.workerLife)
}
