package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/jobs/finishedruns"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// benchCore returns a core with workers in pools of at most 85, and a backlog of jobs in each.
func benchCore(workers, backlog int) (*Core, time.Duration) {
	const perPool = 85
	now := time.Minute
	c := NewCore(Options{Bounds: rigBounds(), Fence: 1, Term: 1, AcquiredAt: now})
	pools := (workers + perPool - 1) / perPool
	var queues []catalog.Queue
	for p := range pools {
		queues = append(queues, catalog.Queue{Name: fmt.Sprint("q", p), Pool: fmt.Sprint("p", p), Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond})
	}
	c.SetCatalog(catalog.New(1, 0, queues, nil, nil))
	reports := make([]worker.Report, workers)
	for i := range reports {
		reports[i] = worker.Report{
			ID: fmt.Sprint("w", i), Pool: fmt.Sprint("p", i%pools), Address: "a", Incarnation: 1,
			Capacity: work.Resources{CPU: 64000, Memory: 262144},
		}
	}
	c.SetWorkers(reports)
	for _, r := range reports {
		for range 2 {
			renewal, _ := c.Renewal(r.ID)
			c.HandleStatus(renewal.call, worker.Status{Reply: worker.Reply{Clock: now, Incarnation: 1}}, now, nil)
		}
	}
	for i := range backlog {
		c.AddJob(benchJob(i, pools), nil, 0)
	}
	return c, now
}

func benchJob(i, pools int) work.Job {
	step := work.Step{Count: 8, Request: work.Resources{CPU: 3500, Memory: 13000}, Estimate: 800 * time.Millisecond}
	next := step
	next.DependsOn = []int{0}
	return work.Job{ID: fmt.Sprintf("%016x", i), Queue: fmt.Sprint("q", i%pools), Pool: fmt.Sprint("p", i%pools), Steps: []work.Step{step, next}}
}

// BenchmarkPass measures one pass over full pools with a backlog of jobs, in which no task can start.
func BenchmarkPass(b *testing.B) {
	for _, workers := range []int{41, 370, 3700} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c, now := benchCore(workers, workers*8)
			c.Schedule(now)
			c.BatchStored(c.TakeBatch(1 << 20))
			c.Schedule(now)
			b.ReportAllocs()
			for b.Loop() {
				for _, p := range c.pools {
					p.needsPlanning = true
				}
				c.Schedule(now)
			}
		})
	}
}

// BenchmarkPassLearned measures the same passes while time goes on, with and without learned run times.
func BenchmarkPassLearned(b *testing.B) {
	for _, workers := range []int{370, 3700} {
		for name, on := range map[string]bool{"on": true, "off": false} {
			b.Run(fmt.Sprint(workers, "/", name), func(b *testing.B) {
				c, now := benchCore(workers, workers*8)
				c.options.Features.LearnedRunTimes, c.options.Features.WorkerPace = on, on
				c.learned = finishedruns.New(on, on)
				for i := range 1000 {
					s := c.jobs[fmt.Sprintf("%016x", i)].open[0].steps[0]
					c.learned.Observe(&s.finished, finishedruns.Run{Class: s.class(), Took: 900 * time.Millisecond, Whole: true}, now, c.countDecision)
				}
				c.Schedule(now)
				c.BatchStored(c.TakeBatch(1 << 20))
				for b.Loop() {
					now += 50 * time.Millisecond
					for _, p := range c.pools {
						p.needsPlanning = true
					}
					for _, ws := range c.workers {
						ws.lastContact = now
					}
					c.SetConfirmed(now)
					c.Schedule(now)
				}
			})
		}
	}
}

// BenchmarkPlace measures placing the tasks of a new job in pools with free workers.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{41, 370, 3700} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c, now := benchCore(workers, 0)
			pools := len(c.pools)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				c.AddJob(benchJob(i, pools), nil, 0)
				c.Schedule(now)
				b.StopTimer()
				c.Cancel(fmt.Sprintf("%016x", i))
				c.plannedRuns = nil
				i++
				b.StartTimer()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(8*i), "µs/task")
		})
	}
}

// BenchmarkSuspects measures one pass in which suspects of a crash wait because each worker tests one already.
func BenchmarkSuspects(b *testing.B) {
	for _, workers := range []int{41, 370, 1100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c, now := benchCore(workers, workers*2)
			c.Schedule(now)
			c.BatchStored(c.TakeBatch(1 << 20))
			for _, ws := range c.workers {
				for _, r := range ws.runs {
					r.step.progress.AddCrash(r.index, 1, true)
				}
			}
			for i := range workers {
				doc := benchJob(i, len(c.pools))
				doc.ID = "suspect" + doc.ID
				progress := work.NewProgress()
				for k := range doc.Steps[0].Count {
					progress.Occurrence(&doc, 0).Steps[0].AddCrash(k, 1, true)
				}
				c.AddJob(doc, progress, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, p := range c.pools {
					p.needsPlanning = true
				}
				c.Schedule(now)
			}
		})
	}
}
