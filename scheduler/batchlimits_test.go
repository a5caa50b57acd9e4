package scheduler

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// manyWaves are requests for maintenance of one instance each.
type manyWaves int

func (n manyWaves) Waves() map[string]instance.Wave {
	waves := make(map[string]instance.Wave, n)
	for i := 1; i <= int(n); i++ {
		waves[fmt.Sprint(i)] = instance.Wave{Number: i, Instances: []string{fmt.Sprintf("i%d", i)}, MaxUnavailable: 1}
	}
	return waves
}

func (manyWaves) WaveStatus(name string, _ bool) store.Put {
	return store.Put{Key: store.Key{Table: "status", Name: "wave/" + name}, Value: []byte{1}}
}

// TestStartBesideManyNewWaves guards against tasks that never start because batches with many new waves exceed the entries of a transaction.
func TestStartBesideManyNewWaves(t *testing.T) {
	tests := map[string]struct{ waves, commands int }{
		"few waves":                 {3, 0},
		"many waves":                {400, 0},
		"few waves, many commands":  {3, 400},
		"forty waves and commands":  {40, 40},
		"many waves, many commands": {400, 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, _ := newTestEngine(t, memory.New(), 1)
			e.options.Waves = manyWaves(test.waves)
			c := e.core
			for _, doc := range e.options.Waves.Waves() {
				c.AddWave(doc, nil)
			}
			c.SetWorkers([]worker.Report{{ID: "w1", Pool: "p", Capacity: work.Resources{CPU: 4000}}})
			c.AddJob(work.Job{ID: "a", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1, Service: true}}}, nil, 0)
			s := c.jobs["a"].open[0].steps[0]
			c.planRun(s, 0, 1, c.workers["w1"])
			for i := range test.commands {
				c.fleet.planCommand(c.now, InstanceCommand{Instance: fmt.Sprintf("i%d", i), Pool: "p"})
			}
			waves, commands, started := 0, 0, false
			for range test.waves + test.commands {
				b, tx, err := e.nextBatch()
				qt.Assert(t, err, qt.IsNil)
				if b.Empty() {
					break
				}
				qt.Assert(t, tx.Entries() <= store.MaxEntries, qt.IsTrue, qt.Commentf("%d entries", tx.Entries()))
				waves += len(b.Waves)
				commands += len(b.instanceCommands)
				started = started || len(b.plannedRuns) > 0
				c.BatchStored(b)
			}
			qt.Assert(t, started, qt.IsTrue)
			qt.Assert(t, waves, qt.Equals, test.waves)
			qt.Assert(t, commands, qt.Equals, test.commands)
		})
	}
}

// refusingStore refuses each transaction with one row, however often it is sent.
type refusingStore struct {
	*memory.Store
	row     store.Key
	refuses bool
}

func (s *refusingStore) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	written := func(p store.Put) bool { return p.Key == s.row }
	if s.refuses && (slices.ContainsFunc(tx.Puts, written) || slices.Contains(tx.Removes, s.row)) {
		return store.Result{}, fmt.Errorf("%w: %w", store.ErrNotDone, store.ErrRefused)
	}
	return s.Store.Commit(ctx, tx)
}

// TestRefusedRow guards against one row that the store refuses and that keeps all others from being stored, and all tasks from starting.
func TestRefusedRow(t *testing.T) {
	const jobs, workers, waves = 150, 50, 50
	tests := map[string]store.Key{
		"job":      rowkeys.Progress("j7"),
		"worker":   rosterKey("w7"),
		"wave":     rowkeys.Progress(rowkeys.WaveName(7)),
		"command":  commandKey("i7"),
		"old rows": oldRowsKey,
		"begun":    begunMaintenance{wave: 9, instance: "i9"}.key(),
		"pruned":   rowkeys.Progress("gone7"),
		"expired":  commandKey("old7"),
	}
	for name, row := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &refusingStore{Store: memory.New(), row: row, refuses: true}
				e, _ := newTestEngine(t, s.Store, 1)
				e.options.Store, e.options.Waves = s, manyWaves(waves)
				var log bytes.Buffer
				c := e.core
				c.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
				c.hasOldRows = true
				for _, doc := range e.options.Waves.Waves() {
					c.AddWave(doc, nil)
				}
				var reports []worker.Report
				for i := range workers {
					reports = append(reports, worker.Report{ID: fmt.Sprint("w", i), Pool: "p", Capacity: work.Resources{CPU: 4000}})
				}
				c.SetWorkers(reports)
				for i := range jobs {
					id := fmt.Sprint("j", i)
					c.AddJob(work.Job{ID: id, Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1, Service: true}}}, nil, 0)
					c.planRun(c.jobs[id].open[0].steps[0], 0, 1, c.workers["w1"])
					c.fleet.planCommand(c.now, InstanceCommand{Instance: fmt.Sprint("i", i), Pool: "p"})
				}
				rows := func() int {
					n := 0
					for _, table := range []string{rowkeys.TableProgress, rowkeys.TableFleet} {
						all, err := s.Scan(t.Context(), table, "", "", "")
						qt.Assert(t, err, qt.IsNil)
						n += len(all.Rows)
					}
					return n
				}
				now := clock.Now() + time.Minute
				run := func(d time.Duration) {
					for end := now + d; now < end; now += commitPause {
						c.SetTime(now)
						e.commit(now)
						e.tasks.Wait()
						for range len(e.inbox) {
							(<-e.inbox)(c)
						}
					}
				}
				for _, n := range []int{8, 9} {
					id := fmt.Sprint("i", n)
					c.fleet.waves[n].begun[id] = "w1"
					c.fleet.waves[n].unstored = []string{id}
				}
				for i := range 20 {
					c.prunedJobs = append(c.prunedJobs, fmt.Sprint("gone", i))
					c.fleet.commandedAt[fmt.Sprint("old", i)] = 1
				}
				const all = 2*jobs + workers + waves + 2
				missing := map[string]int{"old rows": 0, "pruned": 0, "expired": 0, "begun": 2}
				if _, ok := missing[name]; !ok {
					missing[name] = 1
				}
				run(4 * time.Second)
				qt.Assert(t, rows(), qt.Equals, all-missing[name])
				left := map[string][2]int{"pruned": {1, 0}, "expired": {0, 1}}[name]
				qt.Assert(t, c.prunedJobs, qt.HasLen, left[0])
				qt.Assert(t, oldCommands(c), qt.Equals, left[1])
				qt.Assert(t, log.String(), qt.Contains, "Row is refused by the store; it is set aside.")
				qt.Assert(t, log.String(), qt.Contains, row.Name)
				started := 0
				for _, j := range c.jobs {
					if j.started {
						started++
					}
				}
				if row == rowkeys.Progress("j7") {
					qt.Assert(t, started, qt.Equals, jobs-1)
				} else {
					qt.Assert(t, started, qt.Equals, jobs)
				}
				s.refuses = false
				if row == commandKey("i7") {
					// The command does not wait, since the instance may be in use by then.
					qt.Assert(t, c.fleet.commandInFlight["i7"], qt.IsFalse)
					qt.Assert(t, c.fleet.pausedUntil["i7"] > now, qt.IsTrue)
					c.fleet.planCommand(now, InstanceCommand{Instance: "i7", Pool: "p"})
				}
				run(6 * time.Second)
				qt.Assert(t, rows(), qt.Equals, all)
				qt.Assert(t, c.hasOldRows, qt.IsFalse)
				qt.Assert(t, c.prunedJobs, qt.HasLen, 0)
				qt.Assert(t, oldCommands(c), qt.Equals, 0)
			})
		})
	}
}

// oldCommands counts the expired command times whose rows are not removed.
func oldCommands(c *Core) int {
	n := 0
	for id := range c.fleet.commandedAt {
		if strings.HasPrefix(id, "old") {
			n++
		}
	}
	return n
}

// TestWaveAfterItsMaintenance guards against a wave that is stored as finished before the maintenance that it consists of.
func TestWaveAfterItsMaintenance(t *testing.T) {
	f := newFleet()
	f.waves[1] = &wave{begun: map[string]string{"i1": "w1", "i2": "w2", "i3": "w3"}, unstored: []string{"i1", "i2", "i3"}, finished: true, changed: true}
	all := func(store.Key) bool { return true }
	stored := 0
	for _, limit := range []int{2, 2, 2} {
		waves, begun := f.takeChangedWaves(limit, all)
		stored += len(begun)
		qt.Assert(t, rowsPerWave*len(waves)+len(begun) <= limit, qt.IsTrue)
		if len(waves) > 0 {
			qt.Assert(t, stored, qt.Equals, 3)
		}
	}
	qt.Assert(t, f.waves[1].changed, qt.IsFalse)
}

// TestBatchesOfLargeFleet guards against batches beyond the limits of a transaction, at ten times the size of the grown fleet.
func TestBatchesOfLargeFleet(t *testing.T) {
	const workers, waves, instances, jobs = 3700, 400, 3700, 1000
	long := strings.Repeat("x", store.MaxKeyBytes/2)
	e, _ := newTestEngine(t, memory.New(), 1)
	e.options.Waves = manyWaves(waves)
	c := e.core
	c.hasOldRows = true
	reports := make([]worker.Report, 0, workers)
	for i := range workers {
		reports = append(reports, worker.Report{ID: fmt.Sprint(long, i), Pool: long, Address: long, Capacity: work.Resources{CPU: 64000}})
	}
	c.SetWorkers(reports)
	for _, doc := range e.options.Waves.Waves() {
		c.AddWave(doc, nil)
	}
	for i := range instances {
		id := fmt.Sprint(long, i)
		w := c.fleet.waves[1+i%waves]
		w.begun[id] = long
		w.unstored = append(w.unstored, id)
		c.fleet.planCommand(c.now, InstanceCommand{Instance: id, Pool: long})
	}
	for i := range jobs {
		id := fmt.Sprintf("%016x", i)
		c.AddJob(work.Job{ID: id, Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}}, nil, 0)
		c.endJob(c.jobs[id], work.Failed, strings.Repeat("x", i%store.MaxRowBytes/2))
		c.prunedJobs = append(c.prunedJobs, fmt.Sprint(long, i))
	}
	var rows int
	for !t.Failed() {
		b, tx, err := e.nextBatch()
		qt.Assert(t, err, qt.IsNil)
		if b.Empty() {
			break
		}
		qt.Assert(t, tx.Validate(), qt.IsNil)
		rows += len(b.rowKeys())
		c.BatchStored(b)
	}
	qt.Assert(t, rows, qt.Equals, workers+waves+2*instances+2*jobs+1)
}
