package wave

import (
	"cmp"
	"slices"

	"github.com/chivetiller/chivetiller/pool"
)

// Member is an instance of a pool as the planner sees it.
type Member struct {
	ID         string
	Rack       string
	DataCentre string
	// Down means that the instance is out of service for any reason, planned or not.
	Down bool
	// Pending means that the wave has not stopped the instance yet.
	Pending bool
	// Failed means that the wave stopped the instance and it did not return in time.
	Failed bool
	// Ended means that the wave's stop of the instance is complete.
	Ended bool
}

// A wave is stuck in a pool when at least stuckFailures of its stops failed there, and these are more than
// stuckFailureShare of the stops that ended. A limit of one would block a pool that may lose two instances on an early
// failure until the repair, and make a wave over 50 pools take 1.40 times the minimum time. With a broken image the
// next stop fails too, which costs one more instance at most.
const (
	stuckFailures     = 2
	stuckFailureShare = 1.0 / 3
)

// Plan returns the IDs of the instances of a pool to stop now: as many as the availability budget allows in
// addition to those that are down already. Instances of the rack or data centre with the most remaining stops per
// permitted stop come first, because the failure domain that finishes last determines the end of the wave.
func Plan(p pool.Pool, members []Member) []string {
	if IsStuck(members) {
		return nil
	}
	size := len(members)
	free := p.MaxUnavailable(size)
	pending := false
	for i := range members {
		if members[i].Down {
			free--
		} else if members[i].Pending {
			pending = true
		}
	}
	if free <= 0 || !pending {
		return nil
	}
	racks := make(map[location]*failureDomain)
	centres := make(map[location]*failureDomain)
	rackLimit, centreLimit := p.MaxUnavailablePerRack(size), p.MaxUnavailablePerDataCentre(size)
	for i := range members {
		m := &members[i]
		rack := domainAt(racks, location{m.DataCentre, m.Rack}, rackLimit)
		rack.centre = domainAt(centres, location{dataCentre: m.DataCentre}, centreLimit)
		if m.Down {
			rack.free--
			rack.centre.free--
			continue
		}
		if m.Pending {
			rack.pending = append(rack.pending, m.ID)
			rack.remaining++
			rack.centre.remaining++
		}
	}
	order := make([]*failureDomain, 0, len(racks))
	for _, rack := range racks {
		if len(rack.pending) > 0 {
			order = append(order, rack)
		}
	}
	slices.SortFunc(order, func(a, b *failureDomain) int {
		return cmp.Or(cmp.Compare(a.location.dataCentre, b.location.dataCentre), cmp.Compare(a.location.rack, b.location.rack))
	})
	var chosen []string
	for ; free > 0; free-- {
		rack := slowestRack(order)
		if rack == nil {
			break
		}
		chosen = append(chosen, rack.takeInstance())
	}
	return chosen
}

// IsStuck reports whether so many of the wave's stops failed that no new one may begin in the pool.
func IsStuck(members []Member) bool {
	failed, ended := 0, 0
	for _, m := range members {
		switch {
		case m.Failed:
			failed++
		case m.Ended:
			ended++
		}
	}
	return failed >= stuckFailures && float64(failed) > stuckFailureShare*float64(failed+ended)
}

// location identifies a rack, or a data centre if the rack is empty.
type location struct{ dataCentre, rack string }

// failureDomain is a rack or a data centre, with the number of stops that its budget allows at a time (limit), that
// may begin now (free), and that the wave has yet to begin (remaining).
type failureDomain struct {
	location  location
	limit     int
	free      int
	remaining int
	pending   []string
	centre    *failureDomain
}

func domainAt(domains map[location]*failureDomain, at location, limit int) *failureDomain {
	d, ok := domains[at]
	if !ok {
		d = &failureDomain{location: at, limit: limit, free: limit}
		domains[at] = d
	}
	return d
}

// slowestRack returns, of the racks in which a stop may begin now, the one that needs the most rounds of stops.
func slowestRack(racks []*failureDomain) *failureDomain {
	var best *failureDomain
	for _, rack := range racks {
		if len(rack.pending) == 0 || rack.free <= 0 || rack.centre.free <= 0 {
			continue
		}
		// Among equal racks, the one with fewer instances down comes first: its failure would then cost less.
		if best == nil || cmp.Or(cmp.Compare(rack.remainingRounds(), best.remainingRounds()), cmp.Compare(rack.free, best.free)) > 0 {
			best = rack
		}
	}
	return best
}

// remainingRounds returns the number of rounds of stops that the rack or its data centre still needs, whichever is
// larger.
func (d *failureDomain) remainingRounds() float64 {
	return max(float64(d.remaining)/float64(d.limit), float64(d.centre.remaining)/float64(d.centre.limit))
}

func (d *failureDomain) takeInstance() string {
	id := d.pending[0]
	d.pending = d.pending[1:]
	d.free--
	d.remaining--
	d.centre.free--
	d.centre.remaining--
	return id
}
