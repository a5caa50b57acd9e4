package scheduler

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// idleModelStore holds the rows of the leaders.
type idleModelStore struct {
	version  uint64
	progress map[string][]byte
	roster   map[string]RosterEntry
	waves    map[int]WaveProgress
	requests map[int]instance.Wave
	commands map[string]time.Duration
	leases   leaserecord.Entries
}

func newIdleModelStore() idleModelStore {
	return idleModelStore{
		progress: make(map[string][]byte), roster: make(map[string]RosterEntry), waves: make(map[int]WaveProgress), requests: make(map[int]instance.Wave), commands: make(map[string]time.Duration),
	}
}

// idleModelLeader plays the engine of a term.
type idleModelLeader struct {
	model *idleModel
	core  *Core
	// confirmedAt is when the store last confirmed the leadership.
	confirmedAt time.Duration
	renewing    map[string]bool
	renewAt     map[string]time.Duration
	// pendingSince is since when a renewal waits for a batch.
	pendingSince map[string]time.Duration
	committing   bool
	commitAt     time.Duration
	registryAt   time.Duration
	instancesAt  time.Duration
}

// elect lets a process acquire leadership, with what is stored.
func (m *idleModel) elect(previousEnded bool) {
	m.terms++
	m.store.version++
	o := Options{
		Bounds: rigBounds(), Fence: m.store.version, Term: m.terms, AcquiredAt: m.now, PreviousLeaderEnded: previousEnded, EarlierLeadersUntil: m.electedAt + LeadershipTimeout,
		InstanceCommandRate: 100, Logger: m.logger(),
	}
	m.electedAt = m.now
	c := NewCore(o)
	l := &idleModelLeader{
		model: m, core: c, confirmedAt: m.now, renewing: make(map[string]bool), renewAt: make(map[string]time.Duration), pendingSince: make(map[string]time.Duration),
	}
	c.SetCatalog(m.catalog)
	c.SetLeaseEnds(m.store.leases)
	for _, id := range slices.Sorted(maps.Keys(m.store.roster)) {
		c.SetRoster([]RosterEntry{m.store.roster[id]})
	}
	c.SetPreviousInstanceCommands(maps.Clone(m.store.commands))
	for _, j := range m.jobs {
		if j.ended {
			continue
		}
		var p *work.Progress
		if value, ok := m.store.progress[j.doc.ID]; ok {
			p = new(work.Progress)
			if err := cbor.Unmarshal(value, p); err != nil {
				panic(err)
			}
			j.ended = p.State.Ended()
		}
		if !j.ended {
			c.AddJob(j.doc, p, m.now)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(m.store.requests)) {
		var progress *WaveProgress
		if p, ok := m.store.waves[n]; ok {
			p.Begun = maps.Clone(p.Begun)
			progress = &p
		}
		c.AddWave(m.store.requests[n], progress)
	}
	m.leader = l
}

// logger returns the logger of a leader. It writes to the trace of the play.
func (m *idleModel) logger() hclog.Logger {
	if m.faults.log == nil {
		return nil
	}
	return m.faults.log
}

// isLeader reports whether commands may be sent.
func (l *idleModelLeader) isLeader() bool {
	return l.model.leader == l && l.model.now-l.confirmedAt < LeadershipTimeout
}

// step plays a pass.
func (l *idleModelLeader) step() {
	m, c := l.model, l.core
	if !m.faults.storeDown(m.now) {
		l.confirmedAt = m.now
	}
	c.SetTime(m.now)
	c.SetConfirmed(l.confirmedAt)
	if !l.isLeader() {
		l.commit()
		return
	}
	if m.now >= l.registryAt && !m.faults.storeDown(m.now) {
		l.registryAt = m.now + registryInterval
		var reports []worker.Report
		for _, e := range m.registry {
			reports = append(reports, e.report)
		}
		c.SetWorkers(reports)
	}
	if m.now >= l.instancesAt && !m.faults.instancesDown(m.now) {
		l.instancesAt = m.now + instancesInterval
		c.SetInstances(m.listInstances(), m.now)
	}
	c.Schedule(m.now)
	for _, cmd := range c.TakeInstanceCommands() {
		m.sendInstanceCommand(c, cmd)
	}
	for _, q := range c.TakePolicyQueries() {
		m.sendPolicyQuery(c, q)
	}
	c.TakeJobsToPrune()
	c.TakeJobsToShorten()
	if c.Deposed() {
		panic("the leader was deposed")
	}
	l.renewAll()
	l.dispatch()
	l.commit()
}

func (l *idleModelLeader) dispatch() {
	if !l.isLeader() {
		return
	}
	for _, cmd := range l.core.TakeCommands() {
		if cmd.repeated {
			l.model.after(commandPause, func() { l.send(cmd) })
			continue
		}
		l.send(cmd)
	}
}

// send sends a command to a worker. Some commands are carried out late or lost during a fault.
func (l *idleModelLeader) send(cmd Command) {
	m, sent := l.model, l.model.now
	inst := m.at(cmd.Target.Address)
	if cmd.Kind == CommandPoll {
		l.sendRenewal(inst, cmd.call, cmd.Target.ID, cmd.Renew, func(bool) {})
		return
	}
	deliver := func(r worker.Reply) {
		l.core.SetTime(m.now)
		l.core.HandleReply(cmd, r, sent, nil)
	}
	arrive := func() {
		if inst.reachable(m.now) {
			m.carryOut(inst, cmd)
		}
	}
	unknown := worker.Reply{Outcome: worker.Unknown}
	key := []any{"order", cmd.Kind, cmd.Start.Task, cmd.Start.Run, cmd.Run.Task, cmd.Run.Run, m.now}
	switch disturbed := m.now < m.faults.lateUntil && m.chance(key...) < m.faults.lateShare; {
	case !inst.reachable(m.now), cmd.Kind == CommandStart && inst.unhealthy(m.now, startsUnanswered):
		m.after(commandTimeout, func() { deliver(unknown) })
	case disturbed:
		key = append(key, "how")
		switch how := m.chance(key...); {
		case how < 0.2:
		case how < 0.3:
			m.carryOut(inst, cmd)
		case how < 0.4:
			reply := m.carryOut(inst, cmd)
			m.after(m.between(0, commandTimeout, append(key, "answer")...), func() { deliver(reply) })
			return
		default:
			m.after(m.between(0, 12*time.Second, append(key, "late")...), arrive)
		}
		m.after(commandTimeout, func() { deliver(unknown) })
	default:
		deliver(m.carryOut(inst, cmd))
	}
}

func (l *idleModelLeader) renewAll() {
	m, c := l.model, l.core
	ids := c.Workers()
	slices.Sort(ids)
	for _, id := range ids {
		if l.renewing[id] || m.now < l.renewAt[id] {
			continue
		}
		r, ok := c.Renewal(id)
		if !ok {
			continue
		}
		if r.Pending {
			if l.pendingSince[id] == 0 {
				l.pendingSince[id] = m.now
			}
			if m.now < l.pendingSince[id]+ackWait {
				continue
			}
		}
		l.pendingSince[id], l.renewing[id] = 0, true
		l.sendRenewal(m.at(r.Target.Address), r.call, id, r.Command, func(failed bool) {
			l.renewing[id] = false
			if failed {
				l.renewAt[id] = m.now + renewPause
				if r.Unresponsive {
					l.renewAt[id] = m.now + unresponsivePause
				}
			}
		})
	}
}

func (l *idleModelLeader) sendRenewal(inst *idleModelInstance, to call, id string, cmd worker.RenewCommand, done func(failed bool)) {
	m, sent, answered := l.model, l.model.now, false
	deliver := func(s worker.Status) {
		if answered {
			return
		}
		answered = true
		l.core.SetTime(m.now)
		l.core.HandleStatus(to, s, sent, nil)
		done(s.Outcome == worker.Unknown)
	}
	lost := m.now < m.faults.lateUntil && m.chance("renewal", id, m.now) < m.faults.lateShare/2
	if !inst.reachable(m.now) || lost {
		m.after(cmd.MaxWait+renewTimeout, func() { deliver(worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}) })
		return
	}
	w := inst.worker
	status := m.renew(w, id, cmd)
	if status.Outcome != worker.Accepted || cmd.MaxWait == 0 || len(status.Exited) > 0 {
		deliver(status)
		return
	}
	w.held = append(w.held, idleModelHeld{until: m.now + cmd.MaxWait, reply: deliver})
	m.after(cmd.MaxWait+renewTimeout, func() { deliver(worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}) })
}

func (m *idleModel) sendInstanceCommand(c *Core, cmd InstanceCommand) {
	deliver := func(o instance.Outcome) {
		c.SetTime(m.now)
		c.HandleInstanceReply(cmd, o, nil)
	}
	if m.faults.instancesDown(m.now) {
		switch m.faults.instancesMode {
		case 0:
			m.command(cmd)
			m.after(instanceTimeout, func() { deliver(instance.Unknown) })
		case 1:
			m.after(instanceTimeout, func() { deliver(instance.Unknown) })
		case 2:
			deliver(instance.Refused)
		default:
			m.after(m.between(0, 12*time.Second, "command", cmd.Instance, m.now), func() { m.command(cmd) })
			m.after(instanceTimeout, func() { deliver(instance.Unknown) })
		}
		return
	}
	m.after(idleModelStep, func() { deliver(m.command(cmd)) })
}

// command carries out a command for an instance.
func (m *idleModel) command(cmd InstanceCommand) instance.Outcome {
	i := slices.IndexFunc(m.instances, func(inst *idleModelInstance) bool { return inst.id == cmd.Instance })
	inst := m.instances[i]
	switch {
	case inst.gone:
		return instance.Invalid
	case cmd.Wave == 0 && inst.pool == cmd.Pool && inst.state != instance.Down:
		return instance.Accepted
	case inst.state != instance.Up || inst.leavesAt > 0 || m.now < inst.cutUntil:
		return instance.Busy
	}
	if inst.worker != nil {
		m.unlist(inst.worker.id)
	}
	m.trace("%v command %+v", m.now-idleModelStart, cmd)
	if cmd.Wave > 0 {
		inst.end(instance.InMaintenance, m.now+rigBounds().MaintenanceDuration)
		return instance.Accepted
	}
	inst.end(instance.Moving, m.now+rigBounds().MoveDuration)
	inst.pool = cmd.Pool
	return instance.Accepted
}

func (m *idleModel) sendPolicyQuery(c *Core, q PolicyQuery) {
	sent := m.now
	doc, _ := m.catalog.Queue(m.byID[q.Job].doc.Queue)
	took := doc.Policy.Decide + time.Duration(len(q.Workers))*doc.Policy.Each
	g := advice.Grant{Tickets: make(map[string]string), Valid: doc.Policy.Valid}
	var err error
	if m.now < m.faults.policyUntil {
		switch m.faults.policyMode {
		case 0:
			took, err = adviceTimeout, errors.New("timeout")
		case 1:
			g.Valid = 500 * time.Millisecond
		case 2:
			err = errors.New("refused")
		default:
			took = 2 * time.Second
		}
	}
	for _, id := range q.Workers {
		if m.allows(q.Job, id) {
			for _, inst := range m.instances {
				if inst.worker != nil && inst.worker.id == id {
					g.Tickets[id] = fmt.Sprint(id, "+", inst.worker.incarnation, " ", int64(sent+g.Valid))
				}
			}
		}
	}
	m.after(took, func() {
		c.SetTime(m.now)
		c.HandlePolicyReply(q, g, sent, err)
	})
}

// fits reports whether the store takes a batch, with two conditions and the row of the chain.
func fits(b Batch) bool { return len(b.rowKeys())+3 <= store.MaxEntries }

// nextBatch returns the next batch, with fewer rows if the store would refuse it.
func (l *idleModelLeader) nextBatch() Batch {
	for limit := batchRows; ; limit /= 2 {
		b := l.core.TakeBatch(limit)
		if fits(b) || limit <= minBatchRows {
			return b
		}
		l.core.BatchFailed(b)
	}
}

// commit stores what has changed. Only one batch is in flight at a time.
func (l *idleModelLeader) commit() {
	m, c := l.model, l.core
	if l.committing || m.now < l.commitAt {
		return
	}
	b := l.nextBatch()
	if b.Empty() {
		if len(b.exitAcks) > 0 {
			c.BatchStored(b)
		}
		return
	}
	l.committing = true
	write := m.write(b)
	takes, err := time.Duration(0), error(nil)
	if m.now < m.faults.storeUntil {
		switch m.faults.storeMode {
		case storeRefuses:
			takes, err = commitPause, store.ErrNotDone
		case storeSilent:
			takes, err = commitTimeout+readTimeout, store.ErrUnknown
		case storeSlow:
			takes = 500 * time.Millisecond
		case storeRefusesRow:
			if _, ok := b.Progress[m.faults.refusedJob]; ok {
				takes, err = commitPause, store.ErrRefused
			}
		}
	}
	if !fits(b) {
		takes, err = commitPause, store.ErrRefused
	}
	finish := func() {
		l.committing, l.commitAt = false, m.now
		c.SetTime(m.now)
		switch {
		case m.leader != l:
		case errors.Is(err, store.ErrRefused):
			c.BatchRefused(b, err)
		case err != nil:
			c.BatchFailed(b)
		default:
			write()
			m.store.version++
			c.SetStoredVersion(m.store.version)
			c.BatchStored(b)
			l.dispatch()
		}
	}
	if takes == 0 {
		finish()
		return
	}
	m.after(takes, finish)
}

// write encodes a batch as it is now, and returns a function that writes it.
func (m *idleModel) write(b Batch) func() {
	values := make(map[string][]byte, len(b.Progress))
	for id, p := range b.Progress {
		value, err := cbor.Marshal(p)
		if err != nil {
			panic(err)
		}
		values[id] = value
	}
	s := &m.store
	return func() {
		maps.Copy(s.progress, values)
		if b.LeaseEnds != nil {
			s.leases = b.LeaseEnds
		}
		for id, e := range b.Roster {
			delete(s.roster, id)
			if e != nil {
				s.roster[id] = *e
			}
		}
		for _, begun := range b.begun {
			p := s.waves[begun.wave]
			p.Begun = maps.Clone(p.Begun)
			if p.Begun == nil {
				p.Begun = make(map[string]string)
			}
			p.Begun[begun.instance] = begun.worker
			s.waves[begun.wave] = p
		}
		for n, w := range b.Waves {
			w.Begun = s.waves[n].Begun
			s.waves[n] = w
		}
		maps.Copy(s.commands, b.InstanceCommandTimes)
		for _, id := range b.ExpiredCommands {
			delete(s.commands, id)
		}
	}
}
