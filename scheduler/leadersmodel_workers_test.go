package scheduler

import (
	"time"

	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// modelEvent is a disruption of the leaders model.
type modelEvent struct {
	kind string
	at   time.Duration
	// until is the end of the disruption, if it lasts.
	until time.Duration
	zone  int
	delay time.Duration
	// lost is 1 if what is handed over at a resignation is lost, and 2 if the resignation is lost as well.
	lost int
}

type modelWorker struct {
	id   string
	zone int
	born time.Duration
	// goneAt is the time at which the worker has ended for good.
	goneAt time.Duration
	// incarnation counts the lives of the worker.
	incarnation int64
	rate        float64
	fence       uint64
	leaseEnd    time.Duration
	runs        map[work.Task]int
	highest     map[work.Task]int
	exits       []worker.Exit
}

func (w *modelWorker) clock(now time.Duration) time.Duration {
	return time.Second + time.Duration(float64(now-w.born)*w.rate)
}

// endRuns stops all runs.
func (w *modelWorker) endRuns() {
	for t, number := range w.runs {
		w.exits = append(w.exits, worker.Exit{Seq: uint64(len(w.exits) + 1), Task: t, Number: number, Reason: worker.ExitStopped})
	}
	clear(w.runs)
}

type lateCommand struct {
	at      time.Duration
	deliver func()
}

// active reports whether a disruption of a kind acts on a zone, and returns it.
func (m *leadersModel) active(kind string, zone int) (modelEvent, bool) {
	for _, e := range m.events {
		if e.kind == kind && e.zone == zone && e.at <= m.now && m.now < e.until {
			return e, true
		}
	}
	return modelEvent{}, false
}

// reaches reports whether a call of a process to a zone arrives. The store is in zone -1.
func (m *leadersModel) reaches(n *modelNode, zone int) bool {
	return m.now >= n.cutUntil && m.reachable(n.zone, zone)
}

// reachable reports whether a message between two zones arrives. The store is in zone -1.
func (m *leadersModel) reachable(a, b int) bool {
	_, cutA := m.active("cut", a)
	_, cutB := m.active("cut", b)
	return a == b || (!cutA && !cutB)
}

func drawTime(rt *rapid.T, name string, from, to time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(from/modelStep), int(to/modelStep)).Draw(rt, name)) * modelStep
}

var modelKinds = []string{
	"cut", "lapse", "resign", "restart", "late", "slow store", "refused", "unanswered", "end", "kill", "freeze", "isolate", "slow start", "flap",
}

// drawEvents draws disruptions of some of modelKinds and of further kinds. Fewer kinds in a play meet each other more often.
func drawEvents(rt *rapid.T, kinds ...string) []modelEvent {
	events := make([]modelEvent, rapid.IntRange(2, 9).Draw(rt, "events"))
	kinds = append(kinds, rapid.SliceOfNDistinct(rapid.SampledFrom(modelKinds), 2, 6, rapid.ID[string]).Draw(rt, "kinds")...)
	for i := range events {
		e := modelEvent{
			kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			zone: rapid.IntRange(0, modelZones-1).Draw(rt, "zone"), at: drawTime(rt, "at", 2*time.Second, 12*time.Second),
		}
		switch e.kind {
		case "cut", "lapse":
			e.until = e.at + drawTime(rt, "for", time.Second, 12*time.Second)
		case "flap":
			// The worker answers for a moment between two silences.
			e.kind, e.until = "silent", e.at+drawTime(rt, "for", 7*modelStep, 3*time.Second)
			again := e.until + drawTime(rt, "back for", modelStep, 3*time.Second)
			events = append(events, modelEvent{kind: e.kind, zone: e.zone, at: again, until: again + 10*time.Second})
		case "refused", "unanswered":
			e.zone, e.until = -1, e.at+drawTime(rt, "for", time.Second, 12*time.Second)
		case "late", "slow store":
			if e.kind == "slow store" {
				e.zone = -1
			}
			e.until = e.at + drawTime(rt, "for", modelStep, 4*time.Second)
			e.delay = drawTime(rt, "delay", modelStep, 12*time.Second)
		case "kill", "freeze", "isolate", "slow start":
			e.until = e.at + drawTime(rt, "for", modelStep, 6*time.Second)
		case "resign":
			e.lost = rapid.IntRange(0, 2).Draw(rt, "lost")
		}
		events[i] = e
	}
	return events
}

func (m *leadersModel) deliverLate() {
	due := m.late
	m.late = nil
	for _, l := range due {
		if l.at <= m.now {
			l.deliver()
		} else {
			m.late = append(m.late, l)
		}
	}
}

// restartWorker starts a worker again under its ID. The registry has to learn of the new life.
func (m *leadersModel) restartWorker(w *modelWorker) {
	if _, lapsed := m.active("lapse", w.zone); lapsed || !m.reachable(w.zone, -1) {
		return
	}
	*w = modelWorker{id: w.id, zone: w.zone, rate: w.rate, born: m.now, incarnation: w.incarnation + 1, runs: make(map[work.Task]int), highest: make(map[work.Task]int)}
}

// send delivers a command to a worker, and reports whether the leader gets the reply.
func (m *leadersModel) send(n *modelNode, w *modelWorker, deliver func()) bool {
	if _, silent := m.active("silent", w.zone); silent || w.goneAt > 0 || !m.reaches(n, w.zone) {
		return false
	}
	if late, ok := m.active("late", w.zone); ok {
		m.late = append(m.late, lateCommand{m.now + late.delay, deliver})
		return false
	}
	deliver()
	return true
}

func (m *leadersModel) carryOut(n *modelNode) {
	for _, cmd := range n.core.TakeCommands() {
		if m.copies != nil && cmd.Kind == CommandStart {
			m.copies.checkStart(n, cmd.Start)
		}
		var w *modelWorker
		for _, w = range m.workers {
			if w.id == cmd.Target.ID {
				break
			}
		}
		reply := worker.Reply{}
		if !m.send(n, w, func() { reply = m.execute(w, cmd) }) {
			reply = worker.Reply{Outcome: worker.Unknown}
		}
		n.core.HandleReply(cmd, reply, m.now, nil)
	}
}

// extend extends the lease of a worker and reports whether the command is of the latest leader that the worker knows.
func (m *leadersModel) extend(w *modelWorker, fence uint64, until time.Duration) (worker.Reply, bool) {
	reply := worker.Reply{Clock: w.clock(m.now), Incarnation: w.incarnation}
	if fence < w.fence {
		reply.Outcome = worker.Fenced
		return reply, false
	}
	w.fence = fence
	if until > 0 {
		w.leaseEnd = max(w.leaseEnd, min(until, reply.Clock+rigBounds().MaxLease))
	}
	return reply, true
}

func (m *leadersModel) renew(w *modelWorker, cmd worker.RenewCommand) worker.Status {
	status := worker.Status{}
	status.Reply, _ = m.extend(w, cmd.Fence, cmd.LeaseExpiry)
	for t, number := range w.runs {
		status.Running = append(status.Running, worker.Run{Task: t, Number: number, SpeedPercent: 100})
	}
	for _, e := range w.exits {
		if e.Seq > cmd.AcknowledgedSeq {
			status.Exited = append(status.Exited, e)
		}
	}
	return status
}

func (m *leadersModel) execute(w *modelWorker, cmd Command) worker.Reply {
	switch cmd.Kind {
	case CommandStart:
		reply, ok := m.extend(w, cmd.Start.Fence, cmd.Start.LeaseExpiry)
		switch s := cmd.Start; {
		case !ok:
		case s.LeaseExpiry <= reply.Clock:
			reply.Outcome = worker.Expired
		case s.Run < w.highest[s.Task] || (s.Run == w.highest[s.Task] && w.runs[s.Task] != s.Run):
			reply.Outcome = worker.Superseded
		default:
			w.runs[s.Task], w.highest[s.Task] = s.Run, s.Run
		}
		return reply
	case CommandStop:
		reply, ok := m.extend(w, cmd.Run.Fence, 0)
		if ok {
			w.highest[cmd.Run.Task] = max(w.highest[cmd.Run.Task], cmd.Run.Run)
			if w.runs[cmd.Run.Task] <= cmd.Run.Run {
				delete(w.runs, cmd.Run.Task)
			}
		}
		return reply
	case CommandPoll:
		return m.renew(w, cmd.Renew).Reply
	}
	return worker.Reply{Clock: w.clock(m.now), Incarnation: w.incarnation}
}
