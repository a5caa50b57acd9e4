package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
)

// TestCrashesUnderGang guards against a gang that is given up for crashes of its workers, of which each was under another member, and against
// one with a member that crashes worker after worker without end.
func TestCrashesUnderGang(t *testing.T) {
	const members, crashes = 9, 14
	tests := map[string]struct {
		// member returns the member whose worker crashes next, after a number of crashes.
		member func(crashes int) int
		// ran is how long the gang has worked when the worker crashes.
		ran time.Duration
		// failsAfter is the number of crashes after which the job fails, and 0 if it is done once they end.
		failsAfter int
		// newLeader means that the leader changes after each crash.
		newLeader bool
	}{
		"each under another member":            {member: func(n int) int { return n % members }, ran: 2500 * time.Millisecond},
		"each under another, at the start":     {member: func(n int) int { return n % members }, ran: crashFleetStep},
		"each under another member and leader": {member: func(n int) int { return n % members }, ran: 2500 * time.Millisecond, newLeader: true},
		// Four of the crashes are of a worker that has just come back, and tell nothing.
		"all under one member":                  {member: func(int) int { return 4 }, ran: 2500 * time.Millisecond, failsAfter: 9},
		"all under one member and other leader": {member: func(int) int { return 4 }, ran: 2500 * time.Millisecond, failsAfter: 5, newLeader: true},
		"all under one member, at the start":    {member: func(int) int { return 4 }, failsAfter: 3},
		"under two members by turns":            {member: func(n int) int { return n % 2 }, ran: 2500 * time.Millisecond, failsAfter: 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, members, false)
			f.work = 6 * time.Second
			f.run(time.Second)
			f.addJob("a", work.Step{Count: members, Gang: true, MaxPerWorker: 1})
			failed := 0
			for n := range crashes {
				for end := f.now + 30*time.Second; f.running("a") < members && f.now < end && !f.state("a").Ended(); {
					f.run(crashFleetStep)
				}
				if f.state("a").Ended() {
					break
				}
				f.run(test.ran)
				f.crashGang("a", test.member(n), time.Second)
				f.run(500 * time.Millisecond)
				if test.newLeader {
					f.changeLeader()
				}
				f.run(700 * time.Millisecond)
				if f.state("a") == work.Failed && failed == 0 {
					failed = n + 1
				}
			}
			qt.Assert(t, failed, qt.Equals, test.failsAfter)
			if test.failsAfter == 0 {
				f.run(20 * time.Second)
				qt.Assert(t, f.state("a"), qt.Equals, work.Finished)
			}
		})
	}
}
