package standin

import (
	"context"
	"time"
)

// InstanceDriver lets a stand-in platform drain and reboot an endpoint that has already been started.
type InstanceDriver struct {
	endpoint *Endpoint
	reboot   time.Duration
}

// NewInstanceDriver returns a driver of an endpoint. A reboot takes the given time.
func NewInstanceDriver(e *Endpoint, reboot time.Duration) *InstanceDriver {
	return &InstanceDriver{endpoint: e, reboot: reboot}
}

// Start does nothing, because the endpoint has already been started.
func (d *InstanceDriver) Start(uint64) error { return nil }

// Drain makes the endpoint refuse new requests. The response is marked as not run.
func (d *InstanceDriver) Drain() { d.endpoint.Drain() }

// Undrain makes the endpoint accept requests again.
func (d *InstanceDriver) Undrain() { d.endpoint.Undrain() }

// Reboot interrupts the requests in flight and returns when the endpoint serves again.
func (d *InstanceDriver) Reboot(uint64) error {
	return d.endpoint.Reboot(context.Background(), d.reboot)
}

// InFlight returns the number of requests in flight.
func (d *InstanceDriver) InFlight() int { return d.endpoint.InFlight() }
