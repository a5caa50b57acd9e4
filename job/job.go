// Package job places batch jobs on workers by processors, memory and accelerators. Sizes and run times are learned for
// each kind of job, because declared sizes are inaccurate.
//
// # Usage
//
//	j, err := job.New(job.Spec{Kind: "dyeRun", Team: "planning", Cores: 4, Memory: 8 << 30}, "dc1", time.Now())
//	...
//	plan := job.Place(queued, running, workers, learner.Estimate, nil)
package job

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/ident"
)

// Spec is the document that defines a job.
type Spec struct {
	// Kind groups jobs with similar resource usage and run time, which are learned for each kind.
	Kind string `yaml:"kind" json:"kind"`
	Team string `yaml:"team" json:"team"`
	// DataCentre is the data centre that runs the job. If it is empty, one is chosen at submission.
	DataCentre string `yaml:"dataCentre,omitempty" json:"dataCentre,omitempty"`
	// Urgent jobs are placed first. They may throttle, checkpoint or stop jobs that are not urgent.
	Urgent bool    `yaml:"urgent,omitempty" json:"urgent,omitempty"`
	Cores  float64 `yaml:"cores" json:"cores"`
	// Memory is in bytes.
	Memory       int64 `yaml:"memory" json:"memory"`
	Accelerators int   `yaml:"accelerators,omitempty" json:"accelerators,omitempty"`
	// MaxFailures is the number of workers on which the job may fail before its state becomes failed; 3 if 0.
	MaxFailures int `yaml:"maxFailures,omitempty" json:"maxFailures,omitempty"`
}

// State is the state of a job.
type State string

// States of a job.
const (
	StateQueued  State = "queued"
	StateRunning State = "running"
	// StateCancelling means that the job is cancelled and its task has not stopped yet.
	StateCancelling State = "cancelling"
	StateDone       State = "done"
	StateCancelled  State = "cancelled"
	// StateFailed means that the job failed on several workers and is not tried again.
	StateFailed State = "failed"
	// StateImpossible means that no worker is large enough for the job.
	StateImpossible State = "impossible"
)

// defaultMaxFailures is one more than the failures that a faulty worker and its replacement can cause.
const defaultMaxFailures = 3

// Job is the row of a job.
type Job struct {
	ID    string `json:"id"`
	Spec  Spec   `json:"spec"`
	State State  `json:"state"`
	// Reason is a text that says why the job has ended or is waiting.
	Reason string `json:"reason,omitempty"`
	// Attempt is the number of runs so far. Each run has a separate task, and only the result of the last one counts.
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker,omitempty"`
	// Throttled means that the run has been reduced to a fraction of its processors.
	Throttled bool `json:"throttled,omitempty"`
	// Checkpoint refers to the checkpoint from which the next run continues.
	Checkpoint string `json:"checkpoint,omitempty"`
	// FailedOn lists the workers on which the job failed.
	FailedOn []string `json:"failedOn,omitempty"`
	// LostOn lists the workers that were lost soon after the job had started on them, one entry for each run.
	LostOn []string `json:"lostOn,omitempty"`
	// SilentOn lists the workers that stopped reporting the job soon after it had started on them, though the platform listed them.
	SilentOn []string `json:"silentOn,omitempty"`
	// Stops counts the runs in a row that were stopped by nobody's order, as when a lease expires, soon after they had started.
	Stops     int       `json:"stops,omitempty"`
	Submitted time.Time `json:"submitted"`
	// Started is the time when the present run was placed, on the clock of the entry instance that placed it.
	Started time.Time `json:"started,omitzero"`
	Ended   time.Time `json:"ended,omitzero"`
}

// New returns a queued job for the data centre. It fails if the document is invalid.
func New(spec Spec, dataCentre string, now time.Time) (Job, error) {
	switch {
	case spec.Kind == "":
		return Job{}, eris.New("job has no kind")
	case spec.Team == "":
		return Job{}, eris.Errorf("job of kind %q names no team", spec.Kind)
	case !(spec.Cores > 0):
		return Job{}, eris.Errorf("job of kind %q: cores %v is not greater than 0", spec.Kind, spec.Cores)
	case spec.Memory <= 0:
		return Job{}, eris.Errorf("job of kind %q: memory %d is not greater than 0", spec.Kind, spec.Memory)
	case spec.Accelerators < 0 || spec.MaxFailures < 0:
		return Job{}, eris.Errorf("job of kind %q: accelerators and maxFailures cannot be negative", spec.Kind)
	case dataCentre == "" || strings.ContainsAny(dataCentre, "./"):
		return Job{}, eris.Errorf("data centre %q is empty or contains a dot or slash", dataCentre)
	}
	spec.DataCentre = dataCentre
	return Job{ID: dataCentre + "." + ident.New(), Spec: spec, State: StateQueued, Submitted: now}, nil
}

// Size is the resources that a job needs or a worker has.
type Size struct {
	Cores float64
	// Memory is in bytes.
	Memory       int64
	Accelerators int
}

// Fits reports whether a job of this size fits into the free resources, which are given as room.
func (s Size) Fits(room Size) bool {
	return s.Cores <= room.Cores && s.Memory <= room.Memory && s.Accelerators <= room.Accelerators
}

func (s Size) plus(o Size) Size {
	return Size{Cores: s.Cores + o.Cores, Memory: s.Memory + o.Memory, Accelerators: s.Accelerators + o.Accelerators}
}

func (s Size) minus(o Size) Size {
	return Size{Cores: s.Cores - o.Cores, Memory: s.Memory - o.Memory, Accelerators: s.Accelerators - o.Accelerators}
}

// Declared returns the size that the document of the job declares.
func (j Job) Declared() Size {
	return Size{Cores: j.Spec.Cores, Memory: j.Spec.Memory, Accelerators: j.Spec.Accelerators}
}

// RunID returns the ID of the task of the present run.
func (j Job) RunID() string { return runID(j.ID, j.Attempt) }

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s == StateDone || s == StateCancelled || s == StateFailed || s == StateImpossible
}

// maxFailures returns the number of workers on which the job may fail.
func (j Job) maxFailures() int {
	if j.Spec.MaxFailures > 0 {
		return j.Spec.MaxFailures
	}
	return defaultMaxFailures
}
