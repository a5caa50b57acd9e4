package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/jobs/finishedruns"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
	"github.com/chivetiller/chivetiller/internal/store/snapshot"
	"github.com/chivetiller/chivetiller/internal/workers/throttling"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// learn switches on what is learned of run times.
func (r *rig) learn() {
	r.core.options.Features = serving.Scheduling{LearnedRunTimes: true, WorkerPace: true}
	r.core.learned = finishedruns.New(true, true)
	r.core.snapshots = snapshot.NewSet()
	r.core.learned.Keep(r.core.snapshots)
}

// runJobs runs jobs of one task, which fills a worker, after each other on each of the workers, each for a time.
func (r *rig) runJobs(prefix string, n int, took func(id string) time.Duration, workers ...string) {
	for i := range n {
		for _, id := range workers {
			r.addJob(work.Job{ID: fmt.Sprint(prefix, id, i), Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 4000}, Estimate: time.Second}}})
		}
		r.accept(r.pass())
		begin := r.now
		for done := 0; done < len(workers); {
			r.advance(10 * time.Millisecond)
			for _, id := range workers {
				if len(r.runs[id]) > 0 && r.now-begin >= took(id) {
					r.finish(id, worker.ExitDone)
					done++
				}
				r.reply(id)
			}
			r.accept(r.pass())
			if r.now-begin > time.Minute {
				r.t.Fatal("jobs do not end")
			}
		}
	}
}

func always(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

// TestExpectation guards against a declared estimate that stays in force although all tasks of its queue take three times as long, in the
// expectation, the order and the demand, and against a queue that learns while the switch is off.
func TestExpectation(t *testing.T) {
	for name, on := range map[string]bool{"on": true, "off": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w")
			if on {
				r.learn()
			}
			r.runJobs("j", 40, always(3*time.Second), "w")
			j := r.addSteps("last", 1, 1)
			s := j.open[0].steps[0]
			expected := r.core.expect(s)
			path, coreSeconds := r.core.remainingWork(j.open[0])
			if !on {
				ratio := 1 + 2*(1-math.Pow(0.95, 40))
				qt.Assert(t, math.Abs(expected.Median().Seconds()-ratio) < 0.05, qt.IsTrue, qt.Commentf("%v", expected.Median()))
				qt.Assert(t, expected.Runs(), qt.Equals, 0)
				return
			}
			qt.Assert(t, expected.Runs() >= 30, qt.IsTrue)
			for _, got := range []float64{expected.Median().Seconds() / 3, path.Seconds() / 6, coreSeconds / 6} {
				qt.Assert(t, got > 0.9 && got < 1.15, qt.IsTrue, qt.Commentf("%g of what is right", got))
			}
		})
	}
}

// TestRunBeyondExpectation guards against a job that is taken to end at once because its runs have taken longer than expected.
func TestRunBeyondExpectation(t *testing.T) {
	r := newRig(t, 1, "w")
	r.learn()
	r.runJobs("j", 40, always(time.Second), "w")
	j := r.addSteps("long", 4)
	r.accept(r.pass())
	qt.Assert(t, r.runs["w"], qt.HasLen, 4)
	run := j.open[0].steps[0].tasks[0].runs[0]
	first := r.core.expectedLeft(run, r.core.expect)
	qt.Assert(t, first > 800*time.Millisecond && first < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", first))
	for range 100 {
		r.advance(100 * time.Millisecond)
		r.reply("w")
	}
	left := r.core.expectedLeft(run, r.core.expect)
	qt.Assert(t, left > time.Second, qt.IsTrue, qt.Commentf("%v left", left))
	path, _ := r.core.remainingWork(j.open[0])
	qt.Assert(t, path > 8*time.Second, qt.IsTrue, qt.Commentf("critical path of %v", path))
}

// TestUnknownStarts guards against false knowledge from runs of which this leader does not know how long they took: resumed, adopted or
// started without an answer.
func TestUnknownStarts(t *testing.T) {
	tests := map[string]func(r *rig, j *job){
		"whole":   func(*rig, *job) {},
		"resumed": func(_ *rig, j *job) { j.open[0].steps[0].progress.SetCheckpoint(0, "half") },
		"adopted": func(r *rig, _ *job) {
			r.runs["w"] = []worker.Run{{Task: work.Task{Job: "j"}, Number: 1, SpeedPercent: throttling.FullSpeed}}
		},
		"repeated": func(*rig, *job) {},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w")
			r.learn()
			j := r.addJob(work.Job{ID: "j", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 1000}, Estimate: time.Second, Checkpoints: true}}})
			prepare(r, j)
			r.reply("w")
			commands := r.pass()
			if name == "repeated" {
				// The start is repeated, so that it is not known which command has started the run.
				r.core.HandleReply(commands[0], worker.Reply{Outcome: worker.Unknown}, r.now, nil)
				r.advance(time.Second)
				r.reply("w")
				commands = r.pass()[:1]
			}
			r.accept(commands)
			qt.Assert(t, r.runs["w"], qt.HasLen, 1)
			r.advance(time.Second)
			r.finish("w", worker.ExitDone)
			r.reply("w")
			qt.Assert(t, r.core.counts.Done, qt.Equals, uint64(1))
			e := r.core.expect(j.openOrNew(r).steps[0])
			qt.Assert(t, e.Runs() > 0, qt.Equals, name == "whole")
		})
	}
}

// openOrNew returns the occurrence of another job of the same queue.
func (j *job) openOrNew(r *rig) *occurrence { return r.addSteps("other"+j.doc.ID, 1).open[0] }

// TestSlowWorkerIsWorthLess guards against a slow worker that gets tasks while others have room, and against one that gets none when it is the only one.
func TestSlowWorkerIsWorthLess(t *testing.T) {
	r := newRig(t, 1, "w0", "w1", "w2")
	r.learn()
	took := func(id string) time.Duration {
		if id == "w0" {
			return 4 * time.Second
		}
		return time.Second
	}
	r.runJobs("j", 30, took, "w0", "w1", "w2")
	qt.Assert(t, r.core.workers["w0"].slowness > 1, qt.IsTrue, qt.Commentf("%g", r.core.workers["w0"].slowness))
	qt.Assert(t, r.core.workers["w1"].slowness, qt.Equals, 0.0)
	qt.Assert(t, r.core.counts.Decisions[Decision{Part: "pace", Outcome: "slow"}], qt.Equals, uint64(1))
	r.addJob(work.Job{ID: "gang", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 2, Request: work.Resources{CPU: 1000}, Estimate: time.Second, Gang: true}}})
	r.addSteps("next", 6)
	commands := r.pass()
	r.accept(commands)
	for _, s := range startsOf(commands) {
		qt.Assert(t, s[len(s)-2:], qt.Not(qt.Equals), "w0", qt.Commentf("%q", startsOf(commands)))
	}
	r.addSteps("more", 1)
	commands = r.pass()
	r.accept(commands)
	qt.Assert(t, startsOf(commands), qt.DeepEquals, []string{"more 0.0.0 1 w0"})
	for _, id := range []string{"w1", "w2"} {
		r.finish(id, worker.ExitDone)
		r.reply(id)
	}
	r.store()
	r.addSteps("last", 1)
	qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"last 0.0.0 1 w1"})
}

// TestLearnedAtTakeover guards against a new leader that begins with nothing.
func TestLearnedAtTakeover(t *testing.T) {
	r := newRig(t, 1, "w")
	r.learn()
	r.runJobs("j", 40, always(3*time.Second), "w")
	set := snapshot.NewSet()
	r.core.learned.Keep(set)
	rows := set.Take(r.now+time.Minute, 10, func(name string, err error) { t.Error(name, err) })
	next := newRig(t, 2, "w")
	next.learn()
	next.core.snapshots.Restore(rows, 0, func(name string, err error) { t.Error(name, err) })
	before, after := r.core.expect(r.addSteps("a", 1).open[0].steps[0]), next.core.expect(next.addSteps("a", 1).open[0].steps[0])
	ratio := after.Median().Seconds() / before.Median().Seconds()
	qt.Assert(t, ratio > 0.95 && ratio < 1.05 && after.Runs() > 20, qt.IsTrue, qt.Commentf("%v, %v before", after.Median(), before.Median()))
}

// TestWrongExpectations guards against rules that depend on what is learned: whatever that is, no task runs twice and every job is done.
func TestWrongExpectations(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newLivesModel(t, seed)
			m.learn()
			var jobs []string
			for i := range 16000 {
				if i%60 == 0 && i < 8000 {
					jobs = append(jobs, fmt.Sprintf("j%04d", i))
					m.addSteps(jobs[len(jobs)-1], 1+m.rand.IntN(6))
				}
				if i%100 == 0 {
					m.list()
					class := (&step{job: &job{doc: work.Job{Queue: "q", Steps: make([]work.Step, 1)}}, doc: &work.Step{Request: work.Resources{CPU: 1000}, Estimate: time.Second}}).class()
					for range 20 {
						var told finishedruns.Step
						m.core.learned.Observe(&told, finishedruns.Run{
							Class: class, Job: fmt.Sprint(m.rand.Int()), Worker: m.workers[m.rand.IntN(livesWorkers)].id(), Whole: true, Took: time.Duration(math.Exp(40 * m.rand.Float64())),
						}, m.now, m.core.countDecision)
					}
				}
				m.step()
			}
			qt.Assert(t, m.broken, qt.HasLen, 0)
			for _, id := range jobs {
				state, _ := m.core.JobState(id)
				qt.Assert(t, state, qt.Equals, work.Finished, qt.Commentf("job %s", id))
			}
		})
	}
}

// TestTargetFollowsExpectation guards against jobs that are taken to be late because they are known to take longer than declared: their latency
// target grows with what they take, as it does for their callers.
func TestTargetFollowsExpectation(t *testing.T) {
	for name, learned := range map[string]bool{"learned": true, "declared": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			r.core.options.Features.LearnedRunTimes = learned
			r.core.learned = finishedruns.New(learned, false)
			j := r.addSteps("a", 1)
			o := j.open[0]
			for range 200 {
				var told finishedruns.Step
				r.core.learned.Observe(&told, finishedruns.Run{Class: o.steps[0].class(), Job: "b", Worker: "w1", Whole: true, Took: 4 * o.steps[0].doc.Estimate}, r.now, r.core.countDecision)
			}
			o.learnsPath = learned
			o.remaining.Invalidate()
			q := &catalog.Queue{Stretch: 2, BaseTarget: time.Second}
			path, _ := r.core.remainingWork(o)
			target := o.targetEnd(q, j) - o.latencyStart(j) - q.BaseTarget
			if !learned {
				qt.Assert(t, target, qt.Equals, 2*j.criticalPath)
				return
			}
			qt.Assert(t, path > 3*j.criticalPath && path < 5*j.criticalPath, qt.IsTrue, qt.Commentf("path %s, declared %s", path, j.criticalPath))
			qt.Assert(t, target, qt.Equals, 2*path)
		})
	}
}
