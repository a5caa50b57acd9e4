package dispatch

import (
	"errors"
	"time"

	"github.com/chivetiller/chivetiller/allotment"
	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/queue"
	"github.com/chivetiller/chivetiller/team"
)

// Scheduler queues the requests of one pool.
type Scheduler interface {
	Configure(classes []class.Class, teams []team.Team)
	SetCapacity(now time.Time, slots int)
	Offer(now time.Time, r queue.Request) error
	Next(now time.Time, mayRun func(team string) bool) (queue.Request, bool)
	Finished(now time.Time, r queue.Request, service time.Duration)
	Aborted(now time.Time, r queue.Request, service time.Duration)
	Cancel(id string) bool
	Expire(now time.Time) []queue.Request
	Queued() (requests, bytes int)
	Usage(list []queue.Usage) []queue.Usage
	ObservePeerUsage(peer string, usage []queue.Usage)
	RemovePeer(peer string)
}

var _ Scheduler = (*queue.Scheduler)(nil)

// Endpoints chooses among the endpoints of one pool and tracks their slots and health.
type Endpoints interface {
	Update(now time.Time, endpoints []endpoint.Endpoint)
	FreeSlots(now time.Time) int
	Acquire(now time.Time, exclude ...string) (endpoint.Endpoint, bool)
	Release(now time.Time, id string, outcome endpoint.Outcome)
}

var _ Endpoints = (*endpoint.Set)(nil)

// Permits counts running requests against the upper limits of teams.
type Permits interface {
	Acquire(team string) (Permit, error)
}

// Permit allows one request of a team to run.
type Permit interface {
	// Check fails if the permit has expired.
	Check() error
	Release()
}

// rejectionProblem converts an error of the scheduler to a problem.
func rejectionProblem(err error) *problem.Problem {
	var r *queue.Rejection
	if !errors.As(err, &r) {
		return problem.NotRun(problem.Internal, "request could not be queued")
	}
	kind := problem.Late
	switch r.Reason {
	case queue.ReasonUnknownClass:
		kind = problem.UnknownClass
	case queue.ReasonDuplicate:
		kind = problem.Internal
	case queue.ReasonOverShare:
		kind = problem.OverShare
	case queue.ReasonQueueFull:
		kind = problem.QueueFull
	case queue.ReasonNoCapacity:
		kind = problem.NoEndpoint
	}
	p := problem.NotRun(kind, string(r.Reason))
	if r.RetryAfter > 0 {
		p = p.RetryAfter(r.RetryAfter)
	}
	return p
}

// permitProblem converts an error of Permits or of a Permit to a problem.
func permitProblem(err error) *problem.Problem {
	if errors.Is(err, allotment.ErrExpired) {
		return problem.NotRun(problem.LimitsUnchecked, err.Error()).RetryAfter(time.Second)
	}
	return problem.NotRun(problem.UpperLimit, err.Error()).RetryAfter(time.Second)
}
