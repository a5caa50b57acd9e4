package drain_test

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/http/drain"
	"github.com/chivetiller/chivetiller/internal/soak/link"
)

// TestReadIsAnswered guards against requests that are read while the server stops and are dropped.
func TestReadIsAnswered(t *testing.T) {
	c := qt.New(t)
	const clients = 60
	request := []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	for range 20 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		d := drain.New()
		server := &http.Server{Handler: d.Handler(http.NotFoundHandler()), ConnState: d.ConnState, ReadHeaderTimeout: time.Minute}
		served := make(chan error, 1)
		go func() { served <- server.Serve(d.Listener(listener)) }()
		var ready, done sync.WaitGroup
		ready.Add(clients)
		errs := make([]error, clients)
		for i := range clients {
			conn, err := link.Dial(t.Context(), "tcp", listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			done.Go(func() {
				exchange := func() {
					if _, errs[i] = conn.Write(request); errs[i] == nil {
						_, errs[i] = conn.Read(make([]byte, 1<<10))
					}
				}
				exchange()
				ready.Done()
				ready.Wait()
				exchange()
			})
		}
		ready.Wait()
		c.Assert(d.Drain(t.Context()), qt.IsNil)
		c.Assert(server.Shutdown(t.Context()), qt.IsNil)
		c.Assert(<-served, qt.ErrorIs, http.ErrServerClosed)
		done.Wait()
		for _, err := range errs {
			c.Assert(err == nil || errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
		}
	}
}
