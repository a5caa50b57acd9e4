package promises_test

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

const (
	first, second = "process-1", "process-2"
	key, oldKey   = "key-a", "key-old"
	ms            = time.Millisecond
)

// play records a history. Its jobs go to queue q, whose pool has the workers w1 to w4 and whose tasks have two attempts.
type play struct {
	*promises.History
	start time.Time
}

func configuration(version int, queues ...string) promises.Configuration {
	c := promises.Configuration{Version: version, Queues: map[string]promises.Queue{}, Teams: map[string]promises.Team{
		"team-a": {Keys: []string{key}, Limit: promises.Resources{CPU: 12000}}, "team-b": {Keys: []string{"key-b"}},
	}}
	for _, q := range queues {
		c.Queues[q] = promises.Queue{Pool: "desk", Attempts: 2}
	}
	c.Queues["back"] = promises.Queue{Pool: "back", Attempts: 2}
	return c
}

// newPlay returns a play with two processes and four workers that have been calm for long enough.
func newPlay() play {
	p := play{promises.NewHistory(), time.Now()}
	c := configuration(1, "q")
	c.Teams["team-a"] = promises.Team{Keys: []string{key, oldKey}, Limit: c.Teams["team-a"].Limit}
	p.Configure(c)()
	p.ProcessStarted(first)
	p.ProcessStarted(second)
	for i := range 4 {
		p.WorkerStarted(promises.Worker{ID: fmt.Sprint("w", i+1), Pool: "desk", Life: 1, Capacity: promises.Resources{CPU: 16000, Memory: 32000}})
	}
	time.Sleep(5 * time.Second)
	p.start = time.Now()
	return p
}

// at waits until a time since the start of the play.
func (p *play) at(since time.Duration) { time.Sleep(time.Until(p.start.Add(since))) }

func aJob(id string, steps ...promises.Step) promises.Job {
	if len(steps) == 0 {
		steps = []promises.Step{{Count: 1, Needs: promises.Resources{CPU: 2000, Memory: 100}}}
	}
	return promises.Job{ID: id, Queue: "q", Steps: steps}
}

// answer answers a call after a millisecond.
func answer(answered func(promises.Answer), status int, state promises.State) {
	time.Sleep(ms)
	answered(promises.Answer{Status: status, State: state})
}

func (p *play) submit(status int, job promises.Job) {
	answer(p.Submit(first, key, job), status, "")
}

func (p *play) show(process, id string, status int, state promises.State) {
	answer(p.Ask(process, key, "q", id), status, state)
}

// begin begins a run of a task with a name such as a.0.0.0 and returns it.
func (p *play) begin(task string, number int, worker string) promises.Run {
	t, err := promises.ParseTask(task)
	if err != nil {
		panic(err)
	}
	time.Sleep(ms)
	r := promises.Run{Task: t, Number: number, Worker: worker, Life: 1}
	p.RunBegan(r)
	p.RunAtWork(r)
	time.Sleep(ms)
	return r
}

// end ends a run, and acknowledges that.
func (p *play) end(r promises.Run, how promises.How) {
	time.Sleep(ms)
	p.RunEnded(r, how)
	time.Sleep(ms)
	p.EndAcknowledged(r)
}

var (
	twoSteps = []promises.Step{{Count: 2}, {Count: 1, After: []int{0}}}
	lasting  = []promises.Step{{Count: 3, LongRunning: true, MayMiss: 1, Needs: promises.Resources{CPU: 1000}}}
	gang     = []promises.Step{{Count: 2, Gang: true}}
)

type planted struct {
	promise promises.Promise
	// broken is the number of violations of the promise.
	broken int
	// also is another promise that the same violation breaks.
	also promises.Promise
	play func(p *play)
}

var plays = map[string]planted{
	"410 for an accepted job": {promises.AcceptedKept, 1, "", func(p *play) {
		p.submit(200, aJob("a"))
		p.at(4 * time.Second)
		p.show(second, "a", 410, "")
	}},
	"410 within the bound, and from a process that was cut off": {promises.AcceptedKept, 0, "", func(p *play) {
		p.submit(200, aJob("a"))
		p.show(second, "a", 410, "")
		p.at(2 * time.Second)
		p.Disrupt(promises.Cut, second)()
		p.at(4 * time.Second)
		p.show(second, "a", 410, "")
	}},
	"no state after the end": {promises.AcceptedKept, 1, "", func(p *play) {
		p.submit(200, aJob("a"))
		p.end(p.begin("a.0.0.0", 1, "w1"), promises.Done)
		p.LoadEnded()
		p.at(15 * time.Second)
		p.show(first, "a", 0, "")
		p.show(second, "a", 503, "")
	}},
	"task that never runs": {promises.AcceptedKept, 1, "", func(p *play) {
		p.submit(200, aJob("a"))
		p.LoadEnded()
		p.at(25 * time.Second)
	}},
	"lasting task that does not run again": {promises.AcceptedKept, 1, "", func(p *play) {
		p.submit(200, aJob("a", lasting...))
		var last promises.Run
		for i := range 3 {
			last = p.begin(fmt.Sprint("a.0.0.", i), 1, "w1")
		}
		p.end(last, promises.Failed)
		p.at(14 * time.Second)
	}},
	"lasting tasks that run again in time": {promises.AcceptedKept, 0, "", func(p *play) {
		p.submit(200, aJob("a", lasting[0], promises.Step{Count: 1, LongRunning: true, Requires: "other"}))
		var last promises.Run
		for i := range 3 {
			last = p.begin(fmt.Sprint("a.0.0.", i), 1, "w1")
		}
		p.at(5 * time.Second)
		p.end(last, promises.Failed)
		p.at(14 * time.Second)
		p.begin("a.0.0.2", 2, "w2")
		p.at(30 * time.Second)
	}},
	"state before an end that was shown": {promises.AcceptedOnce, 1, "", func(p *play) {
		p.submit(200, aJob("a"))
		p.end(p.begin("a.0.0.0", 1, "w1"), promises.Done)
		p.show(first, "a", 200, promises.Finished)
		p.at(5 * time.Second)
		p.show(second, "a", 200, promises.Pending)
	}},
	"cancelled without a cancellation": {promises.AcceptedOnce, 1, "", func(p *play) {
		p.submit(0, aJob("a"))
		p.show(first, "a", 200, promises.Cancelled)
	}},
	"late submission, cancellation without an answer, and an old state": {promises.AcceptedOnce, 0, "", func(p *play) {
		answered := p.Submit(second, key, aJob("a"))
		p.submit(0, aJob("a"))
		p.Cancel(first, key, "q", "a")
		p.show(first, "a", 200, promises.Cancelled)
		p.show(second, "a", 200, promises.Running)
		answered(promises.Answer{Status: 200})
	}},
	"two runs at a time": {promises.OneRun, 1, "", func(p *play) {
		p.submit(200, aJob("a"))
		r := p.begin("a.0.0.0", 1, "w1")
		p.begin("a.0.0.0", 2, "w2")
		p.end(r, promises.Lapsed)
	}},
	"runs after a lapsed lease and on a frozen worker": {promises.OneRun, 0, "", func(p *play) {
		p.submit(200, aJob("a"))
		p.end(p.begin("a.0.0.0", 1, "w1"), promises.Lapsed)
		r := p.begin("a.0.0.0", 2, "w2")
		thaw := p.Disrupt(promises.Frozen, "w2")
		p.begin("a.0.0.0", 3, "w3")
		thaw()
		p.end(r, promises.Lapsed)
	}},
	"run after done": {promises.NoneAfterDone, 1, "", func(p *play) {
		p.submit(200, aJob("a"))
		p.end(p.begin("a.0.0.0", 1, "w1"), promises.Done)
		p.begin("a.0.0.0", 2, "w2")
	}},
	"run after an end that lapsed before it was acknowledged": {promises.NoneAfterDone, 0, "", func(p *play) {
		p.submit(200, aJob("a"))
		r := p.begin("a.0.0.0", 1, "w1")
		p.RunEnded(r, promises.Done)
		p.LeaseLapsed("w1", 1)
		p.EndAcknowledged(r)
		p.end(p.begin("a.0.0.0", 2, "w2"), promises.Done)
	}},
	"step too early": {promises.StepOrder, 1, "", func(p *play) {
		p.submit(200, aJob("a", twoSteps...))
		p.end(p.begin("a.0.0.0", 1, "w1"), promises.Done)
		p.begin("a.0.1.0", 1, "w2")
	}},
	"step in its turn": {promises.StepOrder, 0, "", func(p *play) {
		p.submit(200, aJob("a", twoSteps...))
		p.end(p.begin("a.0.0.0", 1, "w1"), promises.Done)
		p.end(p.begin("a.0.0.1", 1, "w1"), promises.Done)
		p.begin("a.0.1.0", 1, "w2")
	}},
	"third attempt": {promises.Attempts, 1, "", func(p *play) {
		p.submit(200, aJob("a"))
		p.end(p.begin("a.0.0.0", 1, "w1"), promises.Failed)
		p.end(p.begin("a.0.0.0", 2, "w1"), promises.Failed)
		p.begin("a.0.0.0", 3, "w2")
	}},
	"two attempts and two lapsed leases": {promises.Attempts, 0, "", func(p *play) {
		p.submit(200, aJob("a"))
		for i, how := range []promises.How{promises.Lapsed, promises.Failed, promises.Crashed, promises.Failed} {
			p.end(p.begin("a.0.0.0", i+1, "w1"), how)
		}
	}},
	"member alone": {promises.GangsWhole, 1, "", func(p *play) {
		p.submit(200, aJob("a", gang...))
		r := p.begin("a.0.0.0", 1, "w1")
		p.at(3 * time.Second)
		p.end(r, promises.Alone)
	}},
	"member alone after a crash, and a whole gang": {promises.GangsWhole, 0, "", func(p *play) {
		p.submit(200, aJob("a", gang...))
		r := p.begin("a.0.0.0", 1, "w1")
		p.Disrupt(promises.Killed, "w2")()
		p.at(3 * time.Second)
		p.end(r, promises.Alone)
		p.begin("a.0.0.0", 2, "w1")
		p.begin("a.0.0.1", 2, "w3")
	}},
	"team above its limit": {promises.TeamLimits, 1, "", func(p *play) {
		p.submit(200, aJob("a", promises.Step{Count: 8, Needs: promises.Resources{CPU: 2000}}))
		for i := range 8 {
			p.begin(fmt.Sprint("a.0.0.", i), 1, fmt.Sprint("w", i%2+1))
		}
	}},
	"team one task above its limit, and after a lower one": {promises.TeamLimits, 0, "", func(p *play) {
		p.submit(200, aJob("a", promises.Step{Count: 8, Needs: promises.Resources{CPU: 2000}}))
		lower := configuration(2, "q")
		lower.Teams["team-a"] = promises.Team{Keys: []string{key}, Limit: promises.Resources{CPU: 1000}}
		p.Configure(lower)()
		for i := range 7 {
			p.begin(fmt.Sprint("a.0.0.", i), 1, fmt.Sprint("w", i%2+1))
		}
	}},
	"two stops of a step that may miss one":    {promises.DisruptionBudget, 1, "", func(p *play) { p.stopTwo(0) }},
	"second stop after the first task is back": {promises.DisruptionBudget, 0, "", func(p *play) { p.stopTwo(time.Second) }},
	"withdrawn key": {promises.KeysWithdrawn, 1, promises.ConfigForward, func(p *play) {
		p.Configure(configuration(2, "q"))()
		p.at(3 * time.Second)
		answer(p.Call(first, oldKey, "q"), 200, "")
	}},
	"key that never was": {promises.KeysWithdrawn, 1, promises.ConfigForward, func(p *play) {
		answer(p.Call(first, "key-none", "q"), 200, "")
	}},
	"withdrawn key within the bound and at a process that was paused": {promises.KeysWithdrawn, 0, "", func(p *play) {
		p.Configure(configuration(2, "q"))()
		answer(p.Call(first, oldKey, "q"), 200, "")
		p.at(2 * time.Second)
		p.Disrupt(promises.Frozen, second)()
		p.at(3 * time.Second)
		answer(p.Call(second, oldKey, "q"), 200, "")
		answer(p.Call(first, oldKey, "q"), 401, "")
	}},
	"refused job runs": {promises.RefusedNeverRun, 1, "", func(p *play) {
		p.submit(503, aJob("a"))
		p.begin("a.0.0.0", 1, "w1")
	}},
	"job without an answer runs": {promises.RefusedNeverRun, 0, "", func(p *play) {
		p.submit(429, aJob("a"))
		p.submit(503, aJob("b"))
		p.submit(0, aJob("b"))
		p.begin("b.0.0.0", 1, "w1")
	}},
	"cancelled job begins": {promises.CancelledEnds, 1, "", func(p *play) {
		p.submit(200, aJob("a"))
		answer(p.Cancel(first, key, "q", "a"), 200, "")
		p.at(3500 * ms)
		p.end(p.begin("a.0.0.0", 1, "w1"), promises.Stopped)
	}},
	"cancelled job works on": {promises.CancelledEnds, 1, "", func(p *play) {
		p.submit(200, aJob("a"))
		r := p.begin("a.0.0.0", 1, "w1")
		answer(p.Cancel(first, key, "q", "a"), 200, "")
		p.at(4 * time.Second)
		p.end(r, promises.Stopped)
	}},
	"cancelled job ends in time, after a disruption": {promises.CancelledEnds, 0, "", func(p *play) {
		p.submit(200, aJob("a"))
		r := p.begin("a.0.0.0", 1, "w1")
		answer(p.Cancel(first, key, "q", "a"), 200, "")
		p.at(3 * time.Second)
		p.Disrupt(promises.Cut, "w1")()
		p.at(9 * time.Second)
		p.end(r, promises.Stopped)
	}},
	"answer broken off by a planned stop": {promises.WholeAnswers, 1, "", func(p *play) {
		answered := p.Call(first, key, "q")
		p.ProcessStopRequested(first)
		p.at(300 * ms)
		answered(promises.Answer{BrokenOff: true})
		p.ProcessEnded(first)
	}},
	"answers broken off at once and by a kill": {promises.WholeAnswers, 0, "", func(p *play) {
		late, killed := p.Call(first, key, "q"), p.Call(second, key, "q")
		p.ProcessStopRequested(first)
		at := p.Call(first, key, "q")
		p.at(100 * ms)
		at(promises.Answer{BrokenOff: true})
		p.at(300 * ms)
		late(promises.Answer{Status: 200})
		p.ProcessEnded(second)
		killed(promises.Answer{BrokenOff: true})
	}},
	"start on a draining worker": {promises.DrainingSpared, 1, "", func(p *play) {
		p.submit(200, aJob("a"))
		p.WorkerDraining("w1", 1)
		p.at(2500 * ms)
		p.begin("a.0.0.0", 1, "w1")
	}},
	"starts on a draining worker within the bound and late": {promises.DrainingSpared, 0, "", func(p *play) {
		p.submit(200, aJob("a", twoSteps...))
		p.WorkerDraining("w1", 1)
		p.begin("a.0.0.0", 1, "w1")
		p.at(2500 * ms)
		p.RunBeganLate(promises.Run{Task: promises.Task{Job: "a", Index: 1}, Number: 1, Worker: "w1", Life: 1})
	}},
	"older configuration again": {promises.ConfigForward, 1, "", func(p *play) {
		p.Configure(configuration(2, "q", "new"))()
		answer(p.Call(first, key, "new"), 200, "")
		p.at(time.Second)
		answer(p.Call(first, key, "new"), 404, "")
	}},
	"configuration too late": {promises.ConfigForward, 1, "", func(p *play) {
		p.Configure(configuration(2, "q", "new"))()
		p.at(2500 * ms)
		answer(p.Call(first, key, "new"), 404, "")
	}},
	"configuration in time, one process after the other": {promises.ConfigForward, 0, "", func(p *play) {
		p.Configure(configuration(2, "q", "new"))()
		answer(p.Call(first, key, "new"), 200, "")
		p.at(time.Second)
		answer(p.Call(second, key, "new"), 404, "")
		p.ProcessEnded(first)
		p.ProcessStarted(first)
		answer(p.Call(first, key, "new"), 404, "")
		p.at(3 * time.Second)
		answer(p.Call(second, key, "new"), 200, "")
	}},
	"finished before it is done": {promises.StatesTrue, 1, "", func(p *play) {
		p.submit(200, aJob("a", twoSteps...))
		p.end(p.begin("a.0.0.0", 1, "w1"), promises.Done)
		p.show(first, "a", 200, promises.Finished)
	}},
	"failed by crashes": {promises.StatesTrue, 1, "", func(p *play) {
		p.submit(200, aJob("a"))
		for i := range 3 {
			p.end(p.begin("a.0.0.0", i+1, "w1"), promises.Crashed)
		}
		p.show(first, "a", 200, promises.FailedJob)
	}},
	"finished, failed and deadly": {promises.StatesTrue, 0, "", func(p *play) {
		deadly := aJob("c")
		deadly.Deadly = true
		for _, job := range []promises.Job{aJob("a", gang...), aJob("b"), deadly} {
			p.submit(200, job)
		}
		p.end(p.begin("a.0.0.1", 1, "w1"), promises.Done)
		for i := range 3 {
			p.end(p.begin("c.0.0.0", i+1, "w2"), promises.Crashed)
		}
		p.end(p.begin("b.0.0.0", 1, "w1"), promises.Failed)
		p.end(p.begin("b.0.0.0", 2, "w1"), promises.Failed)
		p.show(first, "a", 200, promises.Finished)
		p.show(second, "b", 200, promises.FailedJob)
		p.show(second, "c", 200, promises.FailedJob)
	}},
}

// stopTwo stops two tasks of a step, with a pause in between in which the first one is back.
func (p *play) stopTwo(pause time.Duration) {
	p.submit(200, aJob("a", lasting...))
	var runs []promises.Run
	for i := range 3 {
		runs = append(runs, p.begin(fmt.Sprint("a.0.0.", i), 1, fmt.Sprint("w", i+1)))
	}
	p.StopCommanded(runs[0])
	p.end(runs[0], promises.Stopped)
	if pause > 0 {
		time.Sleep(pause)
		p.begin("a.0.0.0", 2, "w4")
	}
	p.StopCommanded(runs[1])
	p.end(runs[1], promises.Stopped)
	p.begin("a.0.0.1", 2, "w4")
}

// verify checks that the promise of a play is broken as often as planted, and no other promise is.
func verify(planted planted, verdicts []promises.Verdict) error {
	for _, v := range verdicts {
		switch n := len(v.Violations); {
		case v.Promise == planted.promise && (n != planted.broken || v.Checked == 0):
			return fmt.Errorf("%s: checked %d times, violations: %v", v.Promise, v.Checked, v.Violations)
		case v.Promise != planted.promise && v.Promise != planted.also && n > 0:
			return fmt.Errorf("%s, which was not broken: %v", v.Promise, v.Violations)
		}
	}
	return nil
}

func TestCheck(t *testing.T) {
	for name, planted := range plays {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay()
				planted.play(&p)
				qt.Assert(t, verify(planted, promises.Check(p.History, promises.DefaultBounds())), qt.IsNil)
			})
		})
	}
}

func TestEachPromiseCanBeBroken(t *testing.T) {
	for _, promise := range promises.Names() {
		for _, broken := range []bool{false, true} {
			qt.Check(t, slices.ContainsFunc(slices.Collect(maps.Values(plays)), func(p planted) bool {
				return p.promise == promise && p.broken > 0 == broken
			}), qt.IsTrue, qt.Commentf("%s, broken: %t", promise, broken))
		}
	}
}

// correctJob is a drawn job of a queue that the plays do not use, with what becomes of the runs of its only task.
type correctJob struct {
	id       string
	after    time.Duration
	statuses []int
	ends     []promises.How
	work     []time.Duration
}

func drawJob(rt *rapid.T, index int) correctJob {
	ends := rapid.SliceOfN(rapid.SampledFrom([]promises.How{promises.Lapsed, promises.Stopped, promises.Crashed, promises.Broken}), 0, 3).Draw(rt, "ends")
	if rapid.Bool().Draw(rt, "fails once") {
		ends = append(ends, promises.Failed)
	}
	ends = append(ends, promises.Done)
	duration := func(most int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(1, most), func(n int) time.Duration { return time.Duration(n) * ms })
	}
	return correctJob{
		id: fmt.Sprint("back-", index), after: duration(5000).Draw(rt, "after"), ends: ends,
		statuses: rapid.SliceOfN(rapid.SampledFrom([]int{0, 429, 502, 503, 504}), 0, 3).Draw(rt, "statuses"),
		work:     rapid.SliceOfN(duration(2000), len(ends), len(ends)).Draw(rt, "work"),
	}
}

// run submits the job until it is accepted, works at it, and asks for its state.
func (j correctJob) run(p *play) {
	time.Sleep(j.after)
	job := promises.Job{ID: j.id, Queue: "back", Steps: []promises.Step{{Count: 1}}}
	for _, status := range append(j.statuses, 200) {
		answer(p.Submit(first, "key-b", job), status, "")
	}
	for i, how := range j.ends {
		r := p.begin(j.id+".0.0.0", i+1, fmt.Sprint("back-", i))
		time.Sleep(j.work[i])
		p.end(r, how)
		if how != promises.Done {
			answer(p.Ask(second, "key-b", "back", j.id), 200, promises.Running)
		}
	}
	answer(p.Ask(second, "key-b", "back", j.id), 200, promises.Finished)
}

// TestCheckBesideLoad plays each history beside random correct ones, which neither add violations nor hide one.
func TestCheckBesideLoad(t *testing.T) {
	names := slices.Sorted(maps.Keys(plays))
	rapid.Check(t, func(rt *rapid.T) {
		planted := plays[rapid.SampledFrom(names).Draw(rt, "play")]
		var jobs []correctJob
		for i := range rapid.IntRange(1, 8).Draw(rt, "jobs") {
			jobs = append(jobs, drawJob(rt, i))
		}
		var err error
		synctest.Test(t, func(*testing.T) {
			p := newPlay()
			var load sync.WaitGroup
			for _, j := range jobs {
				load.Go(func() { j.run(&p) })
			}
			planted.play(&p)
			err = verify(planted, promises.Check(p.History, promises.DefaultBounds()))
			load.Wait()
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
