package unstoredexits

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestOrder guards against an exit that is acknowledged although its effect, or that of one before it, is not stored, since the worker forgets
// it then.
func TestOrder(t *testing.T) {
	var q Queue[string]
	q.Add(1, "a")
	q.Add(2, "b")
	q.Add(4, "a")
	unstored := func(names ...string) func(string) bool {
		return func(name string) bool { return slices.Contains(names, name) }
	}
	qt.Assert(t, q.StoredWith(unstored("a")), qt.Equals, uint64(0))
	qt.Assert(t, q.StoredWith(unstored("b")), qt.Equals, uint64(1))
	qt.Assert(t, q.StoredWith(unstored()), qt.Equals, uint64(4))
	qt.Assert(t, q.Stored(), qt.Equals, uint64(0))
	q.SetStored(1)
	qt.Assert(t, q.Exits(), qt.DeepEquals, []Exit[string]{{2, "b"}, {4, "a"}})
	qt.Assert(t, q.StoredWith(unstored("b")), qt.Equals, uint64(1))
	q.SetStored(4)
	q.SetStored(2)
	qt.Assert(t, []uint64{q.Stored(), uint64(q.Len()), q.StoredWith(unstored())}, qt.DeepEquals, []uint64{4, 0, 4})
}

// TestModel guards against the same in any order of batches that are stored, fail, or are reported late.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		// changed holds the jobs with changes in no batch, and lasting the numbers of the exits whose effects are stored.
		changed, stored := make(map[int]bool), make(map[uint64]bool)
		seq := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			if rapid.Bool().Draw(t, "exit") {
				seq++
				job := rapid.IntRange(0, 3).Draw(t, "job")
				q.Add(seq, job)
				changed[job] = true
				continue
			}
			job := rapid.IntRange(0, 3).Draw(t, "batch")
			delete(changed, job)
			up := q.StoredWith(func(j int) bool { return changed[j] })
			if !rapid.Bool().Draw(t, "succeeds") {
				changed[job] = true
				continue
			}
			for _, e := range q.Exits() {
				if !changed[e.Job] {
					stored[e.Seq] = true
				}
			}
			q.SetStored(up)
			for n := uint64(1); n <= q.Stored(); n++ {
				if !stored[n] {
					t.Fatalf("exit %d is acknowledged up to %d and not stored", n, q.Stored())
				}
			}
		}
	})
}
