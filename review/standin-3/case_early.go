package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	earlyWorkers = 9
	earlyJobs    = 10
	// earlyDown is how long the store is busy, and earlyBack the time after that until clients go on.
	earlyDown = 4500 * time.Millisecond
	earlyBack = 3 * time.Second
	// earlyPause is the time between the answer to a cancellation and the next submission. It is far longer than a request is on its way.
	earlyPause = 5 * time.Second
	earlyTime  = 10 * time.Second
)

// earlyCase has clients whose jobs are refused while the store is busy. They cancel them, are told that no such job exists, and submit them
// again later.
func earlyCase(w *World, trouble bool) ([]string, error) {
	q := newQueue("q", nil)
	if err := w.Begin(earlyWorkers, q); err != nil {
		return nil, err
	}
	w.store.SetBusy(trouble)
	down := time.Now()
	jobs := make([]*Job, 0, earlyJobs)
	var clients sync.WaitGroup
	for n := range earlyJobs {
		j := newJob(q, "run 500", Step{Resources: Resources{CPU: 1000, Memory: 512}, Count: 2, Estimate: 500})
		jobs = append(jobs, j)
		clients.Go(func() { w.Submit(n, j) })
	}
	clients.Wait()
	time.Sleep(time.Until(down.Add(earlyDown)))
	w.store.SetBusy(false)
	time.Sleep(earlyBack)
	var again []*Job
	for n, j := range jobs {
		if !j.refused() {
			continue
		}
		status, _, _ := w.send(http.MethodDelete, w.nodes[n%len(w.nodes)], "/"+j.Queue+"/"+j.ID, "")
		if status != http.StatusGone {
			return nil, fmt.Errorf("the cancellation of a job that does not exist was answered with %d", status)
		}
		again = append(again, j)
	}
	if trouble && len(again) == 0 {
		return nil, fmt.Errorf("no job was refused")
	}
	time.Sleep(earlyPause)
	for n, j := range again {
		w.Submit(n, j)
	}
	time.Sleep(earlyTime)
	return w.cancelledWithoutCause(jobs), nil
}

// refused reports whether all attempts to submit the job were answered with 429 or 503, so that it never runs.
func (j *Job) refused() bool {
	for _, status := range j.Answers {
		if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
			return false
		}
	}
	return true
}

// cancelledWithoutCause returns the accepted jobs that are shown as cancelled. No job was cancelled after it was accepted, and none of which an
// attempt may have been on its way.
func (w *World) cancelledWithoutCause(jobs []*Job) []string {
	var violations []string
	for _, j := range jobs {
		state, runs := w.State(j), 0
		w.mu.Lock()
		for _, r := range w.runs {
			if id, _, _ := strings.Cut(r.Task, "."); id == j.ID {
				runs++
			}
		}
		accepted := !j.Accepted.IsZero()
		w.mu.Unlock()
		if accepted && state == "cancelled" {
			violations = append(violations, fmt.Sprintf("LOST: job %s was accepted %s ago and is shown as cancelled, with %d runs; the answers to its submissions were %v", j.ID, time.Since(j.Accepted).Round(time.Second), runs, j.Answers))
		}
	}
	return violations
}
