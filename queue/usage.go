package queue

import (
	"math"
	"time"
)

const (
	// adjustInterval is how often weights are adjusted to usage at peers.
	adjustInterval = 250 * time.Millisecond
	// usageTime is the time constant of the average of usage over all entry instances.
	usageTime = 500 * time.Millisecond
	// adjustGain is the exponent with which a deviation from the share changes a factor. A higher gain
	// oscillates, because summaries arrive late.
	adjustGain = 0.3
	// maxFactor bounds the factors of weights and their inverses.
	maxFactor = 32
)

// Usage is the slot time that a team has used in a class at an entry instance since it first sent work there.
type Usage struct {
	Class, Team string
	SlotTime    time.Duration
}

type usageKey struct{ class, team string }

// Usage appends the usage at this entry instance to list, which peers pass to ObservePeer. It is worth
// sending only while requests are queued: shares have no effect otherwise.
func (s *Scheduler) Usage(list []Usage) []Usage {
	for _, c := range s.order {
		for _, q := range c.teams {
			list = append(list, Usage{Class: c.name, Team: q.name, SlotTime: time.Duration(q.used * float64(time.Second))})
		}
	}
	return list
}

// ObservePeer records what teams have used at a peer since its last report, so that shares hold over all
// entry instances although each sees only a part of the work. The first report of a peer and a report
// with a lower usage, after a restart, change nothing.
func (s *Scheduler) ObservePeer(peer string, usage []Usage) {
	seen, ok := s.peers[peer]
	if !ok {
		seen = make(map[usageKey]time.Duration)
		s.peers[peer] = seen
	}
	for _, u := range usage {
		key := usageKey{u.Class, u.Team}
		before, known := seen[key]
		seen[key] = u.SlotTime
		if !known && !ok || u.SlotTime <= before {
			continue
		}
		c, ok := s.classes[u.Class]
		if !ok {
			continue
		}
		c.recent += seconds(u.SlotTime - before)
		if q, ok := c.teams[u.Team]; ok {
			q.recent += seconds(u.SlotTime - before)
		}
	}
}

// ForgetPeer removes what was observed of a peer that has left.
func (s *Scheduler) ForgetPeer(peer string) { delete(s.peers, peer) }

// flow is the part of a class or team that shares depend on.
type flow struct {
	// share is the configured weight, and weight the one in force at this entry instance. It differs
	// from share by a factor that makes up for usage at peers.
	share, weight float64
	// recent is the average of the usage over all entry instances, in seconds.
	recent float64
}

// adjust moves the weights in force so that the usage of flows that wait here, over all entry
// instances, approaches their shares.
func adjust(flows []*flow, waits []bool) {
	var usage, share float64
	for i, f := range flows {
		if waits[i] {
			usage += f.recent
			share += f.share
		}
	}
	for i, f := range flows {
		factor := f.weight / f.share
		if waits[i] && usage > 0 {
			factor *= math.Pow(usage/share/max(f.recent/f.share, usage/share/maxFactor), adjustGain)
		} else {
			factor = math.Pow(factor, 1-adjustGain)
		}
		f.weight = f.share * min(max(factor, 1.0/maxFactor), maxFactor)
	}
}

// adjustWeights adjusts the weights of classes and teams, if there are reports of peers.
func (s *Scheduler) adjustWeights(now time.Time) {
	elapsed := now.Sub(s.adjusted)
	if len(s.peers) == 0 || elapsed < adjustInterval {
		return
	}
	s.adjusted = now
	keep := math.Exp(-elapsed.Seconds() / usageTime.Seconds())
	flows, waits := make([]*flow, 0, len(s.order)), make([]bool, 0, len(s.order))
	for _, c := range s.order {
		flows, waits = append(flows, &c.flow), append(waits, c.queued > 0)
	}
	adjust(flows, waits)
	for _, c := range s.order {
		c.recent *= keep
		flows, waits = flows[:0], waits[:0]
		for _, q := range c.teams {
			flows, waits = append(flows, &q.flow), append(waits, q.queued() > 0)
		}
		adjust(flows, waits)
		c.busyWeight = 0
		for _, q := range c.teams {
			q.recent *= keep
			if q.busy() {
				c.busyWeight += q.weight
			}
		}
	}
}
