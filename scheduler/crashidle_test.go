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

// idleAfter lets time pass and returns the longest time for which a task does not run beyond idleAfterRun after its last run, and
// idleAfterCalm after calm.
func (f *crashFleet) idleAfter(task work.Task, calm, lastRun, d time.Duration) (longest time.Duration) {
	for end := f.now + d; f.now < end; f.run(crashFleetStep) {
		if f.runs(task) {
			lastRun = f.now
		}
		longest = max(longest, f.now-max(lastRun+idleAfterRun, calm+idleAfterCalm))
	}
	return longest
}

// TestPauseAfterCrashOfOtherWorker guards against a service whose pause outlasts the crashes around it, since a worker that does not return is
// known to have crashed only seconds later.
func TestPauseAfterCrashOfOtherWorker(t *testing.T) {
	for _, gap := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 2500 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			const workers, crashes = 30, 8
			f := newCrashFleet(t, workers, true)
			f.run(time.Second)
			task := work.Task{Job: "s"}
			f.addJob("s", work.Step{Count: 1, Service: true}, 0)
			lost := 0
			loseWorker := func() {
				f.workers[lost].downUntil = f.now + time.Hour
				lost++
			}
			for at := f.now + gap; f.crashes[task] < crashes; f.run(crashFleetStep) {
				for _, w := range f.workers[lost:] {
					// A worker that has crashed under the task is back at once.
					w.downUntil = min(w.downUntil, f.now)
				}
				if f.now >= at && lost < workers-5 {
					at += gap
					loseWorker()
				}
			}
			delete(f.deadly, task)
			for _, w := range f.workers[lost:] {
				w.downUntil = min(w.downUntil, f.now)
			}
			loseWorker()
			idle := f.idleAfter(task, f.now, f.now, 40*time.Second)
			qt.Assert(t, idle < maxIdle, qt.IsTrue, qt.Commentf("idle for %v, %d workers lost", idle, lost))
		})
	}
}

// TestPauseAfterCrashAndRefusal guards against a pause after a crash that is added to the time until the crash is known, because the first
// start after that is refused.
func TestPauseAfterCrashAndRefusal(t *testing.T) {
	for _, crashes := range []int{1, 3, 6} {
		t.Run(fmt.Sprint(crashes), func(t *testing.T) {
			r := newIdleRig(t, crashes+3)
			r.addService("s", 1, 1000)
			left, starts := crashes, 0
			r.crashes = func(Command) bool {
				left--
				return left >= 0
			}
			r.refuses = func(string) bool {
				starts++
				return starts == crashes+1
			}
			r.calm = time.Nanosecond
			r.play(time.Duration(crashes)*15*time.Second + time.Second)
			qt.Assert(t, left < 0, qt.IsTrue, qt.Commentf("%d crashes are left", left))
			qt.Assert(t, r.longest < maxIdle, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
		})
	}
}

// TestWideServicesAfterLostWorkers guards against tasks of wide services that wait for long after workers were lost for good in a series, since
// each of them has lost several workers and is taken for a cause.
func TestWideServicesAfterLostWorkers(t *testing.T) {
	const workers, width = 40, 20
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			r := newIdleRig(t, workers)
			for i := range 3 {
				r.addService(fmt.Sprint("s", i), width, 1200)
			}
			r.play(time.Second)
			lost := 0
			// Every other worker that starts a task of those that were lost crashes under it.
			r.crashes = func(Command) bool {
				if random.IntN(2) == 0 || lost >= workers-width-2 {
					return false
				}
				lost++
				r.calm = r.now
				return true
			}
			at, gap := r.now, time.Duration(1+random.IntN(30))*100*time.Millisecond
			for lost < workers-width-2 {
				r.play(idleStep)
				if r.now < at {
					continue
				}
				at += gap
				for range 1 + random.IntN(3) {
					id := r.workers[random.IntN(workers)]
					if _, down := r.downSince[id]; !down && lost < workers-width-2 && len(r.runs[id]) > 0 {
						r.downSince[id] = r.now
						lost++
					}
				}
			}
			r.calm, r.longest = max(r.calm, r.now), 0
			r.play(15 * time.Second)
			t.Log(gap, r.longest)
			qt.Assert(t, r.longest < maxIdle, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
		})
	}
}

// TestDeadlyServiceAndQuickRestarts guards against a deadly service that starts without a pause, because its worker restarts before the start
// has an answer.
func TestDeadlyServiceAndQuickRestarts(t *testing.T) {
	// The pause is 4 s after the first few starts, and each is sent twice at most.
	const most = 2 * (60/4 + 4)
	for _, answered := range []bool{true, false} {
		r := newRig(t, 1, "w0", "w1", "w2", "w3")
		r.addJob(work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(1), Service: true}}})
		born := map[string]int64{"w0": rigIncarnation, "w1": rigIncarnation, "w2": rigIncarnation, "w3": rigIncarnation}
		restartAt := make(map[string]time.Duration)
		starts := 0
		for end := r.now + 60*time.Second; r.now < end; {
			r.advance(50 * time.Millisecond)
			reports := make([]worker.Report, 0, 4)
			for id, b := range born {
				rep := rigReport(id, work.Resources{CPU: 4000, Memory: 4000})
				rep.Incarnation = b
				reports = append(reports, rep)
			}
			r.core.SetWorkers(reports)
			for id := range born {
				if at, down := restartAt[id]; down {
					if r.now < at {
						continue
					}
					delete(restartAt, id)
					born[id]++
				}
				if renewal, ok := r.core.Renewal(id); ok {
					r.core.HandleStatus(renewal.call, worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: born[id]}}, r.now, nil)
				}
			}
			for _, cmd := range r.pass() {
				switch {
				case cmd.Kind != CommandStart:
					r.core.HandleReply(cmd, worker.Reply{Clock: r.now}, r.now, nil)
				case answered:
					starts++
					r.core.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
					restartAt[cmd.Target.ID] = r.now + 400*time.Millisecond
				default:
					starts++
					restartAt[cmd.Target.ID] = r.now + 400*time.Millisecond
				}
			}
		}
		qt.Assert(t, starts <= most, qt.IsTrue, qt.Commentf("error at once %v: %d starts in 60 s", answered, starts))
	}
}
