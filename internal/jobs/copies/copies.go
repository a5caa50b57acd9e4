// Package copies decides when a second run of a task is started because its run is late. The first run that ends as done counts, and the
// other one is stopped.
//
// Workers do not report progress, so that a run on a slow worker looks like one of an honest long task, which takes as long again in its
// copy. The waste is bounded: each task has one copy at most unless a worker of it is lost, copies take a bounded share of their pool, and
// nothing is copied for a job that has lost its value.
//
// # Usage
//
//	step := copies.NewStep(doc)
//	budget := copies.NewBudget(poolCPU, copiesCPU)
//	if step.Wants(index, copies.Run{Ran: ran, Troubled: quarantined, Attempts: 4}, expectation) && budget.Take(cpu) {
//		step.Started(index)
//		// Start a second run on another worker.
//	}
//	step.Done(took) // for each task of the step that is done
package copies

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

const (
	// minRuns is the number of runs behind an expectation without which it does not make a run late. Declared estimates are off by up to
	// nine tenths.
	minRuns = 5
	// lateQuantile and lateFactor say when a run is late: beyond the quantile, and beyond the multiple of the median.
	lateQuantile = 0.9
	lateFactor   = 1.5
	// minSiblings is the number of tasks of the same step that have to be done for them to make the others late, and siblingFactor is the
	// multiple of their median.
	minSiblings   = 3
	siblingFactor = 1.8
	// maxSiblings is the number of run times of a step that are kept.
	maxSiblings = 64
	// minLate is how long a run has run at least when it is late. A start and a stop take as long together.
	minLate = 200 * time.Millisecond
	// budgetShare is the share of the processors of a pool that copies use at most.
	budgetShare = 0.1
	// SlowFor is how long a worker on which a run was overtaken by its copy gets other tasks last.
	SlowFor = 10 * time.Second
)

// Expectation is what is expected of a run on a worker of usual pace.
type Expectation interface {
	Median() time.Duration
	// Quantile returns the time within which a share q of the runs end.
	Quantile(q float64) time.Duration
	// Runs returns how many runs the expectation rests on.
	Runs() int
}

// Run is what is known of a run that is at work.
type Run struct {
	// Ran is the time since the worker confirmed the run.
	Ran time.Duration
	// Troubled means that the worker is silent, in doubt or quarantined. A run there is more likely to be slow or lost than long.
	Troubled bool
	// Failures is the number of failed runs of the task, and Attempts the number of them with which its job fails.
	Failures int
	Attempts int
}

// Step holds what is known of the tasks of a step for copies of them.
type Step struct {
	took   []time.Duration
	copied map[int]bool
	ended  map[int][]int
}

// NewStep returns the state of a step whose tasks may have copies, and nil for another one. Two runs would save their checkpoints over each
// other, and best-effort tasks are slow because they are throttled.
func NewStep(s *work.Step) *Step {
	if !s.Speculative || s.Gang || s.Service || s.Checkpoints || s.BestEffort {
		return nil
	}
	return new(Step)
}

// Done records how long a task of the step took that is done.
func (s *Step) Done(took time.Duration) {
	if len(s.took) < maxSiblings {
		i, _ := slices.BinarySearch(s.took, took)
		s.took = slices.Insert(s.took, i, took)
	}
}

// Started records that a copy of a task was started.
func (s *Step) Started(index int) {
	if s.copied == nil {
		s.copied = make(map[int]bool)
	}
	s.copied[index] = true
}

// Lost records that a worker of a task was lost. The task may have another copy.
func (s *Step) Lost(index int) { delete(s.copied, index) }

// Wants reports whether a task with one run should have a copy.
func (s *Step) Wants(index int, r Run, e Expectation) bool {
	// One more failed run must not end the job while the first run may still be done.
	if s.copied[index] || r.Failures+2 > r.Attempts {
		return false
	}
	at, known := s.lateAfter(r.Troubled, e)
	return known && r.Ran > max(at, minLate)
}

// lateAfter returns how long a run has run when it is late. It reports false if too little is known.
func (s *Step) lateAfter(troubled bool, e Expectation) (time.Duration, bool) {
	factor, siblings := lateFactor, siblingFactor
	if troubled {
		factor, siblings = 1, 1
	}
	at, known := time.Duration(0), false
	if e.Runs() >= minRuns {
		at, known = time.Duration(factor*float64(e.Median())), true
		if !troubled {
			at = max(at, e.Quantile(lateQuantile))
		}
	}
	if len(s.took) >= minSiblings {
		bySiblings := time.Duration(siblings * float64(s.took[len(s.took)/2]))
		if !known || bySiblings < at {
			at, known = bySiblings, true
		}
	}
	return at, known
}

// Budget is what copies may still use of a pool.
type Budget struct {
	limit, used int64
}

// NewBudget returns the budget of a pool with an amount of processors, of which copies use some.
func NewBudget(pool, used int64) Budget {
	return Budget{limit: int64(budgetShare * float64(pool)), used: used}
}

// Take uses processors for a copy, and reports whether it may start. There may always be one copy, since a small pool would have none
// otherwise.
func (b *Budget) Take(cpu int64) bool {
	if b.used > 0 && b.used+cpu > b.limit {
		return false
	}
	b.used += cpu
	return true
}

// Ended records that a run of a task has exited.
func (s *Step) Ended(index, number int) {
	if s.ended == nil {
		s.ended = make(map[int][]int)
	}
	if !s.HasEnded(index, number) {
		s.ended[index] = append(s.ended[index], number)
	}
}

// HasEnded reports whether a run of a task has exited. With copies, a run may go on after one with a higher number has exited.
func (s *Step) HasEnded(index, number int) bool { return slices.Contains(s.ended[index], number) }
