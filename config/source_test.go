package config

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/team"
)

func startSource(t *testing.T, store *Store, o SourceOptions) *Source {
	t.Helper()
	s := NewSource(store, o)
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

// Guards against a revoked key that is admitted after the freshness bound, while the platform is up, slow or down.
func TestRevokedKeyIsNeverAdmittedAfterBound(t *testing.T) {
	tests := map[string]struct {
		policy Policy
		fault  func(t *faultyTable)
	}{
		"platform up":            {Policy{}, func(*faultyTable) {}},
		"platform slow":          {Policy{}, func(t *faultyTable) { t.delay = 1500 * time.Millisecond }},
		"platform very slow":     {Policy{}, func(t *faultyTable) { t.delay = 10 * time.Second }},
		"platform down":          {Policy{}, func(t *faultyTable) { t.down = true }},
		"platform down, bounded": {Policy{WhenUnreachable: WhenUnreachableBounded, BoundedFreshness: 20 * time.Second}, func(t *faultyTable) { t.down = true }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store, table := newTestStore(t)
				key, spec := newKey(c, "k1")
				mustChange(c, store, putRequest(teamDocument("supervisors", spec)))
				source := startSource(t, store, SourceOptions{Policy: test.policy})
				c.Assert(source.WaitReady(t.Context()), qt.IsNil)
				table.set(test.fault)
				time.Sleep(700 * time.Millisecond)
				// The operator uses another entry instance, whose connection to the platform has no fault.
				result := mustChange(c, NewStore(table.Table, StoreOptions{}), putRequest(teamDocument("supervisors")))
				admitted := false
				for time.Since(result.AcceptedAt) < time.Minute {
					if _, err := source.Authenticate(key); err == nil {
						admitted = true
						c.Assert(time.Since(result.AcceptedAt) <= source.Policy().FreshnessBound(), qt.IsTrue)
					}
					time.Sleep(10 * time.Millisecond)
				}
				c.Assert(admitted, qt.Equals, true)
			})
		})
	}
}

// Guards against keyed work that is still refused after an outage, or admitted late in a long one.
func TestKeyedWorkThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, table := newTestStore(t)
		key, spec := newKey(c, "k1")
		mustChange(c, store, putRequest(teamDocument("supervisors", spec)))
		source := startSource(t, store, SourceOptions{})
		c.Assert(source.WaitReady(t.Context()), qt.IsNil)
		for _, outage := range []time.Duration{time.Second, time.Minute, 3 * time.Hour} {
			table.set(func(t *faultyTable) { t.down = true })
			time.Sleep(outage)
			_, err := source.Authenticate(key)
			c.Assert(err == nil, qt.Equals, outage < DefaultKeyFreshness, qt.Commentf("%s: %v", outage, err))
			c.Assert(source.Snapshot().Version(), qt.Equals, uint64(1))
			table.set(func(t *faultyTable) { t.down = false })
			time.Sleep(DefaultInterval + time.Millisecond) // past the next tick, because timers that fire at the same time have no order
			_, err = source.Authenticate(key)
			c.Assert(err, qt.IsNil)
		}
	})
}

// Guards against keys that are refused from time to time because the platform responds more slowly than the poll interval.
func TestSlowPlatformKeepsKeysFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, table := newTestStore(t)
		table.set(func(t *faultyTable) { t.delay = 1400 * time.Millisecond })
		source := startSource(t, store, SourceOptions{})
		c.Assert(source.WaitReady(t.Context()), qt.IsNil)
		for range 3000 {
			age, known := source.Age()
			c.Assert(known && age <= 1900*time.Millisecond, qt.IsTrue, qt.Commentf("age %s", age))
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// Guards against a version that decreases because the platform, a peer or a delayed response has an older one.
func TestVersionNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, table := newTestStore(t)
		mustChange(c, store, putRequest(poolDocument("a")))
		old := NewSource(store, SourceOptions{})
		c.Assert(old.Poll(t.Context()), qt.IsNil)
		oldDelta, err := old.Delta(0)
		c.Assert(err, qt.IsNil)
		for _, name := range []string{"b", "c", "d"} {
			mustChange(c, store, putRequest(poolDocument(name)))
		}
		source := startSource(t, store, SourceOptions{})
		c.Assert(source.WaitReady(t.Context()), qt.IsNil)
		c.Assert(source.Accept(oldDelta), qt.IsNil)
		c.Assert(source.Observe(1, time.Now()), qt.IsTrue)
		c.Assert(source.Snapshot().Version(), qt.Equals, uint64(4))

		// The platform is restored from an old copy. The newer version stays in force, and no poll confirms it any more.
		rows, err := table.Read(t.Context(), currentKey)
		c.Assert(err, qt.IsNil)
		c.Assert(table.Table.Commit(t.Context(), provider.Txn{
			Checks: []provider.Check{{Key: currentKey, Version: rows[0].Version}},
			Writes: []provider.Write{{Key: currentKey, Value: []byte(`{"version":2}`)}},
		}), qt.IsNil)
		time.Sleep(time.Minute)
		c.Assert(source.Snapshot().Version(), qt.Equals, uint64(4))
		age, _ := source.Age()
		c.Assert(age > 50*time.Second, qt.IsTrue)
	})
}

// Guards against a restarted entry instance that serves an older configuration than its previous process did,
// because it became ready on a peer's confirmation from before its start.
func TestReadyNeedsConfirmationAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, table := newTestStore(t)
		mustChange(c, store, putRequest(poolDocument("a")))
		peer := NewSource(store, SourceOptions{})
		c.Assert(peer.Poll(t.Context()), qt.IsNil)
		table.set(func(t *faultyTable) { t.down = true })
		time.Sleep(time.Second)
		source := startSource(t, store, SourceOptions{})
		delta, err := peer.Delta(0)
		c.Assert(err, qt.IsNil)
		c.Assert(source.Observe(1, time.Now().Add(-time.Second)), qt.IsFalse)
		c.Assert(source.Accept(delta), qt.IsNil)
		c.Assert(source.Observe(1, time.Now().Add(-time.Second)), qt.IsTrue)
		select {
		case <-source.Ready():
			t.Fatal("ready with a confirmation from before the start")
		default:
		}
		time.Sleep(time.Second)
		c.Assert(source.Observe(1, time.Now().Add(-100*time.Millisecond)), qt.IsTrue)
		c.Assert(source.WaitReady(t.Context()), qt.IsNil)
	})
}

// Guards against a peer that cannot reach the newest version because the changes it lacks are no longer kept.
func TestDeltaReachesPeerFromAnyVersion(t *testing.T) {
	c := qt.New(t)
	store, _ := newTestStore(t)
	source := NewSource(store, SourceOptions{})
	behind := make(map[uint64]*Source)
	for v := range uint64(maxRecentChanges + 40) {
		behind[v] = NewSource(store, SourceOptions{})
		c.Assert(behind[v].Poll(t.Context()), qt.IsNil)
		mustChange(c, store, putRequest(NewDocument(team.Spec{Name: "t", Share: float64(v + 1), UpperLimit: 1})))
		c.Assert(source.Poll(t.Context()), qt.IsNil)
	}
	for v, peer := range behind {
		delta, err := source.Delta(v)
		c.Assert(err, qt.IsNil)
		c.Assert(peer.Accept(delta), qt.IsNil)
		c.Assert(peer.Snapshot().Version(), qt.Equals, source.Snapshot().Version())
		c.Assert(peer.Snapshot().Documents(), qt.DeepEquals, source.Snapshot().Documents())
	}
}
