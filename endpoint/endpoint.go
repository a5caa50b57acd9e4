// Package endpoint balances the load of a pool over its endpoints. It chooses the endpoint that serves a
// request, within the slots that this entry instance may use, and splits the slots of the endpoints over the
// entry instances.
//
// Endpoints of the local data centre are preferred. Requests spill over to another data centre only while no
// local endpoint has a free slot. Health checks are passive: an endpoint whose requests fail is quarantined
// (outlier ejection), and probed by single requests with exponential backoff. A leaving endpoint gets no new
// work until it is listed with a new incarnation.
//
// # Usage
//
//	s := endpoint.NewSet(endpoint.Options{DataCentre: "north"})
//	s.Update(now, endpoints)
//	scheduler.SetCapacity(now, s.Capacity(now))
//	e, ok := s.Acquire(now)
//	if ok {
//		... // send the request to e.Address
//		s.Release(now, e.ID, endpoint.OutcomeOK)
//	}
//
// The quotas are computed from the membership of entry instances:
//
//	q := endpoint.NewQuotas("entry-1", suspicionTimeout)
//	q.Update(now, members)
//	slots := q.Quota(now, endpoint.SlotsPerEndpoint, id, dataCentre)
//
// A Set and a Quotas are not safe for concurrent use.
package endpoint

import "time"

const (
	// SlotsPerEndpoint is the number of requests that an endpoint runs at a time.
	SlotsPerEndpoint = 8
	// ConnectionsPerEndpoint is the number of connections that an endpoint accepts.
	ConnectionsPerEndpoint = 64
)

// Endpoint is an instance that serves requests.
type Endpoint struct {
	ID         string
	DataCentre string
	// Address is the IP address and port where the endpoint accepts requests.
	Address string
	// Incarnation grows each time the endpoint starts.
	Incarnation uint64
	// Quota is the number of slots that this entry instance may use at a time.
	Quota int
	// Leaving means that the endpoint is draining: it gets no new work until it is listed with a new incarnation.
	Leaving bool
}

// Outcome is how an attempt at an endpoint ended.
type Outcome int

// Outcomes of an attempt.
const (
	// OutcomeOK means that the endpoint gave a complete response.
	OutcomeOK Outcome = iota
	// OutcomeFailed means that the endpoint may have acted on the request, but gave no usable response.
	OutcomeFailed
	// OutcomeNotRun means that the endpoint replied that it did not act on the request, because it is full or
	// leaving.
	OutcomeNotRun
	// OutcomeRefused means that the endpoint did not accept the connection.
	OutcomeRefused
	// OutcomeInconclusive says nothing about the endpoint: the attempt was cancelled or never began.
	OutcomeInconclusive
)

// Options are the settings of a set. A zero field takes its default.
type Options struct {
	// DataCentre is the data centre of this entry instance.
	DataCentre string
	// ProbeInterval is the time until the first probe of a quarantined endpoint, before jitter. It doubles with
	// each failed probe up to MaxProbeInterval. The defaults are 100 ms and 5 s.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	// SpilloverHold is how long after the last spillover the set keeps using the same other data centre. The
	// default is 1 s.
	SpilloverHold time.Duration
	// Seed makes the random choices repeatable. The default is a random seed.
	Seed uint64
}

const (
	defaultProbeInterval    = 100 * time.Millisecond
	defaultMaxProbeInterval = 5 * time.Second
	defaultSpilloverHold    = time.Second
)

func (o Options) withDefaults() Options {
	if o.ProbeInterval <= 0 {
		o.ProbeInterval = defaultProbeInterval
	}
	if o.MaxProbeInterval <= 0 {
		o.MaxProbeInterval = defaultMaxProbeInterval
	}
	if o.SpilloverHold <= 0 {
		o.SpilloverHold = defaultSpilloverHold
	}
	return o
}
