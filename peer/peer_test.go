package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"

	"github.com/chivetiller/chivetiller/peer/devcert"
	"github.com/chivetiller/chivetiller/team"
)

// checkInstance checks one instance until the returned function is called: its configuration version never decreases,
// and a revoked key is not admitted once the bound has passed since its revocation was accepted.
func checkInstance(t *testing.T, i *instance, key string, revoked func() (time.Time, bool)) (stop func()) {
	var tasks sync.WaitGroup
	done := make(chan struct{})
	tasks.Go(func() {
		var version uint64
		for {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
			if v := i.source.Snapshot().Version(); v < version {
				t.Errorf("%s went from version %d back to %d", i.name, version, v)
			} else {
				version = v
			}
			before := time.Now()
			_, err := i.source.Authenticate(key)
			if at, ok := revoked(); ok && err == nil && before.Sub(at) > i.source.Policy().FreshnessBound() {
				t.Errorf("%s admitted a revoked key %s after the revocation", i.name, before.Sub(at))
			}
		}
	})
	return func() { close(done); tasks.Wait() }
}

// Guards against a partitioned data centre that rejects valid keys without need, admits a revoked key for too long,
// or does not catch up after it is connected again.
func TestDataCentreCutOff(t *testing.T) {
	tests := map[string]struct {
		platform, peers bool
		admitted        bool
	}{
		"from the platform": {platform: true, admitted: true},
		"from peers":        {peers: true, admitted: true},
		"from both":         {platform: true, peers: true, admitted: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			cluster := newCluster(t)
			key, spec, err := team.NewKey("k1")
			c.Assert(err, qt.IsNil)
			other, otherSpec, err := team.NewKey("k2")
			c.Assert(err, qt.IsNil)
			cluster.putDocuments(teamDocument(1, spec, otherSpec))
			cluster.startAll(4)
			var (
				mu sync.Mutex
				at time.Time
			)
			for _, i := range cluster.instances {
				defer checkInstance(t, i, key, func() (time.Time, bool) {
					mu.Lock()
					defer mu.Unlock()
					return at, !at.IsZero()
				})()
			}
			isolated := cluster.instances[2:]
			for _, i := range isolated {
				i.table.unreachable.Store(test.platform)
				if test.peers {
					cluster.network.assign(i.node.Address(), 1)
				}
			}
			time.Sleep(50 * time.Millisecond)
			result := cluster.putDocuments(teamDocument(1, otherSpec))
			mu.Lock()
			at = result.AcceptedAt
			mu.Unlock()
			time.Sleep(3 * testFreshness)
			for _, i := range isolated {
				_, err := i.source.Authenticate(other)
				c.Assert(err == nil, qt.Equals, test.admitted, qt.Commentf("%v", err))
				c.Assert(i.source.Snapshot().Version() == 2, qt.Equals, test.admitted)
				i.table.unreachable.Store(false)
				cluster.network.assign(i.node.Address(), 0)
			}
			cluster.putDocuments(teamDocument(2, otherSpec))
			eventually(t, 10*time.Second, "all instances have the last version and see each other", func() bool {
				for _, i := range cluster.instances {
					_, err := i.source.Authenticate(other)
					if err != nil || i.source.Snapshot().Version() != 3 || i.alive() != 3 {
						return false
					}
				}
				return true
			})
		})
	}
}

// Guards against a configuration version that decreases in an entry instance when processes are replaced, one by one
// or all at once, and against a fleet without a running instance that cannot recover from the platform alone.
func TestReplacementKeepsVersion(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t)
	cluster.putDocuments(teamDocument(1))
	cluster.startAll(3)
	seen := make(map[string]uint64)
	check := func(i *instance) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		c.Assert(i.source.WaitReady(ctx), qt.IsNil)
		version := i.source.Snapshot().Version()
		c.Assert(version >= seen[i.name], qt.IsTrue, qt.Commentf("%s went from version %d back to %d", i.name, seen[i.name], version))
		seen[i.name] = version
	}
	for round := range 6 {
		cluster.putDocuments(teamDocument(float64(round + 2)))
		for n, i := range cluster.instances {
			check(i)
			if n != round%4 && round%4 != 3 {
				continue // one instance in a round, and all in the last one
			}
			i.stop()
			seen[i.name] = max(seen[i.name], i.source.Snapshot().Version())
			cluster.instances[n] = cluster.start(i.name)
			// The new process reads the platform only half of the time, so that peers have to confirm its version.
			cluster.instances[n].table.unreachable.Store(round%2 == 1 && n != 0)
		}
	}
	cluster.waitConnected(cluster.instances)
	for _, i := range cluster.instances {
		check(i)
	}
}

// Guards against a peer that gets a reply although its certificate is missing, expired,
// from another authority or for another name.
func TestPeerWithoutValidCertificateLearnsNothing(t *testing.T) {
	other, err := devcert.NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	cluster := newCluster(t)
	cluster.startAll(2)
	honest := cluster.instances[0]
	dir := t.TempDir()
	tests := map[string]func() (devcert.Files, error){
		"missing":         nil,
		"expired":         func() (devcert.Files, error) { return cluster.authority.Write(dir, "expired", -time.Minute) },
		"other authority": func() (devcert.Files, error) { return other.Write(t.TempDir(), "other", time.Hour) },
		"for another name": func() (devcert.Files, error) {
			return cluster.authority.WriteForServerName(dir, "name", "worker.internal", time.Hour)
		},
		"valid, to compare": func() (devcert.Files, error) { return cluster.authority.Write(dir, "valid", time.Hour) },
	}
	for name, issue := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tlsConfig := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol}, InsecureSkipVerify: true}
			if issue != nil {
				files, err := issue()
				c.Assert(err, qt.IsNil)
				pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
				c.Assert(err, qt.IsNil)
				tlsConfig.Certificates = []tls.Certificate{pair}
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var body []byte
			conn, err := quic.DialAddr(ctx, honest.node.Address(), tlsConfig, &quic.Config{EnableDatagrams: true})
			if err == nil {
				defer func() { _ = conn.CloseWithError(0, "") }()
				body, err = roundTrip(ctx, conn, request{Kind: kindHello, Body: []byte{0xa1, 0x01, 0x61, 'x'}})
			}
			valid := name == "valid, to compare"
			c.Assert(err == nil, qt.Equals, valid, qt.Commentf("%v", err))
			c.Assert(len(body) > 0, qt.Equals, valid)
		})
	}
}

// Guards against a renewed certificate that is not used until a restart, and a connection that outlives its certificate.
func TestCertificateIsRenewedWithoutRestart(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t)
	const validity = 3 * time.Second
	first := cluster.start("entry-0")
	_, err := cluster.authority.Write(cluster.dir, "entry-0", validity)
	c.Assert(err, qt.IsNil)
	expiry := time.Now().Add(validity)
	second := cluster.start("entry-1")
	instances := []*instance{first, second}
	cluster.waitConnected(instances)

	// While a renewed file is only partly written, the last valid certificate stays in use.
	renewed, err := cluster.authority.Write(cluster.dir, "entry-0", time.Hour)
	c.Assert(err, qt.IsNil)
	whole, err := os.ReadFile(renewed.Certificate)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(renewed.Certificate, whole[:100], 0o600), qt.IsNil)
	certificate, _ := first.node.certificates.current()
	c.Assert(certificate.Certificate, qt.Not(qt.HasLen), 0)
	c.Assert(os.WriteFile(renewed.Certificate, whole, 0o600), qt.IsNil)

	time.Sleep(time.Until(expiry) + 2*time.Second)
	cluster.waitConnected(instances)
	second.node.mu.Lock()
	defer second.node.mu.Unlock()
	c.Assert(time.Until(second.node.links["entry-0"].expires) > 30*time.Minute, qt.IsTrue)
}

// Guards against a leaving instance that still counts as alive, and one that restarts quickly and is taken for its earlier incarnation.
func TestLeavingAndFastReturn(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t)
	cluster.startAll(2)
	first, second := cluster.instances[0], cluster.instances[1]
	before := second.node.Incarnation()
	second.node.Leave(t.Context())
	c.Assert(first.node.Members()[0].State, qt.Equals, Leaving)
	rows, err := cluster.table.Read(t.Context(), "entry/entry-1")
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.HasLen, 0)
	second.stop()
	second = cluster.start("entry-1")
	eventually(t, 5*time.Second, "the new incarnation is alive", func() bool {
		m := first.node.Members()[0]
		return m.State == Alive && m.Incarnation == second.node.Incarnation()
	})
	c.Assert(second.node.Incarnation() > before, qt.IsTrue)

	// A crash is not announced: the failure detector has to notice it.
	second.node.cancel()
	_ = second.node.conn.Close()
	eventually(t, 5*time.Second, "the crashed instance is dead", func() bool { return first.node.Members()[0].State == Dead })
}

// Guards against requests of other packages that reach the wrong handler or lose its error,
// and against summaries of load that never arrive because a datagram was lost.
func TestRequestsAndSummaries(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t)
	cluster.startAll(2)
	first, second := cluster.instances[0], cluster.instances[1]
	second.node.Handle("echo", func(_ context.Context, from Member, body []byte) ([]byte, error) {
		if len(body) == 0 {
			return nil, fmt.Errorf("nothing to echo")
		}
		return append([]byte(from.ID+" "), body...), nil
	})
	body, err := first.node.Request(t.Context(), "entry-1", "echo", []byte("hello"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, "entry-0 hello")
	_, err = first.node.Request(t.Context(), "entry-1", "echo", nil)
	c.Assert(err, qt.ErrorMatches, "peer: nothing to echo")
	_, err = first.node.Request(t.Context(), "entry-9", "echo", nil)
	c.Assert(err, qt.ErrorMatches, `peer "entry-9" is not connected`)

	cluster.network.assign(second.node.Address(), 1)
	second.node.SetLoad("pricing", Load{Queued: 3, Running: 8, Slots: 8, Wait: 40})
	time.Sleep(2 * testInterval)
	cluster.network.assign(second.node.Address(), 0)
	eventually(t, 5*time.Second, "the load arrives", func() bool {
		return first.node.Members()[0].Loads["pricing"] == Load{Queued: 3, Running: 8, Slots: 8, Wait: 40}
	})
	second.node.RemoveLoad("pricing")
	eventually(t, 5*time.Second, "the load of a removed pool is dropped", func() bool { return len(first.node.Members()[0].Loads) == 0 })
	c.Assert(first.node.Stats().SentBytes > 0 && first.node.Stats().ReceivedBytes > 0, qt.IsTrue)
}

var _ net.PacketConn = (*testConn)(nil)
