package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/work"
)

// Tiers order the jobs of a pool. Within a tier the less remaining work comes first: it is worth most for
// each core-second, since each job earns a fixed part besides the part for its work.
const (
	tierService = iota
	tierInTime
	tierLate
	tierExpired
)

// lateFactor is up to how many times the objective a job earns anything.
const lateFactor = 3

// minLeft is the least work that is assumed of a job, in core-seconds, so that the order stays defined.
const minLeft = 0.001

// candidate is an occurrence that has tasks to start.
type candidate struct {
	job      *job
	occ      *occurrence
	queue    *catalog.Queue
	priority int
	tier     int
	// rank orders the candidates of a tier, the lowest first.
	rank float64
}

// Schedule returns the orders that are due.
func (c *Core) Schedule(now time.Duration) []Command {
	c.SetTime(now)
	c.sweep()
	if !c.deposed {
		for _, p := range c.pools {
			c.placePool(p)
		}
	}
	orders := c.orders
	c.orders = nil
	if c.deposed {
		return nil
	}
	return orders
}

// retryPlacing is after which time a pool is planned again without a change, for pauses that have passed meanwhile.
const retryPlacing = 50 * time.Millisecond

func (c *Core) placePool(p *pool) {
	if len(p.jobs) == 0 || (!p.dirty && c.now-p.tried < retryPlacing) {
		return
	}
	p.dirty, p.tried = false, c.now
	free := c.freeHosts(p)
	if len(free) == 0 {
		return
	}
	for _, cand := range c.candidates(p) {
		if !c.placeOccurrence(cand, free) {
			continue
		}
	}
}

// freeHosts returns the workers of a pool that may get tasks.
func (c *Core) freeHosts(p *pool) []*host {
	free := make([]*host, 0, len(p.hosts))
	for _, h := range p.hosts {
		if c.usable(h) {
			free = append(free, h)
		}
	}
	return free
}

// candidates returns the occurrences with tasks to start in the order in which they are tried.
func (c *Core) candidates(p *pool) []candidate {
	var all []candidate
	for _, j := range p.jobs {
		q, ok := c.catalog.Queue(j.doc.Queue)
		if !ok {
			// The queue was removed. Its jobs were accepted and are done all the same.
			q = &catalog.Queue{Name: j.doc.Queue, Pool: j.doc.Pool, Attempts: 1, Stretch: 1, Priority: removedPriority}
		}
		for _, o := range j.open {
			if cand, ok := c.candidate(j, o, q); ok {
				all = append(all, cand)
			}
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.priority, b.priority), cmp.Compare(a.rank, b.rank), cmp.Compare(a.job.doc.ID, b.job.doc.ID))
	})
	return all
}

// removedPriority is the priority of jobs whose queue was removed from the configuration.
const removedPriority = 100

func (c *Core) candidate(j *job, o *occurrence, q *catalog.Queue) (candidate, bool) {
	if c.blocked(o) {
		return candidate{}, false
	}
	idle := false
	for _, s := range o.steps {
		if s.idle > 0 && s.ready() {
			idle = true
			break
		}
	}
	if !idle {
		return candidate{}, false
	}
	cand := candidate{job: j, occ: o, queue: q, priority: q.Priority}
	if j.service {
		cand.tier = tierService
		cand.rank = float64(j.accepted)
		return cand, true
	}
	chain, left := o.remaining(c.learned.estimate)
	objective := o.objective(q, j)
	start := o.start(j)
	switch {
	case c.now+chain <= objective:
		cand.tier = tierInTime
	case c.now+chain <= start+lateFactor*(objective-start):
		cand.tier = tierLate
	default:
		cand.tier = tierExpired
	}
	cand.rank = max(left, minLeft)
	return cand, true
}

// placeOccurrence starts what can be started of an occurrence and reports whether all of it was.
func (c *Core) placeOccurrence(cand candidate, free []*host) bool {
	all := true
	for _, s := range cand.occ.steps {
		if s.idle == 0 || !s.ready() {
			continue
		}
		if cand.queue.Policy != nil && !c.granted(s) {
			all = false
			continue
		}
		if s.doc.Gang {
			all = c.placeGang(s, free) && all
			continue
		}
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.done || len(t.runs) > 0 || c.now < t.notBefore {
				continue
			}
			h := c.choose(s, i, free)
			if h == nil || !c.withinLimit(s, 1) {
				all = false
				break
			}
			c.begin(s, i, c.nextRun(t), h)
		}
	}
	return all
}

// nextRun returns the number of the next run of a task. Each holder begins with numbers of its own.
func (c *Core) nextRun(t *task) int {
	return max(t.lastRun, (c.o.Term-1)*runsPerTenure) + 1
}

// withinLimit reports whether the team may have n more tasks of the step running. What an
// earlier holder started on workers that have not answered counts as running.
func (c *Core) withinLimit(s *step, n int64) bool {
	team := s.job.doc.Team
	limit := c.catalog.Teams[team].Limit
	if limit == (work.Resources{}) {
		return true
	}
	used := c.teams[team].Plus(s.doc.Request.Times(n))
	for _, running := range c.former {
		used = used.Plus(running[team])
	}
	return (limit.CPU == 0 || used.CPU <= limit.CPU) && (limit.Memory == 0 || used.Memory <= limit.Memory) && (limit.GPU == 0 || used.GPU <= limit.GPU)
}

// choose returns the worker for a task, and nil if there is none.
func (c *Core) choose(s *step, index int, free []*host) *host {
	var best *host
	var bestCost float64
	charge := s.doc.Charge()
	for _, h := range free {
		if !charge.Fits(h.room()) || !c.eligible(s, h) || c.failedOn(s, index, h) {
			continue
		}
		cost := c.cost(s, index, h, charge)
		if best == nil || cost < bestCost {
			best, bestCost = h, cost
		}
	}
	return best
}

// elsewhere is how long a task that failed waits for a worker other than the one on which it did.
const elsewhere = 500 * time.Millisecond

// failedOn reports whether the task has just failed on the worker, whose fault that may be.
func (c *Core) failedOn(s *step, index int, h *host) bool {
	t := &s.tasks[index]
	return t.failed > 0 && t.lastWorker == h.report.ID && c.now < t.failed+elsewhere
}

// eligible reports whether the step may run on the worker.
func (c *Core) eligible(s *step, h *host) bool {
	if !h.report.HasLabel(s.doc.Label) {
		return false
	}
	if s.doc.MaxPerWorker > 0 && c.countOn(s, h) >= s.doc.MaxPerWorker {
		return false
	}
	if s.tickets != nil {
		_, ok := s.tickets.byWorker[h.report.ID]
		return ok
	}
	return true
}

// countOn returns how many tasks of a step run on a worker.
func (c *Core) countOn(s *step, h *host) int {
	n := 0
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.on == h {
				n++
			}
		}
	}
	return n
}

const (
	// costFar is the cost of a worker away from the data, where the task takes several times as long.
	costFar = 10
	// costFailed is the cost of the worker on which the task failed last.
	costFailed = 5
	// costCompany is the cost of a filler beside a service, or the other way round.
	costCompany = 3
	// costTogether is the cost of each task of the same service on a worker, whose end would take all of them.
	costTogether = 1
	// costService keeps batch tasks and services apart a little, so that instances without services can be moved.
	costService = 0.2
)

// cost rates a worker for a task. The share of processors that is left over decides between workers that
// are equal otherwise, so that large tasks find room later.
func (c *Core) cost(s *step, index int, h *host, charge work.Resources) float64 {
	room := h.room().Minus(charge)
	cost := float64(room.CPU) / float64(max(1, h.report.Capacity.CPU))
	if s.doc.DataRack != "" && h.report.Rack() != s.doc.DataRack {
		cost += costFar
	}
	if s.tasks[index].lastWorker == h.report.ID && s.failures(index) > 0 {
		cost += costFailed
	}
	switch {
	case s.doc.Filler:
		cost += costCompany*float64(h.services) + float64(h.fillers)
	case s.doc.Service:
		cost += costCompany*float64(h.fillers) + costTogether*float64(c.countOn(s, h))
		if h.services == 0 {
			cost += costService
		}
	case h.services > 0:
		cost += costService
	}
	return cost
}

// placeGang starts all tasks of a gang, or none.
func (c *Core) placeGang(s *step, free []*host) bool {
	if s.idle < s.left || c.now < s.notBefore || !c.withinLimit(s, int64(s.left)) {
		return false
	}
	hosts := c.chooseGang(s, free)
	if hosts == nil {
		return false
	}
	number := s.gangRun
	for i := range s.tasks {
		number = max(number, s.tasks[i].lastRun)
	}
	number = max(number, (c.o.Term-1)*runsPerTenure) + 1
	s.gangRun = number
	for i := range s.tasks {
		c.begin(s, i, number, hosts[i])
	}
	return true
}

// chooseGang returns a worker for each task of a gang, and nil if they do not fit. Gangs that slow down
// over several racks are put into one if it has room.
func (c *Core) chooseGang(s *step, free []*host) []*host {
	if s.doc.SameRack || s.doc.DataRack != "" {
		racks := make(map[string][]*host)
		for _, h := range free {
			racks[h.report.Rack()] = append(racks[h.report.Rack()], h)
		}
		if hosts, ok := racks[s.doc.DataRack]; ok {
			if chosen := c.spreadGang(s, hosts); chosen != nil {
				return chosen
			}
		}
		for _, name := range sortedKeys(racks) {
			if chosen := c.spreadGang(s, racks[name]); chosen != nil {
				return chosen
			}
		}
	}
	return c.spreadGang(s, free)
}

func sortedKeys(m map[string][]*host) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (c *Core) spreadGang(s *step, free []*host) []*host {
	charge := s.doc.Charge()
	taken := make(map[*host]int64)
	chosen := make([]*host, len(s.tasks))
	for i := range s.tasks {
		for _, h := range free {
			n := taken[h]
			if !charge.Times(n+1).Fits(h.room()) || !c.eligible(s, h) {
				continue
			}
			if s.doc.MaxPerWorker > 0 && c.countOn(s, h)+int(n) >= s.doc.MaxPerWorker {
				continue
			}
			chosen[i] = h
			taken[h]++
			break
		}
		if chosen[i] == nil {
			return nil
		}
	}
	return chosen
}
