package intake

import (
	"context"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/work"
)

const (
	// lookTimeout limits the read that makes sure that a job to be refused is not stored. A refusal is sent within 50 ms, and a job for
	// which the read takes longer is accepted.
	lookTimeout = 35 * time.Millisecond
	// refusalLogInterval is the minimum time between two log lines about refused jobs.
	refusalLogInterval = time.Second
)

// Reports are what the leader last said about the load.
type Reports interface {
	// LoadReport returns the latest report of a queue and the time since it was made.
	LoadReport(queue string) (r admission.Report, age time.Duration, ok bool)
}

// refusals counts the refused jobs since the log line at loggedAt.
type refusals struct {
	mu       sync.Mutex
	count    int
	loggedAt time.Duration
}

// refuse decides whether a job is refused before anything is stored. It returns OK if it is not, and otherwise the time after which the job
// may be sent again. A job that may be stored already, by an earlier attempt of the client, is not refused.
func (i *Intake) refuse(ctx context.Context, job *work.Job, a Admission) (Outcome, time.Duration) {
	if i.options.Reports == nil {
		return OK, 0
	}
	report, age, ok := i.options.Reports.LoadReport(a.Queue.Name)
	if !ok {
		return OK, 0
	}
	decision := admission.Decide(report, age, a.Queue, job)
	outcome := OK
	switch decision.Outcome() {
	case admission.Admitted:
		return OK, 0
	case admission.NeverFits:
		outcome = NeverFits
	case admission.Overloaded:
		outcome = Overloaded
	}
	// While the store has trouble, other processes may have attempts under way whose outcome they do not know.
	if i.options.Clock.Unreachable() || !i.attempts.alone(job.ID, clock.Now()) {
		return OK, 0
	}
	limited, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	found, _, err := readRows(limited, i.options.Store, job.ID)
	if err != nil || found || !i.attempts.alone(job.ID, clock.Now()) {
		return OK, 0
	}
	i.logRefusal(job, decision, age)
	return outcome, decision.RetryAfter()
}

// logRefusal logs refused jobs, at most one a second.
func (i *Intake) logRefusal(job *work.Job, d admission.Decision, age time.Duration) {
	r := &i.refusals
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if now := clock.Now(); r.loggedAt == 0 || now-r.loggedAt >= refusalLogInterval {
		i.logger.Warn("Jobs are refused.", "reason", d.Outcome().String(), "job", job.ID, "queue", job.Queue, "team", job.Team, "queued", d.Queued(), "left", d.Left(),
			"coreSeconds", job.CoreSeconds(), "retryAfter", d.RetryAfter(), "reportAge", age, "jobs", r.count)
		r.loggedAt, r.count = now, 0
	}
}
