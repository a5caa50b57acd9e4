// Package history records concurrent runs and checks them against the promises of the design.
//
// # Usage
//
//	var r history.Recorder
//	end := r.Begin(client, history.Acquire{Team: "supervisors"})
//	...
//	end(history.Result{OK: true})
//	err := history.Check(history.UpperLimit(40), r.Operations())
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

// checkTimeout bounds one check. A check that does not end in time counts as failed.
const checkTimeout = 30 * time.Second

// Recorder records operations. The zero Recorder is ready for use by any number of goroutines.
//
// Operations are ordered by a counter and not by a clock, since operations under testing/synctest often
// share one instant.
type Recorder struct {
	mu         sync.Mutex
	clock      int64
	operations []porcupine.Operation
}

// Begin records the call of an operation. The function that it returns records the output and must be
// called at most once; an operation that never ends is not part of the history.
func (r *Recorder) Begin(client int, input any) (end func(output any)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	call := r.clock
	return func(output any) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.clock++
		r.operations = append(r.operations, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: r.clock})
	}
}

// Add records an operation that takes no time, such as the start of a run at an endpoint.
func (r *Recorder) Add(client int, input, output any) { r.Begin(client, input)(output) }

// Operations returns the operations that have ended.
func (r *Recorder) Operations() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.operations)
}

// Check fails if no order of the operations that fits their calls and returns obeys the model, or if that
// cannot be found out in time. Operations of other models are left out.
func Check(model Model, operations []porcupine.Operation) error {
	mine := slices.DeleteFunc(slices.Clone(operations), func(o porcupine.Operation) bool { return !model.Covers(o.Input) })
	result := porcupine.CheckOperationsTimeout(model.Model, mine, checkTimeout)
	switch result {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return eris.Errorf("%s: check of %d operations did not end within %v", model.Name, len(mine), checkTimeout)
	}
	return eris.Errorf("%s is broken: %s", model.Name, model.explain(mine))
}

// Model is a promise as a model of porcupine.
type Model struct {
	porcupine.Model
	// Name is the name of the promise.
	Name string
	// Covers reports whether the model is about operations with the input.
	Covers func(input any) bool
}

// explain names the smallest partition that breaks the model.
func (m Model) explain(operations []porcupine.Operation) string {
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

// by groups operations by a key of their input.
func by[K comparable](key func(input any) K) func([]porcupine.Operation) [][]porcupine.Operation {
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

// kinds returns a function that reports whether an input is of one of the types of the examples.
func kinds(examples ...any) func(any) bool {
	names := make([]string, len(examples))
	for i, e := range examples {
		names[i] = fmt.Sprintf("%T", e)
	}
	return func(input any) bool { return slices.Contains(names, fmt.Sprintf("%T", input)) }
}
