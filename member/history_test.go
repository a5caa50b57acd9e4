package member

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/store/memory"
)

// TestHistoryDropped guards against a live leader that is replaced because the store has dropped the history with its heartbeats.
func TestHistoryDropped(t *testing.T) {
	t.Parallel()
	s := memory.New()
	all := startMembers(t, s, "a", "b", "c")
	time.Sleep(time.Second)
	before := leaders(all)
	qt.Assert(t, before, qt.HasLen, 1)
	term, _ := all[before[0]].Term()
	for range 40 {
		s.DropHistory()
		time.Sleep(100 * time.Millisecond)
	}
	after, _ := all[before[0]].Term()
	qt.Assert(t, after.Fence, qt.Equals, term.Fence)
}
