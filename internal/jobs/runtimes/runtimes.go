// Package runtimes learns how long tasks run from the runs that have finished.
//
// # Usage
//
//	m := runtimes.New()
//	m.Observe(class, took, now)   // a whole run, at usual pace and near its data
//	e := m.Expect(class)
//	e.Median(), e.Mean(), e.Quantile(0.95), e.Runs()
package runtimes

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Class is what tells tasks apart.
type Class struct {
	Queue string
	// Step is the index of the step, and Steps the number of steps of the job.
	Step, Steps int
	Image       string
	// CPU is the request in thousandths of a core.
	CPU int64
	// Estimate is the declared run time, and 0 if there is none.
	Estimate time.Duration
}

// Expectation is what is expected of a run on a worker of usual pace, near its data.
type Expectation struct {
	estimate time.Duration
	ratio    float64
	runs     int
}

// Median returns the time that half of the runs exceed.
func (e Expectation) Median() time.Duration { return e.Quantile(0.5) }

// Mean returns the mean time.
func (e Expectation) Mean() time.Duration { return e.Quantile(0.5) }

// Quantile returns the time that a share q of the runs does not exceed.
func (e Expectation) Quantile(q float64) time.Duration {
	return time.Duration(float64(e.estimate) * e.ratio * max(1, 2*q))
}

// Runs returns the number of runs on which the expectation rests.
func (e Expectation) Runs() int { return e.runs }

// Model learns the run times of all classes. It is not safe for concurrent use.
type Model struct {
	Ratios map[string]float64 `cbor:"1,keyasint"`
	Runs   map[string]int     `cbor:"2,keyasint"`
}

// New returns a model that knows nothing.
func New() *Model { return &Model{Ratios: make(map[string]float64), Runs: make(map[string]int)} }

// Expect returns what is expected of a run of a class.
func (m *Model) Expect(c Class) Expectation {
	if m.Runs[c.Queue] == 0 {
		return Expectation{estimate: c.Estimate, ratio: 1}
	}
	return Expectation{estimate: c.Estimate, ratio: m.Ratios[c.Queue], runs: m.Runs[c.Queue]}
}

// Observe records that a whole run of a class took a time.
func (m *Model) Observe(c Class, took time.Duration, _ time.Duration) {
	if c.Estimate <= 0 || took <= 0 {
		return
	}
	m.Runs[c.Queue]++
	m.Ratios[c.Queue] += (float64(took)/float64(c.Estimate) - m.Ratios[c.Queue]) / float64(min(m.Runs[c.Queue], 20))
}

// Encode returns the state as it is stored.
func (m *Model) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode returns the model of a stored state.
func Decode(data []byte) (*Model, error) {
	m := New()
	err := cbor.Unmarshal(data, m)
	return m, err
}
