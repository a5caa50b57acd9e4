package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestEndedRunsAcrossTakeovers guards against a team that has more running than its limit allows, because a new leader does not count runs of a
// job that was cancelled before and whose worker has not carried out the stops, and against runs that count for longer than they may last.
func TestEndedRunsAcrossTakeovers(t *testing.T) {
	tests := map[string]struct {
		// cancelledBy is the term in which the job is cancelled, and terms that of the last leader, after which the others were lost.
		cancelledBy, terms int
		// answers is the time after the last takeover at which the worker answers, and 0 if it does not. Its runs end a second later.
		answers time.Duration
	}{
		"worker never answers":                 {cancelledBy: 1, terms: 2},
		"worker answers":                       {cancelledBy: 1, terms: 2, answers: 500 * time.Millisecond},
		"leaders in a row":                     {cancelledBy: 1, terms: 4, answers: 500 * time.Millisecond},
		"leaders in a row, never an answer":    {cancelledBy: 1, terms: 4},
		"cancelled by a leader without answer": {cancelledBy: 2, terms: 3, answers: 500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1", "w2")
			doc := work.Job{ID: "a", Queue: "q", Pool: "p", Team: "limited", Steps: []work.Step{{Count: 2, Request: work.Resources{CPU: 1000, Memory: 2000}, MaxPerWorker: 2}}}
			r.register("w1")
			r.addJob(doc)
			r.accept(r.pass())
			qt.Assert(t, r.runs["w1"], qt.HasLen, 2)
			runs, stored := r.runs, make(map[string][]byte)
			store := func() {
				b := r.core.TakeBatch(100)
				for id, j := range r.core.jobs {
					if _, changed := b.Progress[id]; changed {
						tx, _, err := r.core.progressRows(j)
						qt.Assert(t, err, qt.IsNil)
						stored[id] = tx.Puts[0].Value
					}
				}
				r.stored++
				r.core.SetStoredVersion(r.core.options.Fence + r.stored)
				r.core.BatchStored(b)
			}
			r.core.changedJobs[r.core.jobs["a"]] = true
			for term := 1; term <= test.terms; term++ {
				if term > 1 {
					next := newRig(t, term, "w2")
					next.runs, next.leases = runs, r.leases
					progress := work.NewProgress()
					qt.Assert(t, cbor.Unmarshal(stored["a"], progress), qt.IsNil)
					next.core.SetRoster([]RosterEntry{{ID: "w1", Pool: "p", Address: "w1:1", Incarnation: rigIncarnation, Capacity: coresOnly(4)}})
					next.core.AddJob(doc, progress, 0)
					r = next
				}
				if term == test.cancelledBy {
					r.core.Cancel("a")
				}
				r.advance(100 * time.Millisecond)
				r.register("w1", "w2")
				r.schedule()
				store()
				qt.Assert(t, r.core.TakeJobsToShorten(), qt.HasLen, 0, qt.Commentf("the steps tell what the runs use"))
			}
			takeover, ended, startedAt := r.now, false, time.Duration(0)
			r.addJob(work.Job{ID: "b", Queue: "q", Pool: "p", Team: "limited", Steps: []work.Step{{Count: 2, Request: work.Resources{CPU: 1000, Memory: 100}}}})
			for startedAt == 0 && r.now < takeover+20*time.Second {
				r.advance(100 * time.Millisecond)
				r.reply("w2")
				if test.answers > 0 && r.now >= takeover+test.answers {
					if !ended && r.now >= takeover+test.answers+time.Second {
						ended = true
						for i, run := range runs["w1"] {
							r.exits["w1"] = append(r.exits["w1"], worker.Exit{Seq: uint64(i + 1), Task: run.Task, Number: run.Number, Reason: worker.ExitStopped})
						}
						runs["w1"] = nil
					}
					r.reply("w1")
				}
				for range 2 {
					for _, start := range startsOf(r.schedule()) {
						qt.Assert(t, start[:1], qt.Equals, "b")
						startedAt = r.now
					}
					store()
				}
			}
			after := startedAt - takeover
			if test.answers > 0 {
				qt.Assert(t, ended, qt.IsTrue, qt.Commentf("started %v after the takeover", after))
				qt.Assert(t, after <= test.answers+1300*time.Millisecond, qt.IsTrue, qt.Commentf("started %v after the takeover", after))
			} else {
				qt.Assert(t, after > leaseDuration && after < 7*time.Second, qt.IsTrue, qt.Commentf("started %v after the takeover", after))
			}
			for range 3 {
				r.advance(100 * time.Millisecond)
				r.schedule()
				store()
			}
			progress := work.NewProgress()
			qt.Assert(t, cbor.Unmarshal(stored["a"], progress), qt.IsNil)
			qt.Assert(t, progress.State, qt.Equals, work.Cancelled)
			qt.Assert(t, progress.Occurrences, qt.HasLen, 0)
			qt.Assert(t, len(r.core.TakeJobsToShorten()) > 0, qt.IsTrue)
		})
	}
}

// TestFinalStateStays guards against a job that is shown as cancelled and then as finished, because its last run is done before the worker has
// carried out the stop.
func TestFinalStateStays(t *testing.T) {
	// recorded means that this leader started the run, and endedBefore that the job had ended before its term.
	for name, test := range map[string]struct{ recorded, endedBefore bool }{
		"run of this leader":             {recorded: true},
		"run of an earlier leader":       {},
		"job that ended before the term": {endedBefore: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, "w1")
			if test.recorded {
				r.addSteps("a", 1)
				r.accept(r.pass())
			} else {
				doc := work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 1000}}}}
				progress := work.NewProgress()
				progress.Occurrence(&doc, 0).SetRun(0, 0, "w1", 1)
				if test.endedBefore {
					progress.State = work.Cancelled
				}
				r.core.AddJob(doc, progress, 0)
			}
			r.core.Cancel("a")
			run := 1
			if test.recorded {
				run = r.runs["w1"][0].Number
			}
			r.runs["w1"] = nil
			r.exits["w1"] = []worker.Exit{{Seq: 1, Task: work.Task{Job: "a"}, Number: run, Reason: worker.ExitDone}}
			for range 3 {
				r.advance(100 * time.Millisecond)
				r.reply("w1")
				r.pass()
				state, known := r.core.JobState("a")
				qt.Assert(t, known, qt.IsTrue)
				qt.Assert(t, state, qt.Equals, work.Cancelled)
			}
		})
	}
}
