package endpoint

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// unlistedRetention is how long the state of a leaving or quarantined endpoint is kept after it disappeared
// from the list. The list can drop entries and repeat old ones, which must not bring the endpoint back.
const unlistedRetention = 10 * time.Minute

var _ heap.Interface = (*probeHeap)(nil)

// update adds the endpoint to the heap if it waits for a probe, and removes it otherwise.
func (h *probeHeap) update(e *endpointState) {
	waits := e.listed() && e.quarantined && e.inFlight < e.endpoint.Quota
	switch {
	case waits && e.probeIndex < 0:
		heap.Push(h, e)
	case waits:
		heap.Fix(h, e.probeIndex)
	case e.probeIndex >= 0:
		heap.Remove(h, e.probeIndex)
	}
}

// Set chooses among the endpoints of a pool for one entry instance.
type Set struct {
	options Options
	random  *rand.Rand
	states  map[string]*endpointState
	local   *dataCentreEndpoints
	remote  []*dataCentreEndpoints
	// spillover is the index in remote of the data centre that receives the spillover until spilloverUntil.
	spillover      int
	spilloverUntil time.Time
	// freeSlots, inFlight and failureCount are sums over the endpoints. serving is the number of endpoints that
	// get new work.
	freeSlots    int
	inFlight     int
	failureCount int
	serving      int
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
		states:  make(map[string]*endpointState),
		local:   &dataCentreEndpoints{name: o.DataCentre},
	}
}

// Update replaces the list of endpoints. Only the quota is used of an entry with an older incarnation than the
// known one. A new incarnation ends quarantine and leaving.
func (s *Set) Update(now time.Time, endpoints []Endpoint) {
	for _, state := range s.states {
		if state.unlistedSince.IsZero() {
			state.unlistedSince = now
		}
	}
	for _, e := range endpoints {
		state := s.updateEndpoint(e)
		state.dataCentre.updateLists(state)
	}
	s.freeSlots, s.inFlight, s.failureCount, s.serving = 0, 0, 0, 0
	for id, state := range s.states {
		if !state.unlistedSince.IsZero() {
			state.dataCentre.updateLists(state)
			s.removeIfUnlisted(now, id, state)
		}
		s.inFlight += state.inFlight
		s.addToSums(state, 1)
	}
}

// updateEndpoint applies an entry of the list and returns the state of its endpoint.
func (s *Set) updateEndpoint(e Endpoint) *endpointState {
	e.Quota = max(e.Quota, 0)
	state, ok := s.states[e.ID]
	if !ok {
		state = &endpointState{endpoint: e, dataCentre: s.getOrCreateDataCentre(e.DataCentre), availableIndex: -1, probeIndex: -1}
		s.states[e.ID] = state
		return state
	}
	state.unlistedSince = time.Time{}
	switch {
	case e.Incarnation < state.endpoint.Incarnation:
		// The entry is out of date, but the quota was computed by this entry instance.
		state.endpoint.Quota = e.Quota
		return state
	case e.Incarnation > state.endpoint.Incarnation:
		state.staleInFlight = state.inFlight
		state.endQuarantine()
		state.failureBits = 0
	default:
		e.Leaving = e.Leaving || state.endpoint.Leaving
	}
	if e.DataCentre != state.endpoint.DataCentre {
		// Marking the endpoint as leaving removes it from the lists of its old data centre.
		state.endpoint.Leaving = true
		state.dataCentre.updateLists(state)
		state.dataCentre = s.getOrCreateDataCentre(e.DataCentre)
	}
	state.endpoint = e
	return state
}

// removeIfUnlisted removes the state of an endpoint that is no longer listed, once it is no longer needed.
func (s *Set) removeIfUnlisted(now time.Time, id string, state *endpointState) {
	if state.unlistedSince.IsZero() || state.inFlight > 0 {
		return
	}
	if !state.endpoint.Leaving && !state.quarantined || now.Sub(state.unlistedSince) > unlistedRetention {
		delete(s.states, id)
	}
}

// SetPeerLoad sets the number of requests that other entry instances run at the endpoint, by their summaries.
func (s *Set) SetPeerLoad(id string, inFlight int) {
	if state, ok := s.states[id]; ok {
		state.peerInFlight = max(inFlight, 0)
	}
}

func (s *Set) getOrCreateDataCentre(dataCentre string) *dataCentreEndpoints {
	if dataCentre == s.local.name {
		return s.local
	}
	for _, d := range s.remote {
		if d.name == dataCentre {
			return d
		}
	}
	d := &dataCentreEndpoints{name: dataCentre}
	s.remote = append(s.remote, d)
	return d
}

// Capacity returns the number of slots that this entry instance may use now: the slots in use, including
// those of endpoints that get no new work, and the free slots.
func (s *Set) Capacity(now time.Time) int { return s.inFlight + s.FreeSlots(now) }

// FreeSlots returns the number of free slots of endpoints that get new work, plus one for each data centre with
// a quarantined endpoint that may be probed now. Acquire without exclusions succeeds while FreeSlots is not 0.
func (s *Set) FreeSlots(now time.Time) int { return s.freeSlots + s.dueProbeCount(now) }

// dueProbeCount returns how many data centres have an endpoint that may be probed now.
func (s *Set) dueProbeCount(now time.Time) int {
	count := 0
	if s.local.dueProbe(now) != nil {
		count++
	}
	for _, d := range s.remote {
		if d.dueProbe(now) != nil {
			count++
		}
	}
	return count
}

// dueProbe returns the quarantined endpoint that may be probed now, or nil.
func (d *dataCentreEndpoints) dueProbe(now time.Time) *endpointState {
	if len(d.quarantined) == 0 || d.quarantined[0].nextProbe.After(now) {
		return nil
	}
	return d.quarantined[0]
}

// Acquire takes a slot of an endpoint that is not excluded. It returns false if there is none.
func (s *Set) Acquire(now time.Time, exclude ...string) (Endpoint, bool) {
	state := s.chooseEndpoint(now, exclude)
	if state == nil {
		return Endpoint{}, false
	}
	s.changeInFlight(state, 1, func() {
		if state.quarantined {
			state.probing = true
			s.scheduleProbe(now, state)
		}
	})
	return state.endpoint, true
}

// chooseEndpoint returns a local endpoint if one can take a request. Otherwise the request spills over to
// another data centre: to the one of the last spillover, or after SpilloverHold to a random one.
func (s *Set) chooseEndpoint(now time.Time, exclude []string) *endpointState {
	if state := s.chooseInDataCentre(s.local, now, exclude); state != nil {
		return state
	}
	if len(s.remote) == 0 {
		return nil
	}
	if now.After(s.spilloverUntil) {
		s.spillover = s.random.IntN(len(s.remote))
	}
	for offset := range s.remote {
		at := (s.spillover + offset) % len(s.remote)
		if state := s.chooseInDataCentre(s.remote[at], now, exclude); state != nil {
			s.spillover, s.spilloverUntil = at, now.Add(s.options.SpilloverHold)
			return state
		}
	}
	return nil
}

// chooseInDataCentre returns an endpoint whose probe is due, or the less loaded of two random available
// endpoints, or nil.
func (s *Set) chooseInDataCentre(d *dataCentreEndpoints, now time.Time, exclude []string) *endpointState {
	if state := d.dueProbe(now); state != nil && !slices.Contains(exclude, state.endpoint.ID) {
		return state
	}
	if len(d.available) == 0 {
		return nil
	}
	first, second := s.randomAvailable(d, exclude), s.randomAvailable(d, exclude)
	if first != nil && second != nil && second.load() < first.load() {
		return second
	}
	return first
}

// randomAvailable returns a random available endpoint that is not excluded, or nil.
func (s *Set) randomAvailable(d *dataCentreEndpoints, exclude []string) *endpointState {
	start := s.random.IntN(len(d.available))
	if len(exclude) == 0 {
		return d.available[start]
	}
	for step := range d.available {
		state := d.available[(start+step)%len(d.available)]
		if !slices.Contains(exclude, state.endpoint.ID) {
			return state
		}
	}
	return nil
}

// Release gives back the slot of an endpoint and records how the attempt ended.
func (s *Set) Release(now time.Time, id string, outcome Outcome) {
	state, ok := s.states[id]
	if !ok || state.inFlight == 0 {
		return
	}
	s.changeInFlight(state, -1, func() { s.applyOutcome(now, state, outcome) })
	s.removeIfUnlisted(now, id, state)
}

// changeInFlight adds slots to the requests in flight at the endpoint, calls change to change its state, and
// updates the sums and lists.
func (s *Set) changeInFlight(state *endpointState, slots int, change func()) {
	s.addToSums(state, -1)
	s.inFlight += slots
	state.inFlight += slots
	change()
	s.addToSums(state, 1)
	state.dataCentre.updateLists(state)
}

// addToSums adds the endpoint to the sums, or subtracts it if sign is -1.
func (s *Set) addToSums(state *endpointState, sign int) {
	s.freeSlots += sign * state.freeSlots()
	s.failureCount += sign * state.failureCount()
	if state.receivesWork() {
		s.serving += sign
	}
}

// failureRate returns the failure rate of the endpoints in the sums. While an outcome is applied, these do not
// contain its endpoint.
func (s *Set) failureRate() float64 {
	if s.serving == 0 {
		return 0
	}
	return float64(s.failureCount) / float64(outcomeWindow*s.serving)
}

// applyOutcome records the outcome of an attempt and begins or ends a quarantine.
func (s *Set) applyOutcome(now time.Time, state *endpointState, outcome Outcome) {
	if state.staleInFlight > 0 {
		state.staleInFlight--
		if outcome != OutcomeOK {
			return // the attempt began under an earlier incarnation
		}
	}
	switch outcome {
	case OutcomeOK:
		state.recordOutcome(false)
		// Only the success of a probe ends the quarantine, not that of an attempt from before.
		if state.probing {
			state.endQuarantine()
		}
	case OutcomeFailed:
		state.recordOutcome(true)
		if state.shouldQuarantine(s.failureRate()) {
			s.quarantine(now, state)
		}
	case OutcomeNotRun, OutcomeRefused:
		s.quarantine(now, state)
	}
}

// quarantine stops new work for the endpoint until its next probe.
func (s *Set) quarantine(now time.Time, state *endpointState) {
	if !state.quarantined {
		state.quarantined, state.probing, state.probeInterval = true, false, 0
		s.scheduleProbe(now, state)
	}
}

// scheduleProbe sets the time of the next probe. The interval counts from the start of the last probe, so that
// a probe without a response does not delay the next one. Jitter keeps entry instances from probing at the
// same time.
func (s *Set) scheduleProbe(now time.Time, state *endpointState) {
	state.probeInterval = min(max(2*state.probeInterval, s.options.ProbeInterval), s.options.MaxProbeInterval)
	state.nextProbe = now.Add(state.probeInterval/2 + time.Duration(s.random.Int64N(int64(state.probeInterval))))
}
