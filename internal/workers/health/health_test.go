package health

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLastingQuarantine guards against a worker that fails every task and gets tasks again without a pause, once it was quarantined so often
// that the next duration is out of range.
func TestLastingQuarantine(t *testing.T) {
	const quarantines = 100
	var h Health
	now := time.Minute
	for n, failure := 0, 0; n < quarantines; failure++ {
		qt.Assert(t, failure < quarantines+10, qt.IsTrue)
		if !h.RecordFailure(now, fmt.Sprint(failure)) {
			continue
		}
		n++
		want := MaxQuarantine
		if n <= 2 {
			want = time.Duration(n) * quarantineDuration
		}
		qt.Assert(t, h.QuarantinedUntil()-now, qt.Equals, want, qt.Commentf("quarantine %d", n))
		now = h.QuarantinedUntil()
	}
}
