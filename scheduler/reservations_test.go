package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// overload keeps the workers of a fleet full with short tasks of one core, 0.8 to 1.7 s each. It returns the number of those that started.
func (f *crashFleet) overload(d time.Duration) int {
	random := rand.New(rand.NewPCG(1, 2))
	before := 0
	for _, n := range f.starts {
		before += n
	}
	for end := f.now + d; f.now < end; {
		f.work = 800*time.Millisecond + time.Duration(random.IntN(900))*time.Millisecond
		f.overloads++
		f.addJob(fmt.Sprint("short", f.overloads), work.Step{Count: 4})
		f.run(crashFleetStep)
	}
	started := -before
	for _, n := range f.starts {
		started += n
	}
	return started
}

// TestRoomForService guards against a task of a service that never starts because each worker is refilled with short tasks as soon as one
// of them ends, and against short tasks that get no worker meanwhile.
func TestRoomForService(t *testing.T) {
	const workers = 4
	request := func(cores int64) work.Resources { return work.Resources{CPU: 1000 * cores, Memory: 100} }
	tests := map[string]struct {
		step work.Step
		want int
	}{
		"half of a worker":        {step: work.Step{Count: 1, Request: request(4)}, want: 1},
		"a whole worker":          {step: work.Step{Count: 1, Request: request(8)}, want: 1},
		"memory":                  {step: work.Step{Count: 1, Request: work.Resources{CPU: 1000, Memory: 7900}}, want: 1},
		"on one worker":           {step: work.Step{Count: 1, Request: request(5), RequiredLabel: "m0"}, want: 1},
		"two on one worker":       {step: work.Step{Count: 2, Request: request(4), RequiredLabel: "m0"}, want: 2},
		"one on each worker":      {step: work.Step{Count: workers, Request: request(5), MaxPerWorker: 1}, want: workers},
		"more than the room":      {step: work.Step{Count: 6, Request: request(5)}, want: workers},
		"more than a worker":      {step: work.Step{Count: 1, Request: request(9)}, want: 0},
		"no worker has the label": {step: work.Step{Count: 1, Request: request(4), RequiredLabel: "none"}, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, workers, true)
			f.run(time.Second)
			f.overload(5 * time.Second)
			full := f.overload(5 * time.Second)
			test.step.Service = true
			f.addJob("lasting", test.step)
			beside := f.overload(9 * time.Second)
			qt.Assert(t, f.running("lasting"), qt.Equals, test.want)
			// The room of the service, and a worker of four that is being emptied, are not available to the others.
			share := 1 - 0.25 - float64(test.want)*float64(test.step.Request.CPU)/(8000*workers)
			qt.Assert(t, float64(beside)/9 >= share*float64(full)/5, qt.IsTrue, qt.Commentf("%d short tasks started in 9 s, %d in 5 s before", beside, full))
		})
	}
}

// TestReservationEnds guards against a worker that stays empty for a service that needs it no more.
func TestReservationEnds(t *testing.T) {
	tests := map[string]func(r *rig){
		"job was cancelled": func(r *rig) { r.core.Cancel("lasting") },
		"another worker has room": func(r *rig) {
			r.register("w1", "w2")
			r.reply("w2")
			commands := r.pass()
			qt.Assert(r.t, startsOf(commands), qt.DeepEquals, []string{"lasting 0.0.0 1 w2"})
			r.accept(commands)
		},
		"worker has shrunk": func(r *rig) { r.setCapacity(coresOnly(3), "w1") },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			r.addSteps("running", 3)
			r.accept(r.pass())
			r.addJob(work.Job{ID: "lasting", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Service: true, Request: coresOnly(4)}}})
			r.pass()
			for range 2 {
				r.advance(reserveAfter)
				r.reply("w1")
				r.pass()
			}
			r.addSteps("short", 1)
			qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
			end(r)
			for range 2 {
				r.advance(reservationLimit / 2)
				for _, id := range r.core.Workers() {
					r.reply(id)
				}
			}
			r.finish("w1", worker.ExitDone)
			r.reply("w1")
			qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"short 0.0.0 1 w1"})
		})
	}
}

// TestRoomBesideLongTasks guards against a service that waits without end because another worker is chosen before the first one is empty,
// since the short tasks take longer than estimated.
func TestRoomBesideLongTasks(t *testing.T) {
	f := newCrashFleet(t, 4, true)
	f.run(time.Second)
	random := rand.New(rand.NewPCG(1, 2))
	long := func(d time.Duration) {
		for end := f.now + d; f.now < end; f.run(crashFleetStep) {
			f.work = 6*time.Second + time.Duration(random.Int64N(int64(12*time.Second)))
			f.overloads++
			f.addJob(fmt.Sprint("long", f.overloads), work.Step{Count: 1})
		}
	}
	long(20 * time.Second)
	f.addJob("lasting", work.Step{Count: 1, Service: true, Request: work.Resources{CPU: 8000, Memory: 100}})
	long(18 * time.Second)
	qt.Assert(t, f.running("lasting"), qt.Equals, 1)
}

// TestReservationsAreBounded guards against a service for which all workers are emptied at once.
func TestReservationsAreBounded(t *testing.T) {
	ids := []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}
	r := newRig(t, 1, ids...)
	r.addSteps("running", 32)
	r.accept(r.pass())
	r.addJob(work.Job{ID: "lasting", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 8, Service: true, MaxPerWorker: 1, Request: coresOnly(4)}}})
	r.pass()
	r.advance(reserveAfter)
	for _, id := range ids {
		r.reply(id)
	}
	r.pass()
	r.addSteps("short", 32)
	for _, id := range ids {
		ended := r.runs[id][0]
		r.runs[id] = r.runs[id][1:]
		r.exits[id] = []worker.Exit{{Seq: 1, Task: ended.Task, Number: ended.Number, Reason: worker.ExitDone}}
		r.reply(id)
	}
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 6)
}

// TestReservedInstanceStays guards against an instance that is moved to another pool because it was emptied for a service.
func TestReservedInstanceStays(t *testing.T) {
	f := newFleetRig(t, 1, 0)
	f.addSteps("running", 4)
	f.accept(f.pass())
	donors := func() int { return len(f.core.instancesInUse(map[string]int{"p": 1}, []demand{{pool: "p"}})) }
	qt.Assert(t, donors(), qt.Equals, 1)
	f.addJob(work.Job{ID: "lasting", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Service: true, Request: coresOnly(4)}}})
	f.pass()
	f.advance(reserveAfter)
	f.reply("w1")
	f.pass()
	qt.Assert(t, donors(), qt.Equals, 0)
}
