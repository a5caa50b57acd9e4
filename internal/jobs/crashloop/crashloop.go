// Package crashloop finds the tasks that crash the workers that start them. A worker that crashes does not say why, so that the tasks
// that it had just started are suspects. A suspect is started again, but not on a worker that has just started another one, so that the
// next crash tells them apart.
//
// A worker that is silent may have crashed or be cut off. Its tasks are suspects as well, but no job fails for silence alone: what is
// final rests on crashes that are known, from another life of the worker or another instance at its address.
//
// # Usage
//
//	for _, i := range crashloop.Suspects(starts) {
//		counts[i].All++
//		if starts[i].Confirmed {
//			counts[i].Confirmed++
//		}
//		if counts[i].GiveUp() {
//			// Mark the job as failed.
//		}
//	}
package crashloop

import "time"

const (
	// maxCrashes is the number of workers that may crash under a task. The first crash leaves many suspects and the second one very
	// few. The third one excludes a coincidence.
	maxCrashes = 3
	// minConfirmed is the number of crashes with a confirmed start without which a task is not given up. A start without an answer may
	// never have reached its worker.
	minConfirmed = 2
	// maxAny is the number of crashes after which a task is given up whatever is known of its starts. A worker may not have got an
	// unconfirmed start, and a crash long after a start is rarely the fault of a task.
	maxAny = 5
	// likelyCrashes is the number of crashes after which few of the suspects are left.
	likelyCrashes = 2
	// provenAfter is how long a worker has to live after it has confirmed a start for the start not to be the cause of a crash.
	provenAfter = 100 * time.Millisecond
	// lateCrash is how long a worker may have lived after a start if no start can be the cause of a crash.
	lateCrash = 5 * time.Second
	// silencePause is how long a task that may have crashed maxCrashes workers waits for news of those that are silent. A worker that has
	// crashed is back within seconds, or is lost for good.
	silencePause = 10 * time.Second
	// testsBeforeGroups is the number of suspects for each worker from which on they are started in groups. A worker tests about six
	// suspects a second one by one.
	testsBeforeGroups = 3
	// maxGroup is the maximum size of a group.
	maxGroup = 4
	// sameBatch is the time within which starts are sent together.
	sameBatch = 20 * time.Millisecond
)

// Start is a start of a task on a worker.
type Start struct {
	// Sent is the monotonic time of the start command.
	Sent time.Duration
	// Confirmed means that the worker has confirmed the start.
	Confirmed bool
	// Survived is how long the worker is known to have lived after it confirmed the start, on its own clock.
	Survived time.Duration
}

// Proven reports whether the worker has survived a start.
func (s Start) Proven() bool { return s.Confirmed && s.Survived >= provenAfter }

// Exonerated reports whether a worker has run a task for so long that earlier crashes were not its fault.
func (s Start) Exonerated() bool { return s.Confirmed && s.Survived >= lateCrash }

// Suspects returns the indexes of the starts that may have made a worker crash, in order.
func Suspects(starts []Start) []int {
	// A worker that crashed under its first start without an answer did not get those that were sent later.
	unanswered := time.Duration(-1)
	for _, s := range starts {
		if !s.Confirmed && (unanswered < 0 || s.Sent < unanswered) {
			unanswered = s.Sent
		}
	}
	var suspects, late []int
	for i, s := range starts {
		switch {
		case s.Confirmed && !s.Proven(), !s.Confirmed && s.Sent-unanswered <= sameBatch:
			suspects = append(suspects, i)
		case s.Confirmed && s.Survived < lateCrash:
			late = append(late, i)
		}
	}
	if len(suspects) == 0 {
		return late
	}
	return suspects
}

// MayProve reports whether a report that is requested that long after a confirmation proves the start.
func MayProve(sinceConfirmed time.Duration) bool { return sinceConfirmed >= provenAfter }

// GroupSize returns how many suspects a worker may start at a time. Many suspects are started in groups, because most of them would
// wait too long for a worker that tests no other.
func GroupSize(suspects, workers int) int {
	return max(1, min(suspects/max(1, workers*testsBeforeGroups), maxGroup))
}

// Count is the number of workers that have crashed under a task, or may have.
type Count struct {
	// All is the number of workers that were not known to have survived the start of the task, and Confirmed that of those among them
	// that had confirmed it.
	All, Confirmed int
	// Late is the number of workers that had survived the start.
	Late int
	// Silent is the number of workers that were not known to have survived the start either, and of which nothing is known since.
	Silent int
}

// Suspect reports whether the task may have made a worker crash.
func (c Count) Suspect() bool { return c.All+c.Silent > 0 }

// Likely reports whether the task is more likely the cause of the crashes than a coincidence.
func (c Count) Likely() bool { return c.All+c.Silent >= likelyCrashes }

// SilencePause returns how long a task waits after a worker was found to be silent, unless it is heard of before. It is 0 if the next start
// cannot be one too many.
func (c Count) SilencePause() time.Duration {
	if c.Silent == 0 || c.All+c.Silent < maxCrashes {
		return 0
	}
	return silencePause
}

// GiveUp reports whether the task is not started again. Workers that are only silent do not count.
func (c Count) GiveUp() bool {
	return c.All >= maxCrashes && c.Confirmed >= minConfirmed || c.All+c.Late >= maxAny
}

// GiveUpUnseen is GiveUp for a last crash that a new leader has found out about, which does not know for how long the task had run.
func (c Count) GiveUpUnseen() bool {
	return c.All > maxCrashes && c.Confirmed >= minConfirmed || c.All+c.Late >= maxAny
}
