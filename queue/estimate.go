package queue

import (
	"math"
	"time"
)

const (
	// estimateGain is the least weight of a new sample, so that an estimate follows a change within
	// about 30 samples.
	estimateGain = 1.0 / 32
	// estimateTrusted is the number of samples from which the estimate of a team replaces that of its class.
	estimateTrusted = 3
	// tailDeviations is how many mean deviations above the mean a service time is assumed to be when
	// it is predicted whether a request finishes in time.
	tailDeviations = 4
	// tailMargin is the largest part of the target that is added to the mean service time.
	tailMargin = 0.1
	// occupancyTime is the time constant of averages of occupied slots. It is shorter than the second
	// within which lent share is reclaimed.
	occupancyTime = 300 * time.Millisecond
)

// estimate learns a service time in seconds.
type estimate struct {
	mean, deviation float64
	samples         int
}

func (e *estimate) add(seconds float64) {
	e.samples++
	if e.samples == 1 {
		e.mean = seconds
		e.deviation = seconds / 2
		return
	}
	gain := max(1/float64(e.samples), estimateGain)
	difference := seconds - e.mean
	e.mean += gain * difference
	e.deviation += gain * (math.Abs(difference) - e.deviation)
}

// tail returns a service time that few requests exceed. The part above the mean is bounded by margin:
// otherwise a team whose service time comes near its target would be rejected, although most of its
// requests would finish in time.
func (e *estimate) tail(margin float64) float64 {
	return e.mean + min(tailDeviations*e.deviation, margin)
}

// occupancy is an exponentially weighted average of the number of occupied slots. Averages with the
// same time constant can be added and subtracted.
type occupancy struct {
	average float64
	running int
	updated time.Time
}

// at returns the average at the time now.
func (o *occupancy) at(now time.Time) float64 {
	elapsed := now.Sub(o.updated)
	if elapsed <= 0 {
		return o.average
	}
	keep := math.Exp(-elapsed.Seconds() / occupancyTime.Seconds())
	return float64(o.running) + (o.average-float64(o.running))*keep
}

func (o *occupancy) change(now time.Time, by int) {
	o.average = o.at(now)
	if now.After(o.updated) {
		o.updated = now
	}
	o.running += by
}
