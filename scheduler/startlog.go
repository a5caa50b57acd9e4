package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/timeline"
)

// maxLoggedStarts is the maximum number of runs in one log line, so that a line stays below 4 KiB.
const maxLoggedStarts = 64

// logStarts logs runs that were started together: one line for each step and fencing token, or more if it has many runs. A run without others
// has a line of its own.
func (c *Core) logStarts(runs []*run) {
	if !c.logger.IsInfo() {
		return
	}
	slices.SortStableFunc(runs, compareLoggedStarts)
	for len(runs) > 0 {
		n := 1
		for n < min(len(runs), maxLoggedStarts) && compareLoggedStarts(runs[0], runs[n]) == 0 {
			n++
		}
		c.logStartsOfStep(runs[:n])
		runs = runs[n:]
	}
}

// compareLoggedStarts orders runs by what a log line about several of them tells once.
func compareLoggedStarts(x, y *run) int {
	return cmp.Or(cmp.Compare(x.step.job.doc.ID, y.step.job.doc.ID), cmp.Compare(x.step.occurrence.number, y.step.occurrence.number),
		cmp.Compare(x.step.number, y.step.number), cmp.Compare(x.startFence, y.startFence))
}

// logStartsOfStep logs runs of one step with the same fencing token. Of several runs, the longest sincePlan and contactAge are logged.
func (c *Core) logStartsOfStep(runs []*run) {
	var sincePlan, contactAge time.Duration
	starts := make([]timeline.Start, len(runs))
	for i, r := range runs {
		sincePlan, contactAge = max(sincePlan, r.sincePlan), max(contactAge, c.contactAge(r.worker))
		starts[i] = timeline.Start{Index: r.index, Run: r.number, Worker: r.worker.report.ID}
	}
	s := runs[0].step
	same := []any{"cpu", s.doc.ReservedResources().CPU, "fence", runs[0].startFence, "waited", c.now - s.occurrence.dueAt, "sincePlan", sincePlan,
		"contactAge", contactAge, "config", c.catalog.Version}
	if len(runs) == 1 {
		r := runs[0]
		c.logger.Info("Task is started.", append([]any{"job", s.job.doc.ID, "task", r.name(), "run", r.number, "worker", r.worker.report.ID}, same...)...)
		return
	}
	c.logger.Info("Tasks are started.", append([]any{"job", s.job.doc.ID, "occurrence", s.occurrence.number, "step", s.number, "starts", timeline.FormatStarts(starts)}, same...)...)
}
