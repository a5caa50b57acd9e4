package history

import (
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// PlannedStop is the start of a planned stop of an instance. Output: nil.
type PlannedStop struct{ Pool, Instance string }

// InstanceFailure is an instance that goes out of service without a planned stop. Output: nil.
type InstanceFailure struct{ Pool, Instance string }

// InstanceReturn is an instance that is in service again. Output: nil.
type InstanceReturn struct{ Pool, Instance string }

// AvailabilityBudget is the guarantee availabilityBudget for planned stops: none begins while as many instances of
// its pool are out of service, for any reason, as the budget of the pool allows. The budgets are given in
// instances by pool. It covers PlannedStop, InstanceFailure and InstanceReturn.
func AvailabilityBudget(budgets map[string]int) Model {
	poolAndInstance := func(input any) (name, instance string) {
		switch in := input.(type) {
		case PlannedStop:
			return in.Pool, in.Instance
		case InstanceFailure:
			return in.Pool, in.Instance
		}
		return input.(InstanceReturn).Pool, input.(InstanceReturn).Instance
	}
	return Model{
		Name:   "availabilityBudget",
		Covers: inputTypes(PlannedStop{}, InstanceFailure{}, InstanceReturn{}),
		Model: porcupine.Model{
			Partition: partitionBy(func(input any) string { name, _ := poolAndInstance(input); return name }),
			// The state holds the instances that are out of service, sorted and separated by spaces.
			Init: func() any { return "" },
			Step: func(old, input, _ any) (bool, any) {
				down := strings.Fields(old.(string))
				name, instance := poolAndInstance(input)
				at, found := slices.BinarySearch(down, instance)
				switch input.(type) {
				case InstanceReturn:
					if found {
						down = slices.Delete(down, at, at+1)
					}
				case PlannedStop:
					if !found && len(down) >= budgets[name] {
						return false, old
					}
				}
				if _, back := input.(InstanceReturn); !back && !found {
					down = slices.Insert(down, at, instance)
				}
				return true, strings.Join(down, " ")
			},
		},
	}
}

// JoinPool is an instance that becomes a member of a pool. Output: nil.
type JoinPool struct{ Instance, Pool string }

// LeavePool is an instance that is no longer a member of a pool. Output: nil.
type LeavePool struct{ Instance, Pool string }

// OnePool is the guarantee onePool: an instance is never in two pools. It covers JoinPool and LeavePool.
func OnePool() Model {
	return Model{
		Name:   "onePool",
		Covers: inputTypes(JoinPool{}, LeavePool{}),
		Model: porcupine.Model{
			Partition: partitionBy(func(input any) string {
				if in, ok := input.(JoinPool); ok {
					return in.Instance
				}
				return input.(LeavePool).Instance
			}),
			Init: func() any { return "" },
			Step: func(old, input, _ any) (bool, any) {
				if in, ok := input.(JoinPool); ok {
					return old == "", in.Pool
				}
				return old == input.(LeavePool).Pool, ""
			},
		},
	}
}

// AnnounceLeave is the announcement that an endpoint is leaving. Output: the time of the announcement, a
// [time.Duration] since any fixed instant of the run.
type AnnounceLeave struct{ Endpoint string }

// AcceptAgain is an endpoint that accepts work again. Output: nil.
type AcceptAgain struct{ Endpoint string }

// Dispatch is a request that is sent to an endpoint. Output: the time of sending, as in [AnnounceLeave].
type Dispatch struct{ Endpoint string }

// Leaving is the guarantee leaving: an endpoint gets no request later than bound after the announcement that it is
// leaving, until it accepts work again. It covers AnnounceLeave, AcceptAgain and Dispatch.
func Leaving(bound time.Duration) Model {
	const notLeaving = time.Duration(-1)
	return Model{
		Name:   "leaving",
		Covers: inputTypes(AnnounceLeave{}, AcceptAgain{}, Dispatch{}),
		Model: porcupine.Model{
			Partition: partitionBy(func(input any) string {
				switch in := input.(type) {
				case AnnounceLeave:
					return in.Endpoint
				case AcceptAgain:
					return in.Endpoint
				}
				return input.(Dispatch).Endpoint
			}),
			Init: func() any { return notLeaving },
			Step: func(old, input, output any) (bool, any) {
				left := old.(time.Duration)
				switch input.(type) {
				case AnnounceLeave:
					if left == notLeaving {
						left = output.(time.Duration)
					}
					return true, left
				case AcceptAgain:
					return true, notLeaving
				}
				return left == notLeaving || output.(time.Duration) <= left+bound, left
			},
		},
	}
}

// WorkBegin is a request that starts to run at an endpoint. Output: nil.
type WorkBegin struct{ Endpoint, ID string }

// WorkEnd is a request that has ended at an endpoint. Output: nil.
type WorkEnd struct{ Endpoint, ID string }

// Shutdown is the moment at which a planned stop ends an endpoint. Output: nil.
type Shutdown struct{ Endpoint string }

// GracefulStop is the guarantee gracefulStop: a planned stop ends an endpoint only when nothing is running there.
// It covers WorkBegin, WorkEnd and Shutdown.
func GracefulStop() Model {
	return Model{
		Name:   "gracefulStop",
		Covers: inputTypes(WorkBegin{}, WorkEnd{}, Shutdown{}),
		Model: porcupine.Model{
			Partition: partitionBy(func(input any) string {
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
