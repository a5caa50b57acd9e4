// Package history records the operations of concurrent runs and checks them against models of the guarantees
// that the design gives. The models are checked with porcupine, which looks for an order of the operations
// that fits the model (linearizability).
//
// # Usage
//
//	var r history.Recorder
//	end := r.Begin(client, history.RunBegin{Team: "supervisors", ID: "1"})
//	...
//	end(nil)
//	err := history.Check(history.UpperLimit(map[string]int{"supervisors": 40}), r.Operations())
package history

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rotisserie/eris"
)

// checkTimeout limits one check. A check that does not end in time counts as failed.
const checkTimeout = 30 * time.Second

// Recorder records operations. The zero Recorder is ready for use by any number of goroutines.
//
// Operations are ordered by a counter and not by a clock, because under testing/synctest many operations
// happen at the same instant.
type Recorder struct {
	mu sync.Mutex
	// lastEvent is the number of the last call or return of an operation.
	lastEvent  int64
	operations []porcupine.Operation
}

// Begin records the call of an operation. The function that it returns records the output, and must be called at
// most once. An operation that does not end is not part of the history.
func (r *Recorder) Begin(client int, input any) (end func(output any)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastEvent++
	call := r.lastEvent
	return func(output any) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lastEvent++
		r.operations = append(r.operations, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: r.lastEvent})
	}
}

// Add records an operation without duration, such as the start of a run at an endpoint.
func (r *Recorder) Add(client int, input, output any) { r.Begin(client, input)(output) }

// Operations returns the operations that have ended.
func (r *Recorder) Operations() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.operations)
}

// Check returns nil if some order of the operations fits both their calls and returns and the model. It returns an
// error if there is no such order, or if none was found in time. Operations that the model does not cover are
// ignored.
func Check(model Model, operations []porcupine.Operation) error {
	covered := slices.DeleteFunc(slices.Clone(operations), func(o porcupine.Operation) bool { return !model.Covers(o.Input) })
	result := porcupine.CheckOperationsTimeout(model.Model, covered, checkTimeout)
	switch result {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return eris.Errorf("%s: check of %d operations did not end within %v", model.Name, len(covered), checkTimeout)
	}
	return eris.Errorf("%s is broken: %s", model.Name, model.describeViolation(covered))
}

// Model is a guarantee of the design as a porcupine model.
type Model struct {
	porcupine.Model
	// Name is the name of the guarantee.
	Name string
	// Covers reports whether the model applies to operations with the input.
	Covers func(input any) bool
}

// describeViolation lists the operations of the smallest partition that violates the model.
func (m Model) describeViolation(operations []porcupine.Operation) string {
	smallest := operations
	if m.Partition != nil {
		for _, part := range m.Partition(operations) {
			if len(part) < len(smallest) && porcupine.CheckOperationsTimeout(m.Model, part, checkTimeout) == porcupine.Illegal {
				smallest = part
			}
		}
	}
	const shown = 20
	var text strings.Builder
	for i, o := range smallest {
		if i == shown {
			fmt.Fprintf(&text, " and %d more", len(smallest)-shown)
			break
		}
		fmt.Fprintf(&text, "\n  [%d, %d] client %d: %+v -> %+v", o.Call, o.Return, o.ClientId, o.Input, o.Output)
	}
	return text.String()
}

// partitionBy returns a function that groups operations by a key of their input.
func partitionBy[K comparable](key func(input any) K) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(operations []porcupine.Operation) [][]porcupine.Operation {
		var order []K
		groups := make(map[K][]porcupine.Operation)
		for _, o := range operations {
			k := key(o.Input)
			if _, ok := groups[k]; !ok {
				order = append(order, k)
			}
			groups[k] = append(groups[k], o)
		}
		parts := make([][]porcupine.Operation, len(order))
		for i, k := range order {
			parts[i] = groups[k]
		}
		return parts
	}
}

// inputTypes returns a function that reports whether an input has the type of one of the examples.
func inputTypes(examples ...any) func(any) bool {
	names := make([]string, len(examples))
	for i, e := range examples {
		names[i] = fmt.Sprintf("%T", e)
	}
	return func(input any) bool { return slices.Contains(names, fmt.Sprintf("%T", input)) }
}
