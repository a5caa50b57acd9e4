package job_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/job"
	"github.com/chivetiller/chivetiller/provider"
)

// TestLostWorkers guards against a job that takes down one worker after the other and is started again without end, and against a job
// that is given up because workers were lost for other reasons.
func TestLostWorkers(t *testing.T) {
	type run struct {
		worker string
		length time.Duration
		lost   bool
		silent bool
	}
	tests := map[string]struct {
		runs []run
		want job.State
	}{
		"two workers":            {[]run{{"w1", time.Second, true, false}, {"w2", time.Second, true, false}}, job.StateQueued},
		"three workers":          {[]run{{"w1", time.Second, true, false}, {"w2", time.Second, true, false}, {"w3", time.Second, true, false}}, job.StateFailed},
		"one worker again":       {[]run{{"w1", time.Second, true, false}, {"w1", time.Second, true, false}, {"w1", time.Second, true, false}}, job.StateQueued},
		"a run that was stopped": {[]run{{"w1", time.Second, true, false}, {"w2", time.Second, true, false}, {"w3", time.Second, false, false}, {"w4", time.Second, true, false}}, job.StateFailed},
		"three silent workers":   {[]run{{"w1", time.Second, false, true}, {"w2", time.Second, false, true}, {"w3", time.Second, false, true}}, job.StateQueued},
		"two lost, one silent":   {[]run{{"w1", time.Second, true, false}, {"w2", time.Second, false, true}, {"w3", time.Second, true, false}}, job.StateQueued},
		"a long run":             {[]run{{"w1", time.Second, true, false}, {"w2", time.Hour, true, false}, {"w3", time.Second, true, false}}, job.StateQueued},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			j, err := job.New(job.Spec{Kind: "dye", Team: "t", Cores: 1, Memory: 1}, "dc0", now)
			qt.Assert(t, err, qt.IsNil)
			for _, r := range test.runs {
				j = j.Start(now, r.worker)
				now = now.Add(r.length)
				switch {
				case r.lost:
					j = j.LoseWorker(now, "worker is gone")
				case r.silent:
					j = j.LoseContact(now, "worker does not report the run")
					qt.Assert(t, slices.Contains(j.SilentOn, r.worker), qt.IsTrue)
				default:
					j = j.Requeue("", "stopped for urgent work")
				}
			}
			qt.Assert(t, j.State, qt.Equals, test.want)
			qt.Assert(t, j.Worker, qt.Equals, "")
		})
	}
}

// TestStoppedRuns guards against a job that is started again without end because the lease of each of its runs expires, and against a
// long job that is given up because of stops that it meets by chance.
func TestStoppedRuns(t *testing.T) {
	tests := map[string]struct {
		// length is how long a run lasts until it is stopped.
		length   func(run int) time.Duration
		want     job.State
		wantRuns int
	}{
		"short runs": {func(int) time.Duration { return 30 * time.Second }, job.StateFailed, 20},
		"long runs":  {func(int) time.Duration { return time.Hour }, job.StateQueued, 100},
		"a long run from time to time": {func(run int) time.Duration {
			if run%15 == 0 {
				return time.Hour
			}
			return 30 * time.Second
		}, job.StateQueued, 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			j, err := job.New(job.Spec{Kind: "dye", Team: "t", Cores: 1, Memory: 1}, "dc0", now)
			qt.Assert(t, err, qt.IsNil)
			for run := 1; run <= 100 && j.State == job.StateQueued; run++ {
				j = j.Start(now, "w1")
				now = now.Add(test.length(run))
				next, changed := j.ApplyStatus(now, provider.TaskStatus{ID: j.RunID(), Worker: "w1", State: provider.TaskStopped, Detail: "lease expired"}, false)
				qt.Assert(t, changed, qt.IsTrue)
				j = next
			}
			qt.Assert(t, j.State, qt.Equals, test.want)
			qt.Assert(t, j.Attempt, qt.Equals, test.wantRuns)
			qt.Assert(t, j.Worker, qt.Equals, "")
		})
	}
}
