package world

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

func (ws *Worker) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", ws.handle(func(c runCommand, late bool) (status int, reason string) { return ws.startRun(c, late) }))
	mux.HandleFunc("POST /run-stop", ws.handle(func(c runCommand, _ bool) (status int, reason string) { return ws.stopRun(c) }))
	mux.HandleFunc("POST /hold", ws.handleHold)
	mux.HandleFunc("POST /pace", func(w http.ResponseWriter, _ *http.Request) { ws.reply(w, http.StatusOK, "") })
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(instanceHeader) != ws.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.server = server
}

func (ws *Worker) reply(w http.ResponseWriter, status int, reason string) {
	ws.mu.Lock()
	body := map[string]any{"clock_ms": ws.clock().Milliseconds()}
	ws.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

// extend takes the lease expiry of a command. It never shortens the lease. It is called with the lock.
func (ws *Worker) extend(untilMs int64) {
	ws.until = max(ws.until, min(time.Duration(untilMs)*time.Millisecond, ws.clock()+maxHold))
	if ws.until > ws.clock() {
		ws.noLease = false
	}
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

// handle answers a command. While the worker is frozen, the command waits; it may be carried out later without an answer.
func (ws *Worker) handle(do func(c runCommand, late bool) (status int, reason string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c runCommand
		if _, err := readJSON(r, &c); err != nil {
			ws.reply(w, http.StatusBadRequest, "")
			return
		}
		ws.holdCut(r, c.Fence)
		ws.postpone(r, c, func() { do(c, true) })
		arrived := time.Now()
		ws.waitThawed()
		status, reason := do(c, time.Since(arrived) > lateRun)
		ws.reply(w, status, reason)
	}
}

// postpone gives some of the commands no answer while the worker is to carry out commands late, and carries them out later in the same
// life. It does not return for these.
func (ws *Worker) postpone(r *http.Request, c runCommand, do func()) {
	ws.mu.Lock()
	late, life := time.Now().Before(ws.lateUntil), ws.life
	ws.mu.Unlock()
	if !late || ws.w.draw() > lateShare {
		return
	}
	after := ws.w.drawTime(minLate, maxLate)
	ws.w.Record("worker %s: %s %s run %d is carried out %s later", ws.id, r.URL.Path, c.Task, c.Run, after)
	ended := ws.w.history.Disrupt(promises.LateCommand, ws.id)
	time.AfterFunc(after, func() {
		defer ended()
		ws.mu.Lock()
		same := ws.life == life && !ws.down
		ws.mu.Unlock()
		if same {
			do()
		}
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// admit reports whether a command has a current fencing token. It is called with the lock.
func (ws *Worker) admit(c runCommand) bool {
	if c.Fence < ws.fence {
		return false
	}
	ws.fence = c.Fence
	return true
}

func (ws *Worker) startRun(c runCommand, late bool) (status int, reason string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.down {
		return http.StatusServiceUnavailable, ""
	}
	if !ws.admit(c) {
		return http.StatusConflict, "fence"
	}
	if r, ok := ws.running[c.Task]; ok && r.key.Number == c.Run {
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
	task, err := promises.ParseTask(c.Task)
	if err != nil {
		return http.StatusBadRequest, ""
	}
	verb, ms, _ := strings.Cut(c.Spec, " ")
	n, err := strconv.Atoi(ms)
	if err != nil {
		return http.StatusBadRequest, ""
	}
	// A job whose submission the world has not seen needs nothing but one of the places.
	step, known := ws.w.step(task)
	if !ws.fits(step.Needs) {
		return http.StatusConflict, "room"
	}
	run := &taskRun{key: promises.Run{Task: task, Number: c.Run, Worker: ws.id, Life: ws.life}, needs: step.Needs}
	ws.running[c.Task], ws.last[c.Task] = run, c.Run
	ws.w.observeStart(ws, run.key, c.Fence, late)
	duration, how := time.Duration(n)*time.Millisecond, promises.Done
	if ws.failing {
		duration = min(duration, failTime)
	}
	if verb == "fail" {
		how = promises.Failed
	}
	if known && step.Gang {
		ws.w.joinGang(ws, run, step.Count, duration)
		return http.StatusOK, ""
	}
	time.AfterFunc(duration, func() { ws.finish(run, how) })
	return http.StatusOK, ""
}

// fits reports whether there is room for a task. It is called with the lock.
func (ws *Worker) fits(needs promises.Resources) bool {
	for _, r := range ws.running {
		needs.CPU += r.needs.CPU
		needs.Memory += r.needs.Memory
		needs.GPU += r.needs.GPU
	}
	return len(ws.running) < maxRunning && needs.CPU <= workerCapacity.CPU && needs.Memory <= workerCapacity.Memory && needs.GPU <= workerCapacity.GPU
}

func (ws *Worker) stopRun(c runCommand) (status int, reason string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if !ws.admit(c) {
		return http.StatusConflict, "fence"
	}
	run, ok := ws.running[c.Task]
	switch {
	case ok && run.key.Number == c.Run && !run.stopping:
		run.stopping = true
		ws.w.history.StopCommanded(run.key)
		time.AfterFunc(stopTime, func() { ws.finish(run, promises.Stopped) })
	case !ok:
		ws.last[c.Task] = max(ws.last[c.Task], c.Run)
	}
	return http.StatusOK, ""
}

// renew takes the lease expiry and the acknowledged ends of a command. It is called with the lock.
func (ws *Worker) renew(c runCommand) {
	if c.UntilMs > 0 {
		before := ws.until
		ws.extend(c.UntilMs)
		if limit := ws.clock() + maxHold; time.Duration(c.UntilMs)*time.Millisecond > limit && before < ws.until {
			ws.w.Record("worker %s life %d: until_ms %d is beyond max_hold_ms; the lease ends at %d on its clock, which shows %d", ws.id, ws.life, c.UntilMs, ws.until.Milliseconds(), ws.clock().Milliseconds())
		}
	}
	kept := ws.ended[:0]
	for _, e := range ws.ended {
		if e.seq > c.AckSeq {
			kept = append(kept, e)
			continue
		}
		ws.w.observeAck(ws, e.key)
	}
	ws.ended = kept
}

func (ws *Worker) handleHold(w http.ResponseWriter, r *http.Request) {
	var c runCommand
	if _, err := readJSON(r, &c); err != nil {
		ws.reply(w, http.StatusBadRequest, "")
		return
	}
	ws.holdCut(r, c.Fence)
	ws.postpone(r, c, func() {
		ws.mu.Lock()
		defer ws.mu.Unlock()
		if ws.admit(c) {
			ws.renew(c)
		}
	})
	ws.waitThawed()
	timeout := time.After(min(time.Duration(c.WaitMs)*time.Millisecond, maxWait))
	ws.mu.Lock()
	if ws.down || !ws.admit(c) {
		ws.mu.Unlock()
		ws.reply(w, http.StatusConflict, "fence")
		return
	}
	ws.renew(c)
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
		running = append(running, []any{run.key.Task.String(), run.key.Number, "", 100, 0})
	}
	for _, e := range ws.ended {
		ended = append(ended, []any{e.seq, e.key.Task.String(), e.key.Number, e.how, ""})
	}
	body := map[string]any{"clock_ms": ws.clock().Milliseconds(), "born": ws.born.UnixMilli(), "running": running, "ended": ended}
	ws.mu.Unlock()
	ws.waitThawed()
	ws.holdCut(r, c.Fence)
	writeJSON(w, http.StatusOK, body)
}
