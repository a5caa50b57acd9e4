package scheduler

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// outageStore is a slow store that refuses all calls during an outage.
type outageStore struct {
	*memory.Store
	latency time.Duration
	mu      sync.Mutex
	// from and until are the start and the end of the outage.
	from, until time.Duration
}

func (s *outageStore) begin(from, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.from, s.until = from, until
}

func (s *outageStore) call() error {
	s.mu.Lock()
	from, until := s.from, s.until
	s.mu.Unlock()
	if now := clock.Now(); now >= from && now < until {
		time.Sleep(10 * time.Millisecond)
		return store.ErrNotDone
	}
	time.Sleep(s.latency)
	return nil
}

func (s *outageStore) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	if err := s.call(); err != nil {
		return store.Result{}, err
	}
	return s.Store.Commit(ctx, tx)
}

// confirmedLeadership is a term that reads of the store confirm.
type confirmedLeadership struct {
	mu        sync.Mutex
	confirmed time.Duration
}

func (l *confirmedLeadership) Depose(uint64, string)     {}
func (l *confirmedLeadership) PreviousLeaderEnded() bool { return false }

func (l *confirmedLeadership) IsLeader(uint64) bool {
	at, _ := l.ConfirmedAt(0)
	return clock.Now() < at+LeadershipTimeout
}

func (l *confirmedLeadership) Confirm(_ uint64, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed = max(l.confirmed, at)
}

func (l *confirmedLeadership) ConfirmedAt(uint64) (at time.Duration, leading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed, true
}

// leaseWorker answers all renewals and notes whether its lease has lapsed.
type leaseWorker struct {
	worker.Commander
	mu       sync.Mutex
	lease    time.Duration
	lapsedAt time.Duration
}

func (w *leaseWorker) Renew(_ context.Context, _ worker.Target, cmd worker.RenewCommand) (worker.Status, error) {
	w.mu.Lock()
	if now := clock.Now(); w.lease > 0 && now > w.lease && w.lapsedAt == 0 {
		w.lapsedAt = now
	}
	w.lease = max(w.lease, cmd.LeaseExpiry)
	w.mu.Unlock()
	time.Sleep(max(cmd.MaxWait, 5*time.Millisecond))
	return worker.Status{
		Reply:   worker.Reply{Clock: clock.Now(), Incarnation: rigIncarnation},
		Running: []worker.Run{{Task: work.Task{Job: "a"}, Number: 1, SpeedPercent: 100}},
	}, nil
}

// TestLeaseAfterRegainedLeadership guards against leases that lapse after an outage of the store, because a leader that may send commands again
// records workers as silent that it has not called meanwhile.
func TestLeaseAfterRegainedLeadership(t *testing.T) {
	t.Parallel()
	const latency, outage = 250 * time.Millisecond, 3900 * time.Millisecond
	s := &outageStore{Store: memory.New(), latency: latency}
	_, err := s.Store.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: store.Key{Table: "workers", Name: "w1"}, Value: []byte{1}}}})
	qt.Assert(t, err, qt.IsNil)
	e, _ := newTestEngine(t, s.Store, 1)
	leadership, w := &confirmedLeadership{confirmed: clock.Now()}, &leaseWorker{}
	e.options.Store, e.options.Leadership, e.options.Workers, e.options.Registry = s, leadership, w, listedWorkers{}
	e.core.AddJob(work.Job{ID: "a", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1, Service: true}}}, nil, 0)
	qt.Assert(t, e.Start(t.Context()), qt.IsNil)
	defer e.Stop()
	var from time.Duration
	e.spawn(func() {
		for started := clock.Now(); e.ctx.Err() == nil; e.sleep(400 * time.Millisecond) {
			sent := clock.Now()
			if s.call() != nil {
				continue
			}
			leadership.Confirm(0, sent)
			if from == 0 && sent-started > 2*time.Second {
				from = clock.Now()
				s.begin(from, from+outage)
			}
		}
	})
	time.Sleep(3*time.Second + outage + 2*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	qt.Assert(t, w.lapsedAt, qt.Equals, time.Duration(0), qt.Commentf("the lease had lapsed %v after the start of the outage", w.lapsedAt-s.from))
}

// TestRecordBesideRefusedBatches guards against a worker that loses its tasks after a short silence, because the store confirms the leadership
// but refuses the batch that takes the worker back.
func TestRecordBesideRefusedBatches(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 1)
	r.accept(r.pass())
	refuse := func() {
		r.schedule()
		r.core.BatchFailed(r.core.TakeBatch(100))
	}
	// The store has refused batches for longer than maxDoubtAge when the worker falls silent.
	r.addSteps("b", 1)
	for range 30 {
		r.advance(100 * time.Millisecond)
		r.reply("w1")
		refuse()
	}
	for range 13 {
		r.advance(100 * time.Millisecond)
		refuse()
	}
	for range 50 {
		r.advance(100 * time.Millisecond)
		r.reply("w1")
		refuse()
	}
	qt.Assert(t, r.core.workers["w1"].requestedExpiry > r.now, qt.IsTrue)
}

// TestRestartedWorkerAcrossLostLeaders guards against a task that waits anew after each leader for a worker that has started again under its ID
// and is gone.
func TestRestartedWorkerAcrossLostLeaders(t *testing.T) {
	var starts []string
	r := newRig(t, 2, "w1")
	end := r.now + LeadershipTimeout + maxCommandDelay + rigBounds().MaxLease + 2*time.Second
	for term := 2; r.now < end+5*time.Second; term++ {
		next := newRig(t, term, "w1")
		next.now = r.now
		next.core = NewCore(Options{Bounds: rigBounds(), Fence: uint64(10 * term), Term: term, AcquiredAt: r.now, EarlierLeadersUntil: r.now, LeasesBoundedFrom: 1})
		next.core.SetCatalog(r.core.catalog)
		next.core.SetLeaseEnds(r.leases)
		next.leases, r = r.leases, next
		r.core.SetRoster([]RosterEntry{{ID: "w9", Pool: "p", Address: "w9:1", Incarnation: rigIncarnation, Capacity: coresOnly(4)}})
		r.recordedJob("a", "w9")
		w9 := rigReport("w9", coresOnly(4))
		w9.Incarnation++
		for range 80 {
			r.advance(100 * time.Millisecond)
			r.core.SetWorkers([]worker.Report{rigReport("w1", coresOnly(4)), w9})
			r.reply("w1")
			starts = append(starts, startsOf(r.pass())...)
		}
	}
	qt.Assert(t, len(starts) > 0, qt.IsTrue, qt.Commentf("no start until %v after the time at which the lease had ended", r.now-end))
}
