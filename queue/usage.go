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

// Usage appends the usage at this entry instance to list, which peers pass to ObservePeerUsage. It is worth
// sending only while requests are queued: shares have no effect otherwise.
func (s *Scheduler) Usage(list []Usage) []Usage {
	for _, c := range s.order {
		for _, q := range c.list {
			list = append(list, Usage{Class: c.name, Team: q.name, SlotTime: time.Duration(q.used * float64(time.Second))})
		}
	}
	return list
}

// ObservePeerUsage records what teams have used at a peer since its last report, so that shares hold over all
// entry instances although each sees only a part of the work. The first report of a peer and a report
// with a lower usage, after a restart, change nothing.
func (s *Scheduler) ObservePeerUsage(peer string, usage []Usage) {
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
		if c, ok := s.classes[u.Class]; ok {
			if q, ok := c.teams[u.Team]; ok {
				q.recent += seconds(u.SlotTime - before)
			}
		}
	}
}

// RemovePeer removes what was observed of a peer that has left.
func (s *Scheduler) RemovePeer(peer string) { delete(s.peers, peer) }

// adjust moves the weights in force so that the usage of teams that wait here, over all entry
// instances, approaches their shares.
func adjust(queues []*teamQueue, waits []bool) {
	var usage, share float64
	for i, q := range queues {
		if waits[i] {
			usage += q.recent
			share += q.share
		}
	}
	for i, q := range queues {
		factor := q.weight / q.share
		if waits[i] && usage > 0 {
			factor *= math.Pow(usage/share/max(q.recent/q.share, usage/share/maxFactor), adjustGain)
		} else {
			factor = math.Pow(factor, 1-adjustGain)
		}
		q.weight = q.share * min(max(factor, 1.0/maxFactor), maxFactor)
	}
}

// adjustWeights adjusts the weights of teams, if there are reports of peers. Those of classes stay: an
// adjustment would take back what an urgent class gets by its credit.
func (s *Scheduler) adjustWeights(now time.Time) {
	elapsed := now.Sub(s.adjusted)
	if len(s.peers) == 0 || elapsed < adjustInterval {
		return
	}
	s.adjusted = now
	keep := math.Exp(-elapsed.Seconds() / usageTime.Seconds())
	var queues []*teamQueue
	var waits []bool
	for _, c := range s.order {
		queues, waits = queues[:0], waits[:0]
		for _, q := range c.list {
			queues, waits = append(queues, q), append(waits, q.queued() > 0)
		}
		adjust(queues, waits)
		c.busyWeight = 0
		for _, q := range c.list {
			q.recent *= keep
			if q.busy() {
				c.busyWeight += q.weight
			}
		}
	}
}
