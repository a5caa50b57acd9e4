package intake

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/internal/jobs/refusal"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
)

// fakeReports tells that all queues have the same load.
type fakeReports struct {
	report admission.Report
	age    time.Duration
	absent bool
}

func (f *fakeReports) LoadReport(string) (admission.Report, time.Duration, bool) {
	return f.report, f.age, !f.absent
}

var (
	overload = admission.Report{Cores: 1, Urgent: 1e6}
	small    = admission.Report{Cores: 1, Shapes: []admission.Instances{{Capacity: work.Resources{CPU: 1000}, Count: 9}}}
)

// slowStore takes a time for each refusal, and loses those that nobody waits for any more.
type slowStore struct {
	*memory.Store
	refusal time.Duration
}

func (s *slowStore) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	if tx.Puts[0].Table != refusal.Table {
		return s.Store.Commit(ctx, tx)
	}
	select {
	case <-time.After(s.refusal):
		return s.Store.Commit(ctx, tx)
	case <-ctx.Done():
		return store.Result{}, fmt.Errorf("%w: %w", store.ErrUnknown, ctx.Err())
	}
}

// withTarget returns the admission to a queue with a latency target.
func withTarget(r *fixture) Admission {
	a, _ := r.intake.Admit("h", "/q/a", "key")
	q := *a.Queue
	q.Stretch, q.BaseTarget = 1.6, 600*time.Millisecond
	a.Queue = &q
	return a
}

func largeJob(id string) work.Job {
	return work.Job{ID: id, Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 2000}, Estimate: time.Second}}}
}

func stored(t *testing.T, r *fixture, id string) bool {
	found, _, err := readRows(t.Context(), r.store, id)
	qt.Assert(t, err, qt.IsNil)
	return found
}

// TestRefuse guards against a job that is refused late or stored all the same, and against a refusal without a fresh report or while the
// store does not make it final in time.
func TestRefuse(t *testing.T) {
	tests := map[string]struct {
		reports fakeReports
		write   time.Duration
		want    Outcome
	}{
		"no load":                {fakeReports{report: admission.Report{Cores: 1}}, 0, OK},
		"overload":               {fakeReports{report: overload}, 20 * time.Millisecond, Overloaded},
		"never fits":             {fakeReports{report: small}, 20 * time.Millisecond, NeverFits},
		"no report":              {fakeReports{report: overload, absent: true}, 0, OK},
		"old report":             {fakeReports{report: overload, age: admission.MaxAge + 1}, 0, OK},
		"store is slow to write": {fakeReports{report: overload}, time.Second, OK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFixture(t, 0)
				r.intake.options.Reports, r.intake.options.Store = &test.reports, &slowStore{Store: r.store, refusal: test.write}
				a := withTarget(r)
				since := time.Now()
				outcome, retryAfter := r.intake.Submit(t.Context(), a, largeJob("a"))
				qt.Assert(t, time.Since(since) < 50*time.Millisecond, qt.IsTrue)
				qt.Assert(t, outcome, qt.Equals, test.want)
				qt.Assert(t, stored(t, r, "a"), qt.Equals, test.want == OK)
				qt.Assert(t, len(r.leader.submitted) > 0, qt.Equals, test.want == OK)
				qt.Assert(t, retryAfter >= time.Second, qt.Equals, test.want != OK)
				qt.Assert(t, r.intake.attempts.jobs, qt.HasLen, 0)
			})
		})
	}
}

// TestRefuseRepeated guards against refusing a job that is stored already: its client repeats a submission whose answer was lost.
func TestRefuseRepeated(t *testing.T) {
	r := newFixture(t, 0)
	a := withTarget(r)
	qt.Assert(t, r.submit(t.Context(), a, largeJob("a")), qt.Equals, OK)
	r.intake.options.Reports = &fakeReports{report: overload}
	qt.Assert(t, r.submit(t.Context(), a, largeJob("a")), qt.Equals, OK)
	qt.Assert(t, r.submit(t.Context(), a, largeJob("b")), qt.Equals, Overloaded)
	qt.Assert(t, r.leader.submitted, qt.DeepEquals, []string{"a"})
}

// TestRefuseUncertain guards against refusing a job that an earlier attempt may still store: after one without an outcome, beside one that is
// under way, and while the store has trouble.
func TestRefuseUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 0)
		a := withTarget(r)
		var late store.Tx
		r.store.InjectFaults(func(tx *store.Tx) memory.Fault {
			if tx == nil {
				return memory.None
			}
			late = *tx
			return memory.LoseCall
		})
		r.relay.InjectFaults(always(memory.Refuse))
		leaves, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		qt.Assert(t, r.submit(leaves, a, largeJob("d")), qt.Equals, Unknown)
		qt.Assert(t, r.submit(leaves, a, largeJob("a")), qt.Equals, Unknown)
		r.store.InjectFaults(nil)
		r.intake.options.Reports = &fakeReports{report: overload}
		qt.Assert(t, r.submit(t.Context(), a, largeJob("a")), qt.Equals, OK)
		_, err := r.store.Commit(t.Context(), late)
		qt.Assert(t, err, qt.ErrorIs, store.ErrConflict)

		r.intake.attempts.begin("b")
		qt.Assert(t, r.submit(t.Context(), a, largeJob("b")), qt.Equals, OK)
		r.intake.attempts.end("b", false, clock.Now())
		qt.Assert(t, r.submit(t.Context(), a, largeJob("c")), qt.Equals, Overloaded)
		r.intake.attempts.begin("d")
		qt.Assert(t, r.intake.attempts.alone("d", clock.Now()), qt.IsFalse)
		qt.Assert(t, r.intake.attempts.alone("d", clock.Now()+uncertainTime), qt.IsTrue)
	})
}

// TestAttempts guards against memory that grows with the attempts without an outcome, and against certainty about those that were dropped.
func TestAttempts(t *testing.T) {
	var a attempts
	for i := range maxAttempts + 1 {
		id := fmt.Sprint(i)
		a.begin(id)
		a.end(id, true, time.Second)
	}
	qt.Assert(t, len(a.jobs) <= maxAttempts, qt.IsTrue)
	a.begin("new")
	qt.Assert(t, a.alone("new", 2*time.Second), qt.IsFalse)
	qt.Assert(t, a.alone("new", time.Second+uncertainTime), qt.IsTrue)
}
