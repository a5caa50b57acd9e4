package job

import (
	"fmt"
	"strconv"
	"time"

	"github.com/chivetiller/chivetiller/provider"
)

// maxAttempts bounds the runs of a job that fails on ever new workers, some of them quarantined.
const maxAttempts = 20

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

// Requeue returns the row of a job whose run has ended early and that continues from the checkpoint.
func (j Job) Requeue(checkpoint, reason string) Job {
	next := j
	next.State, next.Reason = StateQueued, reason
	next.Worker, next.Throttled = "", false
	if checkpoint != "" {
		next.Checkpoint = checkpoint
	}
	return next
}

// End returns the row of a job in a final state.
func (j Job) End(now time.Time, state State, reason string) Job {
	next := j
	next.State, next.Reason, next.Worker, next.Ended = state, reason, "", now
	return next
}

// ApplyStatus returns the row after a report of the job's present run, and whether it changed. Quarantined says
// that the worker fails many kinds, in which case the failure is not the job's.
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
	return j.Requeue(status.Checkpoint, "run stopped: "+status.Detail), true
}
