package duty_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/wave"
)

// fakeLease is a lease that its process believes to hold while held is true. Whether it really does is decided by
// the row of the fencing token.
type fakeLease struct {
	mu    sync.Mutex
	held  bool
	check provider.Check
}

func (l *fakeLease) Holds(string) (provider.Check, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check, l.held
}

// newFakeLease returns a lease that its process has just acquired.
func newFakeLease(table provider.Table) *fakeLease {
	l := &fakeLease{}
	l.acquire(table)
	return l
}

// acquire writes the row of the fencing token, which makes the transactions of previous holders fail.
func (l *fakeLease) acquire(table provider.Table) {
	ctx := context.Background()
	rows, _ := table.Read(ctx, "fence/all")
	check := provider.Check{Key: "fence/all"}
	if len(rows) > 0 {
		check.Version = rows[0].Version
	}
	if err := table.Commit(ctx, provider.Txn{Checks: []provider.Check{check}, Writes: []provider.Write{{Key: "fence/all"}}}); err != nil {
		panic(err)
	}
	rows, _ = table.Read(ctx, "fence/all")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.check = true, provider.Check{Key: "fence/all", Version: rows[0].Version}
}

// fakeInstance is an instance of the fake platform.
type fakeInstance struct {
	provider.Instance
	draining bool
	// busyUntil is when the last request in flight ends after a drain.
	busyUntil time.Time
	// upAt is when the current reboot ends.
	upAt    time.Time
	reboots int
	// serving means that the row of the instance permits work; served means that it did so earlier in this
	// incarnation.
	serving, served bool
	// events describes what happened to the instance, for the messages of failed tests.
	events []string
}

func (m *fakeInstance) recordEvent(format string, args ...any) {
	m.events = append(m.events, time.Now().Format("15:04:05 ")+fmt.Sprintf(format, args...))
}

// fakeFleet is a platform whose instance list lags, and whose instances drain and reboot in virtual time.
type fakeFleet struct {
	mu        sync.Mutex
	instances map[string]*fakeInstance
	lag       time.Duration
	drain     func(id string) time.Duration
	reboot    func(id string) time.Duration
	listed    map[string]provider.Instance
	listedAt  time.Time
	// distort decides for each list entry whether the list drops it, or repeats the entry of the previous list.
	distort      func() (drop, repeat bool)
	previousList map[string]provider.Instance
	// interrupted holds the instances that were rebooted while requests were in flight.
	interrupted []string
	drains      int
}

func newFakeFleet(lag time.Duration) *fakeFleet {
	return &fakeFleet{
		instances: make(map[string]*fakeInstance), lag: lag, listed: make(map[string]provider.Instance),
		drain:  func(string) time.Duration { return 5 * time.Second },
		reboot: func(string) time.Duration { return time.Minute },
	}
}

// addPool creates the instances of a pool, four to a rack over three data centres, and their rows.
func (f *fakeFleet) addPool(table provider.Table, name string, n int) {
	store := pool.NewStore(table)
	for i := range n {
		in := provider.Instance{
			ID: fmt.Sprintf("%s-%03d", name, i), DataCentre: fmt.Sprintf("dc%d", i%3), Rack: fmt.Sprintf("r%d", i/12),
			Incarnation: 1, State: provider.InstanceLive, Slots: 8, Cores: 64, Memory: 256 << 30,
		}
		f.instances[in.ID] = &fakeInstance{Instance: in, serving: true}
		if _, err := store.Adopt(context.Background(), time.Now(), in, name); err != nil {
			panic(err)
		}
	}
}

// remove removes an instance that has ended for good.
func (f *fakeFleet) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.instances, id)
}

func (f *fakeFleet) List(context.Context, string) (provider.InstanceList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.listedAt.IsZero() || now.Sub(f.listedAt) >= f.lag {
		f.listedAt = now
		f.previousList, f.listed = f.listed, make(map[string]provider.Instance, len(f.instances))
		for id, m := range f.instances {
			f.listed[id] = m.report(now)
		}
	}
	list := provider.InstanceList{}
	for _, id := range slices.Sorted(maps.Keys(f.listed)) {
		if f.distort != nil {
			drop, repeat := f.distort()
			if drop {
				continue
			}
			if old, ok := f.previousList[id]; ok && repeat {
				list.Instances = append(list.Instances, old)
				continue
			}
		}
		list.Instances = append(list.Instances, f.listed[id])
	}
	return list, nil
}

func (m *fakeInstance) report(now time.Time) provider.Instance {
	in := m.Instance
	in.Reported = now
	switch {
	case now.Before(m.upAt):
		in.State = provider.InstanceGone
	case m.draining:
		in.State = provider.InstanceLeaving
		if now.Before(m.busyUntil) {
			in.InFlight = 1
		}
	default:
		in.State = provider.InstanceLive
		if m.hasServed() {
			in.InFlight = 1
		}
	}
	return in
}

func (f *fakeFleet) Drain(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.instances[id]
	m.recordEvent("drain")
	if !m.draining {
		m.draining, m.busyUntil = true, time.Now().Add(f.drain(id))
		m.recordEvent("busy for %v", f.drain(id))
		f.drains++
	}
	return nil
}

func (f *fakeFleet) Undrain(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[id].recordEvent("undrain")
	f.instances[id].draining = false
	return nil
}

func (f *fakeFleet) Reboot(_ context.Context, id string, incarnation uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.instances[id]
	m.recordEvent("reboot of incarnation %d, is %d, draining %v", incarnation, m.Incarnation, m.draining)
	if m.Incarnation != incarnation {
		return nil
	}
	if m.hasServed() && (!m.draining || time.Now().Before(m.busyUntil)) {
		f.interrupted = append(f.interrupted, id)
	}
	m.restart(f.reboot(id))
	m.reboots++
	return nil
}

// restart stops the instance at once and starts it again after the outage.
func (m *fakeInstance) restart(outage time.Duration) {
	m.recordEvent("restart, up after %v", outage)
	m.Incarnation++
	m.draining, m.served = false, false
	m.upAt = time.Now().Add(outage)
}

// applyRowState applies the state of the row. Requests reach the instance only while its row is in state serving.
func (m *fakeInstance) applyRowState(state pool.State) {
	m.served = m.hasServed()
	m.serving = state == pool.StateServing
}

// hasServed reports whether requests may have reached the instance in its current incarnation.
func (m *fakeInstance) hasServed() bool { return m.served || m.serving && !time.Now().Before(m.upAt) }

// countDown returns how many instances of a pool are out of service according to their rows, and the size of the
// pool.
func countDown(table *standin.Table, name string) (down, size int) {
	rows, err := pool.NewStore(table).List(context.Background())
	if err != nil {
		panic(err)
	}
	for _, row := range rows {
		if row.Pool != name {
			continue
		}
		size++
		if row.Down() {
			down++
		}
	}
	return down, size
}

func mustPool(spec pool.Spec) pool.Pool {
	p, err := pool.New(spec)
	if err != nil {
		panic(err)
	}
	return p
}

func listInstances(t testing.TB, table provider.Table) []pool.Stored {
	t.Helper()
	rows, err := pool.NewStore(table).List(t.Context())
	qt.Assert(t, err, qt.IsNil)
	return rows
}

func createWave(t testing.TB, table provider.Table, spec wave.Spec, pools []pool.Pool, rows []pool.Stored) wave.Wave {
	t.Helper()
	w, err := wave.NewStore(table).Create(t.Context(), spec, time.Now(), pools, rows)
	qt.Assert(t, err, qt.IsNil)
	return w
}

func waveState(t testing.TB, table provider.Table, name string) wave.State {
	t.Helper()
	stored, err := wave.NewStore(table).Get(t.Context(), name)
	qt.Assert(t, err, qt.IsNil)
	return stored.State()
}
