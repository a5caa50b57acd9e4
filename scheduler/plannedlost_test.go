package scheduler

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
)

// TestPlannedRunOfRemovedWorker guards against a next leader that waits for a worker which was removed before a planned run was started there.
func TestPlannedRunOfRemovedWorker(t *testing.T) {
	r := newRig(t, 1, "w1")
	j := r.addJob(work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(1), Service: true}}})
	r.schedule()
	runs := j.open[0].steps[0].tasks[0].runs
	qt.Assert(t, runs, qt.HasLen, 1)
	qt.Assert(t, runs[0].phase, qt.Equals, planned)
	r.core.dropCrashedWorker(r.core.workers["w1"], "test")
	_, _, recorded := j.open[0].progress.Run(0, 0)
	qt.Assert(t, recorded, qt.IsFalse)
}
