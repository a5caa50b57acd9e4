package crashloop

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/common/backoff"
)

const (
	// calmAfter is how long after a crash that no start explains the workers of a pool may still crash by themselves.
	calmAfter = 10 * time.Second
	// steadyLife is how long a worker has to have lived before a start for its crash to tell anything, if a worker at its address has
	// crashed under the task before.
	steadyLife = 2 * time.Second
	// freeRepeats is the number of crashes that tell nothing after which the task waits at their addresses.
	freeRepeats = 2
	// firstSteadyLife is how long the worker then has to live first. It doubles with each further crash up to steadyLife.
	firstSteadyLife = 500 * time.Millisecond
	// firstPause is the pause of a service after a crash. It doubles with each further one up to maxPause.
	firstPause = 500 * time.Millisecond
	maxPause   = 30 * time.Second
	// calmPause is the maximum pause once no worker has crashed without an explanation for calmPauseAfter.
	calmPause      = 4 * time.Second
	calmPauseAfter = 3 * time.Second
	// maxRest is how long after the last run of a service its pause ends at the latest. That a worker has crashed may become known only when
	// its lease has expired, and the users count a task as lost 9 s after its last run.
	maxRest = 6 * time.Second
	// maxRecent is the number of crashes that a [History] keeps.
	maxRecent = 64
)

// Surroundings tells what else is known of a crash under a task.
type Surroundings struct {
	// SinceOther is the time since the latest crash that neither this task nor a likely cause explains. It is negative if there is none.
	SinceOther time.Duration
	// Repeated means that a worker at the same address has crashed under the task before.
	Repeated bool
	// Lived is how long the worker had lived before the start.
	Lived time.Duration
}

// Calm reports whether no other worker has crashed by itself lately.
func (s Surroundings) Calm() bool { return s.SinceOther < 0 || s.SinceOther >= calmAfter }

// Known reports whether a leader has watched the workers of a pool for long enough to know whether they crash by themselves.
func Known(watched time.Duration) bool { return watched >= calmAfter }

// Telling reports whether the worker is not known to crash whatever is started there.
func (s Surroundings) Telling() bool { return !s.Repeated || s.Lived >= steadyLife }

// RequiredLife returns how long a worker has to live before the next start at an address where a worker has crashed under the task, after
// a number of crashes that told nothing. A worker that goes down and up by turns crashes without the task then.
func RequiredLife(untelling int) time.Duration {
	if untelling < freeRepeats {
		return 0
	}
	return backoff.Doubled(untelling-freeRepeats+1, firstSteadyLife, steadyLife)
}

// Pause returns the pause of a service after the latest of a number of crashes. calm is the time since a worker of
// the pool last crashed by itself, and negative if none has. The pause ends soon after such crashes have.
func Pause(crashes int, calm time.Duration) time.Duration {
	if crashes == 0 {
		return 0
	}
	pause := backoff.Doubled(crashes, firstPause, maxPause)
	if calm < 0 || calm >= calmPauseAfter {
		pause = min(pause, calmPause)
	}
	return pause
}

// Rested reports whether a service has not run for so long that no pause delays it any more.
func Rested(sinceRun time.Duration) bool { return sinceRun >= maxRest }

// History holds the latest crashes of the workers of a pool. T names a task.
type History[T comparable] struct {
	crashes []crash[T]
	// unexplained is the time of the latest crash without a likely cause, if any is set.
	unexplained time.Duration
	any         bool
}

type crash[T comparable] struct {
	at       time.Duration
	suspects []T
}

// Add records a crash at a time, with the tasks whose start the worker was not known to have survived. likely means that one of them has
// probably caused it.
func (h *History[T]) Add(at time.Duration, suspects []T, likely bool) {
	if likely {
		return
	}
	if len(suspects) == 0 {
		h.unexplained, h.any = at, true
	}
	h.crashes = slices.DeleteFunc(h.crashes, func(c crash[T]) bool { return at-c.at > calmAfter })
	if len(h.crashes) == maxRecent {
		h.crashes = slices.Delete(h.crashes, 0, 1)
	}
	h.crashes = append(h.crashes, crash[T]{at: at, suspects: suspects})
}

// SinceOther returns the time since the latest crash that neither a task nor a likely cause explains. It is negative if there is none.
func (h *History[T]) SinceOther(now time.Duration, task T) time.Duration {
	for _, c := range slices.Backward(h.crashes) {
		if !slices.Contains(c.suspects, task) {
			return now - c.at
		}
	}
	return -1
}

// SinceUnexplained returns the time since the latest crash of a worker that was known to have survived all its starts. It is negative if
// there is none.
func (h *History[T]) SinceUnexplained(now time.Duration) time.Duration {
	if !h.any {
		return -1
	}
	return now - h.unexplained
}
