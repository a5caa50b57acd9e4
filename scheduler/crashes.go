package scheduler

import (
	"slices"

	"github.com/chivetiller/chivetiller/internal/jobs/crashloop"
	"github.com/chivetiller/chivetiller/work"
)

// runsAtCrash returns the runs that may have made a worker crash that has not answered since its last contact. With newLife it is known
// to have ended.
func (c *Core) runsAtCrash(ws *workerState, newLife bool) []*run {
	suspects := ws.expiredRuns
	var runs []*run
	var starts []crashloop.Start
	for _, r := range ws.runs {
		if r.phase != planned {
			start := r.start()
			r.lastStart = &start
			runs = append(runs, r)
			starts = append(starts, start)
		}
	}
	for _, i := range crashloop.Suspects(starts) {
		suspects = append(suspects, runs[i])
	}
	for _, r := range c.previousRuns[ws.report.ID] {
		if newLife || r.step.crashCount(r.index).All > 0 {
			suspects = append(suspects, &run{step: r.step, index: r.index, number: r.number, worker: ws, startedAt: ws.lastContact, previousLeader: true})
		}
	}
	return suspects
}

// recordCrash records that a worker has crashed, unless it was about to leave. A task that keeps crashing workers is given up.
func (c *Core) recordCrash(ws *workerState, suspects []*run) {
	if ws.report.Draining {
		return
	}
	for _, r := range suspects {
		s, j := r.step, r.step.job
		if s.tasks[r.index].done || j.progress.State.Ended() {
			continue
		}
		c.counts.Crashed++
		late := r.start().Proven()
		switch {
		case !late:
			s.progress.AddCrash(s.unitIndex(r.index), r.number, r.confirmedAt > 0)
			s.addCrashAddress(r.index, ws.report.Address)
		case !s.doc.Service:
			s.addLateCrash(r)
		}
		crashes := s.crashCount(r.index)
		c.changedJobs[j] = true
		c.logger.Warn("Worker has crashed under a task.", "job", j.doc.ID, "task", r.name(), "run", r.number, "worker", ws.report.ID,
			"pool", ws.report.Pool, "ranBeforeContact", ws.lastContact-r.startedAt, "with", len(suspects), "crashes", crashes.All, "confirmed", crashes.Confirmed, "late", late, "lateCrashes", crashes.Late)
		if (r.previousLeader && crashes.GiveUpUnseen()) || (!r.previousLeader && crashes.GiveUp()) {
			c.logger.Warn("Job has failed.", "job", j.doc.ID, "task", r.name(), "crashes", crashes.All, "confirmed", crashes.Confirmed, "lateCrashes", crashes.Late)
			c.endJob(j, work.Failed, "workers crashed under a task")
		}
	}
}

// start returns what is known of the start of a run. After the worker has crashed, its clock is that of another life.
func (r *run) start() crashloop.Start {
	if r.lastStart != nil {
		return *r.lastStart
	}
	return crashloop.Start{Sent: r.startedAt, Confirmed: r.confirmedAt > 0, Survived: r.worker.latestClock - r.confirmedClock}
}

// hasUnprovenStart reports whether the worker may still crash under a start. One more start would not tell the cause then.
func (ws *workerState) hasUnprovenStart() bool {
	for _, r := range ws.runs {
		if !r.start().Proven() {
			return true
		}
	}
	return false
}

// crashCount returns under how many runs of a task a worker has crashed.
func (s *step) crashCount(index int) crashloop.Count {
	if len(s.progress.Crashes) == 0 && len(s.progress.LateCrashes) == 0 {
		return crashloop.Count{}
	}
	unit := s.unitIndex(index)
	return crashloop.Count{All: len(s.progress.Crashes[unit]), Confirmed: s.progress.ConfirmedCrashes[unit], Late: s.progress.LateCrashes[unit]}
}

// forgetCrashes forgets the crashes under a task that has run long enough. A service meets many by chance.
func (c *Core) forgetCrashes(r *run) {
	unit, start := r.step.unitIndex(r.index), r.start()
	if r.step.doc.Gang {
		// Until then it may only have waited for a member that has crashed its worker.
		start.Survived -= c.options.Bounds.GangTimeout
	}
	if start.Exonerated() && r.step.progress.ForgetCrashes(unit) {
		delete(r.step.crashAddresses, unit)
		c.changedJobs[r.step.job] = true
	}
}

// addLateCrash records a crash of a worker that had survived the start of a run. A run of a gang counts once, however many of its members
// were on the worker, and however many of its workers crash together.
func (s *step) addLateCrash(r *run) {
	if s.doc.Gang {
		if r.number == s.lateGangRun {
			return
		}
		s.lateGangRun = r.number
	}
	s.progress.AddLateCrash(s.unitIndex(r.index))
}

// likelyCause reports whether a task has probably made workers crash.
func (s *step) likelyCause(index int) bool { return s.crashCount(index).Likely() }

func (s *step) addCrashAddress(index int, address string) {
	if s.crashAddresses == nil {
		s.crashAddresses = make(map[int][]string)
	}
	unit := s.unitIndex(index)
	if !slices.Contains(s.crashAddresses[unit], address) {
		s.crashAddresses[unit] = append(s.crashAddresses[unit], address)
	}
}

// crashedOn reports whether a worker has crashed under a task at the address of this one, which may be the cause.
func (s *step) crashedOn(index int, ws *workerState) bool {
	return slices.Contains(s.crashAddresses[s.unitIndex(index)], ws.report.Address)
}

// likelyCause reports whether an idle task of an occurrence has probably made workers crash.
func (o *occurrence) likelyCause() bool {
	for _, s := range o.steps {
		if len(s.progress.Crashes) == 0 || !s.ready() {
			continue
		}
		for i := range s.tasks {
			if t := &s.tasks[i]; !t.done && len(t.runs) == 0 && s.likelyCause(i) {
				return true
			}
		}
	}
	return false
}

// likely reports whether the task of a run has probably made workers crash.
func (r *run) likely() bool { return r.step.likelyCause(r.index) }
