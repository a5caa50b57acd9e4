package scheduler

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/datacentres/evacuation"
	"github.com/chivetiller/chivetiller/internal/jobs/finishedruns"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// copiesStep is the time between two passes.
const copiesStep = 20 * time.Millisecond

// copiesRig plays workers of different pace.
type copiesRig struct {
	*rig
	ids []string
	// pace holds how many times as long as usual tasks take on a worker, and takes how long a task takes.
	pace  map[string]float64
	takes func(work.Task) time.Duration
	ends  map[worker.Run]time.Duration
	// stopTakes is how long a stop takes, and stops the time at which runs are stopped.
	stopTakes time.Duration
	stops     map[worker.Run]time.Duration
	// starts holds the workers on which each task was started.
	starts map[work.Task][]string
}

func newCopiesRig(t *testing.T, on bool, ids ...string) *copiesRig {
	r := &copiesRig{
		rig: newRig(t, 1, ids...), ids: ids, pace: make(map[string]float64), ends: make(map[worker.Run]time.Duration), starts: make(map[work.Task][]string),
		stops: make(map[worker.Run]time.Duration),
		takes: func(work.Task) time.Duration { return time.Second },
	}
	r.core.options.Features = serving.Scheduling{Copies: on, LearnedRunTimes: on}
	r.core.learned = finishedruns.New(on, false)
	return r
}

// speculative returns a job of steps that follow each other, with tasks that fill three quarters of a worker.
func speculative(id string, steps, tasks int) work.Job {
	doc := work.Job{ID: id, Queue: "q", Pool: "p"}
	for i := range steps {
		s := work.Step{Count: tasks, Request: work.Resources{CPU: 3000, Memory: 100}, Estimate: time.Second, Speculative: true}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		doc.Steps = append(doc.Steps, s)
	}
	return doc
}

// step lets time pass, ends the runs that are due, and carries out a pass.
func (r *copiesRig) step() {
	r.advance(copiesStep)
	for _, id := range r.ids {
		for _, run := range slices.Clone(r.runs[id]) {
			if at, ok := r.stops[run]; ok && r.now >= at {
				r.exit(id, run, worker.ExitStopped)
			} else if end, ok := r.ends[run]; ok && r.now >= end {
				r.exit(id, run, worker.ExitDone)
			}
		}
		r.reply(id)
	}
	r.carryOut(r.pass())
}

func (r *copiesRig) exit(id string, run worker.Run, reason worker.ExitReason) {
	i := slices.Index(r.runs[id], run)
	r.runs[id] = slices.Delete(r.runs[id], i, i+1)
	e := worker.Exit{Seq: uint64(len(r.exits[id]) + 1), Task: run.Task, Number: run.Number, Reason: reason}
	if s, ok := r.core.findStep(run.Task); ok && s.doc.Checkpoints && reason == worker.ExitStopped {
		e.Checkpoint = "saved"
	}
	r.exits[id] = append(r.exits[id], e)
}

func (r *copiesRig) carryOut(commands []Command) {
	r.accept(commands)
	for _, cmd := range commands {
		switch cmd.Kind {
		case CommandStart:
			run := worker.Run{Task: cmd.Start.Task, Number: cmd.Start.Run, SpeedPercent: 100}
			r.starts[run.Task] = append(r.starts[run.Task], cmd.Target.ID)
			r.ends[run] = r.now + time.Duration(max(1, r.pace[cmd.Target.ID])*float64(r.takes(run.Task)))
		case CommandStop:
			for _, run := range slices.Clone(r.runs[cmd.Target.ID]) {
				if run.Task == cmd.Run.Task && run.Number == cmd.Run.Run {
					r.stops[run] = r.now + r.stopTakes
				}
			}
		}
	}
}

// finishJob runs a job, and returns how long it takes.
func (r *copiesRig) finishJob(doc work.Job) time.Duration {
	begun := r.now
	j := r.addJob(doc)
	for !j.progress.State.Ended() && r.now < begun+time.Minute {
		r.step()
	}
	qt.Assert(r.t, j.progress.State, qt.Equals, work.Finished)
	return r.now - begun
}

// TestJobWithSlowWorker guards against a job that waits for its slowest task on a slow worker: with one of four workers at a quarter of its
// pace, a chain of steps is done within 1.5 times its length. With the switch off, each step waits for the slow worker.
func TestJobWithSlowWorker(t *testing.T) {
	for name, on := range map[string]bool{"on": true, "off": false} {
		t.Run(name, func(t *testing.T) {
			r := newCopiesRig(t, on, "a", "b", "c", "d")
			r.finishJob(speculative("before", 2, 4))
			r.pace["a"] = 4
			const steps = 4
			took := r.finishJob(speculative("slow", steps, 3))
			if !on {
				qt.Assert(t, took > 2*steps*time.Second, qt.IsTrue, qt.Commentf("took %s", took))
				return
			}
			qt.Assert(t, took <= steps*1500*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", took))
			qt.Assert(t, r.core.Counts().Decisions[Decision{"copies", "won"}], qt.Equals, uint64(1))
		})
	}
}

// TestCopyOfLongTask guards against a copy that disturbs a run which is long rather than late: the copy is the only one, the first run is
// done first, the copy is stopped, and the room of both is free again.
func TestCopyOfLongTask(t *testing.T) {
	r := newCopiesRig(t, true, "a", "b", "c", "d")
	r.finishJob(speculative("before", 2, 4))
	long := work.Task{Job: "long", Index: 1}
	r.takes = func(task work.Task) time.Duration {
		if task == long {
			return 7 * time.Second
		}
		return time.Second
	}
	took := r.finishJob(speculative("long", 1, 3))
	qt.Assert(t, took < 7500*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", took))
	qt.Assert(t, r.starts[long], qt.HasLen, 2)
	qt.Assert(t, r.starts[long][0] != r.starts[long][1], qt.IsTrue)
	for range 5 {
		r.step()
	}
	for _, id := range r.ids {
		qt.Assert(t, r.core.workers[id].used, qt.Equals, work.Resources{})
		qt.Assert(t, r.runs[id], qt.HasLen, 0)
	}
	qt.Assert(t, r.core.teamUsage[""], qt.Equals, work.Resources{})
	qt.Assert(t, r.core.Counts().Decisions[Decision{"copies", "lost"}], qt.Equals, uint64(1))
}

// TestNoCopy guards against copies that take the room of a task that waits, go beyond the limit of the team, are of a job without value, of
// a step that must not run twice, or whose failure would end the job.
func TestNoCopy(t *testing.T) {
	for name, test := range map[string]struct {
		change func(r *copiesRig, doc *work.Job)
		want   int
	}{
		"allowed":           {func(*copiesRig, *work.Job) {}, 2},
		"not speculative":   {func(_ *copiesRig, doc *work.Job) { doc.Steps[0].Speculative = false }, 1},
		"checkpoints":       {func(_ *copiesRig, doc *work.Job) { doc.Steps[0].Checkpoints = true }, 1},
		"best effort":       {func(_ *copiesRig, doc *work.Job) { doc.Steps[0].BestEffort = true }, 1},
		"gang":              {func(_ *copiesRig, doc *work.Job) { doc.Steps[0].Gang = true }, 1},
		"limit of the team": {func(_ *copiesRig, doc *work.Job) { doc.Team, doc.Steps[0].Request.CPU = "limited", 2000 }, 1},
		"failed before": {func(r *copiesRig, doc *work.Job) {
			r.core.jobs[doc.ID].open[0].steps[0].progress.AddFailure(0, 1)
		}, 1},
		"suspect of a crash": {func(r *copiesRig, doc *work.Job) {
			r.core.jobs[doc.ID].open[0].steps[0].progress.AddCrash(0, 1, true)
		}, 1},
		"another task waits": {func(r *copiesRig, _ *work.Job) {
			r.addJob(work.Job{ID: "waits", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 4001}, Estimate: time.Second}}})
		}, 1},
		"no value left": {func(r *copiesRig, doc *work.Job) { r.core.jobs[doc.ID].acceptedAt -= time.Minute }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCopiesRig(t, true, "a", "b")
			for i := range 3 {
				r.finishJob(speculative("before"+string(rune('0'+i)), 1, 2))
			}
			r.takes = func(work.Task) time.Duration { return 3 * time.Second }
			doc := speculative("late", 1, 1)
			changesDoc := name == "not speculative" || name == "checkpoints" || name == "best effort" || name == "gang" || name == "limit of the team"
			if changesDoc {
				test.change(r, &doc)
			}
			r.addJob(doc)
			r.step()
			qt.Assert(t, r.starts[work.Task{Job: doc.ID}], qt.HasLen, 1)
			if !changesDoc {
				test.change(r, &doc)
			}
			for end := r.now + 2800*time.Millisecond; r.now < end; {
				r.step()
			}
			qt.Assert(t, r.starts[work.Task{Job: doc.ID}], qt.HasLen, test.want)
		})
	}
}

// newEvacuationCopiesRig returns a rig whose workers are in the data centre of the first letter of their ID.
func newEvacuationCopiesRig(r *copiesRig, ids ...string) *copiesRig {
	e := evacuationRig{rig: r.rig}
	e.list(ids...)
	e.replyAll()
	r.ids = ids
	return r
}

// TestNoCopyInEvacuatedDataCentre guards against a copy that starts in an evacuated data centre, and against none after it is taken back.
func TestNoCopyInEvacuatedDataCentre(t *testing.T) {
	r := newEvacuationCopiesRig(newCopiesRig(t, true), "a1", "b1")
	for i := range 3 {
		r.finishJob(speculative("before"+string(rune('0'+i)), 1, 2))
	}
	r.core.SetEvacuations(evacuation.NewSet(r.now, "b"))
	r.takes = func(work.Task) time.Duration { return 3 * time.Second }
	r.addJob(speculative("late", 1, 1))
	r.play(2200 * time.Millisecond)
	qt.Assert(t, r.starts[work.Task{Job: "late"}], qt.DeepEquals, []string{"a1"})
	r.core.SetEvacuations(evacuation.NewSet(r.now))
	r.play(300 * time.Millisecond)
	qt.Assert(t, r.starts[work.Task{Job: "late"}], qt.DeepEquals, []string{"a1", "b1"})
}
