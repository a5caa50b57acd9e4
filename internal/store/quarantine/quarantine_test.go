package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/internal/store/quarantine"
	"github.com/chivetiller/chivetiller/store"
)

func rowKey(i int) store.Key { return store.Key{Table: "t", Name: fmt.Sprint(i)} }

// TestRefusedRowStopsNoOther guards against rows that are never stored because the store refuses others.
func TestRefusedRowStopsNoOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 20
		n := rapid.IntRange(1, 100).Draw(t, "rows")
		bad := make(map[store.Key]bool)
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 5).Draw(t, "bad") {
			bad[rowKey(i)] = true
		}
		var list quarantine.List
		pending := make(map[store.Key]bool)
		for i := range n {
			pending[rowKey(i)] = true
		}
		good, batches := n-len(bad), 0
		for ; good > 0; batches++ {
			if batches > 400 {
				t.Fatalf("%d of %d rows are not stored after %d batches", good, n, batches)
			}
			list.Next(0)
			var batch []store.Key
			refused := false
			for key := range pending {
				if list.Admits(key) && len(batch) < limit {
					batch = append(batch, key)
					refused = refused || bad[key]
				}
			}
			switch {
			case len(batch) == 0:
				list.Skip()
			case refused:
				if key, pause, ok := list.Refused(batch, 0); ok && (!bad[key] || pause <= 0) {
					t.Fatalf("row %v is set aside for %s", key, pause)
				}
			default:
				list.Stored(batch)
				for _, key := range batch {
					delete(pending, key)
					good--
				}
			}
		}
	})
}

// TestSetAsideRow guards against a row that is never tried again, or so often that it takes the place of others.
func TestSetAsideRow(t *testing.T) {
	var list quarantine.List
	key := rowKey(1)
	now, last := time.Duration(0), time.Duration(0)
	for range 8 {
		list.Next(now)
		if !list.Admits(key) {
			list.Next(now)
		}
		qt.Assert(t, list.Admits(key), qt.IsTrue)
		_, pause, ok := list.Refused([]store.Key{key}, now)
		qt.Assert(t, ok, qt.IsTrue)
		if last > 0 {
			qt.Assert(t, pause, qt.Equals, min(2*last, time.Minute))
		}
		for _, at := range []time.Duration{now, now + pause - 1} {
			for range 2 {
				list.Next(at)
				qt.Assert(t, list.Admits(key), qt.IsFalse)
				qt.Assert(t, list.Admits(rowKey(2)), qt.IsTrue)
			}
		}
		now, last = now+pause, pause
	}
	list.Next(now)
	list.Stored([]store.Key{key})
	list.Next(now)
	qt.Assert(t, list.Admits(key), qt.IsTrue)
}

// TestTurns guards against rows that wait until all rows of a refused batch have been tried.
func TestTurns(t *testing.T) {
	var list quarantine.List
	refused := make([]store.Key, 0, 92)
	for i := range 92 {
		refused = append(refused, rowKey(i))
	}
	list.Next(0)
	list.Refused(refused, 0)
	other, waited, most, set := rowKey(1000), 0, 0, 0
	for range 400 {
		list.Next(0)
		if list.Admits(other) {
			waited = 0
			list.Stored([]store.Key{other})
			continue
		}
		waited++
		most = max(most, waited)
		var batch []store.Key
		for _, key := range refused {
			if list.Admits(key) {
				batch = append(batch, key)
			}
		}
		if _, _, ok := list.Refused(batch, 0); ok {
			set++
		}
	}
	t.Logf("most batches in a row without the other row: %d, set aside %d", most, set)
	qt.Assert(t, most <= 1, qt.IsTrue, qt.Commentf("%d batches", most))
}
