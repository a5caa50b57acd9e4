package main

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// missedHeartbeats is the number of intervals of silence after which the entry of a worker is removed.
	missedHeartbeats = 3
	maxHold          = 10 * time.Second
	maxWait          = 2 * time.Second
	stopTime         = 50 * time.Millisecond
	endsPerReply     = 500
	instanceHeader   = "Chivetiller-Expect-Instance"
)

// Resources are what a task needs or a worker has.
type Resources struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem_mb"`
	GPU    int64 `json:"gpu"`
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

func (r Resources) fits(in Resources) bool {
	return r.CPU <= in.CPU && r.Memory <= in.Memory && r.GPU <= in.GPU
}

// taskRun is a task at work on a worker.
type taskRun struct {
	task     string
	number   int
	needs    Resources
	stopping bool
	record   *Run
}

type endedRun struct {
	seq    int
	task   string
	number int
	how    string
	record *Run
}

var workerCapacity = Resources{CPU: 16000, Memory: 32768}

// Worker is a stand-in for a worker. Its tasks do what the specification of their job says: "run MS" or "fail MS".
type Worker struct {
	w                       *World
	id, zone, rack, machine string
	address                 string
	capacity                Resources
	server                  *http.Server

	mu       sync.Mutex
	born     time.Time
	beat     int
	lastBeat time.Time
	fence    uint64
	until    time.Duration
	running  map[string]*taskRun
	last     map[string]int
	ended    []endedRun
	endSeq   int
	changed  chan struct{}
	down     bool
}

// AddWorker starts a worker.
func (w *World) AddWorker(id, zone, rack, machine string) error {
	ws := &Worker{w: w, id: id, zone: zone, rack: rack, machine: machine, capacity: workerCapacity, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", w.host(workerHost)+":0")
	if err != nil {
		return err
	}
	ws.address = listener.Addr().String()
	ws.begin()
	ws.serve(listener)
	w.mu.Lock()
	w.workers = append(w.workers, ws)
	w.mu.Unlock()
	go ws.tick()
	return nil
}

// begin begins a life, which holds and knows nothing of the one before.
func (ws *Worker) begin() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.born, ws.beat, ws.fence, ws.until, ws.endSeq = time.Now(), 0, 0, 0, 0
	ws.running, ws.last, ws.ended, ws.down = make(map[string]*taskRun), make(map[string]int), nil, false
	ws.w.Record("worker %s starts on %s", ws.id, ws.machine)
	ws.heartbeat()
}

func (ws *Worker) clock() time.Duration { return time.Since(ws.born) }

// heartbeat writes the entry of the worker. It is called with the lock.
func (ws *Worker) heartbeat() {
	ws.lastBeat = time.Now()
	ws.beat++
	ws.w.store.Put(rowKey{Table: "servers", Key: ws.id}, map[string]any{
		"service": service, "addr": ws.address, "zone": ws.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": ws.capacity, "labels": []string{"a", ws.rack}, "clock_ms": ws.clock().Milliseconds(), "seq": ws.beat, "born": ws.born.UnixMilli(),
	})
}

// tick sends heartbeats and ends what has lost its lease.
func (ws *Worker) tick() {
	for range time.Tick(10 * time.Millisecond) {
		ws.mu.Lock()
		silent := time.Since(ws.lastBeat)
		if !ws.down && silent >= heartbeatInterval {
			ws.heartbeat()
		}
		if silent > missedHeartbeats*heartbeatInterval {
			ws.w.store.Remove(rowKey{Table: "servers", Key: ws.id})
		}
		if !ws.down && ws.until > 0 && ws.clock() > ws.until {
			for _, r := range ws.running {
				ws.end(r, "lapsed")
			}
		}
		ws.mu.Unlock()
	}
}

// end lists the end of a run. It is called with the lock.
func (ws *Worker) end(r *taskRun, how string) {
	delete(ws.running, r.task)
	ws.endSeq++
	ws.ended = append(ws.ended, endedRun{ws.endSeq, r.task, r.number, how, r.record})
	ws.w.runEnded(r.record, how)
	close(ws.changed)
	ws.changed = make(chan struct{})
}

func (ws *Worker) finish(r *taskRun, how string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.down || ws.running[r.task] != r || r.stopping && how != "stopped" {
		return
	}
	ws.end(r, how)
}

// Used returns what the tasks on the worker need.
func (ws *Worker) Used() (used Resources) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, r := range ws.running {
		used = used.plus(r.needs)
	}
	return used
}

func (ws *Worker) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", ws.handleStart)
	mux.HandleFunc("POST /run-stop", ws.handleStop)
	mux.HandleFunc("POST /hold", ws.handleHold)
	mux.HandleFunc("POST /pace", ws.handlePace)
	ws.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(instanceHeader) != ws.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = ws.server.Serve(listener) }()
}

type command struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"until_ms"`
	Fence   uint64 `json:"fence"`
	Ticket  string `json:"ticket"`
	AckSeq  int    `json:"ack_seq"`
	WaitMs  int64  `json:"wait_ms"`
}

// extend takes the lease expiry of a command. It never shortens the lease. It is called with the lock.
func (ws *Worker) extend(untilMs int64) {
	ws.until = max(ws.until, min(time.Duration(untilMs)*time.Millisecond, ws.clock()+maxHold))
}

// admit reports whether a command has a current fencing token. It is called with the lock.
func (ws *Worker) admit(c command) bool {
	if c.Fence < ws.fence {
		return false
	}
	ws.fence = c.Fence
	return true
}

func (ws *Worker) reply(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": ws.clock().Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

func (ws *Worker) handleStart(w http.ResponseWriter, r *http.Request) {
	var c command
	if _, err := readJSON(r, &c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	status, reason := ws.start(c)
	if status != http.StatusOK {
		ws.w.Record("worker %s rejects task %s run %d: %d %s", ws.id, c.Task, c.Run, status, reason)
	}
	ws.reply(w, status, reason)
}

func (ws *Worker) start(c command) (status int, reason string) {
	if !ws.admit(c) {
		return http.StatusConflict, "fence"
	}
	if r, ok := ws.running[c.Task]; ok && r.number == c.Run {
		ws.extend(c.UntilMs)
		return http.StatusOK, ""
	}
	if c.Run <= ws.last[c.Task] || ws.running[c.Task] != nil {
		ws.extend(c.UntilMs)
		return http.StatusConflict, "old"
	}
	if time.Duration(c.UntilMs)*time.Millisecond <= ws.clock() {
		return http.StatusConflict, "late"
	}
	step, job, ok := ws.w.stepOf(c.Task)
	verb, ms, _ := strings.Cut(c.Spec, " ")
	n, err := strconv.Atoi(ms)
	if !ok || err != nil {
		return http.StatusBadRequest, ""
	}
	if job.advised && !ws.w.ticketValid(c.Ticket, c.Task, ws.id, ws.born) {
		return http.StatusConflict, "ticket"
	}
	ws.extend(c.UntilMs)
	used := step.Resources
	for _, r := range ws.running {
		used = used.plus(r.needs)
	}
	if !used.fits(ws.capacity) {
		return http.StatusConflict, "room"
	}
	run := &taskRun{task: c.Task, number: c.Run, needs: step.Resources, record: &Run{Task: c.Task, Number: c.Run, Worker: ws.id, Begun: time.Now()}}
	ws.running[c.Task], ws.last[c.Task] = run, c.Run
	ws.w.runBegan(run.record)
	if step.LongRunning {
		return http.StatusOK, ""
	}
	how := "done"
	if verb == "fail" {
		how = "failed"
	}
	time.AfterFunc(time.Duration(n)*time.Millisecond, func() { ws.finish(run, how) })
	return http.StatusOK, ""
}

func (ws *Worker) handleStop(w http.ResponseWriter, r *http.Request) {
	var c command
	if _, err := readJSON(r, &c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if !ws.admit(c) {
		ws.reply(w, http.StatusConflict, "fence")
		return
	}
	run, ok := ws.running[c.Task]
	switch {
	case ok && run.number == c.Run && !run.stopping:
		run.stopping = true
		time.AfterFunc(stopTime, func() { ws.finish(run, "stopped") })
	case !ok:
		ws.last[c.Task] = max(ws.last[c.Task], c.Run)
	}
	ws.reply(w, http.StatusOK, "")
}

func (ws *Worker) handlePace(w http.ResponseWriter, r *http.Request) {
	var c command
	if _, err := readJSON(r, &c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if !ws.admit(c) {
		ws.reply(w, http.StatusConflict, "fence")
		return
	}
	ws.reply(w, http.StatusOK, "")
}

func (ws *Worker) handleHold(w http.ResponseWriter, r *http.Request) {
	var c command
	if _, err := readJSON(r, &c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(min(time.Duration(c.WaitMs)*time.Millisecond, maxWait))
	ws.mu.Lock()
	if !ws.admit(c) {
		ws.reply(w, http.StatusConflict, "fence")
		ws.mu.Unlock()
		return
	}
	if c.UntilMs > 0 {
		ws.extend(c.UntilMs)
	}
	ws.ended = slices.DeleteFunc(ws.ended, func(e endedRun) bool {
		if e.seq <= c.AckSeq {
			ws.w.endNoted(e.record)
		}
		return e.seq <= c.AckSeq
	})
	for len(ws.ended) == 0 && c.WaitMs > 0 && !ws.down {
		changed := ws.changed
		ws.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			c.WaitMs = 0
		case <-r.Context().Done():
			return
		}
		ws.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range ws.running {
		running = append(running, []any{run.task, run.number, "", 100, 0})
	}
	for _, e := range ws.ended[:min(len(ws.ended), endsPerReply)] {
		ended = append(ended, []any{e.seq, e.task, e.number, e.how, ""})
	}
	body := map[string]any{"clock_ms": ws.clock().Milliseconds(), "born": ws.born.UnixMilli(), "running": running, "ended": ended}
	ws.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

// Crash ends the worker without notice, with all that runs there. It starts again under its ID, at its address, after a time.
func (ws *Worker) Crash(after time.Duration) error {
	ws.mu.Lock()
	ws.down = true
	ws.w.Record("worker %s crashes with %d tasks", ws.id, len(ws.running))
	for _, r := range ws.running {
		ws.w.runEnded(r.record, "crashed")
	}
	ws.running, ws.ended = make(map[string]*taskRun), nil
	close(ws.changed)
	ws.changed = make(chan struct{})
	_ = ws.server.Close()
	ws.mu.Unlock()
	time.Sleep(after)
	listener, err := net.Listen("tcp", ws.address)
	if err != nil {
		return err
	}
	ws.begin()
	ws.serve(listener)
	return nil
}

// Lose ends the worker for good and without notice, with all that runs there. Its entry is removed after three intervals of silence.
func (ws *Worker) Lose() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.down = true
	ws.w.Record("worker %s is lost for good with %d tasks", ws.id, len(ws.running))
	for _, r := range ws.running {
		ws.w.runEnded(r.record, "crashed")
	}
	ws.running, ws.ended = make(map[string]*taskRun), nil
	_ = ws.server.Close()
}
