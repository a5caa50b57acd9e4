package estimateratio_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/jobs/estimateratio"
)

// TestRatio guards against a ratio that does not follow its queue, follows another one, or follows a single slow run without a bound.
func TestRatio(t *testing.T) {
	r := estimateratio.New()
	qt.Assert(t, r.Expect("q", time.Second), qt.Equals, time.Second)
	r.Observe("q", time.Second, time.Hour)
	r.Observe("q", 0, time.Hour)
	qt.Assert(t, r.Expect("q", time.Second), qt.Equals, 1100*time.Millisecond)
	for range 100 {
		r.Observe("q", time.Second, 2*time.Second)
	}
	qt.Assert(t, r.Expect("q", time.Second) > 1950*time.Millisecond, qt.IsTrue)
	qt.Assert(t, r.Expect("other", time.Second), qt.Equals, time.Second)
}
