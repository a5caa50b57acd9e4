package catalog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

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

func (VersionDecoder) DecodeConfig(value []byte) (*Catalog, error) {
	n, err := strconv.ParseUint(string(value), 10, 64)
	return New(n, 0, nil, nil, nil), err
}

func (VersionDecoder) DecodeWave(row store.Row) (instance.Wave, error) {
	return instance.Wave{Number: len(row.Value)}, nil
}

func (VersionDecoder) WaveStatus(row store.Key, _ bool) store.Put { return store.Put{Key: row} }

// TestFollow guards against a configuration or a wave that is missed because rows change between two reads, history is dropped or reads
// fail, and against an earlier configuration, with withdrawn keys, that counts as confirmed.
func TestFollow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		failing := rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(rt, "failing reads")
		s := memory.New()
		version, waves := uint64(0), 0
		put := func(name, value string) {
			_, err := s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: store.Key{Table: "op", Name: name}, Value: []byte(value)}}})
			qt.Assert(t, err, qt.IsNil)
		}
		changes := true
		s.BeforeReads(func() {
			switch n := random.IntN(8); {
			case !changes || n > 3:
			case n == 0:
				s.DropHistory()
			case n == 1:
				waves++
				put(fmt.Sprint("wave/", waves), "w")
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
			if err := source.readRows(t.Context()); err != nil && !errors.Is(err, store.ErrNotDone) {
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
	})
}
