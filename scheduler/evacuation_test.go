package scheduler

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/datacentres/evacuation"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// evacuationRig is a rig whose workers are in the data centre of the first letter of their ID.
type evacuationRig struct {
	*rig
	ids []string
	// stopTime is how long a worker takes to stop a task, and stops holds those under way.
	stopTime time.Duration
	stops    []delayedStop
}

type delayedStop struct {
	at  time.Duration
	cmd Command
}

var oneCore = work.Resources{CPU: 1000, Memory: 100}

func newEvacuationRig(t *testing.T, term int, ids ...string) *evacuationRig {
	r := &evacuationRig{rig: newRig(t, term), ids: ids}
	r.list(ids...)
	r.replyAll()
	return r
}

// list sets the workers in the registry.
func (r *evacuationRig) list(ids ...string) {
	var reports []worker.Report
	for _, id := range ids {
		report := rigReport(id, work.Resources{CPU: 4000, Memory: 4000})
		report.DataCentre = id[:1]
		reports = append(reports, report)
	}
	r.ids = ids
	r.core.SetWorkers(reports)
}

func (r *evacuationRig) replyAll() {
	for _, id := range r.ids {
		r.reply(id)
	}
}

func (r *evacuationRig) evacuate(dataCentres ...string) {
	r.core.SetEvacuations(evacuation.NewSet(r.now, dataCentres...))
}

// play lets time pass with workers that carry out all commands, and returns these.
func (r *evacuationRig) play(d time.Duration) (commands []Command) {
	for end := r.now + d; r.now < end; {
		r.advance(50 * time.Millisecond)
		r.stops = slices.DeleteFunc(r.stops, func(s delayedStop) bool {
			if r.now >= s.at {
				r.stop(s.cmd)
			}
			return r.now >= s.at
		})
		r.replyAll()
		got := r.schedule()
		r.core.TakeInstanceCommands()
		r.store()
		got = append(got, r.schedule()...)
		r.accept(got)
		for _, cmd := range got {
			if cmd.Kind == CommandStop {
				r.stops = append(r.stops, delayedStop{at: r.now + r.stopTime, cmd: cmd})
			}
		}
		commands = append(commands, got...)
	}
	return commands
}

// stop makes a worker carry out a stop.
func (r *evacuationRig) stop(cmd Command) {
	id := cmd.Target.ID
	r.runs[id] = slices.DeleteFunc(r.runs[id], func(run worker.Run) bool { return run.Task == cmd.Run.Task })
	r.exits[id] = append(r.exits[id], worker.Exit{Seq: uint64(len(r.exits[id]) + 1), Task: cmd.Run.Task, Number: cmd.Run.Run, Reason: worker.ExitStopped, Checkpoint: "c"})
}

// runsIn counts the runs at work in a data centre.
func (r *evacuationRig) runsIn(dataCentre string) (n int) {
	for id, runs := range r.runs {
		if id[:1] == dataCentre {
			n += len(runs)
		}
	}
	return n
}

func startsIn(commands []Command, dataCentre string) (starts []string) {
	for _, cmd := range commands {
		if cmd.Kind == CommandStart && cmd.Target.ID[:1] == dataCentre {
			starts = append(starts, startsOf([]Command{cmd})...)
		}
	}
	return starts
}

// TestNoStartInEvacuatedDataCentre guards against a task that starts in an evacuated data centre: one that was planned before, whose batch
// is stored later, whose start waits for the leadership to be confirmed or has got no answer, on a worker that has just joined, or that has
// waited for so long that it starts on workers that are avoided.
func TestNoStartInEvacuatedDataCentre(t *testing.T) {
	tests := map[string]func(r *evacuationRig){
		"new job": func(r *evacuationRig) {
			r.evacuate("a")
			r.addSteps("j", 4)
		},
		"planned run": func(r *evacuationRig) {
			r.addSteps("j", 4)
			r.schedule()
			r.evacuate("a")
		},
		"batch on its way": func(r *evacuationRig) {
			r.addSteps("j", 4)
			r.schedule()
			b := r.core.TakeBatch(100)
			r.evacuate("a")
			r.core.BatchStored(b)
		},
		"start that is not sent": func(r *evacuationRig) {
			r.addSteps("j", 4)
			r.schedule()
			r.store()
			r.evacuate("a")
		},
		"batch is lost": func(r *evacuationRig) {
			r.addSteps("j", 4)
			r.schedule()
			b := r.core.TakeBatch(100)
			r.evacuate("a")
			r.core.BatchFailed(b)
		},
		"store is down": func(r *evacuationRig) {
			r.addSteps("k", 1)
			r.accept(r.pass())
			r.addSteps("j", 4)
			r.schedule()
			r.evacuate("a")
			r.advance(2 * outageAfter)
			qt.Assert(r.t, startsIn(r.schedule(), "a"), qt.HasLen, 0)
		},
		"unanswered start": func(r *evacuationRig) {
			r.addSteps("j", 4)
			sent := r.pass()
			qt.Assert(r.t, startsOf(sent), qt.HasLen, 4)
			r.evacuate("a")
			for _, cmd := range sent {
				r.core.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
			}
		},
		"unanswered start that waits to be repeated": func(r *evacuationRig) {
			r.addSteps("j", 4)
			for _, cmd := range r.pass() {
				r.core.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
			}
			r.evacuate("a")
		},
		"start that was overtaken": func(r *evacuationRig) {
			r.addSteps("j", 4)
			sent := r.pass()
			r.evacuate("a")
			for _, cmd := range sent {
				r.core.HandleReply(cmd, worker.Reply{Outcome: worker.NotSent}, r.now, nil)
			}
		},
		"worker that joins": func(r *evacuationRig) {
			r.evacuate("a")
			r.addSteps("j", 12)
			r.list("a1", "a2", "b1")
		},
		"overdue service": func(r *evacuationRig) {
			r.evacuate("a")
			r.addJob(work.Job{ID: "j", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 6, Request: oneCore, Service: true}}})
		},
		"overdue gang": func(r *evacuationRig) {
			r.evacuate("a")
			r.addJob(work.Job{ID: "j", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 6, Request: oneCore, Service: true, Gang: true}}})
		},
		"planned gang": func(r *evacuationRig) {
			r.addJob(work.Job{ID: "j", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 6, Request: oneCore, Gang: true}}})
			r.schedule()
			r.evacuate("a")
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newEvacuationRig(t, 1, "a1")
			test(r)
			if len(r.ids) == 1 {
				r.list("a1", "b1")
			}
			commands := r.play(8 * time.Second)
			qt.Assert(t, startsIn(commands, "a"), qt.HasLen, 0)
			want := 4
			if s := r.core.jobs["j"].doc.Steps[0]; s.Gang {
				want = 0
			}
			qt.Assert(t, r.runsIn("b"), qt.Equals, want)
			qt.Assert(t, r.core.evacuationRuns()["a"], qt.Equals, r.runsIn("a"))
			r.evacuate()
			r.advance(50 * time.Millisecond)
			if r.core.jobs["j"].open[0].steps[0].idleTasks > 0 {
				qt.Assert(t, len(startsIn(r.pass(), "a")) > 0, qt.IsTrue, qt.Commentf("nothing starts in the pass after the data centre was taken back"))
			}
		})
	}
}

// TestMoveOut guards against runs of an evacuated data centre that are stopped beyond the disruption budget or without a place elsewhere, that
// stay although they have one, and against a gang of which a part is left.
func TestMoveOut(t *testing.T) {
	tests := map[string]struct {
		step work.Step
		// elsewhere are the workers beside a1, on which all tasks start, and left is how many tasks stay there.
		elsewhere []string
		left      int
	}{
		"batch":                    {work.Step{Count: 4}, []string{"b1", "b2"}, 4},
		"batch with checkpoints":   {work.Step{Count: 4, Checkpoints: true}, []string{"b1"}, 0},
		"checkpoints without room": {work.Step{Count: 4, Checkpoints: true}, nil, 4},
		"service":                  {work.Step{Count: 4, Service: true, MaxDisruptions: 1}, []string{"b1"}, 0},
		"service without budget":   {work.Step{Count: 4, Service: true}, []string{"b1"}, 0},
		"best-effort service":      {work.Step{Count: 4, Service: true, BestEffort: true}, []string{"b1"}, 0},
		"service without room":     {work.Step{Count: 4, Service: true}, nil, 4},
		"no more on a worker":      {work.Step{Count: 4, Service: true, MaxPerWorker: 4}, []string{"c1"}, 4},
		"gang":                     {work.Step{Count: 4, Service: true, Gang: true}, []string{"b1"}, 0},
		"gang on two workers":      {work.Step{Count: 4, Service: true, Gang: true, MaxDisruptions: 4}, []string{"b1", "b2"}, 0},
		"gang without budget":      {work.Step{Count: 4, Service: true, Gang: true, MaxDisruptions: 3}, []string{"b1"}, 4},
		"gang without room":        {work.Step{Count: 4, Service: true, Gang: true}, []string{"c1"}, 4},
		"gang with checkpoints":    {work.Step{Count: 4, Gang: true, Checkpoints: true}, []string{"b1"}, 0},
		"gang of a batch":          {work.Step{Count: 4, Gang: true}, []string{"b1"}, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newEvacuationRig(t, 1, "a1")
			test.step.Request, test.step.Estimate = oneCore, time.Second
			r.addJob(work.Job{ID: "j", Queue: "q", Pool: "p", Steps: []work.Step{test.step}})
			r.play(time.Second)
			qt.Assert(t, r.runsIn("a"), qt.Equals, 4)
			r.list(append([]string{"a1"}, test.elsewhere...)...)
			r.replyAll()
			// Workers of the data centre c are evacuated, too.
			r.evacuate("a", "c")
			down, budget := 0, test.step.MaxDisruptions
			for range 200 {
				r.play(50 * time.Millisecond)
				running := r.runsIn("a") + r.runsIn("b")
				down = max(down, 4-running)
				if test.step.Gang {
					qt.Assert(t, running == 0 || running == 4, qt.IsTrue, qt.Commentf("%d members run", running))
				}
			}
			qt.Assert(t, r.runsIn("a"), qt.Equals, test.left)
			qt.Assert(t, r.runsIn("b"), qt.Equals, 4-test.left)
			if budget > 0 {
				qt.Assert(t, down <= budget, qt.IsTrue, qt.Commentf("%d tasks were down", down))
			}
			if test.left == 4 {
				qt.Assert(t, down, qt.Equals, 0)
			}
		})
	}
}

// TestRoomForMovedOut guards against more tasks that are stopped than have room elsewhere, and against waiting jobs that take the room for
// which a task was stopped.
func TestRoomForMovedOut(t *testing.T) {
	for name, step := range map[string]work.Step{"service": {Count: 4, Service: true}, "checkpoints": {Count: 4, Checkpoints: true}} {
		t.Run(name, func(t *testing.T) {
			r := newEvacuationRig(t, 1, "a1")
			r.stopTime = 600 * time.Millisecond
			step.Request = oneCore
			r.addJob(work.Job{ID: "j", Queue: "q", Pool: "p", Steps: []work.Step{step}})
			r.play(time.Second)
			r.evacuate("a")
			r.addJob(work.Job{ID: "k", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 2, Request: oneCore, Service: true}}})
			r.list("a1", "b1")
			r.replyAll()
			r.play(200 * time.Millisecond)
			r.addSteps("others", 8)
			r.play(10 * time.Second)
			qt.Assert(t, r.runsIn("a"), qt.Equals, 2)
			qt.Assert(t, r.core.jobs["j"].open[0].steps[0].idleTasks, qt.Equals, 0)
			qt.Assert(t, r.core.jobs["k"].open[0].steps[0].idleTasks, qt.Equals, 0)
		})
	}
}

// TestInstancesOfEvacuatedDataCentre guards against a pool that gets no replacements for instances of an evacuated data centre, or gets them
// from there, against replacements that are stopped as lost, and against empty instances that stay on.
func TestInstancesOfEvacuatedDataCentre(t *testing.T) {
	f := newFleetRig(t, 4, 8)
	place := func(id, dataCentre string) {
		inst := f.instances[id]
		inst.DataCentre = dataCentre
		f.instances[id] = inst
	}
	for _, id := range []string{"m-w1", "m-w2", "s1", "s2", "s3", "s4"} {
		place(id, "a")
	}
	for _, id := range []string{"m-w3", "m-w4", "s5", "s6", "s7", "s8"} {
		place(id, "b")
	}
	f.addSteps("j", 1)
	f.core.Cancel("j")
	play := func(d time.Duration) (commands []InstanceCommand) {
		for end := f.now + d; f.now < end; {
			f.advance(planInterval)
			for i := range 4 {
				if _, up := f.core.workers[[]string{"w1", "w2", "w3", "w4"}[i]]; up {
					f.reply([]string{"w1", "w2", "w3", "w4"}[i])
				}
			}
			f.listInstances()
			got := f.instanceCommands()
			f.acceptInstances(got)
			for _, cmd := range got {
				inst := f.instances[cmd.Instance]
				inst.Pool, inst.State, inst.Worker = cmd.Pool, instance.Moving, ""
				f.instances[cmd.Instance] = inst
			}
			commands = append(commands, got...)
		}
		return commands
	}
	play(time.Second)
	f.core.SetEvacuations(evacuation.NewSet(f.now, "a"))
	commands := play(3 * time.Second)
	moved := make(map[string]string)
	for _, cmd := range commands {
		moved[cmd.Instance] = cmd.Pool
	}
	// Two of four instances are left of at least three, and those of the evacuated data centre are empty.
	qt.Assert(t, moved, qt.DeepEquals, map[string]string{"s5": "p", "m-w1": "off", "m-w2": "off"})
	// All data centres are evacuated: there is nothing to move.
	f.core.SetEvacuations(evacuation.NewSet(f.now, "a", "b"))
	for _, cmd := range play(time.Second) {
		qt.Assert(t, cmd.Pool, qt.Equals, "off")
	}
	qt.Assert(t, f.core.fleet.joining.LossyPools(), qt.Equals, 0)
}

// TestMoveIntoEvacuatedDataCentre guards against a planned move of an instance of an evacuated data centre into a pool that is sent.
func TestMoveIntoEvacuatedDataCentre(t *testing.T) {
	f := newFleetRig(t, 1, 3)
	for i, id := range []string{"s1", "s2", "s3"} {
		inst := f.instances[id]
		inst.DataCentre = []string{"a", "a", "b"}[i]
		f.instances[id] = inst
	}
	f.listInstances()
	f.advance(planInterval)
	f.core.TakeInstanceCommands()
	qt.Assert(t, f.core.fleet.plannedCommands, qt.HasLen, 2)
	f.core.SetEvacuations(evacuation.NewSet(f.now, "a"))
	f.store()
	f.advance(planInterval)
	f.listInstances()
	commands := f.instanceCommands()
	for _, cmd := range commands {
		qt.Assert(t, cmd.Instance, qt.Equals, "s3")
	}
	qt.Assert(t, f.core.fleet.pendingMoves["s1"], qt.IsNil)
	qt.Assert(t, f.core.fleet.pendingMoves["s2"], qt.IsNil)
}

// readEvacuations tells of an evacuation once it is refreshed.
type readEvacuations struct {
	err error
	set evacuation.Set
}

func (r *readEvacuations) Refresh(context.Context) error {
	r.set = evacuation.NewSet(clock.Now(), "a")
	return r.err
}

func (r *readEvacuations) Evacuations() evacuation.Set { return r.set }

// TestEvacuationAtTakeover guards against a leader that starts tasks before it knows which data centres are evacuated, since its process has
// not read their rows or has its configuration from a peer.
func TestEvacuationAtTakeover(t *testing.T) {
	e, _ := newTestEngine(t, memory.New(), 2)
	e.options.Evacuations = &readEvacuations{}
	qt.Assert(t, e.Start(t.Context()), qt.IsNil)
	defer e.Stop()
	var set evacuation.Set
	qt.Assert(t, e.query(t.Context(), func(c *Core) { set = c.evacuations }), qt.IsNil)
	qt.Assert(t, set.Names(), qt.DeepEquals, []string{"a"})
	e, _ = newTestEngine(t, memory.New(), 2)
	e.options.Evacuations = &readEvacuations{err: errors.New("no answer")}
	qt.Assert(t, e.Start(t.Context()), qt.ErrorMatches, ".*no answer")
	e.Stop()
}

// TestLeaderChangeInEvacuation guards against a new leader that starts again, in the evacuated data centre, what its predecessor had planned
// or started there.
func TestLeaderChangeInEvacuation(t *testing.T) {
	r := newEvacuationRig(t, 1, "a1")
	r.core.SetCatalog(catalog.New(1, 0, []catalog.Queue{{Name: "q", Pool: "p", Attempts: 2, Stretch: 2, BaseTarget: time.Second}}, []catalog.Pool{{Name: "p"}}, nil))
	doc := work.Job{ID: "j", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 4, Request: oneCore}}}
	r.addJob(doc)
	r.schedule()
	r.store()
	progress := r.core.jobs["j"].progress
	next := newEvacuationRig(t, 2)
	next.evacuate("a")
	next.core.SetRoster([]RosterEntry{*r.core.rosterEntry("a1")})
	next.core.AddJob(doc, progress, 0)
	next.list("a1", "b1")
	commands := next.play(15 * time.Second)
	qt.Assert(t, startsIn(commands, "a"), qt.HasLen, 0)
	qt.Assert(t, next.runsIn("b"), qt.Equals, 4)
}
