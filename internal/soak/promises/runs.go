package promises

import (
	"cmp"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout limits the check of one history with porcupine. A check that does not end in time counts as a violation.
const checkTimeout = 10 * time.Second

// hold and release are operations of a task as a mutex. A run holds it while it is at work.
type (
	hold    struct{ run Run }
	release struct{ run Run }
)

// taskMutex is the model of a task that is not speculative.
var taskMutex = porcupine.Model{
	Init: func() any { return Run{} },
	Step: func(state, input, _ any) (bool, any) {
		if in, ok := input.(hold); ok {
			return state == Run{}, in.run
		}
		return state == input.(release).run, Run{}
	},
}

func judgeOneRun(s *snapshot, _ Bounds, v *Verdict) {
	for task, runs := range s.byTask {
		if _, step := s.step(task); step == nil || step.Speculative {
			continue
		}
		v.Checked += len(runs)
		var operations []porcupine.Operation
		add := func(input any, at moment) {
			operations = append(operations, porcupine.Operation{Input: input, Call: int64(at), Return: int64(at)})
		}
		for _, r := range runs {
			for _, span := range s.active(r) {
				add(hold{r.Run}, span[0])
				if span[1] < never {
					add(release{r.Run}, span[1])
				}
			}
		}
		switch porcupine.CheckOperationsTimeout(taskMutex, operations, checkTimeout) {
		case porcupine.Illegal:
			s.describeOverlap(runs, v)
		case porcupine.Unknown:
			v.add(s, s.now, "task %s: %d runs could not be checked within %s", task, len(runs), checkTimeout)
		}
	}
}

// describeOverlap adds the pairs of runs that were at work at the same time.
func (s *snapshot) describeOverlap(runs []*run, v *Verdict) {
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			for _, x := range s.active(a) {
				for _, y := range s.active(b) {
					if from, to := max(x[0], y[0]), min(x[1], y[1], s.now); from < to {
						v.add(s, from, "%s and %s at the same time, for %s", a.Run, b.Run, to-from)
					}
				}
			}
		}
	}
}

func judgeNoneAfterDone(s *snapshot, b Bounds, v *Verdict) {
	// shown is the time from which a start is too late after a job was shown as finished.
	const shownSlack = time.Second
	shown := make(map[string]moment)
	for id, j := range s.jobs {
		for _, c := range j.calls {
			if c.answer.State == Finished {
				if at, ok := shown[id]; !ok || c.ended < at {
					shown[id] = c.ended
				}
			}
		}
	}
	for task, runs := range s.byTask {
		_, step := s.step(task)
		if step == nil || step.LongRunning {
			continue
		}
		done := never
		for _, r := range s.runsOf(task, step) {
			if r.how == Done && s.acknowledged(r) {
				done = min(done, r.ended)
			}
		}
		if done < never {
			v.Checked++
		}
		for _, r := range runs {
			if !step.Speculative && r.begun > done {
				v.add(s, r.begun, "%s begins %s after an end as done that was acknowledged", r.Run, r.begun-done)
			} else if at, ok := shown[task.Job]; ok && r.begun > at+shownSlack && !r.late && s.allInTouch(r.Worker, r.begun, b) {
				v.add(s, r.begun, "%s begins %s after its job was shown as finished", r.Run, r.begun-at)
			}
		}
	}
}

func judgeStepOrder(s *snapshot, _ Bounds, v *Verdict) {
	for i := range s.runs {
		r := &s.runs[i]
		j, step := s.step(r.Task)
		if step == nil || len(step.After) == 0 {
			continue
		}
		v.Checked++
		if at, task := s.turnOf(j, step, r.Task.Occurrence); at > r.begun {
			v.add(s, r.begun, "%s begins before task %s is done", r.Run, task)
		}
	}
}

// turnOf returns when the last task of the steps before a step was done, and that task. Without such steps it was always the step's turn.
func (s *snapshot) turnOf(j *submitted, step *Step, occurrence int) (at moment, last Task) {
	at = -never
	for _, number := range step.After {
		before := &j.Steps[number]
		for index := range before.Count {
			task := Task{Job: j.ID, Occurrence: occurrence, Step: number, Index: index}
			if done := s.doneAt(task, before); done > at {
				at, last = done, task
			}
		}
	}
	return at, last
}

// failedRuns returns the runs of a task, or of its gang, that have ended as failed, in that order. A gang fails once with each run number.
func (s *snapshot) failedRuns(task Task, step *Step) []*run {
	var failed []*run
	for _, r := range s.runsOf(task, step) {
		known := step.Gang && slices.ContainsFunc(failed, func(f *run) bool { return f.Number == r.Number })
		if r.how == Failed && !known {
			failed = append(failed, r)
		}
	}
	slices.SortFunc(failed, func(x, y *run) int { return cmp.Compare(x.ended, y.ended) })
	return failed
}

func judgeAttempts(s *snapshot, _ Bounds, v *Verdict) {
	for task, runs := range s.byTask {
		j, step := s.step(task)
		// Copies of a speculative task may begin until the system has acknowledged all ends.
		if step == nil || step.LongRunning || step.Speculative {
			continue
		}
		_, attempts := s.attempts(j.Queue)
		failed := slices.DeleteFunc(s.failedRuns(task, step), func(r *run) bool { return !s.acknowledged(r) })
		if attempts == 0 || len(failed) < attempts {
			continue
		}
		v.Checked++
		last := failed[attempts-1].ended
		for _, r := range runs {
			if r.begun > last {
				v.add(s, r.begun, "%s begins after %d of %d attempts have failed, all acknowledged", r.Run, len(failed), attempts)
			}
		}
	}
}

func judgeGangs(s *snapshot, b Bounds, v *Verdict) {
	members := make(map[Task]map[int]int)
	for i := range s.runs {
		r := &s.runs[i]
		j, step := s.step(r.Task)
		if step == nil || !step.Gang {
			continue
		}
		gang := r.Task
		gang.Index = 0
		if members[gang] == nil {
			members[gang] = make(map[int]int)
		}
		members[gang][r.Number]++
		if members[gang][r.Number] == step.Count {
			v.Checked++
		}
		calm := s.quiet(r.begun-b.Contact, r.ended, func(disruption) bool { return true })
		if r.how == Alone && r.ended < j.cancelSent && calm {
			v.Checked++
			v.add(s, r.ended, "%s gave up because members of its gang did not start", r.Run)
		}
	}
}

func judgeTeamLimits(s *snapshot, b Bounds, v *Verdict) {
	for i := range s.runs {
		r := &s.runs[i]
		j, step := s.step(r.Task)
		if step == nil {
			continue
		}
		team := s.teamOf(j.key)
		limit, ok := s.limit(team, r.begun, b)
		if !ok {
			continue
		}
		v.Checked++
		// The permitted excess has room for one task more.
		if used := s.teamUse(team, r.begun); exceeds(used, limit, step.Needs, 1+b.TeamOver) {
			v.add(s, r.begun, "%s brings team %s to %+v, with a limit of %+v", r.Run, team, used, limit)
		}
	}
}

// teamUse returns what a team has running at a time.
func (s *snapshot) teamUse(team string, at moment) (used Resources) {
	for i := range s.runs {
		r := &s.runs[i]
		if r.begun > at || r.ended <= at {
			continue
		}
		j, step := s.step(r.Task)
		isActive := func(span [2]moment) bool { return span[0] <= at && span[1] > at }
		if step != nil && s.teamOf(j.key) == team && slices.ContainsFunc(s.active(r), isActive) {
			used = used.plus(step.Needs)
		}
	}
	return used
}

func (r Resources) plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// exceeds reports whether resources in use are above a limit with a factor and one task more. A limit of 0 is none.
func exceeds(used, limit, task Resources, factor float64) bool {
	above := func(used, limit, task int64) bool {
		return limit > 0 && float64(used) > float64(limit)*factor+float64(task)
	}
	return above(used.CPU, limit.CPU, task.CPU) || above(used.Memory, limit.Memory, task.Memory) || above(used.GPU, limit.GPU, task.GPU)
}

// limit returns the highest limit of a team among the configurations that may be in force. It is false if one of them has none.
func (s *snapshot) limit(team string, at moment, b Bounds) (limit Resources, ok bool) {
	settled := s.quiet(at-b.Contact-b.Config, at, func(d disruption) bool { return !s.workers[d.target] && d.kind != Reload })
	for i, c := range slices.Backward(s.configurations) {
		if c.sent > at {
			continue
		}
		t, known := c.Teams[team]
		if !known || t.Limit == (Resources{}) {
			return Resources{}, false
		}
		if !ok {
			limit, ok = t.Limit, true
		}
		limit = Resources{CPU: higherLimit(limit.CPU, t.Limit.CPU), Memory: higherLimit(limit.Memory, t.Limit.Memory), GPU: higherLimit(limit.GPU, t.Limit.GPU)}
		if settled && c.acked+b.Config <= at || i == 0 {
			break
		}
	}
	return limit, ok
}

// higherLimit returns the higher of two limits, of which 0 is none.
func higherLimit(x, y int64) int64 {
	if x == 0 || y == 0 {
		return 0
	}
	return max(x, y)
}

func judgeDisruptionBudget(s *snapshot, b Bounds, v *Verdict) {
	for i := range s.runs {
		r := &s.runs[i]
		j, step := s.step(r.Task)
		if step == nil || step.MayMiss == 0 || !s.endedBySystem(r, b) || r.ended > j.cancelSent || r.atWork >= r.ended {
			continue
		}
		from := min(r.ended, r.commanded) - b.Contact
		held := !s.quiet(from, r.ended, func(d disruption) bool { return d.target == r.Worker && d.kind != gone })
		if l := s.lifeOf(r); held || l != nil && l.draining < r.ended {
			continue
		}
		v.Checked++
		away := 0
		for index := range step.Count {
			task := r.Task
			task.Index = index
			if task != r.Task && s.isAway(task, r.ended, j, b) {
				away++
			}
		}
		if away >= step.MayMiss {
			v.add(s, r.ended, "%s was at work and ends as %s while %d of %d others of its step are away, with a budget of %d", r.Run, r.how, away, step.Count-1, step.MayMiss)
		}
	}
}

// endedBySystem reports whether the system has ended a run: by a stop, a switch-off, or a lease that it let lapse without a disruption.
func (s *snapshot) endedBySystem(r *run, b Bounds) bool {
	calm := func() bool {
		return s.quiet(r.ended-b.Contact-maxLease, r.ended, func(disruption) bool { return true })
	}
	return r.how == Stopped || r.how == SwitchedOff || r.how == Lapsed && calm()
}

// maxLease is the longest lease of a worker.
const maxLease = 10 * time.Second

// isAway reports whether a task counts against the disruption budget of its step.
func (s *snapshot) isAway(task Task, at moment, j *submitted, b Bounds) bool {
	var last *run
	atWork := false
	for _, r := range s.byTask[task] {
		if r.atWork <= at && r.ended > at {
			return false
		}
		if r.ended <= at && (last == nil || r.ended > last.ended) {
			last = r
		}
		atWork = atWork || r.atWork <= at && r.atWork < r.ended && r.ended > at-b.Notice
	}
	if last != nil && (last.how == Stopped || last.how == SwitchedOff) {
		return true
	}
	return !atWork && j.accepted <= at-b.Notice
}

func judgeDraining(s *snapshot, b Bounds, v *Verdict) {
	for _, l := range s.lives {
		if l.draining == never || min(l.ended, s.now) <= l.draining+b.Drain {
			continue
		}
		v.Checked++
		for i := range s.runs {
			r := &s.runs[i]
			if r.Worker == l.ID && r.Life == l.Life && r.begun > l.draining+b.Drain && !r.late && s.allInTouch(r.Worker, r.begun, b) {
				v.add(s, r.begun, "%s begins %s after the worker was known to drain", r.Run, r.begun-l.draining)
			}
		}
	}
}
