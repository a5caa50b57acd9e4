package metrics

import "github.com/prometheus/client_golang/prometheus"

// ClientStats is what the clients of a listener hold.
type ClientStats struct {
	Connections float64
	// HeldBytes is the memory of their connections, heads and bodies.
	HeldBytes float64
	// Refusals counts refused requests and closed connections by reason.
	Refusals map[string]float64
}

var (
	descClients = newDesc("client_connections", "Connections of clients by listener.", "listener")
	descHeld    = newDesc("client_held_bytes", "Memory that connections, heads and bodies of clients are counted as, by listener.", "listener")
	descDenied  = newDesc("client_refusals_total", "Requests that were refused and connections that were closed because of what clients held or sent, by listener and reason.", "listener", "reason")
)

func collectClients(out chan<- prometheus.Metric, listeners map[string]ClientStats) {
	for listener, c := range listeners {
		out <- prometheus.MustNewConstMetric(descClients, prometheus.GaugeValue, c.Connections, listener)
		out <- prometheus.MustNewConstMetric(descHeld, prometheus.GaugeValue, c.HeldBytes, listener)
		for reason, n := range c.Refusals {
			out <- prometheus.MustNewConstMetric(descDenied, prometheus.CounterValue, n, listener, reason)
		}
	}
}
