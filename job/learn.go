package job

import (
	"time"
)

// minLearnedRuns is the number of finished runs of a kind after which the learned size replaces the declared one.
const minLearnedRuns = 3

// sizeMargin is the factor by which an estimate exceeds the learned size, for runs that are larger than previous ones.
const sizeMargin = 1.1

// maximumDecay is the factor by which the learned maximum decreases with each run, so that an unusually large run has
// no more effect after some tens of runs.
const maximumDecay = 0.98

// Kind is the resource usage and run time learned for a kind of job.
type Kind struct {
	Runs int `json:"runs"`
	// Cores and Memory (in bytes) are decaying maxima over the finished runs.
	Cores  float64 `json:"cores"`
	Memory float64 `json:"memory"`
	// RunTime is a moving average over the finished runs, in nanoseconds. It is for readers of the row; package runtimes learns run times.
	RunTime time.Duration `json:"runTime"`
}

// Learner learns the sizes and run times of kinds. It is not safe for concurrent use.
type Learner struct {
	kinds map[string]Kind
	peaks map[string]Size
}

// NewLearner returns a learner that starts with what was learned for the kinds. It copies the map.
func NewLearner(kinds map[string]Kind) *Learner {
	l := &Learner{kinds: make(map[string]Kind), peaks: make(map[string]Size)}
	for name, kind := range kinds {
		l.kinds[name] = kind
	}
	return l
}

// Kinds returns what is learned for each kind.
func (l *Learner) Kinds() map[string]Kind { return l.kinds }

// RecordUsage records the usage of a run at full speed.
func (l *Learner) RecordUsage(run string, used Size) {
	peak := l.peaks[run]
	l.peaks[run] = Size{Cores: max(peak.Cores, used.Cores), Memory: max(peak.Memory, used.Memory)}
}

// FinishRun ends the observation of a run. Sizes and run times are learned only from complete runs.
func (l *Learner) FinishRun(run, kind string, took time.Duration, complete bool) {
	peak, ok := l.peaks[run]
	delete(l.peaks, run)
	if !ok || !complete {
		return
	}
	k := l.kinds[kind]
	k.Runs++
	k.Cores = max(peak.Cores, k.Cores*maximumDecay)
	k.Memory = max(float64(peak.Memory), k.Memory*maximumDecay)
	if k.Runs == 1 {
		k.RunTime = took
	} else {
		k.RunTime += (took - k.RunTime) / 8
	}
	l.kinds[kind] = k
}

// Estimate returns the size to reserve for a job: the learned size of its kind, or the declared size until enough runs
// have finished. For a run that uses more than that, it returns what the run uses.
func (l *Learner) Estimate(j Job) Size {
	size := j.Declared()
	if k := l.kinds[j.Spec.Kind]; k.Runs >= minLearnedRuns {
		size.Cores, size.Memory = k.Cores*sizeMargin, int64(k.Memory*sizeMargin)
	}
	if peak, ok := l.peaks[j.RunID()]; ok && j.State == StateRunning {
		size.Cores, size.Memory = max(size.Cores, peak.Cores), max(size.Memory, peak.Memory)
	}
	return size
}
