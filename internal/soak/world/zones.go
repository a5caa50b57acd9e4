package world

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"github.com/chivetiller/chivetiller/internal/soak/link"
)

// peerPorts is the number of ports at which a process takes calls of other processes. They follow those for clients and readiness.
const peerPorts = 2

// view is the store as one process sees it: the addresses of the other processes are those of links, which can be cut.
type view struct {
	node *Node
	// links holds the address of the link to each other process, by the address of the process.
	links map[string]string
}

// viewKey is the key of the view in the context of a request.
type viewKey struct{}

// serveView starts the links of a process to others, if zones can be cut off, and its view of the store, and returns the address of the
// view.
func (w *World) serveView(n *Node) (address string, err error) {
	v := &view{node: n, links: make(map[string]string)}
	for _, to := range w.nodes {
		if to == n || !w.options.Zoned {
			continue
		}
		ip := w.nextIP()
		if len(ip) != len(to.ip) {
			// The addresses in rows are replaced in place.
			return "", errors.New("the addresses of links are longer than those of processes")
		}
		for port := to.firstPort + neededPorts - peerPorts; port < to.firstPort+neededPorts; port++ {
			target := fmt.Sprintf("%s:%d", to.ip, port)
			l, err := link.Listen(fmt.Sprintf("%s:%d", ip, port), target)
			if err != nil {
				return "", err
			}
			w.peerLinks = append(w.peerLinks, peerLink{l, n.zone, to.zone})
			v.links[target] = l.Address()
		}
	}
	handler := w.store.handler()
	return w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if v.node.refused.Load() {
			writeJSON(rw, http.StatusServiceUnavailable, map[string]any{"error": "the store refuses this process"})
			return
		}
		handler.ServeHTTP(rw, r.WithContext(context.WithValue(r.Context(), viewKey{}, v)))
	}))
}

// rows returns rows with the addresses of the links.
func (v *view) rows(rows []wireRow) []wireRow {
	rows = slices.Clone(rows)
	for i := range rows {
		for address, link := range v.links {
			rows[i].Value = bytes.ReplaceAll(rows[i].Value, []byte(address), []byte(link))
		}
	}
	return rows
}

// peerLink is a link between processes of two zones. The zone of the store is empty.
type peerLink struct {
	*link.Link
	from, to string
}

// SetCutZone cuts a zone off from all others and from the store, or ends the cut if it is empty.
func (w *World) SetCutZone(zone string) {
	w.mu.Lock()
	w.cutZone = zone
	w.mu.Unlock()
	w.Record("zone that is cut off: %q", zone)
	links := slices.Clone(w.peerLinks)
	for _, n := range w.nodes {
		links = append(links, peerLink{n.store, n.zone, ""})
	}
	for _, l := range links {
		if w.separated(l.from, l.to) {
			l.Disturb(link.Cut)
		} else {
			l.Restore()
		}
	}
}

// separated reports whether a cut separates two zones. The zone of the store is empty.
func (w *World) separated(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutZone != "" && (a == w.cutZone) != (b == w.cutZone)
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
