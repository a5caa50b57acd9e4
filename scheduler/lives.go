package scheduler

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/internal/workers/latestarts"
	"github.com/chivetiller/chivetiller/internal/workers/unstoredexits"
	"github.com/chivetiller/chivetiller/worker"
)

// workerLife is what a worker has said, and was told, in one of its lives. It is replaced as a whole when the worker starts again under
// its ID. Calls and batches hold the life that they are about, so that one that ends late changes nothing in the next life.
type workerLife struct {
	// The fields up to earlier are read for each worker in each pass.
	worker *workerState
	// answered means that the worker has answered in this life and term.
	answered bool
	// leaseExpired means that the lease has expired since the worker last answered.
	leaseExpired bool
	// startUnanswered means that a start got no answer or could not be sent, and that the worker has not answered anything since.
	startUnanswered bool
	// replaced means that the clock in a reply was that of another life, whose report is awaited.
	replaced bool
	// unresponsive means that it was logged that the worker does not answer.
	unresponsive bool
	// restarted means that calls to earlier lives may have given this one a lease, in this term or before.
	restarted bool
	// previousLonger means that previousExpiry is later than requestedExpiry.
	previousLonger bool
	// requestedExpiry is the latest lease expiry that was requested, on the worker's clock.
	requestedExpiry time.Duration
	// clock is the worker's clock in a reply. The request was sent at clockSent and the reply received at clockReceived.
	clock         time.Duration
	clockReceived time.Duration
	clockSent     time.Duration
	// earlier holds the calls to earlier lives. The worker refuses them from ruledOutAt on, which is 0 before.
	earlier    earlierCalls
	ruledOutAt time.Duration
	// earlierEnd is the time at which the leases have certainly ended that calls of earlier leaders to earlier lives may have given to this
	// one, and 0 if it is not known. earlierStoredEnd is the same on the store's clock.
	earlierEnd       time.Duration
	earlierStoredEnd time.Duration
	// previousExpiry is the latest lease expiry that previous leaders may have requested before the worker answered, on its clock.
	previousExpiry time.Duration
	// lastContact is the time of the last reply.
	lastContact time.Duration
	// noTasksBefore is the time before which the worker gets no tasks.
	noTasksBefore time.Duration
	// unknownRuns counts the runs in the last report that are not recorded here.
	unknownRuns int
	identity    worker.Life
	// latestClock is the latest clock in a reply. It does not go back with replies that overtake each other, or with those of a
	// new incarnation that is not recognised yet.
	latestClock time.Duration
	// firstReply is the time at which the worker first answered.
	firstReply time.Duration
	// aliveAt is the latest time at which a report was requested that this life has sent, and 0 if its reports do not name it.
	aliveAt time.Duration
	// reportedAt is the time of the last report, and reportClock the worker's clock in it.
	reportedAt  time.Duration
	reportClock time.Duration
	// polledAt is the time of the latest poll.
	polledAt time.Duration
	// doubtedAt is the time at which a call got no answer, and 0 if the worker has answered a later one. It may have started again.
	doubtedAt time.Duration
	// fence is the fencing token of calls to this life, and calledAt the time of the latest one.
	fence    uint64
	calledAt time.Duration
	// ruleOutFence is the highest fencing token of an order whose outcome is unknown, and ruledOutFence that up to which the worker is
	// known to refuse orders. ordersInDoubt means that the next reports decide about such orders.
	ruleOutFence  uint64
	ruledOutFence uint64
	ordersInDoubt bool
	// slowness is by how much tasks take longer than on a usual worker, relative to that.
	slowness float64
	// maxLease is the longest lease that the worker grants.
	maxLease time.Duration
	// expiredRuns holds the runs that were on the worker when its lease expired. It may have crashed.
	expiredRuns []*run
	// exitsProcessed is the number of the last exit that was processed, and exits tells up to which the effects are stored.
	exitsProcessed uint64
	exits          unstoredexits.Queue[*job]
	// unansweredStarts holds the starts that got no answer.
	unansweredStarts latestarts.List
	// throttledAt is the time of the latest throttle command.
	throttledAt time.Duration
	// overtakenAt is the time at which a run there was last overtaken by its copy.
	overtakenAt time.Duration
}

// call is a call to a worker. Its answer is compared with it.
type call struct {
	life  *workerLife
	fence uint64
}

// current reports whether the life that a call is meant for is the present one of a worker that is in use.
func (c *Core) current(to call) bool {
	ws := to.life.worker
	return c.workers[ws.report.ID] == ws && ws.workerLife == to.life
}

// admits reports whether the answer to a renewal is used: it is of the present life, or of a new one that has taken the call. The report of a
// life that has ended may arrive after that of the next one.
func (c *Core) admits(to call, status worker.Status) bool {
	ws := to.life.worker
	if status.Outcome != worker.Accepted || status.Incarnation == 0 {
		return c.current(to)
	}
	return c.workers[ws.report.ID] == ws && !slices.Contains(ws.endedLives, status.Incarnation)
}

// isOther reports whether a reply to a call to this life shows that another one has answered. The replies to most commands do not name the
// life that has answered, but its clock starts anew.
func (l *workerLife) isOther(reply worker.Reply, sent time.Duration) bool {
	if reply.Incarnation != 0 && l.identity.Incarnation != 0 {
		return reply.Incarnation != l.identity.Incarnation
	}
	return reply.Clock > 0 && l.clock > 0 && sent >= l.clockReceived && reply.Clock+expiryMargin < l.minClockAt(sent)
}

// errOtherLife means that a command was answered by another life than the one that it was meant for.
var errOtherLife = eris.New("another life of the worker has answered")

// logDropped logs an answer that is not used.
func (c *Core) logDropped(to call, reply worker.Reply, sent time.Duration) {
	if reply.Outcome == worker.Unknown || reply.Outcome == worker.NotSent {
		return
	}
	c.logger.Info("Answer for another life of the worker is dropped.", "worker", to.life.identity.ID, "born", to.life.identity.Incarnation, "answeredBy", reply.Incarnation,
		"present", to.life.worker.identity.Incarnation, "outcome", reply.Outcome.String(), "clock", reply.Clock, "took", c.now-sent)
}

// identify records which life of a worker has sent a report.
func (c *Core) identify(ws *workerState, incarnation int64) {
	switch {
	case incarnation == 0 || incarnation == ws.identity.Incarnation:
	case ws.identity.Incarnation == 0:
		ws.identity.Incarnation = incarnation
		c.rosterChanges[ws.report.ID] = true
	default:
		c.handleRestart(ws, incarnation)
	}
}

// newLife returns a life of a worker of which nothing is known yet.
func (c *Core) newLife(ws *workerState, identity worker.Life, earlier earlierCalls) workerLife {
	return workerLife{
		worker: ws, identity: identity, clockReceived: c.now, fence: max(c.options.Fence, earlier.fence), earlier: earlier, maxLease: c.options.Bounds.MaxLease,
	}
}

// maxEndedLives is how many ended lives of a worker are remembered. An answer of an earlier one cannot take that many restarts.
const maxEndedLives = 8

// handleRestart records that the worker process has restarted under the same ID.
func (c *Core) handleRestart(ws *workerState, incarnation int64) {
	c.logger.Warn("Worker has restarted.", "worker", ws.report.ID, "born", incarnation)
	ended := ws.workerLife
	runs := c.runsAtCrash(ws, true)
	for _, r := range runsOn(ws) {
		if r.confirmedAt == 0 {
			c.recordUnansweredStart(r)
			r.step.tasks[r.index].notBefore = c.now + restartPause
		}
		c.markRunLost(r, "the worker has restarted")
	}
	// How long the worker survived its starts is on the clock of the life that has ended.
	c.recordCrash(ws, runs)
	ws.endedLives = append(ws.endedLives[max(0, len(ws.endedLives)-maxEndedLives+1):], ended.identity.Incarnation)
	c.commands = slices.DeleteFunc(c.commands, func(cmd Command) bool { return cmd.call.life == ended })
	next := c.newLife(ws, worker.Life{ID: ended.identity.ID, Incarnation: incarnation}, c.callsTo(ended))
	next.restarted = true
	ws.workerLife = &next
	c.learned.Pace().Forget(ws.report.ID)
	c.forgetTickets(ws)
	// Starts that got no answer may still reach the new life, which knows no runs. A stop makes the worker reject them.
	for _, start := range ended.unansweredStarts.Arriving(c.now, maxCommandDelay) {
		c.stopUnknownRun(ws, start.Task, start.Run)
	}
	c.rosterChanges[ws.report.ID] = true
}

// maxClockAt returns the latest time that the clock of the worker can show at a local time.
func (l *workerLife) maxClockAt(now time.Duration) time.Duration {
	return l.clock + now - l.clockSent
}

// minClockAt returns the earliest time that the clock of the worker can show at a local time after the last reply.
func (l *workerLife) minClockAt(now time.Duration) time.Duration {
	return l.clock + time.Duration(float64(now-l.clockReceived)*(1-maxClockSlowdown))
}

// earliestClockAt returns a time that the clock of the worker certainly showed at a local time, before or after the last reply.
func (l *workerLife) earliestClockAt(at time.Duration) time.Duration {
	if at >= l.clockReceived {
		return l.minClockAt(at)
	}
	return l.clock - time.Duration(float64(l.clockReceived-at)/(1-maxClockSlowdown))
}

// certainlyAt returns the local time at which the clock of the worker has certainly reached a time.
func (l *workerLife) certainlyAt(clock time.Duration) time.Duration {
	if clock <= l.clock {
		return l.clockReceived
	}
	return l.clockReceived + time.Duration(float64(clock-l.clock)/(1-maxClockSlowdown)) + expiryMargin
}

// earlierLeaseEnded reports whether all leases that calls to earlier lives may have given to this one have ended.
func (l *workerLife) earlierLeaseEnded(now time.Duration) bool {
	return l.answered && l.ruledOut(now) && now > max(l.earlierExpiry(), l.certainlyAt(l.previousExpiry))
}

// earlierLeasesEnd returns the local time at which the leases have certainly ended that calls to earlier lives may have given to this one,
// and false if that is not known. A life that has not answered this leader does not refuse the calls of those before.
func (l *workerLife) earlierLeasesEnd() (end time.Duration, known bool) {
	switch {
	case l.answered && l.earlier.fence == 0:
		return l.certainlyAt(l.previousExpiry), true
	case l.answered:
		return l.earlierExpiry(), true
	case l.earlier.fence != 0:
		// Calls of earlier leaders reach the life only if it is not the one that this leader has called.
		return l.earlierExpiry(), !l.restarted
	}
	return l.earlierEnd, !l.restarted || l.earlierEnd != 0
}

// certainExpiry returns the local time at which all runs on the worker are certain to have ended, if the lease is not renewed.
func (l *workerLife) certainExpiry() time.Duration {
	latest := l.requestedExpiry
	if l.previousLonger {
		latest = l.previousExpiry
	}
	expiry := l.certainlyAt(latest)
	if l.earlier.fence == 0 {
		return expiry
	}
	return max(expiry, l.earlierExpiry())
}
