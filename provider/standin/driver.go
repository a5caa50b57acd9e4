package standin

import (
	"context"
	"net/http"
	"time"
)

// machineTimeout bounds a control call to a machine, which includes a reboot.
const machineTimeout = 2 * time.Minute

type machineCall struct {
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// InstanceDriverHandler lets a stand-in server drive a machine in another process. It serves /machine/start,
// /machine/drain, /machine/undrain, /machine/reboot and /machine/inFlight.
func InstanceDriverHandler(m InstanceDriver) http.Handler {
	mux := http.NewServeMux()
	p := New(Options{})
	handle(p, mux, "/machine/start", func(_ context.Context, _ *Client, in machineCall) (empty, error) {
		return empty{}, m.Start(in.Incarnation)
	})
	handle(p, mux, "/machine/reboot", func(_ context.Context, _ *Client, in machineCall) (empty, error) {
		return empty{}, m.Reboot(in.Incarnation)
	})
	handle(p, mux, "/machine/drain", func(context.Context, *Client, machineCall) (empty, error) {
		m.Drain()
		return empty{}, nil
	})
	handle(p, mux, "/machine/undrain", func(context.Context, *Client, machineCall) (empty, error) {
		m.Undrain()
		return empty{}, nil
	})
	handle(p, mux, "/machine/inFlight", func(context.Context, *Client, machineCall) (int, error) {
		return m.InFlight(), nil
	})
	return mux
}

// remoteMachine drives a machine in another process.
type remoteMachine struct {
	remote *Remote
	// last is the last count that the machine reported. It stays when the machine does not answer.
	last int
}

var _ InstanceDriver = (*remoteMachine)(nil)

// newRemoteMachine returns a machine whose control handler is at the address.
func newRemoteMachine(address string) *remoteMachine {
	return &remoteMachine{remote: NewRemote(RemoteOptions{Address: address, Timeout: machineTimeout, Connections: 1})}
}

func (m *remoteMachine) Start(incarnation uint64) error {
	return m.remote.effect(context.Background(), "/machine/start", machineCall{Incarnation: incarnation})
}

func (m *remoteMachine) Reboot(incarnation uint64) error {
	return m.remote.effect(context.Background(), "/machine/reboot", machineCall{Incarnation: incarnation})
}

func (m *remoteMachine) Drain() { m.control("/machine/drain") }

func (m *remoteMachine) Undrain() { m.control("/machine/undrain") }

// control sends a call whose failure shows in the in-flight count, which then stays as it was.
func (m *remoteMachine) control(path string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = m.remote.effect(ctx, path, machineCall{})
}

func (m *remoteMachine) InFlight() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if n, err := fetch[int](ctx, m.remote, "/machine/inFlight", machineCall{}); err == nil {
		m.last = n
	}
	return m.last
}
