package store_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
)

func puts(n, bytes int) []store.Put {
	all := make([]store.Put, n)
	for i := range all {
		all[i] = store.Put{Key: store.Key{Table: "t", Name: fmt.Sprint(i)}, Value: make([]byte, bytes)}
	}
	return all
}

// TestTransactionLimits guards against transactions that are sent although the store refuses them, and against a fake that takes them.
func TestTransactionLimits(t *testing.T) {
	long := strings.Repeat("x", store.MaxKeyBytes+1)
	tests := map[string]struct {
		tx      store.Tx
		refused bool
	}{
		"most entries":     {store.Tx{Puts: puts(store.MaxEntries, 1)}, false},
		"too many puts":    {store.Tx{Puts: puts(store.MaxEntries+1, 1)}, true},
		"too many entries": {store.Tx{Puts: puts(store.MaxEntries-1, 1), Expected: make([]store.Expect, 1), Removes: make([]store.Key, 1)}, true},
		"largest row":      {store.Tx{Puts: puts(1, store.MaxRowBytes)}, false},
		"row too large":    {store.Tx{Puts: puts(1, store.MaxRowBytes+1)}, true},
		"too many bytes":   {store.Tx{Puts: puts(13, store.MaxRowBytes)}, true},
		"key too long":     {store.Tx{Removes: []store.Key{{Table: "t", Name: long}}}, true},
		"expected key":     {store.Tx{Expected: []store.Expect{{Key: store.Key{Table: long}}}}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := memory.New().Commit(t.Context(), test.tx)
			qt.Assert(t, err != nil, qt.Equals, test.refused)
			if test.refused {
				qt.Assert(t, err, qt.ErrorIs, store.ErrRefused)
				qt.Assert(t, err, qt.ErrorIs, store.ErrNotDone)
			}
		})
	}
}

// TestSplit guards against rows that are lost, or that keep others from being stored, when they do not fit into one transaction.
func TestSplit(t *testing.T) {
	tests := map[string]struct {
		puts, bytes, removes int
		refused              int
	}{
		"none":          {},
		"few":           {3, 10, 3, 0},
		"many puts":     {1000, 10, 0, 0},
		"many removals": {0, 0, 1000, 0},
		"both":          {150, 10, 150, 0},
		"large":         {100, store.MaxRowBytes, 5, 0},
		"too large":     {10, store.MaxRowBytes + 1, 5, 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var removes []store.Key
			for i := range test.removes {
				removes = append(removes, store.Key{Table: "t", Name: fmt.Sprint("r", i)})
			}
			refused, rows := 0, 0
			for _, tx := range store.Split(puts(test.puts, test.bytes), removes, func(store.Key, error) { refused++ }) {
				qt.Assert(t, tx.Validate(), qt.IsNil)
				rows += tx.Entries()
			}
			qt.Assert(t, refused, qt.Equals, test.refused)
			qt.Assert(t, rows, qt.Equals, test.puts+test.removes-refused)
		})
	}
}
