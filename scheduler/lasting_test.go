package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestRestartsUnderOneIDDoNotFailService guards against a service that fails because its worker restarts under its ID long after each start.
func TestRestartsUnderOneIDDoNotFailService(t *testing.T) {
	r := newRig(t, 1, "w1")
	j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Service: true, Request: coresOnly(1)}}})
	for life := range int64(6) {
		report := rigReport("w1", coresOnly(4))
		report.Incarnation = rigIncarnation + life
		r.core.SetWorkers([]worker.Report{report})
		for range 2 {
			r.core.Renewal("w1")
			r.core.HandleStatus("w1", worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: report.Incarnation}, Running: r.runs["w1"]}, r.now, nil)
		}
		r.accept(r.pass())
		qt.Assert(t, r.runs["w1"], qt.HasLen, 1, qt.Commentf("life %d", life))
		r.advance(2500 * time.Millisecond)
		r.core.HandleStatus("w1", worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: report.Incarnation}, Running: r.runs["w1"]}, r.now, nil)
		r.runs["w1"] = nil
		r.core.HandleStatus("w1", worker.Status{Reply: worker.Reply{Clock: time.Millisecond, Incarnation: report.Incarnation + 1}}, r.now, nil)
		r.advance(restartPause)
	}
	qt.Assert(t, j.progress.State.Ended(), qt.IsFalse)
	qt.Assert(t, j.open[0].steps[0].crashCount(0).All, qt.Equals, 0)
}
