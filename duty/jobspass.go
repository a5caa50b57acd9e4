package duty

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/job"
	"github.com/chivetiller/chivetiller/provider"
)

// limitPause is how long no job of a team is tried that was found at its limit.
const limitPause = time.Second

// silentTerms is after how many terms a run without any report is given up. The worker has ended it after one.
const silentTerms = 3

// jobsPass is one round over the jobs of a data centre.
type jobsPass struct {
	*centre
	leases  Leases
	now     time.Time
	workers map[string]worker
	jobs    []job.Stored
	status  map[string]provider.TaskStatus
}

func (p *jobsPass) read(ctx context.Context) error {
	var err error
	if p.jobs, err = p.store.List(ctx, p.name); err != nil {
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
	p.status = make(map[string]provider.TaskStatus)
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
		p.status[s.ID] = s
	}
	return nil
}

// apply writes changes under the fence and releases the limits of the runs that ended. Rows of changes
// that did not take effect are left to the next pass.
func (p *jobsPass) apply(ctx context.Context, changes []job.Change) ([]job.Change, error) {
	if len(changes) == 0 {
		return nil, nil
	}
	fence, held := p.leases.Holds(JobsDuty(p.name))
	if !held || fence.Version != p.token {
		return nil, provider.ErrConflict
	}
	applied, limited, err := p.store.Apply(ctx, changes, fence)
	for team := range limited {
		p.limited[team] = p.now.Add(limitPause)
	}
	for _, c := range applied {
		if c.Next.Worker == "" {
			delete(p.started, c.Old.RunID())
		}
	}
	return applied, err
}

// renew extends the leases of the tasks three times in a term. One unknown task fails the whole call, so
// the tasks are then renewed one by one.
func (p *jobsPass) renew(ctx context.Context) {
	if p.now.Sub(p.renewed) < p.options.LeaseDuration/3 {
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
		each(ctx, running, func(ctx context.Context, j job.Stored) error { return p.options.Tasks.Renew(ctx, p.token, j.RunID()) })
	}
	p.renewed = p.now
}

// finish takes the reports of runs that ended, and starts again those that have no report.
func (p *jobsPass) finish(ctx context.Context) error {
	var changes []job.Change
	var silent, lost []job.Stored
	for _, j := range p.jobs {
		if j.State != job.StateRunning && j.State != job.StateCancelling {
			continue
		}
		s, ok := p.status[j.RunID()]
		switch {
		case ok && s.State == provider.TaskRunning:
			p.learner.RecordUsage(j.RunID(), job.Size{Cores: s.Cores, Memory: s.Memory})
			p.started[j.RunID()] = true
		case ok:
			if next, changed := j.ApplyStatus(p.now, s, p.judge(j, s)); changed {
				changes = append(changes, job.Change{Old: j, Next: next})
			}
		case p.workers[j.Worker].missing || p.workers[j.Worker].ID == "" || p.now.Sub(j.Started) > silentTerms*p.options.LeaseDuration:
			silent = append(silent, j)
		case j.State == job.StateRunning && !p.started[j.RunID()]:
			lost = append(lost, j)
		}
	}
	// The start may have been lost. A second one for the same run has no effect.
	p.start(ctx, lost)
	// Stop makes the platform refuse renewals of the run by an earlier holder.
	for _, j := range each(ctx, silent, p.stop) {
		changes = append(changes, job.Change{Old: j, Next: p.stopped(j, "", "worker is gone or does not report the run")})
	}
	applied, err := p.apply(ctx, changes)
	if err == nil {
		p.replace(applied)
	}
	return err
}

// judge learns from the end of a run and reports whether its worker is quarantined.
func (p *jobsPass) judge(j job.Stored, s provider.TaskStatus) bool {
	p.learner.RecordUsage(j.RunID(), job.Size{Cores: s.Cores, Memory: s.Memory})
	p.learner.FinishRun(j.RunID(), j.Spec.Kind, s.Reported.Sub(j.Started), s.State == provider.TaskDone && !j.Throttled)
	p.learned++
	switch s.State {
	case provider.TaskDone:
		p.health.RecordSuccess(j.Worker)
	case provider.TaskFailed:
		if len(j.FailedOn) > 0 {
			// The job has failed elsewhere. Such failures say more about the job: two bad jobs kept the
			// last worker quarantined for hours, and were not given up meanwhile.
			return false
		}
		if p.health.RecordFailure(p.now, j.Worker, j.Spec.Kind) {
			p.options.Logger.Warn("Worker is quarantined: it fails many kinds of job.", "worker", j.Worker)
			return true
		}
	}
	return false
}

// stopped returns the row of a job whose task was stopped before its end.
func (p *jobsPass) stopped(j job.Stored, checkpoint, reason string) job.Job {
	if j.State == job.StateCancelling {
		return j.End(p.now, job.StateCancelled, "cancelled while running")
	}
	return j.Requeue(checkpoint, reason)
}

// stop ends a task. One that the platform does not know has ended as well.
func (p *jobsPass) stop(ctx context.Context, j job.Stored) error {
	err := p.options.Tasks.Stop(ctx, p.token, j.RunID())
	if errors.Is(err, provider.ErrNotFound) {
		return nil
	}
	return err
}

// place makes room for urgent jobs and starts queued ones.
func (p *jobsPass) place(ctx context.Context) error {
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
	p.want(queued)
	if len(queued) == 0 && !slices.ContainsFunc(running, func(j job.Job) bool { return j.Throttled }) {
		return nil
	}
	workers := make([]job.Worker, 0, len(p.workers))
	for _, w := range p.workers {
		workers = append(workers, w.Worker)
	}
	slices.SortFunc(workers, func(a, b job.Worker) int { return compareIDs(a.ID, b.ID) })
	plan := job.Place(queued, running, workers, p.learner.Estimate, func(team string) bool { return !p.now.Before(p.limited[team]) })
	blocked, err := p.makeRoom(ctx, plan, stored)
	if err != nil {
		return err
	}
	return p.startPlaced(ctx, plan, stored, blocked)
}

// want tells the holders of the teams' limits how many jobs wait.
func (p *jobsPass) want(queued []job.Job) {
	if p.options.Limits == nil {
		return
	}
	counts := make(map[string]int)
	for team := range p.wanted {
		counts[team] = 0
	}
	for _, j := range queued {
		counts[j.Spec.Team]++
	}
	for team, count := range counts {
		p.options.Limits.SetJobDemand(team, count)
		if p.wanted[team] = count > 0; count == 0 {
			delete(p.wanted, team)
		}
	}
}

// startPlaced writes and starts the placements, except those on workers that could not make room.
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
	applied, err := p.apply(ctx, changes)
	begun := make([]job.Stored, 0, len(applied))
	for _, c := range applied {
		if c.Next.State == job.StateRunning {
			begun = append(begun, job.Stored{Job: c.Next})
		}
	}
	p.start(ctx, begun)
	p.replace(applied)
	return err
}

// makeRoom throttles or stops the victims of urgent jobs. It returns the workers on which that failed.
func (p *jobsPass) makeRoom(ctx context.Context, plan job.Plan, stored map[string]job.Stored) (map[string]bool, error) {
	blocked := make(map[string]bool)
	fractions := make(map[string]float64)
	var slow, out []job.Stored
	for _, v := range plan.Victims {
		j := stored[v.Job.ID]
		blocked[j.Worker] = true
		if v.Throttle > 0 {
			fractions[j.ID] = v.Throttle
			slow = append(slow, j)
		} else {
			out = append(out, j)
		}
	}
	for _, j := range plan.Restored {
		fractions[j.ID] = 1
		slow = append(slow, stored[j.ID])
	}
	changes := make([]job.Change, 0, len(slow)+len(out))
	slow = each(ctx, slow, func(ctx context.Context, j job.Stored) error {
		return p.options.Tasks.Throttle(ctx, p.token, j.RunID(), fractions[j.ID])
	})
	for _, j := range slow {
		next := j.Job
		next.Throttled = fractions[j.ID] < 1
		changes = append(changes, job.Change{Old: j, Next: next})
	}
	changes = append(changes, p.checkpointAndStop(ctx, out, "stopped for urgent work")...)
	applied, err := p.apply(ctx, changes)
	if err != nil {
		return nil, err
	}
	p.replace(applied)
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

// checkpointAndStop ends runs that continue later and returns the changes of their rows.
func (p *jobsPass) checkpointAndStop(ctx context.Context, jobs []job.Stored, reason string) []job.Change {
	references := make([]string, len(jobs))
	index := make(map[string]int, len(jobs))
	for i, j := range jobs {
		index[j.ID] = i
	}
	done := each(ctx, jobs, func(ctx context.Context, j job.Stored) error {
		limited, cancel := context.WithTimeout(ctx, checkpointLimit)
		defer cancel()
		// Without a new checkpoint the run continues from the one before.
		if reference, err := p.options.Tasks.Checkpoint(limited, p.token, j.RunID()); err == nil {
			references[index[j.ID]] = reference
		}
		return p.stop(ctx, j)
	})
	changes := make([]job.Change, 0, len(done))
	for _, j := range done {
		changes = append(changes, job.Change{Old: j, Next: p.stopped(j, references[index[j.ID]], reason)})
	}
	return changes
}

func (p *jobsPass) start(ctx context.Context, jobs []job.Stored) {
	started := each(ctx, jobs, func(ctx context.Context, j job.Stored) error {
		return p.options.Tasks.Start(ctx, provider.TaskSpec{
			ID: j.RunID(), Job: j.ID, Token: p.token, Worker: j.Worker, Kind: j.Spec.Kind, Cores: j.Spec.Cores, Memory: j.Spec.Memory,
			Accelerators: j.Spec.Accelerators, Checkpoint: j.Checkpoint, Term: p.options.LeaseDuration,
		})
	})
	for _, j := range started {
		p.started[j.RunID()] = true
	}
}

// cancel stops the tasks of cancelled jobs.
func (p *jobsPass) cancel(ctx context.Context) error {
	var cancelled []job.Stored
	for _, j := range p.jobs {
		if j.State == job.StateCancelling && len(cancelled) < cancelsPerPass {
			cancelled = append(cancelled, j)
		}
	}
	cancelled = each(ctx, cancelled, p.stop)
	changes := make([]job.Change, 0, len(cancelled))
	for _, j := range cancelled {
		changes = append(changes, job.Change{Old: j, Next: p.stopped(j, "", "")})
	}
	_, err := p.apply(ctx, changes)
	return err
}

// vacate ends the runs on workers that a planned stop drains. They continue elsewhere.
func (p *jobsPass) vacate(ctx context.Context) error {
	var out []job.Stored
	for _, j := range p.jobs {
		if j.State == job.StateRunning && j.Version != unknownVersion && p.workers[j.Worker].vacate {
			out = append(out, j)
		}
	}
	_, err := p.apply(ctx, p.checkpointAndStop(ctx, out, "worker leaves for maintenance"))
	return err
}

// cleanUp saves what was learned and moves the jobs that ended long ago to the object store.
func (p *jobsPass) cleanUp(ctx context.Context) error {
	var old []job.Stored
	for _, j := range p.jobs {
		if j.State.Ended() && j.Version != unknownVersion && p.now.Sub(j.Ended) > retention {
			old = append(old, j)
		}
	}
	fence, held := p.leases.Holds(JobsDuty(p.name))
	if !held {
		return nil
	}
	if p.learned > 0 && p.now.Sub(p.saved) > saveInterval {
		if err := p.store.SaveKinds(ctx, p.name, p.learner.Kinds(), fence); err != nil {
			return err
		}
		p.learned, p.saved = 0, p.now
	}
	return p.store.Archive(ctx, p.options.Objects, p.name, old, fence)
}

// replace takes changed rows into the pass. Their version is unknown until the next pass; a change of
// such a row fails before that.
func (p *jobsPass) replace(applied []job.Change) {
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
