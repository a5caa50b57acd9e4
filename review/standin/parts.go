package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// caseParts kills the leader of a young deployment while the store is slow. The IDs of the jobs have different first digits.
func caseParts(w *world, trouble bool) (broken bool, err error) {
	if err := w.addService(8); err != nil {
		return false, err
	}
	w.configure([]string{service}, newQueue("q", 3))
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	body := jobBody("run 300", 1, 300*time.Millisecond)
	id := func(n int) string { return fmt.Sprintf("%x00000000000000a", n) }
	for n := range 3 {
		if !w.submit(n, "/q/"+id(n), body) {
			return false, fmt.Errorf("job %s was not accepted", id(n))
		}
	}
	time.Sleep(500 * time.Millisecond)
	alive := w.nodes
	if trouble {
		w.rec.add("store: answers take 60 times as long")
		w.store.setSlow(60)
		dead := w.leader()
		w.rec.add("process %s is killed", dead.name)
		dead.kill()
		alive = nil
		for _, n := range w.nodes {
			if n != dead {
				alive = append(alive, n)
			}
		}
	}
	var mu sync.Mutex
	accepted := make(map[string]bool)
	var jobs sync.WaitGroup
	begin := time.Now()
	for n := 3; n < 16; n++ {
		time.Sleep(200 * time.Millisecond)
		jobs.Go(func() {
			for attempt := range 4 {
				status, _ := w.call(http.MethodPost, alive[(n+attempt)%len(alive)], "/q/"+id(n), body)
				w.rec.add("client: POST /q/%s: %d", id(n), status)
				if status/100 == 2 {
					mu.Lock()
					accepted[id(n)] = true
					mu.Unlock()
					return
				}
			}
		})
	}
	time.Sleep(4500*time.Millisecond - time.Since(begin))
	w.rec.add("store: answers take as long as usual")
	w.store.setSlow(1)
	jobs.Wait()
	time.Sleep(17 * time.Second)
	started := make(map[string]bool)
	for _, r := range w.observed() {
		started[strings.Split(r.task, ".")[0]] = true
	}
	lost := 0
	for job := range accepted {
		if started[job] {
			continue
		}
		lost++
		status, answer := w.call(http.MethodGet, alive[0], "/q/"+job, "")
		w.rec.add("LOST: job %s was accepted and has not started, 17 s after the disruption; GET answers %d %s", job, status, answer)
	}
	w.rec.add("%d jobs accepted during and after the disruption, %d never started", len(accepted), lost)
	return lost > 0, nil
}
