package promises_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

const (
	first, second = "p1", "p2"
	key, oldKey   = "key-a", "key-old"
	ms            = time.Millisecond
)

// play records a history. Its jobs go to queue q, whose pool has the workers w1 to w4 and whose tasks have two attempts.
type play struct {
	*promises.History
	start time.Time
}

func configuration(version int, queues ...string) promises.Configuration {
	c := promises.Configuration{Version: version, Queues: map[string]promises.Queue{}, Teams: map[string]promises.Team{
		"team-a": {Keys: []string{key}, Limit: promises.Resources{CPU: 12000}}, "team-b": {Keys: []string{"key-b"}},
	}}
	for _, q := range queues {
		c.Queues[q] = promises.Queue{Pool: "desk", Attempts: 2}
	}
	c.Queues["back"] = promises.Queue{Pool: "back", Attempts: 2}
	return c
}

// newPlay returns a play with two processes and four workers that have been calm for long enough.
func newPlay() play {
	p := play{promises.NewHistory(), time.Now()}
	c := configuration(1, "q")
	c.Teams["team-a"] = promises.Team{Keys: []string{key, oldKey}, Limit: c.Teams["team-a"].Limit}
	p.Configure(c)()
	p.ProcessStarted(first)
	p.ProcessStarted(second)
	for i := range 4 {
		p.WorkerStarted(promises.Worker{ID: fmt.Sprint("w", i+1), Pool: "desk", Life: 1, Capacity: promises.Resources{CPU: 16000, Memory: 32000}})
	}
	time.Sleep(5 * time.Second)
	p.start = time.Now()
	return p
}

// at waits until a time since the start of the play.
func (p *play) at(since time.Duration) { time.Sleep(time.Until(p.start.Add(since))) }

// answer answers a call after a millisecond.
func answer(answered func(promises.Answer), status int, state promises.State) {
	time.Sleep(ms)
	answered(promises.Answer{Status: status, State: state})
}

// begin begins a run of a task with a name such as a.0.0.0 and returns it.
func (p *play) begin(task string, number int, worker string) promises.Run {
	t, err := promises.ParseTask(task)
	if err != nil {
		panic(err)
	}
	time.Sleep(ms)
	r := promises.Run{Task: t, Number: number, Worker: worker, Life: 1}
	p.RunBegan(r)
	p.RunAtWork(r)
	time.Sleep(ms)
	return r
}

// end ends a run, and acknowledges that.
func (p *play) end(r promises.Run, how promises.How) {
	time.Sleep(ms)
	p.RunEnded(r, how)
	time.Sleep(ms)
	p.EndAcknowledged(r)
}

// planted is a play in commands, which perform carries out, and what it breaks.
type planted struct {
	promise promises.Promise
	// broken is the number of violations of the promise, and also another promise that the same ones break.
	broken int
	also   promises.Promise
	script string
}

var (
	needs  = promises.Resources{CPU: 2000, Memory: 100}
	shapes = map[string][]promises.Step{
		"single": {{Count: 1, Needs: needs}}, "steps": {{Count: 2}, {Count: 1, After: []int{0}}}, "gang": {{Count: 2, Gang: true}}, "eight": {{Count: 8, Needs: needs}},
		"lasting": {{Count: 3, LongRunning: true, MayMiss: 1, Needs: needs}}, "deadly": {{Count: 1}},
		"lastingAndOther": {{Count: 3, LongRunning: true}, {Count: 1, LongRunning: true, Requires: "other"}},
	}
)

// scene is what the commands of a script refer to.
type scene struct {
	play
	runs map[string]promises.Run
	open map[string]func(promises.Answer)
}

// perform carries out the commands of a script, which are separated by semicolons.
func perform(p play, script string) {
	s := scene{p, make(map[string]promises.Run), make(map[string]func(promises.Answer))}
	for command := range strings.SplitSeq(script, ";") {
		words := strings.Fields(command)
		s.do(words[0], append(words[1:], "", "", "", "")[:4])
	}
}

func (s *scene) do(verb string, w []string) {
	number, _ := strconv.Atoi(w[1])
	status, _ := strconv.Atoi(w[2])
	name := w[0] + " " + w[1]
	switch verb {
	case "at":
		s.at(duration(w[0]))
	case "wait":
		time.Sleep(duration(w[0]))
	case "over":
		s.LoadEnded()
	case "submit":
		job := promises.Job{ID: w[0], Queue: "q", Steps: shapes[cmp.Or(w[2], "single")], Deadly: w[2] == "deadly"}
		answer(s.Submit(first, key, job), number, "")
	case "cancel":
		answer(s.Cancel(first, key, "q", w[0]), number, "")
	case "ask":
		answer(s.Ask(w[0], key, "q", w[1]), status, promises.State(w[3]))
	case "call":
		status, _ := strconv.Atoi(w[3])
		answer(s.Call(w[0], w[1], w[2]), status, "")
	case "open":
		s.open[w[0]] = s.Call(w[1], key, "q")
		if w[2] != "" {
			s.open[w[0]] = s.Submit(w[1], key, promises.Job{ID: w[2], Queue: "q", Steps: shapes["single"]})
		}
	case "close":
		s.open[w[0]](promises.Answer{Status: number, BrokenOff: w[1] == "broken" || w[1] == "unread", Unread: w[1] == "unread"})
	case "begin", "run":
		s.runs[name] = s.begin(w[0], number, w[2])
		if verb == "run" {
			s.end(s.runs[name], promises.How(w[3]))
		}
	case "late":
		task, err := promises.ParseTask(w[0])
		if err != nil {
			panic(err)
		}
		s.RunBeganLate(promises.Run{Task: task, Number: number, Worker: w[2], Life: 1})
	case "end":
		s.StopCommanded(s.runs[name])
		s.end(s.runs[name], promises.How(w[2]))
	case "doneUnacknowledged":
		s.RunEnded(s.runs[name], promises.Done)
	case "acknowledge":
		s.EndAcknowledged(s.runs[name])
	case "lapse":
		s.LeaseLapsed(w[0], 1)
	case "drain":
		s.WorkerDraining(w[0], 1)
	case "disrupt":
		s.Disrupt(promises.Kind(w[0]), w[1])()
	case "freeze":
		ended := s.Disrupt(promises.Frozen, w[0])
		s.open[w[0]] = func(promises.Answer) { ended() }
	case "stop":
		s.ProcessStopRequested(w[0])
	case "exit":
		s.ProcessEnded(w[0])
	case "start":
		s.ProcessStarted(w[0])
	case "configure":
		c := configuration(2, "q", w[0])
		if w[0] == "lowerLimit" {
			c.Teams["team-a"] = promises.Team{Keys: []string{key}, Limit: promises.Resources{CPU: 1000}}
		}
		s.Configure(c)()
	default:
		panic(verb)
	}
}

func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}

var plays = map[string]planted{
	"410 for an accepted job":                                           {promises.AcceptedKept, 1, "", "submit a 200; at 4s; ask p2 a 410"},
	"410 within the bound, and from a process that was cut off":         {promises.AcceptedKept, 0, "", "submit a 200; ask p2 a 410; at 2s; disrupt cut p2; at 4s; ask p2 a 410"},
	"no state after the end":                                            {promises.AcceptedKept, 1, "", "submit a 200; run a.0.0.0 1 w1 done; over; at 15s; ask p1 a 0; ask p2 a 503"},
	"task that never runs":                                              {promises.AcceptedKept, 1, "", "submit a 200; over; at 25s"},
	"lasting task that does not run again":                              {promises.AcceptedKept, 1, "", "submit a 200 lasting; begin a.0.0.0 1 w1; begin a.0.0.1 1 w1; run a.0.0.2 1 w1 failed; at 14s"},
	"lasting task that runs again in time":                              {promises.AcceptedKept, 0, "", "submit a 200 lastingAndOther; begin a.0.0.0 1 w1; begin a.0.0.1 1 w1; begin a.0.0.2 1 w1; at 5s; end a.0.0.2 1 failed; at 14s; begin a.0.0.2 2 w2; at 30s"},
	"state before an end that was shown":                                {promises.AcceptedOnce, 1, "", "submit a 200; run a.0.0.0 1 w1 done; ask p1 a 200 finished; at 5s; ask p2 a 200 pending"},
	"cancelled without a cancellation":                                  {promises.AcceptedOnce, 1, "", "submit a 0; ask p1 a 200 cancelled"},
	"late submission, cancellation without an answer, and an old state": {promises.AcceptedOnce, 0, "", "open x p2 a; submit a 0; cancel a 0; ask p1 a 200 cancelled; wait 1ms; ask p2 a 200 running; close x 200"},
	"two runs at a time":                                                {promises.OneRun, 1, "", "submit a 200; begin a.0.0.0 1 w1; begin a.0.0.0 2 w2; end a.0.0.0 1 lapsed"},
	"runs after a lapsed lease and on a frozen worker":                  {promises.OneRun, 0, "", "submit a 200; run a.0.0.0 1 w1 lapsed; begin a.0.0.0 2 w2; freeze w2; begin a.0.0.0 3 w3; close w2; end a.0.0.0 2 lapsed"},
	"run after done":                                                    {promises.NoneAfterDone, 1, "", "submit a 200; run a.0.0.0 1 w1 done; begin a.0.0.0 2 w2"},
	"run after an end that lapsed before it was acknowledged":           {promises.NoneAfterDone, 0, "", "submit a 200; begin a.0.0.0 1 w1; doneUnacknowledged a.0.0.0 1; lapse w1; acknowledge a.0.0.0 1; run a.0.0.0 2 w2 done"},
	"step too early":                                                    {promises.StepOrder, 1, "", "submit a 200 steps; run a.0.0.0 1 w1 done; begin a.0.1.0 1 w2"},
	"step in its turn":                                                  {promises.StepOrder, 0, "", "submit a 200 steps; run a.0.0.0 1 w1 done; run a.0.0.1 1 w1 done; begin a.0.1.0 1 w2"},
	"third attempt":                                                     {promises.Attempts, 1, "", "submit a 200; run a.0.0.0 1 w1 failed; run a.0.0.0 2 w1 failed; begin a.0.0.0 3 w2"},
	"two attempts, a lapsed lease and a crash":                          {promises.Attempts, 0, "", "submit a 200; run a.0.0.0 1 w1 lapsed; run a.0.0.0 2 w1 failed; run a.0.0.0 3 w1 crashed; run a.0.0.0 4 w1 failed"},
	"member alone":                                                      {promises.GangsWhole, 1, "", "submit a 200 gang; begin a.0.0.0 1 w1; at 3s; end a.0.0.0 1 alone"},
	"member alone after a crash, and a whole gang":                      {promises.GangsWhole, 0, "", "submit a 200 gang; begin a.0.0.0 1 w1; disrupt killed w2; at 3s; end a.0.0.0 1 alone; begin a.0.0.0 2 w1; begin a.0.0.1 2 w3"},
	"team above its limit":                                              {promises.TeamLimits, 1, "", "submit a 200 eight; begin a.0.0.0 1 w1; begin a.0.0.1 1 w2; begin a.0.0.2 1 w1; begin a.0.0.3 1 w2; begin a.0.0.4 1 w1; begin a.0.0.5 1 w2; begin a.0.0.6 1 w1; begin a.0.0.7 1 w2"},
	"team one task above its limit, and after a lower one":              {promises.TeamLimits, 0, "", "submit a 200 eight; configure lowerLimit; begin a.0.0.0 1 w1; begin a.0.0.1 1 w2; begin a.0.0.2 1 w1; begin a.0.0.3 1 w2; begin a.0.0.4 1 w1; begin a.0.0.5 1 w2; begin a.0.0.6 1 w1"},
	"two stops of a step that may miss one":                             {promises.DisruptionBudget, 1, "", "submit a 200 lasting; begin a.0.0.0 1 w1; begin a.0.0.1 1 w2; begin a.0.0.2 1 w3; end a.0.0.0 1 stopped; end a.0.0.1 1 stopped; begin a.0.0.1 2 w4"},
	"second stop after the first task is back":                          {promises.DisruptionBudget, 0, "", "submit a 200 lasting; begin a.0.0.0 1 w1; begin a.0.0.1 1 w2; begin a.0.0.2 1 w3; end a.0.0.0 1 stopped; wait 1s; begin a.0.0.0 2 w4; end a.0.0.1 1 stopped"},
	"withdrawn key":                                                     {promises.KeysWithdrawn, 1, promises.ConfigForward, "configure new; at 3s; call p1 key-old q 200"},
	"key that never was":                                                {promises.KeysWithdrawn, 1, promises.ConfigForward, "call p1 key-none q 200"},
	"withdrawn key within the bound and at a process that was paused":   {promises.KeysWithdrawn, 0, "", "configure new; call p1 key-old q 200; at 2s; disrupt frozen p2; at 3s; call p2 key-old q 200; call p1 key-old q 401"},
	"refused job runs":                                                  {promises.RefusedNeverRun, 1, "", "submit a 503; begin a.0.0.0 1 w1"},
	"job without an answer runs":                                        {promises.RefusedNeverRun, 0, "", "submit a 429; submit b 503; submit b 0; begin b.0.0.0 1 w1"},
	"cancelled job begins":                                              {promises.CancelledEnds, 1, "", "submit a 200; cancel a 200; at 3.5s; run a.0.0.0 1 w1 stopped"},
	"cancelled job works on":                                            {promises.CancelledEnds, 1, "", "submit a 200; begin a.0.0.0 1 w1; cancel a 200; at 4s; end a.0.0.0 1 stopped"},
	"cancelled job ends in time, after a disruption":                    {promises.CancelledEnds, 0, "", "submit a 200; begin a.0.0.0 1 w1; cancel a 200; at 3s; disrupt cut w1; at 9s; end a.0.0.0 1 stopped"},
	"cancelled job begins after an outage of the store":                 {promises.CancelledEnds, 0, "", "submit a 200; cancel a 200; at 3s; disrupt down store; at 3.5s; run a.0.0.0 1 w1 stopped"},
	"cancelled job works on until a disruption":                         {promises.CancelledEnds, 1, "", "submit a 200; begin a.0.0.0 1 w1; cancel a 200; at 5s; disrupt cut w1; end a.0.0.0 1 stopped"},
	"answer broken off by a planned stop":                               {promises.WholeAnswers, 1, "", "open x p1; stop p1; at 300ms; close x broken; exit p1"},
	"answer broken off by a kill within a planned stop":                 {promises.WholeAnswers, 1, "", "stop p1; open x p1; at 5900ms; close x broken; exit p1"},
	"request that a process never read before its planned end":          {promises.WholeAnswers, 0, "", "open x p1; stop p1; at 2s; close x unread; exit p1"},
	"answers broken off at once and by a kill":                          {promises.WholeAnswers, 0, "", "open x p1; open y p2; stop p1; open z p1; at 100ms; close z broken; at 300ms; close x 200; exit p2; close y broken; disrupt down store; open w p1; at 600ms; close w broken"},
	"start on a draining worker":                                        {promises.DrainingSpared, 1, "", "submit a 200; drain w1; at 2.5s; begin a.0.0.0 1 w1"},
	"starts on a draining worker within the bound and late":             {promises.DrainingSpared, 0, "", "submit a 200 steps; drain w1; begin a.0.0.0 1 w1; at 2.5s; late a.0.0.1 1 w1"},
	"older configuration again":                                         {promises.ConfigForward, 1, "", "configure new; call p1 key-a new 200; at 1s; call p1 key-a new 404"},
	"configuration too late":                                            {promises.ConfigForward, 1, "", "configure new; at 2.5s; call p1 key-a new 404"},
	"configuration in time, one process after the other":                {promises.ConfigForward, 0, "", "configure new; call p1 key-a new 200; at 1s; call p2 key-a new 404; at 2.5s; exit p1; start p1; call p1 key-a new 404; at 3s; call p2 key-a new 200"},
	"finished before it is done":                                        {promises.StatesTrue, 1, "", "submit a 200 steps; run a.0.0.0 1 w1 done; ask p1 a 200 finished"},
	"failed by crashes":                                                 {promises.StatesTrue, 1, "", "submit a 200; run a.0.0.0 1 w1 crashed; run a.0.0.0 2 w1 crashed; run a.0.0.0 3 w1 crashed; ask p1 a 200 failed"},
	"finished and failed":                                               {promises.StatesTrue, 0, "", "submit a 200 gang; submit b 200; run a.0.0.1 1 w1 done; run b.0.0.0 1 w1 failed; run b.0.0.0 2 w1 failed; ask p1 a 200 finished; ask p2 b 200 failed"},
	"failed by crashes that it causes":                                  {promises.StatesTrue, 0, "", "submit a 200 deadly; run a.0.0.0 1 w1 crashed; run a.0.0.0 2 w2 crashed; run a.0.0.0 3 w1 crashed; ask p1 a 200 failed"},
}

// verify checks that the promise of a play is broken as often as planted, and no other promise is.
func verify(planted planted, verdicts []promises.Verdict) error {
	for _, v := range verdicts {
		switch n := len(v.Violations); {
		case v.Promise == planted.promise && (n != planted.broken || v.Checked == 0):
			return fmt.Errorf("%s: checked %d times, violations: %v", v.Promise, v.Checked, v.Violations)
		case v.Promise != planted.promise && v.Promise != planted.also && n > 0:
			return fmt.Errorf("%s, which was not broken: %v", v.Promise, v.Violations)
		}
	}
	return nil
}

func TestCheck(t *testing.T) {
	for name, planted := range plays {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay()
				perform(p, planted.script)
				qt.Assert(t, verify(planted, promises.Check(p.History, promises.DefaultBounds())), qt.IsNil)
			})
		})
	}
}

func TestEachPromiseCanBeBroken(t *testing.T) {
	for _, promise := range promises.Names() {
		for _, broken := range []bool{false, true} {
			qt.Check(t, slices.ContainsFunc(slices.Collect(maps.Values(plays)), func(p planted) bool {
				return p.promise == promise && p.broken > 0 == broken
			}), qt.IsTrue, qt.Commentf("%s, broken: %t", promise, broken))
		}
	}
}

// correctJob is a drawn job of a queue that the plays do not use, with what becomes of the runs of its only task.
type correctJob struct {
	id       string
	after    time.Duration
	statuses []int
	ends     []promises.How
	work     []time.Duration
}

func drawJob(rt *rapid.T, index int) correctJob {
	ends := rapid.SliceOfN(rapid.SampledFrom([]promises.How{promises.Lapsed, promises.Stopped, promises.Crashed, promises.Broken}), 0, 3).Draw(rt, "ends")
	if rapid.Bool().Draw(rt, "fails once") {
		ends = append(ends, promises.Failed)
	}
	ends = append(ends, promises.Done)
	upTo := func(most int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(1, most), func(n int) time.Duration { return time.Duration(n) * ms })
	}
	return correctJob{
		id: fmt.Sprint("back-", index), after: upTo(5000).Draw(rt, "after"), ends: ends,
		statuses: rapid.SliceOfN(rapid.SampledFrom([]int{0, 429, 502, 503, 504}), 0, 3).Draw(rt, "statuses"),
		work:     rapid.SliceOfN(upTo(2000), len(ends), len(ends)).Draw(rt, "work"),
	}
}

// run submits the job until it is accepted, works at it, and asks for its state.
func (j correctJob) run(p *play) {
	time.Sleep(j.after)
	job := promises.Job{ID: j.id, Queue: "back", Steps: []promises.Step{{Count: 1}}}
	for _, status := range append(j.statuses, 200) {
		answer(p.Submit(first, "key-b", job), status, "")
	}
	for i, how := range j.ends {
		r := p.begin(j.id+".0.0.0", i+1, fmt.Sprint("back-", i))
		time.Sleep(j.work[i])
		p.end(r, how)
		if how != promises.Done {
			answer(p.Ask(second, "key-b", "back", j.id), 200, promises.Running)
		}
	}
	answer(p.Ask(second, "key-b", "back", j.id), 200, promises.Finished)
}

// TestCheckBesideLoad plays each history beside random correct ones, which neither add violations nor hide one.
func TestCheckBesideLoad(t *testing.T) {
	names := slices.Sorted(maps.Keys(plays))
	rapid.Check(t, func(rt *rapid.T) {
		// Without a play, the load is judged when it has ended.
		var planted planted
		if !rapid.Bool().Draw(rt, "load alone") {
			planted = plays[rapid.SampledFrom(names).Draw(rt, "play")]
		}
		var jobs []correctJob
		for i := range rapid.IntRange(1, 8).Draw(rt, "jobs") {
			jobs = append(jobs, drawJob(rt, i))
		}
		var err error
		synctest.Test(t, func(*testing.T) {
			p := newPlay()
			var load sync.WaitGroup
			for _, j := range jobs {
				load.Go(func() { j.run(&p) })
			}
			if planted.script == "" {
				load.Wait()
			} else {
				perform(p, planted.script)
			}
			err = verify(planted, promises.Check(p.History, promises.DefaultBounds()))
			load.Wait()
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
