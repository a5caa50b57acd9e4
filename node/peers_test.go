package node

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
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

// TestRequestLimits guards against the largest requests that are refused, and against lists that take far more memory than their bytes.
func TestRequestLimits(t *testing.T) {
	tests := map[string]struct {
		request any
		to      any
		refused bool
	}{
		"largest transaction": {store.Tx{Puts: make([]store.Put, store.MaxEntries)}, new(store.Tx), false},
		"largest job":         {work.Job{Steps: make([]work.Step, work.MaxSteps)}, new(work.Job), false},
		"many rows":           {store.Tx{Puts: make([]store.Put, maxListElements+1)}, new(store.Tx), true},
		"many steps":          {work.Job{Steps: make([]work.Step, maxListElements+1)}, new(work.Job), true},
		"many dependencies":   {work.Job{Steps: []work.Step{{DependsOn: make([]int, maxListElements+1)}}}, new(work.Job), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := cbor.Marshal(test.request)
			qt.Assert(t, err, qt.IsNil)
			err = requestMode.Unmarshal(data, test.to)
			var tooLong *cbor.MaxArrayElementsError
			qt.Assert(t, errors.As(err, &tooLong), qt.Equals, test.refused, qt.Commentf("%v", err))
			qt.Assert(t, err != nil, qt.Equals, test.refused)
		})
	}
}
