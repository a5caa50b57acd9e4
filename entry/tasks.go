package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/burn"
	"github.com/chivetiller/chivetiller/common/loop"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/kernel"
	"github.com/chivetiller/chivetiller/metrics"
	"github.com/chivetiller/chivetiller/peer"
)

// loadInterval is the time between two reports of load to peers.
const loadInterval = time.Second

// shareDuties limits the duties of this entry instance to its part of them.
func (a *applier) shareDuties() {
	members := len(a.entry.members())
	a.entry.leases.SetLimit((len(a.entry.duties) + members - 1) / members)
}

// loopService returns a service that runs a loop between its start and its stop.
func loopService(name string, value any, l *loop.Loop, needs ...string) kernel.Service {
	return kernel.Service{
		Name: name, Value: value, Needs: needs,
		Start: func(context.Context) error { l.Start(); return nil },
		Stop:  func(context.Context) error { l.Stop(); return nil },
	}
}

// applier puts each version of the configuration in force in the other services, and reports load to peers.
type applier struct{ entry *Entry }

func newApplier(e *Entry) *applier { return &applier{entry: e} }

func (a *applier) service() kernel.Service {
	return loopService(serviceApply, a, loop.New(a.run), serviceConfig, serviceAllotment, serviceDispatch, serviceDirectory)
}

func (a *applier) run(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		// The channel is taken before the snapshot, so that no version is missed in between.
		changed := a.entry.source.Changed()
		a.apply(a.entry.source.Snapshot())
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-ticker.C:
				a.shareDuties()
				a.reportLoad()
			case <-ctx.Done():
				return
			}
		}
	}
}

func (a *applier) apply(snapshot *config.Snapshot) {
	limits := make(map[string]int)
	for _, t := range snapshot.Teams() {
		limits[t.Name()] = t.UpperLimit()
	}
	a.entry.allotments.SetLimits(snapshot.Version(), limits)
	a.entry.dispatcher.Configure(snapshot.Pools(), snapshot.Classes(), snapshot.Teams())
	a.entry.directory.Republish()
	a.entry.logger.Debug("Configuration in force.", "version", snapshot.Version())
}

func (a *applier) reportLoad() {
	if a.entry.node == nil {
		return
	}
	for _, l := range a.entry.dispatcher.Loads() {
		a.entry.node.SetLoad(l.Pool, peer.Load{Queued: uint32(l.Queued), Running: uint32(l.InFlight), Slots: uint32(l.InFlight + l.Free)})
	}
}

// burnInterval is the time between two writes of the burn history.
const burnInterval = time.Minute

// burnWriter stores the burn history each minute and at the end.
type burnWriter struct {
	entry *Entry
	loop  *loop.Loop
	// pending holds parts that could not be stored, by name, so that a later write brings them.
	pending map[string]burn.Chunk
}

func newBurnWriter(e *Entry) *burnWriter {
	b := &burnWriter{entry: e, pending: make(map[string]burn.Chunk)}
	b.loop = loop.New(loop.Every(burnInterval, func(ctx context.Context) {
		if err := b.write(ctx); err != nil {
			e.logger.Warn("Burn history is not stored; it is stored later.", "error", err)
		}
	}))
	return b
}

func (b *burnWriter) service() kernel.Service {
	s := loopService(serviceBurn, b, b.loop)
	s.Stop = b.stop
	return s
}

// stop stores the last part. Its loss is logged and does not make the stop fail.
func (b *burnWriter) stop(ctx context.Context) error {
	b.loop.Stop()
	if err := b.write(ctx); err != nil {
		b.entry.logger.Warn("The last part of the burn history is lost.", "error", err)
	}
	return nil
}

func (b *burnWriter) write(ctx context.Context) error {
	for _, part := range b.entry.recorder.CloseBucket(time.Now()) {
		b.pending[part.ObjectName()] = part
	}
	ctx, cancel := context.WithTimeout(ctx, burnInterval/2)
	defer cancel()
	var errs []error
	for name, part := range b.pending {
		if err := burn.Save(ctx, b.entry.history, []burn.Chunk{part}); err != nil {
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
	server  *http.Server
	logger  hclog.Logger
}

func newMetricsServer(address string, set *metrics.Set, logger hclog.Logger) *metricsServer {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", set.Handler())
	return &metricsServer{address: address, server: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}, logger: logger}
}

func (m *metricsServer) service() kernel.Service {
	return kernel.Service{Name: serviceMetrics, Value: m, Start: m.start, Stop: m.stop, Needs: []string{serviceDispatch}}
}

func (m *metricsServer) start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", m.address)
	if err != nil {
		return eris.Wrap(err, "metrics")
	}
	go func() {
		if err := m.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			m.logger.Error("Metrics server ended.", "error", err)
		}
	}()
	return nil
}

func (m *metricsServer) stop(ctx context.Context) error { return m.server.Shutdown(ctx) }
