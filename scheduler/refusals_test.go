package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// judgingStore fails each transaction for which judge returns an error.
type judgingStore struct {
	*memory.Store
	judge func(tx store.Tx) error
	calls int
}

func (s *judgingStore) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	s.calls++
	if err := s.judge(tx); err != nil {
		return store.Result{}, err
	}
	return s.Store.Commit(ctx, tx)
}

func refusal() error { return fmt.Errorf("%w: %w", store.ErrNotDone, store.ErrRefused) }

func writes(tx store.Tx, bad map[store.Key]bool) bool {
	for _, p := range tx.Puts {
		if bad[p.Key] {
			return true
		}
	}
	for _, k := range tx.Removes {
		if bad[k] {
			return true
		}
	}
	return false
}

func refusalEngine(t *testing.T, s *judgingStore, jobs int) *Engine {
	e, _ := newTestEngine(t, s.Store, 1)
	e.options.Store, e.options.Waves = s, manyWaves(0)
	c := e.core
	c.SetWorkers([]worker.Report{{ID: "w1", Pool: "p", Capacity: work.Resources{CPU: 4000}}})
	for i := range jobs {
		id := fmt.Sprint("j", i)
		c.AddJob(work.Job{ID: id, Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1, Service: true}}}, nil, 0)
		c.planRun(c.jobs[id].open[0].steps[0], 0, 1, c.workers["w1"])
	}
	return e
}

// play commits until done, for at most d.
func play(e *Engine, now *time.Duration, d time.Duration, done func() bool) time.Duration {
	start := *now
	for *now < start+d && !done() {
		e.core.SetTime(*now)
		before := time.Now()
		e.commit(*now)
		e.tasks.Wait()
		for range len(e.inbox) {
			(<-e.inbox)(e.core)
		}
		*now += max(commitInterval, time.Since(before))
	}
	return *now - start
}

// TestRefusalAsUnknown guards against a batch that is repeated unchanged since the store refuses it with a status that is not listed, such as 413.
func TestRefusalAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad := map[store.Key]bool{rowkeys.Progress("j7"): true}
		s := &judgingStore{Store: memory.New()}
		s.judge = func(tx store.Tx) error {
			if writes(tx, bad) {
				return store.ErrUnknown
			}
			return nil
		}
		e := refusalEngine(t, s, 80)
		now := clock.Now() + time.Minute
		play(e, &now, time.Minute, func() bool { return len(e.core.changedJobs) <= 1 })
		qt.Assert(t, len(e.core.changedJobs) <= 1, qt.IsTrue, qt.Commentf("%d jobs not stored after a minute and %d calls", len(e.core.changedJobs), s.calls))
	})
}

// TestOtherRowsDuringSearch guards against jobs that wait for the end of the search for refused rows.
func TestOtherRowsDuringSearch(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, 20, 80} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bad := make(map[store.Key]bool)
				for i := range n {
					bad[rowkeys.Progress(fmt.Sprint("j", i))] = true
				}
				s := &judgingStore{Store: memory.New()}
				s.judge = func(tx store.Tx) error {
					if writes(tx, bad) {
						return refusal()
					}
					return nil
				}
				e := refusalEngine(t, s, 80)
				now := clock.Now() + time.Minute
				play(e, &now, 5*commitInterval, func() bool { return s.calls > 0 })
				// The search has begun.
				e.core.AddJob(work.Job{ID: "new", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1, Service: true}}}, nil, 0)
				j := e.core.jobs["new"]
				e.core.planRun(j.open[0].steps[0], 0, 1, e.core.workers["w1"])
				took := play(e, &now, time.Minute, func() bool { return j.started })
				t.Logf("%d refused rows: the new task starts after %s", n, took)
				qt.Assert(t, took < time.Second, qt.IsTrue)
			})
		})
	}
}

// TestRefusalOfAllBatches guards against rows that wait long after the store refuses no batch any more.
func TestRefusalOfAllBatches(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 10 * time.Second, 60 * time.Second} {
		for name, cause := range map[string]error{"refused": refusal(), "not done": store.ErrNotDone} {
			t.Run(fmt.Sprint(outage, " ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					down := true
					s := &judgingStore{Store: memory.New()}
					s.judge = func(store.Tx) error {
						if down {
							return cause
						}
						return nil
					}
					e := refusalEngine(t, s, 2000)
					now := clock.Now() + time.Minute
					play(e, &now, outage, func() bool { return false })
					down = false
					calls := s.calls
					took := play(e, &now, 5*time.Minute, func() bool { return len(e.core.changedJobs) == 0 })
					t.Logf("%s %s: %d calls while down; all stored %s after the end, with %d calls", outage, name, calls, took, s.calls-calls)
					qt.Assert(t, took < 3*time.Second, qt.IsTrue)
				})
			})
		}
	}
}

// TestTasksAfterUnacknowledgedExits guards against tasks that never run again, because their worker lists no more exits beside those of a job that cannot be stored.
func TestTasksAfterUnacknowledgedExits(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	j := r.addSteps("unstorable", 1)
	j.notStoredBefore = r.now + time.Hour
	ws := r.core.workers["w1"]
	for seq := range uint64(maxOpenExits - 1) {
		ws.exits.Add(seq+1, j)
	}
	ws.exitsProcessed = maxOpenExits - 1
	for i := range 6 {
		r.addJob(work.Job{ID: fmt.Sprint("s", i), Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 1000}, Service: true}}})
	}
	r.accept(r.pass())
	qt.Assert(t, r.runs["w1"], qt.HasLen, 1)
	qt.Assert(t, r.runs["w2"], qt.HasLen, 4)
}

// TestPrunedJobAgain guards against the removal of the progress of a job that was handed in again with the ID of a pruned one.
func TestPrunedJobAgain(t *testing.T) {
	s := &judgingStore{Store: memory.New(), judge: func(store.Tx) error { return nil }}
	e := refusalEngine(t, s, 1)
	e.core.JobsPruned([]string{"j0"})
	b, tx, err := e.nextBatch()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(b.plannedRuns), qt.Equals, 1)
	for _, p := range tx.Puts {
		for _, k := range tx.Removes {
			qt.Assert(t, p.Key, qt.Not(qt.Equals), k)
		}
	}
}

// TestBatchAgeAfterIdleTime guards against a batch age that counts the time in which there was nothing to store.
func TestBatchAgeAfterIdleTime(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.store()
	r.advance(10 * time.Minute)
	r.reply("w1")
	r.addSteps("a", 1)
	r.schedule()
	qt.Assert(t, r.core.Counts().SinceStored < time.Second, qt.IsTrue, qt.Commentf("%s", r.core.Counts().SinceStored))
}

// TestLargeJobBesideRoster guards against a job of several rows that waits for all changes of the roster.
func TestLargeJobBesideRoster(t *testing.T) {
	s := &judgingStore{Store: memory.New(), judge: func(store.Tx) error { return nil }}
	e := refusalEngine(t, s, 1)
	var reports []worker.Report
	for i := range 3700 {
		reports = append(reports, worker.Report{ID: fmt.Sprint("w", i), Pool: "p", Capacity: work.Resources{CPU: 4000}})
	}
	e.core.SetWorkers(reports)
	// The progress had a second row, which is removed.
	e.core.jobs["j0"].storedParts = 1
	batches := 0
	for started := false; !started; batches++ {
		b, _, err := e.nextBatch()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, b.Empty(), qt.IsFalse)
		started = len(b.plannedRuns) > 0
		e.core.BatchStored(b)
	}
	t.Logf("batches until the run is recorded: %d", batches)
	qt.Assert(t, batches <= 2, qt.IsTrue)
}

// aliasedWave is one wave that many rows of the operator request.
type aliasedWave int

func (n aliasedWave) Waves() map[string]instance.Wave {
	waves := make(map[string]instance.Wave, n)
	for i := range int(n) {
		waves[fmt.Sprint("wave/", i)] = instance.Wave{Number: 1, Instances: []string{"i1"}, MaxUnavailable: 1}
	}
	return waves
}

func (aliasedWave) WaveStatus(name string, _ bool) store.Put {
	return store.Put{Key: store.Key{Table: "status", Name: name}, Value: []byte(`{"state":"running"}`)}
}

// TestWaveWithManyNames guards against batches that are too small for a wave, because many rows request it.
func TestWaveWithManyNames(t *testing.T) {
	s := &judgingStore{Store: memory.New(), judge: func(store.Tx) error { return nil }}
	e := refusalEngine(t, s, 500)
	e.options.Waves = aliasedWave(100)
	for _, doc := range e.options.Waves.Waves() {
		e.core.AddWave(doc, nil)
	}
	batches, stored := 0, false
	for ; batches < 1000; batches++ {
		b, tx, err := e.nextBatch()
		qt.Assert(t, err, qt.IsNil)
		if b.Empty() {
			break
		}
		qt.Assert(t, tx.Validate(), qt.IsNil)
		stored = stored || len(b.Waves) > 0
		e.core.BatchStored(b)
	}
	t.Logf("%d batches; wave stored: %v", batches, stored)
	qt.Assert(t, stored, qt.IsTrue)
	qt.Assert(t, batches < 20, qt.IsTrue)
}

// TestSameKeyPutAndRemoved guards against a search that never ends, because a batch writes a row and removes it.
func TestSameKeyPutAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &judgingStore{Store: memory.New()}
		s.judge = func(tx store.Tx) error {
			for _, p := range tx.Puts {
				for _, k := range tx.Removes {
					if p.Key == k {
						return refusal()
					}
				}
			}
			return nil
		}
		e := refusalEngine(t, s, 80)
		e.core.JobsPruned([]string{"j7"})
		now := clock.Now() + time.Minute
		took := play(e, &now, time.Minute, func() bool { return len(e.core.changedJobs) <= 1 })
		t.Logf("took %s with %d calls", took, s.calls)
		qt.Assert(t, len(e.core.changedJobs) <= 1, qt.IsTrue, qt.Commentf("%d jobs not stored after a minute", len(e.core.changedJobs)))
	})
}

// TestPrunedProgressIsLost guards against a run that starts although the row that records it was removed.
func TestPrunedProgressIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &judgingStore{Store: memory.New(), judge: func(store.Tx) error { return nil }}
		e := refusalEngine(t, s, 1)
		e.core.JobsPruned([]string{"j0"})
		now := clock.Now() + time.Minute
		play(e, &now, time.Second, func() bool { return e.core.jobs["j0"].started })
		rows, err := s.Scan(t.Context(), rowkeys.TableProgress, "", "", "")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, e.core.jobs["j0"].started, qt.IsTrue)
		qt.Assert(t, rows.Rows, qt.HasLen, 1)
	})
}

// TestExpiredCommandsOfFailedBatch guards against command times that are never removed, because the batch with their removal failed.
func TestExpiredCommandsOfFailedBatch(t *testing.T) {
	s := &judgingStore{Store: memory.New(), judge: func(store.Tx) error { return nil }}
	e := refusalEngine(t, s, 1)
	e.core.fleet.commandedAt["i1"] = e.core.now
	e.core.SetTime(e.core.now + commandRetention + time.Second)
	b, _, err := e.nextBatch()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.ExpiredCommands, qt.HasLen, 1)
	e.core.BatchFailed(b)
	b, _, err = e.nextBatch()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.ExpiredCommands, qt.HasLen, 1)
}

// TestWaveBesideRefusedCommand guards against a wave that stops because the record of one of its commands is refused.
func TestWaveBesideRefusedCommand(t *testing.T) {
	r := newRig(t, 1)
	c := r.core
	ids := []string{"i1", "i2", "i3"}
	var list []instance.Instance
	for _, id := range ids {
		list = append(list, instance.Instance{ID: id, Pool: "p", State: instance.Up})
	}
	c.AddWave(instance.Wave{Number: 1, Instances: ids, MaxUnavailable: 1, MaxDuration: 30 * time.Second}, nil)
	bad := ""
	begun := make(map[string]bool)
	for range 400 {
		r.advance(50 * time.Millisecond)
		c.SetInstances(list, r.now)
		for _, cmd := range c.TakeInstanceCommands() {
			begun[cmd.Instance] = true
			c.HandleInstanceReply(cmd, instance.Accepted, nil)
		}
		r.schedule()
		b := c.TakeBatch(batchRows)
		refused := false
		for id := range b.InstanceCommandTimes {
			if bad == "" {
				bad = id
			}
			refused = refused || id == bad
		}
		if refused {
			c.BatchRefused(b, store.ErrRefused)
			continue
		}
		c.BatchStored(b)
	}
	t.Logf("begun within 20 s: %v; refused command of %s", begun, bad)
	qt.Assert(t, len(begun), qt.Equals, len(ids)-1)
}
