// Package machine describes the machines behind the workers, their moves between pools and their maintenance.
//
// # Usage
//
//	machines, err := fleet.List(ctx)
//	outcome, err := fleet.Move(ctx, machine.Claim{Holder: "front-1", Fence: fence}, machines[0].ID, "counter")
package machine

import (
	"context"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

// State is the state of a machine.
type State int

// States of a machine.
const (
	Up State = iota
	Moving
	InMaintenance
	Down
)

// Machine is a machine of a pool.
type Machine struct {
	ID       string
	Pool     string
	State    State
	Zone     string
	Labels   []string
	Capacity work.Resources
	// Worker is the ID of the worker that runs on the machine.
	Worker string
}

// Wave asks for the maintenance of machines.
type Wave struct {
	Number   int
	Machines []string
	// FinishBy is how long the wave may take.
	FinishBy time.Duration
	// MaxDown is how many machines may be in maintenance at a time.
	MaxDown int
}

// Claim names the process that decides and its fencing token.
type Claim struct {
	Holder string
	Fence  uint64
}

// Outcome is what the platform did with an order for a machine.
type Outcome int

// Outcomes of an order.
const (
	Accepted Outcome = iota
	// Unknown means that the order may have been carried out.
	Unknown
	// Busy means that the machine is not up or leaves.
	Busy
	Fenced
	// NotInWave means that the machine does not belong to the wave.
	NotInWave
	Invalid
	// Refused means that the platform takes no order at the moment. Nothing was done.
	Refused
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"accepted", "unknown", "busy", "fenced", "notInWave", "invalid", "refused"}[o]
}

// Fleet lists and orders machines. The error explains an outcome that is not Accepted.
type Fleet interface {
	List(ctx context.Context) ([]Machine, error)
	// Move ends all that runs on the machine, which then joins the pool with a new worker.
	Move(ctx context.Context, claim Claim, id, pool string) (Outcome, error)
	// Maintain ends all that runs on the machine, which then returns to its pool with a new worker.
	Maintain(ctx context.Context, claim Claim, id string, wave int) (Outcome, error)
}
