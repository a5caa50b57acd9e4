// Package avoidance decides about workers that are sound as far as is known and are avoided all the same: they have failed runs lately, or
// are about to be maintained or moved. Other workers go first. A task of a service that has waited for long has no other, and starts
// there, so that the reasons to avoid workers do not add up to a service that does not run.
//
// # Usage
//
//	w := avoidance.Worker{QuarantinedUntil: until, FailedAt: failed}
//	if w.TakesOverdue(now, idle) {
//		// A task that has been idle for that long may start on the worker.
//	}
package avoidance

import "time"

const (
	// MaxWait is how long a task of a service waits for a worker that is not avoided. The users count a task as lost 7 s after the last
	// disruption, of which the start on a worker, and one more on another worker if that fails, take a part.
	MaxWait = 2 * time.Second
	// ProbeInterval is the time after the latest failure on a worker after which it is tried again with an overdue task.
	ProbeInterval = 2 * time.Second
	// UrgentAfter is how long a task of a service may be idle until failures on a worker do not keep it from there any more. The users count
	// the time from then on, and a run that fails counts for them.
	UrgentAfter = 6 * time.Second
)

// Worker is what is known against starting a task on a worker. All times are monotonic times of one process.
type Worker struct {
	// QuarantinedUntil is the time until which the worker is quarantined because of failures, the latest of which was at FailedAt.
	QuarantinedUntil time.Duration
	FailedAt         time.Duration
	// Leaving means that its instance may carry out a command to be maintained or moved at any time, which ends all its runs. It may become
	// empty for one before that.
	Leaving bool
}

// Overdue reports whether a task that has been idle for a time may start on workers that are avoided.
func Overdue(idle time.Duration) bool { return idle >= MaxWait }

// TakesOverdue reports whether a task that has been idle for a time may start on the worker although it is avoided.
func (w Worker) TakesOverdue(now, idle time.Duration) bool {
	if w.Leaving || !Overdue(idle) {
		return false
	}
	return idle >= UrgentAfter || now >= min(w.QuarantinedUntil, w.FailedAt+ProbeInterval)
}
