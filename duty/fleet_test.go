package duty_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/move"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/wave"
)

// TestWave guards against a wave that misses an instance or reboots it twice, interrupts requests, exceeds the
// budget, or does not end.
func TestWave(t *testing.T) {
	tests := map[string]struct {
		sizes     map[string]int
		budget    string
		takeovers bool
	}{
		"two pools":          {sizes: map[string]int{"shiftDesk": 10, "flagOffice": 12}, budget: "20%"},
		"one at a time":      {sizes: map[string]int{"postDesk": 5}, budget: "1"},
		"takeovers midway":   {sizes: map[string]int{"shiftDesk": 10, "flagOffice": 9}, budget: "2", takeovers: true},
		"budget of the pool": {sizes: map[string]int{"warningBoard": 9}, budget: "100%"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, fleet := standin.NewTable(), newFakeFleet(time.Second)
				pools := make([]pool.Pool, 0, len(tt.sizes))
				for name, n := range tt.sizes {
					pools = append(pools, mustPool(pool.Spec{Name: name, MaxUnavailable: tt.budget}))
					fleet.addPool(table, name, n)
				}
				rows := listInstances(t, table)
				w := createWave(t, table, wave.Spec{Name: "kernel"}, pools, rows)

				options := duty.FleetOptions{Table: table, Instances: fleet, Pools: func() []pool.Pool { return pools }}
				holder, lease := duty.NewFleet(options), newFakeLease(table)
				for i := 0; ; i++ {
					if tt.takeovers && i%7 == 6 {
						old := lease
						lease = newFakeLease(table)
						// The previous holder still believes that it holds the lease, and runs one more pass.
						qt.Assert(t, holder.Pass(t.Context(), old), qt.IsNil)
						holder = duty.NewFleet(options)
					}
					qt.Assert(t, holder.Pass(t.Context(), lease), qt.IsNil)
					for _, p := range pools {
						n, size := countDown(table, p.Name())
						qt.Assert(t, n <= p.MaxUnavailable(size), qt.IsTrue, qt.Commentf("%d of %d down", n, size))
					}
					if waveState(t, table, w.Name()) == wave.StateDone {
						break
					}
					qt.Assert(t, i < 10_000, qt.IsTrue, qt.Commentf("the wave does not end"))
					time.Sleep(500 * time.Millisecond)
				}
				qt.Assert(t, fleet.interrupted, qt.HasLen, 0)
				for id, m := range fleet.instances {
					qt.Assert(t, m.reboots, qt.Equals, 1, qt.Commentf("%s", id))
				}

				// After its retention the wave is removed. A new wave of the same name covers every instance again.
				time.Sleep(8 * 24 * time.Hour)
				qt.Assert(t, holder.Pass(t.Context(), lease), qt.IsNil)
				w = createWave(t, table, w.Spec(), pools, rows)
				for _, row := range listInstances(t, table) {
					qt.Assert(t, w.Pending(row.Instance), qt.IsTrue)
				}
			})
		})
	}
}

// refusingTable refuses transactions that begin stops.
type refusingTable struct{ *standin.Table }

func (r *refusingTable) Commit(ctx context.Context, txn provider.Txn) error {
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Key, "planned/") {
			return provider.ErrUnavailable
		}
	}
	return r.Table.Commit(ctx, txn)
}

// TestMoveNotBegun guards against draining an instance whose move could not be written: the instance was never
// undrained. The model test found this with seed 4721435988458772435.
func TestMoveNotBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, fleet := &refusingTable{standin.NewTable()}, newFakeFleet(time.Second)
		pools := []pool.Pool{mustPool(pool.Spec{Name: "spare", MaxUnavailable: "50%", Spare: true}), mustPool(pool.Spec{Name: "desk", MaxUnavailable: "1"})}
		fleet.addPool(table, "spare", 6)
		fleet.addPool(table, "desk", 4)
		holder, lease := duty.NewFleet(duty.FleetOptions{
			Table: table, Instances: fleet, Pools: func() []pool.Pool { return pools },
			Loads: func() []move.Load { return []move.Load{{Pool: "desk", Demand: 60}} },
		}), newFakeLease(table)
		for range 120 {
			qt.Assert(t, holder.Pass(t.Context(), lease), qt.IsNil)
			time.Sleep(time.Second)
		}
		qt.Assert(t, fleet.drains, qt.Equals, 0)
	})
}

// deadFleet is a platform on which reboots have no effect.
type deadFleet struct {
	*fakeFleet
	err   error
	calls int
}

func (f *deadFleet) Reboot(context.Context, string, uint64) error {
	f.calls++
	return f.err
}

// TestRebootWithoutEffect guards against an instance that a wave reboots again and again although it does not return.
func TestRebootWithoutEffect(t *testing.T) {
	tests := map[string]struct {
		err      error
		maxCalls int
	}{
		"acknowledged": {nil, 20},
		"refused":      {provider.ErrUnavailable, 150},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, fleet := standin.NewTable(), &deadFleet{fakeFleet: newFakeFleet(time.Second), err: tt.err}
				pools := []pool.Pool{mustPool(pool.Spec{Name: "desk", MaxUnavailable: "1"})}
				fleet.addPool(table, "desk", 1)
				w := createWave(t, table, wave.Spec{Name: "kernel"}, pools, listInstances(t, table))
				holder, lease := duty.NewFleet(duty.FleetOptions{Table: table, Instances: fleet, Pools: func() []pool.Pool { return pools }}), newFakeLease(table)
				for range 3600 {
					qt.Assert(t, holder.Pass(t.Context(), lease), qt.IsNil)
					time.Sleep(time.Second)
				}
				qt.Assert(t, w.Progress(time.Now(), listInstances(t, table)).Pools[0].Failed, qt.Equals, 1)
				qt.Assert(t, fleet.calls >= 5 && fleet.calls <= tt.maxCalls, qt.IsTrue, qt.Commentf("%d reboots", fleet.calls))
			})
		})
	}
}
