package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// fullPace lets a filler use all that is left over.
	fullPercent = 100
	// unknownPace means that the pace at the worker is not known.
	unknownPercent = -1
	// paceRestore is the part of the target below which fillers are sped up again.
	speedUpBelow = 0.6
	// paceStep is by how many percent.
	speedUpStep = 25
	// paceInterval is the least time between two steps, so that the load of the last one is known.
	speedUpInterval = 1500 * time.Millisecond
)

// watchServices slows the fillers of a worker down while a service task beside them is over its target.
func (c *Core) adjustBestEffort(ws *workerState) {
	over, near := false, false
	fillers := 0
	for _, r := range ws.runs {
		switch {
		case r.step.doc.Filler:
			fillers++
		case r.step.doc.TailTarget > 0:
			tail := time.Duration(r.load) * time.Millisecond
			over = over || tail > r.step.doc.TailTarget
			near = near || float64(tail) > speedUpBelow*float64(r.step.doc.TailTarget)
		}
	}
	if fillers == 0 {
		return
	}
	for _, r := range ws.runs {
		if !r.step.doc.Filler || r.phase != running {
			continue
		}
		switch {
		case over:
			c.throttle(r, 0)
		case r.allowedPercent == unknownPercent:
			c.throttle(r, 0)
		case !near && r.allowedPercent < fullPercent && c.now-ws.throttledAt > speedUpInterval:
			c.throttle(r, min(fullPercent, r.allowedPercent+speedUpStep))
		}
	}
}

func (c *Core) throttle(r *run, percent int) {
	if r.allowedPercent == percent {
		return
	}
	r.allowedPercent = percent
	r.worker.throttledAt = c.now
	c.logger.Info("Filler is paced.", "job", r.step.job.doc.ID, "task", r.name(), "worker", r.worker.report.ID, "percent", percent)
	c.commands = append(c.commands, Command{
		Kind: CommandThrottle, Target: workerTarget(r.worker), run: r, worker: r.worker,
		Run: worker.RunOrder{Task: r.task(), Run: r.number, Fence: c.o.Fence, Percent: percent},
	})
}

// PolicyQuery asks the policy service which workers may run a step.
type PolicyQuery struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string
	step       *step
}

// granted reports whether the tickets of a step can be used, and asks for them if not.
func (c *Core) ticketsGranted(s *step) bool {
	if s.tickets != nil && (s.tickets.pending || c.now < s.tickets.validUntil) {
		return !s.tickets.pending
	}
	p := c.pool(s.job.doc.Pool)
	var ids []string
	for _, ws := range p.workers {
		if c.acceptsTasks(ws) && ws.report.HasLabel(s.doc.Label) && len(ids) < advice.MaxWorkers {
			ids = append(ids, ws.report.ID)
		}
	}
	if len(ids) == 0 {
		return false
	}
	s.tickets = &tickets{pending: true}
	c.policyQueries = append(c.policyQueries, PolicyQuery{Job: s.job.doc.ID, Occurrence: s.occurrence.number, Step: s.number, Workers: ids, step: s})
	return false
}

// Questions returns the questions to the policy service that are due.
func (c *Core) PolicyQueries() []PolicyQuery {
	q := c.policyQueries
	c.policyQueries = nil
	return q
}

// ticketReserve is the least validity that is left when a ticket is used.
const ticketReserve = 300 * time.Millisecond

// Answered takes the answer of the policy service to a question that was sent at sent.
func (c *Core) HandlePolicyReply(q PolicyQuery, grant advice.Grant, sent time.Duration, err error) {
	if err != nil {
		c.logger.Warn("Policy service did not answer.", "job", q.Job, "step", q.Step, "took", c.now-sent, "error", err)
		q.step.tickets = nil
		return
	}
	q.step.tickets = &tickets{byWorker: grant.Tickets, validUntil: sent + grant.Valid - ticketReserve}
	c.logger.Info("Policy service answered.", "job", q.Job, "step", q.Step, "asked", len(q.Workers), "granted", len(grant.Tickets), "valid", grant.Valid)
}
