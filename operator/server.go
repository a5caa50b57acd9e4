package operator

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/internal/clients/budget"
	clients "github.com/chivetiller/chivetiller/internal/clients/listener"
	"github.com/chivetiller/chivetiller/peer"
	"github.com/chivetiller/chivetiller/provider"
)

const (
	// maxBodyBytes bounds the body of a request. A set of the largest expected size takes about 0.5 MB.
	maxBodyBytes = 16 << 20
	// DefaultWait is how long a change waits until it is in force in all entry instances. It is the latency target
	// of configuration changes.
	DefaultWait = 4 * time.Second
	// readTimeout is the longest time in which a request has to arrive completely.
	readTimeout = 30 * time.Second
)

// Fleet provides the state of the other entry instances. [peer.Node] implements it.
type Fleet interface {
	Members() []peer.Member
	// Registered returns the IDs of the other entry instances that are registered with the platform.
	Registered() []string
	ID() string
}

// Options are the settings of a Server.
type Options struct {
	// Listen is the TCP address. Listener, if set, is used in its place.
	Listen   string
	Listener net.Listener
	// TLS is the configuration for the connections of operators. Without it the server uses plain HTTP.
	TLS    *tls.Config
	Store  *config.Store
	Source *config.Source
	// Fleet may be nil if there is one entry instance only.
	Fleet Fleet
	// BootstrapKey is accepted as long as the configuration holds no operator key. It may be empty.
	BootstrapKey string
	// Memory is the memory of the machine in bytes, which bounds what operators hold, and 0 if it is not known.
	Memory int64
	// Wait bounds how long a change waits until it is in force everywhere.
	Wait   time.Duration
	Logger hclog.Logger
}

// Server serves the API.
type Server struct {
	options  Options
	logger   hclog.Logger
	mux      *http.ServeMux
	listener net.Listener
	// clients is set once the server listens. Metrics may be read before.
	clients  atomic.Pointer[clients.Listener]
	http     *kratoshttp.Server
	serveErr chan error
}

// NewServer returns a server with the routes of the configuration. Other routes are added with [Server.Handle].
func NewServer(o Options) (*Server, error) {
	if o.Store == nil || o.Source == nil {
		return nil, eris.New("operator API needs a store and a source of the configuration")
	}
	if o.Wait <= 0 {
		o.Wait = DefaultWait
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	s := &Server{options: o, logger: o.Logger.Named("operator"), mux: http.NewServeMux(), serveErr: make(chan error, 1)}
	s.handleJSON("GET "+pathConfig, s.getDocuments)
	s.handleJSON("POST "+pathApply, s.apply)
	s.handleJSON("GET "+pathHistory, s.history)
	s.handleJSON("GET "+pathStatus, s.status)
	s.handleJSON("POST "+pathTeamKeys, s.createKey)
	s.handleJSON("DELETE "+pathTeamKey, s.revokeKey)
	s.handleJSON("POST "+pathOperatorKeys, s.createOperatorKey)
	return s, nil
}

// Handle adds a route. It must be called before Start. The pattern is that of [http.ServeMux], such as
// "GET /operator/waves". The handler runs only if the request carries a valid operator key; see [Author].
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// handleJSON adds a route whose handler returns a value, which is sent as JSON, or an error. A yamlText is sent as YAML.
func (s *Server) handleJSON(pattern string, h func(r *http.Request) (any, error)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		value, err := h(r)
		if err != nil {
			s.sendProblem(w, err)
			return
		}
		if raw, ok := value.(yamlText); ok {
			w.Header().Set("Content-Type", "application/yaml")
			_, _ = w.Write(raw)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(value); err != nil {
			s.logger.Debug("Response could not be sent.", "error", err)
		}
	})
}

type yamlText []byte

// Start listens and serves until Stop.
func (s *Server) Start(context.Context) error {
	s.listener = s.options.Listener
	if s.listener == nil {
		listener, err := net.Listen("tcp", s.options.Listen)
		if err != nil {
			return eris.Wrap(err, "listen for operators")
		}
		s.listener = listener
	}
	limits := clients.OperatorLimits(maxBodyBytes, readTimeout+time.Second, s.options.Memory)
	bounded := clients.Wrap(s.listener, clients.Options{
		Name: "operators", Limits: func() budget.Limits { return limits }, Logger: s.logger,
		// An answer that is not encrypted would be an error in the protocol of TLS.
		Refuse: s.refusalAnswer(),
	})
	s.listener = bounded
	s.clients.Store(bounded)
	options := []kratoshttp.ServerOption{kratoshttp.Listener(s.listener), kratoshttp.Address(s.listener.Addr().String()), kratoshttp.Timeout(0), kratoshttp.StrictSlash(false)}
	if s.options.TLS != nil {
		options = append(options, kratoshttp.TLSConfig(s.options.TLS))
	}
	s.http = kratoshttp.NewServer(options...)
	s.http.ReadTimeout = readTimeout
	s.http.MaxHeaderBytes = clients.MaxHeaderBytes
	s.http.ConnContext, s.http.ConnState = bounded.ConnContext, clients.ConnState
	// The budget counts one request at a time on a connection, so that HTTP/2 is not offered.
	s.http.TLSNextProto = make(map[string]func(*http.Server, *tls.Conn, http.Handler))
	s.http.HandlePrefix("/", bounded.Handler(s.requireOperatorKey(s.mux)))
	go func() { s.serveErr <- s.serve() }()
	return nil
}

// refusalAnswer returns what answers refused requests, and nil for the usual answer.
func (s *Server) refusalAnswer() func(*clients.Refusal) []byte {
	if s.options.TLS == nil {
		return nil
	}
	return func(*clients.Refusal) []byte { return nil }
}

// Clients returns what operators hold.
func (s *Server) Clients() clients.Stats {
	if l := s.clients.Load(); l != nil {
		return l.Stats()
	}
	return clients.Stats{}
}

// serve calls the HTTP server directly. Start and Stop of the kratos server use a global logger, which other
// servers of the process set when they start; that would be a data race.
func (s *Server) serve() error {
	if s.options.TLS != nil {
		return s.http.ServeTLS(s.listener, "", "")
	}
	return s.http.Serve(s.listener)
}

// Address returns the address on which the server listens. Call it only after Start.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and waits until the requests in progress have finished. When ctx ends, it closes
// the remaining connections.
func (s *Server) Stop(ctx context.Context) error {
	if s.http == nil {
		return nil
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(err, s.http.Close())
	}
	if err := <-s.serveErr; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type authorKey struct{}

// Author returns the name of the operator key of a request, given the context of the request.
func Author(ctx context.Context) string {
	name, _ := ctx.Value(authorKey{}).(string)
	return name
}

// requireOperatorKey wraps a handler so that it serves only requests with a valid operator key.
func (s *Server) requireOperatorKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		author, err := s.authenticate(key)
		if err != nil {
			s.sendProblem(w, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), authorKey{}, author)))
	})
}

// authenticate returns the name of an operator key. The bootstrap key is valid while no operator key is configured.
func (s *Server) authenticate(key string) (string, error) {
	name, err := s.options.Source.AuthenticateOperator(key)
	bootstrap := s.options.BootstrapKey
	if errors.Is(err, config.ErrUnknownKey) && bootstrap != "" && !s.options.Source.Snapshot().HasOperators() &&
		subtle.ConstantTimeCompare([]byte(key), []byte(bootstrap)) == 1 {
		return "bootstrap", nil
	}
	return name, err
}

// sendProblem sends the problem document that describes the error. Errors of an unknown kind are also logged.
func (s *Server) sendProblem(w http.ResponseWriter, err error) {
	var (
		invalid     *config.Invalid
		conflictErr *config.Conflict
		prob        *problem.Problem
		tooLarge    *http.MaxBytesError
		refusal     *clients.Refusal
		d           problemDocument
	)
	detail := err.Error()
	switch {
	case errors.As(err, &prob):
		d.Document = prob.Document("")
	case errors.As(err, &invalid):
		d = problemDocument{Document: problem.NotRun(invalidConfiguration, detail).Document(""), Problems: invalid.Problems}
	case errors.As(err, &conflictErr):
		d = problemDocument{Document: problem.NotRun(conflict, detail).Document(""), Changes: conflictErr.Changes}
	case errors.As(err, &refusal):
		d.Document = problem.NotRun(problem.Overloaded, detail).Document("")
	case errors.As(err, &tooLarge):
		d.Document = problem.NotRun(problem.BodyTooLarge, detail).Document("")
	case errors.Is(err, config.ErrUnknownKey):
		d.Document = problem.NotRun(problem.InvalidKey, "operator key is missing, invalid or withdrawn").Document("")
	case errors.Is(err, config.ErrKeysStale):
		d.Document = problem.NotRun(problem.KeysUnchecked, detail).Document("")
	case errors.Is(err, provider.ErrUnknownOutcome):
		d.Document = problem.Unknown(unknownOutcome, detail).Document("")
	case errors.Is(err, provider.ErrUnavailable), errors.Is(err, provider.ErrOverBudget):
		d.Document = problem.NotRun(platformUnavailable, detail).Document("")
	default:
		s.logger.Error("Operator request failed.", "error", err)
		d.Document = problem.Unknown(problem.Internal, detail).Document("")
	}
	w.Header().Set("Content-Type", problem.ContentType)
	w.WriteHeader(d.Status)
	if err := json.NewEncoder(w).Encode(d); err != nil {
		s.logger.Debug("Problem document could not be sent.", "error", err)
	}
}
