package promises

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Resources are what a task needs or a worker has: thousandths of a core, MB of memory, and GPUs.
type Resources struct{ CPU, Memory, GPU int64 }

// Step is a step of a job.
type Step struct {
	Count int
	// Needs is what each task needs.
	Needs Resources
	// After lists the steps that have to be done first.
	After []int
	// Gang means that the tasks work only together. LongRunning tasks run until the job is cancelled.
	Gang, LongRunning, Speculative bool
	// Requires is a label that the worker must have, if any.
	Requires string
	// MaxPerWorker is the highest number of tasks on a worker, if it is not 0.
	MaxPerWorker int
	// MayMiss is the disruption budget: how many tasks of a long-running step may be away because of the system.
	MayMiss int
}

// Job is a job as a client submits it.
type Job struct {
	ID, Queue, Spec string
	// Occurrences is 0 for a job that runs once.
	Occurrences int
	Steps       []Step
	// Deadly means that its tasks take their workers down, so that crashes are a cause to give it up.
	Deadly bool
}

// Task names a task.
type Task struct {
	Job                     string
	Occurrence, Step, Index int
}

func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTask returns the task with a name such as 5c0e7a21d94b36f8.0.1.17.
func ParseTask(name string) (Task, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, fmt.Errorf("task %q does not have four parts", name)
	}
	t := Task{Job: parts[0]}
	for i, to := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return Task{}, fmt.Errorf("task %q: %w", name, err)
		}
		*to = n
	}
	return t, nil
}

// Run identifies a run of a task in a life of a worker.
type Run struct {
	Task   Task
	Number int
	Worker string
	// Life is the number of the start of the worker under its ID.
	Life int
	// Fence is the fencing token of the command, if it is known. It does not identify the run.
	Fence uint64
}

func (r Run) String() string {
	return fmt.Sprintf("run %d of task %s on worker %s (life %d)", r.Number, r.Task, r.Worker, r.Life)
}

// How is the way in which a run ended.
type How string

// The ways in which a run ends. Crashed means that the worker went down with it, and SwitchedOff that the system moved or maintained
// the instance.
const (
	Done        How = "done"
	Failed      How = "failed"
	Stopped     How = "stopped"
	Lapsed      How = "lapsed"
	Broken      How = "broken"
	Alone       How = "alone"
	Crashed     How = "crashed"
	SwitchedOff How = "switched off"
)

// State is a state of a job.
type State string

// The states of a job.
const (
	Pending   State = "pending"
	Running   State = "running"
	Finished  State = "finished"
	FailedJob State = "failed"
	Cancelled State = "cancelled"
)

// Answer is the end of a call of a client.
type Answer struct {
	// Status is the status code, or 0 without an answer.
	Status int
	// State is the state of the job, if the call asked for it.
	State State
	// BrokenOff means that the process had the whole request and the connection ended without a whole answer, not by the client.
	BrokenOff bool
	// Unread means that the connection was reset: the process closed it, or ended, before it had read the whole request.
	Unread bool
}

// Worker is a life of a worker.
type Worker struct {
	ID, Pool, Zone string
	Life           int
	Labels         []string
	Capacity       Resources
}

// Queue is a queue of a configuration.
type Queue struct {
	// Pool is the pool whose workers run the tasks.
	Pool     string
	Attempts int
	// Public means that no key is needed.
	Public bool
}

// Team is a team of a configuration. A limit of 0 is no limit.
type Team struct {
	Keys  []string
	Limit Resources
}

// Configuration is what the operator writes.
type Configuration struct {
	Version int
	Queues  map[string]Queue
	Teams   map[string]Team
}

// Kind is a kind of disruption.
type Kind string

// Kinds of disruptions. Planned is a planned stop of a process, Reload a change of its settings, and Maintenance a planned exit of a worker.
// All others are unplanned.
const (
	Planned     Kind = "planned stop"
	Reload      Kind = "reload"
	Maintenance Kind = "maintenance"
	Killed      Kind = "killed"
	Frozen      Kind = "frozen"
	Cut         Kind = "cut off"
	Delayed     Kind = "delayed"
	Reset       Kind = "reset"
	Slow        Kind = "slow"
	Down        Kind = "down"
	Forgets     Kind = "forgets history"
	LosesAnswer Kind = "loses answers"
	LateCommand Kind = "commands carried out late"
	Unhealthy   Kind = "unhealthy"
	started     Kind = "started"
	gone        Kind = "gone"
)

// Store is the target of disruptions of the store. Other targets are names of processes and IDs of workers.
const Store = "store"

// moment is a time since the start of a history. What has not happened is at never.
type moment = time.Duration

// never is far enough from the end of the range for bounds to be added.
const never moment = math.MaxInt64 / 2

type callKind int

const (
	submitCall callKind = iota
	cancelCall
	askCall
	plainCall
)

// call is a call of a client.
type call struct {
	kind                    callKind
	process, key, queue, id string
	job                     Job
	begun, ended            moment
	answer                  Answer
}

// run is a run with what became of it.
type run struct {
	Run
	begun, atWork, commanded, ended, acked moment
	how                                    How
	late                                   bool
}

type life struct {
	Worker
	begun, draining, ended moment
	lapses                 []moment
	// left means that the end is no disruption.
	left bool
}

type configuration struct {
	Configuration
	sent, acked moment
}

type incarnation struct {
	process               string
	begun, stopped, ended moment
}

type disruption struct {
	kind         Kind
	target       string
	begun, ended moment
}

// History is what clients and workers have seen. It is safe for concurrent use. Each method records the time of its call.
type History struct {
	start time.Time
	clock func() time.Time

	mu             sync.Mutex
	loadEnded      moment
	calls          []*call
	runs           []*run
	byRun          map[Run]*run
	lives          []*life
	configurations []*configuration
	incarnations   []*incarnation
	disruptions    []*disruption
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return NewHistoryAt(time.Now(), time.Now)
}

// NewHistoryAt returns an empty history that began at a time, with another clock, for what was seen before.
func NewHistoryAt(start time.Time, clock func() time.Time) *History {
	return &History{start: start, clock: clock, loadEnded: never, byRun: make(map[Run]*run)}
}

// Start returns the time from which the times of the history count.
func (h *History) Start() time.Time { return h.start }

// record calls a function with the lock and the time.
func (h *History) record(f func(now moment)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.clock().Sub(h.start))
}

// LoadEnded records that clients submit no more jobs. They only ask for states from then on.
func (h *History) LoadEnded() { h.record(func(now moment) { h.loadEnded = now }) }

// begin records a call, and returns the function that records its answer.
func (h *History) begin(c call) (answered func(Answer)) {
	h.record(func(now moment) {
		c.begun, c.ended = now, never
		h.calls = append(h.calls, &c)
	})
	return func(a Answer) { h.record(func(now moment) { c.ended, c.answer = now, a }) }
}

// Submit records that a client sends a job to a process. The function that it returns records the answer. All attempts at one job have
// the same ID.
func (h *History) Submit(process, key string, job Job) (answered func(Answer)) {
	return h.begin(call{kind: submitCall, process: process, key: key, queue: job.Queue, id: job.ID, job: job})
}

// Cancel records that a client sends a cancellation.
func (h *History) Cancel(process, key, queue, id string) (answered func(Answer)) {
	return h.begin(call{kind: cancelCall, process: process, key: key, queue: queue, id: id})
}

// Ask records that a client asks for the state of a job.
func (h *History) Ask(process, key, queue, id string) (answered func(Answer)) {
	return h.begin(call{kind: askCall, process: process, key: key, queue: queue, id: id})
}

// Call records any other call on a queue, such as one with a withdrawn key or on a queue that was removed.
func (h *History) Call(process, key, queue string) (answered func(Answer)) {
	return h.begin(call{kind: plainCall, process: process, key: key, queue: queue})
}

// Configure records that the operator writes a configuration. The function that it returns records that the store has acknowledged it.
// Versions must rise.
func (h *History) Configure(c Configuration) (acknowledged func()) {
	v := &configuration{Configuration: c, acked: never}
	h.record(func(now moment) {
		v.sent = now
		h.configurations = append(h.configurations, v)
	})
	return func() { h.record(func(now moment) { v.acked = now }) }
}

// Disrupt records that a disruption begins. The function that it returns records its end.
func (h *History) Disrupt(kind Kind, target string) (ended func()) {
	d := &disruption{kind: kind, target: target, ended: never}
	h.record(func(now moment) {
		d.begun = now
		h.disruptions = append(h.disruptions, d)
	})
	return func() { h.record(func(now moment) { d.ended = now }) }
}

// ProcessStarted records the start of a process.
func (h *History) ProcessStarted(process string) {
	h.record(func(now moment) {
		h.incarnations = append(h.incarnations, &incarnation{process: process, begun: now, stopped: never, ended: never})
	})
}

// ProcessStopRequested records that a process is asked to stop as planned (SIGTERM). It is a disruption until the process is started again.
func (h *History) ProcessStopRequested(process string) {
	h.withIncarnation(process, func(i *incarnation, now moment) { i.stopped = now })
}

// ProcessEnded records that a process has ended, however it did. It is a disruption until the process is started again.
func (h *History) ProcessEnded(process string) {
	h.withIncarnation(process, func(i *incarnation, now moment) { i.ended = now })
}

func (h *History) withIncarnation(process string, f func(i *incarnation, now moment)) {
	h.record(func(now moment) {
		for _, i := range slices.Backward(h.incarnations) {
			if i.process == process {
				f(i, now)
				return
			}
		}
	})
}

// WorkerStarted records that a life of a worker begins.
func (h *History) WorkerStarted(w Worker) {
	h.record(func(now moment) {
		h.lives = append(h.lives, &life{Worker: w, begun: now, draining: never, ended: never})
	})
}

// WorkerDraining records that the store has acknowledged that a worker drains.
func (h *History) WorkerDraining(id string, number int) {
	h.withLife(id, number, func(l *life, now moment) { l.draining = now })
}

// WorkerEnded records that a life of a worker has ended: it crashed, left, or was switched off. The ends of its runs are recorded apart.
func (h *History) WorkerEnded(id string, number int) {
	h.withLife(id, number, func(l *life, now moment) { l.ended = now })
}

// WorkerLeft records that a life of a worker has ended as planned, or for a reason that is recorded apart. It is no disruption.
func (h *History) WorkerLeft(id string, number int) {
	h.withLife(id, number, func(l *life, now moment) { l.ended, l.left = now, true })
}

// LeaseLapsed records that the lease of a worker has run out, whether anything ran there or not.
func (h *History) LeaseLapsed(id string, number int) {
	h.withLife(id, number, func(l *life, now moment) { l.lapses = append(l.lapses, now) })
}

func (h *History) withLife(id string, number int, f func(l *life, now moment)) {
	h.record(func(now moment) {
		for _, l := range slices.Backward(h.lives) {
			if l.ID == id && l.Life == number {
				f(l, now)
				return
			}
		}
	})
}

// RunBegan records that a worker begins a run, which is not at work before RunAtWork.
func (h *History) RunBegan(r Run) { h.addRun(r, false) }

// RunBeganLate records that a worker begins a run by a command that it got long before. Bounds in time do not hold for it.
func (h *History) RunBeganLate(r Run) { h.addRun(r, true) }

func (h *History) addRun(r Run, late bool) {
	r.Fence = 0
	h.record(func(now moment) {
		began := &run{Run: r, begun: now, atWork: never, commanded: never, ended: never, acked: never, late: late}
		h.runs = append(h.runs, began)
		h.byRun[r] = began
	})
}

// RunAtWork records that a task is fully at work after its startup.
func (h *History) RunAtWork(r Run) { h.withRun(r, func(r *run, now moment) { r.atWork = now }) }

// StopCommanded records that a worker accepts the command to stop a run.
func (h *History) StopCommanded(r Run) { h.withRun(r, func(r *run, now moment) { r.commanded = now }) }

// RunEnded records how a run ended.
func (h *History) RunEnded(r Run, how How) {
	h.withRun(r, func(r *run, now moment) { r.ended, r.how = now, how })
}

// EndAcknowledged records that the system has acknowledged the end of a run, whether a lease has lapsed in between or not.
func (h *History) EndAcknowledged(r Run) {
	h.withRun(r, func(r *run, now moment) { r.acked = min(r.acked, now) })
}

func (h *History) withRun(key Run, f func(r *run, now moment)) {
	key.Fence = 0
	h.record(func(now moment) {
		if r, ok := h.byRun[key]; ok {
			f(r, now)
		}
	})
}
