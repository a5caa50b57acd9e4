package cases

import (
	"errors"
	"strings"
	"syscall"
	"time"
)

const (
	// stillTime and runTime are how long a process that is short of processor stands still and runs by turns.
	stillTime = 45 * time.Millisecond
	runTime   = 5 * time.Millisecond
)

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Signal(s)
}

// pause makes the process stand still for a time.
func (n *node) pause(d time.Duration) error {
	if err := n.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return n.signal(syscall.SIGCONT)
}

// casePaused pauses one leader after the other, each for as long as its term lasts without a confirmation or longer.
func casePaused(w *world, fault bool) (broken bool, err error) {
	return w.playPauses(fault, func() error {
		for _, d := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 5 * time.Second, 700 * time.Millisecond, 4 * time.Second} {
			n := w.leader()
			w.rec.add("process %s stands still for %s", n.name, d)
			if err := n.pause(d); err != nil {
				return err
			}
			time.Sleep(time.Second)
		}
		return nil
	})
}

// caseSlowLeader lets the leader run for a tenth of the time only.
func caseSlowLeader(w *world, fault bool) (broken bool, err error) {
	return w.playPauses(fault, func() error {
		n := w.leader()
		w.rec.add("process %s runs for a tenth of the time", n.name)
		for end := time.Now().Add(18 * time.Second); time.Now().Before(end); time.Sleep(runTime) {
			if err := n.pause(stillTime); err != nil {
				return err
			}
		}
		return nil
	})
}

// playPauses hands in a job that lasts and short ones while processes are paused. It reports whether a task ran twice, a job has failed or
// was lost, or tasks that last do not run in the end.
func (w *world) playPauses(fault bool, disturb func() error) (broken bool, err error) {
	const (
		lasting = "/q/f000000000000001"
		tasks   = 12
	)
	if err := w.addService(9); err != nil {
		return false, err
	}
	q := newQueue("q", 3)
	w.configure([]string{service}, q)
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	body := strings.Replace(jobBody("run 600000", tasks, time.Second), `"cpu"`, `"long_running":true,"cpu"`, 1)
	if !w.submit(0, lasting, body) {
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
	accepted := w.traffic(q, 400, 60*time.Millisecond)
	if err := <-disturbed; err != nil {
		return false, err
	}
	if len(accepted) == 0 {
		return false, errors.New("no job was accepted")
	}
	time.Sleep(finishTime)
	for _, id := range accepted {
		if state := w.state(q.Prefix + id); !strings.Contains(state, "finished") {
			broken = true
			w.rec.add("LOST: job %s was accepted and is %s", id, state)
		}
	}
	running := 0
	for _, r := range w.observed() {
		if strings.HasPrefix(lasting, "/q/"+r.task[:16]) && r.ended.IsZero() {
			running++
		}
	}
	state := w.state(lasting)
	w.rec.add("%d of %d tasks that last run; their job: %s", running, tasks, state)
	broken = broken || running < tasks || strings.Contains(state, "failed")
	overlap := w.overlap()
	return w.repeated() > 0 || overlap || broken, nil
}
