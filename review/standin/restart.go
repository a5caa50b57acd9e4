package main

import (
	"fmt"
	"sync"
	"sync/atomic"

	"strings"
	"time"
)

// addService adds workers of the service, four to a rack.
func (w *world) addService(n int) error {
	for i := range n {
		if _, err := w.addWorker(fmt.Sprintf("w%d", i+1), service, fmt.Sprintf("z%d", i%3+1), fmt.Sprintf("r%d", i/4+1), fmt.Sprintf("m%d", i+1)); err != nil {
			return err
		}
	}
	return nil
}

// jobID returns the ID of the n-th job of a case. The first digit changes from job to job.
func jobID(n int) string { return fmt.Sprintf("%x%015x", n%16, n+1) }

func jobBody(spec string, count int, est time.Duration) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"mem_mb":64,"est_ms":%d}]}`, spec, count, est.Milliseconds())
}

// justEnded returns the worker with the most ends that are not taken note of yet.
func (w *world) justEnded() *workerServer {
	w.mu.Lock()
	workers := w.workers
	w.mu.Unlock()
	var best *workerServer
	most := 0
	for _, ws := range workers {
		ws.mu.Lock()
		n := len(ws.ended)
		down := ws.down
		ws.mu.Unlock()
		if !down && n > most {
			best, most = ws, n
		}
	}
	return best
}

// repeated counts the starts of tasks after a run of them that has ended done and whose end was taken note of, and records each.
func (w *world) repeated() int {
	runs := w.observed()
	n := 0
	for _, first := range runs {
		if first.how != "done" || !first.acked {
			continue
		}
		for _, later := range runs {
			if later.task == first.task && later.begun.After(first.ended) {
				n++
				w.rec.add("TWICE: task %s ended done as run %d on %s, taken note of; run %d started %.3f s later on %s", first.task, first.number, first.worker, later.number, later.begun.Sub(first.ended).Seconds(), later.worker)
			}
		}
	}
	return n
}

// caseReack restarts workers under their IDs while answers of the store are lost.
func caseReack(w *world, trouble bool) (broken bool, err error) {
	if err := w.addService(8); err != nil {
		return false, err
	}
	w.configure([]string{service}, newQueue("q", 3))
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var steps []step
	if trouble {
		for _, from := range []time.Duration{3 * time.Second, 11 * time.Second} {
			steps = append(steps, step{from, func() {
				w.rec.add("store: 35 of 100 writes are done and not answered")
				w.store.setLost(0.35)
			}})
			for i := range 5 {
				steps = append(steps, step{from + 500*time.Millisecond + time.Duration(i)*800*time.Millisecond, func() {
					if ws := w.justEnded(); ws != nil {
						go ws.crash(200 * time.Millisecond)
					}
				}})
			}
			steps = append(steps, step{from + 4500*time.Millisecond, func() {
				w.rec.add("store: all writes are answered")
				w.store.setLost(0)
			}})
		}
	}
	w.load(20*time.Second, 120*time.Millisecond, jobBody("run 400", 8, 400*time.Millisecond), steps)
	time.Sleep(6 * time.Second)
	return w.repeated() > 0, nil
}

// step is a part of a disruption, and the time at which it comes.
type step struct {
	at time.Duration
	do func()
}

// load hands in a job each gap for a time, and disrupts meanwhile. It returns when all jobs have been answered.
func (w *world) load(duration, gap time.Duration, body string, steps []step) {
	var jobs sync.WaitGroup
	var accepted atomic.Int64
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	begin, sent := time.Now(), 0
	for range ticker.C {
		since := time.Since(begin)
		if since > duration {
			break
		}
		n := sent
		sent++
		jobs.Go(func() {
			if w.submit(n%3, "/q/"+jobID(n), body) {
				accepted.Add(1)
			}
		})
		for len(steps) > 0 && since >= steps[0].at {
			steps[0].do()
			steps = steps[1:]
		}
	}
	jobs.Wait()
	w.rec.add("%d jobs sent, %d accepted", sent, accepted.Load())
}

// caseFlap lets the only worker with a label go down and up by turns while a job runs there.
func caseFlap(w *world, trouble bool) (broken bool, err error) {
	if err := w.addService(9); err != nil {
		return false, err
	}
	special, err := w.addWorker("w10", service, "z1", "r9", "m10")
	if err != nil {
		return false, err
	}
	w.configure([]string{service}, newQueue("q", 3))
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	const id = "a000000000000001"
	if !w.submit(0, "/q/"+id, strings.Replace(jobBody("run 2500", 1, 2500*time.Millisecond), `"cpu"`, `"requires":"r9","cpu"`, 1)) {
		return false, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.rec.add("worker w10 goes down and up by turns")
		life := 2
		for begin := time.Now(); time.Since(begin) < 6500*time.Millisecond; {
			special.crashAs(fmt.Sprintf("w10-%d", life), 500*time.Millisecond)
			life++
			time.Sleep(900 * time.Millisecond)
		}
		w.rec.add("worker w10 stays up")
	}
	answer := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		answer = w.state("/q/" + id)
		if strings.Contains(answer, "finished") || strings.Contains(answer, "failed") {
			break
		}
	}
	for _, r := range w.observed() {
		if r.how == "failed" {
			return false, fmt.Errorf("a run ended failed")
		}
	}
	return strings.Contains(answer, "failed"), nil
}

// caseAck lets workers lose power and start again under their IDs while short tasks run.
func caseAck(w *world, trouble bool) (broken bool, err error) {
	if err := w.addService(8); err != nil {
		return false, err
	}
	w.configure([]string{service}, newQueue("q", 3))
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var steps []step
	if trouble {
		for i := range 3 {
			steps = append(steps, step{3*time.Second + time.Duration(i)*4*time.Second, func() {
				if ws := w.busiest(); ws != nil {
					go ws.crashDark(1200 * time.Millisecond)
				}
			}})
		}
	}
	w.load(16*time.Second, 60*time.Millisecond, jobBody("run 60", 4, 60*time.Millisecond), steps)
	time.Sleep(8 * time.Second)
	return w.repeated() > 0, nil
}

// caseLasting restarts, three times, the worker on which a task that lasts runs.
func caseLasting(w *world, trouble bool) (broken bool, err error) {
	if err := w.addService(8); err != nil {
		return false, err
	}
	w.configure([]string{service}, newQueue("q", 3))
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	const id = "c000000000000001"
	body := `{"spec":"run 600000","steps":[{"count":2,"cpu":1000,"mem_mb":64,"est_ms":1000,"long_running":true,"max_per_server":1}]}`
	if !w.submit(0, "/q/"+id, body) {
		return false, fmt.Errorf("the job was not accepted")
	}
	const task = id + ".0.0.0"
	for crashes := 0; trouble && crashes < 3; crashes++ {
		ws, err := w.waitRunning(task, 10*time.Second)
		if err != nil {
			return false, err
		}
		time.Sleep(2500 * time.Millisecond)
		ws.crash(500 * time.Millisecond)
	}
	time.Sleep(15 * time.Second)
	answer := w.state("/q/" + id)
	running := 0
	for _, r := range w.observed() {
		if r.how == "failed" {
			return false, fmt.Errorf("a run ended failed")
		}
		if r.ended.IsZero() {
			running++
		}
	}
	w.rec.add("%d of 2 tasks run, 15 s after the last disruption", running)
	return strings.Contains(answer, "failed") || running < 2, nil
}

// waitRunning waits until a task runs, and returns its worker.
func (w *world) waitRunning(task string, limit time.Duration) (*workerServer, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, ws := range w.workers {
			ws.mu.Lock()
			_, ok := ws.running[task]
			ws.mu.Unlock()
			if ok {
				return ws, nil
			}
		}
	}
	return nil, fmt.Errorf("task %s does not run", task)
}

// busiest returns the worker on which most tasks run.
func (w *world) busiest() *workerServer {
	var best *workerServer
	most := 0
	for _, ws := range w.workers {
		ws.mu.Lock()
		n := len(ws.running)
		ws.mu.Unlock()
		if n > most {
			best, most = ws, n
		}
	}
	return best
}
