package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/world"
)

// restartedJob is the ID of the job of playRestarted.
const restartedJob = "00000000000000c1"

// runningOn returns the worker on which a task of the job is at work, and nil if there is none.
func runningOn(w *world.World) *world.Worker {
	for _, r := range w.Observed() {
		if r.Task.Job != restartedJob || !r.Ended.IsZero() {
			continue
		}
		for _, ws := range w.Workers() {
			if ws.ID() == r.Worker {
				return ws
			}
		}
	}
	return nil
}

// playRestarted restarts the workers of a rack one after the other, lets one of them be lost for good while a task is at work on it, and
// kills the leader. The other workers of the rack are sound and empty.
func playRestarted(w *world.World, trouble bool) (bool, error) {
	const (
		workers = 8
		rack    = "r1"
		// finish is finish_s, and idle how long a job may then have nothing running.
		finish   = 14 * time.Second
		idle     = 3 * time.Second
		downTime = 500 * time.Millisecond
		between  = time.Second
		lostFor  = 100 * time.Second
		killTime = 1500 * time.Millisecond
		watch    = 40 * time.Second
		interval = 50 * time.Millisecond
	)
	q := world.NewQueue("q", service, 3)
	if err := begin(w, workers, q); err != nil {
		return false, err
	}
	for _, ws := range w.Workers() {
		if trouble && ws.Rack() == rack {
			ws.Crash(downTime)
			time.Sleep(between)
		}
	}
	body := fmt.Sprintf(`{"spec":"run 3000","steps":[{"count":1,"cpu":1000,"mem_mb":64,"est_ms":3000,"requires":%q}]}`, rack)
	if !w.Submit(0, q.Prefix+restartedJob, body) {
		return false, errors.New("the job was not accepted")
	}
	traffic := time.Now()
	for runningOn(w) == nil {
		if time.Since(traffic) > finish {
			return false, errors.New("the task was not started")
		}
		time.Sleep(interval)
	}
	if trouble {
		time.Sleep(between)
		go runningOn(w).LosePower(lostFor)
		time.Sleep(downTime)
		n := w.Leader()
		n.Kill()
		time.Sleep(killTime)
		if err := n.Start(); err != nil {
			return false, err
		}
	}
	var since time.Time
	for time.Since(traffic) < watch {
		time.Sleep(interval)
		switch {
		case runningOn(w) != nil:
			since = time.Time{}
		case strings.Contains(state(w, q.Prefix+restartedJob), "finished"):
			w.Record("job %s is finished %s after the end of the traffic", restartedJob, time.Since(traffic))
			return false, nil
		case time.Since(traffic) < finish:
		case since.IsZero():
			since = time.Now()
		case time.Since(since) > idle:
			w.Record("job %s has had nothing running for %s, %s after the end of the traffic; two workers of its rack are sound and empty", restartedJob, time.Since(since), time.Since(traffic))
			for time.Since(traffic) < watch && runningOn(w) == nil {
				time.Sleep(interval)
			}
			w.Record("its task is at work again or given up %s after the end of the traffic", time.Since(traffic))
			return true, nil
		}
	}
	return false, nil
}

// state returns the answer about a job of the first process that gives one.
func state(w *world.World, path string) string {
	for _, n := range w.Nodes() {
		if status, answer := w.Call("GET", n, path, ""); status == 200 {
			return answer
		}
	}
	return ""
}
