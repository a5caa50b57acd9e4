package peer

import "slices"

// resendAfter is how many heartbeats a load waits for its acknowledgement before it is sent again.
// One heartbeat of the receiver can cross with it, so that two is the least that avoids useless repeats.
const resendAfter = 2

// summarySender chooses the loads that one receiver has not seen yet. Datagrams can be lost,
// so that a load counts as seen only when the heartbeat that carried it was echoed.
type summarySender struct {
	sent map[string]sentLoad
	// next is where the last heartbeat ended, so that a small budget reaches every pool in turn.
	next string
}

type sentLoad struct {
	load     Load
	sequence uint32
	seen     bool
}

func newSummarySender() *summarySender { return &summarySender{sent: make(map[string]sentLoad)} }

// echoed records that the receiver has seen the heartbeat with the sequence.
func (s *summarySender) echoed(sequence uint32) {
	for pool, sent := range s.sent {
		if sent.sequence == sequence && !sent.seen {
			sent.seen = true
			s.sent[pool] = sent
		}
	}
}

// choose returns the loads for the heartbeat with the sequence, within a budget of bytes.
// Pools is sorted. A pool that no longer exists is dropped.
func (s *summarySender) choose(sequence uint32, pools []string, loads map[string]Load, budget int) []poolLoad {
	for pool := range s.sent {
		if _, ok := loads[pool]; !ok {
			delete(s.sent, pool)
		}
	}
	start, _ := slices.BinarySearch(pools, s.next)
	var chosen []poolLoad
	for i := range pools {
		pool := pools[(start+i)%len(pools)]
		load := loads[pool]
		if !s.due(sequence, pool, load) {
			continue
		}
		if budget -= sizeOf(pool); budget < 0 {
			s.next = pool
			return chosen
		}
		s.sent[pool] = sentLoad{load: load, sequence: sequence}
		chosen = append(chosen, poolLoad{Pool: pool, Load: load})
	}
	return chosen
}

func (s *summarySender) due(sequence uint32, pool string, load Load) bool {
	sent, ok := s.sent[pool]
	switch {
	case !ok, differs(sent.load, load):
		return true
	case sent.seen:
		return false
	}
	return sequence-sent.sequence > resendAfter
}

// sizeOf returns the most bytes that a load takes: four numbers of up to five bytes, the name and the headers.
func sizeOf(pool string) int {
	const numbers, headers = 4 * 5, 4
	return numbers + headers + len(pool)
}

// differs reports whether a load has changed enough to be worth its bytes: by more than an eighth, or to or from 0.
func differs(a, b Load) bool {
	const fraction = 8
	apart := func(a, b uint32) bool {
		high, low := max(a, b), min(a, b)
		return high != low && (low == 0 || high-low > high/fraction)
	}
	return apart(a.Queued, b.Queued) || apart(a.Running, b.Running) || apart(a.Slots, b.Slots) || apart(a.Wait, b.Wait)
}
