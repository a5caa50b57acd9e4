package waiting

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLog guards against a check that floods the log, or that hides how many tasks it has left out.
func TestLog(t *testing.T) {
	longest := make(map[Reason]time.Duration)
	log := NewLog(make(map[Reason]int), longest)
	admitted := 0
	for i := range maxLines + 2 {
		log.Count(ForRoom, time.Duration(10-i)*time.Second)
		if log.Admits() {
			admitted++
		}
	}
	log.Count(AfterRun, time.Second)
	qt.Assert(t, admitted, qt.Equals, maxLines)
	qt.Assert(t, log.Omitted(), qt.Equals, 2)
	qt.Assert(t, log.Reasons(), qt.DeepEquals, map[Reason]int{ForRoom: maxLines + 2, AfterRun: 1})
	qt.Assert(t, longest, qt.DeepEquals, map[Reason]time.Duration{ForRoom: 10 * time.Second, AfterRun: time.Second})
}

// TestWait guards against a wait that is logged with each check, and against one that goes on from before the task ran.
func TestWait(t *testing.T) {
	var w Wait
	lines := 0
	const begin, checks = time.Minute, 10
	for i := range checks {
		now := begin + time.Duration(i)*time.Second
		w.Begin(now)
		if w.LogDue(now) {
			lines++
		}
	}
	qt.Assert(t, w.Since(), qt.Equals, begin)
	qt.Assert(t, lines, qt.Equals, int((checks-1)*time.Second/LogAfter))
	w.End()
	qt.Assert(t, w.Since(), qt.Equals, time.Duration(0))
	w.Begin(2 * begin)
	qt.Assert(t, w.Since(), qt.Equals, 2*begin)
	qt.Assert(t, w.LogDue(2*begin), qt.IsFalse)
}
