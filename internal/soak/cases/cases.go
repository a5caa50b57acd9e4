package cases

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
	"github.com/chivetiller/chivetiller/internal/soak/world"
)

const (
	service = "desk"
	// settleTime is how long a case waits after the start, until the leader has reached all workers.
	settleTime = 5 * time.Second
	// youngTime is how long a case waits that acts on a young deployment.
	youngTime = 2 * time.Second
	// finishTime is finish_s: how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
)

// workersPerRack is the number of workers of a rack.
const workersPerRack = 4

// begin starts workers and processes, and waits.
func begin(w *world.World, workers int, settle time.Duration, queues ...world.Queue) error {
	if err := w.AddWorkers(workers, workersPerRack, service); err != nil {
		return err
	}
	w.Configure([]string{service}, queues...)
	if err := w.StartNodes(); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// countUnserved returns how many accepted jobs have not begun finishTime after the end of the traffic, with all workers idle.
func countUnserved(w *world.World, q world.Queue, accepted []string) int {
	time.Sleep(finishTime)
	begun := make(map[string]bool)
	for _, r := range w.Observed() {
		begun[r.Task.Job] = true
	}
	unserved := 0
	for _, id := range accepted {
		if !begun[id] {
			unserved++
			w.Record("job %s was accepted and no worker was ever told to start its task; its state: %s", id, w.State(q.Prefix+id))
		}
	}
	w.Record("accepted: %d, never begun: %d", len(accepted), unserved)
	return unserved
}

// caseLost restarts the leader while the store is slow and the first jobs of the day come in.
func caseLost(w *world.World, fault bool) (bool, error) {
	q := world.NewQueue("q", service, 3)
	if err := begin(w, 8, settleTime, q); err != nil {
		return false, err
	}
	var restart sync.WaitGroup
	var restartErr error
	if fault {
		w.Record("store: answers take 60 times as long, for 4.5 s")
		w.Store().SetSlow(60)
		time.AfterFunc(4500*time.Millisecond, func() { w.Store().SetSlow(1) })
		restart.Go(func() { restartErr = w.Leader().Restart() })
	}
	time.Sleep(800 * time.Millisecond)
	accepted := load(w, 4*time.Second, 40*time.Millisecond, shortJob, nil)
	restart.Wait()
	if restartErr != nil || len(accepted) == 0 {
		return false, errors.Join(restartErr, errors.New("traffic or restart failed"))
	}
	return countUnserved(w, q, accepted) > 0, nil
}

// caseWaves requests the maintenance of 60 machines with a wave for each.
func caseWaves(w *world.World, fault bool) (bool, error) {
	const machines = 60
	q := world.NewQueue("q", service, 3)
	if err := begin(w, machines, settleTime, q); err != nil {
		return false, err
	}
	if fault {
		for i := range machines {
			w.RequestWave(i+1, 1, time.Minute, []string{fmt.Sprintf("m%d", i+1)})
		}
		w.Record("operator: %d waves, one for each machine", machines)
	}
	time.Sleep(time.Second)
	accepted := load(w, 3*time.Second, 50*time.Millisecond, shortJob, nil)
	if len(accepted) == 0 {
		return false, errors.New("no job was accepted")
	}
	unserved := countUnserved(w, q, accepted)
	w.Record("transactions that the store refused for their size: %d", w.Store().Refused())
	return unserved > 0, nil
}

// caseTwice lets a worker crash and start again under its ID, and cuts it off shortly after.
func caseTwice(w *world.World, fault bool) (bool, error) {
	q := world.NewQueue("q", service, 3)
	if err := begin(w, 8, settleTime, q); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	first := w.Workers()[0]
	if fault {
		first.Crash(time.Second)
		time.Sleep(1200 * time.Millisecond)
	}
	id := jobID(0)
	if !w.Submit(0, q.Prefix+id, strings.Replace(jobBody("run 9000", 1, 9*time.Second), `"cpu"`, fmt.Sprintf(`"requires":%q,"cpu"`, first.Rack()), 1)) {
		return false, errors.New("the job was not accepted")
	}
	var started bool
	for range 200 {
		if runs := w.Observed(); len(runs) > 0 {
			if runs[0].Worker != first.ID() {
				return false, fmt.Errorf("the task was started on %s", runs[0].Worker)
			}
			started = true
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if !started {
		return false, errors.New("the task was not started")
	}
	if fault {
		time.Sleep(300 * time.Millisecond)
		first.SetCut(true)
		time.Sleep(5500 * time.Millisecond)
		first.SetCut(false)
	}
	time.Sleep(12 * time.Second)
	w.State(q.Prefix + id)
	return violates(w, promises.OneRun), nil
}

// caseBudget removes a queue from the configuration while a job that cannot be done is at work.
func caseBudget(w *world.World, fault bool) (bool, error) {
	const attempts = 2
	q, other := world.NewQueue("q", service, attempts), world.NewQueue("audit", service, attempts)
	if err := begin(w, 8, settleTime, q, other); err != nil {
		return false, err
	}
	id := jobID(0)
	if !w.Submit(0, q.Prefix+id, jobBody("fail 1200", 1, 1200*time.Millisecond)) {
		return false, errors.New("the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if fault {
		w.Configure([]string{service}, other)
	}
	time.Sleep(25 * time.Second)
	if !fault {
		w.State(q.Prefix + id)
	}
	failed, broken := 0, false
	var last time.Time
	for _, r := range w.Observed() {
		if failed >= attempts && r.Begun.After(last) {
			broken = true
			w.Record("task %s: run %d starts on %s after %d runs have ended failed, all taken note of; attempts is %d", r.Task, r.Number, r.Worker, failed, attempts)
		}
		if r.How == promises.Failed && r.Acked {
			failed++
			last = r.Ended
		}
	}
	return broken, nil
}
