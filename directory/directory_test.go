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

// fakePlatform implements the platform's rows and list, and the dispatcher.
type fakePlatform struct {
	mu          sync.Mutex
	rows        []pool.Stored
	unreadable  map[string]bool
	reports     map[string]provider.Instance
	members     []endpoint.Member
	unavailable bool
	published   map[string][]endpoint.Endpoint
}

func (f *fakePlatform) ListReadable(_ context.Context, unreadable func(id string, err error)) ([]pool.Stored, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return nil, provider.ErrUnavailable
	}
	var rows []pool.Stored
	for _, row := range f.rows {
		if f.unreadable[row.ID] {
			unreadable(row.ID, errors.New("test"))
			continue
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (f *fakePlatform) Refresh(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return errors.New("down")
	}
	return nil
}

func (f *fakePlatform) Get(id string) (provider.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	report, ok := f.reports[id]
	return report, ok
}

func (f *fakePlatform) SetEndpoints(pool string, endpoints []endpoint.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published[pool] = endpoints
}

func (f *fakePlatform) update(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// usableEndpoints returns the IDs of the endpoints of a pool that may receive work.
func (f *fakePlatform) usableEndpoints(pool string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := []string{}
	for _, e := range f.published[pool] {
		if !e.Leaving && e.Quota > 0 {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

const stabilityDelay = 3 * time.Second

// runDirectory starts a directory with two serving instances, a and b, and waits until both are usable.
func runDirectory(t *testing.T, test func(f *fakePlatform, d *directory.Directory)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePlatform{
			rows: []pool.Stored{
				{Instance: pool.Instance{ID: "a", Pool: "desk", State: pool.StateServing, Generation: 1, Incarnation: 1}},
				{Instance: pool.Instance{ID: "b", Pool: "desk", State: pool.StateServing, Generation: 1, Incarnation: 1}},
			},
			reports: map[string]provider.Instance{
				"a": {ID: "a", Address: "127.0.0.1:1", Incarnation: 1, State: provider.InstanceLive, Reported: time.Now()},
				"b": {ID: "b", Address: "127.0.0.1:2", Incarnation: 1, State: provider.InstanceLive, Reported: time.Now()},
			},
			members:   []endpoint.Member{{ID: "one-1"}},
			published: make(map[string][]endpoint.Endpoint),
		}
		d := directory.New(directory.Options{
			Self: "one-1", Rows: f, Reports: f, Dispatcher: f, StabilityDelay: stabilityDelay,
			Members: func() []endpoint.Member {
				f.mu.Lock()
				defer f.mu.Unlock()
				return slices.Clone(f.members)
			},
		})
		qt.Assert(t, d.Start(t.Context()), qt.IsNil)
		start := time.Now()
		qt.Assert(t, d.WaitReady(t.Context()), qt.IsNil)
		// The entry instance must not be ready before its peers have released slots for it.
		qt.Assert(t, time.Since(start) >= stabilityDelay, qt.IsTrue)
		qt.Assert(t, f.usableEndpoints("desk"), qt.DeepEquals, []string{"a", "b"})
		test(f, d)
		qt.Assert(t, d.Stop(t.Context()), qt.IsNil)
	})
}

// TestChanges guards against work that is sent to an instance that is leaving or has left its pool, and against an
// instance that stays unused after it came back, for each order in which the sources can report the change.
func TestChanges(t *testing.T) {
	// update returns a change of the platform, followed by a wait.
	update := func(wait time.Duration, do func(f *fakePlatform)) func(*fakePlatform, *directory.Directory) {
		return func(f *fakePlatform, _ *directory.Directory) {
			f.update(func() { do(f) })
			time.Sleep(wait)
		}
	}
	tests := map[string]struct {
		change func(f *fakePlatform, d *directory.Directory)
		want   []string
	}{
		"announced drain counts before the row is read": {
			change: func(f *fakePlatform, d *directory.Directory) {
				f.update(func() { f.unavailable = true })
				d.ApplyAnnouncement([]pool.Instance{{ID: "a", Pool: "desk", State: pool.StateDraining, Generation: 2, Incarnation: 1}})
				synctest.Wait()
			},
			want: []string{"b"},
		},
		"late announcement of an older generation": {
			change: func(f *fakePlatform, d *directory.Directory) {
				f.update(func() { f.rows[0].Generation = 5 })
				time.Sleep(time.Second)
				d.ApplyAnnouncement([]pool.Instance{{ID: "a", Pool: "desk", State: pool.StateDraining, Generation: 2, Incarnation: 1}})
				time.Sleep(time.Second)
			},
			want: []string{"a", "b"},
		},
		"cancelled drain with the same incarnation": {
			change: func(f *fakePlatform, _ *directory.Directory) {
				f.update(func() { f.rows[0].State, f.rows[0].Generation = pool.StateDraining, 2 })
				time.Sleep(time.Second)
				f.update(func() { f.rows[0].State, f.rows[0].Generation = pool.StateServing, 3 })
				time.Sleep(time.Second)
			},
			want: []string{"a", "b"},
		},
		"list says leaving before the row does": {
			change: update(time.Second, func(f *fakePlatform) {
				f.reports["b"] = provider.Instance{ID: "b", Address: "127.0.0.1:2", Incarnation: 1, State: provider.InstanceLeaving, Reported: time.Now()}
			}),
			want: []string{"a"},
		},
		"list still says leaving after the return": {
			change: update(time.Second, func(f *fakePlatform) {
				f.reports["b"] = provider.Instance{ID: "b", Address: "127.0.0.1:2", Incarnation: 1, State: provider.InstanceLeaving, Reported: time.Now()}
				f.rows[1].Generation, f.rows[1].ReportBaseline = 3, time.Now()
			}),
			want: []string{"a", "b"},
		},
		"instance gone": {
			change: update(time.Second, func(f *fakePlatform) {
				f.reports["a"] = provider.Instance{ID: "a", State: provider.InstanceGone, Incarnation: 1}
			}),
			want: []string{"b"},
		},
		"instance moved to another pool": {
			change: update(time.Second, func(f *fakePlatform) { f.rows[0].Pool, f.rows[0].Generation = "spare", 2 }),
			want:   []string{"b"},
		},
		"platform down": {
			change: update(time.Minute, func(f *fakePlatform) { f.unavailable = true }),
			want:   []string{"a", "b"},
		},
		"row that cannot be read": {
			change: update(time.Minute, func(f *fakePlatform) {
				f.unreadable = map[string]bool{"a": true}
				f.rows[1].State, f.rows[1].Generation = pool.StateDraining, 2
			}),
			want: []string{"a"},
		},
		"dispatcher has lost the pool": {
			change: func(f *fakePlatform, d *directory.Directory) {
				f.update(func() { clear(f.published) })
				d.Republish()
				synctest.Wait()
			},
			want: []string{"a", "b"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runDirectory(t, func(f *fakePlatform, d *directory.Directory) {
				tt.change(f, d)
				qt.Assert(t, f.usableEndpoints("desk"), qt.DeepEquals, tt.want)
			})
		})
	}
}

// TestQuotas guards against entry instances that together use more slots than an endpoint has while the membership
// changes.
func TestQuotas(t *testing.T) {
	runDirectory(t, func(f *fakePlatform, _ *directory.Directory) {
		quota := func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.published["desk"][0].Quota
		}
		qt.Assert(t, quota(), qt.Equals, 8)
		f.update(func() { f.members = append(f.members, endpoint.Member{ID: "one-2"}) })
		time.Sleep(time.Second)
		qt.Assert(t, quota(), qt.Equals, 4)
		f.update(func() { f.members = f.members[:1] })
		time.Sleep(stabilityDelay - time.Second)
		qt.Assert(t, quota(), qt.Equals, 4)
		time.Sleep(2 * time.Second)
		qt.Assert(t, quota(), qt.Equals, 8)
	})
}
