// Package peer connects entry instances with each other. It tracks their membership, distributes the configuration
// and its freshness, exchanges summaries of load, and carries requests of other packages.
// Connections are QUIC with mutual TLS 1.3, messages are CBOR.
// There is no consensus protocol: what needs agreement goes through the platform's table.
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
	// Report returns the version in force, the time since it was last confirmed to be current,
	// and whether it was ever confirmed.
	Report() (version uint64, age time.Duration, known bool)
	// Observe records that the version was the latest one at the given time. It returns false if the version
	// is later than the one in force, so that it has to be accepted first.
	Observe(version uint64, at time.Time) bool
	// Delta returns the encoded changes that a peer at the version lacks.
	Delta(after uint64) ([]byte, error)
	// Accept applies a delta of a peer and puts the resulting version in force.
	Accept(delta []byte) error
	// Changed is closed when the next version is in force.
	Changed() <-chan struct{}
}

// Handler answers a request of a peer.
type Handler func(ctx context.Context, from Member, body []byte) ([]byte, error)

// Defaults of Options.
const (
	DefaultHeartbeatInterval = time.Second
	// DefaultLoadBytesPerSecond is a third of the 6 KB/s that a node may send. The rest is left for
	// heartbeats, acknowledgements and deltas.
	DefaultLoadBytesPerSecond = 2000
	// DefaultRenewalInterval is the default time between renewals of a registration. Seven instances then cost
	// the platform less than two operations a second.
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
	// Peers are addresses of other entry instances. The address of this instance may be among them.
	Peers        []string
	Certificates Certificates
	// Configuration is required.
	Configuration Configuration
	// Table, if set, is where entry instances register and find each other.
	Table provider.Table
	// Incarnation has to be greater than that of every earlier process with the ID. By default it is the wall clock time
	// in milliseconds, or one more than the incarnation in the table if that is greater.
	Incarnation uint64
	// HeartbeatInterval is the time between heartbeats. All entry instances have to use the same.
	HeartbeatInterval time.Duration
	// LoadBytesPerSecond limits the traffic for summaries of load to all peers together.
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

// Stats counts the traffic of a node, UDP and IPv4 headers included.
type Stats struct {
	SentBytes, ReceivedBytes     uint64
	SentPackets, ReceivedPackets uint64
}
