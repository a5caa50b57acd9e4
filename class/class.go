// Package class describes the service classes of requests. A class has a latency target, within which its
// requests must finish, and a share of its pool that is guaranteed to it while the pool is full.
//
// # Usage
//
//	c, err := class.New(class.Spec{Name: "counterQuote", Pool: "counterPricing", Target: "300ms", Share: 0.5})
package class

import (
	"time"

	"github.com/rotisserie/eris"
)

// DefaultObjective is the fraction of requests that must meet the target if a class sets no objective.
const DefaultObjective = 0.999

// MaxTarget is the longest latency target of a class. When an entry instance is lost, its allotment of a
// team's upper limit is free again only after its longest request has ended. Longer work is therefore
// submitted as a job.
const MaxTarget = time.Minute

// Spec is the configuration document of a class.
type Spec struct {
	Name string `yaml:"name" json:"name"`
	// Pool is the name of the pool that serves the requests.
	Pool string `yaml:"pool" json:"pool"`
	// Target is the time after arrival within which a request must finish, such as "300ms".
	Target string `yaml:"target" json:"target"`
	// Share is the weight of the class among the classes of its pool when the pool is full. It is greater than 0.
	Share float64 `yaml:"share" json:"share"`
	// Objective is the fraction of requests that must meet the target, between 0 and 1. It is optional; see DefaultObjective.
	Objective float64 `yaml:"objective,omitempty" json:"objective,omitempty"`
	// Open admits requests without a key.
	Open bool `yaml:"open,omitempty" json:"open,omitempty"`
	// Urgent requests are served before others, and may cause batch jobs to be stopped or throttled.
	Urgent bool `yaml:"urgent,omitempty" json:"urgent,omitempty"`
}

// Class is a valid service class.
type Class struct {
	spec   Spec
	target time.Duration
}

// New returns the class of a document. It fails if a field is missing or invalid.
func New(spec Spec) (Class, error) {
	if spec.Name == "" {
		return Class{}, eris.New("class has no name")
	}
	if spec.Pool == "" {
		return Class{}, eris.Errorf("class %q names no pool", spec.Name)
	}
	target, err := time.ParseDuration(spec.Target)
	if err != nil || target <= 0 {
		return Class{}, eris.Errorf("class %q: target %q is not a positive duration", spec.Name, spec.Target)
	}
	if target > MaxTarget {
		return Class{}, eris.Errorf("class %q: target %s is longer than %s; submit longer work as a job", spec.Name, target, MaxTarget)
	}
	if !(spec.Share > 0) {
		return Class{}, eris.Errorf("class %q: share %v is not greater than 0", spec.Name, spec.Share)
	}
	if spec.Objective != 0 && !(spec.Objective > 0 && spec.Objective < 1) {
		return Class{}, eris.Errorf("class %q: objective %v is not between 0 and 1", spec.Name, spec.Objective)
	}
	return Class{spec: spec, target: target}, nil
}

// Name returns the name of the class.
func (c Class) Name() string { return c.spec.Name }

// Pool returns the name of the pool that serves the requests.
func (c Class) Pool() string { return c.spec.Pool }

// Target returns the time after arrival within which a request must finish.
func (c Class) Target() time.Duration { return c.target }

// Share returns the weight of the class in its pool when the pool is full.
func (c Class) Share() float64 { return c.spec.Share }

// Objective returns the fraction of requests that must meet the target.
func (c Class) Objective() float64 {
	if c.spec.Objective == 0 {
		return DefaultObjective
	}
	return c.spec.Objective
}

// Open reports whether requests are admitted without a key.
func (c Class) Open() bool { return c.spec.Open }

// Urgent reports whether requests are served before those of other classes.
func (c Class) Urgent() bool { return c.spec.Urgent }

// Spec returns the document of the class.
func (c Class) Spec() Spec { return c.spec }
