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
	// simStop is the time that a job needs to write a checkpoint and stop.
	simStop   = 500 * time.Millisecond
	simLength = 10 * time.Minute
)

// simJob is a job with its true size and remaining run time. The declared size is a third, one time or three times the
// true size, depending on the kind.
type simJob struct {
	job.Job
	trueSize  job.Size
	remaining time.Duration
}

// simulation is a data centre in virtual time.
type simulation struct {
	r        *rand.Rand
	workers  []job.Worker
	size     job.Size
	jobs     map[string]*simJob
	learner  *job.Learner
	firstFit bool

	urgentJobs, lateJobs  int
	waits                 time.Duration
	usedCores, totalCores float64
	slowestPlace          time.Duration
	stops                 int
}

func newSimulation(seed uint64, workers int, size job.Size, firstFit bool) *simulation {
	s := &simulation{r: rand.New(rand.NewPCG(seed, 1)), size: size, jobs: make(map[string]*simJob), learner: job.NewLearner(nil), firstFit: firstFit}
	for i := range workers {
		s.workers = append(s.workers, job.Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%d", i/4), Size: size})
	}
	return s
}

// submitJob submits a job of a kind. The kind determines the true size and run time.
func (s *simulation) submitJob(now time.Time, urgent bool) {
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
	s.jobs[j.ID] = &simJob{Job: j, trueSize: real, remaining: length}
}

// run keeps twice as much batch work queued as the data centre can run. Urgent work takes a tenth of the processors on
// average, and five times that for 5 s of each minute.
func (s *simulation) run() {
	begin := time.Unix(0, 0)
	capacity := float64(len(s.workers)) * s.size.Cores
	perTick := 0.1 * capacity / 4.5 / 3.5 * simTick.Seconds()
	for at := time.Duration(0); at < simLength; at += simTick {
		now := begin.Add(at)
		s.advanceJobs(now)
		queued, _ := s.listJobs()
		for waiting := len(queued); float64(waiting) < capacity/16; waiting++ {
			s.submitJob(now, false)
		}
		mean := perTick
		if int(at.Seconds())%60 < 5 {
			mean *= 5
		} else if int(at.Seconds())%60 < 10 {
			mean /= 20
		}
		// Urgent work begins after a minute, when the learner has observed the kinds.
		for n := mean + s.r.Float64(); at > time.Minute && n >= 1; n-- {
			s.submitJob(now, true)
		}
		queued, running := s.listJobs()
		s.placeJobs(now, queued, running)
	}
	// Urgent jobs that never started are late too, unless they were submitted less than simTarget before the end.
	queued, _ := s.listJobs()
	for _, j := range queued {
		if j.Spec.Urgent && begin.Add(simLength).Sub(j.Submitted) > simTarget {
			s.urgentJobs++
			s.lateJobs++
		}
	}
}

func (s *simulation) listJobs() (queued, running []job.Job) {
	for _, j := range s.jobs {
		if j.State == job.StateQueued {
			queued = append(queued, j.Job)
		} else {
			running = append(running, j.Job)
		}
	}
	return queued, running
}

func (s *simulation) advanceJobs(now time.Time) {
	for id, j := range s.jobs {
		if j.State != job.StateRunning {
			continue
		}
		step, share := simTick, 1.0
		if j.Throttled {
			step /= 4
			share = 0.25
		}
		s.usedCores += j.trueSize.Cores * share
		s.learner.RecordUsage(j.RunID(), job.Size{Cores: j.trueSize.Cores * share, Memory: j.trueSize.Memory})
		if j.remaining -= step; j.remaining <= 0 {
			s.learner.FinishRun(j.RunID(), j.Spec.Kind, now.Sub(j.Started), !j.Throttled)
			delete(s.jobs, id)
		}
	}
	s.totalCores += float64(len(s.workers)) * s.size.Cores
}

func (s *simulation) placeJobs(now time.Time, queued, running []job.Job) {
	before := time.Now()
	var plan job.Plan
	if s.firstFit {
		plan = job.FirstFit(queued, running, s.workers)
	} else {
		plan = job.Place(queued, running, s.workers, s.learner.Estimate, nil)
	}
	s.slowestPlace = max(s.slowestPlace, time.Since(before))
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
		// On average, a job waits half an interval until the next pass.
		wait := j.WaitTime(now) + simTick/2
		if disturbed[p.Worker] {
			wait += simStop
		}
		s.urgentJobs++
		s.waits += wait
		if wait > simTarget {
			s.lateJobs++
		}
	}
}

// BenchmarkUrgent measures the fraction of urgent jobs that start later than 2.1 s after submission, and compares Place
// with FirstFit. The data centre is full of batch jobs. Bounds: late-ratio 0.001, place-ms 500 (one interval).
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
				b.ReportMetric(float64(s.lateJobs)/float64(max(1, s.urgentJobs)), "late-ratio")
				b.ReportMetric(float64(s.urgentJobs), "urgent-jobs")
				b.ReportMetric(s.usedCores/s.totalCores, "used-cores")
				b.ReportMetric(float64(s.stops), "stops")
				b.ReportMetric(float64(s.slowestPlace.Microseconds())/1000, "place-ms")
			})
		}
	}
}
