package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a failure detector that declares a slow member dead, accepts an old incarnation or ignores an announced stop.
func TestMembershipStates(t *testing.T) {
	type event struct {
		after       time.Duration // since the previous event
		kind        string
		incarnation uint64
		want        State
	}
	tests := map[string][]event{
		"silence":         {{0, "join", 1, Alive}, {2 * time.Second, "", 0, Alive}, {2 * time.Second, "", 0, Suspect}, {5 * time.Second, "", 0, Dead}},
		"back in time":    {{0, "join", 1, Alive}, {4 * time.Second, "", 0, Suspect}, {0, "contact", 1, Alive}},
		"old incarnation": {{0, "join", 2, Alive}, {9 * time.Second, "contact", 1, Dead}, {0, "join", 1, Dead}, {0, "leave", 1, Dead}, {0, "contact", 2, Alive}},
		"fast return":     {{0, "join", 1, Alive}, {time.Second, "leave", 1, Leaving}, {time.Second, "join", 2, Alive}, {0, "leave", 1, Alive}},
		"leave stays":     {{0, "join", 1, Alive}, {0, "leave", 1, Leaving}, {time.Second, "contact", 1, Leaving}, {9 * time.Second, "", 0, Dead}},
	}
	for name, events := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			m := newMembership(time.Second, now)
			for i, e := range events {
				now = now.Add(e.after)
				switch e.kind {
				case "join":
					m.join(now, hello{ID: "a", Incarnation: e.incarnation})
				case "contact":
					m.recordContact(now, "a", e.incarnation)
				case "leave":
					m.markLeaving(now, "a", e.incarnation)
				}
				qt.Assert(t, m.list(now)[0].State, qt.Equals, e.want, qt.Commentf("event %d", i))
			}
		})
	}
}

// Guards against a load that never arrives because its heartbeat was lost or the budget was used up,
// and against loads that are sent again although the receiver has acknowledged them.
func TestSummariesArriveInSpiteOfLoss(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	sender := newSummarySender()
	loads, seen := make(map[string]Load), make(map[string]Load)
	pools := make([]string, 40)
	for i := range pools {
		pools[i] = fmt.Sprintf("pool%02d", i)
		loads[pools[i]] = Load{Queued: uint32(i + 1), Slots: 8}
	}
	sequence := uint32(0)
	for ; len(seen) < len(pools); sequence++ {
		c.Assert(sequence < 100, qt.IsTrue, qt.Commentf("%d of %d pools have arrived", len(seen), len(pools)))
		chosen := sender.chooseLoads(sequence+1, pools, loads, 200)
		c.Assert(len(chosen) <= 200/maxEncodedBytes(pools[0]), qt.IsTrue)
		if random.Float64() < 0.4 {
			continue
		}
		for _, l := range chosen {
			seen[l.Pool] = l.Load
		}
		sender.acknowledge(sequence + 1)
	}
	for range 20 { // acknowledges the loads that are still sent again
		sequence++
		sender.chooseLoads(sequence, pools, loads, 1000)
		sender.acknowledge(sequence)
	}
	c.Assert(seen, qt.DeepEquals, loads)
	c.Assert(sender.chooseLoads(sequence+1, pools, loads, 1000), qt.HasLen, 0)
	loads["pool07"] = Load{Queued: 50, Slots: 8}
	loads["pool39"] = Load{Queued: 41, Slots: 8} // within an eighth
	c.Assert(sender.chooseLoads(sequence+2, pools, loads, 1000), qt.DeepEquals, []poolLoad{{Pool: "pool07", Load: loads["pool07"]}})
}
