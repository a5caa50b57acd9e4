package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestRestartsUnderOneIDDoNotFailService guards against a service that fails because its worker restarts under its ID long after each start.
func TestRestartsUnderOneIDDoNotFailService(t *testing.T) {
	r := newRig(t, 1, "w1")
	j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Service: true, Request: coresOnly(1)}}})
	for life := range int64(6) {
		report := rigReport("w1", coresOnly(4))
		report.Incarnation = rigIncarnation + life
		r.core.SetWorkers([]worker.Report{report})
		for range 2 {
			r.core.Renewal("w1")
			r.core.HandleStatus(r.callTo("w1"), worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: report.Incarnation}, Running: r.runs["w1"]}, r.now, nil)
		}
		r.accept(r.pass())
		qt.Assert(t, r.runs["w1"], qt.HasLen, 1, qt.Commentf("life %d", life))
		r.advance(2500 * time.Millisecond)
		r.core.HandleStatus(r.callTo("w1"), worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: report.Incarnation}, Running: r.runs["w1"]}, r.now, nil)
		r.runs["w1"] = nil
		r.core.HandleStatus(r.callTo("w1"), worker.Status{Reply: worker.Reply{Clock: time.Millisecond, Incarnation: report.Incarnation + 1}}, r.now, nil)
		r.advance(restartPause)
	}
	qt.Assert(t, j.progress.State.Ended(), qt.IsFalse)
	qt.Assert(t, j.open[0].steps[0].crashCount(0).All, qt.Equals, 0)
}

// storm describes workers that crash by themselves: count of them after each gap, for the duration down.
type storm struct {
	workers, count int
	gap, down      time.Duration
	// term is the time between two changes of the leader, if any.
	term time.Duration
}

// crashAtRandom lets workers crash by themselves for a while.
func (f *crashFleet) crashAtRandom(s storm, seed uint64, d time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	for end, next, term := f.now+d, f.now, f.now+s.term; f.now < end; f.run(crashFleetStep) {
		if s.term > 0 && f.now >= term {
			term = f.now + s.term
			f.changeLeader()
		}
		if f.now < next {
			continue
		}
		next += s.gap
		for _, i := range random.Perm(len(f.workers))[:s.count] {
			if w := f.workers[i]; w.downUntil == 0 {
				w.downUntil = f.now + s.down
			}
		}
	}
}

func storms() map[string]storm {
	return map[string]storm{
		"one of eight each 0.4 s":   {workers: 8, count: 1, gap: 400 * time.Millisecond, down: 200 * time.Millisecond},
		"one of eight each 0.1 s":   {workers: 8, count: 1, gap: 100 * time.Millisecond, down: 200 * time.Millisecond},
		"three of eight each 1 s":   {workers: 8, count: 3, gap: time.Second, down: 500 * time.Millisecond},
		"half of them each 0.4 s":   {workers: 8, count: 4, gap: 400 * time.Millisecond, down: 100 * time.Millisecond},
		"all of them each 0.4 s":    {workers: 4, count: 4, gap: 400 * time.Millisecond, down: 200 * time.Millisecond},
		"all of them each 0.15 s":   {workers: 4, count: 4, gap: 150 * time.Millisecond, down: 50 * time.Millisecond},
		"half of them, and leaders": {workers: 8, count: 4, gap: 400 * time.Millisecond, down: 100 * time.Millisecond, term: 3 * time.Second},
		"all of them, and leaders":  {workers: 4, count: 4, gap: 700 * time.Millisecond, down: 200 * time.Millisecond, term: 3 * time.Second},
		"the only one each 0.15 s":  {workers: 1, count: 1, gap: 150 * time.Millisecond, down: 50 * time.Millisecond},
		"the only one each 1.4 s":   {workers: 1, count: 1, gap: 1400 * time.Millisecond, down: 500 * time.Millisecond},
	}
}

// TestCrashingWorkersDoNotFailService guards against a service that fails, and whose runs on sound workers are stopped, because workers
// crash by themselves just after its tasks were started there.
func TestCrashingWorkersDoNotFailService(t *testing.T) {
	for name, s := range storms() {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				f := newCrashFleet(t, s.workers, false)
				f.renewEvery = renewWait
				f.run(time.Second)
				f.addJob("lasting", work.Step{Count: 3 * s.workers, Service: true})
				f.crashAtRandom(s, seed, 30*time.Second)
				qt.Assert(t, f.state("lasting").Ended(), qt.IsFalse, qt.Commentf("seed %d", seed))
				// The users call a task lost that does not run 9 s after its last run.
				f.run(8 * time.Second)
				qt.Assert(t, f.running("lasting"), qt.Equals, 3*s.workers, qt.Commentf("seed %d", seed))
			}
		})
	}
}

// TestDeadlyServiceAmongCrashes guards against a service that crashes each worker that starts it and is started without a bound because
// other workers crash by themselves.
func TestDeadlyServiceAmongCrashes(t *testing.T) {
	for name, s := range storms() {
		if s.workers == 1 {
			continue
		}
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, s.workers, false)
			f.run(time.Second)
			f.addJob("bad", work.Step{Count: 1, Service: true}, 0)
			f.crashAtRandom(s, 1, 30*time.Second)
			bad := work.Task{Job: "bad"}
			qt.Assert(t, f.starts[bad] <= 12, qt.IsTrue, qt.Commentf("started %d times", f.starts[bad]))
			started := f.starts[bad]
			f.run(time.Minute)
			qt.Assert(t, f.starts[bad]-started <= 15, qt.IsTrue, qt.Commentf("started %d times in a calm minute", f.starts[bad]-started))
			qt.Assert(t, f.state("bad").Ended(), qt.IsFalse)
		})
	}
}

// TestFlappingWorkerDoesNotFailJob guards against a job that fails because the only worker on which its task may run goes down and up
// by turns.
func TestFlappingWorkerDoesNotFailJob(t *testing.T) {
	tests := map[string]struct {
		service, gang bool
		up, down      time.Duration
	}{
		"a task":                 {up: 900 * time.Millisecond, down: 500 * time.Millisecond},
		"a task, up for 2 s":     {up: 2 * time.Second, down: 500 * time.Millisecond},
		"a gang":                 {gang: true, up: 900 * time.Millisecond, down: 500 * time.Millisecond},
		"a gang, up for 2 s":     {gang: true, up: 2 * time.Second, down: 500 * time.Millisecond},
		"a service":              {service: true, up: 900 * time.Millisecond, down: 500 * time.Millisecond},
		"a service, up for 0.1s": {service: true, up: 100 * time.Millisecond, down: 500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 1, false)
			f.work = 2500 * time.Millisecond
			f.run(time.Second)
			f.addJob("a", work.Step{Count: 1, Service: test.service, Gang: test.gang})
			for range 12 {
				f.run(test.up)
				f.workers[0].downUntil = f.now + test.down
				f.run(test.down)
			}
			qt.Assert(t, f.state("a"), qt.Not(qt.Equals), work.Failed)
			f.run(8 * time.Second)
			if test.service {
				qt.Assert(t, f.running("a"), qt.Equals, 1)
			} else {
				qt.Assert(t, f.state("a"), qt.Equals, work.Finished)
			}
		})
	}
}

// TestCrashingWorkersAndLeaders guards against a service that fails because each new leader counts a crash or two before it learns that
// the workers crash by themselves.
func TestCrashingWorkersAndLeaders(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 9))
		workers := 1 + random.IntN(10)
		s := storm{workers: workers, count: 1 + random.IntN(workers), gap: time.Duration(100+random.IntN(2500)) * time.Millisecond, down: time.Duration(50+random.IntN(1500)) * time.Millisecond}
		if random.IntN(3) == 0 {
			s.term = time.Duration(1+random.IntN(8)) * time.Second
		}
		f := newCrashFleet(t, workers, random.IntN(2) == 0)
		f.renewEvery = time.Duration(random.IntN(17)) * crashFleetStep
		f.run(time.Second)
		tasks := 1 + random.IntN(3*workers)
		f.addJob("lasting", work.Step{Count: tasks, Service: true})
		f.crashAtRandom(s, seed, time.Duration(10+random.IntN(50))*time.Second)
		qt.Check(t, f.state("lasting").Ended(), qt.IsFalse, qt.Commentf("seed %d: %+v", seed, s))
		f.run(9 * time.Second)
		qt.Check(t, f.running("lasting"), qt.Equals, tasks, qt.Commentf("seed %d: %+v", seed, s))
	}
}
