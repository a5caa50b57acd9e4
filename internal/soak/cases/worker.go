package cases

import (
	"net"
	"net/http"
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
	upkeepTime       = 2 * time.Second
	stopTime         = 50 * time.Millisecond
	instanceHeader   = "Chivetiller-Expect-Instance"
)

type resources struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem_mb"`
	GPU    int64 `json:"gpu"`
}

// taskRun is a task at work on a worker.
type taskRun struct {
	task     string
	number   int
	started  time.Time
	stopping bool
}

type endedRun struct {
	seq    int
	task   string
	number int
	how    string
}

// workerServer is a stand-in for a worker. Its tasks do what the specification of their job says: "run MS" or "fail MS".
type workerServer struct {
	w                       *world
	id, service, zone, rack string
	nextID                  string
	// lapsed is the last time at which the worker was seen without a lease.
	lapsed           time.Time
	machine, address string
	listener         net.Listener
	mu               sync.Mutex
	life             int
	born             time.Time
	beat             int
	fence            uint64
	until            time.Duration
	running          map[string]*taskRun
	last             map[string]int
	ended            []endedRun
	endSeq           int
	changed          chan struct{}
	down, cut, off   bool
	conns            map[net.Conn]bool
	lastBeat         time.Time
}

func (w *world) addWorker(id, service, zone, rack, machine string) (*workerServer, error) {
	ws := &workerServer{w: w, id: id, service: service, zone: zone, rack: rack, machine: machine, conns: make(map[net.Conn]bool), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", w.nextIP()+":0")
	if err != nil {
		return nil, err
	}
	ws.address, ws.listener = listener.Addr().String(), listener
	w.mu.Lock()
	w.workers = append(w.workers, ws)
	w.mu.Unlock()
	ws.begin()
	go ws.serve(listener)
	go ws.tick()
	return ws, nil
}

// begin begins a life, which holds and knows nothing of the one before.
func (ws *workerServer) begin() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.life++
	if ws.nextID != "" {
		ws.w.store.remove(rowKey{Table: "servers", Key: ws.id})
		ws.id, ws.nextID = ws.nextID, ""
	}
	ws.born, ws.beat, ws.fence, ws.until, ws.endSeq = time.Now(), 0, 0, 0, 0
	ws.running, ws.last, ws.ended = make(map[string]*taskRun), make(map[string]int), nil
	ws.down = false
	ws.w.rec.add("worker %s begins life %d", ws.id, ws.life)
	ws.heartbeat()
}

func (ws *workerServer) clock() time.Duration { return time.Since(ws.born) }

// heartbeat writes the entry of the worker. It is called with the lock.
func (ws *workerServer) heartbeat() {
	ws.lastBeat = time.Now()
	ws.beat++
	ws.w.store.put(rowKey{Table: "servers", Key: ws.id}, map[string]any{
		"service": ws.service, "addr": ws.address, "zone": ws.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": workerCapacity, "labels": []string{"a", ws.rack}, "clock_ms": ws.clock().Milliseconds(), "seq": ws.beat, "born": ws.born.UnixMilli(),
	})
}

var workerCapacity = resources{CPU: 16000, Memory: 32768}

// tick sends heartbeats and ends what has lost its lease.
func (ws *workerServer) tick() {
	for range time.Tick(10 * time.Millisecond) {
		ws.mu.Lock()
		silent := time.Since(ws.lastBeat)
		if !ws.down && !ws.off && !ws.cut && silent >= heartbeatInterval && !ws.w.separated(ws.zone, "") {
			ws.heartbeat()
		}
		if silent > missedHeartbeats*heartbeatInterval {
			ws.w.store.remove(rowKey{Table: "servers", Key: ws.id})
		}
		if !ws.down && ws.until > 0 && ws.clock() > ws.until {
			ws.lapsed = time.Now()
		}
		if !ws.down && len(ws.running) > 0 && ws.clock() > ws.until {
			for _, r := range ws.running {
				ws.end(r, "lapsed")
			}
		}
		ws.mu.Unlock()
	}
}

// end lists the end of a run. It is called with the lock.
func (ws *workerServer) end(r *taskRun, how string) {
	delete(ws.running, r.task)
	ws.endSeq++
	ws.ended = append(ws.ended, endedRun{ws.endSeq, r.task, r.number, how})
	ws.w.observeEnd(ws, r, how)
	close(ws.changed)
	ws.changed = make(chan struct{})
}

// crash ends the worker without notice. It starts again under its ID after a time.
func (ws *workerServer) crash(after time.Duration) {
	ws.mu.Lock()
	ws.down = true
	ws.w.rec.add("worker %s crashes", ws.id)
	for _, r := range ws.running {
		ws.w.observeEnd(ws, r, "crashed")
	}
	ws.running = make(map[string]*taskRun)
	_ = ws.listener.Close()
	for c := range ws.conns {
		_ = c.Close()
	}
	ws.mu.Unlock()
	time.Sleep(after)
	listener, err := net.Listen("tcp", ws.address)
	if err != nil {
		panic(err)
	}
	ws.mu.Lock()
	ws.listener = listener
	ws.mu.Unlock()
	ws.begin()
	go ws.serve(listener)
}

// crashDark ends the worker without notice, like a loss of power: it falls silent. It starts again under its ID after a time.
func (ws *workerServer) crashDark(after time.Duration) {
	ws.mu.Lock()
	if ws.down || ws.cut {
		ws.mu.Unlock()
		return
	}
	ws.down, ws.cut = true, true
	ws.w.rec.add("worker %s loses power", ws.id)
	for _, r := range ws.running {
		ws.w.observeEnd(ws, r, "crashed")
	}
	ws.running = make(map[string]*taskRun)
	ws.mu.Unlock()
	time.Sleep(after)
	ws.mu.Lock()
	ws.cut = false
	for c := range ws.conns {
		_ = c.Close()
	}
	ws.mu.Unlock()
	ws.begin()
}

// crashAs is crash, but the worker starts again under another ID.
func (ws *workerServer) crashAs(id string, after time.Duration) {
	ws.nextID = id
	ws.crash(after)
}

// setCut cuts the worker off from everything, or ends the cut. Bytes that were held up are lost.
func (ws *workerServer) setCut(cut bool) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.cut = cut
	ws.w.rec.add("worker %s is cut off: %t", ws.id, cut)
	if !cut {
		for c := range ws.conns {
			_ = c.Close()
		}
		ws.heartbeat()
	}
}

func (ws *workerServer) isCut() bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.cut
}

func (ws *workerServer) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", ws.handleStart)
	mux.HandleFunc("POST /run-stop", ws.handleStop)
	mux.HandleFunc("POST /hold", ws.handleHold)
	mux.HandleFunc("POST /pace", func(w http.ResponseWriter, _ *http.Request) { ws.reply(w, http.StatusOK, "") })
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ws.isCut() {
			<-r.Context().Done()
			return
		}
		if r.Header.Get(instanceHeader) != ws.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(&cutWriter{w, r, ws}, r)
	}), ConnState: func(c net.Conn, state http.ConnState) {
		ws.mu.Lock()
		defer ws.mu.Unlock()
		if state == http.StateClosed {
			delete(ws.conns, c)
		} else {
			ws.conns[c] = true
		}
	}}
	// It returns when the listener is closed.
	_ = server.Serve(listener)
}

// cutWriter holds back the answers of a worker that is cut off.
type cutWriter struct {
	http.ResponseWriter
	r  *http.Request
	ws *workerServer
}

// WriteHeader implements [http.ResponseWriter].
func (c *cutWriter) WriteHeader(status int) {
	if c.ws.isCut() {
		<-c.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	c.ResponseWriter.WriteHeader(status)
}

func (ws *workerServer) reply(w http.ResponseWriter, status int, reason string) {
	ws.mu.Lock()
	body := map[string]any{"clock_ms": ws.clock().Milliseconds()}
	ws.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

// extend takes the lease expiry of a command. It never shortens the lease. It is called with the lock.
func (ws *workerServer) extend(untilMs int64) {
	ws.until = max(ws.until, min(time.Duration(untilMs)*time.Millisecond, ws.clock()+maxHold))
}

type runCommand struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"until_ms"`
	Fence   uint64 `json:"fence"`
	AckSeq  int    `json:"ack_seq"`
	WaitMs  int64  `json:"wait_ms"`
}

func (ws *workerServer) handleStart(w http.ResponseWriter, r *http.Request) {
	var c runCommand
	if _, err := readJSON(r, &c); err != nil {
		ws.reply(w, http.StatusBadRequest, "")
		return
	}
	ws.holdCut(r, c.Fence)
	status, reason := ws.startRun(c)
	ws.reply(w, status, reason)
}

func (ws *workerServer) startRun(c runCommand) (status int, reason string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.down {
		return http.StatusServiceUnavailable, ""
	}
	if c.Fence < ws.fence {
		return http.StatusConflict, "fence"
	}
	ws.fence = c.Fence
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
	ws.extend(c.UntilMs)
	if len(ws.running) >= 16 {
		return http.StatusConflict, "room"
	}
	run := &taskRun{task: c.Task, number: c.Run, started: time.Now()}
	ws.running[c.Task], ws.last[c.Task] = run, c.Run
	ws.w.observeStart(ws, run, c.Fence)
	verb, ms, _ := strings.Cut(c.Spec, " ")
	n, err := strconv.Atoi(ms)
	if err != nil {
		return http.StatusBadRequest, ""
	}
	life := ws.life
	time.AfterFunc(time.Duration(n)*time.Millisecond, func() {
		ws.mu.Lock()
		defer ws.mu.Unlock()
		if ws.life != life || ws.down || ws.running[run.task] != run || run.stopping {
			return
		}
		how := "done"
		if verb == "fail" {
			how = "failed"
		}
		ws.end(run, how)
	})
	return http.StatusOK, ""
}

func (ws *workerServer) handleStop(w http.ResponseWriter, r *http.Request) {
	var c runCommand
	if _, err := readJSON(r, &c); err != nil {
		ws.reply(w, http.StatusBadRequest, "")
		return
	}
	ws.holdCut(r, c.Fence)
	ws.mu.Lock()
	if c.Fence < ws.fence {
		ws.mu.Unlock()
		ws.reply(w, http.StatusConflict, "fence")
		return
	}
	ws.fence = c.Fence
	run, ok := ws.running[c.Task]
	switch {
	case ok && run.number == c.Run && !run.stopping:
		run.stopping = true
		life := ws.life
		time.AfterFunc(stopTime, func() {
			ws.mu.Lock()
			defer ws.mu.Unlock()
			if ws.life == life && !ws.down && ws.running[run.task] == run {
				ws.end(run, "stopped")
			}
		})
	case !ok:
		ws.last[c.Task] = max(ws.last[c.Task], c.Run)
	}
	ws.mu.Unlock()
	ws.reply(w, http.StatusOK, "")
}

func (ws *workerServer) handleHold(w http.ResponseWriter, r *http.Request) {
	var c runCommand
	if _, err := readJSON(r, &c); err != nil {
		ws.reply(w, http.StatusBadRequest, "")
		return
	}
	ws.holdCut(r, c.Fence)
	timeout := time.After(min(time.Duration(c.WaitMs)*time.Millisecond, maxWait))
	ws.mu.Lock()
	if c.Fence < ws.fence {
		ws.mu.Unlock()
		ws.reply(w, http.StatusConflict, "fence")
		return
	}
	ws.fence = c.Fence
	if c.UntilMs > 0 {
		before := ws.until
		ws.extend(c.UntilMs)
		if limit := ws.clock() + maxHold; time.Duration(c.UntilMs)*time.Millisecond > limit && before < ws.until {
			ws.w.rec.add("worker %s life %d: until_ms %d is beyond max_hold_ms; the lease ends at %d on its clock, which shows %d", ws.id, ws.life, c.UntilMs, ws.until.Milliseconds(), ws.clock().Milliseconds())
		}
	}
	kept := ws.ended[:0]
	for _, e := range ws.ended {
		if e.seq > c.AckSeq {
			kept = append(kept, e)
			continue
		}
		ws.w.observeAck(ws, e)
	}
	ws.ended = kept
	life := ws.life
	for len(ws.ended) == 0 && c.WaitMs > 0 && ws.life == life {
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
	for _, e := range ws.ended {
		ended = append(ended, []any{e.seq, e.task, e.number, e.how, ""})
	}
	body := map[string]any{"clock_ms": ws.clock().Milliseconds(), "born": ws.born.UnixMilli(), "running": running, "ended": ended}
	ws.mu.Unlock()
	ws.holdCut(r, c.Fence)
	writeJSON(w, http.StatusOK, body)
}
