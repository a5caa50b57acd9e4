package queue_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/queue"
	"github.com/chivetiller/chivetiller/retry"
	"github.com/chivetiller/chivetiller/team"
)

// scheduler and chooser are the parts that a baseline replaces.
type scheduler interface {
	SetCapacity(now time.Time, slots int)
	Offer(now time.Time, r queue.Request) error
	Next(now time.Time, mayRun func(team string) bool) (queue.Request, bool)
	Finished(now time.Time, r queue.Request, service time.Duration)
	Aborted(now time.Time, r queue.Request, service time.Duration)
	Expire(now time.Time) []queue.Request
}

type chooser interface {
	Update(now time.Time, endpoints []endpoint.Endpoint)
	Capacity(now time.Time) int
	Free(now time.Time) int
	Acquire(now time.Time, exclude ...string) (endpoint.Endpoint, bool)
	Release(now time.Time, id string, outcome endpoint.Outcome)
}

// source is the demand of a team in a class.
type source struct {
	class, team string
	// load is the mean demand as a fraction of the capacity of the pool.
	load float64
	// slow multiplies the service time of the class.
	slow float64
	// factor multiplies the load over time. Nil means 1.
	factor func(at time.Duration) float64
	// entry is the only entry instance that the team uses, or 0 for all; the first one is 1.
	entry int
}

// scenario describes one pool with its entry instances.
type scenario struct {
	classes             []class.Spec
	service             map[string]time.Duration
	teams               []team.Spec
	sources             []source
	workers, entries    int
	dataCentres, broken int
	delay               time.Duration // one way between data centres
	length              time.Duration
	exchange            time.Duration // interval of usage summaries, 0 for none
	seed                uint64
	newScheduler        func(sc *scenario) scheduler
	newChooser          func(dataCentre string) chooser
}

const (
	localDelay = 100 * time.Microsecond // one way within a data centre; an assumption
	failTime   = time.Millisecond       // of a worker that fails everything
	tick       = 5 * time.Millisecond
)

// counts holds the results of a class, a team, or one of their windows of a second.
type counts struct {
	offered, answered, late, rejected, expired, failed int
	demand, good, served, work                         float64 // in seconds; served includes delays, work does not
}

type result struct {
	classes map[string]*counts
	sources []*counts
	seconds [][]counts // by source
	bounds  [2]bound   // without and with shares: slot time that could have been answered in time
	total   counts
	full    int // rejections by a full endpoint
	crossed int // dispatches to another data centre
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

type work struct {
	source, retries int
	service         time.Duration
	arrival         time.Time
	request         queue.Request
}

type entry struct {
	dataCentre string
	scheduler  scheduler
	set        chooser
	budgets    map[string]*retry.Budget
	policy     *retry.Policy
	work       map[string]*work
}

type model struct {
	scenario
	now     time.Time
	start   time.Time
	queue   events
	seq     int
	random  *rand.Rand
	entries []*entry
	running []int // by worker
	bounds  [2]bound
	targets map[string]time.Duration
	res     result
}

func dataCentre(i, n int) string { return fmt.Sprintf("dc%d", i%n) }

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now.Add(d), m.seq, run})
}

// run plays the scenario in virtual time.
func run(sc scenario) result {
	start := time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)
	m := &model{scenario: sc, now: start, start: start, random: rand.New(rand.NewPCG(sc.seed, 1)),
		running: make([]int, sc.workers), targets: map[string]time.Duration{}}
	m.res = result{classes: map[string]*counts{}, seconds: make([][]counts, len(sc.sources))}
	members := make([]endpoint.Member, sc.entries)
	for i := range members {
		members[i] = endpoint.Member{ID: fmt.Sprint("entry", i), DataCentre: dataCentre(i, sc.dataCentres)}
	}
	parts := make([][]int, sc.workers)
	for w := range parts {
		parts[w] = endpoint.Split(endpoint.SlotsPerEndpoint, fmt.Sprint(w), dataCentre(w, sc.dataCentres), members)
	}
	for i, member := range members {
		e := &entry{dataCentre: member.DataCentre, set: sc.newChooser(member.DataCentre),
			budgets: map[string]*retry.Budget{}, policy: retry.NewPolicy(), work: map[string]*work{}}
		list := make([]endpoint.Endpoint, 0, len(parts))
		for w := range parts {
			list = append(list, endpoint.Endpoint{ID: fmt.Sprint(w), DataCentre: dataCentre(w, sc.dataCentres),
				Incarnation: 1, Quota: parts[w][i]})
		}
		e.set.Update(start, list)
		e.scheduler = sc.newScheduler(&sc)
		for _, c := range sc.classes {
			e.budgets[c.Name] = retry.NewBudget(retry.Options{})
		}
		m.entries = append(m.entries, e)
		var loop func()
		loop = func() {
			for _, r := range e.scheduler.Expire(m.now) {
				m.lose(e, r.ID, func(c *counts) { c.expired++ })
			}
			m.pump(e)
			m.after(tick, loop)
		}
		m.after(time.Duration(i)*tick/time.Duration(sc.entries), loop)
	}
	if sc.exchange > 0 {
		m.after(sc.exchange, m.exchangeUsage)
	}
	for _, c := range sc.classes {
		m.res.classes[c.Name] = &counts{}
		m.targets[c.Name], _ = time.ParseDuration(c.Target)
	}
	for n := range m.bounds {
		m.bounds[n] = bound{fair: n == 1, waiting: make([][]fluid, len(sc.classes)), served: make([]float64, int(sc.length/time.Second)+60)}
	}
	for i := range sc.sources {
		m.res.sources = append(m.res.sources, &counts{})
		m.res.seconds[i] = make([]counts, int(sc.length/time.Second)+60)
		m.arrivals(i)
	}
	var drain func()
	drain = func() {
		m.bounds[0].drain(m)
		m.bounds[1].drain(m)
		m.after(tick, drain)
	}
	m.after(tick, drain)
	for len(m.queue) > 0 && m.queue[0].at.Sub(start) < sc.length {
		next := heap.Pop(&m.queue).(event)
		m.now = next.at
		next.run()
	}
	m.res.bounds = m.bounds
	return m.res
}

// exchangeUsage sends the usage of each entry instance to the others, which receive it one interval late.
func (m *model) exchangeUsage() {
	for i, from := range m.entries {
		usage := from.scheduler.(*queue.Scheduler).Usage(nil)
		for j, to := range m.entries {
			if i != j {
				m.after(m.exchange, func() { to.scheduler.(*queue.Scheduler).ObservePeer(fmt.Sprint(i), usage) })
			}
		}
	}
	m.after(m.exchange, m.exchangeUsage)
}

// capacity is the number of slots of working workers.
func (m *model) capacity() float64 {
	return float64((m.workers - m.broken) * endpoint.SlotsPerEndpoint)
}

// fluid is an amount of slot time that has to be served before its deadline.
type fluid struct {
	deadline time.Time
	amount   float64
}

// bound is a server without delays that shares all slots and drops only what it has not begun at its
// deadline. It serves the earliest deadline first, or gives classes their max-min shares if fair is set.
type bound struct {
	fair    bool
	waiting [][]fluid // by class
	served  []float64 // by second
}

func (b *bound) drain(m *model) {
	weights, amounts := make([]float64, len(b.waiting)), make([]float64, len(b.waiting))
	for k := range b.waiting {
		for len(b.waiting[k]) > 0 && b.waiting[k][0].deadline.Before(m.now) {
			b.waiting[k] = b.waiting[k][1:]
		}
		weights[k] = m.classes[k].Share
		for _, f := range b.waiting[k] {
			amounts[k] += f.amount
		}
	}
	left := m.capacity() * tick.Seconds()
	parts := []float64{left, left}
	if b.fair {
		parts = fill(left, weights, amounts)
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
		b.served[int(m.now.Sub(m.start)/time.Second)] += amount
		if first.amount < 1e-9 {
			b.waiting[best] = b.waiting[best][1:]
		}
	}
}

// arrivals generates a Poisson process with a changing rate by thinning.
func (m *model) arrivals(i int) {
	src := &m.sources[i]
	mean := m.service[src.class].Seconds() * max(src.slow, 1)
	const highest = 5.0
	peak := highest * src.load * m.capacity() / mean
	var next func()
	next = func() {
		f := 1.0
		if src.factor != nil {
			f = src.factor(m.now.Sub(m.start))
		}
		if m.random.Float64() < f/highest {
			e := m.entries[m.random.IntN(len(m.entries))]
			if src.entry > 0 {
				e = m.entries[src.entry-1]
			}
			m.arrive(e, i, mean)
		}
		m.after(time.Duration(m.random.ExpFloat64()/peak*float64(time.Second)), next)
	}
	m.after(0, next)
}

// note applies a change to all counts of the source.
func (m *model) note(source int, at time.Time, change func(*counts)) {
	change(&m.res.total)
	change(m.res.classes[m.sources[source].class])
	change(m.res.sources[source])
	change(&m.res.seconds[source][int(at.Sub(m.start)/time.Second)])
}

func (m *model) arrive(e *entry, i int, mean float64) {
	src := m.sources[i]
	// Service times are log-normal with a standard deviation of about half the mean.
	const sigma = 0.47
	service := mean * math.Exp(sigma*m.random.NormFloat64()-sigma*sigma/2)
	m.seq++
	w := &work{source: i, arrival: m.now, service: time.Duration(service * float64(time.Second))}
	w.request = queue.Request{ID: fmt.Sprint(m.seq), Class: src.class, Team: src.team, Arrival: m.now,
		Deadline: m.now.Add(m.targets[src.class]), Bytes: 1000}
	e.work[w.request.ID] = w
	m.note(i, m.now, func(c *counts) { c.offered++; c.demand += mean })
	for n := range m.bounds {
		for k, c := range m.classes {
			if c.Name == src.class {
				m.bounds[n].waiting[k] = append(m.bounds[n].waiting[k], fluid{w.request.Deadline, mean})
			}
		}
	}
	e.budgets[src.class].First(m.now)
	m.offer(e, w)
}

func (m *model) offer(e *entry, w *work) {
	if err := e.scheduler.Offer(m.now, w.request); err != nil {
		m.lose(e, w.request.ID, func(c *counts) { c.rejected++ })
		return
	}
	m.pump(e)
}

func (m *model) lose(e *entry, id string, change func(*counts)) {
	m.note(e.work[id].source, e.work[id].arrival, change)
	delete(e.work, id)
}

func (m *model) pump(e *entry) {
	e.scheduler.SetCapacity(m.now, e.set.Capacity(m.now))
	for e.set.Free(m.now) > 0 {
		r, ok := e.scheduler.Next(m.now, nil)
		if !ok {
			return
		}
		target, ok := e.set.Acquire(m.now)
		if !ok {
			panic("free slot without endpoint")
		}
		m.send(e, r, target)
	}
}

func (m *model) send(e *entry, r queue.Request, to endpoint.Endpoint) {
	var worker int
	_, _ = fmt.Sscan(to.ID, &worker)
	began, w := m.now, e.work[r.ID]
	delay := localDelay
	if to.DataCentre != e.dataCentre {
		delay = m.delay
		m.res.crossed++
	}
	m.after(delay, func() {
		if m.running[worker] >= endpoint.SlotsPerEndpoint {
			m.res.full++
			m.after(delay, func() { m.done(e, w, to, began, endpoint.OutcomeNotRun) })
			return
		}
		m.running[worker]++
		service, outcome := w.service, endpoint.OutcomeOK
		if worker < m.broken {
			service, outcome = failTime, endpoint.OutcomeFailed
		}
		m.after(service, func() {
			m.running[worker]--
			m.after(delay, func() { m.done(e, w, to, began, outcome) })
		})
	})
}

func (m *model) done(e *entry, w *work, to endpoint.Endpoint, began time.Time, outcome endpoint.Outcome) {
	held := m.now.Sub(began)
	e.set.Release(m.now, to.ID, outcome)
	if outcome != endpoint.OutcomeOK {
		e.scheduler.Aborted(m.now, w.request, held)
		a := retry.Attempt{Idempotent: true, Retries: w.retries, Deadline: w.request.Deadline}
		w.retries++
		delay, ok := e.policy.Retry(m.now, a, e.budgets[w.request.Class])
		if ok {
			m.after(delay, func() { m.offer(e, w) })
		} else {
			m.lose(e, w.request.ID, func(c *counts) { c.failed++ })
		}
		m.pump(e)
		return
	}
	e.scheduler.Finished(m.now, w.request, held)
	m.note(w.source, m.now, func(c *counts) { c.served += held.Seconds(); c.work += w.service.Seconds() })
	m.note(w.source, w.arrival, func(c *counts) {
		if m.now.After(w.request.Deadline) {
			c.late++
			return
		}
		src := m.sources[w.source]
		c.answered++
		c.good += m.service[src.class].Seconds() * max(src.slow, 1)
	})
	delete(e.work, w.request.ID)
	m.pump(e)
}
