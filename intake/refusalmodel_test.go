package intake

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/jobs/refusal"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/scheduler"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
)

const (
	// modelJob is the job that all attempts of the model submit.
	modelJob = "a"
	// maxDepth is the maximum number of attempts of the model that are under way at the same time.
	maxDepth = 3
	// slightOverload is work for which a job may be sent again after a second or two.
	slightOverload = 12
	// maxLateness is how late the store of the model carries out a transaction.
	maxLateness = 30 * time.Second
)

// modelAttempt is an attempt of the client to submit the job.
type modelAttempt struct {
	began  time.Duration
	leave  context.CancelFunc
	silent int
}

// lateTx is a transaction that the store may carry out later.
type lateTx struct {
	tx      store.Tx
	attempt *modelAttempt
	sent    time.Duration
}

// refusalModel is a client that submits one job again and again through several processes to a store that carries out transactions late
// and loses calls and replies. All attempts run in one goroutine: while the store holds the transaction of one, others run.
type refusalModel struct {
	*memory.Store
	rt        *rapid.T
	processes []*Intake
	reports   fakeReports
	now       time.Duration
	// underWay holds the attempts under way. The last one runs.
	underWay []*modelAttempt
	late     []lateTx
	// refusedAt is the time of the latest answer that refused the job.
	refusedAt time.Duration
	timesPut  int
	pruner    *refusal.Pruner
	calm      bool
}

func (*refusalModel) Partitioned(context.Context) bool { return false }

// Commit implements [store.Store]. While the transaction is under way, time passes and other attempts run.
func (m *refusalModel) Commit(_ context.Context, tx store.Tx) (store.Result, error) {
	a := m.underWay[len(m.underWay)-1]
	if m.calm {
		return m.apply(lateTx{tx, a, m.now})
	}
	m.pass(700)
	if len(m.underWay) < maxDepth && rapid.IntRange(0, 3).Draw(m.rt, "others") == 0 {
		m.act()
	}
	silent := func() (store.Result, error) {
		// The client leaves, so that the attempt does not last for ever.
		if a.silent++; a.silent > 1 {
			a.leave()
		}
		return store.Result{}, store.ErrUnknown
	}
	switch rapid.IntRange(0, 9).Draw(m.rt, "fault") {
	case 0:
		return silent()
	case 1, 2:
		m.late = append(m.late, lateTx{tx, a, m.now})
		return silent()
	case 3:
		m.apply(lateTx{tx, a, m.now})
		return silent()
	case 4:
		return store.Result{}, store.ErrNotDone
	}
	result, err := m.apply(lateTx{tx, a, m.now})
	m.pass(300)
	return result, err
}

// apply carries out a transaction, and checks it if it stores the job.
func (m *refusalModel) apply(l lateTx) (store.Result, error) {
	result, err := m.Store.Commit(context.Background(), l.tx)
	result.Now = m.now
	if err == nil && l.tx.Puts[0].Key == rowkeys.Job(modelJob) {
		if m.timesPut++; m.timesPut > 1 {
			m.rt.Fatalf("job is stored a second time")
		}
		if l.attempt.began <= m.refusedAt {
			m.rt.Fatalf("attempt of %s stores the job at %s, after it was refused at %s", l.attempt.began, m.now, m.refusedAt)
		}
	}
	return result, err
}

func (m *refusalModel) pass(milliseconds int) {
	m.now += time.Duration(rapid.IntRange(1, milliseconds).Draw(m.rt, "pass")) * time.Millisecond
}

// start starts a process, also in the place of one that is lost. Its estimate of the store's clock lags behind.
func (m *refusalModel) start(n int) {
	storeClock := &store.Clock{}
	storeClock.Update(clock.Now())
	m.processes[n] = New(Options{
		Store: m, Clock: storeClock, Leader: &quietLeader{}, Relay: m, Reports: &m.reports, Configuration: fakeConfiguration{sampleCatalog(), 0},
		Bounds: scheduler.Bounds{ConfigDelay: 2 * time.Second, ConfigOutageDelay: 5 * time.Second},
	})
	lag := time.Duration(rapid.IntRange(0, 50).Draw(m.rt, "lag")) * time.Millisecond
	m.processes[n].storeNow = func() (time.Duration, bool) { return m.now - lag, true }
}

// submit makes an attempt.
func (m *refusalModel) submit(n int) Outcome {
	in := m.processes[n]
	admission, outcome := in.Admit("h", "/q/"+modelJob, "key")
	if outcome != OK {
		m.rt.Fatalf("outcome %s", outcome)
	}
	q := *admission.Queue
	q.Stretch, q.BaseTarget = 1.6, 600*time.Millisecond
	admission.Queue = &q
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	m.underWay = append(m.underWay, &modelAttempt{began: m.now, leave: leave})
	outcome, _ = in.Submit(ctx, admission, largeJob(modelJob))
	m.underWay = m.underWay[:len(m.underWay)-1]
	switch {
	case outcome == Overloaded && m.timesPut > 0:
		m.rt.Fatalf("job is refused at %s although it is stored", m.now)
	case outcome == Overloaded:
		m.refusedAt = m.now
	case outcome == OK && m.timesPut == 0:
		m.rt.Fatalf("job is accepted at %s and not stored", m.now)
	}
	return outcome
}

// act does what a client, the store, the leader or the operator may do at any time.
func (m *refusalModel) act() {
	m.pass(1500)
	n := rapid.IntRange(0, len(m.processes)-1).Draw(m.rt, "process")
	switch rapid.IntRange(0, 9).Draw(m.rt, "action") {
	case 0, 1, 2, 3:
		m.submit(n)
	case 4, 5:
		if len(m.late) == 0 {
			return
		}
		i := rapid.IntRange(0, len(m.late)-1).Draw(m.rt, "late")
		l := m.late[i]
		m.late = slices.Delete(m.late, i, i+1)
		if m.now-l.sent < maxLateness {
			_, _ = m.apply(l)
		}
	case 6:
		m.reports.absent = !m.reports.absent
	case 7:
		m.start(n)
	case 8:
		m.now += time.Duration(rapid.IntRange(1, 90).Draw(m.rt, "seconds")) * time.Second
	case 9:
		m.prune()
	}
}

// prune removes the refusals that are due, as the leader does.
func (m *refusalModel) prune() {
	rows, err := store.ScanAll(context.Background(), m.Store, refusal.Table)
	if err != nil {
		m.rt.Fatal(err)
	}
	for _, tx := range m.pruner.Due(rows.Rows, m.now) {
		_, _ = m.Store.Commit(context.Background(), tx)
	}
}

// TestRefusalModel guards against a refused job that an attempt from before the refusal stores, whatever the store does late and whichever
// process refuses or accepts; against a job that is stored twice; and against one that is not accepted any more after a refusal.
func TestRefusalModel(t *testing.T) {
	var refused, stored int
	rapid.Check(t, func(rt *rapid.T) {
		m := &refusalModel{
			Store: memory.New(), rt: rt, processes: make([]*Intake, 3), reports: fakeReports{report: overload}, now: time.Hour, pruner: refusal.NewPruner(0),
		}
		if rapid.IntRange(0, 3).Draw(rt, "load") > 0 {
			// The shortest refusals are the most likely ones to be written too late.
			m.reports.report.Urgent = slightOverload
		}
		for n := range m.processes {
			m.start(n)
		}
		for range rapid.IntRange(1, 25).Draw(rt, "actions") {
			m.act()
		}
		if m.refusedAt > 0 {
			refused++
		}
		if m.timesPut > 0 {
			stored++
		}
		// All late transactions arrive. Then the client comes back after the longest Retry-After, and there is no load.
		for _, l := range m.late {
			if m.now-l.sent < maxLateness {
				_, _ = m.apply(l)
			}
		}
		m.calm, m.reports.absent, m.now = true, true, m.now+time.Minute
		if outcome := m.submit(0); outcome != OK {
			rt.Fatalf("outcome %s in the end", outcome)
		}
		if outcome := m.submit(1); outcome != OK || m.timesPut != 1 {
			rt.Fatalf("outcome %s of a repeated submission, stored %d times", outcome, m.timesPut)
		}
		found, err := store.ScanAll(context.Background(), m.Store, refusal.Table)
		if err != nil || len(found.Rows) > 0 {
			rt.Fatalf("refusals %v of a stored job, %v", found.Rows, err)
		}
	})
	t.Logf("refused in %d plays, stored before the end in %d", refused, stored)
	qt.Assert(t, refused > 0 && stored > 0, qt.IsTrue)
}
