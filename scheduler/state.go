package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/internal/jobs/copies"
	"github.com/chivetiller/chivetiller/internal/jobs/crashloop"
	"github.com/chivetiller/chivetiller/internal/jobs/finishedruns"
	"github.com/chivetiller/chivetiller/internal/jobs/gang"
	"github.com/chivetiller/chivetiller/internal/jobs/preemption"
	"github.com/chivetiller/chivetiller/internal/jobs/remainingwork"
	"github.com/chivetiller/chivetiller/internal/jobs/ticket"
	"github.com/chivetiller/chivetiller/internal/jobs/waiting"
	"github.com/chivetiller/chivetiller/internal/pools/arrivals"
	"github.com/chivetiller/chivetiller/internal/teams/share"
	"github.com/chivetiller/chivetiller/internal/workers/health"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// job is an accepted job and its state.
type job struct {
	// The fields up to service are read for each job in each pass.

	// open holds the occurrences that have begun and are not complete.
	open map[int]*occurrence
	// queue is the queue of the job in queueCatalog.
	queue        *catalog.Queue
	queueCatalog *catalog.Catalog
	// notStoredBefore is the time before which the progress is not stored, and no run starts, since it is too large or the store has refused it.
	notStoredBefore time.Duration
	// acceptedAt is the time at which the job was accepted.
	acceptedAt time.Duration
	// criticalPath is the longest path of estimated work through the steps.
	criticalPath time.Duration
	// nextOccurrence is the first occurrence that has not begun.
	nextOccurrence int
	// service means that a step runs until the job is cancelled.
	service bool
	// beyondRate means that the team had sent more jobs than it is owed when the job was accepted.
	beyondRate bool
	// started means that a start command of the job was sent or recorded, and begun that a worker is known to have carried one out.
	started bool
	begun   bool

	doc      work.Job
	progress *work.Progress
	// storedState is the state in the store, the only one that clients are shown.
	storedState work.State
	// endStored means that the final state is stored. The row may be stored again without its runs.
	endStored bool
	// storedParts is the number of further rows of the progress that the store may have.
	storedParts int
	// endedAt is the time at which the job ended.
	endedAt time.Duration
	// preemptions tells of the runs that were stopped for the job.
	preemptions preemption.Window
	// tasks is the number of tasks of an occurrence.
	tasks int
}

// occurrence is one execution of the steps of a job. A scheduled job has several.
type occurrence struct {
	number   int
	steps    []*step
	progress *work.OccurrenceProgress
	// recordedWorkers lists the workers that the store names for the occurrence.
	recordedWorkers []string
	// learnsPath means that the latency target follows the run times that are expected, as the remaining work does.
	learnsPath bool
	// dueAt is the time at which the occurrence was due.
	dueAt time.Duration
	// remaining is what is expected of the remaining work.
	remaining remainingwork.Work
}

// step is a step of an occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	number     int
	doc        *work.Step
	progress   *work.StepProgress
	tasks      []task
	// tasksLeft counts the tasks that are not done.
	tasksLeft int
	// idleTasks counts the tasks that are neither done nor running.
	idleTasks int
	// tickets holds the workers that may run the step, if the queue has a policy. policyPending means that a query is under way.
	tickets       ticket.Book
	policyPending bool
	// policyFailures counts the failed queries and rejected tickets since the last start. There is no query before nextPolicyQuery.
	policyFailures  int
	nextPolicyQuery time.Duration
	// gangRun is the number of the latest run of the gang.
	gangRun int
	// crashSites holds the crashes under each task in this term, or under the gang at index 0.
	crashSites map[int]*crashloop.Sites
	// copies is what is known for copies of late runs, and nil if the step has none.
	copies *copies.Step
	// preempted tells which tasks have made room for other jobs.
	preempted preemption.History
	// waitsSince is the time since which tasks of a service wait for room.
	waitsSince time.Duration
	// wait is what else is known of tasks that wait, and nil if none has been checked.
	wait *stepWaits
	// notBefore delays the next start of the gang.
	notBefore time.Duration
	// finished is what the tasks that are done tell of the others.
	finished finishedruns.Step
}

// task is a task of a step.
type task struct {
	runs []*run
	// lastRun is the highest run number used.
	lastRun int
	// exitedRun is the highest run number whose exit a worker has reported.
	exitedRun int
	// notBefore delays the next start.
	notBefore time.Duration
	done      bool
	// lastWorker is the worker on which the latest run ended without being done. failedAt is the time of the latest failure.
	lastWorker string
	failedAt   time.Duration
	// idleSince is the time at which the task was last known to run, and 0 if it has not run in this term.
	idleSince time.Duration
	// triedAt is the time of the latest start without an answer, which may have been carried out.
	triedAt time.Duration
	// emptyWorkerSince is the time since which the task waits for a worker that runs nothing.
	emptyWorkerSince time.Duration
}

// stepWaits is what is known of the tasks of a step that do not run: those of a service, and suspects of a crash.
type stepWaits struct {
	// reserveNotBefore is the time before which no worker is kept free for them.
	reserveNotBefore time.Duration
	tasks            []waiting.Wait
}

// waits returns the waits of the tasks of a step.
func (s *step) waits() *stepWaits {
	if s.wait == nil {
		s.wait = &stepWaits{tasks: make([]waiting.Wait, len(s.tasks))}
	}
	return s.wait
}

type phase int

const (
	// planned runs are recorded in the store before they are started.
	planned phase = iota
	starting
	running
	stopping
)

// run is one start of a task on a worker. It takes up room until its exit is known.
type run struct {
	step   *step
	index  int
	number int
	worker *workerState
	phase  phase
	// startedAt is the time of the plan, the start command or the adoption, whichever came last. confirmedAt is the time
	// at which the worker first confirmed the run.
	startedAt   time.Duration
	confirmedAt time.Duration
	// sincePlan is the time from the plan to the start.
	sincePlan time.Duration
	// previousLeader means that a previous leader started the run, and that the worker has not reported it since.
	previousLeader bool
	// copied means that another run of the task was at work when this one was planned.
	copied bool
	// confirmedClock is the latest time that the worker's clock was known to have shown when the worker first confirmed the run.
	confirmedClock time.Duration
	// lastStart is what was known of the start when the worker was found to have crashed or to be silent, and nil before.
	lastStart *crashloop.Start
	// missingReports counts the reports in a row that should list the run and do not.
	missingReports int
	// unanswered counts the start commands that got no answer.
	unanswered int
	// repeatAfterReport means that the start is sent again once the worker has reported.
	repeatAfterReport bool
	// startSentAt is the time of the latest start command. startGivenUp means that the start is not sent again, and that the run is removed once the start is ruled out.
	startSentAt  time.Duration
	startGivenUp bool
	// stopSentAt is the time of the latest stop command. stopUnknown means that a stop of a protected run got no answer, and stopRuledOutAt
	// is the time from which on it is certain not to be carried out any more.
	stopSentAt     time.Duration
	stopUnknown    bool
	stopRuledOutAt time.Duration
	// startFence and stopFence are the fencing tokens of the latest commands.
	startFence uint64
	stopFence  uint64
	checkpoint string
	// savedAt is the time at which the worker first reported the checkpoint.
	savedAt time.Duration
	// whole means that the run began without a checkpoint in this term.
	whole bool
	// worked means that the run has spoken for the health of its worker.
	worked       bool
	speedPercent int
	load         int64
	// speedLimit is the speed, in percent, to which a best-effort task is throttled.
	speedLimit int
}

func (r *run) task() work.Task {
	return work.Task{Job: r.step.job.doc.ID, Occurrence: r.step.occurrence.number, Step: r.step.number, Index: r.index}
}

// workerState is a worker with its runs.
type workerState struct {
	// report is the latest registry entry, which may be of another life than the present one.
	report worker.Report
	// endedLives holds the incarnations that have ended, the latest ones only.
	endedLives []int64
	// listed means that the registry lists the worker.
	listed bool
	// contradicted means that the latest registry entry has another address for the present incarnation.
	contradicted bool
	// maxCPU is the largest processor capacity in the registry entries of this incarnation.
	maxCPU int64
	// crashedAt is the time at which a crash of the worker became known, if it has started again under its ID.
	crashedAt time.Duration
	runs      map[work.Task]*run
	used      work.Resources
	// reservations holds the room that is kept for services and urgent jobs.
	reservations []reservation
	// services and bestEffort count the runs of such steps.
	services   int
	bestEffort int
	// cordoned means that the instance is about to be moved or maintained, so the worker gets no tasks. instance is its ID then.
	cordoned bool
	instance string
	// mayLeaveUntil is the time until which an instance command without an answer may be carried out.
	mayLeaveUntil time.Duration
	// unlistedSince is the time since which the registry does not list the worker.
	unlistedSince time.Duration
	// tests counts the runs of suspects that the worker has not survived yet, and testsLikely means that one is likely to crash it.
	tests       int
	testsLikely bool
	health      health.Health
	// workerLife is the present life.
	*workerLife
}

// cordon keeps tasks from a worker whose instance is about to be moved or maintained.
func (ws *workerState) cordon(instance string) { ws.cordoned, ws.instance = true, instance }

// countRun adds n to the number of service or best-effort runs.
func (ws *workerState) countRun(s *work.Step, n int) {
	switch {
	case s.BestEffort:
		ws.bestEffort += n
	case s.Service:
		ws.services += n
	}
}

// freeCapacity returns the capacity that is not in use.
func (ws *workerState) freeCapacity() work.Resources { return ws.report.Capacity.Minus(ws.used) }

// pool is a pool of workers with its jobs.
type pool struct {
	name    string
	jobs    []*job
	workers []*workerState
	// needsPlanning means that something has changed since the last pass that may allow a task to start.
	needsPlanning bool
	// plannedAt is the time at which the pool was last planned.
	plannedAt time.Duration
	// copiesCheckedAt is the time of the latest search for late runs.
	copiesCheckedAt time.Duration
	// candidates is the number of occurrences that had tasks to start in the last pass.
	candidates int
	arrivals   arrivals.Window
	// shares is what the teams use of the pool.
	shares share.Pool
	// load is the work of the batch jobs that waited in the last pass.
	load admission.Load
	// tests holds the runs of suspects whose workers may still crash under them.
	tests []*run
	// preemptions tells of the workers on which runs were stopped for urgent jobs, and roomCheckedAt when that was last considered.
	preemptions   preemption.Window
	roomCheckedAt time.Duration
	// reserved holds the workers with reservations.
	reserved []*workerState
	// overdueAt is the time of the latest pass that found no worker in use with room for a task of a service that is overdue.
	overdueAt time.Duration
	// crashes holds the latest crashes of its workers.
	crashes crashloop.History[crashedUnit]
	// tooWide holds the gangs of which it was logged that they fit nowhere.
	tooWide map[gang.Shape]bool
}

// targetEnd returns the time until which the occurrence has to be done to be within its latency target.
func (o *occurrence) targetEnd(q *catalog.Queue, j *job) time.Duration {
	path := j.criticalPath
	if whole := o.remaining.WholePath(); o.learnsPath && whole > 0 {
		path = whole
	}
	return o.latencyStart(j) + time.Duration(q.Stretch*float64(path)) + q.BaseTarget
}

// latencyStart returns the time from which the latency of an occurrence counts.
func (o *occurrence) latencyStart(j *job) time.Duration {
	if j.doc.ScheduledOccurrences > 0 {
		return o.dueAt
	}
	return j.acceptedAt
}

// ready reports whether the steps that this one depends on are done.
func (s *step) ready() bool {
	for _, after := range s.doc.DependsOn {
		if s.occurrence.steps[after].tasksLeft > 0 {
			return false
		}
	}
	return true
}
