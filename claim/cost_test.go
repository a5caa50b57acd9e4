package claim_test

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/claim"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// countingTable counts the commits of a table, whose calls take 4 ms each.
type countingTable struct {
	provider.Table
	commits atomic.Int64
}

func (c *countingTable) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	time.Sleep(4 * time.Millisecond)
	return c.Table.Read(ctx, keys...)
}

func (c *countingTable) Commit(ctx context.Context, txn provider.Txn) error {
	c.commits.Add(1)
	time.Sleep(4 * time.Millisecond)
	return c.Table.Commit(ctx, txn)
}

// TestThroughput guards against claims that need a transaction each. It reports how many claims seven instances can make
// with the default budget, which keeps them below 300 writes per second in total.
func TestThroughput(t *testing.T) {
	const instances = 7
	for _, callers := range []int{10, 100, 400} {
		t.Run(fmt.Sprintf("%d callers an instance", callers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &countingTable{Table: standin.NewTable()}
				var claims, refused, waited atomic.Int64
				ctx, cancel := context.WithCancel(context.Background())
				stores := make([]*claim.Store, instances)
				for i := range stores {
					client := provider.NewClient(provider.ClientOptions{Table: table})
					store := claim.NewStore(claim.Options{Table: client.For(provider.UserClaims), Owner: fmt.Sprint(i)})
					stores[i] = store
					for j := range callers {
						go func() {
							for k := 0; ctx.Err() == nil; k++ {
								begin := time.Now()
								c, err := store.Claim(ctx, "team", fmt.Sprint(i, j, k), [32]byte{})
								if err != nil {
									refused.Add(1)
									time.Sleep(100 * time.Millisecond)
									continue
								}
								claims.Add(1)
								waited.Add(int64(time.Since(begin)))
								time.Sleep(10 * time.Millisecond)
								c.Done([]byte("response"))
							}
						}()
					}
				}
				// The burst allowance of the budget is used up in the first seconds.
				time.Sleep(5 * time.Second)
				firstClaims, firstRefused, firstCommits, firstWaited := claims.Load(), refused.Load(), table.commits.Load(), waited.Load()
				const measured = 10
				time.Sleep(measured * time.Second)
				n := claims.Load() - firstClaims
				commits := float64(table.commits.Load()-firstCommits) / measured
				pending := 0
				for _, s := range stores {
					pending += s.PendingOutcomes()
				}
				t.Logf("%d callers: %.0f claims/s, %.0f refused/s, %.0f commits/s, mean wait %v, %d outcomes pending", instances*callers,
					float64(n)/measured, float64(refused.Load()-firstRefused)/measured, commits, time.Duration((waited.Load()-firstWaited)/n).Round(time.Millisecond), pending)
				qt.Check(t, commits <= 300, qt.IsTrue)
				cancel()
				time.Sleep(time.Second)
				for _, s := range stores {
					qt.Check(t, s.Stop(t.Context()), qt.IsNil)
				}
			})
		})
	}
}

// BenchmarkClaim measures the processor time of a claim with its outcome, and the memory of a claim in flight.
func BenchmarkClaim(b *testing.B) {
	table := standin.NewTable()
	store := claim.NewStore(claim.Options{Table: table, Owner: "a", BatchDelay: time.Microsecond})
	b.ReportAllocs()
	b.SetParallelism(64)
	var n atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c, err := store.Claim(context.Background(), "team", fmt.Sprint(n.Add(1)), [32]byte{})
			if err != nil {
				b.Error(err)
				return
			}
			c.Done([]byte("response"))
		}
	})
	b.StopTimer()
	qt.Assert(b, store.Stop(b.Context()), qt.IsNil)
	var before, after runtime.MemStats
	const held = 10000
	claims := make([]*claim.Claim, 0, held)
	store = claim.NewStore(claim.Options{Table: standin.NewTable(), Owner: "b", BatchDelay: time.Microsecond})
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range held {
		c, err := store.Claim(context.Background(), "team", fmt.Sprint(i), [32]byte{})
		qt.Assert(b, err, qt.IsNil)
		claims = append(claims, c)
	}
	rows, err := table.Scan(b.Context(), "claim/", "", 1)
	qt.Assert(b, err, qt.IsNil)
	runtime.GC()
	runtime.ReadMemStats(&after)
	// The stand-in's table is in the same heap, so the figure includes the row.
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/held, "B/claim-with-row")
	b.ReportMetric(float64(len(rows[0].Value)+len(rows[0].Key)), "row-B/claim")
	runtime.KeepAlive(claims)
	runtime.KeepAlive(table)
	_ = store.Stop(b.Context())
}
