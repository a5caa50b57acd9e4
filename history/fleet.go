package history

import (
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// PlannedStop is the begin of a planned stop of an instance. Output: nil.
type PlannedStop struct{ Pool, Instance string }

// Failure is an instance that goes out of service by itself. Output: nil.
type Failure struct{ Pool, Instance string }

// Return is an instance that is in service again. Output: nil.
type Return struct{ Pool, Instance string }

// AvailabilityBudget is the promise availabilityBudget as far as planned stops go: none begins while as many
// instances of its pool are out of service, for whatever reason, as the budget allows.
// It covers PlannedStop, Failure and Return.
func AvailabilityBudget(budgets map[string]int) Model {
	pool := func(input any) (name, instance string) {
		switch in := input.(type) {
		case PlannedStop:
			return in.Pool, in.Instance
		case Failure:
			return in.Pool, in.Instance
		}
		return input.(Return).Pool, input.(Return).Instance
	}
	return Model{
		Name:   "availabilityBudget",
		Covers: kinds(PlannedStop{}, Failure{}, Return{}),
		Model: porcupine.Model{
			Partition: by(func(input any) string { name, _ := pool(input); return name }),
			// The state holds the instances that are out of service, sorted and separated by spaces.
			Init: func() any { return "" },
			Step: func(old, input, _ any) (bool, any) {
				out := strings.Fields(old.(string))
				name, instance := pool(input)
				at, found := slices.BinarySearch(out, instance)
				switch input.(type) {
				case Return:
					if found {
						out = slices.Delete(out, at, at+1)
					}
				case PlannedStop:
					if !found && len(out) >= budgets[name] {
						return false, old
					}
				}
				if _, back := input.(Return); !back && !found {
					out = slices.Insert(out, at, instance)
				}
				return true, strings.Join(out, " ")
			},
		},
	}
}

// Join is an instance that becomes a member of a pool. Output: nil.
type Join struct{ Instance, Pool string }

// Part is an instance that ceases to be a member of a pool. Output: nil.
type Part struct{ Instance, Pool string }

// OnePool is the promise onePool: an instance is never in two pools. It covers Join and Part.
func OnePool() Model {
	return Model{
		Name:   "onePool",
		Covers: kinds(Join{}, Part{}),
		Model: porcupine.Model{
			Partition: by(func(input any) string {
				if in, ok := input.(Join); ok {
					return in.Instance
				}
				return input.(Part).Instance
			}),
			Init: func() any { return "" },
			Step: func(old, input, _ any) (bool, any) {
				if in, ok := input.(Join); ok {
					return old == "", in.Pool
				}
				return old == input.(Part).Pool, ""
			},
		},
	}
}

// Leave is the announcement that an endpoint leaves. Output: its instant, a [time.Duration] since any fixed
// instant of the run.
type Leave struct{ Endpoint string }

// Arrive is an endpoint that accepts work again. Output: nil.
type Arrive struct{ Endpoint string }

// Dispatch is a request that is sent to an endpoint. Output: its instant.
type Dispatch struct{ Endpoint string }

// Leaving is the promise leaving: an endpoint gets no request later than bound after it was announced to leave,
// until it accepts work again. It covers Leave, Arrive and Dispatch.
func Leaving(bound time.Duration) Model {
	const stays = time.Duration(-1)
	return Model{
		Name:   "leaving",
		Covers: kinds(Leave{}, Arrive{}, Dispatch{}),
		Model: porcupine.Model{
			Partition: by(func(input any) string {
				switch in := input.(type) {
				case Leave:
					return in.Endpoint
				case Arrive:
					return in.Endpoint
				}
				return input.(Dispatch).Endpoint
			}),
			Init: func() any { return stays },
			Step: func(old, input, output any) (bool, any) {
				left := old.(time.Duration)
				switch input.(type) {
				case Leave:
					if left == stays {
						left = output.(time.Duration)
					}
					return true, left
				case Arrive:
					return true, stays
				}
				return left == stays || output.(time.Duration) <= left+bound, left
			},
		},
	}
}

// WorkBegin is a request that begins to run at an endpoint. Output: nil.
type WorkBegin struct{ Endpoint, ID string }

// WorkEnd is a request that has ended at an endpoint. Output: nil.
type WorkEnd struct{ Endpoint, ID string }

// Shutdown is the moment when a planned stop ends the service of an endpoint. Output: nil.
type Shutdown struct{ Endpoint string }

// GracefulStop is the promise gracefulStop: a planned stop ends an endpoint only when nothing runs there.
// It covers WorkBegin, WorkEnd and Shutdown.
func GracefulStop() Model {
	return Model{
		Name:   "gracefulStop",
		Covers: kinds(WorkBegin{}, WorkEnd{}, Shutdown{}),
		Model: porcupine.Model{
			Partition: by(func(input any) string {
				switch in := input.(type) {
				case WorkBegin:
					return in.Endpoint
				case WorkEnd:
					return in.Endpoint
				}
				return input.(Shutdown).Endpoint
			}),
			Init: func() any { return 0 },
			Step: func(old, input, _ any) (bool, any) {
				running := old.(int)
				switch input.(type) {
				case WorkBegin:
					return true, running + 1
				case WorkEnd:
					return running > 0, running - 1
				}
				return running == 0, running
			},
		},
	}
}
