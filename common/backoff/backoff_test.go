package backoff

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestDoubled(t *testing.T) {
	tests := map[string]struct {
		failures     int
		first, limit time.Duration
		want         time.Duration
	}{
		"none":                 {0, time.Second, time.Minute, time.Second},
		"one":                  {1, time.Second, time.Minute, time.Second},
		"two":                  {2, time.Second, time.Minute, 2 * time.Second},
		"five":                 {5, time.Second, time.Minute, 16 * time.Second},
		"limit":                {7, time.Second, time.Minute, time.Minute},
		"exact limit":          {3, time.Second, 4 * time.Second, 4 * time.Second},
		"many":                 {math.MaxInt, time.Second, time.Minute, time.Minute},
		"first above limit":    {1, time.Minute, time.Second, time.Second},
		"limit near overflow":  {math.MaxInt, time.Second, math.MaxInt64, math.MaxInt64},
		"limit of one failure": {4, time.Second, time.Second, time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, Doubled(test.failures, test.first, test.limit), qt.Equals, test.want)
		})
	}
}
