package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgeQuantile is the quantile of service times after which an attempt counts as slow. With 95 % at
	// most a twentieth of the requests is hedged, which is half of the budget.
	hedgeQuantile = 95
	// hedgeSamples is the number of service times in a window from which the quantile is used.
	hedgeSamples = 100
	hedgeWindow  = 10 * time.Second
	// Service times are recorded in units of 100 microseconds up to a minute with one significant digit,
	// which keeps a histogram at about 2 KB.
	hedgeUnit    = 100 * time.Microsecond
	hedgeLongest = time.Minute
)

// Hedger decides when a slow attempt of a class is hedged by a second one. It learns service times over
// windows of 10 s.
type Hedger struct {
	current, previous *hdrhistogram.Histogram
	began             time.Time
}

// NewHedger returns a hedger that hedges nothing until it has seen 100 service times.
func NewHedger() *Hedger {
	return &Hedger{current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(hedgeLongest/hedgeUnit), 1)
}

// Observe records the service time of a successful attempt.
func (h *Hedger) Observe(now time.Time, service time.Duration) {
	if now.Sub(h.began) >= hedgeWindow {
		h.previous, h.current = h.current, h.previous
		h.current.Reset()
		h.began = now
	}
	value := min(max(int64(service/hedgeUnit), 1), int64(hedgeLongest/hedgeUnit))
	// RecordValue fails only for values out of the range of the histogram.
	_ = h.current.RecordValue(value)
}

// Delay returns the time after which an attempt counts as slow. It returns false while it is unknown.
func (h *Hedger) Delay() (time.Duration, bool) {
	for _, histogram := range []*hdrhistogram.Histogram{h.previous, h.current} {
		if histogram.TotalCount() >= hedgeSamples {
			return time.Duration(histogram.ValueAtQuantile(hedgeQuantile)) * hedgeUnit, true
		}
	}
	return 0, false
}

// AllowHedge reports whether a second attempt of the request is sent now, which spends a token of the budget.
// The first attempt was sent at started and has not ended; the caller hedges a request at most once.
func (h *Hedger) AllowHedge(now, started time.Time, a Request, b *Budget) bool {
	delay, ok := h.Delay()
	if !ok || !a.Idempotent || a.Retries >= MaxRetries || now.Sub(started) < delay {
		return false
	}
	if now.Add(a.ServiceTime).After(a.Deadline) {
		return false
	}
	return b.Allow(now)
}
