package cases

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"
)

// peerPorts is the number of ports at which a process takes calls of other processes. They follow those for clients and readiness.
const peerPorts = 2

// view is the store as one process sees it: the addresses of the other processes are those of relays, which a cut stops.
type view struct {
	w    *world
	node *node
	// relays holds the address of the relay to each other process, by the address of the process.
	relays map[string]string
}

// viewKey is the key of the view in the context of a request.
type viewKey struct{}

// serveView starts the relays of a process and its view of the store, and returns the address of the view.
func (w *world) serveView(n *node) (address string, err error) {
	v := &view{w: w, node: n, relays: make(map[string]string)}
	for _, to := range w.nodes {
		if to == n {
			continue
		}
		ip := w.nextIP()
		if len(ip) != len(to.ip) {
			// The addresses in rows are replaced in place.
			return "", errors.New("the addresses of relays are longer than those of processes")
		}
		for port := to.firstPort + neededPorts - peerPorts; port < to.firstPort+neededPorts; port++ {
			at, target := fmt.Sprintf("%s:%d", ip, port), fmt.Sprintf("%s:%d", to.ip, port)
			if err := w.relay(at, target, n.zone, to.zone); err != nil {
				return "", err
			}
			v.relays[target] = at
		}
	}
	handler := w.store.handler()
	return w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		v.hold(r)
		handler.ServeHTTP(rw, r.WithContext(context.WithValue(r.Context(), viewKey{}, v)))
	}))
}

// hold holds a request while the zone of the process is cut off from the store.
func (v *view) hold(r *http.Request) {
	if v.w.separated(v.node.zone, "") {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// rows returns rows with the addresses of the relays.
func (v *view) rows(rows []wireRow) []wireRow {
	rows = slices.Clone(rows)
	for i := range rows {
		for address, relay := range v.relays {
			rows[i].Value = bytes.ReplaceAll(rows[i].Value, []byte(address), []byte(relay))
		}
	}
	return rows
}

// relay passes connections on from one zone to another, unless a cut separates them. What arrives during a cut is lost.
func (w *world) relay(at, target, from, to string) error {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = client.Close() }()
				w.waitJoined(from, to)
				server, err := net.Dial("tcp", target)
				if err != nil {
					return
				}
				defer func() { _ = server.Close() }()
				done := make(chan struct{}, 2)
				for _, way := range [][2]net.Conn{{client, server}, {server, client}} {
					go func() {
						w.pass(way[0], way[1], from, to)
						done <- struct{}{}
					}()
				}
				<-done
			}()
		}
	}()
	return nil
}

// pass copies bytes until the connection ends or a cut has ended.
func (w *world) pass(in, out net.Conn, from, to string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := in.Read(buffer)
		if w.separated(from, to) {
			w.waitJoined(from, to)
			return
		}
		if err != nil {
			return
		}
		if _, err := out.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// setCutZone cuts a zone off from all others and from the store, or ends the cut if it is empty.
func (w *world) setCutZone(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutZone = zone
	w.rec.add("zone that is cut off: %q", zone)
}

// separated reports whether a cut separates two zones. The zone of the store is empty.
func (w *world) separated(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutZone != "" && (a == w.cutZone) != (b == w.cutZone)
}

// waitJoined waits until no cut separates two zones.
func (w *world) waitJoined(a, b string) {
	for w.separated(a, b) {
		time.Sleep(10 * time.Millisecond)
	}
}

// zoneOfLeader returns the zone of the leader that sends commands with a fencing token.
func (w *world) zoneOfLeader(fence uint64) string {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for _, row := range slices.Backward(w.store.leaders) {
		if row.version > fence {
			continue
		}
		for _, n := range w.nodes {
			if bytes.Contains(row.value, []byte(n.name)) {
				return n.zone
			}
		}
	}
	return ""
}

// holdCut holds a call of a leader while a cut separates it from the worker.
func (ws *workerServer) holdCut(r *http.Request, fence uint64) {
	if ws.w.zoned && ws.w.separated(ws.zone, ws.w.zoneOfLeader(fence)) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// caseThreeLeaders cuts off the zone of the leader, and stops the next leader right after it has taken over.
func caseThreeLeaders(w *world, fault bool) (broken bool, err error) {
	const cutFor = 6100 * time.Millisecond
	if err := w.addService(9); err != nil {
		return false, err
	}
	w.zoned = true
	w.configure([]string{service}, newQueue("q", 3))
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	body := `{"spec":"run 600000","steps":[{"count":9,"cpu":1000,"mem_mb":64,"est_ms":1000,"long_running":true,"max_per_server":2}]}`
	if !w.submit(0, "/q/e000000000000001", body) {
		return false, errors.New("the job was not accepted")
	}
	var steps []step
	if fault {
		steps = append(steps, step{3 * time.Second, func() {
			first := w.leader()
			w.setCutZone(first.zone)
			time.AfterFunc(cutFor, func() { w.setCutZone("") })
			go w.stopNextLeader(first)
		}})
	}
	w.load(16*time.Second, 60*time.Millisecond, jobBody("run 300", 4, 300*time.Millisecond), steps)
	time.Sleep(8 * time.Second)
	if fault && len(w.leaderNames()) < 3 {
		return false, errors.New("there were fewer than three leaders")
	}
	overlap := w.overlap()
	return w.repeated() > 0 || overlap, nil
}

// stopNextLeader restarts the process that takes over from the first leader, right after that.
func (w *world) stopNextLeader(first *node) {
	for w.leader() == first {
		time.Sleep(10 * time.Millisecond)
	}
	next := w.leader()
	w.rec.add("process %s is the leader after %s", next.name, first.name)
	time.Sleep(100 * time.Millisecond)
	if err := next.restart(); err != nil {
		w.rec.add("process %s was not restarted: %v", next.name, err)
	}
}

// leaderNames returns the names of the leaders in order, each term once.
func (w *world) leaderNames() []string {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	var names []string
	for _, row := range w.store.leaders {
		for _, n := range w.nodes {
			if bytes.Contains(row.value, []byte(n.name)) {
				names = append(names, n.name)
			}
		}
	}
	return slices.Compact(names)
}
