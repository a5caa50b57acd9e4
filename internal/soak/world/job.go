package world

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

// Job is a job of a client.
type Job struct {
	promises.Job
	// Estimate is the estimate of the duration of each task.
	Estimate time.Duration
	// First and Interval are the due time of the first occurrence and the time between two, of a job with occurrences.
	First    time.Time
	Interval time.Duration
}

type wireStep struct {
	resources
	Count        int    `json:"count"`
	Estimate     int64  `json:"est_ms"`
	After        []int  `json:"after,omitempty"`
	Gang         bool   `json:"all_or_none,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
	Requires     string `json:"requires,omitempty"`
	MaxPerWorker int    `json:"max_per_server,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`
}

// body returns the body of the submission.
func (j Job) body() (string, error) {
	steps := make([]wireStep, 0, len(j.Steps))
	for _, s := range j.Steps {
		steps = append(steps, wireStep{
			resources: resources(s.Needs), Count: s.Count, Estimate: j.Estimate.Milliseconds(), After: s.After, Gang: s.Gang,
			LongRunning: s.LongRunning, Speculative: s.Speculative, Requires: s.Requires, MaxPerWorker: s.MaxPerWorker, MayMiss: s.MayMiss,
		})
	}
	body := map[string]any{"spec": j.Spec, "steps": steps}
	if j.Occurrences > 0 {
		body["times"], body["first_ms"], body["interval_ms"] = j.Occurrences, j.First.UnixMilli(), j.Interval.Milliseconds()
	}
	data, err := json.Marshal(body)
	return string(data), err
}

// parseJob returns the job that a body submits.
func parseJob(path, body string) (Job, error) {
	var wire struct {
		Spec  string     `json:"spec"`
		Steps []wireStep `json:"steps"`
	}
	if err := json.Unmarshal([]byte(body), &wire); err != nil {
		return Job{}, err
	}
	queue, id, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	j := Job{Job: promises.Job{ID: id, Queue: queue, Spec: wire.Spec}}
	for _, s := range wire.Steps {
		j.Steps = append(j.Steps, promises.Step{
			Count: s.Count, Needs: promises.Resources(s.resources), After: s.After, Gang: s.Gang, LongRunning: s.LongRunning,
			Speculative: s.Speculative, Requires: s.Requires, MaxPerWorker: s.MaxPerWorker, MayMiss: s.MayMiss,
		})
	}
	return j, nil
}

// step returns the step of a task, if a client has submitted its job.
func (w *World) step(t promises.Task) (step promises.Step, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[t.Job]
	if !ok || t.Step >= len(j.Steps) {
		return promises.Step{}, false
	}
	return j.Steps[t.Step], true
}
