package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/world"
)

// withdrawal is a job whose submission got no answer, and whose cancelling was acknowledged at a time.
type withdrawal struct {
	id     string
	status int
	at     time.Time
}

// send sends a request of a client that leaves after a time. The status is 0 if there was no answer until then.
func send(w *world.World, n *world.Node, method, path, body string, patience time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.Clients().Address()+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "jobs.example"
	r.Header.Set("X-Api-Key", "key-of-tenant-a")
	r.Header.Set("Chivetiller-Timeout-Ms", "3000")
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	status := 0
	if response, err := (&http.Client{Transport: transport}).Do(r); err == nil {
		status = response.StatusCode
		_ = response.Body.Close()
	}
	w.Record("client: %s %s at %s: %d", method, path, n.Name(), status)
	return status
}

// withdraw cancels a job until that is acknowledged, each time at another process.
func withdraw(w *world.World, path string, first int) (status int) {
	const (
		attempts = 8
		pause    = 200 * time.Millisecond
	)
	for i := range attempts {
		status = send(w, w.Nodes()[(first+i)%len(w.Nodes())], http.MethodDelete, path, "", 3*time.Second)
		if status/100 == 2 || status == http.StatusGone {
			return status
		}
		time.Sleep(pause)
	}
	return 0
}

// submit submits a job until it is accepted, each time at another process.
func submit(w *world.World, path, body string, first int) bool {
	const (
		attempts = 4
		pause    = 200 * time.Millisecond
	)
	for i := range attempts {
		if send(w, w.Nodes()[(first+i)%len(w.Nodes())], http.MethodPost, path, body, 3*time.Second)/100 == 2 {
			return true
		}
		time.Sleep(pause)
	}
	return false
}

// playWithdrawn submits jobs while some writes of the store are done late. Each third client leaves after half of the objective, and then
// cancels its job.
func playWithdrawn(w *world.World, trouble bool) (bool, error) {
	const (
		workers = 8
		jobs    = 48
		// leaving is one in how many clients leaves early.
		leaving   = 3
		lostShare = 0.35
		lostFor   = 1200 * time.Millisecond
		patience  = 300 * time.Millisecond
		contact   = 3 * time.Second
		cancelled = 3 * time.Second
	)
	q := world.NewQueue("q", service, 3)
	if err := begin(w, workers, q); err != nil {
		return false, err
	}
	calm := time.Now()
	if trouble {
		w.Record("store: answers of %.2f of the writes are lost for %s, and they are done late", lostShare, lostFor)
		w.Store().SetLate(lostShare)
		calm = calm.Add(lostFor)
		time.AfterFunc(lostFor, func() {
			w.Store().SetLate(0)
			w.Record("store: no more answers are lost")
		})
	}
	var (
		clients   sync.WaitGroup
		mu        sync.Mutex
		accepted  int
		withdrawn []withdrawal
	)
	for i := range jobs {
		clients.Go(func() {
			id := fmt.Sprintf("%x%015x", i%16, 0xb0+i)
			n := w.Nodes()[i%len(w.Nodes())]
			body := `{"spec":"run 300","steps":[{"count":1,"cpu":1000,"mem_mb":64,"est_ms":300}]}`
			if i%leaving != 0 {
				if !submit(w, q.Prefix+id, body, i) {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				accepted++
				return
			}
			if send(w, n, http.MethodPost, q.Prefix+id, body, patience)/100 == 2 {
				mu.Lock()
				defer mu.Unlock()
				accepted++
				return
			}
			status := withdraw(w, q.Prefix+id, i+1)
			mu.Lock()
			defer mu.Unlock()
			withdrawn = append(withdrawn, withdrawal{id: id, status: status, at: time.Now()})
		})
		time.Sleep(lostFor / jobs)
	}
	clients.Wait()
	if accepted == 0 {
		return false, errors.New("no job was accepted")
	}
	time.Sleep(12 * time.Second)
	broken := false
	for _, c := range withdrawn {
		for _, r := range w.Observed() {
			if r.Task.Job != c.id || c.status == 0 {
				continue
			}
			after, settled := r.Begun.Sub(c.at), r.Begun.Sub(calm)
			w.Record("job %s: its task starts %s after its cancelling was acknowledged with %d, and %s after the last disruption", c.id, after, c.status, settled)
			broken = broken || after > cancelled && settled > contact
		}
	}
	w.Record("%d jobs were accepted and %d withdrawn", accepted, len(withdrawn))
	return broken, nil
}
