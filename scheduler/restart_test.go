package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/jobs/crashloop"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

const rigNextIncarnation = rigIncarnation + 1

// restart makes a worker answer a renewal after it has restarted.
func (r *rig) restart(id string) {
	for range 2 {
		r.core.HandleStatus(r.callTo(id), worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: rigNextIncarnation}, Running: r.runs[id]}, r.now, nil)
		r.core.Renewal(id)
	}
}

// restartedReport is the registry entry of a worker that has restarted with one core.
func restartedReport(id string) worker.Report {
	report := rigReport(id, coresOnly(1))
	report.Incarnation = rigNextIncarnation
	return report
}

// TestRestartBeforeRegistry guards against tasks that start on a worker by the labels and the capacity of its earlier life, because it
// answers before the registry shows that it has restarted.
func TestRestartBeforeRegistry(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.restart("w1")
	r.addSteps("a", 2)
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	r.register("w1")
	r.restart("w1")
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	r.core.SetWorkers([]worker.Report{restartedReport("w1")})
	r.advance(replanInterval)
	qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"a 0.0.0 1 w1"})
}

// TestRunAfterRestart guards against a second run of a task: the first one, on a worker that has restarted, was taken as lost with each
// old registry entry of that worker.
func TestRunAfterRestart(t *testing.T) {
	r := newRig(t, 2, "w1", "w2")
	r.addSteps("a", 1)
	r.runs["w1"] = []worker.Run{{Task: work.Task{Job: "a"}, Number: 1}}
	r.restart("w1")
	for range 3 {
		r.advance(200 * time.Millisecond)
		r.register("w1", "w2")
		r.reply("w2")
		qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
		r.restart("w1")
	}
}

// TestRegistryBeforeReply guards against a second run of a task whose start reaches the next life of a worker, if the registry shows that
// life before the worker answers.
func TestRegistryBeforeReply(t *testing.T) {
	outcomes := map[string]worker.Outcome{"start was not answered": worker.Unknown, "new life has the run": worker.Accepted}
	for name, outcome := range outcomes {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1", "w2")
			r.addSteps("a", 1)
			commands := r.pass()
			qt.Assert(t, startsOf(commands), qt.DeepEquals, []string{"a 0.0.0 1 w1"})
			r.core.HandleReply(commands[0], worker.Reply{Outcome: outcome}, r.now, nil)
			r.schedule()
			r.core.SetWorkers([]worker.Report{restartedReport("w1"), rigReport("w2", coresOnly(4))})
			qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
			if outcome == worker.Accepted {
				r.runs["w1"] = []worker.Run{{Task: work.Task{Job: "a"}, Number: 1}}
			}
			r.restart("w1")
			after := r.pass()
			qt.Assert(t, startsOf(after), qt.HasLen, 0)
			r.advance(restartPause)
			r.reply("w2")
			again := startsOf(r.pass())
			if outcome == worker.Accepted {
				qt.Assert(t, again, qt.HasLen, 0)
				return
			}
			qt.Assert(t, countStops(after) > 0, qt.IsTrue)
			qt.Assert(t, again, qt.DeepEquals, []string{"a 0.0.0 2 w2"})
		})
	}
}

// TestUnansweredStartsAreForgotten guards against memory that grows with each start that is sent again.
func TestUnansweredStartsAreForgotten(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	commands := r.pass()
	for range 100 {
		for _, cmd := range commands {
			r.core.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
		}
		ws := r.core.workers["w1"]
		if run := ws.runs[work.Task{Job: "a"}]; run != nil {
			r.core.recordUnansweredStart(run)
		}
		// Each run takes more than a second, and has one entry until its start cannot arrive any more.
		runs := make(map[int]bool)
		for _, s := range ws.unansweredStarts {
			qt.Assert(t, runs[s.Run], qt.IsFalse)
			runs[s.Run] = true
		}
		qt.Assert(t, len(runs) <= int(maxCommandDelay/startAnswerTimeout)+1, qt.IsTrue, qt.Commentf("%d", len(runs)))
		r.advance(time.Second)
		r.reply("w1")
		commands = r.schedule()
	}
}

// TestRestartUnderLastingTask guards against a job that is given up because restarts of its workers count as crashes just after its starts.
func TestRestartUnderLastingTask(t *testing.T) {
	r := newRig(t, 1, "w1")
	j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(1), Service: true}}})
	r.accept(r.pass())
	r.advance(2500 * time.Millisecond)
	r.reply("w1")
	r.runs["w1"] = nil
	r.core.HandleStatus(r.callTo("w1"), worker.Status{Reply: worker.Reply{Clock: 10 * time.Millisecond, Incarnation: rigNextIncarnation}}, r.now, nil)
	qt.Assert(t, j.open[0].steps[0].crashCount(0), qt.Equals, crashloop.Count{})
}
