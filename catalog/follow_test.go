package catalog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
)

// VersionDecoder decodes configurations that consist of a version number only.
type VersionDecoder struct{}

func (VersionDecoder) Table() string             { return "op" }
func (VersionDecoder) ConfigRow() store.Key      { return store.Key{Table: "op", Name: "config"} }
func (VersionDecoder) IsWave(row store.Row) bool { return strings.HasPrefix(row.Name, "wave/") }

func (VersionDecoder) IsEvacuation(row store.Row) bool {
	return strings.HasPrefix(row.Name, "evacuate/")
}

func (VersionDecoder) DecodeEvacuation(row store.Row) (string, error) {
	return strings.TrimPrefix(row.Name, "evacuate/"), nil
}

func (VersionDecoder) DecodeConfig(value []byte) (*Catalog, error) {
	n, err := strconv.ParseUint(string(value), 10, 64)
	return New(n, 0, nil, nil, nil), err
}

func (VersionDecoder) DecodeWave(row store.Row) (instance.Wave, error) {
	return instance.Wave{Number: len(row.Value)}, nil
}

func (VersionDecoder) WaveStatus(row store.Key, _ bool) store.Put { return store.Put{Key: row} }

// TestFollow guards against a configuration, a wave, or the begin or the end of an evacuation that is missed because rows change between
// two reads, history is dropped or reads fail, and against an earlier configuration, with withdrawn keys, that counts as confirmed.
func TestFollow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		failing := rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(rt, "failing reads")
		s := memory.New()
		version, waves := uint64(0), 0
		evacuated := make(map[string]bool)
		commit := func(tx store.Tx) {
			_, err := s.Commit(t.Context(), tx)
			qt.Assert(t, err, qt.IsNil)
		}
		put := func(name, value string) {
			commit(store.Tx{Puts: []store.Put{{Key: store.Key{Table: "op", Name: name}, Value: []byte(value)}}})
		}
		changes := true
		s.BeforeReads(func() {
			switch n := random.IntN(10); {
			case !changes || n > 5:
			case n == 0:
				s.DropHistory()
			case n == 1:
				waves++
				put(fmt.Sprint("wave/", waves), "w")
			case n == 2:
				name := []string{"a", "b", "c"}[random.IntN(3)]
				evacuated[name] = true
				put("evacuate/"+name, "x")
			case n == 3:
				for name := range evacuated {
					delete(evacuated, name)
					commit(store.Tx{Removes: []store.Key{{Table: "op", Name: "evacuate/" + name}}})
					break
				}
			default:
				version += uint64(1 + random.IntN(3))
				put("config", strconv.FormatUint(version, 10))
			}
		})
		s.InjectFaults(func(tx *store.Tx) memory.Fault {
			if tx == nil && changes && random.Float64() < failing {
				return memory.Refuse
			}
			return memory.None
		})
		source := NewSource(SourceOptions{Store: s, Clock: &store.Clock{}, Decoder: VersionDecoder{}})
		for range 40 {
			before, confirmed := version, source.confirmedAt
			read := source.readRows
			if random.IntN(5) == 0 {
				read = func(ctx context.Context) error {
					ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
					defer cancel()
					return source.Refresh(ctx)
				}
			}
			if err := read(t.Context()); err != nil && !errors.Is(err, store.ErrNotDone) && !errors.Is(err, context.DeadlineExceeded) {
				rt.Fatal(err)
			}
			if source.confirmedAt > confirmed && source.Current().Version < before {
				rt.Fatalf("version %d is confirmed after version %d was written", source.Current().Version, before)
			}
		}
		changes = false
		for range 2 {
			if err := source.readRows(t.Context()); err != nil {
				rt.Fatal(err)
			}
		}
		if current := source.Current().Version; current != version || len(source.Waves()) != waves {
			rt.Fatalf("version %d and %d waves are in force, written were %d and %d", current, len(source.Waves()), version, waves)
		}
		if got := source.Evacuations(); got.Len() != len(evacuated) || slices.ContainsFunc(got.Names(), func(name string) bool { return !evacuated[name] }) {
			rt.Fatalf("evacuated are %v, the rows are %v", got.Names(), evacuated)
		}
	})
}
