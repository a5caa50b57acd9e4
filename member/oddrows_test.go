package member

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
)

// TestOddNodeRows guards against a row of another writer that takes a node's place, precedes the leader so that it resigns, hides the
// rows of the others, or is logged with each heartbeat.
func TestOddNodeRows(t *testing.T) {
	encode := func(n Node) []byte {
		value, err := cbor.Marshal(n)
		qt.Assert(t, err, qt.IsNil)
		return value
	}
	tests := map[string][]byte{
		"no value":                 nil,
		"no CBOR":                  []byte(`{"name":"z"}`),
		"not UTF-8":                {0xa1, 0x01, 0x61, 0xff},
		"1,000,000 levels":         bytes.Repeat([]byte{0x81}, 60_000),
		"list":                     {0x80},
		"name is a number":         {0xa1, 0x01, 0x07},
		"count is negative":        {0xa1, 0x07, 0x20},
		"bytes of 2^63 - 1":        {0xa1, 0x01, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"map of 2^63 - 1":          {0xbb, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"empty name":               encode(Node{Cores: 4}),
		"name of another node":     encode(Node{Name: "a", Address: "z:1", Incarnation: "z-1", Cores: 4}),
		"cores are infinite":       encode(Node{Name: "z", Cores: math.Inf(1)}),
		"cores are not a number":   encode(Node{Name: "z", Cores: math.NaN()}),
		"cores are negative":       encode(Node{Name: "z", Cores: -1}),
		"more cores than machines": encode(Node{Name: "z", Cores: 1e300}),
	}
	for name, value := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, s := t.Context(), memory.New()
			var log bytes.Buffer
			logger := hclog.New(&hclog.LoggerOptions{Output: &log})
			a := New(Options{Store: s, Clock: &store.Clock{}, Self: Node{Name: "a", Address: "a:1", Incarnation: "a-1", Cores: 2}, Logger: logger})
			b := New(Options{Store: s, Clock: &store.Clock{}, Self: Node{Name: "b", Address: "b:1", Incarnation: "b-1", Cores: 1}})
			for range 10 {
				qt.Assert(t, a.writeHeartbeat(ctx, "a"), qt.IsNil)
				_, err := s.Commit(ctx, store.Tx{Puts: []store.Put{{Key: store.Key{Table: tableNodes, Partition: "z", Name: "z"}, Value: value}}})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, b.writeHeartbeat(ctx, "b"), qt.IsNil)
				a.updateLeadership(ctx)
				time.Sleep(time.Millisecond)
			}
			var live []string
			for _, n := range a.Live() {
				live = append(live, n.Name+" "+n.Address)
			}
			qt.Assert(t, live, qt.DeepEquals, []string{"a a:1", "b b:1"})
			qt.Assert(t, strings.Count(log.String(), "Row of a node cannot be decoded."), qt.Equals, 1, qt.Commentf("%s", log.String()))
			a.acquire(ctx)
			a.updateLeadership(ctx)
			_, leading := a.Term()
			qt.Assert(t, leading, qt.IsTrue)
		})
	}
}
