// Package job places jobs on workers by processors, memory and accelerators. Sizes and run times are
// learned for each kind, because declared ones are far off.
//
// # Usage
//
//	j, err := job.New(job.Spec{Kind: "dyeRun", Team: "planning", Cores: 4, Memory: 8 << 30}, "dc1", time.Now())
//	...
//	plan := job.Place(now, workers, queued, running, learner.Estimate)
package job

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/ident"
)

// Spec is the document of a job.
type Spec struct {
	// Kind groups jobs that behave alike. Sizes and run times are learned for each kind.
	Kind string `yaml:"kind" json:"kind"`
	Team string `yaml:"team" json:"team"`
	// DataCentre is where the job runs. It is chosen at submission if empty.
	DataCentre string `yaml:"dataCentre,omitempty" json:"dataCentre,omitempty"`
	// Urgent jobs are placed first. They may throttle, checkpoint or stop jobs that are not urgent.
	Urgent bool    `yaml:"urgent,omitempty" json:"urgent,omitempty"`
	Cores  float64 `yaml:"cores" json:"cores"`
	// Memory is in bytes.
	Memory       int64 `yaml:"memory" json:"memory"`
	Accelerators int   `yaml:"accelerators,omitempty" json:"accelerators,omitempty"`
	// MaxFailures is the number of workers on which the job may fail before it is given up; 3 if 0.
	MaxFailures int `yaml:"maxFailures,omitempty" json:"maxFailures,omitempty"`
}

// State is the state of a job.
type State string

// States of a job.
const (
	StateQueued  State = "queued"
	StateRunning State = "running"
	// StateCancelling means that the job is cancelled and its task not yet stopped.
	StateCancelling State = "cancelling"
	StateDone       State = "done"
	StateCancelled  State = "cancelled"
	// StateFailed means that the job was given up after failures on several workers.
	StateFailed State = "failed"
	// StateImpossible means that no worker is large enough.
	StateImpossible State = "impossible"
)

// defaultMaxFailures is one more than a single bad worker and its replacement can cause.
const defaultMaxFailures = 3

// Job is the row of a job.
type Job struct {
	ID    string `json:"id"`
	Spec  Spec   `json:"spec"`
	State State  `json:"state"`
	// Reason says why the job has ended or is waiting.
	Reason string `json:"reason,omitempty"`
	// Attempt counts the runs. Each run has its own task, and only the result of the latest is taken.
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker,omitempty"`
	// Throttled means that the run keeps only a part of its processors.
	Throttled bool `json:"throttled,omitempty"`
	// Checkpoint is the reference from which the next run continues.
	Checkpoint string `json:"checkpoint,omitempty"`
	// FailedOn lists the workers on which the job failed.
	FailedOn  []string  `json:"failedOn,omitempty"`
	Submitted time.Time `json:"submitted"`
	// Started is when the present run was placed, on the clock of the entry instance that placed it.
	Started time.Time `json:"started,omitzero"`
	Ended   time.Time `json:"ended,omitzero"`
}

// New checks a document and returns a queued job for the data centre.
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

// Size is what a job needs or a worker has.
type Size struct {
	Cores        float64
	Memory       int64
	Accelerators int
}

// Fits reports whether a job of the size fits into the room.
func (s Size) Fits(room Size) bool {
	return s.Cores <= room.Cores && s.Memory <= room.Memory && s.Accelerators <= room.Accelerators
}

func (s Size) plus(o Size) Size {
	return Size{Cores: s.Cores + o.Cores, Memory: s.Memory + o.Memory, Accelerators: s.Accelerators + o.Accelerators}
}

func (s Size) minus(o Size) Size {
	return Size{Cores: s.Cores - o.Cores, Memory: s.Memory - o.Memory, Accelerators: s.Accelerators - o.Accelerators}
}

// Declared returns the declared size.
func (j Job) Declared() Size {
	return Size{Cores: j.Spec.Cores, Memory: j.Spec.Memory, Accelerators: j.Spec.Accelerators}
}

// RunID returns the task ID of the present run.
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
