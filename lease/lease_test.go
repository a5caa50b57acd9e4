package lease_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/history"
	"github.com/chivetiller/chivetiller/lease"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// seeds is how many seeds the tests with random faults use.
var seeds = flag.Uint64("seeds", 12, "number of seeds")

// recordingTable is a table that records the transactions that take effect.
type recordingTable struct {
	provider.Table
	mu       sync.Mutex
	recorder history.Recorder
	commits  int
}

func (w *recordingTable) Commit(ctx context.Context, txn provider.Txn) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.Table.Commit(ctx, txn); err != nil {
		return err
	}
	w.commits++
	for _, write := range txn.Writes {
		var value struct {
			Token uint64 `json:"token"`
		}
		if duty, ok := strings.CutPrefix(write.Key, "fence/"); ok && json.Unmarshal(write.Value, &value) == nil {
			w.recorder.Add(0, history.AcquireDuty{Duty: duty}, value.Token)
		}
		if duty, ok := strings.CutPrefix(write.Key, "work/"); ok && json.Unmarshal(write.Value, &value) == nil {
			duty, _, _ = strings.Cut(duty, "#")
			w.recorder.Add(0, history.FencedWrite{Duty: duty}, value.Token)
		}
	}
	return nil
}

func duties(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("pools/%d", i)
	}
	return names
}

// TestTakeover guards against a duty that two processes hold at a time, and one that remains without a holder.
func TestTakeover(t *testing.T) {
	const leaseDuration, margin = 10 * time.Second, time.Second
	tests := map[string]struct {
		leave    func(*testing.T, *lease.Manager, *standin.Pauser)
		min, max time.Duration
	}{
		"crash": {
			leave: func(_ *testing.T, _ *lease.Manager, p *standin.Pauser) { p.Pause() },
			min:   leaseDuration - 4*time.Second, max: leaseDuration + margin + 4*time.Second,
		},
		"graceful": {
			leave: func(t *testing.T, m *lease.Manager, _ *standin.Pauser) { qt.Assert(t, m.Stop(t.Context()), qt.IsNil) },
			max:   4 * time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable()
				var pauser standin.Pauser
				first := lease.NewManager(lease.Options{Table: pauser.Table(table), Holder: "a", Duties: duties(3), LeaseDuration: leaseDuration, Margin: margin})
				second := lease.NewManager(lease.Options{Table: table, Holder: "b", Duties: duties(3), LeaseDuration: leaseDuration, Margin: margin})
				qt.Assert(t, first.Start(t.Context()), qt.IsNil)
				qt.Assert(t, second.Start(t.Context()), qt.IsNil)
				time.Sleep(time.Minute)
				old, ok := first.Held("pools/0")
				qt.Assert(t, ok, qt.IsTrue)
				qt.Check(t, len(second.HeldLeases()), qt.Equals, 0)
				begin := time.Now()
				tt.leave(t, first, &pauser)
				for len(second.HeldLeases()) < 3 && time.Since(begin) < time.Minute {
					qt.Check(t, len(first.HeldLeases()) == 0 || len(second.HeldLeases()) == 0, qt.IsTrue)
					time.Sleep(100 * time.Millisecond)
				}
				elapsed := time.Since(begin)
				qt.Check(t, elapsed >= tt.min && elapsed <= tt.max, qt.IsTrue, qt.Commentf("taken over after %v", elapsed))
				taken, ok := second.Held("pools/0")
				qt.Assert(t, ok, qt.IsTrue)
				qt.Check(t, taken.Token() > old.Token(), qt.IsTrue)
				txn := provider.Txn{Writes: []provider.Write{{Key: "work"}}}
				qt.Check(t, table.Commit(t.Context(), old.Guard(txn)), qt.ErrorIs, provider.ErrConflict)
				qt.Check(t, table.Commit(t.Context(), taken.Guard(txn)), qt.IsNil)
				pauser.Resume()
				time.Sleep(time.Minute)
				qt.Check(t, len(first.HeldLeases()), qt.Equals, 0)
				if name == "crash" {
					qt.Check(t, first.Stop(t.Context()), qt.IsNil)
				}
				qt.Check(t, second.Stop(t.Context()), qt.IsNil)
			})
		})
	}
}

// TestOutage guards against a process that still counts as holder of an expired lease during an outage of the table,
// and against a duty that is not held again soon after the outage. It repeats the outage, since state that the first
// one leaves behind could impair the second recovery.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Options{})
		client := provider.NewClient(provider.ClientOptions{Table: p.Client(standin.Identity{}).Table()})
		m := lease.NewManager(lease.Options{Table: client.For(provider.UserLeases), Holder: "a", Duties: duties(3)})
		qt.Assert(t, m.Start(t.Context()), qt.IsNil)
		for range 2 {
			time.Sleep(time.Minute)
			qt.Check(t, len(m.HeldLeases()), qt.Equals, 3)
			p.SetFaults(standin.Faults{Down: true})
			time.Sleep(6 * time.Second)
			qt.Check(t, len(m.HeldLeases()), qt.Equals, 3, qt.Commentf("before the lease expires"))
			time.Sleep(4 * time.Second)
			qt.Check(t, len(m.HeldLeases()), qt.Equals, 0, qt.Commentf("after the lease has expired"))
			time.Sleep(time.Hour)
			p.SetFaults(standin.Faults{})
			time.Sleep(6 * time.Second)
			qt.Check(t, len(m.HeldLeases()), qt.Equals, 3, qt.Commentf("after the outage"))
		}
		held, _ := m.Held("pools/0")
		qt.Check(t, held.Token(), qt.Equals, uint64(1), qt.Commentf("no other process has acquired the lease"))
		qt.Check(t, m.Stop(t.Context()), qt.IsNil)
	})
}

// TestLimitAndCost guards against a process that acquires all leases, leases that no process acquires, and renewals
// that need more than one transaction per interval.
func TestLimitAndCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &recordingTable{Table: standin.NewTable()}
		const processes, count = 7, 43
		var managers []*lease.Manager
		for i := range processes {
			m := lease.NewManager(lease.Options{Table: table, Holder: fmt.Sprint(i), Duties: duties(count)})
			m.SetLimit((count + processes - 1) / processes)
			qt.Assert(t, m.Start(t.Context()), qt.IsNil)
			managers = append(managers, m)
		}
		time.Sleep(time.Minute)
		total := 0
		for _, m := range managers {
			held := len(m.HeldLeases())
			qt.Check(t, held <= 7, qt.IsTrue, qt.Commentf("%d duties", held))
			total += held
		}
		qt.Check(t, total, qt.Equals, count)
		table.mu.Lock()
		before := table.commits
		table.mu.Unlock()
		time.Sleep(100 * time.Second)
		table.mu.Lock()
		perSecond := float64(table.commits-before) / 100 / processes
		table.mu.Unlock()
		qt.Check(t, perSecond <= 0.45, qt.IsTrue, qt.Commentf("%.2f transactions a second and process", perSecond))
		// A process whose limit is lowered releases the excess.
		managers[0].SetLimit(2)
		time.Sleep(time.Minute)
		qt.Check(t, len(managers[0].HeldLeases()) <= 3, qt.IsTrue)
		for _, m := range managers {
			qt.Check(t, m.Stop(t.Context()), qt.IsNil)
		}
	})
}

// TestFencing guards against a write for a duty with the fencing token of a previous holder, under random faults.
func TestFencing(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testFencing(t, seed) })
		})
	}
}

func testFencing(t *testing.T, seed uint64) {
	p := standin.New(standin.Options{Seed: seed})
	table := &recordingTable{Table: p.Table()}
	p.Intercept(table)
	names := duties(4)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	storm := standin.RandomFaultOptions{Seed: seed, MeanDuration: 12 * time.Second}
	var wg sync.WaitGroup
	managers := make([]*lease.Manager, 3)
	for i := range managers {
		identity := standin.Identity{Client: fmt.Sprint(i)}
		pauser := &standin.Pauser{}
		storm.Clients = append(storm.Clients, identity)
		storm.Pausers = append(storm.Pausers, pauser)
		client := provider.NewClient(provider.ClientOptions{Table: pauser.Table(p.Client(identity).Table()), Writes: 1000, Reads: 1000})
		m := lease.NewManager(lease.Options{Table: client.For(provider.UserLeases), Holder: identity.Client, Duties: names})
		m.SetLimit(2)
		_ = m.Start(ctx)
		managers[i] = m
		wg.Go(func() { writeFenced(ctx, m, client.For(provider.UserWaves), pauser) })
	}
	p.InjectRandomFaults(ctx, storm)
	wg.Wait()
	time.Sleep(time.Minute)
	held := 0
	for _, m := range managers {
		held += len(m.HeldLeases())
	}
	qt.Check(t, held, qt.Equals, len(names), qt.Commentf("duties without a holder after all faults have ended"))
	for _, m := range managers {
		qt.Check(t, m.Stop(t.Context()), qt.IsNil)
	}
	operations := table.recorder.Operations()
	qt.Check(t, len(operations) > 200, qt.IsTrue, qt.Commentf("%d operations", len(operations)))
	qt.Check(t, history.Check(history.Fencing(), operations), qt.IsNil)
}

// writeFenced writes rows for the duties that the manager holds until ctx ends.
func writeFenced(ctx context.Context, m *lease.Manager, table provider.Table, pauser *standin.Pauser) {
	for ctx.Err() == nil {
		for _, l := range m.HeldLeases() {
			// Each write creates a new row, so that only the check of the fencing token can reject it.
			key := "work/" + l.Duty() + "#" + ident.New()
			pauser.Wait()
			_ = table.Commit(ctx, l.Guard(provider.Txn{
				Checks: []provider.Check{{Key: key}},
				Writes: []provider.Write{{Key: key, Value: fmt.Appendf(nil, `{"token":%d}`, l.Token())}},
			}))
		}
		time.Sleep(500 * time.Millisecond)
	}
}
