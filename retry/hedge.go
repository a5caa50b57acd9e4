package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgeQuantile is the quantile of service times, in percent, after which an attempt counts as slow. At
	// most a twentieth of the requests is then hedged, which spends half of the budget.
	hedgeQuantile = 95
	// minHedgeSamples is the number of service times in a window that are needed to use its quantile.
	minHedgeSamples = 100
	histogramWindow = 10 * time.Second
	// Service times are recorded in units of 100 microseconds, up to a minute and with one significant digit.
	// A histogram then takes about 2 KB.
	histogramUnit   = 100 * time.Microsecond
	maxRecordedTime = time.Minute
)

// Hedger decides when a slow attempt of a class is hedged by a second one. It keeps histograms of the service
// times in the current window of 10 s and in the previous one.
type Hedger struct {
	current, previous *hdrhistogram.Histogram
	windowStart       time.Time
}

// NewHedger returns a hedger that hedges nothing until it has observed 100 service times in a window.
func NewHedger() *Hedger {
	return &Hedger{current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRecordedTime/histogramUnit), 1)
}

// Observe records the service time of a successful attempt.
func (h *Hedger) Observe(now time.Time, service time.Duration) {
	if now.Sub(h.windowStart) >= histogramWindow {
		h.previous, h.current = h.current, h.previous
		h.current.Reset()
		h.windowStart = now
	}
	value := min(max(int64(service/histogramUnit), 1), int64(maxRecordedTime/histogramUnit))
	// RecordValue fails only for values out of the range of the histogram.
	_ = h.current.RecordValue(value)
}

// Delay returns the time after which an attempt counts as slow. It returns false while too few service times
// have been observed.
func (h *Hedger) Delay() (time.Duration, bool) {
	for _, histogram := range []*hdrhistogram.Histogram{h.previous, h.current} {
		if histogram.TotalCount() >= minHedgeSamples {
			return time.Duration(histogram.ValueAtQuantile(hedgeQuantile)) * histogramUnit, true
		}
	}
	return 0, false
}

// AllowHedge reports whether a second attempt of the request may be sent now, and spends a token of the budget if
// so. The first attempt was sent at started and has not ended. The caller hedges a request at most once.
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
