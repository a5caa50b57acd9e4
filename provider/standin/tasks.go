package standin

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/provider"
)

// Behaviour is the actual behaviour of tasks of a kind, which may differ from what their jobs declare.
type Behaviour struct {
	// RunTime is the run time at full speed. Tasks without a run time run until they are stopped.
	RunTime time.Duration `json:"runTime"`
	// Cores and Memory are the actual usage. Memory is in bytes. Zero means as declared.
	Cores  float64 `json:"cores"`
	Memory int64   `json:"memory"`
	// Fails makes each task fail at the end of its run time.
	Fails bool `json:"fails"`
}

// Tasks simulates tasks, which do nothing but take time.
type Tasks struct {
	lag time.Duration

	mu              sync.Mutex
	behaviours      map[string]Behaviour
	brokenWorkers   map[string]bool
	tokens          map[string]uint64
	tasks           map[string]*task
	checkpoints     map[string]time.Duration
	checkpointCount int
}

type task struct {
	spec      provider.TaskSpec
	behaviour Behaviour
	token     uint64
	state     provider.TaskState
	detail    string
	// progress is the work done until progressAt, as run time at full speed.
	progress   time.Duration
	progressAt time.Time
	speed      float64
	expires    time.Time
	// statuses holds the newest visible status and the later ones, which the lag still hides.
	statuses []provider.TaskStatus
}

var _ provider.Tasks = (*Tasks)(nil)

func newTasks(o Options) *Tasks {
	return &Tasks{
		lag:           o.StatusLag,
		behaviours:    make(map[string]Behaviour),
		brokenWorkers: make(map[string]bool),
		tokens:        make(map[string]uint64),
		tasks:         make(map[string]*task),
		checkpoints:   make(map[string]time.Duration),
	}
}

// SetBehaviour sets the behaviour of tasks of a kind. It applies to tasks that start later.
func (s *Tasks) SetBehaviour(kind string, b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviours[kind] = b
}

// SetWorkerBroken sets whether a worker fails every task that it starts.
func (s *Tasks) SetWorkerBroken(worker string, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brokenWorkers[worker] = broken
}

// checkToken fails with ErrConflict if the fencing token is lower than an earlier one of the job.
func (s *Tasks) checkToken(job string, token uint64) error {
	if highest := s.tokens[job]; token < highest {
		return fmt.Errorf("%w: token %d of job %q is lower than %d", provider.ErrConflict, token, job, highest)
	}
	s.tokens[job] = token
	return nil
}

// Start implements [provider.Tasks].
func (s *Tasks) Start(ctx context.Context, spec provider.TaskSpec) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkToken(spec.Job, spec.Token); err != nil {
		return err
	}
	if _, ok := s.tasks[spec.ID]; ok {
		return nil
	}
	now := time.Now()
	t := &task{spec: spec, behaviour: s.behaviours[spec.Kind], token: spec.Token, state: provider.TaskRunning, progressAt: now, speed: 1, expires: now.Add(spec.LeaseDuration)}
	t.progress = s.checkpoints[spec.Checkpoint]
	s.tasks[spec.ID] = t
	if s.brokenWorkers[spec.Worker] {
		t.setEnded(now, provider.TaskFailed, "worker fails all tasks")
	}
	t.appendStatus(now, s.lag)
	return nil
}

// Renew implements [provider.Tasks].
func (s *Tasks) Renew(ctx context.Context, token uint64, ids ...string) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		t, err := s.advanceTask(now, token, id)
		if err != nil {
			return err
		}
		if t.state == provider.TaskRunning {
			t.expires = now.Add(t.spec.LeaseDuration)
		}
	}
	return nil
}

// Stop implements [provider.Tasks].
func (s *Tasks) Stop(ctx context.Context, token uint64, id string) error {
	return s.updateTask(ctx, token, id, func(now time.Time, t *task) { t.setEnded(now, provider.TaskStopped, "stopped") })
}

// Throttle implements [provider.Tasks].
func (s *Tasks) Throttle(ctx context.Context, token uint64, id string, fraction float64) error {
	return s.updateTask(ctx, token, id, func(_ time.Time, t *task) { t.speed = min(max(fraction, 0), 1) })
}

// Checkpoint implements [provider.Tasks].
func (s *Tasks) Checkpoint(ctx context.Context, token uint64, id string) (string, error) {
	var reference string
	err := s.updateTask(ctx, token, id, func(_ time.Time, t *task) {
		s.checkpointCount++
		reference = "checkpoint/" + id + "/" + strconv.Itoa(s.checkpointCount)
		s.checkpoints[reference] = t.progress
		t.spec.Checkpoint = reference
	})
	return reference, err
}

// updateTask applies act to a running task and adds a status. It does nothing if the task has ended.
func (s *Tasks) updateTask(ctx context.Context, token uint64, id string, act func(time.Time, *task)) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t, err := s.advanceTask(now, token, id)
	if err != nil || t.state != provider.TaskRunning {
		return err
	}
	act(now, t)
	t.appendStatus(now, s.lag)
	return nil
}

// advanceTask checks the token and simulates the task until now.
func (s *Tasks) advanceTask(now time.Time, token uint64, id string) (*task, error) {
	t, ok := s.tasks[id]
	if !ok {
		return nil, fmt.Errorf("task %q: %w", id, provider.ErrNotFound)
	}
	if err := s.checkToken(t.spec.Job, token); err != nil {
		return nil, err
	}
	t.token = token
	t.advanceTo(now, s.lag)
	return t, nil
}

// Status implements [provider.Tasks].
func (s *Tasks) Status(ctx context.Context, workers ...string) ([]provider.TaskStatus, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", provider.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var all []provider.TaskStatus
	for _, t := range s.tasks {
		if len(workers) > 0 && !slices.Contains(workers, t.spec.Worker) {
			continue
		}
		t.advanceTo(now, s.lag)
		t.appendStatus(now, s.lag)
		if status, ok := t.statusAt(now.Add(-s.lag)); ok {
			all = append(all, status)
		}
	}
	slices.SortFunc(all, func(a, b provider.TaskStatus) int { return strings.Compare(a.ID, b.ID) })
	return all, nil
}

// advanceTo simulates the task until now. The task ends when its lease expires or its work is done.
func (t *task) advanceTo(now time.Time, lag time.Duration) {
	if t.state != provider.TaskRunning {
		return
	}
	until, expired := now, false
	if t.spec.LeaseDuration > 0 && now.After(t.expires) {
		until, expired = t.expires, true
	}
	done := t.progress + time.Duration(float64(until.Sub(t.progressAt))*t.speed)
	if length := t.behaviour.RunTime; length > 0 && done >= length {
		end := t.progressAt.Add(time.Duration(float64(length-t.progress) / max(t.speed, 1e-9)))
		t.progress = length
		if t.behaviour.Fails {
			t.setEnded(end, provider.TaskFailed, "failed")
		} else {
			t.setEnded(end, provider.TaskDone, "")
		}
		t.appendStatus(end, lag)
		return
	}
	t.progress, t.progressAt = done, until
	if expired {
		t.setEnded(until, provider.TaskStopped, "lease expired")
		t.appendStatus(until, lag)
	}
}

func (t *task) setEnded(now time.Time, state provider.TaskState, detail string) {
	t.state, t.detail, t.progressAt = state, detail, now
}

// appendStatus adds a status as of now and drops the visible statuses except the newest.
func (t *task) appendStatus(now time.Time, lag time.Duration) {
	status := provider.TaskStatus{
		ID: t.spec.ID, Job: t.spec.Job, Worker: t.spec.Worker, State: t.state, Token: t.token,
		Checkpoint: t.spec.Checkpoint, Reported: now, Detail: t.detail,
	}
	if t.state == provider.TaskRunning {
		status.Cores, status.Memory = t.spec.Cores, t.spec.Memory
		if t.behaviour.Cores > 0 {
			status.Cores = t.behaviour.Cores
		}
		if t.behaviour.Memory > 0 {
			status.Memory = t.behaviour.Memory
		}
		status.Cores *= t.speed
	}
	t.statuses = append(t.statuses, status)
	visible := 0
	for i, p := range t.statuses {
		if !p.Reported.After(now.Add(-lag)) {
			visible = i
		}
	}
	t.statuses = slices.Delete(t.statuses, 0, visible)
}

// statusAt returns the newest status that was reported at the given time or earlier.
func (t *task) statusAt(at time.Time) (provider.TaskStatus, bool) {
	for i := len(t.statuses) - 1; i >= 0; i-- {
		if !t.statuses[i].Reported.After(at) {
			return t.statuses[i], true
		}
	}
	return provider.TaskStatus{}, false
}
