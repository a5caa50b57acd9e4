package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

type machine struct {
	id, state string
	worker    *workerServer
}

// cloud is a stand-in for the service that lists and maintains machines. It carries each call out at once.
type cloud struct {
	w        *world
	mu       sync.Mutex
	machines map[string]*machine
}

func (c *cloud) add(id string, ws *workerServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[id] = &machine{id: id, state: "up", worker: ws}
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-upkeep", c.upkeep)
	return mux
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	list := make([]map[string]any, 0, len(c.machines))
	for _, m := range c.machines {
		entry := map[string]any{"machine": m.id, "pool": m.worker.service, "state": m.state, "zone": m.worker.zone, "labels": []string{"a", m.worker.rack}, "capacity": workerCapacity}
		if m.state == "up" {
			entry["id"] = m.worker.id
		}
		list = append(list, entry)
	}
	c.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

// upkeep takes a machine down for its upkeep. A new worker joins its pool after it.
func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if _, err := readJSON(r, &call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	m, ok := c.machines[call.Machine]
	if !ok || m.state != "up" {
		c.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	m.state = "upkeep"
	old := m.worker
	c.mu.Unlock()
	c.w.rec.add("machine %s begins its upkeep, asked by %s", call.Machine, r.Header.Get("Chivetiller-Holder"))
	old.switchOff()
	go func() {
		time.Sleep(upkeepTime)
		ws, err := c.w.addWorker(fmt.Sprintf("%s-u", old.id), old.service, old.zone, old.rack, m.id)
		if err != nil {
			c.w.rec.add("worker cannot start: %v", err)
			return
		}
		c.mu.Lock()
		m.worker, m.state = ws, "up"
		c.mu.Unlock()
	}()
	writeJSON(w, http.StatusOK, map[string]any{})
}

// switchOff ends a worker for good.
func (ws *workerServer) switchOff() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.down, ws.off = true, true
	for _, r := range ws.running {
		ws.w.observeEnd(ws, r, "machine down")
	}
	ws.running = make(map[string]*taskRun)
	_ = ws.listener.Close()
	for conn := range ws.conns {
		_ = conn.Close()
	}
	ws.w.store.remove(rowKey{Table: "servers", Key: ws.id})
}
