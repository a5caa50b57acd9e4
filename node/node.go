// Package node assembles one process on the users' platform: the interface for clients, the list of members, the
// configuration, and the scheduler, which runs while the process is the leader.
//
// # Usage
//
//	n, err := node.New(settings, node.Dependencies{Store: rows, Commander: workers, ...})
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
	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/intake"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
	"github.com/chivetiller/chivetiller/internal/store/latency"
	"github.com/chivetiller/chivetiller/internal/workers/delegate"
	"github.com/chivetiller/chivetiller/internal/workers/registry"
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
	// ClientAddress is the listen address for clients, and ReadyAddress the one for readiness checks.
	ClientAddress string
	ReadyAddress  string
	// PeerPort and MetricsPort are the listen ports for other nodes and for metrics, at the address IP. The port after PeerPort
	// is the one for commands to workers, which the node carries for the leader.
	PeerPort    int
	MetricsPort int
	// StoreAddress, InstancesAddress and AdviceAddress are addresses of the platform. The latter two may be empty.
	StoreAddress     string
	InstancesAddress string
	AdviceAddress    string
	// Memory is the memory limit in bytes, above which the process is killed, and 0 if there is no limit.
	Memory int64
	// Descriptors is how many files and connections the process may have open, and 0 if that is not known.
	Descriptors int
	// Cores is the processor share of the process.
	Cores float64
	// InstanceCommandRate is the number of commands for instances a second that the platform accepts, and 0 if it is not known.
	InstanceCommandRate float64
	Bounds              scheduler.Bounds
	// Serving holds the settings that are the project's own.
	Serving serving.Settings
}

// Dependencies connect a process to the platform.
type Dependencies struct {
	Store     store.Store
	Commander worker.Commander
	Instances instance.Fleet
	Advisor   advice.Advisor
	Registry  registry.Decoder
	Decoder   catalog.Decoder
	// JobsHandler returns the HTTP handler for clients.
	JobsHandler func(*intake.Intake, *metrics.Jobs) http.Handler
	// DroppedLines returns how many log lines were dropped.
	DroppedLines func() uint64
	Logger       hclog.Logger
}

// Node is one process.
type Node struct {
	settings   Settings
	deps       Dependencies
	logger     hclog.Logger
	kernel     *kernel.Kernel
	clock      *store.Clock
	members    *member.Member
	source     *catalog.Source
	peers      *peers
	leadership *leadership
	intake     *intake.Intake
	// sender sends commands to workers while this node is the leader, and delegate carries those of other leaders.
	sender   *delegate.Sender
	delegate *delegate.Server
	metrics  *metrics.Jobs
	clients  clientListeners
	stopping chan struct{}
}

// New returns a process that is not started.
func New(s Settings, d Dependencies) (*Node, error) {
	if d.Logger == nil {
		d.Logger = hclog.NewNullLogger()
	}
	n := &Node{settings: s, deps: d, logger: d.Logger, kernel: kernel.New(d.Logger), clock: &store.Clock{}, stopping: make(chan struct{})}
	n.metrics = metrics.NewJobs(n.stats)
	calls := latency.New()
	n.deps.Store = latency.Watch(n.metrics.InstrumentStore(d.Store), calls)
	d.Store = n.deps.Store
	n.members = member.New(member.Options{Store: d.Store, Clock: n.clock, Logger: d.Logger, Self: member.Node{
		Name: s.Name, Address: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)), DataCentre: s.DataCentre, Incarnation: ident.New(), Cores: s.Cores,
		CommandAddress: s.commandAddress(),
	}})
	_, descriptors := n.machine()
	n.delegate = delegate.NewServer(delegate.ServerOptions{
		Commander: d.Commander, Clock: n.clock, Logger: d.Logger,
		MaxCommands: max(descriptors/commandShare, 1), MaxBytes: n.limits(commandsListener).Memory,
	})
	n.sender = delegate.NewSender(delegate.SenderOptions{Direct: d.Commander, Nodes: n.delegates, Cores: s.Cores, Clock: n.clock, Logger: d.Logger})
	n.peers = newPeers(n)
	n.source = catalog.NewSource(catalog.SourceOptions{Store: d.Store, Clock: n.clock, Decoder: d.Decoder, Peers: n.peers, Logger: d.Logger})
	n.leadership = newLeadership(n)
	n.intake = intake.New(intake.Options{
		Store: d.Store, Clock: n.clock, Configuration: n.source, Leader: n.peers, Relay: n.peers, Reports: n.peers, Bounds: s.Bounds, Latency: calls, Logger: d.Logger,
	})
	return n, n.register()
}

// register lists the services in the order in which they start. They stop in the reverse order.
func (n *Node) register() error {
	peerAddress := net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.PeerPort))
	metricsAddress := net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.MetricsPort))
	services := []kernel.Service{
		n.httpService(peersListener, peerAddress, n.peers.handler(), peerDrainTimeout, nil),
		n.httpService(metricsListener, metricsAddress, n.metricsHandler(), 0, nil),
		n.commandService(),
		{Name: "catalog", Value: n.source, Start: startFunc(n.source.Start), Stop: stopFunc(n.source.Stop)},
		{Name: "members", Value: n.members, Start: startFunc(n.members.Start), Stop: stopFunc(n.members.Stop)},
		{Name: "duty", Needs: []string{"members", "catalog", "commands"}, Value: n.leadership, Start: startFunc(n.leadership.Start), Stop: stopFunc(n.leadership.Stop)},
		n.httpService(frontListener, n.settings.ClientAddress, n.deps.JobsHandler(n.intake, n.metrics), n.clientDrainTimeout(), []string{"duty", "peers"}),
		n.httpService(readyListener, n.settings.ReadyAddress, http.HandlerFunc(n.serveReady), 0, []string{"front"}),
	}
	for _, s := range services {
		if err := n.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

// commandAddress returns the listen address for commands of leaders.
func (s *Settings) commandAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort+1))
}

// commandService returns the service that carries the commands of leaders to workers.
func (n *Node) commandService() kernel.Service {
	var listener net.Listener
	return kernel.Service{
		Name: "commands",
		Start: func(context.Context) (err error) {
			if listener, err = n.listen(commandsListener, n.settings.commandAddress()); err != nil {
				return eris.Wrap(err, "listen for commands")
			}
			go func() {
				if err := n.delegate.Serve(listener); err != nil {
					n.logger.Error("Listener has failed.", "listener", "commands", "error", err)
				}
			}()
			n.logger.Info("Listener started.", "listener", "commands", "address", n.settings.commandAddress())
			return nil
		},
		Stop: func(context.Context) error {
			err := listener.Close()
			n.sender.Close()
			n.delegate.Close()
			return err
		},
	}
}

// delegates returns the other live nodes that carry commands.
func (n *Node) delegates() []delegate.Node {
	var nodes []delegate.Node
	for _, m := range n.members.Live() {
		if m.Name != n.settings.Name && m.CommandAddress != "" {
			nodes = append(nodes, delegate.Node{Name: m.Name, Address: m.CommandAddress, DataCentre: m.DataCentre, Cores: m.Cores})
		}
	}
	return nodes
}

func startFunc(f func()) func(context.Context) error {
	return func(context.Context) error { f(); return nil }
}

func stopFunc(f func()) func(context.Context) error { return startFunc(f) }

const (
	// balancerDelay is how long new requests still arrive after the process is no longer ready: the load balancer checks once a
	// second and needs two failed checks.
	balancerDelay = 2300 * time.Millisecond
	// peerDrainTimeout is how long a stop waits for requests of peers to end.
	peerDrainTimeout = 200 * time.Millisecond
	// stopReserve is the part of the grace period that is reserved for the remaining steps of a stop.
	stopReserve = 1200 * time.Millisecond
)

// clientDrainTimeout returns how long a stop waits for requests of clients to end.
func (n *Node) clientDrainTimeout() time.Duration {
	return max(time.Second, n.settings.Bounds.ShutdownGrace-balancerDelay-stopReserve)
}

// Start starts all services.
func (n *Node) Start(ctx context.Context) error {
	n.logger.Info("Process is starting.", "node", n.settings.Name, "zone", n.settings.DataCentre, "front", n.settings.ClientAddress, "store", n.settings.StoreAddress, "memory", n.settings.Memory, "cores", n.settings.Cores)
	if err := n.kernel.Start(ctx); err != nil {
		return eris.Wrap(err, "start the process")
	}
	n.logger.Info("Process started.", "node", n.settings.Name)
	return nil
}

// Stop resigns leadership, waits until the load balancer sends no more requests, finishes the requests of clients, and stops all
// services.
func (n *Node) Stop(ctx context.Context) error {
	n.logger.Info("Process is stopping.", "node", n.settings.Name)
	close(n.stopping)
	n.intake.Close()
	n.leadership.Stop()
	n.members.Stop()
	select {
	case <-time.After(balancerDelay):
	case <-ctx.Done():
	}
	err := n.kernel.Stop(ctx)
	n.logger.Info("Process stopped.", "node", n.settings.Name, "error", err)
	return err
}

// serveReady answers the readiness checks of the load balancer.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if err := n.Ready(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// maxConfigAge is the time since the last confirmation of the configuration after which the process is not ready. It covers one or
// two lost calls.
const maxConfigAge = 4 * time.Second

// Ready returns an error if the process cannot handle requests of clients.
func (n *Node) Ready(ctx context.Context) error {
	select {
	case <-n.stopping:
		return eris.New("the process is stopping")
	default:
	}
	if n.source.Current().Version == 0 {
		return eris.New("there is no configuration")
	}
	if age := n.source.Age(); age > maxConfigAge {
		return eris.Errorf("the configuration was confirmed %s ago", age)
	}
	if n.peers.Partitioned(ctx) {
		// It can accept no job. The load balancer takes clients to another data centre once no process of this one is ready.
		return errPartitioned
	}
	return nil
}

var errPartitioned = eris.New("neither the store nor another data centre is reachable")

// stats reads the state of the process for its metrics.
func (n *Node) stats(ctx context.Context) metrics.JobStats {
	s := metrics.JobStats{
		ConfigVersion: float64(n.source.Current().Version), ConfigAge: n.source.Age(), Nodes: float64(len(n.members.Live())),
		Jobs: make(map[string]float64), Workers: make(map[string]float64), Runs: make(map[string]float64), WaitingTasks: make(map[string]float64),
		LongestWaits: make(map[string]time.Duration), Decisions: make(map[[2]string]float64),
		EvacuatedFor: make(map[string]time.Duration), EvacuationRuns: make(map[string]float64),
	}
	evacuations := n.source.Evacuations()
	for _, name := range evacuations.Names() {
		s.EvacuatedFor[name] = clock.Now() - evacuations.Since(name)
	}
	if n.deps.DroppedLines != nil {
		s.DroppedLines = float64(n.deps.DroppedLines())
	}
	s.Clients = n.clients.stats()
	engine, ok := n.leadership.Engine()
	if !ok {
		return s
	}
	s.Leader, s.Term = 1, float64(engine.Term())
	counts, err := engine.Counts(ctx)
	if err != nil {
		n.logger.Warn("State of the scheduler cannot be read for the metrics.", "error", err)
		return s
	}
	for state, count := range counts.Jobs {
		s.Jobs[state] = float64(count)
	}
	s.RefusedBatches, s.SinceStored = float64(counts.RefusedBatches), counts.SinceStored
	for reason, count := range counts.WaitingTasks {
		s.WaitingTasks[string(reason)] = float64(count)
	}
	for reason, wait := range counts.LongestWaits {
		s.LongestWaits[string(reason)] = wait
	}
	for dataCentre, count := range counts.EvacuationRuns {
		s.EvacuationRuns[dataCentre] = float64(count)
	}
	for decision, count := range counts.Decisions {
		s.Decisions[[2]string{decision.Part, decision.Outcome}] = float64(count)
	}
	for state, count := range counts.Workers {
		s.Workers[state] = float64(count)
	}
	for event, count := range map[string]uint64{
		"started": counts.Started, "done": counts.Done, "failed": counts.Failed, "stopped": counts.Stopped, "lost": counts.Lost, "refused": counts.Refused,
		"crashed": counts.Crashed,
	} {
		s.Runs[event] = float64(count)
	}
	return s
}
