package job

import (
	"time"
)

// learnAfter is the number of finished runs after which the learned size replaces the declared one.
const learnAfter = 3

// margin is added to the learned size for runs that are larger than those before.
const margin = 1.1

// decay lets an unusually large run be forgotten after some tens of runs.
const decay = 0.98

// Kind is what is learned of a kind of job.
type Kind struct {
	Runs int `json:"runs"`
	// Cores and Memory are decaying maxima over the finished runs.
	Cores  float64 `json:"cores"`
	Memory float64 `json:"memory"`
	// RunTime is a moving average.
	RunTime time.Duration `json:"runTime"`
}

// Learner learns the sizes and run times of kinds. It is not safe for concurrent use.
type Learner struct {
	kinds map[string]Kind
	peaks map[string]Size
}

// NewLearner returns a learner that knows the kinds.
func NewLearner(kinds map[string]Kind) *Learner {
	l := &Learner{kinds: make(map[string]Kind), peaks: make(map[string]Size)}
	for name, kind := range kinds {
		l.kinds[name] = kind
	}
	return l
}

// Kinds returns what is learned.
func (l *Learner) Kinds() map[string]Kind { return l.kinds }

// RecordUsage takes the usage of a run at full speed.
func (l *Learner) RecordUsage(run string, used Size) {
	peak := l.peaks[run]
	l.peaks[run] = Size{Cores: max(peak.Cores, used.Cores), Memory: max(peak.Memory, used.Memory)}
}

// FinishRun takes the end of a run. Only complete runs teach a run time.
func (l *Learner) FinishRun(run, kind string, took time.Duration, complete bool) {
	peak, ok := l.peaks[run]
	delete(l.peaks, run)
	if !ok || !complete {
		return
	}
	k := l.kinds[kind]
	k.Runs++
	k.Cores = max(peak.Cores, k.Cores*decay)
	k.Memory = max(float64(peak.Memory), k.Memory*decay)
	if k.Runs == 1 {
		k.RunTime = took
	} else {
		k.RunTime += (took - k.RunTime) / 8
	}
	l.kinds[kind] = k
}

// Estimate returns the size to reserve for a job: the learned one of its kind, or the declared one while
// too little is known. A run that uses more than that counts with what it uses.
func (l *Learner) Estimate(j Job) Size {
	size := j.Declared()
	if k := l.kinds[j.Spec.Kind]; k.Runs >= learnAfter {
		size.Cores, size.Memory = k.Cores*margin, int64(k.Memory*margin)
	}
	if peak, ok := l.peaks[j.RunID()]; ok && j.State == StateRunning {
		size.Cores, size.Memory = max(size.Cores, peak.Cores), max(size.Memory, peak.Memory)
	}
	return size
}

// RunTime returns the learned run time of a kind. It is 0 if unknown.
func (l *Learner) RunTime(kind string) time.Duration { return l.kinds[kind].RunTime }
