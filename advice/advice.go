// Package advice describes the policy service that knows which workers may run a step.
//
// # Usage
//
//	grant, err := advisor.Advise(ctx, "5c0e7a21d94b36f8", 0, 1, ids)
package advice

import (
	"context"
	"time"
)

// MaxWorkers is the maximum number of workers in one call, as documented by the platform.
const MaxWorkers = 100

// Grant lists the workers that may run a step.
type Grant struct {
	// Tickets holds the ticket of each worker that may run the step.
	Tickets map[string]string
	// Valid is how long the tickets are valid.
	Valid time.Duration
	// Malformed counts the rows of the reply that cannot be read. Their workers count as not granted.
	Malformed int
}

// Advisor queries the policy service.
type Advisor interface {
	// Advise returns which of the workers may run a step of an occurrence of a job.
	Advise(ctx context.Context, job string, occurrence, step int, workers []string) (Grant, error)
}
