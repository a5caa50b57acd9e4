// Package losses limits the instances that a pool gets after some were lost on arrival, since whatever takes them down would take down
// the whole spare pool.
//
// # Usage
//
//	var pool losses.Rounds
//	if pool.Begins(plannedAt) {
//		pause := pool.Add(now)
//	}
//	n := pool.Limit(now, need, missing, arriving)
//	// Once an instance has survived its arrival, its pool starts again with the zero value.
package losses

import (
	"time"

	"github.com/chivetiller/chivetiller/common/backoff"
)

const (
	// freeRounds is the number of rounds in a row that may be lost without consequences. A failure beside the moves costs one or two.
	freeRounds = 2
	// firstPause is the pause after the first lost round that has consequences. It doubles with each further one up to maxPause.
	firstPause = 2 * time.Second
	maxPause   = 2 * time.Minute
)

// Rounds counts the rounds of moves into a pool, one after the other, in which instances were lost on arrival and none survived. The zero
// value has none.
type Rounds struct {
	rounds int
	// countedAt is the time at which the latest round was counted. Instances whose move was planned before belong to it.
	countedAt   time.Duration
	pausedUntil time.Duration
}

// Count returns the number of rounds.
func (r *Rounds) Count() int { return r.rounds }

// Begins reports whether the loss of an instance whose move was planned at a time begins another round.
func (r *Rounds) Begins(plannedAt time.Duration) bool {
	return r.rounds == 0 || plannedAt >= r.countedAt
}

// Add counts a round and returns the pause after it.
func (r *Rounds) Add(now time.Duration) time.Duration {
	r.rounds++
	r.countedAt = now
	var pause time.Duration
	if r.rounds > freeRounds {
		pause = backoff.Doubled(r.rounds-freeRounds, firstPause, maxPause)
	}
	r.pausedUntil = now + pause
	return pause
}

// Limit returns how many instances a pool may get now that needs a number of them. missing is how many of them it does not have, and
// arriving how many are on their way.
func (r *Rounds) Limit(now time.Duration, need, missing, arriving int) int {
	switch {
	case r.rounds <= freeRounds:
		return missing
	case now < r.pausedUntil:
		return 0
	}
	return min(missing, max(1, need>>(r.rounds-freeRounds))-arriving)
}
