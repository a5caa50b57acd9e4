package finishedruns_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/jobs/finishedruns"
	"github.com/chivetiller/chivetiller/internal/jobs/runtimes"
	"github.com/chivetiller/chivetiller/internal/store/snapshot"
)

const workers = 10

// fleet plays jobs whose tasks run on the workers by turns.
type fleet struct {
	random  *rand.Rand
	learner *finishedruns.Learner
	now     time.Duration
	jobs    int
	// slowness is how many times as long tasks take on a worker, and distance how many times as long the far ones of far are.
	slowness map[int]float64
	distance float64
	far      float64
	// counts are the outcomes of the latest play.
	counts map[string]int
}

func newFleet(seed uint64) *fleet {
	return &fleet{random: rand.New(rand.NewPCG(seed, 1)), learner: finishedruns.New(true, true), distance: 1}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// class returns the class of a step with a mean time.
func (f *fleet) class(mean float64) runtimes.Class {
	off := 0.5 + 0.4*f.random.Float64()
	if f.random.IntN(2) == 0 {
		off = -off
	}
	return runtimes.Class{Queue: "q", Steps: 1, CPU: 4000, Estimate: seconds(mean * (1 + off))}
}

func (f *fleet) mean() float64 { return 0.9 * math.Exp(0.5*f.random.NormFloat64()) }

// play plays a number of jobs.
func (f *fleet) play(jobs int) {
	f.counts = make(map[string]int)
	type ended struct {
		worker int
		far    bool
		took   float64
	}
	for range jobs {
		f.jobs++
		mean := f.mean()
		class := f.class(mean)
		var runs []ended
		for i := range 8 {
			r := ended{worker: (f.jobs + i) % workers, far: f.random.Float64() < f.far, took: mean * (1 + 0.2*f.random.NormFloat64())}
			if f.random.Float64() < 0.03 {
				r.took *= 7
			}
			if s := f.slowness[r.worker]; s > 0 {
				r.took *= s
			}
			if r.far {
				r.took *= f.distance
			}
			runs = append(runs, r)
		}
		slices.SortFunc(runs, func(a, b ended) int { return int(1e6 * (a.took - b.took)) })
		var step finishedruns.Step
		for _, r := range runs {
			f.now += 20 * time.Millisecond
			f.learner.Observe(&step, finishedruns.Run{
				Class: class, Job: fmt.Sprint(f.jobs), Worker: fmt.Sprint(r.worker), Far: r.far, Took: seconds(max(r.took, 0.05)), Whole: true,
			}, f.now, func(part, outcome string) { f.counts[part+" "+outcome]++ })
		}
	}
}

// bias returns the median of what is expected relative to the mean of a step.
func (f *fleet) bias() float64 {
	var ratios []float64
	for range 300 {
		mean := f.mean()
		var step finishedruns.Step
		ratios = append(ratios, f.learner.Expect(f.class(mean), &step, false, nil, f.now).Median().Seconds()/mean)
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

// TestSlowWorker guards against slow workers that are not found, against others that count as slow beside them, and against tasks that look long
// because of them.
func TestSlowWorker(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed)
		f.play(60)
		before := f.bias()
		f.slowness = map[int]float64{0: 3, 1: 4}
		f.play(60)
		for i := range workers {
			factor := f.learner.Pace().Factor(fmt.Sprint(i))
			if f.slowness[i] > 0 {
				qt.Check(t, factor > 1.8, qt.IsTrue, qt.Commentf("seed %d: worker %d has factor %g", seed, i, factor))
			} else {
				qt.Check(t, factor < 1.6, qt.IsTrue, qt.Commentf("seed %d: worker %d has factor %g", seed, i, factor))
			}
		}
		qt.Check(t, f.bias() < 1.2*before, qt.IsTrue, qt.Commentf("seed %d: expected %g times the mean, %g before", seed, f.bias(), before))
	}
}

// TestOutcomes guards against metrics that do not show whether the expectations are of use.
func TestOutcomes(t *testing.T) {
	f := newFleet(1)
	f.play(10)
	f.play(100)
	near, longer, shorter := f.counts["runTimes near"], f.counts["runTimes longer"], f.counts["runTimes shorter"]
	qt.Assert(t, near > 600 && longer > 20 && longer < 150 && shorter < 100, qt.IsTrue, qt.Commentf("%v", f.counts))
}

// TestDistance guards against tasks that look long because some of them run away from their data, and against workers that look slow for it.
func TestDistance(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed)
		f.play(60)
		before := f.bias()
		f.distance, f.far = 3, 0.5
		f.play(60)
		qt.Check(t, f.learner.Distance("q") > 2 && f.learner.Distance("q") < 4, qt.IsTrue, qt.Commentf("seed %d: %g", seed, f.learner.Distance("q")))
		qt.Check(t, f.bias() < 1.2*before, qt.IsTrue, qt.Commentf("seed %d: expected %g times the mean, %g before", seed, f.bias(), before))
		for i := range workers {
			qt.Check(t, f.learner.Pace().Factor(fmt.Sprint(i)) < 1.6, qt.IsTrue)
		}
	}
}

// TestExclusions guards against runs that teach something false: of unknown length, or away from their data when the effect of that is not known.
func TestExclusions(t *testing.T) {
	class := runtimes.Class{Queue: "q", Steps: 1, CPU: 4000, Estimate: time.Second}
	tests := map[string]finishedruns.Run{
		"not whole": {Class: class, Took: time.Hour},
		"far":       {Class: class, Took: time.Hour, Whole: true, Far: true},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			l := finishedruns.New(true, true)
			var step finishedruns.Step
			for i := range 100 {
				run.Job, run.Worker = fmt.Sprint(i), "w"
				l.Observe(&step, run, time.Minute, func(_, outcome string) { t.Errorf("outcome %s", outcome) })
			}
			qt.Assert(t, l.Expect(class, &step, false, nil, time.Minute).Runs(), qt.Equals, 0)
			qt.Assert(t, l.Pace().Factor("w"), qt.Equals, 1.0)
		})
	}
}

// TestSwitches guards against parts that have an effect while they are switched off.
func TestSwitches(t *testing.T) {
	tests := map[string]struct {
		runTimes, paces bool
		rows            int
	}{
		"off":       {},
		"run times": {runTimes: true, rows: 1},
		"pace":      {paces: true, rows: 1},
		"both":      {runTimes: true, paces: true, rows: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1)
			f.learner = finishedruns.New(test.runTimes, test.paces)
			f.play(60)
			f.slowness = map[int]float64{0: 5}
			f.play(60)
			var step finishedruns.Step
			e := f.learner.Expect(f.class(1), &step, false, nil, f.now)
			qt.Assert(t, e.Runs() > 0, qt.Equals, test.runTimes)
			qt.Assert(t, f.learner.Pace().Factor("0") > 1.5, qt.Equals, test.paces)
			set := snapshot.NewSet()
			f.learner.Keep(set)
			rows := set.Take(f.now, 10, func(_ string, err error) { t.Error(err) })
			qt.Assert(t, rows, qt.HasLen, test.rows)
		})
	}
}

// TestLateRun guards against a run that is never late, because the time for which it has run raises what is expected of its step.
func TestLateRun(t *testing.T) {
	for name, runTimes := range map[string]bool{"run times": true, "ratio": false} {
		t.Run(name, func(t *testing.T) {
			l := finishedruns.New(runTimes, false)
			class := runtimes.Class{Queue: "q", Steps: 1, CPU: 1000, Estimate: time.Second}
			observe := func(step *finishedruns.Step, took time.Duration) {
				l.Observe(step, finishedruns.Run{Class: class, Took: took, Whole: true}, time.Minute, func(string, string) {})
			}
			for range 30 {
				// The tasks of a step take equally long.
				var step finishedruns.Step
				for range 8 {
					observe(&step, time.Second)
				}
			}
			var step finishedruns.Step
			running := func() []time.Duration { return []time.Duration{4 * time.Second, 4 * time.Second} }
			byFinished := func() time.Duration { return l.ExpectByFinished(class, &step, time.Minute).Median() }
			qt.Assert(t, byFinished() < 1300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", byFinished()))
			if median := l.Expect(class, &step, true, running, time.Minute).Median(); runTimes {
				qt.Assert(t, median > 2*time.Second, qt.IsTrue, qt.Commentf("%v", median))
			} else {
				qt.Assert(t, median, qt.Equals, byFinished())
				return
			}
			qt.Assert(t, byFinished() < 1300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", byFinished()))
			for range 4 {
				observe(&step, 2*time.Second)
			}
			qt.Assert(t, byFinished() > 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", byFinished()))
		})
	}
}
