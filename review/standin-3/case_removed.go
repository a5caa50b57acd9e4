package main

import (
	"sync"
	"time"
)

const (
	removedWorkers = 9
	removedJobs    = 6
)

// removedCase removes a queue with a policy from the configuration, while the first steps of its jobs are at work.
func removedCase(w *World, trouble bool) ([]string, error) {
	q, other := newQueue("q", &Advice{Decide: 20, Each: 2, Valid: 3000}), newQueue("other", nil)
	if err := w.Begin(removedWorkers, q, other); err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	for n := range removedJobs {
		step := Step{Resources: Resources{CPU: 1000, Memory: 512}, Count: 4, Estimate: 2000}
		second := step
		second.After = []int{0}
		j := newJob(q, "run 2000", step, second)
		clients.Go(func() { w.Submit(n, j) })
	}
	clients.Wait()
	w.Record("the traffic has ended")
	time.Sleep(time.Second)
	if trouble {
		w.Configure(other)
	}
	time.Sleep(finishTime)
	return w.lostJobs(), nil
}
