// Package entry assembles an entry instance: the services that accept requests of callers and operators,
// send work to endpoints, and run the control duties that the instance holds.
//
// # Usage
//
//	e, err := entry.New(entry.Options{Settings: s, Platform: services, Logger: logger})
//	if err != nil { ... }
//	if err := e.Start(ctx); err != nil { ... }
//	defer e.Stop(ctx) // finishes the requests in flight
package entry

import (
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

// stableHeartbeats is after how many heartbeats without a change of the membership an entry instance takes
// the slots of one that has gone. It is above the 8 after which a silent member counts as dead.
const stableHeartbeats = 10

// userDirectory reads the instance rows. It is never refused, since work must not go to instances that leave.
const userDirectory provider.User = "directory"

// userOperators reads for operators. It is never refused, since they need it most while the store is slow.
const userOperators provider.User = "operators"

// Names of the services.
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

// Services are the platform's services.
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
	holder   string
	services Services
	// duties are all duties of the fleet that this entry instance may hold.
	duties []string
	// history is the object store of the burn history.
	history provider.Objects
	// client sends all calls to the table within the budget of the process.
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

// New builds an entry instance that does not run yet.
func New(o Options) (*Entry, error) {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	e := &Entry{
		settings: o.Settings,
		logger:   o.Logger.Named("entry"),
		kernel:   kernel.New(o.Logger),
		// A holder is a process and not an instance: after a replacement the name returns, its holdings do not.
		holder:   o.Settings.Name() + "#" + ident.New(),
		services: o.Platform,
		duties:   duty.Names([]string{o.Settings.DataCentre()}),
	}
	if err := e.build(o); err != nil {
		return nil, err
	}
	return e, e.register()
}

// build makes the parts, those that others need first.
func (e *Entry) build(o Options) error {
	s := o.Settings
	e.client = provider.NewClient(provider.ClientOptions{
		Table: o.Platform.Table, Writes: s.Platform().WritesPerSecond, Reads: s.Platform().ReadsPerSecond, Logger: o.Logger,
	})
	e.history = e.client.ObjectsFor(provider.UserHistory, o.Platform.Objects)
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
	if err := e.buildNode(o); err != nil {
		return err
	}
	e.leases = lease.NewManager(lease.Options{
		Table: e.client.For(provider.UserLeases), Holder: e.holder, Duties: e.duties,
		LeaseDuration: s.Waves().LeaseDuration, Logger: o.Logger,
	})
	e.allotments = allotment.NewHolder(allotment.Options{
		Table: e.client.For(provider.UserAllotments), Holder: e.holder, LeaseDuration: s.Allotments().LeaseDuration, MaxRun: class.MaxTarget, Logger: o.Logger,
	})
	e.claims = claim.NewStore(claim.Options{Table: e.client.For(provider.UserClaims), Owner: e.holder, Logger: o.Logger})
	e.recorder = burn.NewRecorder(s.Name(), uint64(time.Now().UnixNano()), time.Now())
	e.metrics = metrics.NewSet(e.sources(), e.client.Collectors()...)
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
		Members:        e.members,
		StabilityDelay: stableHeartbeats * s.Membership().Heartbeat,
		Dispatcher:     e.dispatcher,
		Logger:         o.Logger,
	})
	e.caller = caller.New(caller.Options{
		Address:     s.Listen().Callers,
		MaxHeader:   s.Limits().HeaderBytes,
		MaxBody:     int(s.Limits().BodyBytes),
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

func (e *Entry) buildNode(o Options) error {
	s := o.Settings
	if s.Certificates().Certificate == "" {
		return nil // a single entry instance has no peers
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
		return eris.Wrap(err, "peers")
	}
	node.Handle(announcement, e.handleAnnouncement)
	node.Handle(usageReport, e.handleUsage)
	e.node = node
	return nil
}

func (e *Entry) buildOperator(o Options) error {
	options := operator.Options{
		Listen:       o.Settings.Listen().Operators,
		Store:        e.store,
		Source:       e.source,
		BootstrapKey: o.Settings.Operators().BootstrapKey,
		Logger:       o.Logger,
	}
	if e.node != nil {
		options.Fleet = e.node
	}
	server, err := operator.NewServer(options)
	if err != nil {
		return err
	}
	newOperations(e).addTo(server)
	e.operator = server
	return nil
}

func (e *Entry) buildDuties(o Options) {
	fleet := duty.NewFleet(duty.FleetOptions{
		Table:     e.client.For(provider.UserWaves),
		Instances: o.Platform.Instances,
		Pools:     func() []pool.Pool { return e.source.Snapshot().Pools() },
		Loads:     e.moveLoads,
		Announce:  e.announce,
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
			return burn.Prune(ctx, e.history, now, limit)
		},
		Logger: o.Logger,
	})
	e.runner = duty.NewRunner(duty.Options{Leases: duty.LeasesFromManager(e.leases), Interval: e.settings.Waves().Interval, Logger: o.Logger}, fleet, jobs, cleanup)
}

// register tells the kernel which service needs which. The caller comes last and stops first,
// so that everything it needs is there until the last request has ended.
func (e *Entry) register() error {
	services := []kernel.Service{
		{Name: serviceConfig, Value: e.source, Start: e.source.Start, Stop: e.source.Stop},
		{Name: serviceLeases, Value: e.leases, Start: e.leases.Start, Stop: e.leases.Stop},
		{Name: serviceAllotment, Value: e.allotments, Start: e.allotments.Start, Stop: e.allotments.Stop, Needs: []string{serviceConfig}},
		{Name: serviceClaims, Value: e.claims, Stop: e.claims.Stop},
		{Name: serviceDispatch, Value: e.dispatcher, Start: e.dispatcher.Start, Stop: e.dispatcher.Stop, Needs: []string{serviceAllotment}},
		{Name: serviceDirectory, Value: e.directory, Start: e.directory.Start, Stop: e.directory.Stop, Needs: []string{serviceDispatch}},
		newApplier(e).service(),
		newBurnWriter(e).service(),
		{Name: serviceDuties, Value: e.runner, Start: e.runner.Start, Stop: e.runner.Stop, Needs: []string{serviceLeases, serviceDirectory, serviceApply}},
		{Name: serviceOperator, Value: e.operator, Start: e.operator.Start, Stop: e.operator.Stop, Needs: []string{serviceApply, serviceDirectory}},
		{Name: serviceCaller, Value: e.caller, Start: e.caller.Start, Stop: e.caller.Stop, Needs: []string{serviceApply, serviceDirectory, serviceClaims, serviceDispatch, serviceDuties, serviceBurn}},
	}
	if e.node != nil {
		services = append(services, newUsageSharer(e).service())
		services = append(services, kernel.Service{Name: servicePeers, Value: e.node, Start: e.node.Start, Stop: e.node.Stop, Needs: []string{serviceConfig}})
		for i := range services {
			if services[i].Name == serviceDirectory {
				services[i].Needs = append(services[i].Needs, servicePeers)
			}
		}
	}
	if address := e.settings.Listen().Metrics; address != "" {
		services = append(services, newMetricsServer(address, e.metrics, e.logger).service())
	}
	for _, s := range services {
		if err := e.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

// Start starts all services and returns. The instance is ready once it has read the configuration and the endpoints.
func (e *Entry) Start(ctx context.Context) error {
	if err := e.kernel.Start(ctx); err != nil {
		return err
	}
	e.logger.Info("Entry instance started.", "name", e.settings.Name(), "dataCentre", e.settings.DataCentre(), "callers", e.caller.Address())
	return nil
}

// Stop stops being ready, waits for the load balancer, finishes the requests in flight, returns what is held and ends.
func (e *Entry) Stop(ctx context.Context) error {
	e.logger.Info("Entry instance stops.", "inFlight", e.caller.InFlight())
	err := e.kernel.Stop(ctx)
	if err != nil {
		e.logger.Error("Entry instance stopped with something left.", "error", err)
		return err
	}
	e.logger.Info("Entry instance stopped.")
	return nil
}

// Ready returns an error with the reason if the instance cannot serve.
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

// CallerAddress returns the address where callers connect, after Start.
func (e *Entry) CallerAddress() string { return e.caller.Address() }

// OperatorAddress returns the address of the operator API, after Start.
func (e *Entry) OperatorAddress() string { return e.operator.Address() }

// Source returns the configuration in force.
func (e *Entry) Source() *config.Source { return e.source }

// Store returns the store of the configuration.
func (e *Entry) Store() *config.Store { return e.store }

// Kernel returns the services, so that a program that embeds an entry instance can find them by name.
func (e *Entry) Kernel() *kernel.Kernel { return e.kernel }
