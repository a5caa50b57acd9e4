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
	t     *testing.T
	core  *Core
	now   time.Duration
	exits map[string][]worker.Exit
	runs  map[string][]worker.Run
}

const rigIncarnation = 1

func rigBounds() Bounds {
	return Bounds{
		MaxLease: 10 * time.Second, StopTimeout: 900 * time.Millisecond, GangTimeout: 3 * time.Second, InstanceCommandInterval: 3 * time.Second,
		Retention: 120 * time.Second, MaintenanceDuration: 2 * time.Second, MoveDuration: 1500 * time.Millisecond,
	}
}

func newRig(t *testing.T, tenure int, workers ...string) *rig {
	r := &rig{t: t, now: time.Minute, exits: make(map[string][]worker.Exit), runs: make(map[string][]worker.Run)}
	r.core = NewCore(Options{Bounds: rigBounds(), Fence: uint64(10 * tenure), Term: tenure, AcquiredAt: r.now})
	r.core.SetCatalog(catalog.New(1, 0, []catalog.Queue{{
		Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond,
	}}, []catalog.Pool{{Name: "p"}}, []catalog.Team{{Name: "limited", Limit: work.Resources{CPU: 2000}}}))
	r.register(workers...)
	for _, id := range workers {
		r.reply(id)
	}
	return r
}

// list puts workers of four cores into the registry.
func (r *rig) register(ids ...string) {
	reports := make([]worker.Report, 0, len(ids))
	for _, id := range ids {
		reports = append(reports, worker.Report{
			ID: id, Pool: "p", Address: id + ":1", Incarnation: rigIncarnation, Labels: []string{"a", "r1-1"},
			Capacity: work.Resources{CPU: 4000, Memory: 4000},
		})
	}
	r.core.SetWorkers(reports)
}

// answer lets a worker answer a renewal with what the test says it runs. It answers twice, since the first renewal does
// not know its clock.
func (r *rig) reply(id string) {
	for range 2 {
		renewal, ok := r.core.Renewal(id)
		qt.Assert(r.t, ok, qt.IsTrue)
		status := worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: rigIncarnation}, Running: r.runs[id]}
		for _, e := range r.exits[id] {
			if e.Seq > renewal.Command.AcknowledgedSeq {
				status.Exited = append(status.Exited, e)
			}
		}
		r.core.HandleStatus(id, status, r.now, nil)
	}
}

// wait lets time pass without an event.
func (r *rig) advance(d time.Duration) {
	r.now += d
	r.core.SetTime(r.now)
}

// pass schedules and returns the orders, and stores what has changed.
func (r *rig) pass() []Command {
	commands := r.core.Schedule(r.now)
	r.store()
	return append(commands, r.core.Schedule(r.now)...)
}

func (r *rig) store() {
	b := r.core.TakeBatch(100)
	r.core.BatchStored(b)
}

// accept lets the workers carry out starts.
func (r *rig) accept(commands []Command) {
	for _, cmd := range commands {
		r.core.HandleReply(cmd, worker.Reply{Clock: r.now}, r.now, nil)
		if cmd.Kind == CommandStart {
			r.runs[cmd.Target.ID] = append(r.runs[cmd.Target.ID], worker.Run{Task: cmd.Start.Task, Number: cmd.Start.Run, SpeedPercent: 100})
		}
	}
}

// finish ends the runs on a worker.
func (r *rig) finish(id string, how worker.ExitReason) {
	for _, run := range r.runs[id] {
		r.exits[id] = append(r.exits[id], worker.Exit{Seq: uint64(len(r.exits[id]) + 1), Task: run.Task, Number: run.Number, Reason: how})
	}
	r.runs[id] = nil
}

// add submits a job whose steps follow each other, with tasks of one core.
func (r *rig) addSteps(id string, counts ...int) *job {
	doc := work.Job{ID: id, Queue: "q", Pool: "p"}
	for i, n := range counts {
		s := work.Step{Count: n, Request: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second}
		if i > 0 {
			s.DependsOn = []int{i - 1}
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
func startsOf(commands []Command) []string {
	var list []string
	for _, cmd := range commands {
		if cmd.Kind == CommandStart {
			t := cmd.Start.Task
			list = append(list, fmt.Sprintf("%s %d.%d.%d %d %s", t.Job, t.Occurrence, t.Step, t.Index, cmd.Start.Run, cmd.Target.ID))
		}
	}
	return list
}

func countStops(commands []Command) (n int) {
	for _, cmd := range commands {
		if cmd.Kind == CommandStop {
			n++
		}
	}
	return n
}
