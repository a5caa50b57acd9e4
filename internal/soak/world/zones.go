package world

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
	w    *World
	node *Node
	// relays holds the address of the relay to each other process, by the address of the process.
	relays map[string]string
}

// viewKey is the key of the view in the context of a request.
type viewKey struct{}

// serveView starts the relays of a process and its view of the store, and returns the address of the view.
func (w *World) serveView(n *Node) (address string, err error) {
	v := &view{w: w, node: n, relays: make(map[string]string)}
	if !w.options.Zoned {
		return w.serveTo(v)
	}
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
	return w.serveTo(v)
}

// serveTo serves a view of the store, and returns its address.
func (w *World) serveTo(v *view) (address string, err error) {
	handler := w.store.handler()
	return w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		v.hold(r)
		if v.node.refused.Load() {
			writeJSON(rw, http.StatusServiceUnavailable, map[string]any{"error": "the store refuses this process"})
			return
		}
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
func (w *World) relay(at, target, from, to string) error {
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
func (w *World) pass(in, out net.Conn, from, to string) {
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

// SetCutZone cuts a zone off from all others and from the store, or ends the cut if it is empty.
func (w *World) SetCutZone(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutZone = zone
	w.Record("zone that is cut off: %q", zone)
}

// separated reports whether a cut separates two zones. The zone of the store is empty.
func (w *World) separated(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutZone != "" && (a == w.cutZone) != (b == w.cutZone)
}

// waitJoined waits until no cut separates two zones.
func (w *World) waitJoined(a, b string) {
	for w.separated(a, b) {
		time.Sleep(10 * time.Millisecond)
	}
}

// zoneOfLeader returns the zone of the leader that sends commands with a fencing token.
func (w *World) zoneOfLeader(fence uint64) string {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for _, row := range slices.Backward(w.store.leaders) {
		if row.version > fence {
			continue
		}
		for _, n := range w.nodes {
			if n.isNamedIn(row.value) {
				return n.zone
			}
		}
	}
	return ""
}

// holdCut holds a call of a leader while a cut separates it from the worker.
func (ws *Worker) holdCut(r *http.Request, fence uint64) {
	if ws.w.options.Zoned && ws.w.separated(ws.zone, ws.w.zoneOfLeader(fence)) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// LeaderNames returns the names of the leaders in order, each term once.
func (w *World) LeaderNames() []string {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	var names []string
	for _, row := range w.store.leaders {
		for _, n := range w.nodes {
			if n.isNamedIn(row.value) {
				names = append(names, n.name)
			}
		}
	}
	return slices.Compact(names)
}
