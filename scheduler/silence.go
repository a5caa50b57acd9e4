package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/crashloop"
	"github.com/chivetiller/chivetiller/worker"
)

// silence is a life of a worker that fell silent before it was known to have survived the start of a run, and whose lease has expired. It
// has crashed or is cut off. The next life that answers at its address tells which.
type silence struct {
	life worker.Life
	run  *run
	// around is what was known beside the run, and with the number of runs that would be suspects of a crash.
	around crashloop.Surroundings
	with   int
	since  time.Duration
}

// silenceRetention is how long a silence is remembered. Workers that were cut off return within minutes, and until then the suspects are
// only started apart from each other.
const silenceRetention = 5 * time.Minute

// hasSuccessor reports whether another worker has answered at the address of a worker, which has crashed or ended then.
func (c *Core) hasSuccessor(ws *workerState) bool {
	for _, other := range c.workers {
		if other != ws && other.answered && other.report.Address == ws.report.Address {
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
		if !r.isOpen() {
			continue
		}
		site := r.step.crashSite(r.index)
		if !slices.Contains(site.silentRuns, r.number) {
			site.silentRuns = append(site.silentRuns, r.number)
		}
		site.latest = c.now
		c.silences[ws.report.Address] = append(c.silences[ws.report.Address], silence{
			life: ws.identity, run: r, around: c.surroundings(r, lived, false), with: len(suspects), since: c.now,
		})
		c.logger.Warn("Worker has fallen silent under a task.", "job", r.step.job.doc.ID, "task", r.name(), "run", r.number, "worker", ws.report.ID,
			"pool", ws.report.Pool, "ranBeforeContact", ws.lastContact-r.startedAt, "with", len(suspects), "silent", len(site.silentRuns))
	}
}

// resolveSilences judges the silences at the address of a worker whose life has answered for the first time. The life that fell silent was
// only cut off. Another one means that it has crashed.
func (c *Core) resolveSilences(ws *workerState) {
	silences := c.silences[ws.report.Address]
	delete(c.silences, ws.report.Address)
	for _, s := range silences {
		site := s.run.step.crashSites[s.run.step.unitIndex(s.run.index)]
		if site == nil || !s.run.isOpen() {
			continue
		}
		site.silentRuns = slices.DeleteFunc(site.silentRuns, func(number int) bool { return number == s.run.number })
		c.pool(ws.report.Pool).needsPlanning = true
		if s.life == ws.identity {
			c.logger.Info("Worker was only silent under a task.", "job", s.run.step.job.doc.ID, "task", s.run.name(), "run", s.run.number, "worker", ws.report.ID,
				"after", c.now-s.since)
			continue
		}
		c.judgeCrash(s.run, s.around, false, s.with)
	}
}

// pruneSilences forgets the silences that are old, or that are about tasks that are done.
func (c *Core) pruneSilences() {
	for address, silences := range c.silences {
		c.silences[address] = slices.DeleteFunc(silences, func(s silence) bool { return !s.run.isOpen() || c.now-s.since > silenceRetention })
	}
	maps.DeleteFunc(c.silences, func(_ string, silences []silence) bool { return len(silences) == 0 })
}
