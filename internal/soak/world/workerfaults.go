package world

import (
	"net"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/link"
	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

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
