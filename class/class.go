// Package class describes classes of work. A class has a target that says how soon its work must
// finish, and a share of its pool that it may claim when all is full.
//
// # Usage
//
//	c, err := class.New(class.Spec{Name: "counterQuote", Pool: "counterPricing", Target: "300ms", Share: 0.5})
package class

import (
	"time"

	"github.com/rotisserie/eris"
)

// DefaultObjective is the fraction of requests that must meet the target where a class names none.
const DefaultObjective = 0.999

// MaxTarget is the longest target of a class. The part of an upper limit that a lost entry instance held
// is free again only after its longest request has ended, so longer work is submitted as a job.
const MaxTarget = time.Minute

// Spec is the document of a class.
type Spec struct {
	Name string `yaml:"name" json:"name"`
	// Pool names the pool that does the work.
	Pool string `yaml:"pool" json:"pool"`
	// Target is how soon work must finish, such as "300ms".
	Target string `yaml:"target" json:"target"`
	// Share is the weight of the class among the classes of its pool when the pool is full. It is greater than 0.
	Share float64 `yaml:"share" json:"share"`
	// Objective is the fraction of requests that must meet the target, between 0 and 1. It is optional; see DefaultObjective.
	Objective float64 `yaml:"objective,omitempty" json:"objective,omitempty"`
	// Open admits work without a key.
	Open bool `yaml:"open,omitempty" json:"open,omitempty"`
	// Urgent work is placed before other work; it may stop or throttle batch jobs.
	Urgent bool `yaml:"urgent,omitempty" json:"urgent,omitempty"`
}

// Class is a checked class of work.
type Class struct {
	spec   Spec
	target time.Duration
}

// New checks a document and returns its class.
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

// Pool returns the name of the pool that does the work.
func (c Class) Pool() string { return c.spec.Pool }

// Target returns how soon work must finish.
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

// Open reports whether work is admitted without a key.
func (c Class) Open() bool { return c.spec.Open }

// Urgent reports whether work goes before that of other classes.
func (c Class) Urgent() bool { return c.spec.Urgent }

// Spec returns the document of the class.
func (c Class) Spec() Spec { return c.spec }
