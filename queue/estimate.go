package queue

import (
	"math"
	"time"
)

const (
	// minEstimateGain is the least weight of a new sample. With it an estimate follows a change within
	// about 30 samples.
	minEstimateGain = 1.0 / 32
	// minTeamSamples is the number of samples with which the estimate of a team replaces that of its class.
	minTeamSamples = 3
	// tailDeviations is the number of mean deviations above the mean service time within which a request
	// is assumed to finish.
	tailDeviations = 4
	// tailMarginRatio is the largest fraction of the latency target that is added to the mean service time.
	tailMarginRatio = 0.1
	// occupancyTimeConstant is the time constant of the averages of occupied slots. It is shorter than the
	// second within which an unused share that others use is reclaimed.
	occupancyTimeConstant = 300 * time.Millisecond
)

// serviceTimeEstimate is an exponentially weighted average of a service time in seconds, and of the absolute
// deviation from it.
type serviceTimeEstimate struct {
	mean, deviation float64
	samples         int
}

func (e *serviceTimeEstimate) addSample(seconds float64) {
	e.samples++
	if e.samples == 1 {
		e.mean = seconds
		e.deviation = seconds / 2
		return
	}
	gain := max(1/float64(e.samples), minEstimateGain)
	difference := seconds - e.mean
	e.mean += gain * difference
	e.deviation += gain * (math.Abs(difference) - e.deviation)
}

// tail returns a service time in seconds that few requests exceed. It is at most margin above the mean:
// otherwise the requests of a team whose service time comes near its target would be rejected, although
// most of them would finish in time.
func (e *serviceTimeEstimate) tail(margin float64) float64 {
	return e.mean + min(tailDeviations*e.deviation, margin)
}

// occupancy is an exponentially weighted average of the number of occupied slots. Averages with the
// same time constant can be added and subtracted.
type occupancy struct {
	average float64
	running int
	updated time.Time
}

// averageAt returns the average at the given time.
func (o *occupancy) averageAt(now time.Time) float64 {
	elapsed := now.Sub(o.updated)
	if elapsed <= 0 {
		return o.average
	}
	decay := math.Exp(-elapsed.Seconds() / occupancyTimeConstant.Seconds())
	return float64(o.running) + (o.average-float64(o.running))*decay
}

func (o *occupancy) addRunning(now time.Time, by int) {
	o.average = o.averageAt(now)
	if now.After(o.updated) {
		o.updated = now
	}
	o.running += by
}
