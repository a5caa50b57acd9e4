package world

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

type machine struct {
	id, state string
	worker    *Worker
}

// cloud is a stand-in for the service that lists and maintains machines. It carries each call out at once.
type cloud struct {
	w        *World
	mu       sync.Mutex
	machines map[string]*machine
}

// add adds the machine of a worker, or replaces its worker.
func (c *cloud) add(ws *Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[ws.machine] = &machine{id: ws.machine, state: "up", worker: ws}
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
	if !ok || m.state != "up" || m.worker.leaving() {
		c.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	m.state = "upkeep"
	old := m.worker
	c.mu.Unlock()
	c.w.Record("machine %s begins its upkeep, asked by %s", call.Machine, r.Header.Get("Chivetiller-Holder"))
	ended := c.w.history.Disrupt(promises.Maintenance, old.id)
	old.switchOff(promises.SwitchedOff)
	go func() {
		defer ended()
		time.Sleep(upkeepTime)
		ws, err := c.w.AddWorker(fmt.Sprintf("%s-u", old.id), old.service, old.zone, old.rack, m.id)
		if err != nil {
			c.w.Record("worker cannot start: %v", err)
			return
		}
		c.add(ws)
	}()
	writeJSON(w, http.StatusOK, map[string]any{})
}

// leaving reports whether the worker drains or is down, so that its machine cannot be maintained.
func (ws *Worker) leaving() bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.draining || ws.down
}
