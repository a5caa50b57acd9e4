package donors

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestChoose guards against a move of an instance with tasks while an empty or a spare one could move, and against a pool that gives more
// than its excess.
func TestChoose(t *testing.T) {
	l := List{InUse: []Instance{{"empty", "a", 0}, {"other", "b", 0}, {"busy", "a", 2}, {"full", "a", 3}}, Spare: []string{"spare"}}
	excess := map[string]int{"a": 2}
	var chosen []string
	for id := l.Choose(excess); id != ""; id = l.Choose(excess) {
		chosen = append(chosen, id)
	}
	qt.Assert(t, chosen, qt.DeepEquals, []string{"empty", "spare", "busy"})
	qt.Assert(t, excess, qt.DeepEquals, map[string]int{"a": 0})
}
