package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	crowdTeams = 20
	// crowdWeight is the number of jobs a second that each team is owed.
	crowdWeight = 2
	crowdTime   = 30 * time.Second
)

// crowdRig is a rig whose workers take the declared time for each run.
type crowdRig struct {
	*rig
	ends map[worker.Run]time.Duration
	on   map[worker.Run]string
	// inTime counts the jobs of each team that were done within their latency target.
	inTime map[string]int
	jobs   map[string]*job
}

func newCrowdRig(t *testing.T, weight float64, features serving.Scheduling) *crowdRig {
	r := &crowdRig{rig: newRig(t, 1), ends: make(map[worker.Run]time.Duration), on: make(map[worker.Run]string), inTime: make(map[string]int), jobs: make(map[string]*job)}
	r.core = NewCore(Options{Bounds: rigBounds(), Fence: 10, Term: 1, AcquiredAt: r.now, EarlierLeadersUntil: r.now, Features: features})
	var teams []catalog.Team
	for i := range crowdTeams {
		teams = append(teams, catalog.Team{Name: fmt.Sprint("t", i), Weight: weight})
	}
	r.core.SetCatalog(catalog.New(1, 0, []catalog.Queue{{
		Name: "q", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond,
	}}, []catalog.Pool{{Name: "p"}}, teams))
	var workers []string
	for i := range 44 {
		workers = append(workers, fmt.Sprintf("w%02d", i))
	}
	r.register(workers...)
	for _, id := range workers {
		r.reply(id)
	}
	return r
}

// submit adds a job of four tasks of one core that take 0.5 to 1.5 s.
func (r *crowdRig) submit(team string, number int, random *rand.Rand) {
	took := time.Duration(500+random.IntN(1000)) * time.Millisecond
	id := fmt.Sprintf("%s-%d", team, number)
	r.jobs[id] = r.addJob(work.Job{ID: id, Queue: "q", Pool: "p", Team: team, Steps: []work.Step{
		{Count: 4, Request: work.Resources{CPU: 1000, Memory: 100}, Estimate: took},
	}})
}

// step lets the runs end that are due, and runs a pass.
func (r *crowdRig) step() {
	changed := make(map[string]bool)
	for run, end := range r.ends {
		if r.now < end {
			continue
		}
		id := r.on[run]
		delete(r.ends, run)
		for i, other := range r.runs[id] {
			if other == run {
				r.runs[id] = append(r.runs[id][:i:i], r.runs[id][i+1:]...)
				break
			}
		}
		r.exits[id] = append(r.exits[id], worker.Exit{Seq: uint64(len(r.exits[id]) + 1), Task: run.Task, Number: run.Number, Reason: worker.ExitDone})
		changed[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(r.core.workers)) {
		if changed[id] || r.now%time.Second == 0 {
			r.reply(id)
		}
	}
	commands := r.pass()
	r.accept(commands)
	for _, cmd := range commands {
		if cmd.Kind == CommandStart {
			run := worker.Run{Task: cmd.Start.Task, Number: cmd.Start.Run, SpeedPercent: 100}
			r.ends[run], r.on[run] = r.now+r.jobs[run.Task.Job].doc.Steps[0].Estimate, cmd.Target.ID
		}
	}
	for id, j := range r.jobs {
		if j.progress.State == work.Finished {
			q := r.core.queueOf(j)
			if j.endedAt <= j.acceptedAt+time.Duration(q.Stretch*float64(j.criticalPath))+q.BaseTarget {
				r.inTime[j.doc.Team]++
			}
			delete(r.jobs, id)
		}
	}
}

// play plays teams that each send what they are owed, apart from the first one, which sends times as much. It returns the jobs of each team
// that were done in time.
func (r *crowdRig) play(times float64) map[string]int {
	random := rand.New(rand.NewPCG(1, 2))
	start, sent := r.now, make(map[string]int)
	for r.now < start+crowdTime {
		for i := range crowdTeams {
			rate := float64(crowdWeight)
			if i == 0 {
				rate *= times
			}
			team := fmt.Sprint("t", i)
			for float64(sent[team]) < rate*(r.now-start).Seconds()-float64(i)/crowdTeams {
				r.submit(team, sent[team], rand.New(rand.NewPCG(uint64(i), uint64(sent[team]))))
				sent[team]++
			}
		}
		r.step()
		r.advance(time.Duration(40+random.IntN(2)*10) * time.Millisecond)
	}
	return r.inTime
}

// TestCrowd guards against a team that sends eight times what it is owed and thereby takes from the others what these are owed: each of them
// keeps nine tenths of what it gets without the crowd.
func TestCrowd(t *testing.T) {
	features := serving.Scheduling{TeamShares: true}
	calm := newCrowdRig(t, crowdWeight, features).play(1)
	crowded := newCrowdRig(t, crowdWeight, features).play(8)
	without := newCrowdRig(t, crowdWeight, serving.Scheduling{}).play(8)
	t.Logf("calm %v, crowded %v, without shares %v", calm, crowded, without)
	kept, keptWithout := 0, 0
	for i := 1; i < crowdTeams; i++ {
		team := fmt.Sprint("t", i)
		qt.Assert(t, float64(crowded[team]) >= 0.9*float64(calm[team]), qt.IsTrue, qt.Commentf("%s: %d of %d", team, crowded[team], calm[team]))
		qt.Assert(t, calm[team] > 0, qt.IsTrue)
		kept += crowded[team]
		keptWithout += without[team]
	}
	// The crowd is more than the pool holds, so that the order matters, and what the crowd is owed is served, too.
	qt.Assert(t, keptWithout < kept*9/10, qt.IsTrue)
	qt.Assert(t, float64(crowded["t0"]) >= 0.9*float64(calm["t0"]), qt.IsTrue)
}

// TestCrowdServed guards against jobs beyond the rate that wait although there is room.
func TestCrowdServed(t *testing.T) {
	r := newCrowdRig(t, crowdWeight, serving.Scheduling{TeamShares: true})
	for i := range 40 {
		r.submit("t0", i, rand.New(rand.NewPCG(0, uint64(i))))
	}
	r.step()
	qt.Assert(t, r.ends, qt.HasLen, 160)
}

// TestUnweighted guards against an order that changes where no team has a weight.
func TestUnweighted(t *testing.T) {
	var starts [2][]string
	for i, features := range []serving.Scheduling{{}, {TeamShares: true}} {
		r := newCrowdRig(t, 0, features)
		for n := range 300 {
			r.submit(fmt.Sprint("t", n%7%crowdTeams), n, rand.New(rand.NewPCG(7, uint64(n))))
		}
		for range 100 {
			commands := r.pass()
			starts[i] = append(starts[i], startsOf(commands)...)
			r.accept(commands)
			id := fmt.Sprintf("w%02d", len(starts[i])%44)
			r.finish(id, worker.ExitDone)
			r.reply(id)
			r.advance(50 * time.Millisecond)
		}
	}
	qt.Assert(t, len(starts[0]) > 300, qt.IsTrue)
	qt.Assert(t, starts[1], qt.DeepEquals, starts[0])
}

// TestBeyondRate guards against jobs whose acceptance, and not the time at which the leader learns of them, does not decide about the rate.
func TestBeyondRate(t *testing.T) {
	r := newCrowdRig(t, 1, serving.Scheduling{TeamShares: true})
	var beyond []bool
	for i := range 7 {
		doc := work.Job{ID: fmt.Sprint("j", i), Queue: "q", Pool: "p", Team: "t1", AcceptedAt: time.Duration(i) * 450 * time.Millisecond, Steps: []work.Step{{Count: 1}}}
		r.core.AddJob(doc, nil, time.Minute)
		beyond = append(beyond, r.core.jobs[doc.ID].beyondRate)
	}
	qt.Assert(t, beyond, qt.DeepEquals, []bool{false, false, true, false, true, false, true})
}

// weightedCatalog returns a second version of a configuration, with teams that have weights.
func weightedCatalog(queues []catalog.Queue) *catalog.Catalog {
	var teams []catalog.Team
	for i := range crowdTeams {
		teams = append(teams, catalog.Team{Name: fmt.Sprint("t", i), Weight: 1})
	}
	return catalog.New(2, 0, queues, nil, teams)
}

// BenchmarkWeightedPass is BenchmarkPass with teams that have weights.
func BenchmarkWeightedPass(b *testing.B) {
	const workers = 3700
	c, now := benchCore(workers, 0)
	c.options.Features = serving.Scheduling{TeamShares: true, Admission: true}
	c.SetCatalog(weightedCatalog(c.catalog.Queues))
	for i := range workers * 8 {
		doc := benchJob(i, len(c.pools))
		doc.Team = fmt.Sprint("t", i/len(c.pools)%crowdTeams)
		c.AddJob(doc, nil, 0)
	}
	c.Schedule(now)
	c.BatchStored(c.TakeBatch(1 << 20))
	c.Schedule(now)
	b.ReportAllocs()
	for b.Loop() {
		for _, p := range c.pools {
			p.needsPlanning = true
		}
		c.Schedule(now)
	}
}

// TestBeyondRateAfterTakeover guards against a new leader that takes the jobs of the rows in another order than they were accepted in, so
// that other jobs are within the rates than before.
func TestBeyondRateAfterTakeover(t *testing.T) {
	s := memory.New()
	e, _ := newTestEngine(t, s, 1)
	e.core.options.Features.TeamShares = true
	e.options.Catalog = func() *catalog.Catalog { return weightedCatalog(nil) }
	storeNow, _ := e.options.Clock.Now()
	const jobs = 12
	for i := range jobs {
		// The IDs are in another order than the times.
		j := work.Job{ID: fmt.Sprint("a", i*5%jobs), Pool: "p", Queue: "q", Team: "t1", AcceptedAt: storeNow - time.Duration(jobs-i)*10*time.Millisecond, Steps: []work.Step{{Count: 1}}}
		value, err := rowkeys.EncodeJob(j)
		qt.Assert(t, err, qt.IsNil)
		_, err = s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: rowkeys.Job(j.ID), Value: value}}})
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, e.Start(t.Context()), qt.IsNil)
	defer e.Stop()
	var within []string
	qt.Assert(t, e.query(t.Context(), func(c *Core) {
		for id, j := range c.jobs {
			if !j.beyondRate {
				within = append(within, id)
			}
		}
	}), qt.IsNil)
	slices.Sort(within)
	qt.Assert(t, within, qt.DeepEquals, []string{"a0", "a5"})
}
