package scheduler

import (
	"errors"
	"time"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/common/backoff"
)

// PolicyQuery queries the policy service for the workers that may run a step.
type PolicyQuery struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string
	step       *step
}

// ticketsGranted reports whether the tickets of a step can be used. If not, it queries the policy service for new ones.
func (c *Core) ticketsGranted(s *step) bool {
	if s.tickets.Valid(c.now) {
		return true
	}
	c.queryPolicy(s, false)
	return false
}

// queryPolicy queries the policy service about workers of which nothing is known, if the queue has a policy. With onlyRoom these have room for
// a task of the step.
func (c *Core) queryPolicy(s *step, onlyRoom bool) {
	if c.queueOf(s.job).Policy == nil || s.policyPending || c.now < s.nextPolicyQuery {
		return
	}
	ids := s.tickets.Unasked(c.policyWorkers(s, onlyRoom), c.now)
	if len(ids) == 0 {
		return
	}
	ids = ids[:min(len(ids), advice.MaxWorkers)]
	s.policyPending = true
	c.policyQueries = append(c.policyQueries, PolicyQuery{Job: s.job.doc.ID, Occurrence: s.occurrence.number, Step: s.number, Workers: ids, step: s})
}

// policyWorkers returns the workers about which queries for a step are made, those with room first. A service may start on those that are
// avoided, too.
func (c *Core) policyWorkers(s *step, onlyRoom bool) []string {
	var ids, avoided, full []string
	charge := s.doc.ReservedResources()
	for _, ws := range c.pool(s.job.doc.Pool).workers {
		switch {
		case !c.mayStartOn(ws) || !ws.report.HasLabel(s.doc.RequiredLabel):
		case !charge.Fits(ws.freeCapacity()):
			full = append(full, ws.report.ID)
		case c.acceptsTasks(ws):
			ids = append(ids, ws.report.ID)
		case s.doc.Service:
			avoided = append(avoided, ws.report.ID)
		}
	}
	ids = append(ids, avoided...)
	if onlyRoom {
		return ids
	}
	return append(ids, full...)
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
	// policyPause is the pause after a query that granted nothing, after one that failed or after rejected tickets. It doubles with each
	// further failure of the step up to maxPolicyPause.
	policyPause    = 50 * time.Millisecond
	maxPolicyPause = 2 * time.Second
)

// HandlePolicyReply processes the reply of the policy service to a query. sent is the time at which the query was sent.
func (c *Core) HandlePolicyReply(q PolicyQuery, grant advice.Grant, sent time.Duration, err error) {
	s := q.step
	s.policyPending = false
	validUntil := sent + grant.Valid - ticketReserve
	if err == nil && validUntil <= c.now {
		err = errExpiredTickets
	}
	if err != nil {
		c.logger.Warn("Query to the policy service failed.", "job", q.Job, "step", q.Step, "took", c.now-sent, "failures", s.policyFailures+1, "error", err)
		c.pausePolicyQueries(s)
		return
	}
	deniedUntil := validUntil
	if grant.Malformed > 0 {
		// Some of those without a ticket may have one in a row that cannot be read.
		deniedUntil = min(validUntil, c.now+maxPolicyPause)
	}
	s.tickets.Record(q.Workers, grant.Tickets, validUntil, deniedUntil)
	s.nextPolicyQuery = c.now + policyPause
	c.pool(s.job.doc.Pool).needsPlanning = true
	c.logger.Info("Policy service has granted tickets.", "job", q.Job, "step", q.Step, "asked", len(q.Workers), "granted", len(grant.Tickets), "malformed", grant.Malformed, "valid", grant.Valid)
}

var errExpiredTickets = errors.New("the tickets expire too soon to be used")

// rejectTicket discards a ticket that a worker has rejected. The next query follows after a pause. Other starts with tickets of the same grant
// may be rejected as well, and are one failure together with this one.
func (c *Core) rejectTicket(s *step, ws *workerState) {
	s.tickets.Forget(ws.report.ID)
	if c.now >= s.nextPolicyQuery {
		c.pausePolicyQueries(s)
	}
}

// pausePolicyQueries delays the next query for a step after a failure.
func (c *Core) pausePolicyQueries(s *step) {
	s.policyFailures++
	s.nextPolicyQuery = c.now + backoff.Doubled(s.policyFailures, policyPause, maxPolicyPause)
}

// forgetTickets forgets the tickets for an earlier life of a worker.
func (c *Core) forgetTickets(ws *workerState) {
	for _, j := range c.pool(ws.report.Pool).jobs {
		for _, o := range j.open {
			for _, s := range o.steps {
				s.tickets.Forget(ws.report.ID)
			}
		}
	}
}
