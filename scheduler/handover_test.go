package scheduler

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestLeaseAtHandover guards against a task that runs twice after a hand-over: the next leader takes the lease of a worker that it
// never reached as expired while it has not. The worker's clock was taken to be ahead by as long as its last reply had waited for an
// exit, so that the last renewal of the previous leader extended the lease by that much more. How long that renewal travels makes no
// difference, since it names the end of the lease on the worker's clock.
func TestLeaseAtHandover(t *testing.T) {
	tests := map[string]struct {
		// wait is the time between the request and the reply of the worker, and back the time that the reply travels.
		wait, back time.Duration
		// pause is the time between the reply and the last renewal.
		pause time.Duration
		// unconfirmed is the age of the last confirmation of the leader. If it is not 0, the next one acquires leadership right after that
		// confirmation.
		unconfirmed time.Duration
	}{
		"immediate reply":        {0, time.Millisecond, 0, 0},
		"long poll":              {renewWait, time.Millisecond, 0, 0},
		"slow link":              {renewWait, renewTimeout / 2, 0, 0},
		"silent worker":          {renewWait, time.Millisecond, 3 * time.Second, 0},
		"unconfirmed":            {0, time.Millisecond, 0, LeadershipTimeout},
		"unconfirmed, long poll": {renewWait, time.Millisecond, 0, LeadershipTimeout},
		"unconfirmed, silent":    {renewWait, time.Millisecond, time.Second, 2 * time.Second},
		"confirmed during poll":  {renewWait, renewTimeout / 2, 0, renewWait / 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w")
			r.advance(LeadershipTimeout)
			sent := r.now
			clock := r.now + test.wait
			r.advance(test.wait + test.back)
			r.core.HandleStatus(r.callTo("w"), worker.Status{Reply: worker.Reply{Clock: clock, Incarnation: rigIncarnation}}, sent, nil)
			r.advance(test.pause)
			r.core.SetConfirmed(r.now - test.unconfirmed)
			renewal, _ := r.core.Renewal("w")
			// The clock of the worker is slow from now on.
			clock += test.back + test.pause
			leaseEnd := r.now + time.Duration(float64(renewal.Command.LeaseExpiry-clock)/(1-maxClockSlowdown))
			next := NewCore(Options{
				Bounds: rigBounds(), Fence: 20, Term: 2, AcquiredAt: r.now - test.unconfirmed, PreviousLeaderEnded: test.unconfirmed == 0, EarlierLeadersUntil: r.now,
			})
			qt.Assert(t, leaseEnd <= next.previousLeasesExpireAt(), qt.IsTrue, qt.Commentf("%s too early", leaseEnd-next.previousLeasesExpireAt()))
			// The worker must keep its tasks while it is in touch.
			if test.pause == 0 && test.unconfirmed == 0 {
				qt.Assert(t, leaseEnd-r.now > leaseDuration-renewTimeout, qt.IsTrue)
			}
		})
	}
}

// TestFirstAnswerWithoutConfirmation guards against a task that runs twice because the first answer of a worker makes the leader request a
// lease that the next leader does not wait for.
func TestFirstAnswerWithoutConfirmation(t *testing.T) {
	for _, age := range []time.Duration{0, time.Second, LeadershipTimeout} {
		t.Run(age.String(), func(t *testing.T) {
			r := newRig(t, 1)
			r.register("w")
			confirmed := r.now
			r.advance(age)
			r.core.SetConfirmed(confirmed)
			renewal, _ := r.core.Renewal("w")
			r.core.HandleStatus(renewal.call, worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: rigIncarnation}}, r.now, nil)
			r.addSteps("a", 1)
			for _, start := range r.pass() {
				qt.Assert(t, start.Start.LeaseExpiry <= confirmed+maxUnconfirmedLease, qt.IsTrue, qt.Commentf("%v", start.Start.LeaseExpiry-confirmed))
			}
			renewal, _ = r.core.Renewal("w")
			qt.Assert(t, renewal.Command.LeaseExpiry <= confirmed+maxUnconfirmedLease, qt.IsTrue, qt.Commentf("%v", renewal.Command.LeaseExpiry-confirmed))
			// The lease that the previous leader gave is waited for.
			qt.Assert(t, r.core.workers["w"].certainExpiry() >= r.now+leaseDuration, qt.IsTrue)
		})
	}
}

// TestFirstOfThreeLeadersRenews guards against a task that runs twice because the leader before this one has ended, while the one before
// that still renews leases behind a cut (review/1).
func TestFirstOfThreeLeadersRenews(t *testing.T) {
	const acts = 2500 * time.Millisecond
	tests := map[string]struct {
		earlierActs time.Duration
		ended       bool
	}{
		"all have ended":                    {ended: true},
		"first leader renews":               {earlierActs: acts, ended: true},
		"first leader renews, second lives": {earlierActs: acts},
		"second leader lives":               {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3, "w1")
			began := r.now
			r.core = NewCore(Options{Bounds: rigBounds(), Fence: 30, Term: 3, AcquiredAt: r.now, PreviousLeaderEnded: test.ended, EarlierLeadersUntil: r.now + test.earlierActs})
			r.core.SetCatalog(catalog.New(1, 0, []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6}}, []catalog.Pool{{Name: "p"}}, nil))
			r.register("w1")
			r.reply("w1")
			r.core.SetRoster([]RosterEntry{{ID: "w9", Pool: "p", Address: "w9:1", Incarnation: rigIncarnation, Capacity: coresOnly(4)}})
			doc := work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Service: true, Request: coresOnly(1)}}}
			progress := work.NewProgress()
			progress.Occurrence(&doc, 0).SetRun(0, 0, "w9", 1)
			r.core.AddJob(doc, progress, 0)
			// No earlier leader has confirmed its leadership since this one acquired it.
			wait := min(test.earlierActs+leaseDuration, maxUnconfirmedLease)
			if !test.ended {
				wait = maxUnconfirmedLease
			}
			for len(startsOf(r.pass())) == 0 {
				r.advance(100 * time.Millisecond)
				r.reply("w1")
				qt.Assert(t, r.now-began < wait+time.Second, qt.IsTrue, qt.Commentf("the task does not start"))
			}
			qt.Assert(t, r.now-began >= wait, qt.IsTrue, qt.Commentf("the task starts after %s", r.now-began))
		})
	}
}

// TestSilentForAWhile guards against a task that is started again or given up because its worker did not answer for some seconds.
func TestSilentForAWhile(t *testing.T) {
	r := newRig(t, 1, "w1", "w2")
	j := r.addSteps("a", 2)
	r.accept(r.pass())
	for range 15 {
		r.advance(200 * time.Millisecond)
		r.reply("w2")
		for id := range r.core.workers {
			r.core.Renewal(id)
		}
		qt.Assert(t, r.pass(), qt.HasLen, 0)
	}
	r.reply("w1")
	qt.Assert(t, r.pass(), qt.HasLen, 0)
	for id := range r.runs {
		r.finish(id, worker.ExitDone)
		r.reply(id)
	}
	r.store()
	state, _ := r.core.JobState("a")
	qt.Assert(t, state, qt.Equals, work.Finished)
	qt.Assert(t, j.progress.State, qt.Equals, work.Finished)
}

// TestDepartedWorker guards against a worker that has left and is used again after a change of the leader, because the roster of the
// previous one still has it.
func TestDepartedWorker(t *testing.T) {
	r := newRig(t, 2)
	r.core.SetRoster([]RosterEntry{
		{ID: "w1", Pool: "p", Address: "w1:1", Incarnation: rigIncarnation, Capacity: work.Resources{CPU: 4000, Memory: 4000}},
		{ID: "w9", Pool: "p", Address: "w9:1", Incarnation: rigIncarnation, Capacity: work.Resources{CPU: 4000, Memory: 4000}},
	})
	r.register("w1")
	r.reply("w1")
	r.reply("w9")
	r.addSteps("a", 4)
	for _, start := range startsOf(r.pass()) {
		qt.Assert(t, strings.HasSuffix(start, "w1"), qt.IsTrue, qt.Commentf("start %s", start))
	}
}

// TestRecordedJobWaits guards against a job that a new leader does not count as waiting, although its start was recorded and never carried out.
func TestRecordedJobWaits(t *testing.T) {
	tests := map[string]struct {
		answer func(r *rig, cmd Command)
		want   int
	}{
		"never sent":   {func(*rig, Command) {}, 1},
		"no answer":    {func(r *rig, cmd Command) { r.core.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, r.now, nil) }, 1},
		"carried out":  {func(r *rig, cmd Command) { r.accept([]Command{cmd}) }, 0},
		"cut off then": {func(r *rig, cmd Command) { r.accept([]Command{cmd}); delete(r.runs, "w1") }, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			j := r.addSteps("a", 1)
			for _, cmd := range r.pass() {
				test.answer(r, cmd)
			}
			next := newRig(t, 2, "w1")
			next.runs = r.runs
			next.core.AddJob(j.doc, j.progress, 0)
			if next.runs["w1"] != nil {
				next.reply("w1")
			}
			qt.Assert(t, next.core.WaitingJobs("q"), qt.Equals, test.want)
		})
	}
}
