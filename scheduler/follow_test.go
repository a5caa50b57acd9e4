package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/internal/workers/registry"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
)

// pagedStore scans in pages of two rows, like the platform's store, which may fail on any of them.
type pagedStore struct{ *memory.Store }

func (s pagedStore) Scan(ctx context.Context, table, partition, from, to string) (store.Rows, error) {
	const pageSize = 2
	var all store.Rows
	for {
		page, err := s.Store.Scan(ctx, table, partition, from, to)
		if err != nil {
			return all, err
		}
		if all.Version == 0 {
			all.Version = page.Version
		}
		all.Now = page.Now
		n := min(len(page.Rows), pageSize)
		all.Rows = append(all.Rows, page.Rows[:n]...)
		if n == len(page.Rows) {
			return all, nil
		}
		from = page.Rows[n-1].Name + "\x00"
	}
}

// followedStore is a store that changes between reads and fails some of them.
type followedStore struct {
	t *testing.T
	s *memory.Store
	// faults is used under the lock of s only.
	faults  *rand.Rand
	mu      sync.Mutex
	random  *rand.Rand
	changes float64
	// jobs holds the accepted jobs and whether each is cancelled, and workers the registered workers.
	jobs    map[string]bool
	workers map[string]bool
}

func (f *followedStore) commit(tx store.Tx) {
	_, err := f.s.Commit(f.t.Context(), tx)
	qt.Assert(f.t, err, qt.IsNil)
}

// change commits a change, or drops the history, by chance.
func (f *followedStore) change() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() >= f.changes {
		return
	}
	id := fmt.Sprintf("%x%d", f.random.IntN(16), f.random.IntN(4))
	entry := store.Key{Table: "workers", Name: "w" + id[:1]}
	_, known := f.jobs[id]
	switch n := f.random.IntN(10); {
	case n == 0:
		f.s.DropHistory()
	case n < 4 && f.workers[entry.Name]:
		delete(f.workers, entry.Name)
		f.commit(store.Tx{Removes: []store.Key{entry}})
	case n < 4:
		f.workers[entry.Name] = true
		f.commit(store.Tx{Puts: []store.Put{{Key: entry, Value: []byte{1}}}})
	case n < 6 && known:
		f.jobs[id] = true
		f.commit(store.Tx{Puts: []store.Put{{Key: rowkeys.Cancel(id), Value: []byte{1}}}})
	case !known:
		f.jobs[id] = false
		value, err := rowkeys.EncodeJob(work.Job{ID: id, Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}})
		qt.Assert(f.t, err, qt.IsNil)
		f.commit(store.Tx{Puts: []store.Put{{Key: rowkeys.Job(id), Value: value}}})
	}
}

// setRates sets the share of the reads that fail, and of those before which another process writes.
func (f *followedStore) setRates(failing, changes float64) {
	f.s.InjectFaults(func(tx *store.Tx) memory.Fault {
		if tx == nil && f.faults.Float64() < failing {
			return memory.Refuse
		}
		return memory.None
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = changes
}

// TestFollow guards against a leader that never learns of a job, a cancellation or a worker, or that keeps a worker that has left,
// because rows change between the reads of a table, history is dropped or reads fail.
func TestFollow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		failing := rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(rt, "failing reads")
		outage := rapid.SampledFrom([]time.Duration{0, registry.MaxGap / 2, 2 * registry.MaxGap}).Draw(rt, "outage")
		var wrong []string
		synctest.Test(t, func(t *testing.T) { wrong = follow(t, seed, failing, outage) })
		if len(wrong) > 0 {
			rt.Fatalf("wrong: %v", wrong)
		}
	})
}

// follow lets an engine follow a store that changes, and returns what the engine has wrong some time after the last change.
func follow(t *testing.T, seed uint64, failing float64, outage time.Duration) (wrong []string) {
	f := &followedStore{t: t, s: memory.New(), faults: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 0)), jobs: make(map[string]bool), workers: make(map[string]bool)}
	e, _ := newTestEngine(t, f.s, 1)
	e.options.Store, e.options.Registry = pagedStore{f.s}, listedWorkers{}
	f.s.DropHistory()
	f.s.BeforeReads(f.change)
	f.setRates(failing, 0.5)
	c := e.core
	c.SetTime(clock.Now())
	l, err := load(t.Context(), e.options.Store, e.logger, func(store.Row, error) {})
	qt.Assert(t, err, qt.IsNil)
	for id, j := range l.jobs {
		c.AddJob(j, l.progress[id], 0)
	}
	for _, id := range l.cancelled {
		c.Cancel(id)
	}
	jobs := &jobsView{e: e, version: l.version}
	since := time.Now()
	view := registry.NewView(registry.Options{
		Store: e.options.Store, Clock: e.options.Clock, Registry: e.options.Registry, Now: func() time.Duration { return time.Second + time.Since(since) }, Logger: e.logger,
	})
	refresh := func(d time.Duration) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		for ; ctx.Err() == nil; time.Sleep(registryInterval) {
			c.SetTime(clock.Now())
			jobs.refresh(ctx)
			e.refreshRegistry(ctx, view)
			for len(e.inbox) > 0 {
				(<-e.inbox)(c)
			}
		}
	}
	refresh(2 * time.Second)
	f.setRates(1, 0.5)
	refresh(outage)
	f.setRates(failing, 0.5)
	refresh(time.Second)
	f.setRates(0, 0)
	refresh(registry.SettleTime + 3*registryInterval)
	for id, cancelled := range f.jobs {
		if state, known := c.JobState(id); !known || cancelled != (state == work.Cancelled) {
			wrong = append(wrong, fmt.Sprintf("job %s: known %t, state %s, cancelled %t", id, known, state, cancelled))
		}
	}
	for i := range 16 {
		id := fmt.Sprintf("w%x", i)
		if ws, known := c.workers[id]; (known && ws.listed) != f.workers[id] {
			wrong = append(wrong, fmt.Sprintf("worker %s: listed %t, registered %t", id, !f.workers[id], f.workers[id]))
		}
	}
	return wrong
}

// TestRescanOfEndedJob guards against a job that ended long ago and runs again, because the store has dropped its history and the rows of
// the job could neither be shortened nor removed.
func TestRescanOfEndedJob(t *testing.T) {
	s := memory.New()
	e, _ := newTestEngine(t, s, 1)
	put := func(key store.Key, value []byte, err error) {
		qt.Assert(t, err, qt.IsNil)
		_, err = s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: key, Value: value}}})
		qt.Assert(t, err, qt.IsNil)
	}
	row, err := rowkeys.EncodeJob(work.Job{ID: "a1", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}})
	put(rowkeys.Job("a1"), row, err)
	progress := work.NewProgress()
	progress.State = work.Finished
	row, err = encode(progress)
	put(rowkeys.Progress("a1"), row, err)
	s.DropHistory()
	(&jobsView{e: e, version: 1}).refresh(t.Context())
	qt.Assert(t, e.inbox, qt.HasLen, 1)
	(<-e.inbox)(e.core)
	state, known := e.core.JobState("a1")
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, state, qt.Equals, work.Finished)
}
