package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// takeoverTime is how long after the loss of a leader the next one acquires leadership.
const takeoverTime = 800 * time.Millisecond

// TestServiceAfterTakeovers guards against a task that waits for the leases of workers that are gone for longer than the users allow: for one on
// which only other tasks of its service have run, or beyond several leaders of which none has reached it.
func TestServiceAfterTakeovers(t *testing.T) {
	tests := map[string]struct {
		// index is the task that is watched. The last run of task 0 is stored as ended, that of task 1 was lost with its worker.
		index int
		// waited is how long the task had not run when the first leader was lost, and terms how long each further leader leads until it is
		// lost for good.
		waited time.Duration
		terms  []time.Duration
	}{
		"ended":                            {index: 0},
		"ended, had waited for 1 s":        {index: 0, waited: time.Second},
		"ended, had waited for 3 s":        {index: 0, waited: 3 * time.Second},
		"lost with its worker":             {index: 1},
		"lost, two leaders within 1 s":     {index: 1, terms: []time.Duration{time.Second}},
		"lost, two leaders within 5 s":     {index: 1, terms: []time.Duration{5 * time.Second}},
		"ended, two leaders within 5 s":    {index: 0, terms: []time.Duration{5 * time.Second}},
		"lost, three leaders, each of 4 s": {index: 1, terms: []time.Duration{4 * time.Second, 4 * time.Second}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first := newIdleRig(t, 3)
			first.addService("s", 2, 1000)
			first.play(time.Second)
			doc, task := first.core.jobs["s"].doc, work.Task{Job: "s", Index: test.index}
			first.end("w0", work.Task{Job: "s"}, worker.ExitFailed)
			first.reply("w0")
			first.schedule()
			stored := first.core.TakeBatch(batchRows).Progress["s"]
			qt.Assert(t, stored, qt.IsNotNil)
			lostAt, lastRun, earlierUntil := first.now, first.now-test.waited, first.now
			var r *idleRig
			for i, term := range append(test.terms, 20*time.Second) {
				r = newIdleRig(t, 3)
				r.now = lostAt + takeoverTime
				r.core = NewCore(Options{Bounds: rigBounds(), Fence: uint64(10 * (i + 2)), Term: i + 2, AcquiredAt: r.now, EarlierLeadersUntil: earlierUntil})
				r.core.SetCatalog(first.core.catalog)
				earlierUntil = r.now + LeadershipTimeout
				r.workers = []string{"w0", "w2"}
				clear(r.idleSince)
				r.idleSince[task] = lastRun
				r.calm = lostAt
				r.core.AddJob(doc, stored, 0)
				r.play(term)
				lostAt = r.now
			}
			qt.Assert(t, r.longest < maxIdle, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
		})
	}
}

// TestServiceOfLimitedTeamAfterTakeover guards against a service that waits for the leases of workers that are gone, because what other services
// of its team had running there counts for the limit of the team.
func TestServiceOfLimitedTeamAfterTakeover(t *testing.T) {
	first := newIdleRig(t, 3)
	service := func(id string, width int) work.Job {
		return work.Job{ID: id, Queue: "q", Pool: "p", Team: "limited", Steps: []work.Step{{Count: width, Request: work.Resources{CPU: 500}, Service: true, MaxPerWorker: 1}}}
	}
	first.addJob(service("lost", 3))
	first.play(time.Second)
	lost := first.core.jobs["lost"].progress
	lostAt := first.now
	r := newIdleRig(t, 2)
	r.now = lostAt + takeoverTime
	r.core = NewCore(Options{Bounds: rigBounds(), Fence: 20, Term: 2, AcquiredAt: r.now, EarlierLeadersUntil: lostAt})
	r.core.SetCatalog(first.core.catalog)
	r.workers = []string{"w4", "w5"}
	r.core.AddJob(service("lost", 3), lost, 0)
	r.core.AddJob(service("small", 2), nil, 0)
	for i := range 2 {
		r.idleSince[work.Task{Job: "small", Index: i}] = lostAt - 3*time.Second
	}
	r.calm = lostAt
	r.play(20 * time.Second)
	qt.Assert(t, r.longest < maxIdle, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
}
