package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

// stateCollector reads the sources of an entry instance at each scrape.
type stateCollector struct{ sources Sources }

var _ prometheus.Collector = (*stateCollector)(nil)

func newStateCollector(sources Sources) *stateCollector {
	return &stateCollector{sources: sources}
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

var (
	queuedDesc           = newDesc("queue_requests", "Queued requests by pool.", "pool")
	runningDesc          = newDesc("running_requests", "Requests running on endpoints, by pool.", "pool")
	freeSlotsDesc        = newDesc("free_slots", "Unused slots that this entry instance may use, by pool.", "pool")
	endpointsDesc        = newDesc("endpoints", "Endpoints by pool and state: usable, quarantined or leaving.", "pool", "state")
	allotmentHeldDesc    = newDesc("allotment_held", "Part of a team's upper limit that this entry instance holds.", "team")
	allotmentRunningDesc = newDesc("allotment_running", "Running requests that count against the allotment, by team.", "team")
	versionDesc          = newDesc("config_version", "Version of the configuration in force.")
	ageDesc              = newDesc("config_age_seconds", "Time since the configuration was last confirmed to be current. Absent if that is not known.")
	peersDesc            = newDesc("peers", "Other entry instances by state: alive, suspect, dead or leaving.", "state")
	dutiesDesc           = newDesc("duties_held", "Duties (control loops) that this entry instance holds.")
	instancesDesc        = newDesc("instances", "Instances of all pools by state.", "state")
)

// Describe implements [prometheus.Collector].
func (c *stateCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		queuedDesc, runningDesc, freeSlotsDesc, endpointsDesc, allotmentHeldDesc, allotmentRunningDesc,
		versionDesc, ageDesc, peersDesc, dutiesDesc, instancesDesc, descClients, descHeld, descDenied,
	} {
		ch <- desc
	}
}

// Collect implements [prometheus.Collector].
func (c *stateCollector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	if c.sources.Pools != nil {
		for _, p := range c.sources.Pools() {
			gauge(queuedDesc, float64(p.Queued), p.Pool)
			gauge(runningDesc, float64(p.Running), p.Pool)
			gauge(freeSlotsDesc, float64(p.FreeSlots), p.Pool)
			gauge(endpointsDesc, float64(p.Usable), p.Pool, "usable")
			gauge(endpointsDesc, float64(p.Quarantined), p.Pool, "quarantined")
			gauge(endpointsDesc, float64(p.Leaving), p.Pool, "leaving")
		}
	}
	if c.sources.Teams != nil {
		for _, t := range c.sources.Teams() {
			gauge(allotmentHeldDesc, float64(t.Held), t.Team)
			gauge(allotmentRunningDesc, float64(t.Running), t.Team)
		}
	}
	if c.sources.Config != nil {
		stats := c.sources.Config()
		gauge(versionDesc, float64(stats.Version))
		if stats.Known {
			gauge(ageDesc, stats.Age.Seconds())
		}
	}
	if c.sources.Peers != nil {
		for state, n := range c.sources.Peers() {
			gauge(peersDesc, float64(n), state)
		}
	}
	if c.sources.Duties != nil {
		gauge(dutiesDesc, float64(c.sources.Duties()))
	}
	if c.sources.Clients != nil {
		collectClients(ch, c.sources.Clients())
	}
	if c.sources.Instances != nil {
		for state, n := range c.sources.Instances() {
			gauge(instancesDesc, float64(n), state)
		}
	}
}
