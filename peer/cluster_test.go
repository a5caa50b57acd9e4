package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/peer/devcert"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/team"
)

const (
	testInterval  = 50 * time.Millisecond
	testFreshness = 500 * time.Millisecond
)

// network simulates network partitions: it drops packets between addresses of different groups.
type network struct {
	mu     sync.Mutex
	groups map[string]int
}

func (n *network) assign(address string, group int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups[address] = group
}

func (n *network) partitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.groups[a] != n.groups[b]
}

// testConn is a UDP socket whose packets a network may drop.
type testConn struct {
	*net.UDPConn
	network *network
}

func (c *testConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	if c.network.partitioned(c.LocalAddr().String(), addr.String()) {
		return len(p), nil
	}
	return c.UDPConn.WriteTo(p, addr)
}

// partitionedTable is a table that can be made unreachable for one entry instance.
type partitionedTable struct {
	provider.Table
	unreachable atomic.Bool
}

func (t *partitionedTable) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	if t.unreachable.Load() {
		return nil, provider.ErrUnavailable
	}
	return t.Table.Read(ctx, keys...)
}

func (t *partitionedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	if t.unreachable.Load() {
		return nil, provider.ErrUnavailable
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

func (t *partitionedTable) Commit(ctx context.Context, txn provider.Txn) error {
	if t.unreachable.Load() {
		return provider.ErrUnavailable
	}
	return t.Table.Commit(ctx, txn)
}

// cluster is a set of entry instances on loopback with one platform.
type cluster struct {
	tb        testing.TB
	authority *devcert.Authority
	dir       string
	network   *network
	table     *standin.Table
	store     *config.Store
	interval  time.Duration
	poll      time.Duration
	policy    config.Policy
	instances []*instance
	// newRemoteTable, if set, returns a client of the table for one entry instance.
	newRemoteTable func() provider.Table
}

type instance struct {
	name   string
	table  *partitionedTable
	source *config.Source
	node   *Node
}

func newCluster(tb testing.TB) *cluster {
	authority, err := devcert.NewAuthority()
	qt.Assert(tb, err, qt.IsNil)
	table := standin.NewTable()
	return &cluster{
		tb: tb, authority: authority, dir: tb.TempDir(), table: table,
		network: &network{groups: make(map[string]int)}, store: config.NewStore(table, config.StoreOptions{}),
		interval: testInterval, poll: testInterval, policy: config.Policy{KeyFreshness: testFreshness},
	}
}

func (c *cluster) certificates(name string) Certificates {
	files, err := c.authority.Write(c.dir, name, time.Hour)
	qt.Assert(c.tb, err, qt.IsNil)
	return Certificates(files)
}

// start runs a new process of the entry instance. Peers find each other through the table and the instances in the cluster.
func (c *cluster) start(name string) *instance {
	table := &partitionedTable{Table: c.table}
	if c.newRemoteTable != nil {
		table.Table = c.newRemoteTable()
	}
	source := config.NewSource(config.NewStore(table, config.StoreOptions{}), config.SourceOptions{Interval: c.poll, Policy: c.policy})
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(c.tb, err, qt.IsNil)
	peers := make([]string, 0, len(c.instances))
	for _, i := range c.instances {
		peers = append(peers, i.node.Address())
	}
	node, err := New(Options{
		Peers: peers,
		ID:    name, DataCentre: "dc1", Conn: &testConn{conn, c.network}, Certificates: c.certificates(name),
		Configuration: source, Table: table, HeartbeatInterval: c.interval, RenewalInterval: 4 * c.interval,
	})
	qt.Assert(c.tb, err, qt.IsNil)
	qt.Assert(c.tb, source.Start(context.Background()), qt.IsNil)
	qt.Assert(c.tb, node.Start(context.Background()), qt.IsNil)
	i := &instance{name: name, table: table, source: source, node: node}
	c.tb.Cleanup(func() { i.stop() })
	return i
}

func (c *cluster) startAll(count int) {
	for i := range count {
		c.instances = append(c.instances, c.start(fmt.Sprintf("entry-%d", i)))
	}
	c.waitConnected(c.instances)
}

func (c *cluster) waitConnected(instances []*instance) {
	eventually(c.tb, 10*time.Second, "all instances are connected and ready", func() bool {
		for _, i := range instances {
			if i.alive() != len(instances)-1 || !i.ready() {
				return false
			}
		}
		return true
	})
}

func (i *instance) stop() {
	_ = i.node.Stop(context.Background())
	_ = i.source.Stop(context.Background())
}

func (i *instance) ready() bool {
	select {
	case <-i.source.Ready():
		return true
	default:
		return false
	}
}

func (i *instance) alive() int {
	count := 0
	for _, m := range i.node.Members() {
		if m.State == Alive {
			count++
		}
	}
	return count
}

func (c *cluster) putDocuments(documents ...config.Document) config.Result {
	result, err := c.store.Change(context.Background(), config.Request{OperationID: ident.New(), Author: "nadia", Puts: documents})
	qt.Assert(c.tb, err, qt.IsNil)
	return result
}

func teamDocument(share float64, keys ...team.KeySpec) config.Document {
	return config.NewDocument(team.Spec{Name: "supervisors", Share: share, UpperLimit: 10, Keys: keys})
}

func eventually(tb testing.TB, limit time.Duration, what string, holds func() bool) {
	tb.Helper()
	for start := time.Now(); time.Since(start) < limit; time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	tb.Fatalf("not within %s: %s", limit, what)
}
