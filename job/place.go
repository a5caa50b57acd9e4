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
	// Unschedulable means that no job may be placed on the worker, because it is leaving, down or quarantined.
	Unschedulable bool
}

// Placement assigns a job to a worker.
type Placement struct {
	Job    Job
	Worker string
}

// Victim is a running job that makes room for an urgent one.
type Victim struct {
	Job Job
	// Throttle is the fraction of its processors that the job keeps. It is 0 if the job has to write a checkpoint and
	// stop.
	Throttle float64
}

// Plan is the result of [Place]. The victims have to be throttled or stopped before the placements of urgent jobs
// start.
type Plan struct {
	Placements []Placement
	Victims    []Victim
	// Restored lists throttled jobs that can run at full speed again, since their worker has enough free processors.
	Restored []Job
	// Impossible lists jobs that are larger than every worker.
	Impossible []Job
	// Exhausted lists jobs that have failed on every worker that is large enough.
	Exhausted []Job
}

// throttledFraction is the fraction of its processors that a throttled job keeps.
const throttledFraction = 0.25

// sameKindPenalty is added to the score of a worker for each job of the same kind in its rack, so that jobs of a kind
// are spread over racks. A score of 1 means that all processors, or all memory, of a worker remain free. The penalty
// is so small that it decides only between workers that fit about equally well.
const sameKindPenalty = 0.02

// Place decides which queued jobs start on which workers. Urgent jobs come first, then those that have waited longest.
// A job is placed on the worker that then has the least free resources, so that large jobs find room later. The
// function estimate returns the size to reserve for a job. The function mayRun reports whether a team may run one more
// job, and counts it; it may be nil.
func Place(queued, running []Job, workers []Worker, estimate func(Job) Size, mayRun func(team string) bool) Plan {
	p := newPlacer(workers, running, estimate)
	ordered := slices.Clone(queued)
	slices.SortStableFunc(ordered, func(a, b Job) int {
		if a.Spec.Urgent != b.Spec.Urgent {
			if a.Spec.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	var plan Plan
	limitedTeams := make(map[string]bool)
	for _, j := range ordered {
		if !p.fitsSomeWorker(j.Declared()) {
			plan.Impossible = append(plan.Impossible, j)
			continue
		}
		if p.failedEverywhere(j) {
			plan.Exhausted = append(plan.Exhausted, j)
			continue
		}
		size := p.reservedSize(j)
		if limitedTeams[j.Spec.Team] {
			continue
		}
		target := p.findWorker(j, size)
		var victims []Victim
		if target == nil && j.Spec.Urgent {
			target, victims = p.makeRoom(size, j)
		}
		if target == nil {
			continue
		}
		if mayRun != nil && !mayRun(j.Spec.Team) {
			limitedTeams[j.Spec.Team] = true
			continue
		}
		p.applyVictims(target, victims)
		p.reserve(target, j, size)
		plan.Placements = append(plan.Placements, Placement{Job: j, Worker: target.ID})
		plan.Victims = append(plan.Victims, victims...)
	}
	// If the plan throttles a job and later stops it, only the stop remains.
	plan.Victims = slices.DeleteFunc(plan.Victims, func(v Victim) bool { return v.Throttle > 0 && p.evicted[v.Job.ID] })
	plan.Restored = p.restoreThrottled(running)
	return plan
}

// workerState is a worker with its free resources.
type workerState struct {
	Worker
	free Size
	// preemptible lists the running jobs that may be throttled or stopped. Those that started last come first, because
	// they lose the least work. preemptibleSize is the sum of their sizes.
	preemptible     []placedJob
	preemptibleSize Size
}

// placedJob is a running job with the size that is reserved for it at full speed.
type placedJob struct {
	Job
	size Size
}

// maxCandidates is the maximum number of workers that are compared to make room for one job. It bounds the time of a
// placement: comparing all of 100 workers takes 180 ms in a surge of urgent jobs.
const maxCandidates = 16

type placer struct {
	workers     []*workerState
	byID        map[string]*workerState
	workerSizes []Size
	largest     Size
	jobsPerRack map[rackKind]int
	estimate    func(Job) Size
	// unplaceable holds sizes that fit on no worker at the moment.
	unplaceable []Size
	// nextCandidate is the index of the worker at which the next search for victims begins.
	nextCandidate int
	// evicted holds the jobs that the plan stops. throttled holds those that it throttles or that are throttled already.
	evicted, throttled map[string]bool
}

type rackKind struct{ rack, kind string }

func newPlacer(workers []Worker, running []Job, estimate func(Job) Size) *placer {
	p := &placer{
		byID: make(map[string]*workerState, len(workers)), jobsPerRack: make(map[rackKind]int), estimate: estimate,
		evicted: make(map[string]bool), throttled: make(map[string]bool),
	}
	seen := make(map[Size]bool)
	for _, w := range workers {
		s := &workerState{Worker: w, free: w.Size}
		p.workers = append(p.workers, s)
		p.byID[w.ID] = s
		if !seen[w.Size] {
			seen[w.Size] = true
			p.workerSizes = append(p.workerSizes, w.Size)
			p.largest = Size{max(p.largest.Cores, w.Size.Cores), max(p.largest.Memory, w.Size.Memory), max(p.largest.Accelerators, w.Size.Accelerators)}
		}
	}
	for _, j := range running {
		if s, ok := p.byID[j.Worker]; ok {
			size := p.reservedSize(j)
			p.throttled[j.ID] = j.Throttled
			p.reserve(s, j, p.usedSize(placedJob{j, size}))
			if !j.Spec.Urgent && j.State == StateRunning {
				s.preemptible = append(s.preemptible, placedJob{j, size})
				s.preemptibleSize = s.preemptibleSize.plus(p.usedSize(placedJob{j, size}))
			}
		}
	}
	for _, s := range p.workers {
		slices.SortFunc(s.preemptible, func(a, b placedJob) int { return cmp.Or(b.Started.Compare(a.Started), cmp.Compare(a.ID, b.ID)) })
	}
	return p
}

// reservedSize returns the estimated size of a job, but at most that of the largest worker. The learned size of a kind
// must not exclude a job from a worker that is large enough for its declared size. A job that really is too large
// fails there.
func (p *placer) reservedSize(j Job) Size {
	size := p.estimate(j)
	return Size{min(size.Cores, p.largest.Cores), min(size.Memory, p.largest.Memory), size.Accelerators}
}

// restoreThrottled returns the throttled jobs that can run at full speed again, and reserves the processors for them.
func (p *placer) restoreThrottled(running []Job) []Job {
	var restored []Job
	for _, j := range running {
		s, ok := p.byID[j.Worker]
		if !ok || !j.Throttled || p.evicted[j.ID] || j.State != StateRunning {
			continue
		}
		if gain := p.reservedSize(j).Cores * (1 - throttledFraction); gain <= s.free.Cores {
			s.free.Cores -= gain
			restored = append(restored, j)
		}
	}
	return restored
}

// fitsSomeWorker reports whether some worker could run a job of the size if it were empty. Unschedulable workers count,
// because they become schedulable again.
func (p *placer) fitsSomeWorker(size Size) bool {
	return len(p.workerSizes) == 0 || slices.ContainsFunc(p.workerSizes, size.Fits)
}

// failedEverywhere reports whether the job has failed on all workers that are large enough for its declared size.
func (p *placer) failedEverywhere(j Job) bool {
	return len(j.FailedOn) > 0 && !slices.ContainsFunc(p.workers, func(s *workerState) bool {
		return j.Declared().Fits(s.Size) && !slices.Contains(j.FailedOn, s.ID)
	})
}

func (p *placer) reserve(s *workerState, j Job, size Size) {
	s.free = s.free.minus(size)
	p.jobsPerRack[rackKind{s.Rack, j.Spec.Kind}]++
}

// findWorker returns the best worker for a job, or nil if it fits on none. It records sizes that fit on no worker, since
// most jobs of a long queue find no room.
func (p *placer) findWorker(j Job, size Size) *workerState {
	for _, rejected := range p.unplaceable {
		if rejected.Fits(size) {
			return nil
		}
	}
	best := p.bestFit(j, size)
	if best == nil && len(j.FailedOn) == 0 {
		p.unplaceable = append(p.unplaceable, size)
	}
	return best
}

// lostPenalty is added to the score of a worker that was lost under the job, so that any other one comes first.
const lostPenalty = 10

// bestFit returns the worker that has the least free resources after the placement. Workers on which the job has failed
// are excluded.
func (p *placer) bestFit(j Job, size Size) *workerState {
	var best *workerState
	var bestScore float64
	for _, s := range p.workers {
		if s.Unschedulable || !size.Fits(s.free) || slices.Contains(j.FailedOn, s.ID) {
			continue
		}
		left := s.free.minus(size)
		score := left.Cores/s.Size.Cores + float64(left.Memory)/float64(s.Size.Memory) + sameKindPenalty*float64(p.jobsPerRack[rackKind{s.Rack, j.Spec.Kind}])
		if j.Spec.Accelerators == 0 && s.Size.Accelerators > 0 {
			// Accelerators are scarce, so jobs that need none use other workers first.
			score += 2
		}
		if slices.Contains(j.LostOn, s.ID) || slices.Contains(j.SilentOn, s.ID) {
			score += lostPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// makeRoom returns a worker on which an urgent job fits if other jobs are throttled or stopped, and these jobs. Among
// up to maxCandidates workers, it chooses the one on which the least work is disturbed. Throttled jobs keep their
// memory, so throttling helps only if processors are all that is missing.
func (p *placer) makeRoom(size Size, j Job) (*workerState, []Victim) {
	var best *workerState
	var bestVictims []Victim
	bestCost := 0.0
	tried := 0
	for i := range p.workers {
		s := p.workers[(p.nextCandidate+i)%len(p.workers)]
		if s.Unschedulable || !size.Fits(s.free.plus(s.preemptibleSize)) || slices.Contains(j.FailedOn, s.ID) {
			continue
		}
		victims, cost, ok := p.chooseVictims(s, size)
		if !ok {
			continue
		}
		if best == nil || cost < bestCost {
			best, bestVictims, bestCost = s, victims, cost
		}
		if tried++; tried == maxCandidates {
			p.nextCandidate = (p.nextCandidate + i + 1) % len(p.workers)
			break
		}
	}
	return best, bestVictims
}

// chooseVictims returns the jobs to throttle or else to stop so that the size fits on a worker, the cost in disturbed
// processors, and whether the size fits then.
func (p *placer) chooseVictims(s *workerState, size Size) ([]Victim, float64, bool) {
	free := s.free
	var victims []Victim
	cost := 0.0
	if size.Memory <= free.Memory && size.Accelerators <= free.Accelerators {
		for _, j := range s.preemptible {
			if size.Fits(free) {
				break
			}
			if p.evicted[j.ID] || p.throttled[j.ID] {
				continue
			}
			gain := j.size.Cores * (1 - throttledFraction)
			free.Cores += gain
			cost += gain / 2
			victims = append(victims, Victim{Job: j.Job, Throttle: throttledFraction})
		}
		if size.Fits(free) {
			return victims, cost, true
		}
	}
	free, victims, cost = s.free, nil, 0
	for _, j := range s.preemptible {
		if size.Fits(free) {
			break
		}
		if p.evicted[j.ID] {
			continue
		}
		used := p.usedSize(j)
		free = free.plus(used)
		cost += used.Cores + 1
		victims = append(victims, Victim{Job: j.Job})
	}
	return victims, cost, size.Fits(free)
}

// usedSize returns the resources that become free when a job stops.
func (p *placer) usedSize(j placedJob) Size {
	size := j.size
	if p.throttled[j.ID] {
		size.Cores *= throttledFraction
	}
	return size
}

// applyVictims updates the state of a worker for the victims chosen on it.
func (p *placer) applyVictims(s *workerState, victims []Victim) {
	for _, v := range victims {
		i := slices.IndexFunc(s.preemptible, func(j placedJob) bool { return j.ID == v.Job.ID })
		used := p.usedSize(s.preemptible[i])
		if v.Throttle > 0 {
			used.Memory, used.Accelerators = 0, 0
			used.Cores *= 1 - v.Throttle
			p.throttled[v.Job.ID] = true
		} else {
			p.evicted[v.Job.ID] = true
		}
		s.free = s.free.plus(used)
		s.preemptibleSize = s.preemptibleSize.minus(used)
	}
	if len(victims) > 0 {
		p.unplaceable = nil
	}
}

// FirstFit is the baseline for comparisons with [Place]: it places jobs in order of arrival, each on the first worker
// with room for its declared size. It never throttles or stops jobs.
func FirstFit(queued, running []Job, workers []Worker) Plan {
	p := newPlacer(workers, running, Job.Declared)
	order := slices.Clone(queued)
	slices.SortStableFunc(order, func(a, b Job) int { return a.Submitted.Compare(b.Submitted) })
	var plan Plan
	for _, j := range order {
		i := slices.IndexFunc(p.workers, func(s *workerState) bool { return !s.Unschedulable && j.Declared().Fits(s.free) })
		if i >= 0 {
			p.reserve(p.workers[i], j, j.Declared())
			plan.Placements = append(plan.Placements, Placement{Job: j, Worker: p.workers[i].ID})
		}
	}
	return plan
}

// WaitTime returns the time from the submission of a job to the start of its present run, or to now if it has not
// started.
func (j Job) WaitTime(now time.Time) time.Duration {
	if j.Started.IsZero() {
		return now.Sub(j.Submitted)
	}
	return j.Started.Sub(j.Submitted)
}
