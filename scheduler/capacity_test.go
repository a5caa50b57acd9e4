package scheduler

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// coresOnly returns the capacity of a worker with the memory of the rig's workers.
func coresOnly(n int64) work.Resources { return work.Resources{CPU: 1000 * n, Memory: 4000} }

// TestStartOnShrunkWorker guards against a start that brings a worker over its capacity, which has shrunk since the run was planned.
func TestStartOnShrunkWorker(t *testing.T) {
	tests := map[string]struct {
		before, after work.Resources
		step          work.Step
		want          int
	}{
		"same capacity":     {coresOnly(4), coresOnly(4), work.Step{Count: 2, Request: work.Resources{CPU: 1000}}, 2},
		"room for one":      {coresOnly(4), coresOnly(1), work.Step{Count: 2, Request: work.Resources{CPU: 1000}}, 1},
		"no room":           {coresOnly(4), work.Resources{}, work.Step{Count: 2, Request: work.Resources{CPU: 1000}}, 0},
		"memory":            {coresOnly(4), work.Resources{CPU: 4000, Memory: 100}, work.Step{Count: 2, Request: work.Resources{CPU: 1000, Memory: 100}}, 1},
		"best effort":       {coresOnly(4), work.Resources{CPU: 4000, Memory: 100}, work.Step{Count: 2, Request: work.Resources{CPU: 1000, Memory: 100}, BestEffort: true}, 1},
		"no part of a gang": {coresOnly(4), coresOnly(1), work.Step{Count: 2, Request: work.Resources{CPU: 1000}, Gang: true}, 0},
		"grown":             {coresOnly(4), coresOnly(8), work.Step{Count: 2, Request: work.Resources{CPU: 1000}}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			r.setCapacity(test.before, "w1")
			r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{test.step}})
			r.schedule()
			r.setCapacity(test.after, "w1")
			r.store()
			commands := r.core.TakeCommands()
			qt.Assert(t, startsOf(commands), qt.HasLen, test.want)
			qt.Assert(t, countStops(commands), qt.Equals, 0)
		})
	}
}

// TestGangOnShrunkWorker guards against members of a gang that start although another one has lost its room.
func TestGangOnShrunkWorker(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 6, Request: work.Resources{CPU: 1000}, Gang: true}}})
	r.schedule()
	r.core.SetWorkers([]worker.Report{rigReport("w1", coresOnly(4)), rigReport("w2", coresOnly(1))})
	r.store()
	qt.Assert(t, r.core.TakeCommands(), qt.HasLen, 0)
	r.register("w1", "w2")
	r.advance(gangPause)
	r.reply("w1")
	r.reply("w2")
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 6)
}

// TestRepeatedStartOnShrunkWorker guards against an unanswered start that is repeated although the worker has lost its room meanwhile.
func TestRepeatedStartOnShrunkWorker(t *testing.T) {
	tests := map[string]struct {
		enforces bool
		after    work.Resources
		starts   int
		stops    int
	}{
		"same capacity":         {false, coresOnly(4), 1, 0},
		"no room":               {false, coresOnly(1), 0, 1},
		"the worker rejects it": {true, coresOnly(1), 1, 0},
		"no capacity":           {false, work.Resources{}, 0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			r.core.SetCatalog(catalog.New(2, 0, []catalog.Queue{{Name: "q", Pool: "p", Attempts: 2}}, []catalog.Pool{{Name: "p", EnforcesCapacity: test.enforces}}, nil))
			r.addSteps("a", 2)
			commands := r.pass()
			r.accept(commands[:1])
			r.setCapacity(test.after, "w1")
			r.core.HandleReply(commands[1], worker.Reply{Outcome: worker.Unknown}, r.now, nil)
			again := r.schedule()
			qt.Assert(t, startsOf(again), qt.HasLen, test.starts)
			qt.Assert(t, countStops(again), qt.Equals, test.stops)
		})
	}
}

// TestRunOfEndedJobTakesRoom guards against a start beside a run of an ended job that is being stopped and still takes up room.
func TestRunOfEndedJobTakesRoom(t *testing.T) {
	tests := map[string]struct {
		enforces bool
		want     int
	}{
		"the worker does not guard its capacity": {false, 0},
		"the worker guards its capacity":         {true, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, "w1")
			r.core.SetCatalog(catalog.New(2, 0, []catalog.Queue{{Name: "q", Pool: "p", Attempts: 2}}, []catalog.Pool{{Name: "p", EnforcesCapacity: test.enforces}}, nil))
			r.core.AddJob(work.Job{ID: "ended", Queue: "q", Pool: "p", EndState: work.Cancelled}, nil, 0)
			r.runs["w1"] = []worker.Run{{Task: work.Task{Job: "ended"}, Number: 1}}
			r.reply("w1")
			r.addSteps("a", 1)
			qt.Assert(t, startsOf(r.pass()), qt.HasLen, test.want)
			r.finish("w1", worker.ExitStopped)
			r.advance(replanInterval)
			r.reply("w1")
			qt.Assert(t, startsOf(r.pass()), qt.HasLen, 1-test.want)
		})
	}
}
