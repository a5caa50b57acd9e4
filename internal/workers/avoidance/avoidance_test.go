package avoidance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestTakesOverdue guards against a task that waits for longer than MaxWait and ProbeInterval for a worker that is only avoided, and against
// one that starts where its run would end at once.
func TestTakesOverdue(t *testing.T) {
	const now = time.Minute
	quarantined := Worker{QuarantinedUntil: now + 6*time.Second, FailedAt: now - 2*time.Second}
	tests := map[string]struct {
		worker Worker
		idle   time.Duration
		takes  bool
	}{
		"nothing against it":            {Worker{}, MaxWait, true},
		"quarantine has ended":          {Worker{QuarantinedUntil: now, FailedAt: now}, MaxWait, true},
		"quarantined":                   {quarantined, MaxWait, true},
		"quarantined, not overdue":      {quarantined, MaxWait - 1, false},
		"quarantined, has failed again": {Worker{QuarantinedUntil: now + time.Second, FailedAt: now - ProbeInterval + 1}, UrgentAfter - 1, false},
		"quarantined, urgent":           {Worker{QuarantinedUntil: now + time.Second, FailedAt: now}, UrgentAfter, true},
		"command may be carried out":    {Worker{Leaving: true}, time.Hour, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, test.worker.TakesOverdue(now, test.idle), qt.Equals, test.takes)
		})
	}
}
