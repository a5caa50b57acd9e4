package runtimes_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/internal/jobs/runtimes"
	"github.com/chivetiller/chivetiller/store"
)

// load draws jobs as the load of short jobs does.
type load struct {
	random *rand.Rand
	// mean is the typical time of the tasks of a queue, and spread that of its jobs, as the standard deviation of the logarithm.
	mean, spread float64
	// noise is the variation of the tasks of a step.
	noise float64
	// tail is the share of the tasks that take tailFactor times as long.
	tail, tailFactor float64
	queue            string
	steps            int
	images           int
}

func newLoad(seed uint64) *load {
	return &load{random: rand.New(rand.NewPCG(seed, 1)), mean: 0.9, spread: 0.5, noise: 0.2, tail: 0.03, tailFactor: 7, queue: "q", steps: 2}
}

// step is one step of a drawn job.
type step struct {
	class runtimes.Class
	// mean is the true mean of its tasks without the tail.
	mean time.Duration
	took []time.Duration
}

const tasks = 8

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (l *load) job() []step {
	var steps []step
	for i := range l.steps {
		mean := l.mean * math.Exp(l.spread*l.random.NormFloat64())
		off := 0.5 + 0.4*l.random.Float64()
		if l.random.IntN(2) == 0 {
			off = -off
		}
		s := step{mean: seconds(mean), class: runtimes.Class{
			Queue: l.queue, Step: i, Steps: l.steps, CPU: int64(3000 + l.random.IntN(10000)), Estimate: seconds(mean * (1 + off)),
		}}
		if l.images > 0 {
			s.class.Image = fmt.Sprint("image", l.random.IntN(l.images))
		}
		for range tasks {
			took := mean * max(0.2, 1+l.noise*l.random.NormFloat64())
			if l.random.Float64() < l.tail {
				took *= l.tailFactor
			}
			s.took = append(s.took, seconds(took))
		}
		steps = append(steps, s)
	}
	return steps
}

// teach plays jobs with a number of runs, and returns the time after them.
func (l *load) teach(m *runtimes.Model, runs int, now time.Duration) time.Duration {
	for n := 0; n < runs; {
		for _, s := range l.job() {
			took := slices.Sorted(slices.Values(s.took))
			for i := range took {
				if n++; n > runs {
					return now
				}
				now += 50 * time.Millisecond
				m.Observe(s.class, took[i], now)
				m.ObserveWithin(took[:i], took[i], now)
			}
		}
	}
	return now
}

// errorOf returns the median of max(ratio, 1/ratio) of what is expected of the first task of a step to its true mean.
func (l *load) errorOf(m *runtimes.Model) float64 {
	var errors []float64
	for range 200 {
		for _, s := range l.job() {
			errors = append(errors, off(m.Expect(s.class).Median(), s.mean))
		}
	}
	return quantile(errors, 0.5)
}

func off(expected, is time.Duration) float64 {
	ratio := expected.Seconds() / is.Seconds()
	return max(ratio, 1/ratio)
}

func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// TestUnknown guards against a change of what is expected before a run has ended: the declared estimate.
func TestUnknown(t *testing.T) {
	for _, estimate := range []time.Duration{0, time.Millisecond, 1337 * time.Millisecond, time.Hour, 100 * time.Hour} {
		e := runtimes.New().Expect(runtimes.Class{Queue: "q", Estimate: estimate})
		qt.Assert(t, e.Runs(), qt.Equals, 0)
		for _, got := range []time.Duration{e.Median(), e.Mean()} {
			qt.Assert(t, math.Abs(got.Seconds()-estimate.Seconds()) <= 0.01*estimate.Seconds(), qt.IsTrue, qt.Commentf("%v of %v", got, estimate))
		}
	}
}

// TestConvergence guards against a model that learns nothing of false estimates: after 100 runs half of the steps are expected within 1.4 of
// their mean, although the estimates are off by half to nine tenths.
func TestConvergence(t *testing.T) {
	for seed := range uint64(10) {
		l, m := newLoad(seed), runtimes.New()
		before := l.errorOf(m)
		l.teach(m, 100, 0)
		got := l.errorOf(m)
		qt.Check(t, before > 1.7 && got < 1.4, qt.IsTrue, qt.Commentf("seed %d: %.2f, before %.2f", seed, got, before))
	}
}

// TestStepChange guards against old knowledge that stays: once the tasks of a queue take four times as long, with the estimates as before,
// 200 runs undo three quarters of the error.
func TestStepChange(t *testing.T) {
	class := runtimes.Class{Queue: "q", Steps: 1, CPU: 4000, Estimate: time.Second}
	m := runtimes.New()
	for i := range 1000 {
		m.Observe(class, time.Second, time.Duration(i)*100*time.Millisecond)
	}
	for i := range 200 {
		m.Observe(class, 4*time.Second, time.Duration(1000+i)*100*time.Millisecond)
	}
	qt.Assert(t, m.Expect(class).Median() > 3*time.Second, qt.IsTrue, qt.Commentf("%v", m.Expect(class).Median()))
}

// TestTimeFades guards against knowledge of yesterday that outweighs that of today.
func TestTimeFades(t *testing.T) {
	class := runtimes.Class{Queue: "q", Steps: 1, CPU: 4000, Estimate: time.Second}
	m := runtimes.New()
	for range 1000 {
		m.Observe(class, time.Second, time.Minute)
	}
	for range 20 {
		m.Observe(class, 4*time.Second, 24*time.Hour)
	}
	qt.Assert(t, m.Expect(class).Median() > 3*time.Second, qt.IsTrue, qt.Commentf("%v", m.Expect(class).Median()))
}

// TestHeavyTail guards against a few long tasks that make all of them look long, or that are not foreseen at all.
func TestHeavyTail(t *testing.T) {
	l, m := newLoad(1), runtimes.New()
	l.tail, l.spread = 0.05, 0.05
	l.teach(m, 1000, 0)
	e := m.Expect(l.job()[0].class)
	qt.Assert(t, off(e.Median(), seconds(l.mean)) < 1.15, qt.IsTrue, qt.Commentf("%v", e.Median()))
	qt.Assert(t, e.Quantile(0.85) < seconds(1.8*l.mean), qt.IsTrue, qt.Commentf("%v", e.Quantile(0.85)))
	qt.Assert(t, e.Quantile(0.99) > seconds(4*l.mean), qt.IsTrue, qt.Commentf("%v", e.Quantile(0.99)))
}

// TestFalseEstimate guards against estimates without any relation to the run time that outweigh the run times of the queue.
func TestFalseEstimate(t *testing.T) {
	random, m := rand.New(rand.NewPCG(1, 1)), runtimes.New()
	class := func() runtimes.Class {
		return runtimes.Class{Queue: "q", Steps: 1, CPU: 4000, Estimate: seconds(math.Exp(2 * random.NormFloat64()))}
	}
	for i := range 300 {
		m.Observe(class(), seconds(0.9+0.2*random.Float64()), time.Duration(i)*time.Second)
	}
	var errors []float64
	for range 100 {
		errors = append(errors, off(m.Expect(class()).Median(), time.Second))
	}
	qt.Assert(t, quantile(errors, 0.9) < 1.3, qt.IsTrue, qt.Commentf("%.2f", quantile(errors, 0.9)))
}

// TestFlood guards against one queue with many different tasks that crowds out what is known of another.
func TestFlood(t *testing.T) {
	quiet, m := newLoad(1), runtimes.New()
	now := quiet.teach(m, 400, 0)
	before := quiet.errorOf(m)
	loud := newLoad(2)
	loud.queue, loud.images, loud.mean = "loud", 1000, 30
	loud.teach(m, 20000, now)
	qt.Assert(t, quiet.errorOf(m) < 1.05*before, qt.IsTrue)
}

// TestWithinStep guards against a job whose first tasks have finished and whose others are still expected to take what the queue takes, and
// against a job that is expected to end at once although its runs go on far beyond what was expected.
func TestWithinStep(t *testing.T) {
	l, m := newLoad(1), runtimes.New()
	l.teach(m, 300, 0)
	class := runtimes.Class{Queue: "q", Step: 0, Steps: 2, CPU: 5000, Estimate: time.Second}
	e := m.Expect(class)
	long := 4 * e.Median()
	tests := map[string]struct {
		finished, running []time.Duration
		min, max          time.Duration
	}{
		"nothing":          {nil, nil, e.Median(), e.Median()},
		"one":              {[]time.Duration{long}, nil, long / 2, 2 * long},
		"three":            {[]time.Duration{long, long + long/10, long - long/10}, nil, long * 8 / 10, long * 12 / 10},
		"one of the tail":  {[]time.Duration{e.Median(), e.Median() * 9 / 10, e.Median() * 7}, nil, e.Median() / 2, e.Median() * 3 / 2},
		"many run on":      {nil, []time.Duration{long, long, long, long}, long * 9 / 10, 10 * long},
		"beyond all known": {nil, []time.Duration{time.Hour, time.Hour}, 0, math.MaxInt64},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			given := e.Given(test.finished, test.running)
			got := given.Median()
			qt.Assert(t, got >= test.min && got <= test.max, qt.IsTrue, qt.Commentf("%v, not %v to %v", got, test.min, test.max))
			for _, ran := range test.running {
				qt.Assert(t, given.Left(ran) > ran/20, qt.IsTrue, qt.Commentf("%v left after %v", given.Left(ran), ran))
			}
		})
	}
}

// TestTakeover guards against a new leader that begins with nothing: a snapshot keeps the error within a tenth, and fits into a row.
func TestTakeover(t *testing.T) {
	for _, queues := range []int{8, 273} {
		t.Run(fmt.Sprint(queues), func(t *testing.T) { testTakeover(t, queues) })
	}
}

func testTakeover(t *testing.T, queues int) {
	m := runtimes.New()
	now := time.Duration(0)
	var loads []*load
	for i := range queues {
		l := newLoad(uint64(i))
		l.queue, l.mean, l.images = fmt.Sprintf("a-queue-with-a-name-%03d", i), 0.3+0.01*float64(i), 5
		loads = append(loads, l)
		now = l.teach(m, 200, now)
	}
	data, err := m.Snapshot(now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(data) <= store.MaxRowBytes-64, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	again, err := m.Encode()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again, qt.DeepEquals, data)
	next := runtimes.New()
	qt.Assert(t, next.Restore(data, -time.Minute), qt.IsNil)
	var before, after float64
	for _, l := range loads[:min(queues, 40)] {
		before += l.errorOf(m) / float64(min(queues, 40))
		after += l.errorOf(next) / float64(min(queues, 40))
	}
	qt.Assert(t, after < 1.1*before, qt.IsTrue, qt.Commentf("%.3f, before %.3f", after, before))
	t.Logf("%d bytes for %d queues; error %.3f, before %.3f", len(data), len(loads), after, before)
}

// TestFullModel guards against memory without bound, and against a snapshot that does not fit into a row, with more queues, images and sizes than
// are kept, all with long names.
func TestFullModel(t *testing.T) {
	m, random := runtimes.New(), rand.New(rand.NewPCG(1, 1))
	long := strings.Repeat("n", 120)
	for i := range 40000 {
		m.Observe(runtimes.Class{
			Queue: fmt.Sprint(long, i%1100), Step: random.IntN(1000), Steps: 1000, Image: fmt.Sprint(long, random.IntN(1000)), CPU: random.Int64(), Estimate: seconds(random.ExpFloat64()),
		}, seconds(random.ExpFloat64()), time.Duration(i)*time.Millisecond)
	}
	data, err := m.Snapshot(time.Minute)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(data) > 40000 && len(data) <= store.MaxRowBytes-64, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	qt.Assert(t, runtimes.New().Restore(data, 0), qt.IsNil)
}

// TestUnreadable guards against a row that stops a leader or replaces what it knows.
func TestUnreadable(t *testing.T) {
	l, m := newLoad(1), runtimes.New()
	l.teach(m, 200, 0)
	data, err := m.Encode()
	qt.Assert(t, err, qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		broken := slices.Clone(data)
		for range rapid.IntRange(1, 5).Draw(t, "bytes") {
			broken[rapid.IntRange(0, len(broken)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		broken = broken[:rapid.IntRange(0, len(broken)).Draw(t, "length")]
		next := runtimes.New()
		if next.Restore(broken, 0) != nil {
			require(t, next.Expect(runtimes.Class{Queue: "q", Estimate: time.Second}).Runs() == 0, "something is known")
		}
		checkSane(t, next.Expect(runtimes.Class{Queue: "q", Estimate: time.Second}))
	})
}

// TestModel guards against expectations that are not finite, not ordered, or negative, whatever is observed, and against memory without bound.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := runtimes.New()
		durations := rapid.OneOf(rapid.Int64Range(-10, 10), rapid.Int64Range(0, int64(time.Hour)), rapid.Int64())
		duration := func(name string) time.Duration { return time.Duration(durations.Draw(t, name)) }
		times := rapid.SliceOfN(rapid.Map(durations, func(n int64) time.Duration { return time.Duration(n) }), 0, 12)
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "runs") {
			class := runtimes.Class{
				Queue: rapid.StringN(0, 3, 200).Draw(t, "queue"), Step: rapid.Int().Draw(t, "step"), Steps: rapid.Int().Draw(t, "steps"),
				Image: rapid.StringN(0, 300, 300).Draw(t, "image"), CPU: rapid.Int64().Draw(t, "cpu"), Estimate: duration("estimate"),
			}
			now += time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(t, "passed"))
			m.Observe(class, duration("took"), now)
			m.ObserveWithin(times.Draw(t, "earlier"), duration("took"), now)
			e := m.Expect(class)
			checkSane(t, e)
			checkSane(t, e.Given(times.Draw(t, "finished"), times.Draw(t, "running")))
		}
		data, err := m.Encode()
		require(t, err == nil && len(data) <= store.MaxRowBytes-64, "%d bytes, %v", len(data), err)
		if data != nil {
			_, err = runtimes.Decode(data)
			require(t, err == nil, "%v", err)
		}
	})
}

func checkSane(t *rapid.T, e runtimes.Expectation) {
	last := time.Duration(0)
	for _, q := range []float64{0, 0.1, 0.5, 0.9, 0.99, 1} {
		got := e.Quantile(q)
		require(t, got >= last, "quantile %g: %v after %v", q, got, last)
		last = got
	}
	require(t, e.Mean() >= 0, "mean %v", e.Mean())
	for _, ran := range []time.Duration{0, time.Millisecond, time.Second, time.Hour} {
		require(t, e.Left(ran) >= 0, "%v left", e.Left(ran))
	}
}

func require(t *rapid.T, ok bool, format string, args ...any) {
	if !ok {
		t.Fatalf(format, args...)
	}
}

// TestPreview guards against a preview that differs from the expectation, or that later expectations see.
func TestPreview(t *testing.T) {
	class := runtimes.Class{Queue: "q", Steps: 1, CPU: 1000, Estimate: time.Second}
	asked, other := runtimes.New(), runtimes.New()
	now := time.Minute
	for i := range 300 {
		took := time.Duration(500+i) * time.Millisecond
		for _, m := range []*runtimes.Model{asked, other} {
			m.Observe(class, took, now)
		}
		preview := asked.Preview(class)
		if i%7 == 0 {
			qt.Assert(t, asked.Expect(class).Median(), qt.Equals, other.Expect(class).Median())
			qt.Assert(t, asked.Preview(class).Quantile(0.9), qt.Equals, other.Expect(class).Quantile(0.9))
		}
		qt.Assert(t, preview.Median() > 0, qt.IsTrue)
	}
}
