package intake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/store/latency"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
)

// serialStore carries out the transactions of a partition one after the other, also those that nobody waits for any more, as a slow store does.
type serialStore struct {
	*memory.Store
	mu      sync.Mutex
	freeAt  map[string]time.Time
	commits int
}

const (
	slowTx   = 150 * time.Millisecond
	slowPath = 200 * time.Millisecond
)

func (s *serialStore) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	s.mu.Lock()
	partition := tx.Puts[0].Partition
	s.commits++
	if now := time.Now(); s.freeAt[partition].Before(now) {
		s.freeAt[partition] = now
	}
	s.freeAt[partition] = s.freeAt[partition].Add(slowTx)
	wait := time.Until(s.freeAt[partition]) + slowPath
	result, err := s.Store.Commit(ctx, tx)
	s.mu.Unlock()
	select {
	case <-time.After(wait):
		return result, err
	case <-ctx.Done():
		return store.Result{}, fmt.Errorf("%w: %w", store.ErrUnknown, ctx.Err())
	}
}

// slowRelay is other nodes that use the same slow store.
type slowRelay struct{ *serialStore }

func (slowRelay) Partitioned(context.Context) bool { return false }

// quietLeader is a leader that takes all notifications.
type quietLeader struct{ fakeLeader }

func (*quietLeader) NotifySubmitted(context.Context, work.Job) {}

// TestSlowStore guards against submissions that a slow store would accept in time, and that are sent again and again instead until it answers none:
// a surge of 100 jobs a second over 16 partitions, of which each carries out seven transactions a second.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &serialStore{Store: memory.New(), freeAt: make(map[string]time.Time)}
		storeClock := &store.Clock{}
		storeClock.Update(time.Hour)
		calls := latency.New()
		in := New(Options{
			Store: latency.Watch(s, calls), Clock: storeClock, Leader: &quietLeader{}, Relay: slowRelay{s}, Latency: calls,
			Configuration: fakeConfiguration{sampleCatalog(), 0},
		})
		var (
			wg       sync.WaitGroup
			mu       sync.Mutex
			outcomes = make(map[Outcome]int)
		)
		const jobs, rate = 400, 100
		random := rand.New(rand.NewPCG(1, 2))
		for range jobs {
			id := fmt.Sprintf("%016x", random.Uint64())
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 2900*time.Millisecond)
				defer cancel()
				outcome, _ := in.Submit(ctx, Admission{Queue: &in.options.Configuration.Current().Queues[0]}, sampleJob(id))
				mu.Lock()
				defer mu.Unlock()
				outcomes[outcome]++
			})
			time.Sleep(time.Second / rate)
		}
		wg.Wait()
		t.Logf("%d transactions, outcomes %v", s.commits, outcomes)
		qt.Assert(t, outcomes[OK], qt.Equals, jobs)
		qt.Assert(t, s.commits <= jobs*11/10, qt.IsTrue, qt.Commentf("%d transactions for %d jobs", s.commits, jobs))
	})
}
