package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestLastingQuarantine guards against a worker that fails every task and gets tasks again without a pause, once it was quarantined so often
// that the next duration is out of range.
func TestLastingQuarantine(t *testing.T) {
	const quarantines = 100
	var h health
	now := time.Minute
	for n, failure := 0, 0; n < quarantines; failure++ {
		qt.Assert(t, failure < quarantines+10, qt.IsTrue)
		if !h.recordFailure(now, fmt.Sprint(failure)) {
			continue
		}
		n++
		want := maxQuarantine
		if n <= 2 {
			want = time.Duration(n) * quarantineDuration
		}
		qt.Assert(t, h.quarantinedUntil-now, qt.Equals, want, qt.Commentf("quarantine %d", n))
		now = h.quarantinedUntil
	}
}

// TestQuarantineIsForgotten guards against a worker that is quarantined for long because of one failure, since it runs only services, whose
// tasks never succeed, and has failed some of them long before.
func TestQuarantineIsForgotten(t *testing.T) {
	r := newIdleRig(t, 1)
	for i := range failureJobs {
		r.addService(fmt.Sprint("s", i), 1, 500)
	}
	r.play(time.Second)
	for i := range failureJobs {
		r.end("w0", work.Task{Job: fmt.Sprint("s", i)}, worker.ExitFailed)
		r.play(idleStep)
	}
	qt.Assert(t, r.core.workers["w0"].health.quarantined(r.now), qt.IsTrue)
	r.play(2 * maxQuarantine)
	r.end("w0", work.Task{Job: "s0"}, worker.ExitFailed)
	r.play(4 * idleStep)
	qt.Assert(t, r.isRunning(work.Task{Job: "s0"}), qt.IsTrue)
}
