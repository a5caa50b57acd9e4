package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// maxWaiting is the number of calls that may wait at the policy service.
	maxWaiting = 32
	// allowedShare is the share of the workers that the policy allows for a step, in tenths.
	allowedShare = 7
)

// ticket allows the tasks of a step to start on a life of a worker until a time.
type ticket struct {
	step, worker string
	born         time.Time
	until        time.Time
}

// allowed reports whether the policy allows a step on a worker. That does not change.
func allowed(step, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + " " + worker))
	return h.Sum32()%10 < allowedShare
}

// advice returns the policy service for one calling machine. It handles one call at a time, in turn, and turns calls away when as many wait as
// may. A call whose caller has given up is dropped, also while it is handled.
func (w *World) advice() http.Handler {
	var (
		mu      sync.Mutex
		waiting int
	)
	// Goroutines that wait for a send get the turn in the order in which they came.
	turn := make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", func(rw http.ResponseWriter, r *http.Request) {
		var call struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if _, err := readJSON(r, &call); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		policy, ok := w.policyOf(call.Step)
		if !ok {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		mu.Lock()
		if waiting >= maxWaiting {
			mu.Unlock()
			w.count(&w.turnedAway)
			rw.WriteHeader(http.StatusTooManyRequests)
			return
		}
		waiting++
		mu.Unlock()
		arrived := time.Now()
		taken := false
		select {
		case turn <- struct{}{}:
			taken = true
		case <-r.Context().Done():
		}
		mu.Lock()
		waiting--
		mu.Unlock()
		if taken {
			defer func() { <-turn }()
			select {
			case <-time.After(time.Duration(policy.Decide+policy.Each*int64(len(call.Workers))) * time.Millisecond):
			case <-r.Context().Done():
				taken = false
			}
		}
		if !taken {
			w.count(&w.givenUp)
			w.Record("policy service: the caller gave up on step %s after %s", call.Step, time.Since(arrived).Round(time.Millisecond))
			return
		}
		granted := [][2]string{}
		for _, id := range call.Workers {
			if allowed(call.Step, id) {
				granted = append(granted, [2]string{id, w.newTicket(call.Step, id, policy)})
			}
		}
		w.count(&w.advised)
		w.Record("policy service: step %s gets %d tickets of %d after %s", call.Step, len(granted), len(call.Workers), time.Since(arrived).Round(time.Millisecond))
		writeJSON(rw, http.StatusOK, map[string]any{"granted": granted, "valid_ms": policy.Valid})
	})
	return mux
}

func (w *World) count(n *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*n++
}

// policyOf returns the policy of the queue of a step.
func (w *World) policyOf(step string) (Advice, bool) {
	id, _, _ := strings.Cut(step, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return Advice{}, false
	}
	return j.policy, j.advised
}

func (w *World) newTicket(step, id string, policy Advice) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	value := fmt.Sprintf("t-%d", len(w.tickets)+1)
	t := ticket{step: step, worker: id, until: time.Now().Add(time.Duration(policy.Valid) * time.Millisecond)}
	for _, ws := range w.workers {
		if ws.id == id {
			t.born = ws.born
		}
	}
	w.tickets[value] = t
	return value
}

// ticketValid reports whether a task may start on a life of a worker with a ticket.
func (w *World) ticketValid(value, task, id string, born time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tickets[value]
	return ok && strings.HasPrefix(task, t.step+".") && t.worker == id && t.born.Equal(born) && time.Now().Before(t.until)
}
