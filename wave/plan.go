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
	// Down means out of service for any reason, planned or not.
	Down bool
	// Pending means that the wave has yet to stop the instance.
	Pending bool
	// Failed means that the instance did not return from the wave's own stop.
	Failed bool
	// Ended means that the wave's own stop has ended.
	Ended bool
}

// A pool stops when failedStops or more of the wave's stops failed in it, and more than failedShare of those
// that ended. One failure alone says little: with a limit of one, an early failure in a pool that may lose
// two stopped it until the repair, and a wave over 50 pools took 1.40 times the least time. A broken image
// shows in the next stop, which takes one instance more at most.
const (
	failedStops = 2
	failedShare = 1.0 / 3
)

// Plan returns the instances of a pool to stop now: as many as the availability budget allows on top of
// what is down already. Instances of the rack or data centre with most work left per permitted stop come
// first, since the one that is left over would determine the end of the wave.
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
	racks := make(map[place]*domain)
	centres := make(map[place]*domain)
	rackLimit, centreLimit := p.MaxUnavailablePerRack(size), p.MaxUnavailablePerDataCentre(size)
	for i := range members {
		m := &members[i]
		rack := domainOf(racks, place{m.DataCentre, m.Rack}, rackLimit)
		rack.centre = domainOf(centres, place{dataCentre: m.DataCentre}, centreLimit)
		if m.Down {
			rack.free--
			rack.centre.free--
			continue
		}
		if m.Pending {
			rack.pending = append(rack.pending, m.ID)
			rack.left++
			rack.centre.left++
		}
	}
	order := make([]*domain, 0, len(racks))
	for _, rack := range racks {
		if len(rack.pending) > 0 {
			order = append(order, rack)
		}
	}
	slices.SortFunc(order, func(a, b *domain) int {
		return cmp.Or(cmp.Compare(a.place.dataCentre, b.place.dataCentre), cmp.Compare(a.place.rack, b.place.rack))
	})
	var chosen []string
	for ; free > 0; free-- {
		rack := mostLeft(order)
		if rack == nil {
			break
		}
		chosen = append(chosen, rack.take())
	}
	return chosen
}

// IsStuck reports whether so many of the wave's own stops failed that no new one may begin in the pool.
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
	return failed >= failedStops && float64(failed) > failedShare*float64(failed+ended)
}

// place names a rack, or a data centre if the rack is empty.
type place struct{ dataCentre, rack string }

// domain is a rack or a data centre: a failure domain.
type domain struct {
	place   place
	limit   int
	free    int
	left    int
	pending []string
	centre  *domain
}

func domainOf(domains map[place]*domain, at place, limit int) *domain {
	d, ok := domains[at]
	if !ok {
		d = &domain{place: at, limit: limit, free: limit}
		domains[at] = d
	}
	return d
}

// mostLeft returns the rack with a permitted stop whose chain of stops is the longest.
func mostLeft(racks []*domain) *domain {
	var best *domain
	for _, rack := range racks {
		if len(rack.pending) == 0 || rack.free <= 0 || rack.centre.free <= 0 {
			continue
		}
		// Of racks that are equal otherwise, one with less down loses less if it fails.
		if best == nil || cmp.Or(cmp.Compare(rack.length(), best.length()), cmp.Compare(rack.free, best.free)) > 0 {
			best = rack
		}
	}
	return best
}

// length is the number of rounds that the rack or its data centre still needs, whichever is larger.
func (d *domain) length() float64 {
	return max(float64(d.left)/float64(d.limit), float64(d.centre.left)/float64(d.centre.limit))
}

func (d *domain) take() string {
	id := d.pending[0]
	d.pending = d.pending[1:]
	d.free--
	d.left--
	d.centre.free--
	d.centre.left--
	return id
}
