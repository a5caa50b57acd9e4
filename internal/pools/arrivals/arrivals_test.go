package arrivals_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/pools/arrivals"
)

// TestRate guards against a pool that grows because of a few large jobs that arrive together by chance, and against one
// that follows a rise in demand too late.
func TestRate(t *testing.T) {
	const now = time.Minute
	tests := map[string]struct {
		earlier, latest int
		want            float64
	}{
		"one job":        {0, 1, 0},
		"a few jobs":     {2, 4, 2 / arrivals.Span.Seconds()},
		"steady arrival": {25, 25, 20 / arrivals.Span.Seconds()},
		"a rise":         {9, 25, 40 / arrivals.Span.Seconds()},
		"a fall":         {25, 9, 6 / arrivals.Span.Seconds()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := &arrivals.Window{}
			for range test.earlier {
				w.Record(now-3*arrivals.Span/2, 1)
			}
			for range test.latest {
				w.Record(now-arrivals.Span/2, 1)
			}
			got := w.ExpectedRate(now)
			qt.Assert(t, math.Abs(got-test.want) < 1e-9, qt.IsTrue, qt.Commentf("got %v, want %v", got, test.want))
		})
	}
}
