package node

import (
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/internal/clients/budget"
	clients "github.com/chivetiller/chivetiller/internal/clients/listener"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
	"github.com/chivetiller/chivetiller/metrics"
)

// Names of the listeners.
const (
	frontListener    = "front"
	readyListener    = "ready"
	peersListener    = "peers"
	commandsListener = "commands"
	metricsListener  = "metrics"
)

const (
	// defaultMemory and defaultDescriptors are assumed where the settings do not name the limits.
	defaultMemory      = 512 << 20
	defaultDescriptors = 4096
	// fileDescriptors are kept for files.
	fileDescriptors = 200
	// defaultMaxHeader and defaultMaxBody hold until there is a configuration, or if it sets none.
	defaultMaxHeader = 16 << 10
	defaultMaxBody   = 256 << 10
	// maxCommand is the size of a command of a leader in bytes. The largest holds the tasks of a worker.
	maxCommand = 256 << 10
	// commandConnection is what a connection for commands holds in bytes: a buffer of 64 KB in each direction, and the responses that wait.
	commandConnection = 160 << 10
	// commandShare is the inverse of the part of the descriptors that are not for files that commands in progress may use for connections
	// to workers.
	commandShare = 4
	// headTimeSlack is added to the time of the configuration for a head, so that a client that uses all of it is served.
	headTimeSlack = time.Second
	// frontReceiveBuffer and peerReceiveBuffer limit what the kernel holds of a connection in bytes. The kernel doubles them. Other
	// processes send transactions of up to 2 MB, which have to arrive within peerTimeout from another data centre.
	frontReceiveBuffer = 32 << 10
	peerReceiveBuffer  = 256 << 10
)

// room is the part of the process that the clients of a listener may use. Each listener has its own, so that a crowd at one takes nothing
// from the others.
type room struct {
	// memory and descriptors are the divisors of the memory for clients and of the descriptors that are not for files.
	memory, descriptors int64
	minConnections      int
	head, body          int64
	receiveBuffer       int
	// connection is what a connection holds at least, if it is not [budget.ConnectionCost].
	connection int64
}

var rooms = map[string]room{
	frontListener: {memory: 1, descriptors: 2, minConnections: 32, head: defaultMaxHeader, body: defaultMaxBody, receiveBuffer: frontReceiveBuffer},
	peersListener: {memory: 2, descriptors: 8, minConnections: 32, head: defaultMaxHeader, body: maxPeerBody, receiveBuffer: peerReceiveBuffer},
	// The load balancer checks each process once a second. Two or three leaders follow each other within seconds at most.
	readyListener:    {memory: 8, descriptors: 32, minConnections: 16, head: defaultMaxHeader, body: defaultMaxHeader, receiveBuffer: frontReceiveBuffer},
	metricsListener:  {memory: 8, descriptors: 32, minConnections: 16, head: defaultMaxHeader, body: defaultMaxHeader, receiveBuffer: frontReceiveBuffer},
	commandsListener: {memory: 8, descriptors: 32, minConnections: 16, head: maxCommand, receiveBuffer: peerReceiveBuffer, connection: commandConnection},
}

// machine returns the memory of the process and its descriptors that are not for files.
func (n *Node) machine() (memory, descriptors int64) {
	memory, descriptors = n.settings.Memory, int64(n.settings.Descriptors)
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return memory, descriptors - fileDescriptors
}

// limits returns the limits of a listener under the configuration in force.
func (n *Node) limits(name string) budget.Limits {
	r, own := rooms[name], n.settings.Serving.Clients()
	if own == (serving.Clients{}) {
		own = serving.Default().Clients()
	}
	memory, descriptors := n.machine()
	l := budget.Limits{
		Memory:      int64(own.MemoryShare*float64(memory)) / r.memory,
		Connections: max(r.minConnections, int(descriptors/r.descriptors)), Connection: r.connection,
		Head: r.head, Body: r.body, HeadTime: own.HeadTime, BodyTime: own.BodyTime, StallTime: own.StallTime,
	}
	if name == frontListener {
		if own.Connections > 0 {
			l.Connections = own.Connections
		}
		if c := n.source.Current(); c != nil {
			l.HeadTime = max(l.HeadTime, c.Limits.HeaderTimeout+headTimeSlack)
			l.Head = min(max(l.Head, c.Limits.MaxHeader), clients.MaxHeaderBytes)
			if c.MaxBody > 0 {
				l.Body = min(c.MaxBody, l.Memory)
			}
		}
	}
	// Connections that wait for a request keep a part, so that clients that send one now and then are not closed for half-read ones.
	l.HalfRead = l.Connections - l.Connections/4
	return l
}

// clientListeners holds the listeners of a process by name.
type clientListeners struct {
	mu     sync.Mutex
	byName map[string]*clients.Listener
}

// listen opens a listener whose clients have room of their own.
func (n *Node) listen(name, address string) (*clients.Listener, error) {
	options := clients.Options{
		Name: name, Limits: func() budget.Limits { return n.limits(name) }, ReceiveBuffer: rooms[name].receiveBuffer, Logger: n.logger,
	}
	if name == commandsListener {
		options.Binary, options.Refuse = true, func(*clients.Refusal) []byte { return nil }
	}
	l, err := clients.Listen(address, options)
	if err != nil {
		return nil, err
	}
	n.clients.mu.Lock()
	defer n.clients.mu.Unlock()
	if n.clients.byName == nil {
		n.clients.byName = make(map[string]*clients.Listener)
	}
	n.clients.byName[name] = l
	return l, nil
}

// stats returns what the clients of all listeners hold.
func (c *clientListeners) stats() map[string]metrics.ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := make(map[string]metrics.ClientStats, len(c.byName))
	for name, l := range c.byName {
		stats[name] = l.Stats().Metrics()
	}
	return stats
}
