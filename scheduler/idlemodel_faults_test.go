package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/worker"
)

// idleModelEvent is a disruption of a play, or planned work. It begins a time after the play and lasts for another.
type idleModelEvent struct {
	Kind    string
	At, For time.Duration
	// Share is that of the workers, orders or tasks.
	Share float64
	// Pool is the number of the pool, and -1 for all of them.
	Pool int
	// Mode distinguishes forms of the kind.
	Mode int
}

// Forms of a fault of the store.
const (
	storeRefuses = iota
	storeSilent
	storeSlow
	storeRefusesRow
	storeModes
)

// idleModelFaults holds the faults other than those of instances.
type idleModelFaults struct {
	log            hclog.Logger
	frozenUntil    time.Duration
	storeUntil     time.Duration
	storeMode      int
	refusedJob     string
	lateUntil      time.Duration
	lateShare      float64
	instancesUntil time.Duration
	instancesMode  int
	policyUntil    time.Duration
	policyMode     int
}

func (f *idleModelFaults) storeDown(now time.Duration) bool {
	return now < f.storeUntil && f.storeMode <= storeSilent
}

func (f *idleModelFaults) instancesDown(now time.Duration) bool { return now < f.instancesUntil }

// idleModelKind is a kind of event.
type idleModelKind struct {
	// modes is the number of its forms, and longest its longest duration.
	modes   int
	longest time.Duration
	// planned means that it is no disruption.
	planned bool
	begin   func(m *idleModel, e idleModelEvent, on []*idleModelInstance)
}

// idleModelKinds holds the kinds of events.
var idleModelKinds = map[string]idleModelKind{
	"crash": {modes: 3, longest: 5 * time.Second, begin: func(m *idleModel, e idleModelEvent, on []*idleModelInstance) {
		for _, inst := range on {
			inst.keepsID = e.Mode == 1
			inst.end(instance.Down, m.now+e.For)
			if e.Mode == 2 {
				inst.bootAt = m.now + time.Second/2
			}
		}
	}},
	// The instance does not come back. Another one takes its place later.
	"gone": {modes: 2, longest: 10 * time.Second, planned: true, begin: func(m *idleModel, e idleModelEvent, on []*idleModelInstance) {
		m.disturb(m.now)
		for _, inst := range on {
			inst.end(instance.Down, 0)
			inst.gone = true
			if e.Mode == 0 {
				pool := inst.pool
				m.after(e.For, func() { m.addInstance(pool, len(m.instances)) })
			}
		}
	}},
	"cut": {modes: 2, longest: 10 * time.Second, begin: func(m *idleModel, e idleModelEvent, on []*idleModelInstance) {
		for _, inst := range on {
			inst.cutUntil, inst.cutAsOther = m.now+e.For, e.Mode == 1
		}
	}},
	"flap": {modes: 2, longest: 8 * time.Second, begin: func(m *idleModel, e idleModelEvent, on []*idleModelInstance) {
		for _, inst := range on {
			inst.keepsID = e.Mode == 1
			inst.flapUntil, inst.flapPeriod = m.now+e.For, m.between(300*time.Millisecond, 2*time.Second, "flap", e.At)
		}
	}},
	"unhealthy": {modes: unhealthyModes, longest: 10 * time.Second, begin: func(m *idleModel, e idleModelEvent, on []*idleModelInstance) {
		for _, inst := range on {
			inst.unhealthyUntil, inst.unhealthyMode = m.now+e.For, e.Mode
			if !inst.unhealthy(m.now, failsRuns, refusesAndFails) {
				continue
			}
			for _, r := range inst.worker.runs {
				r.endsAt, r.reason = m.now+m.between(0, time.Second, "onset", r.task), worker.ExitFailed
			}
		}
	}},
	"unlisted": {modes: 1, longest: 8 * time.Second, begin: func(m *idleModel, e idleModelEvent, on []*idleModelInstance) {
		for _, inst := range on {
			inst.unlistedUntil = m.now + e.For
			m.unlist(inst.worker.id)
		}
	}},
	"leave": {modes: 1, longest: 6 * time.Second, begin: func(m *idleModel, e idleModelEvent, on []*idleModelInstance) {
		for _, inst := range on {
			inst.leavesAt = m.now + max(3*time.Second, e.For)
			m.disturb(inst.leavesAt)
		}
	}},
	"shrink": {modes: 1, longest: 10 * time.Second, begin: func(m *idleModel, e idleModelEvent, on []*idleModelInstance) {
		for _, inst := range on {
			inst.shrunkUntil, inst.shrunkTo = m.now+e.For, m.between(0, time.Second, "shrink", e.At).Seconds()
		}
	}},
	"leader": {modes: 4, longest: 4 * time.Second, begin: func(m *idleModel, e idleModelEvent, _ []*idleModelInstance) {
		if e.Mode == 3 {
			m.faults.frozenUntil = m.now + e.For
			return
		}
		gap := e.For
		if e.Mode > 0 {
			gap = max(gap, LeadershipTimeout)
		}
		m.leader = nil
		m.disturb(m.now + gap)
		term := m.terms
		m.after(gap, func() {
			if m.terms != term {
				return
			}
			m.elect(e.Mode == 0)
			if l := m.leader; e.Mode == 2 {
				m.after(2*time.Second, func() { l.core.PreviousLeaderEnded() })
			}
		})
	}},
	"store": {modes: storeModes, longest: 9 * time.Second, begin: func(m *idleModel, e idleModelEvent, _ []*idleModelInstance) {
		m.faults.storeUntil, m.faults.storeMode = m.now+e.For, e.Mode
		if len(m.tasks) > 0 {
			m.faults.refusedJob = m.tasks[int(m.chance("row", e.At)*float64(len(m.tasks)))].id.Job
		}
	}},
	"late": {modes: 1, longest: 10 * time.Second, begin: func(m *idleModel, e idleModelEvent, _ []*idleModelInstance) {
		m.faults.lateUntil, m.faults.lateShare = m.now+e.For, e.Share
	}},
	"instances": {modes: 4, longest: 10 * time.Second, begin: func(m *idleModel, e idleModelEvent, _ []*idleModelInstance) {
		m.faults.instancesUntil, m.faults.instancesMode = m.now+e.For, e.Mode
	}},
	"policy": {modes: 4, longest: 8 * time.Second, begin: func(m *idleModel, e idleModelEvent, _ []*idleModelInstance) {
		m.faults.policyUntil, m.faults.policyMode = m.now+e.For, e.Mode
	}},
	// Maintenance of instances: one at a time, three, or all of them, many waves at the same moment, or a rack.
	"wave": {modes: 5, longest: 12 * time.Second, planned: true, begin: func(m *idleModel, e idleModelEvent, on []*idleModelInstance) {
		if e.Mode < 3 {
			m.addWave(e, on, []int{1, 3, len(m.instances)}[e.Mode])
			return
		}
		if e.Mode == 4 && len(on) > 0 {
			rack := on[0].labels[1]
			on = slices.DeleteFunc(on, func(inst *idleModelInstance) bool { return inst.labels[1] != rack })
			m.addWave(e, on, len(on))
			return
		}
		for i := range int(maxIdleModelWaves*e.Share) * min(1, len(on)) {
			m.addWave(e, on[i%len(on):][:1], 1)
		}
	}},
	// Tasks of services fail by themselves.
	"fail": {modes: 3, longest: 15 * time.Second, planned: true, begin: func(m *idleModel, e idleModelEvent, _ []*idleModelInstance) {
		for _, j := range m.jobs {
			if !j.doc.Steps[0].Service || e.Pool >= 0 && j.doc.Pool != m.pools[e.Pool%len(m.pools)] {
				continue
			}
			j.failUntil, j.failing, j.failEvery = m.now+e.For, e.Share, []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second}[e.Mode]
			for _, inst := range m.instances {
				if inst.worker == nil {
					continue
				}
				for _, r := range inst.worker.runs {
					if r.job == j && m.chance("fails", r.task) < j.failing {
						r.endsAt, r.reason = m.now+j.failEvery, worker.ExitFailed
					}
				}
			}
		}
	}},
	"surge": {modes: 1, longest: 10 * time.Second, planned: true, begin: func(m *idleModel, e idleModelEvent, _ []*idleModelInstance) {
		m.surge, m.surgeUntil = 10*e.Share, m.now+e.For
	}},
}

// maxIdleModelWaves is the largest number of waves that begin at the same moment.
const maxIdleModelWaves = 60

func (m *idleModel) addWave(e idleModelEvent, on []*idleModelInstance, maxDown int) {
	if len(on) == 0 {
		return
	}
	doc := instance.Wave{Number: len(m.store.requests) + 1, MaxDuration: max(2*time.Second, e.For), MaxUnavailable: maxDown}
	for _, inst := range on {
		doc.Instances = append(doc.Instances, inst.id)
	}
	m.store.requests[doc.Number] = doc
	if m.leader != nil {
		m.leader.core.AddWave(doc, nil)
	}
}

// idleModelKindNames lists the kinds in order.
var idleModelKindNames []string

func init() {
	for name := range idleModelKinds {
		idleModelKindNames = append(idleModelKindNames, name)
	}
	slices.Sort(idleModelKindNames)
}

// begin begins an event.
func (m *idleModel) begin(e idleModelEvent, number int) {
	kind := idleModelKinds[e.Kind]
	if !kind.planned {
		m.disturb(m.now + e.For)
	}
	kind.begin(m, e, m.choose(e, number))
}

// choose returns the instances that an event is about, among those whose workers are up.
func (m *idleModel) choose(e idleModelEvent, number int) []*idleModelInstance {
	var up []*idleModelInstance
	for _, inst := range m.instances {
		if inst.worker != nil && inst.state == instance.Up && inst.leavesAt == 0 && m.now >= inst.cutUntil && (e.Pool < 0 || inst.pool == m.pools[e.Pool%len(m.pools)]) {
			up = append(up, inst)
		}
	}
	slices.SortFunc(up, func(a, b *idleModelInstance) int {
		return cmp.Or(cmp.Compare(m.chance("choose", number, a.id), m.chance("choose", number, b.id)), cmp.Compare(a.id, b.id))
	})
	return up[:min(len(up), int(math.Ceil(e.Share*float64(len(up)))))]
}

// drawIdleModelEvent draws an event that begins a time after the play.
func drawIdleModelEvent(random *rand.Rand, at time.Duration) idleModelEvent {
	name := idleModelKindNames[random.IntN(len(idleModelKindNames))]
	kind := idleModelKinds[name]
	e := idleModelEvent{Kind: name, At: at, For: time.Duration(1+random.Int64N(int64(kind.longest/idleModelStep))) * idleModelStep, Share: 0.1 + 0.9*random.Float64(), Pool: -1, Mode: random.IntN(kind.modes)}
	if random.IntN(2) == 0 {
		e.Pool = random.IntN(4)
	}
	return e
}

// newIdleModelPlay draws a play from a seed.
func newIdleModelPlay(seed uint64) idleModelPlay {
	random := rand.New(rand.NewPCG(seed, 44))
	p := idleModelPlay{Seed: seed}
	at := idleModelWarmUp
	for range 1 + random.IntN(8) {
		at += time.Duration(random.IntN(100)) * idleModelStep
		p.Events = append(p.Events, drawIdleModelEvent(random, at))
	}
	return p
}

// String describes the result of a play.
func (r idleModelResult) String() string {
	return fmt.Sprintf("margin %v at %v, %s: %s (%s); believed to run for %v", r.margin, r.at, r.task, r.reason, r.detail, r.believed)
}
