package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
)

// earlierProgress is the progress of a job as earlier builds read it from the first row.
type earlierProgress struct {
	State       work.State                       `cbor:"1,keyasint"`
	Occurrences map[int]*work.OccurrenceProgress `cbor:"2,keyasint,omitempty"`
	Complete    map[int]bool                     `cbor:"3,keyasint,omitempty"`
}

// largeJob describes a job in whose progress all tasks have run, failed, crashed their worker and saved a checkpoint.
type largeJob struct {
	steps, tasks          int
	occurrences, complete int
	workers, idBytes      int
	failures, crashes     int
	checkpointBytes       int
	// done is the number of the tasks of a step that are done, in each occurrence.
	done int
}

func (l largeJob) doc() work.Job {
	doc := work.Job{ID: "a123456789abcdef", Queue: "q", Pool: "p"}
	for range l.steps {
		doc.Steps = append(doc.Steps, work.Step{Count: l.tasks / l.steps, Request: work.Resources{CPU: 1}, Checkpoints: true})
	}
	if l.occurrences > 1 {
		doc.ScheduledOccurrences, doc.Interval = l.occurrences, time.Millisecond
	}
	return doc
}

func (l largeJob) fill(j *job) {
	for k := range l.complete {
		j.progress.Complete[2*k] = true
	}
	n := 0
	for k, o := range j.open {
		for s := range o.steps {
			p := o.steps[s].progress
			for i := range o.steps[s].tasks {
				n++
				o.progress.SetRun(s, i, fmt.Sprintf("%0*x", l.idBytes, n%l.workers), 100_000+k)
				for f := range l.failures {
					p.AddFailure(i, 99_000+f)
				}
				for f := range l.crashes {
					p.AddCrash(i, 99_500+f, true)
					p.AddLateCrash(i)
				}
				if l.checkpointBytes > 0 {
					p.SetCheckpoint(i, fmt.Sprintf("%0*x", l.checkpointBytes, n))
				}
			}
			for i := range l.done {
				p.SetDone(i)
			}
		}
	}
}

// expected returns the progress without what is not needed of the tasks that are done.
func expected(p *work.Progress) *work.Progress {
	for _, o := range p.Occurrences {
		for s := range o.Steps {
			step := &o.Steps[s]
			done := func(index int) bool { return step.IsDone(index) }
			maps.DeleteFunc(step.Runs, func(i int, _ work.RunRecord) bool { return done(i) })
			maps.DeleteFunc(step.Failures, func(i int, _ []int) bool { return done(i) })
			maps.DeleteFunc(step.Crashes, func(i int, _ []int) bool { return done(i) })
			for _, crashes := range []map[int]int{step.ConfirmedCrashes, step.LateCrashes} {
				maps.DeleteFunc(crashes, func(i, _ int) bool { return done(i) })
			}
			maps.DeleteFunc(step.Checkpoints, func(i int, _ string) bool { return done(i) })
		}
	}
	return p
}

// TestProgressAboveRowLimit guards against a job whose progress is left out of each batch while its tasks start, because it is longer
// than a row may be. The next leader starts its tasks again.
func TestProgressAboveRowLimit(t *testing.T) {
	tests := map[string]largeJob{
		"tasks":              {steps: 1, tasks: work.MaxTasks, workers: 1100, idBytes: 16, failures: 1, checkpointBytes: 16},
		"tasks, some done":   {steps: 1, tasks: work.MaxTasks, workers: 1100, idBytes: 16, failures: 2, checkpointBytes: 16, done: 500},
		"steps":              {steps: work.MaxSteps, tasks: work.MaxTasks, workers: 1100, idBytes: 16, failures: 2, crashes: 2, checkpointBytes: 16, done: 3},
		"longest worker IDs": {steps: 1, tasks: work.MaxTasks, workers: work.MaxTasks, idBytes: store.MaxKeyBytes, failures: 9, crashes: 3},
		"open occurrences":   {steps: 1, tasks: 1, occurrences: 3000, workers: 1100, idBytes: 64, failures: 2, crashes: 3, checkpointBytes: 16},
		"large occurrences":  {steps: 10, tasks: 100, occurrences: 3000, workers: 1100, idBytes: 64, failures: 2, crashes: 3, checkpointBytes: 16, done: 2},
		"complete ones":      {steps: 1, tasks: 1, occurrences: work.MaxOccurrences, complete: work.MaxOccurrences / 8, workers: 100, idBytes: 16},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := memory.New()
			e, _ := newTestEngine(t, s, 1)
			c := e.core
			c.SetTime(time.Hour)
			c.SetWallClock(c.now, 1000*time.Second)
			doc := test.doc()
			qt.Assert(t, doc.Validate(), qt.IsNil)
			c.AddJob(doc, nil, 0)
			j := c.jobs[doc.ID]
			test.fill(j)
			if test.complete > 0 {
				// The occurrences in progress are those between the complete ones and all later ones.
				for k := 2 * test.complete; k < work.MaxOccurrences-1000; k++ {
					j.progress.Complete[k] = true
				}
			}
			whole, err := encode(j.progress)
			qt.Assert(t, err, qt.IsNil)
			t.Logf("progress of %d bytes", len(whole))
			qt.Assert(t, len(whole) > store.MaxRowBytes, qt.IsTrue)
			commitAll(t, e, s, j)

			l, err := load(t.Context(), s, hclog.NewNullLogger(), func(row store.Row, err error) { t.Errorf("row %s: %s", row.Name, err) })
			qt.Assert(t, err, qt.IsNil)
			stored, ok := l.progress[doc.ID]
			qt.Assert(t, ok, qt.IsTrue)
			next := NewCore(Options{Bounds: rigBounds(), Fence: 2, Term: 2})
			next.AddJob(doc, stored, 0)
			qt.Assert(t, next.jobs[doc.ID].progress, qt.DeepEquals, expected(j.progress))

			rows := progressRowsOf(t, s)
			var earlier earlierProgress
			qt.Assert(t, cbor.Unmarshal(rows[0].Value, &earlier), qt.IsNil)
			for k := range earlier.Complete {
				qt.Assert(t, j.progress.Complete[k], qt.IsTrue)
			}
			for k, o := range j.progress.Occurrences {
				for s := range o.Steps {
					qt.Assert(t, earlier.Occurrences[k].Steps[s].Done, qt.DeepEquals, o.Steps[s].Done)
				}
			}

			c.endJob(j, work.Finished, "")
			commitAll(t, e, s, j)
			rows = progressRowsOf(t, s)
			qt.Assert(t, rows, qt.HasLen, 1)
			qt.Assert(t, rows[0].Name, qt.Equals, doc.ID)
		})
	}
}

// commitAll stores all changes and checks that each transaction is within the limits of the store.
func commitAll(t *testing.T, e *Engine, s *memory.Store, j *job) {
	t.Helper()
	e.core.changedJobs[j] = true
	for range 10 {
		b, tx, err := e.nextBatch()
		qt.Assert(t, err, qt.IsNil)
		if b.Empty() {
			return
		}
		qt.Assert(t, tx.Size() <= store.MaxBytes, qt.IsTrue, qt.Commentf("%d bytes", tx.Size()))
		qt.Assert(t, len(tx.Expected)+len(tx.Puts)+len(tx.Removes) <= store.MaxEntries, qt.IsTrue)
		for _, p := range tx.Puts {
			qt.Assert(t, p.Validate(), qt.IsNil)
		}
		result, err := s.Commit(t.Context(), tx)
		qt.Assert(t, err, qt.IsNil)
		e.chainVersion = result.Version
		e.core.BatchStored(b)
	}
	t.Fatal("there is always another batch")
}

func progressRowsOf(t *testing.T, s *memory.Store) []store.Row {
	rows, err := s.Scan(t.Context(), rowkeys.TableProgress, "", "", "")
	qt.Assert(t, err, qt.IsNil)
	return rows.Rows
}

// TestStartsOfUnstorableJob guards against tasks that start although their record is not stored, and against other jobs that wait for
// the job.
func TestStartsOfUnstorableJob(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	j := r.addSteps("a", 2)
	r.addSteps("b", 4)
	o := j.open[0].progress
	for i := range 2 * store.MaxBytes / store.MaxKeyBytes {
		id := fmt.Sprintf("%0*d", store.MaxKeyBytes, i)
		o.Workers = append(o.Workers, id)
		// A worker that has not answered in this term is not forgotten.
		r.core.previousUsage[id] = make(map[string]work.Resources)
	}
	starts := append(startsOf(r.pass()), startsOf(r.pass())...)
	qt.Assert(t, starts, qt.HasLen, 4)
	for _, start := range starts {
		qt.Assert(t, strings.HasPrefix(start, "b "), qt.IsTrue, qt.Commentf("start %s", start))
	}
	o.Workers = nil
	for range 60 {
		r.advance(100 * time.Millisecond)
		r.reply("w1")
		r.reply("w2")
		starts = append(starts, startsOf(r.pass())...)
	}
	qt.Assert(t, starts, qt.HasLen, 6)
}

// TestCheckpointsAboveLimit guards against a job that is not stored at all because of the size of its checkpoints.
func TestCheckpointsAboveLimit(t *testing.T) {
	for name, size := range map[string]int{"many": 1000, "one above a row": store.MaxRowBytes} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			j := r.addSteps("a", work.MaxTasks)
			for i := range work.MaxTasks {
				j.open[0].progress.SetRun(0, i, "w1", 1)
			}
			for i := range 1000 {
				j.open[0].progress.Steps[0].SetCheckpoint(i, strings.Repeat("x", size))
			}
			r.core.changedJobs[j] = true
			b := r.core.TakeBatch(batchRows)
			qt.Assert(t, b.Progress["a"], qt.IsNotNil)
			joined := work.NewProgress()
			for _, p := range b.progressRows.Puts {
				qt.Assert(t, p.Validate(), qt.IsNil)
				var part work.Progress
				qt.Assert(t, cbor.Unmarshal(p.Value, &part), qt.IsNil)
				joined.Join(&part)
			}
			qt.Assert(t, joined.Occurrences[0].Steps[0].Runs, qt.HasLen, work.MaxTasks)
		})
	}
}

// TestPartsOfEarlierProgress guards against parts of a progress that are joined to what an earlier build has stored since, and against
// parts that stay in the store.
func TestPartsOfEarlierProgress(t *testing.T) {
	s := memory.New()
	e, _ := newTestEngine(t, s, 1)
	doc := largeJob{steps: 1, tasks: work.MaxTasks}.doc()
	value, err := rowkeys.EncodeJob(doc)
	qt.Assert(t, err, qt.IsNil)
	_, err = s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: rowkeys.Job(doc.ID), Value: value}}})
	qt.Assert(t, err, qt.IsNil)
	e.core.AddJob(doc, nil, 0)
	j := e.core.jobs[doc.ID]
	largeJob{workers: 1100, idBytes: 16, failures: 2, checkpointBytes: 16}.fill(j)
	commitAll(t, e, s, j)
	qt.Assert(t, len(progressRowsOf(t, s)) > 1, qt.IsTrue)

	earlier := &work.OccurrenceProgress{Steps: make([]work.StepProgress, 1)}
	earlier.SetRun(0, 7, "w1", 200_000)
	value, err = cbor.Marshal(earlierProgress{Occurrences: map[int]*work.OccurrenceProgress{0: earlier}})
	qt.Assert(t, err, qt.IsNil)
	_, err = s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: rowkeys.Progress(doc.ID), Value: value}}})
	qt.Assert(t, err, qt.IsNil)

	next, _ := newTestEngine(t, s, 2)
	qt.Assert(t, next.Start(t.Context()), qt.IsNil)
	defer next.Stop()
	var recorded []work.OccurrenceProgress
	qt.Assert(t, next.query(t.Context(), func(c *Core) { recorded = append(recorded, *c.jobs[doc.ID].open[0].progress) }), qt.IsNil)
	qt.Assert(t, recorded[0].Workers, qt.DeepEquals, []string{"w1"})
	qt.Assert(t, slices.Collect(maps.Keys(recorded[0].Steps[0].Runs)), qt.DeepEquals, []int{7})
	for range 100 {
		if len(progressRowsOf(t, s)) == 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%d rows", len(progressRowsOf(t, s)))
}

// TestBatchOfLargeEndedJobs guards against a batch with more rows than a transaction may have, which the store refuses again and again:
// jobs that end remove several rows each, and rows of pruned jobs are removed beside them.
func TestBatchOfLargeEndedJobs(t *testing.T) {
	s := memory.New()
	e, _ := newTestEngine(t, s, 1)
	c := e.core
	for i := range 8 {
		doc := work.Job{ID: fmt.Sprintf("a%015x", i), Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 1}}}}
		c.AddJob(doc, nil, 0)
		j := c.jobs[doc.ID]
		j.storedParts = maxProgressRows - 1
		c.endJob(j, work.Failed, "test")
	}
	for i := range 2 * store.MaxEntries {
		c.JobsPruned([]string{fmt.Sprintf("b%015x", i)})
	}
	for len(c.changedJobs)+len(c.prunedJobs) > 0 {
		b, tx, err := e.nextBatch()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, b.Empty(), qt.IsFalse)
		entries := len(tx.Expected) + len(tx.Puts) + len(tx.Removes)
		qt.Assert(t, entries <= store.MaxEntries, qt.IsTrue, qt.Commentf("%d entries", entries))
		c.BatchStored(b)
	}
}

// TestServiceOnManyWorkers guards against a service that does not start any more, because its progress names all workers that it ever
// ran on and has become too long for the store.
func TestServiceOnManyWorkers(t *testing.T) {
	const lives = 2000
	r := newRig(t, 1)
	j := r.addJob(work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 2, Request: work.Resources{CPU: 3000}, Service: true}}})
	id := func(life int) string { return fmt.Sprintf("w%0*d", store.MaxKeyBytes/2, life) }
	o := j.open[0]
	for life := range lives {
		r.register(id(life), "w")
		r.reply(id(life))
		r.reply("w")
		r.accept(r.pass())
		qt.Assert(t, j.open[0].steps[0].idleTasks, qt.Equals, 0)
		for _, recorded := range o.recordedWorkers {
			qt.Assert(t, slices.Contains(o.progress.Workers, recorded), qt.IsTrue)
		}
		for i := range 2 {
			on, number, ok := o.progress.Run(0, i)
			qt.Assert(t, ok, qt.IsTrue)
			current := o.steps[0].tasks[i].runs[0]
			qt.Assert(t, on, qt.Equals, current.worker.report.ID)
			qt.Assert(t, number, qt.Equals, current.number)
		}
		r.core.dropWorker(r.core.workers[id(life)], "test")
		delete(r.runs, id(life))
		r.advance(time.Second)
	}
	row, err := encode(j.progress)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(row) <= store.MaxRowBytes/4, qt.IsTrue, qt.Commentf("%d bytes", len(row)))
}
