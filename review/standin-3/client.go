package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// callTimeout is how long a client waits for an answer.
	callTimeout = 3 * time.Second
	// maxAttempts is how often a client sends a request, each time to another process.
	maxAttempts = 4
	retryPause  = 100 * time.Millisecond
)

// send sends a request once. The status is 0 if there was no answer.
func (w *World) send(method string, n *Node, path, body string) (status int, answer string, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = jobsHost
	request.Header.Set(keyHeader, apiKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Chivetiller-Timeout-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		w.Record("client: %s %s at %s: %v", method, path, n.name, err)
		return 0, "", 0
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		w.Record("client: %s %s at %s: %v", method, path, n.name, err)
		return 0, "", 0
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	w.Record("client: %s %s at %s: %d %s", method, path, n.name, response.StatusCode, data)
	return response.StatusCode, string(data), time.Duration(seconds) * time.Second
}

// Submit submits a job, again after no answer, 429, 502, 503 or 504.
func (w *World) Submit(first int, j *Job) {
	body, err := json.Marshal(map[string]any{"spec": j.Spec, "steps": j.Steps})
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	for attempt := range maxAttempts {
		status, _, retryAfter := w.send(http.MethodPost, w.nodes[(first+attempt)%len(w.nodes)], "/"+j.Queue+"/"+j.ID, string(body))
		w.mu.Lock()
		j.Answers = append(j.Answers, status)
		if status/100 == 2 {
			j.Accepted = time.Now()
		}
		w.mu.Unlock()
		if status != 0 && status != http.StatusTooManyRequests && status/100 != 5 {
			return
		}
		time.Sleep(max(retryPause, retryAfter))
	}
}

// State returns the state of a job, and "" if it is not answered.
func (w *World) State(j *Job) string {
	for attempt := range maxAttempts {
		status, body, _ := w.send(http.MethodGet, w.nodes[attempt%len(w.nodes)], "/"+j.Queue+"/"+j.ID, "")
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil {
			return answer.State
		}
		time.Sleep(retryPause)
	}
	return ""
}
