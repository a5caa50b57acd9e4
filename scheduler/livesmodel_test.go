package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/workers/throttling"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	livesStep    = 5 * time.Millisecond
	livesWorkers = 6
	// livesTimeout is the time after which a call counts as unanswered, and livesLate how late it may be carried out.
	livesTimeout = 500 * time.Millisecond
	livesLate    = 12 * time.Second
)

// livesRun is a run on a worker. stray means that its start was meant for an earlier life, which no leader can prevent before it knows of
// the next one.
type livesRun struct {
	task         work.Task
	number       int
	worker       int
	life         int64
	endsAt       time.Duration
	stray        bool
	over         bool
	done         bool
	acknowledged bool
	// lapsed means that the lease of the worker lapsed between the end and its acknowledgement, which does not count then.
	lapsed bool
}

// livesWorker is a worker that may start again under its ID, as the platform documents it.
type livesWorker struct {
	index     int
	life      int64
	born      time.Duration
	downUntil time.Duration
	cutUntil  time.Duration
	fence     uint64
	expiry    time.Duration
	running   map[work.Task]*livesRun
	highest   map[work.Task]int
	exits     []worker.Exit
	ended     map[uint64]*livesRun
	seq       uint64
	// renewing means that a renewal is in flight, and renewAt when the next one is sent.
	renewing bool
	renewAt  time.Duration
}

// livesModel plays workers that restart, and calls and batches that are late or have no answer.
type livesModel struct {
	*rig
	rand    *rand.Rand
	workers []*livesWorker
	runs    map[work.Task][]*livesRun
	// events holds what happens at a time.
	events  map[time.Duration][]func()
	version uint64
	storing bool
	broken  []string
	starts  int
	strays  int
}

func newLivesModel(t *testing.T, seed uint64) *livesModel {
	m := &livesModel{rig: newRig(t, 1), rand: rand.New(rand.NewPCG(seed, 1)), runs: make(map[work.Task][]*livesRun), events: make(map[time.Duration][]func())}
	m.version = m.core.options.Fence
	for i := range livesWorkers {
		w := &livesWorker{index: i}
		m.workers = append(m.workers, w)
		m.boot(w)
	}
	m.list()
	return m
}

func (w *livesWorker) id() string { return fmt.Sprint("w", w.index) }

func (m *livesModel) boot(w *livesWorker) {
	*w = livesWorker{
		index: w.index, life: w.life + 1, born: m.now, cutUntil: w.cutUntil, running: make(map[work.Task]*livesRun), highest: make(map[work.Task]int),
		ended: make(map[uint64]*livesRun), renewing: w.renewing, renewAt: w.renewAt,
	}
}

// list shows the workers in the registry.
func (m *livesModel) list() {
	var reports []worker.Report
	for _, w := range m.workers {
		report := rigReport(w.id(), coresOnly(8))
		report.Incarnation = w.life
		reports = append(reports, report)
	}
	m.core.SetWorkers(reports)
}

func (m *livesModel) after(d time.Duration, f func()) {
	at := (m.now + max(d, livesStep)).Truncate(livesStep)
	m.events[at] = append(m.events[at], f)
}

func (m *livesModel) upTo(d time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(d)))
}

// send carries out a call and delivers its answer, or not.
func (m *livesModel) send(w *livesWorker, carryOut func(late bool) worker.Status, deliver func(worker.Status)) {
	unknown := worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}
	m.after(m.upTo(4*livesStep), func() {
		chance := m.rand.Float64()
		switch {
		case m.now < w.downUntil && chance < 0.5:
			m.after(0, func() { deliver(worker.Status{Reply: worker.Reply{Outcome: worker.NotSent}}) })
		case m.now < w.downUntil || m.now < w.cutUntil || chance < 0.03:
			if m.rand.Float64() < 0.5 {
				m.after(m.upTo(livesLate), func() {
					if m.now >= w.downUntil {
						carryOut(true)
					}
				})
			}
			m.after(livesTimeout, func() { deliver(unknown) })
		case chance < 0.06:
			carryOut(false)
			m.after(livesTimeout, func() { deliver(unknown) })
		default:
			status := carryOut(false)
			m.after(m.upTo(8*livesStep), func() { deliver(status) })
		}
	})
}

func (m *livesModel) clock(w *livesWorker) time.Duration { return m.now - w.born + time.Millisecond }

func (m *livesModel) extend(w *livesWorker, expiry time.Duration) {
	w.expiry = max(w.expiry, min(expiry, m.clock(w)+rigBounds().MaxLease))
}

// take reports whether a worker carries out a call with a fencing token.
func (m *livesModel) take(w *livesWorker, fence uint64) (worker.Status, bool) {
	status := worker.Status{Reply: worker.Reply{Clock: m.clock(w)}}
	if fence < w.fence {
		status.Outcome = worker.Fenced
		return status, false
	}
	w.fence = fence
	return status, true
}

func (m *livesModel) start(w *livesWorker, meantFor int64, s worker.StartCommand) worker.Status {
	status, ok := m.take(w, s.Fence)
	switch running := w.running[s.Task]; {
	case !ok:
		return status
	case running != nil && running.number == s.Run:
		m.extend(w, s.LeaseExpiry)
		return status
	case s.Run <= w.highest[s.Task] || running != nil:
		m.extend(w, s.LeaseExpiry)
		status.Outcome = worker.Superseded
		return status
	case s.LeaseExpiry <= m.clock(w):
		status.Outcome = worker.Expired
		return status
	}
	m.extend(w, s.LeaseExpiry)
	r := &livesRun{task: s.Task, number: s.Run, worker: w.index, life: w.life, stray: meantFor != w.life, endsAt: m.now + 50*time.Millisecond + m.upTo(2*time.Second)}
	m.starts++
	if r.stray {
		m.strays++
	}
	w.running[s.Task], w.highest[s.Task] = r, s.Run
	for _, other := range m.runs[s.Task] {
		if r.stray || other.stray {
			continue
		}
		if !other.over || other.done && other.acknowledged {
			m.broken = append(m.broken, fmt.Sprintf("%s: run %d of %v starts on w%d life %d; run %d on w%d life %d: over %t, done %t", m.now, r.number, r.task, r.worker, r.life, other.number, other.worker, other.life, other.over, other.done))
		}
	}
	m.runs[s.Task] = append(m.runs[s.Task], r)
	return status
}

func (m *livesModel) exit(w *livesWorker, r *livesRun, reason worker.ExitReason) {
	delete(w.running, r.task)
	r.over, r.done = true, reason == worker.ExitDone
	w.seq++
	w.ended[w.seq] = r
	w.exits = append(w.exits, worker.Exit{Seq: w.seq, Task: r.task, Number: r.number, Reason: reason})
}

func (m *livesModel) stop(w *livesWorker, s worker.RunCommand) worker.Status {
	status, ok := m.take(w, s.Fence)
	if !ok {
		return status
	}
	if r := w.running[s.Task]; r != nil && r.number == s.Run {
		m.exit(w, r, worker.ExitStopped)
	}
	w.highest[s.Task] = max(w.highest[s.Task], s.Run)
	return status
}

func (m *livesModel) hold(w *livesWorker, meantFor int64, late bool, c worker.RenewCommand) worker.Status {
	status, ok := m.take(w, c.Fence)
	if !ok {
		return status
	}
	status.Incarnation = w.life
	if c.LeaseExpiry > 0 {
		m.extend(w, c.LeaseExpiry)
	}
	for len(w.exits) > 0 && w.exits[0].Seq <= c.AcknowledgedSeq {
		r := w.ended[w.exits[0].Seq]
		r.acknowledged = !r.lapsed
		if !late && meantFor != w.life {
			m.broken = append(m.broken, fmt.Sprintf("%s: end of run %d of %v on w%d life %d is acknowledged by the numbers of life %d", m.now, r.number, r.task, r.worker, r.life, meantFor))
		}
		w.exits = w.exits[1:]
	}
	for _, r := range w.running {
		status.Running = append(status.Running, worker.Run{Task: r.task, Number: r.number, SpeedPercent: throttling.FullSpeed})
	}
	status.Exited = append(status.Exited, w.exits...)
	return status
}

// dispatch sends the commands of the core.
func (m *livesModel) dispatch() {
	for _, cmd := range m.core.TakeCommands() {
		w := m.workers[cmd.Target.ID[1]-'0']
		sent := m.now
		if cmd.Kind == CommandPoll {
			m.send(w, func(late bool) worker.Status { return m.hold(w, cmd.Target.Incarnation, late, cmd.Renew) }, func(s worker.Status) { m.core.HandleStatus(cmd.call, s, sent, nil) })
			continue
		}
		carryOut := func(bool) worker.Status {
			if cmd.Kind == CommandStop {
				return m.stop(w, cmd.Run)
			}
			return m.start(w, cmd.Target.Incarnation, cmd.Start)
		}
		m.send(w, carryOut, func(s worker.Status) { m.core.HandleReply(cmd, s.Reply, sent, nil) })
	}
}

func (m *livesModel) renewAll() {
	for _, w := range m.workers {
		if w.renewing || m.now < w.renewAt {
			continue
		}
		r, ok := m.core.Renewal(w.id())
		if !ok {
			continue
		}
		w.renewing = true
		sent := m.now
		m.send(w, func(late bool) worker.Status { return m.hold(w, r.Target.Incarnation, late, r.Command) }, func(s worker.Status) {
			w.renewing = false
			w.renewAt = m.now + 20*time.Millisecond
			if s.Outcome == worker.Unknown || s.Outcome == worker.NotSent {
				w.renewAt = m.now + renewPause
			}
			m.core.HandleStatus(r.call, s, sent, nil)
		})
	}
}

// storeBatch stores a batch, which may take long.
func (m *livesModel) storeBatch() {
	if m.storing {
		return
	}
	b := m.core.TakeBatch(100)
	if b.Empty() {
		m.core.BatchStored(b)
		return
	}
	m.storing = true
	took := 20 * time.Millisecond
	if m.rand.Float64() < 0.1 {
		took = time.Second
	}
	m.after(took, func() {
		m.storing = false
		m.version++
		m.core.SetStoredVersion(m.version)
		m.core.BatchStored(b)
	})
}

// step advances the time.
func (m *livesModel) step() {
	m.advance(livesStep)
	for _, w := range m.workers {
		if m.now < w.downUntil {
			continue
		}
		if w.downUntil > 0 {
			m.boot(w)
		}
		if m.clock(w) > w.expiry {
			for _, e := range w.exits {
				w.ended[e.Seq].lapsed = true
			}
		}
		for _, r := range w.running {
			if m.clock(w) > w.expiry {
				m.exit(w, r, worker.ExitLeaseExpired)
			} else if m.now >= r.endsAt {
				m.exit(w, r, worker.ExitDone)
			}
		}
		switch chance := m.rand.Float64(); {
		case chance < livesStep.Seconds()/15:
			for _, r := range w.running {
				r.over = true
			}
			w.running = make(map[work.Task]*livesRun)
			w.downUntil = m.now + 100*time.Millisecond + m.upTo(1200*time.Millisecond)
		case chance < livesStep.Seconds()/10:
			w.cutUntil = m.now + m.upTo(9*time.Second)
		}
	}
	events := m.events[m.now]
	delete(m.events, m.now)
	for _, f := range events {
		f()
	}
	m.core.SetConfirmed(m.now)
	m.renewAll()
	m.core.Schedule(m.now)
	m.dispatch()
	m.storeBatch()
}

// TestLives guards against tasks that run twice, or again after they are done, around restarts of workers under their IDs. Calls are lost,
// late and unanswered meanwhile.
func TestLives(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newLivesModel(t, seed)
			for i := range 12000 {
				if i%40 == 0 && i < 9000 {
					m.addSteps(fmt.Sprintf("j%04d", i), 1+m.rand.IntN(6))
				}
				if i%100 == 0 {
					m.list()
				}
				m.step()
			}
			qt.Assert(t, m.broken, qt.HasLen, 0)
			qt.Assert(t, m.starts > 500, qt.IsTrue, qt.Commentf("%d starts", m.starts))
			t.Logf("%d starts, %d of them late in another life", m.starts, m.strays)
		})
	}
}
