package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// idleFleet is an idleRig whose workers run on instances.
type idleFleet struct {
	*idleRig
	fleet *fleetRig
	// answer returns the outcome of a command for an instance.
	answer func(cmd InstanceCommand) instance.Outcome
	// unlisted means that the platform does not answer with a list.
	unlisted bool
	replies  []instanceReply
}

// instanceReply is the outcome of a command that becomes known at a time.
type instanceReply struct {
	cmd     InstanceCommand
	outcome instance.Outcome
	at      time.Duration
}

func newIdleFleet(t *testing.T, workers int) *idleFleet {
	f := newFleetRig(t, workers, 0)
	r := &idleRig{rig: f.rig, idleSince: make(map[work.Task]time.Duration), downSince: make(map[string]time.Duration), refuses: func(string) bool { return false }}
	for i := range workers {
		r.workers = append(r.workers, fmt.Sprint("w", i+1))
	}
	return &idleFleet{idleRig: r, fleet: f, answer: func(InstanceCommand) instance.Outcome { return instance.Unknown }}
}

func (r *idleFleet) play(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.idleRig.play(idleStep)
		if !r.unlisted {
			r.fleet.listInstances()
		}
		for _, cmd := range r.core.TakeInstanceCommands() {
			outcome, at := r.answer(cmd), r.now
			if outcome == instance.Unknown {
				at += instanceTimeout
			}
			r.replies = append(r.replies, instanceReply{cmd, outcome, at})
		}
		r.replies = slices.DeleteFunc(r.replies, func(reply instanceReply) bool {
			if r.now < reply.at {
				return false
			}
			r.core.HandleInstanceReply(reply.cmd, reply.outcome, nil)
			return true
		})
	}
}

// endRuns makes the runs of a job exit on a worker.
func (r *idleFleet) endRuns(job string, ids ...string) {
	for _, id := range ids {
		for _, run := range r.runs[id] {
			if run.Task.Job == job {
				r.end(id, run.Task, worker.ExitFailed)
				break
			}
		}
	}
}

// TestServiceBesideUnknownMaintenance guards against a task of a service that waits for a worker whose instance does not accept the command to
// be maintained, also after commands without an answer and without a list of the instances.
func TestServiceBesideUnknownMaintenance(t *testing.T) {
	for _, outcome := range []instance.Outcome{instance.Busy, instance.NotInWave, instance.Invalid, instance.Refused} {
		for _, unknownFor := range []time.Duration{0, 2 * time.Second, 5 * time.Second, 9 * time.Second} {
			for _, unlisted := range []bool{false, true} {
				if outcome == instance.Refused && unknownFor > 0 {
					// A command without an answer may be carried out all the while.
					continue
				}
				t.Run(fmt.Sprint(outcome, " after ", unknownFor, ", no list ", unlisted), func(t *testing.T) {
					idle := serviceBesideMaintenance(t, outcome, unknownFor, unlisted, 0)
					qt.Assert(t, idle < maxIdle, qt.IsTrue, qt.Commentf("idle for %v", idle))
				})
			}
		}
	}
}

// serviceBesideMaintenance plays a wave whose commands get no answer for a while, and a given outcome after that. It returns the longest time
// for which a task of a service does not run then.
func serviceBesideMaintenance(t *testing.T, outcome instance.Outcome, unknownFor time.Duration, unlisted bool, budget int) time.Duration {
	r := newIdleFleet(t, 4)
	r.play(time.Second)
	if unknownFor == 0 {
		r.answer = func(InstanceCommand) instance.Outcome { return outcome }
	}
	r.core.AddWave(instance.Wave{Number: 1, Instances: []string{"m-w1", "m-w2"}, MaxDuration: 8 * time.Second, MaxUnavailable: 2}, nil)
	r.play(time.Second)
	r.addService("a", 4, 500).doc.MaxDisruptions = budget
	r.unlisted = unlisted
	r.play(unknownFor)
	r.unlisted = false
	r.answer = func(InstanceCommand) instance.Outcome { return outcome }
	r.calm = r.now
	r.play(20 * time.Second)
	return r.longest
}

// TestServiceAfterLostInstanceList guards against a worker that stays cordoned because the list of instances has lost its instance, or is
// not available, while a move or a wave is under way.
func TestServiceAfterLostInstanceList(t *testing.T) {
	tests := map[string]func(r *idleFleet){
		"list is without the worker": func(r *idleFleet) {
			for id, inst := range r.fleet.instances {
				inst.Worker = ""
				r.fleet.instances[id] = inst
			}
		},
		"list is without the instance": func(r *idleFleet) { clear(r.fleet.instances) },
		"no list":                      func(r *idleFleet) { r.unlisted = true },
	}
	for name, lose := range tests {
		for _, kind := range []string{"move", "wave"} {
			t.Run(kind+", "+name, func(t *testing.T) {
				r := newIdleFleet(t, 4)
				r.addService("a", 4, 500)
				r.addService("b", 4, 500)
				r.play(time.Second)
				if kind == "wave" {
					r.core.AddWave(instance.Wave{Number: 1, Instances: []string{"m-w1", "m-w2"}, MaxDuration: 20 * time.Second, MaxUnavailable: 2}, nil)
					r.play(time.Second)
				} else {
					r.core.startMove("m-w1", "off", demand{})
					r.core.startMove("m-w2", "off", demand{})
				}
				qt.Assert(t, r.core.workers["w1"].cordoned, qt.IsTrue)
				lose(r)
				r.play(3 * time.Second)
				r.endRuns("a", "w1", "w2")
				r.calm = r.now
				r.play(15 * time.Second)
				qt.Assert(t, r.longest < maxIdle-idleReserve, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
			})
		}
	}
}

// TestServiceBesideRefusedMaintenance guards against a task of a service that waits for a worker which a command without an answer may still
// end, while the platform refuses further commands.
func TestServiceBesideRefusedMaintenance(t *testing.T) {
	for _, budget := range []int{0, 1} {
		for _, unknownFor := range []time.Duration{2 * time.Second, 5 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprint(budget, " ", unknownFor), func(t *testing.T) {
				idle := serviceBesideMaintenance(t, instance.Refused, unknownFor, false, budget)
				qt.Assert(t, idle < maxIdle, qt.IsTrue, qt.Commentf("idle for %v", idle))
			})
		}
	}
}

// TestOverdueStartWhileCommandIsCarriedOut guards against a start on a worker whose instance is in maintenance already according to the list,
// while the command has no answer yet.
func TestOverdueStartWhileCommandIsCarriedOut(t *testing.T) {
	for _, lost := range []bool{false, true} {
		r := newIdleFleet(t, 2)
		var sent []InstanceCommand
		r.answer = func(cmd InstanceCommand) instance.Outcome { sent = append(sent, cmd); return instance.Unknown }
		r.core.AddWave(instance.Wave{Number: 1, Instances: []string{"m-w1"}, MaxDuration: 8 * time.Second, MaxUnavailable: 2}, nil)
		for len(sent) == 0 {
			r.play(idleStep)
		}
		if lost {
			inst := r.fleet.instances["m-w1"]
			inst.State, inst.Worker = instance.InMaintenance, ""
			r.fleet.instances["m-w1"] = inst
			r.fleet.listInstances()
		}
		r.addJob(work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 2, Request: coresOnly(1), Service: true, MaxPerWorker: 1, MaxDisruptions: 1}}})
		// The command is in flight all the while.
		for end := r.now + 4*time.Second; r.now < end; {
			r.idleRig.play(idleStep)
		}
		qt.Check(t, r.core.fleet.commandInFlight["m-w1"], qt.IsTrue)
		qt.Check(t, r.runs["w1"], qt.HasLen, 0, qt.Commentf("not listed with its worker: %v", lost))
	}
}

// TestCommandForWorkerThatJoined guards against a start on a worker whose instance was drained before the worker was known, and that has a
// command in flight.
func TestCommandForWorkerThatJoined(t *testing.T) {
	r := newIdleFleet(t, 2)
	var sent []InstanceCommand
	r.answer = func(cmd InstanceCommand) instance.Outcome { sent = append(sent, cmd); return instance.Unknown }
	r.fleet.instances["m-w3"] = instance.Instance{ID: "m-w3", Pool: "p", Worker: "w3", Capacity: work.Resources{CPU: 4000, Memory: 4000}}
	r.core.AddWave(instance.Wave{Number: 1, Instances: []string{"m-w3"}, MaxDuration: 8 * time.Second, MaxUnavailable: 2}, nil)
	r.play(time.Second)
	qt.Assert(t, sent, qt.HasLen, 0)
	r.workers = append(r.workers, "w3")
	for range 40 {
		if len(sent) == 0 {
			r.play(idleStep)
		}
	}
	qt.Assert(t, sent, qt.HasLen, 1)
	r.addJob(work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 3, Request: coresOnly(1), Service: true, MaxPerWorker: 1, MaxDisruptions: 1}}})
	for end := r.now + time.Second; r.now < end; {
		r.idleRig.play(idleStep)
	}
	qt.Check(t, r.core.fleet.commandInFlight["m-w3"], qt.IsTrue)
	qt.Check(t, r.runs["w3"], qt.HasLen, 0)
}

// TestWaveBesideWideServices guards against a wave that never maintains an instance, because its services are as wide as the pool and have
// nowhere else to go, and against services that wait for the instance until then.
func TestWaveBesideWideServices(t *testing.T) {
	for _, budget := range []int{0, 1} {
		for _, failEvery := range []time.Duration{time.Hour, 3 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprint(budget, failEvery), func(t *testing.T) {
				const limit = 20 * time.Second
				r := newIdleFleet(t, 4)
				r.answer = func(InstanceCommand) instance.Outcome { return instance.Accepted }
				for _, id := range []string{"a", "b"} {
					r.addJob(work.Job{ID: id, Queue: "q", Pool: "p", Steps: []work.Step{{Count: 4, Request: work.Resources{CPU: 500}, Service: true, MaxPerWorker: 1, MaxDisruptions: budget}}})
				}
				r.play(time.Second)
				r.core.AddWave(instance.Wave{Number: 1, Instances: []string{"m-w1"}, MaxDuration: limit, MaxUnavailable: 1}, nil)
				start, next := r.now, r.now+failEvery
				for r.now < start+limit && len(r.core.fleet.waves[1].begun) == 0 {
					r.play(idleStep)
					if r.now >= next {
						next += failEvery
						if runs := r.runs["w1"]; len(runs) > 0 {
							r.end("w1", runs[0].Task, worker.ExitFailed)
						}
					}
				}
				qt.Assert(t, r.core.fleet.waves[1].begun, qt.HasLen, 1)
			})
		}
	}
}

// TestEvictedServiceBesideFailedMaintenance guards against a task of a service that is evicted for a maintenance which the platform does not
// begin, and then waits for long, or is evicted again and again.
func TestEvictedServiceBesideFailedMaintenance(t *testing.T) {
	for _, outcome := range []instance.Outcome{instance.Busy, instance.Refused, instance.NotInWave, instance.Unknown} {
		for _, unknownFor := range []time.Duration{0, 3 * time.Second} {
			t.Run(fmt.Sprint(outcome, " after ", unknownFor), func(t *testing.T) {
				r := newIdleFleet(t, 4)
				r.play(time.Second)
				r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 4, Request: work.Resources{CPU: 500}, Service: true, MaxPerWorker: 1, MaxDisruptions: 1}}})
				r.play(4 * time.Second)
				if unknownFor == 0 {
					r.answer = func(InstanceCommand) instance.Outcome { return outcome }
				}
				r.core.AddWave(instance.Wave{Number: 1, Instances: []string{"m-w1", "m-w2"}, MaxDuration: 10 * time.Second, MaxUnavailable: 2}, nil)
				r.play(2*time.Second + unknownFor)
				r.answer = func(InstanceCommand) instance.Outcome { return outcome }
				r.calm = r.now
				r.play(25 * time.Second)
				qt.Check(t, r.longest < maxIdle, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
				// As many commands as make an instance count as failed, for each of the two.
				qt.Check(t, r.core.counts.Stopped <= 2*maxRefusals, qt.IsTrue, qt.Commentf("%d stops", r.core.counts.Stopped))
			})
		}
	}
}
