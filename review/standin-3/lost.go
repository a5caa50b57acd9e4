package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// finishTime is finish_s, and idleTime the time for which a job must have nothing running to count as lost.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// lostJobs returns the accepted jobs that have nothing running for idleTime, although there is capacity for them twice over.
func (w *World) lostJobs() []string {
	idle := make(map[string]bool)
	for until := time.Now().Add(idleTime); ; time.Sleep(50 * time.Millisecond) {
		now := w.idleJobs()
		if len(idle) == 0 {
			idle = now
		}
		for id := range idle {
			if !now[id] {
				delete(idle, id)
			}
		}
		if len(idle) == 0 || time.Now().After(until) {
			break
		}
	}
	w.mu.Lock()
	accepted := 0
	for _, j := range w.jobs {
		if !j.Accepted.IsZero() {
			accepted++
		}
	}
	w.Record("%d jobs were submitted, %d accepted; policy service: %d calls answered, %d given up by the caller, %d turned away", len(w.jobs), accepted, w.advised, w.givenUp, w.turnedAway)
	lost := make([]*Job, 0, len(idle))
	for id := range idle {
		lost = append(lost, w.jobs[id])
	}
	w.mu.Unlock()
	violations := make([]string, 0, len(lost))
	for _, j := range lost {
		violations = append(violations, fmt.Sprintf("LOST: job %s, accepted %s ago, has had nothing running for %s; state %q", j.ID, time.Since(j.Accepted).Round(time.Second), idleTime, w.State(j)))
	}
	return violations
}

// idleJobs returns the accepted jobs that are not done, of which nothing runs, and for a task of which two workers that the policy allows have
// room, while under half of the capacity is in use.
func (w *World) idleJobs() map[string]bool {
	var total, used int64
	free := make(map[string]Resources)
	for _, ws := range w.workers {
		u := ws.Used()
		total += ws.capacity.CPU
		used += u.CPU
		free[ws.id] = Resources{ws.capacity.CPU - u.CPU, ws.capacity.Memory - u.Memory, 0}
	}
	idle := make(map[string]bool)
	if 2*used >= total {
		return idle
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	done, running := make(map[string]int), make(map[string]bool)
	for _, r := range w.runs {
		id, _, _ := strings.Cut(r.Task, ".")
		switch {
		case r.Ended.IsZero():
			running[id] = true
		case r.How == "done":
			done[id]++
		}
	}
	for id, j := range w.jobs {
		step, left := j.firstLeft(done[id])
		if j.Accepted.IsZero() || running[id] || !left {
			continue
		}
		room := 0
		for worker, left := range free {
			if j.Steps[step].fits(left) && (!j.advised || allowed(fmt.Sprintf("%s.0.%d", id, step), worker)) {
				room++
			}
		}
		if room >= 2 {
			idle[id] = true
		}
	}
	return idle
}

// firstLeft returns the first step of a job that is not done, of which all steps are in a row. It reports false if there is none.
func (j *Job) firstLeft(done int) (step int, left bool) {
	for i := range j.Steps {
		if done < j.Steps[i].Count {
			return i, true
		}
		done -= j.Steps[i].Count
	}
	return 0, false
}
