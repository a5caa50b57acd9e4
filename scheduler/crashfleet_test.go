package scheduler

import (
	"fmt"
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
	// crashFleetEntry is how long the registry lists a worker that is cut off.
	crashFleetEntry = 4500 * time.Millisecond
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
	// starts counts the starts of each task, and work is the duration of a task.
	starts map[work.Task]int
	work   time.Duration
	// overloads counts the jobs of short tasks that overload has added.
	overloads int
	// renewEvery is the time between two renewals of a lease.
	renewEvery time.Duration
	// keepsID means that a worker returns under its ID.
	keepsID bool
	// unanswered means that a worker crashes before it answers.
	unanswered bool
	// changesAfterCrash is after how many more crashes the leader changes before it knows of the crash.
	changesAfterCrash int
	changeAt          time.Duration
	// storeDown means that no batch is stored.
	storeDown bool
	// version is the version of the last transaction of the store.
	version uint64
	// cut decides whether the worker that has just begun a task is cut off, and how.
	cut func(task work.Task) *cut
}

// cut is a cut of a worker from everything else, which runs on and ends its runs when its lease does.
type cut struct {
	// after is the time from the start of the task to the cut. A start is not answered if it is 0.
	after time.Duration
	// lasts is how long the cut lasts.
	lasts time.Duration
	// asOther means that the worker is replaced by another life at the end: it has crashed.
	asOther bool
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
	// until is when the lease of the worker ends.
	until time.Duration
	// cutFrom and cutUntil are the start and the end of a cut.
	cutFrom, cutUntil time.Duration
	cutAsOther        bool
}

// isCut reports whether the worker is cut off at a time.
func (w *crashingWorker) isCut(now time.Duration) bool { return w.cutUntil > 0 && now >= w.cutFrom }

// expire ends the runs of a worker without a lease.
func (w *crashingWorker) expire(now time.Duration) {
	if w.cutUntil == 0 || now <= w.until {
		return
	}
	for task, number := range w.runs {
		delete(w.runs, task)
		delete(w.endsAt, task)
		w.exited++
		w.exits = append(w.exits, worker.Exit{Seq: w.exited, Task: task, Number: number, Reason: worker.ExitLeaseExpired})
	}
}

func newCrashFleet(t *testing.T, workers int, keepsID bool) *crashFleet {
	f := &crashFleet{
		t: t, now: time.Minute, keepsID: keepsID, stored: make(map[string][]byte), roster: make(map[string]RosterEntry),
		deadly: make(map[work.Task]bool), crashes: make(map[work.Task]int), later: make(map[work.Task]int),
		starts: make(map[work.Task]int), work: crashFleetWork,
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
	w.runs, w.endsAt, w.exits, w.exited, w.until = make(map[work.Task]int), make(map[work.Task]time.Duration), nil, 0, 0
}

// changeLeader lets another process acquire leadership, with what is stored.
func (f *crashFleet) changeLeader() {
	f.term++
	f.version++
	f.core = NewCore(Options{Bounds: rigBounds(), Fence: f.version, Term: f.term, AcquiredAt: f.now, PreviousLeaderEnded: true, EarlierLeadersUntil: f.now})
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

// addJob adds a job with a step of tasks, of one core if it says nothing else. The tasks with the given numbers crash their worker.
func (f *crashFleet) addJob(id string, step work.Step, deadly ...int) {
	if step.Request == (work.Resources{}) {
		step.Request = work.Resources{CPU: 1000, Memory: 100}
	}
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

// crashGang lets the worker of a member of a gang crash, which breaks the others.
func (f *crashFleet) crashGang(id string, member int, down time.Duration) {
	for _, w := range f.workers {
		if _, crashes := w.runs[work.Task{Job: id, Index: member}]; crashes {
			w.downUntil = f.now + down
			continue
		}
		for task, number := range w.runs {
			if task.Job == id {
				delete(w.runs, task)
				w.exited++
				w.exits = append(w.exits, worker.Exit{Seq: w.exited, Task: task, Number: number, Reason: worker.ExitGangBroken})
			}
		}
	}
}

// running returns the number of tasks of a job that run on workers that are up.
func (f *crashFleet) running(id string) int {
	n := 0
	for _, w := range f.workers {
		for task := range w.runs {
			if w.downUntil == 0 && task.Job == id {
				n++
			}
		}
	}
	return n
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
	f.core.SetConfirmed(f.now)
	for _, w := range f.workers {
		if w.downUntil > 0 && f.now >= w.downUntil {
			w.downUntil = 0
			f.boot(w)
		}
		w.expire(f.now)
		if w.cutUntil > 0 && f.now >= w.cutUntil {
			w.cutFrom, w.cutUntil = 0, 0
			if w.cutAsOther {
				f.boot(w)
			}
		}
	}
	// Commands that are sent again reach a worker that is back before its registry entry and its renewal show that.
	f.carryOutCommands()
	var reports []worker.Report
	for i, w := range f.workers {
		if w.downUntil > 0 || w.isCut(f.now) && f.now >= w.cutFrom+crashFleetEntry {
			continue
		}
		reports = append(reports, worker.Report{
			ID: w.id, Pool: "p", Address: w.address, Incarnation: w.incarnation, Labels: []string{"a", "r1-1", fmt.Sprint("m", i)}, Capacity: work.Resources{CPU: 8000, Memory: 8000},
		})
	}
	f.core.SetWorkers(reports)
	if f.renewEvery == 0 || f.now%f.renewEvery < crashFleetStep {
		for _, id := range f.core.Workers() {
			f.renew(id)
		}
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
	f.version++
	f.core.SetStoredVersion(f.version)
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
	case w == nil || w.downUntil > 0 || w.isCut(f.now):
		f.core.HandleStatus(r.call, worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}, f.now, nil)
		return
	case w.id != id:
		f.core.HandleStatus(r.call, worker.Status{Reply: worker.Reply{Outcome: worker.OtherInstance}}, f.now, nil)
		return
	}
	w.until = max(w.until, r.Command.LeaseExpiry)
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
	f.core.HandleStatus(r.call, status, f.now, nil)
}

func (f *crashFleet) carryOut(cmd Command) {
	w := f.at(cmd.Target.Address)
	switch {
	case w.downUntil > 0 || w.isCut(f.now):
		f.core.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, f.now, nil)
	case w.id != cmd.Target.ID:
		f.core.HandleReply(cmd, worker.Reply{Outcome: worker.OtherInstance}, f.now, nil)
	case cmd.Kind == CommandStop:
		delete(w.runs, cmd.Run.Task)
		w.exited++
		w.exits = append(w.exits, worker.Exit{Seq: w.exited, Task: cmd.Run.Task, Number: cmd.Run.Run, Reason: worker.ExitStopped})
		f.core.HandleReply(cmd, worker.Reply{Clock: f.now, Incarnation: w.incarnation}, f.now, nil)
	case cmd.Kind == CommandPoll:
		f.renew(cmd.Target.ID)
	case cmd.Kind == CommandStart:
		f.start(w, cmd)
	}
}

func (f *crashFleet) start(w *crashingWorker, cmd Command) {
	task := cmd.Start.Task
	f.starts[task]++
	if f.crashes[task] >= 3 {
		f.later[task]++
	}
	w.until = max(w.until, cmd.Start.LeaseExpiry)
	reply := worker.Reply{Clock: f.now, Incarnation: w.incarnation}
	if f.cut != nil {
		if c := f.cut(task); c != nil {
			w.cutFrom, w.cutUntil, w.cutAsOther = f.now+c.after, f.now+c.after+c.lasts, c.asOther
		}
	}
	if w.isCut(f.now) {
		reply = worker.Reply{Outcome: worker.Unknown}
	}
	if f.unanswered && f.deadly[task] {
		reply = worker.Reply{Outcome: worker.Unknown}
	}
	f.core.HandleReply(cmd, reply, f.now, nil)
	w.runs[task] = cmd.Start.Run
	if s, ok := f.core.findStep(task); ok && !s.doc.Service {
		w.endsAt[task] = f.now + f.work
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
