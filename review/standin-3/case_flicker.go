package main

import (
	"sync"
	"time"
)

const (
	flickerWorkers = 9
	flickerJobs    = 6
	// flickerDown is how long the worker is down first, and flickerUp how long it is up after that.
	flickerDown = 300 * time.Millisecond
	flickerUp   = 300 * time.Millisecond
)

// flickerCase has a worker that crashes, starts again and is lost for good at once, while the leader is killed.
func flickerCase(w *World, trouble bool) ([]string, error) {
	q := newQueue("q", nil)
	if err := w.Begin(flickerWorkers, q); err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	for n := range flickerJobs {
		step := Step{Resources: Resources{CPU: 4000, Memory: 1024}, Count: 5, Estimate: 2000}
		second := step
		second.After = []int{0}
		j := newJob(q, "run 2000", step, second)
		clients.Go(func() { w.Submit(n, j) })
	}
	clients.Wait()
	w.Record("the traffic has ended")
	ended := time.Now()
	time.Sleep(time.Second)
	if trouble {
		var ws *Worker
		for _, other := range w.workers {
			if ws == nil || other.Used().CPU > ws.Used().CPU {
				ws = other
			}
		}
		leader := w.Leader()
		leader.Kill()
		if err := ws.Crash(flickerDown); err != nil {
			return nil, err
		}
		time.Sleep(flickerUp)
		ws.Lose()
		if err := leader.Start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(ended.Add(finishTime)))
	return w.lostJobs(), nil
}
