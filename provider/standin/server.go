package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/provider"
)

// maxBody is the largest request body, in bytes.
const maxBody = 16 << 20

// Handler returns the HTTP service of the platform. Faults apply to all calls except those that set faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	p.handleTable(mux)
	p.handleObjects(mux)
	p.handleInstances(mux)
	p.handleTasks(mux)
	p.handleFaults(mux)
	return mux
}

func (p *Platform) handleTable(mux *http.ServeMux) {
	handle(p, mux, pathRead, func(ctx context.Context, c *Client, in readCall) ([]provider.Row, error) {
		return c.Table().Read(ctx, in.Keys...)
	})
	handle(p, mux, pathScan, func(ctx context.Context, c *Client, in scanCall) ([]provider.Row, error) {
		return c.Table().Scan(ctx, in.Prefix, in.After, in.Limit)
	})
	handle(p, mux, pathCommit, func(ctx context.Context, c *Client, in provider.Txn) (empty, error) {
		return empty{}, c.Table().Commit(ctx, in)
	})
}

func (p *Platform) handleObjects(mux *http.ServeMux) {
	handle(p, mux, pathPut, func(ctx context.Context, c *Client, in objectCall) (empty, error) {
		return empty{}, c.Objects().Put(ctx, in.Name, in.Data)
	})
	handle(p, mux, pathGet, func(ctx context.Context, c *Client, in objectCall) ([]byte, error) {
		return c.Objects().Get(ctx, in.Name)
	})
	handle(p, mux, pathListNames, func(ctx context.Context, c *Client, in objectCall) ([]string, error) {
		return c.Objects().List(ctx, in.Name)
	})
	handle(p, mux, pathDelete, func(ctx context.Context, c *Client, in objectCall) (empty, error) {
		return empty{}, c.Objects().Delete(ctx, in.Name)
	})
}

func (p *Platform) handleInstances(mux *http.ServeMux) {
	handle(p, mux, pathList, func(ctx context.Context, c *Client, in listCall) (provider.InstanceList, error) {
		return c.Instances().List(ctx, in.Cursor)
	})
	handle(p, mux, pathDrain, func(ctx context.Context, c *Client, in instanceCall) (empty, error) {
		return empty{}, c.Instances().Drain(ctx, in.ID)
	})
	handle(p, mux, pathUndrain, func(ctx context.Context, c *Client, in instanceCall) (empty, error) {
		return empty{}, c.Instances().Undrain(ctx, in.ID)
	})
	handle(p, mux, pathReboot, func(ctx context.Context, c *Client, in instanceCall) (empty, error) {
		return empty{}, c.Instances().Reboot(ctx, in.ID, in.Incarnation)
	})
	handle(p, mux, pathRegister, func(_ context.Context, _ *Client, in registerCall) (empty, error) {
		var driver InstanceDriver
		if in.Control != "" {
			driver = newRemoteDriver(in.Control)
		}
		return empty{}, p.instances.Add(in.Instance, driver)
	})
}

func (p *Platform) handleTasks(mux *http.ServeMux) {
	handle(p, mux, pathStart, func(ctx context.Context, c *Client, in provider.TaskSpec) (empty, error) {
		return empty{}, c.Tasks().Start(ctx, in)
	})
	handle(p, mux, pathRenew, func(ctx context.Context, c *Client, in taskCall) (empty, error) {
		return empty{}, c.Tasks().Renew(ctx, in.Token, in.IDs...)
	})
	handle(p, mux, pathStop, func(ctx context.Context, c *Client, in taskCall) (empty, error) {
		return empty{}, c.Tasks().Stop(ctx, in.Token, in.id())
	})
	handle(p, mux, pathThrottle, func(ctx context.Context, c *Client, in taskCall) (empty, error) {
		return empty{}, c.Tasks().Throttle(ctx, in.Token, in.id(), in.Fraction)
	})
	handle(p, mux, pathCheckpoint, func(ctx context.Context, c *Client, in taskCall) (string, error) {
		return c.Tasks().Checkpoint(ctx, in.Token, in.id())
	})
	handle(p, mux, pathStatus, func(ctx context.Context, c *Client, in statusCall) ([]provider.TaskStatus, error) {
		return c.Tasks().Status(ctx, in.Workers...)
	})
}

func (p *Platform) handleFaults(mux *http.ServeMux) {
	handle(p, mux, pathFaults, func(_ context.Context, _ *Client, in Faults) (empty, error) {
		p.SetFaults(in)
		return empty{}, nil
	})
	handle(p, mux, pathPartition, func(_ context.Context, _ *Client, in Identity) (empty, error) {
		p.Partition(in)
		return empty{}, nil
	})
	handle(p, mux, pathHeal, func(_ context.Context, _ *Client, in Identity) (empty, error) {
		p.Heal(in)
		return empty{}, nil
	})
}

// handle adds one call to the service.
func handle[In, Out any](p *Platform, mux *http.ServeMux, path string, call func(context.Context, *Client, In) (Out, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		ctx := r.Context()
		if timeout, err := time.ParseDuration(r.Header.Get(headerTimeout)); err == nil {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		var in In
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&in); err != nil {
			respond(w, http.StatusBadRequest, errorBody{Error: "malformed", Detail: err.Error()})
			return
		}
		client := p.Client(Identity{Client: r.Header.Get(headerClient), DataCentre: r.Header.Get(headerDataCentre)})
		out, err := call(ctx, client, in)
		if errors.Is(err, provider.ErrUnknownOutcome) {
			// A lost response is simulated by closing the connection without one.
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			status, body := encodeError(err)
			respond(w, status, body)
			return
		}
		respond(w, http.StatusOK, out)
	})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the connection is closed, which the caller detects itself.
	_ = json.NewEncoder(w).Encode(body)
}

// Server serves a platform on a loopback address.
type Server struct {
	listener net.Listener
	server   *http.Server
	logger   hclog.Logger
}

// Serve starts a server for the platform on the address, such as "127.0.0.1:0".
func Serve(p *Platform, address string, logger hclog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: listener,
		server:   &http.Server{Handler: p.Handler(), ReadHeaderTimeout: 5 * time.Second},
		logger:   logger.Named("platform"),
	}
	go func() {
		if err := s.server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("Server of the stand-in platform has stopped.", "error", err)
		}
	}()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop stops the server. Calls that are still running when ctx ends are aborted.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Join(err, s.server.Close())
	}
	return nil
}
