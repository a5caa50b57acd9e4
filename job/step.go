package job

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/chivetiller/chivetiller/provider"
)

// maxAttempts is the number of runs after which a job that fails is not tried again, even if MaxFailures is not reached
// because some of the workers on which it failed are quarantined. It is also the number of runs that may be stopped without an order.
const maxAttempts = 20

const (
	// maxLostWorkers is the number of different workers that the platform may have lost soon after a job has started on them. Three in a row
	// are hardly chance, so the job is given up before it takes down more.
	maxLostWorkers = 3
	// lossWindow is the time after its start in which the loss of the worker or a stop counts against a job. A long job meets some by
	// chance.
	lossWindow = 10 * time.Minute
)

func runID(id string, attempt int) string { return id + "/" + strconv.Itoa(attempt) }

// Start returns the row of a job that starts a new run on the worker.
func (j Job) Start(now time.Time, worker string) Job {
	next := j
	next.State, next.Reason = StateRunning, ""
	next.Attempt++
	next.Worker = worker
	next.Throttled = false
	next.Started = now
	return next
}

// Requeue returns the row of a job whose run ended early. The next run continues from the checkpoint, or from the
// previous one if the checkpoint is empty.
func (j Job) Requeue(checkpoint, reason string) Job {
	next := j
	next.State, next.Reason = StateQueued, reason
	next.Worker, next.Throttled = "", false
	if checkpoint != "" {
		next.Checkpoint = checkpoint
	}
	return next
}

// LoseContact returns the row of a job whose worker does not report the run any more, though the platform lists it. The worker may be cut
// off, which says nothing of the job, so that this counts as a stop.
func (j Job) LoseContact(now time.Time, reason string) Job {
	next := j.requeueStopped(now, "", reason)
	next.SilentOn = nil
	if now.Sub(j.Started) <= lossWindow {
		next.SilentOn = append(slices.Clone(j.SilentOn), j.Worker)
	}
	return next
}

// LoseWorker returns the row of a job whose worker is gone. The job may be the cause, so it is not started again without end.
func (j Job) LoseWorker(now time.Time, reason string) Job {
	next := j.Requeue("", reason)
	if now.Sub(j.Started) > lossWindow {
		next.LostOn = nil
		return next
	}
	next.LostOn = append(slices.Clone(j.LostOn), j.Worker)
	different := slices.Compact(slices.Sorted(slices.Values(next.LostOn)))
	if len(different) >= maxLostWorkers || len(next.LostOn) >= maxAttempts {
		return next.End(now, StateFailed, fmt.Sprintf("given up after %d runs on workers that were lost soon after, %v: %s", len(next.LostOn), different, reason))
	}
	return next
}

// End returns the row of a job that ends in a final state.
func (j Job) End(now time.Time, state State, reason string) Job {
	next := j
	next.State, next.Reason, next.Worker, next.Ended = state, reason, "", now
	return next
}

// ApplyStatus returns the row of a job after a report of its present run, and whether the row changed. Quarantined means
// that the worker fails many kinds of job, in which case a failure does not count against the job.
func (j Job) ApplyStatus(now time.Time, status provider.TaskStatus, quarantined bool) (Job, bool) {
	if status.ID != j.RunID() || status.State == provider.TaskRunning {
		return j, false
	}
	if j.State == StateCancelling {
		return j.End(now, StateCancelled, "cancelled while running"), true
	}
	if j.State != StateRunning {
		return j, false
	}
	switch status.State {
	case provider.TaskDone:
		return j.End(now, StateDone, ""), true
	case provider.TaskFailed:
		next := j.Requeue(status.Checkpoint, fmt.Sprintf("failed on %s: %s", status.Worker, status.Detail))
		if !quarantined {
			next.FailedOn = append(append([]string(nil), j.FailedOn...), status.Worker)
		}
		if len(next.FailedOn) >= j.maxFailures() || j.Attempt >= maxAttempts {
			return next.End(now, StateFailed, fmt.Sprintf("given up after %d runs on %v: %s", j.Attempt, next.FailedOn, status.Detail)), true
		}
		return next, true
	}
	return j.requeueStopped(now, status.Checkpoint, "run stopped: "+status.Detail), true
}

// requeueStopped returns the row of a job whose run was stopped without an order. Leases also expire when the process that renews them
// fails, so the job is given up only after many such runs.
func (j Job) requeueStopped(now time.Time, checkpoint, reason string) Job {
	next := j.Requeue(checkpoint, reason)
	if now.Sub(j.Started) > lossWindow {
		next.Stops = 0
		return next
	}
	next.Stops++
	if next.Stops >= maxAttempts {
		return next.End(now, StateFailed, fmt.Sprintf("given up after %d runs that were stopped soon after their start: %s", next.Stops, reason))
	}
	return next
}
