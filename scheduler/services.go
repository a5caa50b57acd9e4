package scheduler

import (
	"errors"
	"time"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/common/backoff"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// fullSpeed is full speed in percent. A service task that reports it is at work; as a limit it lets a best-effort task
	// use all left-over capacity.
	fullSpeed = 100
	// unknownSpeed means that the limit in force at the worker is not known.
	unknownSpeed = -1
	// speedUpBelow is the share of the latency target below which best-effort tasks are sped up again.
	speedUpBelow = 0.6
	// speedUpStep is the step, in percent, by which they are sped up.
	speedUpStep = 25
	// speedUpInterval is the minimum time between two steps, so that the load after the last one is known.
	speedUpInterval = 1500 * time.Millisecond
)

// adjustBestEffort throttles the best-effort tasks of a worker while a service task next to them is over its latency target.
func (c *Core) adjustBestEffort(ws *workerState) {
	over, near := false, false
	bestEffort := 0
	for _, r := range ws.runs {
		switch {
		case r.step.doc.BestEffort:
			bestEffort++
		case r.step.doc.TailLatencyTarget > 0:
			tail := time.Duration(r.load) * time.Millisecond
			over = over || tail > r.step.doc.TailLatencyTarget
			near = near || float64(tail) > speedUpBelow*float64(r.step.doc.TailLatencyTarget)
		}
	}
	if bestEffort == 0 {
		return
	}
	for _, r := range ws.runs {
		if !r.step.doc.BestEffort || r.phase != running {
			continue
		}
		switch {
		case over:
			c.throttle(r, 0)
		case r.speedLimit == unknownSpeed:
			c.throttle(r, 0)
		case !near && r.speedLimit < fullSpeed && c.now-ws.throttledAt > speedUpInterval:
			c.throttle(r, min(fullSpeed, r.speedLimit+speedUpStep))
		}
	}
}

// throttle limits the speed of a best-effort task.
func (c *Core) throttle(r *run, percent int) {
	if r.speedLimit == percent {
		return
	}
	r.speedLimit = percent
	r.worker.throttledAt = c.now
	c.logger.Info("Speed limit of a best-effort task was changed.", "job", r.step.job.doc.ID, "task", r.name(), "worker", r.worker.report.ID, "percent", percent)
	to := c.newCall(r.worker)
	c.commands = append(c.commands, Command{
		Kind: CommandThrottle, Target: workerTarget(r.worker), run: r, call: to,
		Run: worker.RunCommand{Task: r.task(), Run: r.number, Fence: to.fence, SpeedPercent: percent},
	})
}

// PolicyQuery queries the policy service for the workers that may run a step.
type PolicyQuery struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string
	step       *step
	// more means that there are more workers than a query may name.
	more bool
}

// ticketsGranted reports whether the tickets of a step can be used. If not, it queries the policy service for new ones.
func (c *Core) ticketsGranted(s *step) bool {
	if s.tickets != nil && (s.tickets.pending || c.now < s.tickets.validUntil) {
		return !s.tickets.pending
	}
	if c.now < s.nextPolicyQuery {
		return false
	}
	ids, more := c.nextPolicyWorkers(s)
	if len(ids) == 0 {
		return false
	}
	s.tickets = &tickets{pending: true}
	c.policyQueries = append(c.policyQueries, PolicyQuery{Job: s.job.doc.ID, Occurrence: s.occurrence.number, Step: s.number, Workers: ids, step: s, more: more})
	return false
}

// nextPolicyWorkers returns the workers of the next query about a step, those with room first, and whether there are more of them. Queries
// that grant nothing are followed by one about the next workers.
func (c *Core) nextPolicyWorkers(s *step) (ids []string, more bool) {
	var full []string
	charge := s.doc.ReservedResources()
	for _, ws := range c.pool(s.job.doc.Pool).workers {
		switch {
		case !c.acceptsTasks(ws) || !ws.report.HasLabel(s.doc.RequiredLabel):
		case charge.Fits(ws.freeCapacity()):
			ids = append(ids, ws.report.ID)
		default:
			full = append(full, ws.report.ID)
		}
	}
	ids = append(ids, full...)
	if s.policyOffset >= len(ids) {
		s.policyOffset = 0
	}
	ids = ids[s.policyOffset:]
	if len(ids) > advice.MaxWorkers {
		return ids[:advice.MaxWorkers], true
	}
	return ids, false
}

// TakePolicyQueries returns the queries to the policy service that are due, and removes them from the queue.
func (c *Core) TakePolicyQueries() []PolicyQuery {
	q := c.policyQueries
	c.policyQueries = nil
	return q
}

const (
	// ticketReserve is the minimum validity that has to be left when a ticket is used.
	ticketReserve = 300 * time.Millisecond
	// policyPause is the pause after a failed query to the policy service or rejected tickets. It doubles with each further failure of
	// the step up to maxPolicyPause.
	policyPause    = 50 * time.Millisecond
	maxPolicyPause = 2 * time.Second
)

// HandlePolicyReply processes the reply of the policy service to a query. sent is the time at which the query was sent.
func (c *Core) HandlePolicyReply(q PolicyQuery, grant advice.Grant, sent time.Duration, err error) {
	validUntil := sent + grant.Valid - ticketReserve
	if err == nil && validUntil <= c.now {
		err = errExpiredTickets
	}
	if err != nil {
		c.logger.Warn("Query to the policy service failed.", "job", q.Job, "step", q.Step, "took", c.now-sent, "failures", q.step.policyFailures+1, "error", err)
		c.dropTickets(q.step)
		return
	}
	if len(grant.Tickets) == 0 && q.more {
		q.step.tickets, q.step.policyOffset, q.step.nextPolicyQuery = nil, q.step.policyOffset+len(q.Workers), c.now+policyPause
		return
	}
	if len(grant.Tickets) == 0 {
		q.step.policyOffset = 0
	}
	q.step.tickets = &tickets{byWorker: grant.Tickets, validUntil: validUntil}
	c.logger.Info("Policy service has granted tickets.", "job", q.Job, "step", q.Step, "asked", len(q.Workers), "granted", len(grant.Tickets), "malformed", grant.Malformed, "valid", grant.Valid)
}

var errExpiredTickets = errors.New("the tickets expire too soon to be used")

// dropTickets discards the tickets of a step, or its query, after a failure. The next query follows after a pause.
func (c *Core) dropTickets(s *step) {
	s.tickets = nil
	s.policyFailures++
	s.nextPolicyQuery = c.now + backoff.Doubled(s.policyFailures, policyPause, maxPolicyPause)
}
