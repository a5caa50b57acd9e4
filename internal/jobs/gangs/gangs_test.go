package gangs

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
)

// TestWidth guards against a gang that gets fewer instances than its tasks need at once, and against one that counts instances it cannot use.
func TestWidth(t *testing.T) {
	four := work.Resources{CPU: 4000, Memory: 4000}
	all := []work.Resources{four, four, four}
	for name, test := range map[string]struct {
		shape Shape
		want  int
	}{
		"processors":     {Shape{Request: work.Resources{CPU: 2000}, Count: 3}, 2},
		"memory":         {Shape{Request: work.Resources{CPU: 1, Memory: 4000}, Count: 3}, 3},
		"one a worker":   {Shape{Request: work.Resources{CPU: 1}, Count: 2, MaxPerWorker: 1}, 2},
		"too many":       {Shape{Request: work.Resources{CPU: 4000}, Count: 4}, 0},
		"too large":      {Shape{Request: work.Resources{GPU: 1}, Count: 1}, 0},
		"nothing needed": {Shape{Count: 9}, 1},
	} {
		t.Run(name, func(t *testing.T) { qt.Assert(t, test.shape.Width(all), qt.Equals, test.want) })
	}
}

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
