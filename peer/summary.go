package peer

import "slices"

// resendAfterHeartbeats is the number of heartbeats after which an unacknowledged load is sent again. A heartbeat
// of the receiver can cross with the one that carries the load, so two is the least that avoids needless repeats.
const resendAfterHeartbeats = 2

// summarySender chooses the loads to send to one receiver. Datagrams can be lost,
// so a load counts as acknowledged only when the heartbeat that carried it is echoed.
type summarySender struct {
	sent map[string]sentLoad
	// nextPool is the pool that last did not fit into the budget. The next heartbeat starts there, so that a small
	// budget reaches every pool in turn.
	nextPool string
}

type sentLoad struct {
	load         Load
	sequence     uint32
	acknowledged bool
}

func newSummarySender() *summarySender { return &summarySender{sent: make(map[string]sentLoad)} }

// acknowledge records that the receiver has received the heartbeat with the sequence number.
func (s *summarySender) acknowledge(sequence uint32) {
	for pool, sent := range s.sent {
		if sent.sequence == sequence && !sent.acknowledged {
			sent.acknowledged = true
			s.sent[pool] = sent
		}
	}
}

// chooseLoads returns the loads for the heartbeat with the sequence number, within a budget in bytes.
// The pools have to be sorted. Pools without a load are removed from the sender.
func (s *summarySender) chooseLoads(sequence uint32, pools []string, loads map[string]Load, budget int) []poolLoad {
	for pool := range s.sent {
		if _, ok := loads[pool]; !ok {
			delete(s.sent, pool)
		}
	}
	start, _ := slices.BinarySearch(pools, s.nextPool)
	var chosen []poolLoad
	for i := range pools {
		pool := pools[(start+i)%len(pools)]
		load := loads[pool]
		if !s.mustSend(sequence, pool, load) {
			continue
		}
		if budget -= maxEncodedBytes(pool); budget < 0 {
			s.nextPool = pool
			return chosen
		}
		s.sent[pool] = sentLoad{load: load, sequence: sequence}
		chosen = append(chosen, poolLoad{Pool: pool, Load: load})
	}
	return chosen
}

// mustSend reports whether a load is new, has changed significantly, or has not been acknowledged in time.
func (s *summarySender) mustSend(sequence uint32, pool string, load Load) bool {
	sent, ok := s.sent[pool]
	switch {
	case !ok, differsSignificantly(sent.load, load):
		return true
	case sent.acknowledged:
		return false
	}
	return sequence-sent.sequence > resendAfterHeartbeats
}

// maxEncodedBytes returns the maximum encoded size of a load: four numbers of up to five bytes, the name and the headers.
func maxEncodedBytes(pool string) int {
	const numbers, headers = 4 * 5, 4
	return numbers + headers + len(pool)
}

// differsSignificantly reports whether a load has changed enough to be sent again: by more than an eighth, or to or from 0.
func differsSignificantly(a, b Load) bool {
	const fraction = 8
	differ := func(a, b uint32) bool {
		high, low := max(a, b), min(a, b)
		return high != low && (low == 0 || high-low > high/fraction)
	}
	return differ(a.Queued, b.Queued) || differ(a.Running, b.Running) || differ(a.Slots, b.Slots) || differ(a.Wait, b.Wait)
}
