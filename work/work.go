// Package work describes jobs: steps that depend on each other, each with tasks that run on workers,
// and how far a job has come. It has no sockets.
//
// # Usage
//
//	if err := job.Validate(); err != nil { ... }
//	progress := work.NewProgress(job)
//	progress.Occurrence(0).Steps[1].SetDone(3)
package work

import (
	"time"

	"github.com/rotisserie/eris"
)

// Limits of a job document.
const (
	// MaxSpec is the longest specification in bytes. The platform's pages give it.
	MaxSpec = 4000
	// MaxSteps and MaxTasks bound the memory of one job. The widest job of the deployments has 32 tasks a step.
	MaxSteps = 64
	MaxTasks = 2000
	// MaxOccurrences bounds a scheduled job.
	MaxOccurrences = 100000
)

// Resources is what a task requests or a worker has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// Memory is in megabytes.
	Memory int64 `cbor:"2,keyasint,omitempty"`
	GPU    int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Times returns the resources n times.
func (r Resources) Times(n int64) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.Memory <= room.Memory && r.GPU <= room.GPU
}

// Step is a group of equal tasks.
type Step struct {
	Count   int       `cbor:"1,keyasint"`
	Request Resources `cbor:"2,keyasint"`
	// Estimate is how long a task takes according to the submitter. It is rough.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// DependsOn lists the earlier steps whose tasks have to be done first.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints means that a task saves its progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang means that the tasks run together or not at all.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack means that the tasks slow down when they run on more than one rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// RequiredLabel is what a worker must carry. It is empty if any worker will do.
	RequiredLabel string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the data. A task runs slower on any other.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker. 0 means no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative means that copies of a task may run at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Service means that the tasks run until the job is cancelled.
	Service bool `cbor:"12,keyasint,omitempty"`
	// Image names what runs. Tasks of an image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailLatencyTarget is the bound on the response times of a service task.
	TailLatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort means that the tasks use only what others leave over: their processors do not count.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxDisruptions is how many tasks of a service may be away at a time because of planned actions. 0 means no bound.
	MaxDisruptions int `cbor:"16,keyasint,omitempty"`
}

// ReservedResources returns what a task takes up on a worker.
func (s *Step) ReservedResources() Resources {
	if s.BestEffort {
		return Resources{Memory: s.Request.Memory, GPU: s.Request.GPU}
	}
	return s.Request
}

// Job is an accepted submission.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Pool  string `cbor:"3,keyasint"`
	Team  string `cbor:"4,keyasint,omitempty"`
	Spec  string `cbor:"5,keyasint,omitempty"`
	Steps []Step `cbor:"6,keyasint"`
	// AcceptedAt is when the job was accepted, on the clock of the store.
	AcceptedAt time.Duration `cbor:"7,keyasint"`
	// FirstDue and Interval give the due times of a scheduled job, FirstDue since 1970.
	FirstDue time.Duration `cbor:"8,keyasint,omitempty"`
	Interval time.Duration `cbor:"9,keyasint,omitempty"`
	// ScheduledOccurrences is the number of occurrences of a scheduled job, and 0 for any other job.
	ScheduledOccurrences int `cbor:"10,keyasint,omitempty"`
}

// Task names a task of a job.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.ScheduledOccurrences) }

// Due returns when an occurrence is due, since 1970, and 0 for a job without a schedule.
func (j *Job) Due(occurrence int) time.Duration {
	if j.ScheduledOccurrences == 0 {
		return 0
	}
	return j.FirstDue + time.Duration(occurrence)*j.Interval
}

// Validate reports the first fault of the document.
func (j *Job) Validate() error {
	switch {
	case len(j.Spec) > MaxSpec:
		return eris.Errorf("spec has %d bytes, more than %d", len(j.Spec), MaxSpec)
	case len(j.Steps) == 0:
		return eris.New("job has no steps")
	case len(j.Steps) > MaxSteps:
		return eris.Errorf("job has %d steps, more than %d", len(j.Steps), MaxSteps)
	case j.ScheduledOccurrences < 0 || j.ScheduledOccurrences > MaxOccurrences:
		return eris.Errorf("times %d is not between 0 and %d", j.ScheduledOccurrences, MaxOccurrences)
	case j.ScheduledOccurrences > 0 && (j.FirstDue < 0 || j.Interval < 0):
		return eris.New("a scheduled job needs a first time and an interval that are not negative")
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return eris.Wrapf(err, "step %d", i)
		}
		tasks += j.Steps[i].Count
	}
	if tasks > MaxTasks {
		return eris.Errorf("job has %d tasks, more than %d", tasks, MaxTasks)
	}
	return nil
}

func (s *Step) validate(number int) error {
	r := s.Request
	switch {
	case s.Count < 1:
		return eris.Errorf("count %d is less than 1", s.Count)
	case r.CPU < 0 || r.Memory < 0 || r.GPU < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxDisruptions < 0 || s.TailLatencyTarget < 0:
		return eris.New("a size, time or bound is negative")
	}
	for _, after := range s.DependsOn {
		if after < 0 || after >= number {
			return eris.Errorf("step %d in after is not an earlier step", after)
		}
	}
	return nil
}

// CriticalPath returns the longest chain of estimated work of one occurrence.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var start time.Duration
		for _, after := range j.Steps[i].DependsOn {
			start = max(start, ends[after])
		}
		ends[i] = start + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// CoreSeconds returns the processor time that one occurrence requests, in core-seconds.
func (j *Job) CoreSeconds() float64 {
	var total float64
	for i := range j.Steps {
		s := &j.Steps[i]
		total += float64(s.Count) * float64(s.Request.CPU) / 1000 * s.Estimate.Seconds()
	}
	return total
}
