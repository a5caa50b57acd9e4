package duty_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/allotment"
	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/job"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// jobTable is a table that fails operations as drawn, and records the rows of all jobs.
type jobTable struct {
	*standin.Table
	model *jobsModel
	jobs  map[string]job.Job
}

func (t *jobTable) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	t.model.maybePause()
	if _, err := t.model.fault(); err != nil {
		return nil, provider.ErrUnavailable
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

func (t *jobTable) Commit(ctx context.Context, txn provider.Txn) error {
	t.model.maybePause()
	effect, fault := t.model.fault()
	if fault != nil && !effect {
		return fault
	}
	if err := t.Table.Commit(ctx, txn); err != nil {
		return err
	}
	for _, w := range txn.Writes {
		var next job.Job
		if !strings.HasPrefix(w.Key, "job/") || w.Delete || json.Unmarshal(w.Value, &next) != nil {
			continue
		}
		old := t.jobs[next.ID]
		if old.State.Ended() {
			t.model.rt.Fatalf("job %s was %s and is now %s: a result was taken twice", next.ID, old.State, next.State)
		}
		if next.State == job.StateDone && !t.model.finished[old.RunID()] {
			t.model.rt.Fatalf("job %s is done without a result of its run %s", next.ID, old.RunID())
		}
		t.jobs[next.ID] = next
	}
	running := 0
	for _, j := range t.jobs {
		if j.Worker != "" {
			running++
		}
	}
	if running > modelLimit {
		t.model.rt.Fatalf("upperLimit: %d jobs run, the limit is %d", running, modelLimit)
	}
	return fault
}

// modelLimit is the upper limit of the team of all jobs in the model.
const modelLimit = 6

// modelTasks adds drawn faults to the tasks of the platform.
type modelTasks struct {
	*standin.Tasks
	model *jobsModel
}

func (t *modelTasks) Start(ctx context.Context, spec provider.TaskSpec) error {
	effect, fault := t.model.callFault("start", spec.ID)
	if fault != nil && !effect {
		return fault
	}
	return errors.Join(fault, t.Tasks.Start(ctx, spec))
}

func (t *modelTasks) Stop(ctx context.Context, token uint64, id string) error {
	effect, fault := t.model.callFault("stop", id)
	if fault != nil && !effect {
		return fault
	}
	return errors.Join(fault, t.Tasks.Stop(ctx, token, id))
}

func (t *modelTasks) Status(ctx context.Context, workers ...string) ([]provider.TaskStatus, error) {
	all, err := t.Tasks.Status(ctx, workers...)
	for _, s := range all {
		if s.State == provider.TaskDone {
			t.model.finished[s.ID] = true
		}
	}
	return all, err
}

// jobsModel is a data centre whose jobs duty passes from one holder to the next.
type jobsModel struct {
	rt      *rapid.T
	table   *jobTable
	tasks   *modelTasks
	fleet   *fakeFleet
	options duty.JobsOptions
	holder  *duty.Jobs
	lease   *fakeLease
	faults  bool
	seed    uint64
	random  *rand.Rand
	// pause is the number of table operations left before the holder pauses; 0 or less means never.
	pause int
	// finished holds the runs that the platform has reported as done.
	finished map[string]bool
	ids      []string
}

func newJobsModel(rt *rapid.T) *jobsModel {
	m := &jobsModel{rt: rt, fleet: newFakeFleet(time.Second), finished: make(map[string]bool)}
	p := standin.New(standin.Options{StatusLag: time.Second})
	m.table = &jobTable{Table: p.Table(), model: m, jobs: make(map[string]job.Job)}
	m.tasks = &modelTasks{Tasks: p.Tasks(), model: m}
	for kind, b := range map[string]standin.Behaviour{"short": {RunTime: 2 * time.Second}, "long": {RunTime: 2 * time.Minute, Cores: 2}, "bad": {RunTime: time.Second, Fails: true}} {
		m.tasks.SetBehaviour(kind, b)
	}
	m.fleet.addPool(p.Table(), "support", 9)
	holder := allotment.NewHolder(allotment.Options{Table: p.Table(), Holder: "a"})
	m.options = duty.JobsOptions{
		Table: m.table, Instances: m.fleet, Tasks: m.tasks, DataCentres: func() []string { return []string{"dc0"} },
		Limits: job.TeamLimits{Table: p.Table(), Limit: func(string) int { return modelLimit }, Holder: holder},
	}
	m.takeOver()
	return m
}

func (m *jobsModel) fault() (effect bool, err error) {
	if !m.faults {
		return false, nil
	}
	return faultForDraw(m.random.IntN(16))
}

// callFault returns the fault of a call for a task. It is computed from a hash, because several goroutines make
// such calls at the same time and their order must not matter.
func (m *jobsModel) callFault(call, id string) (effect bool, err error) {
	if !m.faults {
		return false, nil
	}
	return faultForDraw(int(xxhash.Sum64String(fmt.Sprint(m.seed, call, id, time.Now().Unix())) % 16))
}

func faultForDraw(n int) (effect bool, err error) {
	switch n {
	case 0:
		return false, provider.ErrUnavailable
	case 1:
		return false, provider.ErrUnknownOutcome
	case 2:
		return true, provider.ErrUnknownOutcome
	}
	return false, nil
}

// maybePause lets the holder pause before the drawn operation, while another process takes over and runs passes.
// The paused holder still believes that it holds the lease.
func (m *jobsModel) maybePause() {
	if m.pause--; m.pause != 0 {
		return
	}
	m.takeOver()
	for range rapid.IntRange(1, 60).Draw(m.rt, "passes in the pause") {
		m.pass()
		time.Sleep(time.Second)
	}
}

func (m *jobsModel) takeOver() {
	m.holder, m.lease = duty.NewJobs(m.options), newFakeLease(m.table.Table)
}

func (m *jobsModel) pass() {
	if err := m.holder.Pass(context.Background(), m.lease); err != nil {
		m.rt.Fatalf("pass: %v", err)
	}
}

func (m *jobsModel) worker() string {
	return fmt.Sprintf("support-%03d", 3*rapid.IntRange(0, 2).Draw(m.rt, "worker"))
}

func (m *jobsModel) applyRandomAction() {
	ctx := context.Background()
	switch rapid.IntRange(0, 9).Draw(m.rt, "action") {
	case 0:
		m.takeOver()
	case 1:
		m.pause = rapid.IntRange(1, 15).Draw(m.rt, "operations before the pause")
	case 2, 3, 4:
		j, err := job.New(job.Spec{
			Kind: rapid.SampledFrom([]string{"short", "long", "bad"}).Draw(m.rt, "kind"), Team: "t", Urgent: rapid.Bool().Draw(m.rt, "urgent"),
			Cores: float64(rapid.IntRange(1, 80).Draw(m.rt, "cores")), Memory: gib,
		}, "dc0", time.Now())
		if err != nil {
			m.rt.Fatal(err)
		}
		if job.NewStore(m.table.Table, nil).Submit(ctx, j) == nil {
			m.table.jobs[j.ID] = j
			m.ids = append(m.ids, j.ID)
		}
	case 5:
		if len(m.ids) > 0 {
			faults := m.faults
			m.faults = false
			_, _ = job.NewStore(m.table, nil).Cancel(ctx, rapid.SampledFrom(m.ids).Draw(m.rt, "job"), time.Now())
			m.faults = faults
		}
	case 6:
		m.fleet.instances[m.worker()].restart(time.Duration(rapid.IntRange(1, 200).Draw(m.rt, "outage")) * time.Second)
	case 7:
		m.tasks.SetWorkerBroken(m.worker(), rapid.Bool().Draw(m.rt, "broken"))
	case 8:
		m.faults, m.seed = !m.faults, rapid.Uint64().Draw(m.rt, "seed")
		m.random = rand.New(rand.NewPCG(m.seed, 1))
	case 9:
		store := pool.NewStore(m.table.Table)
		if row, err := store.Get(ctx, m.worker()); err == nil {
			next := row.Transition(time.Now(), rapid.SampledFrom([]pool.State{pool.StateServing, pool.StateDraining}).Draw(m.rt, "state"))
			_ = store.Update(ctx, row, next)
		}
	}
}

// checkConvergence ends all faults and checks that every job ends.
func (m *jobsModel) checkConvergence() {
	m.faults, m.pause = false, 0
	store := pool.NewStore(m.table.Table)
	for i := range 3 {
		id := fmt.Sprintf("support-%03d", 3*i)
		m.tasks.SetWorkerBroken(id, false)
		if row, err := store.Get(context.Background(), id); err == nil {
			_ = store.Update(context.Background(), row, row.Transition(time.Now(), pool.StateServing))
		}
	}
	for range 3000 {
		m.pass()
		left := 0
		for _, j := range m.table.jobs {
			if !j.State.Ended() {
				left++
			}
		}
		if left == 0 {
			return
		}
		time.Sleep(2 * time.Second)
	}
	for _, j := range m.table.jobs {
		m.rt.Logf("%+v", j)
	}
	m.rt.Fatalf("jobs do not end")
}

// TestJobsModel guards against jobs whose result is recorded twice, jobs that never end, and exceeded limits,
// under random submissions, cancellations, pauses, takeovers, bad workers and store faults.
func TestJobsModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			m := newJobsModel(rt)
			for range rapid.IntRange(5, 60).Draw(rt, "steps") {
				m.applyRandomAction()
				m.pass()
				time.Sleep(time.Duration(rapid.IntRange(1, 8).Draw(rt, "half seconds")) * 500 * time.Millisecond)
			}
			m.checkConvergence()
		})
	})
}
