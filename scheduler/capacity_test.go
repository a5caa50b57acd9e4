package scheduler

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

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

// TestCapacityChanges guards against a start on a worker whose capacity has shrunk below what runs there or is being stopped, against a
// stop of what runs there, and against room that is not used when the capacity has grown again.
func TestCapacityChanges(t *testing.T) {
	type change struct {
		cores         int64
		finished      int
		starts, stops int
	}
	tests := map[string][]change{
		"shrunk and grown again":    {{4, 0, 4, 0}, {2, 0, 0, 0}, {4, 0, 0, 0}, {6, 0, 2, 0}},
		"runs end after the shrink": {{4, 0, 4, 0}, {2, 1, 0, 0}, {2, 1, 0, 0}, {2, 1, 1, 0}, {2, 1, 1, 0}},
		"nothing left":              {{4, 0, 4, 0}, {0, 0, 0, 0}, {0, 4, 0, 0}, {1, 0, 1, 0}},
	}
	for name, changes := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			r.addSteps("a", 20)
			for i, c := range changes {
				r.setCapacity(coresOnly(c.cores), "w1")
				left := r.runs["w1"][c.finished:]
				r.runs["w1"] = r.runs["w1"][:c.finished]
				r.finish("w1", worker.ExitDone)
				r.runs["w1"] = left
				r.advance(replanInterval)
				r.reply("w1")
				commands := r.pass()
				qt.Assert(t, startsOf(commands), qt.HasLen, c.starts, qt.Commentf("change %d", i))
				qt.Assert(t, countStops(commands), qt.Equals, c.stops)
				r.accept(commands)
				r.reply("w1")
			}
		})
	}
}

// TestStoppingRunOnShrunkWorker guards against a start in the room of a run that is being stopped.
func TestStoppingRunOnShrunkWorker(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 4)
	r.accept(r.pass())
	r.addSteps("b", 4)
	r.setCapacity(coresOnly(2), "w1")
	r.core.Cancel("a")
	r.advance(replanInterval)
	r.reply("w1")
	commands := r.pass()
	qt.Assert(t, countStops(commands), qt.Equals, 4)
	qt.Assert(t, startsOf(commands), qt.HasLen, 0)
	r.finish("w1", worker.ExitStopped)
	r.advance(replanInterval)
	r.reply("w1")
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 2)
}

// TestCapacityAfterTakeover guards against a new leader that starts tasks by the capacity that the previous one has stored.
func TestCapacityAfterTakeover(t *testing.T) {
	r := newRig(t, 2)
	r.core.SetRoster([]RosterEntry{{ID: "w1", Pool: "p", Address: "w1:1", Incarnation: rigIncarnation, Capacity: coresOnly(4)}})
	r.addSteps("a", 4)
	r.runs["w1"] = []worker.Run{{Task: work.Task{Job: "a"}, Number: 1}, {Task: work.Task{Job: "a", Index: 1}, Number: 1}}
	r.reply("w1")
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	r.setCapacity(coresOnly(1), "w1")
	r.advance(replanInterval)
	r.reply("w1")
	commands := r.pass()
	qt.Assert(t, startsOf(commands), qt.HasLen, 0)
	qt.Assert(t, countStops(commands), qt.Equals, 0)
	r.setCapacity(coresOnly(3), "w1")
	r.advance(replanInterval)
	r.reply("w1")
	qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"a 0.0.2 1001 w1"})
}

// TestBestEffortOnShrunkWorker guards against a best-effort task on a worker that leaves no capacity over.
func TestBestEffortOnShrunkWorker(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	r.addSteps("a", 6)
	r.accept(r.pass())
	qt.Assert(t, r.runs["w1"], qt.HasLen, 4)
	r.core.SetWorkers([]worker.Report{rigReport("w1", coresOnly(2)), rigReport("w2", coresOnly(4))})
	r.addJob(work.Job{ID: "b", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 2, Request: work.Resources{CPU: 1000, Memory: 100}, BestEffort: true, Service: true}}})
	r.advance(replanInterval)
	qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"b 0.0.0 1 w2", "b 0.0.1 1 w2"})
}

// TestCapacityChangeIsLogged guards against a pool that gets less done for no reason that its operators can see.
func TestCapacityChangeIsLogged(t *testing.T) {
	var log bytes.Buffer
	r := newRig(t, 1, "w1")
	r.core.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
	r.addSteps("a", 4)
	r.accept(r.pass())
	log.Reset()
	r.register("w1")
	qt.Assert(t, log.String(), qt.Equals, "")
	qt.Assert(t, r.core.Counts().Workers, qt.DeepEquals, map[string]int{"inUse": 1})
	r.setCapacity(coresOnly(2), "w1")
	qt.Assert(t, log.String(), qt.Contains, "Capacity of the worker has changed.")
	qt.Assert(t, log.String(), qt.Contains, "reserved=4000")
	qt.Assert(t, r.core.Counts().Workers, qt.DeepEquals, map[string]int{"overcommitted": 1})
}
