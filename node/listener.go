package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"

	clients "github.com/chivetiller/chivetiller/internal/clients/listener"
	"github.com/chivetiller/chivetiller/kernel"
)

const (
	// headerTimeout limits the time until the first byte of a request on a new connection. The budget of the listener limits a head.
	headerTimeout = 15 * time.Second
	// idleTimeout is how long a connection without requests stays open. Clients close idle connections after some seconds.
	idleTimeout = time.Minute
)

// httpService returns a service that serves a handler on an address. Its stop waits up to drain for requests to end.
func (n *Node) httpService(name, address string, handler http.Handler, drain time.Duration, needs []string) kernel.Service {
	var server *kratoshttp.Server
	return kernel.Service{
		Name: name, Needs: needs,
		Start: func(context.Context) error {
			listener, err := n.listen(name, address)
			if err != nil {
				return eris.Wrapf(err, "listen for %s", name)
			}
			server = kratoshttp.NewServer(kratoshttp.Listener(listener), kratoshttp.Address(address), kratoshttp.Timeout(0))
			// The handler replaces the router of the library, which is not needed and costs time for each request.
			server.Handler = listener.Handler(handler)
			server.ReadHeaderTimeout, server.IdleTimeout = headerTimeout, idleTimeout
			server.MaxHeaderBytes = clients.MaxHeaderBytes
			server.ConnContext, server.ConnState = listener.ConnContext, clients.ConnState
			go func() {
				if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
					n.logger.Error("Listener has failed.", "listener", name, "error", err)
				}
			}()
			n.logger.Info("Listener started.", "listener", name, "address", address)
			return nil
		},
		Stop: func(ctx context.Context) error {
			limited, cancel := context.WithTimeout(ctx, drain)
			defer cancel()
			if err := server.Shutdown(limited); err != nil {
				n.logger.Warn("Requests were aborted because they did not end in time.", "listener", name, "error", err)
				return server.Close()
			}
			return nil
		},
	}
}
