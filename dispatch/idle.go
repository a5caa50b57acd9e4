package dispatch

import (
	"github.com/chivetiller/chivetiller/dispatch/connection"
	"github.com/chivetiller/chivetiller/endpoint"
)

// idleConns are the idle connections by endpoint ID. A connection is opened only for an attempt that has acquired
// a slot and finds no idle connection. An endpoint therefore never has more connections than its quota of slots.
type idleConns map[string]*endpointConns

type endpointConns struct {
	incarnation uint64
	address     string
	quota       int
	conns       []*connection.Conn
}

// pop removes the most recently used connection to the endpoint, or returns nil.
func (s idleConns) pop(e endpoint.Endpoint) *connection.Conn {
	i := s.forEndpoint(e)
	if len(i.conns) == 0 {
		return nil
	}
	last := len(i.conns) - 1
	conn := i.conns[last]
	i.conns[last] = nil
	i.conns = i.conns[:last]
	return conn
}

// add keeps a connection for reuse. It closes the connection if the endpoint has restarted or moved since, or if the
// quota is used up.
func (s idleConns) add(e endpoint.Endpoint, conn *connection.Conn) {
	i, ok := s[e.ID]
	if !ok || i.incarnation != e.Incarnation || i.address != e.Address || len(i.conns) >= i.quota {
		conn.Close()
		return
	}
	i.conns = append(i.conns, conn)
}

// forEndpoint returns the connections to this incarnation of the endpoint, and closes those to an earlier one.
func (s idleConns) forEndpoint(e endpoint.Endpoint) *endpointConns {
	i, ok := s[e.ID]
	if !ok {
		i = &endpointConns{incarnation: e.Incarnation, address: e.Address}
		s[e.ID] = i
	}
	if i.incarnation != e.Incarnation || i.address != e.Address {
		i.closeDownTo(0)
		i.incarnation, i.address = e.Incarnation, e.Address
	}
	i.quota = e.Quota
	return i
}

// prune closes the connections to endpoints that are leaving or not listed, and those that exceed a quota.
func (s idleConns) prune(endpoints []endpoint.Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		if e.Leaving {
			continue
		}
		listed[e.ID] = true
		i := s.forEndpoint(e)
		i.closeDownTo(i.quota)
	}
	for id, i := range s {
		if !listed[id] {
			i.closeDownTo(0)
			delete(s, id)
		}
	}
}

// closeDownTo closes the most recently used connections until n are left.
func (i *endpointConns) closeDownTo(n int) {
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
