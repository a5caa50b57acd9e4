package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestServicesAfterSilentWrites guards against services that do not start for long after the store has not answered writes, while it answered
// reads: batches without an answer count as refused, and with few jobs the search for a row at fault finds one.
func TestServicesAfterSilentWrites(t *testing.T) {
	for _, jobs := range []int{1, 2, 5, 20, 80} {
		for _, outage := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second, 15 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprint(jobs, " jobs, ", outage), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					down := true
					s := &judgingStore{Store: memory.New()}
					s.judge = func(store.Tx) error {
						if down {
							time.Sleep(commitTimeout)
							return store.ErrUnknown
						}
						return nil
					}
					e := refusalEngine(t, s, jobs)
					now := clock.Now() + time.Minute
					play(e, &now, outage, func() bool { return false })
					down = false
					took := play(e, &now, time.Minute, func() bool { return len(e.core.changedJobs) == 0 })
					t.Logf("stored %v after the end", took)
					qt.Assert(t, took < idleAfterCalm+maxIdle-idleReserve, qt.IsTrue, qt.Commentf("stored %v after the end", took))
				})
			})
		}
	}
}

// TestServiceWithRefusedRow guards against a service that is set aside for long after the store has stopped to refuse its row alone.
func TestServiceWithRefusedRow(t *testing.T) {
	r := newIdleRig(t, 3)
	r.addService("s", 1, 1000)
	r.addService("other", 1, 1000)
	r.play(time.Second)
	r.end(r.core.jobs["s"].open[0].steps[0].tasks[0].runs[0].worker.report.ID, work.Task{Job: "s"}, worker.ExitFailed)
	for end := r.now + 30*time.Second; r.now < end; {
		r.advance(idleStep)
		for _, id := range r.workers {
			r.renew(id)
		}
		r.schedule()
		r.core.changedJobs[r.core.jobs["other"]] = true
		b := r.core.TakeBatch(batchRows)
		if b.Progress["s"] != nil {
			r.core.BatchRefused(b, store.ErrRefused)
			continue
		}
		r.core.BatchStored(b)
	}
	r.calm = r.now
	r.play(15 * time.Second)
	qt.Assert(t, r.longest < maxIdle, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
}
