// Package caller is the HTTP service for callers. It checks requests and keys, claims requests that must run
// at most once, and dispatches requests to endpoints. A rejection states whether the request certainly did not run or
// its outcome is unknown.
//
// # Usage
//
//	s := caller.New(caller.Options{Address: "127.0.0.1:8080", Work: dispatcher, Claims: store, ...})
//	if err := s.Start(ctx); err != nil { ... }
//	defer s.Stop(ctx)
package caller

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/claim"
	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/dispatch"
	"github.com/chivetiller/chivetiller/internal/clients/budget"
	clients "github.com/chivetiller/chivetiller/internal/clients/listener"
	"github.com/chivetiller/chivetiller/team"
)

// Defaults of the options. Sizes are in bytes.
const (
	DefaultMaxHeader    = 16 << 10
	DefaultMaxBody      = 1 << 20
	DefaultMaxBodies    = 64 << 20
	DefaultReadTimeout  = 5 * time.Second
	DefaultWriteTimeout = 10 * time.Second
	DefaultIdleTimeout  = 2 * time.Minute
)

// clientSlack is how much later than the HTTP server the listener ends a request that arrives too slowly.
const clientSlack = time.Second

// Paths for load balancers.
const (
	readyPath  = "/ready"
	healthPath = "/health"
)

// ConfigSource returns the configuration in force.
type ConfigSource interface {
	Snapshot() *config.Snapshot
	// Authenticate fails with config.ErrKeysStale or config.ErrUnknownKey.
	Authenticate(key string) (team.Team, error)
	// SnapshotForKeys returns the configuration in force. It fails with config.ErrKeysStale if that configuration was
	// last known to be current too long ago to check keys.
	SnapshotForKeys() (*config.Snapshot, error)
}

var _ ConfigSource = (*config.Source)(nil)

// Dispatcher sends requests to the endpoints of a pool. Its errors are of type *problem.Problem.
type Dispatcher interface {
	Do(ctx context.Context, pool string, r *dispatch.Request) (*dispatch.Response, error)
}

// Claimer claims requests that must run at most once.
type Claimer interface {
	Claim(ctx context.Context, team, key string, digest [32]byte) (*claim.Claim, error)
}

// Options of a server. Limits and times that are zero are set to their defaults.
type Options struct {
	Address string
	// MaxHeader and MaxBody are in bytes.
	MaxHeader int
	MaxBody   int
	// MaxBodies is what callers may hold in bodies at once, in bytes.
	MaxBodies int64
	// Memory is the memory of the machine in bytes, which bounds what callers hold, and 0 if it is not known.
	Memory int64
	// ReadTimeout is the time limit for receiving the head of a request, and again for receiving its body.
	ReadTimeout time.Duration
	// WriteTimeout is the time limit for sending a response.
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	// StopDelay is the time in which the server still accepts requests after it reports not ready, so that the load
	// balancer can notice.
	StopDelay time.Duration
	// Ready is an additional readiness check. It may be nil.
	Ready      func() error
	Source     ConfigSource
	Dispatcher Dispatcher
	Claims     Claimer
	Observer   Observer
	Logger     hclog.Logger
}

// Server is the HTTP service for callers.
type Server struct {
	options    Options
	logger     hclog.Logger
	rejections *rejectionLog
	http       *kratoshttp.Server
	listener   problemListener
	// clients is set once the server listens. Metrics may be read before.
	clients atomic.Pointer[clients.Listener]
	// served is closed when serving has ended, with its result in serveErr.
	served   chan struct{}
	serveErr error
	stopping atomic.Bool
	inFlight atomic.Int64
}

// New returns a server that does not listen yet.
func New(o Options) *Server {
	setDefault(&o.MaxHeader, DefaultMaxHeader)
	setDefault(&o.MaxBody, DefaultMaxBody)
	setDefault(&o.MaxBodies, DefaultMaxBodies)
	setDefault(&o.ReadTimeout, DefaultReadTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	logger := o.Logger.Named("caller")
	return &Server{options: o, logger: logger, rejections: newRejectionLog(logger), served: make(chan struct{})}
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

// Start listens and serves.
func (s *Server) Start(context.Context) error {
	limits := clients.CallerLimits(2*int64(s.options.MaxHeader), int64(s.options.MaxBody), s.options.MaxBodies, s.options.ReadTimeout+clientSlack, s.options.Memory)
	bounded, err := clients.Listen(s.options.Address, clients.Options{
		Name: "callers", Limits: func() budget.Limits { return limits }, Logger: s.logger,
		// The connection on top sends a problem document.
		Refuse: func(*clients.Refusal) []byte { return nil },
	})
	if err != nil {
		return eris.Wrapf(err, "listen for callers at %s", s.options.Address)
	}
	listener := problemListener{bounded, s}
	s.listener = listener
	s.clients.Store(bounded)
	kratoslog.SetLogger(kratosLogger{s.logger})
	s.http = kratoshttp.NewServer(
		kratoshttp.Address(listener.Addr().String()),
		kratoshttp.Listener(listener),
		kratoshttp.Timeout(0),
		// Only the paths /ready and /health reach the router, because it answers others such as //work/a by a redirect.
		kratoshttp.Filter(func(next http.Handler) http.Handler { return bounded.Handler(s.filter(next)) }),
	)
	s.http.HandleFunc(readyPath, s.serveReady)
	s.http.HandleFunc(healthPath, s.serveHealth)
	s.http.ReadHeaderTimeout = s.options.ReadTimeout
	s.http.IdleTimeout = s.options.IdleTimeout
	// The handler checks MaxHeader itself and rejects with a problem document. This limit only protects memory.
	s.http.MaxHeaderBytes = 2 * s.options.MaxHeader
	s.http.ConnContext, s.http.ConnState = listener.connContext, clients.ConnState
	s.http.ErrorLog = s.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	go func() {
		defer close(s.served)
		s.serveErr = s.http.Start(context.Background())
	}()
	return nil
}

// Clients returns what callers hold.
func (s *Server) Clients() clients.Stats {
	if l := s.clients.Load(); l != nil {
		return l.Stats()
	}
	return clients.Stats{}
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Listener.Addr().String() }

// InFlight returns the number of requests for work that have not ended.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Stop reports not ready, waits StopDelay for the load balancer to notice, finishes the requests in flight and closes.
// If the context ends first, the error says how many requests are left. Stop may be called again, then without the delay.
func (s *Server) Stop(ctx context.Context) error {
	if s.http == nil {
		return nil
	}
	delay := s.options.StopDelay
	if s.stopping.Swap(true) {
		delay = 0
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if err := s.http.Stop(ctx); err != nil {
		return eris.Wrapf(err, "%d requests were left", s.InFlight())
	}
	<-s.served
	return s.serveErr
}

func (s *Server) filter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		markHandled(r)
		switch {
		case strings.HasPrefix(r.URL.Path, workPrefix):
			s.serveWork(w, r)
		case r.URL.Path == readyPath || r.URL.Path == healthPath:
			next.ServeHTTP(w, r)
		default:
			s.serveUnknown(w, r)
		}
	})
}

func (s *Server) serveUnknown(w http.ResponseWriter, r *http.Request) {
	e := exchange{server: s, w: w, r: r, start: time.Now(), id: newRequestID()}
	e.reject(problem.NotRun(problem.UnknownRoute, "work is accepted at /work/{class}/{path}"))
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) { writeText(w, "healthy\n") }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	var reason error
	switch {
	case s.stopping.Load():
		reason = eris.New("entry instance is stopping")
	case s.options.Ready != nil:
		reason = s.options.Ready()
	}
	if reason != nil {
		_ = problem.NotRun(problem.NotReady, reason.Error()).Write(w, "")
		return
	}
	writeText(w, "ready\n")
}

func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// If this fails, the caller has closed the connection.
	_, _ = w.Write([]byte(text))
}

// kratosLogger forwards the log lines of kratos. Those below the level error are logged for debugging.
type kratosLogger struct{ logger hclog.Logger }

var _ kratoslog.Logger = kratosLogger{}

// Log implements kratoslog.Logger.
func (l kratosLogger) Log(level kratoslog.Level, pairs ...any) error {
	if level >= kratoslog.LevelError {
		l.logger.Error("HTTP transport error.", pairs...)
		return nil
	}
	l.logger.Debug("HTTP transport message.", pairs...)
	return nil
}
