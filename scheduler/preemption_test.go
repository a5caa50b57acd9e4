package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/datacentres/evacuation"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
	"github.com/chivetiller/chivetiller/work"
)

// newPreemptionRig returns a rig with a queue of urgent jobs, "u", beside "q".
func newPreemptionRig(t *testing.T, on bool, ids ...string) *copiesRig {
	r := newCopiesRig(t, false, ids...)
	r.core.options.Features = serving.Scheduling{Preemption: on}
	r.stopTakes = rigBounds().StopTimeout
	queue := func(name string, priority int) catalog.Queue {
		return catalog.Queue{Name: name, Host: "h", Prefix: "/" + name + "/", Pool: "p", Attempts: 3, Stretch: 1.6, BaseTarget: 2 * time.Second, Priority: priority}
	}
	r.core.SetCatalog(catalog.New(2, 0, []catalog.Queue{queue("u", 0), queue("q", 1)}, []catalog.Pool{{Name: "p"}},
		[]catalog.Team{{Name: "limited", Limit: work.Resources{CPU: 2000}}}))
	return r
}

// filling returns a job whose tasks take ten seconds and fill a worker each.
func filling(id string, count int) work.Job {
	return work.Job{ID: id, Queue: "q", Pool: "p", Steps: []work.Step{{
		Count: count, Request: work.Resources{CPU: 4000, Memory: 100}, Estimate: 10 * time.Second, Checkpoints: true,
	}}}
}

func urgentJob(id string, count int) work.Job {
	return work.Job{ID: id, Queue: "u", Pool: "p", Steps: []work.Step{{Count: count, Request: work.Resources{CPU: 3000, Memory: 100}, Estimate: time.Second}}}
}

// play runs passes for a time.
func (r *copiesRig) play(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.step()
	}
}

// startsOfJob returns the number of starts of the tasks of a job with one step.
func (r *copiesRig) startsOfJob(id string) int {
	n := 0
	for task, starts := range r.starts {
		if task.Job == id {
			n += len(starts)
		}
	}
	return n
}

// TestUrgentJobInFullPool guards against an urgent job that waits for the end of other work: it starts within the time of a stop and a pass.
// The run that made room goes on from its checkpoint, and no other run is stopped.
func TestUrgentJobInFullPool(t *testing.T) {
	for name, on := range map[string]bool{"on": true, "off": false} {
		t.Run(name, func(t *testing.T) {
			r := newPreemptionRig(t, on, "a", "b", "c", "d")
			r.takes = func(task work.Task) time.Duration {
				if task.Job == "full" {
					return 10 * time.Second
				}
				return time.Second
			}
			full := r.addJob(filling("full", 4))
			r.play(2 * time.Second)
			urgent := r.addJob(urgentJob("urgent", 1))
			begun := r.now
			for r.startsOfJob("urgent") == 0 && r.now < begun+5*time.Second {
				r.step()
			}
			took := r.now - begun
			if !on {
				qt.Assert(t, r.startsOfJob("urgent"), qt.Equals, 0)
				return
			}
			qt.Assert(t, took <= r.stopTakes+replanInterval+2*copiesStep, qt.IsTrue, qt.Commentf("took %s", took))
			qt.Assert(t, r.core.Counts().Decisions[Decision{"preemption", "stopped"}], qt.Equals, uint64(1))
			r.play(3 * time.Second)
			qt.Assert(t, urgent.progress.State, qt.Equals, work.Finished)
			qt.Assert(t, r.startsOfJob("full"), qt.Equals, 5)
			qt.Assert(t, full.open[0].steps[0].progress.Checkpoints, qt.HasLen, 1)
			r.play(15 * time.Second)
			qt.Assert(t, full.progress.State, qt.Equals, work.Finished)
			qt.Assert(t, r.core.pool("p").reserved, qt.HasLen, 0)
		})
	}
}

// TestNoPreemption guards against stops of work that would lose more than it gives, or that must not be disturbed: services, gangs, runs
// without checkpoints, runs that end soon or were preempted just before, and work that is as urgent. It also guards against stops for a job
// that is late, beyond the limit of its team, or that fits nowhere.
func TestNoPreemption(t *testing.T) {
	for name, test := range map[string]struct {
		full   func(doc *work.Job)
		urgent func(doc *work.Job)
		before func(r *copiesRig, full *job)
		// since is how long the urgent job has waited.
		since time.Duration
		want  int
	}{
		"allowed":          {want: 1},
		"no checkpoints":   {full: func(doc *work.Job) { doc.Steps[0].Checkpoints = false }},
		"service":          {full: func(doc *work.Job) { doc.Steps[0].Service, doc.Steps[0].MaxDisruptions = true, 2 }},
		"gang":             {full: func(doc *work.Job) { doc.Steps[0].Gang = true }},
		"as urgent":        {full: func(doc *work.Job) { doc.Queue = "u" }},
		"less urgent":      {urgent: func(doc *work.Job) { doc.Queue = "q" }},
		"gang needs room":  {urgent: func(doc *work.Job) { doc.Steps[0].Gang = true }},
		"late":             {since: 5 * time.Second},
		"too large":        {urgent: func(doc *work.Job) { doc.Steps[0].Request.CPU = 4001 }},
		"limit of a team":  {urgent: func(doc *work.Job) { doc.Team = "limited" }},
		"ends soon":        {before: func(r *copiesRig, _ *job) { r.play(7400 * time.Millisecond) }},
		"stopped twice":    {before: func(_ *copiesRig, full *job) { preemptedAt(full, 2, time.Second) }},
		"stopped lately":   {before: func(r *copiesRig, full *job) { preemptedAt(full, 1, r.now-time.Second) }},
		"stopped long ago": {before: func(r *copiesRig, full *job) { preemptedAt(full, 1, r.now-5*time.Second) }, want: 1},
		"without value":    {urgent: func(doc *work.Job) { doc.Queue = "q" }, before: func(_ *copiesRig, full *job) { full.acceptedAt -= time.Hour }, want: 1},
		"suspect of crash": {before: func(_ *copiesRig, full *job) {
			for i := range full.doc.Steps[0].Count {
				full.open[0].steps[0].progress.AddCrash(i, 1, true)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPreemptionRig(t, true, "a", "b")
			r.takes = func(work.Task) time.Duration { return 10 * time.Second }
			doc := filling("full", 2)
			if test.full != nil {
				test.full(&doc)
			}
			full := r.addJob(doc)
			r.play(2 * time.Second)
			qt.Assert(t, r.startsOfJob("full"), qt.Equals, 2)
			if test.before != nil {
				test.before(r, full)
			}
			urgent := urgentJob("urgent", 1)
			if test.urgent != nil {
				test.urgent(&urgent)
			}
			r.addJob(urgent).acceptedAt -= test.since
			r.play(400 * time.Millisecond)
			qt.Assert(t, len(r.stops), qt.Equals, test.want)
		})
	}
}

func preemptedAt(j *job, times int, at time.Duration) {
	s := j.open[0].steps[0]
	for i := range s.tasks {
		for range times {
			s.preempted.Record(i, at)
		}
	}
}

// TestBoundsOfPreemption guards against an urgent job that takes down a large part of a pool at once, and against room that is taken by other
// work before the urgent job has started there.
func TestBoundsOfPreemption(t *testing.T) {
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	r := newPreemptionRig(t, true, ids...)
	r.takes = func(work.Task) time.Duration { return 10 * time.Second }
	r.addJob(filling("full", 40))
	r.addJob(filling("waits", 10))
	r.play(2 * time.Second)
	qt.Assert(t, r.startsOfJob("full")+r.startsOfJob("waits"), qt.Equals, len(ids))
	r.addJob(urgentJob("urgent", 8))
	for second := 1; second <= 2; second++ {
		r.play(time.Second)
		qt.Assert(t, r.core.Counts().Decisions[Decision{"preemption", "stopped"}], qt.Equals, uint64(2*second))
	}
	r.play(time.Second)
	qt.Assert(t, r.startsOfJob("urgent") >= 4, qt.IsTrue)
	qt.Assert(t, r.startsOfJob("full")+r.startsOfJob("waits"), qt.Equals, len(ids))
}

// TestPreemptionInEvacuatedDataCentre guards against a stop that makes room where nothing may start.
func TestPreemptionInEvacuatedDataCentre(t *testing.T) {
	for name, test := range map[string]struct {
		evacuated []string
		want      []string
	}{
		"one": {[]string{"a"}, []string{"b1"}},
		"all": {[]string{"a", "b"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := newEvacuationCopiesRig(newPreemptionRig(t, true), "a1", "b1")
			r.takes = func(work.Task) time.Duration { return 10 * time.Second }
			r.addJob(filling("full", 2))
			r.play(2 * time.Second)
			qt.Assert(t, r.startsOfJob("full"), qt.Equals, 2)
			r.core.SetEvacuations(evacuation.NewSet(r.now, test.evacuated...))
			r.addJob(urgentJob("urgent", 1))
			r.play(2 * time.Second)
			qt.Assert(t, r.starts[work.Task{Job: "urgent"}], qt.DeepEquals, test.want)
			qt.Assert(t, len(r.stops), qt.Equals, len(test.want))
		})
	}
}
