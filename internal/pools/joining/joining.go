// Package joining judges the instances that have moved to a pool: each survives its arrival or is lost. Whatever takes down instances as
// they arrive would take down the whole spare pool, so that a pool gets fewer of them from then on.
//
// # Usage
//
//	record := joining.New()
//	record.Add(id, pool, plannedAt)
//	for pool, loss := range record.Judge(now, stateOf) { ... }
//	n := record.Limit(pool, need, missing, pendingMoves, now)
package joining

import (
	"time"

	"github.com/chivetiller/chivetiller/internal/pools/losses"
)

// survivalTime is how long the worker of an instance that has moved has to answer until the instance counts as usable. A crash is
// noticed within the contact timeout of the scheduler.
const survivalTime = 5 * time.Second

// State is what is known of an instance.
type State struct {
	// Left means that the instance is in another pool again, or about to be, or in maintenance.
	Left bool
	// Reachable means that its worker has answered lately, and Serving that it counts as capacity.
	Reachable, Serving bool
}

// Loss describes the instances of a pool that were lost together.
type Loss struct {
	Instances, Rounds int
	Pause             time.Duration
}

// Record holds the instances that have moved and whose workers have not survived for a while.
type Record struct {
	moved map[string]*moved
	pools map[string]*losses.Rounds
}

// moved is an instance that has moved to a pool and has not survived its arrival yet.
type moved struct {
	pool      string
	plannedAt time.Duration
	// reachableSince is the time since which its worker has been reachable, and 0 if it is not.
	reachableSince time.Duration
	// lost means that it does not count as capacity any more. It may still answer, late.
	lost bool
}

// New returns an empty record.
func New() *Record {
	return &Record{moved: make(map[string]*moved), pools: make(map[string]*losses.Rounds)}
}

// Add records an instance whose move to a pool was planned at a time.
func (r *Record) Add(id, pool string, plannedAt time.Duration) {
	r.moved[id] = &moved{pool: pool, plannedAt: plannedAt}
}

// LossyPools returns the number of pools in which instances were lost and none has survived since.
func (r *Record) LossyPools() int { return len(r.pools) }

// Judge finds out which of the instances have survived their arrival and which were lost. It returns the losses by pool.
func (r *Record) Judge(now time.Duration, state func(id, pool string) State) map[string]Loss {
	lost := make(map[string]Loss)
	for id, m := range r.moved {
		s := state(id, m.pool)
		switch {
		case s.Left:
			delete(r.moved, id)
			continue
		case !s.Reachable:
			m.reachableSince = 0
		case m.reachableSince == 0:
			m.reachableSince = now
		case now-m.reachableSince >= survivalTime:
			delete(r.moved, id)
			delete(r.pools, m.pool)
			continue
		}
		if !m.lost && !s.Serving {
			m.lost = true
			if l, ok := r.pools[m.pool]; !ok || l.Begins(m.plannedAt) {
				lost[m.pool] = Loss{Instances: lost[m.pool].Instances + 1}
			}
		}
	}
	for pool, loss := range lost {
		if r.pools[pool] == nil {
			r.pools[pool] = &losses.Rounds{}
		}
		loss.Pause = r.pools[pool].Add(now)
		loss.Rounds = r.pools[pool].Count()
		lost[pool] = loss
	}
	return lost
}

// Limit returns how many instances a pool may get that needs a number of them, of which some are missing and others have pending moves. That
// is less than are missing after instances were lost on arrival one round after the other.
func (r *Record) Limit(pool string, need, missing, pending int, now time.Duration) int {
	rounds, ok := r.pools[pool]
	if !ok {
		return missing
	}
	arriving := pending
	for _, m := range r.moved {
		if m.pool == pool && !m.lost {
			arriving++
		}
	}
	return rounds.Limit(now, need, missing, arriving)
}
