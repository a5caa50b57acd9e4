package world

import (
	"fmt"
	"net"
	"net/http"
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
