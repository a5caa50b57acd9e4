package promises

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// statusTime is how long the state of a job that has ended is kept.
const statusTime = 120 * time.Second

// isLost reports whether the answer to a call that asks for an accepted job says that there is none, although its process must know it.
func (s *snapshot) isLost(c *call, j *submitted, b Bounds) bool {
	return c.answer.Status == 410 && c.begun > j.accepted+b.Visible && c.ended < j.cancelSent && c.begun < j.accepted+statusTime && s.inTouch(c.process, c.begun, c.ended, b)
}

func judgeKept(s *snapshot, b Bounds, v *Verdict) {
	for _, j := range s.jobs {
		if j.accepted == never {
			continue
		}
		s.judgeKnown(j, b, v)
		if j.cancelSent == never {
			s.judgeWaiting(j, b, v)
		}
	}
}

// judgeKnown judges that an accepted job is never unknown, and that its state can be read in the end.
func (s *snapshot) judgeKnown(j *submitted, b Bounds, v *Verdict) {
	asked, answered := moment(-1), false
	for _, c := range j.calls {
		if c.kind != askCall || c.ended == never {
			continue
		}
		if c.answer.Status != 0 && c.begun > j.accepted+b.Visible {
			v.Checked++
		}
		if s.isLost(c, j, b) {
			v.add(s, c.ended, "job %s was accepted %s before, and process %s answers that it does not exist", j.ID, c.begun-j.accepted, c.process)
		}
		if c.begun > s.loadEnded+b.Finish {
			answered = answered || c.answer.Status == 200
			if s.inTouch(c.process, c.begun, c.ended, b) {
				asked = c.ended
			}
		}
	}
	if asked >= 0 && !answered && j.cancelSent == never {
		v.add(s, asked, "job %s was accepted, and no process tells its state %s after the end of the load", j.ID, asked-s.loadEnded)
	}
}

// eachTurn calls a function for each task whose turn has come, with the time of its turn. Tasks of queues that a configuration lacks, and of
// jobs with occurrences, are left out.
func (s *snapshot) eachTurn(j *submitted, visit func(step *Step, task Task, turn moment)) {
	if slices.ContainsFunc(s.configurations, func(c configuration) bool { _, ok := c.Queues[j.Queue]; return !ok }) || j.Occurrences > 0 {
		return
	}
	for number := range j.Steps {
		step := &j.Steps[number]
		turn, _ := s.turnOf(j, step, 0)
		if turn == never {
			continue
		}
		for index := range step.Count {
			visit(step, Task{Job: j.ID, Step: number, Index: index}, max(turn, j.accepted))
		}
	}
}

// judgeWaiting judges that no task whose turn has come waits in calm times while there is room for it twice over.
func (s *snapshot) judgeWaiting(j *submitted, b Bounds, v *Verdict) {
	s.eachTurn(j, func(step *Step, task Task, turn moment) { s.judgeTask(j, step, task, turn, b, v) })
}

// judgeTask judges the times in which a task does not run.
func (s *snapshot) judgeTask(j *submitted, step *Step, task Task, turn moment, b Bounds, v *Verdict) {
	lowest, _ := s.attempts(j.Queue)
	if !step.LongRunning && (s.doneAt(task, step) < never || len(s.failedRuns(task, step)) >= lowest || j.shown(FailedJob)) {
		return
	}
	runs := s.byTask[task]
	if !step.LongRunning {
		// A job that has anything at work is not waiting.
		turn, runs = max(turn, s.loadEnded+b.Finish), s.byJob[j.ID]
	}
	for _, w := range s.waitsOf(step, runs, turn, s.now, b) {
		begun, idle, judged := s.longestIdle(j, step, w, b)
		if judged >= b.Idle {
			v.Checked++
		}
		if idle > b.Idle {
			v.add(s, begun+b.Idle, "task %s of an accepted job does not run for %s in calm time, while there is room for it twice over", task, b.Idle)
		}
	}
}

// shown reports whether a state was ever shown for a job.
func (j *submitted) shown(state State) bool {
	return slices.ContainsFunc(j.calls, func(c *call) bool { return c.answer.State == state })
}

// hasRoom reports whether sound workers have room twice over for a task of a step, or for its gang, in all of a span up to its end.
func (s *snapshot) hasRoom(j *submitted, step *Step, from, to moment, b Bounds) bool {
	var pool string
	for _, c := range s.configurations {
		if c.sent <= from {
			pool = c.Queues[j.Queue].Pool
		}
	}
	team := s.teamOf(j.key)
	var teamUsed Resources
	needed, room := int64(2), int64(0)
	if step.Gang {
		needed *= int64(step.Count)
	}
	used := make(map[string]Resources)
	same := make(map[string]int64)
	for i := range s.runs {
		r := &s.runs[i]
		if r.begun >= to || r.ended < from {
			continue
		}
		owner, other := s.step(r.Task)
		if other == nil {
			continue
		}
		used[r.Worker] = used[r.Worker].plus(other.Needs)
		if other == step {
			same[r.Worker]++
		}
		if s.teamOf(owner.key) == team {
			teamUsed = teamUsed.plus(other.Needs)
		}
	}
	if limit, ok := s.limit(team, from, b); ok && exceeds(teamUsed.plus(step.Needs), limit, Resources{}, 0.5) {
		return false
	}
	var all, capacity Resources
	for _, l := range s.lives {
		if l.Pool != pool || l.begun > from-b.Contact || l.ended < to || l.draining < to {
			continue
		}
		all, capacity = all.plus(used[l.ID]), capacity.plus(l.Capacity)
		if step.Requires != "" && !slices.Contains(l.Labels, step.Requires) {
			continue
		}
		fit := l.Capacity.fit(used[l.ID], step.Needs)
		if step.MaxPerWorker > 0 {
			fit = min(fit, int64(step.MaxPerWorker)-same[l.ID])
		}
		room += max(fit, 0)
	}
	half := all.CPU*2 < capacity.CPU && all.Memory*2 < capacity.Memory
	return room >= needed && (step.LongRunning || half)
}

// fit returns how many tasks fit beside what is used.
func (r Resources) fit(used, task Resources) int64 {
	n := int64(math.MaxInt32)
	for _, x := range [][3]int64{{r.CPU, used.CPU, task.CPU}, {r.Memory, used.Memory, task.Memory}, {r.GPU, used.GPU, task.GPU}} {
		if x[2] > 0 {
			n = min(n, max(x[0]-x[1], 0)/x[2])
		}
	}
	return n
}

// jobState is the state of a job as a register. The zero jobState is a job that nobody has submitted.
type jobState struct {
	submitted, cancelSent bool
	ended                 State
}

// read is an operation that reads a state of a job.
type read struct{ state State }

// jobRegister is the model of a job: once its end was shown, it shows no other end, and no earlier state.
var jobRegister = porcupine.Model{
	Init: func() any { return jobState{} },
	Step: func(state, input, _ any) (bool, any) {
		j := state.(jobState)
		switch in := input.(type) {
		case callKind:
			j.submitted = j.submitted || in == submitCall
			j.cancelSent = j.cancelSent || in == cancelCall
		case read:
			isEnd := in.state == Finished || in.state == FailedJob || in.state == Cancelled
			if !j.submitted || in.state == Cancelled && !j.cancelSent || j.ended != "" && j.ended != in.state {
				return false, j
			}
			if isEnd {
				j.ended = in.state
			}
		}
		return true, j
	},
}

// operations returns the calls about a job as operations on a register. Calls without an answer may take effect at any later time. A state
// may be as old as Visible, and older at a process that is not in touch.
func (s *snapshot) operations(j *submitted, b Bounds) []porcupine.Operation {
	operations := make([]porcupine.Operation, 0, len(j.calls))
	for _, c := range j.calls {
		status := c.answer.Status
		o := porcupine.Operation{Input: c.kind, Call: int64(c.begun), Return: int64(c.ended)}
		switch {
		case c.kind == askCall && status == 200:
			isEnd := c.answer.State != Pending && c.answer.State != Running
			if !isEnd && !s.inTouch(c.process, c.begun, c.ended, b) {
				continue
			}
			o.Input = read{c.answer.State}
			o.Call -= int64(b.Visible)
		case c.kind == askCall || isRejected(status):
			continue
		case status/100 != 2:
			o.Return = int64(never)
		}
		operations = append(operations, o)
	}
	return operations
}

func judgeOnce(s *snapshot, b Bounds, v *Verdict) {
	for id, j := range s.jobs {
		operations := s.operations(j, b)
		if len(operations) < 2 {
			continue
		}
		v.Checked++
		switch porcupine.CheckOperationsTimeout(jobRegister, operations, checkTimeout) {
		case porcupine.Illegal:
			last := slices.MaxFunc(j.calls, func(x, y *call) int { return cmp.Compare(x.begun, y.begun) })
			v.add(s, last.begun, "job %s: its answers do not fit one job: %s", id, j.describe())
		case porcupine.Unknown:
			v.add(s, s.now, "job %s: %d calls could not be checked within %s", id, len(operations), checkTimeout)
		}
	}
}

func judgeRefused(s *snapshot, _ Bounds, v *Verdict) {
	for _, j := range s.jobs {
		if j.sent < never && j.refused {
			v.Checked++
		}
	}
	for i := range s.runs {
		r := &s.runs[i]
		switch j, ok := s.jobs[r.Task.Job]; {
		case !ok || j.sent == never:
			v.add(s, r.begun, "%s begins, and no client has submitted its job", r.Run)
		case j.refused:
			v.add(s, r.begun, "%s begins, and all attempts to submit its job were refused", r.Run)
		}
	}
}

func judgeCancelled(s *snapshot, b Bounds, v *Verdict) {
	for _, j := range s.jobs {
		cancelled := j.canceled
		if cancelled == never {
			continue
		}
		v.Checked++
		for _, r := range s.byJob[j.ID] {
			if r.begun > cancelled+b.Cancel && !r.late && s.allInTouch(r.Worker, r.begun, b) {
				v.add(s, r.begun, "%s begins %s after its job was cancelled", r.Run, r.begun-cancelled)
			}
			from := max(cancelled, r.begun)
			if r.late {
				from = max(from, r.begun+b.Contact)
			}
			for _, part := range s.stretches(from, min(r.ended, s.now), b.Contact) {
				if limit := part[0] + b.Cancel + b.StopTimeout; limit < part[1] {
					v.add(s, limit, "%s is at work %s after its job was cancelled", r.Run, limit-cancelled)
					break
				}
			}
		}
	}
}

func judgeStates(s *snapshot, _ Bounds, v *Verdict) {
	for _, j := range s.jobs {
		for _, c := range j.calls {
			switch {
			case c.kind != askCall || j.sent == never:
			case c.answer.State == Finished:
				v.Checked++
				if task, ok := s.undone(j, c.ended); ok {
					v.add(s, c.ended, "process %s shows job %s as finished, and task %s is not done", c.process, j.ID, task)
				}
			case c.answer.State == FailedJob:
				v.Checked++
				if !s.hasFailed(j, c.ended) {
					v.add(s, c.ended, "process %s shows job %s as failed, and none of its tasks has failed as often as its queue allows", c.process, j.ID)
				}
			}
		}
	}
}

// undone returns a task of a job that is not done at a time, if there is one.
func (s *snapshot) undone(j *submitted, at moment) (Task, bool) {
	for occurrence := range max(j.Occurrences, 1) {
		for number := range j.Steps {
			for index := range j.Steps[number].Count {
				task := Task{Job: j.ID, Occurrence: occurrence, Step: number, Index: index}
				if s.doneAt(task, &j.Steps[number]) > at {
					return task, true
				}
			}
		}
	}
	return Task{}, false
}

// hasFailed reports whether all attempts of a task of a job had failed at a time. Crashes count only where the tasks are their cause.
func (s *snapshot) hasFailed(j *submitted, at moment) bool {
	const deadlyCrashes = 3
	lowest, _ := s.attempts(j.Queue)
	crashes := 0
	for _, r := range s.byJob[j.ID] {
		if r.ended > at {
			continue
		}
		if r.how == Crashed {
			crashes++
		}
		step := &j.Steps[r.Task.Step]
		failed := slices.DeleteFunc(s.failedRuns(r.Task, step), func(r *run) bool { return r.ended > at })
		if !step.LongRunning && lowest > 0 && len(failed) >= lowest {
			return true
		}
	}
	return j.Deadly && crashes >= deadlyCrashes
}
