package intake

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/common/logging"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/scheduler"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
)

type fakeLeader struct {
	submitted []string
	cancelled []string
	states    map[string]work.State
	err       error
}

func (f *fakeLeader) NotifySubmitted(_ context.Context, j work.Job) {
	f.submitted = append(f.submitted, j.ID)
}
func (f *fakeLeader) NotifyCancelled(_ context.Context, id string) {
	f.cancelled = append(f.cancelled, id)
}

func (f *fakeLeader) State(_ context.Context, _, id string) (work.State, bool, error) {
	s, ok := f.states[id]
	return s, ok, f.err
}

func (f *fakeLeader) Waiting(context.Context, string) (int, error) { return 3, f.err }

type fakeConfiguration struct {
	catalog *catalog.Catalog
	age     time.Duration
}

func (f fakeConfiguration) Current() *catalog.Catalog { return f.catalog }
func (f fakeConfiguration) Age() time.Duration        { return f.age }

// fakeRelay is another node with its own store.
type fakeRelay struct {
	*memory.Store
	partitioned bool
}

func (r *fakeRelay) Partitioned(context.Context) bool { return r.partitioned }

// fixture is an intake with two stores: its own one and that of the node that relays for it.
type fixture struct {
	store  *memory.Store
	relay  *fakeRelay
	leader *fakeLeader
	intake *Intake
}

func sampleCatalog() *catalog.Catalog {
	return catalog.New(4, 0, []catalog.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 3},
		{Name: "long", Host: "h", Prefix: "/q/long/", Pool: "p", Public: true},
	}, []catalog.Pool{{Name: "p"}}, []catalog.Team{{Name: "t", Keys: []string{"key"}}})
}

func newFixture(t *testing.T, age time.Duration) *fixture {
	r := &fixture{store: memory.New(), relay: &fakeRelay{Store: memory.New()}, leader: &fakeLeader{states: make(map[string]work.State)}}
	storeClock := &store.Clock{}
	// The store of the test has the local clock.
	storeClock.Update(clock.Now())
	r.intake = New(Options{
		Store: r.store, Clock: storeClock, Leader: r.leader, Relay: r.relay,
		Configuration: fakeConfiguration{sampleCatalog(), age}, Bounds: scheduler.Bounds{ConfigDelay: 2 * time.Second, ConfigOutageDelay: 5 * time.Second},
	})
	t.Cleanup(func() { r.store.InjectFaults(nil) })
	return r
}

// submit submits a job and returns the outcome alone.
func (r *fixture) submit(ctx context.Context, a Admission, job work.Job) Outcome {
	outcome, _ := r.intake.Submit(ctx, a, job)
	return outcome
}

func sampleJob(id string) work.Job { return work.Job{ID: id, Steps: []work.Step{{Count: 1}}} }

// TestAdmit guards against requests that are admitted without a key, to a queue although another one has a longer matching prefix, or
// under a configuration that may have been replaced.
func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		host, path, key string
		age             time.Duration
		queue           string
		want            Outcome
	}{
		"with key":       {"h:80", "/q/a", "key", 0, "q", OK},
		"longer prefix":  {"h", "/q/long/a", "", 0, "long", OK},
		"unknown key":    {"h", "/q/a", "other", 0, "", BadKey},
		"no key":         {"h", "/q/a", "", 0, "", BadKey},
		"no queue":       {"h", "/x/a", "key", 0, "", NoQueue},
		"other host":     {"g", "/q/a", "key", 0, "", NoQueue},
		"unconfirmed":    {"h", "/q/a", "key", 6500 * time.Millisecond, "q", OK},
		"outdated":       {"h", "/q/a", "key", 7 * time.Second, "", NoConfig},
		"outdated, open": {"h", "/q/long/a", "", 7 * time.Second, "", NoConfig},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, outcome := newFixture(t, test.age).intake.Admit(test.host, test.path, test.key)
			qt.Assert(t, outcome, qt.Equals, test.want)
			if test.want == OK {
				qt.Assert(t, a.Queue.Name, qt.Equals, test.queue)
				qt.Assert(t, a.JobPath, qt.Equals, "a")
			}
		})
	}
}

// always returns a fault that each write has.
func always(f memory.Fault) func(*store.Tx) memory.Fault {
	return func(tx *store.Tx) memory.Fault {
		if tx == nil {
			return memory.None
		}
		return f
	}
}

// once returns a fault that the first write has.
func once(f memory.Fault) func(*store.Tx) memory.Fault {
	first := true
	return func(tx *store.Tx) memory.Fault {
		if tx == nil || !first {
			return memory.None
		}
		first = false
		return f
	}
}

// TestSubmit guards against refusing a job that may run, and against accepting a job that is not stored.
func TestSubmit(t *testing.T) {
	tests := map[string]struct {
		own, relay func(*store.Tx) memory.Fault
		want       Outcome
		relayed    bool
	}{
		"stored":                {nil, nil, OK, false},
		"rejected, relayed":     {always(memory.Refuse), nil, OK, true},
		"refused by both":       {always(memory.Refuse), always(memory.Refuse), Refused, false},
		"answer lost":           {once(memory.LoseReply), always(memory.Refuse), OK, false},
		"call lost, then given": {once(memory.LoseCall), always(memory.Refuse), OK, false},
		"never an answer":       {always(memory.LoseReply), always(memory.Refuse), Unknown, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFixture(t, 0)
				r.store.InjectFaults(test.own)
				r.relay.InjectFaults(test.relay)
				a, _ := r.intake.Admit("h", "/q/a", "key")
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				qt.Assert(t, r.submit(ctx, a, sampleJob("a")), qt.Equals, test.want)
				r.store.InjectFaults(nil)
				r.relay.InjectFaults(nil)
				in := r.store
				if test.relayed {
					in = r.relay.Store
				}
				_, found, err := readState(t.Context(), in, "a")
				qt.Assert(t, err, qt.IsNil)
				switch test.want {
				case OK:
					qt.Assert(t, found, qt.IsTrue)
				case Refused:
					qt.Assert(t, found, qt.IsFalse)
				}
			})
		})
	}
}

// TestSubmitTwice guards against two jobs when a client repeats a submission.
func TestSubmitTwice(t *testing.T) {
	r := newFixture(t, 0)
	a, _ := r.intake.Admit("h", "/q/a", "key")
	qt.Assert(t, r.submit(t.Context(), a, sampleJob("a")), qt.Equals, OK)
	qt.Assert(t, r.submit(t.Context(), a, sampleJob("a")), qt.Equals, OK)
	qt.Assert(t, r.leader.submitted, qt.DeepEquals, []string{"a"})
}

// TestSubmittedAttempts guards against a job whose attempts are no longer known when its queue has been removed from the configuration.
func TestSubmittedAttempts(t *testing.T) {
	r := newFixture(t, 0)
	a, _ := r.intake.Admit("h", "/q/a", "key")
	qt.Assert(t, r.submit(t.Context(), a, sampleJob("a")), qt.Equals, OK)
	key := rowkeys.Job("a")
	rows, err := r.store.Scan(t.Context(), key.Table, key.Partition, key.Name, "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows.Rows, qt.HasLen, 1)
	job, err := rowkeys.DecodeJob(rows.Rows[0])
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, job.Attempts, qt.Equals, 3)
}

// TestState guards against reporting an accepted job as missing because the leader does not know it.
func TestState(t *testing.T) {
	tests := map[string]struct {
		leader    map[string]work.State
		leaderErr error
		storeDown bool
		stored    bool
		want      Outcome
		state     work.State
	}{
		"leader knows":            {map[string]work.State{"a": work.Finished}, nil, false, true, OK, work.Finished},
		"leader does not know":    {nil, nil, false, true, OK, work.Pending},
		"leader is away":          {nil, errors.New("away"), false, true, OK, work.Pending},
		"no such job":             {nil, nil, false, false, NoJob, 0},
		"leader and store away":   {nil, errors.New("away"), true, true, NoAnswer, 0},
		"unknown and store away":  {nil, nil, true, true, NoAnswer, 0},
		"known while store is up": {map[string]work.State{"a": work.Running}, nil, true, true, OK, work.Running},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, 0)
			a, _ := r.intake.Admit("h", "/q/a", "key")
			if test.stored {
				qt.Assert(t, r.submit(t.Context(), a, sampleJob("a")), qt.Equals, OK)
			}
			r.leader.states, r.leader.err = test.leader, test.leaderErr
			if test.storeDown {
				r.store.InjectFaults(func(*store.Tx) memory.Fault { return memory.Refuse })
			}
			state, outcome := r.intake.State(t.Context(), a, "a")
			qt.Assert(t, outcome, qt.Equals, test.want)
			if outcome == OK {
				qt.Assert(t, state, qt.Equals, test.state)
			}
		})
	}
}

// TestCancel guards against a cancellation that is acknowledged but not stored.
func TestCancel(t *testing.T) {
	r := newFixture(t, 0)
	a, _ := r.intake.Admit("h", "/q/a", "key")
	qt.Assert(t, r.intake.Cancel(t.Context(), a, "b"), qt.Equals, NoJob)
	qt.Assert(t, r.submit(t.Context(), a, sampleJob("a")), qt.Equals, OK)
	qt.Assert(t, r.intake.Cancel(t.Context(), a, "a"), qt.Equals, OK)
	qt.Assert(t, r.intake.Cancel(t.Context(), a, "a"), qt.Equals, OK)
	qt.Assert(t, r.leader.cancelled, qt.DeepEquals, []string{"b", "a", "a"})
	state, _, err := readState(t.Context(), r.store, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, state, qt.Equals, work.Cancelled)
}

// TestCancelBeforeLateSubmission guards against a job that runs after its cancelling was acknowledged, because the store performs the
// submission, which got no answer, only after the cancelling.
func TestCancelBeforeLateSubmission(t *testing.T) {
	tests := map[string]struct {
		// own and relay are the faults of writes during the cancelling.
		own, relay func(*store.Tx) memory.Fault
		leaderErr  error
		want       Outcome
	}{
		"stored":                {want: NoJob},
		"leader is away":        {leaderErr: errors.New("away"), want: NoJob},
		"refused by both":       {own: always(memory.Refuse), relay: always(memory.Refuse), want: Refused},
		"never an answer":       {own: always(memory.LoseCall), relay: always(memory.Refuse), want: Unknown},
		"answer lost":           {own: once(memory.LoseReply), relay: always(memory.Refuse), want: NoJob},
		"call lost, then given": {own: once(memory.LoseCall), relay: always(memory.Refuse), want: NoJob},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFixture(t, 0)
				a, _ := r.intake.Admit("h", "/q/a", "key")
				var late store.Tx
				r.store.InjectFaults(func(tx *store.Tx) memory.Fault { late = *tx; return memory.LoseCall })
				r.relay.InjectFaults(always(memory.Refuse))
				leaves, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				qt.Assert(t, r.submit(leaves, a, sampleJob("a")), qt.Equals, Unknown)
				r.store.InjectFaults(test.own)
				r.relay.InjectFaults(test.relay)
				r.leader.err = test.leaderErr
				ctx, cancelDelete := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancelDelete()
				qt.Assert(t, r.intake.Cancel(ctx, a, "a"), qt.Equals, test.want)
				r.store.InjectFaults(nil)
				_, err := r.store.Commit(t.Context(), late)
				qt.Assert(t, err, qt.IsNil)
				state, found, err := readState(t.Context(), r.store, "a")
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, found, qt.IsTrue)
				qt.Assert(t, state == work.Cancelled, qt.Equals, test.want == NoJob)
				qt.Assert(t, len(r.leader.cancelled) == 1, qt.Equals, test.want == NoJob)
			})
		})
	}
}

// TestLogContainsNoSecrets guards against keys and specifications in the log.
func TestLogContainsNoSecrets(t *testing.T) {
	var out bytes.Buffer
	logger, err := logging.New(&out, "debug", "text")
	qt.Assert(t, err, qt.IsNil)
	r := newFixture(t, 0)
	r.intake = New(Options{
		Store: r.store, Clock: r.intake.options.Clock, Leader: r.leader, Relay: r.relay, Configuration: r.intake.options.Configuration,
		Bounds: r.intake.options.Bounds, Logger: logger,
	})
	for _, key := range []string{"key", "wrong-key"} {
		a, outcome := r.intake.Admit("h", "/q/a", key)
		if outcome != OK {
			continue
		}
		job := sampleJob("a")
		job.Spec = "hidden-spec"
		r.submit(t.Context(), a, job)
		r.intake.Cancel(t.Context(), a, "a")
	}
	qt.Assert(t, out.String(), qt.Contains, "Job is accepted.")
	for _, secret := range []string{"wrong-key", "=key", "hidden-spec"} {
		qt.Assert(t, strings.Contains(out.String(), secret), qt.IsFalse)
	}
}

// TestPartitioned guards against a partitioned node that keeps a client waiting although it can reach neither the store nor another
// node, and against refusing a job that may be stored.
func TestPartitioned(t *testing.T) {
	r := newFixture(t, 0)
	r.relay.partitioned = true
	before := r.store.Calls()
	a, outcome := r.intake.Admit("h", "/q/a", "key")
	qt.Assert(t, outcome, qt.Equals, OK)
	qt.Assert(t, r.submit(t.Context(), a, sampleJob("a")), qt.Equals, Refused)
	qt.Assert(t, r.store.Calls(), qt.Equals, before)
}
