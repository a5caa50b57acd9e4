package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// rig is a core with workers that a test answers for.
type rig struct {
	t    *testing.T
	core *Core
	now  time.Duration
	ends map[string][]worker.End
	runs map[string][]worker.Run
}

const rigBorn = 1

func rigBounds() Bounds {
	return Bounds{
		MaxLease: 10 * time.Second, StopTimeout: 900 * time.Millisecond, GangTimeout: 3 * time.Second, InstanceCommandInterval: 3 * time.Second,
		Retention: 120 * time.Second, MaintenanceDuration: 2 * time.Second, MoveDuration: 1500 * time.Millisecond,
	}
}

func newRig(t *testing.T, tenure int, workers ...string) *rig {
	r := &rig{t: t, now: time.Minute, ends: make(map[string][]worker.End), runs: make(map[string][]worker.Run)}
	r.core = NewCore(Options{Bounds: rigBounds(), Fence: uint64(10 * tenure), Term: tenure, AcquiredAt: r.now})
	r.core.SetCatalog(catalog.New(1, 0, []catalog.Queue{{
		Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6, Goal: 600 * time.Millisecond,
	}}, []catalog.Pool{{Name: "p"}}, []catalog.Team{{Name: "limited", Limit: work.Resources{CPU: 2000}}}))
	r.list(workers...)
	for _, id := range workers {
		r.answer(id)
	}
	return r
}

// list puts workers of four cores into the registry.
func (r *rig) list(ids ...string) {
	reports := make([]worker.Report, 0, len(ids))
	for _, id := range ids {
		reports = append(reports, worker.Report{
			ID: id, Pool: "p", Address: id + ":1", Born: rigBorn, Labels: []string{"a", "r1-1"},
			Capacity: work.Resources{CPU: 4000, Memory: 4000},
		})
	}
	r.core.SetWorkers(reports)
}

// answer lets a worker answer a renewal with what the test says it runs. It answers twice, since the first renewal does
// not know its clock.
func (r *rig) answer(id string) {
	for range 2 {
		renewal, ok := r.core.Renewal(id)
		qt.Assert(r.t, ok, qt.IsTrue)
		status := worker.Status{Reply: worker.Reply{Clock: r.now, Born: rigBorn}, Running: r.runs[id]}
		for _, e := range r.ends[id] {
			if e.Seq > renewal.Command.Acknowledged {
				status.Ended = append(status.Ended, e)
			}
		}
		r.core.HandleStatus(id, status, r.now, nil)
	}
}

// wait lets time pass without an event.
func (r *rig) wait(d time.Duration) {
	r.now += d
	r.core.SetTime(r.now)
}

// pass schedules and returns the orders, and stores what has changed.
func (r *rig) pass() []Command {
	orders := r.core.Schedule(r.now)
	r.store()
	return append(orders, r.core.Schedule(r.now)...)
}

func (r *rig) store() {
	b := r.core.TakeBatch(100)
	r.core.BatchStored(b)
}

// accept lets the workers carry out starts.
func (r *rig) accept(orders []Command) {
	for _, o := range orders {
		r.core.HandleReply(o, worker.Reply{Clock: r.now}, r.now, nil)
		if o.Kind == CommandStart {
			r.runs[o.Target.ID] = append(r.runs[o.Target.ID], worker.Run{Task: o.Start.Task, Number: o.Start.Run, Percent: 100})
		}
	}
}

// finish ends the runs on a worker.
func (r *rig) finish(id string, how worker.EndKind) {
	for _, run := range r.runs[id] {
		r.ends[id] = append(r.ends[id], worker.End{Seq: uint64(len(r.ends[id]) + 1), Task: run.Task, Number: run.Number, How: how})
	}
	r.runs[id] = nil
}

// add submits a job whose steps follow each other, with tasks of one core.
func (r *rig) add(id string, counts ...int) *job {
	doc := work.Job{ID: id, Queue: "q", Pool: "p"}
	for i, n := range counts {
		s := work.Step{Count: n, Request: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second}
		if i > 0 {
			s.After = []int{i - 1}
		}
		doc.Steps = append(doc.Steps, s)
	}
	return r.addJob(doc)
}

func (r *rig) addJob(doc work.Job) *job {
	qt.Assert(r.t, doc.Validate(), qt.IsNil)
	r.core.AddJob(doc, nil, 0)
	return r.core.jobs[doc.ID]
}

// starts returns where tasks are started, as "job task run worker".
func starts(orders []Command) []string {
	var list []string
	for _, o := range orders {
		if o.Kind == CommandStart {
			t := o.Start.Task
			list = append(list, fmt.Sprintf("%s %d.%d.%d %d %s", t.Job, t.Occurrence, t.Step, t.Index, o.Start.Run, o.Target.ID))
		}
	}
	return list
}

func stops(orders []Command) (n int) {
	for _, o := range orders {
		if o.Kind == CommandStop {
			n++
		}
	}
	return n
}
