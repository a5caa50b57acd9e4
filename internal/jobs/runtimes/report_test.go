package runtimes_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/jobs/estimateratio"
	"github.com/chivetiller/chivetiller/internal/jobs/runtimes"
)

// TestReport compares what is expected of a task with what the typical task of its step takes, after some runs of its queue, for 100 queues. It
// guards against a model that is no better than the ratio of a queue. The table of docs/measurements/runtimes.md is its output.
func TestReport(t *testing.T) {
	const queues, jobs = 100, 20
	var table strings.Builder
	fmt.Fprintf(&table, "| runs | declared | ratio of the queue | learned | learned, 1 task done | learned, 3 tasks done |\n| --- | --- | --- | --- | --- | --- |\n")
	// bounds holds by how much the error of the 9th decile is smaller than that of the ratio and of the estimate.
	bounds := map[int]float64{0: 1.01, 5: 1, 20: 0.85, 100: 0.65, 1000: 0.6}
	for _, runs := range slices.Sorted(maps.Keys(bounds)) {
		bound := bounds[runs]
		errors := make([][]float64, 5)
		for seed := range uint64(queues) {
			l, m, ratios := newLoad(seed), runtimes.New(), estimateratio.New()
			l.spreadOfQueue()
			for n := 0; n < runs; {
				for _, s := range l.job() {
					// The tasks of a step start together, so that the shortest ones are done first.
					slices.Sort(s.took)
					for i, took := range s.took {
						if n++; n > runs {
							break
						}
						m.Observe(s.class, took, time.Duration(n)*50*time.Millisecond)
						m.ObserveWithin(s.took[:i], took, time.Duration(n)*50*time.Millisecond)
						ratios.Observe(s.class.Queue, s.class.Estimate, took)
					}
				}
			}
			for range jobs {
				for _, s := range l.job() {
					slices.Sort(s.took)
					e := m.Expect(s.class)
					for i, expected := range []time.Duration{
						s.class.Estimate, ratios.Expect(s.class.Queue, s.class.Estimate), e.Median(), afterTasks(e, s.took, 1), afterTasks(e, s.took, 3),
					} {
						errors[i] = append(errors[i], off(expected, s.mean))
					}
				}
			}
		}
		fmt.Fprintf(&table, "| %d |", runs)
		for _, e := range errors {
			fmt.Fprintf(&table, " %.2f / %.2f |", quantile(e, 0.5), quantile(e, 0.9))
		}
		fmt.Fprintln(&table)
		learned, ratio, declared := quantile(errors[2], 0.9), quantile(errors[1], 0.9), quantile(errors[0], 0.9)
		qt.Check(t, learned <= bound*min(ratio, declared), qt.IsTrue, qt.Commentf("after %d runs 9 of 10 are within %.2f, with the ratio %.2f", runs, learned, ratio))
	}
	t.Log("median and 9th decile of max(ratio, 1/ratio)\n" + table.String())
}

// afterTasks returns what is expected of a task once n tasks of its step are done, and the others have run for as long as the last of them.
func afterTasks(e runtimes.Expectation, sorted []time.Duration, n int) time.Duration {
	running := make([]time.Duration, len(sorted)-n)
	for i := range running {
		running[i] = sorted[n-1]
	}
	given := e.Given(sorted[:n], running)
	return given.Median()
}

// spreadOfQueue draws the mean of a queue, and how much the tasks of a step vary.
func (l *load) spreadOfQueue() {
	l.mean = 0.5 + 1.6*l.random.Float64()
	l.noise = 0.15 + 0.15*l.random.Float64()
}
