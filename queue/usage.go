package queue

import (
	"math"
	"time"
)

const (
	// adjustInterval is the interval at which weights are adjusted to the usage at peers.
	adjustInterval = 250 * time.Millisecond
	// usageTimeConstant is the time constant with which the usage at all entry instances decays.
	usageTimeConstant = 500 * time.Millisecond
	// adjustGain is the exponent with which a deviation from the share changes the factor of a weight. With
	// a higher gain the weights oscillate, because the reports of peers arrive late.
	adjustGain = 0.3
	// maxWeightFactor bounds the factor between share and weight, and its inverse.
	maxWeightFactor = 32
)

// Usage is the slot time that a team has used in a class at an entry instance since it first sent a request
// there.
type Usage struct {
	Class, Team string
	SlotTime    time.Duration
}

type usageKey struct{ class, team string }

// Usage appends the usage at this entry instance to list, which peers pass to ObservePeerUsage. It needs to be
// sent only while requests are queued: shares have no effect otherwise.
func (s *Scheduler) Usage(list []Usage) []Usage {
	for _, c := range s.classOrder {
		for _, q := range c.teamList {
			list = append(list, Usage{Class: c.name, Team: q.name, SlotTime: time.Duration(q.usedSlotTime * float64(time.Second))})
		}
	}
	return list
}

// ObservePeerUsage records the slot time that teams have used at a peer since its last report. With it,
// shares hold over all entry instances, although each sees only some of the requests. The first report of a
// peer, and a report with a lower usage after a restart, add nothing.
func (s *Scheduler) ObservePeerUsage(peer string, usage []Usage) {
	reported, ok := s.peerUsage[peer]
	if !ok {
		reported = make(map[usageKey]time.Duration)
		s.peerUsage[peer] = reported
	}
	for _, u := range usage {
		key := usageKey{u.Class, u.Team}
		previous, known := reported[key]
		reported[key] = u.SlotTime
		if !known && !ok || u.SlotTime <= previous {
			continue
		}
		if c, ok := s.classes[u.Class]; ok {
			if q, ok := c.teams[u.Team]; ok {
				q.recentSlotTime += seconds(u.SlotTime - previous)
			}
		}
	}
}

// RemovePeer removes the last report of a peer that has left.
func (s *Scheduler) RemovePeer(peer string) { delete(s.peerUsage, peer) }

// rebalanceWeights adjusts the weights in force so that the usage of the teams with a backlog here, over all
// entry instances, approaches their shares. The weights of the other teams return to their shares.
func rebalanceWeights(queues []*teamQueue, backlogged []bool) {
	var usage, share float64
	for i, q := range queues {
		if backlogged[i] {
			usage += q.recentSlotTime
			share += q.share
		}
	}
	for i, q := range queues {
		factor := q.weight / q.share
		if backlogged[i] && usage > 0 {
			factor *= math.Pow(usage/share/max(q.recentSlotTime/q.share, usage/share/maxWeightFactor), adjustGain)
		} else {
			factor = math.Pow(factor, 1-adjustGain)
		}
		q.weight = q.share * min(max(factor, 1.0/maxWeightFactor), maxWeightFactor)
	}
}

// adjustWeights adjusts the weights of teams if peers have reported usage. The weights of classes stay: an
// adjustment would cancel what an urgent class gains by its credit.
func (s *Scheduler) adjustWeights(now time.Time) {
	elapsed := now.Sub(s.weightsAdjusted)
	if len(s.peerUsage) == 0 || elapsed < adjustInterval {
		return
	}
	s.weightsAdjusted = now
	decay := math.Exp(-elapsed.Seconds() / usageTimeConstant.Seconds())
	var queues []*teamQueue
	var backlogged []bool
	for _, c := range s.classOrder {
		queues, backlogged = queues[:0], backlogged[:0]
		for _, q := range c.teamList {
			queues, backlogged = append(queues, q), append(backlogged, q.queued() > 0)
		}
		rebalanceWeights(queues, backlogged)
		c.activeWeight = 0
		for _, q := range c.teamList {
			q.recentSlotTime *= decay
			if q.active() {
				c.activeWeight += q.weight
			}
		}
	}
}
