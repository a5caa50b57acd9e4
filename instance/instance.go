// Package instance describes the instances behind the workers, their moves between pools and their maintenance.
//
// # Usage
//
//	instances, err := fleet.List(ctx)
//	outcome, err := fleet.Move(ctx, instance.Claim{Holder: "front-1", Fence: fence}, instances[0].ID, "counter")
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

// Instance is an instance of a pool.
type Instance struct {
	ID         string
	Pool       string
	State      State
	DataCentre string
	Labels     []string
	Capacity   work.Resources
	// Worker is the ID of the worker that runs on the instance.
	Worker string
}

// Wave asks for the maintenance of instances.
type Wave struct {
	Number    int
	Instances []string
	// MaxDuration is how long the wave may take.
	MaxDuration time.Duration
	// MaxUnavailable is how many instances may be in maintenance at a time.
	MaxUnavailable int
}

// Leader names the process that decides and its fencing token.
type Leader struct {
	Name  string
	Fence uint64
}

// Outcome is what the platform did with an order for an instance.
type Outcome int

// Outcomes of an order.
const (
	Accepted Outcome = iota
	// Unknown means that the order may have been carried out.
	Unknown
	// Busy means that the instance is not up or leaves.
	Busy
	Fenced
	// NotInWave means that the instance does not belong to the wave.
	NotInWave
	Invalid
	// Refused means that the platform takes no order at the moment. Nothing was done.
	Refused
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"accepted", "unknown", "busy", "fenced", "notInWave", "invalid", "refused"}[o]
}

// Fleet lists and orders instances. The error explains an outcome that is not Accepted.
type Fleet interface {
	List(ctx context.Context) ([]Instance, error)
	// Move ends all that runs on the instance, which then joins the pool with a new worker.
	Move(ctx context.Context, claim Leader, id, pool string) (Outcome, error)
	// Maintain ends all that runs on the instance, which then returns to its pool with a new worker.
	Maintain(ctx context.Context, claim Leader, id string, wave int) (Outcome, error)
}
