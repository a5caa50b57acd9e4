// Package placementcost rates the workers on which a task can start. The one with the lowest cost gets the task.
//
// # Usage
//
//	w := placementcost.Worker{Left: 0.25, Slowness: 0.1, Far: true}
//	cost := w.ForBatchTask()
package placementcost

const (
	// far is the cost of a worker away from the data, where the task takes several times as long.
	far = 10
	// slow is the cost of a worker on which tasks take twice as long. Three times as long is worth less than a worker on which the task has
	// just failed.
	slow = 3
	// failedBefore is the cost of the worker on which the task failed last.
	failedBefore = 5
	// mayLeave is the cost, for a step with a disruption budget, of a worker whose instance may still carry out a command without an answer.
	// It outweighs the others but crashedBefore.
	mayLeave = 500
	// doubted is the cost, for a service, of a worker that has left its latest call unanswered. A start there may take seconds to be known
	// as lost.
	doubted = 400
	// longLease is the cost, for a service, of a worker that may hold a lease from a call to its earlier life. If it is lost, its runs count
	// as running for longer.
	longLease = 300
	// overtaken is the cost, for a step with copies, of a worker on which a run was overtaken by its copy lately. It is likely to be slow.
	overtaken = 4
	// interference is the cost of a best-effort task next to a service, or the other way round.
	interference = 3
	// sameService is the cost of each task of the same service on a worker, since the loss of the worker takes them all down.
	sameService = 1
	// atRisk is the cost of each task that is lost if a task under which a worker has crashed before crashes this one, too.
	atRisk = 1
	// crashedBefore is the cost of a worker that crashed under the task before. It outweighs the others, since the next crash of that worker
	// would not tell whether the task is the cause.
	crashedBefore = 1000
	// mixedUse separates batch tasks and services a little, so that instances without services can be moved.
	mixedUse = 0.2
)

// Worker is what is known of a worker for a task.
type Worker struct {
	// Left is the share of the processors that is left over beside the task. Between workers that are equal otherwise the one with the
	// smallest share wins, so that large tasks find room later.
	Left float64
	// Slowness is by how much tasks take longer on the worker, as a multiple of the usual time.
	Slowness float64
	// Far means that the worker is away from the data of the task.
	Far bool
	// FailedBefore means that the task failed on the worker last, CrashedBefore that the worker crashed under it, and Overtaken that a run
	// there was overtaken by its copy lately.
	FailedBefore, CrashedBefore, Overtaken bool
	// AtRisk is the number of tasks that are lost if the task crashes the worker.
	AtRisk int
	// Services and BestEffort count the tasks of such steps on the worker.
	Services, BestEffort int
}

// Service is what else is known of a worker for a task of a service.
type Service struct {
	// SameService counts the tasks of the same step on the worker.
	SameService int
	// MayLeave means that the instance may carry out a command that must not end the task now, Doubted that the latest call is not answered,
	// and LongLease that the worker may hold a lease of its earlier life.
	MayLeave, Doubted, LongLease bool
}

// forAny returns the cost of the worker for any task.
func (w Worker) forAny() float64 {
	cost := w.Left + slow*w.Slowness
	if w.Far {
		cost += far
	}
	if w.FailedBefore {
		cost += failedBefore
	}
	if w.Overtaken {
		cost += overtaken
	}
	cost += atRisk * float64(w.AtRisk)
	if w.CrashedBefore {
		cost += crashedBefore
	}
	return cost
}

// ForBestEffortTask returns the cost of the worker for a best-effort task.
func (w Worker) ForBestEffortTask() float64 {
	return w.forAny() + interference*float64(w.Services) + float64(w.BestEffort)
}

// ForBatchTask returns the cost of the worker for another task that ends.
func (w Worker) ForBatchTask() float64 {
	if w.Services > 0 {
		return w.forAny() + mixedUse
	}
	return w.forAny()
}

// ForService returns the cost of the worker for a task of a service.
func (w Worker) ForService(s Service) float64 {
	cost := w.forAny() + interference*float64(w.BestEffort) + sameService*float64(s.SameService)
	if s.MayLeave {
		cost += mayLeave
	}
	if s.Doubted {
		cost += doubted
	}
	if s.LongLease {
		cost += longLease
	}
	if w.Services == 0 {
		cost += mixedUse
	}
	return cost
}
