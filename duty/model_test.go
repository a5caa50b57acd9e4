package duty_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/move"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/wave"
)

// faultyTable is a table that fails operations as drawn, and lets other processes act in between.
type faultyTable struct {
	*standin.Table
	fleet *fakeFleet
	// fault returns the error of the next operation, and whether the operation takes effect nevertheless.
	fault func() (effect bool, err error)
	// beforeOperation runs before each operation, as if the process was paused there.
	beforeOperation func()
	// rebooting counts, by instance, the generations of the row that permit a reboot.
	rebooting map[string]int
	fatal     func(format string, args ...any)
	// delayed holds the transactions that arrive a second time.
	delayed []provider.Txn
}

func (f *faultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	f.beforeOperation()
	if _, err := f.fault(); err != nil {
		return nil, provider.ErrUnavailable
	}
	return f.Table.Scan(ctx, prefix, after, limit)
}

func (f *faultyTable) Commit(ctx context.Context, txn provider.Txn) error {
	f.beforeOperation()
	effect, fault := f.fault()
	if fault != nil && !effect {
		return fault
	}
	if fault != nil {
		f.delayed = append(f.delayed, txn)
	}
	if err := f.commit(ctx, txn); err != nil {
		return err
	}
	return fault
}

// commit commits a transaction, and checks and records the new row of each instance.
func (f *faultyTable) commit(ctx context.Context, txn provider.Txn) error {
	keys := make([]string, 0, len(txn.Writes))
	for _, w := range txn.Writes {
		keys = append(keys, w.Key)
	}
	before, _ := f.Read(ctx, keys...)
	if err := f.Table.Commit(ctx, txn); err != nil {
		return err
	}
	for _, w := range txn.Writes {
		var row, old pool.Instance
		if !strings.HasPrefix(w.Key, "instance/") || json.Unmarshal(w.Value, &row) != nil {
			continue
		}
		m := f.fleet.instances[row.ID]
		m.recordEvent("%s", w.Value)
		m.applyRowState(row.State)
		if row.State == pool.StateRebooting || row.State == pool.StateFailed {
			f.rebooting[row.ID]++
		}
		i := slices.IndexFunc(before, func(r provider.Row) bool { return r.Key == w.Key })
		if err := json.Unmarshal(before[i].Value, &old); err != nil || row.Generation != old.Generation+1 {
			f.fatal("onePool: generation %d of %s was overwritten by %d: %v", old.Generation, row.ID, row.Generation, err)
		}
	}
	return nil
}

// operatorTable is the table as operators use it, without faults.
type operatorTable struct{ *faultyTable }

func (o *operatorTable) Commit(ctx context.Context, txn provider.Txn) error {
	fault, between := o.fault, o.beforeOperation
	o.fault, o.beforeOperation = func() (bool, error) { return false, nil }, func() {}
	defer func() { o.fault, o.beforeOperation = fault, between }()
	return o.faultyTable.Commit(ctx, txn)
}

func (o *operatorTable) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	return o.Table.Scan(ctx, prefix, after, limit)
}

// fleetModel is a fleet whose duties pass from one holder to the next.
type fleetModel struct {
	rt      *rapid.T
	table   *faultyTable
	fleet   *fakeFleet
	pools   []pool.Pool
	holder  *duty.Fleet
	lease   *fakeLease
	options duty.FleetOptions
	ops     *duty.Operations
	demand  map[string]float64
	faults  bool
	waves   []string
	size    int
}

func newFleetModel(rt *rapid.T) *fleetModel {
	m := &fleetModel{rt: rt, fleet: newFakeFleet(time.Second), demand: make(map[string]float64)}
	m.table = &faultyTable{Table: standin.NewTable(), fleet: m.fleet, rebooting: make(map[string]int), fault: m.fault, fatal: rt.Fatalf, beforeOperation: func() {}}
	budgets := []string{"1", "20%", "34%", "3"}
	m.pools = append(m.pools, mustPool(pool.Spec{Name: "spare", MaxUnavailable: "50%", Spare: true}))
	m.fleet.addPool(m.table.Table, "spare", 6)
	for i := range 3 {
		name := fmt.Sprintf("p%d", i)
		m.pools = append(m.pools, mustPool(pool.Spec{Name: name, MaxUnavailable: rapid.SampledFrom(budgets).Draw(rt, "budget"), MaxUnavailablePerDataCentre: "2"}))
		m.fleet.addPool(m.table.Table, name, rapid.IntRange(5, 9).Draw(rt, "size"))
	}
	m.size = len(m.fleet.instances)
	m.options = duty.FleetOptions{
		Table: m.table, Instances: m.fleet, Pools: func() []pool.Pool { return m.pools },
		Loads: func() []move.Load {
			var loads []move.Load
			for name, d := range m.demand {
				loads = append(loads, move.Load{Pool: name, Demand: d})
			}
			return loads
		},
		Moves: move.Options{ReturnDelay: 30 * time.Second},
	}
	m.ops = duty.NewOperations(duty.OperationsOptions{Table: &operatorTable{m.table}, Instances: m.fleet, Pools: m.options.Pools})
	m.takeOver()
	return m
}

func (m *fleetModel) fault() (effect bool, err error) {
	if !m.faults {
		return false, nil
	}
	return faultForDraw(rapid.IntRange(0, 19).Draw(m.rt, "fault"))
}

func (m *fleetModel) takeOver() {
	if m.lease != nil {
		// By the time of a takeover, the lease has expired by the clock of the previous holder too.
		m.lease.mu.Lock()
		m.lease.held = false
		m.lease.mu.Unlock()
	}
	m.holder, m.lease = duty.NewFleet(m.options), newFakeLease(m.table.Table)
}

func (m *fleetModel) pass() {
	m.run(m.holder, m.lease)
}

func (m *fleetModel) run(holder *duty.Fleet, lease *fakeLease) {
	if err := holder.Pass(context.Background(), lease); err != nil && !errors.Is(err, provider.ErrUnavailable) {
		m.rt.Fatalf("pass: %v", err)
	}
	m.checkInvariants()
}

// pausedPass runs a pass that pauses at a drawn operation, while operators act, or another process takes over and
// runs passes.
func (m *fleetModel) pausedPass() {
	left := rapid.IntRange(1, 12).Draw(m.rt, "operations before the pause")
	m.table.beforeOperation = func() {
		if left--; left != 0 {
			return
		}
		if rapid.Bool().Draw(m.rt, "operators") {
			// Operators move instances after the pass has read them and before it writes.
			for range 3 {
				_, _ = m.ops.AssignInstance(context.Background(), m.anyInstance().ID, m.poolName())
			}
			return
		}
		m.takeOver()
		for range rapid.IntRange(1, 40).Draw(m.rt, "passes in the pause") {
			m.pass()
			time.Sleep(time.Second)
		}
	}
	m.run(m.holder, m.lease)
	m.table.beforeOperation = func() {}
}

func (m *fleetModel) anyInstance() *fakeInstance {
	var ids []string
	for id := range m.fleet.instances {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return m.fleet.instances[rapid.SampledFrom(ids).Draw(m.rt, "instance")]
}

func (m *fleetModel) poolName() string {
	return m.pools[rapid.IntRange(0, len(m.pools)-1).Draw(m.rt, "pool")].Name()
}

// applyRandomAction applies one drawn action or fault.
func (m *fleetModel) applyRandomAction() {
	ctx := context.Background()
	switch rapid.IntRange(0, 11).Draw(m.rt, "action") {
	case 0:
		m.takeOver()
	case 1:
		m.pausedPass()
	case 2:
		spec := wave.Spec{Name: fmt.Sprintf("w%d", len(m.waves)), ReturnLimit: "3m", Policy: rapid.SampledFrom([]wave.Policy{wave.PolicyWait, wave.PolicySkip}).Draw(m.rt, "policy"), DrainLimit: "1m"}
		if rapid.Bool().Draw(m.rt, "some") {
			spec.Pools = []string{m.poolName()}
		}
		if _, err := m.ops.CreateWave(ctx, spec); err == nil {
			m.waves = append(m.waves, spec.Name)
		}
	case 3:
		if len(m.waves) > 0 {
			action := rapid.SampledFrom([]string{duty.ActionPause, duty.ActionResume, duty.ActionResume, duty.ActionAbort}).Draw(m.rt, "change")
			_, _ = m.ops.ChangeWave(ctx, rapid.SampledFrom(m.waves).Draw(m.rt, "wave"), action)
		}
	case 4:
		_, _ = m.ops.AssignInstance(ctx, m.anyInstance().ID, m.poolName())
	case 5:
		in := m.anyInstance()
		in.restart(time.Duration(rapid.IntRange(1, 600).Draw(m.rt, "outage")) * time.Second)
	case 6:
		slow := m.anyInstance().ID
		length := time.Duration(rapid.IntRange(1, 600).Draw(m.rt, "reboot")) * time.Second
		m.fleet.reboot = func(id string) time.Duration {
			if id == slow {
				return length
			}
			return 30 * time.Second
		}
	case 7:
		slow := m.anyInstance().ID
		m.fleet.drain = func(id string) time.Duration {
			if id == slow {
				return 2 * time.Minute
			}
			return 5 * time.Second
		}
	case 8:
		m.demand[m.poolName()] = float64(rapid.IntRange(0, 150).Draw(m.rt, "demand"))
	case 9:
		m.faults = !m.faults
		m.fleet.distort = nil
		if m.faults {
			m.fleet.distort = func() (bool, bool) {
				n := rapid.IntRange(0, 9).Draw(m.rt, "list")
				return n == 0, n == 1
			}
		}
	case 10:
		for _, txn := range m.table.delayed {
			_ = m.table.commit(ctx, txn)
		}
		m.table.delayed = nil
	}
}

// checkInvariants fails the test if a pool exceeds its budget, an instance was lost, or a reboot interrupted
// requests or came without a stop.
func (m *fleetModel) checkInvariants() {
	rows, err := pool.NewStore(m.table.Table).List(context.Background())
	if err != nil || len(rows) != m.size {
		m.rt.Fatalf("%d rows instead of %d: %v", len(rows), m.size, err)
	}
	downs, sizes := make(map[string]int), make(map[string]int)
	for _, row := range rows {
		sizes[row.Pool]++
		if row.Down() {
			downs[row.Pool]++
		}
	}
	for _, p := range m.pools {
		if n, size := downs[p.Name()], sizes[p.Name()]; n > p.MaxUnavailable(size) {
			m.rt.Fatalf("availabilityBudget: pool %s has %d of %d stopped, allowed %d", p.Name(), n, size, p.MaxUnavailable(size))
		}
	}
	if len(m.fleet.interrupted) > 0 {
		m.rt.Fatalf("gracefulStop: reboot of %v with requests in flight:\n%s", m.fleet.interrupted, strings.Join(m.fleet.instances[m.fleet.interrupted[0]].events, "\n"))
	}
	for id, in := range m.fleet.instances {
		if in.reboots > m.table.rebooting[id] {
			m.rt.Fatalf("%s was rebooted %d times for %d stops:\n%s", id, in.reboots, m.table.rebooting[id], strings.Join(in.events, "\n"))
		}
	}
}

// checkConvergence ends all faults, and checks that every wave ends and every instance serves.
func (m *fleetModel) checkConvergence() {
	m.faults, m.fleet.distort = false, nil
	clear(m.demand)
	for _, name := range m.waves {
		_, _ = m.ops.ChangeWave(context.Background(), name, duty.ActionResume)
	}
	m.fleet.reboot = func(string) time.Duration { return 30 * time.Second }
	m.fleet.drain = func(string) time.Duration { return 5 * time.Second }
	for range 5000 {
		m.pass()
		if m.hasConverged() {
			return
		}
		time.Sleep(2 * time.Second)
	}
	rows, _ := pool.NewStore(m.table.Table).List(context.Background())
	for _, row := range rows {
		if row.Down() || m.fleet.instances[row.ID].draining {
			m.rt.Logf("%s:\n%s", row.ID, strings.Join(m.fleet.instances[row.ID].events, "\n"))
		}
	}
	waves, _ := wave.NewStore(m.table.Table).List(context.Background())
	for _, w := range waves {
		m.rt.Logf("%s is %s: %+v", w.Name(), w.State(), w.Progress(time.Now(), rows))
	}
	m.rt.Fatalf("waves do not end or instances do not return")
}

func (m *fleetModel) hasConverged() bool {
	all, _ := wave.NewStore(m.table.Table).List(context.Background())
	for _, w := range all {
		if w.Active() {
			return false
		}
	}
	now := time.Now()
	rows, _ := pool.NewStore(m.table.Table).List(context.Background())
	for _, row := range rows {
		if row.Down() || m.fleet.instances[row.ID].report(now).State != provider.InstanceLive {
			return false
		}
	}
	return true
}

// TestFleetModel guards against exceeded budgets, instances that are lost or in two pools, interrupted requests
// and second reboots, under random interleavings of operators, waves, moves, failures, pauses, takeovers and store
// faults.
func TestFleetModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			m := newFleetModel(rt)
			for range rapid.IntRange(5, 60).Draw(rt, "steps") {
				m.applyRandomAction()
				m.pass()
				time.Sleep(time.Duration(rapid.IntRange(1, 20).Draw(rt, "seconds")) * time.Second)
			}
			m.checkConvergence()
		})
	})
}
