// Package admission decides whether a job is accepted. It refuses a job that can never run, and one that cannot be done before it has lost
// its value.
//
// The leader makes a short report of each queue, and every process decides by the latest one. Without a fresh report each job is
// admitted. A report errs towards admission: it counts all processors that the pool can get, and only the jobs that are certain
// to be served before the new one.
//
// # Usage
//
//	load := admission.NewLoad(now)                           // the leader, in each pass
//	load.Add(tier, beyond, priority, coreSeconds)            // each batch job that waits in a pool
//	report := load.Report(now, priority, rooms.Of(pool, services), teams)
//
//	decision := admission.Decide(report, age, queue, &job)   // any process
//	if !decision.Admitted() { ... decision.RetryAfter() }
//
// # States
//
// A job is [Admitted], [NeverFits] or [Overloaded].
package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/jobs/gang"
	"github.com/chivetiller/chivetiller/internal/jobs/order"
	"github.com/chivetiller/chivetiller/work"
)

const (
	// MaxAge is the age from which on a report does not count.
	MaxAge = time.Second
	// queueShare is the part of the estimated time in the queue that counts. Declared run times are off by up to nine tenths.
	queueShare = 0.5
	// maxQueued bounds the estimate for a pool with hardly any processors.
	maxQueued = time.Hour
	// neverFitsRetry is the time after which a job that fits nowhere may be sent again. It fits only once the fleet has changed.
	neverFitsRetry = time.Minute
	// minRetry and maxRetry bound the time after which a job may be sent again. The client is given whole seconds.
	minRetry = time.Second
	maxRetry = 30 * time.Second
)

// Outcome is the result of a decision.
type Outcome int

// Outcomes.
const (
	Admitted Outcome = iota
	// NeverFits means that a task, or a gang, is larger than what the pool can get.
	NeverFits
	// Overloaded means that the job cannot be done before it has lost its value.
	Overloaded
)

// String returns the name of the outcome as it appears in logs.
func (o Outcome) String() string { return [...]string{"admitted", "neverFits", "overloaded"}[o] }

// Decision is a decision with its inputs.
type Decision struct {
	outcome    Outcome
	retryAfter time.Duration
	// queued is the expected time in the queue, and left the time until the job has lost its value.
	queued, left time.Duration
}

// Outcome returns the result.
func (d Decision) Outcome() Outcome { return d.outcome }

// RetryAfter returns the time, in whole seconds, after which a refused job may be sent again.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Queued returns the expected time in the queue.
func (d Decision) Queued() time.Duration { return d.queued }

// Left returns the time until the job has lost its value.
func (d Decision) Left() time.Duration { return d.left }

// Decide decides about a job that has arrived. age is the time since the report was made.
func Decide(r Report, age time.Duration, q *catalog.Queue, job *work.Job) Decision {
	if age > MaxAge {
		return Decision{}
	}
	if !r.fits(job) {
		return Decision{outcome: NeverFits, retryAfter: spread(job.ID, neverFitsRetry)}
	}
	// The latency of a scheduled job counts from its due times, a service has no target, and best-effort tasks wait for no processors.
	if job.ScheduledOccurrences > 0 || job.ServiceTasks() > 0 || job.BestEffort() || r.Cores <= 0 {
		return Decision{}
	}
	path := job.CriticalPath()
	target := time.Duration(q.Stretch*float64(path)) + q.BaseTarget
	d := Decision{
		queued: time.Duration(min(maxQueued.Seconds(), queueShare*r.before(job)/r.Cores) * float64(time.Second)),
		left:   order.LateFactor*target - path,
	}
	if d.left > 0 && d.queued > d.left {
		d.outcome = Overloaded
		// Room is expected once so much of the queue is done that the job is in time. What arrives meanwhile is not known.
		d.retryAfter = spread(job.ID, min(max(d.queued-d.left, minRetry), maxRetry))
	}
	return d
}

// spread returns a time between once and twice as long that depends on the job, in whole seconds, so that refused clients do not return
// together.
func spread(id string, after time.Duration) time.Duration {
	share := float64(xxhash.Sum64String(id)>>11) / (1 << 53)
	seconds := (after + time.Duration(share*float64(after)) + time.Second/2).Truncate(time.Second)
	return max(minRetry, seconds)
}

// fits reports whether each task of a job fits on an instance of its pool, and each gang on all of them. Labels are not regarded.
func (r Report) fits(job *work.Job) bool {
	if len(r.Shapes) == 0 {
		return true
	}
	for i := range job.Steps {
		s := &job.Steps[i]
		shape := gang.Shape{Request: s.ReservedResources(), Count: s.Count, MaxPerWorker: s.MaxPerWorker}
		fitting := 0
		for _, instances := range r.Shapes {
			n := shape.TasksOn(instances.Capacity)
			if n > 0 && !s.Gang {
				fitting = s.Count
				break
			}
			fitting += n * instances.Count
		}
		if fitting < s.Count {
			return false
		}
	}
	return true
}
