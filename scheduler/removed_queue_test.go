package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestAttemptsOfRemovedQueue guards against a task that fails again and again without end because its queue is no longer in the
// configuration, and against a job that fails sooner than its queue promised.
func TestAttemptsOfRemovedQueue(t *testing.T) {
	tests := map[string]struct{ stored, want int }{
		"stored":                    {3, 3},
		"row of an earlier version": {0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Attempts: test.stored, Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 1000}, Estimate: time.Second}}})
			r.core.SetCatalog(catalog.New(2, 0, nil, []catalog.Pool{{Name: "p"}}, nil))
			for range test.want {
				r.advance(time.Second)
				r.reply("w1")
				commands := r.pass()
				qt.Assert(t, startsOf(commands), qt.HasLen, 1)
				r.accept(commands)
				r.finish("w1", worker.ExitFailed)
				r.reply("w1")
			}
			r.advance(time.Second)
			r.reply("w1")
			qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
			state, _ := r.core.JobState("a")
			qt.Assert(t, state, qt.Equals, work.Failed)
		})
	}
}

// TestMoveForRemovedQueue guards against jobs that wait without end for a pool that gets no instances, because their queue is no longer in
// the configuration.
func TestMoveForRemovedQueue(t *testing.T) {
	queue := catalog.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond}
	other := catalog.Queue{Name: "r", Host: "h", Prefix: "/r/", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond}
	tests := map[string][]catalog.Queue{"in the configuration": {queue}, "removed": {other}, "removed, the last of its pool": nil}
	for name, queues := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleetRig(t, 3, 5)
			qt.Assert(t, f.instanceCommands(), qt.HasLen, 0)
			for i := range 8 {
				f.addSteps(fmt.Sprint("j", i), 4)
			}
			f.core.SetCatalog(catalog.New(3, 0, queues, []catalog.Pool{{Name: "p"}, {Name: "off", Spare: true}}, nil))
			f.advance(planInterval)
			f.core.Schedule(f.now)
			commands := f.instanceCommands()
			qt.Assert(t, commands, qt.Not(qt.HasLen), 0)
			for _, cmd := range commands {
				qt.Assert(t, cmd.Pool, qt.Equals, "p")
			}
		})
	}
}

// TestChangedQueue guards against jobs that keep to the queue of an earlier configuration.
func TestChangedQueue(t *testing.T) {
	queue := func(attempts int) []catalog.Queue {
		return []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: attempts, Stretch: 1.6, BaseTarget: 600 * time.Millisecond}}
	}
	tests := map[string]struct {
		// changes are the queues of the configurations that come into force while the first run is on its worker.
		changes [][]catalog.Queue
		want    int
	}{
		"more attempts":  {[][]catalog.Queue{queue(4)}, 4},
		"fewer attempts": {[][]catalog.Queue{queue(1)}, 1},
		"removed":        {[][]catalog.Queue{nil}, 3},
		"back again":     {[][]catalog.Queue{nil, queue(4)}, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Attempts: 3, Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 1000}, Estimate: time.Second}}})
			starts := 0
			for commands := r.pass(); len(startsOf(commands)) > 0; commands = r.pass() {
				starts++
				r.accept(commands)
				if starts == 1 {
					for i, queues := range test.changes {
						r.core.SetCatalog(catalog.New(uint64(i+2), 0, queues, []catalog.Pool{{Name: "p"}}, nil))
						r.advance(replanInterval)
						r.schedule()
					}
				}
				r.finish("w1", worker.ExitFailed)
				r.reply("w1")
				r.advance(time.Second)
				r.reply("w1")
			}
			qt.Assert(t, starts, qt.Equals, test.want)
			state, _ := r.core.JobState("a")
			qt.Assert(t, state, qt.Equals, work.Failed)
		})
	}
}
