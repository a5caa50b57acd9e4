package provider_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// TestCommitOnce guards against a transaction that takes effect twice, or whose reported outcome is false,
// when responses are lost, effects are delayed and messages are duplicated.
func TestCommitOnce(t *testing.T) {
	faults := map[string]standin.Faults{
		"none":          {},
		"lost response": {LoseResponse: 0.3},
		"late":          {Late: 0.3, LateBy: 700 * time.Millisecond},
		"duplicate":     {Duplicate: 0.5, LateBy: 5 * time.Second},
		"all":           {LoseResponse: 0.2, Late: 0.2, Duplicate: 0.3, LateBy: 2 * time.Second, Delay: 30 * time.Millisecond},
	}
	for name, f := range faults {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { commitOnce(t, f, seed) })
			})
		}
	}
}

func commitOnce(t *testing.T, faults standin.Faults, seed uint64) {
	p := standin.New(standin.Options{Seed: seed})
	p.SetFaults(faults)
	var (
		mu       sync.Mutex
		outcomes = make(map[string]error)
		wg       sync.WaitGroup
	)
	for i := range 4 {
		client := provider.NewClient(provider.ClientOptions{Table: p.Client(standin.Identity{Client: fmt.Sprint(i)}).Table(), Writes: 1000, Reads: 1000})
		table := client.For(provider.UserConfig)
		wg.Go(func() {
			for range 25 {
				rows, err := table.Read(context.Background(), "counter")
				if err != nil {
					continue
				}
				count, version := uint64(0), uint64(0)
				if len(rows) > 0 {
					count, version = binary.BigEndian.Uint64(rows[0].Value), rows[0].Version
				}
				id := ident.New()
				err = table.Commit(context.Background(), provider.Txn{
					OperationID: id,
					Checks:      []provider.Check{{Key: "counter", Version: version}, {Key: "log/" + id}},
					Writes: []provider.Write{
						{Key: "counter", Value: binary.BigEndian.AppendUint64(nil, count+1)},
						{Key: "log/" + id},
					},
				})
				mu.Lock()
				outcomes[id] = err
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	rows, err := p.Table().Scan(t.Context(), "log/", "", 1000)
	qt.Assert(t, err, qt.IsNil)
	succeeded := 0
	for id, err := range outcomes {
		matches := 0
		for _, kind := range []error{provider.ErrConflict, provider.ErrUnavailable, provider.ErrUnknownOutcome, provider.ErrOverBudget} {
			if errors.Is(err, kind) {
				matches++
			}
		}
		qt.Check(t, matches <= 1, qt.IsTrue, qt.Commentf("error is ambiguous: %v", err))
		found := slices.ContainsFunc(rows, func(r provider.Row) bool { return r.Key == "log/"+id })
		switch {
		case err == nil:
			succeeded++
			qt.Check(t, found, qt.IsTrue, qt.Commentf("committed transaction has no effect"))
		case !errors.Is(err, provider.ErrUnknownOutcome):
			qt.Check(t, found, qt.IsFalse, qt.Commentf("failed transaction took effect: %v", err))
		}
	}
	qt.Check(t, succeeded > 10, qt.IsTrue, qt.Commentf("%d transactions succeeded", succeeded))
	counter, err := p.Table().Read(t.Context(), "counter")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, binary.BigEndian.Uint64(counter[0].Value), qt.Equals, uint64(len(rows)))
}

// TestOperationRows guards against operation rows that accumulate, both of running processes and of those that have ended.
func TestOperationRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Options{})
		client := provider.NewClient(provider.ClientOptions{Table: p.Client(standin.Identity{}).Table()})
		count := func() int {
			rows, err := p.Table().Scan(t.Context(), "op/", "", 1000)
			qt.Assert(t, err, qt.IsNil)
			return len(rows)
		}
		for i := range 600 {
			key := fmt.Sprint("row ", i)
			qt.Assert(t, client.For(provider.UserClaims).Commit(t.Context(), provider.Txn{
				Checks: []provider.Check{{Key: key}}, Writes: []provider.Write{{Key: key}},
			}), qt.IsNil)
			time.Sleep(time.Second)
			qt.Assert(t, count() <= 31, qt.IsTrue, qt.Commentf("%d rows after %d transactions", count(), i+1))
		}
		left := count()
		cleaner := provider.NewOperationCleaner(client.For(provider.UserHousekeeping))
		for _, want := range []int{0, left - 5, 5} {
			removed, _, err := cleaner.Clean(t.Context(), time.Now(), left-5, nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, removed, qt.Equals, want)
			if want == 0 {
				time.Sleep(provider.OrphanedOperationRetention)
			}
		}
	})
}

// TestUncheckedWrite guards against a write without a check. A late duplicate of such a transaction could overwrite a newer
// row.
func TestUncheckedWrite(t *testing.T) {
	client := provider.NewClient(provider.ClientOptions{Table: standin.NewTable()})
	err := client.For(provider.UserJobs).Commit(t.Context(), provider.Txn{Writes: []provider.Write{{Key: "k"}}})
	qt.Check(t, err, qt.ErrorMatches, `transaction writes row "k" without a check of its version`)
}

// TestShedding guards against calls that are shed in the wrong order, and against shedding any calls of configuration,
// leases, claims or allotments while the platform is slow or down.
func TestShedding(t *testing.T) {
	users := []provider.User{
		provider.UserHistory, provider.UserHousekeeping, provider.UserJobs, provider.UserMoves, provider.UserWaves,
		provider.UserConfig, provider.UserLeases, provider.UserClaims, provider.UserAllotments,
	}
	tests := map[string]struct {
		faults standin.Faults
		state  provider.State
		shed   int
	}{
		"up":               {state: provider.StateUp},
		"slow":             {faults: standin.Faults{Delay: 150 * time.Millisecond}, state: provider.StateSlow, shed: 2},
		"slower":           {faults: standin.Faults{Delay: 250 * time.Millisecond}, state: provider.StateSlow, shed: 3},
		"nearly useless":   {faults: standin.Faults{Delay: 450 * time.Millisecond}, state: provider.StateSlow, shed: 5},
		"down":             {faults: standin.Faults{Down: true}, state: provider.StateDown, shed: 5},
		"never in time":    {faults: standin.Faults{Delay: time.Minute}, state: provider.StateDown, shed: 5},
		"half of it fails": {faults: standin.Faults{LoseResponse: 0.5}, state: provider.StateUp},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := standin.New(standin.Options{Seed: 1})
				client := provider.NewClient(provider.ClientOptions{Table: p.Client(standin.Identity{}).Table()})
				p.SetFaults(tt.faults)
				for range 40 {
					client.For(provider.UserLeases).Read(t.Context(), "k")
				}
				qt.Check(t, client.State(), qt.Equals, tt.state)
				for i, user := range users {
					qt.Check(t, client.Shed(user), qt.Equals, i < tt.shed, qt.Commentf("%s", user))
				}
				p.SetFaults(standin.Faults{})
				for range 40 {
					client.For(provider.UserHistory).Read(t.Context(), "k")
					time.Sleep(1100 * time.Millisecond)
				}
				qt.Check(t, client.State(), qt.Equals, provider.StateUp, qt.Commentf("no way back without other calls"))
			})
		})
	}
}

// TestBudget guards against a user that takes the budget of the others, and against a process that exceeds its budget.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		client := provider.NewClient(provider.ClientOptions{Table: table, Writes: 50, Reads: 100})
		send := func(user provider.User, d time.Duration) (sent, refused int) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if _, err := client.For(user).Read(t.Context(), "k"); errors.Is(err, provider.ErrOverBudget) {
					refused++
				} else {
					sent++
				}
			}
			return sent, refused
		}
		var wg sync.WaitGroup
		var sent [3]int
		for i, user := range []provider.User{provider.UserHistory, provider.UserJobs, provider.UserClaims} {
			wg.Go(func() { sent[i], _ = send(user, 10*time.Second) })
		}
		wg.Wait()
		qt.Check(t, sent[2] >= 36*10, qt.IsTrue, qt.Commentf("claims sent %d of the 360 reserved", sent[2]))
		total := sent[0] + sent[1] + sent[2]
		qt.Check(t, total <= 11*100, qt.IsTrue, qt.Commentf("%d calls in 10 s", total))
	})
}

// BenchmarkCommit measures a transaction through the client, both within one process and over HTTP on loopback.
func BenchmarkCommit(b *testing.B) {
	p := standin.New(standin.Options{})
	server, err := standin.Serve(p, "127.0.0.1:0", hclog.NewNullLogger())
	qt.Assert(b, err, qt.IsNil)
	defer server.Stop(context.Background())
	remote := standin.NewRemote(standin.RemoteOptions{Address: server.Address()})
	defer remote.Close()
	for name, table := range map[string]provider.Table{"direct": p.Table(), "HTTP": remote.Table()} {
		b.Run(name, func(b *testing.B) {
			client := provider.NewClient(provider.ClientOptions{Table: table, Writes: 1e9, Reads: 1e9})
			b.ReportAllocs()
			for b.Loop() {
				key := ident.New()
				txn := provider.Txn{Checks: []provider.Check{{Key: key}}, Writes: []provider.Write{{Key: key}}}
				if err := client.For(provider.UserClaims).Commit(b.Context(), txn); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
