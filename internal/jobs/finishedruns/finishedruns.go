// Package finishedruns tells apart why a run took as long as it did: its task, the pace of its worker, and the distance to its data.
//
// # Usage
//
//	l := finishedruns.New(true, true)
//	var step finishedruns.Step
//	l.Observe(&step, finishedruns.Run{Class: class, Job: id, Worker: worker, Took: took, Whole: true}, now, countDecision)
//	e := l.Expect(class, &step, anyRuns, running, now)
//	late := took > l.ExpectByFinished(class, &step, now).Quantile(0.9)
//	l.Pace().Factor(worker)
//
// # States
//
// The pace of a worker and the effect of distance in a queue are learned from runs of which it is known how long they were expected to take.
// They are divided out before the run tells something of its class. A run away from its data tells nothing of its class until the effect
// of distance in its queue is known.
package finishedruns

import (
	"math"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/estimateratio"
	"github.com/chivetiller/chivetiller/internal/jobs/runtimes"
	"github.com/chivetiller/chivetiller/internal/store/snapshot"
	"github.com/chivetiller/chivetiller/internal/workers/pace"
)

const (
	// minRuns is the number of runs on which an expectation rests from which on a run is compared with it.
	minRuns = 20
	// nearFactor is the factor up to which a run has taken about as long as expected.
	nearFactor = 2
	// paceHalfLife and distanceHalfLife are the times in which knowledge without new runs loses half of its effect. A worker is slow for a
	// fault, which passes; the distance is a matter of the network and the tasks.
	paceHalfLife     = 20 * time.Second
	distanceHalfLife = 10 * time.Minute
	// expectationAge is how long an expectation holds while tasks of the step run, and idleAge while none does.
	expectationAge = 200 * time.Millisecond
	idleAge        = 10 * time.Second
	// workAge is how long the remaining work of a job holds, of which there may be tens of thousands, and workSpread how much longer it holds
	// for some, so that those that a new leader reads together are not computed together again.
	workAge    = 2 * time.Second
	workSpread = time.Second
	// interval is the time between two snapshots. That of the run times is a row of up to 64 KiB.
	interval = 15 * time.Second
	// maxFinished is the number of tasks of a step whose run time is kept.
	maxFinished = 8
)

// Step is what the tasks of a step have told. The zero value is that of one without runs.
type Step struct {
	// finished holds what the latest tasks have taken at usual pace, near their data.
	finished []time.Duration
	// expected holds until a time, as long as some run or none does.
	expected *runtimes.Expectation
	until    time.Duration
	anyRuns  bool
	// byFinished is what is expected without the runs in progress, and holds until a time.
	byFinished      *runtimes.Expectation
	byFinishedUntil time.Duration
}

// Run is a run that was done.
type Run struct {
	Class  runtimes.Class
	Job    string
	Worker string
	// Far means that the worker was away from the data of the task, or from other tasks of its gang.
	Far  bool
	Took time.Duration
	// Whole means that the run is known to have run from its beginning to its end in that time, at full speed.
	Whole bool
	// Together means that the tasks of the step end together, so that one tells nothing of the others.
	Together bool
}

// Learner holds all that is learned from runs. It is not safe for concurrent use.
type Learner struct {
	// runTimes means that what is learned of classes is expected, and paces that workers are compared.
	runTimes, paces bool

	ratios   *estimateratio.Ratios
	model    *runtimes.Model
	pace     *pace.Tracker
	distance *pace.Tracker
}

// New returns a learner that knows nothing. runTimes means that the run times of classes are learned, and not only a ratio of each queue, and
// paces that the pace of workers is.
func New(runTimes, paces bool) *Learner {
	return &Learner{
		runTimes: runTimes, paces: paces, ratios: estimateratio.New(), model: runtimes.New(), pace: pace.New(paceHalfLife), distance: pace.New(distanceHalfLife),
	}
}

// Model returns the run times.
func (l *Learner) Model() *runtimes.Model { return l.model }

// Pace returns the pace of the workers.
func (l *Learner) Pace() *pace.Tracker { return l.pace }

// Keep adds what is learned to the snapshots for the next leaders.
func (l *Learner) Keep(snapshots *snapshot.Set) {
	if l.runTimes {
		snapshots.Add("runTimes", l.model, interval)
	}
	if l.paces {
		snapshots.Add("workerPace", l.pace, interval)
	}
}

// Delay returns how many times as long as expected a run of a queue takes on a worker with a factor, far from its data or not.
func (l *Learner) Delay(queue string, factor float64, far bool) float64 {
	if far {
		return factor * l.Distance(queue)
	}
	return factor
}

// Distance returns how many times as long the runs of a queue take away from their data, and 1 if it is not known.
func (l *Learner) Distance(queue string) float64 { return max(1, l.distance.Factor(queue)) }

// Expect returns how long a task of a step is expected to take on a worker of usual pace, near its data. If any runs, running
// returns how long the runs of the step have taken so far, at that pace.
func (l *Learner) Expect(class runtimes.Class, step *Step, anyRuns bool, running func() []time.Duration, now time.Duration) runtimes.Expectation {
	if !l.runTimes {
		return runtimes.Fixed(l.ratios.Expect(class.Queue, class.Estimate))
	}
	if !anyRuns && len(step.finished) == 0 {
		return l.model.Expect(class)
	}
	if step.expected == nil || now >= step.until || anyRuns != step.anyRuns {
		var times []time.Duration
		step.until, step.anyRuns = now+idleAge, anyRuns
		if anyRuns {
			times, step.until = running(), now+expectationAge
		}
		e := l.model.Expect(class).Given(step.finished, times)
		step.expected = &e
	}
	return *step.expected
}

// Preview returns how long the first task of a step is expected to take on a worker of usual pace, near its data. It keeps nothing.
func (l *Learner) Preview(class runtimes.Class) runtimes.Expectation {
	if !l.runTimes {
		return runtimes.Fixed(l.ratios.Expect(class.Queue, class.Estimate))
	}
	return l.model.Preview(class)
}

// ExpectByFinished is Expect without the runs in progress, to judge one of them: a run that takes long raises what is expected of its step,
// and would put off the time from which on it is late.
func (l *Learner) ExpectByFinished(class runtimes.Class, step *Step, now time.Duration) runtimes.Expectation {
	if !l.runTimes {
		return runtimes.Fixed(l.ratios.Expect(class.Queue, class.Estimate))
	}
	if len(step.finished) == 0 {
		return l.model.Expect(class)
	}
	if step.byFinished == nil || now >= step.byFinishedUntil {
		e := l.model.Expect(class).Given(step.finished, nil)
		step.byFinished, step.byFinishedUntil = &e, now+idleAge
	}
	return *step.byFinished
}

// WorkUntil returns until when the remaining work of a job holds that was due at a time, if no task is done before.
func (l *Learner) WorkUntil(now, dueAt time.Duration) time.Duration {
	if !l.runTimes {
		return math.MaxInt64
	}
	return now + workAge + max(dueAt, 0)%workSpread
}

// Observe records a run of a step that was done. It counts whether the run took about as long as expected, for metrics.
func (l *Learner) Observe(step *Step, r Run, now time.Duration, count func(part, outcome string)) {
	l.ratios.Observe(r.Class.Queue, r.Class.Estimate, r.Took)
	if !l.runTimes && !l.paces || !r.Whole {
		return
	}
	expected := l.model.Expect(r.Class).Given(step.finished, nil)
	usual := l.usualTime(expected, r, now)
	if usual <= 0 {
		return
	}
	if median := expected.Median(); expected.Runs() >= minRuns {
		switch {
		case usual > nearFactor*median:
			count("runTimes", "longer")
		case usual < median/nearFactor:
			count("runTimes", "shorter")
		default:
			count("runTimes", "near")
		}
	}
	l.model.Observe(r.Class, usual, now)
	if r.Together {
		return
	}
	l.model.ObserveWithin(step.finished, usual, now)
	step.finished = append(step.finished[max(0, len(step.finished)-maxFinished+1):], usual)
	step.until, step.byFinishedUntil = 0, 0
}

// usualTime returns how long a run would have taken on a worker of usual pace, near its data, and 0 if that is not known.
func (l *Learner) usualTime(expected runtimes.Expectation, r Run, now time.Duration) time.Duration {
	l.pace.Advance(now)
	l.distance.Advance(now)
	median := expected.Median()
	comparable := expected.Runs() >= minRuns && median > 0
	took, distance, factor := float64(r.Took), 1.0, l.pace.Factor(r.Worker)
	if r.Far {
		if comparable {
			l.distance.Observe(r.Class.Queue, r.Job, took/factor/float64(median), now)
		}
		if !l.distance.Known(r.Class.Queue) {
			return 0
		}
		distance = l.Distance(r.Class.Queue)
	}
	if l.paces && comparable {
		l.pace.Observe(r.Worker, r.Job, took/distance/float64(median), now)
	}
	return time.Duration(took / distance / factor)
}
