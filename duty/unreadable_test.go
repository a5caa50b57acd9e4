package duty_test

import (
	"bytes"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/job"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/wave"
)

// overwrite replaces a row by a value that cannot be read, and returns a function that restores it.
func overwrite(t *testing.T, table provider.Table, key string) (restore func()) {
	t.Helper()
	rows, err := table.Read(t.Context(), key)
	qt.Assert(t, err, qt.IsNil)
	write := func(value []byte) {
		qt.Assert(t, table.Commit(t.Context(), provider.Txn{Writes: []provider.Write{{Key: key, Value: value}}}), qt.IsNil)
	}
	write([]byte("{"))
	return func() { write(rows[0].Value) }
}

// TestUnreadableRowsOfFleet guards against one row that stops the waves of all pools, and against a wave that exceeds the budget or ends
// too early because it does not know an instance.
func TestUnreadableRowsOfFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		table, fleet := standin.NewTable(), newFakeFleet(time.Second)
		p := mustPool(pool.Spec{Name: "desk", MaxUnavailable: "2"})
		fleet.addPool(table, p.Name(), 10)
		createWave(t, table, wave.Spec{Name: "kernel"}, []pool.Pool{p}, listInstances(t, table))
		restore := overwrite(t, table, pool.InstanceKey("desk-003"))
		qt.Assert(t, table.Commit(t.Context(), provider.Txn{Writes: []provider.Write{{Key: "wave/other", Value: []byte("{")}}}), qt.IsNil)

		holder := duty.NewFleet(duty.FleetOptions{
			Table: table, Instances: fleet, Pools: func() []pool.Pool { return []pool.Pool{p} }, Logger: hclog.New(&hclog.LoggerOptions{Output: &log}),
		})
		lease := newFakeLease(table)
		runPasses := func() {
			for range 2000 {
				qt.Assert(t, holder.Pass(t.Context(), lease), qt.IsNil)
				down := 0
				all, err := pool.NewStore(table).ListReadable(t.Context(), func(string, error) { down++ })
				qt.Assert(t, err, qt.IsNil)
				for _, row := range all {
					if row.Down() {
						down++
					}
				}
				qt.Assert(t, down <= 2, qt.IsTrue, qt.Commentf("%d down", down))
				time.Sleep(500 * time.Millisecond)
			}
		}
		runPasses()
		for id, m := range fleet.instances {
			want := 1
			if id == "desk-003" {
				want = 0
			}
			qt.Assert(t, m.reboots, qt.Equals, want, qt.Commentf("%s", id))
		}
		qt.Assert(t, waveState(t, table, "kernel"), qt.Equals, wave.StateRunning)
		for _, line := range []string{"kind=instance id=desk-003", "kind=wave id=other"} {
			qt.Assert(t, log.String(), qt.Contains, line)
		}

		restore()
		runPasses()
		qt.Assert(t, fleet.instances["desk-003"].reboots, qt.Equals, 1)
		qt.Assert(t, waveState(t, table, "kernel"), qt.Equals, wave.StateDone)
	})
}

// TestUnreadableRowsOfJobs guards against one row that stops all jobs of a data centre, so that their tasks lose their leases, and against
// a task that is lost or shares its worker because the row of its job cannot be read.
func TestUnreadableRowsOfJobs(t *testing.T) {
	tests := map[string]struct {
		key func(running job.Job) string
		// after is the time after the start of the job. Workers report with a lag of a second.
		after time.Duration
	}{
		"job":                     {func(running job.Job) string { return "job/" + running.ID }, 5 * time.Second},
		"instance":                {func(running job.Job) string { return pool.InstanceKey(running.Worker) }, 5 * time.Second},
		"instance, no report yet": {func(running job.Job) string { return pool.InstanceKey(running.Worker) }, 500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newJobsHarness(t, 2)
				r.platform.Tasks().SetBehaviour("long", standin.Behaviour{RunTime: 3 * time.Minute})
				r.platform.Tasks().SetBehaviour("short", standin.Behaviour{RunTime: 10 * time.Second})
				long := r.submit(job.Spec{Kind: "long", Cores: 48})
				r.runPasses(tt.after)
				running := r.job(long)
				qt.Assert(t, running.State, qt.Equals, job.StateRunning)
				restore := overwrite(t, r.platform.Table(), tt.key(running))
				ids := r.submitMany(4, job.Spec{Kind: "short", Cores: 32})
				for range 60 {
					r.runPasses(time.Second)
					for _, id := range ids {
						qt.Assert(t, r.job(id).Worker, qt.Not(qt.Equals), running.Worker)
					}
				}
				r.checkStates(ids, job.StateDone)
				restore()
				r.runPasses(3 * time.Minute)
				qt.Assert(t, r.job(long).State, qt.Equals, job.StateDone)
				qt.Assert(t, r.job(long).Attempt, qt.Equals, running.Attempt)
			})
		})
	}
}

// TestUnreadableRowsOfOperations guards against an operator who sees no instances, waves or jobs because one row cannot be read.
func TestUnreadableRowsOfOperations(t *testing.T) {
	table, fleet := standin.NewTable(), newFakeFleet(time.Second)
	pools := []pool.Pool{mustPool(pool.Spec{Name: "desk", MaxUnavailable: "50%"})}
	fleet.addPool(table, "desk", 3)
	ops := duty.NewOperations(duty.OperationsOptions{
		Table: table, Instances: fleet, Pools: func() []pool.Pool { return pools }, HasTeam: func(string) bool { return true },
	})
	_, err := ops.CreateWave(t.Context(), wave.Spec{Name: "kernel"})
	qt.Assert(t, err, qt.IsNil)
	submitted, err := ops.SubmitJob(t.Context(), job.Spec{Kind: "k", Team: "planning", Cores: 1, Memory: 1})
	qt.Assert(t, err, qt.IsNil)
	overwrite(t, table, pool.InstanceKey("desk-001"))
	for _, key := range []string{"wave/other", "job/dc0.other"} {
		qt.Assert(t, table.Commit(t.Context(), provider.Txn{Writes: []provider.Write{{Key: key, Value: []byte("{")}}}), qt.IsNil)
	}
	instances, err := ops.ListInstances(t.Context(), "desk")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, slices.ContainsFunc(instances, func(v duty.InstanceView) bool { return v.ID == "desk-002" }), qt.IsTrue)
	waves, err := ops.ListWaves(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, waves, qt.HasLen, 1)
	jobs, err := ops.ListJobs(t.Context(), "dc0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, jobs, qt.HasLen, 1)
	qt.Assert(t, jobs[0].ID, qt.Equals, submitted.ID)
	// A wave that cannot be read may cover the pool, and an instance may be down.
	_, err = ops.CreateWave(t.Context(), wave.Spec{Name: "second"})
	qt.Assert(t, err, qt.ErrorMatches, `.*row "wave/other" is not a wave.*`)
}
