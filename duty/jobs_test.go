package duty_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/allotment"
	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/job"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

const gib = 1 << 30

// jobsHarness is a data centre with workers, and one process that holds its jobs duty.
type jobsHarness struct {
	t        *testing.T
	platform *standin.Platform
	fleet    *fakeFleet
	store    *job.Store
	options  duty.JobsOptions
	holder   *duty.Jobs
	lease    *fakeLease
}

// newJobsHarness has n workers of 64 cores in dc0.
func newJobsHarness(t *testing.T, n int) *jobsHarness {
	r := &jobsHarness{t: t, platform: standin.New(standin.Options{StatusLag: time.Second}), fleet: newFakeFleet(time.Second)}
	r.fleet.addPool(r.platform.Table(), "support", 3*n)
	r.store = job.NewStore(r.platform.Table(), nil)
	r.options = duty.JobsOptions{
		Table: r.platform.Table(), Instances: r.fleet, Tasks: r.platform.Tasks(), DataCentres: func() []string { return []string{"dc0"} },
	}
	r.takeOver()
	return r
}

func (r *jobsHarness) takeOver() {
	r.holder, r.lease = duty.NewJobs(r.options), newFakeLease(r.platform.Table())
}

func (r *jobsHarness) submit(spec job.Spec) string {
	if spec.Team == "" {
		spec.Team = "planning"
	}
	if spec.Memory == 0 {
		spec.Memory = gib
	}
	j, err := job.New(spec, "dc0", time.Now())
	qt.Assert(r.t, err, qt.IsNil)
	qt.Assert(r.t, r.store.Submit(r.t.Context(), j), qt.IsNil)
	return j.ID
}

// submitMany submits n jobs and returns their IDs.
func (r *jobsHarness) submitMany(n int, spec job.Spec) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = r.submit(spec)
	}
	return ids
}

func (r *jobsHarness) checkStates(ids []string, want job.State) {
	r.t.Helper()
	for _, id := range ids {
		qt.Check(r.t, r.job(id).State, qt.Equals, want, qt.Commentf("job %s", id))
	}
}

// runPasses runs a pass every 500 ms for the given time.
func (r *jobsHarness) runPasses(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		qt.Assert(r.t, r.holder.Pass(r.t.Context(), r.lease), qt.IsNil)
	}
}

func (r *jobsHarness) job(id string) job.Job {
	stored, err := r.store.Get(r.t.Context(), id)
	qt.Assert(r.t, err, qt.IsNil)
	return stored.Job
}

// TestJobs guards against jobs that are lost, run twice or are never given up, and against jobs that delay urgent
// work or a planned stop.
func TestJobs(t *testing.T) {
	tests := map[string]func(t *testing.T, r *jobsHarness){
		"done once after takeovers and stale passes": func(t *testing.T, r *jobsHarness) {
			r.platform.Tasks().SetBehaviour("dye", standin.Behaviour{RunTime: 20 * time.Second})
			id := r.submit(job.Spec{Kind: "dye", Cores: 4})
			for range 10 {
				r.runPasses(3 * time.Second)
				old, oldLease := r.holder, r.lease
				r.takeOver()
				qt.Assert(t, old.Pass(t.Context(), oldLease), qt.IsNil)
			}
			qt.Assert(t, r.job(id).State, qt.Equals, job.StateDone)
			qt.Assert(t, r.job(id).Attempt, qt.Equals, 1)
		},
		"given up after three workers": func(t *testing.T, r *jobsHarness) {
			r.platform.Tasks().SetBehaviour("bad", standin.Behaviour{RunTime: time.Second, Fails: true})
			id := r.submit(job.Spec{Kind: "bad", Cores: 4})
			r.runPasses(30 * time.Second)
			qt.Assert(t, r.job(id).State, qt.Equals, job.StateFailed)
			qt.Assert(t, r.job(id).Reason, qt.Matches, `given up after 3 runs on .*`)
		},
		"bad jobs do not blame the last worker": func(_ *testing.T, r *jobsHarness) {
			// The model test found this as "jobs do not end" with seed 3329698745668855665.
			r.fleet.instances["support-000"].restart(time.Hour)
			var ids []string
			for i := range 4 {
				kind := fmt.Sprintf("bad%d", i)
				r.platform.Tasks().SetBehaviour(kind, standin.Behaviour{RunTime: time.Second, Fails: true})
				ids = append(ids, r.submit(job.Spec{Kind: kind, Cores: 4}))
			}
			r.runPasses(15 * time.Minute)
			r.checkStates(ids, job.StateFailed)
		},
		"failed on every worker": func(t *testing.T, r *jobsHarness) {
			r.platform.Tasks().SetBehaviour("bad", standin.Behaviour{RunTime: time.Second, Fails: true})
			id := r.submit(job.Spec{Kind: "bad", Cores: 4, MaxFailures: 9})
			r.runPasses(30 * time.Second)
			qt.Assert(t, r.job(id).State, qt.Equals, job.StateFailed)
			qt.Assert(t, r.job(id).Reason, qt.Matches, `failed on every worker that is large enough: .*`)
		},
		"larger than every worker": func(t *testing.T, r *jobsHarness) {
			id := r.submit(job.Spec{Kind: "huge", Cores: 65})
			r.runPasses(3 * time.Second)
			qt.Assert(t, r.job(id).State, qt.Equals, job.StateImpossible)
		},
		"bad worker is quarantined": func(t *testing.T, r *jobsHarness) {
			r.platform.Tasks().SetWorkerBroken("support-000", true)
			var ids []string
			for i := range 8 {
				kind := fmt.Sprintf("kind%d", i)
				r.platform.Tasks().SetBehaviour(kind, standin.Behaviour{RunTime: 2 * time.Second})
				ids = append(ids, r.submit(job.Spec{Kind: kind, Cores: 16}))
			}
			r.runPasses(20 * time.Second)
			r.checkStates(ids, job.StateDone)
			qt.Check(t, r.holder.Quarantined("dc0"), qt.DeepEquals, []string{"support-000"})
		},
		"urgent work makes room": func(t *testing.T, r *jobsHarness) {
			r.submitMany(8, job.Spec{Kind: "batch", Cores: 32, Memory: 100 * gib})
			r.runPasses(10 * time.Second)
			states := func() (slow, stopped int) {
				jobs, err := r.store.List(t.Context(), "dc0")
				qt.Assert(t, err, qt.IsNil)
				for _, j := range jobs {
					if j.Throttled {
						slow++
					}
					if j.State == job.StateQueued && j.Checkpoint != "" {
						stopped++
					}
				}
				return slow, stopped
			}
			for i, memory := range []int64{gib, 200 * gib} {
				id := r.submit(job.Spec{Kind: "quote", Cores: 16, Memory: memory, Urgent: true})
				r.runPasses(3 * time.Second)
				j := r.job(id)
				qt.Assert(t, j.State, qt.Equals, job.StateRunning)
				qt.Assert(t, j.WaitTime(time.Now()) < 2100*time.Millisecond, qt.IsTrue)
				slow, stopped := states()
				qt.Assert(t, slow+stopped, qt.Equals, i+1)
				qt.Assert(t, stopped, qt.Equals, 2*i)
			}
		},
		"cancellations keep no placement waiting": func(t *testing.T, r *jobsHarness) {
			cancelled := r.submitMany(256, job.Spec{Kind: "batch", Cores: 1})
			r.runPasses(5 * time.Second)
			for _, id := range cancelled {
				_, err := r.store.Cancel(t.Context(), id, time.Now())
				qt.Assert(t, err, qt.IsNil)
			}
			other := r.submit(job.Spec{Kind: "other", Cores: 1})
			r.runPasses(time.Second)
			qt.Assert(t, r.job(other).State, qt.Equals, job.StateRunning)
			r.runPasses(5 * time.Second)
			r.checkStates(cancelled, job.StateCancelled)
			qt.Assert(t, r.job(other).State, qt.Equals, job.StateRunning)
		},
		"workers in maintenance are vacated": func(t *testing.T, r *jobsHarness) {
			id := r.submit(job.Spec{Kind: "batch", Cores: 4})
			r.runPasses(3 * time.Second)
			rows := pool.NewStore(r.platform.Table())
			row, err := rows.Get(t.Context(), r.job(id).Worker)
			qt.Assert(t, err, qt.IsNil)
			next := row.Transition(time.Now(), pool.StateDraining)
			next.Operation = "wave/w"
			qt.Assert(t, rows.Update(t.Context(), row, next), qt.IsNil)
			r.runPasses(3 * time.Second)
			j := r.job(id)
			qt.Assert(t, j.State, qt.Equals, job.StateRunning)
			qt.Assert(t, j.Worker, qt.Not(qt.Equals), row.ID)
			qt.Assert(t, j.Checkpoint, qt.Not(qt.Equals), "")
		},
		"sizes are learned": func(_ *testing.T, r *jobsHarness) {
			r.platform.Tasks().SetBehaviour("small", standin.Behaviour{RunTime: 2 * time.Second, Cores: 1, Memory: gib})
			r.submitMany(5, job.Spec{Kind: "small", Cores: 64, Memory: 256 * gib})
			r.runPasses(15 * time.Second)
			r.platform.Tasks().SetBehaviour("small", standin.Behaviour{Cores: 1, Memory: gib})
			r.takeOverAfter(40 * time.Second)
			ids := r.submitMany(100, job.Spec{Kind: "small", Cores: 64, Memory: 256 * gib})
			r.runPasses(3 * time.Second)
			r.checkStates(ids, job.StateRunning)
		},
		"ended jobs are archived": func(t *testing.T, r *jobsHarness) {
			r.options.Objects = r.platform.Objects()
			r.takeOver()
			r.platform.Tasks().SetBehaviour("short", standin.Behaviour{RunTime: time.Second})
			id := r.submit(job.Spec{Kind: "short", Cores: 1})
			r.runPasses(10 * time.Second)
			time.Sleep(2 * time.Hour)
			r.runPasses(time.Second)
			_, err := r.store.Get(t.Context(), id)
			qt.Assert(t, err, qt.ErrorIs, provider.ErrNotFound)
			data, err := r.platform.Objects().Get(t.Context(), "jobs/dc0/"+id+".json")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(data), qt.Contains, `"state":"done"`)
		},
		"limit of the team": func(t *testing.T, r *jobsHarness) {
			holder := allotment.NewHolder(allotment.Options{Table: r.platform.Table(), Holder: "a"})
			holder.SetLimits(1, map[string]int{"planning": 3})
			qt.Assert(t, holder.Start(t.Context()), qt.IsNil)
			r.options.Limits = job.TeamLimits{Table: r.platform.Table(), Limit: func(string) int { return 3 }, Holder: holder}
			r.takeOver()
			r.platform.Tasks().SetBehaviour("batch", standin.Behaviour{RunTime: 5 * time.Second})
			ids := r.submitMany(9, job.Spec{Kind: "batch", Cores: 1})
			for range 120 {
				r.runPasses(500 * time.Millisecond)
				running := 0
				for _, id := range ids {
					if r.job(id).Worker != "" {
						running++
					}
				}
				qt.Assert(t, running <= 3, qt.IsTrue)
			}
			r.checkStates(ids, job.StateDone)
			qt.Assert(t, holder.Stop(t.Context()), qt.IsNil)
		},
		"worker that disappears": func(t *testing.T, r *jobsHarness) {
			id := r.submit(job.Spec{Kind: "batch", Cores: 4})
			r.runPasses(3 * time.Second)
			first := r.job(id).Worker
			r.options.Tasks = &silentTasks{Tasks: r.platform.Tasks(), worker: first}
			r.takeOver()
			r.runPasses(3 * time.Minute)
			qt.Assert(t, r.job(id).State, qt.Equals, job.StateRunning)
			qt.Assert(t, r.job(id).Attempt > 1, qt.IsTrue)
		},
		"given up after three workers were lost under it": func(t *testing.T, r *jobsHarness) {
			deadly := r.submit(job.Spec{Kind: "deadly", Cores: 4})
			other := r.submit(job.Spec{Kind: "batch", Cores: 64})
			lost := make(map[string]bool)
			r.options.Tasks = &deadlyTasks{Tasks: r.platform.Tasks(), job: deadly, lost: lost, crash: r.fleet.remove}
			r.takeOver()
			for range 20 {
				r.runPasses(time.Minute)
				// The next holder of the duty knows the earlier losses from the row.
				r.takeOver()
			}
			qt.Assert(t, r.job(deadly).State, qt.Equals, job.StateFailed)
			qt.Assert(t, r.job(deadly).Reason, qt.Matches, `given up after 3 runs on workers that were lost soon after, .*`)
			qt.Assert(t, lost, qt.HasLen, 3)
			qt.Assert(t, r.job(other).State, qt.Equals, job.StateRunning)
		},
		"not given up for workers that are cut off": func(t *testing.T, r *jobsHarness) {
			id := r.submit(job.Spec{Kind: "batch", Cores: 4})
			cut := &deadlyTasks{Tasks: r.platform.Tasks(), job: id, lost: make(map[string]bool)}
			r.options.Tasks = cut
			r.takeOver()
			for r.job(id).Attempt < 4 {
				r.runPasses(time.Minute)
				r.takeOver()
				qt.Assert(t, r.job(id).State, qt.Not(qt.Equals), job.StateFailed)
			}
			qt.Assert(t, cut.lost, qt.HasLen, 4)
			r.options.Tasks = r.platform.Tasks()
			r.takeOver()
			r.runPasses(time.Minute)
			qt.Assert(t, r.job(id).State, qt.Equals, job.StateRunning)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newJobsHarness(t, 4)) })
		})
	}
}

func (r *jobsHarness) takeOverAfter(length time.Duration) {
	r.runPasses(length)
	r.takeOver()
}

// silentTasks hides the reports of one worker.
type silentTasks struct {
	provider.Tasks
	worker string
}

func (s *silentTasks) Status(ctx context.Context, workers ...string) ([]provider.TaskStatus, error) {
	all, err := s.Tasks.Status(ctx, workers...)
	var shown []provider.TaskStatus
	for _, status := range all {
		if status.Worker != s.worker {
			shown = append(shown, status)
		}
	}
	return shown, err
}

// deadlyTasks hides the reports of each worker on which a job was started, as if the job had taken it down for good, or it were cut off.
type deadlyTasks struct {
	provider.Tasks
	job  string
	lost map[string]bool
	// crash makes the platform list a worker no longer. It is nil for a cut.
	crash func(worker string)
}

func (d *deadlyTasks) Start(ctx context.Context, spec provider.TaskSpec) error {
	if spec.Job == d.job {
		d.lost[spec.Worker] = true
		if d.crash != nil {
			d.crash(spec.Worker)
		}
	}
	return d.Tasks.Start(ctx, spec)
}

func (d *deadlyTasks) Status(ctx context.Context, workers ...string) ([]provider.TaskStatus, error) {
	all, err := d.Tasks.Status(ctx, workers...)
	return slices.DeleteFunc(all, func(s provider.TaskStatus) bool { return s.Job == d.job && d.lost[s.Worker] }), err
}
