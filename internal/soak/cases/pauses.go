package cases

import (
	"errors"
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
	"github.com/chivetiller/chivetiller/internal/soak/world"
)

const (
	// stillTime and runTime are how long a process that is short of processor stands still and runs by turns.
	stillTime = 45 * time.Millisecond
	runTime   = 5 * time.Millisecond
)

// casePaused pauses one leader after the other, each for as long as its term lasts without a confirmation or longer.
func casePaused(w *world.World, fault bool) (broken bool, err error) {
	return playPauses(w, fault, func() error {
		for _, d := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 5 * time.Second, 700 * time.Millisecond, 4 * time.Second} {
			n := w.Leader()
			w.Record("process %s stands still for %s", n.Name(), d)
			if err := n.Pause(d); err != nil {
				return err
			}
			time.Sleep(time.Second)
		}
		return nil
	})
}

// caseSlowLeader lets the leader run for a tenth of the time only.
func caseSlowLeader(w *world.World, fault bool) (broken bool, err error) {
	return playPauses(w, fault, func() error {
		n := w.Leader()
		w.Record("process %s runs for a tenth of the time", n.Name())
		for end := time.Now().Add(18 * time.Second); time.Now().Before(end); time.Sleep(runTime) {
			if err := n.Pause(stillTime); err != nil {
				return err
			}
		}
		return nil
	})
}

// playPauses hands in a job that lasts and short ones while processes are paused. It reports whether a task ran twice, a job has failed or
// was lost, or tasks that last do not run in the end.
func playPauses(w *world.World, fault bool, disturb func() error) (broken bool, err error) {
	const (
		lasting = "/q/f000000000000001"
		tasks   = 12
	)
	q := world.NewQueue("q", service, 3)
	if err := begin(w, 9, youngTime, q); err != nil {
		return false, err
	}
	body := strings.Replace(jobBody("run 600000", tasks, time.Second), `"cpu"`, `"long_running":true,"cpu"`, 1)
	if !w.Submit(0, lasting, body) {
		return false, errors.New("the job was not accepted")
	}
	disturbed := make(chan error, 1)
	go func() {
		if !fault {
			disturbed <- nil
			return
		}
		time.Sleep(2 * time.Second)
		disturbed <- disturb()
	}()
	accepted := load(w, 24*time.Second, 60*time.Millisecond, shortJob, nil)
	if err := <-disturbed; err != nil {
		return false, err
	}
	if len(accepted) == 0 {
		return false, errors.New("no job was accepted")
	}
	time.Sleep(finishTime)
	for _, id := range accepted {
		if state := w.State(q.Prefix + id); !strings.Contains(state, "finished") {
			broken = true
			w.Record("LOST: job %s was accepted and is %s", id, state)
		}
	}
	running := 0
	for _, r := range w.Observed() {
		if strings.HasPrefix(lasting, "/q/"+r.Task.Job) && r.Ended.IsZero() {
			running++
		}
	}
	state := w.State(lasting)
	w.Record("%d of %d tasks that last run; their job: %s", running, tasks, state)
	broken = broken || running < tasks || strings.Contains(state, "failed")
	return violates(w, promises.OneRun, promises.NoneAfterDone) || broken, nil
}
