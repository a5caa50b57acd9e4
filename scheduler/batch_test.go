package scheduler

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestBatchBacklog guards against starts and acknowledgements that wait until the progress of all jobs is stored. At some thousand
// exits a second more jobs change all the time than a batch holds, so that no task started for seconds while workers were idle.
func TestBatchBacklog(t *testing.T) {
	const jobs, limit = 200, 20
	var ids []string
	for i := range jobs {
		ids = append(ids, fmt.Sprintf("w%03d", i))
	}
	r := newRig(t, 1, ids...)
	step := work.Step{Count: 2, Request: work.Resources{CPU: 2000}, Estimate: 1e9, MaxPerWorker: 1}
	for i := range jobs {
		r.addJob(work.Job{ID: fmt.Sprintf("j%03d", i), Queue: "q", Pool: "p", Steps: []work.Step{step}})
	}
	var commands []Command
	for len(commands) < 2*jobs {
		before := len(commands)
		commands = append(commands, r.pass()...)
		qt.Assert(t, len(commands) > before, qt.IsTrue)
	}
	r.accept(commands)
	for _, id := range ids {
		r.finish(id, worker.ExitStopped)
		r.reply(id)
	}
	clear(r.core.rosterChanges)
	// All jobs have changed. An exit of each worker is followed by the plan of a new run.
	r.schedule()
	planned := len(r.core.plannedRuns)
	qt.Assert(t, planned, qt.Equals, 2*jobs)
	first := r.core.plannedRuns[0].step.job.doc.ID
	b := r.core.TakeBatch(limit)
	qt.Assert(t, b.Progress, qt.HasLen, limit)
	qt.Assert(t, b.Progress[first], qt.IsNotNil)
	qt.Assert(t, len(b.plannedRuns) >= limit, qt.IsTrue)
	for _, run := range b.plannedRuns {
		qt.Assert(t, b.Progress[run.step.job.doc.ID], qt.IsNotNil)
	}
	for ws, seq := range b.exitAcks {
		for _, e := range ws.exits.Exits() {
			if e.Seq <= seq {
				qt.Assert(t, b.Progress[e.Job.doc.ID], qt.IsNotNil)
			}
		}
	}
	r.core.BatchStored(b)
	qt.Assert(t, startsOf(r.schedule()), qt.HasLen, len(b.plannedRuns))
	// A batch that failed starts nothing and acknowledges nothing.
	b = r.core.TakeBatch(limit)
	r.core.BatchFailed(b)
	qt.Assert(t, startsOf(r.schedule()), qt.HasLen, 0)
	stored := 0
	for range jobs {
		b = r.core.TakeBatch(limit)
		r.core.BatchStored(b)
		stored += len(b.plannedRuns)
	}
	qt.Assert(t, r.core.plannedRuns, qt.HasLen, 0)
	for _, ws := range r.core.workers {
		qt.Assert(t, ws.exits.Stored(), qt.Equals, ws.exitsProcessed)
		qt.Assert(t, ws.exits.Len(), qt.Equals, 0)
	}
}

// TestLargeRows guards against a batch that is larger than the store takes, which it would refuse again and again.
func TestLargeRows(t *testing.T) {
	tests := map[string]struct{ jobs, row int }{
		"small rows":   {2 * batchRows, 100},
		"large rows":   {2 * batchRows, store.MaxBytes / batchRows},
		"longest rows": {2 * batchRows, store.MaxRowBytes - 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, _ := newTestEngine(t, memory.New(), 1)
			for i := range test.jobs {
				id := fmt.Sprintf("%x", i)
				e.core.AddJob(work.Job{ID: id, Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}}, nil, 0)
				e.core.endJob(e.core.jobs[id], work.Failed, strings.Repeat("x", test.row))
			}
			stored := 0
			for range test.jobs {
				b, tx, err := e.nextBatch()
				qt.Assert(t, err, qt.IsNil)
				if b.Empty() {
					break
				}
				qt.Assert(t, tx.Size() <= store.MaxBytes, qt.IsTrue, qt.Commentf("%d bytes", tx.Size()))
				stored += len(b.Progress)
				e.core.BatchStored(b)
			}
			qt.Assert(t, stored, qt.Equals, test.jobs)
		})
	}
}

// TestUnencodableBatch guards against changes that are lost with a batch that cannot be encoded, and against one row that keeps all
// others from being stored.
func TestUnencodableBatch(t *testing.T) {
	tests := map[string]struct {
		fails   func(v any) bool
		stored  bool
		workers int
	}{
		"chain row":  {func(v any) bool { _, ok := v.(rowkeys.Chain); return ok }, false, 2},
		"one worker": {func(v any) bool { entry, ok := v.(*RosterEntry); return ok && entry.ID == "w1" }, true, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := memory.New()
			e, _ := newTestEngine(t, s, 1)
			c := e.core
			c.SetWorkers([]worker.Report{{ID: "w1", Pool: "p"}, {ID: "w2", Pool: "p"}})
			c.AddJob(work.Job{ID: "a1", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}}, nil, 0)
			c.endJob(c.jobs["a1"], work.Failed, "test")
			stored := func() bool { return len(progressRowsOf(t, s)) == 1 }
			commit := func(now time.Duration) {
				e.commit(now)
				e.tasks.Wait()
				for range len(e.inbox) {
					(<-e.inbox)(c)
				}
			}
			e.encode = func(v any) ([]byte, error) {
				if test.fails(v) {
					return nil, errors.New("test")
				}
				return encode(v)
			}
			now := clock.Now() + time.Second
			commit(now)
			qt.Assert(t, stored(), qt.Equals, test.stored)
			e.encode = encode
			commit(now + commitPause + time.Second)
			qt.Assert(t, stored(), qt.IsTrue)
			rows, err := s.Scan(t.Context(), rowkeys.TableFleet, "", "", "")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, rows.Rows, qt.HasLen, test.workers)
		})
	}
}
