// Package node assembles one process on the users' platform: the interface for clients, the list of members, the
// configuration, and the scheduler while the process holds the duty.
//
// # Usage
//
//	n, err := node.New(settings, node.Dependencies{Store: rows, Orders: workers, ...})
//	if err := n.Start(ctx); err != nil { ... }
//	defer n.Stop(ctx)
package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/intake"
	"github.com/chivetiller/chivetiller/kernel"
	"github.com/chivetiller/chivetiller/member"
	"github.com/chivetiller/chivetiller/metrics"
	"github.com/chivetiller/chivetiller/scheduler"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/worker"
)

// Settings are the settings of a process.
type Settings struct {
	Name       string
	IP         string
	DataCentre string
	// ClientAddress and Ready are the addresses for clients and for the question whether the process is ready.
	ClientAddress string
	ReadyAddress  string
	// PeerPort and MetricsPort are on the address IP.
	PeerPort    int
	MetricsPort int
	// StoreAddress, Instances and Advice are addresses of the platform. Instances and Advice may be empty.
	StoreAddress     string
	InstancesAddress string
	AdviceAddress    string
	// Memory is the memory in bytes above which the process is killed, and 0 if there is no bound.
	Memory int64
	// Cores is the processor share of the process.
	Cores  float64
	Bounds scheduler.Bounds
}

// Dependencies are what a process talks to.
type Dependencies struct {
	Store     store.Store
	Commander worker.Commander
	Instances instance.Fleet
	Advisor   advice.Advisor
	Registry  scheduler.Registry
	Decoder   catalog.Decoder
	// JobsHandler returns the interface for clients over an intake.
	JobsHandler func(*intake.Intake, *metrics.Jobs) http.Handler
	// DroppedLines returns how many log lines were dropped.
	DroppedLines func() uint64
	Logger       hclog.Logger
}

// Node is one process.
type Node struct {
	s        Settings
	d        Dependencies
	logger   hclog.Logger
	kernel   *kernel.Kernel
	clock    *store.Clock
	members  *member.Member
	source   *catalog.Source
	peers    *peers
	duty     *duty
	intake   *intake.Intake
	metrics  *metrics.Jobs
	stopping chan struct{}
}

// New returns a process that is not started.
func New(s Settings, d Dependencies) (*Node, error) {
	if d.Logger == nil {
		d.Logger = hclog.NewNullLogger()
	}
	n := &Node{s: s, d: d, logger: d.Logger, kernel: kernel.New(d.Logger), clock: &store.Clock{}, stopping: make(chan struct{})}
	n.metrics = metrics.NewJobs(n.stats)
	n.d.Store = n.metrics.Store(d.Store)
	d.Store = n.d.Store
	n.members = member.New(member.Options{Store: d.Store, Clock: n.clock, Logger: d.Logger, Self: member.Node{
		Name: s.Name, Address: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)), DataCentre: s.DataCentre, Incarnation: ident.New(), Cores: s.Cores,
	}})
	n.peers = newPeers(n)
	n.source = catalog.NewSource(catalog.SourceOptions{Store: d.Store, Clock: n.clock, Decoder: d.Decoder, Peers: n.peers, Logger: d.Logger})
	n.duty = newDuty(n)
	n.intake = intake.New(intake.Options{
		Store: d.Store, Clock: n.clock, Configuration: n.source, Leader: n.peers, Relay: n.peers, Bounds: s.Bounds, Logger: d.Logger,
	})
	return n, n.register()
}

// register lists the services in the order in which they start. They stop in the reverse order.
func (n *Node) register() error {
	peerAddress := net.JoinHostPort(n.s.IP, strconv.Itoa(n.s.PeerPort))
	metricsAddress := net.JoinHostPort(n.s.IP, strconv.Itoa(n.s.MetricsPort))
	services := []kernel.Service{
		n.httpService("peers", peerAddress, n.peers.handler(), peerDrain, nil),
		n.httpService("metrics", metricsAddress, n.metrics.Handler(), 0, nil),
		{Name: "catalog", Value: n.source, Start: start(n.source.Start), Stop: stop(n.source.Stop)},
		{Name: "members", Value: n.members, Start: start(n.members.Start), Stop: stop(n.members.Stop)},
		{Name: "duty", Needs: []string{"members", "catalog"}, Value: n.duty, Start: start(n.duty.Start), Stop: stop(n.duty.Stop)},
		n.httpService("front", n.s.ClientAddress, n.d.JobsHandler(n.intake, n.metrics), n.frontDrain(), []string{"duty", "peers"}),
		n.httpService("ready", n.s.ReadyAddress, http.HandlerFunc(n.ready), 0, []string{"front"}),
	}
	for _, s := range services {
		if err := n.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

func start(f func()) func(context.Context) error {
	return func(context.Context) error { f(); return nil }
}

func stop(f func()) func(context.Context) error { return start(f) }

const (
	// balancerWait is how long clients still come after the process is no longer ready: the balancer asks once a
	// second and takes two misses.
	balancerWait = 2300 * time.Millisecond
	// peerDrain is how long a stop waits for calls of peers.
	peerDrain = 200 * time.Millisecond
	// stopReserve is left of the grace period for the rest of the stop.
	stopReserve = 1200 * time.Millisecond
)

// frontDrain is how long a stop waits for the calls of clients.
func (n *Node) frontDrain() time.Duration {
	return max(time.Second, n.s.Bounds.ShutdownGrace-balancerWait-stopReserve)
}

// Start starts all services.
func (n *Node) Start(ctx context.Context) error {
	n.logger.Info("Process starts.", "node", n.s.Name, "zone", n.s.DataCentre, "front", n.s.ClientAddress, "store", n.s.StoreAddress, "memory", n.s.Memory, "cores", n.s.Cores)
	if err := n.kernel.Start(ctx); err != nil {
		return eris.Wrap(err, "start the process")
	}
	n.logger.Info("Process started.", "node", n.s.Name)
	return nil
}

// Stop hands the duty over, waits until the balancer has noticed, finishes the calls of clients and ends.
func (n *Node) Stop(ctx context.Context) error {
	n.logger.Info("Process stops.", "node", n.s.Name)
	close(n.stopping)
	n.intake.Close()
	n.duty.Stop()
	n.members.Stop()
	select {
	case <-time.After(balancerWait):
	case <-ctx.Done():
	}
	err := n.kernel.Stop(ctx)
	n.logger.Info("Process stopped.", "node", n.s.Name, "error", err)
	return err
}

// ready tells the balancer whether this process can take calls.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if err := n.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readyAge is how old the confirmation of the configuration may be for the process to be ready. It spans a lost call or two.
const readyAge = 4 * time.Second

// Ready returns why the process cannot take calls.
func (n *Node) Ready() error {
	select {
	case <-n.stopping:
		return eris.New("the process stops")
	default:
	}
	if n.source.Current().Version == 0 {
		return eris.New("there is no configuration")
	}
	if age := n.source.Age(); age > readyAge {
		return eris.Errorf("the configuration was confirmed %s ago", age)
	}
	return nil
}

// stats reads the state of the process for its metrics.
func (n *Node) stats(ctx context.Context) metrics.JobStats {
	s := metrics.JobStats{
		ConfigVersion: float64(n.source.Current().Version), ConfigAge: n.source.Age(), Nodes: float64(len(n.members.Live())),
		Jobs: make(map[string]float64), Workers: make(map[string]float64), Runs: make(map[string]float64),
	}
	if n.d.DroppedLines != nil {
		s.DroppedLines = float64(n.d.DroppedLines())
	}
	engine, ok := n.duty.Engine()
	if !ok {
		return s
	}
	s.Holds, s.Tenure = 1, float64(engine.Term())
	counts, err := engine.Counts(ctx)
	if err != nil {
		n.logger.Warn("State of the scheduler cannot be read for a scrape.", "error", err)
		return s
	}
	for state, count := range counts.Jobs {
		s.Jobs[state] = float64(count)
	}
	for state, count := range counts.Workers {
		s.Workers[state] = float64(count)
	}
	for event, count := range map[string]uint64{
		"started": counts.Started, "done": counts.Done, "failed": counts.Failed, "stopped": counts.Stopped, "lost": counts.Lost, "refused": counts.Refused,
	} {
		s.Runs[event] = float64(count)
	}
	return s
}
