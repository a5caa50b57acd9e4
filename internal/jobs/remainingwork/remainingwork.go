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

import "time"

// Step is what is left of a step.
type Step struct {
	// DependsOn lists the indexes of earlier steps that have to be done first.
	DependsOn []int
	TasksLeft int
	// CPU is what a task requests, in thousandths of a core.
	CPU int64
	// Typical is the time that a task usually takes, and Mean the mean.
	Typical, Mean time.Duration
}

// Work is the remaining work of an occurrence of a job. The zero value is not valid.
type Work struct {
	criticalPath time.Duration
	coreSeconds  float64
	until        time.Duration
}

// Valid reports whether the work need not be computed again.
func (w *Work) Valid(now time.Duration) bool { return now < w.until }

// Invalidate makes the work be computed again.
func (w *Work) Invalidate() { w.until = 0 }

// Left returns the critical path and the work in core-seconds.
func (w *Work) Left() (criticalPath time.Duration, coreSeconds float64) {
	return w.criticalPath, w.coreSeconds
}

// Set computes the work, which is valid until a time.
func (w *Work) Set(steps []Step, until time.Duration) {
	*w = Work{until: until}
	var buffer [16]time.Duration
	ends := buffer[:0]
	for _, s := range steps {
		var end time.Duration
		for _, after := range s.DependsOn {
			end = max(end, ends[after])
		}
		if s.TasksLeft > 0 {
			end += s.Typical
			w.coreSeconds += float64(s.TasksLeft) * float64(s.CPU) / 1000 * s.Mean.Seconds()
		}
		ends = append(ends, end)
		w.criticalPath = max(w.criticalPath, end)
	}
}
