package catalog_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
)

// fakePeers returns a configuration of another process.
type fakePeers struct {
	snapshot atomic.Pointer[catalog.Snapshot]
}

func (p *fakePeers) Latest(context.Context, uint64) (catalog.Snapshot, bool) {
	if s := p.snapshot.Load(); s != nil {
		return *s, true
	}
	return catalog.Snapshot{}, false
}

func writeConfig(t *testing.T, s *memory.Store, value string) uint64 {
	result, err := s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: catalog.VersionDecoder{}.ConfigRow(), Value: []byte(value)}}})
	qt.Assert(t, err, qt.IsNil)
	return result.Version
}

func eventually(t *testing.T, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition does not hold after %s", limit)
		}
	}
}

func startSource(t *testing.T, s *memory.Store, p catalog.Peers) *catalog.Source {
	source := catalog.NewSource(catalog.SourceOptions{Store: s, Clock: &store.Clock{}, Decoder: catalog.VersionDecoder{}, Peers: p})
	source.Start()
	t.Cleanup(source.Stop)
	return source
}

// TestVersions guards against a new configuration that does not come into force, and against an older or invalid one that does.
func TestVersions(t *testing.T) {
	t.Parallel()
	s := memory.New()
	writeConfig(t, s, "3")
	source := startSource(t, s, nil)
	hasVersion := func(n uint64) func() bool { return func() bool { return source.Current().Version == n } }
	eventually(t, time.Second, hasVersion(3))
	writeConfig(t, s, "7")
	eventually(t, 2*time.Second, hasVersion(7))
	writeConfig(t, s, "not a number")
	writeConfig(t, s, "5")
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, source.Current().Version, qt.Equals, uint64(7))
	s.DropHistory()
	writeConfig(t, s, "9")
	eventually(t, 2*time.Second, hasVersion(9))
	qt.Assert(t, source.Age() < time.Second, qt.IsTrue)
}

// TestStoreRejectsCalls guards against a process that goes on accepting revoked keys while the store rejects its calls.
func TestStoreRejectsCalls(t *testing.T) {
	t.Parallel()
	s := memory.New()
	first := writeConfig(t, s, "3")
	p := &fakePeers{}
	source := startSource(t, s, p)
	eventually(t, time.Second, func() bool { return source.Current().Version == 3 })
	s.InjectFaults(func(*store.Tx) memory.Fault { return memory.Refuse })
	time.Sleep(2 * time.Second)
	qt.Assert(t, source.Age() > time.Second, qt.IsTrue)
	qt.Assert(t, source.Latest().Version, qt.Equals, first)
	p.snapshot.Store(&catalog.Snapshot{Value: []byte("4"), Version: first + 1, Age: 50 * time.Millisecond})
	eventually(t, 2*time.Second, func() bool { return source.Current().Version == 4 })
	eventually(t, 2*time.Second, func() bool { return source.Age() < time.Second })
}

// TestStalePeer guards against a key that is in use again after it was withdrawn: a process that restarts while the store rejects it
// takes an old configuration from a peer that has no connection to the store either, and counts it as confirmed.
func TestStalePeer(t *testing.T) {
	t.Parallel()
	const age = time.Minute
	s := memory.New()
	s.InjectFaults(func(*store.Tx) memory.Fault { return memory.Refuse })
	p := &fakePeers{}
	p.snapshot.Store(&catalog.Snapshot{Value: []byte("3"), Version: 1, Age: age})
	source := startSource(t, s, p)
	eventually(t, 2*time.Second, func() bool { return source.Current().Version == 3 })
	qt.Assert(t, source.Age() >= age, qt.IsTrue)
	// A newer peer is believed, an older one afterwards is not.
	p.snapshot.Store(&catalog.Snapshot{Value: []byte("4"), Version: 2, Age: time.Millisecond})
	eventually(t, 2*time.Second, func() bool { return source.Current().Version == 4 })
	p.snapshot.Store(&catalog.Snapshot{Value: []byte("3"), Version: 1, Age: 0})
	time.Sleep(500 * time.Millisecond)
	qt.Assert(t, source.Current().Version, qt.Equals, uint64(4))
}
