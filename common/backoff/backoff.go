// Package backoff computes pauses that double with each failure. It keeps no state: the caller counts the failures. Delays
// between the retries of a request, which are random, are in package retry.
//
// # Usage
//
//	pause := backoff.Doubled(failures, 100*time.Millisecond, 5*time.Second)
package backoff

import "time"

// Doubled returns the pause after a number of failures in a row: first after one, and twice as long after each further one up to limit.
// It is first without a failure, too.
func Doubled(failures int, first, limit time.Duration) time.Duration {
	pause := first
	for ; failures > 1 && pause < limit; failures-- {
		// Twice the limit might overflow.
		if pause > limit/2 {
			return limit
		}
		pause *= 2
	}
	return min(pause, limit)
}
