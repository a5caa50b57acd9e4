package dispatch

import (
	"github.com/chivetiller/chivetiller/dispatch/connection"
	"github.com/chivetiller/chivetiller/endpoint"
)

// idleConns are the open connections that carry no request, by endpoint.
// A connection is opened only by the holder of a slot, and only if there is no idle one.
// The connections to an endpoint are therefore at most as many as the quota of slots.
type idleConns map[string]*idleEndpoint

type idleEndpoint struct {
	incarnation uint64
	address     string
	quota       int
	conns       []*connection.Conn
}

// take removes the most recently used connection to the endpoint, or returns nil.
func (s idleConns) take(e endpoint.Endpoint) *connection.Conn {
	i := s.of(e)
	if len(i.conns) == 0 {
		return nil
	}
	last := len(i.conns) - 1
	conn := i.conns[last]
	i.conns[last] = nil
	i.conns = i.conns[:last]
	return conn
}

// put keeps a connection unless the endpoint has restarted since or has no quota left for it.
func (s idleConns) put(e endpoint.Endpoint, conn *connection.Conn) {
	i, ok := s[e.ID]
	if !ok || i.incarnation != e.Incarnation || i.address != e.Address || len(i.conns) >= i.quota {
		conn.Close()
		return
	}
	i.conns = append(i.conns, conn)
}

// of returns the connections to this incarnation of the endpoint.
func (s idleConns) of(e endpoint.Endpoint) *idleEndpoint {
	i, ok := s[e.ID]
	if !ok {
		i = &idleEndpoint{incarnation: e.Incarnation, address: e.Address}
		s[e.ID] = i
	}
	if i.incarnation != e.Incarnation || i.address != e.Address {
		i.closeDownTo(0)
		i.incarnation, i.address = e.Incarnation, e.Address
	}
	i.quota = e.Quota
	return i
}

// keep closes the connections to endpoints that are leaving or not listed, and those beyond the quota.
func (s idleConns) keep(endpoints []endpoint.Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		if e.Leaving {
			continue
		}
		listed[e.ID] = true
		i := s.of(e)
		i.closeDownTo(i.quota)
	}
	for id, i := range s {
		if !listed[id] {
			i.closeDownTo(0)
			delete(s, id)
		}
	}
}

func (i *idleEndpoint) closeDownTo(n int) {
	for len(i.conns) > n {
		last := len(i.conns) - 1
		i.conns[last].Close()
		i.conns[last] = nil
		i.conns = i.conns[:last]
	}
}

func (s idleConns) closeAll() {
	for _, i := range s {
		i.closeDownTo(0)
	}
}

func (s idleConns) count() int {
	n := 0
	for _, i := range s {
		n += len(i.conns)
	}
	return n
}
