package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/internal/datacentres/evacuation"
	"github.com/chivetiller/chivetiller/internal/workers/throttling"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	ordersStep    = 50 * time.Millisecond
	ordersLength  = 41 * time.Second
	ordersWorkers = 6
	ordersTasks   = 8
	ordersMayMiss = 2
	// ordersStartup is the time after which a task is at work, and ordersNotice that after which one that is not counts as away.
	ordersStartup = 300 * time.Millisecond
	ordersNotice  = 1500 * time.Millisecond
)

type ordersRun struct {
	task   work.Task
	number int
	since  time.Duration
	endsAt time.Duration
}

// ordersWorker is a worker as the platform documents it.
type ordersWorker struct {
	id        string
	downUntil time.Duration
	fence     uint64
	expiry    time.Duration
	running   map[work.Task]*ordersRun
	highest   map[work.Task]int
	exits     []worker.Exit
	seq       uint64
	renewing  bool
	renewAt   time.Duration
	// renewalLost means that the latest renewal or poll was lost.
	renewalLost bool
}

type ordersEvent struct {
	kind      string
	at, until time.Duration
	// worker is the first of count workers.
	worker, count int
	share         float64
}

// ordersModel plays a leader, workers that crash and are drained, and orders of which any is late, lost, doubled or out of order.
type ordersModel struct {
	*rig
	// evacuated holds the evacuated data centres, docs the jobs, and progress what is stored of them.
	evacuated evacuation.Set
	docs      []work.Job
	progress  map[string][]byte
	// checkpoints means that the tasks of batch jobs have checkpoints.
	checkpoints bool
	rt          *rapid.T
	rand        *rand.Rand
	doc         work.Job
	events      []ordersEvent
	workers     []*ordersWorker
	later       map[time.Duration][]func()
	lives       int
	version     uint64
	// atWork and stopped hold, for each task of the service, when it was last seen at work, and whether an order has ended it since.
	atWork  [ordersTasks]time.Duration
	stopped [ordersTasks]bool
	broken  string
}

func newOrdersModel(t *testing.T, rt *rapid.T, kinds ...string) *ordersModel {
	m := &ordersModel{
		rig: newRig(t, 1), rt: rt, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), later: make(map[time.Duration][]func()), progress: make(map[string][]byte),
		doc: work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: ordersTasks, Request: work.Resources{CPU: 1000, Memory: 100}, Service: true, MaxDisruptions: ordersMayMiss}}},
	}
	m.version = m.core.options.Fence
	for range ordersWorkers {
		m.workers = append(m.workers, m.boot())
	}
	for range rapid.IntRange(2, 6).Draw(rt, "events") {
		e := ordersEvent{
			kind: rapid.SampledFrom(kinds).Draw(rt, "kind"), at: m.now + drawSteps(rt, "at", 2*time.Second, 14*time.Second),
			worker: rapid.IntRange(0, ordersWorkers-1).Draw(rt, "worker"), count: rapid.IntRange(1, 3).Draw(rt, "count"),
			share: float64(rapid.IntRange(3, 10).Draw(rt, "share")) / 10,
		}
		e.until = e.at + drawSteps(rt, "for", time.Second, 8*time.Second)
		m.events = append(m.events, e)
	}
	return m
}

func drawSteps(rt *rapid.T, name string, from, to time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(from/ordersStep), int(to/ordersStep)).Draw(rt, name)) * ordersStep
}

// boot returns a new worker.
func (m *ordersModel) boot() *ordersWorker {
	m.lives++
	return &ordersWorker{id: fmt.Sprint("w", m.lives), running: make(map[work.Task]*ordersRun), highest: make(map[work.Task]int)}
}

func (m *ordersModel) after(d time.Duration, f func()) {
	at := m.now + max(d, ordersStep).Truncate(ordersStep)
	m.later[at] = append(m.later[at], f)
}

func (m *ordersModel) between(from, to time.Duration) time.Duration {
	return from + time.Duration(m.rand.Int64N(int64(to-from)))
}

// share returns the share of orders that are disturbed now.
func (m *ordersModel) share() (share float64) {
	for _, e := range m.events {
		if e.kind == "orders" && e.at <= m.now && m.now < e.until {
			share = max(share, e.share)
		}
	}
	return share
}

// send carries out an order and delivers its answer, unless it is disturbed.
func (m *ordersModel) send(w *ordersWorker, carryOut func() worker.Status, deliver func(worker.Status)) {
	unknown := worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}
	arrive := func() {
		if w.downUntil == 0 {
			carryOut()
		}
	}
	switch disturbed := m.rand.Float64() < m.share(); {
	case w.downUntil > 0:
		m.after(commandTimeout, func() { deliver(unknown) })
	case !disturbed:
		deliver(carryOut())
	default:
		switch m.rand.IntN(6) {
		case 0:
		case 1:
			carryOut()
		case 2:
			status := carryOut()
			m.after(m.between(0, 12*time.Second), arrive)
			m.after(m.between(0, commandTimeout), func() { deliver(status) })
			return
		default:
			m.after(m.between(0, 12*time.Second), arrive)
		}
		m.after(commandTimeout, func() { deliver(unknown) })
	}
}

// sendRenewal is [ordersModel.send] for renewals and polls, of which no two in a row are lost.
func (m *ordersModel) sendRenewal(w *ordersWorker, to call, cmd worker.RenewCommand, done func(failed bool)) {
	sent, core := m.now, m.core
	deliver := func(s worker.Status) {
		core.HandleStatus(to, s, sent, nil)
		done(s.Outcome == worker.Unknown)
	}
	if w.downUntil == 0 && !w.renewalLost && m.rand.Float64() < m.share()/2 {
		w.renewalLost = true
		m.after(m.between(0, 12*time.Second), func() {
			if w.downUntil == 0 {
				m.hold(w, cmd)
			}
		})
		m.after(renewTimeout, func() { deliver(worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}) })
		return
	}
	w.renewalLost = false
	if w.downUntil > 0 {
		m.after(renewTimeout, func() { deliver(worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}) })
		return
	}
	deliver(m.hold(w, cmd))
}

func (m *ordersModel) take(w *ordersWorker, fence uint64) (worker.Status, bool) {
	status := worker.Status{Reply: worker.Reply{Clock: m.now, Incarnation: rigIncarnation}}
	if fence < w.fence {
		status.Outcome = worker.Fenced
		return status, false
	}
	w.fence = fence
	return status, true
}

func (m *ordersModel) start(w *ordersWorker, s worker.StartCommand) worker.Status {
	status, ok := m.take(w, s.Fence)
	switch current := w.running[s.Task]; {
	case !ok:
		return status
	case current != nil && current.number == s.Run:
	case s.Run <= w.highest[s.Task] || current != nil:
		status.Outcome = worker.Superseded
	case s.LeaseExpiry <= m.now:
		status.Outcome = worker.Expired
		return status
	default:
		for _, other := range m.workers {
			if other.downUntil == 0 && other.running[s.Task] != nil {
				m.broken = fmt.Sprintf("task %v runs on %s and %s", s.Task, other.id, w.id)
			}
		}
		r := &ordersRun{task: s.Task, number: s.Run, since: m.now, endsAt: m.now + m.between(time.Second, 5*time.Second)}
		w.running[s.Task], w.highest[s.Task] = r, s.Run
	}
	w.expiry = max(w.expiry, s.LeaseExpiry)
	return status
}

func (m *ordersModel) exit(w *ordersWorker, r *ordersRun, reason worker.ExitReason) {
	delete(w.running, r.task)
	w.seq++
	w.exits = append(w.exits, worker.Exit{Seq: w.seq, Task: r.task, Number: r.number, Reason: reason})
}

func (m *ordersModel) stop(w *ordersWorker, s worker.RunCommand) worker.Status {
	status, ok := m.take(w, s.Fence)
	if !ok {
		return status
	}
	w.highest[s.Task] = max(w.highest[s.Task], s.Run)
	r := w.running[s.Task]
	if r == nil || r.number != s.Run {
		return status
	}
	if s.Task.Job == m.doc.ID && m.now-r.since >= ordersStartup {
		away := 0
		for i := range m.atWork {
			if i != s.Task.Index && (m.stopped[i] || m.now-m.atWork[i] >= ordersNotice) {
				away++
			}
		}
		if away >= ordersMayMiss {
			m.broken = fmt.Sprintf("run %d of %v on %s is stopped while %d others are away", s.Run, s.Task, w.id, away)
		}
		m.stopped[s.Task.Index] = true
	}
	m.exit(w, r, worker.ExitStopped)
	return status
}

func (m *ordersModel) hold(w *ordersWorker, c worker.RenewCommand) worker.Status {
	status, ok := m.take(w, c.Fence)
	if !ok {
		return status
	}
	w.expiry = max(w.expiry, c.LeaseExpiry)
	w.exits = slices.DeleteFunc(w.exits, func(e worker.Exit) bool { return e.Seq <= c.AcknowledgedSeq })
	for _, r := range w.running {
		percent := 0
		if m.now-r.since >= ordersStartup {
			percent = throttling.FullSpeed
		}
		status.Running = append(status.Running, worker.Run{Task: r.task, Number: r.number, SpeedPercent: percent})
	}
	status.Exited = append(status.Exited, w.exits...)
	return status
}

func (m *ordersModel) find(id string) *ordersWorker {
	for _, w := range m.workers {
		if w.id == id {
			return w
		}
	}
	// The worker has been replaced after a crash.
	return &ordersWorker{id: id, downUntil: m.now + ordersLength}
}

func (m *ordersModel) dispatch() {
	for _, cmd := range m.core.TakeCommands() {
		w := m.find(cmd.Target.ID)
		sent, core := m.now, m.core
		if cmd.Kind == CommandStart && m.evacuated.Contains(w.dataCentre()) {
			m.broken = fmt.Sprintf("task %v starts on %s in the evacuated data centre %s", cmd.Start.Task, w.id, w.dataCentre())
		}
		if cmd.Kind == CommandPoll {
			m.sendRenewal(w, cmd.call, cmd.Renew, func(bool) {})
			continue
		}
		carryOut := func() worker.Status {
			if cmd.Kind == CommandStop {
				return m.stop(w, cmd.Run)
			}
			return m.start(w, cmd.Start)
		}
		deliver := func(s worker.Status) { core.HandleReply(cmd, s.Reply, sent, nil) }
		if cmd.run.unanswered > 0 {
			m.after(commandPause, func() { m.send(w, carryOut, deliver) })
			continue
		}
		m.send(w, carryOut, deliver)
	}
}

func (m *ordersModel) renewAll() {
	ids := m.core.Workers()
	slices.Sort(ids)
	for _, id := range ids {
		w := m.find(id)
		if w.renewing || m.now < w.renewAt {
			continue
		}
		r, ok := m.core.Renewal(id)
		if !ok {
			continue
		}
		w.renewing = true
		core := m.core
		m.sendRenewal(w, r.call, r.Command, func(failed bool) {
			if m.core != core {
				return
			}
			w.renewing, w.renewAt = false, m.now+2*ordersStep
			if failed {
				w.renewAt = m.now + renewPause
			}
		})
	}
}

// disrupt crashes and replaces workers, and drains others.
func (m *ordersModel) disrupt() {
	for _, e := range m.events {
		if e.kind == "leader" && e.at == m.now {
			m.changeLeader()
		}
		for i := range e.count {
			m.disruptWorker(e, (e.worker+i)%ordersWorkers)
		}
	}
}

func (m *ordersModel) disruptWorker(e ordersEvent, i int) {
	w := m.workers[i]
	switch {
	case e.kind == "crash" && e.at == m.now && w.downUntil == 0:
		w.downUntil, w.running = e.until, nil
	case e.kind == "crash" && m.now == w.downUntil:
		m.workers[i] = m.boot()
	case e.kind == "drain":
		if ws, ok := m.core.workers[w.id]; ok && e.at <= m.now {
			ws.cordoned = m.now < e.until
			if ws.cordoned {
				m.core.evacuate(ws, false)
			}
		}
	}
}

// dataCentre returns the data centre of a worker, by its place among the first ones.
func (w *ordersWorker) dataCentre() string {
	var number int
	if _, err := fmt.Sscanf(w.id, "w%d", &number); err != nil {
		panic(err)
	}
	return string("abc"[number%3])
}

// setEvacuations tells the leader which data centres are evacuated: those of the first workers of the events that last.
func (m *ordersModel) setEvacuations() {
	var names []string
	for _, e := range m.events {
		if e.kind == "evacuate" && e.at <= m.now && m.now < e.until {
			for i := range e.count {
				names = append(names, string("abc"[(e.worker+i)%3]))
			}
		}
	}
	m.evacuated = evacuation.NewSet(m.now, names...)
	m.core.SetEvacuations(m.evacuated)
}

// changeLeader lets another process begin a term with what is stored. What the previous one has sent may still arrive.
func (m *ordersModel) changeLeader() {
	m.version++
	term, before := m.core.options.Term+1, m.core
	m.core = NewCore(Options{Bounds: rigBounds(), Fence: m.version, Term: term, AcquiredAt: m.now, PreviousLeaderEnded: true, EarlierLeadersUntil: m.now})
	m.core.SetCatalog(before.catalog)
	m.setEvacuations()
	m.core.SetRoster(slices.Collect(maps.Values(m.roster)))
	for _, doc := range m.docs {
		var p *work.Progress
		if value, ok := m.progress[doc.ID]; ok {
			p = new(work.Progress)
			qt.Assert(m.t, cbor.Unmarshal(value, p), qt.IsNil)
		}
		m.core.AddJob(doc, p, 0)
	}
	for _, w := range m.workers {
		w.renewing, w.renewAt = false, 0
	}
}

func (m *ordersModel) observe() {
	for _, w := range m.workers {
		for t, r := range w.running {
			if t.Job == m.doc.ID && m.now-r.since >= ordersStartup {
				m.atWork[t.Index], m.stopped[t.Index] = m.now, false
			}
		}
	}
}

func (m *ordersModel) step() {
	m.advance(ordersStep)
	for _, w := range m.workers {
		for t, r := range w.running {
			switch {
			case m.now > w.expiry:
				m.exit(w, r, worker.ExitLeaseExpired)
			case t.Job != m.doc.ID && m.now >= r.endsAt:
				m.exit(w, r, worker.ExitDone)
			}
		}
	}
	m.disrupt()
	m.observe()
	due := m.later[m.now]
	delete(m.later, m.now)
	for _, f := range due {
		f()
	}
	if m.now.Truncate(500*time.Millisecond) == m.now {
		var reports []worker.Report
		for _, w := range m.workers {
			if w.downUntil == 0 {
				report := rigReport(w.id, work.Resources{CPU: 4000, Memory: 4000})
				report.DataCentre = w.dataCentre()
				reports = append(reports, report)
			}
		}
		m.core.SetWorkers(reports)
	}
	m.core.SetConfirmed(m.now)
	m.setEvacuations()
	m.renewAll()
	m.core.Schedule(m.now)
	m.core.TakeInstanceCommands()
	m.dispatch()
	b := m.core.TakeBatch(100)
	for id, p := range b.Progress {
		value, err := cbor.Marshal(p)
		qt.Assert(m.t, err, qt.IsNil)
		m.progress[id] = value
	}
	for id, entry := range b.Roster {
		delete(m.roster, id)
		if entry != nil {
			m.roster[id] = *entry
		}
	}
	if !b.Empty() {
		m.version++
		m.core.SetStoredVersion(m.version)
	}
	m.core.BatchStored(b)
	m.dispatch()
}

func (m *ordersModel) addDoc(doc work.Job) {
	m.docs = append(m.docs, doc)
	m.addJob(doc)
}

func (m *ordersModel) play() {
	m.addDoc(m.doc)
	for end := m.now + ordersLength; m.now < end && m.broken == ""; {
		if n := m.now.Truncate(3 * time.Second); n == m.now {
			m.addDoc(work.Job{ID: fmt.Sprint("b", n), Queue: "q", Pool: "p", Steps: []work.Step{
				{Count: 2, Request: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second, Checkpoints: m.checkpoints},
			}})
		}
		m.step()
	}
	if m.broken != "" {
		m.rt.Fatalf("%s: %s", m.now-time.Minute, m.broken)
	}
	for i, at := range m.atWork {
		if at < m.now {
			for _, w := range m.workers {
				m.rt.Logf("%+v", w)
			}
			for _, r := range m.core.jobs["s"].open[0].steps[0].tasks[i].runs {
				m.rt.Logf("%+v", r)
			}
			m.rt.Logf("%+v", m.core.jobs["s"].open[0].steps[0].tasks[i])
			m.rt.Fatalf("task %d is not at work at the end, last at %s", i, at-time.Minute)
		}
	}
}

// TestLateOrdersModel guards against an order without an answer that acts later, when what was true as it was sent is not true any more:
// a stop that ends a task of a service while too many others are away, or a start of a task that runs elsewhere by then.
func TestLateOrdersModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { newOrdersModel(t, rt, "orders", "crash", "drain").play() })
}

// TestEvacuationModel guards against a start in an evacuated data centre, against stops of a service that is moved out beyond its disruption
// budget, and against a service that does not come back, while data centres are evacuated and taken back, two or all of them at once, the
// leader changes, workers crash, and orders are late or lost.
func TestEvacuationModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newOrdersModel(t, rt, "evacuate", "evacuate", "leader", "orders", "crash")
		m.checkpoints = rapid.Bool().Draw(rt, "checkpoints")
		m.play()
	})
}
