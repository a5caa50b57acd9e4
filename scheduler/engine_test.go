package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// testDuty is a duty that is held until a test ends it.
type testLeadership struct{ lost bool }

func (d *testLeadership) IsLeader(uint64) bool          { return !d.lost }
func (d *testLeadership) Confirm(uint64, time.Duration) {}
func (d *testLeadership) Depose(uint64, string)         { d.lost = true }
func (d *testLeadership) PreviousLeaderEnded() bool     { return false }

type noRegistry struct{}

func (noRegistry) Table() (table, part string) { return "workers", "" }
func (noRegistry) Decode(store.Row) (worker.Report, error) {
	return worker.Report{}, nil
}

type noWaves struct{}

func (noWaves) Waves() map[string]instance.Wave { return nil }
func (noWaves) WaveStatus(name string, _ bool) store.Put {
	return store.Put{Key: store.Key{Name: name}}
}

// newTestEngine returns an engine over a store in which the row of the duty has the version of its fence.
func newTestEngine(t *testing.T, s *memory.Store, tenure int) (*Engine, *testLeadership) {
	result, err := s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: leadershipKey("holder"), Value: []byte{1}}}})
	qt.Assert(t, err, qt.IsNil)
	leadership := &testLeadership{}
	c := &store.Clock{}
	c.Update(result.Now)
	return NewEngine(EngineOptions{
		Core: Options{Bounds: rigBounds(), Fence: result.Version, Term: tenure, AcquiredAt: clock.Now()}, Name: "n", Store: s, Clock: c,
		Registry: noRegistry{}, Waves: noWaves{}, Leadership: leadership, Catalog: func() *catalog.Catalog { return catalog.New(1, 0, nil, nil, nil) },
	}), leadership
}

// TestTimeOfDay guards against occurrences that start early or late after a change of the holder, because reading the rows
// has taken a while.
func TestWallClockAfterFailover(t *testing.T) {
	s := memory.New()
	const slow = 60 * time.Millisecond
	for tenure := 1; tenure <= 2; tenure++ {
		e, _ := newTestEngine(t, s, tenure)
		s.InjectFaults(func(tx *store.Tx) memory.Fault {
			if tx == nil {
				time.Sleep(slow)
			}
			return memory.None
		})
		qt.Assert(t, e.Start(context.Background()), qt.IsNil)
		s.InjectFaults(nil)
		var unix time.Duration
		qt.Assert(t, e.query(t.Context(), func(c *Core) { unix = c.wallClockOffset }), qt.IsNil)
		off := unix + clock.Now() - time.Duration(time.Now().UnixNano())
		qt.Assert(t, off.Abs() < slow/2, qt.IsTrue, qt.Commentf("tenure %d is off by %s", tenure, off))
		e.Stop()
	}
}

// TestBatchWithoutAnswer guards against progress that is lost, or overwritten by a batch that is carried out late.
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
			tx, err := e.transaction(Batch{Progress: map[string]*work.Progress{"a": work.NewProgress()}})
			qt.Assert(t, err, qt.IsNil)
			s.InjectFaults(func(*store.Tx) memory.Fault { return test.fault })
			_, err = s.Commit(t.Context(), tx)
			qt.Assert(t, err, qt.ErrorIs, store.ErrUnknown)
			s.InjectFaults(nil)
			chain, err := e.resolveOutcome(1, 0, err)
			qt.Assert(t, err, qt.ErrorIs, test.err)
			qt.Assert(t, leadership.lost, qt.IsFalse)
			if test.err == nil {
				// The same batch does not meet its condition a second time.
				_, err = s.Commit(t.Context(), tx)
				qt.Assert(t, err, qt.ErrorIs, store.ErrConflict)
				qt.Assert(t, chain > 0, qt.IsTrue)
			}
		})
	}
}

// TestBatchOfFormerHolder guards against progress that a holder stores after another one has taken over.
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

// silentStore gives no answer to the first reads of a table.
type unresponsiveStore struct {
	*memory.Store
	unanswered atomic.Int32
}

func (s *unresponsiveStore) Scan(ctx context.Context, table, part, from, to string) (store.Rows, error) {
	if table == tableProgress && s.unanswered.Add(-1) >= 0 {
		<-ctx.Done()
		return store.Rows{}, store.ErrUnknown
	}
	return s.Store.Scan(ctx, table, part, from, to)
}

// TestSilentRead guards against a term that cannot begin because one read at its start gets no answer.
func TestUnansweredRead(t *testing.T) {
	s := &unresponsiveStore{Store: memory.New()}
	s.unanswered.Store(1)
	ctx, cancel := context.WithTimeout(t.Context(), 2*loadReadTimeout)
	defer cancel()
	_, err := load(ctx, s, func(store.Row, error) {})
	qt.Assert(t, err, qt.IsNil)
}
