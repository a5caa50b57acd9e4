// Package entry assembles an entry instance: the services that accept requests of callers and operators,
// send work to endpoints, and run the duties (control loops) for which the instance holds leases.
//
// # Usage
//
//	e, err := entry.New(entry.Options{Settings: s, Platform: services, Logger: logger})
//	if err != nil { ... }
//	if err := e.Start(ctx); err != nil { ... }
//	defer e.Stop(ctx) // finishes the requests in flight
package entry

import (
	"cmp"
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/allotment"
	"github.com/chivetiller/chivetiller/burn"
	"github.com/chivetiller/chivetiller/caller"
	"github.com/chivetiller/chivetiller/claim"
	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/directory"
	"github.com/chivetiller/chivetiller/dispatch"
	"github.com/chivetiller/chivetiller/dispatch/connection"
	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/endpoint"
	clients "github.com/chivetiller/chivetiller/internal/clients/listener"
	"github.com/chivetiller/chivetiller/job"
	"github.com/chivetiller/chivetiller/kernel"
	"github.com/chivetiller/chivetiller/lease"
	"github.com/chivetiller/chivetiller/metrics"
	"github.com/chivetiller/chivetiller/operator"
	"github.com/chivetiller/chivetiller/peer"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/queue"
	"github.com/chivetiller/chivetiller/settings"
)

// stableAfterHeartbeats is the number of heartbeat intervals without a change of the membership after which an entry
// instance takes over the slots of one that has gone. It is above
// deadAfterIntervals of package peer, the 8 intervals after which a silent member counts as dead.
const stableAfterHeartbeats = 10

// userDirectory is the store user that reads the instance rows. Its calls are never refused, since work must not be
// sent to instances that are leaving.
const userDirectory provider.User = "directory"

// userOperators is the store user that reads for operators. Its calls are never refused, since operators need them
// most while the store is slow.
const userOperators provider.User = "operators"

// Names of the services in the kernel.
const (
	serviceConfig    = "config"
	servicePeers     = "peers"
	serviceLeases    = "leases"
	serviceAllotment = "allotments"
	serviceClaims    = "claims"
	serviceDispatch  = "dispatch"
	serviceDirectory = "directory"
	serviceApply     = "apply"
	serviceCaller    = "caller"
	serviceDuties    = "duties"
	serviceOperator  = "operator"
	serviceBurn      = "burn"
	serviceMetrics   = "metrics"
	serviceUsage     = "usage"
)

// Services are the services of the platform that an entry instance uses.
type Services struct {
	Table     provider.Table
	Objects   provider.Objects
	Instances provider.Instances
	Tasks     provider.Tasks
}

// Options of an entry instance.
type Options struct {
	Settings settings.Settings
	Platform Services
	Logger   hclog.Logger
}

// Entry is an entry instance.
type Entry struct {
	settings settings.Settings
	logger   hclog.Logger
	kernel   *kernel.Kernel
	// holderID identifies this process as the holder of leases and allotments, and as the owner of claims.
	holderID string
	services Services
	// memory is the memory of the machine in bytes, and 0 if it is not known.
	memory int64
	// dutyNames are the names of all duties that this entry instance may run.
	dutyNames []string
	// burnHistory is the object store with the burn history.
	burnHistory provider.Objects
	// client sends all calls to the platform's table, within the budget of this process.
	client *provider.Client

	store      *config.Store
	source     *config.Source
	node       *peer.Node
	leases     *lease.Manager
	allotments *allotment.Holder
	claims     *claim.Store
	dispatcher *dispatch.Dispatcher
	directory  *directory.Directory
	caller     *caller.Server
	runner     *duty.Runner
	operator   *operator.Server
	recorder   *burn.Recorder
	metrics    *metrics.Set
}

// New returns an entry instance that is not started.
func New(o Options) (*Entry, error) {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	e := &Entry{
		settings: o.Settings,
		logger:   o.Logger.Named("entry"),
		kernel:   kernel.New(o.Logger),
		// The holder is a process: its successor has the same instance name but must not have its leases and allotments.
		holderID:  o.Settings.Name() + "#" + ident.New(),
		services:  o.Platform,
		memory:    cmp.Or(o.Settings.Limits().MemoryBytes, clients.MachineMemory()),
		dutyNames: duty.Names([]string{o.Settings.DataCentre()}),
	}
	if err := e.buildServices(o); err != nil {
		return nil, err
	}
	return e, e.registerServices()
}

// buildServices builds the services in the order of their dependencies.
func (e *Entry) buildServices(o Options) error {
	s := o.Settings
	e.client = provider.NewClient(provider.ClientOptions{
		Table: o.Platform.Table, Writes: s.Platform().WritesPerSecond, Reads: s.Platform().ReadsPerSecond, Logger: o.Logger,
	})
	e.burnHistory = e.client.ObjectsFor(provider.UserHistory, o.Platform.Objects)
	e.store = config.NewStore(e.client.For(provider.UserConfig), config.StoreOptions{
		Objects: e.client.ObjectsFor(provider.UserConfig, o.Platform.Objects),
	})
	e.source = config.NewSource(e.store, config.SourceOptions{
		Policy: config.Policy{
			KeyFreshness:     s.Keys().Freshness,
			WhenUnreachable:  config.WhenUnreachable(s.Keys().WhenUnreachable),
			BoundedFreshness: s.Keys().BoundedFreshness,
		},
		Logger: o.Logger,
	})
	if err := e.buildPeerNode(o); err != nil {
		return err
	}
	e.leases = lease.NewManager(lease.Options{
		Table: e.client.For(provider.UserLeases), Holder: e.holderID, Duties: e.dutyNames,
		LeaseDuration: s.Waves().LeaseDuration, Logger: o.Logger,
	})
	e.allotments = allotment.NewHolder(allotment.Options{
		Table: e.client.For(provider.UserAllotments), Holder: e.holderID, LeaseDuration: s.Allotments().LeaseDuration, MaxRun: class.MaxTarget, Logger: o.Logger,
	})
	e.claims = claim.NewStore(claim.Options{Table: e.client.For(provider.UserClaims), Owner: e.holderID, Logger: o.Logger})
	e.recorder = burn.NewRecorder(s.Name(), uint64(time.Now().UnixNano()), time.Now())
	e.metrics = metrics.NewSet(e.metricsSources(), e.client.Collectors()...)
	observer := &observer{recorder: e.recorder, metrics: e.metrics}
	e.dispatcher = dispatch.New(dispatch.Options{
		Queue:    queue.Options{MaxRequests: s.Limits().QueueRequests, MaxBytes: int(s.Limits().QueueBytes)},
		Endpoint: endpoint.Options{DataCentre: s.DataCentre()},
		Permits:  permits{e.allotments},
		Limits:   connection.Limits{MaxBody: int(s.Limits().ResponseBytes)},
		Observer: observer,
		Logger:   o.Logger,
	})
	e.directory = directory.New(directory.Options{
		Self:           s.Name(),
		Rows:           pool.NewStore(e.client.For(userDirectory)),
		Reports:        pool.NewReports(o.Platform.Instances),
		Members:        e.liveMembers,
		StabilityDelay: stableAfterHeartbeats * s.Membership().Heartbeat,
		Dispatcher:     e.dispatcher,
		Logger:         o.Logger,
	})
	e.caller = caller.New(caller.Options{
		Address:     s.Listen().Callers,
		MaxHeader:   s.Limits().HeaderBytes,
		MaxBody:     int(s.Limits().BodyBytes),
		MaxBodies:   s.Limits().QueueBytes,
		Memory:      e.memory,
		ReadTimeout: s.Limits().ReadTimeout,
		StopDelay:   s.Stop().BalancerWait,
		Ready:       e.Ready,
		Source:      e.source,
		Dispatcher:  e.dispatcher,
		Claims:      e.claims,
		Observer:    observer,
		Logger:      o.Logger,
	})
	e.buildDuties(o)
	return e.buildOperator(o)
}

func (e *Entry) buildPeerNode(o Options) error {
	s := o.Settings
	if s.Certificates().Certificate == "" {
		return nil // no certificate: this is the only entry instance
	}
	addresses := make([]string, 0, len(s.Peers()))
	for _, p := range s.Peers() {
		addresses = append(addresses, p.Address)
	}
	node, err := peer.New(peer.Options{
		ID:         s.Name(),
		DataCentre: s.DataCentre(),
		Listen:     s.Listen().Peers,
		Peers:      addresses,
		Certificates: peer.Certificates{
			Authority:   s.Certificates().Authority,
			Certificate: s.Certificates().Certificate,
			Key:         s.Certificates().Key,
		},
		Configuration:     e.source,
		Table:             e.client.For(provider.UserConfig),
		HeartbeatInterval: s.Membership().Heartbeat,
		Logger:            o.Logger,
	})
	if err != nil {
		return eris.Wrap(err, "build peer node")
	}
	node.Handle(requestInstancesChanged, e.handleAnnouncement)
	node.Handle(requestUsage, e.handleUsage)
	e.node = node
	return nil
}

func (e *Entry) buildOperator(o Options) error {
	options := operator.Options{
		Listen:       o.Settings.Listen().Operators,
		Store:        e.store,
		Source:       e.source,
		BootstrapKey: o.Settings.Operators().BootstrapKey,
		Memory:       e.memory,
		Logger:       o.Logger,
	}
	if e.node != nil {
		options.Fleet = e.node
	}
	server, err := operator.NewServer(options)
	if err != nil {
		return err
	}
	newOperations(e).registerRoutes(server)
	e.operator = server
	return nil
}

func (e *Entry) buildDuties(o Options) {
	fleet := duty.NewFleet(duty.FleetOptions{
		Table:     e.client.For(provider.UserWaves),
		Instances: o.Platform.Instances,
		Pools:     func() []pool.Pool { return e.source.Snapshot().Pools() },
		Loads:     e.moveLoads,
		Announce:  e.announceChanges,
		Logger:    o.Logger,
	})
	jobs := duty.NewJobs(duty.JobsOptions{
		Table:       e.client.For(provider.UserJobs),
		Instances:   o.Platform.Instances,
		Tasks:       o.Platform.Tasks,
		Objects:     e.client.ObjectsFor(provider.UserJobs, o.Platform.Objects),
		DataCentres: func() []string { return []string{e.settings.DataCentre()} },
		Limits: job.TeamLimits{
			Table: e.client.For(provider.UserJobs),
			Limit: func(name string) int {
				t, ok := e.source.Snapshot().Team(name)
				if !ok {
					return 0
				}
				return t.UpperLimit()
			},
			Holder: e.allotments,
		},
		Logger: o.Logger,
	})
	cleanup := duty.NewCleanup(duty.CleanupOptions{
		Rows: []duty.RowCleaner{
			claim.NewCleaner(e.client.For(provider.UserHousekeeping)),
			provider.NewOperationCleaner(e.client.For(provider.UserHousekeeping)),
		},
		Changes: config.NewStore(e.client.For(provider.UserHousekeeping), config.StoreOptions{
			Objects: e.client.ObjectsFor(provider.UserHousekeeping, o.Platform.Objects),
		}),
		Prune: func(ctx context.Context, now time.Time, limit int) (int, error) {
			return burn.Prune(ctx, e.burnHistory, now, limit)
		},
		Logger: o.Logger,
	})
	e.runner = duty.NewRunner(duty.Options{Leases: duty.LeasesFromManager(e.leases), Interval: e.settings.Waves().Interval, Logger: o.Logger}, fleet, jobs, cleanup)
}

// registerServices registers all services and their dependencies in the kernel. The caller service depends on most others:
// it starts last and stops first, so that they run until the last request has ended.
func (e *Entry) registerServices() error {
	services := []kernel.Service{
		{Name: serviceConfig, Value: e.source, Start: e.source.Start, Stop: e.source.Stop},
		{Name: serviceLeases, Value: e.leases, Start: e.leases.Start, Stop: e.leases.Stop},
		{Name: serviceAllotment, Value: e.allotments, Start: e.allotments.Start, Stop: e.allotments.Stop, Needs: []string{serviceConfig}},
		{Name: serviceClaims, Value: e.claims, Stop: e.claims.Stop},
		{Name: serviceDispatch, Value: e.dispatcher, Start: e.dispatcher.Start, Stop: e.dispatcher.Stop, Needs: []string{serviceAllotment}},
		{Name: serviceDirectory, Value: e.directory, Start: e.directory.Start, Stop: e.directory.Stop, Needs: []string{serviceDispatch}},
		newConfigApplier(e).service(),
		newBurnWriter(e).service(),
		{Name: serviceDuties, Value: e.runner, Start: e.runner.Start, Stop: e.runner.Stop, Needs: []string{serviceLeases, serviceDirectory, serviceApply}},
		{Name: serviceOperator, Value: e.operator, Start: e.operator.Start, Stop: e.operator.Stop, Needs: []string{serviceApply, serviceDirectory}},
		{Name: serviceCaller, Value: e.caller, Start: e.caller.Start, Stop: e.caller.Stop, Needs: []string{serviceApply, serviceDirectory, serviceClaims, serviceDispatch, serviceDuties, serviceBurn}},
	}
	if e.node != nil {
		services = append(services, newUsageReporter(e).service())
		services = append(services, kernel.Service{Name: servicePeers, Value: e.node, Start: e.node.Start, Stop: e.node.Stop, Needs: []string{serviceConfig}})
		for i := range services {
			if services[i].Name == serviceDirectory {
				services[i].Needs = append(services[i].Needs, servicePeers)
			}
		}
	}
	if address := e.settings.Listen().Metrics; address != "" {
		services = append(services, newMetricsServer(address, e.memory, e.metrics, e.logger).service())
	}
	for _, s := range services {
		if err := e.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

// Start starts all services and returns. The instance is ready once it has read the configuration and the endpoints, see [Entry.Ready].
func (e *Entry) Start(ctx context.Context) error {
	if err := e.kernel.Start(ctx); err != nil {
		return err
	}
	e.logger.Info("Entry instance started.", "name", e.settings.Name(), "dataCentre", e.settings.DataCentre(), "callers", e.caller.Address())
	return nil
}

// Stop stops all services. The instance is no longer ready, waits for the load balancer to notice, finishes the
// requests in flight, and releases what it holds.
func (e *Entry) Stop(ctx context.Context) error {
	e.logger.Info("Entry instance is stopping.", "inFlight", e.caller.InFlight())
	err := e.kernel.Stop(ctx)
	if err != nil {
		e.logger.Error("Entry instance stopped with errors.", "error", err)
		return err
	}
	e.logger.Info("Entry instance stopped.")
	return nil
}

// Ready returns nil if the instance can serve requests, or else an error with the reason.
func (e *Entry) Ready() error {
	select {
	case <-e.source.Ready():
	default:
		return eris.New("configuration has not been read")
	}
	if !e.directory.Ready() {
		return eris.New("endpoints have not been read, or their slots have not been divided anew")
	}
	return nil
}

// CallerAddress returns the address at which callers connect. It is known after Start.
func (e *Entry) CallerAddress() string { return e.caller.Address() }

// OperatorAddress returns the address of the operator API. It is known after Start.
func (e *Entry) OperatorAddress() string { return e.operator.Address() }

// Source returns the source of the configuration in force.
func (e *Entry) Source() *config.Source { return e.source }

// Store returns the store of the configuration.
func (e *Entry) Store() *config.Store { return e.store }

// Kernel returns the services, so that a program that embeds an entry instance can find them by name.
func (e *Entry) Kernel() *kernel.Kernel { return e.kernel }
