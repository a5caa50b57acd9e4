// Package instance describes the instances behind the workers, their moves between pools and their maintenance.
//
// # Usage
//
//	instances, err := fleet.List(ctx)
//	outcome, err := fleet.Move(ctx, instance.Leader{Name: "front-1", Fence: fence}, instances[0].ID, "counter")
package instance

import (
	"context"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

// State is the state of an instance.
type State int

// States of an instance.
const (
	Up State = iota
	Moving
	InMaintenance
	Down
)

// Instance is an instance of a pool as the platform lists it.
type Instance struct {
	ID         string
	Pool       string
	State      State
	DataCentre string
	Labels     []string
	Capacity   work.Resources
	// Worker is the ID of the worker that runs on the instance.
	Worker string
	// Err says why the entry of the instance is malformed, and is nil for any other. The state is Down then, and the ID is empty if
	// the entry has none.
	Err error
}

// Wave is a request for the maintenance of instances.
type Wave struct {
	Number    int
	Instances []string
	// MaxDuration is the time within which the wave has to be finished.
	MaxDuration time.Duration
	// MaxUnavailable is how many instances may be in maintenance at the same time.
	MaxUnavailable int
}

// Leader identifies the leader that sends a command, with its fencing token.
type Leader struct {
	Name  string
	Fence uint64
}

// Outcome is the result of a command for an instance.
type Outcome int

// Outcomes of a command.
const (
	Accepted Outcome = iota
	// Unknown means that the command may have been executed.
	Unknown
	// Busy means that the instance is not up or is about to leave.
	Busy
	// Fenced means that the platform has seen a higher fencing token.
	Fenced
	// NotInWave means that the instance does not belong to the wave.
	NotInWave
	Invalid
	// Refused means that the platform accepts no commands at the moment. Nothing was done.
	Refused
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"accepted", "unknown", "busy", "fenced", "notInWave", "invalid", "refused"}[o]
}

// Fleet lists instances and sends commands for them. The error explains an outcome that is not Accepted.
type Fleet interface {
	List(ctx context.Context) ([]Instance, error)
	// Move stops all runs on the instance, which then joins the pool with a new worker.
	Move(ctx context.Context, leader Leader, id, pool string) (Outcome, error)
	// Maintain stops all runs on the instance, which then returns to its pool with a new worker.
	Maintain(ctx context.Context, leader Leader, id string, wave int) (Outcome, error)
}
