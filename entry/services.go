package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/burn"
	"github.com/chivetiller/chivetiller/common/loop"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/internal/clients/budget"
	clients "github.com/chivetiller/chivetiller/internal/clients/listener"
	"github.com/chivetiller/chivetiller/kernel"
	"github.com/chivetiller/chivetiller/metrics"
	"github.com/chivetiller/chivetiller/peer"
)

// loadInterval is the time between reports of load to peers.
const loadInterval = time.Second

// limitDuties limits the number of duties of this entry instance to an equal share, rounded up.
func (a *configApplier) limitDuties() {
	members := len(a.entry.liveMembers())
	a.entry.leases.SetLimit((len(a.entry.dutyNames) + members - 1) / members)
}

// loopService returns a service that runs a loop from its start to its stop.
func loopService(name string, value any, l *loop.Loop, needs ...string) kernel.Service {
	return kernel.Service{
		Name: name, Value: value, Needs: needs,
		Start: func(context.Context) error { l.Start(); return nil },
		Stop:  func(context.Context) error { l.Stop(); return nil },
	}
}

// configApplier applies each version of the configuration to the other services, reports load to peers,
// and adjusts the limit of duties to the membership.
type configApplier struct{ entry *Entry }

func newConfigApplier(e *Entry) *configApplier { return &configApplier{entry: e} }

func (a *configApplier) service() kernel.Service {
	return loopService(serviceApply, a, loop.New(a.run), serviceConfig, serviceAllotment, serviceDispatch, serviceDirectory)
}

func (a *configApplier) run(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		// The channel is taken before the snapshot, so that no version is missed in between.
		changed := a.entry.source.Changed()
		a.applySnapshot(a.entry.source.Snapshot())
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-ticker.C:
				a.limitDuties()
				a.reportLoads()
			case <-ctx.Done():
				return
			}
		}
	}
}

func (a *configApplier) applySnapshot(snapshot *config.Snapshot) {
	limits := make(map[string]int)
	for _, t := range snapshot.Teams() {
		limits[t.Name()] = t.UpperLimit()
	}
	a.entry.allotments.SetLimits(snapshot.Version(), limits)
	a.entry.dispatcher.Configure(snapshot.Pools(), snapshot.Classes(), snapshot.Teams())
	a.entry.directory.Republish()
	a.entry.logger.Debug("Configuration is in force.", "version", snapshot.Version())
}

func (a *configApplier) reportLoads() {
	if a.entry.node == nil {
		return
	}
	for _, l := range a.entry.dispatcher.Loads() {
		a.entry.node.SetLoad(l.Pool, peer.Load{Queued: uint32(l.Queued), Running: uint32(l.InFlight), Slots: uint32(l.InFlight + l.Free)})
	}
}

// burnInterval is the time between writes of the burn history.
const burnInterval = time.Minute

// burnWriter stores the burn history every burnInterval and on stop.
type burnWriter struct {
	entry *Entry
	loop  *loop.Loop
	// pending holds the chunks that are not stored yet, by object name. A later write retries those that failed.
	pending map[string]burn.Chunk
}

func newBurnWriter(e *Entry) *burnWriter {
	b := &burnWriter{entry: e, pending: make(map[string]burn.Chunk)}
	b.loop = loop.New(loop.Every(burnInterval, func(ctx context.Context) {
		if err := b.storeHistory(ctx); err != nil {
			e.logger.Warn("Burn history could not be stored and will be retried.", "error", err)
		}
	}))
	return b
}

func (b *burnWriter) service() kernel.Service {
	s := loopService(serviceBurn, b, b.loop)
	s.Stop = b.stop
	return s
}

// stop stores the last chunk. If that fails, the loss is logged and stop still returns nil.
func (b *burnWriter) stop(ctx context.Context) error {
	b.loop.Stop()
	if err := b.storeHistory(ctx); err != nil {
		b.entry.logger.Warn("Last chunk of the burn history could not be stored and is lost.", "error", err)
	}
	return nil
}

func (b *burnWriter) storeHistory(ctx context.Context) error {
	for _, chunk := range b.entry.recorder.CloseBucket(time.Now()) {
		b.pending[chunk.ObjectName()] = chunk
	}
	ctx, cancel := context.WithTimeout(ctx, burnInterval/2)
	defer cancel()
	var errs []error
	for name, chunk := range b.pending {
		if err := burn.Save(ctx, b.entry.burnHistory, []burn.Chunk{chunk}); err != nil {
			errs = append(errs, err)
			continue
		}
		delete(b.pending, name)
	}
	return errors.Join(errs...)
}

// metricsServer serves the metrics over HTTP.
type metricsServer struct {
	address string
	// memory is the memory of the machine in bytes.
	memory int64
	server *http.Server
	logger hclog.Logger
}

func newMetricsServer(address string, memory int64, set *metrics.Set, logger hclog.Logger) *metricsServer {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", set.Handler())
	return &metricsServer{address: address, memory: memory, server: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}, logger: logger}
}

func (m *metricsServer) service() kernel.Service {
	return kernel.Service{Name: serviceMetrics, Value: m, Start: m.start, Stop: m.stop, Needs: []string{serviceDispatch}}
}

func (m *metricsServer) start(context.Context) error {
	limits := clients.ScraperLimits(m.memory)
	listener, err := clients.Listen(m.address, clients.Options{Name: "metrics", Limits: func() budget.Limits { return limits }, Logger: m.logger})
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	m.server.MaxHeaderBytes, m.server.Handler = clients.MaxHeaderBytes, listener.Handler(m.server.Handler)
	m.server.ConnContext, m.server.ConnState = listener.ConnContext, clients.ConnState
	go func() {
		if err := m.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			m.logger.Error("Metrics server has failed.", "error", err)
		}
	}()
	return nil
}

func (m *metricsServer) stop(ctx context.Context) error { return m.server.Shutdown(ctx) }
