package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/internal/jobs/waiting"
	"github.com/chivetiller/chivetiller/internal/jobs/whereabouts"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// newWhereRig returns a rig with two racks, teams with weights and the parts of the scheduler that learn. Its workers are w0 to w11.
func newWhereRig(t *testing.T) (r *rig, ids []string) {
	r = newRig(t, 1)
	r.core = NewCore(Options{Bounds: rigBounds(), Fence: 10, Term: 1, AcquiredAt: r.now, EarlierLeadersUntil: r.now, Features: serving.Scheduling{
		Admission: true, TeamShares: true, LearnedRunTimes: true, WorkerPace: true,
	}})
	r.core.SetCatalog(catalog.New(1, 0, []catalog.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond},
		{Name: "advised", Host: "h", Prefix: "/a/", Pool: "p", Attempts: 2, Stretch: 1.6, Policy: &catalog.Policy{Valid: time.Second}},
		{Name: "unused", Host: "h", Prefix: "/u/", Pool: "nowhere", Attempts: 2, Stretch: 1.6},
	}, []catalog.Pool{{Name: "p"}, {Name: "nowhere"}}, []catalog.Team{{Name: "limited", Weight: 1, Limit: work.Resources{CPU: 6000}}, {Name: "a", Weight: 3}, {Name: "b", Weight: 5}}))
	var reports []worker.Report
	for i := range 12 {
		report := rigReport(fmt.Sprint("w", i), work.Resources{CPU: int64(4000 + 1000*(i%3)), Memory: 4000})
		report.Labels = []string{fmt.Sprint("r1-", i%2)}
		if i%3 == 0 {
			report.Labels = append(report.Labels, "ssd")
		}
		reports, ids = append(reports, report), append(ids, report.ID)
	}
	r.core.SetWorkers(reports)
	for _, id := range ids {
		r.reply(id)
	}
	return r, ids
}

func drawQuestion(random *rand.Rand) whereabouts.Question {
	pick := func(values ...string) string { return values[random.IntN(len(values))] }
	q := whereabouts.Question{
		Queue: "q", Team: pick("a", "b", "limited", "none"), CPU: 500 * int64(1+random.IntN(9)), Memory: int64(1 + random.IntN(1500)), Count: 1 + random.IntN(4),
		EstimateSeconds: 0.1 + 2*random.Float64(), Rack: pick("", "", "r1-0", "r1-1"), Label: pick("", "", "", "ssd", "absent"), MaxPerWorker: random.IntN(3),
	}
	switch random.IntN(4) {
	case 0:
		q.Service = true
	case 1:
		q.Gang = true
	case 2:
		q.Speculative = true
	}
	return q
}

// fingerprint describes what a question must not change.
func (r *rig) fingerprint() string {
	c := r.core
	var s []string
	for id, ws := range c.workers {
		s = append(s, fmt.Sprintf("%s %+v %d %+v %d %d %t %v", id, ws.used, len(ws.runs), ws.reservations, ws.services, ws.bestEffort, ws.cordoned, ws.slowness))
	}
	for id, j := range c.jobs {
		s = append(s, fmt.Sprintf("job %s %+v %t %+v", id, *j.progress, j.beyondRate, j.preemptions))
		for _, o := range j.open {
			s = append(s, fmt.Sprintf("occurrence %s %+v", id, o.remaining))
			for _, step := range o.steps {
				s = append(s, fmt.Sprintf("step %s %+v %+v %+v %v %+v %+v", id, step.tasks, step.finished, step.wait, step.waitsSince, step.copies, step.preempted))
			}
		}
	}
	for name, p := range c.pools {
		s = append(s, fmt.Sprintf("pool %s %d %d %t %v %d %+v %+v %d %v %v %+v %v", name, len(p.jobs), len(p.workers), p.needsPlanning, p.plannedAt, p.candidates, p.load, p.arrivals, len(p.reserved), p.overdueAt,
			p.copiesCheckedAt, p.preemptions, p.roomCheckedAt))
		for _, team := range []string{"a", "b", "limited", "none"} {
			used, owed := p.shares.Used(team)
			s = append(s, fmt.Sprintf("share %s %s %v %v %d %d", name, team, used, owed, p.shares.Level(team, true), p.shares.Level(team, false)))
		}
	}
	snapshot, err := c.learned.Model().Encode()
	s = append(s, fmt.Sprintf("core %+v %d %d %d %v %+v %v %v %x %v %d", c.teamUsage, len(c.commands), len(c.plannedRuns), len(c.changedJobs), c.counts,
		c.shares.rates.Exhausted(c.now, c.catalog.Weight), c.shares.beyond, c.shares.loggedAt, snapshot, err, len(c.policyQueries)))
	slices.Sort(s)
	return fmt.Sprint(s)
}

// TestWhere guards against an answer that differs from what then happens, and against a question that changes something: the room or the
// shares of later jobs, the rounds of planning, or what is counted. Random jobs, some of which wait, are asked about and then added.
func TestWhere(t *testing.T) {
	r, ids := newWhereRig(t)
	random := rand.New(rand.NewPCG(1, 2))
	started, waited, disturbed := 0, 0, 0
	for n := range 200 {
		r.advance(time.Duration(random.IntN(200)) * time.Millisecond)
		for _, id := range ids {
			if random.IntN(2) == 0 {
				r.finish(id, worker.ExitDone)
			}
			r.reply(id)
		}
		switch ws := r.core.workers[ids[random.IntN(len(ids))]]; random.IntN(20) {
		case 0:
			ws.cordoned = !ws.cordoned
		case 1:
			ws.health.Quarantine(r.now+time.Second, 0)
		}
		// What waits has its turn before.
		for range 3 {
			r.accept(r.pass())
		}
		q := drawQuestion(random)
		before := r.fingerprint()
		a, err := r.core.where(q.Job(), admission.Report{}, 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.fingerprint(), qt.Equals, before)

		doc := q.Job()
		doc.ID, doc.Pool = fmt.Sprint("job", n), "p"
		s := r.addJob(doc).open[0].steps[0]
		qt.Assert(t, a.Share.BeyondRate, qt.Equals, s.job.beyondRate)
		runsBefore := len(r.core.plannedRuns)
		r.core.Schedule(r.now)
		if slices.ContainsFunc(r.core.plannedRuns[runsBefore:], func(run *run) bool { return run.step != s }) {
			// Another job that waited, for example for a reservation to end, was placed in the same pass.
			disturbed++
			continue
		}
		got := ""
		if runs := s.tasks[0].runs; len(runs) > 0 {
			got = runs[0].worker.report.ID
			started++
		} else {
			waited++
		}
		comment := qt.Commentf("job %d: %+v: %+v", n, q, a)
		qt.Assert(t, a.Worker, qt.Equals, got, comment)
		qt.Assert(t, a.Wait == "", qt.Equals, got != "", comment)
		if got == "" && !q.Gang {
			qt.Assert(t, a.Wait, qt.Equals, r.core.waitReason(s, 0), comment)
		}
		total := 0
		for _, count := range a.Others {
			total += count
		}
		if got != "" {
			total++
		}
		qt.Assert(t, total, qt.Equals, len(ids), comment)
		if q.Service && random.IntN(8) > 0 {
			r.core.Cancel(doc.ID)
		}
		r.accept(append(r.core.TakeCommands(), r.pass()...))
	}
	t.Logf("%d jobs started, %d waited, and %d were placed together with others", started, waited, disturbed)
	qt.Assert(t, started >= 50 && waited >= 20 && disturbed <= 5, qt.IsTrue, qt.Commentf("%d started, %d waited, %d disturbed", started, waited, disturbed))
}

// TestWhereReasons guards against an answer without the reason that an operator has to know.
func TestWhereReasons(t *testing.T) {
	question := whereabouts.Question{Queue: "q", Team: "a", CPU: 1000, Memory: 10, Count: 1, EstimateSeconds: 1}
	for name, test := range map[string]struct {
		prepare func(r *rig, q *whereabouts.Question)
		wait    waiting.Reason
		others  map[whereabouts.Reason]int
	}{
		"starts":    {func(*rig, *whereabouts.Question) {}, "", map[whereabouts.Reason]int{whereabouts.LessSuited: 11}},
		"label":     {func(_ *rig, q *whereabouts.Question) { q.Label = "ssd" }, "", map[whereabouts.Reason]int{whereabouts.LessSuited: 3, whereabouts.OtherLabel: 8}},
		"rack":      {func(_ *rig, q *whereabouts.Question) { q.Rack = "r1-1" }, "", map[whereabouts.Reason]int{whereabouts.LessSuited: 5, whereabouts.FarFromData: 6}},
		"too large": {func(_ *rig, q *whereabouts.Question) { q.CPU = 9000 }, waiting.ForRoom, map[whereabouts.Reason]int{whereabouts.Full: 12}},
		"policy": {
			func(_ *rig, q *whereabouts.Question) { q.Queue = "advised" }, waiting.ForPolicy, map[whereabouts.Reason]int{whereabouts.NotEligible: 12},
		},
		"gang": {
			func(_ *rig, q *whereabouts.Question) { q.Gang, q.Count, q.CPU = true, 13, 3500 }, waiting.ForGang, map[whereabouts.Reason]int{whereabouts.LessSuited: 12},
		},
		"team limit": {
			func(_ *rig, q *whereabouts.Question) { q.Team, q.CPU = "limited", 7000 }, waiting.ForTeamLimit, map[whereabouts.Reason]int{whereabouts.Full: 12},
		},
		"states": {func(r *rig, _ *whereabouts.Question) {
			r.core.workers["w0"].cordoned = true
			r.core.workers["w1"].health.Quarantine(r.now+time.Hour, 0)
			r.core.workers["w2"].report.Draining = true
			r.core.workers["w3"].startUnanswered = true
		}, "", map[whereabouts.Reason]int{"drained": 1, "quarantined": 1, "leaving": 1, whereabouts.Silent: 1, whereabouts.LessSuited: 7}},
		"no workers": {func(_ *rig, q *whereabouts.Question) { q.Queue = "unused" }, waiting.ForWorker, map[whereabouts.Reason]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newWhereRig(t)
			q := question
			test.prepare(r, &q)
			before := r.fingerprint()
			a, err := r.core.where(q.Job(), admission.Report{}, 0)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.fingerprint(), qt.Equals, before)
			qt.Assert(t, a.Wait, qt.Equals, test.wait)
			qt.Assert(t, a.Others, qt.DeepEquals, test.others)
		})
	}
	r, _ := newWhereRig(t)
	_, err := r.core.where(work.Job{Queue: "absent"}, admission.Report{}, 0)
	qt.Assert(t, err, qt.ErrorIs, whereabouts.ErrUnknownQueue)
}

// TestWhereAhead guards against a job that waits and of which the jobs before it, and the time until they have room, are not told.
func TestWhereAhead(t *testing.T) {
	r, _ := newWhereRig(t)
	for i := range 30 {
		doc := work.Job{ID: fmt.Sprint("j", i), Queue: "q", Pool: "p", Team: "b", Steps: []work.Step{{Count: 4, Request: work.Resources{CPU: 3500, Memory: 10}, Estimate: time.Second}}}
		r.addJob(doc)
	}
	r.accept(r.pass())
	q := whereabouts.Question{Queue: "q", Team: "a", CPU: 3500, Memory: 10, Count: 8, EstimateSeconds: 3}
	a, err := r.core.where(q.Job(), admission.Report{}, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Wait, qt.Equals, waiting.ForRoom)
	qt.Assert(t, a.Ahead > 0 && a.Ahead <= a.Waiting, qt.IsTrue, qt.Commentf("%+v", a))
	qt.Assert(t, a.Start.Earliest > 0 && a.Start.Latest > a.Start.Earliest, qt.IsTrue, qt.Commentf("%+v", *a.Start))
	qt.Assert(t, a.End.Expected > a.Start.Expected, qt.IsTrue)
}

// BenchmarkWhere measures a question at the size of the largest deployment. It takes the loop of the leader.
func BenchmarkWhere(b *testing.B) {
	now := time.Minute
	c := NewCore(Options{Bounds: rigBounds(), Fence: 10, Term: 1, AcquiredAt: now, EarlierLeadersUntil: now, Features: serving.Scheduling{LearnedRunTimes: true}})
	c.SetCatalog(catalog.New(1, 0, []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6}}, []catalog.Pool{{Name: "p"}}, nil))
	var reports []worker.Report
	for i := range 3700 {
		reports = append(reports, rigReport(fmt.Sprint("w", i), work.Resources{CPU: 16000, Memory: 4000}))
	}
	c.SetWorkers(reports)
	for _, r := range reports {
		for range 2 {
			renewal, _ := c.Renewal(r.ID)
			c.HandleStatus(renewal.call, worker.Status{Reply: worker.Reply{Clock: now, Incarnation: rigIncarnation}}, now, nil)
		}
	}
	for i := range 2500 {
		c.AddJob(work.Job{ID: fmt.Sprint("j", i), Queue: "q", Pool: "p", Steps: []work.Step{{Count: 8, Request: work.Resources{CPU: 4000, Memory: 10}, Estimate: time.Second}}}, nil, 0)
	}
	c.Schedule(now)
	for name, q := range map[string]whereabouts.Question{
		"full": {CPU: 4000, Count: 8}, "starts": {Count: 8}, "per worker": {Count: 1000, MaxPerWorker: 1}, "gang": {Count: 128, Gang: true, MaxPerWorker: 1},
	} {
		b.Run(name, func(b *testing.B) {
			q.Queue, q.Memory, q.EstimateSeconds = "q", 10, 1
			for b.Loop() {
				if _, err := c.where(q.Job(), admission.Report{}, 0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
