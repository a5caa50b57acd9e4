package throttling

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLimit guards against best-effort tasks that slow down a service, and against ones that stay slow after its load has gone.
func TestLimit(t *testing.T) {
	for name, test := range map[string]struct {
		tails []time.Duration
		limit int
		since time.Duration
		want  int
	}{
		"no service":         {nil, 50, 2 * Interval, 75},
		"full speed":         {nil, FullSpeed, 2 * Interval, FullSpeed},
		"nearly full speed":  {nil, 90, 2 * Interval, FullSpeed},
		"too early":          {nil, 50, Interval, 50},
		"unknown":            {nil, UnknownSpeed, 0, 0},
		"service calm":       {[]time.Duration{10 * time.Millisecond}, 0, 2 * Interval, Step},
		"service near":       {[]time.Duration{10 * time.Millisecond, 70 * time.Millisecond}, 50, 2 * Interval, 50},
		"service over":       {[]time.Duration{101 * time.Millisecond, 10 * time.Millisecond}, FullSpeed, 0, 0},
		"service at target":  {[]time.Duration{100 * time.Millisecond}, 25, 2 * Interval, 25},
		"unknown, near":      {[]time.Duration{70 * time.Millisecond}, UnknownSpeed, 2 * Interval, 0},
		"over, throttled":    {[]time.Duration{time.Second}, 0, 2 * Interval, 0},
		"calm, just changed": {[]time.Duration{10 * time.Millisecond}, 0, time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var services Services
			for _, tail := range test.tails {
				services.Add(tail, 100*time.Millisecond)
			}
			qt.Assert(t, services.Limit(test.limit, test.since), qt.Equals, test.want)
		})
	}
}
