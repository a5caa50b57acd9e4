// Package peer connects entry instances with each other: membership, configuration and its freshness,
// summaries of load, and requests of other packages. Connections are QUIC with mutual TLS 1.3, messages are CBOR.
// There is no consensus: what needs agreement goes through the platform's table.
//
// # Usage
//
//	node, err := peer.New(peer.Options{
//		ID: "entry-1", DataCentre: "dc1", Listen: "10.0.0.1:7300", Peers: []string{"10.0.1.1:7300"},
//		Certificates: certificates, Configuration: source, Table: table,
//	})
//	node.Handle("allotmentRequest", func(ctx context.Context, from peer.Member, body []byte) ([]byte, error) { ... })
//	err = node.Start(ctx)
//	node.SetLoad("counterPricing", peer.Load{Queued: 12, Running: 8, Slots: 8})
//	for _, m := range node.Members() { ... }
//	err = node.Stop(ctx) // announces the stop first
package peer

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/provider"
)

// Configuration is the part of the configuration that peers exchange. [config.Source] implements it.
type Configuration interface {
	// Report returns the version in force and the time since it was certainly current.
	Report() (version uint64, age time.Duration, known bool)
	// Observe records that no version after the given one had been accepted at the instant.
	// It returns false if a later version than the one in force has to be accepted first.
	Observe(version uint64, at time.Time) bool
	// Delta returns what a peer at the version needs.
	Delta(after uint64) ([]byte, error)
	// Accept puts a peer's delta in force.
	Accept(delta []byte) error
	// Changed is closed when the next version is in force.
	Changed() <-chan struct{}
}

// Handler answers a request of a peer.
type Handler func(ctx context.Context, from Member, body []byte) ([]byte, error)

// Defaults of Options.
const (
	DefaultHeartbeatInterval = time.Second
	// DefaultLoadBytesPerSecond leaves two thirds of the 6 KB/s of a node for heartbeats, acknowledgements and deltas.
	DefaultLoadBytesPerSecond = 2000
	// DefaultRenewalInterval is the interval of registrations. Seven instances then cost the platform less than two operations a second.
	DefaultRenewalInterval = 10 * time.Second
)

// Options are the settings of a Node.
type Options struct {
	// ID is the name of this entry instance. It is the same after a restart.
	ID         string
	DataCentre string
	// Listen is the UDP address for peers. Conn, if set, is used in its place.
	Listen string
	Conn   net.PacketConn
	// Advertise is the address that peers dial. By default it is the local address.
	Advertise string
	// Peers are addresses of other entry instances. The own address does no harm.
	Peers        []string
	Certificates Certificates
	// Configuration is required.
	Configuration Configuration
	// Table, if set, is where entry instances register and find each other.
	Table provider.Table
	// Incarnation is greater than that of every earlier process with the ID. By default it is taken from the clock,
	// and from the table if that has a greater one.
	Incarnation uint64
	// HeartbeatInterval is the time between heartbeats. All entry instances use the same.
	HeartbeatInterval time.Duration
	// LoadBytesPerSecond bounds the bytes a second that are spent on summaries of load.
	LoadBytesPerSecond int
	RenewalInterval    time.Duration
	Logger             hclog.Logger
}

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.LoadBytesPerSecond <= 0 {
		o.LoadBytesPerSecond = DefaultLoadBytesPerSecond
	}
	if o.RenewalInterval <= 0 {
		o.RenewalInterval = DefaultRenewalInterval
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return o
}

// Stats counts what a node has sent and received, with the headers of UDP and IPv4.
type Stats struct {
	SentBytes, ReceivedBytes     uint64
	SentPackets, ReceivedPackets uint64
}
