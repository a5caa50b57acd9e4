package cases

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/world"
)

// caseParts kills the leader of a young deployment while the store is slow. The IDs of the jobs have different first digits.
func caseParts(w *world.World, fault bool) (broken bool, err error) {
	if err := begin(w, 8, youngTime, world.NewQueue("q", service, 3)); err != nil {
		return false, err
	}
	body := jobBody("run 300", 1, 300*time.Millisecond)
	id := func(n int) string { return fmt.Sprintf("%x00000000000000a", n) }
	for n := range 3 {
		if !w.Submit(n, "/q/"+id(n), body) {
			return false, fmt.Errorf("job %s was not accepted", id(n))
		}
	}
	time.Sleep(500 * time.Millisecond)
	alive := w.Nodes()
	if fault {
		w.Record("store: answers take 60 times as long")
		w.Store().SetSlow(60)
		dead := w.Leader()
		w.Record("process %s is killed", dead.Name())
		dead.Kill()
		alive = nil
		for _, n := range w.Nodes() {
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
				status, _ := w.Call(http.MethodPost, alive[(n+attempt)%len(alive)], "/q/"+id(n), body)
				w.Record("client: POST /q/%s: %d", id(n), status)
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
	w.Record("store: answers take as long as usual")
	w.Store().SetSlow(1)
	jobs.Wait()
	time.Sleep(17 * time.Second)
	started := make(map[string]bool)
	for _, r := range w.Observed() {
		started[r.Task.Job] = true
	}
	lost := 0
	for job := range accepted {
		if started[job] {
			continue
		}
		lost++
		status, answer := w.Call(http.MethodGet, alive[0], "/q/"+job, "")
		w.Record("LOST: job %s was accepted and has not started, 17 s after the disruption; GET answers %d %s", job, status, answer)
	}
	w.Record("%d jobs accepted during and after the disruption, %d never started", len(accepted), lost)
	return lost > 0, nil
}
