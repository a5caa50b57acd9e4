package scheduler

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/internal/jobs/crashloop"
	"github.com/chivetiller/chivetiller/internal/jobs/waiting"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// addSuspects adds a job with tasks under which workers have crashed before, in its first step.
func (r *rig) addSuspects(id string, tasks, crashes int, others ...work.Step) {
	doc := work.Job{ID: id, Queue: "q", Pool: "p", Steps: []work.Step{{Count: tasks, Request: work.Resources{CPU: 1000}, Estimate: time.Second}}}
	doc.Steps = append(doc.Steps, others...)
	progress := work.NewProgress()
	for i := range tasks {
		for run := range crashes {
			progress.Occurrence(&doc, 0).Steps[0].AddCrash(i, run+1, true)
		}
	}
	r.core.AddJob(doc, progress, 0)
}

// TestSuspectWaitsForReport guards against suspects that wait for the next report of an idle worker, which takes up to a second each.
func TestSuspectWaitsForReport(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSuspects("a", 3, 1)
	started := 0
	for range 20 {
		commands := r.pass()
		for _, cmd := range commands {
			switch cmd.Kind {
			case CommandStart:
				started++
				r.accept([]Command{cmd})
			case CommandPoll:
				r.reply("w1")
			}
		}
		qt.Assert(t, len(startsOf(commands)) <= 1, qt.IsTrue, qt.Commentf("suspects are started together"))
		r.advance(50 * time.Millisecond)
	}
	qt.Assert(t, started, qt.Equals, 3)
}

// TestLikelyCauseRunsAlone guards against tasks that probably crash workers and take the runs of other jobs along.
func TestLikelyCauseRunsAlone(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	r.addSteps("b", 8)
	r.accept(r.pass())
	// One run of each worker ends at once, so that there is room.
	for _, id := range []string{"w1", "w2"} {
		ended := r.runs[id][0]
		r.runs[id] = r.runs[id][1:]
		r.exits[id] = []worker.Exit{{Seq: 1, Task: ended.Task, Number: ended.Number, Reason: worker.ExitDone}}
	}
	r.addSuspects("a", 1, 2)
	for range 10 {
		r.advance(100 * time.Millisecond)
		r.reply("w1")
		r.reply("w2")
		qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	}
	r.finish("w1", worker.ExitDone)
	r.finish("w2", worker.ExitDone)
	r.reply("w1")
	r.reply("w2")
	r.addSteps("c", 8)
	starts := startsOf(r.pass())
	qt.Assert(t, starts[0], qt.Matches, "a 0.0.0 1 w[12]")
	for _, start := range starts[1:] {
		qt.Assert(t, start[len(start)-2:], qt.Not(qt.Equals), starts[0][len(starts[0])-2:], qt.Commentf("start %s beside %s", start, starts[0]))
	}
}

// TestLikelyCausesLeaveWorkers guards against tasks that probably crash workers and take workers of a pool that other tasks need, or wait
// for workers that nothing else needs.
func TestLikelyCausesLeaveWorkers(t *testing.T) {
	tests := map[string]struct {
		// waiting is the number of other tasks that wait, each for a whole worker.
		waiting int
		want    int
	}{
		"idle pool":                     {want: 4},
		"others need a few workers":     {waiting: 3, want: 4},
		"others need most workers":      {waiting: 5, want: 3},
		"others need all workers":       {waiting: 6, want: 2},
		"others need more than workers": {waiting: 20, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8")
			r.addSuspects("a", 6, 2)
			if test.waiting > 0 {
				r.addJob(work.Job{ID: "b", Queue: "q", Pool: "p", Steps: []work.Step{{Count: test.waiting, Request: coresOnly(4)}}})
			}
			likely := 0
			starts := startsOf(r.pass())
			for _, start := range starts {
				if strings.HasPrefix(start, "a ") {
					likely++
				}
			}
			qt.Assert(t, likely, qt.Equals, test.want)
			qt.Assert(t, len(starts)-likely, qt.Equals, min(test.waiting, 8-likely))
			// The suspects may have crashed their workers meanwhile.
			free := 8 - len(starts)
			r.addJob(work.Job{ID: "c", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 8, Request: coresOnly(4)}}})
			r.advance(100 * time.Millisecond)
			qt.Assert(t, startsOf(r.pass()), qt.HasLen, free)
		})
	}
}

// TestOverdueLikelyCauses guards against tasks that probably crash workers and wait for long behind others, and against ones that leave no
// worker to tasks that come.
func TestOverdueLikelyCauses(t *testing.T) {
	tests := map[string]struct {
		waits time.Duration
		// waiting is the number of other tasks that wait, each for a whole worker.
		waiting int
		want    int
	}{
		"backlog has just begun":        {waits: crashloop.OverdueLikelyWait - time.Millisecond, want: 4},
		"overdue":                       {waits: crashloop.OverdueLikelyWait, want: 6},
		"overdue, others need workers":  {waits: crashloop.OverdueLikelyWait, waiting: 3, want: 5},
		"overdue, others need them all": {waits: crashloop.OverdueLikelyWait, waiting: 20, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ids := []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}
			r := newRig(t, 1, ids...)
			r.addSuspects("a", 8, 2)
			for i := range r.core.jobs["a"].open[0].steps[0].tasks {
				r.core.jobs["a"].open[0].steps[0].tasks[i].emptyWorkerSince = r.now
			}
			r.advance(test.waits)
			for _, id := range ids {
				r.reply(id)
			}
			if test.waiting > 0 {
				r.addJob(work.Job{ID: "b", Queue: "q", Pool: "p", Steps: []work.Step{{Count: test.waiting, Request: coresOnly(4)}}})
			}
			likely := 0
			for _, start := range startsOf(r.pass()) {
				if strings.HasPrefix(start, "a ") {
					likely++
				}
			}
			qt.Assert(t, likely, qt.Equals, test.want)
		})
	}
}

// TestLikelyCausesShareWorkers guards against tasks that probably crash workers and wait for workers that run nothing, although no worker
// becomes idle and nothing else needs them.
func TestLikelyCausesShareWorkers(t *testing.T) {
	waiting := work.Step{Count: 1, Request: coresOnly(4)}
	tests := map[string]struct {
		// others are the steps of another job, and beside those of the job of the suspects.
		others, beside []work.Step
		want           int
	}{
		"nothing waits":                {want: 4},
		"a task of another job waits":  {others: []work.Step{waiting}, want: 2},
		"a task of the same job waits": {beside: []work.Step{waiting}, want: 2},
		"a gang waits":                 {others: []work.Step{{Count: 9, Gang: true, Request: coresOnly(4)}}, want: 2},
		"a step that is not ready":     {beside: []work.Step{{Count: 1, Request: coresOnly(4), DependsOn: []int{0}}}, want: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ids := []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}
			r := newRig(t, 1, ids...)
			r.addJob(work.Job{ID: "running", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 8, MaxPerWorker: 1, Request: work.Resources{CPU: 1000}}}})
			r.accept(r.pass())
			if test.others != nil {
				r.addJob(work.Job{ID: "b", Queue: "q", Pool: "p", Steps: test.others})
			}
			r.addSuspects("a", 6, 2, test.beside...)
			var starts []string
			for waited := time.Duration(0); waited <= crashloop.EmptyWorkerWait; waited += 500 * time.Millisecond {
				qt.Assert(t, starts, qt.HasLen, 0)
				for _, id := range ids {
					r.reply(id)
				}
				starts = startsOf(r.pass())
				r.advance(500 * time.Millisecond)
			}
			qt.Assert(t, starts, qt.HasLen, test.want)
		})
	}
}

// TestLikelyCauseAvoidsNewRuns guards against a job that fails for the task of another one that has just started on the same worker.
func TestLikelyCauseAvoidsNewRuns(t *testing.T) {
	ids := []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}
	r := newRig(t, 1, ids...)
	onePerWorker := func(id string, tasks int) {
		r.addJob(work.Job{ID: id, Queue: "q", Pool: "p", Steps: []work.Step{{Count: tasks, MaxPerWorker: 1, Request: work.Resources{CPU: 1000}}}})
	}
	pass := func() []string {
		for _, id := range ids {
			r.reply(id)
		}
		commands := r.pass()
		r.accept(commands)
		return startsOf(commands)
	}
	onePerWorker("running", 8)
	pass()
	r.addSuspects("a", 6, 2)
	for range 4 {
		r.advance(crashloop.EmptyWorkerWait / 4)
		qt.Assert(t, pass(), qt.HasLen, 0)
	}
	r.advance(crashloop.EmptyWorkerWait / 4)
	onePerWorker("new", 6)
	likely := 0
	for _, start := range pass() {
		if strings.HasPrefix(start, "a ") {
			likely++
		}
	}
	qt.Assert(t, likely, qt.Equals, 2)
}

// TestSilentWorkerGetsNoStarts guards against tasks that are sent to a worker that has crashed, and wait there until that is known.
func TestSilentWorkerGetsNoStarts(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	commands := r.pass()
	r.core.HandleReply(commands[0], worker.Reply{Outcome: worker.Unknown}, r.now, nil)
	r.addSteps("b", 1)
	starts := startsOf(r.pass())
	qt.Assert(t, starts, qt.DeepEquals, []string{"a 0.0.0 1 w1"}, qt.Commentf("only the start without an answer is sent again"))
	r.reply("w1")
	qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"b 0.0.0 1 w1"})
}

// TestWaitingSuspects guards against suspects of a crash that do not run and of which no log line tells why.
func TestWaitingSuspects(t *testing.T) {
	tests := map[string]struct {
		crashes int
		before  func(r *rig, s *step)
		reason  waiting.Reason
	}{
		"no worker":          {1, func(r *rig, _ *step) { r.register() }, waiting.ForWorker},
		"no room":            {1, func(r *rig, _ *step) { r.addSteps("b", 4) }, waiting.ForRoom},
		"other tests":        {1, func(r *rig, _ *step) { r.addSuspects("b", 1, 1) }, waiting.ForTestsToEnd},
		"worker runs others": {2, func(r *rig, _ *step) { r.addSteps("b", 1) }, waiting.ForIdleWorker},
		"as many as may run": {2, func(r *rig, _ *step) {
			r.addSuspects("b", 1, 2)
			r.register("w1", "w2")
			r.reply("w2")
		}, waiting.ForLikelyCauses},
		"pause": {2, func(r *rig, s *step) {
			site := s.crashSite(0)
			site.SilentRuns, site.Latest = []int{3}, r.now
		}, waiting.AfterCrash},
		"worker has just started": {1, func(_ *rig, s *step) {
			site := s.crashSite(0)
			site.Addresses, site.Untelling = []string{"w1:1"}, 20
		}, waiting.ForSteadyWorkers},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			r := newRig(t, 1, "w1")
			r.core.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
			r.addSuspects("a", 1, test.crashes)
			s := r.core.jobs["a"].open[0].steps[0]
			s.tasks[0].notBefore = r.now + 1
			test.before(r, s)
			r.accept(r.pass())
			r.now++
			r.schedule()
			qt.Assert(t, r.core.waitReason(s, 0), qt.Equals, test.reason)
			s.tasks[0].notBefore = r.now + time.Hour
			for range 5 {
				r.advance(time.Second)
				r.schedule()
			}
			qt.Assert(t, log.String(), qt.Contains, "Suspect of a crash does not run.")
			qt.Assert(t, r.core.Counts().WaitingTasks, qt.HasLen, 0)
		})
	}
}

// TestManySuspects guards against passes that look for workers that test no suspect again for each suspect.
func TestManySuspects(t *testing.T) {
	allocations := func(suspects int) float64 {
		r := newRig(t, 1, "w1", "w2")
		r.addSteps("running", 8)
		r.accept(r.pass())
		r.advance(time.Second)
		r.reply("w1")
		r.reply("w2")
		r.addSuspects("waiting", suspects, 1)
		return testing.AllocsPerRun(10, func() {
			r.core.pool("p").needsPlanning = true
			qt.Assert(t, startsOf(r.schedule()), qt.HasLen, 0)
		})
	}
	few := allocations(2)
	qt.Assert(t, allocations(500) <= few, qt.IsTrue)
}

// TestUnsentStartHoldsUpWorker guards against tasks that are sent to a worker one after another although it cannot be reached.
func TestUnsentStartHoldsUpWorker(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	r.core.HandleReply(r.pass()[0], worker.Reply{Outcome: worker.NotSent}, r.now, nil)
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	r.reply("w1")
	qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"a 0.0.0 2 w1"})
}

// TestLikelyLeftWithoutGoneWorkers guards against a new leader that lets more tasks start that are likely to crash their workers, because the
// stored roster has many workers that are gone.
func TestLikelyLeftWithoutGoneWorkers(t *testing.T) {
	r := newRig(t, 2, "w1", "w2", "w3", "w4")
	p := r.core.pool("p")
	want := p.likelyLeft(crashloop.LikelyShare)
	var roster []RosterEntry
	for i := range 46 {
		id := fmt.Sprint("gone", i)
		roster = append(roster, RosterEntry{ID: id, Pool: "p", Address: id + ":1", Incarnation: rigIncarnation, Capacity: coresOnly(4)})
	}
	r.core.SetRoster(roster)
	qt.Assert(t, p.likelyLeft(crashloop.LikelyShare), qt.Equals, want)
}
