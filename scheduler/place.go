package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/jobs/copies"
	"github.com/chivetiller/chivetiller/internal/jobs/gang"
	"github.com/chivetiller/chivetiller/internal/jobs/order"
	"github.com/chivetiller/chivetiller/internal/workers/placementcost"
	"github.com/chivetiller/chivetiller/work"
)

// candidate is an occurrence that has tasks to start.
type candidate struct {
	job        *job
	occurrence *occurrence
	queue      *catalog.Queue
	order.Key
}

// Schedule advances the time to now and places tasks. [Core.TakeCommands] returns the commands that follow from it.
func (c *Core) Schedule(now time.Duration) {
	c.SetTime(now)
	c.handleTimeouts()
	if c.deposed {
		return
	}
	for _, p := range c.pools {
		c.placePool(p)
	}
}

// TakeCommands returns the commands to workers that are due, and removes them from the queue. It returns none after another process
// has acquired leadership.
func (c *Core) TakeCommands() []Command {
	commands := c.commands
	c.commands = nil
	if c.deposed {
		return nil
	}
	return commands
}

// replanInterval is the time after which a pool is planned again without a change, since pauses may have passed meanwhile.
const replanInterval = 50 * time.Millisecond

func (c *Core) placePool(p *pool) {
	if len(p.jobs) == 0 || (!p.needsPlanning && c.now-p.plannedAt < replanInterval) {
		return
	}
	p.needsPlanning, p.plannedAt = false, c.now
	c.endTests(p)
	c.dropReservations(p)
	if len(p.workers) == 0 {
		return
	}
	workers := &placement{workers: c.usableWorkers(p)}
	candidates := c.candidates(p)
	othersWait := false
	for cand := range order.Sequence(candidates, (*candidate).key, (*candidate).team, c.teamLevels(p, candidates, workers.workers)) {
		othersWait = c.placeOccurrence(*cand, workers) || othersWait
	}
	c.placeOnSpareWorkers(p, candidates, workers, othersWait)
	if c.options.Features.Preemption && othersWait {
		c.makeRoom(p, candidates, workers.workers)
	}
	if c.options.Features.Copies && !othersWait && (len(candidates) == 0 || candidates[0].Tier() != order.LikelyCause) {
		c.placeCopies(p, workers.workers)
	}
}

// usableWorkers returns the workers of a pool on which tasks may be started.
func (c *Core) usableWorkers(p *pool) []*workerState {
	usable := make([]*workerState, 0, len(p.workers))
	for _, ws := range p.workers {
		if c.acceptsTasks(ws) {
			usable = append(usable, ws)
		}
	}
	// The slowest member of a gang decides how long it takes, and its members get the first workers that have room.
	slices.SortStableFunc(usable, func(a, b *workerState) int { return cmp.Compare(a.slowness, b.slowness) })
	return usable
}

// candidates returns the occurrences with tasks to start, in the order in which they are tried.
func (c *Core) candidates(p *pool) []candidate {
	// There are about as many as in the pass before.
	all := make([]candidate, 0, p.candidates)
	for _, j := range p.jobs {
		q := c.queueOf(j)
		for _, o := range j.open {
			if cand, ok := c.candidate(j, o, q); ok {
				all = append(all, cand)
			}
		}
	}
	p.candidates = len(all)
	c.recordLoad(p, all)
	slices.SortFunc(all, candidate.compare)
	return all
}

// compare orders candidates. The IDs of jobs decide between equal ones, and are not read otherwise.
func (a candidate) compare(b candidate) int {
	if d := a.Compare(&b.Key); d != 0 {
		return d
	}
	return cmp.Compare(a.job.doc.ID, b.job.doc.ID)
}

func (a *candidate) key() *order.Key { return &a.Key }
func (a *candidate) team() string    { return a.job.doc.Team }

// queueOf returns the queue of a job. One that was removed from the configuration still executes the jobs that were accepted, with the
// attempts that it allowed then.
func (c *Core) queueOf(j *job) *catalog.Queue {
	if j.queueCatalog == c.catalog {
		return j.queue
	}
	q, ok := c.catalog.Queue(j.doc.Queue)
	if !ok {
		q = &catalog.Queue{Name: j.doc.Queue, Pool: j.doc.Pool, Attempts: max(1, j.doc.Attempts), Stretch: 1, Priority: removedPriority}
	}
	j.queue, j.queueCatalog = q, c.catalog
	return q
}

// removedPriority is the priority of jobs whose queue was removed from the configuration.
const removedPriority = 100

func (c *Core) candidate(j *job, o *occurrence, q *catalog.Queue) (candidate, bool) {
	if c.now < j.notStoredBefore {
		return candidate{}, false
	}
	idle := false
	for _, s := range o.steps {
		if s.idleTasks > 0 && s.ready() && !c.blocked(s) {
			idle = true
			break
		}
	}
	if !idle {
		return candidate{}, false
	}
	tier, rank := order.Service, float64(j.acceptedAt)
	switch {
	case o.likelyCause():
		tier = order.LikelyCause
	case !j.service:
		tier, rank = c.tierOf(j, o, q)
	}
	return candidate{job: j, occurrence: o, queue: q, Key: order.New(tier, j.beyondRate, q.Priority, rank)}, true
}

// tierOf returns the tier of a batch job by the time that is left to it, and its rank within the tier.
func (c *Core) tierOf(j *job, o *occurrence, q *catalog.Queue) (tier order.Tier, rank float64) {
	criticalPath, left := c.remainingWork(o)
	return order.TierOf(c.now, criticalPath, o.latencyStart(j), o.targetEnd(q, j)), order.RankOf(left)
}

// placeOccurrence starts as many tasks of an occurrence as possible. It reports whether others wait for workers that are not likely to
// crash them.
func (c *Core) placeOccurrence(cand candidate, workers *placement) bool {
	wait := false
	for _, s := range cand.occurrence.steps {
		if s.idleTasks == 0 || !s.ready() || c.blocked(s) {
			continue
		}
		if cand.queue.Policy != nil && !c.ticketsGranted(s) {
			continue
		}
		if s.doc.Gang {
			wait = !c.placeGang(s, workers) && !s.likelyCause(0) || wait
			continue
		}
		crashed := len(s.crashSites) > 0
		c.idle = s.appendIdle(c.idle[:0])
		for _, i := range c.idle {
			t := &s.tasks[i]
			if c.now < t.notBefore || c.blockedTask(s, i) || crashed && c.pausedAfterCrash(s, i) {
				continue
			}
			ws := c.chooseWorker(s, i, c.workersFor(workers, s, i))
			if ws == nil && s.doc.Service && c.withinTeamLimit(s, 1) {
				ws = c.placeOverdue(s, i, workers)
			}
			if ws == nil && s.doc.Service {
				// Others are many, and one worker that joins would be asked about for each of them.
				c.queryPolicy(s, true)
			}
			if ws == nil && (s.crashCount(i).Suspect() || crashed && s.untelling(i) > 0) {
				wait = wait || !s.likelyCause(i)
				continue
			}
			if ws == nil {
				wait = true
				break
			}
			if !c.withinTeamLimit(s, 1) {
				break
			}
			c.planRun(s, i, c.nextRunNumber(t), ws)
			workers.recordStart(s, i, ws)
		}
	}
	return wait
}

// nextRunNumber returns the number of the next run of a task. Each term has its own range of numbers.
func (c *Core) nextRunNumber(t *task) int {
	return max(t.lastRun, (c.options.Term-1)*runsPerTerm) + 1
}

// withinTeamLimit reports whether the upper limit of the team allows n more tasks of the step. Tasks that previous
// leaders started on workers that have not answered count as running.
func (c *Core) withinTeamLimit(s *step, n int64) bool {
	team := s.job.doc.Team
	limit := c.catalog.Teams[team].Limit
	if limit == (work.Resources{}) {
		return true
	}
	used := c.teamUsage[team].Plus(s.doc.Request.Times(n))
	for _, running := range c.previousUsage {
		used = used.Plus(running[team])
	}
	return (limit.CPU == 0 || used.CPU <= limit.CPU) && (limit.Memory == 0 || used.Memory <= limit.Memory) && (limit.GPU == 0 || used.GPU <= limit.GPU)
}

// chooseWorker returns the worker with the lowest cost for a task, and nil if there is none.
func (c *Core) chooseWorker(s *step, index int, usable []*workerState) *workerState {
	var best *workerState
	var bestCost float64
	charge := s.doc.ReservedResources()
	crashed := len(s.crashSites) > 0
	for _, ws := range usable {
		if !charge.Fits(ws.freeCapacity()) {
			continue
		}
		// The cost rules out more workers than the other conditions do.
		cost := c.placementCost(s, index, ws, charge)
		if best != nil && cost >= bestCost {
			continue
		}
		if !ws.leavesReserved(s, 1) || !c.eligible(s, ws) || c.justFailedOn(s, index, ws) || crashed && c.mayCrashByItself(s, index, ws) {
			continue
		}
		best, bestCost = ws, cost
	}
	return best
}

// otherWorkerWait is how long a failed task waits for a worker other than the one on which it failed.
const otherWorkerWait = 500 * time.Millisecond

// justFailedOn reports whether the task has just failed on the worker. The worker may be at fault.
func (c *Core) justFailedOn(s *step, index int, ws *workerState) bool {
	t := &s.tasks[index]
	return t.failedAt > 0 && t.lastWorker == ws.report.ID && c.now < t.failedAt+otherWorkerWait
}

// eligible reports whether the step may run on the worker, apart from free capacity.
func (c *Core) eligible(s *step, ws *workerState) bool {
	if s.doc.Service && c.late(ws) {
		return false
	}
	if !ws.report.HasLabel(s.doc.RequiredLabel) || ws.testsLikely || ws.exits.Len()+len(ws.runs) >= maxOpenExits {
		return false
	}
	if s.doc.MaxPerWorker > 0 && c.tasksOn(s, ws) >= s.doc.MaxPerWorker {
		return false
	}
	if c.queueOf(s.job).Policy != nil {
		_, ok := s.tickets.Ticket(ws.report.ID, c.now)
		return ok
	}
	return true
}

// tasksOn returns the number of tasks of a step that run on a worker.
func (c *Core) tasksOn(s *step, ws *workerState) int {
	n := 0
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.worker == ws {
				n++
			}
		}
	}
	return n
}

// placementCost rates a worker for a task.
func (c *Core) placementCost(s *step, index int, ws *workerState, charge work.Resources) float64 {
	w := placementcost.Worker{
		Left: float64(ws.freeCapacity().CPU-charge.CPU) / float64(max(1, ws.report.Capacity.CPU)), Slowness: ws.slowness, Services: ws.services, BestEffort: ws.bestEffort,
		Far: s.doc.DataRack != "" && ws.report.Rack() != s.doc.DataRack, FailedBefore: s.tasks[index].lastWorker == ws.report.ID && s.failures(index) > 0,
		Overtaken: s.copies != nil && ws.overtakenAt > 0 && c.now-ws.overtakenAt < copies.SlowFor,
	}
	if s.crashCount(index).Suspect() {
		w.AtRisk, w.CrashedBefore = len(ws.runs), s.crashedOn(index, ws)
	}
	switch {
	case s.doc.BestEffort:
		return w.ForBestEffortTask()
	case s.doc.Service:
		return w.ForService(placementcost.Service{
			SameService: c.tasksOn(s, ws), MayLeave: s.doc.MaxDisruptions > 0 && c.now < ws.mayLeaveUntil, Doubted: ws.doubtedAt > 0,
			LongLease: ws.earlier.fence != 0 && ws.earlierExpiry() > c.now+leaseDuration+maxLeaseExtension,
		})
	}
	return w.ForBatchTask()
}

// placeGang starts all tasks of a gang, or none.
func (c *Core) placeGang(s *step, workers *placement) bool {
	if s.idleTasks < s.tasksLeft || c.now < s.notBefore || c.pausedAfterCrash(s, 0) || !c.withinTeamLimit(s, int64(s.tasksLeft)) {
		return false
	}
	usable := c.workersFor(workers, s, 0)
	if len(s.crashSites) > 0 {
		usable = gang.Last(usable, func(ws *workerState) bool { return s.crashedOn(0, ws) })
	}
	chosen := c.chooseGang(s, usable)
	if chosen == nil && s.doc.Service {
		chosen = c.placeOverdueGang(s, usable)
		c.queryPolicy(s, true)
	}
	if chosen == nil {
		return false
	}
	number := s.gangRun
	for i := range s.tasks {
		number = max(number, s.tasks[i].lastRun)
	}
	number = max(number, (c.options.Term-1)*runsPerTerm) + 1
	s.gangRun = number
	for i := range s.tasks {
		c.planRun(s, i, number, chosen[i])
		workers.recordStart(s, i, chosen[i])
	}
	return true
}

// chooseGang returns a worker for each task of a gang, and nil if they do not fit. Gangs that are slower across racks are
// placed in one rack if it has room.
func (c *Core) chooseGang(s *step, usable []*workerState) []*workerState {
	if s.doc.SameRack || s.doc.DataRack != "" {
		for _, rack := range gang.ByRack(usable, func(ws *workerState) string { return ws.report.Rack() }, s.doc.DataRack) {
			if chosen := c.spreadGang(s, rack); chosen != nil {
				return chosen
			}
		}
	}
	return c.spreadGang(s, usable)
}

func (c *Core) spreadGang(s *step, usable []*workerState) []*workerState {
	charge := s.doc.ReservedResources()
	return gang.Spread(len(s.tasks), usable, func(ws *workerState, n int64) bool {
		if !charge.Times(n+1).Fits(ws.freeCapacity()) || !ws.leavesReserved(s, n+1) || !c.eligible(s, ws) {
			return false
		}
		if s.doc.MaxPerWorker > 0 && c.tasksOn(s, ws)+int(n) >= s.doc.MaxPerWorker {
			return false
		}
		return len(s.crashSites) == 0 || !c.mayCrashByItself(s, 0, ws)
	})
}
