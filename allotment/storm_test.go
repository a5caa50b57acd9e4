package allotment_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/allotment"
	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/history"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// seeds is how many seeds the tests with random faults use.
var seeds = flag.Uint64("seeds", 12, "number of seeds")

const (
	testLeaseDuration = 5 * time.Second
	testMaxRun        = 4 * time.Second
	testMargin        = time.Second
)

// TestUpperLimit guards against a team that exceeds its upper limit, including one that was lowered, while entry
// instances crash and pause, responses are lost or delayed, and the table is unavailable, slow or unreachable.
func TestUpperLimit(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testUpperLimit(t, seed) })
		})
	}
}

// faultRun is the state of one test run under random faults.
type faultRun struct {
	platform *standin.Platform
	recorder history.Recorder
	callers  sync.WaitGroup

	mu      sync.Mutex
	limits  map[string]int
	version uint64
	holders []*allotment.Holder
}

func testUpperLimit(t *testing.T, seed uint64) {
	initial := map[string]int{"small": 3, "large": 12}
	s := &faultRun{platform: standin.New(standin.Options{Seed: seed}), limits: initial, version: 1, holders: make([]*allotment.Holder, 3)}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Minute)
	defer cancel()
	o := standin.RandomFaultOptions{Seed: seed, MeanDuration: 8 * time.Second}
	for i := range s.holders {
		identity, pauser := standin.Identity{Client: fmt.Sprint(i)}, &standin.Pauser{}
		o.Clients = append(o.Clients, identity)
		o.Pausers = append(o.Pausers, pauser)
		random := rand.New(rand.NewPCG(seed, uint64(10+i)))
		s.callers.Go(func() { s.runInstance(ctx, i, identity, pauser, random) })
	}
	s.callers.Go(func() { s.lowerLimit(ctx) })
	s.callers.Go(func() { s.runJobs(ctx, "large", rand.New(rand.NewPCG(seed, 1))) })
	s.platform.InjectRandomFaults(ctx, o)
	s.callers.Wait()
	operations := s.recorder.Operations()
	// A history with few runs, or without runs of a team, would prove nothing.
	begun := make(map[string]int)
	for _, o := range operations {
		if in, ok := o.Input.(history.RunBegin); ok {
			begun[in.Team]++
		}
	}
	qt.Check(t, begun["small"] > 200 && begun["large"] > 400, qt.IsTrue, qt.Commentf("runs: %v", begun))
	lowered := slices.ContainsFunc(operations, func(o porcupine.Operation) bool { return o.Input == any(history.LimitInForce{Team: "large"}) })
	qt.Check(t, lowered, qt.IsTrue, qt.Commentf("lowered limit never came into force"))
	qt.Check(t, history.Check(history.UpperLimit(initial), operations), qt.IsNil)

	// The holders have the whole limit again after the faults have ended.
	time.Sleep(time.Minute)
	for team, limit := range s.limits {
		sum := 0
		for _, h := range s.holders {
			sum += h.Usage(team).Held
		}
		qt.Check(t, sum, qt.Equals, limit, qt.Commentf("%s", team))
	}
	for _, h := range s.holders {
		qt.Check(t, h.Stop(t.Context()), qt.IsNil)
	}
}

// runInstance runs an entry instance that crashes about every two minutes and restarts with a new incarnation.
func (s *faultRun) runInstance(ctx context.Context, index int, identity standin.Identity, pauser *standin.Pauser, random *rand.Rand) {
	for ctx.Err() == nil {
		crash := &standin.Pauser{}
		client := provider.NewClient(provider.ClientOptions{Table: crash.Table(pauser.Table(s.platform.Client(identity).Table())), Writes: 1000, Reads: 1000})
		h := allotment.NewHolder(allotment.Options{
			Table: client.For(provider.UserAllotments), Holder: ident.New(), LeaseDuration: testLeaseDuration, MaxRun: testMaxRun, Margin: testMargin,
		})
		s.mu.Lock()
		h.SetLimits(s.version, s.limits)
		s.holders[index] = h
		s.mu.Unlock()
		_ = h.Start(ctx)
		incarnation, end := context.WithTimeout(ctx, time.Minute+rand.N(2*time.Minute))
		var callers sync.WaitGroup
		for range 8 {
			for _, team := range []string{"small", "large"} {
				seed := random.Uint64()
				callers.Go(func() { s.sendRequests(incarnation, h, team, pauser, rand.New(rand.NewPCG(seed, 0))) })
			}
		}
		callers.Wait()
		end()
		if ctx.Err() == nil {
			// The crashed process stays paused. Its goroutines can end only after the run.
			crash.Pause()
			s.callers.Go(func() {
				<-ctx.Done()
				crash.Resume()
				_ = h.Stop(context.Background())
			})
		}
	}
}

// sendRequests sends requests of a team until ctx ends. A request that runs at an endpoint by then still completes.
func (s *faultRun) sendRequests(ctx context.Context, h *allotment.Holder, team string, pauser *standin.Pauser, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		permit, err := h.Acquire(team)
		if err != nil {
			continue
		}
		if random.IntN(4) == 0 {
			time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		}
		pauser.Wait()
		if permit.Check() != nil {
			permit.Release()
			continue
		}
		id := ident.New()
		s.recorder.Add(0, history.RunBegin{Team: team, ID: id}, nil)
		time.Sleep(time.Duration(random.Int64N(int64(testMaxRun))))
		s.recorder.Add(0, history.RunEnd{Team: team, ID: id}, nil)
		pauser.Wait()
		permit.Release()
	}
}

// runJobs runs jobs of a team one after the other until ctx ends. Each start and end is a separate transaction.
func (s *faultRun) runJobs(ctx context.Context, team string, random *rand.Rand) {
	client := provider.NewClient(provider.ClientOptions{Table: s.platform.Client(standin.Identity{Client: "jobs"}).Table()})
	table := client.For(provider.UserConfig)
	// change adds delta to the number of running jobs and reports whether that took effect.
	change := func(ctx context.Context, id string, delta int) bool {
		s.mu.Lock()
		limit := s.limits[team]
		s.mu.Unlock()
		check, write, err := allotment.JobCountUpdate(ctx, table, team, limit, delta)
		if err != nil {
			return false
		}
		key := "job/" + id + fmt.Sprint(delta)
		err = table.Commit(ctx, provider.Txn{
			Checks: []provider.Check{check, {Key: key}},
			Writes: []provider.Write{write, {Key: key}},
		})
		if !errors.Is(err, provider.ErrUnknownOutcome) {
			return err == nil
		}
		// The transaction can still take effect until the most delayed messages have arrived.
		time.Sleep(time.Minute)
		rows, err := s.platform.Table().Read(context.Background(), key)
		return err == nil && len(rows) > 0
	}
	for ctx.Err() == nil {
		id := ident.New()
		if change(ctx, id, 1) {
			s.recorder.Add(0, history.RunBegin{Team: team, ID: id}, nil)
			time.Sleep(time.Duration(random.Int64N(int64(40 * time.Second))))
			s.recorder.Add(0, history.RunEnd{Team: team, ID: id}, nil)
			for !change(context.Background(), id, -1) {
				time.Sleep(time.Second)
			}
		}
		s.mu.Lock()
		h := s.holders[random.IntN(len(s.holders))]
		s.mu.Unlock()
		if h != nil {
			h.SetJobDemand(team, random.IntN(2))
		}
		time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holders {
		h.SetJobDemand(team, 0)
	}
}

// lowerLimit lowers the limit of a team during the run and records when it is reported to be in force.
func (s *faultRun) lowerLimit(ctx context.Context) {
	time.Sleep(3 * time.Minute)
	s.mu.Lock()
	s.version++
	s.limits = map[string]int{"small": 3, "large": 5}
	s.mu.Unlock()
	for i := 0; ctx.Err() == nil; i++ {
		s.mu.Lock()
		h, version, limits := s.holders[i%len(s.holders)], s.version, s.limits
		s.mu.Unlock()
		// The instances receive the change one after the other, seconds apart.
		h.SetLimits(version, limits)
		time.Sleep(2 * time.Second)
		if u := h.Usage("large"); u.Known && u.InForce == limits["large"] {
			s.recorder.Add(0, history.LimitInForce{Team: "large"}, limits["large"])
			return
		}
	}
}

// TestOutage guards against requests that run with an expired allotment during an outage of the table, and against
// allotments that are not usable soon after the outage. It repeats the outage, since state that the first one leaves
// behind could impair the second recovery.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Options{})
		client := provider.NewClient(provider.ClientOptions{Table: p.Client(standin.Identity{}).Table()})
		h := allotment.NewHolder(allotment.Options{Table: client.For(provider.UserAllotments), Holder: "a"})
		h.SetLimits(1, map[string]int{"team": 2})
		qt.Assert(t, h.Start(t.Context()), qt.IsNil)
		acquire := func(want error, comment string) {
			t.Helper()
			permit, err := h.Acquire("team")
			qt.Check(t, err, qt.ErrorIs, want, qt.Commentf(comment))
			if err == nil {
				qt.Check(t, permit.Check(), qt.IsNil)
				permit.Release()
			}
		}
		for range 2 {
			time.Sleep(time.Minute)
			acquire(nil, "before the outage")
			p.SetFaults(standin.Faults{Down: true})
			// The last renewal was at most a third of the lease duration ago.
			time.Sleep(18 * time.Second)
			acquire(nil, "before the allotment expires")
			time.Sleep(12 * time.Second)
			acquire(allotment.ErrExpired, "after the allotment has expired")
			time.Sleep(time.Hour)
			acquire(allotment.ErrExpired, "after an hour")
			p.SetFaults(standin.Faults{})
			time.Sleep(4 * time.Second)
			acquire(nil, "after the outage")
		}
		qt.Check(t, h.Stop(t.Context()), qt.IsNil)
	})
}

// TestPermitAfterReclaim guards against a permit that is used after its allotment was reclaimed and a new one acquired.
// More requests would then run than the new allotment allows.
func TestPermitAfterReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		var pauser standin.Pauser
		limits := map[string]int{"team": 2}
		first := allotment.NewHolder(allotment.Options{Table: pauser.Table(table), Holder: "a", LeaseDuration: testLeaseDuration, MaxRun: testMaxRun, Margin: testMargin})
		first.SetLimits(1, limits)
		qt.Assert(t, first.Start(t.Context()), qt.IsNil)
		permit, err := first.Acquire("team")
		qt.Assert(t, err, qt.IsNil)
		second := allotment.NewHolder(allotment.Options{Table: table, Holder: "b", LeaseDuration: testLeaseDuration, MaxRun: testMaxRun, Margin: testMargin})
		second.SetLimits(1, limits)
		qt.Assert(t, second.Start(t.Context()), qt.IsNil)
		pauser.Pause()
		time.Sleep(20 * time.Second)
		qt.Check(t, permit.Check(), qt.ErrorIs, allotment.ErrExpired)
		qt.Check(t, second.Usage("team").Held, qt.Equals, 2)
		pauser.Resume()
		time.Sleep(20 * time.Second)
		qt.Check(t, first.Usage("team").Held, qt.Equals, 1)
		qt.Check(t, permit.Check(), qt.ErrorIs, allotment.ErrExpired)
		permit.Release()
		permit.Release()
		qt.Check(t, first.Usage("team").InUse, qt.Equals, 0)
		qt.Check(t, first.Stop(t.Context()), qt.IsNil)
		qt.Check(t, second.Stop(t.Context()), qt.IsNil)
	})
}

// TestLimitReportedByNewHolder guards against an entry instance that reports a lowered limit to be in force before it
// has read what the others hold. TestUpperLimit found this fault.
func TestLimitReportedByNewHolder(t *testing.T) {
	p := standin.New(standin.Options{})
	p.SetFaults(standin.Faults{Down: true})
	h := allotment.NewHolder(allotment.Options{Table: p.Client(standin.Identity{}).Table(), Holder: "a"})
	h.SetLimits(2, map[string]int{"team": 5})
	qt.Check(t, h.Sync(t.Context()), qt.ErrorIs, provider.ErrUnavailable)
	qt.Check(t, h.Usage("team").Known, qt.IsFalse)
}

// TestLostPermitsDoNotGrowAllotment guards against a holder that increases its allotment because permits of one that it
// lost are still in use.
func TestLostPermitsDoNotGrowAllotment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		var pauser standin.Pauser
		limits := map[string]int{"team": 10}
		o := allotment.Options{Table: pauser.Table(table), Holder: "a", LeaseDuration: testLeaseDuration, MaxRun: testMaxRun, Margin: testMargin}
		first := allotment.NewHolder(o)
		first.SetLimits(1, limits)
		qt.Assert(t, first.Start(t.Context()), qt.IsNil)
		for range 8 {
			_, err := first.Acquire("team")
			qt.Assert(t, err, qt.IsNil)
		}
		pauser.Pause()
		o.Table, o.Holder = table, "b"
		second := allotment.NewHolder(o)
		second.SetLimits(1, limits)
		qt.Assert(t, second.Start(t.Context()), qt.IsNil)
		time.Sleep(20 * time.Second)
		pauser.Resume()
		for range 5 {
			_, err := second.Acquire("team")
			qt.Assert(t, err, qt.IsNil)
		}
		time.Sleep(20 * time.Second)
		qt.Assert(t, first.Usage("team").Held, qt.Equals, 5)
		for _, h := range []*allotment.Holder{first, second} {
			h.SetLimits(2, map[string]int{"team": 6})
		}
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			sum := first.Usage("team").Held + second.Usage("team").Held
			qt.Assert(t, sum <= 10, qt.IsTrue, qt.Commentf("holders have %d", sum))
		}
		qt.Check(t, first.Stop(t.Context()), qt.IsNil)
		qt.Check(t, second.Stop(t.Context()), qt.IsNil)
	})
}
