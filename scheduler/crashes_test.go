package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestCrashLoop guards against a task that is started without end although each worker that starts it crashes.
func TestCrashLoop(t *testing.T) {
	tests := map[string]struct {
		keepsID    bool
		unanswered bool
		step       work.Step
		deadly     []int
		// leaderChanges are the times at which another process acquires leadership.
		leaderChanges []time.Duration
		// changesAfterCrash is after how many crashes it does so before the crash is known.
		changesAfterCrash int
	}{
		"a worker returns as another":            {step: work.Step{Count: 3}, deadly: []int{1}},
		"a worker returns under its ID":          {keepsID: true, step: work.Step{Count: 3}, deadly: []int{1}},
		"no answer":                              {unanswered: true, step: work.Step{Count: 3}, deadly: []int{1}},
		"no answer, a worker keeps its ID":       {keepsID: true, unanswered: true, step: work.Step{Count: 3}, deadly: []int{1}},
		"several tasks of a job":                 {step: work.Step{Count: 6}, deadly: []int{0, 2, 5}},
		"a service":                              {step: work.Step{Count: 3, Service: true}, deadly: []int{1}},
		"several tasks of a service":             {step: work.Step{Count: 12, Service: true}, deadly: []int{0, 2, 3, 5, 7, 11}},
		"a gang":                                 {step: work.Step{Count: 3, Gang: true}, deadly: []int{1}},
		"leader changes while a worker is down":  {step: work.Step{Count: 3}, deadly: []int{1}, leaderChanges: []time.Duration{time.Second}},
		"leader changes often":                   {step: work.Step{Count: 3}, deadly: []int{1}, leaderChanges: []time.Duration{time.Second, 8 * time.Second, 15 * time.Second}},
		"leader changes after three crashes":     {step: work.Step{Count: 3}, deadly: []int{1}, changesAfterCrash: 3},
		"leader changes after four crashes":      {step: work.Step{Count: 3}, deadly: []int{1}, changesAfterCrash: 4},
		"leader changes after each crash":        {step: work.Step{Count: 3}, deadly: []int{1}, changesAfterCrash: 10},
		"leader changes, a worker keeps its ID":  {keepsID: true, step: work.Step{Count: 3}, deadly: []int{1}, leaderChanges: []time.Duration{time.Second, 8 * time.Second}},
		"leader changes under a crashed service": {step: work.Step{Count: 3, Service: true}, deadly: []int{1}, leaderChanges: []time.Duration{time.Second}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 8, test.keepsID)
			f.unanswered, f.changesAfterCrash = test.unanswered, test.changesAfterCrash
			f.run(time.Second)
			f.addJob("bad", test.step, test.deadly...)
			for i := range 6 {
				f.addJob(fmt.Sprintf("good%d", i), work.Step{Count: 4})
			}
			start := f.now
			for _, at := range test.leaderChanges {
				f.run(at - (f.now - start))
				f.changeLeader()
			}
			f.run(time.Minute - (f.now - start))
			for i := range 6 {
				qt.Check(t, f.state(fmt.Sprintf("good%d", i)), qt.Equals, work.Finished)
			}
			limit := 2
			if test.step.Service {
				// A service has no bound on its starts, and waits for 4 s before each.
				limit = 15
			}
			for task, n := range f.later {
				qt.Check(t, n <= limit, qt.IsTrue, qt.Commentf("%v was started %d times after three workers had crashed under it", task, n))
			}
			if !test.step.Service {
				qt.Check(t, f.state("bad"), qt.Equals, work.Failed)
				return
			}
			qt.Check(t, f.state("bad").Ended(), qt.IsFalse)
			f.core.Cancel("bad")
			f.run(5 * time.Second)
			qt.Check(t, f.state("bad"), qt.Equals, work.Cancelled)
			qt.Check(t, f.running("bad"), qt.Equals, 0)
		})
	}
}

// TestCrashesDuringOutage guards against a task that crashes workers during an outage of the store, and as many again under the next
// leader, which does not know of the crashes.
func TestCrashesDuringOutage(t *testing.T) {
	f := newCrashFleet(t, 8, true)
	f.run(time.Second)
	f.addJob("bad", work.Step{Count: 24}, 1)
	f.run(2 * crashFleetStep)
	f.storeDown = true
	f.run(20 * time.Second)
	f.changeLeader()
	f.storeDown = false
	f.run(time.Minute)
	for task, n := range f.later {
		qt.Check(t, n < 3, qt.IsTrue, qt.Commentf("%v was started %d times after three workers had crashed under it", task, n))
	}
	qt.Assert(t, f.state("bad"), qt.Equals, work.Failed)
}

// TestConfirmationProvesNothing guards against a crash that is blamed on other tasks because a confirmation, or the reply of a new
// incarnation, is taken as proof that the worker has survived the start of its cause.
func TestConfirmationProvesNothing(t *testing.T) {
	tests := map[string]struct {
		crash func(r *rig, cause Command)
		// recognised means that the restart is known before the report of the new incarnation, so that no other task is started there.
		recognised bool
	}{
		"confirmation takes long": {crash: func(r *rig, cause Command) {
			clock := r.now
			r.advance(200 * time.Millisecond)
			r.core.HandleReply(cause, worker.Reply{Clock: clock}, clock, nil)
		}},
		"reply is processed late": {crash: func(r *rig, cause Command) {
			r.accept([]Command{cause})
			status := worker.Status{Reply: worker.Reply{Clock: r.now + time.Millisecond, Incarnation: rigIncarnation}, Running: r.runs["w1"]}
			sent := r.now
			r.advance(200 * time.Millisecond)
			r.core.HandleStatus(r.callTo("w1"), status, sent, nil)
		}},
		"new incarnation accepts a start": {crash: func(r *rig, cause Command) {
			r.accept([]Command{cause})
			r.addSteps("repeated", 1)
			start := r.pass()[0]
			r.core.HandleReply(start, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
			r.advance(time.Second)
			r.core.HandleReply(start, worker.Reply{Clock: 100 * time.Millisecond}, r.now, nil)
		}, recognised: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			cause := r.addSteps("cause", 1)
			test.crash(r, r.pass()[0])
			r.addSteps("other", 1)
			qt.Assert(t, slices.Contains(startsOf(r.pass()), "other 0.0.0 1 w1"), qt.Equals, !test.recognised)
			r.core.HandleStatus(r.callTo("w1"), worker.Status{Reply: worker.Reply{Clock: 200 * time.Millisecond, Incarnation: rigNextIncarnation}}, r.now, nil)
			qt.Assert(t, cause.open[0].steps[0].crashCount(0).All, qt.Equals, 1)
		})
	}
}

// TestCrashingWorker guards against a job that fails because its task goes to the same worker again, which keeps crashing by itself.
func TestCrashingWorker(t *testing.T) {
	for name, gang := range map[string]bool{"task": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w")
			r.addSteps("beside", 4)
			r.accept(r.pass())
			j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Gang: gang, Request: coresOnly(1), Estimate: time.Second}}})
			for life := range 4 {
				crashing := rigReport(fmt.Sprintf("life%d", life), coresOnly(4))
				crashing.Address = "crashing:1"
				r.core.SetWorkers([]worker.Report{rigReport("w", coresOnly(4)), crashing})
				r.reply(crashing.ID)
				r.reply("w")
				r.accept(r.pass())
				r.advance(gangPause)
				r.core.HandleStatus(r.callTo(crashing.ID), worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, r.now, nil)
				r.advance(gangPause)
				r.finish("w", worker.ExitDone)
				r.reply("w")
			}
			qt.Assert(t, j.progress.State, qt.Equals, work.Finished)
		})
	}
}

// TestPartitionIsNoCrash guards against a job that fails because the worker of its task has lost its connections several times, and against
// a crash that counts as nothing because the worker was silent for long.
func TestPartitionIsNoCrash(t *testing.T) {
	tests := map[string]struct {
		// reported means that the worker has reported after the start.
		reported bool
		// returns is the life that answers at the address of the worker afterwards, if any.
		returns   string
		returnsAs int64
		// early means that it appears before the silent worker is removed, and listed that the registry lists it and it does not answer.
		early, listed    bool
		crashes, silents int
	}{
		"worker has survived the start":        {reported: true},
		"worker is silent since the start":     {silents: 1},
		"worker was cut off":                   {returns: "w1", returnsAs: rigIncarnation},
		"worker was cut off after a report":    {reported: true, returns: "w1", returnsAs: rigIncarnation},
		"worker has started again":             {returns: "w1", returnsAs: rigNextIncarnation, crashes: 1},
		"worker was replaced":                  {returns: "w2", returnsAs: rigNextIncarnation, crashes: 1},
		"worker was replaced early":            {returns: "w2", returnsAs: rigNextIncarnation, early: true, crashes: 1},
		"worker was replaced, no answer":       {returns: "w2", returnsAs: rigNextIncarnation, listed: true, crashes: 1},
		"replaced early, no answer":            {returns: "w2", returnsAs: rigNextIncarnation, early: true, listed: true, crashes: 1},
		"worker is listed again":               {returns: "w1", returnsAs: rigIncarnation, listed: true, silents: 1},
		"entry of an earlier life":             {returns: "w0", returnsAs: rigIncarnation - 1, listed: true, silents: 1},
		"worker was replaced, report at first": {reported: true, returns: "w2", returnsAs: rigNextIncarnation},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			j := r.addSteps("a", 1)
			r.accept(r.pass())
			if test.reported {
				r.advance(time.Second)
				r.reply("w1")
			}
			answer := func() {
				report := rigReport(test.returns, coresOnly(4))
				report.Address, report.Incarnation = "w1:1", test.returnsAs
				r.core.SetWorkers([]worker.Report{report})
				if test.listed {
					return
				}
				r.core.HandleStatus(r.callTo(test.returns), worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: test.returnsAs}}, r.now, nil)
			}
			r.core.SetWorkers(nil)
			if test.early {
				answer()
			}
			for range 10 {
				r.advance(time.Second)
				r.schedule()
			}
			qt.Assert(t, slices.Contains(r.core.Workers(), "w1"), qt.IsFalse)
			if test.returns != "" && !test.early {
				answer()
			}
			count := j.open[0].steps[0].crashCount(0)
			qt.Assert(t, count.All, qt.Equals, test.crashes)
			qt.Assert(t, count.Silent, qt.Equals, test.silents)
		})
	}
}

// TestCrashBeforeTakeover guards against a job that fails for a crash of which the new leader does not know when the run had begun.
func TestCrashBeforeTakeover(t *testing.T) {
	tests := map[string]struct {
		before, after int
		failed        bool
	}{
		"no suspect":       {before: 0, after: 1},
		"suspect":          {before: 1, after: 2},
		"likely cause":     {before: 2, after: 3},
		"a crash too many": {before: 3, after: 4, failed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2)
			r.core.SetRoster([]RosterEntry{{ID: "w9", Pool: "p", Address: "w9:1", Incarnation: rigIncarnation, Capacity: coresOnly(4)}})
			doc := work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(1)}}}
			progress := work.NewProgress()
			o := progress.Occurrence(&doc, 0)
			for run := range test.before {
				o.Steps[0].AddCrash(0, run+1, true)
			}
			o.SetRun(0, 0, "w9", 7)
			r.core.AddJob(doc, progress, 0)
			r.core.HandleStatus(r.callTo("w9"), worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, r.now, nil)
			qt.Assert(t, progress.Occurrence(&doc, 0).Steps[0].Crashes[0], qt.HasLen, test.after)
			qt.Assert(t, r.core.jobs["a"].progress.State == work.Failed, qt.Equals, test.failed)
		})
	}
}

// TestUnconfirmedCrashes guards against a job that fails for starts that may have been lost together with workers that crashed by chance.
func TestUnconfirmedCrashes(t *testing.T) {
	tests := map[string]struct {
		// confirmed tells of each crash whether the worker had confirmed the start.
		confirmed []bool
		failed    bool
	}{
		"three":                       {[]bool{true, true, true}, true},
		"three, one unconfirmed":      {[]bool{false, true, true}, true},
		"three, last one unconfirmed": {[]bool{true, true, false}, true},
		"three, two unconfirmed":      {[]bool{false, false, true}, false},
		"four, three unconfirmed":     {[]bool{false, false, true, false}, false},
		"four, two unconfirmed":       {[]bool{false, false, true, true}, true},
		"five unconfirmed":            {[]bool{false, false, false, false, false}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w0")
			j := r.addSteps("a", 1)
			for i, confirmed := range test.confirmed {
				id := fmt.Sprint("w", i)
				commands := r.pass()
				starts := startsOf(commands)
				qt.Assert(t, starts[len(starts)-1], qt.Equals, fmt.Sprintf("a 0.0.0 %d %s", i+1, id))
				if confirmed {
					r.accept(commands)
				} else {
					r.core.HandleReply(commands[len(commands)-1], worker.Reply{Outcome: worker.Unknown}, r.now, nil)
				}
				r.register(fmt.Sprint("w", i+1))
				r.reply(fmt.Sprint("w", i+1))
				r.core.HandleStatus(r.callTo(id), worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, r.now, nil)
				r.advance(100 * time.Millisecond)
			}
			qt.Assert(t, j.progress.State == work.Failed, qt.Equals, test.failed)
		})
	}
}

// TestGangCrashesOnce guards against a gang whose job fails for one crash, which counts for each member on the worker, or for workers
// that crash together, each of which counts.
func TestGangCrashesOnce(t *testing.T) {
	for name, workers := range map[string][]string{"on one worker": {"w1"}, "on several workers": {"w1", "w2", "w3", "w4", "w5", "w6", "w7"}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, workers...)
			r.setCapacity(coresOnly(int64(7/len(workers))), workers...)
			j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 7, Gang: true, Request: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second}}})
			commands := r.pass()
			qt.Assert(t, startsOf(commands), qt.HasLen, 7)
			r.accept(commands)
			r.advance(time.Second)
			for _, id := range workers {
				r.reply(id)
			}
			for _, id := range workers {
				r.core.HandleStatus(r.callTo(id), worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, r.now, nil)
			}
			qt.Assert(t, j.open[0].steps[0].crashCount(0).Late, qt.Equals, 1)
			qt.Assert(t, j.progress.State.Ended(), qt.IsFalse)
		})
	}
}

// TestGangKeepsItsCrashes guards against a gang that crashes workers without end, because its other members outlive the crash while they
// wait for the one that is gone.
func TestGangKeepsItsCrashes(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	r.setCapacity(work.Resources{CPU: 1000, Memory: 1000}, "w1", "w2")
	j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 2, Gang: true, Request: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second}}})
	s := j.open[0].steps[0]
	s.progress.AddCrash(0, 1, true)
	s.gangRun = 1
	r.accept(r.pass())
	live := func(d time.Duration) {
		for range d / time.Second {
			r.advance(time.Second)
			r.reply("w2")
		}
	}
	live(6 * time.Second)
	qt.Assert(t, s.crashCount(0).All, qt.Equals, 1)
	live(rigBounds().GangTimeout)
	qt.Assert(t, s.crashCount(0).All, qt.Equals, 0)
}

// TestRandomCrashes guards against a job that fails, and whose runs are all stopped, because workers crash by chance under its tasks.
func TestRandomCrashes(t *testing.T) {
	tests := map[string]struct {
		service bool
		// ran is how long each run has worked when its worker crashes.
		ran    time.Duration
		failed int
	}{
		"a task at its start":    {ran: 50 * time.Millisecond, failed: 3},
		"a task later":           {ran: time.Second, failed: 5},
		"a service at its start": {service: true, ran: 50 * time.Millisecond},
		"a service later":        {service: true, ran: time.Second},
		"a task much later":      {ran: 6 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const crashes = 10
			r := newRig(t, 1, "w0")
			j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Service: test.service, Request: coresOnly(1), Estimate: time.Minute}}})
			failed := 0
			for i := 1; i <= crashes && failed == 0; i++ {
				r.accept(r.pass())
				r.advance(test.ran)
				r.reply(fmt.Sprint("w", i-1))
				r.register(fmt.Sprint("w", i))
				r.reply(fmt.Sprint("w", i))
				r.core.HandleStatus(r.callTo(fmt.Sprint("w", i-1)), worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, r.now, nil)
				r.advance(100 * time.Millisecond)
				if j.progress.State == work.Failed {
					failed = i
				}
			}
			qt.Assert(t, failed, qt.Equals, test.failed)
		})
	}
}

// TestCrashesAreForgotten guards against a service that is given up for crashes between which it has worked for long.
func TestCrashesAreForgotten(t *testing.T) {
	r := newRig(t, 1, "w1")
	j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Service: true, Request: coresOnly(1)}}})
	s := j.open[0].steps[0]
	s.progress.AddCrash(0, 1, true)
	s.progress.AddCrash(0, 2, true)
	s.tasks[0].lastRun = 2
	r.accept(r.pass())
	r.advance(time.Second)
	r.reply("w1")
	qt.Assert(t, s.crashCount(0).All, qt.Equals, 2)
	r.advance(5 * time.Second)
	r.reply("w1")
	qt.Assert(t, s.crashCount(0).All, qt.Equals, 0)
	qt.Assert(t, r.core.changedJobs[j], qt.IsTrue)
}

// TestUnsentStartIsNoSuspect guards against a task that waits for a worker that was down before its start, and is blamed for that crash.
func TestUnsentStartIsNoSuspect(t *testing.T) {
	tests := map[string]struct {
		outcomes []worker.Outcome
		gang     bool
		want     []string
		crashes  int
	}{
		"never sent":                       {outcomes: []worker.Outcome{worker.NotSent}, want: []string{"a 0.0.0 2 w2"}},
		"never sent, gang":                 {outcomes: []worker.Outcome{worker.NotSent}, gang: true, want: []string{"a 0.0.0 2 w2"}},
		"no answer":                        {outcomes: []worker.Outcome{worker.Unknown}, want: []string{"a 0.0.0 1 w1"}, crashes: 1},
		"never sent after no answer":       {outcomes: []worker.Outcome{worker.Unknown, worker.NotSent}, want: []string{"a 0.0.0 1 w1"}, crashes: 1},
		"never sent twice after no answer": {outcomes: []worker.Outcome{worker.Unknown, worker.NotSent, worker.NotSent}, want: []string{"a 0.0.0 1 w1"}, crashes: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Gang: test.gang, Request: coresOnly(1)}}})
			commands := r.pass()
			qt.Assert(t, startsOf(commands), qt.DeepEquals, []string{"a 0.0.0 1 w1"})
			r.register("w1", "w2")
			r.reply("w2")
			for _, outcome := range test.outcomes {
				r.core.HandleReply(commands[0], worker.Reply{Outcome: outcome}, r.now, nil)
				r.advance(gangPause)
				commands = r.pass()
				qt.Assert(t, startsOf(commands), qt.DeepEquals, test.want)
			}
			r.core.HandleStatus(r.callTo("w1"), worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, r.now, nil)
			qt.Assert(t, j.open[0].steps[0].crashCount(0).All, qt.Equals, test.crashes)
		})
	}
}

// TestUnsentStopIsRepeated guards against a run that goes on because its stop was never sent.
func TestUnsentStopIsRepeated(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	r.accept(r.pass())
	r.core.Cancel("a")
	stops := r.pass()
	qt.Assert(t, countStops(stops), qt.Equals, 1)
	r.core.HandleReply(stops[0], worker.Reply{Outcome: worker.NotSent}, r.now, nil)
	r.advance(2 * commandPause)
	r.advance(stopRepeatDelay / 10)
	qt.Assert(t, countStops(r.pass()), qt.Equals, 1)
}
