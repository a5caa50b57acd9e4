package scheduler

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// manyWaves are requests for maintenance of one instance each.
type manyWaves int

func (n manyWaves) Waves() map[string]instance.Wave {
	waves := make(map[string]instance.Wave, n)
	for i := 1; i <= int(n); i++ {
		waves[fmt.Sprint(i)] = instance.Wave{Number: i, Instances: []string{fmt.Sprintf("i%d", i)}, MaxUnavailable: 1}
	}
	return waves
}

func (manyWaves) WaveStatus(name string, _ bool) store.Put {
	return store.Put{Key: store.Key{Table: "status", Name: "wave/" + name}, Value: []byte{1}}
}

// TestStartBesideManyNewWaves guards against tasks that never start because batches with many new waves exceed the entries of a transaction.
func TestStartBesideManyNewWaves(t *testing.T) {
	tests := map[string]struct{ waves, commands int }{
		"few waves":                 {3, 0},
		"many waves":                {400, 0},
		"few waves, many commands":  {3, 400},
		"forty waves and commands":  {40, 40},
		"many waves, many commands": {400, 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, _ := newTestEngine(t, memory.New(), 1)
			e.options.Waves = manyWaves(test.waves)
			c := e.core
			for _, doc := range e.options.Waves.Waves() {
				c.AddWave(doc, nil)
			}
			c.SetWorkers([]worker.Report{{ID: "w1", Pool: "p", Capacity: work.Resources{CPU: 4000}}})
			c.AddJob(work.Job{ID: "a", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1, Service: true}}}, nil, 0)
			s := c.jobs["a"].open[0].steps[0]
			c.planRun(s, 0, 1, c.workers["w1"])
			for i := range test.commands {
				c.fleet.planCommand(c.now, InstanceCommand{Instance: fmt.Sprintf("i%d", i), Pool: "p"})
			}
			waves, commands, started := 0, 0, false
			for range test.waves + test.commands {
				b, tx, err := e.nextBatch()
				qt.Assert(t, err, qt.IsNil)
				if b.Empty() {
					break
				}
				qt.Assert(t, tx.Entries() <= store.MaxEntries, qt.IsTrue, qt.Commentf("%d entries", tx.Entries()))
				waves += len(b.Waves)
				commands += len(b.instanceCommands)
				started = started || len(b.plannedRuns) > 0
				c.BatchStored(b)
			}
			qt.Assert(t, started, qt.IsTrue)
			qt.Assert(t, waves, qt.Equals, test.waves)
			qt.Assert(t, commands, qt.Equals, test.commands)
		})
	}
}
