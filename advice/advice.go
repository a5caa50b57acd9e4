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

// MaxWorkers is how many workers one call may name, from the platform's pages.
const MaxWorkers = 100

// Grant names the workers that may run a step.
type Grant struct {
	// Tickets holds the ticket of each worker that may run the step.
	Tickets map[string]string
	// Valid is how long the tickets can be used.
	Valid time.Duration
}

// Advisor answers which workers may run a step of an occurrence of a job.
type Advisor interface {
	Advise(ctx context.Context, job string, occurrence, step int, workers []string) (Grant, error)
}
