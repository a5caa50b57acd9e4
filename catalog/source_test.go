package catalog_test

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
)

// numbers decodes configurations that consist of their version.
type numbers struct{}

func (numbers) Table() string             { return "op" }
func (numbers) ConfigRow() store.Key      { return store.Key{Table: "op", Name: "config"} }
func (numbers) IsWave(row store.Row) bool { return strings.HasPrefix(row.Name, "wave/") }

func (numbers) DecodeConfig(value []byte) (*catalog.Catalog, error) {
	n, err := strconv.ParseUint(string(value), 10, 64)
	return catalog.New(n, 0, nil, nil, nil), eris.Wrap(err, "number")
}

func (numbers) DecodeWave(row store.Row) (instance.Wave, error) {
	return instance.Wave{Number: len(row.Value)}, nil
}

func (numbers) WaveStatus(row store.Key, _ bool) store.Put { return store.Put{Key: row} }

// peers answers with a configuration of another process.
type peers struct {
	snapshot atomic.Pointer[catalog.Snapshot]
}

func (p *peers) Latest(context.Context, uint64) (catalog.Snapshot, bool) {
	if s := p.snapshot.Load(); s != nil {
		return *s, true
	}
	return catalog.Snapshot{}, false
}

func put(t *testing.T, s *memory.Store, value string) uint64 {
	result, err := s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: numbers{}.ConfigRow(), Value: []byte(value)}}})
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

func start(t *testing.T, s *memory.Store, p catalog.Peers) *catalog.Source {
	source := catalog.NewSource(catalog.SourceOptions{Store: s, Clock: &store.Clock{}, Decoder: numbers{}, Peers: p})
	source.Start()
	t.Cleanup(source.Stop)
	return source
}

// TestVersions guards against a configuration that is not put into force, one that goes back, and one that cannot be read.
func TestVersions(t *testing.T) {
	t.Parallel()
	s := memory.New()
	put(t, s, "3")
	source := start(t, s, nil)
	version := func(n uint64) func() bool { return func() bool { return source.Current().Version == n } }
	eventually(t, time.Second, version(3))
	put(t, s, "7")
	eventually(t, 2*time.Second, version(7))
	put(t, s, "not a number")
	put(t, s, "5")
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, source.Current().Version, qt.Equals, uint64(7))
	s.DropHistory()
	put(t, s, "9")
	eventually(t, 2*time.Second, version(9))
	qt.Assert(t, source.Age() < time.Second, qt.IsTrue)
}

// TestTurnedAway guards against a process that the store turns away and that goes on with keys that were withdrawn.
func TestTurnedAway(t *testing.T) {
	t.Parallel()
	s := memory.New()
	first := put(t, s, "3")
	p := &peers{}
	source := start(t, s, p)
	eventually(t, time.Second, func() bool { return source.Current().Version == 3 })
	s.InjectFaults(func(*store.Tx) memory.Fault { return memory.Refuse })
	time.Sleep(2 * time.Second)
	qt.Assert(t, source.Age() > time.Second, qt.IsTrue)
	qt.Assert(t, source.Latest().Version, qt.Equals, first)
	p.snapshot.Store(&catalog.Snapshot{Value: []byte("4"), Version: first + 1, Age: 50 * time.Millisecond})
	eventually(t, 2*time.Second, func() bool { return source.Current().Version == 4 })
	eventually(t, 2*time.Second, func() bool { return source.Age() < time.Second })
}
