package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/worker"
)

// answerRestarted lets time pass in which w1 answers in its next life, and w2 in its only one.
func (r *rig) answerRestarted(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.advance(100 * time.Millisecond)
		r.core.SetWorkers([]worker.Report{restartedReport("w1"), rigReport("w2", coresOnly(4))})
		r.restart("w1")
		r.reply("w2")
		r.advance(time.Millisecond)
		r.pass()
	}
}

// TestRestartedWorkerLostWithItsLeader guards against a task that waits for a worker which had started again under its ID and is lost with its
// leader, for longer than a lease from a call to its earlier life may last, and against one that starts elsewhere before that.
func TestRestartedWorkerLostWithItsLeader(t *testing.T) {
	tests := map[string]struct {
		// since is the time from the restart to the loss.
		since time.Duration
		// removed means that the leader had removed the worker, and knows its next life from the registry only.
		removed bool
		// silent means that the worker never answers in its next life, and earlierBuild that its roster entry is that of an earlier build.
		silent, earlierBuild bool
		// takeovers is the number of leaders in a row that do not reach the worker.
		takeovers int
	}{
		"shortly after the restart":            {since: 2 * time.Second, takeovers: 1},
		"shortly after, two leaders":           {since: 2 * time.Second, takeovers: 2},
		"shortly after, four leaders":          {since: 2 * time.Second, takeovers: 4},
		"long after the restart":               {since: 13 * time.Second, takeovers: 1},
		"removed, and back under its ID":       {since: 2 * time.Second, removed: true, takeovers: 1},
		"removed, and back for long":           {since: 13 * time.Second, removed: true, takeovers: 1},
		"removed, and back, two leaders":       {since: 2 * time.Second, removed: true, takeovers: 2},
		"never an answer in the next life":     {since: time.Second, silent: true, takeovers: 1},
		"never an answer, four leaders":        {since: time.Second, silent: true, takeovers: 4},
		"removed, and never an answer":         {since: time.Second, removed: true, silent: true, takeovers: 1},
		"entry of an earlier build":            {since: 2 * time.Second, earlierBuild: true, takeovers: 1},
		"entry of an earlier build, two terms": {since: 2 * time.Second, earlierBuild: true, takeovers: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, "w1", "w2")
			r.pass()
			if test.removed {
				r.core.dropWorker(r.core.workers["w1"], "test")
			} else if !test.silent {
				r.core.handleRestart(r.core.workers["w1"], rigNextIncarnation)
				r.pass()
			}
			if test.silent {
				r.core.SetWorkers([]worker.Report{restartedReport("w1"), rigReport("w2", coresOnly(4))})
				r.pass()
			} else {
				r.answerRestarted(test.since)
			}
			entry := r.roster["w1"]
			stored := entry.toStore(-storeClockError)
			qt.Assert(t, stored.fromStore(0).earlierEnd >= entry.earlierEnd, qt.IsTrue, qt.Commentf("a clock that is behind makes the end earlier"))
			stored = entry.toStore(0)
			startedAt, takeover := time.Duration(0), r.now+time.Second
			// A call to the earlier life may be carried out this late, and gives the longest lease then.
			leaseEnd, slack := takeover+maxCommandDelay+rigBounds().MaxLease, LeadershipTimeout+900*time.Millisecond
			if test.earlierBuild {
				stored.EarlierLeasesUntil = 0
			} else if !test.silent {
				leaseEnd, slack = r.core.workers["w1"].ruledOutAt+rigBounds().MaxLease, storeClockError+700*time.Millisecond
			}
			for term := 3; startedAt == 0 && term < 40; term++ {
				next := newRig(t, term, "w2")
				next.now, next.leases = r.now+time.Second, r.leases
				next.core = NewCore(Options{Bounds: rigBounds(), Fence: uint64(10 * term), Term: term, AcquiredAt: next.now, EarlierLeadersUntil: next.now})
				next.core.SetCatalog(r.core.catalog)
				next.core.SetRoster([]RosterEntry{stored.fromStore(0)})
				next.core.SetLeaseEnds(next.leases)
				next.recordedJob("a", "w1")
				r = next
				for end := r.now + 5*time.Second; startedAt == 0 && (r.now < end || term-2 >= test.takeovers); {
					r.advance(100 * time.Millisecond)
					reports := []worker.Report{rigReport("w2", coresOnly(4))}
					if test.silent {
						reports = append(reports, restartedReport("w1"))
					}
					r.core.SetWorkers(reports)
					r.reply("w2")
					if len(startsOf(r.pass())) > 0 {
						startedAt = r.now
					}
					if r.now > takeover+time.Minute {
						t.Fatal("the task does not start")
					}
				}
			}
			usual := takeover + 5916*time.Millisecond
			latest := max(usual+200*time.Millisecond, leaseEnd+slack)
			qt.Assert(t, startedAt > min(leaseEnd, usual), qt.IsTrue, qt.Commentf("%v after the takeover, the lease may last for %v", startedAt-takeover, leaseEnd-takeover))
			qt.Assert(t, startedAt >= leaseEnd || leaseEnd < usual, qt.IsTrue, qt.Commentf("%v before the end of the lease", leaseEnd-startedAt))
			qt.Assert(t, startedAt <= latest, qt.IsTrue, qt.Commentf("%v after the takeover, and %v after the end of the lease", startedAt-takeover, startedAt-leaseEnd))
		})
	}
}

// TestHandOverOfReturnedWorker guards against an end that a leader hands over and that is earlier than that of a lease which calls to the
// earlier life may give, where the worker was removed and has not answered in its next life.
func TestHandOverOfReturnedWorker(t *testing.T) {
	for name, tenure := range map[string]time.Duration{"earlier leaders may act": 0, "calls of this leader": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, "w1", "w2")
			acquired := r.now
			for r.now < acquired+tenure {
				r.advance(100 * time.Millisecond)
				r.reply("w1")
				r.reply("w2")
				r.pass()
			}
			called := r.core.workers["w1"].calledAt
			r.core.dropWorker(r.core.workers["w1"], "test")
			r.core.SetWorkers([]worker.Report{restartedReport("w1"), rigReport("w2", coresOnly(4))})
			r.pass()
			entry, ok := r.core.LeaseEnds()["w1"]
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, entry.Incarnation, qt.Equals, int64(rigNextIncarnation))
			qt.Assert(t, entry.End >= max(acquired+LeadershipTimeout, called)+maxCommandDelay+rigBounds().MaxLease, qt.IsTrue)
		})
	}
}

// TestFirstAnswerOfReturnedWorker guards against a lease that is taken to have ended although a call of an earlier leader has given it to a
// worker that was removed, and that first answers in its next life when this leader's own calls to the earlier life cannot arrive any more.
func TestFirstAnswerOfReturnedWorker(t *testing.T) {
	tests := map[string]struct {
		// answers is the time of the first answer, since the start of the term, and lease how long the lease may last from then.
		answers, lease time.Duration
	}{
		"calls of earlier leaders may have arrived": {answers: maxCommandDelay + time.Second, lease: rigBounds().MaxLease},
		"they arrived long ago":                     {answers: time.Minute, lease: leaseDuration},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, "w1", "w2")
			r.core.dropWorker(r.core.workers["w1"], "test")
			r.core.SetWorkers([]worker.Report{restartedReport("w1"), rigReport("w2", coresOnly(4))})
			r.advance(test.answers)
			r.restart("w1")
			left := r.core.workers["w1"].certainExpiry() - r.now
			qt.Assert(t, left >= test.lease, qt.IsTrue, qt.Commentf("%v", left))
			qt.Assert(t, left <= test.lease+time.Second, qt.IsTrue, qt.Commentf("%v", left))
		})
	}
}
