package scheduler

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/jobs/horizon"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	modelStep = 200 * time.Millisecond
	// modelAnswer is the time after which the outcome of a batch without an answer is looked up.
	modelAnswer = 1200 * time.Millisecond
	modelLength = 26 * time.Second
	modelZones  = 4
	// modelAtWork is the time after the loss of a leader or worker within which the tasks of a service run again.
	modelAtWork = idleAfterCalm + maxIdle
)

// modelLimit is the limit of the team of the jobs.
var modelLimit = work.Resources{CPU: 1000 * modelZones}

// modelRow is the leader row.
type modelRow struct {
	leader, incarnation, term int
	version                   uint64
	resigned                  bool
	// earlierUntil is on the store's clock, as all times that a process leaves behind.
	earlierUntil time.Duration
}

// modelBatch is a batch in flight.
type modelBatch struct {
	Batch
	answerAt time.Duration
	// version is that of the transaction, and 0 until it is carried out.
	version uint64
}

// modelNode is a process that may lead. Each zone has one, and one worker.
type modelNode struct {
	zone, incarnation int
	upAt              time.Duration
	seenTerm          int
	seenAt            time.Duration
	// clockError is how much the estimate of the store's clock is behind it.
	clockError time.Duration
	// frozenAt and frozenUntil are the begin and the end of a suspension. Replies of the last calls before it are processed afterwards.
	frozenAt, frozenUntil time.Duration
	replies               []func()
	// cutUntil is the end of a cut of the process from the store and all workers.
	cutUntil time.Duration
	// The fields below are those of the term.
	core       *Core
	fence      uint64
	leaders    horizon.Leaders
	previous   modelRow
	validUntil time.Duration
	// startedAt is the time at which the leader has read all rows.
	startedAt time.Duration
	batch     *modelBatch
	chain     int
}

// toStore returns a time as the process records it on the store's clock, and fromStore what it reads of a recorded one.
func (n *modelNode) toStore(at time.Duration) time.Duration {
	return at - n.clockError + storeClockError
}

func (n *modelNode) fromStore(at time.Duration) time.Duration { return at + n.clockError }

// recordLeases sets the ends of leases on the store's clock where they are not known yet.
func (n *modelNode) recordLeases(entries leaserecord.Entries) leaserecord.Entries {
	for id, e := range entries {
		if e.StoredEnd == 0 {
			e.StoredEnd = n.toStore(e.End)
			entries[id] = e
			n.core.leaseRecord.SetStoredEnd(id, e.StoredEnd)
		}
	}
	return entries
}

// leadersModel plays leaders that follow each other over one store, with cuts of zones, restarts, commands that arrive late, and
// entries of workers that expire. Each task may run on one worker at a time.
type leadersModel struct {
	rt      *rapid.T
	now     time.Duration
	events  []modelEvent
	nodes   []*modelNode
	workers []*modelWorker
	row     modelRow
	// version is that of the latest transaction, and chain the number of batches.
	version uint64
	chain   int
	// losses holds how the next leaders are lost, with times from when they acquire leadership.
	losses []modelEvent
	// lostAt is the time of the latest loss of a leader or worker, if the play watches whether all tasks run again.
	lostAt time.Duration
	endAt  time.Duration
	// heartbeats holds the incarnation and time of the latest heartbeat of each node.
	heartbeats []struct {
		incarnation int
		at          time.Duration
	}
	// earlier holds what the heartbeats of the leaders tell of the leaders before, by fencing token.
	earlier map[uint64]time.Duration
	// leases is the record of leases, in which only the ends on the store's clock count.
	leases leaserecord.Entries
	dead   time.Duration
	doc    work.Job
	// next is a job of the same team that is submitted when doc is cancelled, and limited means that the team's limit is checked.
	next      work.Job
	cancelled bool
	limited   bool
	// progress holds the stored progress by job.
	progress map[string][]byte
	roster   map[string]RosterEntry
	late     []lateCommand
	// copies is set in plays of a speculative step, whose tasks may have two runs.
	copies *copiesPlay
}

func newLeadersModel(rt *rapid.T, events []modelEvent) *leadersModel {
	m := &leadersModel{
		rt: rt, now: time.Minute, roster: make(map[string]RosterEntry), progress: make(map[string][]byte), earlier: make(map[uint64]time.Duration), dead: time.Duration(rapid.IntRange(3, 8).Draw(rt, "dead")) * modelStep,
		doc: work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: modelZones, Request: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Hour}}},
	}
	m.doc.Steps[0].Service = rapid.Bool().Draw(rt, "service")
	m.events, m.endAt = events, m.now+modelLength
	for i := range m.events {
		m.events[i].at += m.now
		m.events[i].until += m.now
	}
	for zone := range modelZones {
		m.nodes = append(m.nodes, &modelNode{zone: zone, incarnation: 1, clockError: drawTime(rt, "clock error", 0, storeClockError)})
		m.workers = append(m.workers, &modelWorker{
			id: fmt.Sprint("w", zone), zone: zone, incarnation: rigIncarnation, rate: 1 - maxClockSlowdown*float64(zone%2), runs: make(map[work.Task]int), highest: make(map[work.Task]int),
		})
	}
	m.heartbeats = make([]struct {
		incarnation int
		at          time.Duration
	}, modelZones)
	return m
}

func (m *leadersModel) play() {
	for ; m.now < m.endAt; m.now += modelStep {
		m.deliverLate()
		for _, w := range m.workers {
			if w.clock(m.now) >= w.leaseEnd {
				clear(w.runs)
			}
		}
		m.disrupt()
		if m.copies != nil {
			m.copies.endRuns()
		}
		for _, n := range m.nodes {
			// A process that goes on after a suspension acts before it reads the store.
			if m.now >= n.upAt && m.now > n.frozenUntil {
				m.follow(n)
			}
		}
		for _, n := range m.nodes {
			if n.core != nil && m.now < n.validUntil && m.now >= n.startedAt && (m.now >= n.frozenUntil || m.now == n.frozenAt) {
				m.lead(n)
			}
		}
		m.check()
	}
}

func (m *leadersModel) check() {
	on, running := make(map[work.Task]string), int64(0)
	for _, w := range m.workers {
		for t := range w.runs {
			if other, ok := on[t]; ok && (m.copies == nil || m.copies.urgent) {
				m.rt.Fatalf("%s: task %d runs on %s and %s, in term %d", m.now-time.Minute, t.Index, other, w.id, m.row.term)
			}
			on[t] = w.id
			running++
		}
	}
	if used := m.doc.Steps[0].Request.Times(running); m.limited && used.CPU > modelLimit.CPU {
		m.rt.Fatalf("%s: the team uses %+v in term %d: %v", m.now-time.Minute, used, m.row.term, on)
	}
	if m.copies != nil {
		m.copies.check()
	}
	for i := range m.doc.Steps[0].Count {
		if _, ok := on[work.Task{Job: m.doc.ID, Index: i}]; !ok && m.lostAt > 0 && len(m.losses) == 0 && m.now > m.lostAt+modelAtWork {
			m.rt.Fatalf("%s: task %d does not run, %s after the last loss, in term %d", m.now-time.Minute, i, m.now-m.lostAt, m.row.term)
		}
	}
}

// disrupt ends the runs of workers, restarts nodes, and makes the leader resign.
func (m *leadersModel) disrupt() {
	for _, e := range m.events {
		if e.at != m.now {
			continue
		}
		n := m.nodes[m.row.leader]
		switch e.kind {
		case "end":
			m.workers[e.zone].endRuns()
		case "worker loss":
			m.workers[e.zone].goneAt = m.now
			clear(m.workers[e.zone].runs)
		case "worker restart":
			m.restartWorker(m.workers[e.zone])
		case "cancel":
			m.cancelled = true
		case "restart":
			m.end(n, m.now+modelStep*time.Duration(1+e.zone))
		case "kill":
			m.end(n, e.until)
		case "freeze":
			n.frozenAt, n.frozenUntil = m.now, e.until
		case "isolate":
			n.cutUntil = e.until
		case "resign":
			m.resign(n, e)
		}
	}
}

// end ends a process without notice. The next one starts at a time.
func (m *leadersModel) end(n *modelNode, upAt time.Duration) {
	n.core, n.incarnation, n.upAt, n.seenTerm, n.frozenUntil = nil, n.incarnation+1, upAt, 0, 0
}

// resign stops a leader as planned. One that has not started yet has nothing to hand over.
func (m *leadersModel) resign(n *modelNode, e modelEvent) {
	if n.core == nil || m.now < n.frozenUntil || !m.reaches(n, -1) || m.row.version != n.fence {
		return
	}
	if n.core.SetTime(m.now); m.now >= n.startedAt && e.lost == 0 {
		m.leases = n.recordLeases(n.core.LeaseEnds())
	}
	n.core = nil
	if e.lost < 2 {
		m.version++
		m.row.resigned, m.row.earlierUntil, m.row.version = true, n.toStore(n.leaders.ActiveUntil(LeadershipTimeout)), m.version
	}
}

// follow sends the heartbeat of a node and reads the leader row. The node confirms its term, ends it, or acquires leadership.
func (m *leadersModel) follow(n *modelNode) {
	if !m.reaches(n, -1) {
		return
	}
	m.heartbeats[n.zone].incarnation, m.heartbeats[n.zone].at = n.incarnation, m.now
	if n.seenTerm != m.row.term {
		n.seenTerm, n.seenAt = m.row.term, m.now
	}
	if n.core != nil {
		m.earlier[n.fence] = n.toStore(n.leaders.ActiveUntil(LeadershipTimeout))
		if m.row.version == n.fence {
			n.validUntil = m.now + LeadershipTimeout
			return
		}
		n.core = nil
	}
	leader := m.heartbeats[m.row.leader]
	replaced := leader.incarnation != m.row.incarnation
	if m.row.version > 0 && !m.row.resigned && !replaced && m.now-leader.at < m.dead {
		return
	}
	if m.row.resigned && m.row.leader == n.zone {
		return
	}
	m.acquire(n, replaced)
}

func (m *leadersModel) acquire(n *modelNode, replaced bool) {
	n.previous = m.row
	stored := m.row.earlierUntil
	if stored == 0 {
		stored = m.earlier[m.row.version]
	}
	if stored != 0 {
		stored = n.fromStore(stored)
	}
	n.leaders = horizon.Leaders{AcquiredAt: m.now, PreviousSeenAt: n.seenAt, EarlierUntil: horizon.EarlierUntil(LeadershipTimeout, n.seenAt, stored)}
	if m.row.resigned || replaced {
		n.leaders.PreviousEndedAt = m.now
	}
	m.version++
	m.row = modelRow{leader: n.zone, incarnation: n.incarnation, term: m.row.term + 1, version: m.version}
	n.fence, n.validUntil, n.startedAt = m.row.version, m.now+LeadershipTimeout, m.now
	n.batch, n.chain, n.replies = nil, m.chain, nil
	if e, slow := m.active("slow start", n.zone); slow {
		n.startedAt = e.until
	}
	if len(m.losses) > 0 {
		m.planLoss(n)
	}
	n.core = NewCore(Options{
		Bounds: rigBounds(), Fence: n.fence, Term: m.row.term, AcquiredAt: m.now, PreviousLeaderEnded: n.leaders.PreviousEndedAt != 0,
		EarlierLeadersUntil: n.leaders.EarlierUntil, PreviousLeaderSeenAt: n.leaders.PreviousSeenAt,
		Features: m.features(),
	})
	n.core.SetCatalog(catalog.New(1, 0, []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6}, {
		Name: "u", Host: "h", Prefix: "/u/", Pool: "p", Attempts: 2, Stretch: 1.6, Priority: -1,
	}}, []catalog.Pool{{Name: "p"}},
		[]catalog.Team{{Name: "limited", Limit: modelLimit}}))
	for _, e := range m.roster {
		n.core.SetRoster([]RosterEntry{e.fromStore(n.clockError)})
	}
	if m.copies != nil {
		m.copies.teach(n.core)
	}
	leases := make(leaserecord.Entries)
	for id, e := range m.leases {
		e.End = n.fromStore(e.StoredEnd)
		leases[id] = e
	}
	n.core.SetLeaseEnds(leases)
	m.readJobs(n.core)
}

func (m *leadersModel) features() serving.Scheduling {
	if m.copies == nil {
		return serving.Scheduling{}
	}
	return serving.Scheduling{Copies: true, Preemption: m.copies.urgent, LearnedRunTimes: !m.copies.urgent}
}

// readJobs gives a leader the jobs and the cancellation that are stored.
func (m *leadersModel) readJobs(c *Core) {
	docs := []work.Job{m.doc}
	if m.cancelled || m.copies != nil && m.now >= m.copies.nextAt {
		docs = append(docs, m.next)
	}
	if m.copies != nil {
		docs = append(docs, m.copies.others...)
	}
	for _, doc := range docs {
		if _, known := c.jobs[doc.ID]; known {
			continue
		}
		var p *work.Progress
		if value, ok := m.progress[doc.ID]; ok {
			p = new(work.Progress)
			if err := cbor.Unmarshal(value, p); err != nil {
				m.rt.Fatal(err)
			}
		}
		c.AddJob(doc, p, 0)
	}
	if m.cancelled {
		c.Cancel(m.doc.ID)
	}
}

// planLoss plans how a new leader is lost.
func (m *leadersModel) planLoss(n *modelNode) {
	e := m.losses[0]
	m.losses = m.losses[1:]
	e.at += m.now
	e.until += e.at
	if e.kind == "resign at start" {
		e.kind, n.startedAt = "resign", e.at
	}
	m.events = append(m.events, e)
	m.lostAt = max(m.lostAt, e.at)
	m.endAt = m.lostAt + 2*modelAtWork
}

// lead runs one pass of a leader, which may be cut off from the store.
func (m *leadersModel) lead(n *modelNode) {
	c := n.core
	c.SetTime(m.now)
	for _, process := range n.replies {
		process()
	}
	n.replies = nil
	c.SetConfirmed(n.validUntil - LeadershipTimeout)
	store := m.reaches(n, -1)
	if store && n.leaders.PreviousEndedAt == 0 && m.heartbeats[n.previous.leader].incarnation != n.previous.incarnation {
		n.leaders.PreviousEndedAt = m.now
		c.PreviousLeaderEnded()
	}
	if store {
		var reports []worker.Report
		for _, w := range m.workers {
			if _, lapsed := m.active("lapse", w.zone); !lapsed && (w.goneAt == 0 || m.now < w.goneAt+crashFleetEntry) && m.reachable(w.zone, -1) {
				report := rigReport(w.id, work.Resources{CPU: 4000, Memory: 4000})
				report.Incarnation = w.incarnation
				reports = append(reports, report)
			}
		}
		c.SetWorkers(reports)
		m.readJobs(c)
	}
	for _, w := range m.workers {
		if r, ok := c.Renewal(w.id); ok {
			status := worker.Status{}
			if !m.send(n, w, func() { status = m.renew(w, r.Command) }) {
				status.Outcome = worker.Unknown
			}
			sent := m.now
			n.replies = append(n.replies, func() { c.HandleStatus(r.call, status, sent, nil) })
		}
	}
	if m.now < n.frozenUntil {
		return
	}
	for _, process := range n.replies {
		process()
	}
	n.replies = nil
	c.Schedule(m.now)
	m.carryOut(n)
	if store {
		m.store(n)
		c.Schedule(m.now)
		m.carryOut(n)
	}
}

// store sends the next batch, unless one is in flight. A batch that is carried out late may be so after the leader has looked up its outcome.
func (m *leadersModel) store(n *modelNode) {
	if n.batch == nil {
		b := &modelBatch{Batch: n.core.TakeBatch(1000)}
		if b.Empty() {
			n.core.BatchStored(b.Batch)
			return
		}
		if _, refused := m.active("refused", -1); refused {
			n.core.BatchFailed(b.Batch)
			return
		}
		b.LeaseEnds = n.recordLeases(b.LeaseEnds)
		for id, e := range b.Roster {
			if e != nil {
				b.Roster[id] = e.toStore(-n.clockError)
			}
		}
		write, fence, chain := m.write(b), n.fence, n.chain
		carryOut := func() {
			if m.row.version == fence && m.chain == chain {
				m.version++
				m.chain++
				b.version = m.version
				write()
			}
		}
		n.batch = b
		if e, slow := m.active("slow store", -1); slow {
			b.answerAt = m.now + min(e.delay, modelAnswer)
			m.late = append(m.late, lateCommand{m.now + e.delay, carryOut})
		} else {
			carryOut()
		}
	}
	if b := n.batch; m.now >= b.answerAt {
		n.batch, n.chain = nil, m.chain
		if _, unanswered := m.active("unanswered", -1); unanswered || b.version == 0 {
			n.core.BatchFailed(b.Batch)
			return
		}
		n.core.SetStoredVersion(b.version)
		n.core.BatchStored(b.Batch)
	}
}

// write encodes a batch, and returns a function that writes it.
func (m *leadersModel) write(b *modelBatch) func() {
	rows := b.progressRows.Puts
	return func() {
		for _, row := range rows {
			m.progress[row.Name] = row.Value
		}
		if b.LeaseEnds != nil {
			m.leases = maps.Clone(b.LeaseEnds)
		}
		for id, e := range b.Roster {
			delete(m.roster, id)
			if e != nil {
				m.roster[id] = *e
			}
		}
	}
}

// TestLeadersModel guards against a task that runs on two workers because a leader takes a permission of an earlier one to have ended:
// of a leader two terms back that is cut off, on a worker that it has not reached and that the registry does not list, or of a command
// that arrives late. It also guards against one that takes a task to be idle whose latest run an earlier leader has started without a record.
func TestLeadersModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { newLeadersModel(rt, drawEvents(rt)).play() })
}

// TestLeadersModelOfRestartedWorkers guards against a task that runs on two workers because a lease is taken to have ended that a call to the
// life before has given to a worker that has started again under its ID.
func TestLeadersModelOfRestartedWorkers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { newLeadersModel(rt, drawEvents(rt, "worker restart")).play() })
}

// TestLeadersModelOfCancelledJobs guards against a team that has more running than its limit, because a leader does not count runs of a job that
// was cancelled under an earlier one and that go on until their workers have stopped them.
func TestLeadersModelOfCancelledJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newLeadersModel(rt, drawEvents(rt, "cancel"))
		m.limited, m.doc.Team = true, "limited"
		m.next = m.doc
		m.next.ID = "b"
		m.play()
	})
}

// TestServiceAfterLostLeaders guards against tasks of a service that wait for the leases of workers that are gone for longer than the users
// allow, anew with each leader that is lost.
func TestServiceAfterLostLeaders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := make([]modelEvent, rapid.IntRange(1, modelZones/2).Draw(rt, "lost workers"))
		for i := range events {
			events[i] = modelEvent{kind: "worker loss", zone: i, at: drawTime(rt, "at", 2*time.Second, 6*time.Second)}
		}
		m := newLeadersModel(rt, events)
		m.doc.Steps[0].Service, m.dead = true, takeoverTime+modelStep
		for _, e := range m.events {
			m.lostAt = max(m.lostAt, e.at)
		}
		m.losses = make([]modelEvent, rapid.IntRange(2, 6).Draw(rt, "leaders"))
		for i := range m.losses {
			m.losses[i] = modelEvent{
				kind: rapid.SampledFrom([]string{"kill", "isolate", "freeze", "resign", "resign at start"}).Draw(rt, "loss"),
				at:   drawTime(rt, "after", 2*modelStep, 6*time.Second), until: drawTime(rt, "for", 7*modelStep, LeadershipTimeout),
			}
		}
		m.losses[0].at = max(m.losses[0].at, 2*time.Second)
		m.endAt = m.lostAt + time.Hour
		m.play()
	})
}
