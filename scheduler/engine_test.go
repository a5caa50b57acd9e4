package scheduler

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// testLeadership is held until the engine is deposed or the test sets lost.
type testLeadership struct{ lost bool }

func (d *testLeadership) IsLeader(uint64) bool          { return !d.lost }
func (d *testLeadership) Confirm(uint64, time.Duration) {}
func (d *testLeadership) Depose(uint64, string)         { d.lost = true }
func (d *testLeadership) PreviousLeaderEnded() bool     { return false }

func (d *testLeadership) ConfirmedAt(uint64) (at time.Duration, leading bool) {
	return clock.Now(), !d.lost
}

type noRegistry struct{}

func (noRegistry) Table() (table, partition string) { return "workers", "" }
func (noRegistry) Decode(store.Row) (worker.Report, error) {
	return worker.Report{}, nil
}

// listedWorkers decodes each row as a worker.
type listedWorkers struct{ noRegistry }

func (listedWorkers) Decode(row store.Row) (worker.Report, error) {
	return worker.Report{ID: row.Name, Pool: "p"}, nil
}

type noWaves struct{}

func (noWaves) Waves() map[string]instance.Wave { return nil }
func (noWaves) WaveStatus(name string, _ bool) store.Put {
	return store.Put{Key: store.Key{Name: name}}
}

// newTestEngine returns an engine on a store whose leader row has the engine's fencing token as its version.
func newTestEngine(t *testing.T, s *memory.Store, term int) (*Engine, *testLeadership) {
	result, err := s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: rowkeys.Leadership("holder"), Value: []byte{1}}}})
	qt.Assert(t, err, qt.IsNil)
	leadership := &testLeadership{}
	c := &store.Clock{}
	c.Update(result.Now)
	return NewEngine(EngineOptions{
		Core: Options{Bounds: rigBounds(), Fence: result.Version, Term: term, AcquiredAt: clock.Now()}, Name: "n", Store: s, Clock: c,
		Registry: noRegistry{}, Waves: noWaves{}, Leadership: leadership, Catalog: func() *catalog.Catalog { return catalog.New(1, 0, nil, nil, nil) },
	}), leadership
}

// TestWallClockAfterFailover guards against occurrences that start early or late after a change of leader, because
// reading the rows took some time.
func TestWallClockAfterFailover(t *testing.T) {
	s := memory.New()
	const slow = 60 * time.Millisecond
	for term := 1; term <= 2; term++ {
		e, _ := newTestEngine(t, s, term)
		s.InjectFaults(func(tx *store.Tx) memory.Fault {
			if tx == nil {
				time.Sleep(slow)
			}
			return memory.None
		})
		qt.Assert(t, e.Start(context.Background()), qt.IsNil)
		s.InjectFaults(nil)
		var wallClock time.Duration
		qt.Assert(t, e.query(t.Context(), func(c *Core) { wallClock = c.wallClockOffset }), qt.IsNil)
		off := wallClock + clock.Now() - time.Duration(time.Now().UnixNano())
		qt.Assert(t, off.Abs() < slow/2, qt.IsTrue, qt.Commentf("term %d is off by %s", term, off))
		e.Stop()
	}
}

// TestUnansweredBatch guards against progress that is lost, or overwritten by a batch that is carried out late.
func TestUnansweredBatch(t *testing.T) {
	tests := map[string]struct {
		fault memory.Fault
		err   error
	}{
		"carried out":     {memory.LoseReply, nil},
		"not carried out": {memory.LoseCall, errBatchNotCommitted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := memory.New()
			e, leadership := newTestEngine(t, s, 1)
			e.batchNumber = 1
			e.core.AddJob(work.Job{ID: "a", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}}, nil, 0)
			e.core.endJob(e.core.jobs["a"], work.Failed, "test")
			tx, err := e.transaction(e.core.TakeBatch(batchRows))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, tx.Puts, qt.HasLen, 2)
			s.InjectFaults(func(*store.Tx) memory.Fault { return test.fault })
			_, err = s.Commit(t.Context(), tx)
			qt.Assert(t, err, qt.ErrorIs, store.ErrUnknown)
			s.InjectFaults(nil)
			chain, err := e.resolveOutcome(1, 0, err)
			qt.Assert(t, err, qt.ErrorIs, test.err)
			qt.Assert(t, leadership.lost, qt.IsFalse)
			if test.err == nil {
				// The same batch fails the second time, since the version of the chain row has changed.
				_, err = s.Commit(t.Context(), tx)
				qt.Assert(t, err, qt.ErrorIs, store.ErrConflict)
				qt.Assert(t, chain > 0, qt.IsTrue)
			}
		})
	}
}

// TestBatchOfPreviousLeader guards against a leader that stores progress after another one has taken over.
func TestBatchOfPreviousLeader(t *testing.T) {
	s := memory.New()
	e, leadership := newTestEngine(t, s, 1)
	_, _ = newTestEngine(t, s, 2)
	e.batchNumber = 1
	tx, err := e.transaction(Batch{})
	qt.Assert(t, err, qt.IsNil)
	_, err = s.Commit(t.Context(), tx)
	qt.Assert(t, err, qt.ErrorIs, store.ErrConflict)
	_, err = e.resolveOutcome(1, 0, err)
	qt.Assert(t, err, qt.ErrorIs, ErrNotLeader)
	qt.Assert(t, leadership.lost, qt.IsTrue)
}

// slowStore takes a time for each scan and for each read of changes, and is silent for the first scans of a table.
type slowStore struct {
	*memory.Store
	scan    time.Duration
	changes time.Duration
	silent  atomic.Int32
	scans   atomic.Int32
}

func (s *slowStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Rows, error) {
	select {
	case <-time.After(s.changes):
	case <-ctx.Done():
		return store.Rows{}, ctx.Err()
	}
	return s.Store.Changes(ctx, table, after, wait)
}

func (s *slowStore) Scan(ctx context.Context, table, partition, from, to string) (store.Rows, error) {
	s.scans.Add(1)
	select {
	case <-time.After(s.scan):
	case <-ctx.Done():
		return store.Rows{}, ctx.Err()
	}
	if table == rowkeys.TableProgress && s.silent.Add(-1) >= 0 {
		return store.Rows{}, store.ErrSilent
	}
	return s.Store.Scan(ctx, table, partition, from, to)
}

// TestLoad guards against a term that cannot begin because one of its first reads gets no reply, or because reading thousands of rows
// takes longer than a read without a reply is given.
func TestLoad(t *testing.T) {
	tests := map[string]struct {
		scan   time.Duration
		silent int32
		scans  int32
	}{
		"silent once": {800 * time.Millisecond, 1, 4},
		"long":        {5 * time.Second, 0, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &slowStore{Store: memory.New(), scan: test.scan}
				s.silent.Store(test.silent)
				ctx, cancel := context.WithTimeout(t.Context(), 2*test.scan)
				defer cancel()
				_, err := load(ctx, s, hclog.NewNullLogger(), func(store.Row, error) {})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, s.scans.Load(), qt.Equals, test.scans)
			})
		})
	}
}

// interruptedStore answers every other read with an error. A scan returns one row before that.
type interruptedStore struct {
	*memory.Store
	err   error
	reads atomic.Int32
}

func (s *interruptedStore) Scan(ctx context.Context, table, partition, from, to string) (store.Rows, error) {
	time.Sleep(time.Millisecond)
	if s.reads.Add(1)%2 == 0 {
		return store.Rows{}, s.err
	}
	rows, err := s.Store.Scan(ctx, table, partition, from, to)
	if err == nil && len(rows.Rows) > 1 {
		rows.Rows, err = rows.Rows[:1], s.err
	}
	return rows, err
}

func (s *interruptedStore) Partitions(ctx context.Context, table string) (store.Partitions, error) {
	time.Sleep(time.Millisecond)
	if s.reads.Add(1)%2 == 0 {
		return store.Partitions{}, s.err
	}
	return s.Store.Partitions(ctx, table)
}

// TestInterruptedLoad guards against a term that cannot begin because reading starts again from the first row of all tables whenever
// the store does not carry out one of many reads.
func TestInterruptedLoad(t *testing.T) {
	for name, err := range map[string]error{"refused": store.ErrNotDone, "silent": store.ErrSilent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const jobs = 20
				s := &interruptedStore{Store: memory.New(), err: err}
				for i := range jobs {
					j := work.Job{ID: fmt.Sprintf("a%02d", i), Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}}
					value, err := rowkeys.EncodeJob(j)
					qt.Assert(t, err, qt.IsNil)
					progress, err := encode(work.NewProgress())
					qt.Assert(t, err, qt.IsNil)
					for _, put := range []store.Put{{Key: rowkeys.Job(j.ID), Value: value}, {Key: rowkeys.Progress(j.ID), Value: progress}} {
						_, err = s.Commit(t.Context(), store.Tx{Puts: []store.Put{put}})
						qt.Assert(t, err, qt.IsNil)
					}
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				l, err := load(ctx, s, hclog.NewNullLogger(), func(store.Row, error) {})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, l.jobs, qt.HasLen, jobs)
				qt.Assert(t, l.progress, qt.HasLen, jobs)
				qt.Assert(t, l.rows, qt.Equals, 2*jobs)
			})
		})
	}
}

// silentCommander gets no reply to renewals.
type silentCommander struct{ worker.Commander }

func (silentCommander) Renew(ctx context.Context, _ worker.Target, _ worker.RenewCommand) (worker.Status, error) {
	<-ctx.Done()
	return worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}, ctx.Err()
}

// TestLongRescan guards against jobs and workers that the leader never learns of after the store has dropped its history, because
// reading all rows takes longer than reading changes may.
func TestLongRescan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{Store: memory.New(), scan: 3 * readTimeout}
		e, _ := newTestEngine(t, s.Store, 1)
		e.options.Store, e.options.Registry, e.options.Workers = s, listedWorkers{}, silentCommander{}
		qt.Assert(t, e.Start(t.Context()), qt.IsNil)
		defer e.Stop()
		value, err := rowkeys.EncodeJob(work.Job{ID: "a1", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}})
		qt.Assert(t, err, qt.IsNil)
		for _, put := range []store.Put{{Key: rowkeys.Job("a1"), Value: value}, {Key: store.Key{Table: "workers", Name: "w1"}, Value: []byte{1}}} {
			_, err = s.Commit(t.Context(), store.Tx{Puts: []store.Put{put}})
			qt.Assert(t, err, qt.IsNil)
		}
		s.DropHistory()
		time.Sleep(5 * s.scan)
		var job, worker bool
		qt.Assert(t, e.query(t.Context(), func(c *Core) { _, job = c.JobState("a1"); _, worker = c.workers["w1"] }), qt.IsNil)
		qt.Assert(t, job, qt.IsTrue)
		qt.Assert(t, worker, qt.IsTrue)
	})
}

// TestLongChanges guards against jobs that the leader never learns of, because reading the changes of some seconds takes longer than
// a read without a reply is given, and more changes are added before it is repeated.
func TestLongChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{Store: memory.New(), changes: 3 * readTimeout}
		e, _ := newTestEngine(t, s.Store, 1)
		e.options.Store = s
		qt.Assert(t, e.Start(t.Context()), qt.IsNil)
		defer e.Stop()
		value, err := rowkeys.EncodeJob(work.Job{ID: "a1", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}})
		qt.Assert(t, err, qt.IsNil)
		_, err = s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: rowkeys.Job("a1"), Value: value}}})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(3 * s.changes)
		var known bool
		qt.Assert(t, e.query(t.Context(), func(c *Core) { _, known = c.JobState("a1") }), qt.IsNil)
		qt.Assert(t, known, qt.IsTrue)
	})
}

// uploadStore receives a number of bytes a second and takes some time for each transaction.
type uploadStore struct {
	*memory.Store
	rate  float64
	delay time.Duration
}

func (s uploadStore) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	select {
	case <-time.After(s.delay + time.Duration(float64(tx.Size())/s.rate*float64(time.Second))):
	case <-ctx.Done():
		return store.Result{}, store.ErrUnknown
	}
	return s.Store.Commit(ctx, tx)
}

// TestLargeBatchOnSlowLink guards against a leader that stores nothing any more and starts no task, because it takes longer to send a
// large batch than a batch may take, and the next batch is the same.
func TestLargeBatchOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := uploadStore{memory.New(), 1e6, 300 * time.Millisecond}
		e, _ := newTestEngine(t, s.Store, 1)
		defer e.cancel()
		e.options.Store = s
		e.batchNumber = 1
		tx, err := e.transaction(Batch{})
		qt.Assert(t, err, qt.IsNil)
		for i := 0; ; i++ {
			put := store.Put{Key: rowkeys.Progress(fmt.Sprint(i)), Value: make([]byte, store.MaxRowBytes)}
			if larger := (store.Tx{Expected: tx.Expected, Puts: append(tx.Puts, put)}); larger.Size() > store.MaxBytes {
				break
			}
			tx.Puts = append(tx.Puts, put)
		}
		e.commitBatch(Batch{}, tx, 1, 0)
		(<-e.inbox)(e.core)
		qt.Assert(t, e.chainVersion > 0, qt.IsTrue)
		rows, err := s.Scan(t.Context(), rowkeys.TableProgress, "", "", "")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(rows.Rows) > 10, qt.IsTrue)
	})
}

// listedFleet is an instance service that counts its lists.
type listedFleet struct {
	instance.Fleet
	instances []instance.Instance
	lists     atomic.Int32
}

func (f *listedFleet) List(ctx context.Context) ([]instance.Instance, error) {
	f.lists.Add(1)
	return f.instances, ctx.Err()
}

// TestListInstances guards against a list of instances that is read only once, because the pause after the list of a large fleet
// counted towards the timeout of the next one. Without a current list no instance moves and no wave goes on.
func TestListInstances(t *testing.T) {
	t.Parallel()
	for name, n := range map[string]int{"350": 350, "1100": 1100, "3700": 3700} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, _ := newTestEngine(t, memory.New(), 1)
			fleet := &listedFleet{instances: make([]instance.Instance, n)}
			e.options.Instances = fleet
			e.options.Catalog = func() *catalog.Catalog {
				return catalog.New(1, 0, nil, []catalog.Pool{{Name: "off", Spare: true}}, nil)
			}
			qt.Assert(t, e.Start(context.Background()), qt.IsNil)
			defer e.Stop()
			time.Sleep(2 * maxListAge)
			qt.Assert(t, int(fleet.lists.Load()) >= 4, qt.IsTrue, qt.Commentf("%d lists", fleet.lists.Load()))
			var age time.Duration
			qt.Assert(t, e.query(t.Context(), func(c *Core) { age = c.now - c.fleet.listedAt }), qt.IsNil)
			qt.Assert(t, age < maxListAge, qt.IsTrue)
		})
	}
}

// TestPanic guards against an unexpected error in the scheduler that ends the whole process, and against a leader that goes on with a
// state that may be inconsistent.
func TestPanic(t *testing.T) {
	e, leadership := newTestEngine(t, memory.New(), 1)
	qt.Assert(t, e.Start(context.Background()), qt.IsNil)
	err := e.query(t.Context(), func(*Core) { panic("unexpected") })
	qt.Assert(t, err, qt.ErrorIs, ErrNotLeader)
	e.Stop()
	qt.Assert(t, leadership.lost, qt.IsTrue)
}

// TestQueryAfterReturn guards against a query that runs in the loop after its caller has given up: it wrote to variables that the caller
// was reading, and took rows from the core that nobody stored.
func TestQueryAfterReturn(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// end makes the caller stop waiting.
		end     func(e *Engine, cancel context.CancelFunc)
		running bool
		err     error
	}{
		"context ended while queued":  {func(_ *Engine, cancel context.CancelFunc) { cancel() }, false, context.Canceled},
		"term ended while queued":     {func(e *Engine, _ context.CancelFunc) { e.cancel() }, false, ErrNotLeader},
		"context ended while running": {func(_ *Engine, cancel context.CancelFunc) { cancel() }, true, nil},
		"term ended while running":    {func(e *Engine, _ context.CancelFunc) { e.cancel() }, true, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				e, _ := newTestEngine(t, memory.New(), 1)
				defer e.cancel()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				started, release := make(chan struct{}), make(chan struct{})
				var ran, returned bool
				var err error
				go func() {
					err = e.query(ctx, func(*Core) {
						close(started)
						<-release
						ran = true
					})
					returned = true
				}()
				message := <-e.inbox
				synctest.Wait()
				if test.running {
					go e.handleMessages(message)
					<-started
				}
				test.end(e, cancel)
				synctest.Wait()
				qt.Assert(t, returned, qt.Equals, !test.running)
				close(release)
				if !test.running {
					e.handleMessages(message)
				}
				synctest.Wait()
				qt.Assert(t, ran, qt.Equals, test.running)
				qt.Assert(t, returned, qt.IsTrue)
				qt.Assert(t, err, qt.ErrorIs, test.err)
			})
		})
	}
}

// countingCommander counts the commands to workers.
type countingCommander struct {
	worker.Commander
	commands atomic.Int32
}

func (c *countingCommander) Start(context.Context, worker.Target, worker.StartCommand) (worker.Reply, error) {
	c.commands.Add(1)
	return worker.Reply{}, nil
}

// TestPausedLeader guards against a leader that was suspended between a decision and its command, and sends the command although
// its leadership has run out meanwhile.
func TestPausedLeader(t *testing.T) {
	e, leadership := newTestEngine(t, memory.New(), 1)
	workers := &countingCommander{}
	e.options.Workers = workers
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	commands := r.pass()
	qt.Assert(t, commands, qt.HasLen, 1)
	leadership.lost = true
	e.sendCommand(commands[0])
	qt.Assert(t, workers.commands.Load(), qt.Equals, int32(0))
	leadership.lost = false
	e.sendCommand(commands[0])
	qt.Assert(t, workers.commands.Load(), qt.Equals, int32(1))
}

// TestStartsBetweenPasses guards against starts that wait for the next pass. The passes of an overloaded leader are a tenth of a second
// and more apart, and only the tasks of one batch started after each: workers stood empty while jobs waited.
func TestStartsBetweenPasses(t *testing.T) {
	e, _ := newTestEngine(t, memory.New(), 1)
	workers := &countingCommander{}
	e.options.Workers = workers
	r := newRig(t, 1, "w1")
	e.core = r.core
	e.core.options.Fence = e.options.Core.Fence
	r.addSteps("a", 3)
	e.core.Schedule(r.now)
	e.dispatch(clock.Now())
	qt.Assert(t, workers.commands.Load(), qt.Equals, int32(0))
	// The clock of the engine is not that of the rig.
	r.core.workers["w1"].lastContact = clock.Now()
	// The message that the batch is stored arrives, and no pass follows.
	e.handleMessages(<-e.inbox)
	e.dispatch(clock.Now())
	for deadline := time.Now().Add(5 * time.Second); workers.commands.Load() < 3; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
}

// TestPanicAtStart guards against a row that ends every process which becomes the leader, one after the other, because it panics while
// the rows are taken over.
func TestPanicAtStart(t *testing.T) {
	e, leadership := newTestEngine(t, memory.New(), 1)
	e.options.Catalog = func() *catalog.Catalog { panic("unexpected row") }
	qt.Assert(t, e.Start(context.Background()), qt.ErrorMatches, ".*unexpected row.*")
	e.Stop()
	qt.Assert(t, leadership.lost, qt.IsTrue)
}

// TestRepeatedStartBesideReply guards against a command that is sent while the reply to an earlier one changes the run that it is about. The
// race detector shows that.
func TestRepeatedStartBesideReply(t *testing.T) {
	e, _ := newTestEngine(t, memory.New(), 1)
	workers := &countingCommander{}
	e.options.Workers = workers
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	first := r.pass()[0]
	r.core.HandleReply(first, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
	repeated := r.schedule()
	qt.Assert(t, startsOf(repeated), qt.HasLen, 1)
	var sent sync.WaitGroup
	sent.Go(func() { e.sendCommand(repeated[0]) })
	r.core.HandleReply(first, worker.Reply{Outcome: worker.Unknown}, r.now, nil)
	sent.Wait()
	qt.Assert(t, workers.commands.Load(), qt.Equals, int32(1))
}
