package ticket

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBook guards against workers that are never asked about again, and against tickets that are lost or outlast their validity because of a
// later answer.
func TestBook(t *testing.T) {
	var b Book
	qt.Assert(t, b.Valid(0), qt.IsFalse)
	qt.Assert(t, b.Unasked([]string{"b", "a"}, 0), qt.DeepEquals, []string{"b", "a"})
	b.Record([]string{"a", "b"}, map[string]string{"a": "1"}, 10*time.Second, 10*time.Second)
	b.Record([]string{"c"}, map[string]string{"c": "2"}, 15*time.Second, 15*time.Second)
	b.Record([]string{"e"}, map[string]string{"e": "3"}, 15*time.Second, 15*time.Second)
	b.Forget("e")
	tests := map[string]struct {
		now     time.Duration
		valid   bool
		tickets map[string]string
		unasked []string
	}{
		"all valid":       {10*time.Second - 1, true, map[string]string{"a": "1", "c": "2"}, []string{"d", "e"}},
		"first are old":   {10 * time.Second, true, map[string]string{"c": "2"}, []string{"a", "b", "d", "e"}},
		"all are too old": {15 * time.Second, false, map[string]string{}, []string{"a", "b", "c", "d", "e"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			workers, tickets := []string{"a", "b", "c", "d", "e"}, make(map[string]string)
			for _, id := range workers {
				if value, ok := b.Ticket(id, test.now); ok {
					tickets[id] = value
				}
			}
			qt.Assert(t, b.Valid(test.now), qt.Equals, test.valid)
			qt.Assert(t, tickets, qt.DeepEquals, test.tickets)
			qt.Assert(t, b.Unasked(workers, test.now), qt.DeepEquals, test.unasked)
		})
	}
}

// TestForget guards against a book that counts as valid because of a ticket that is gone, and against workers without a ticket that are asked
// about too late.
func TestForget(t *testing.T) {
	var b Book
	b.Record([]string{"a", "b"}, map[string]string{"a": "1"}, 10*time.Second, 2*time.Second)
	qt.Assert(t, b.Unasked([]string{"a", "b"}, 2*time.Second-1), qt.HasLen, 0)
	qt.Assert(t, b.Unasked([]string{"a", "b"}, 2*time.Second), qt.DeepEquals, []string{"b"})
	b.Forget("a")
	qt.Assert(t, b.Valid(0), qt.IsFalse)
	qt.Assert(t, b.Unasked([]string{"a"}, 0), qt.DeepEquals, []string{"a"})
}
