package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// job is a job with what runs of it.
type job struct {
	doc      work.Job
	progress *work.Progress
	// stored is the state that the store holds. Clients are shown no other.
	storedState work.State
	// open holds the occurrences that have begun and are not complete.
	open map[int]*occurrence
	// next is the first occurrence that has not begun.
	nextOccurrence int
	// begun means that a task has started.
	started bool
	// accepted is when the job was accepted, on the own clock.
	acceptedAt time.Duration
	// ended is when the job ended, on the own clock.
	endedAt time.Duration
	// chain is the longest chain of estimated work.
	criticalPath time.Duration
	// service means that a step runs until the job is cancelled.
	service bool
}

// occurrence is one run of the steps of a job.
type occurrence struct {
	number   int
	steps    []*step
	progress *work.OccurrenceProgress
	// recorded lists the workers that the store names for the occurrence.
	recordedWorkers []string
	// due is when it was due, on the own clock.
	dueAt time.Duration
	// chain and left cache the estimated chain and work that are left. They hold while known is set.
	criticalPath    time.Duration
	coreSecondsLeft float64
	cached          bool
}

// step is a step of an occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	number     int
	doc        *work.Step
	progress   *work.StepProgress
	tasks      []task
	// left counts the tasks that are not done.
	tasksLeft int
	// idle counts the tasks that are neither done nor running.
	idleTasks int
	// tickets holds the workers that may run the step, if the queue has a policy.
	tickets *tickets
	// gangRun is the number of the latest run of a gang.
	gangRun int
	// notBefore delays the next start of a gang.
	notBefore time.Duration
}

// tickets is what the policy service granted for a step.
type tickets struct {
	byWorker   map[string]string
	validUntil time.Duration
	pending    bool
}

// task is a task of a step.
type task struct {
	runs []*run
	// lastRun is the highest run number used.
	lastRun int
	// endedRun is the highest run number that a worker has listed as ended.
	exitedRun int
	// notBefore delays the next start.
	notBefore time.Duration
	done      bool
	// lastWorker is where the latest run ended without being done, and failed when it failed there.
	lastWorker string
	failedAt   time.Duration
}

type phase int

const (
	// planned runs are recorded in the store before they are ordered.
	planned phase = iota
	starting
	running
	stopping
)

// run is one run of a task on a worker. It takes up room until its end is known.
type run struct {
	step   *step
	index  int
	number int
	worker *workerState
	phase  phase
	// since is when the run was ordered, and confirmed when the worker first named it.
	startedAt   time.Duration
	confirmedAt time.Duration
	// missing counts the reports in a row that should name the run and do not.
	missingReports int
	// tries counts the orders that got no answer.
	unanswered int
	// stopped is when the stop was ordered last.
	stopSentAt time.Duration
	checkpoint string
	percent    int
	load       int64
	// moved is when the percentage last changed.
	progressedAt time.Duration
	// pace is the share of its speed that a filler may use.
	allowedPercent int
}

func (r *run) task() work.Task {
	return work.Task{Job: r.step.job.doc.ID, Occurrence: r.step.occurrence.number, Step: r.step.number, Index: r.index}
}

// host is a worker with its lease.
type workerState struct {
	report worker.Report
	// listed means that the registry names the worker.
	listed bool
	// touched means that the worker has answered under the own fence.
	answered bool
	// reached is when the worker answered under the own fence for the first time.
	firstAnswer time.Duration
	// reported is when the last report was taken, and reportClock the clock of the worker in it.
	reportedAt  time.Duration
	reportClock time.Duration
	// looked is when a report was asked for at once.
	polledAt time.Duration
	// silent means that the log says that the worker does not answer.
	unresponsive bool
	// lapsed means that the lease has run out since the worker last answered.
	leaseExpired bool
	runs         map[work.Task]*run
	used         work.Resources
	// services and fillers count the runs of such steps.
	services   int
	bestEffort int
	// foreign counts the runs in the last report that are not booked.
	unknownRuns int
	// clock is the clock of the worker in an answer that was sent for at sent and received at received.
	clock         time.Duration
	clockSent     time.Duration
	clockReceived time.Duration
	// until is the latest end of a lease that was asked for, on the clock of the worker.
	leaseUntil time.Duration
	// seen is the highest end that was processed, and stored the highest one whose effect is stored.
	exitsProcessed uint64
	exitsStored    uint64
	// contact is when the worker last answered.
	lastContact time.Duration
	// closed is until when the worker gets no tasks.
	closedUntil time.Duration
	// draining is since when the worker is known to leave.
	drainingSince time.Duration
	// reserved means that the instance is about to be moved or maintained.
	cordoned bool
	// unlisted is since when the registry does not name the worker.
	unlistedSince time.Duration
	// late holds the starts that got no answer.
	unansweredStarts []unansweredStart
	health           health
	// paced is when the fillers were paced last.
	throttledAt time.Duration
}

// clockAt returns the latest that the clock of the worker can show at an own time.
func (ws *workerState) maxClockAt(now time.Duration) time.Duration {
	return ws.clock + now - ws.clockSent
}

// lapseAt returns when all that runs on the worker has surely ended, if the lease is not renewed.
func (ws *workerState) leaseExpiry() time.Duration {
	if ws.leaseUntil <= ws.clock {
		return ws.clockReceived
	}
	return ws.clockReceived + time.Duration(float64(ws.leaseUntil-ws.clock)/(1-maxClockSlowdown)) + expiryMargin
}

// count adds n runs of a step to the counts of the worker.
func (ws *workerState) countRun(s *work.Step, n int) {
	switch {
	case s.Filler:
		ws.bestEffort += n
	case s.Service:
		ws.services += n
	}
}

// room returns what is free on the worker.
func (ws *workerState) freeCapacity() work.Resources { return ws.report.Capacity.Minus(ws.used) }

// pool is a pool of workers with its jobs.
type pool struct {
	name    string
	jobs    []*job
	workers []*workerState
	// dirty means that something has changed since the last pass that may let a task start.
	dirty bool
	// tried is when the pool was planned last.
	plannedAt time.Duration
	// arrivals holds the jobs that came lately.
	arrivals []arrival
}

// remaining returns the estimated chain and work that are left, in core-seconds.
func (o *occurrence) remainingWork(estimate func(*step) time.Duration) (chain time.Duration, coreSeconds float64) {
	if o.cached {
		return o.criticalPath, o.coreSecondsLeft
	}
	var buffer [work.MaxSteps]time.Duration
	for i, s := range o.steps {
		var start time.Duration
		for _, after := range s.doc.After {
			start = max(start, buffer[after])
		}
		if s.tasksLeft > 0 {
			e := estimate(s)
			start += e
			coreSeconds += float64(s.tasksLeft) * float64(s.doc.Request.CPU) / 1000 * e.Seconds()
		}
		buffer[i] = start
		chain = max(chain, start)
	}
	o.criticalPath, o.coreSecondsLeft, o.cached = chain, coreSeconds, true
	return chain, coreSeconds
}

// objective returns when the occurrence has to be done to count as in time.
func (o *occurrence) objectiveAt(q *catalog.Queue, j *job) time.Duration {
	return o.objectiveStart(j) + time.Duration(q.Stretch*float64(j.criticalPath)) + q.Goal
}

// start returns when the time of an occurrence begins to count.
func (o *occurrence) objectiveStart(j *job) time.Duration {
	if j.doc.Times > 0 {
		return o.dueAt
	}
	return j.acceptedAt
}

// ready reports whether the steps before are done.
func (s *step) ready() bool {
	for _, after := range s.doc.After {
		if s.occurrence.steps[after].tasksLeft > 0 {
			return false
		}
	}
	return true
}
