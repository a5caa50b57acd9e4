package scheduler

import (
	"slices"
	"time"

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
		if newLife || r.step.crashCount(r.index).Suspect() {
			suspects = append(suspects, &run{step: r.step, index: r.index, number: r.number, worker: ws, startedAt: ws.lastContact, previousLeader: true})
		}
	}
	return suspects
}

// recordCrash records that a worker is known to have crashed, unless it was about to leave.
func (c *Core) recordCrash(ws *workerState, suspects []*run) {
	if ws.report.Draining {
		return
	}
	lived := ws.livedSince()
	ws.crashedAt = c.now
	c.recordInHistory(ws, suspects)
	for _, r := range suspects {
		if !r.isOpen() || r.previousLeader && r.crashCounted() {
			continue
		}
		late := r.start().Proven()
		c.judgeCrash(r, c.surroundings(r, lived, late), late, len(suspects))
	}
}

// isOpen reports whether the task of a run still has to be done.
func (r *run) isOpen() bool {
	return !r.step.tasks[r.index].done && !r.step.job.progress.State.Ended()
}

// crashCounted reports whether the crash of the worker of a run is counted already. The progress of a task names its last run also when
// that has ended, so that a new leader finds it again.
func (r *run) crashCounted() bool {
	return slices.Contains(r.step.progress.Crashes[r.index], r.number)
}

// judgeCrash counts a crash under a run. with is the number of runs that may have caused it. A task that keeps crashing workers is given
// up, but a service runs until its job is cancelled: it is started again after a pause. The members of a gang are judged one by one, since a
// wide gang meets many crashes by chance.
func (c *Core) judgeCrash(r *run, around crashloop.Surroundings, late bool, with int) {
	s, j := r.step, r.step.job
	c.counts.Crashed++
	told := c.countCrash(r, around, late)
	crashes := s.taskCrashes(r.index)
	c.changedJobs[j] = true
	c.logger.Warn("Worker has crashed under a task.", "job", j.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID,
		"pool", r.worker.report.Pool, "ranBeforeContact", r.worker.lastContact-r.startedAt, "with", with, "crashes", crashes.All, "confirmed", crashes.Confirmed, "late", late, "lateCrashes", crashes.Late,
		"silent", crashes.Silent, "counted", told, "sinceOther", around.SinceOther, "repeated", around.Repeated, "lived", around.Lived)
	if !told || s.doc.Service {
		return
	}
	if (r.previousLeader && crashes.GiveUpUnseen()) || (!r.previousLeader && crashes.GiveUp()) {
		c.logger.Warn("Job has failed.", "job", j.doc.ID, "task", r.name(), "crashes", crashes.All, "confirmed", crashes.Confirmed, "lateCrashes", crashes.Late)
		c.endJob(j, work.Failed, "workers crashed under a task")
	}
}

// countCrash counts a crash under a run, and reports whether it tells something of the task.
func (c *Core) countCrash(r *run, around crashloop.Surroundings, late bool) bool {
	s := r.step
	if late && s.doc.Service {
		return false
	}
	site := s.crashSite(r.index)
	site.Add(r.worker.report.Address, late)
	switch {
	case late && around.Telling():
		s.progress.AddLateCrash(r.index)
	case !late && (!s.doc.Service || c.blames(r, around)):
		s.progress.AddCrash(r.index, r.number, r.confirmedAt > 0)
		site.Latest = c.now
	default:
		site.Untelling++
		site.Latest = c.now
		return false
	}
	return true
}

// blames reports whether a crash under a run of a service is blamed on it. A new leader does not know which other workers have crashed
// under the previous one, so that such a crash makes a likely cause at most.
func (c *Core) blames(r *run, around crashloop.Surroundings) bool {
	watched := c.options.Term == 1 || crashloop.Known(c.now-c.options.AcquiredAt)
	if (r.previousLeader || !watched) && r.step.likelyCause(r.index) {
		return false
	}
	return around.Calm() && around.Telling()
}

// crashedUnit names a task, or a gang, in the history of crashes.
type crashedUnit struct {
	step *step
	unit int
}

func (r *run) crashedUnit() crashedUnit {
	return crashedUnit{step: r.step, unit: r.step.unitIndex(r.index)}
}

// recordInHistory records a crash for the judgement of others.
func (c *Core) recordInHistory(ws *workerState, suspects []*run) {
	var units []crashedUnit
	likely := false
	for _, r := range suspects {
		if r.start().Proven() {
			continue
		}
		units = append(units, r.crashedUnit())
		// This crash is not counted yet.
		crashes := r.step.crashCount(r.index)
		crashes.All += r.step.untelling(r.index) + 1
		likely = likely || !r.previousLeader && crashes.Likely()
	}
	p := c.pool(ws.report.Pool)
	p.crashes.Add(c.now, units, likely)
	if !likely {
		c.excuseServices(p, units)
	}
}

// excuseServices takes back the crashes that were counted against the services of a pool, after one that only the given units can explain.
// Those before may have had the same cause. A new leader does not know of the crashes that the previous one saw.
func (c *Core) excuseServices(p *pool, units []crashedUnit) {
	for _, j := range p.jobs {
		if !j.service {
			continue
		}
		for _, o := range j.open {
			for _, s := range o.steps {
				c.excuseStep(s, units)
			}
		}
	}
}

func (c *Core) excuseStep(s *step, units []crashedUnit) {
	if !s.doc.Service {
		return
	}
	for index, runs := range s.progress.Crashes {
		if slices.Contains(units, crashedUnit{step: s, unit: s.unitIndex(index)}) {
			continue
		}
		s.crashSite(index).Untelling += len(runs)
		s.progress.ForgetCrashes(index)
		c.changedJobs[s.job] = true
	}
}

// surroundings returns what is known of a crash under a run, beside the run. lived is the time since which the worker had lived.
func (c *Core) surroundings(r *run, livedSince time.Duration, late bool) crashloop.Surroundings {
	around := crashloop.Surroundings{
		SinceOther: c.pool(r.worker.report.Pool).crashes.SinceOther(c.now, r.crashedUnit()), Lived: r.startedAt - livedSince,
	}
	around.Repeated = r.step.crashSites[r.step.unitIndex(r.index)].Repeated(r.worker.report.Address, late)
	return around
}

// livedSince returns the time since which the present life of a worker is known to have lasted.
func (ws *workerState) livedSince() time.Duration { return max(ws.firstReply, ws.crashedAt) }

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

// crashCount returns under how many runs of a task a worker has crashed, or may have. For a gang, which is placed as one, it is the largest
// number of its members.
func (s *step) crashCount(index int) crashloop.Count {
	if len(s.progress.Crashes) == 0 && len(s.progress.LateCrashes) == 0 && len(s.crashSites) == 0 {
		return crashloop.Count{}
	}
	count := s.taskCrashes(index)
	if s.doc.Gang {
		for i := range s.tasks {
			member := s.taskCrashes(i)
			count.All, count.Confirmed, count.Late = max(count.All, member.All), max(count.Confirmed, member.Confirmed), max(count.Late, member.Late)
		}
	}
	return count
}

// taskCrashes is crashCount for one task, which may be a member of a gang. Which members were on workers that fell silent is not told apart.
func (s *step) taskCrashes(index int) crashloop.Count {
	count := crashloop.Count{All: len(s.progress.Crashes[index]), Confirmed: s.progress.ConfirmedCrashes[index], Late: s.progress.LateCrashes[index]}
	if site := s.crashSites[s.unitIndex(index)]; site != nil {
		count.Silent = len(site.SilentRuns)
	}
	return count
}

// suspects returns the number of tasks of a step that may have made a worker crash. A gang counts as one.
func (s *step) suspects() int {
	if s.doc.Gang {
		if s.crashCount(0).Suspect() {
			return 1
		}
		return 0
	}
	n := len(s.progress.Crashes)
	for unit, site := range s.crashSites {
		if len(site.SilentRuns) > 0 && len(s.progress.Crashes[unit]) == 0 {
			n++
		}
	}
	return n
}

// forgetCrashes forgets the crashes under a task that has run long enough. A service meets many by chance.
func (c *Core) forgetCrashes(r *run) {
	s, start := r.step, r.start()
	if s.doc.Gang {
		// Until then it may only have waited for a member that has crashed its worker.
		start.Survived -= c.options.Bounds.GangTimeout
	}
	if !start.Exonerated() {
		return
	}
	delete(s.crashSites, s.unitIndex(r.index))
	if s.progress.ForgetCrashes(r.index) {
		c.changedJobs[s.job] = true
	}
	if !s.doc.Gang || len(s.progress.Crashes) == 0 && len(s.progress.LateCrashes) == 0 {
		return
	}
	// The others were at work as long.
	for i := range s.tasks {
		if s.progress.ForgetCrashes(i) {
			c.changedJobs[s.job] = true
		}
	}
}

// likelyCause reports whether a task has probably made workers crash.
func (s *step) likelyCause(index int) bool { return s.crashCount(index).Likely() }

func (s *step) crashSite(index int) *crashloop.Sites {
	if s.crashSites == nil {
		s.crashSites = make(map[int]*crashloop.Sites)
	}
	unit := s.unitIndex(index)
	if s.crashSites[unit] == nil {
		s.crashSites[unit] = new(crashloop.Sites)
	}
	return s.crashSites[unit]
}

// untelling returns the number of crashes under a task that tell nothing of it.
func (s *step) untelling(index int) int {
	if site := s.crashSites[s.unitIndex(index)]; site != nil {
		return site.Untelling
	}
	return 0
}

// crashedOn reports whether a worker has crashed under a task at the address of this one, which may be the cause.
func (s *step) crashedOn(index int, ws *workerState) bool {
	return s.crashSites[s.unitIndex(index)].Crashed(ws.report.Address)
}

// pausedAfterCrash reports whether a service waits after crashes, for which it does not fail, or another task for news of silent workers.
func (c *Core) pausedAfterCrash(s *step, index int) bool {
	if len(s.crashSites) == 0 {
		return false
	}
	site := s.crashSites[s.unitIndex(index)]
	if site == nil {
		return false
	}
	count := s.crashCount(index)
	if !s.doc.Service {
		return c.now-site.Latest < count.SilencePause()
	}
	if t := &s.tasks[index]; crashloop.Rested(c.now - max(t.idleSince, t.triedAt)) {
		return false
	}
	// One may be a coincidence.
	crashes := max(0, count.All+count.Silent-1) + site.Untelling
	return c.now-site.Latest < crashloop.Pause(crashes, c.pool(s.job.doc.Pool).crashes.SinceUnexplained(c.now))
}

// mayCrashByItself reports whether a task waits until the worker has lived for a while, since workers at its address crashed again and
// again.
func (c *Core) mayCrashByItself(s *step, index int, ws *workerState) bool {
	return s.crashSites[s.unitIndex(index)].MayCrashByItself(ws.report.Address, c.now-ws.livedSince())
}

// likelyCause reports whether an idle task of an occurrence has probably made workers crash.
func (o *occurrence) likelyCause() bool {
	for _, s := range o.steps {
		if s.suspects() == 0 || !s.ready() {
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
