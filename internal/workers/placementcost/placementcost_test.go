package placementcost

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOrder guards against a task that starts on a worker although another one suits it better. Each list goes from the best worker to the
// worst.
func TestOrder(t *testing.T) {
	batch := Worker.ForBatchTask
	service := func(s Service) func(Worker) float64 { return func(w Worker) float64 { return w.ForService(s) } }
	type rated struct {
		name string
		cost float64
	}
	for name, list := range map[string][]rated{
		"batch": {
			{"full", batch(Worker{})},
			{"beside a service", batch(Worker{Services: 1})},
			{"empty", batch(Worker{Left: 1})},
			{"half as fast", batch(Worker{Slowness: 1})},
			{"overtaken", batch(Worker{Overtaken: true})},
			{"failed before", batch(Worker{FailedBefore: true})},
			{"a third as fast", batch(Worker{Slowness: 2})},
			{"far", batch(Worker{Far: true})},
			{"others at risk", batch(Worker{AtRisk: 20})},
			{"crashed before", batch(Worker{CrashedBefore: true})},
		},
		"best effort": {
			{"alone", Worker.ForBestEffortTask(Worker{})},
			{"beside another", Worker.ForBestEffortTask(Worker{BestEffort: 1})},
			{"beside a service", Worker.ForBestEffortTask(Worker{Services: 1})},
		},
		"service": {
			{"beside another service", service(Service{})(Worker{Services: 1})},
			{"no service", service(Service{})(Worker{})},
			{"beside the same", service(Service{SameService: 1})(Worker{Services: 1})},
			{"beside best effort", service(Service{})(Worker{Services: 1, BestEffort: 1})},
			{"long lease", service(Service{LongLease: true})(Worker{Services: 1})},
			{"doubted", service(Service{Doubted: true})(Worker{Services: 1})},
			{"may leave", service(Service{MayLeave: true})(Worker{Services: 1})},
			{"crashed before", service(Service{})(Worker{Services: 1, CrashedBefore: true})},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for i := 1; i < len(list); i++ {
				qt.Check(t, list[i-1].cost < list[i].cost, qt.IsTrue, qt.Commentf("%v, %v", list[i-1], list[i]))
			}
		})
	}
}
