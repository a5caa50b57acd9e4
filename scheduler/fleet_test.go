package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/workers/throttling"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// fleetRig is a rig whose workers run on instances. It has a spare pool.
type fleetRig struct {
	*rig
	instances map[string]instance.Instance
}

// newFleetRig has the instances "m-w1" and so on for the workers of pool p, and spare instances "s1" and so on that are switched off.
func newFleetRig(t *testing.T, workers, spare int) *fleetRig {
	var ids []string
	for i := range workers {
		ids = append(ids, fmt.Sprint("w", i+1))
	}
	f := &fleetRig{rig: newRig(t, 1, ids...), instances: make(map[string]instance.Instance)}
	f.core.SetCatalog(catalog.New(2, 0, []catalog.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond},
	}, []catalog.Pool{{Name: "p"}, {Name: "off", Spare: true}}, nil))
	capacity := work.Resources{CPU: 4000, Memory: 4000}
	for _, id := range ids {
		f.instances["m-"+id] = instance.Instance{ID: "m-" + id, Pool: "p", Worker: id, Capacity: capacity}
	}
	for i := range spare {
		id := fmt.Sprint("s", i+1)
		f.instances[id] = instance.Instance{ID: id, Pool: "off", Capacity: capacity}
	}
	f.listInstances()
	return f
}

// listInstances gives the core a current list of all instances.
func (f *fleetRig) listInstances() {
	list := make([]instance.Instance, 0, len(f.instances))
	for _, inst := range f.instances {
		list = append(list, inst)
	}
	f.core.SetInstances(list, f.now)
}

// instanceCommands plans, stores and returns the commands for instances.
func (f *fleetRig) instanceCommands() []InstanceCommand {
	f.core.TakeInstanceCommands()
	f.store()
	f.core.fleet.plannedAt = f.now
	return f.core.TakeInstanceCommands()
}

// acceptInstances makes the platform accept instance commands.
func (f *fleetRig) acceptInstances(commands []InstanceCommand) {
	for _, cmd := range commands {
		f.core.HandleInstanceReply(cmd, instance.Accepted, nil)
	}
}

// TestMoveOnArrivals guards against a pool that grows only after its backlog is late.
func TestMoveOnArrivals(t *testing.T) {
	f := newFleetRig(t, 3, 5)
	qt.Assert(t, f.instanceCommands(), qt.HasLen, 0)
	f.advance(planInterval)
	for i := range 8 {
		f.core.AddJob(work.Job{ID: fmt.Sprint("j", i), Queue: "q", Pool: "p", Steps: []work.Step{
			{Count: 4, Request: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second},
		}}, nil, 0)
	}
	f.listInstances()
	moved := f.instanceCommands()
	qt.Assert(t, moved, qt.HasLen, 5)
	for _, cmd := range moved {
		qt.Assert(t, cmd.Pool, qt.Equals, "p")
		qt.Assert(t, cmd.Wave, qt.Equals, 0)
	}
}

// TestMoveRate guards against a surge of a large pool whose instances arrive only after it has passed, because the number of moves in
// progress does not grow with the fleet, and against more commands than the platform accepts.
func TestMoveRate(t *testing.T) {
	const spare, rate = 400, 600
	f := newFleetRig(t, 3, spare)
	f.core.options.InstanceCommandRate = rate
	for i := range 800 {
		f.core.AddJob(work.Job{ID: fmt.Sprint("j", i), Queue: "q", Pool: "p", Steps: []work.Step{
			{Count: 8, Request: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second},
		}}, nil, 0)
	}
	moved := 0
	for range int(time.Second / planInterval) {
		f.advance(planInterval)
		f.listInstances()
		var commands []InstanceCommand
		// Several batches are stored between two plans.
		for range 4 {
			commands = append(commands, f.instanceCommands()...)
		}
		for _, cmd := range commands {
			inst := f.instances[cmd.Instance]
			inst.Pool, inst.State = cmd.Pool, instance.Moving
			f.instances[cmd.Instance] = inst
		}
		f.acceptInstances(commands)
		moved += len(commands)
	}
	qt.Assert(t, moved >= rate/2, qt.IsTrue, qt.Commentf("%d moves in a second", moved))
	qt.Assert(t, moved <= rate, qt.IsTrue, qt.Commentf("%d moves in a second", moved))
}

// TestSwitchOff guards against idle instances that stay on and cost money, against a pool that becomes too small, and
// against one that shrinks before anything is known about its demand.
func TestSwitchOff(t *testing.T) {
	f := newFleetRig(t, 5, 0)
	var moved []InstanceCommand
	for i := range 60 {
		if i == 30 {
			qt.Assert(t, moved, qt.HasLen, 0)
			f.addSteps("a", 1)
			f.core.Cancel("a")
		}
		f.advance(planInterval)
		for i := range 5 {
			f.reply(fmt.Sprint("w", i+1))
		}
		f.listInstances()
		moved = append(moved, f.instanceCommands()...)
	}
	qt.Assert(t, moved, qt.HasLen, 5-minInstances)
	for _, cmd := range moved {
		qt.Assert(t, cmd.Pool, qt.Equals, "off")
	}
}

// TestWaveLimit guards against more instances of a wave in maintenance than it allows, against maintenance of an instance
// that runs tasks, and against a wave that counts as finished too early.
func TestWaveLimit(t *testing.T) {
	f := newFleetRig(t, 4, 0)
	f.addSteps("a", 4)
	f.accept(f.pass())
	busy := f.core.jobs["a"].open[0].steps[0].tasks[0].runs[0].worker.report.ID
	f.core.AddWave(instance.Wave{Number: 1, Instances: []string{"m-w1", "m-w2", "m-w3", "m-w4"}, MaxDuration: time.Second, MaxUnavailable: 1}, nil)
	var begun []string
	for range 40 {
		f.advance(200 * time.Millisecond)
		for i := range 4 {
			id := fmt.Sprint("w", i+1)
			if _, ok := f.core.workers[id]; ok {
				f.reply(id)
			}
		}
		f.listInstances()
		for _, cmd := range f.instanceCommands() {
			if cmd.Wave == 0 {
				continue
			}
			qt.Assert(t, cmd.Instance, qt.Not(qt.Equals), "m-"+busy)
			down := 0
			for _, inst := range f.instances {
				if inst.State == instance.InMaintenance {
					down++
				}
			}
			qt.Assert(t, down, qt.Equals, 0)
			begun = append(begun, cmd.Instance)
			f.acceptInstances([]InstanceCommand{cmd})
			inst := f.instances[cmd.Instance]
			inst.State, inst.Worker = instance.InMaintenance, ""
			f.instances[cmd.Instance] = inst
			f.register()
		}
		// The instance in maintenance is up again after two seconds.
		if len(begun) > 0 && f.now-f.core.fleet.waves[1].acceptedAt[begun[len(begun)-1]] > 2*time.Second {
			inst := f.instances[begun[len(begun)-1]]
			inst.State = instance.Up
			f.instances[inst.ID] = inst
		}
	}
	qt.Assert(t, len(begun), qt.Equals, 3)
	qt.Assert(t, f.core.fleet.waves[1].finished, qt.IsFalse)
}

// TestWaveBesideMoves guards against a wave that falls behind because instances that move after their maintenance count as
// still in it, and against too many in maintenance while the outcome of a command is unknown.
func TestWaveBesideMoves(t *testing.T) {
	f := newFleetRig(t, 4, 0)
	f.core.AddWave(instance.Wave{Number: 1, Instances: []string{"m-w1", "m-w2", "m-w3", "m-w4"}, MaxDuration: time.Second, MaxUnavailable: 1}, nil)
	next := func() []InstanceCommand {
		f.advance(200 * time.Millisecond)
		for id := range f.core.workers {
			f.reply(id)
		}
		f.listInstances()
		return f.instanceCommands()
	}
	first := next()
	qt.Assert(t, first, qt.HasLen, 1)
	f.acceptInstances(first)
	inst := f.instances[first[0].Instance]
	inst.State = instance.InMaintenance
	f.instances[inst.ID] = inst
	qt.Assert(t, next(), qt.HasLen, 0)
	inst.State = instance.Moving
	f.instances[inst.ID] = inst
	second := next()
	qt.Assert(t, second, qt.HasLen, 1)
	f.core.HandleInstanceReply(second[0], instance.Unknown, nil)
	// The command is repeated. No other instance is commanded before a list shows whether it was carried out.
	for range 8 {
		for _, cmd := range next() {
			qt.Assert(t, cmd.Instance, qt.Equals, second[0].Instance)
		}
	}
}

// TestWaveAfterTakeover guards against a new leader that counts the time of a wave from the start of its own term.
func TestWaveAfterTakeover(t *testing.T) {
	first := newFleetRig(t, 4, 0)
	doc := instance.Wave{Number: 1, Instances: []string{"m-w1", "m-w2", "m-w3", "m-w4"}, MaxDuration: 20 * time.Second, MaxUnavailable: 4}
	first.core.AddWave(doc, nil)
	stored := first.core.TakeBatch(100).Waves[1]
	second := newFleetRig(t, 4, 0)
	second.advance(12 * time.Second)
	second.core.AddWave(doc, &stored)
	qt.Assert(t, second.core.fleet.waves[1].since, qt.Equals, first.now)
	qt.Assert(t, second.core.waveParallelism(second.core.fleet.waves[1], 4), qt.Equals, 4)
}

// TestNoReleaseDuringRise guards against instances that are switched off at the onset of a surge, while the pool still has too many.
func TestNoReleaseDuringRise(t *testing.T) {
	f := newFleetRig(t, 6, 0)
	released := 0
	for i := range 60 {
		f.advance(planInterval)
		for k := range 6 {
			f.reply(fmt.Sprint("w", k+1))
		}
		if i == 0 || i >= 8 {
			f.addJob(work.Job{ID: fmt.Sprint("j", i), Queue: "q", Pool: "p", Steps: []work.Step{
				{Count: 1, Request: work.Resources{CPU: 100, Memory: 100}, Estimate: 100 * time.Millisecond},
			}})
			f.core.Cancel(fmt.Sprint("j", i))
		}
		f.listInstances()
		released += len(f.instanceCommands())
		if i == 18 {
			qt.Assert(t, released, qt.Equals, 0)
		}
	}
	qt.Assert(t, released, qt.Equals, 6-minInstances)
}

// TestUnreachableDataCentre guards against a pool that counts unreachable workers as capacity while instances elsewhere are
// switched off, and against moves to instances in a data centre that is unreachable.
func TestUnreachableDataCentre(t *testing.T) {
	f := newFleetRig(t, 4, 6)
	for id, inst := range f.instances {
		inst.DataCentre = "far"
		if id == "m-w1" || id == "s4" || id == "s5" || id == "s6" {
			inst.DataCentre = "near"
		}
		f.instances[id] = inst
	}
	moved := make(map[string]bool)
	for i := range 30 {
		if i == 20 {
			for k := range 6 {
				f.core.AddJob(work.Job{ID: fmt.Sprint("j", k), Queue: "q", Pool: "p", Steps: []work.Step{
					{Count: 4, Request: work.Resources{CPU: 1000, Memory: 100}, Estimate: 4 * time.Second},
				}}, nil, 0)
			}
		}
		f.advance(planInterval)
		f.reply("w1")
		f.listInstances()
		for _, cmd := range f.instanceCommands() {
			moved[cmd.Instance] = true
		}
	}
	qt.Assert(t, moved, qt.DeepEquals, map[string]bool{"s4": true, "s5": true, "s6": true})
}

// TestThrottle guards against a best-effort task that keeps disturbing a service that is over its latency target.
func TestThrottle(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{
		{Count: 1, Request: work.Resources{CPU: 100}, Service: true, TailLatencyTarget: 100 * time.Millisecond},
		{Count: 1, Request: work.Resources{CPU: 100}, Service: true, BestEffort: true},
	}})
	r.accept(r.pass())
	report := func(tail int64) (percents []int) {
		r.advance(throttling.Interval + time.Millisecond)
		for i := range r.runs["w1"] {
			if r.runs["w1"][i].Task.Step == 0 {
				r.runs["w1"][i].Load = tail
			}
		}
		r.reply("w1")
		for _, cmd := range r.schedule() {
			if cmd.Kind == CommandThrottle {
				percents = append(percents, cmd.Run.SpeedPercent)
				r.core.HandleReply(cmd, worker.Reply{Clock: r.now}, r.now, nil)
			}
		}
		return percents
	}
	qt.Assert(t, report(50), qt.HasLen, 0)
	qt.Assert(t, report(150), qt.DeepEquals, []int{0})
	qt.Assert(t, report(80), qt.HasLen, 0)
	qt.Assert(t, report(20), qt.DeepEquals, []int{throttling.Step})
}

// TestMoveOnShrunkCapacity guards against a pool that does not grow although the capacity of its workers has shrunk below its demand.
func TestMoveOnShrunkCapacity(t *testing.T) {
	tests := map[string]struct {
		tasks  int
		shrunk []string
		// listed means that the list of instances shows the present capacity, too.
		listed bool
		want   int
	}{
		"full capacity":                 {8, nil, false, 0},
		"one worker has shrunk":         {8, []string{"w1"}, false, 1},
		"all workers have shrunk":       {8, []string{"w1", "w2", "w3"}, false, 2},
		"list shows it":                 {8, []string{"w1", "w2", "w3"}, true, 2},
		"shrunk, but enough for demand": {2, []string{"w1", "w2", "w3"}, false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleetRig(t, 3, 5)
			f.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: test.tasks, Request: work.Resources{CPU: 1000}, Service: true}}})
			f.advance(planInterval)
			f.listInstances()
			qt.Assert(t, f.instanceCommands(), qt.HasLen, 0)
			f.accept(f.pass())
			var reports []worker.Report
			for _, id := range []string{"w1", "w2", "w3"} {
				capacity := coresOnly(4)
				if slices.Contains(test.shrunk, id) {
					capacity = coresOnly(1)
				}
				reports = append(reports, rigReport(id, capacity))
				if test.listed {
					inst := f.instances["m-"+id]
					inst.Capacity = capacity
					f.instances["m-"+id] = inst
				}
			}
			f.core.SetWorkers(reports)
			f.advance(planInterval)
			f.listInstances()
			moved := f.instanceCommands()
			qt.Assert(t, moved, qt.HasLen, test.want)
			f.acceptInstances(moved)
			f.advance(planInterval)
			qt.Assert(t, f.instanceCommands(), qt.HasLen, 0)
		})
	}
}

// TestWaveWithFailedInstance guards against an instance that never accepts its maintenance and keeps the other instances of its wave
// waiting, and against a wave that is finished without it.
func TestWaveWithFailedInstance(t *testing.T) {
	const failed = "m-w1"
	for _, outcome := range []instance.Outcome{instance.Busy, instance.Unknown} {
		t.Run(outcome.String(), func(t *testing.T) {
			f := newFleetRig(t, 4, 0)
			f.core.AddWave(instance.Wave{Number: 1, Instances: []string{failed, "m-w2", "m-w3", "m-w4"}, MaxDuration: time.Second, MaxUnavailable: 1}, nil)
			commands := make(map[string]int)
			for end := f.now + time.Minute; f.now < end; {
				f.advance(200 * time.Millisecond)
				for id := range f.core.workers {
					f.reply(id)
				}
				f.listInstances()
				for _, cmd := range f.instanceCommands() {
					commands[cmd.Instance]++
					if cmd.Instance == failed {
						f.core.HandleInstanceReply(cmd, outcome, nil)
						continue
					}
					f.acceptInstances([]InstanceCommand{cmd})
					inst := f.instances[cmd.Instance]
					inst.Worker = ""
					f.instances[inst.ID] = inst
				}
			}
			qt.Assert(t, len(commands), qt.Equals, 4, qt.Commentf("%v", commands))
			qt.Assert(t, commands[failed] <= 10, qt.IsTrue, qt.Commentf("%v", commands))
			qt.Assert(t, f.core.fleet.waves[1].finished, qt.IsFalse)
		})
	}
}
