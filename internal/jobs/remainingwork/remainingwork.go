// Package remainingwork computes what is left to do of a job.
//
// # Usage
//
//	var w remainingwork.Work
//	if !w.Valid(now) {
//		w.Set(steps, now+time.Second)
//	}
//	path, coreSeconds := w.Left()
//	w.Invalidate() // a task is done
package remainingwork

import (
	"math"
	"time"
)

// Step is what is left of a step.
type Step struct {
	// DependsOn lists the indexes of earlier steps that have to be done first.
	DependsOn []int
	TasksLeft int
	// CPU is what a task requests, in thousandths of a core.
	CPU int64
	// Typical is the time that a task usually takes. That of a step that is done counts for the whole path only.
	Typical time.Duration
}

// Work is the remaining work of an occurrence of a job. The zero value is not valid.
type Work struct {
	criticalPath time.Duration
	wholePath    time.Duration
	coreSeconds  float64
	until        time.Duration
}

// Valid reports whether the work need not be computed again.
func (w *Work) Valid(now time.Duration) bool { return now < w.until }

// Invalidate makes the work be computed again.
func (w *Work) Invalidate() { w.until = 0 }

// Held returns the work as it is, valid from now on.
func (w Work) Held() Work {
	w.until = math.MaxInt64
	return w
}

// Left returns the critical path and the work in core-seconds.
func (w *Work) Left() (criticalPath time.Duration, coreSeconds float64) {
	return w.criticalPath, w.coreSeconds
}

// WholePath returns the critical path of all steps, also of those that are done.
func (w *Work) WholePath() time.Duration { return w.wholePath }

// Set computes the work, which is valid until a time.
func (w *Work) Set(steps []Step, until time.Duration) {
	*w = Work{until: until}
	var buffer, wholeBuffer [16]time.Duration
	ends, wholeEnds := buffer[:0], wholeBuffer[:0]
	for _, s := range steps {
		var end, wholeEnd time.Duration
		for _, after := range s.DependsOn {
			end, wholeEnd = max(end, ends[after]), max(wholeEnd, wholeEnds[after])
		}
		wholeEnd += s.Typical
		if s.TasksLeft > 0 {
			end += s.Typical
			w.coreSeconds += float64(s.TasksLeft) * float64(s.CPU) / 1000 * s.Typical.Seconds()
		}
		ends, wholeEnds = append(ends, end), append(wholeEnds, wholeEnd)
		w.criticalPath, w.wholePath = max(w.criticalPath, end), max(w.wholePath, wholeEnd)
	}
}
