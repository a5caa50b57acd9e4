package gang

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSpread guards against a gang that is placed in part or beyond the room of a worker.
func TestSpread(t *testing.T) {
	room := map[string]int64{"a": 1, "b": 0, "c": 2}
	fits := func(w string, n int64) bool { return n < room[w] }
	workers := []string{"a", "b", "c"}
	qt.Assert(t, Spread(3, workers, fits), qt.DeepEquals, []string{"a", "c", "c"})
	qt.Assert(t, Spread(4, workers, fits), qt.IsNil)
}

// TestOrder guards against a gang that is placed far from its data, or first on a worker that it has crashed.
func TestOrder(t *testing.T) {
	workers := []string{"r2/a", "r1/a", "r3/a", "r2/b"}
	rack := func(w string) string { return w[:2] }
	qt.Assert(t, ByRack(workers, rack, "r3"), qt.DeepEquals, [][]string{{"r3/a"}, {"r1/a"}, {"r2/a", "r2/b"}})
	qt.Assert(t, ByRack(workers, rack, ""), qt.DeepEquals, [][]string{{"r1/a"}, {"r2/a", "r2/b"}, {"r3/a"}})
	last := func(w string) bool { return strings.HasPrefix(w, "r2") }
	qt.Assert(t, Last(workers, last), qt.DeepEquals, []string{"r1/a", "r3/a", "r2/a", "r2/b"})
}
