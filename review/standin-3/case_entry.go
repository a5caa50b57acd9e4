package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	entryWorkers = 9
	entryJobs    = 4
	// entryTimes is how often another writer writes an entry, each time under the ID of a worker that runs tasks.
	entryTimes = 3
	entryEvery = 6 * time.Second
	entryFor   = 30 * time.Second
)

// entryCase has jobs that last. Another writer writes entries of workers in which a field is missing and a service is not named.
func entryCase(w *World, trouble bool) ([]string, error) {
	q := newQueue("q", nil)
	if err := w.Begin(entryWorkers, q); err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	for n := range entryJobs {
		j := newJob(q, "run 0", Step{Resources: Resources{CPU: 2000, Memory: 1024}, Count: 5, Estimate: 60000, LongRunning: true, MaxPerWorker: 1})
		clients.Go(func() { w.Submit(n, j) })
	}
	clients.Wait()
	begun := time.Now()
	for range entryTimes {
		time.Sleep(entryEvery)
		if trouble {
			w.writeEntry()
		}
	}
	time.Sleep(time.Until(begun.Add(entryFor)))
	return w.runsAtOnce(), nil
}

// writeEntry writes the entry of a worker with tasks as another writer does, which does not know all fields and names a service of its own.
// The worker writes its own entry again with its next heartbeat.
func (w *World) writeEntry() {
	for _, i := range rand.Perm(len(w.workers)) {
		ws := w.workers[i]
		if ws.Used() == (Resources{}) {
			continue
		}
		w.store.Put(rowKey{Table: "servers", Key: ws.id}, map[string]any{
			"service": "elsewhere", "addr": ws.address, "zone": ws.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": ws.capacity, "labels": []string{"a", ws.rack}, "seq": 1,
		})
		w.Record("another writer writes an entry of worker %s, without born and of a service that is not named", ws.id)
		return
	}
}

// runsAtOnce returns the pairs of runs of a task that were at work at the same time, each on a worker that was up.
func (w *World) runsAtOnce() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	byTask := make(map[string][]*Run)
	for _, r := range w.runs {
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	var violations []string
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b *Run) int { return a.Begun.Compare(b.Begun) })
		for i, r := range runs[1:] {
			before := runs[i]
			if before.Ended.IsZero() || before.Ended.After(r.Begun) {
				end := before.Ended
				if end.IsZero() {
					end = time.Now()
				}
				violations = append(violations, fmt.Sprintf("TWICE: task %s: run %d on worker %s began %s before run %d on worker %s ended", task, r.Number, r.Worker, end.Sub(r.Begun).Round(time.Millisecond), before.Number, before.Worker))
			}
		}
	}
	return violations
}
