package standin

import (
	"context"
	"time"
)

// Machine lets a stand-in platform drain and reboot an endpoint that already serves.
type Machine struct {
	endpoint *Endpoint
	reboot   time.Duration
}

// NewMachine returns the machine of an endpoint. A reboot takes the given time.
func NewMachine(e *Endpoint, reboot time.Duration) *Machine {
	return &Machine{endpoint: e, reboot: reboot}
}

// Start does nothing, since the endpoint serves already.
func (m *Machine) Start(uint64) error { return nil }

// Drain makes the endpoint refuse new requests as not run.
func (m *Machine) Drain() { m.endpoint.Drain() }

// Undrain makes the endpoint accept requests again.
func (m *Machine) Undrain() { m.endpoint.Undrain() }

// Reboot interrupts the requests in flight and returns when the endpoint serves again.
func (m *Machine) Reboot(uint64) error { return m.endpoint.Reboot(context.Background(), m.reboot) }

// InFlight returns the number of requests that run.
func (m *Machine) InFlight() int { return m.endpoint.InFlight() }
