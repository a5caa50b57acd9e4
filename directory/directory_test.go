package directory_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/directory"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
)

// fake is a platform and a dispatcher.
type fake struct {
	mu      sync.Mutex
	rows    []pool.Stored
	reports map[string]provider.Instance
	members []endpoint.Member
	down    bool
	got     map[string][]endpoint.Endpoint
}

func (f *fake) List(context.Context) ([]pool.Stored, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, provider.ErrUnavailable
	}
	return slices.Clone(f.rows), nil
}

func (f *fake) Refresh(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errors.New("down")
	}
	return nil
}

func (f *fake) Get(id string) (provider.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	report, ok := f.reports[id]
	return report, ok
}

func (f *fake) SetEndpoints(pool string, endpoints []endpoint.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.got[pool] = endpoints
}

func (f *fake) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// usable returns the endpoints of a pool that may get work.
func (f *fake) usable(pool string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := []string{}
	for _, e := range f.got[pool] {
		if !e.Leaving && e.Quota > 0 {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

const stable = 3 * time.Second

// run starts a directory over two serving instances, a and b, and waits until both are usable.
func run(t *testing.T, test func(f *fake, d *directory.Directory)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{
			rows: []pool.Stored{
				{Instance: pool.Instance{ID: "a", Pool: "desk", State: pool.StateServing, Generation: 1, Incarnation: 1}},
				{Instance: pool.Instance{ID: "b", Pool: "desk", State: pool.StateServing, Generation: 1, Incarnation: 1}},
			},
			reports: map[string]provider.Instance{
				"a": {ID: "a", Address: "127.0.0.1:1", Incarnation: 1, State: provider.InstanceLive, Reported: time.Now()},
				"b": {ID: "b", Address: "127.0.0.1:2", Incarnation: 1, State: provider.InstanceLive, Reported: time.Now()},
			},
			members: []endpoint.Member{{ID: "one-1"}},
			got:     make(map[string][]endpoint.Endpoint),
		}
		d := directory.New(directory.Options{
			Self: "one-1", Rows: f, Reports: f, Dispatcher: f, StabilityDelay: stable,
			Members: func() []endpoint.Member {
				f.mu.Lock()
				defer f.mu.Unlock()
				return slices.Clone(f.members)
			},
		})
		qt.Assert(t, d.Start(t.Context()), qt.IsNil)
		start := time.Now()
		qt.Assert(t, d.WaitReady(t.Context()), qt.IsNil)
		// Before its peers have given up slots for it, the entry instance must not be ready.
		qt.Assert(t, time.Since(start) >= stable, qt.IsTrue)
		qt.Assert(t, f.usable("desk"), qt.DeepEquals, []string{"a", "b"})
		test(f, d)
		qt.Assert(t, d.Stop(t.Context()), qt.IsNil)
	})
}

// TestChanges guards against work for an instance that leaves or has left its pool, and against one that stays
// unused after it came back, in every order in which the sources can report it.
func TestChanges(t *testing.T) {
	tests := map[string]struct {
		change func(f *fake, d *directory.Directory)
		want   []string
	}{
		"announced drain counts before the row is read": {
			change: func(f *fake, d *directory.Directory) {
				f.change(func() { f.down = true })
				d.ApplyAnnouncement([]pool.Instance{{ID: "a", Pool: "desk", State: pool.StateDraining, Generation: 2, Incarnation: 1}})
				synctest.Wait()
			},
			want: []string{"b"},
		},
		"late announcement of an older generation": {
			change: func(f *fake, d *directory.Directory) {
				f.change(func() { f.rows[0].Generation = 5 })
				time.Sleep(time.Second)
				d.ApplyAnnouncement([]pool.Instance{{ID: "a", Pool: "desk", State: pool.StateDraining, Generation: 2, Incarnation: 1}})
				time.Sleep(time.Second)
			},
			want: []string{"a", "b"},
		},
		"cancelled drain with the same incarnation": {
			change: func(f *fake, _ *directory.Directory) {
				f.change(func() { f.rows[0].State, f.rows[0].Generation = pool.StateDraining, 2 })
				time.Sleep(time.Second)
				f.change(func() { f.rows[0].State, f.rows[0].Generation = pool.StateServing, 3 })
				time.Sleep(time.Second)
			},
			want: []string{"a", "b"},
		},
		"list says leaving before the row does": {
			change: func(f *fake, _ *directory.Directory) {
				f.change(func() {
					f.reports["b"] = provider.Instance{ID: "b", Address: "127.0.0.1:2", Incarnation: 1, State: provider.InstanceLeaving, Reported: time.Now()}
				})
				time.Sleep(time.Second)
			},
			want: []string{"a"},
		},
		"list still says leaving after the return": {
			change: func(f *fake, _ *directory.Directory) {
				f.change(func() {
					f.reports["b"] = provider.Instance{ID: "b", Address: "127.0.0.1:2", Incarnation: 1, State: provider.InstanceLeaving, Reported: time.Now()}
					f.rows[1].Generation, f.rows[1].ReportBaseline = 3, time.Now()
				})
				time.Sleep(time.Second)
			},
			want: []string{"a", "b"},
		},
		"instance gone": {
			change: func(f *fake, _ *directory.Directory) {
				f.change(func() { f.reports["a"] = provider.Instance{ID: "a", State: provider.InstanceGone, Incarnation: 1} })
				time.Sleep(time.Second)
			},
			want: []string{"b"},
		},
		"instance moved to another pool": {
			change: func(f *fake, _ *directory.Directory) {
				f.change(func() { f.rows[0].Pool, f.rows[0].Generation = "spare", 2 })
				time.Sleep(time.Second)
			},
			want: []string{"b"},
		},
		"platform down": {
			change: func(f *fake, _ *directory.Directory) {
				f.change(func() { f.down = true })
				time.Sleep(time.Minute)
			},
			want: []string{"a", "b"},
		},
		"dispatcher has lost the pool": {
			change: func(f *fake, d *directory.Directory) {
				f.change(func() { clear(f.got) })
				d.Republish()
				synctest.Wait()
			},
			want: []string{"a", "b"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *fake, d *directory.Directory) {
				tt.change(f, d)
				qt.Assert(t, f.usable("desk"), qt.DeepEquals, tt.want)
			})
		})
	}
}

// TestQuotas guards against entry instances that together use more slots than an endpoint has while the membership changes.
func TestQuotas(t *testing.T) {
	run(t, func(f *fake, _ *directory.Directory) {
		quota := func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.got["desk"][0].Quota
		}
		qt.Assert(t, quota(), qt.Equals, 8)
		f.change(func() { f.members = append(f.members, endpoint.Member{ID: "one-2"}) })
		time.Sleep(time.Second)
		qt.Assert(t, quota(), qt.Equals, 4)
		f.change(func() { f.members = f.members[:1] })
		time.Sleep(stable - time.Second)
		qt.Assert(t, quota(), qt.Equals, 4)
		time.Sleep(2 * time.Second)
		qt.Assert(t, quota(), qt.Equals, 8)
	})
}
