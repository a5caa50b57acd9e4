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

// Behaviour is how tasks of a kind really run, whatever their jobs declare.
type Behaviour struct {
	// RunTime is the run time at full speed. Tasks without a run time run until they are stopped.
	RunTime time.Duration `json:"runTime"`
	// Cores and Memory are the real usage. Zero means as declared.
	Cores  float64 `json:"cores"`
	Memory int64   `json:"memory"`
	// Fails makes each task fail at the end of its run time.
	Fails bool `json:"fails"`
}

// Tasks runs tasks that only pass time.
type Tasks struct {
	lag time.Duration

	mu      sync.Mutex
	kinds   map[string]Behaviour
	broken  map[string]bool
	tokens  map[string]uint64
	tasks   map[string]*task
	saved   map[string]time.Duration
	counter int
}

type task struct {
	spec      provider.TaskSpec
	behaviour Behaviour
	token     uint64
	state     provider.TaskState
	detail    string
	// progress is the work done until at, as run time at full speed.
	progress time.Duration
	at       time.Time
	speed    float64
	expires  time.Time
	// past holds earlier statuses until the lag has passed.
	past []provider.TaskStatus
}

var _ provider.Tasks = (*Tasks)(nil)

func newTasks(o Options) *Tasks {
	return &Tasks{
		lag:    o.StatusLag,
		kinds:  make(map[string]Behaviour),
		broken: make(map[string]bool),
		tokens: make(map[string]uint64),
		tasks:  make(map[string]*task),
		saved:  make(map[string]time.Duration),
	}
}

// SetBehaviour sets how tasks of a kind run that start from now on.
func (s *Tasks) SetBehaviour(kind string, b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[kind] = b
}

// SetWorkerBroken makes a worker fail everything that it starts.
func (s *Tasks) SetWorkerBroken(worker string, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken[worker] = broken
}

// fence refuses a token that is lower than an earlier one of the job.
func (s *Tasks) fence(job string, token uint64) error {
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
	if err := s.fence(spec.Job, spec.Token); err != nil {
		return err
	}
	if _, ok := s.tasks[spec.ID]; ok {
		return nil
	}
	now := time.Now()
	t := &task{spec: spec, behaviour: s.kinds[spec.Kind], token: spec.Token, state: provider.TaskRunning, at: now, speed: 1, expires: now.Add(spec.LeaseDuration)}
	t.progress = s.saved[spec.Checkpoint]
	s.tasks[spec.ID] = t
	if s.broken[spec.Worker] {
		t.end(now, provider.TaskFailed, "worker fails all tasks")
	}
	t.report(now, s.lag)
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
		t, err := s.advance(now, token, id)
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
	return s.change(ctx, token, id, func(now time.Time, t *task) { t.end(now, provider.TaskStopped, "stopped") })
}

// Throttle implements [provider.Tasks].
func (s *Tasks) Throttle(ctx context.Context, token uint64, id string, fraction float64) error {
	return s.change(ctx, token, id, func(_ time.Time, t *task) { t.speed = min(max(fraction, 0), 1) })
}

// Checkpoint implements [provider.Tasks].
func (s *Tasks) Checkpoint(ctx context.Context, token uint64, id string) (string, error) {
	var reference string
	err := s.change(ctx, token, id, func(_ time.Time, t *task) {
		s.counter++
		reference = "checkpoint/" + id + "/" + strconv.Itoa(s.counter)
		s.saved[reference] = t.progress
		t.spec.Checkpoint = reference
	})
	return reference, err
}

func (s *Tasks) change(ctx context.Context, token uint64, id string, act func(time.Time, *task)) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t, err := s.advance(now, token, id)
	if err != nil || t.state != provider.TaskRunning {
		return err
	}
	act(now, t)
	t.report(now, s.lag)
	return nil
}

// advance checks the token and brings the task up to the present.
func (s *Tasks) advance(now time.Time, token uint64, id string) (*task, error) {
	t, ok := s.tasks[id]
	if !ok {
		return nil, fmt.Errorf("task %q: %w", id, provider.ErrNotFound)
	}
	if err := s.fence(t.spec.Job, token); err != nil {
		return nil, err
	}
	t.token = token
	t.run(now, s.lag)
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
		t.run(now, s.lag)
		t.report(now, s.lag)
		if status, ok := t.seen(now.Add(-s.lag)); ok {
			all = append(all, status)
		}
	}
	slices.SortFunc(all, func(a, b provider.TaskStatus) int { return strings.Compare(a.ID, b.ID) })
	return all, nil
}

// run lets time pass for the task: it ends when its lease expires or its work is done.
func (t *task) run(now time.Time, lag time.Duration) {
	if t.state != provider.TaskRunning {
		return
	}
	until, expired := now, false
	if t.spec.LeaseDuration > 0 && now.After(t.expires) {
		until, expired = t.expires, true
	}
	done := t.progress + time.Duration(float64(until.Sub(t.at))*t.speed)
	if length := t.behaviour.RunTime; length > 0 && done >= length {
		end := t.at.Add(time.Duration(float64(length-t.progress) / max(t.speed, 1e-9)))
		t.progress = length
		if t.behaviour.Fails {
			t.end(end, provider.TaskFailed, "failed")
		} else {
			t.end(end, provider.TaskDone, "")
		}
		t.report(end, lag)
		return
	}
	t.progress, t.at = done, until
	if expired {
		t.end(until, provider.TaskStopped, "lease expired")
		t.report(until, lag)
	}
}

func (t *task) end(now time.Time, state provider.TaskState, detail string) {
	t.state, t.detail, t.at = state, detail, now
}

// report adds a status as of now and drops those that the lag no longer hides.
func (t *task) report(now time.Time, lag time.Duration) {
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
	t.past = append(t.past, status)
	visible := 0
	for i, p := range t.past {
		if !p.Reported.After(now.Add(-lag)) {
			visible = i
		}
	}
	t.past = slices.Delete(t.past, 0, visible)
}

// seen returns the newest status that is not newer than at.
func (t *task) seen(at time.Time) (provider.TaskStatus, bool) {
	for i := len(t.past) - 1; i >= 0; i-- {
		if !t.past[i].Reported.After(at) {
			return t.past[i], true
		}
	}
	return provider.TaskStatus{}, false
}
