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
				if key, pause, ok := list.Refused(batch, 0, true); ok && (!bad[key] || pause <= 0) {
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

// TestSetAsideRow guards against a row that is never tried again, so often that it takes the place of others, or not for long after the store
// was at fault.
func TestSetAsideRow(t *testing.T) {
	const (
		first    = 5 * time.Second
		unproven = 2 * time.Second
	)
	tests := map[string]struct {
		answered, othersStored bool
		// want is the pause after each refusal.
		want func(refusal int) time.Duration
	}{
		"others are stored": {true, true, func(refusal int) time.Duration {
			if refusal == 0 {
				return unproven
			}
			return min(first<<(refusal-1), time.Minute)
		}},
		"nothing else is stored":       {true, false, func(int) time.Duration { return unproven }},
		"no answer":                    {false, false, func(int) time.Duration { return unproven }},
		"no answer, others are stored": {false, true, func(int) time.Duration { return unproven }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var list quarantine.List
			key, other := rowKey(1), rowKey(2)
			now := time.Duration(0)
			for refusal := range 8 {
				list.Next(now)
				if !list.Admits(key) {
					list.Next(now)
				}
				qt.Assert(t, list.Admits(key), qt.IsTrue)
				_, pause, ok := list.Refused([]store.Key{key}, now, test.answered)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, pause, qt.Equals, test.want(refusal), qt.Commentf("refusal %d", refusal))
				for _, at := range []time.Duration{now, now + pause - 1} {
					for range 2 {
						list.Next(at)
						qt.Assert(t, list.Admits(key), qt.IsFalse)
						qt.Assert(t, list.Admits(other), qt.IsTrue)
					}
				}
				if test.othersStored {
					list.Stored([]store.Key{other})
				}
				now += pause
			}
			list.Next(now)
			list.Stored([]store.Key{key})
			list.Next(now)
			qt.Assert(t, list.Admits(key), qt.IsTrue)
		})
	}
}

// TestTurns guards against rows that wait until all rows of a refused batch have been tried.
func TestTurns(t *testing.T) {
	var list quarantine.List
	refused := make([]store.Key, 0, 92)
	for i := range 92 {
		refused = append(refused, rowKey(i))
	}
	list.Next(0)
	list.Refused(refused, 0, true)
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
		if _, _, ok := list.Refused(batch, 0, true); ok {
			set++
		}
	}
	t.Logf("most batches in a row without the other row: %d, set aside %d", most, set)
	qt.Assert(t, most <= 1, qt.IsTrue, qt.Commentf("%d batches", most))
}
