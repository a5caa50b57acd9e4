package node

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/store"
)

// TestTransactionFieldNames guards against a renamed field of a transaction. Nodes of different builds send transactions to each
// other, encoded with the names of the fields.
func TestTransactionFieldNames(t *testing.T) {
	key := store.Key{Table: "t", Partition: "p", Name: "n"}
	data, err := cbor.Marshal(store.Tx{
		Expected: []store.Expect{{Key: key, Version: 1}}, Puts: []store.Put{{Key: key, Value: []byte("v")}}, Removes: []store.Key{key},
	})
	qt.Assert(t, err, qt.IsNil)
	var sent any
	qt.Assert(t, cbor.Unmarshal(data, &sent), qt.IsNil)
	type fields = map[any]any
	qt.Assert(t, sent, qt.DeepEquals, any(fields{
		"Expected": []any{fields{"Table": "t", "Part": "p", "Name": "n", "Version": uint64(1)}},
		"Puts":     []any{fields{"Table": "t", "Part": "p", "Name": "n", "Value": []byte("v")}},
		"Removes":  []any{fields{"Table": "t", "Part": "p", "Name": "n"}},
	}))
	var received store.Tx
	qt.Assert(t, cbor.Unmarshal(data, &received), qt.IsNil)
	qt.Assert(t, received.Removes[0], qt.Equals, key)
}
