package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/workers/health"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestQuarantineIsForgotten guards against a worker that is quarantined for long because of one failure, since it runs only services, whose
// tasks never succeed, and has failed some of them long before.
func TestQuarantineIsForgotten(t *testing.T) {
	r := newIdleRig(t, 1)
	for i := range health.FailureJobs {
		r.addService(fmt.Sprint("s", i), 1, 500)
	}
	r.play(time.Second)
	for i := range health.FailureJobs {
		r.end("w0", work.Task{Job: fmt.Sprint("s", i)}, worker.ExitFailed)
		r.play(idleStep)
	}
	qt.Assert(t, r.core.workers["w0"].health.Quarantined(r.now), qt.IsTrue)
	r.play(2 * health.MaxQuarantine)
	r.end("w0", work.Task{Job: "s0"}, worker.ExitFailed)
	r.play(4 * idleStep)
	qt.Assert(t, r.isRunning(work.Task{Job: "s0"}), qt.IsTrue)
}
