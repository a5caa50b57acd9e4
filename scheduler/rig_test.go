package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// rig is a core whose workers are played by the test.
type rig struct {
	t     *testing.T
	core  *Core
	now   time.Duration
	exits map[string][]worker.Exit
	runs  map[string][]worker.Run
	// stored counts the batches that were stored.
	stored uint64
	// leases is the record of leases that is stored, and roster the entries of the workers.
	leases leaserecord.Entries
	roster map[string]RosterEntry
}

const rigIncarnation = 1

func rigBounds() Bounds {
	return Bounds{
		MaxLease: 10 * time.Second, StopTimeout: 900 * time.Millisecond, GangTimeout: 3 * time.Second, InstanceCommandInterval: 3 * time.Second,
		Retention: 120 * time.Second, MaintenanceDuration: 2 * time.Second, MoveDuration: 1500 * time.Millisecond,
	}
}

func newRig(t *testing.T, term int, workers ...string) *rig {
	r := &rig{t: t, now: time.Minute, exits: make(map[string][]worker.Exit), runs: make(map[string][]worker.Run), roster: make(map[string]RosterEntry)}
	r.core = NewCore(Options{Bounds: rigBounds(), Fence: uint64(10 * term), Term: term, AcquiredAt: r.now, EarlierLeadersUntil: r.now})
	r.core.SetCatalog(catalog.New(1, 0, []catalog.Queue{{
		Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond,
	}}, []catalog.Pool{{Name: "p"}}, []catalog.Team{{Name: "limited", Limit: work.Resources{CPU: 2000}}}))
	r.register(workers...)
	for _, id := range workers {
		r.reply(id)
	}
	return r
}

// register sets the workers in the registry. Each has four cores.
func (r *rig) register(ids ...string) {
	r.setCapacity(work.Resources{CPU: 4000, Memory: 4000}, ids...)
}

// setCapacity sets the workers in the registry, with the same capacity.
func (r *rig) setCapacity(capacity work.Resources, ids ...string) {
	reports := make([]worker.Report, 0, len(ids))
	for _, id := range ids {
		reports = append(reports, rigReport(id, capacity))
	}
	r.core.SetWorkers(reports)
}

func rigReport(id string, capacity work.Resources) worker.Report {
	return worker.Report{ID: id, Pool: "p", Address: id + ":1", Incarnation: rigIncarnation, Labels: []string{"a", "r1-1"}, Capacity: capacity}
}

// reply makes a worker answer a renewal with the runs and exits that the test has set. It answers twice, since the core
// does not know the worker's clock at the first renewal.
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
		r.core.HandleStatus(renewal.call, status, r.now, nil)
	}
}

// advance lets time pass without an event.
func (r *rig) advance(d time.Duration) {
	r.now += d
	r.core.SetTime(r.now)
	r.core.SetConfirmed(r.now)
}

// passUntil runs passes until a time, as often as a leader does at least.
func (r *rig) passUntil(end time.Duration) {
	for r.now < end {
		r.advance(min(maxPassGap, end-r.now))
		r.schedule()
	}
}

// schedule runs a pass and returns the commands.
func (r *rig) schedule() []Command {
	r.core.Schedule(r.now)
	return r.core.TakeCommands()
}

// pass schedules, stores what has changed, and returns the commands.
func (r *rig) pass() []Command {
	commands := r.schedule()
	r.store()
	return append(commands, r.schedule()...)
}

func (r *rig) store() {
	b := r.core.TakeBatch(100)
	if b.LeaseEnds != nil {
		r.leases = b.LeaseEnds
	}
	for id, entry := range b.Roster {
		delete(r.roster, id)
		if entry != nil {
			r.roster[id] = *entry
		}
	}
	r.stored++
	r.core.SetStoredVersion(r.core.options.Fence + r.stored)
	r.core.BatchStored(b)
}

// accept makes the workers carry out start commands.
func (r *rig) accept(commands []Command) {
	for _, cmd := range commands {
		r.core.HandleReply(cmd, worker.Reply{Clock: r.now}, r.now, nil)
		if cmd.Kind == CommandStart {
			r.runs[cmd.Target.ID] = append(r.runs[cmd.Target.ID], worker.Run{Task: cmd.Start.Task, Number: cmd.Start.Run, SpeedPercent: 100})
		}
	}
}

// finish makes all runs on a worker exit.
func (r *rig) finish(id string, reason worker.ExitReason) {
	for _, run := range r.runs[id] {
		r.exits[id] = append(r.exits[id], worker.Exit{Seq: uint64(len(r.exits[id]) + 1), Task: run.Task, Number: run.Number, Reason: reason})
	}
	r.runs[id] = nil
}

// addSteps adds a job whose steps follow each other, with tasks of one core. counts are the tasks of each step.
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

// startsOf lists the start commands as "job task run worker".
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

// callTo returns a call to the present life of a worker.
func (r *rig) callTo(id string) call { return r.core.newCall(r.core.workers[id]) }
