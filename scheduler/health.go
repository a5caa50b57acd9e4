package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/internal/workers/throttling"
)

// recordWork records that a service is at work on its worker. A worker that runs nothing else has no other success.
func (c *Core) recordWork(r *run) {
	if !r.worked && r.step.doc.Service && r.speedPercent >= throttling.FullSpeed && c.now-r.confirmedAt >= workProof {
		r.worked = true
		r.worker.health.RecordSuccess()
	}
}

// workProof is how long a service has run when its worker counts as in order. Failing workers fail most tasks sooner.
const workProof = 2 * time.Second

func (c *Core) recordSuccess(r *run) {
	r.worker.health.RecordSuccess()
	c.recordOvertaken(r)
	if !r.step.doc.Service && r.confirmedAt > 0 {
		c.learnFrom(r)
	}
}

func (c *Core) recordFailure(r *run) {
	ws := r.worker
	if r.step.failures(r.index) > 0 {
		// The task has failed on another worker before, so the job is more likely at fault.
		return
	}
	if ws.health.RecordFailure(c.now, r.step.job.doc.ID) {
		c.logger.Warn("Worker is quarantined.", "worker", ws.report.ID, "failing", ws.health.FailureRate(), "streak", ws.health.FailureStreak(), "until", ws.health.QuarantinedUntil()-c.now)
	}
}

func (s *step) failures(index int) int { return len(s.progress.Failures[s.unitIndex(index)]) }
