package endpoint_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/endpoint"
)

// serve makes n attempts, one at a time, and returns how many each endpoint got. The outcome of an attempt is
// that of its endpoint in outcomes, or OutcomeOK.
func serve(s *endpoint.Set, now time.Time, n int, outcomes map[string]endpoint.Outcome) map[string]int {
	got := map[string]int{}
	for range n {
		e, ok := s.Acquire(now)
		if !ok {
			break
		}
		got[e.ID]++
		s.Release(now, e.ID, outcomes[e.ID])
	}
	return got
}

// TestUnhealthyEndpoint guards against an endpoint that keeps getting work although it fails, refuses
// connections or is leaving. Fast failures free their slots at once and would attract most of the work.
func TestUnhealthyEndpoint(t *testing.T) {
	const bad = "worker-0000"
	tests := map[string]struct {
		outcome endpoint.Outcome
		most    int // largest number of 1000 attempts at the bad endpoint, before the first probe is due
		probes  int // largest number of further attempts in a minute, with probe intervals from 0.1 s to 5 s
	}{
		"fails":        {endpoint.OutcomeFailed, 6, 25},
		"not run":      {endpoint.OutcomeNotRun, 1, 25},
		"refused":      {endpoint.OutcomeRefused, 1, 25},
		"works (base)": {endpoint.OutcomeOK, 1000, 60000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := endpoint.NewSet(endpoint.Options{DataCentre: "dc0", Seed: 1})
			all := list(4, 1, 8)
			s.Update(start, all)
			outcomes := map[string]endpoint.Outcome{bad: tt.outcome}
			qt.Assert(t, serve(s, start, 1000, outcomes)[bad] <= tt.most, qt.IsTrue)
			now, probes := start, 0
			for range 60000 {
				now = now.Add(time.Millisecond)
				probes += serve(s, now, 1, outcomes)[bad]
			}
			qt.Assert(t, probes <= tt.probes, qt.IsTrue, qt.Commentf("%d probes", probes))
			qt.Assert(t, probes >= 10, qt.IsTrue, qt.Commentf("%d probes", probes))
			// A successful probe ends the quarantine.
			now = now.Add(10 * time.Second)
			qt.Assert(t, serve(s, now, 1000, nil)[bad] > 150, qt.IsTrue)
		})
	}
}

// TestManyBroken guards against broken endpoints that keep getting work because others are broken too.
func TestManyBroken(t *testing.T) {
	for broken := 1; broken <= 4; broken++ {
		s := endpoint.NewSet(endpoint.Options{DataCentre: "dc0", Seed: 1})
		all := list(4, 1, 8)
		s.Update(start, all)
		outcomes := map[string]endpoint.Outcome{}
		for _, e := range all[:broken] {
			outcomes[e.ID] = endpoint.OutcomeFailed
		}
		got := serve(s, start, 1000, outcomes)
		for id := range outcomes {
			qt.Assert(t, got[id] <= 40, qt.IsTrue, qt.Commentf("%d broken: %s got %d", broken, id, got[id]))
		}
	}
}

// TestFailingRequests guards against requests of one team that fail at all endpoints, so that all endpoints
// are quarantined and the pool is closed to other teams.
func TestFailingRequests(t *testing.T) {
	s := endpoint.NewSet(endpoint.Options{DataCentre: "dc0", Seed: 1})
	s.Update(start, list(6, 1, 8))
	random := rand.New(rand.NewPCG(1, 1))
	now, free, rounds := start, 0, 20000
	for range rounds {
		now = now.Add(time.Millisecond)
		free += s.FreeSlots(now)
		if e, ok := s.Acquire(now); ok {
			s.Release(now, e.ID, []endpoint.Outcome{endpoint.OutcomeOK, endpoint.OutcomeFailed}[random.IntN(2)])
		}
	}
	mean := float64(free) / float64(rounds)
	qt.Assert(t, mean >= 0.95*48, qt.IsTrue, qt.Commentf("%.1f of 48 slots usable", mean))
}

// TestIncarnation guards against new work for a leaving endpoint because an old entry of the list shows it as
// live, and against a restarted endpoint that gets no work.
func TestIncarnation(t *testing.T) {
	live := func(incarnation uint64) []endpoint.Endpoint {
		return []endpoint.Endpoint{{ID: "a", DataCentre: "dc0", Incarnation: incarnation, Quota: 8}}
	}
	leaving := live(2)
	leaving[0].Leaving = true
	tests := map[string]struct {
		updates [][]endpoint.Endpoint
		want    bool
	}{
		"leaving":                       {[][]endpoint.Endpoint{live(2), leaving}, false},
		"repeated entry":                {[][]endpoint.Endpoint{live(2), leaving, live(2)}, false},
		"older entry":                   {[][]endpoint.Endpoint{live(2), leaving, live(1)}, false},
		"dropped and repeated entry":    {[][]endpoint.Endpoint{live(2), leaving, nil, live(2)}, false},
		"new incarnation":               {[][]endpoint.Endpoint{live(2), leaving, live(3)}, true},
		"dropped, then new incarnation": {[][]endpoint.Endpoint{live(2), leaving, nil, live(3)}, true},
		"dropped":                       {[][]endpoint.Endpoint{live(2), nil}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := endpoint.NewSet(endpoint.Options{DataCentre: "dc0", Seed: 1})
			for _, u := range tt.updates {
				s.Update(start, u)
			}
			qt.Assert(t, s.FreeSlots(start) > 0, qt.Equals, tt.want)
			_, ok := s.Acquire(start)
			qt.Assert(t, ok, qt.Equals, tt.want)
		})
	}
}

// TestRestartInFlight guards against a quarantine because of attempts that a restart interrupted: their
// failures say nothing about the new incarnation. It also guards against losing the slots of these attempts.
func TestRestartInFlight(t *testing.T) {
	s := endpoint.NewSet(endpoint.Options{DataCentre: "dc0", Seed: 1})
	e := endpoint.Endpoint{ID: "a", DataCentre: "dc0", Incarnation: 1, Quota: 8}
	s.Update(start, []endpoint.Endpoint{e})
	for range 8 {
		s.Acquire(start)
	}
	e.Incarnation = 2
	s.Update(start, []endpoint.Endpoint{e})
	qt.Assert(t, s.FreeSlots(start), qt.Equals, 0)
	for range 8 {
		s.Release(start, "a", endpoint.OutcomeFailed)
	}
	qt.Assert(t, s.FreeSlots(start), qt.Equals, 8)
	qt.Assert(t, s.Capacity(start), qt.Equals, 8)
}

// TestSpillover guards against requests that spill over to another data centre while a local slot is free, and
// against spillover that switches between other data centres.
func TestSpillover(t *testing.T) {
	s := endpoint.NewSet(endpoint.Options{DataCentre: "dc0", Seed: 1})
	all := list(9, 3, 4)
	s.Update(start, all)
	now, switches, last := start, 0, ""
	held := make([]string, 0, 12)
	for range 12 {
		e, _ := s.Acquire(now)
		qt.Assert(t, e.DataCentre, qt.Equals, "dc0")
		held = append(held, e.ID)
	}
	for range 1000 {
		now = now.Add(time.Millisecond)
		e, _ := s.Acquire(now)
		qt.Assert(t, e.DataCentre, qt.Not(qt.Equals), "dc0")
		if last != "" && e.DataCentre != last {
			switches++
		}
		last = e.DataCentre
		s.Release(now, e.ID, endpoint.OutcomeOK)
	}
	qt.Assert(t, switches, qt.Equals, 0)
	s.Release(now, held[0], endpoint.OutcomeOK)
	e, _ := s.Acquire(now)
	qt.Assert(t, e.DataCentre, qt.Equals, "dc0")
}

// TestBalance guards against a choice that concentrates the load on few endpoints, and against the choice of
// excluded endpoints.
func TestBalance(t *testing.T) {
	s := endpoint.NewSet(endpoint.Options{DataCentre: "dc0", Seed: 1})
	s.Update(start, list(20, 1, 8))
	got := map[string]int{}
	for range 80 {
		e, ok := s.Acquire(start, "worker-0003", "worker-0004")
		qt.Assert(t, ok, qt.IsTrue)
		got[e.ID]++
	}
	qt.Assert(t, got["worker-0003"]+got["worker-0004"], qt.Equals, 0)
	for id, n := range got {
		// A uniform random choice reaches the quota of 8 here. The better of two random choices stays near the
		// mean of 4.4.
		qt.Assert(t, n <= 7, qt.IsTrue, qt.Commentf("%s has %d", id, n))
	}
}
