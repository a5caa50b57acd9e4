package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/internal/jobs/refusal"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
)

// gatedStore runs a function before the first submission, while that is under way.
type gatedStore struct {
	*memory.Store
	before func()
}

func (s *gatedStore) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	if f := s.before; f != nil && tx.Puts[0].Table == rowkeys.TableJobs {
		s.before = nil
		f()
	}
	return s.Store.Commit(ctx, tx)
}

// newPair returns two processes with the same store. The second one is overloaded.
func newPair(t *testing.T) (first, second *fixture) {
	first, second = newFixture(t, 0), newFixture(t, 0)
	second.store, second.intake.options.Store = first.store, first.store
	second.intake.options.Reports = &fakeReports{report: overload}
	return first, second
}

// TestRefuseAttemptUnderWay guards against a job that runs although it was refused: an attempt through another process is on its way to the
// store, directly or through the relay, while the job is refused. That attempt has to be answered with the refusal.
func TestRefuseAttemptUnderWay(t *testing.T) {
	for name, relayed := range map[string]bool{"direct": false, "relayed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := newPair(t)
				gate := &gatedStore{Store: first.store}
				gate.before = func() {
					qt.Assert(t, second.submit(t.Context(), withTarget(second), largeJob("a")), qt.Equals, Overloaded)
				}
				first.intake.options.Store = gate
				if relayed {
					cut := memory.NewView(first.store)
					cut.Disconnect(store.ErrNotDone)
					first.intake.options.Store, first.intake.options.Relay = cut, relayOf{gate}
				}
				outcome, retryAfter := first.intake.Submit(t.Context(), withTarget(first), largeJob("a"))
				qt.Assert(t, outcome, qt.Equals, Overloaded)
				qt.Assert(t, retryAfter >= time.Second, qt.IsTrue)
				qt.Assert(t, stored(t, first, "a"), qt.IsFalse)
				qt.Assert(t, first.leader.submitted, qt.HasLen, 0)
			})
		})
	}
}

// relayOf is other nodes that use a store.
type relayOf struct{ store.Store }

func (relayOf) Partitioned(context.Context) bool { return false }

// TestRefuseLateArrival guards against a job that is stored after its refusal because the store carries out an attempt late whose client has
// left, before and after the job is refused again; and against a client that is never accepted after a refusal.
func TestRefuseLateArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newPair(t)
		var late []store.Tx
		loseSubmissions := func(tx *store.Tx) memory.Fault {
			if tx == nil || tx.Puts[0].Table != rowkeys.TableJobs {
				return memory.None
			}
			late = append(late, *tx)
			return memory.LoseCall
		}
		arriveLate := func() {
			for _, tx := range late {
				_, err := first.store.Commit(t.Context(), tx)
				qt.Assert(t, err, qt.ErrorIs, store.ErrConflict)
			}
		}
		leave := func(a Admission) {
			first.store.InjectFaults(loseSubmissions)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			qt.Assert(t, first.submit(ctx, a, largeJob("a")), qt.Equals, Unknown)
			first.store.InjectFaults(nil)
		}
		first.relay.InjectFaults(always(memory.Refuse))
		leave(withTarget(first))
		qt.Assert(t, second.submit(t.Context(), withTarget(second), largeJob("a")), qt.Equals, Overloaded)
		arriveLate()
		qt.Assert(t, stored(t, first, "a"), qt.IsFalse)

		// The client comes back after Retry-After. Its attempt takes the refusal back, but arrives after the job is refused again.
		again := withTarget(first)
		again.ArrivedAt += time.Hour
		leave(again)
		qt.Assert(t, len(late) >= 2, qt.IsTrue)
		qt.Assert(t, second.submit(t.Context(), withTarget(second), largeJob("a")), qt.Equals, Overloaded)
		arriveLate()

		qt.Assert(t, first.submit(t.Context(), again, largeJob("a")), qt.Equals, OK)
		qt.Assert(t, first.submit(t.Context(), again, largeJob("a")), qt.Equals, OK)
		qt.Assert(t, first.leader.submitted, qt.DeepEquals, []string{"a"})
		qt.Assert(t, second.submit(t.Context(), withTarget(second), largeJob("a")), qt.Equals, OK)
		arriveLate()
		refusals, err := store.ScanAll(t.Context(), first.store, refusal.Table)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, refusals.Rows, qt.HasLen, 0)
	})
}

// TestRefusalRow guards against the loss of a job that an earlier build has stored past its refusal, against a refusal that overlooks the
// rows of others, and against a certain answer by a refusal that may have been written too late.
func TestRefusalRow(t *testing.T) {
	now := time.Duration(0)
	row := func(until time.Duration) []byte {
		data, err := cbor.Marshal(refusal.Row{Reason: admission.NeverFits, Until: now + until, RetryAt: now + 2*until})
		qt.Assert(t, err, qt.IsNil)
		return data
	}
	tests := map[string]struct {
		refusal []byte
		// until is the time for which the row refuses attempts.
		until time.Duration
		job   bool
		// lost is the fault of the refusals that the attempt writes.
		lost memory.Fault
		want Outcome
	}{
		"none":                              {want: OK},
		"in force":                          {until: time.Minute, want: NeverFits},
		"in force, job of an earlier build": {until: time.Minute, job: true, want: OK},
		"over":                              {until: -time.Minute, want: OK},
		"over, job of an earlier build":     {until: -time.Minute, job: true, want: OK},
		"written late":                      {until: 100 * time.Millisecond, want: NeverFits},
		"written late, store is down":       {until: 100 * time.Millisecond, lost: memory.Refuse, want: Unknown},
		"unreadable":                        {refusal: []byte("x"), want: Overloaded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, 0)
			a := withTarget(r)
			now = a.ArrivedAt
			value, key := test.refusal, rowkeys.Job("a")
			if test.until != 0 {
				value = row(test.until)
			}
			var tx store.Tx
			if value != nil {
				tx.Puts = append(tx.Puts, store.Put{Key: refusal.Key(key), Value: value})
			}
			if test.job {
				job, err := rowkeys.EncodeJob(largeJob("a"))
				qt.Assert(t, err, qt.IsNil)
				tx.Puts = append(tx.Puts, store.Put{Key: key, Value: job})
			}
			_, err := r.store.Commit(t.Context(), tx)
			qt.Assert(t, err, qt.IsNil)
			r.store.InjectFaults(func(tx *store.Tx) memory.Fault {
				if tx != nil && tx.Puts[0].Table == refusal.Table {
					return test.lost
				}
				return memory.None
			})
			calls := r.store.Calls()
			outcome, retryAfter := r.intake.Submit(t.Context(), a, largeJob("a"))
			qt.Assert(t, outcome, qt.Equals, test.want)
			qt.Assert(t, retryAfter > 0, qt.Equals, outcome == NeverFits || outcome == Overloaded)
			qt.Assert(t, stored(t, r, "a"), qt.Equals, test.want == OK)
			if name == "none" {
				qt.Assert(t, r.store.Calls(), qt.Equals, calls+2, qt.Commentf("a submission in calm is one call, and the test reads once"))
			}
		})
	}
}

// TestPruneRefusals guards against refusals that stay in the store for good, and against the removal of recent ones.
func TestPruneRefusals(t *testing.T) {
	first, second := newPair(t)
	scan := func() []store.Row {
		rows, err := store.ScanAll(t.Context(), first.store, refusal.Table)
		qt.Assert(t, err, qt.IsNil)
		return rows.Rows
	}
	p := refusal.NewPruner(2 * time.Minute)
	qt.Assert(t, second.submit(t.Context(), withTarget(second), largeJob("a")), qt.Equals, Overloaded)
	qt.Assert(t, p.Due(scan(), clock.Now()-3*time.Minute), qt.HasLen, 0)
	qt.Assert(t, second.submit(t.Context(), withTarget(second), largeJob("b")), qt.Equals, Overloaded)
	first.intake.PruneRefusals(t.Context(), p)
	left := scan()
	qt.Assert(t, left, qt.HasLen, 1)
	qt.Assert(t, left[0].Name, qt.Equals, "b")
}
