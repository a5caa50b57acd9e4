package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// crashFleetStep is the time between two passes, and crashFleetRestart how long a worker is down after a crash.
	crashFleetStep    = 50 * time.Millisecond
	crashFleetRestart = 3 * time.Second
	// crashFleetWork is the duration of a task.
	crashFleetWork = 800 * time.Millisecond
)

// crashFleet plays workers that crash under some tasks, over several terms of leadership.
type crashFleet struct {
	t       *testing.T
	core    *Core
	term    int
	now     time.Duration
	workers []*crashingWorker
	docs    []work.Job
	// stored holds the progress of jobs as the store has it, and roster the workers.
	stored map[string][]byte
	roster map[string]RosterEntry
	// deadly holds the tasks that crash their worker, crashes the workers that crashed under each of them, and later its starts after
	// the third crash.
	deadly  map[work.Task]bool
	crashes map[work.Task]int
	later   map[work.Task]int
	// keepsID means that a worker returns under its ID.
	keepsID bool
	// unanswered means that a worker crashes before it answers.
	unanswered bool
	// changesAfterCrash is after how many more crashes the leader changes before it knows of the crash.
	changesAfterCrash int
	changeAt          time.Duration
	// storeDown means that no batch is stored.
	storeDown bool
}

type crashingWorker struct {
	address     string
	incarnation int64
	downUntil   time.Duration
	runs        map[work.Task]int
	endsAt      map[work.Task]time.Duration
	exits       []worker.Exit
	exited      uint64
	id          string
}

func newCrashFleet(t *testing.T, workers int, keepsID bool) *crashFleet {
	f := &crashFleet{
		t: t, now: time.Minute, keepsID: keepsID, stored: make(map[string][]byte), roster: make(map[string]RosterEntry),
		deadly: make(map[work.Task]bool), crashes: make(map[work.Task]int), later: make(map[work.Task]int),
	}
	for i := range workers {
		w := &crashingWorker{address: fmt.Sprintf("a%d:1", i)}
		f.boot(w)
		f.workers = append(f.workers, w)
	}
	f.changeLeader()
	return f
}

func (f *crashFleet) boot(w *crashingWorker) {
	w.incarnation++
	if w.id == "" || !f.keepsID {
		w.id = fmt.Sprintf("%s/%d", w.address, w.incarnation)
	}
	w.runs, w.endsAt, w.exits, w.exited = make(map[work.Task]int), make(map[work.Task]time.Duration), nil, 0
}

// changeLeader lets another process acquire leadership, with what is stored.
func (f *crashFleet) changeLeader() {
	f.term++
	f.core = NewCore(Options{Bounds: rigBounds(), Fence: uint64(10 * f.term), Term: f.term, AcquiredAt: f.now, PreviousLeaderEnded: true})
	f.core.SetCatalog(catalog.New(1, 0, []catalog.Queue{{
		Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond,
	}}, []catalog.Pool{{Name: "p"}}, nil))
	for _, e := range f.roster {
		f.core.SetRoster([]RosterEntry{e})
	}
	for _, doc := range f.docs {
		var p *work.Progress
		if value, ok := f.stored[doc.ID]; ok {
			p = new(work.Progress)
			qt.Assert(f.t, cbor.Unmarshal(value, p), qt.IsNil)
		}
		f.core.AddJob(doc, p, 0)
	}
}

// addJob adds a job with a step of tasks of one core. The tasks with the given numbers crash their worker.
func (f *crashFleet) addJob(id string, step work.Step, deadly ...int) {
	step.Request = work.Resources{CPU: 1000, Memory: 100}
	step.Estimate = crashFleetWork
	doc := work.Job{ID: id, Queue: "q", Pool: "p", Steps: []work.Step{step}}
	qt.Assert(f.t, doc.Validate(), qt.IsNil)
	for _, index := range deadly {
		f.deadly[work.Task{Job: id, Index: index}] = true
	}
	f.docs = append(f.docs, doc)
	f.core.AddJob(doc, nil, 0)
}

func (f *crashFleet) state(id string) work.State {
	state, ok := f.core.JobState(id)
	qt.Assert(f.t, ok, qt.IsTrue)
	return state
}

func (f *crashFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += crashFleetStep {
		f.step()
	}
}

func (f *crashFleet) step() {
	if f.changeAt > 0 && f.now >= f.changeAt {
		f.changeAt = 0
		f.changeLeader()
	}
	f.core.SetTime(f.now)
	for _, w := range f.workers {
		if w.downUntil > 0 && f.now >= w.downUntil {
			w.downUntil = 0
			f.boot(w)
		}
	}
	// Commands that are sent again reach a worker that is back before its registry entry and its renewal show that.
	f.carryOutCommands()
	var reports []worker.Report
	for _, w := range f.workers {
		if w.downUntil > 0 {
			continue
		}
		reports = append(reports, worker.Report{
			ID: w.id, Pool: "p", Address: w.address, Incarnation: w.incarnation, Labels: []string{"a", "r1-1"}, Capacity: work.Resources{CPU: 8000, Memory: 8000},
		})
	}
	f.core.SetWorkers(reports)
	for _, id := range f.core.Workers() {
		f.renew(id)
	}
	f.core.Schedule(f.now)
	if !f.storeDown {
		f.store()
	}
	f.carryOutCommands()
}

func (f *crashFleet) store() {
	b := f.core.TakeBatch(1000)
	for id, p := range b.Progress {
		value, err := cbor.Marshal(p)
		qt.Assert(f.t, err, qt.IsNil)
		f.stored[id] = value
	}
	for id, e := range b.Roster {
		delete(f.roster, id)
		if e != nil {
			f.roster[id] = *e
		}
	}
	f.core.BatchStored(b)
}

func (f *crashFleet) carryOutCommands() {
	for _, cmd := range f.core.TakeCommands() {
		f.carryOut(cmd)
	}
}

func (f *crashFleet) at(address string) *crashingWorker {
	for _, w := range f.workers {
		if w.address == address {
			return w
		}
	}
	return nil
}

// renew renews the lease of a worker as the leader knows it.
func (f *crashFleet) renew(id string) {
	r, ok := f.core.Renewal(id)
	if !ok {
		return
	}
	w := f.at(r.Target.Address)
	switch {
	case w == nil || w.downUntil > 0:
		f.core.HandleStatus(id, worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}, f.now, nil)
		return
	case w.id != id:
		f.core.HandleStatus(id, worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, f.now, nil)
		return
	}
	status := worker.Status{Reply: worker.Reply{Clock: f.now, Incarnation: w.incarnation}}
	for task, number := range w.runs {
		if end := w.endsAt[task]; end > 0 && f.now >= end {
			delete(w.runs, task)
			w.exited++
			w.exits = append(w.exits, worker.Exit{Seq: w.exited, Task: task, Number: number, Reason: worker.ExitDone})
			continue
		}
		status.Running = append(status.Running, worker.Run{Task: task, Number: number, SpeedPercent: 100})
	}
	for _, e := range w.exits {
		if e.Seq > r.Command.AcknowledgedSeq {
			status.Exited = append(status.Exited, e)
		}
	}
	f.core.HandleStatus(id, status, f.now, nil)
}

func (f *crashFleet) carryOut(cmd Command) {
	w := f.at(cmd.Target.Address)
	switch {
	case w.downUntil > 0:
		f.core.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, f.now, nil)
	case w.id != cmd.Target.ID:
		f.core.HandleReply(cmd, worker.Reply{Outcome: worker.OtherInstance}, f.now, nil)
	case cmd.Kind == CommandStop:
		delete(w.runs, cmd.Run.Task)
		w.exited++
		w.exits = append(w.exits, worker.Exit{Seq: w.exited, Task: cmd.Run.Task, Number: cmd.Run.Run, Reason: worker.ExitStopped})
		f.core.HandleReply(cmd, worker.Reply{Clock: f.now, Incarnation: w.incarnation}, f.now, nil)
	case cmd.Kind == CommandStart:
		f.start(w, cmd)
	}
}

func (f *crashFleet) start(w *crashingWorker, cmd Command) {
	task := cmd.Start.Task
	if f.crashes[task] >= 3 {
		f.later[task]++
	}
	reply := worker.Reply{Clock: f.now, Incarnation: w.incarnation}
	if f.unanswered && f.deadly[task] {
		reply = worker.Reply{Outcome: worker.Unknown}
	}
	f.core.HandleReply(cmd, reply, f.now, nil)
	w.runs[task] = cmd.Start.Run
	if s, ok := f.core.findStep(task); ok && !s.doc.Service {
		w.endsAt[task] = f.now + crashFleetWork
	}
	if !f.deadly[task] {
		return
	}
	w.downUntil = f.now + crashFleetRestart
	if f.changesAfterCrash > 0 {
		f.changesAfterCrash--
		f.changeAt = f.now + crashFleetRestart/2
	}
	for other := range w.runs {
		if f.deadly[other] {
			f.crashes[other]++
		}
	}
}

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
			for task, n := range f.later {
				qt.Check(t, n < 3, qt.IsTrue, qt.Commentf("%v was started %d times after three workers had crashed under it", task, n))
			}
			qt.Check(t, f.state("bad"), qt.Equals, work.Failed)
			for i := range 6 {
				qt.Check(t, f.state(fmt.Sprintf("good%d", i)), qt.Equals, work.Finished)
			}
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
			for waited := time.Duration(0); waited <= emptyWorkerWait; waited += 500 * time.Millisecond {
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
		r.advance(emptyWorkerWait / 4)
		qt.Assert(t, pass(), qt.HasLen, 0)
	}
	r.advance(emptyWorkerWait / 4)
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

// TestConfirmationProvesNothing guards against a crash that is blamed on other tasks because a confirmation, or the reply of a new
// incarnation, is taken as proof that the worker has survived the start of its cause.
func TestConfirmationProvesNothing(t *testing.T) {
	tests := map[string]func(r *rig, cause Command){
		"confirmation takes long": func(r *rig, cause Command) {
			clock := r.now
			r.advance(200 * time.Millisecond)
			r.core.HandleReply(cause, worker.Reply{Clock: clock}, clock, nil)
		},
		"reply is processed late": func(r *rig, cause Command) {
			r.accept([]Command{cause})
			status := worker.Status{Reply: worker.Reply{Clock: r.now + time.Millisecond, Incarnation: rigIncarnation}, Running: r.runs["w1"]}
			sent := r.now
			r.advance(200 * time.Millisecond)
			r.core.HandleStatus("w1", status, sent, nil)
		},
		"new incarnation accepts a start": func(r *rig, cause Command) {
			r.accept([]Command{cause})
			r.addSteps("repeated", 1)
			start := r.pass()[0]
			r.core.HandleReply(start, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
			r.advance(time.Second)
			r.core.HandleReply(start, worker.Reply{Clock: 100 * time.Millisecond}, r.now, nil)
		},
	}
	for name, crash := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			cause := r.addSteps("cause", 1)
			crash(r, r.pass()[0])
			r.addSteps("other", 1)
			qt.Assert(t, startsOf(r.pass()), qt.Contains, "other 0.0.0 1 w1")
			r.core.HandleStatus("w1", worker.Status{Reply: worker.Reply{Clock: 200 * time.Millisecond, Incarnation: rigNextIncarnation}}, r.now, nil)
			qt.Assert(t, cause.open[0].steps[0].crashCount(0).All, qt.Equals, 1)
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
				r.core.HandleStatus(crashing.ID, worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, r.now, nil)
				r.advance(gangPause)
				r.finish("w", worker.ExitDone)
				r.reply("w")
			}
			qt.Assert(t, j.progress.State, qt.Equals, work.Finished)
		})
	}
}

// TestPartitionIsNoCrash guards against a job that fails because the worker of its task has lost its connections several times.
func TestPartitionIsNoCrash(t *testing.T) {
	tests := map[string]struct {
		// reported means that the worker has reported after the start.
		reported bool
		want     int
	}{
		"worker has survived the start":    {reported: true, want: 0},
		"worker is silent since the start": {want: 1},
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
			r.core.SetWorkers(nil)
			for range 10 {
				r.advance(time.Second)
				r.schedule()
			}
			qt.Assert(t, r.core.Workers(), qt.HasLen, 0)
			qt.Assert(t, j.open[0].steps[0].crashCount(0).All, qt.Equals, test.want)
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
			r.core.HandleStatus("w9", worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, r.now, nil)
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
				r.core.HandleStatus(id, worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, r.now, nil)
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
				r.core.HandleStatus(id, worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, r.now, nil)
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
		"a service at its start": {service: true, ran: 50 * time.Millisecond, failed: 3},
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
				r.core.HandleStatus(fmt.Sprint("w", i-1), worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, r.now, nil)
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
			r.core.HandleStatus("w1", worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, r.now, nil)
			qt.Assert(t, j.open[0].steps[0].crashCount(0).All, qt.Equals, test.crashes)
		})
	}
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
