package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
)

// TestBacklogOfLikelyCauses guards against tasks that probably crash workers and still wait long after the last job was added, although
// nothing else needs the workers.
func TestBacklogOfLikelyCauses(t *testing.T) {
	const (
		workers     = 17
		traffic     = 20 * time.Second
		jobInterval = 150 * time.Millisecond
		// settled is the time after the traffic from which on no job may be without a run for longer than maxIdle.
		settled = 14 * time.Second
		maxIdle = 3 * time.Second
	)
	tests := map[string]struct{ changesLeader bool }{
		"one leader":     {},
		"leader changes": {changesLeader: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, workers, false)
			f.run(2 * time.Second)
			begin := f.now
			lastRun := make(map[string]time.Duration)
			var deadly, others []string
			for ; f.now < begin+traffic+settled+maxIdle; f.now += crashFleetStep {
				since := f.now - begin
				if since < traffic && since%jobInterval == 0 {
					id := fmt.Sprintf("j%03d", since/jobInterval)
					step := work.Step{Count: 6, Request: work.Resources{CPU: 500, Memory: 100}}
					if since%(3*jobInterval) == 0 {
						f.addJob(id, step, 0)
						deadly = append(deadly, id)
					} else {
						f.addJob(id, step)
						others = append(others, id)
					}
					lastRun[id] = f.now
				}
				if test.changesLeader && since == traffic/2 {
					f.changeLeader()
				}
				f.step()
				for id, last := range lastRun {
					if f.state(id).Ended() || f.running(id) > 0 {
						lastRun[id] = f.now
						continue
					}
					qt.Assert(t, since < traffic+settled || f.now-last < maxIdle, qt.IsTrue, qt.Commentf("job %s has not run for %v", id, f.now-last))
				}
			}
			for task, later := range f.later {
				qt.Assert(t, later <= 2, qt.IsTrue, qt.Commentf("task %v was started %d times after three crashes", task, later))
			}
			for _, id := range deadly {
				qt.Assert(t, f.state(id), qt.Equals, work.Failed)
			}
			for _, id := range others {
				qt.Assert(t, f.state(id), qt.Equals, work.Finished)
			}
		})
	}
}
