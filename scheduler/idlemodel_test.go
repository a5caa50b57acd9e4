package scheduler

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/work"
)

const (
	idleModelStep = 50 * time.Millisecond
	// idleModelStart is the time at which a play begins, and idleModelWarmUp that from its begin to the first disruption.
	idleModelStart  = time.Minute
	idleModelWarmUp = 6 * time.Second
	// idleModelTail is how long a play goes on after its last disruption.
	idleModelTail = 20 * time.Second
	// idleModelEntry is how long the registry lists a worker that does not renew its entry.
	idleModelEntry = 4500 * time.Millisecond
	// idleModelCores is the size of a worker.
	idleModelCores = 64
)

// idleModelScale multiplies the sizes of pools and services.
var idleModelScale = flag.Int("idle.scale", 1, "factor of the sizes of pools and services in the model of services on instances")

// idleModelPlay describes a play: its surroundings, which are drawn from the seed, and what happens.
type idleModelPlay struct {
	Seed   uint64
	Events []idleModelEvent
}

// idleModelJob is a job that was accepted.
type idleModelJob struct {
	doc   work.Job
	ended bool
	// takes is the duration of a task, and 0 for a service.
	takes time.Duration
	// failUntil is the time until which tasks of a service fail by themselves, each failEvery after its start.
	failUntil, failEvery time.Duration
	// failing is the share of its tasks that do.
	failing float64
	// limited means that a limit to the team of the job is in force.
	limited bool
}

// idleModelTask is a task of a service and what is known of its runs.
type idleModelTask struct {
	job  *idleModelJob
	step *work.Step
	id   work.Task
	// lastRun is when the task last ran, and roomSince since when two workers have room for it.
	lastRun, roomSince time.Duration
	// believedSince is since when the leader takes the task to run, which it does not.
	believedSince time.Duration
}

// idleModelResult is what a play has shown.
type idleModelResult struct {
	// margin is how much longer a task may have been idle until it had counted as lost. A task that is not idle yet has more than maxIdle.
	margin time.Duration
	at     time.Duration
	task   string
	reason string
	detail string
	// believed is the longest time for which the leader has taken a task to run that did not, in calm.
	believed time.Duration
}

// idleModel plays pools, their instances and workers, a store and leaders in virtual time, and watches when tasks of services run.
type idleModel struct {
	play   idleModelPlay
	now    time.Duration
	random *rand.Rand
	later  map[time.Duration][]func()

	catalog   *catalog.Catalog
	pools     []string
	instances []*idleModelInstance
	registry  []*idleModelEntryRow
	jobs      []*idleModelJob
	byID      map[string]*idleModelJob
	tasks     []*idleModelTask
	// arrivals is how many jobs of short tasks a pool gets in a second, on average, and surge by how much more.
	arrivals   map[string]float64
	surge      float64
	surgeUntil time.Duration
	lives      int

	store  idleModelStore
	leader *idleModelLeader
	terms  int
	// electedAt is when the latest leader acquired leadership.
	electedAt time.Duration
	faults    idleModelFaults
	// calmFrom is when the latest disruption ends, and endsAt when the play does.
	calmFrom, endsAt time.Duration
	result           idleModelResult
	trace            func(format string, args ...any)
}

// chance returns a number below 1 that depends on the play and the key, and not on the order of the calls.
func (m *idleModel) chance(key ...any) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, m.play.Seed, key)
	return float64(rand.New(rand.NewPCG(h.Sum64(), 1)).Uint64()>>11) / (1 << 53)
}

// between returns a time between two.
func (m *idleModel) between(from, to time.Duration, key ...any) time.Duration {
	return from + time.Duration(m.chance(key...)*float64(to-from))
}

// after calls a function at a later step.
func (m *idleModel) after(d time.Duration, f func()) {
	at := m.now + max(d, idleModelStep).Truncate(idleModelStep)
	m.later[at] = append(m.later[at], f)
}

// newIdleModel draws the surroundings of a play.
func newIdleModel(play idleModelPlay) *idleModel {
	m := &idleModel{
		play: play, now: idleModelStart, random: rand.New(rand.NewPCG(play.Seed, 43)), later: make(map[time.Duration][]func()), byID: make(map[string]*idleModelJob),
		arrivals: make(map[string]float64), trace: func(string, ...any) {}, result: idleModelResult{margin: math.MaxInt64},
		store: newIdleModelStore(), calmFrom: idleModelStart + 2*time.Second,
	}
	var queues []catalog.Queue
	var pools []catalog.Pool
	queue := func(name, pool string, priority int) *catalog.Queue {
		queues = append(queues, catalog.Queue{
			Name: name, Host: "h", Prefix: "/" + name + "/", Pool: pool, Attempts: 2 + m.random.IntN(2), Priority: priority, Stretch: 1.6, BaseTarget: 600 * time.Millisecond,
		})
		return &queues[len(queues)-1]
	}
	var teams []catalog.Team
	for i := range 2 + m.random.IntN(3) {
		pool := fmt.Sprint("p", i)
		m.pools = append(m.pools, pool)
		pools = append(pools, catalog.Pool{Name: pool, EnforcesCapacity: m.random.IntN(4) > 0})
		queue("short-"+pool, pool, m.random.IntN(2))
		if q := queue("long-"+pool, pool, m.random.IntN(3)); m.random.IntN(4) == 0 {
			q.Policy = &catalog.Policy{Decide: 50 * time.Millisecond, Each: 5 * time.Millisecond, Valid: 4 * time.Second}
		}
		size := *idleModelScale * (3 + m.random.IntN(7))
		for k := range size {
			m.addInstance(pool, k)
		}
		m.arrivals[pool] = m.random.Float64() * 0.15 * float64(size)
		for k := range 1 + m.random.IntN(3) {
			teams = append(teams, m.addService(pool, k, size))
		}
	}
	pools = append(pools, catalog.Pool{Name: "off", Spare: true})
	for k := range *idleModelScale * m.random.IntN(6) {
		m.addInstance("off", k)
	}
	m.catalog = catalog.New(1, 0, queues, pools, teams)
	m.endsAt = m.now + idleModelWarmUp
	for _, e := range play.Events {
		m.endsAt = max(m.endsAt, m.now+e.At+e.For)
	}
	m.endsAt += idleModelTail
	m.elect(true)
	return m
}

// addService adds a service of a pool, and returns its team.
func (m *idleModel) addService(pool string, number, size int) catalog.Team {
	width := max(1, []int{size - 2, size - 1, size, size, size + 1, (size + 1) / 2}[m.random.IntN(6)])
	s := work.Step{
		Count: width, Service: true, MaxPerWorker: 1, Request: work.Resources{CPU: 1000 * (1 + m.random.Int64N(12)), Memory: 1000}, Estimate: 700 * time.Millisecond,
	}
	switch m.random.IntN(6) {
	case 0:
		s.MaxPerWorker = 0
	case 1:
		s.BestEffort = true
	case 2:
		s.RequiredLabel = "m0"
	}
	s.MaxDisruptions = []int{0, 1, 2, max(1, width/4)}[m.random.IntN(4)]
	id := fmt.Sprintf("%s-service%d", pool, number)
	team := catalog.Team{Name: "team-" + id}
	limited := m.random.IntN(4) == 0
	if limited {
		team.Limit = s.Request.Times(int64(2*width + 1))
	}
	m.after(idleModelStep*time.Duration(1+m.random.IntN(20)), func() {
		m.addJob(&idleModelJob{doc: work.Job{ID: id, Queue: "long-" + pool, Pool: pool, Team: team.Name, Steps: []work.Step{s}}, limited: limited})
	})
	return team
}

func (m *idleModel) addJob(j *idleModelJob) {
	j.doc.AcceptedAt = m.now
	if err := j.doc.Validate(); err != nil {
		panic(err)
	}
	m.jobs = append(m.jobs, j)
	m.byID[j.doc.ID] = j
	for i := range j.doc.Steps {
		for k := range j.doc.Steps[i].Count {
			if j.doc.Steps[i].Service {
				m.tasks = append(m.tasks, &idleModelTask{job: j, step: &j.doc.Steps[i], id: work.Task{Job: j.doc.ID, Step: i, Index: k}, lastRun: m.now})
			}
		}
	}
	if m.leader != nil {
		m.leader.core.AddJob(j.doc, nil, m.now)
	}
}

// addShortJobs adds jobs of short tasks. The pools take turns: each gets five times its mean for some seconds, and little in between.
func (m *idleModel) addShortJobs() {
	const turn = 4 * time.Second
	for i, pool := range m.pools {
		rate := m.arrivals[pool] / 5
		if int((m.now-idleModelStart)/turn)%len(m.pools) == i {
			rate = 5 * m.arrivals[pool]
		}
		if m.now < m.surgeUntil {
			rate *= 1 + m.surge
		}
		if m.random.Float64() >= rate*idleModelStep.Seconds() {
			continue
		}
		takes := 800 * time.Millisecond
		request := work.Resources{CPU: 6200, Memory: 500}
		if m.random.IntN(3) == 0 {
			takes, request.CPU = 1300*time.Millisecond, 13000
		}
		j := &idleModelJob{doc: work.Job{ID: fmt.Sprintf("short%05d", len(m.jobs)), Queue: "short-" + pool, Pool: pool, Team: "short"}, takes: takes}
		for k := range 1 + m.random.IntN(2) {
			s := work.Step{Count: 8, Request: request, Estimate: takes}
			if k > 0 {
				s.DependsOn = []int{k - 1}
			}
			j.doc.Steps = append(j.doc.Steps, s)
		}
		m.addJob(j)
	}
}

// disturb records that the surroundings are not calm until a time.
func (m *idleModel) disturb(until time.Duration) { m.calmFrom = max(m.calmFrom, until) }

// run plays until the end.
func (m *idleModel) run() idleModelResult {
	events := slices.Clone(m.play.Events)
	slices.SortStableFunc(events, func(a, b idleModelEvent) int { return int(a.At - b.At) })
	for m.now < m.endsAt {
		m.now += idleModelStep
		due := m.later[m.now]
		delete(m.later, m.now)
		for _, f := range due {
			f()
		}
		for len(events) > 0 && idleModelStart+events[0].At <= m.now {
			m.trace("%v %+v", m.now, events[0])
			m.begin(events[0], len(events))
			events = events[1:]
		}
		for _, inst := range m.instances {
			m.stepInstance(inst)
		}
		m.addShortJobs()
		m.stepRegistry()
		if m.leader != nil && m.now >= m.faults.frozenUntil {
			m.leader.step()
		}
		m.observe()
	}
	return m.result
}

// hasRoom reports whether a worker has room for a task of a step, as it is seen from outside.
func (m *idleModel) hasRoom(inst *idleModelInstance, j *idleModelJob, s *work.Step) bool {
	w := inst.worker
	if w == nil || !inst.sound(m.now) || inst.pool != j.doc.Pool || s.RequiredLabel != "" && !slices.Contains(inst.labels, s.RequiredLabel) {
		return false
	}
	if q, ok := m.catalog.Queue(j.doc.Queue); ok && q.Policy != nil && !m.allows(j.doc.ID, w.id) {
		return false
	}
	same := 0
	for _, r := range w.runs {
		if r.task.Job == j.doc.ID {
			same++
		}
	}
	return (s.MaxPerWorker == 0 || same < s.MaxPerWorker) && s.ReservedResources().Fits(inst.free())
}

// hasTeamRoom reports whether the team of a job is below half of its limit.
func (m *idleModel) hasTeamRoom(j *idleModelJob) bool {
	if !j.limited {
		return true
	}
	var used int64
	for _, inst := range m.instances {
		if inst.worker == nil {
			continue
		}
		for _, r := range inst.worker.runs {
			if r.job.doc.Team == j.doc.Team {
				used += r.step.Request.CPU
			}
		}
	}
	return 2*used < m.catalog.Teams[j.doc.Team].Limit.CPU
}

// observe records which tasks of services run, and how long the others have been idle by the terms of the users.
func (m *idleModel) observe() {
	runs := make(map[work.Task]bool)
	for _, inst := range m.instances {
		if inst.worker == nil {
			continue
		}
		for _, r := range inst.worker.runs {
			runs[r.task] = true
		}
	}
	room := make(map[*work.Step]int)
	for _, t := range m.tasks {
		if runs[t.id] {
			t.lastRun, t.roomSince, t.believedSince = m.now, 0, 0
			continue
		}
		m.observeBelief(t)
		n, ok := room[t.step]
		if !ok {
			for _, inst := range m.instances {
				if m.hasRoom(inst, t.job, t.step) {
					n++
				}
			}
			if !m.hasTeamRoom(t.job) {
				n = 0
			}
			room[t.step] = n
		}
		if n < 2 {
			t.roomSince = 0
			continue
		}
		if t.roomSince == 0 {
			t.roomSince = m.now
		}
		margin := maxIdle - (m.now - max(t.roomSince, t.lastRun+idleAfterRun, m.calmFrom+idleAfterCalm))
		if margin >= m.result.margin {
			continue
		}
		m.result.margin, m.result.at, m.result.task = margin, m.now-idleModelStart, fmt.Sprintf("%s.%d", t.id.Job, t.id.Index)
		m.result.reason, m.result.detail = "no leader", fmt.Sprintf("last run %v, calm from %v, room since %v on %d", t.lastRun-idleModelStart, m.calmFrom-idleModelStart, t.roomSince-idleModelStart, n)
		if l := m.leader; l != nil {
			if s, ok := l.core.findStep(t.id); ok {
				m.result.reason = string(l.core.waitReason(s, t.id.Index))
			}
		}
	}
}

// observeBelief records for how long the leader takes a task to run that does not.
func (m *idleModel) observeBelief(t *idleModelTask) {
	believes := false
	if l := m.leader; l != nil {
		if s, ok := l.core.findStep(t.id); ok {
			for _, r := range s.tasks[t.id.Index].runs {
				believes = believes || r.phase != planned
			}
		}
	}
	if !believes {
		t.believedSince = 0
		return
	}
	if t.believedSince == 0 {
		t.believedSince = m.now
	}
	m.result.believed = max(m.result.believed, m.now-max(t.believedSince, m.calmFrom))
}

// state lists the instances for a wave or a move.
func (m *idleModel) listInstances() []instance.Instance {
	list := make([]instance.Instance, 0, len(m.instances))
	for _, inst := range m.instances {
		if !inst.gone {
			list = append(list, inst.listed())
		}
	}
	return list
}
