package job_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chivetiller/chivetiller/job"
)

// Times of the simulated data centre.
const (
	simTick   = 500 * time.Millisecond
	simTarget = 2100 * time.Millisecond
	// simStop is how long a checkpoint and stop takes.
	simStop   = 500 * time.Millisecond
	simLength = 10 * time.Minute
)

// simJob is a job with its true behaviour, which its declaration misses by a factor of 3 either way.
type simJob struct {
	job.Job
	real job.Size
	left time.Duration
}

// simulation is a data centre in virtual time.
type simulation struct {
	r        *rand.Rand
	workers  []job.Worker
	size     job.Size
	jobs     map[string]*simJob
	learner  *job.Learner
	firstFit bool

	urgent, late int
	waits        time.Duration
	used, total  float64
	slowest      time.Duration
	stops        int
}

func newSimulation(seed uint64, workers int, size job.Size, firstFit bool) *simulation {
	s := &simulation{r: rand.New(rand.NewPCG(seed, 1)), size: size, jobs: make(map[string]*simJob), learner: job.NewLearner(nil), firstFit: firstFit}
	for i := range workers {
		s.workers = append(s.workers, job.Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%d", i/4), Size: size})
	}
	return s
}

// add submits a job of a kind. The kind determines the true size and run time.
func (s *simulation) add(now time.Time, urgent bool) {
	kind := s.r.IntN(8)
	length := time.Duration(20+10*kind) * time.Second
	real := job.Size{Cores: float64(1 + kind), Memory: int64(1+kind) << 30}
	if urgent {
		length = time.Duration(2+s.r.IntN(4)) * time.Second
	}
	wrong := []float64{1.0 / 3, 1, 3}[kind%3]
	j, err := job.New(job.Spec{
		Kind: fmt.Sprintf("kind%d-%v", kind, urgent), Team: "t", Urgent: urgent,
		Cores: real.Cores * wrong, Memory: int64(float64(real.Memory) * wrong),
	}, "dc", now)
	if err != nil {
		panic(err)
	}
	s.jobs[j.ID] = &simJob{Job: j, real: real, left: length}
}

// run keeps twice the batch work queued that the data centre can run. Urgent work takes a tenth of the
// processors on average, and five times that for 5 s in each minute.
func (s *simulation) run() {
	begin := time.Unix(0, 0)
	capacity := float64(len(s.workers)) * s.size.Cores
	perTick := 0.1 * capacity / 4.5 / 3.5 * simTick.Seconds()
	for at := time.Duration(0); at < simLength; at += simTick {
		now := begin.Add(at)
		s.finish(now)
		queued, _ := s.lists()
		for waiting := len(queued); float64(waiting) < capacity/16; waiting++ {
			s.add(now, false)
		}
		mean := perTick
		if int(at.Seconds())%60 < 5 {
			mean *= 5
		} else if int(at.Seconds())%60 < 10 {
			mean /= 20
		}
		// Urgent work begins when the learner has seen the kinds.
		for n := mean + s.r.Float64(); at > time.Minute && n >= 1; n-- {
			s.add(now, true)
		}
		queued, running := s.lists()
		s.place(now, queued, running)
	}
	// Urgent jobs that never started are late as well, unless they came at the very end.
	queued, _ := s.lists()
	for _, j := range queued {
		if j.Spec.Urgent && begin.Add(simLength).Sub(j.Submitted) > simTarget {
			s.urgent++
			s.late++
		}
	}
}

func (s *simulation) lists() (queued, running []job.Job) {
	for _, j := range s.jobs {
		if j.State == job.StateQueued {
			queued = append(queued, j.Job)
		} else {
			running = append(running, j.Job)
		}
	}
	return queued, running
}

func (s *simulation) finish(now time.Time) {
	for id, j := range s.jobs {
		if j.State != job.StateRunning {
			continue
		}
		step, share := simTick, 1.0
		if j.Throttled {
			step /= 4
			share = 0.25
		}
		s.used += j.real.Cores * share
		s.learner.RecordUsage(j.RunID(), job.Size{Cores: j.real.Cores * share, Memory: j.real.Memory})
		if j.left -= step; j.left <= 0 {
			s.learner.FinishRun(j.RunID(), j.Spec.Kind, now.Sub(j.Started), !j.Throttled)
			delete(s.jobs, id)
		}
	}
	s.total += float64(len(s.workers)) * s.size.Cores
}

func (s *simulation) place(now time.Time, queued, running []job.Job) {
	before := time.Now()
	var plan job.Plan
	if s.firstFit {
		plan = job.FirstFit(queued, running, s.workers)
	} else {
		plan = job.Place(queued, running, s.workers, s.learner.Estimate, nil)
	}
	s.slowest = max(s.slowest, time.Since(before))
	disturbed := make(map[string]bool)
	for _, v := range plan.Victims {
		j := s.jobs[v.Job.ID]
		disturbed[j.Worker] = v.Throttle == 0
		if v.Throttle > 0 {
			j.Throttled = true
			continue
		}
		s.stops++
		j.Job = j.Requeue("c", "stopped for urgent work")
	}
	for _, each := range plan.Restored {
		s.jobs[each.ID].Throttled = false
	}
	for _, p := range plan.Placements {
		j := s.jobs[p.Job.ID]
		j.Job = j.Start(now, p.Worker)
		if !j.Spec.Urgent {
			continue
		}
		// The wait includes the half interval in which it waited for the pass.
		wait := j.WaitTime(now) + simTick/2
		if disturbed[p.Worker] {
			wait += simStop
		}
		s.urgent++
		s.waits += wait
		if wait > simTarget {
			s.late++
		}
	}
}

// BenchmarkUrgent measures the share of urgent jobs that start later than 2.1 s after submission, beside
// first fit. The data centre is full of batch jobs. Bounds: late-ratio 0.001, place-ms 500 (one interval).
func BenchmarkUrgent(b *testing.B) {
	sizes := map[string]struct {
		workers int
		size    job.Size
	}{
		"directorate": {17, job.Size{Cores: 64, Memory: 256 << 30}},
		"nilbelt":     {17, job.Size{Cores: 32, Memory: 64 << 30}},
		"workers=100": {100, job.Size{Cores: 64, Memory: 256 << 30}},
		"workers=370": {370, job.Size{Cores: 64, Memory: 256 << 30}},
	}
	for name, size := range sizes {
		for kind, firstFit := range map[string]bool{"place": false, "firstFit": true} {
			b.Run(name+"/"+kind, func(b *testing.B) {
				var s *simulation
				for b.Loop() {
					s = newSimulation(1, size.workers, size.size, firstFit)
					s.run()
				}
				b.ReportMetric(float64(s.late)/float64(max(1, s.urgent)), "late-ratio")
				b.ReportMetric(float64(s.urgent), "urgent-jobs")
				b.ReportMetric(s.used/s.total, "used-cores")
				b.ReportMetric(float64(s.stops), "stops")
				b.ReportMetric(float64(s.slowest.Microseconds())/1000, "place-ms")
			})
		}
	}
}
