// Package estimateratio learns the ratio between the actual and the estimated run times of a queue. It stands in for package runtimes where
// that is switched off.
//
// # Usage
//
//	ratios := estimateratio.New()
//	ratios.Observe(queue, estimate, took)
//	expected := ratios.Expect(queue, estimate)
package estimateratio

import "time"

const (
	// ratioWeight is the weight of one run. The ratio follows a change within about twenty runs.
	ratioWeight = 0.05
	// minRatio and maxRatio limit the effect of single slow workers.
	minRatio = 0.3
	maxRatio = 3
)

// Ratios holds the ratio of each queue.
type Ratios struct{ ratio map[string]float64 }

// New returns ratios of 1 for all queues.
func New() *Ratios { return &Ratios{ratio: make(map[string]float64)} }

// Observe records that a run took a time.
func (r *Ratios) Observe(queue string, estimate, took time.Duration) {
	if estimate <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(estimate), minRatio), maxRatio)
	old, ok := r.ratio[queue]
	if !ok {
		old = 1
	}
	r.ratio[queue] = old + ratioWeight*(ratio-old)
}

// Expect returns the expected run time of a task.
func (r *Ratios) Expect(queue string, estimate time.Duration) time.Duration {
	ratio, ok := r.ratio[queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(float64(estimate) * ratio)
}
