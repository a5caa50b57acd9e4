package queue_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/queue"
	"github.com/chivetiller/chivetiller/retry"
	"github.com/chivetiller/chivetiller/team"
)

// scheduler is the queue of an entry instance. A baseline replaces the production code.
type scheduler interface {
	SetCapacity(now time.Time, slots int)
	Offer(now time.Time, r queue.Request) error
	Next(now time.Time, mayRun func(team string) bool) (queue.Request, bool)
	Finished(now time.Time, r queue.Request, service time.Duration)
	Aborted(now time.Time, r queue.Request, service time.Duration)
	Expire(now time.Time) []queue.Request
}

// endpointSet chooses endpoints for an entry instance. A baseline replaces the production code.
type endpointSet interface {
	Update(now time.Time, endpoints []endpoint.Endpoint)
	Capacity(now time.Time) int
	FreeSlots(now time.Time) int
	Acquire(now time.Time, exclude ...string) (endpoint.Endpoint, bool)
	Release(now time.Time, id string, outcome endpoint.Outcome)
}

// source is the demand of a team in a class.
type source struct {
	// class is the index of the class. entry is the number of the entry instance that the team uses, from 1
	// on, or 0 for all.
	class, entry int
	team         string
	// load is the mean demand as a fraction of the capacity of the pool. slow is the factor of the service
	// times, and peak the largest value of factor.
	load, slow, peak float64
	// factor returns the factor by which the demand differs from the mean at a time.
	factor func(at time.Duration) float64
}

// scenario describes one pool with its entry instances.
type scenario struct {
	classes                               []class.Spec
	service                               []time.Duration // mean, by class
	teams                                 []team.Spec
	sources                               []source
	workers, broken, entries, dataCentres int
	delay                                 time.Duration // one way between data centres
	usageInterval                         time.Duration // interval of usage summaries, 0 for none
	seed                                  uint64
	length                                time.Duration // in seconds
}

const (
	localDelay         = 100 * time.Microsecond // one way within a data centre
	failureServiceTime = time.Millisecond       // of a broken worker
	tick               = 5 * time.Millisecond
	retryDelay         = 10 * time.Millisecond // without jitter, so that runs are repeatable
	maxSeconds         = 30                    // length of the longest scenario
)

// counts holds what happened to the requests of a source in a second.
type counts struct {
	// offered and answered are numbers of requests. An answered request finished before its deadline.
	offered, answered int
	// These are slot times in seconds. served includes network delays, work does not.
	demand, good, served, work float64
}

// result holds the figures of a run.
type result struct {
	scenario
	seconds         [][maxSeconds]counts // by source
	ideal           [2]idealServer
	remoteAttempts  int // attempts in another data centre
	refusedAttempts int // attempts at an endpoint without a free slot
}

// event is a function that runs at a time of the simulation.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// work is a request in the simulation.
type work struct {
	source, retries int
	arrival         time.Duration
	service         time.Duration
	request         queue.Request
}

// entry is an entry instance.
type entry struct {
	dataCentre string
	scheduler  scheduler
	set        endpointSet
	budgets    []*retry.Budget
	policy     *retry.Policy
	work       map[string]*work
}

// model is a discrete event simulation of a pool, its entry instances and its workers.
type model struct {
	result
	events    events
	sequence  int
	elapsed   time.Duration
	random    *rand.Rand
	targets   []time.Duration
	instances []*entry
	running   []int // by worker
}

func (m *model) now() time.Time { return morning.Add(m.elapsed) }

func (m *model) schedule(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{m.elapsed + d, m.sequence, run})
}

func (m *model) scheduleEvery(d time.Duration, run func()) {
	m.schedule(d, func() { run(); m.scheduleEvery(d, run) })
}

// run simulates the scenario in virtual time.
func run(sc scenario, p policy) result {
	m := &model{result: result{scenario: sc, seconds: make([][maxSeconds]counts, len(sc.sources))},
		random: rand.New(rand.NewPCG(sc.seed, 1)), running: make([]int, sc.workers)}
	for _, c := range sc.classes {
		m.targets = append(m.targets, must(time.ParseDuration(c.Target)))
	}
	dataCentre := func(i int) string { return fmt.Sprint("dc", i%sc.dataCentres) }
	members := make([]endpoint.Member, sc.entries)
	for i := range members {
		members[i] = endpoint.Member{ID: fmt.Sprint("entry", i), DataCentre: dataCentre(i)}
	}
	for i, member := range members {
		e := &entry{dataCentre: member.DataCentre, policy: retry.NewPolicy(), work: map[string]*work{}}
		e.scheduler, e.set = p(&sc, e.dataCentre)
		list := make([]endpoint.Endpoint, sc.workers)
		for w := range list {
			list[w] = endpoint.Endpoint{ID: strconv.Itoa(w), DataCentre: dataCentre(w), Incarnation: 1}
			list[w].Quota = endpoint.SplitQuota(endpoint.SlotsPerEndpoint, list[w].ID, list[w].DataCentre, members)[i]
		}
		e.set.Update(m.now(), list)
		for range sc.classes {
			e.budgets = append(e.budgets, retry.NewBudget(retry.Options{}))
		}
		m.instances = append(m.instances, e)
		m.schedule(time.Duration(i)*tick/time.Duration(sc.entries), func() { m.scheduleEvery(tick, func() { m.expire(e) }) })
	}
	for i := range sc.sources {
		m.scheduleArrivals(i)
	}
	if _, ok := m.instances[0].scheduler.(*queue.Scheduler); ok && sc.usageInterval > 0 {
		m.scheduleEvery(sc.usageInterval, m.exchangeUsage)
	}
	for n := range m.ideal {
		m.ideal[n] = idealServer{fair: n == 1, waiting: make([][]slotTimeDemand, len(sc.classes))}
		m.scheduleEvery(tick, func() { m.ideal[n].serve(m) })
	}
	for m.elapsed < sc.length*time.Second {
		next := heap.Pop(&m.events).(event)
		m.elapsed = next.at
		next.run()
	}
	return m.result
}

// exchangeUsage sends the usage of each entry instance to the others, which receive it one interval later.
func (m *model) exchangeUsage() {
	for i, from := range m.instances {
		usage := from.scheduler.(*queue.Scheduler).Usage(nil)
		for j, to := range m.instances {
			if i != j {
				m.schedule(m.usageInterval, func() { to.scheduler.(*queue.Scheduler).ObservePeerUsage(fmt.Sprint(i), usage) })
			}
		}
	}
}

// capacity returns the number of slots of the workers that are not broken.
func (m *model) capacity() float64 {
	return float64((m.workers - m.broken) * endpoint.SlotsPerEndpoint)
}

// meanServiceTime returns the mean service time of a source in seconds.
func (m *model) meanServiceTime(i int) float64 {
	return m.service[m.sources[i].class].Seconds() * max(m.sources[i].slow, 1)
}

func (m *model) countsAt(source int, at time.Duration) *counts {
	return &m.seconds[source][at/time.Second]
}

// scheduleArrivals generates the arrivals of a source: a Poisson process whose rate changes, by thinning.
func (m *model) scheduleArrivals(i int) {
	src := &m.sources[i]
	highest := src.peak * src.load * m.capacity() / m.meanServiceTime(i)
	m.schedule(time.Duration(m.random.ExpFloat64()/highest*float64(time.Second)), func() {
		if m.random.Float64()*src.peak < src.factor(m.elapsed) {
			e := m.instances[m.random.IntN(len(m.instances))]
			if src.entry > 0 {
				e = m.instances[src.entry-1]
			}
			m.arrive(e, i)
		}
		m.scheduleArrivals(i)
	})
}

func (m *model) arrive(e *entry, i int) {
	src, mean := m.sources[i], m.meanServiceTime(i)
	// Service times are log-normal with a standard deviation of about half the mean.
	const sigma = 0.47
	service := mean * math.Exp(sigma*m.random.NormFloat64()-sigma*sigma/2)
	m.sequence++
	w := &work{source: i, arrival: m.elapsed, service: time.Duration(service * float64(time.Second))}
	w.request = queue.Request{ID: strconv.Itoa(m.sequence), Class: m.classes[src.class].Name, Team: src.team,
		Arrival: m.now(), Deadline: m.now().Add(m.targets[src.class]), Bytes: 1000}
	e.work[w.request.ID] = w
	m.countsAt(i, m.elapsed).offered++
	m.countsAt(i, m.elapsed).demand += mean
	for n := range m.ideal {
		m.ideal[n].add(src.class, w.request.Deadline, mean)
	}
	e.budgets[src.class].RecordFirstAttempt(m.now())
	m.offer(e, w)
}

func (m *model) offer(e *entry, w *work) {
	if err := e.scheduler.Offer(m.now(), w.request); err != nil {
		delete(e.work, w.request.ID)
		return
	}
	m.dispatch(e)
}

func (m *model) expire(e *entry) {
	for _, r := range e.scheduler.Expire(m.now()) {
		delete(e.work, r.ID)
	}
	m.dispatch(e)
}

func (m *model) dispatch(e *entry) {
	e.scheduler.SetCapacity(m.now(), e.set.Capacity(m.now()))
	for e.set.FreeSlots(m.now()) > 0 {
		r, ok := e.scheduler.Next(m.now(), nil)
		if !ok {
			return
		}
		to, ok := e.set.Acquire(m.now())
		if !ok {
			panic("free slot without endpoint")
		}
		m.send(e, e.work[r.ID], to)
	}
}

func (m *model) send(e *entry, w *work, to endpoint.Endpoint) {
	worker, began, delay := must(strconv.Atoi(to.ID)), m.elapsed, localDelay
	if to.DataCentre != e.dataCentre {
		delay = m.delay
		m.remoteAttempts++
	}
	m.schedule(delay, func() {
		if m.running[worker] >= endpoint.SlotsPerEndpoint {
			m.refusedAttempts++
			m.schedule(delay, func() { m.attemptDone(e, w, to, began, endpoint.OutcomeNotRun) })
			return
		}
		m.running[worker]++
		service, outcome := w.service, endpoint.OutcomeOK
		if worker < m.broken {
			service, outcome = failureServiceTime, endpoint.OutcomeFailed
		}
		m.schedule(service, func() {
			m.running[worker]--
			m.schedule(delay, func() { m.attemptDone(e, w, to, began, outcome) })
		})
	})
}

func (m *model) attemptDone(e *entry, w *work, to endpoint.Endpoint, began time.Duration, outcome endpoint.Outcome) {
	held := m.elapsed - began
	e.set.Release(m.now(), to.ID, outcome)
	if outcome == endpoint.OutcomeOK {
		e.scheduler.Finished(m.now(), w.request, held)
		delete(e.work, w.request.ID)
		m.countsAt(w.source, m.elapsed).served += held.Seconds()
		m.countsAt(w.source, m.elapsed).work += w.service.Seconds()
		if !m.now().After(w.request.Deadline) {
			m.countsAt(w.source, w.arrival).answered++
			m.countsAt(w.source, w.arrival).good += m.meanServiceTime(w.source)
		}
	} else {
		e.scheduler.Aborted(m.now(), w.request, held)
		a := retry.Request{Idempotent: true, Retries: w.retries, Deadline: w.request.Deadline}
		w.retries++
		if _, ok := e.policy.Retry(m.now(), a, e.budgets[m.sources[w.source].class]); ok {
			m.schedule(retryDelay, func() { m.offer(e, w) })
		}
	}
	m.dispatch(e)
}

// slotTimeDemand is a slot time in seconds that has to be served before the deadline.
type slotTimeDemand struct {
	deadline time.Time
	amount   float64
}

// idealServer is the upper bound of goodput: a server without delays and with all slots in one queue, which
// drops only the demand that it has not served before its deadline. It serves the earliest deadline first, or
// gives the classes their max-min shares if fair is set.
type idealServer struct {
	fair    bool
	waiting [][]slotTimeDemand // by class
	served  [maxSeconds]float64
}

func (b *idealServer) add(class int, deadline time.Time, amount float64) {
	waiting := b.waiting[class]
	if last := len(waiting) - 1; last >= 0 && deadline.Sub(waiting[last].deadline) < tick {
		waiting[last].amount += amount
		return
	}
	b.waiting[class] = append(waiting, slotTimeDemand{deadline, amount})
}

func (b *idealServer) serve(m *model) {
	weights, amounts := make([]float64, len(b.waiting)), make([]float64, len(b.waiting))
	for k := range b.waiting {
		for len(b.waiting[k]) > 0 && b.waiting[k][0].deadline.Before(m.now()) {
			b.waiting[k] = b.waiting[k][1:]
		}
		weights[k] = m.classes[k].Share
		for _, f := range b.waiting[k] {
			amounts[k] += f.amount
		}
	}
	left := m.capacity() * tick.Seconds()
	parts := amounts
	if b.fair {
		parts = maxMinShares(left, weights, amounts)
	}
	for left > 1e-9 {
		best := -1
		for k, waiting := range b.waiting {
			if len(waiting) > 0 && parts[k] > 1e-9 && (best < 0 || waiting[0].deadline.Before(b.waiting[best][0].deadline)) {
				best = k
			}
		}
		if best < 0 {
			return
		}
		first := &b.waiting[best][0]
		amount := min(first.amount, left, parts[best])
		first.amount -= amount
		left -= amount
		parts[best] -= amount
		b.served[m.elapsed/time.Second] += amount
		if first.amount < 1e-9 {
			b.waiting[best] = b.waiting[best][1:]
		}
	}
}
