package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestRowSizes guards against rows that grow with the fleet. The store refuses a row above its limit and with it every batch, so
// that no task or instance command starts any more; and each change of a long row is paid for by all of its bytes.
func TestRowSizes(t *testing.T) {
	const fleet, maxRow = 3700, 1000
	s := memory.New()
	e, _ := newTestEngine(t, s, 1)
	c := e.core
	var reports []worker.Report
	wave := instance.Wave{Number: 1, MaxDuration: time.Minute, MaxUnavailable: fleet}
	for i := range fleet {
		id := fmt.Sprintf("i-%010d", i)
		reports = append(reports, worker.Report{ID: id, Pool: "p", Address: "10.0.0.1:8000", Incarnation: 1e12, Capacity: work.Resources{CPU: 64000, Memory: 1 << 17}})
		wave.Instances = append(wave.Instances, "m-"+id)
	}
	c.SetWorkers(reports)
	c.AddWave(wave, nil)
	for _, id := range wave.Instances {
		cmd := InstanceCommand{Instance: id, Wave: 1}
		c.fleet.planCommand(c.now, cmd)
		c.HandleInstanceReply(cmd, instance.Accepted, nil)
	}
	written := make(map[store.Key]int)
	for range fleet {
		b := c.TakeBatch(batchRows)
		if b.Empty() {
			break
		}
		tx, err := e.transaction(b)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(tx.Expected)+len(tx.Puts)+len(tx.Removes) <= store.MaxEntries, qt.IsTrue)
		for _, p := range tx.Puts {
			qt.Assert(t, len(p.Value) <= maxRow, qt.IsTrue, qt.Commentf("row %s has %d bytes", p.Name, len(p.Value)))
			written[p.Key]++
		}
		c.BatchStored(b)
	}
	delete(written, rowkeys.Leadership(rowkeys.RowChain))
	for key, n := range written {
		qt.Assert(t, n, qt.Equals, 1, qt.Commentf("row %s", key.Name))
	}
	// A roster entry, a command and a begun maintenance for each instance, and two rows of the wave.
	qt.Assert(t, len(written) >= 3*fleet, qt.IsTrue)
}

// TestUnstorableRows guards against one row above a limit of the store that makes it refuse every batch, and with it the progress of
// all jobs.
func TestUnstorableRows(t *testing.T) {
	long := strings.Repeat("x", store.MaxKeyBytes)
	tests := map[string]func(c *Core){
		"worker added": func(c *Core) { c.SetWorkers([]worker.Report{{ID: long, Pool: "p"}}) },
		"worker removed": func(c *Core) {
			c.SetWorkers([]worker.Report{{ID: long, Pool: "p"}})
			c.dropWorker(c.workers[long], "test")
		},
		"instance command": func(c *Core) { c.fleet.planCommand(c.now, InstanceCommand{Instance: long, Pool: "p"}) },
		"maintenance": func(c *Core) {
			c.AddWave(instance.Wave{Number: 1, MaxDuration: time.Minute, Instances: []string{long}, MaxUnavailable: 1}, nil)
			cmd := InstanceCommand{Instance: long, Wave: 1}
			c.fleet.planCommand(c.now, cmd)
			c.HandleInstanceReply(cmd, instance.Accepted, nil)
		},
		"progress of a job": func(c *Core) {
			c.AddJob(work.Job{ID: "a1", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}}, nil, 0)
			c.endJob(c.jobs["a1"], work.Failed, strings.Repeat("x", store.MaxRowBytes))
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			e, _ := newTestEngine(t, memory.New(), 1)
			e.core.AddJob(work.Job{ID: "b1", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}}, nil, 0)
			e.core.endJob(e.core.jobs["b1"], work.Failed, "test")
			prepare(e.core)
			tx, err := e.transaction(e.core.TakeBatch(batchRows))
			qt.Assert(t, err, qt.IsNil)
			stored := false
			for _, p := range tx.Puts {
				qt.Assert(t, p.Validate(), qt.IsNil)
				stored = stored || p.Key == rowkeys.Progress("b1")
			}
			for _, k := range tx.Removes {
				qt.Assert(t, k.Validate(), qt.IsNil)
			}
			qt.Assert(t, stored, qt.IsTrue)
		})
	}
}

// TestOldRows guards against an upgrade that forgets the workers, commands and maintenance in the rows of an earlier version, and
// against old rows that stay and bring back workers that have left.
func TestOldRows(t *testing.T) {
	s := memory.New()
	e, _ := newTestEngine(t, s, 2)
	put := func(key store.Key, v any) store.Put {
		data, err := cbor.Marshal(v)
		qt.Assert(t, err, qt.IsNil)
		return store.Put{Key: key, Value: data}
	}
	_, err := s.Commit(t.Context(), store.Tx{Puts: []store.Put{
		put(rowkeys.Leadership(rowkeys.RowRoster), []RosterEntry{{ID: "w1", Pool: "p"}, {ID: "w2", Pool: "p"}}),
		put(rowkeys.Leadership(rowkeys.RowInstances), map[string]time.Duration{"m1": time.Second}),
		put(rowkeys.Progress(rowkeys.WaveName(7)), WaveProgress{Number: 7, Begun: map[string]string{"m1": "w0"}}),
		put(rowkeys.Progress(rowkeys.WaveName(7)+"/m2"), "w9"),
		put(rowkeys.Fleet(rowkeys.RosterPrefix+"w2"), RosterEntry{ID: "w2", Pool: "p"}),
	}})
	qt.Assert(t, err, qt.IsNil)
	l, err := load(t.Context(), s, hclog.NewNullLogger(), func(row store.Row, err error) { t.Errorf("row %s: %s", row.Name, err) })
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, l.waves[7].Begun, qt.DeepEquals, map[string]string{"m1": "w0", "m2": "w9"})
	qt.Assert(t, l.instances, qt.DeepEquals, map[string]time.Duration{"m1": time.Second})
	e.core.SetRoster(l.roster)
	e.core.MigrateRows(l.oldRoster, l.hasOldRows)
	qt.Assert(t, e.core.workers, qt.HasLen, 2)
	b := e.core.TakeBatch(batchRows)
	tx, err := e.transaction(b)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, tx.Removes, qt.DeepEquals, []store.Key{rowkeys.Leadership(rowkeys.RowRoster), rowkeys.Leadership(rowkeys.RowInstances)})
	qt.Assert(t, b.Roster, qt.HasLen, 1)
	qt.Assert(t, b.Roster["w1"], qt.IsNotNil)
}

// malformedJobs are rows of jobs that decode but cannot be scheduled.
func malformedJobs() map[string]work.Job {
	step := work.Step{Count: 1, Request: work.Resources{CPU: 1}}
	later, missing, negative := step, step, step
	later.DependsOn, missing.DependsOn, negative.Count = []int{1}, []int{-1}, -1
	return map[string]work.Job{
		"no steps":         {ID: "a", Pool: "p", Queue: "q"},
		"depends on later": {ID: "a", Pool: "p", Queue: "q", Steps: []work.Step{later, step}},
		"depends on none":  {ID: "a", Pool: "p", Queue: "q", Steps: []work.Step{missing}},
		"negative count":   {ID: "a", Pool: "p", Queue: "q", Steps: []work.Step{negative}},
	}
}

// scheduleRows loads a job row and a progress row and schedules them.
func scheduleRows(t *testing.T, job, progress []byte) {
	r := newRig(t, 2, "w1")
	l := newLoadedRows()
	_ = l.decodeJobRow(store.Row{Key: store.Key{Name: "a"}, Value: job})
	_ = l.decodeProgress(store.Row{Key: store.Key{Name: "a"}, Value: progress})
	_ = l.decodeProgress(store.Row{Key: store.Key{Name: rowkeys.WavePrefix + "1"}, Value: progress})
	_ = l.decodeFleetRow(store.Row{Key: store.Key{Name: rowkeys.RosterPrefix + "w"}, Value: progress})
	for id, j := range l.jobs {
		r.core.AddJob(j, l.progress[id], 0)
		r.accept(r.pass())
	}
}

// TestMalformedRows guards against a row that takes down every process that becomes the leader.
func TestMalformedRows(t *testing.T) {
	for name, job := range malformedJobs() {
		t.Run(name, func(t *testing.T) {
			data, err := cbor.Marshal(job)
			qt.Assert(t, err, qt.IsNil)
			_, err = rowkeys.DecodeJob(store.Row{Value: data})
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
	job, err := rowkeys.EncodeJob(work.Job{ID: "a", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}})
	qt.Assert(t, err, qt.IsNil)
	progress, err := cbor.Marshal(work.Progress{Occurrences: map[int]*work.OccurrenceProgress{0: nil}})
	qt.Assert(t, err, qt.IsNil)
	scheduleRows(t, job, progress)
}

// FuzzRows guards against rows that panic a new leader.
func FuzzRows(f *testing.F) {
	job, err := rowkeys.EncodeJob(work.Job{ID: "a", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 2, Gang: true}, {Count: 1, DependsOn: []int{0}}}})
	qt.Assert(f, err, qt.IsNil)
	progress, err := cbor.Marshal(work.Progress{State: work.Running, Occurrences: map[int]*work.OccurrenceProgress{0: {
		Workers: []string{"w1"}, Steps: []work.StepProgress{{Done: []byte{1}, Failures: map[int][]int{0: {1}}, Runs: map[int]work.RunRecord{1: {Number: 3}}}, {}},
	}}})
	qt.Assert(f, err, qt.IsNil)
	f.Add(job, progress)
	f.Fuzz(func(t *testing.T, job, progress []byte) { scheduleRows(t, job, progress) })
}

// TestShortenedJobs guards against a take-over that reads the specifications of thousands of ended jobs before it starts anything,
// and against an ended job that runs again or is forgotten once its row was shortened.
func TestShortenedJobs(t *testing.T) {
	s := memory.New()
	e, _ := newTestEngine(t, s, 1)
	c := e.core
	doc := work.Job{ID: "a1", Pool: "p", Queue: "q", Spec: strings.Repeat("x", work.MaxSpec), Steps: []work.Step{{Count: 1}}}
	value, err := rowkeys.EncodeJob(doc)
	qt.Assert(t, err, qt.IsNil)
	_, err = s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: rowkeys.Job("a1"), Value: value}}})
	qt.Assert(t, err, qt.IsNil)
	c.AddJob(doc, nil, 0)
	qt.Assert(t, c.TakeJobsToShorten(), qt.HasLen, 0)
	c.endJob(c.jobs["a1"], work.Failed, "test")
	b := c.TakeBatch(batchRows)
	qt.Assert(t, c.TakeJobsToShorten(), qt.HasLen, 0)
	c.BatchStored(b)
	go e.runLoop()
	defer e.cancel()
	e.shortenJobs(t.Context())
	rows, err := s.Scan(t.Context(), rowkeys.TableJobs, rowkeys.JobPartition("a1"), "", "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows.Rows, qt.HasLen, 1)
	qt.Assert(t, len(rows.Rows[0].Value) < 100, qt.IsTrue)
	l, err := load(t.Context(), s, hclog.NewNullLogger(), func(row store.Row, err error) { t.Errorf("row %s: %s", row.Name, err) })
	qt.Assert(t, err, qt.IsNil)
	// The progress row of the job is missing here, which must not make it run again.
	next := NewCore(Options{Bounds: rigBounds(), Fence: 2, Term: 2})
	next.AddJob(l.jobs["a1"], nil, 0)
	state, known := next.JobState("a1")
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, state, qt.Equals, work.Failed)
	qt.Assert(t, next.pools, qt.HasLen, 0)
}

// TestOverdueOccurrences guards against a job that ends every process which becomes the leader, because all of its overdue occurrences
// are opened at once: they do not fit into its memory, nor their progress into a row, so that their runs would start unrecorded.
func TestOverdueOccurrences(t *testing.T) {
	const occurrences = 3000
	for name, tasks := range map[string]int{"one task": 1, "ten tasks": 10, "hundred tasks": 100} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 100, "w1")
			r.core.SetWallClock(r.now, 1000*time.Second)
			j := r.addJob(work.Job{
				ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: tasks, Request: work.Resources{CPU: 1}}}, ScheduledOccurrences: occurrences, Interval: time.Millisecond,
			})
			longest := 0
			for len(j.progress.Complete) < occurrences {
				qt.Assert(t, len(j.open) > 0, qt.IsTrue)
				for _, o := range j.open {
					for i := range o.steps[0].tasks {
						o.progress.SetRun(0, i, "w1", r.core.nextRunNumber(&o.steps[0].tasks[i]))
					}
				}
				row, err := encode(j.progress)
				qt.Assert(t, err, qt.IsNil)
				longest = max(longest, len(row))
				for _, o := range j.open {
					for i := range o.steps[0].tasks {
						r.core.markTaskDone(o.steps[0], i)
					}
				}
				r.core.handleTimeouts()
			}
			qt.Assert(t, longest <= store.MaxRowBytes, qt.IsTrue, qt.Commentf("%d bytes", longest))
			qt.Assert(t, j.progress.State, qt.Equals, work.Finished)
		})
	}
}

// TestOpenOccurrencesAfterTakeover guards against an occurrence whose tasks run and that the next leader does not know.
func TestOpenOccurrencesAfterTakeover(t *testing.T) {
	doc := work.Job{
		ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 100, Request: work.Resources{CPU: 1}}}, ScheduledOccurrences: 1000, Interval: time.Millisecond,
	}
	progress := work.NewProgress()
	for k := range 300 {
		progress.Occurrence(&doc, k).SetRun(0, 0, "w1", 1)
	}
	r := newRig(t, 2, "w1")
	r.core.SetWallClock(r.now, 1000*time.Second)
	r.core.AddJob(doc, progress, 0)
	qt.Assert(t, len(r.core.jobs["a"].open), qt.Equals, 300)
}
