// Package arrivals measures the work that arrives at a pool, and how fast it rises.
//
// # Usage
//
//	var w arrivals.Window
//	w.Record(now, job.CoreSeconds())
//	cores := w.ExpectedRate(now)
//
// All times are monotonic times of one process.
package arrivals

import (
	"math"
	"time"
)

const (
	// Span is the time over which the arrival rate is measured. ExpectedRate compares it with the window before, and IsRising compares the
	// latest two windows with the earlier ones. Demand rises fivefold over some seconds, and a move takes 1.5 s.
	Span = 600 * time.Millisecond
	// history is how long arrivals are kept.
	history = 4 * Span
	// riseSignificance is the number of standard deviations (of random arrivals) by which arrivals have to grow from one
	// window to the next to count as a rise that will continue.
	riseSignificance = 1.5
	// Lead is the time for which a rise is extrapolated: the duration of a move and the time until the worker has answered.
	Lead = 2 * time.Second
	// maxRise limits the extrapolated rise, as a share of the rate.
	maxRise = 1.0
)

// arrival is a job that was accepted.
type arrival struct {
	at          time.Duration
	coreSeconds float64
}

// Window holds the latest arrivals of a pool. The zero value has none.
type Window struct{ arrivals []arrival }

// Record records the work of a job, in core-seconds.
func (w *Window) Record(at time.Duration, coreSeconds float64) {
	w.arrivals = append(w.arrivals, arrival{at: at, coreSeconds: coreSeconds})
}

// IsRising reports whether more jobs have arrived recently than before, by more than the standard deviation of random
// arrivals, as at the onset of a surge. One or two jobs are not enough to tell.
func (w *Window) IsRising(now time.Duration) bool {
	var earlier, latest float64
	for _, a := range w.arrivals {
		if a.at < now-2*Span {
			earlier++
		} else {
			latest++
		}
	}
	return latest > 2 && latest-earlier > math.Sqrt(latest+earlier)
}

// ExpectedRate returns the work, in core-seconds a second, that is expected to arrive once an instance that is moved now
// is in use. Few jobs say little about a rate, so it is lowered by the standard deviation of their number.
func (w *Window) ExpectedRate(now time.Duration) float64 {
	first := 0
	for first < len(w.arrivals) && w.arrivals[first].at < now-history {
		first++
	}
	w.arrivals = w.arrivals[first:]
	var earlier, latest, work float64
	for _, a := range w.arrivals {
		switch {
		case a.at < now-2*Span:
		case a.at < now-Span:
			earlier++
		default:
			latest++
			work += a.coreSeconds
		}
	}
	if latest == 0 {
		return 0
	}
	rate := (latest - math.Sqrt(latest)) / latest * work / Span.Seconds()
	if rise := latest - earlier; rise > riseSignificance*math.Sqrt(latest+earlier) {
		rate *= 1 + min(rise/latest*Lead.Seconds()/Span.Seconds(), maxRise)
	}
	return rate
}
