package promises

import (
	"cmp"
	"slices"
	"time"
)

const (
	// promptStart is the time within which a first start tells nothing of a wait.
	promptStart = time.Second
	// calmBefore is how long it must have been calm before the time in which a task does not run counts.
	calmBefore = 4 * time.Second
	// roomInterval is the time between two looks at the room on workers, and the resolution of times that end for want of room.
	roomInterval = 500 * time.Millisecond
)

// Span is a span of time since the start of a history.
type Span struct{ From, To time.Duration }

// IdleTime is a time in which a task that lasts does not run.
type IdleTime struct {
	Span
	// Counted is the longest part of it that counts: calm, with room, and later than Restart after the last run. It is below 0 if the task
	// runs again that much before its time would have counted, which a disruption puts off.
	Counted time.Duration
}

// LastingTask is a task that lasts, with its runs and the times in which it did not run. Those that end while something is disturbed, and a prompt
// first start, are left out.
type LastingTask struct {
	Task Task
	Runs []Span
	Idle []IdleTime
}

// LastingTasks returns the tasks that last of all accepted jobs, until their jobs are cancelled. Changes of settings and maintenance leave a time
// calm here, since a series has hardly any time without them; AcceptedKept is broken only in times without these, too.
func LastingTasks(h *History, b Bounds) []LastingTask {
	s := h.snapshot()
	s.disruptions = slices.DeleteFunc(s.disruptions, func(d disruption) bool { return d.kind == Reload || d.kind == Maintenance })
	var tasks []LastingTask
	for _, j := range s.jobs {
		if j.accepted == never {
			continue
		}
		s.eachTurn(j, func(step *Step, task Task, turn moment) {
			if step.LongRunning {
				tasks = append(tasks, s.lastingTask(j, step, task, turn, b))
			}
		})
	}
	slices.SortFunc(tasks, func(x, y LastingTask) int { return cmp.Compare(x.Task.String(), y.Task.String()) })
	return tasks
}

func (s *snapshot) lastingTask(j *submitted, step *Step, task Task, turn moment, b Bounds) LastingTask {
	t := LastingTask{Task: task}
	for _, r := range s.byTask[task] {
		t.Runs = append(t.Runs, Span{r.begun, min(r.ended, s.now)})
	}
	for _, w := range s.waitsOf(step, s.byTask[task], turn, min(s.now, j.cancelSent), b) {
		isPrompt := w.due == w.begun && !w.open && w.ended-w.begun < promptStart
		if _, counted, judged := s.longestIdle(j, step, w, b); !isPrompt && (judged > 0 || counted < 0) {
			t.Idle = append(t.Idle, IdleTime{Span: Span{w.begun, w.ended}, Counted: counted})
		}
	}
	return t
}

// wait is a time in which a task does not run. It counts from due on.
type wait struct {
	begun, due, ended moment
	// open means that it ends for another cause than a run.
	open bool
}

// waitsOf returns the times between the runs of a task, from its turn to an end.
func (s *snapshot) waitsOf(step *Step, runs []*run, turn, end moment, b Bounds) []wait {
	waits := make([]wait, 0, len(runs)+1)
	next := wait{begun: turn, due: turn}
	for _, r := range runs {
		next.ended = min(r.begun, end)
		waits = append(waits, next)
		next.begun = max(next.begun, r.ended)
		next.due = max(next.due, r.ended)
		if step.LongRunning {
			next.due = max(next.due, r.ended+b.Restart)
		}
	}
	next.ended, next.open = end, true
	waits = append(waits, next)
	return slices.DeleteFunc(waits, func(w wait) bool { return w.begun >= w.ended })
}

// longestIdle returns the longest part of a wait that counts, with its beginning, and for how long the wait could have counted. A part counts if
// it is calm, as the time before it, and there is room for the task twice over. Without such a part, the time by which a run ended the wait
// before it would have counted is returned as a negative one.
func (s *snapshot) longestIdle(j *submitted, step *Step, w wait, b Bounds) (begun moment, idle, judged time.Duration) {
	idle = -s.timeLeft(w)
	for _, part := range s.stretches(w.begun, w.ended, calmBefore) {
		from := max(part[0], w.due)
		judged = max(judged, part[1]-from)
		for end := from; end < part[1]; from += roomInterval {
			for end = max(end, from); end < part[1]; {
				next := min(end+roomInterval, part[1])
				if !s.hasRoom(j, step, from, next, b) {
					break
				}
				end = next
			}
			if end-from > idle {
				begun, idle = from, end-from
			}
		}
	}
	return begun, idle, judged
}

// timeLeft returns by how much a run ended a wait before it would have counted, and 0 if it counted or was still disturbed.
func (s *snapshot) timeLeft(w wait) time.Duration {
	from := w.due
	for _, d := range s.disruptions {
		if d.begun <= w.ended {
			from, w.open = max(from, d.ended+calmBefore), w.open || d.ended >= w.ended
		}
	}
	if w.open {
		return 0
	}
	return max(0, from-w.ended)
}
