package store_test

import (
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
)

// TestScanAllDuringCommits guards against a row that neither the scan of a table nor the changes after it contain.
func TestScanAllDuringCommits(t *testing.T) {
	tests := map[string]struct {
		partitions []string
		added      string
		before     int64
	}{
		"new partition after the list":  {[]string{"a", "b"}, "c", 2},
		"new partition after one scan":  {[]string{"a", "b"}, "c", 3},
		"first partition of the table":  {nil, "a", 2},
		"known partition after a scan":  {[]string{"a", "b"}, "a", 3},
		"new partition before the list": {[]string{"a", "b"}, "c", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := memory.New()
			put := func(table, partition, name string) {
				key := store.Key{Table: table, Partition: partition, Name: name}
				_, err := s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: key, Value: []byte{1}}}})
				qt.Assert(t, err, qt.IsNil)
			}
			put("other", "", "row")
			for _, partition := range test.partitions {
				put("t", partition, "old")
			}
			s.DropHistory()
			// Partitions are scanned at the same time.
			var reads atomic.Int64
			s.BeforeReads(func() {
				if reads.Add(1) == test.before {
					put("t", test.added, "new")
				}
			})
			all, err := store.ScanAll(t.Context(), s, "t")
			qt.Assert(t, err, qt.IsNil)
			changes, err := s.Changes(t.Context(), "t", all.Version, 0)
			qt.Assert(t, err, qt.IsNil)
			found := make(map[store.Key]bool)
			for _, row := range append(all.Rows, changes.Rows...) {
				found[row.Key] = true
			}
			qt.Assert(t, found[store.Key{Table: "t", Partition: test.added, Name: "new"}], qt.IsTrue)
		})
	}
}
