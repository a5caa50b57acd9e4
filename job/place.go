package job

import (
	"cmp"
	"slices"
	"time"
)

// Worker is an instance that can run jobs.
type Worker struct {
	ID   string
	Rack string
	Size Size
	// Unschedulable means that no job may be placed: the worker leaves, is down or is quarantined.
	Unschedulable bool
}

// Placement puts a job on a worker.
type Placement struct {
	Job    Job
	Worker string
}

// Victim is a running job that makes room for an urgent one.
type Victim struct {
	Job Job
	// Throttle is the fraction of its processors that the job keeps. It is 0 if the job has to
	// checkpoint and stop.
	Throttle float64
}

// Plan is a set of placements. Victims have to make room before the placements of urgent jobs start.
type Plan struct {
	Placements []Placement
	Victims    []Victim
	// Restored lists throttled jobs whose worker has room for their full speed again.
	Restored []Job
	// Impossible lists jobs that are larger than every worker.
	Impossible []Job
	// Exhausted lists jobs that have failed on every worker that is large enough.
	Exhausted []Job
}

// throttled is the fraction of its processors that a throttled job keeps.
const throttled = 0.25

// spread is the cost of each job of the same kind in a rack, in units of a whole worker left over. It
// only decides between workers that fit about equally well.
const spread = 0.02

// Place decides which queued jobs start where. Urgent jobs come first, then those that wait longest. A job
// goes to the worker where the least room is left over, so that large jobs find room later. MayRun
// reports whether the team may run one job more and counts it. It may be nil.
func Place(queued, running []Job, workers []Worker, estimate func(Job) Size, mayRun func(team string) bool) Plan {
	p := newPlacer(workers, running, estimate)
	order := slices.Clone(queued)
	slices.SortStableFunc(order, func(a, b Job) int {
		if a.Spec.Urgent != b.Spec.Urgent {
			if a.Spec.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	var plan Plan
	full := make(map[string]bool)
	for _, j := range order {
		if !p.possible(j.Declared()) {
			plan.Impossible = append(plan.Impossible, j)
			continue
		}
		if p.exhausted(j) {
			plan.Exhausted = append(plan.Exhausted, j)
			continue
		}
		size := p.size(j)
		if full[j.Spec.Team] {
			continue
		}
		at := p.fit(j, size)
		var victims []Victim
		if at == nil && j.Spec.Urgent {
			at, victims = p.makeRoom(size, j)
		}
		if at == nil {
			continue
		}
		if mayRun != nil && !mayRun(j.Spec.Team) {
			full[j.Spec.Team] = true
			continue
		}
		p.evict(at, victims)
		p.take(at, j, size)
		plan.Placements = append(plan.Placements, Placement{Job: j, Worker: at.ID})
		plan.Victims = append(plan.Victims, victims...)
	}
	// A job that was to be throttled first and has to stop after all only stops.
	plan.Victims = slices.DeleteFunc(plan.Victims, func(v Victim) bool { return v.Throttle > 0 && p.gone[v.Job.ID] })
	plan.Restored = p.restore(running)
	return plan
}

// slot is a worker with what is left of it.
type slot struct {
	Worker
	free Size
	// batch are the running jobs that may make room, those that started last first: they lose the least
	// work. Evictable is the sum of their sizes.
	batch     []placed
	evictable Size
}

// placed is a running job with its reserved size at full speed.
type placed struct {
	Job
	size Size
}

// candidates bounds the workers that are compared to make room for one job. Comparing all took 180 ms for
// a surge of urgent jobs on 100 workers.
const candidates = 16

type placer struct {
	slots    []*slot
	byID     map[string]*slot
	sizes    []Size
	largest  Size
	kinds    map[rackKind]int
	estimate func(Job) Size
	// full holds sizes that fit nowhere at the moment.
	full []Size
	// next is the worker at which the search for room begins.
	next int
	// gone and slowed are the jobs that the plan evicts and throttles.
	gone, slowed map[string]bool
}

type rackKind struct{ rack, kind string }

func newPlacer(workers []Worker, running []Job, estimate func(Job) Size) *placer {
	p := &placer{
		byID: make(map[string]*slot, len(workers)), kinds: make(map[rackKind]int), estimate: estimate,
		gone: make(map[string]bool), slowed: make(map[string]bool),
	}
	seen := make(map[Size]bool)
	for _, w := range workers {
		s := &slot{Worker: w, free: w.Size}
		p.slots = append(p.slots, s)
		p.byID[w.ID] = s
		if !seen[w.Size] {
			seen[w.Size] = true
			p.sizes = append(p.sizes, w.Size)
			p.largest = Size{max(p.largest.Cores, w.Size.Cores), max(p.largest.Memory, w.Size.Memory), max(p.largest.Accelerators, w.Size.Accelerators)}
		}
	}
	for _, j := range running {
		if s, ok := p.byID[j.Worker]; ok {
			size := p.size(j)
			p.slowed[j.ID] = j.Throttled
			p.take(s, j, p.used(placed{j, size}))
			if !j.Spec.Urgent && j.State == StateRunning {
				s.batch = append(s.batch, placed{j, size})
				s.evictable = s.evictable.plus(p.used(placed{j, size}))
			}
		}
	}
	for _, s := range p.slots {
		slices.SortFunc(s.batch, func(a, b placed) int { return cmp.Or(b.Started.Compare(a.Started), cmp.Compare(a.ID, b.ID)) })
	}
	return p
}

// size returns the estimate, at most the largest worker: what is learned of a kind must not keep a job from
// a worker that is large enough for what it declares. A job that really is too large fails there.
func (p *placer) size(j Job) Size {
	size := p.estimate(j)
	return Size{min(size.Cores, p.largest.Cores), min(size.Memory, p.largest.Memory), size.Accelerators}
}

// restore returns the throttled jobs that have room for their full speed.
func (p *placer) restore(running []Job) []Job {
	var restored []Job
	for _, j := range running {
		s, ok := p.byID[j.Worker]
		if !ok || !j.Throttled || p.gone[j.ID] || j.State != StateRunning {
			continue
		}
		if gain := p.size(j).Cores * (1 - throttled); gain <= s.free.Cores {
			s.free.Cores -= gain
			restored = append(restored, j)
		}
	}
	return restored
}

// possible reports whether some worker could run a job of the size if it were empty. Closed workers
// count, because they come back.
func (p *placer) possible(size Size) bool {
	return len(p.sizes) == 0 || slices.ContainsFunc(p.sizes, size.Fits)
}

// exhausted reports whether the job has failed on all workers that could run it.
func (p *placer) exhausted(j Job) bool {
	return len(j.FailedOn) > 0 && !slices.ContainsFunc(p.slots, func(s *slot) bool {
		return j.Declared().Fits(s.Size) && !slices.Contains(j.FailedOn, s.ID)
	})
}

func (p *placer) take(s *slot, j Job, size Size) {
	s.free = s.free.minus(size)
	p.kinds[rackKind{s.Rack, j.Spec.Kind}]++
}

// fit returns the worker for a job, or nil. It remembers sizes that fit nowhere, since most jobs of a long
// queue find no room.
func (p *placer) fit(j Job, size Size) *slot {
	for _, full := range p.full {
		if full.Fits(size) {
			return nil
		}
	}
	best := p.best(j, size)
	if best == nil && len(j.FailedOn) == 0 {
		p.full = append(p.full, size)
	}
	return best
}

// best returns the worker with the least room left over. A job avoids workers on which it failed.
func (p *placer) best(j Job, size Size) *slot {
	var best *slot
	var bestScore float64
	for _, s := range p.slots {
		if s.Unschedulable || !size.Fits(s.free) || slices.Contains(j.FailedOn, s.ID) {
			continue
		}
		left := s.free.minus(size)
		score := left.Cores/s.Size.Cores + float64(left.Memory)/float64(s.Size.Memory) + spread*float64(p.kinds[rackKind{s.Rack, j.Spec.Kind}])
		if j.Spec.Accelerators == 0 && s.Size.Accelerators > 0 {
			// Accelerators are scarce: jobs without need for them use other workers first.
			score += 2
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// makeRoom returns the worker, among some with enough to evict, on which the least work is disturbed if it
// makes room. Throttled jobs keep their memory, so throttling helps only if processors are what lacks.
func (p *placer) makeRoom(size Size, j Job) (*slot, []Victim) {
	var best *slot
	var bestVictims []Victim
	bestCost := 0.0
	compared := 0
	for i := range p.slots {
		s := p.slots[(p.next+i)%len(p.slots)]
		if s.Unschedulable || !size.Fits(s.free.plus(s.evictable)) || slices.Contains(j.FailedOn, s.ID) {
			continue
		}
		victims, cost, ok := p.victims(s, size)
		if !ok {
			continue
		}
		if best == nil || cost < bestCost {
			best, bestVictims, bestCost = s, victims, cost
		}
		if compared++; compared == candidates {
			p.next = (p.next + i + 1) % len(p.slots)
			break
		}
	}
	return best, bestVictims
}

func (p *placer) victims(s *slot, size Size) ([]Victim, float64, bool) {
	free := s.free
	var victims []Victim
	cost := 0.0
	if size.Memory <= free.Memory && size.Accelerators <= free.Accelerators {
		for _, j := range s.batch {
			if size.Fits(free) {
				break
			}
			if p.gone[j.ID] || p.slowed[j.ID] {
				continue
			}
			gain := j.size.Cores * (1 - throttled)
			free.Cores += gain
			cost += gain / 2
			victims = append(victims, Victim{Job: j.Job, Throttle: throttled})
		}
		if size.Fits(free) {
			return victims, cost, true
		}
	}
	free, victims, cost = s.free, nil, 0
	for _, j := range s.batch {
		if size.Fits(free) {
			break
		}
		if p.gone[j.ID] {
			continue
		}
		used := p.used(j)
		free = free.plus(used)
		cost += used.Cores + 1
		victims = append(victims, Victim{Job: j.Job})
	}
	return victims, cost, size.Fits(free)
}

// used is what a job frees when it stops.
func (p *placer) used(j placed) Size {
	size := j.size
	if p.slowed[j.ID] {
		size.Cores *= throttled
	}
	return size
}

func (p *placer) evict(s *slot, victims []Victim) {
	for _, v := range victims {
		i := slices.IndexFunc(s.batch, func(j placed) bool { return j.ID == v.Job.ID })
		used := p.used(s.batch[i])
		if v.Throttle > 0 {
			used.Memory, used.Accelerators = 0, 0
			used.Cores *= 1 - v.Throttle
			p.slowed[v.Job.ID] = true
		} else {
			p.gone[v.Job.ID] = true
		}
		s.free = s.free.plus(used)
		s.evictable = s.evictable.minus(used)
	}
	if len(victims) > 0 {
		p.full = nil
	}
}

// FirstFit is the baseline: jobs in order of arrival, each on the first worker with room for its
// declared size. It never makes room.
func FirstFit(queued, running []Job, workers []Worker) Plan {
	p := newPlacer(workers, running, Job.Declared)
	order := slices.Clone(queued)
	slices.SortStableFunc(order, func(a, b Job) int { return a.Submitted.Compare(b.Submitted) })
	var plan Plan
	for _, j := range order {
		i := slices.IndexFunc(p.slots, func(s *slot) bool { return !s.Unschedulable && j.Declared().Fits(s.free) })
		if i >= 0 {
			p.take(p.slots[i], j, j.Declared())
			plan.Placements = append(plan.Placements, Placement{Job: j, Worker: p.slots[i].ID})
		}
	}
	return plan
}

// WaitTime returns how long a job has waited for its first start.
func (j Job) WaitTime(now time.Time) time.Duration {
	if j.Started.IsZero() {
		return now.Sub(j.Submitted)
	}
	return j.Started.Sub(j.Submitted)
}
