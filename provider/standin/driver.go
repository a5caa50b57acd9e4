package standin

import (
	"context"
	"net/http"
	"time"
)

// driverTimeout is the timeout of a call to a driver in another process, which includes a reboot.
const driverTimeout = 2 * time.Minute

// driverCall is the body of a call to a driver.
type driverCall struct {
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// InstanceDriverHandler lets a stand-in server control an instance in another process. It serves /machine/start,
// /machine/drain, /machine/undrain, /machine/reboot and /machine/inFlight.
func InstanceDriverHandler(d InstanceDriver) http.Handler {
	mux := http.NewServeMux()
	p := New(Options{})
	handle(p, mux, "/machine/start", func(_ context.Context, _ *Client, in driverCall) (empty, error) {
		return empty{}, d.Start(in.Incarnation)
	})
	handle(p, mux, "/machine/reboot", func(_ context.Context, _ *Client, in driverCall) (empty, error) {
		return empty{}, d.Reboot(in.Incarnation)
	})
	handle(p, mux, "/machine/drain", func(context.Context, *Client, driverCall) (empty, error) {
		d.Drain()
		return empty{}, nil
	})
	handle(p, mux, "/machine/undrain", func(context.Context, *Client, driverCall) (empty, error) {
		d.Undrain()
		return empty{}, nil
	})
	handle(p, mux, "/machine/inFlight", func(context.Context, *Client, driverCall) (int, error) {
		return d.InFlight(), nil
	})
	return mux
}

// remoteDriver controls an instance in another process.
type remoteDriver struct {
	remote *Remote
	// lastInFlight is the last count that the instance reported. It is kept while the instance does not respond.
	lastInFlight int
}

var _ InstanceDriver = (*remoteDriver)(nil)

// newRemoteDriver returns a driver that calls the handler of [InstanceDriverHandler] at an address.
func newRemoteDriver(address string) *remoteDriver {
	return &remoteDriver{remote: NewRemote(RemoteOptions{Address: address, Timeout: driverTimeout, Connections: 1})}
}

func (d *remoteDriver) Start(incarnation uint64) error {
	return d.remote.write(context.Background(), "/machine/start", driverCall{Incarnation: incarnation})
}

func (d *remoteDriver) Reboot(incarnation uint64) error {
	return d.remote.write(context.Background(), "/machine/reboot", driverCall{Incarnation: incarnation})
}

func (d *remoteDriver) Drain() { d.control("/machine/drain") }

func (d *remoteDriver) Undrain() { d.control("/machine/undrain") }

// control sends a call and ignores its error. A failure shows in the in-flight count, which then does not change.
func (d *remoteDriver) control(path string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = d.remote.write(ctx, path, driverCall{})
}

func (d *remoteDriver) InFlight() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if n, err := readRemote[int](ctx, d.remote, "/machine/inFlight", driverCall{}); err == nil {
		d.lastInFlight = n
	}
	return d.lastInFlight
}
