package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestArrivalsLost guards against a spare pool that is emptied into a pool whose instances die on arrival, and against a pool that
// does not grow because some of them do.
func TestArrivalsLost(t *testing.T) {
	const (
		present, spare = 3, 400
		moveDuration   = 1500 * time.Millisecond
	)
	tests := map[string]struct {
		// lifetime is how long the worker of the instance that arrives as the nth answers.
		lifetime func(n int) time.Duration
		// delay is how long workers take to answer at first.
		delay    time.Duration
		duration time.Duration
		minMoves int
		maxMoves int
		// lost means that no instance has survived.
		lost bool
	}{
		"all live":                {func(int) time.Duration { return time.Hour }, 0, 5 * time.Second, 5, 5, false},
		"none answers":            {func(int) time.Duration { return 0 }, 0, 2 * time.Minute, 10, 25, true},
		"all die after a second":  {func(int) time.Duration { return time.Second }, 0, 2 * time.Minute, 10, 25, true},
		"every second one dies":   {func(n int) time.Duration { return time.Duration(n%2) * time.Hour }, 0, 30 * time.Second, 9, 20, false},
		"the first twenty die":    {func(n int) time.Duration { return time.Duration(n/20) * time.Hour }, 0, 2 * time.Minute, 24, 25, false},
		"the first fourteen die":  {func(n int) time.Duration { return time.Duration(n/14) * time.Hour }, 0, 30 * time.Second, 18, 20, false},
		"all answer late":         {func(int) time.Duration { return time.Hour }, 3 * time.Second, 30 * time.Second, 10, 40, false},
		"one of a group survives": {func(n int) time.Duration { return time.Duration(n%5/4) * time.Hour }, 0, time.Minute, 15, 40, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleetRig(t, present, spare)
			f.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 25, Request: work.Resources{CPU: 1000}, Service: true}}})
			var moved []string
			arrivedAt := make(map[string]time.Duration)
			alive := func(i int) bool {
				age := f.now - arrivedAt[moved[i]]
				return age >= test.delay && age < test.lifetime(i)
			}
			for end := f.now + test.duration; f.now < end; {
				f.advance(planInterval)
				var reports []worker.Report
				var answering []string
				for i := range present {
					id := fmt.Sprint("w", i+1)
					reports, answering = append(reports, rigReport(id, coresOnly(4))), append(answering, id)
				}
				for i, id := range moved {
					inst := f.instances[id]
					if f.now >= arrivedAt[id] {
						inst.State, inst.Worker = instance.Up, "w-"+id
						reports = append(reports, rigReport(inst.Worker, coresOnly(4)))
						if alive(i) {
							answering = append(answering, inst.Worker)
						}
					}
					f.instances[id] = inst
				}
				f.core.SetWorkers(reports)
				for _, id := range answering {
					f.reply(id)
				}
				f.listInstances()
				for _, cmd := range f.instanceCommands() {
					inst := f.instances[cmd.Instance]
					inst.Pool, inst.State = cmd.Pool, instance.Moving
					f.instances[cmd.Instance] = inst
					arrivedAt[cmd.Instance] = f.now + moveDuration
					moved = append(moved, cmd.Instance)
					f.acceptInstances([]InstanceCommand{cmd})
				}
			}
			qt.Assert(t, len(moved) >= test.minMoves && len(moved) <= test.maxMoves, qt.IsTrue, qt.Commentf("%d moves", len(moved)))
			qt.Assert(t, f.core.fleet.joining.LossyPools() > 0, qt.Equals, test.lost)
		})
	}
}
