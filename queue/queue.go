// Package queue queues the requests for one pool at one entry instance. It decides which requests are
// admitted and in which order they are dispatched.
//
// The scheduler is a hierarchical start-time fair queue: it shares the slots by weighted max-min fairness,
// first among the classes and then among the teams of a class. What is shared is slot time, the time for
// which a request occupies a slot, so a team with slow requests does not get more than its share. The
// scheduler is work-conserving: a share that is not used goes to the other classes and teams, and is
// reclaimed at the next free slot. The requests of a team in a class are dispatched by deadline.
//
// A request that cannot finish before its deadline is rejected when it is offered, or dropped from
// the queue before it is dispatched. In both cases it has not run.
//
// # Usage
//
//	s := queue.NewScheduler(queue.Options{MaxRequests: 10_000, MaxBytes: 64 << 20})
//	s.Configure(classes, teams)
//	s.SetCapacity(now, endpoints.Capacity(now))
//	if err := s.Offer(now, request); err != nil {
//		var rejection *queue.Rejection
//		if errors.As(err, &rejection) { ... } // not run; retry after rejection.RetryAfter
//	}
//	for {
//		r, ok := s.Next(now, mayRun)
//		if !ok {
//			break
//		}
//		... // dispatch r; then s.Finished(now, r, service) or s.Aborted(now, r, service)
//	}
//	for _, r := range s.Expire(now) { ... } // rejected as not run
//
// A Scheduler is not safe for concurrent use. The goroutine that owns it calls Next after each Offer,
// Finished, Aborted and SetCapacity, and Expire every few milliseconds.
package queue

import (
	"fmt"
	"time"
)

// Options are the limits of a scheduler. A zero field takes its default.
type Options struct {
	// MaxRequests bounds the number of queued requests. The default is 10,000.
	MaxRequests int
	// MaxBytes bounds the bytes of queued requests. The default is 64 MiB.
	MaxBytes int
	// DefaultServiceTime is the service time that is assumed for a class without finished requests. The
	// default is 5 ms.
	DefaultServiceTime time.Duration
}

const (
	defaultMaxRequests = 10_000
	defaultMaxBytes    = 64 << 20
	defaultService     = 5 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.MaxRequests <= 0 {
		o.MaxRequests = defaultMaxRequests
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = defaultMaxBytes
	}
	if o.DefaultServiceTime <= 0 {
		o.DefaultServiceTime = defaultService
	}
	return o
}

// Request is a request that occupies one slot while it runs.
type Request struct {
	// ID is unique among the queued and running requests of a scheduler.
	ID string
	// Team is empty for a request without a key.
	Class, Team       string
	Arrival, Deadline time.Time
	// Bytes is the memory that the request holds while it is queued.
	Bytes int
}

// Reason says why a request was not admitted.
type Reason string

// Reasons of a rejection.
const (
	// ReasonUnknownClass means that the class is not configured in this pool.
	ReasonUnknownClass Reason = "unknown class"
	// ReasonDuplicate means that a request with the same ID is queued or running.
	ReasonDuplicate Reason = "duplicate request ID"
	// ReasonDeadline means that the request cannot finish before its deadline.
	ReasonDeadline Reason = "cannot finish before its deadline"
	// ReasonOverShare means that the pool is at full capacity and the team already uses its share.
	ReasonOverShare Reason = "team is over its share"
	// ReasonQueueFull means that the bound on queued requests or bytes is reached.
	ReasonQueueFull Reason = "queue is full"
	// ReasonNoCapacity means that the entry instance has no slots at the moment.
	ReasonNoCapacity Reason = "no capacity"
)

// Rejection is the error of a request that was not admitted. The request has not run.
type Rejection struct {
	Reason Reason
	// RetryAfter is the time after which a retry can succeed. It is 0 if a retry cannot succeed.
	RetryAfter time.Duration
}

var _ error = (*Rejection)(nil)

// Error returns the reason and the time after which a retry can succeed.
func (r *Rejection) Error() string {
	if r.RetryAfter == 0 {
		return string(r.Reason)
	}
	return fmt.Sprintf("%s; retry after %v", r.Reason, r.RetryAfter)
}
