package intake

import (
	"sync"
	"time"
)

const (
	// uncertainTime is how long after an attempt without an outcome a job may still be stored. Calls of the store end within storeTimeout,
	// and a relay or a slow store may carry them out later.
	uncertainTime = 30 * time.Second
	// maxAttempts is the maximum number of attempts that are remembered. With more, nothing is certain for a while.
	maxAttempts = 1 << 16
)

// attempts holds the submissions that this process has under way, and those whose outcome is not known, so that none of them is refused
// and then stored. It is safe for concurrent use.
type attempts struct {
	mu   sync.Mutex
	jobs map[string]attempt
	// uncertainUntil is the time until which nothing is certain.
	uncertainUntil time.Duration
}

type attempt struct {
	underWay int
	// uncertainUntil is the time until which the job may be stored by an attempt that has ended.
	uncertainUntil time.Duration
}

// begin records a submission.
func (a *attempts) begin(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.jobs == nil {
		a.jobs = make(map[string]attempt)
	}
	j := a.jobs[id]
	j.underWay++
	a.jobs[id] = j
}

// end records the end of a submission. unknown means that the job may still be stored.
func (a *attempts) end(id string, unknown bool, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.jobs[id]
	j.underWay--
	if unknown {
		j.uncertainUntil = now + uncertainTime
	}
	a.jobs[id] = j
	if j.underWay == 0 && j.uncertainUntil <= now {
		delete(a.jobs, id)
	}
	if len(a.jobs) <= maxAttempts {
		return
	}
	for id, j := range a.jobs {
		if j.underWay == 0 {
			a.uncertainUntil = max(a.uncertainUntil, j.uncertainUntil)
			delete(a.jobs, id)
		}
	}
}

// alone reports whether a submission that has begun is the only one of this process that may store its job.
func (a *attempts) alone(id string, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.jobs[id]
	return j.underWay <= 1 && j.uncertainUntil <= now && a.uncertainUntil <= now
}
