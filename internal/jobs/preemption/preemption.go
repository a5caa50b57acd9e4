// Package preemption decides which runs are stopped to make room for a task of a more urgent job that finds its pool full. Only runs that
// save their progress are stopped, and those first that lose least work.
//
// # Usage
//
//	// For each worker, with the runs for which preemption.MayStop and history.Allows hold:
//	workers = append(workers, preemption.NewWorker(w, free, runs, tie))
//	if i, stops, ok := preemption.Choose(need, urgency, workers, jobStops.JobLeft(now), eligible); ok && poolStops.PoolLeft(now, poolWorkers) > 0 {
//		// Stop the runs, record that with Window.Add and History.Record, and keep their room for preemption.KeepFor.
//	}
package preemption

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

const (
	// maxStops is how often a task is preempted in its life, and minRest how long it is not after it was. A task that is stopped again and
	// again would do nothing but start.
	maxStops = 2
	minRest  = 3 * time.Second
	// maxJobStops is the maximum number of runs that are stopped for a job within a window.
	maxJobStops = 4
	// workerShare is the share of the workers of a pool on which runs are stopped within a window. One is always allowed.
	workerShare = 0.05
	window      = time.Second
	// KeepFor is how long the room of stopped runs is kept for the job for which they were stopped. A stop takes up to 0.9 s.
	KeepFor = 2 * time.Second
)

// Urgency orders work. Queues with a lower priority number come first.
type Urgency struct {
	Priority int
	// Expired means that the job cannot be done within three times its target any more, so that it has no value.
	Expired bool
}

// MoreThan reports whether work may take the room of other work.
func (u Urgency) MoreThan(other Urgency) bool {
	if u.Priority != other.Priority {
		return u.Priority < other.Priority
	}
	return !u.Expired && other.Expired
}

// Run is a run of a worker. R names it.
type Run[R any] struct {
	Run     R
	Urgency Urgency
	Size    work.Resources
	// SinceSaved is the time since the run last saved its progress, or started.
	SinceSaved time.Duration
}

// lost returns what the end of a run loses at most.
func (r Run[R]) lost() float64 { return float64(max(1, r.Size.CPU)) * r.SinceSaved.Seconds() }

// Worker is a worker on which a task could start if it had room. W names it.
type Worker[W, R any] struct {
	Worker W
	free   work.Resources
	runs   []Run[R]
	// room is what is free once all runs are stopped.
	room work.Resources
}

// NewWorker returns a worker. free is what is neither in use nor kept for others, and runs those that may be stopped, which it sorts. tie orders
// runs that lose as much.
func NewWorker[W, R any](w W, free work.Resources, runs []Run[R], tie func(a, b R) int) Worker[W, R] {
	slices.SortFunc(runs, func(a, b Run[R]) int { return cmp.Or(cmp.Compare(a.lost(), b.lost()), tie(a.Run, b.Run)) })
	room := free
	for _, r := range runs {
		room = room.Plus(r.Size)
	}
	return Worker[W, R]{Worker: w, free: free, runs: runs, room: room}
}

// MayStop reports whether a run may be stopped for any work: it saves its progress, belongs to no service and no gang, and is not expected
// to end before a stop would have ended it. left is how long it is expected to go on, and usual how long until it has taken as long as such
// runs usually do. A run that is close to its usual end is spared although it may turn out to be late.
func MayStop(s *work.Step, left, usual, stopTimeout time.Duration) bool {
	return s.Checkpoints && !s.Service && !s.Gang && left > stopTimeout && (usual <= 0 || usual > stopTimeout)
}

// Ending is a run that is expected to end and the room that it leaves.
type Ending struct {
	Left time.Duration
	Size work.Resources
}

// RoomAfter returns how long it takes until a task has room without a stop, from what is free and what ends. It reports false if the endings
// do not leave enough room.
func RoomAfter(need, free work.Resources, endings []Ending) (time.Duration, bool) {
	if need.Fits(free) {
		return 0, true
	}
	slices.SortFunc(endings, func(a, b Ending) int { return cmp.Compare(a.Left, b.Left) })
	for _, e := range endings {
		if free = free.Plus(e.Size); need.Fits(free) {
			return e.Left, true
		}
	}
	return 0, false
}

// Choose returns the index of the worker on which a task gets room by the stops that lose least work, and the runs to be stopped there, at most
// limit. It reports false if there are none. eligible reports whether the task may start on a worker, apart from room.
func Choose[W, R any](need work.Resources, urgent Urgency, workers []Worker[W, R], limit int, eligible func(W) bool) (chosen int, stops []R, ok bool) {
	var least float64
	for i, w := range workers {
		runs, lost := w.stopsFor(need, urgent)
		if len(runs) == 0 || len(runs) > limit || ok && lost >= least || !eligible(w.Worker) {
			continue
		}
		chosen, least, ok = i, lost, true
		stops = stops[:0]
		for _, r := range runs {
			stops = append(stops, r.Run)
		}
	}
	return chosen, stops, ok
}

// stopsFor returns the runs whose room, together with what is free, is enough, and what their end loses. It returns none if no stop is needed,
// or if there is not enough room.
func (w Worker[W, R]) stopsFor(need work.Resources, urgent Urgency) (stops []Run[R], lost float64) {
	free := w.free
	if !need.Fits(w.room) || need.Fits(free) {
		return nil, 0
	}
	for _, r := range w.runs {
		if !urgent.MoreThan(r.Urgency) {
			continue
		}
		stops, free = append(stops, r), free.Plus(r.Size)
		if need.Fits(free) {
			break
		}
	}
	if !need.Fits(free) {
		return nil, 0
	}
	// A later run may have made the room of an earlier one superfluous.
	stops = slices.DeleteFunc(stops, func(r Run[R]) bool {
		if !need.Fits(free.Minus(r.Size)) {
			return false
		}
		free = free.Minus(r.Size)
		return true
	})
	for _, r := range stops {
		lost += r.lost()
	}
	return stops, lost
}

// History holds the preemptions of the tasks of a step. The zero value is an empty one.
type History struct {
	tasks map[int]record
}

type record struct {
	stops  int
	latest time.Duration
}

// Allows reports whether a task may be preempted.
func (h *History) Allows(index int, now time.Duration) bool {
	r, ok := h.tasks[index]
	return !ok || r.stops < maxStops && now-r.latest >= minRest
}

// Record records that a task was preempted.
func (h *History) Record(index int, now time.Duration) {
	if h.tasks == nil {
		h.tasks = make(map[int]record)
	}
	h.tasks[index] = record{stops: h.tasks[index].stops + 1, latest: now}
}

// Window counts events within the last second. The zero value is an empty one.
type Window struct{ times []time.Duration }

// Add records n events.
func (w *Window) Add(now time.Duration, n int) {
	w.forget(now)
	for range n {
		w.times = append(w.times, now)
	}
}

// JobLeft returns how many more runs may be stopped for a job, of whose stops the window tells.
func (w *Window) JobLeft(now time.Duration) int {
	w.forget(now)
	return maxJobStops - len(w.times)
}

// PoolLeft returns on how many more workers of a pool runs may be stopped, of whose workers with stops the window tells.
func (w *Window) PoolLeft(now time.Duration, workers int) int {
	w.forget(now)
	return max(1, int(workerShare*float64(workers))) - len(w.times)
}

func (w *Window) forget(now time.Duration) {
	w.times = slices.DeleteFunc(w.times, func(at time.Duration) bool { return now-at >= window })
}
