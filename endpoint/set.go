package endpoint

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// tombstoneAge is how long a leaving or quarantined endpoint is remembered after it disappeared from
// the list, which can drop and repeat entries.
const tombstoneAge = 10 * time.Minute

var _ heap.Interface = (*pausedHeap)(nil)

// place puts the node into the heap if it waits for a probe, and takes it out otherwise.
func (h *pausedHeap) place(n *node) {
	waits := n.listed() && n.paused && n.inFlight < n.endpoint.Quota
	switch {
	case waits && n.waiting < 0:
		heap.Push(h, n)
	case waits:
		heap.Fix(h, n.waiting)
	case n.waiting >= 0:
		heap.Remove(h, n.waiting)
	}
}

// Set chooses among the endpoints of a pool for one entry instance.
type Set struct {
	options Options
	random  *rand.Rand
	nodes   map[string]*node
	local   *zone
	remote  []*zone
	// overflow is the index in remote of the data centre that takes overflow until held.
	overflow int
	held     time.Time
	// free, inFlight and failures are sums over the nodes. Serving is the number of those that serve.
	free     int
	inFlight int
	failures int
	serving  int
}

// NewSet returns a set without endpoints.
func NewSet(o Options) *Set {
	o = o.withDefaults()
	seed := o.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Set{
		options: o,
		random:  rand.New(rand.NewPCG(seed, 0)),
		nodes:   make(map[string]*node),
		local:   &zone{name: o.DataCentre},
	}
}

// Update replaces the list of endpoints. Entries with an older incarnation than the known one are
// ignored. A new incarnation clears quarantine and leaving.
func (s *Set) Update(now time.Time, endpoints []Endpoint) {
	for _, n := range s.nodes {
		if n.missing.IsZero() {
			n.missing = now
		}
	}
	for _, e := range endpoints {
		n := s.update(e)
		n.zone.place(n)
	}
	s.free, s.inFlight, s.failures, s.serving = 0, 0, 0, 0
	for id, n := range s.nodes {
		if !n.missing.IsZero() {
			n.zone.place(n)
			s.forget(now, id, n)
		}
		s.inFlight += n.inFlight
		s.count(n, 1)
	}
}

func (s *Set) update(e Endpoint) *node {
	e.Quota = max(e.Quota, 0)
	n, ok := s.nodes[e.ID]
	if !ok {
		n = &node{endpoint: e, zone: s.zone(e.DataCentre), index: -1, waiting: -1}
		s.nodes[e.ID] = n
		return n
	}
	n.missing = time.Time{}
	switch {
	case e.Incarnation < n.endpoint.Incarnation:
		// The entry is out of date, but the quota is this entry instance's own.
		n.endpoint.Quota = e.Quota
		return n
	case e.Incarnation > n.endpoint.Incarnation:
		n.stale = n.inFlight
		n.end()
		n.outcomes = 0
	default:
		e.Leaving = e.Leaving || n.endpoint.Leaving
	}
	if e.DataCentre != n.endpoint.DataCentre {
		// The node leaves the lists of its old data centre.
		n.endpoint.Leaving = true
		n.zone.place(n)
		n.zone = s.zone(e.DataCentre)
	}
	n.endpoint = e
	return n
}

// forget removes a node that is no longer listed, once nothing has to be remembered of it.
func (s *Set) forget(now time.Time, id string, n *node) {
	if n.missing.IsZero() || n.inFlight > 0 {
		return
	}
	if !n.endpoint.Leaving && !n.paused || now.Sub(n.missing) > tombstoneAge {
		delete(s.nodes, id)
	}
}

// SetPeerLoad sets how many requests other entry instances run at the endpoint, from their summaries.
func (s *Set) SetPeerLoad(id string, inFlight int) {
	if n, ok := s.nodes[id]; ok {
		n.peers = max(inFlight, 0)
	}
}

func (s *Set) zone(dataCentre string) *zone {
	if dataCentre == s.local.name {
		return s.local
	}
	for _, z := range s.remote {
		if z.name == dataCentre {
			return z
		}
	}
	z := &zone{name: dataCentre}
	s.remote = append(s.remote, z)
	return z
}

// Capacity returns the number of slots that this entry instance may use now: those in use, also at
// endpoints that get no new work, and the free ones.
func (s *Set) Capacity(now time.Time) int { return s.inFlight + s.FreeSlots(now) }

// FreeSlots returns the number of free slots of usable endpoints, plus one for each data centre with a
// quarantined endpoint that may be probed now. Acquire without exclusions succeeds while FreeSlots is not 0.
func (s *Set) FreeSlots(now time.Time) int { return s.free + s.probes(now) }

// probes returns how many data centres have an endpoint that may be probed now.
func (s *Set) probes(now time.Time) int {
	n := 0
	if s.local.due(now) != nil {
		n++
	}
	for _, z := range s.remote {
		if z.due(now) != nil {
			n++
		}
	}
	return n
}

// due returns the paused endpoint that may be probed now, or nil.
func (z *zone) due(now time.Time) *node {
	if len(z.paused) == 0 || z.paused[0].resume.After(now) {
		return nil
	}
	return z.paused[0]
}

// Acquire takes a slot of an endpoint that is not excluded. It returns false if there is none.
func (s *Set) Acquire(now time.Time, exclude ...string) (Endpoint, bool) {
	n := s.choose(now, exclude)
	if n == nil {
		return Endpoint{}, false
	}
	s.change(n, 1, func() {
		if n.paused {
			n.probing = true
			s.schedule(now, n)
		}
	})
	return n.endpoint, true
}

func (s *Set) choose(now time.Time, exclude []string) *node {
	if n := s.chooseIn(s.local, now, exclude); n != nil {
		return n
	}
	if len(s.remote) == 0 {
		return nil
	}
	if now.After(s.held) {
		s.overflow = s.random.IntN(len(s.remote))
	}
	for step := range s.remote {
		at := (s.overflow + step) % len(s.remote)
		if n := s.chooseIn(s.remote[at], now, exclude); n != nil {
			s.overflow, s.held = at, now.Add(s.options.SpilloverHold)
			return n
		}
	}
	return nil
}

// chooseIn returns a due probe of the data centre, or the less loaded of two random open endpoints.
func (s *Set) chooseIn(z *zone, now time.Time, exclude []string) *node {
	if n := z.due(now); n != nil && !slices.Contains(exclude, n.endpoint.ID) {
		return n
	}
	if len(z.free) == 0 {
		return nil
	}
	first, second := s.pick(z, exclude), s.pick(z, exclude)
	if first != nil && second != nil && second.load() < first.load() {
		return second
	}
	return first
}

// pick returns a random open endpoint that is not excluded, or nil.
func (s *Set) pick(z *zone, exclude []string) *node {
	start := s.random.IntN(len(z.free))
	if len(exclude) == 0 {
		return z.free[start]
	}
	for step := range z.free {
		n := z.free[(start+step)%len(z.free)]
		if !slices.Contains(exclude, n.endpoint.ID) {
			return n
		}
	}
	return nil
}

// Release gives back the slot of an endpoint and records how the attempt ended.
func (s *Set) Release(now time.Time, id string, outcome Outcome) {
	n, ok := s.nodes[id]
	if !ok || n.inFlight == 0 {
		return
	}
	s.change(n, -1, func() { s.judge(now, n, outcome) })
	s.forget(now, id, n)
}

// change takes or gives back slots of the node, changes its state and updates the sums and lists.
func (s *Set) change(n *node, slots int, state func()) {
	s.count(n, -1)
	s.inFlight += slots
	n.inFlight += slots
	state()
	s.count(n, 1)
	n.zone.place(n)
}

// count adds the node to the sums, or takes it out if sign is -1.
func (s *Set) count(n *node, sign int) {
	s.free += sign * n.freeSlots()
	s.failures += sign * n.failures()
	if n.serving() {
		s.serving += sign
	}
}

// failureRate returns the failure rate of the endpoints in the sums, which do not contain the one that
// is judged.
func (s *Set) failureRate() float64 {
	if s.serving == 0 {
		return 0
	}
	return float64(s.failures) / float64(windowOutcomes*s.serving)
}

// judge changes the state of the endpoint after an attempt.
func (s *Set) judge(now time.Time, n *node, outcome Outcome) {
	if n.stale > 0 {
		n.stale--
		if outcome != OutcomeOK {
			return // the attempt began under an earlier incarnation
		}
	}
	switch outcome {
	case OutcomeOK:
		n.record(false)
		// A success of an attempt that began before the pause does not end it.
		if n.probing {
			n.end()
		}
	case OutcomeFailed:
		n.record(true)
		if n.unhealthy(s.failureRate()) {
			s.pause(now, n)
		}
	case OutcomeNotRun, OutcomeRefused:
		s.pause(now, n)
	}
}

// pause stops new work for the endpoint until its next probe.
func (s *Set) pause(now time.Time, n *node) {
	if !n.paused {
		n.paused, n.probing, n.interval = true, false, 0
		s.schedule(now, n)
	}
}

// schedule sets the time of the next probe. It counts from the start of a probe, so that a probe
// without a response does not delay the next one. Jitter keeps entry instances from probing at the
// same time.
func (s *Set) schedule(now time.Time, n *node) {
	n.interval = min(max(2*n.interval, s.options.ProbeInterval), s.options.MaxProbeInterval)
	n.resume = now.Add(n.interval/2 + time.Duration(s.random.Int64N(int64(n.interval))))
}
