package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
)

// serviceSeeds is how many seeds the model of services plays.
var serviceSeeds = flag.Uint64("seeds", 10, "number of seeds of the model of services")

const (
	// The users count a task of a service as lost if it does not run for maxIdle, from idleAfterRun after its last run and idleAfterCalm
	// after the last disruption on.
	maxIdle       = 3 * time.Second
	idleAfterRun  = 6 * time.Second
	idleAfterCalm = 4 * time.Second
)

// servicesModel plays disruptions of workers, leaders and the store beside a service and short jobs, and watches when its tasks run.
type servicesModel struct {
	fleet  *crashFleet
	random *rand.Rand
	tasks  []work.Task
	// load is how often jobs of short tasks come: never, at times, or more than the workers can run.
	load, jobs int
	// storeUpAt and calmFrom are when the store is up again and when the latest disruption ends.
	storeUpAt, calmFrom time.Duration
	lastRun             map[work.Task]time.Duration
	events              []string
	// idle describes the first task that did not run for too long.
	idle string
}

func newServicesModel(t *testing.T, seed uint64) *servicesModel {
	random := rand.New(rand.NewPCG(seed, 38))
	workers := 2 + random.IntN(9)
	f := newCrashFleet(t, workers, random.IntN(3) == 0)
	f.renewEvery = time.Duration(random.IntN(17)) * crashFleetStep
	f.run(time.Second)
	m := &servicesModel{fleet: f, random: random, load: random.IntN(3), calmFrom: f.now, lastRun: make(map[work.Task]time.Duration)}
	count := 1 + random.IntN(2*workers)
	f.addJob("lasting", work.Step{Count: count, Service: true})
	for i := range count {
		m.tasks = append(m.tasks, work.Task{Job: "lasting", Index: i})
	}
	return m
}

func (m *servicesModel) steps(most int) time.Duration {
	return time.Duration(1+m.random.IntN(most)) * crashFleetStep
}

// play lets time pass until a task does not run for too long.
func (m *servicesModel) play(d time.Duration) {
	f := m.fleet
	for end := f.now + d; f.now < end && m.idle == ""; {
		if m.load > 0 && m.random.IntN(6-2*m.load) == 0 {
			m.jobs++
			f.addJob(fmt.Sprint("short", m.jobs), work.Step{Count: 1 + m.random.IntN(len(f.workers))})
		}
		f.storeDown = f.now < m.storeUpAt
		f.run(crashFleetStep)
		m.watch()
	}
}

func (m *servicesModel) watch() {
	f := m.fleet
	for _, task := range m.tasks {
		if f.runs(task) || m.lastRun[task] == 0 {
			m.lastRun[task] = f.now
		}
		since := max(m.lastRun[task]+idleAfterRun, m.calmFrom+idleAfterCalm)
		if f.now-since < maxIdle {
			continue
		}
		s, ok := f.core.findStep(task)
		qt.Assert(f.t, ok, qt.IsTrue)
		m.idle = fmt.Sprintf("task %d does not run since %v, calm since %v, now %v: %s", task.Index, m.lastRun[task], m.calmFrom, f.now, f.core.waitReason(s, task.Index))
	}
}

// runs reports whether a task runs on a worker that is up.
func (f *crashFleet) runs(task work.Task) bool {
	for _, w := range f.workers {
		if _, ok := w.runs[task]; ok && w.downUntil == 0 {
			return true
		}
	}
	return false
}

// someWorkers returns as many workers that are up and not cut off, at most.
func (m *servicesModel) someWorkers(most int) []*crashingWorker {
	var some []*crashingWorker
	for _, i := range m.random.Perm(len(m.fleet.workers))[:most] {
		if w := m.fleet.workers[i]; w.downUntil == 0 && w.cutUntil == 0 {
			some = append(some, w)
		}
	}
	return some
}

// crash lets workers crash for a while.
func (m *servicesModel) crash(most int, down time.Duration) {
	for _, w := range m.someWorkers(most) {
		w.downUntil = m.fleet.now + down
	}
	m.calmFrom = max(m.calmFrom, m.fleet.now+down)
}

func (m *servicesModel) cut(most int, lasts time.Duration, asOther bool) {
	until := m.fleet.now + lasts
	for _, w := range m.someWorkers(most) {
		w.cutFrom, w.cutUntil, w.cutAsOther = m.fleet.now, until, asOther
	}
	m.calmFrom = max(m.calmFrom, until)
}

func (m *servicesModel) storm(most int, gap, down time.Duration) {
	for range 2 + m.random.IntN(40) {
		m.crash(most, down)
		m.play(gap)
	}
}

// disrupt plays a disruption, after which the next one may follow at once.
func (m *servicesModel) disrupt() {
	f, most := m.fleet, 1+m.random.IntN(len(m.fleet.workers))
	event := func(format string, args ...any) {
		m.events = append(m.events, fmt.Sprint(f.now, " ")+fmt.Sprintf(format, args...))
	}
	switch m.random.IntN(8) {
	case 0, 1:
		down := m.steps(80)
		event("%d crash for %v", most, down)
		m.crash(most, down)
	case 2, 3:
		lasts, asOther := m.steps(160), m.random.IntN(2) == 0
		event("%d are cut off for %v, crashed %t", most, lasts, asOther)
		m.cut(most, lasts, asOther)
	case 4:
		event("change of the leader")
		f.changeLeader()
		m.calmFrom = max(m.calmFrom, f.now)
	case 5:
		m.storeUpAt = f.now + m.steps(80)
		event("store down until %v", m.storeUpAt)
		m.calmFrom = max(m.calmFrom, m.storeUpAt)
	default:
		gap, down := m.steps(30), m.steps(20)
		event("%d crash each %v for %v", most, gap, down)
		m.storm(most, gap, down)
	}
	m.play(m.steps(60))
}

// TestServiceRunsInCalm guards against a task of a service that does not run although a worker has room, once all disruptions are over.
func TestServiceRunsInCalm(t *testing.T) {
	for seed := range *serviceSeeds {
		m := newServicesModel(t, seed)
		m.play(2 * time.Second)
		for range 2 + m.random.IntN(10) {
			m.disrupt()
		}
		m.play(max(0, m.calmFrom-m.fleet.now) + 15*time.Second)
		qt.Check(t, m.idle, qt.Equals, "", qt.Commentf("seed %d, %d workers, load %d, ID kept %t: %v", seed, len(m.fleet.workers), m.load, m.fleet.keepsID, m.events))
	}
}
