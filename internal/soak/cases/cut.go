package cases

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/world"
)

const (
	// cutAfterStart is the time from the start of a task to the cut of its worker. It is too short for a report that proves that the worker
	// has survived the start.
	cutAfterStart = 40 * time.Millisecond
	// cutTime is how long a worker is cut off: longer than its lease, and longer than the registry keeps its entry.
	cutTime = 7 * time.Second
	// startsCutOff is the number of starts after which the worker is cut off.
	startsCutOff = 4
	// afterCuts is the time from the start after the last cut until the job is checked. A task takes less.
	afterCuts = 8 * time.Second
)

// caseCutService cuts off the worker of a task that lasts right after each of its first starts.
func caseCutService(w *world.World, fault bool) (broken bool, err error) {
	const body = `{"spec":"run 600000","steps":[{"count":3,"cpu":1000,"mem_mb":64,"est_ms":1000,"long_running":true,"max_per_server":1}]}`
	answer, err := playCuts(w, "d000000000000001", body, fault)
	if err != nil {
		return false, err
	}
	running := 0
	for _, r := range w.Observed() {
		if r.Ended.IsZero() {
			running++
		}
	}
	w.Record("%d of 3 tasks run", running)
	return strings.Contains(answer, "failed") || running < 3, nil
}

// caseCutTask is caseCutService with tasks that end, after their leases do.
func caseCutTask(w *world.World, fault bool) (broken bool, err error) {
	answer, err := playCuts(w, "d000000000000002", jobBody("run 5000", 3, 5*time.Second), fault)
	return !strings.Contains(answer, "finished"), err
}

// playCuts submits a job of three tasks, cuts off the worker of the last one after each of its first starts, and returns the state of the
// job some time after the last cut. No run may end failed.
func playCuts(w *world.World, id, body string, fault bool) (answer string, err error) {
	if err := begin(w, 9, youngTime, world.NewQueue("q", service, 3)); err != nil {
		return "", err
	}
	var cuts atomic.Int64
	if fault {
		w.OnStart(func(ws *world.Worker, task string) {
			if task != id+".0.0.2" || cuts.Add(1) > startsCutOff {
				return
			}
			time.Sleep(cutAfterStart)
			ws.SetCut(true)
			time.Sleep(cutTime)
			ws.SetCut(false)
		})
	}
	if !w.Submit(0, "/q/"+id, body) {
		return "", fmt.Errorf("the job was not accepted")
	}
	for end := time.Now().Add(50 * time.Second); fault && cuts.Load() <= startsCutOff && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if answer = w.State("/q/" + id); strings.Contains(answer, "failed") || strings.Contains(answer, "finished") {
			return answer, nil
		}
	}
	time.Sleep(afterCuts)
	for _, r := range w.Observed() {
		if r.How == "failed" {
			return "", fmt.Errorf("a run ended failed")
		}
	}
	return w.State("/q/" + id), nil
}
