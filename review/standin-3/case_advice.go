package main

import (
	"sync"
	"time"
)

const (
	// adviceRate is the usual number of jobs a second. Each has one step, and so needs one answer of the policy service.
	adviceRate = 8.0
	// adviceFor is how long jobs come, and adviceBurstAt, adviceBurstFor and adviceBurst are when, for how long and how many times as many
	// come at once.
	adviceFor      = 30 * time.Second
	adviceBurstAt  = 10 * time.Second
	adviceBurstFor = 4 * time.Second
	adviceBurst    = 2.6
	adviceWorkers  = 12
)

// adviceCase has one queue with a policy, whose service takes 100 ms for a call about all workers. Usual load takes 0.8 of its time.
func adviceCase(w *World, trouble bool) ([]string, error) {
	q := newQueue("q", &Advice{Decide: 40, Each: 5, Valid: 3000})
	if err := w.Begin(adviceWorkers, q); err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	begun := time.Now()
	for n := 0; time.Since(begun) < adviceFor; n++ {
		rate := adviceRate
		if at := time.Since(begun); trouble && at >= adviceBurstAt && at < adviceBurstAt+adviceBurstFor {
			rate *= adviceBurst
		}
		j := newJob(q, "run 500", Step{Resources: Resources{CPU: 1000, Memory: 512}, Count: 4, Estimate: 500})
		clients.Go(func() { w.Submit(n, j) })
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	clients.Wait()
	w.Record("the traffic has ended")
	time.Sleep(finishTime)
	return w.lostJobs(), nil
}
