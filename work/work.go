// Package work describes jobs and their progress. A job consists of steps that depend on each other, and each step of equal tasks
// that run on workers. The package has no network access.
//
// # Usage
//
//	if err := job.Validate(); err != nil { ... }
//	progress := work.NewProgress()
//	progress.Occurrence(job, 0).Steps[1].SetDone(3)
package work

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of a job document.
const (
	// MaxSpec is the maximum length of a specification in bytes, as documented by the platform.
	MaxSpec = 4000
	// MaxSteps and MaxTasks limit the memory of one job. The largest step of the deployments has 32 tasks.
	MaxSteps = 64
	MaxTasks = 2000
	// MaxOccurrences limits the occurrences of a scheduled job.
	MaxOccurrences = 100000
)

// Resources are requested by a task or available on a worker.
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

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), GPU: max(r.GPU, o.GPU)}
}

// Fits reports whether r fits into the free resources.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.GPU <= free.GPU
}

// Step is a group of equal tasks.
type Step struct {
	Count   int       `cbor:"1,keyasint"`
	Request Resources `cbor:"2,keyasint"`
	// Estimate is the expected duration of a task according to the submitter. It may be inaccurate.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// DependsOn lists the indexes of the earlier steps whose tasks have to be done first.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints means that a task saves its progress and can resume from it.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang means that the tasks run at the same time or not at all.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack means that the tasks run slower when they are on more than one rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// RequiredLabel is a label that the worker must have. It is empty if any worker can run the tasks.
	RequiredLabel string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the data. A task runs slower on any other.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence on one worker. 0 means no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative means that copies of a task may run at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Service means that the tasks run until the job is cancelled.
	Service bool `cbor:"12,keyasint,omitempty"`
	// Image names the program. Tasks with the same image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailLatencyTarget is the upper limit for the tail latency of a service task.
	TailLatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort means that the tasks use only capacity that others leave over: their CPU request reserves nothing.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxDisruptions is how many tasks of a service may be down at a time because of planned actions. 0 means no limit.
	MaxDisruptions int `cbor:"16,keyasint,omitempty"`
}

// ReservedResources returns the resources that a task reserves on a worker.
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
	// AcceptedAt is when the job was accepted, in monotonic time of the store.
	AcceptedAt time.Duration `cbor:"7,keyasint"`
	// FirstDue and Interval give the due times of a scheduled job. FirstDue is wall clock time since the Unix epoch.
	FirstDue time.Duration `cbor:"8,keyasint,omitempty"`
	Interval time.Duration `cbor:"9,keyasint,omitempty"`
	// ScheduledOccurrences is the number of occurrences of a scheduled job, and 0 for other jobs.
	ScheduledOccurrences int `cbor:"10,keyasint,omitempty"`
	// EndState is the final state of a job that has ended and whose row was shortened, and Pending otherwise. Such a row has no
	// specification and no steps.
	EndState State `cbor:"11,keyasint,omitempty"`
	// Attempts is the number of attempts that the queue allowed each task when the job was accepted. It is 0 in rows of earlier
	// versions.
	Attempts int `cbor:"12,keyasint,omitempty"`
}

// Shortened returns what is kept of an ended job, so that a repeated submission is recognised.
func (j *Job) Shortened(state State) Job {
	return Job{ID: j.ID, Queue: j.Queue, Pool: j.Pool, AcceptedAt: j.AcceptedAt, EndState: state}
}

// Task identifies a task of a job.
type Task struct {
	Job        string `cbor:"1,keyasint,omitempty"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty"`
}

// Name names the task within its job, in the form OCCURRENCE.STEP.INDEX.
func (t Task) Name() string {
	name := strconv.AppendInt(nil, int64(t.Occurrence), 10)
	for _, n := range []int{t.Step, t.Index} {
		name = strconv.AppendInt(append(name, '.'), int64(n), 10)
	}
	return string(name)
}

// Compare orders tasks by job, occurrence, step and index.
func (t Task) Compare(o Task) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// Occurrences returns the number of occurrences, which is 1 for a job without a schedule.
func (j *Job) Occurrences() int { return max(1, j.ScheduledOccurrences) }

// Tasks returns the number of tasks of an occurrence.
func (j *Job) Tasks() (n int) {
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// MinWorkers returns the number of workers that the widest service needs because of its limit per worker.
func (j *Job) MinWorkers() (n int) {
	for i := range j.Steps {
		if s := &j.Steps[i]; s.Service && s.MaxPerWorker > 0 {
			n = max(n, (s.Count+s.MaxPerWorker-1)/s.MaxPerWorker)
		}
	}
	return n
}

// ServiceTasks returns the number of tasks that run until the job is cancelled.
func (j *Job) ServiceTasks() int {
	n := 0
	for i := range j.Steps {
		if j.Steps[i].Service {
			n += j.Steps[i].Count
		}
	}
	return n
}

// BestEffort reports whether a step uses only capacity that others leave over.
func (j *Job) BestEffort() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.BestEffort })
}

// Due returns when an occurrence is due, in wall clock time since the Unix epoch, and 0 for a job without a schedule.
func (j *Job) Due(occurrence int) time.Duration {
	if j.ScheduledOccurrences == 0 {
		return 0
	}
	return j.FirstDue + time.Duration(occurrence)*j.Interval
}

// Validate returns an error for the first invalid value of the job.
func (j *Job) Validate() error {
	switch {
	case j.EndState.Ended() && len(j.Steps) == 0:
		return nil
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

// CriticalPath returns the estimated duration of the longest chain of dependent steps in one occurrence.
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

// CoreSeconds returns the processor time that the tasks of one occurrence are estimated to take.
func (j *Job) CoreSeconds() float64 {
	var total float64
	for i := range j.Steps {
		s := &j.Steps[i]
		total += float64(s.Count) * float64(s.Request.CPU) / 1000 * s.Estimate.Seconds()
	}
	return total
}
