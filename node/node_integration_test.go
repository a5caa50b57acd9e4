package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/intake"
	"github.com/chivetiller/chivetiller/metrics"
	"github.com/chivetiller/chivetiller/scheduler"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// fakeWorkers runs each task for fakeRunTime and counts all starts.
type fakeWorkers struct {
	mu      sync.Mutex
	fence   uint64
	running map[work.Task]worker.Run
	ended   []worker.Exit
	starts  map[work.Task]int
}

const fakeRunTime = 30 * time.Millisecond

func (f *fakeWorkers) reply() worker.Reply { return worker.Reply{Clock: clock.Now(), Incarnation: 1} }

func (f *fakeWorkers) Start(_ context.Context, _ worker.Target, o worker.StartCommand) (worker.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Fence < f.fence {
		return worker.Reply{Outcome: worker.Fenced, Clock: clock.Now()}, nil
	}
	if _, ok := f.running[o.Task]; ok {
		return f.reply(), nil
	}
	f.starts[o.Task]++
	f.running[o.Task] = worker.Run{Task: o.Task, Number: o.Run}
	time.AfterFunc(fakeRunTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.running, o.Task)
		f.ended = append(f.ended, worker.Exit{Seq: uint64(len(f.ended) + 1), Task: o.Task, Number: o.Run, Reason: worker.ExitDone})
	})
	return f.reply(), nil
}

func (f *fakeWorkers) Stop(context.Context, worker.Target, worker.RunCommand) (worker.Reply, error) {
	return f.reply(), nil
}

func (f *fakeWorkers) Throttle(context.Context, worker.Target, worker.RunCommand) (worker.Reply, error) {
	return f.reply(), nil
}

func (f *fakeWorkers) Renew(ctx context.Context, _ worker.Target, o worker.RenewCommand) (worker.Status, error) {
	limit := time.Now().Add(min(o.MaxWait, 20*time.Millisecond))
	for {
		f.mu.Lock()
		f.fence = max(f.fence, o.Fence)
		s := worker.Status{Reply: f.reply()}
		for _, r := range f.running {
			s.Running = append(s.Running, r)
		}
		for _, e := range f.ended {
			if e.Seq > o.AcknowledgedSeq {
				s.Exited = append(s.Exited, e)
			}
		}
		f.mu.Unlock()
		if len(s.Exited) > 0 || time.Now().After(limit) || ctx.Err() != nil {
			return s, ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

type fakeRegistry struct{}

func (fakeRegistry) Table() (table, part string) { return "workers", "" }

func (fakeRegistry) Decode(row store.Row) (worker.Report, error) {
	return worker.Report{ID: row.Name, Pool: "p", Address: row.Name, Capacity: work.Resources{CPU: 8000, Memory: 8000}, Incarnation: 1}, nil
}

type fakeDecoder struct{}

func (fakeDecoder) Table() string             { return "op" }
func (fakeDecoder) ConfigRow() store.Key      { return store.Key{Table: "op", Name: "config"} }
func (fakeDecoder) IsWave(row store.Row) bool { return strings.HasPrefix(row.Name, "wave") }

func (fakeDecoder) IsEvacuation(row store.Row) bool { return strings.HasPrefix(row.Name, "evacuate/") }

func (fakeDecoder) DecodeEvacuation(row store.Row) (string, error) {
	return strings.TrimPrefix(row.Name, "evacuate/"), nil
}

func (fakeDecoder) DecodeConfig([]byte) (*catalog.Catalog, error) {
	return catalog.New(1, 0, []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 2, BaseTarget: time.Second, Public: true}},
		[]catalog.Pool{{Name: "p"}}, nil), nil
}

func (fakeDecoder) DecodeWave(store.Row) (instance.Wave, error) { return instance.Wave{}, nil }

func (fakeDecoder) WaveStatus(row store.Key, _ bool) store.Put {
	return store.Put{Key: store.Key{Table: "status", Name: row.Name}, Value: []byte("{}")}
}

type noInstances struct{}

func (noInstances) List(context.Context) ([]instance.Instance, error) { return nil, nil }
func (noInstances) Move(context.Context, instance.Leader, string, string) (instance.Outcome, error) {
	return instance.Refused, nil
}
func (noInstances) Maintain(context.Context, instance.Leader, string, int) (instance.Outcome, error) {
	return instance.Refused, nil
}

type noAdvice struct{}

func (noAdvice) Advise(context.Context, string, int, int, []string) (advice.Grant, error) {
	return advice.Grant{}, nil
}

// cluster is a number of processes that share a store and workers.
type cluster struct {
	store   *memory.Store
	workers *fakeWorkers
	nodes   []*Node
	stores  []*memory.View
}

// Ports of the nodes. Each has an IP address of its own.
const (
	clientPort = 8340 + iota
	readyPort
	metricsPort
	peerPort
)

// lastNode counts the nodes of this process.
var lastNode atomic.Uint32

// nodeIP returns a loopback address that no other node of the tests has. A port that is free on an address that others use may be taken by
// another test, or by the local end of a connection, before the node listens on it.
func nodeIP() string {
	n, pid := lastNode.Add(1), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+n/250%60, n%250, 1+pid%250)
}

func newCluster(t *testing.T, size int) *cluster {
	return newClusterOn(t, size, func(s store.Store) store.Store { return s })
}

// newClusterOn starts nodes on what wrap makes of their stores.
func newClusterOn(t *testing.T, size int, wrap func(s store.Store) store.Store) *cluster {
	return newClusterWith(t, size, wrap, func(*Settings, *Dependencies) {})
}

// newClusterWith starts nodes with settings and dependencies that change adapts.
func newClusterWith(t *testing.T, size int, wrap func(s store.Store) store.Store, change func(*Settings, *Dependencies)) *cluster {
	c := &cluster{store: memory.New(), workers: &fakeWorkers{running: make(map[work.Task]worker.Run), starts: make(map[work.Task]int)}}
	_, err := c.store.Commit(t.Context(), store.Tx{Puts: []store.Put{
		{Key: fakeDecoder{}.ConfigRow(), Value: []byte("x")}, {Key: store.Key{Table: "workers", Name: "w1"}, Value: []byte("x")},
	}})
	qt.Assert(t, err, qt.IsNil)
	for i := range size {
		ip := nodeIP()
		s := Settings{
			Name: fmt.Sprintf("n%d", i), IP: ip, DataCentre: fmt.Sprint("z", i%2),
			ClientAddress: fmt.Sprintf("%s:%d", ip, clientPort), ReadyAddress: fmt.Sprintf("%s:%d", ip, readyPort), PeerPort: peerPort, MetricsPort: metricsPort,
			Bounds: scheduler.Bounds{MaxLease: 10 * time.Second, ConfigDelay: 2 * time.Second, ConfigOutageDelay: 5 * time.Second, Retention: time.Minute, ShutdownGrace: 4 * time.Second},
		}
		own := memory.NewView(c.store)
		c.stores = append(c.stores, own)
		d := Dependencies{
			Store: wrap(own), Commander: c.workers, Instances: noInstances{}, Advisor: noAdvice{}, Registry: fakeRegistry{}, Decoder: fakeDecoder{},
			JobsHandler: func(*intake.Intake, *metrics.Jobs) http.Handler { return http.NotFoundHandler() },
			Logger:      testLogger(t),
		}
		change(&s, &d)
		n, err := New(s, d)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n.Start(t.Context()), qt.IsNil)
		c.nodes = append(c.nodes, n)
	}
	return c
}

// eventually waits until a condition holds.
func eventually(t *testing.T, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition does not hold after %s", limit)
		}
	}
}

func (c *cluster) submit(t *testing.T, n *Node, id string) {
	a, outcome := n.intake.Admit("h", "/q/"+id, "")
	qt.Assert(t, outcome, qt.Equals, intake.OK)
	job := work.Job{ID: id, Steps: []work.Step{
		{Count: 3, Request: work.Resources{CPU: 1000}, Estimate: fakeRunTime}, {Count: 2, Request: work.Resources{CPU: 1000}, Estimate: fakeRunTime, DependsOn: []int{0}},
	}}
	submitted, _ := n.intake.Submit(t.Context(), a, job)
	qt.Assert(t, submitted, qt.Equals, intake.OK)
}

func finished(t *testing.T, n *Node, id string) bool {
	state, outcome := n.intake.State(t.Context(), intake.Admission{}, id)
	return outcome == intake.OK && state == work.Finished
}

// TestServe guards against parts that work alone but not together: jobs accepted by any process run once, and all processes report
// them as finished, also after the leader has been stopped.
func TestServe(t *testing.T) {
	c := newCluster(t, 3)
	for _, n := range c.nodes {
		eventually(t, 5*time.Second, func() bool { return n.Ready(t.Context()) == nil })
	}
	eventually(t, 5*time.Second, func() bool { _, ok := c.nodes[0].members.Leader(); return ok })
	for i, n := range c.nodes {
		c.submit(t, n, fmt.Sprintf("job%d", i))
	}
	for i := range c.nodes {
		for _, n := range c.nodes {
			eventually(t, 5*time.Second, func() bool { return finished(t, n, fmt.Sprintf("job%d", i)) })
		}
	}
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", c.nodes[0].settings.IP, metricsPort))
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Contains, "chivetiller_store_call_seconds_bucket")

	leader := slices.IndexFunc(c.nodes, func(n *Node) bool { _, holds := n.leadership.Engine(); return holds })
	qt.Assert(t, leader >= 0, qt.IsTrue)
	qt.Assert(t, c.nodes[leader].Stop(context.Background()), qt.IsNil)
	left := slices.Delete(c.nodes, leader, leader+1)
	c.submit(t, left[0], "after")
	for _, n := range left {
		eventually(t, 8*time.Second, func() bool { return finished(t, n, "after") && finished(t, n, "job0") })
		defer func() { qt.Assert(t, n.Stop(context.Background()), qt.IsNil) }()
	}
	c.workers.mu.Lock()
	defer c.workers.mu.Unlock()
	qt.Assert(t, len(c.workers.starts), qt.Equals, 20)
	for task, n := range c.workers.starts {
		qt.Assert(t, n, qt.Equals, 1, qt.Commentf("starts of %v", task))
	}
}

// TestStoreRejectsNode guards against a process that accepts no jobs and returns no states while the store rejects its calls, also
// after another process has become the leader.
func TestStoreRejectsNode(t *testing.T) {
	c := newCluster(t, 3)
	for _, n := range c.nodes {
		eventually(t, 5*time.Second, func() bool { return n.Ready(t.Context()) == nil })
		defer func() { _ = n.Stop(context.Background()) }()
	}
	for _, n := range c.nodes {
		eventually(t, 5*time.Second, func() bool { return len(n.members.Live()) == len(c.nodes) })
	}
	eventually(t, 5*time.Second, func() bool { _, ok := c.nodes[0].members.Leader(); return ok })
	leader := slices.IndexFunc(c.nodes, func(n *Node) bool { _, ok := n.members.Term(); return ok })
	qt.Assert(t, leader >= 0, qt.IsTrue)
	c.stores[leader].Disconnect(store.ErrNotDone)
	away := c.nodes[leader]
	eventually(t, 8*time.Second, func() bool {
		return slices.ContainsFunc(c.nodes, func(n *Node) bool { _, ok := n.leadership.Engine(); return ok && n != away })
	})
	c.submit(t, away, "job")
	eventually(t, 5*time.Second, func() bool { return finished(t, away, "job") })
}

// longStore takes a time for each scan of the progress of jobs.
type longStore struct {
	store.Store
	scan time.Duration
}

func (s longStore) Scan(ctx context.Context, table, partition, from, to string) (store.Rows, error) {
	if table == "progress" && to == "" {
		select {
		case <-time.After(s.scan):
		case <-ctx.Done():
			return store.Rows{}, ctx.Err()
		}
	}
	return s.Store.Scan(ctx, table, partition, from, to)
}

// TestLongLoad guards against a leader that never begins because reading all rows takes longer than the start of a term may, and
// against one that goes on reading after its term has ended.
func TestLongLoad(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		scan   time.Duration
		depose bool
	}{
		"long read":  {3500 * time.Millisecond, false},
		"term ended": {time.Minute, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newClusterOn(t, 1, func(s store.Store) store.Store { return longStore{s, test.scan} })
			n := c.nodes[0]
			defer func() { _ = n.Stop(context.Background()) }()
			eventually(t, 5*time.Second, func() bool { _, leading := n.members.Term(); return leading })
			if !test.depose {
				eventually(t, 2*test.scan, func() bool { _, running := n.leadership.Engine(); return running })
				return
			}
			term, _ := n.members.Term()
			limited, cancel := n.leadership.untilTermEnds(t.Context(), term.Fence)
			defer cancel()
			qt.Assert(t, limited.Err(), qt.IsNil)
			n.members.Depose(term.Fence, "test")
			eventually(t, time.Second, func() bool { return limited.Err() != nil })
		})
	}
}

// TestPartitioned guards against a node that counts as partitioned while only the store is unreachable, and against one that does not
// although it reaches no other data centre either. Clients of such a node are refused until the load balancer takes them elsewhere, so that it
// must not be ready before its configuration is too old.
func TestPartitioned(t *testing.T) {
	c := newCluster(t, 2)
	for _, n := range c.nodes {
		eventually(t, 5*time.Second, func() bool { return len(n.members.Live()) == len(c.nodes) })
	}
	near, far := c.nodes[0], c.nodes[1]
	defer func() { _ = near.Stop(context.Background()) }()
	qt.Assert(t, near.peers.Partitioned(t.Context()), qt.IsFalse)
	c.stores[0].Disconnect(store.ErrUnknown)
	eventually(t, 5*time.Second, near.clock.Unreachable)
	qt.Assert(t, near.peers.Partitioned(t.Context()), qt.IsFalse)
	qt.Assert(t, far.Stop(context.Background()), qt.IsNil)
	time.Sleep(probeInterval)
	qt.Assert(t, near.peers.Partitioned(t.Context()), qt.IsTrue)
	qt.Assert(t, near.Ready(t.Context()), qt.ErrorIs, errPartitioned)
	c.stores[0].Reconnect()
	eventually(t, 5*time.Second, func() bool { return !near.peers.Partitioned(t.Context()) })
	eventually(t, 5*time.Second, func() bool { return near.Ready(t.Context()) == nil })
}

// testLogger writes the log of the processes to the log of the test.
func testLogger(t *testing.T) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Output: t.Output(), Level: hclog.Info})
}
