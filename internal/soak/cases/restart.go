package cases

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
	"github.com/chivetiller/chivetiller/internal/soak/world"
)

// jobID returns the ID of the n-th job of a case. The first digit changes from job to job.
func jobID(n int) string { return fmt.Sprintf("%x%015x", n%16, n+1) }

// shortJob is a job of one short task.
var shortJob = jobBody("run 300", 1, 300*time.Millisecond)

func jobBody(spec string, count int, est time.Duration) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"mem_mb":64,"est_ms":%d}]}`, spec, count, est.Milliseconds())
}

// justEnded returns the worker with the most ends that are not taken note of yet.
func justEnded(w *world.World) *world.Worker { return highest(w, (*world.Worker).Unacknowledged) }

// busiest returns the worker on which most tasks run.
func busiest(w *world.World) *world.Worker { return highest(w, (*world.Worker).Load) }

// highest returns the worker with the highest count, and nil if all are 0.
func highest(w *world.World, count func(*world.Worker) int) (best *world.Worker) {
	most := 0
	for _, ws := range w.Workers() {
		if n := count(ws); n > most {
			best, most = ws, n
		}
	}
	return best
}

// violates records the violations of promises, and reports whether there are any.
func violates(w *world.World, names ...promises.Promise) (found bool) {
	for _, v := range promises.Check(w.History(), promises.DefaultBounds()) {
		if !slices.Contains(names, v.Promise) {
			continue
		}
		for _, violation := range v.Violations {
			found = true
			w.Record("BROKEN: %s: %s", v.Promise, violation.Text)
		}
	}
	return found
}

// caseReack restarts workers under their IDs while answers of the store are lost.
func caseReack(w *world.World, fault bool) (broken bool, err error) {
	if err := begin(w, 8, youngTime, world.NewQueue("q", service, 3)); err != nil {
		return false, err
	}
	var steps []step
	if fault {
		for _, from := range []time.Duration{3 * time.Second, 11 * time.Second} {
			steps = append(steps, step{from, func() {
				w.Record("store: 35 of 100 writes are done and not answered")
				w.Store().SetLost(0.35)
			}})
			for i := range 5 {
				steps = append(steps, step{from + 500*time.Millisecond + time.Duration(i)*800*time.Millisecond, func() {
					if ws := justEnded(w); ws != nil {
						go ws.Crash(200 * time.Millisecond)
					}
				}})
			}
			steps = append(steps, step{from + 4500*time.Millisecond, func() {
				w.Record("store: all writes are answered")
				w.Store().SetLost(0)
			}})
		}
	}
	load(w, 20*time.Second, 120*time.Millisecond, jobBody("run 400", 8, 400*time.Millisecond), steps)
	time.Sleep(6 * time.Second)
	return violates(w, promises.NoneAfterDone), nil
}

// step is a part of a disruption, and the time at which it comes.
type step struct {
	at time.Duration
	do func()
}

// load hands in a job each gap for a time, and disrupts meanwhile. It returns the accepted jobs when all have been answered.
func load(w *world.World, duration, gap time.Duration, body string, steps []step) (accepted []string) {
	var mu sync.Mutex
	var jobs sync.WaitGroup
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
			if w.Submit(n%3, "/q/"+jobID(n), body) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, jobID(n))
			}
		})
		for len(steps) > 0 && since >= steps[0].at {
			steps[0].do()
			steps = steps[1:]
		}
	}
	jobs.Wait()
	w.Record("%d jobs sent, %d accepted", sent, len(accepted))
	return accepted
}

// caseFlap lets the only worker with a label go down and up by turns while a job runs there.
func caseFlap(w *world.World, fault bool) (broken bool, err error) {
	if err := begin(w, 9, youngTime, world.NewQueue("q", service, 3)); err != nil {
		return false, err
	}
	special, err := w.AddWorker("w10", service, "z1", "r9", "m10")
	if err != nil {
		return false, err
	}
	time.Sleep(youngTime)
	const id = "a000000000000001"
	if !w.Submit(0, "/q/"+id, strings.Replace(jobBody("run 2500", 1, 2500*time.Millisecond), `"cpu"`, `"requires":"r9","cpu"`, 1)) {
		return false, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if fault {
		w.Record("worker w10 goes down and up by turns")
		life := 2
		for begin := time.Now(); time.Since(begin) < 6500*time.Millisecond; {
			special.CrashAs(fmt.Sprintf("w10-%d", life), 500*time.Millisecond)
			life++
			time.Sleep(900 * time.Millisecond)
		}
		w.Record("worker w10 stays up")
	}
	answer := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		answer = w.State("/q/" + id)
		if strings.Contains(answer, "finished") || strings.Contains(answer, "failed") {
			break
		}
	}
	for _, r := range w.Observed() {
		if r.How == "failed" {
			return false, fmt.Errorf("a run ended failed")
		}
	}
	return strings.Contains(answer, "failed"), nil
}

// caseAck lets workers lose power and start again under their IDs while short tasks run.
func caseAck(w *world.World, fault bool) (broken bool, err error) {
	if err := begin(w, 8, youngTime, world.NewQueue("q", service, 3)); err != nil {
		return false, err
	}
	var steps []step
	if fault {
		for i := range 3 {
			steps = append(steps, step{3*time.Second + time.Duration(i)*4*time.Second, func() {
				if ws := busiest(w); ws != nil {
					go ws.LosePower(1200 * time.Millisecond)
				}
			}})
		}
	}
	load(w, 16*time.Second, 60*time.Millisecond, jobBody("run 60", 4, 60*time.Millisecond), steps)
	time.Sleep(8 * time.Second)
	return violates(w, promises.NoneAfterDone), nil
}

// caseLasting restarts, three times, the worker on which a task that lasts runs.
func caseLasting(w *world.World, fault bool) (broken bool, err error) {
	if err := begin(w, 8, youngTime, world.NewQueue("q", service, 3)); err != nil {
		return false, err
	}
	const id = "c000000000000001"
	body := `{"spec":"run 600000","steps":[{"count":2,"cpu":1000,"mem_mb":64,"est_ms":1000,"long_running":true,"max_per_server":1}]}`
	if !w.Submit(0, "/q/"+id, body) {
		return false, fmt.Errorf("the job was not accepted")
	}
	const task = id + ".0.0.0"
	for crashes := 0; fault && crashes < 3; crashes++ {
		ws, err := waitRunning(w, task, 10*time.Second)
		if err != nil {
			return false, err
		}
		time.Sleep(2500 * time.Millisecond)
		ws.Crash(500 * time.Millisecond)
	}
	time.Sleep(15 * time.Second)
	answer := w.State("/q/" + id)
	running := 0
	for _, r := range w.Observed() {
		if r.How == "failed" {
			return false, fmt.Errorf("a run ended failed")
		}
		if r.Ended.IsZero() {
			running++
		}
	}
	w.Record("%d of 2 tasks run, 15 s after the last disruption", running)
	return strings.Contains(answer, "failed") || running < 2, nil
}

// waitRunning waits until a task runs, and returns its worker.
func waitRunning(w *world.World, task string, limit time.Duration) (*world.Worker, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, ws := range w.Workers() {
			if ws.Runs(task) {
				return ws, nil
			}
		}
	}
	return nil, fmt.Errorf("task %s does not run", task)
}
