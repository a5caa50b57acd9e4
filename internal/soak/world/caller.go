package world

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/link"
	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

const (
	// callTimeout is how long a client waits for an answer.
	callTimeout = 3 * time.Second
	// maxAttempts is how often a client sends the same request, each time to another process.
	maxAttempts = 4
	retryPause  = 100 * time.Millisecond
	// maxRetryAfter bounds the pause that an answer asks for.
	maxRetryAfter = time.Second
)

// Caller is a client that keeps its connections open.
type Caller struct {
	w      *World
	client *http.Client
	// home is the number of the process that gets the first attempt.
	home int
}

// NewCaller returns a client of a process.
func (w *World) NewCaller(home int) *Caller {
	return &Caller{w: w, home: home, client: &http.Client{Transport: &http.Transport{DialContext: link.Dial, MaxIdleConnsPerHost: 2, DisableCompression: true}}}
}

// reply is the answer to one attempt.
type reply struct {
	status     int
	body       string
	brokenOff  bool
	unread     bool
	retryAfter time.Duration
}

func (r reply) refused() bool {
	return r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
}

// unknown means that the request may have been carried out.
func (r reply) unknown() bool {
	return r.status == 0 || r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout
}

// shown returns the body, or what became of the connection, for the record.
func (r reply) shown() string {
	switch {
	case r.unread:
		return "connection reset"
	case r.brokenOff:
		return "answer broken off"
	}
	return r.body
}

func (r reply) answer() promises.Answer {
	a := promises.Answer{Status: r.status, BrokenOff: r.brokenOff, Unread: r.unread}
	var shown struct {
		State promises.State `json:"state"`
	}
	if r.status == http.StatusOK && json.Unmarshal([]byte(r.body), &shown) == nil {
		a.State = shown.State
	}
	return a
}

// send sends a request once.
func (c *Caller) send(method string, n *Node, path, key, body string) reply {
	r := c.exchange(method, n, path, key, body)
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.w.answers[r.status]++
	return r
}

func (c *Caller) exchange(method string, n *Node, path, key, body string) reply {
	var written atomic.Bool
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) }})
	request, err := http.NewRequestWithContext(traced, method, "http://"+n.clients.Address()+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set(keyHeader, key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Chivetiller-Timeout-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	broken := func(err error) reply {
		return reply{brokenOff: written.Load() && ctx.Err() == nil, unread: errors.Is(err, syscall.ECONNRESET)}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return broken(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return broken(err)
	}
	r := reply{status: response.StatusCode, body: string(data)}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		r.retryAfter = min(time.Duration(seconds)*time.Second, maxRetryAfter)
	}
	return r
}

// try sends a request until it is answered, each time to the next process. The attempts are recorded if begin is set.
func (c *Caller) try(method, path, key, body string, begin func(process string) (answered func(promises.Answer))) reply {
	var last reply
	for attempt := range maxAttempts {
		n := c.w.nodes[(c.home+attempt)%len(c.w.nodes)]
		answered := func(promises.Answer) {}
		if begin != nil {
			answered = begin(n.name)
		}
		last = c.send(method, n, path, key, body)
		answered(last.answer())
		c.w.Record("client: %s %s at %s: %d %s", method, path, n.name, last.status, last.shown())
		if !last.refused() && !last.unknown() {
			return last
		}
		time.Sleep(max(retryPause, last.retryAfter))
	}
	return last
}

// Submit submits a job. It reports whether the job was accepted.
func (c *Caller) Submit(key string, j Job) (accepted bool, err error) {
	body, err := j.body()
	if err != nil {
		return false, err
	}
	return c.submit(key, j, body), nil
}

func (c *Caller) submit(key string, j Job, body string) bool {
	c.w.mu.Lock()
	c.w.jobs[j.ID] = j
	c.w.mu.Unlock()
	r := c.try(http.MethodPost, "/"+j.Queue+"/"+j.ID, key, body, func(process string) func(promises.Answer) {
		return c.w.history.Submit(process, key, j.Job)
	})
	return r.status/100 == 2
}

// Cancel cancels a job.
func (c *Caller) Cancel(key, queue, id string) {
	c.try(http.MethodDelete, "/"+queue+"/"+id, key, "", func(process string) func(promises.Answer) {
		return c.w.history.Cancel(process, key, queue, id)
	})
}

// Ask returns the state of a job, if it is answered.
func (c *Caller) Ask(key, queue, id string) promises.State {
	r := c.try(http.MethodGet, "/"+queue+"/"+id, key, "", func(process string) func(promises.Answer) {
		return c.w.history.Ask(process, key, queue, id)
	})
	return r.answer().State
}

// Probe asks a process once how many jobs of a queue wait.
func (c *Caller) Probe(n *Node, key, queue string) {
	answered := c.w.history.Call(n.name, key, queue)
	r := c.send(http.MethodGet, n, "/"+queue+"/", key, "")
	answered(r.answer())
	c.w.Record("client: GET /%s/ at %s with %s: %d", queue, n.name, key, r.status)
}

// Call sends a request of a client over a connection of its own. The status is 0 if there was no answer.
func (w *World) Call(method string, n *Node, path, body string) (status int, answer string) {
	c := w.NewCaller(0)
	defer c.client.CloseIdleConnections()
	r := c.send(method, n, path, apiKey, body)
	return r.status, r.body
}

// Submit submits a job with a body, with up to four attempts at different processes. It reports whether the job was accepted.
func (w *World) Submit(first int, path, body string) bool {
	j, err := parseJob(path, body)
	if err != nil {
		panic(err)
	}
	return w.NewCaller(first).submit(apiKey, j, body)
}

// State asks for the state of a job.
func (w *World) State(path string) string {
	return w.NewCaller(0).try(http.MethodGet, path, apiKey, "", nil).body
}
