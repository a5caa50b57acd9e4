package duty

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/job"
	"github.com/chivetiller/chivetiller/provider"
)

// limitRetryDelay is how long no job of a team is started after the team was found at its upper limit.
const limitRetryDelay = time.Second

// silentLeaseDurations is the number of lease durations after which a run without any report is given up. The
// worker has ended the run after one lease duration without a renewal.
const silentLeaseDurations = 3

// jobsPass is one pass over the jobs of a data centre.
type jobsPass struct {
	*dataCentreJobs
	leases  Leases
	now     time.Time
	workers map[string]worker
	jobs    []job.Stored
	// unreadableJobs holds the jobs whose rows cannot be read, and unreadableRuns their tasks that workers report as running.
	unreadableJobs []string
	unreadableRuns []string
	// statusByRun holds the newest report of each run by its ID.
	statusByRun map[string]provider.TaskStatus
}

// readState reads the jobs, the learned kinds if they are not in memory, and the reports of the workers that have
// jobs.
func (p *jobsPass) readState(ctx context.Context) error {
	var err error
	if p.jobs, err = p.store.ListReadable(ctx, p.name, p.unreadable.note("job", &p.unreadableJobs)); err != nil {
		return err
	}
	if p.learner == nil {
		kinds, err := p.store.Kinds(ctx, p.name)
		if err != nil {
			return err
		}
		p.learner = job.NewLearner(kinds)
	}
	busy := make(map[string]bool)
	for _, j := range p.jobs {
		if j.Worker != "" {
			busy[j.Worker] = true
		}
	}
	if len(p.unreadableJobs) > 0 {
		// Their tasks may run on any worker.
		for id := range p.workers {
			busy[id] = true
		}
	}
	p.statusByRun = make(map[string]provider.TaskStatus)
	if len(busy) == 0 {
		return nil
	}
	names := make([]string, 0, len(busy))
	for name := range busy {
		names = append(names, name)
	}
	reported, err := p.options.Tasks.Status(ctx, names...)
	if err != nil {
		return err
	}
	for _, s := range reported {
		p.statusByRun[s.ID] = s
		if s.State == provider.TaskRunning && slices.Contains(p.unreadableJobs, s.Job) {
			p.unreadableRuns = append(p.unreadableRuns, s.ID)
			// The size that the task may take is not known.
			if w, ok := p.workers[s.Worker]; ok {
				w.Unschedulable = true
				p.workers[s.Worker] = w
			}
		}
	}
	return nil
}

// applyChanges writes changes together with the check of the row of the fencing token, and releases the limits of the runs that
// ended. It returns the changes that took effect; the next pass handles the others.
func (p *jobsPass) applyChanges(ctx context.Context, changes []job.Change) ([]job.Change, error) {
	if len(changes) == 0 {
		return nil, nil
	}
	fence, held := p.leases.Holds(JobsDuty(p.name))
	if !held || fence.Version != p.token {
		return nil, provider.ErrConflict
	}
	applied, limited, err := p.store.Apply(ctx, changes, fence)
	for team := range limited {
		p.limitedUntil[team] = p.now.Add(limitRetryDelay)
	}
	for _, c := range applied {
		if c.Next.Worker == "" {
			delete(p.startedRuns, c.Old.RunID())
		}
	}
	return applied, err
}

// renewRuns renews the leases of the running tasks, three times in a lease duration. A call fails as a whole if
// one of its tasks is unknown; the tasks are then renewed one by one.
func (p *jobsPass) renewRuns(ctx context.Context) {
	if p.now.Sub(p.lastRenewal) < p.options.LeaseDuration/3 {
		return
	}
	var ids []string
	var running []job.Stored
	for _, j := range p.jobs {
		if j.State == job.StateRunning {
			ids = append(ids, j.RunID())
			running = append(running, j)
		}
	}
	if len(ids) > 0 && p.options.Tasks.Renew(ctx, p.token, ids...) != nil {
		forEachJob(ctx, running, func(ctx context.Context, j job.Stored) error { return p.options.Tasks.Renew(ctx, p.token, j.RunID()) })
	}
	for _, id := range p.unreadableRuns {
		if err := p.options.Tasks.Renew(ctx, p.token, id); err != nil {
			p.options.Logger.Warn("Task of a job whose row cannot be read was not renewed.", "task", id, "error", err)
		}
	}
	p.lastRenewal = p.now
}

// finishRuns records the runs that ended, starts again those that may never have started, and gives up those
// without a report.
func (p *jobsPass) finishRuns(ctx context.Context) error {
	var changes []job.Change
	var silent, unstarted []job.Stored
	for _, j := range p.jobs {
		if j.State != job.StateRunning && j.State != job.StateCancelling {
			continue
		}
		s, ok := p.statusByRun[j.RunID()]
		switch {
		case ok && s.State == provider.TaskRunning:
			p.learner.RecordUsage(j.RunID(), job.Size{Cores: s.Cores, Memory: s.Memory})
			p.startedRuns[j.RunID()] = true
		case ok:
			if next, changed := j.ApplyStatus(p.now, s, p.recordExit(j, s)); changed {
				changes = append(changes, job.Change{Old: j, Next: next})
			}
		case p.workers[j.Worker].missing || p.workers[j.Worker].ID == "" || p.now.Sub(j.Started) > silentLeaseDurations*p.options.LeaseDuration:
			silent = append(silent, j)
		case j.State == job.StateRunning && !p.startedRuns[j.RunID()]:
			unstarted = append(unstarted, j)
		}
	}
	// The call that starts a run may have been lost. Repeating it for the same run has no effect.
	p.startTasks(ctx, unstarted)
	// Stopping a run makes the platform refuse renewals of it by a previous holder.
	for _, j := range forEachJob(ctx, silent, p.stopTask) {
		changes = append(changes, job.Change{Old: j, Next: p.jobAfterLoss(j)})
	}
	applied, err := p.applyChanges(ctx, changes)
	if err == nil {
		p.updateJobs(applied)
	}
	return err
}

// recordExit updates the learner and the health of the worker after the end of a run. It reports whether the
// failure put the worker into quarantine.
func (p *jobsPass) recordExit(j job.Stored, s provider.TaskStatus) bool {
	p.learner.RecordUsage(j.RunID(), job.Size{Cores: s.Cores, Memory: s.Memory})
	p.learner.FinishRun(j.RunID(), j.Spec.Kind, s.Reported.Sub(j.Started), s.State == provider.TaskDone && !j.Throttled)
	p.unsavedRuns++
	switch s.State {
	case provider.TaskDone:
		p.health.RecordSuccess(j.Worker)
	case provider.TaskFailed:
		if len(j.FailedOn) > 0 {
			// The job has failed on another worker before, so the job is the more likely cause. If such
			// failures counted, two bad jobs would keep the last worker in quarantine for hours, and the jobs
			// would not be given up in that time.
			return false
		}
		if p.health.RecordFailure(p.now, j.Worker, j.Spec.Kind) {
			p.options.Logger.Warn("Worker is quarantined because several kinds of job failed on it.", "worker", j.Worker)
			return true
		}
	}
	return false
}

// jobAfterStop returns the row of a job whose task was stopped before it had finished: cancelled, or queued again
// with the checkpoint.
func (p *jobsPass) jobAfterStop(j job.Stored, checkpoint, reason string) job.Job {
	if j.State == job.StateCancelling {
		return j.End(p.now, job.StateCancelled, "cancelled while running")
	}
	return j.Requeue(checkpoint, reason)
}

// jobAfterLoss returns the row of a job whose worker is gone or does not report the run. A planned stop of the worker does not count
// against the job.
func (p *jobsPass) jobAfterLoss(j job.Stored) job.Job {
	w := p.workers[j.Worker]
	if j.State == job.StateCancelling || w.vacate {
		return p.jobAfterStop(j, "", "worker is gone or does not report the run")
	}
	if w.ID != "" && !w.missing {
		next := j.LoseContact(p.now, "worker does not report the run")
		p.options.Logger.Warn("Worker of a job does not report its run.", "job", j.ID, "worker", j.Worker, "attempt", j.Attempt, "stops", next.Stops, "state", string(next.State))
		return next
	}
	next := j.LoseWorker(p.now, "worker is gone")
	p.options.Logger.Warn("Worker of a job was lost.", "job", j.ID, "worker", j.Worker, "attempt", j.Attempt, "lostOn", next.LostOn, "state", string(next.State))
	return next
}

// stopTask stops a task. A task that the platform does not know has ended already.
func (p *jobsPass) stopTask(ctx context.Context, j job.Stored) error {
	err := p.options.Tasks.Stop(ctx, p.token, j.RunID())
	if errors.Is(err, provider.ErrNotFound) {
		return nil
	}
	return err
}

// placeJobs makes room for urgent jobs and starts queued ones.
func (p *jobsPass) placeJobs(ctx context.Context) error {
	var queued, running []job.Job
	stored := make(map[string]job.Stored, len(p.jobs))
	for _, j := range p.jobs {
		stored[j.ID] = j
		switch {
		case j.State == job.StateQueued:
			queued = append(queued, j.Job)
		case !j.State.Ended():
			running = append(running, j.Job)
		}
	}
	p.reportWaitingJobs(queued)
	if len(queued) == 0 && !slices.ContainsFunc(running, func(j job.Job) bool { return j.Throttled }) {
		return nil
	}
	workers := make([]job.Worker, 0, len(p.workers))
	for _, w := range p.workers {
		workers = append(workers, w.Worker)
	}
	slices.SortFunc(workers, func(a, b job.Worker) int { return compareIDs(a.ID, b.ID) })
	plan := job.Place(queued, running, workers, p.learner.Estimate, func(team string) bool { return !p.now.Before(p.limitedUntil[team]) })
	blocked, err := p.makeRoom(ctx, plan, stored)
	if err != nil {
		return err
	}
	return p.startPlaced(ctx, plan, stored, blocked)
}

// reportWaitingJobs reports the number of queued jobs of each team to the limits, so that the holders of a team's
// allotment return what they do not use.
func (p *jobsPass) reportWaitingJobs(queued []job.Job) {
	if p.options.Limits == nil {
		return
	}
	counts := make(map[string]int)
	for team := range p.waitingTeams {
		counts[team] = 0
	}
	for _, j := range queued {
		counts[j.Spec.Team]++
	}
	for team, count := range counts {
		p.options.Limits.SetJobDemand(team, count)
		if p.waitingTeams[team] = count > 0; count == 0 {
			delete(p.waitingTeams, team)
		}
	}
}

// startPlaced writes and starts the placements, except those on blocked workers, where no room could be made. It
// also ends the jobs that no worker can run.
func (p *jobsPass) startPlaced(ctx context.Context, plan job.Plan, stored map[string]job.Stored, blocked map[string]bool) error {
	changes := make([]job.Change, 0, len(plan.Placements)+len(plan.Impossible)+len(plan.Exhausted))
	for _, placed := range plan.Placements {
		if !blocked[placed.Worker] {
			changes = append(changes, job.Change{Old: stored[placed.Job.ID], Next: placed.Job.Start(p.now, placed.Worker)})
		}
	}
	for _, j := range plan.Exhausted {
		changes = append(changes, job.Change{Old: stored[j.ID], Next: j.End(p.now, job.StateFailed, "failed on every worker that is large enough: "+j.Reason)})
	}
	for _, j := range plan.Impossible {
		changes = append(changes, job.Change{Old: stored[j.ID], Next: j.End(p.now, job.StateImpossible, "larger than every worker of the data centre")})
	}
	applied, err := p.applyChanges(ctx, changes)
	begun := make([]job.Stored, 0, len(applied))
	for _, c := range applied {
		if c.Next.State == job.StateRunning {
			begun = append(begun, job.Stored{Job: c.Next})
		}
	}
	p.startTasks(ctx, begun)
	p.updateJobs(applied)
	return err
}

// makeRoom throttles or stops the victims of urgent jobs, and restores the speed of tasks that need not be
// throttled any more. It returns the workers on which it failed.
func (p *jobsPass) makeRoom(ctx context.Context, plan job.Plan, stored map[string]job.Stored) (map[string]bool, error) {
	blocked := make(map[string]bool)
	throttleFractions := make(map[string]float64)
	var toThrottle, toStop []job.Stored
	for _, v := range plan.Victims {
		j := stored[v.Job.ID]
		blocked[j.Worker] = true
		if v.Throttle > 0 {
			throttleFractions[j.ID] = v.Throttle
			toThrottle = append(toThrottle, j)
		} else {
			toStop = append(toStop, j)
		}
	}
	for _, j := range plan.Restored {
		throttleFractions[j.ID] = 1
		toThrottle = append(toThrottle, stored[j.ID])
	}
	changes := make([]job.Change, 0, len(toThrottle)+len(toStop))
	toThrottle = forEachJob(ctx, toThrottle, func(ctx context.Context, j job.Stored) error {
		return p.options.Tasks.Throttle(ctx, p.token, j.RunID(), throttleFractions[j.ID])
	})
	for _, j := range toThrottle {
		next := j.Job
		next.Throttled = throttleFractions[j.ID] < 1
		changes = append(changes, job.Change{Old: j, Next: next})
	}
	changes = append(changes, p.checkpointAndStop(ctx, toStop, "stopped for urgent work")...)
	applied, err := p.applyChanges(ctx, changes)
	if err != nil {
		return nil, err
	}
	p.updateJobs(applied)
	failed := make(map[string]int)
	for _, v := range plan.Victims {
		failed[stored[v.Job.ID].Worker]++
	}
	for _, c := range applied {
		if failed[c.Old.Worker]--; failed[c.Old.Worker] <= 0 {
			delete(blocked, c.Old.Worker)
		}
	}
	return blocked, nil
}

// checkpointAndStop stops runs whose jobs continue later from a checkpoint, and returns the changes of their rows.
func (p *jobsPass) checkpointAndStop(ctx context.Context, jobs []job.Stored, reason string) []job.Change {
	references := make([]string, len(jobs))
	index := make(map[string]int, len(jobs))
	for i, j := range jobs {
		index[j.ID] = i
	}
	done := forEachJob(ctx, jobs, func(ctx context.Context, j job.Stored) error {
		checkpointCtx, cancel := context.WithTimeout(ctx, checkpointTimeout)
		defer cancel()
		// If this fails, the job continues from its previous checkpoint.
		if reference, err := p.options.Tasks.Checkpoint(checkpointCtx, p.token, j.RunID()); err == nil {
			references[index[j.ID]] = reference
		}
		return p.stopTask(ctx, j)
	})
	changes := make([]job.Change, 0, len(done))
	for _, j := range done {
		changes = append(changes, job.Change{Old: j, Next: p.jobAfterStop(j, references[index[j.ID]], reason)})
	}
	return changes
}

// startTasks starts the current runs of jobs. Failed calls are repeated in the next pass.
func (p *jobsPass) startTasks(ctx context.Context, jobs []job.Stored) {
	started := forEachJob(ctx, jobs, func(ctx context.Context, j job.Stored) error {
		return p.options.Tasks.Start(ctx, provider.TaskSpec{
			ID: j.RunID(), Job: j.ID, Token: p.token, Worker: j.Worker, Kind: j.Spec.Kind, Cores: j.Spec.Cores, Memory: j.Spec.Memory,
			Accelerators: j.Spec.Accelerators, Checkpoint: j.Checkpoint, LeaseDuration: p.options.LeaseDuration,
		})
	})
	for _, j := range started {
		p.startedRuns[j.RunID()] = true
	}
}

// stopCancelled stops tasks of cancelled jobs, up to cancelsPerPass.
func (p *jobsPass) stopCancelled(ctx context.Context) error {
	var cancelled []job.Stored
	for _, j := range p.jobs {
		if j.State == job.StateCancelling && len(cancelled) < cancelsPerPass {
			cancelled = append(cancelled, j)
		}
	}
	cancelled = forEachJob(ctx, cancelled, p.stopTask)
	changes := make([]job.Change, 0, len(cancelled))
	for _, j := range cancelled {
		changes = append(changes, job.Change{Old: j, Next: p.jobAfterStop(j, "", "")})
	}
	_, err := p.applyChanges(ctx, changes)
	return err
}

// vacateWorkers stops the runs on workers that a planned stop drains. The jobs continue on other workers.
func (p *jobsPass) vacateWorkers(ctx context.Context) error {
	var toStop []job.Stored
	for _, j := range p.jobs {
		if j.State == job.StateRunning && j.Version != unknownVersion && p.workers[j.Worker].vacate {
			toStop = append(toStop, j)
		}
	}
	_, err := p.applyChanges(ctx, p.checkpointAndStop(ctx, toStop, "worker leaves for maintenance"))
	return err
}

// cleanUp saves what was learned about job kinds, and moves the jobs that ended more than endedJobRetention ago to
// the object store.
func (p *jobsPass) cleanUp(ctx context.Context) error {
	var old []job.Stored
	for _, j := range p.jobs {
		if j.State.Ended() && j.Version != unknownVersion && p.now.Sub(j.Ended) > endedJobRetention {
			old = append(old, j)
		}
	}
	fence, held := p.leases.Holds(JobsDuty(p.name))
	if !held {
		return nil
	}
	if p.unsavedRuns > 0 && p.now.Sub(p.lastSave) > kindsSaveInterval {
		if err := p.store.SaveKinds(ctx, p.name, p.learner.Kinds(), fence); err != nil {
			return err
		}
		p.unsavedRuns, p.lastSave = 0, p.now
	}
	return p.store.Archive(ctx, p.options.Objects, p.name, old, fence)
}

// updateJobs copies changed rows into the pass. The versions of these rows are unknown until the next pass, so a
// further change of them in this pass fails.
func (p *jobsPass) updateJobs(applied []job.Change) {
	byID := make(map[string]job.Job, len(applied))
	for _, c := range applied {
		byID[c.Next.ID] = c.Next
	}
	for i, j := range p.jobs {
		if next, ok := byID[j.ID]; ok {
			p.jobs[i] = job.Stored{Job: next, Version: unknownVersion}
		}
	}
}

// unknownVersion is a version that no row has.
const unknownVersion = ^uint64(0)

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
