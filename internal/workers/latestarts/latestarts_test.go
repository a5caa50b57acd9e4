package latestarts

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
)

// TestList guards against a start that is forgotten while it may arrive, and against a list that grows with each repetition.
func TestList(t *testing.T) {
	const delay = 10 * time.Second
	a, b := work.Task{Job: "a"}, work.Task{Job: "b"}
	var l List
	l.Add(a, 1, 0, delay)
	l.Add(b, 1, time.Second, delay)
	l.Add(a, 1, 2*time.Second, delay)
	qt.Assert(t, l, qt.HasLen, 2)
	qt.Assert(t, l.Arriving(delay+time.Second-1, delay), qt.HasLen, 2)
	qt.Assert(t, l.Arriving(delay+time.Second, delay), qt.HasLen, 1)
	l.Add(a, 2, delay+2*time.Second, delay)
	qt.Assert(t, l, qt.HasLen, 1)
}
