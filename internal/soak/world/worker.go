package world

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/link"
	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// missedHeartbeats is the number of intervals of silence after which the entry of a worker is removed.
	missedHeartbeats = 3
	maxHold          = 10 * time.Second
	maxWait          = 2 * time.Second
	upkeepTime       = 2 * time.Second
	stopTime         = 50 * time.Millisecond
	// drainTime is drain_ms, and maxLinger how much longer a worker that leaves stays at most.
	drainTime = 2 * time.Second
	maxLinger = 4 * time.Second
	// replaceTime is the time from the exit of a worker until another one takes its place.
	replaceTime = time.Second
	// minLate and maxLate bound the time after which a command is carried out late.
	minLate = 2 * time.Second
	maxLate = 12 * time.Second
	// lateShare is the share of the commands that are carried out late while a worker is to do so.
	lateShare = 0.4
	// lateRun is the time for which a frozen worker has held a command from which its run counts as begun late.
	lateRun = 500 * time.Millisecond
	// maxClockLag is the share by which the clock of a worker may be slow.
	maxClockLag = 0.02
	// maxRunning is the number of tasks on a worker, whatever they need.
	maxRunning = 16
	// failTime is the time after which tasks fail on a worker that fails everything.
	failTime       = 50 * time.Millisecond
	instanceHeader = "Chivetiller-Expect-Instance"
)

type resources struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem_mb"`
	GPU    int64 `json:"gpu"`
}

// taskRun is a task at work on a worker.
type taskRun struct {
	key      promises.Run
	needs    promises.Resources
	stopping bool
}

type endedRun struct {
	seq int
	key promises.Run
	how promises.How
}

// Worker is a stand-in for a worker. Its tasks do what the specification of their job says: "run MS" or "fail MS".
type Worker struct {
	w                       *World
	id, service, zone, rack string
	nextID                  string
	// lapsed is the last time at which the worker was seen without a lease.
	lapsed           time.Time
	machine, address string
	link             *link.Link
	server           *http.Server
	// clockRate is how fast the clock of the worker runs.
	clockRate float64
	// faults is held while a fault acts on the life of the worker. Another one does nothing meanwhile.
	faults sync.Mutex

	mu      sync.Mutex
	life    int
	born    time.Time
	beat    int
	fence   uint64
	until   time.Duration
	running map[string]*taskRun
	last    map[string]int
	ended   []endedRun
	endSeq  int
	changed chan struct{}
	// noLease means that the lease has run out and was not renewed.
	noLease, down, cut, off bool
	// failing means that all tasks fail.
	failing, draining bool
	// exit is the time at which a worker that drains exits.
	exit time.Time
	// lateUntil is the time until which commands are carried out late.
	lateUntil time.Time
	// thawed is closed when the worker is no longer frozen. It is nil while it is not.
	thawed   chan struct{}
	lastBeat time.Time
}

// AddWorker starts a worker.
func (w *World) AddWorker(id, service, zone, rack, machine string) (*Worker, error) {
	ws := &Worker{w: w, id: id, service: service, zone: zone, rack: rack, machine: machine, clockRate: 1, changed: make(chan struct{})}
	if w.options.SlowClocks {
		ws.clockRate = 1 - maxClockLag*w.draw()
	}
	listener, err := net.Listen("tcp", w.anyPort(workerHost))
	if err != nil {
		return nil, err
	}
	ws.address = listener.Addr().String()
	if ws.link, err = link.Listen(w.anyPort(linkHost), ws.address); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.workers = append(w.workers, ws)
	w.mu.Unlock()
	ws.begin()
	ws.serve(listener)
	go ws.tick()
	return ws, nil
}

// AddWorkers starts workers w1, w2 and so on in three zones, on machines m1, m2 and so on.
func (w *World) AddWorkers(n, perRack int, service string) error {
	for i := range n {
		ws, err := w.AddWorker(fmt.Sprintf("w%d", i+1), service, fmt.Sprintf("z%d", i%zones+1), fmt.Sprintf("r%d", i/perRack+1), fmt.Sprintf("m%d", i+1))
		if err != nil {
			return err
		}
		w.cloud.add(ws)
	}
	return nil
}

// ID returns the ID of the worker.
func (ws *Worker) ID() string { return ws.id }

// Rack returns the rack of the worker, which is also one of its labels.
func (ws *Worker) Rack() string { return ws.rack }

// Machine returns the machine of the worker.
func (ws *Worker) Machine() string { return ws.machine }

// Link returns the link to the worker.
func (ws *Worker) Link() *link.Link { return ws.link }

// Runs reports whether a task runs on the worker.
func (ws *Worker) Runs(task string) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.running[task] != nil
}

// Load returns how many tasks run on the worker.
func (ws *Worker) Load() int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return len(ws.running)
}

// Unacknowledged returns how many ends are not taken note of yet, and 0 while the worker is down.
func (ws *Worker) Unacknowledged() int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.down {
		return 0
	}
	return len(ws.ended)
}

// begin begins a life, which holds and knows nothing of the one before.
func (ws *Worker) begin() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.life++
	if ws.nextID != "" {
		ws.w.store.Remove(rowKey{Table: "servers", Key: ws.id})
		ws.id, ws.nextID = ws.nextID, ""
	}
	ws.born, ws.beat, ws.fence, ws.until, ws.endSeq = time.Now(), 0, 0, 0, 0
	ws.running, ws.last, ws.ended = make(map[string]*taskRun), make(map[string]int), nil
	ws.down, ws.noLease = false, false
	ws.w.history.WorkerStarted(promises.Worker{ID: ws.id, Pool: ws.service, Zone: ws.zone, Life: ws.life, Labels: []string{"a", ws.rack}, Capacity: promises.Resources(workerCapacity)})
	ws.w.Record("worker %s begins life %d", ws.id, ws.life)
	ws.heartbeat()
}

func (ws *Worker) clock() time.Duration {
	return time.Duration(float64(time.Since(ws.born)) * ws.clockRate)
}

// heartbeat writes the entry of the worker. It is called with the lock.
func (ws *Worker) heartbeat() {
	if ws.w.store.isDown() {
		return
	}
	ws.lastBeat = time.Now()
	ws.beat++
	entry := map[string]any{
		"service": ws.service, "addr": ws.link.Address(), "zone": ws.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": workerCapacity, "labels": []string{"a", ws.rack}, "clock_ms": ws.clock().Milliseconds(), "seq": ws.beat, "born": ws.born.UnixMilli(),
	}
	if ws.draining {
		entry["state"], entry["remaining_ms"] = "draining", max(0, time.Until(ws.exit).Milliseconds())
	}
	ws.w.store.Put(rowKey{Table: "servers", Key: ws.id}, entry)
}

var workerCapacity = resources{CPU: 16000, Memory: 32768}

// tick sends heartbeats and ends what has lost its lease.
func (ws *Worker) tick() {
	for range time.Tick(10 * time.Millisecond) {
		ws.mu.Lock()
		if ws.off {
			ws.mu.Unlock()
			return
		}
		silent := time.Since(ws.lastBeat)
		if !ws.down && !ws.cut && ws.thawed == nil && silent >= heartbeatInterval && !ws.w.separated(ws.zone, "") {
			ws.heartbeat()
		}
		if silent > missedHeartbeats*heartbeatInterval {
			ws.w.store.Remove(rowKey{Table: "servers", Key: ws.id})
		}
		if !ws.down && ws.until > 0 && ws.clock() > ws.until {
			ws.lapsed = time.Now()
			if !ws.noLease {
				ws.noLease = true
				ws.w.history.LeaseLapsed(ws.id, ws.life)
			}
			for _, r := range ws.running {
				ws.end(r, promises.Lapsed)
			}
		}
		ws.mu.Unlock()
	}
}

// end lists the end of a run. It is called with the lock.
func (ws *Worker) end(r *taskRun, how promises.How) {
	delete(ws.running, r.key.Task.String())
	ws.endSeq++
	ws.ended = append(ws.ended, endedRun{ws.endSeq, r.key, how})
	ws.w.observeEnd(r.key, how)
	close(ws.changed)
	ws.changed = make(chan struct{})
}

// finish ends a run, unless it has ended or its life has.
func (ws *Worker) finish(r *taskRun, how promises.How) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.down || ws.running[r.key.Task.String()] != r || r.stopping && how != promises.Stopped {
		return
	}
	if how == promises.Done && ws.failing {
		how = promises.Failed
	}
	ws.end(r, how)
}

// endAll ends a life and all that runs in it, without notice. It is called with the lock.
func (ws *Worker) endAll(how promises.How) {
	ws.down = true
	for _, r := range ws.running {
		ws.w.observeEnd(r.key, how)
	}
	ws.running = make(map[string]*taskRun)
	ws.w.history.WorkerEnded(ws.id, ws.life)
}

// Crash ends the worker without notice. It starts again under its ID after a time.
func (ws *Worker) Crash(after time.Duration) {
	if !ws.faults.TryLock() {
		return
	}
	defer ws.faults.Unlock()
	ws.mu.Lock()
	if ws.down {
		ws.mu.Unlock()
		return
	}
	ws.w.Record("worker %s crashes", ws.id)
	ws.endAll(promises.Crashed)
	_ = ws.server.Close()
	ws.mu.Unlock()
	time.Sleep(after)
	listener, err := net.Listen("tcp", ws.address)
	if err != nil {
		panic(err)
	}
	ws.begin()
	ws.serve(listener)
}

// LosePower ends the worker without notice: it falls silent. It starts again under its ID after a time.
func (ws *Worker) LosePower(after time.Duration) {
	if !ws.faults.TryLock() {
		return
	}
	defer ws.faults.Unlock()
	ws.mu.Lock()
	if ws.down || ws.cut {
		ws.mu.Unlock()
		return
	}
	ws.cut = true
	ws.link.Disturb(link.Cut)
	ws.w.Record("worker %s loses power", ws.id)
	ws.endAll(promises.Crashed)
	ws.mu.Unlock()
	time.Sleep(after)
	ws.mu.Lock()
	ws.cut = false
	ws.mu.Unlock()
	ws.begin()
	ws.link.Restore()
}

// CrashAs is Crash, but the worker starts again under another ID.
func (ws *Worker) CrashAs(id string, after time.Duration) {
	ws.nextID = id
	ws.Crash(after)
}

// Freeze makes the worker answer nothing and report nothing for a time. Its leases run on.
func (ws *Worker) Freeze(d time.Duration) {
	if !ws.faults.TryLock() {
		return
	}
	defer ws.faults.Unlock()
	ws.mu.Lock()
	thawed := make(chan struct{})
	ws.thawed = thawed
	ws.mu.Unlock()
	time.Sleep(d)
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.thawed = nil
	close(thawed)
}

// waitThawed waits while the worker is frozen.
func (ws *Worker) waitThawed() {
	ws.mu.Lock()
	thawed := ws.thawed
	ws.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// SetFailing makes all tasks fail, or ends that.
func (ws *Worker) SetFailing(failing bool) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.failing = failing
}

// CarryOutLate makes some commands of a period go unanswered, and be carried out later.
func (ws *Worker) CarryOutLate(period time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.lateUntil = time.Now().Add(period)
}

// Leave makes the worker drain and exit. Another worker takes its place on the machine. It returns when that has begun.
func (ws *Worker) Leave(nextID string) error {
	if !ws.faults.TryLock() {
		return nil
	}
	defer ws.faults.Unlock()
	ws.w.store.waitUp()
	ws.mu.Lock()
	if ws.down || ws.draining {
		ws.mu.Unlock()
		return nil
	}
	ws.draining, ws.exit = true, time.Now().Add(drainTime)
	ws.heartbeat()
	life := ws.life
	ws.mu.Unlock()
	ws.w.history.WorkerDraining(ws.id, life)
	ws.w.Record("worker %s drains", ws.id)
	time.Sleep(drainTime + ws.w.drawTime(0, maxLinger))
	ws.w.Record("worker %s exits", ws.id)
	ws.switchOff(promises.Crashed)
	time.Sleep(replaceTime)
	next, err := ws.w.AddWorker(nextID, ws.service, ws.zone, ws.rack, ws.machine)
	if err != nil {
		return err
	}
	ws.w.cloud.add(next)
	return nil
}

// switchOff ends a worker for good.
func (ws *Worker) switchOff(how promises.How) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.off {
		return
	}
	ws.off = true
	ws.endAll(how)
	_ = ws.server.Close()
	ws.w.store.Remove(rowKey{Table: "servers", Key: ws.id})
}

// SetCut cuts the worker off from everything, or ends the cut. Bytes that were held up are lost.
func (ws *Worker) SetCut(cut bool) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.cut = cut
	ws.w.Record("worker %s is cut off: %t", ws.id, cut)
	if cut {
		ws.link.Disturb(link.Cut)
		return
	}
	ws.link.Restore()
	ws.heartbeat()
}

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
