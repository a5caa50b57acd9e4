// Package wave plans rolling maintenance. A wave drains, reboots and returns to service every instance of its
// pools, within their availability budgets. The package decides which stops begin and what the next step of a stop
// is; package duty carries the decisions out.
//
// # Usage
//
//	w, err := wave.New(wave.Spec{Name: "kernel-2026-12", Pools: []string{"shiftDesk"}}, time.Now())
//	...
//	ids := wave.Plan(p, w.Members(rows, available))                    // instances to stop now
//	d := wave.NextStep(time.Now(), row, report, known, w.Rules())      // next step of a stop
package wave

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/pool"
)

// Defaults of the durations in a [Spec].
const (
	DefaultNotice      = 3 * time.Second
	DefaultDrainLimit  = 10 * time.Minute
	DefaultReturnLimit = 10 * time.Minute
)

// Spec is the document that defines a wave.
type Spec struct {
	Name string `yaml:"name" json:"name"`
	// Pools are the pools to maintain; all pools if empty.
	Pools []string `yaml:"pools,omitempty" json:"pools,omitempty"`
	// Instances limits the wave to these instances; all instances of the pools if empty.
	Instances []string `yaml:"instances,omitempty" json:"instances,omitempty"`
	// Notice, DrainLimit and ReturnLimit are durations such as "3s".
	Notice      string `yaml:"notice,omitempty" json:"notice,omitempty"`
	DrainLimit  string `yaml:"drainLimit,omitempty" json:"drainLimit,omitempty"`
	ReturnLimit string `yaml:"returnLimit,omitempty" json:"returnLimit,omitempty"`
	// Policy is "wait" (default) or "skip".
	Policy Policy `yaml:"policy,omitempty" json:"policy,omitempty"`
}

// State is the state of a wave.
type State string

// States of a wave.
const (
	StateRunning State = "running"
	// StatePaused means that no new stop begins, and that those in progress are completed.
	StatePaused State = "paused"
	// StateAborted means that no new stop begins, and that draining instances return without a reboot.
	StateAborted State = "aborted"
	StateDone    State = "done"
)

// Wave is a wave whose document is valid, with its state.
type Wave struct {
	spec  Spec
	state State
	rules StopRules
	// created is the time of creation on the clock of the entry instance that created the wave.
	created time.Time
	// ended is the time when the wave was aborted or done.
	ended time.Time
}

// operationPrefix begins the names of waves in instance rows. Other operations are moves.
const operationPrefix = "wave/"

// IsWave reports whether an operation of an instance row is a wave.
func IsWave(operation string) bool { return strings.HasPrefix(operation, operationPrefix) }

// New returns a running wave that begins at the time now. It fails if the document is invalid.
func New(spec Spec, now time.Time) (Wave, error) {
	if spec.Name == "" || strings.Contains(spec.Name, "/") {
		return Wave{}, eris.Errorf("wave name %q is empty or contains a slash", spec.Name)
	}
	w := Wave{spec: spec, state: StateRunning, created: now}
	fields := []struct {
		name         string
		text         string
		defaultValue time.Duration
		target       *time.Duration
	}{
		{"notice", spec.Notice, DefaultNotice, &w.rules.Notice},
		{"drainLimit", spec.DrainLimit, DefaultDrainLimit, &w.rules.DrainLimit},
		{"returnLimit", spec.ReturnLimit, DefaultReturnLimit, &w.rules.ReturnLimit},
	}
	for _, f := range fields {
		*f.target = f.defaultValue
		if f.text == "" {
			continue
		}
		d, err := time.ParseDuration(f.text)
		if err != nil || d <= 0 {
			return Wave{}, eris.Errorf("wave %q: %s %q is not a positive duration", spec.Name, f.name, f.text)
		}
		*f.target = d
	}
	w.rules.Policy = spec.Policy
	switch spec.Policy {
	case "":
		w.rules.Policy = PolicyWait
	case PolicyWait, PolicySkip:
	default:
		return Wave{}, eris.Errorf("wave %q: policy %q is neither %q nor %q", spec.Name, spec.Policy, PolicyWait, PolicySkip)
	}
	return w, nil
}

// Name returns the name of the wave.
func (w Wave) Name() string { return w.spec.Name }

// Spec returns the document of the wave.
func (w Wave) Spec() Spec { return w.spec }

// State returns the state of the wave.
func (w Wave) State() State { return w.state }

// Created returns the time when the wave was created.
func (w Wave) Created() time.Time { return w.created }

// Ended returns the time when the wave was aborted or done. It is zero while the wave is active.
func (w Wave) Ended() time.Time { return w.ended }

// Operation returns the name of the wave in instance rows. It contains the time of creation, because a name can be
// used again after its wave was removed, and instance rows still record the last wave of each instance.
func (w Wave) Operation() string {
	return operationPrefix + w.spec.Name + "/" + strconv.FormatInt(w.created.UnixMilli(), 10)
}

// Active reports whether the wave may still change instances.
func (w Wave) Active() bool { return w.state == StateRunning || w.state == StatePaused }

// Rules returns the rules of the wave's stops.
func (w Wave) Rules() StopRules {
	rules := w.rules
	rules.Abort = w.state == StateAborted
	return rules
}

// Covers reports whether the wave includes an instance.
func (w Wave) Covers(in pool.Instance) bool {
	return w.coversPool(in.Pool) && (len(w.spec.Instances) == 0 || slices.Contains(w.spec.Instances, in.ID))
}

func (w Wave) coversPool(name string) bool {
	return len(w.spec.Pools) == 0 || slices.Contains(w.spec.Pools, name)
}

// Pending reports whether the wave includes an instance and has not stopped it yet.
func (w Wave) Pending(in pool.Instance) bool {
	return w.Covers(in) && in.LastWave != w.Operation() && in.Operation != w.Operation()
}

// Members returns the instances of a pool as input of [Plan]. Available reports whether the platform has an
// instance in service; it matters for instances that no wave or move has stopped.
func (w Wave) Members(rows []pool.Stored, available func(id string) bool) []Member {
	members := make([]Member, 0, len(rows))
	for _, row := range rows {
		members = append(members, Member{
			ID: row.ID, Rack: row.Rack, DataCentre: row.DataCentre,
			Down:    row.Down() || !available(row.ID),
			Pending: w.Pending(row.Instance),
			Failed:  row.State == pool.StateFailed && row.Operation == w.Operation(),
			Ended:   row.LastWave == w.Operation() && row.Operation != w.Operation(),
		})
	}
	return members
}
