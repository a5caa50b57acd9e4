// Package losses limits how many instances a pool gets while those that arrive there are lost.
//
// # Usage
//
//	var r losses.Rounds
//	rounds, pause := r.Record(now)
//	if limit, limited := r.Limit(now, need); limited { ... }
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

// Rounds counts the rounds of moves into a pool, one after the other, in which instances were lost on arrival and none survived. No rounds
// may be nil.
type Rounds struct {
	rounds int
	// countedAt is the time at which the latest round was counted. Instances whose move was planned before belong to it.
	countedAt   time.Duration
	pausedUntil time.Duration
}

// Counts reports whether the loss of an instance whose move was planned at a time belongs to a further round.
func (r *Rounds) Counts(plannedAt time.Duration) bool { return r == nil || plannedAt >= r.countedAt }

// Record records a lost round, and returns the number of rounds and the pause that follows.
func (r *Rounds) Record(now time.Duration) (rounds int, pause time.Duration) {
	r.rounds++
	r.countedAt = now
	if r.rounds > freeRounds {
		pause = backoff.Doubled(r.rounds-freeRounds, firstPause, maxPause)
	}
	r.pausedUntil = now + pause
	return r.rounds, pause
}

// Limit returns how many instances may be on their way to a pool that needs some, and false if there is no limit.
func (r *Rounds) Limit(now time.Duration, need int) (limit int, limited bool) {
	switch {
	case r == nil || r.rounds <= freeRounds:
		return 0, false
	case now < r.pausedUntil:
		return 0, true
	}
	return max(1, need>>(r.rounds-freeRounds)), true
}
