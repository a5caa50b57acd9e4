package scheduler

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/internal/jobs/runtimes"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// copiesPlay watches plays of the leaders model with a job of two speculative steps.
type copiesPlay struct {
	*leadersModel
	// takes holds how long tasks take on each worker, and fails which of their runs fail.
	takes []time.Duration
	fails map[int]bool
	// begun holds the time since which each run is at work.
	begun map[copiesRun]time.Duration
	// doneAt is the time at which each task was stored as done, and failures the number of failed runs stored.
	doneAt   map[work.Task]time.Duration
	failures map[work.Task]int
	// nextAt is the time at which another job of the team comes.
	nextAt time.Duration
	// urgent means that the other job takes the room of the first one, whose tasks have no copies. preempted counts the runs that were stopped.
	urgent    bool
	preempted uint64
	// others holds a service and a gang, which are never preempted.
	others []work.Job
	// most is the largest number of runs of a task at the same time.
	most int
}

type copiesRun struct {
	worker, number int
	task           work.Task
}

const (
	copiesAttempts = 2
	// copiesMaxRuns is the number of runs that a task may have at a time. A run whose worker is cut off goes on until its lease ends, and
	// is replaced only then.
	copiesMaxRuns = 2
)

func newCopiesPlay(rt *rapid.T, events []modelEvent) *copiesPlay {
	m := newLeadersModel(rt, events)
	m.limited, m.doc.Team = true, "limited"
	step := work.Step{Count: 2, Request: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second, Speculative: true}
	second := step
	second.DependsOn = []int{0}
	m.doc.Steps = []work.Step{step, second, second}
	m.doc.Steps[2].DependsOn = []int{1}
	m.next = m.doc
	m.next.ID = "b"
	p := &copiesPlay{
		nextAt:       m.now + drawTime(rt, "next", time.Second, 12*time.Second),
		leadersModel: m, begun: make(map[copiesRun]time.Duration), doneAt: make(map[work.Task]time.Duration), failures: make(map[work.Task]int),
		fails: rapid.MapOfN(rapid.IntRange(0, 30), rapid.Just(true), 0, 6).Draw(rt, "fails"),
	}
	for range modelZones {
		p.takes = append(p.takes, rapid.SampledFrom([]time.Duration{time.Second, time.Second, 1400 * time.Millisecond, 6 * time.Second}).Draw(rt, "takes"))
	}
	m.copies = p
	return p
}

// teach lets a leader know that the tasks of the first job take as long as estimated.
func (p *copiesPlay) teach(c *Core) {
	for i, s := range p.doc.Steps {
		class := runtimes.Class{Queue: p.doc.Queue, Step: i, Steps: len(p.doc.Steps), Image: s.Image, CPU: s.Request.CPU, Estimate: s.Estimate}
		for range 100 {
			c.learned.Model().Observe(class, s.Estimate, p.now)
		}
	}
}

// endRuns ends the runs that have taken long enough.
func (p *copiesPlay) endRuns() {
	begun := make(map[copiesRun]time.Duration)
	for i, w := range p.workers {
		for _, task := range sortedTasks(w.runs) {
			r := copiesRun{i, w.runs[task], task}
			since, ok := p.begun[r]
			if !ok {
				since = p.now
			}
			if p.now < since+p.takes[i] || task.Job == "service" {
				begun[r] = since
				continue
			}
			reason := worker.ExitDone
			if p.fails[r.number*7%31] {
				reason = worker.ExitFailed
			}
			delete(w.runs, task)
			w.exits = append(w.exits, worker.Exit{Seq: uint64(len(w.exits) + 1), Task: task, Number: r.number, Reason: reason})
		}
	}
	p.begun = begun
}

// sortedTasks returns the tasks of runs in an order that is the same in each play.
func sortedTasks(runs map[work.Task]int) []work.Task {
	return slices.SortedFunc(maps.Keys(runs), work.Task.Compare)
}

// check reads what is stored and counts the runs of each task.
func (p *copiesPlay) check() {
	runs := make(map[work.Task]int)
	for _, w := range p.workers {
		for task := range w.runs {
			runs[task]++
			p.most = max(p.most, runs[task])
			if runs[task] > copiesMaxRuns {
				p.rt.Fatalf("%s: task %d.%d has %d runs", p.now-time.Minute, task.Step, task.Index, runs[task])
			}
		}
	}
	for _, n := range p.nodes {
		if n.core != nil {
			p.checkOthers(n.core)
		}
	}
	for _, doc := range []work.Job{p.doc, p.next} {
		if value, ok := p.progress[doc.ID]; ok {
			p.read(doc, value)
		}
	}
}

// checkOthers checks that no leader has preempted a task of a service or a gang.
func (p *copiesPlay) checkOthers(c *Core) {
	for _, doc := range p.others {
		s, ok := c.findStep(work.Task{Job: doc.ID})
		for i := range doc.Steps[0].Count {
			if ok && !s.preempted.Allows(i, c.now) {
				p.rt.Fatalf("%s: task %d of the %s is preempted", p.now-time.Minute, i, doc.ID)
			}
		}
	}
}

// read notes what is stored of a job.
func (p *copiesPlay) read(doc work.Job, value []byte) {
	var progress work.Progress
	if err := cbor.Unmarshal(value, &progress); err != nil {
		p.rt.Fatal(err)
	}
	for step := range doc.Steps {
		for index := range doc.Steps[step].Count {
			task := work.Task{Job: doc.ID, Step: step, Index: index}
			o := progress.Occurrences[0]
			if p.doneAt[task] == 0 && (progress.Complete[0] || o != nil && o.Steps[step].IsDone(index)) {
				p.doneAt[task] = p.now
			}
			if o != nil {
				p.failures[task] = max(p.failures[task], len(o.Steps[step].Failures[index]))
			}
		}
	}
}

// checkStart checks a start that a leader sends. One that another process has replaced may not know of the latest batch yet.
func (p *copiesPlay) checkStart(n *modelNode, start worker.StartCommand) {
	if p.row.version != n.fence {
		return
	}
	task := start.Task
	p.preempted += n.core.counts.Decisions[Decision{"preemption", "stopped"}]
	if at := p.doneAt[task]; at > 0 && (p.now > at+time.Second || p.urgent && p.now > at) {
		p.rt.Fatalf("%s: task %d.%d is started %s after it was done", p.now-time.Minute, task.Step, task.Index, p.now-at)
	}
	if p.failures[task] >= copiesAttempts {
		p.rt.Fatalf("%s: task %d.%d is started after %d failures", p.now-time.Minute, task.Step, task.Index, p.failures[task])
	}
	for _, after := range p.doc.Steps[task.Step].DependsOn {
		for index := range p.doc.Steps[after].Count {
			if s, ok := n.core.findStep(work.Task{Job: task.Job, Step: after, Index: index}); ok && !s.tasks[index].done {
				p.rt.Fatalf("%s: task %d.%d is started before %d.%d is done", p.now-time.Minute, task.Step, task.Index, after, index)
			}
		}
	}
}

// TestCopiesModel guards against a copy that is started after its task is done or has failed too often, before the steps that it depends on
// are done, or beyond the limit of its team, also by a leader that takes over while both runs are at work.
func TestCopiesModel(t *testing.T) {
	copied := 0
	rapid.Check(t, func(rt *rapid.T) {
		p := newCopiesPlay(rt, drawEvents(rt))
		p.play()
		if p.most > 1 {
			copied++
		}
	})
	t.Logf("a task had two runs in %d plays", copied)
}

// TestPreemptionModel guards against a service or gang that is preempted, and against a task that runs twice, or again after it is done, has failed too often, or before the steps that it
// depends on are done, because it was stopped for an urgent job, also by a leader that is lost in the middle.
func TestPreemptionModel(t *testing.T) {
	preempted := 0
	rapid.Check(t, func(rt *rapid.T) {
		p := newCopiesPlay(rt, drawEvents(rt))
		p.urgent, p.limited, p.doc.Team = true, false, ""
		for i := range p.doc.Steps {
			s := &p.doc.Steps[i]
			s.Count, s.Request.CPU, s.Estimate, s.Speculative, s.Checkpoints = modelZones, 3000, 6*time.Second, false, true
		}
		p.doc.Steps = p.doc.Steps[:2]
		p.next = work.Job{ID: "b", Queue: "u", Pool: "p", Steps: []work.Step{{Count: 2, Request: work.Resources{CPU: 3000, Memory: 100}, Estimate: 3 * time.Second}}}
		for _, step := range []work.Step{{Service: true, MaxDisruptions: 1}, {Gang: true}} {
			step.Count, step.Request, step.Estimate, step.Checkpoints = 2, work.Resources{CPU: 500, Memory: 100}, 6*time.Second, true
			id := "service"
			if step.Gang {
				id = "gang"
			}
			p.others = append(p.others, work.Job{ID: id, Queue: "q", Pool: "p", Steps: []work.Step{step}})
		}
		for i := range p.takes {
			p.takes[i] = 4 * time.Second
		}
		p.play()
		if p.preempted > 0 {
			preempted++
		}
	})
	t.Logf("runs were preempted in %d plays", preempted)
}
