package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestServiceAfterTakeoverBesideLostWorkers guards against a task of a service that waits for the lease of a worker of which an earlier
// leader knew that it was gone.
func TestServiceAfterTakeoverBesideLostWorkers(t *testing.T) {
	service := work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Service: true, Request: coresOnly(1)}}}
	loseWorker := func(r *rig, id string) {
		r.register()
		for end := r.now + leaseDuration + unreachedTimeout; r.now < end; {
			r.advance(200 * time.Millisecond)
			r.schedule()
		}
		qt.Assert(r.t, r.core.workers[id], qt.IsNil)
	}
	tests := map[string]func(r *rig){
		"run has exited": func(r *rig) {
			r.core.workers["w1"].noTasksBefore = r.now + time.Hour
			r.finish("w1", worker.ExitStopped)
			r.reply("w1")
			loseWorker(r, "w1")
		},
		"run was lost with its worker": func(r *rig) { loseWorker(r, "w1") },
		"run of an earlier worker": func(r *rig) {
			r.finish("w1", worker.ExitStopped)
			r.register("w2")
			r.reply("w1")
			r.reply("w2")
			r.accept(r.pass())
			loseWorker(r, "w1")
			qt.Assert(r.t, r.core.workers["w2"], qt.IsNil)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			r.addJob(service)
			r.accept(r.pass())
			qt.Assert(t, r.runs["w1"], qt.HasLen, 1)
			end(r)
			stored := r.core.TakeBatch(100).Progress["s"]
			qt.Assert(t, stored, qt.IsNotNil)
			next := newRig(t, 2, "w3")
			next.core.AddJob(service, stored, 0)
			qt.Assert(t, startsOf(next.pass()), qt.DeepEquals, []string{"s 0.0.0 1001 w3"})
		})
	}
}

// TestServiceAfterTakeoverWaits guards against a task that runs twice because its service does not wait for a worker on which it may run.
func TestServiceAfterTakeoverWaits(t *testing.T) {
	service := work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Service: true, Request: coresOnly(1)}}}
	r := newRig(t, 1, "w1", "w2")
	r.addJob(service)
	stored := *r.core.jobs["s"].progress
	r.accept(r.pass())
	next := newRig(t, 2, "w3")
	next.core.AddJob(service, &stored, 0)
	qt.Assert(t, startsOf(next.pass()), qt.HasLen, 0)
	next.advance(leaseDuration - time.Second)
	next.reply("w3")
	qt.Assert(t, startsOf(next.pass()), qt.HasLen, 0)
}
