package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/crashloop"
	"github.com/chivetiller/chivetiller/worker"
)

// silence is a life of a worker that fell silent before it was known to have survived the start of a run, and whose lease has expired. It
// has crashed or is cut off. The next life at its address tells which.
type silence struct {
	life worker.Life
	run  *run
	// around is what was known beside the run when the worker was removed.
	around crashloop.Surroundings
	// with is the number of runs that would be suspects of a crash.
	with  int
	since time.Duration
}

// silenceRetention is how long a silence is remembered. Regions lose each other for minutes.
const silenceRetention = 5 * time.Minute

// succeeds reports whether a life at the same address began after an earlier one, which has ended then.
func succeeds(life, earlier worker.Life) bool {
	return life != earlier && earlier.Incarnation > 0 && life.Incarnation > earlier.Incarnation
}

// hasSuccessor reports whether a life that began later is known at the address of a worker.
func (c *Core) hasSuccessor(ws *workerState) bool {
	for _, other := range c.workers {
		if other.report.Address == ws.report.Address && succeeds(other.identity, ws.identity) {
			return true
		}
	}
	return false
}

// recordSilence records that a worker was removed because it was silent, unless it was about to leave.
func (c *Core) recordSilence(ws *workerState, suspects []*run) {
	if ws.report.Draining {
		return
	}
	lived := ws.livedSince()
	c.recordInHistory(ws, suspects)
	for _, r := range suspects {
		if !r.isOpen() || r.crashCounted() {
			continue
		}
		site := r.step.crashSite(r.index)
		if !slices.Contains(site.SilentRuns, r.number) {
			site.SilentRuns = append(site.SilentRuns, r.number)
		}
		site.Latest = c.now
		c.silences[ws.report.Address] = append(c.silences[ws.report.Address], silence{
			life: ws.identity, run: r, around: c.surroundings(r, lived, false), with: len(suspects), since: c.now,
		})
		c.logger.Warn("Worker has fallen silent under a task.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", ws.report.ID,
			"pool", ws.report.Pool, "ranBeforeContact", ws.lastContact-r.startedAt, "with", len(suspects), "silent", len(site.SilentRuns))
	}
}

// resolveSilences judges the silences at the address of a worker of which something has become known: the registry lists it, or it has
// answered for the first time. The life that fell silent was only cut off if it answers. A later life means that it has crashed, and any
// other life if that answers.
func (c *Core) resolveSilences(ws *workerState, answered bool) {
	silences := c.silences[ws.report.Address]
	if len(silences) == 0 {
		return
	}
	var left []silence
	for _, s := range silences {
		if !answered && !succeeds(ws.identity, s.life) {
			left = append(left, s)
			continue
		}
		c.resolveSilence(s, ws)
	}
	c.silences[ws.report.Address] = left
}

// resolveSilence judges the start of a silent worker by the worker that is at its address now.
func (c *Core) resolveSilence(s silence, ws *workerState) {
	site := s.run.step.crashSites[s.run.step.unitIndex(s.run.index)]
	if site == nil || !s.run.isOpen() {
		return
	}
	site.SilentRuns = slices.DeleteFunc(site.SilentRuns, func(number int) bool { return number == s.run.number })
	c.pool(ws.report.Pool).needsPlanning = true
	if s.life == ws.identity {
		c.logger.Info("Worker was only silent under a task.", "job", s.run.step.job.doc.ID, "task", s.run.name(), "run", s.run.number, "worker", ws.report.ID,
			"after", c.now-s.since)
		return
	}
	c.judgeCrash(s.run, s.around, false, s.with)
}

// pruneSilences forgets the silences that are old, or that are about tasks that are done.
func (c *Core) pruneSilences() {
	for address, silences := range c.silences {
		c.silences[address] = slices.DeleteFunc(silences, func(s silence) bool { return !s.run.isOpen() || c.now-s.since > silenceRetention })
	}
	maps.DeleteFunc(c.silences, func(_ string, silences []silence) bool { return len(silences) == 0 })
}
