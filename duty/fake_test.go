package duty_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// fakeLease is a lease that this holder believes to have while held is true. The fence row decides.
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

// takeOver writes the fence row, which makes the transactions of earlier holders fail.
func (l *fakeLease) takeOver(table provider.Table) {
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

// machine is an instance of the fake platform.
type machine struct {
	provider.Instance
	draining bool
	// busy is when the last request in flight ends after a drain.
	busy time.Time
	// up is when a reboot ends.
	up      time.Time
	reboots int
	// serving says that the row permits work, and served that it did so in this incarnation.
	serving, served bool
	// events is what happened to the machine.
	events []string
}

func (m *machine) note(format string, args ...any) {
	m.events = append(m.events, time.Now().Format("15:04:05 ")+fmt.Sprintf(format, args...))
}

// fakeFleet is a platform whose list lags and whose instances drain and reboot in virtual time.
type fakeFleet struct {
	mu       sync.Mutex
	machines map[string]*machine
	lag      time.Duration
	drain    func(id string) time.Duration
	reboot   func(id string) time.Duration
	shown    map[string]provider.Instance
	shownAt  time.Time
	// distort says of an entry whether the list drops it, and whether it repeats the one before.
	distort func() (drop, repeat bool)
	old     map[string]provider.Instance
	cuts    []string
	drains  int
}

func newFakeFleet(lag time.Duration) *fakeFleet {
	return &fakeFleet{
		machines: make(map[string]*machine), lag: lag, shown: make(map[string]provider.Instance),
		drain:  func(string) time.Duration { return 5 * time.Second },
		reboot: func(string) time.Duration { return time.Minute },
	}
}

// add creates machines of a pool, four to a rack over three data centres, and their rows.
func (f *fakeFleet) add(table provider.Table, name string, n int) {
	store := pool.NewStore(table)
	for i := range n {
		in := provider.Instance{
			ID: fmt.Sprintf("%s-%03d", name, i), DataCentre: fmt.Sprintf("dc%d", i%3), Rack: fmt.Sprintf("r%d", i/12),
			Incarnation: 1, State: provider.InstanceLive, Slots: 8, Cores: 64, Memory: 256 << 30,
		}
		f.machines[in.ID] = &machine{Instance: in, serving: true}
		if _, err := store.Adopt(context.Background(), time.Now(), in, name); err != nil {
			panic(err)
		}
	}
}

func (f *fakeFleet) List(context.Context, string) (provider.InstanceList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.shownAt.IsZero() || now.Sub(f.shownAt) >= f.lag {
		f.shownAt = now
		f.old, f.shown = f.shown, make(map[string]provider.Instance, len(f.machines))
		for id, m := range f.machines {
			f.shown[id] = m.report(now)
		}
	}
	list := provider.InstanceList{}
	for _, id := range slices.Sorted(maps.Keys(f.shown)) {
		if f.distort != nil {
			drop, repeat := f.distort()
			if drop {
				continue
			}
			if old, ok := f.old[id]; ok && repeat {
				list.Instances = append(list.Instances, old)
				continue
			}
		}
		list.Instances = append(list.Instances, f.shown[id])
	}
	return list, nil
}

func (m *machine) report(now time.Time) provider.Instance {
	in := m.Instance
	in.Reported = now
	switch {
	case now.Before(m.up):
		in.State = provider.InstanceGone
	case m.draining:
		in.State = provider.InstanceLeaving
		if now.Before(m.busy) {
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
	m := f.machines[id]
	m.note("drain")
	if !m.draining {
		m.draining, m.busy = true, time.Now().Add(f.drain(id))
		m.note("busy for %v", f.drain(id))
		f.drains++
	}
	return nil
}

func (f *fakeFleet) Undrain(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines[id].note("undrain")
	f.machines[id].draining = false
	return nil
}

func (f *fakeFleet) Reboot(_ context.Context, id string, incarnation uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	m.note("reboot of incarnation %d, is %d, draining %v", incarnation, m.Incarnation, m.draining)
	if m.Incarnation != incarnation {
		return nil
	}
	if m.hasServed() && (!m.draining || time.Now().Before(m.busy)) {
		f.cuts = append(f.cuts, id)
	}
	m.restart(f.reboot(id))
	m.reboots++
	return nil
}

// restart ends the machine at once and starts it after the outage.
func (m *machine) restart(outage time.Duration) {
	m.note("restart, up after %v", outage)
	m.Incarnation++
	m.draining, m.served = false, false
	m.up = time.Now().Add(outage)
}

// setRow takes the state of the row. Work reaches the machine only while the row serves.
func (m *machine) setRow(state pool.State) {
	m.served = m.hasServed()
	m.serving = state == pool.StateServing
}

// hasServed reports whether work may have reached the machine in its present incarnation.
func (m *machine) hasServed() bool { return m.served || m.serving && !time.Now().Before(m.up) }

// down returns how many machines of a pool are out of service according to its rows.
func down(table *standin.Table, name string) (down, size int) {
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
