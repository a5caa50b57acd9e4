package job_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/job"
)

// TestLostWorkers guards against a job that takes down one worker after the other and is started again without end, and against a job
// that is given up because workers were lost for other reasons.
func TestLostWorkers(t *testing.T) {
	type run struct {
		worker string
		length time.Duration
		lost   bool
	}
	tests := map[string]struct {
		runs []run
		want job.State
	}{
		"two workers":            {[]run{{"w1", time.Second, true}, {"w2", time.Second, true}}, job.StateQueued},
		"three workers":          {[]run{{"w1", time.Second, true}, {"w2", time.Second, true}, {"w3", time.Second, true}}, job.StateFailed},
		"one worker again":       {[]run{{"w1", time.Second, true}, {"w1", time.Second, true}, {"w1", time.Second, true}}, job.StateQueued},
		"a run that was stopped": {[]run{{"w1", time.Second, true}, {"w2", time.Second, true}, {"w3", time.Second, false}, {"w4", time.Second, true}}, job.StateFailed},
		"a long run":             {[]run{{"w1", time.Second, true}, {"w2", time.Hour, true}, {"w3", time.Second, true}}, job.StateQueued},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			j, err := job.New(job.Spec{Kind: "dye", Team: "t", Cores: 1, Memory: 1}, "dc0", now)
			qt.Assert(t, err, qt.IsNil)
			for _, r := range test.runs {
				j = j.Start(now, r.worker)
				now = now.Add(r.length)
				if r.lost {
					j = j.LoseWorker(now, "worker is gone")
				} else {
					j = j.Requeue("", "stopped for urgent work")
				}
			}
			qt.Assert(t, j.State, qt.Equals, test.want)
			qt.Assert(t, j.Worker, qt.Equals, "")
		})
	}
}
