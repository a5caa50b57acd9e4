package runtimes

import (
	"math"
	"time"
)

// Expectation is what is expected of a run on a worker of usual pace, near its data. The zero value expects nothing.
type Expectation struct {
	// ratios is the ratio to the unit, and unit the declared estimate or, without one, defaultUnit.
	ratios *distribution
	unit   float64
	runs   int
	within *kernel
	// fixed means that the unit is what is expected.
	fixed bool
}

// distribution holds the shares of ratios, with their median and mean. It does not change.
type distribution struct {
	masses
	median, mean float64
}

func newDistribution(m masses) *distribution {
	d := &distribution{masses: m, median: value(m.quantile(0.5) - ratioOne)}
	for i, p := range m {
		d.mean += float64(p) * centres[i]
	}
	return d
}

const (
	// beyond is the share of the runs that take longer than a run from which on nothing is known of its rest.
	beyond = 0.02
	// lateShare is the share of its time that a run is expected to go on if it has taken longer than known ones.
	lateShare = 0.25
	// lastKnown is the position from which on the end of the scale and not the runs would tell how long a run goes on.
	lastKnown = buckets - 2*bucketsPerDoubling
	// maxTold is the number of runs of a step that are considered. More tell hardly more.
	maxTold = 8
	// minTold is the number of finished tasks of a step whose median the next one is compared with.
	minTold = 3
)

// Median returns the time that half of the runs exceed.
func (e Expectation) Median() time.Duration {
	if e.unit == 0 || e.fixed {
		return duration(e.unit)
	}
	return duration(e.ratios.median * e.unit)
}

// Mean returns the mean time.
func (e Expectation) Mean() time.Duration {
	if e.unit == 0 || e.runs == 0 {
		// The assumed error of an estimate is wide. Its mean would exceed the estimate, on which nothing depends before a run has ended.
		return e.Median()
	}
	return duration(e.ratios.mean * e.unit)
}

// maxDuration is the longest time that is expected. Sums of some of them are in range.
const maxDuration = 10 * 365 * 24 * time.Hour

func duration(d float64) time.Duration { return time.Duration(min(d, float64(maxDuration))) }

// centres holds the ratio of each bucket.
var centres = func() (c [buckets]float64) {
	for i := range c {
		c[i] = value(float64(i - ratioOne))
	}
	return c
}()

// Quantile returns the time that a share q of the runs does not exceed.
func (e Expectation) Quantile(q float64) time.Duration {
	if e.unit == 0 {
		return 0
	}
	return duration(value(e.ratios.quantile(q)-ratioOne) * e.unit)
}

// Runs returns the number of runs on which the expectation rests. Earlier runs of the queue and finished tasks of the step count.
func (e Expectation) Runs() int { return e.runs }

// Left returns how long a run that has taken a time already is expected to go on, as the median of the runs that take longer. A run that
// has taken longer than nearly all is expected to go on for a quarter of its time.
func (e Expectation) Left(ran time.Duration) time.Duration {
	if e.fixed {
		return max(duration(e.unit)-ran, time.Duration(lateShare*float64(ran)))
	}
	if e.unit == 0 || e.position(ran) > lastKnown {
		return time.Duration(lateShare * float64(ran))
	}
	longer := e.ratios.above(e.position(ran))
	if longer < beyond {
		return time.Duration(lateShare * float64(ran))
	}
	return max(e.Quantile(1-longer/2)-ran, 0)
}

// position returns the position of a time on the scale of the ratios.
func (e *Expectation) position(d time.Duration) float64 {
	return position(max(float64(d), 1)/e.unit) + ratioOne
}

// bucket returns the bucket of a time on the scale of the ratios.
func (e *Expectation) bucket(d time.Duration) int { return int(math.Round(e.position(d))) }

// Given returns what is expected of a task of a step of which some tasks have finished and others have run for a time, which is a lower
// bound. The tasks of a step vary much less than the jobs of a class.
func (e Expectation) Given(finished, running []time.Duration) Expectation {
	given := e
	if e.unit == 0 || e.within == nil || len(finished)+len(running) == 0 {
		return given
	}
	finished, running = finished[max(0, len(finished)-maxTold):], running[:min(len(running), maxTold)]
	// The prior has some weight everywhere, since the tasks of the step may take a time that was never seen.
	var typical masses
	for i, p := range e.ratios.masses {
		typical[i] = p + minMass
	}
	for _, took := range finished {
		at := e.bucket(took)
		for i, p := range typical {
			typical[i] = p * (e.within.masses[clamp(at-i+ratioOne)] + minMass/buckets)
		}
		typical.normalise()
	}
	for _, ran := range running {
		at := e.bucket(ran)
		for i, p := range typical {
			typical[i] = p * (e.within.tail[clamp(at-i+ratioOne)] + minMass/buckets)
		}
		if !typical.normalise() {
			return given
		}
	}
	if len(finished) == 0 {
		given.ratios = newDistribution(typical)
		return given
	}
	var ratios masses
	for i, p := range typical {
		if p < minMass {
			continue
		}
		for k, q := range e.within.masses {
			ratios[clamp(i+k-ratioOne)] += p * q
		}
	}
	ratios.normalise()
	given.ratios, given.runs = newDistribution(ratios), e.runs+len(finished)
	return given
}

// minMass is the least probability of a bucket.
const minMass = 1e-4

// kernel is how the tasks of a step vary around the typical one.
type kernel struct {
	masses
	// tail holds the share at or above each bucket.
	tail masses
}

func newKernel(m masses) *kernel {
	k := &kernel{masses: m}
	var sum float32
	for i := buckets - 1; i >= 0; i-- {
		sum += m[i]
		k.tail[i] = sum
	}
	return k
}
