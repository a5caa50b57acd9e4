package claim_test

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

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/claim"
	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/history"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// seeds is how many seeds the tests with random faults use.
var seeds = flag.Uint64("seeds", 12, "number of seeds")

// TestAtMostOnce guards against a request that runs twice or receives the response to another one, and against a key
// that remains claimed although its request did not run. Callers repeat requests through several entry instances.
// These are paused and partitioned, and the table is unavailable, slow, or loses and repeats messages.
func TestAtMostOnce(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testAtMostOnce(t, seed) })
		})
	}
}

// faultRun is the state of one test run under random faults.
type faultRun struct {
	recorder history.Recorder

	mu      sync.Mutex
	stores  []*claim.Store
	pausers []*standin.Pauser
	ran     map[string]bool
}

// liveInstance returns the current incarnation of an entry instance.
func (s *faultRun) liveInstance(i int) (*claim.Store, *standin.Pauser) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stores[i], s.pausers[i]
}

func testAtMostOnce(t *testing.T, seed uint64) {
	p := standin.New(standin.Options{Seed: seed})
	s := &faultRun{ran: make(map[string]bool)}
	o := standin.RandomFaultOptions{Seed: seed, MeanDuration: 6 * time.Second}
	start := func(i int) (*claim.Store, *standin.Pauser) {
		pauser := &standin.Pauser{}
		table := pauser.Table(p.Client(standin.Identity{Client: fmt.Sprint(i)}).Table())
		client := provider.NewClient(provider.ClientOptions{Table: table, Writes: 1000, Reads: 1000})
		return claim.NewStore(claim.Options{Table: client.For(provider.UserClaims), Owner: ident.New()}), pauser
	}
	for i := range 3 {
		store, pauser := start(i)
		s.stores, s.pausers = append(s.stores, store), append(s.pausers, pauser)
		o.Clients = append(o.Clients, standin.Identity{Client: fmt.Sprint(i)})
	}
	o.Pausers = slices.Clone(s.pausers)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	var callers sync.WaitGroup
	const keys = 150
	for key := range keys {
		random := rand.New(rand.NewPCG(seed, uint64(100+key)))
		for range 2 {
			begin := time.Duration(random.Int64N(int64(2 * time.Minute)))
			random := rand.New(rand.NewPCG(seed, random.Uint64()))
			callers.Go(func() {
				time.Sleep(begin)
				s.sendRequest(ctx, fmt.Sprintf("key %d", key), random)
			})
		}
	}
	// With odd seeds, one entry instance crashes and is replaced. Its claims remain without an outcome.
	crash := seed%2 == 1
	crashed, crashedPauser := s.liveInstance(2)
	if crash {
		o.Pausers = o.Pausers[:2]
		callers.Go(func() {
			time.Sleep(time.Minute)
			crashedPauser.Pause()
			store, pauser := start(2)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.stores[2], s.pausers[2] = store, pauser
		})
	}
	p.InjectRandomFaults(ctx, o)
	if crash {
		// The crashed process resumes, so that its goroutines can end. It then acts late, as a process can after a long
		// pause.
		time.Sleep(30 * time.Second)
		crashedPauser.Resume()
		defer func() { qt.Check(t, crashed.Stop(context.Background()), qt.IsNil) }()
	}
	callers.Wait()
	time.Sleep(time.Minute)
	operations := s.recorder.Operations()
	qt.Check(t, len(s.ran) > keys/2, qt.IsTrue, qt.Commentf("%d of %d requests ran", len(s.ran), keys))
	qt.Check(t, history.Check(history.AtMostOnce(), operations), qt.IsNil)
	qt.Check(t, history.Check(history.OwnAnswer(), operations), qt.IsNil)
	for key := range keys {
		name := fmt.Sprintf("key %d", key)
		c, err := s.stores[0].Claim(t.Context(), "team", name, [32]byte{})
		var taken *claim.TakenError
		switch {
		case err == nil:
			qt.Check(t, s.ran[name], qt.IsFalse, qt.Commentf("%s ran and can be claimed", name))
			c.Release()
		case errors.As(err, &taken):
			qt.Check(t, s.ran[name] && taken.Stored || crash && !taken.Done, qt.IsTrue, qt.Commentf("%s ran: %v, but: %+v", name, s.ran[name], taken))
		default:
			t.Error(err)
		}
	}
	for _, store := range s.stores {
		qt.Check(t, store.Stop(t.Context()), qt.IsNil)
	}
}

// sendRequest tries a request up to six times, each time through a random entry instance.
func (s *faultRun) sendRequest(ctx context.Context, key string, random *rand.Rand) {
	for range 6 {
		i := random.IntN(3)
		wait, cancel := context.WithTimeout(ctx, time.Duration(random.Int64N(int64(3*time.Second))))
		store, pauser := s.liveInstance(i)
		c, err := store.Claim(wait, "team", key, [32]byte{})
		cancel()
		pauser.Wait()
		var taken *claim.TakenError
		switch {
		case err == nil && random.IntN(4) == 0:
			c.Release()
		case err == nil:
			body := key + " " + ident.New()
			s.recorder.Add(0, history.Run{ID: key}, nil)
			s.recorder.Add(0, history.Response{ID: key, Body: body}, nil)
			s.mu.Lock()
			s.ran[key] = true
			s.mu.Unlock()
			time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
			pauser.Wait()
			c.Done([]byte(body))
			return
		case errors.As(err, &taken) && taken.Stored:
			s.recorder.Add(0, history.Exchange{ID: key}, string(taken.Response))
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(5 * time.Second))))
	}
}
