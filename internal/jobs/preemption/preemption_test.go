package preemption

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/work"
)

func cpu(n int64) work.Resources { return work.Resources{CPU: n} }

func run(name string, size int64, priority int, sinceSaved time.Duration) Run[string] {
	return Run[string]{Run: name, Urgency: Urgency{Priority: priority}, Size: cpu(size), SinceSaved: sinceSaved}
}

// listed is a worker with runs that may be stopped.
type listed struct {
	name string
	free work.Resources
	runs []Run[string]
}

// TestChoose guards against stops that lose more work than needed, that make no room, or that hit work which is as urgent.
func TestChoose(t *testing.T) {
	second := time.Second
	for name, test := range map[string]struct {
		urgent  Urgency
		workers []listed
		limit   int
		want    []string
		on      int
	}{
		"least work lost": {
			Urgency{}, []listed{{"", cpu(0), []Run[string]{run("a", 4, 1, 2*second)}}, {"", cpu(0), []Run[string]{run("b", 4, 1, second)}}}, 4, []string{"b"}, 1,
		},
		"with what is free": {Urgency{}, []listed{{"", cpu(3), []Run[string]{run("a", 4, 1, second), run("b", 1, 1, second)}}}, 4, []string{"b"}, 0},
		"two runs":          {Urgency{}, []listed{{"", cpu(0), []Run[string]{run("a", 2, 1, second), run("b", 2, 1, second)}}}, 4, []string{"a", "b"}, 0},
		"superfluous":       {Urgency{}, []listed{{"", cpu(0), []Run[string]{run("a", 1, 1, second), run("b", 4, 1, second)}}}, 4, []string{"b"}, 0},
		"beyond the limit":  {Urgency{}, []listed{{"", cpu(0), []Run[string]{run("a", 2, 1, second), run("b", 2, 1, second)}}}, 1, nil, 0},
		"not enough room":   {Urgency{}, []listed{{"", cpu(0), []Run[string]{run("a", 3, 1, second)}}}, 4, nil, 0},
		"room is free":      {Urgency{}, []listed{{"", cpu(4), []Run[string]{run("a", 4, 1, second)}}}, 4, nil, 0},
		"as urgent":         {Urgency{Priority: 1}, []listed{{"", cpu(0), []Run[string]{run("a", 4, 1, second)}}}, 4, nil, 0},
		"more urgent":       {Urgency{Priority: 1}, []listed{{"", cpu(0), []Run[string]{run("a", 4, 0, second)}}}, 4, nil, 0},
		"without value": {
			Urgency{Priority: 1}, []listed{{"", cpu(0), []Run[string]{{Run: "a", Urgency: Urgency{Priority: 1, Expired: true}, Size: cpu(4)}}}}, 4, []string{"a"}, 0,
		},
		"may not start there": {Urgency{}, []listed{{"unfit", cpu(0), []Run[string]{run("a", 4, 1, second)}}}, 4, nil, 0},
		"more urgent without value": {
			Urgency{Priority: 1}, []listed{{"", cpu(0), []Run[string]{{Run: "a", Urgency: Urgency{Priority: 0, Expired: true}, Size: cpu(4)}}}}, 4, nil, 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var workers []Worker[string, string]
			for _, w := range test.workers {
				workers = append(workers, NewWorker(w.name, w.free, w.runs, strings.Compare))
			}
			on, stops, ok := Choose(cpu(4), test.urgent, workers, test.limit, func(w string) bool { return w != "unfit" })
			qt.Assert(t, ok, qt.Equals, len(test.want) > 0)
			qt.Assert(t, stops, qt.DeepEquals, test.want)
			qt.Assert(t, on, qt.Equals, test.on)
		})
	}
}

// TestRoomAfter guards against room that is expected too soon or too late.
func TestRoomAfter(t *testing.T) {
	endings := []Ending{{3 * time.Second, cpu(2)}, {time.Second, cpu(1)}}
	for name, test := range map[string]struct {
		need int64
		want time.Duration
		ok   bool
	}{
		"free": {1, 0, true}, "after the first": {2, time.Second, true}, "after both": {4, 3 * time.Second, true}, "never": {5, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			after, ok := RoomAfter(cpu(test.need), cpu(1), endings)
			qt.Assert(t, after, qt.Equals, test.want)
			qt.Assert(t, ok, qt.Equals, test.ok)
		})
	}
}

// TestRoomAfterResources guards against room that is expected before enough of each resource is free, also on an overcommitted worker.
func TestRoomAfterResources(t *testing.T) {
	cores := func(n int64) work.Resources { return work.Resources{CPU: 1000 * n} }
	endings := []Ending{{3 * time.Second, cores(2)}, {time.Second, cores(1)}, {2 * time.Second, work.Resources{Memory: 5}}}
	for name, test := range map[string]struct {
		free, need work.Resources
		want       time.Duration
		ok         bool
	}{
		"free":           {cores(2), cores(2), 0, true},
		"first ending":   {cores(1), cores(2), time.Second, true},
		"all endings":    {cores(1), cores(4), 3 * time.Second, true},
		"other resource": {cores(4), work.Resources{CPU: 1000, Memory: 5}, 2 * time.Second, true},
		"overcommitted":  {cores(-1), cores(2), 3 * time.Second, true},
		"too large":      {cores(1), cores(5), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := RoomAfter(test.need, test.free, slices.Clone(endings))
			qt.Assert(t, ok, qt.Equals, test.ok)
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// TestMayStop guards against stops of services, gangs, runs that lose all their work, and runs that end as soon without a stop.
func TestMayStop(t *testing.T) {
	for name, test := range map[string]struct {
		step        work.Step
		left, usual time.Duration
		want        bool
	}{
		"with checkpoints":    {work.Step{Checkpoints: true}, 2 * time.Second, 2 * time.Second, true},
		"without checkpoints": {work.Step{}, 2 * time.Second, 2 * time.Second, false},
		"service":             {work.Step{Checkpoints: true, Service: true}, 2 * time.Second, 2 * time.Second, false},
		"gang":                {work.Step{Checkpoints: true, Gang: true}, 2 * time.Second, 2 * time.Second, false},
		"ends soon":           {work.Step{Checkpoints: true}, time.Second, time.Second, false},
		"usually ends soon":   {work.Step{Checkpoints: true}, 2 * time.Second, time.Second, false},
		"late":                {work.Step{Checkpoints: true}, 2 * time.Second, -time.Second, true},
		"late, ends soon":     {work.Step{Checkpoints: true}, time.Second, -time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, MayStop(&test.step, test.left, test.usual, time.Second), qt.Equals, test.want)
		})
	}
}

// TestModel guards against more preemptions than the bounds allow, in any order of events: of a task in its life and within 3 s, for a job
// within a second, and on the workers of a pool within a second. It also guards against stops that do not make room.
func TestModel(t *testing.T) {
	type stop struct {
		at  time.Duration
		run int
	}
	rapid.Check(t, func(t *rapid.T) {
		var history History
		var job, pool Window
		var stops []stop
		var workersAt []time.Duration
		now := time.Minute
		workers := rapid.IntRange(1, 60).Draw(t, "workers")
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 1200).Draw(t, "passes")) * time.Millisecond
			list := make([]Worker[int, int], rapid.IntRange(1, 4).Draw(t, "listed"))
			for i := range list {
				free := cpu(rapid.Int64Range(0, 5).Draw(t, "free"))
				var runs []Run[int]
				for n := range rapid.IntRange(0, 3).Draw(t, "runs") {
					if id := 3*i + n; history.Allows(id, now) {
						runs = append(runs, Run[int]{
							Run: id, Urgency: Urgency{Priority: rapid.IntRange(0, 2).Draw(t, "priority")}, Size: cpu(rapid.Int64Range(1, 4).Draw(t, "size")),
							SinceSaved: time.Duration(rapid.IntRange(0, 2000).Draw(t, "saved")) * time.Millisecond,
						})
					}
				}
				list[i] = NewWorker(i, free, runs, cmp.Compare[int])
			}
			if pool.PoolLeft(now, workers) <= 0 {
				continue
			}
			need := cpu(rapid.Int64Range(1, 8).Draw(t, "need"))
			i, chosen, ok := Choose(need, Urgency{Priority: 1}, list, job.JobLeft(now), func(int) bool { return true })
			if !ok {
				continue
			}
			free := list[i].free
			for _, r := range list[i].runs {
				for _, id := range chosen {
					if id == r.Run {
						free = free.Plus(r.Size)
						if r.Urgency.Priority <= 1 {
							t.Fatal("a run that is as urgent is stopped")
						}
					}
				}
			}
			if !need.Fits(free) {
				t.Fatal("the stops make too little room")
			}
			job.Add(now, len(chosen))
			pool.Add(now, 1)
			workersAt = append(workersAt, now)
			for _, id := range chosen {
				history.Record(id, now)
				stops = append(stops, stop{now, id})
			}
		}
		for i, a := range stops {
			ofTask, ofJob := 1, 1
			for _, b := range stops[i+1:] {
				if b.at-a.at < time.Second {
					ofJob++
				}
				if b.run == a.run {
					ofTask++
					if b.at-a.at < 3*time.Second {
						t.Fatal("a task is preempted twice within 3 s")
					}
				}
			}
			if ofTask > 2 || ofJob > 4 {
				t.Fatalf("%d stops of a task, %d for a job within a second", ofTask, ofJob)
			}
		}
		for i, a := range workersAt {
			n := 0
			for _, b := range workersAt[i:] {
				if b-a < time.Second {
					n++
				}
			}
			if n > max(1, workers/20) {
				t.Fatalf("stops on %d of %d workers within a second", n, workers)
			}
		}
	})
}
