package scheduler

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/work"
)

// TestGangWiderThanItsPool guards against a gang that never starts although instances are in the spare pool, since its pool has enough cores and
// too few workers, and against a pool that grows for a gang which fits nowhere.
func TestGangWiderThanItsPool(t *testing.T) {
	const pool, spare = 3, 6
	core, memory := work.Resources{CPU: 1000, Memory: 100}, work.Resources{CPU: 100, Memory: 4000}
	tests := map[string]struct {
		step  work.Step
		moves int
	}{
		"one task for each worker":        {work.Step{Count: 6, Request: core, MaxPerWorker: 1}, 3},
		"whole workers":                   {work.Step{Count: 8, Request: work.Resources{CPU: 4000, Memory: 100}}, 5},
		"memory":                          {work.Step{Count: 7, Request: memory}, 4},
		"several for each worker":         {work.Step{Count: 20, Request: core}, 2},
		"all instances":                   {work.Step{Count: 9, Request: core, MaxPerWorker: 1}, 6},
		"fits into its pool":              {work.Step{Count: 12, Request: core}, 0},
		"more tasks than instances":       {work.Step{Count: 10, Request: core, MaxPerWorker: 1}, 0},
		"larger than each instance":       {work.Step{Count: 2, Request: work.Resources{CPU: 5000, Memory: 100}}, 0},
		"more memory than the fleet has":  {work.Step{Count: 40, Request: work.Resources{CPU: 100, Memory: 2000}}, 0},
		"a service, one for each worker":  {work.Step{Count: 6, Request: core, MaxPerWorker: 1, Service: true}, 4},
		"a service of several per worker": {work.Step{Count: 20, Request: core, Service: true}, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleetRig(t, pool, spare)
			test.step.Gang, test.step.Estimate = true, time.Second
			f.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{test.step}})
			ids := []string{"w1", "w2", "w3"}
			joins, moved, started := make(map[string]time.Duration), 0, time.Duration(0)
			for begin := f.now; f.now < begin+8*time.Second; {
				f.advance(100 * time.Millisecond)
				for id, at := range joins {
					if inst := f.instances[id]; f.now >= at && inst.Worker == "" {
						inst.State, inst.Worker = instance.Up, "n-"+id
						f.instances[id] = inst
						ids = append(ids, inst.Worker)
					}
				}
				f.register(ids...)
				for _, id := range ids {
					f.reply(id)
				}
				f.listInstances()
				commands := f.pass()
				if starts := startsOf(commands); len(starts) > 0 && started == 0 {
					started = f.now - begin
					qt.Assert(t, starts, qt.HasLen, test.step.Count)
				}
				f.accept(slices.DeleteFunc(commands, func(cmd Command) bool { return cmd.Kind != CommandStart }))
				for _, cmd := range f.instanceCommands() {
					if cmd.Pool != "p" {
						continue
					}
					moved++
					inst := f.instances[cmd.Instance]
					inst.Pool, inst.State = cmd.Pool, instance.Moving
					f.instances[cmd.Instance] = inst
					joins[cmd.Instance] = f.now + rigBounds().MoveDuration
					f.acceptInstances([]InstanceCommand{cmd})
				}
			}
			fits := test.moves > 0 || test.step.Count == 12
			qt.Assert(t, moved, qt.Equals, test.moves)
			qt.Assert(t, started > 0, qt.Equals, fits)
			qt.Assert(t, started <= rigBounds().MoveDuration+time.Second, qt.IsTrue, qt.Commentf("started after %v", started))
		})
	}
}
