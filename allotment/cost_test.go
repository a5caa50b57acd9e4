package allotment_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/allotment"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// countingTable counts the calls of a table, which take 4 ms each.
type countingTable struct {
	provider.Table
	reads, commits, conflicts atomic.Int64
}

func (c *countingTable) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	c.reads.Add(1)
	time.Sleep(4 * time.Millisecond)
	return c.Table.Read(ctx, keys...)
}

func (c *countingTable) Commit(ctx context.Context, txn provider.Txn) error {
	c.commits.Add(1)
	time.Sleep(4 * time.Millisecond)
	err := c.Table.Commit(ctx, txn)
	if err != nil {
		c.conflicts.Add(1)
	}
	return err
}

const instances = 7

func teams(n, limit int) map[string]int {
	limits := make(map[string]int, n)
	for i := range n {
		limits[fmt.Sprintf("team-%03d", i)] = limit
	}
	return limits
}

// full makes TestCost measure all numbers of teams, which takes minutes with the race detector.
var full = flag.Bool("full", false, "measure the cost at all numbers of teams")

// TestCost guards against renewals that need more reads and writes than the platform's budget has for allotments. It
// reports the cost by number of teams.
func TestCost(t *testing.T) {
	// At 360 teams, 12 % of the 42 writes and 280 reads per second that one instance may make.
	const maxCommits, maxReads = 5.0 / 360, 33.0 / 360
	loads := map[string]func(*allotment.Holder, map[string]int, *rand.Rand){
		"idle": func(*allotment.Holder, map[string]int, *rand.Rand) {},
		// Each second, a tenth of the teams has as many requests at one instance as the limit allows.
		"moving demand": func(h *allotment.Holder, limits map[string]int, random *rand.Rand) {
			for team, limit := range limits {
				for range limit {
					if random.IntN(10) > 0 {
						break
					}
					if permit, err := h.Acquire(team); err == nil {
						time.AfterFunc(time.Duration(random.Int64N(int64(time.Second))), permit.Release)
					}
				}
			}
		},
		// At each instance, all teams always have more requests than the limit allows.
		"over the limit": func(h *allotment.Holder, limits map[string]int, random *rand.Rand) {
			for team := range limits {
				for {
					permit, err := h.Acquire(team)
					if err != nil {
						break
					}
					time.AfterFunc(time.Duration(random.Int64N(int64(time.Second))), permit.Release)
				}
			}
		},
	}
	sizes := []int{90}
	if *full {
		sizes = []int{90, 180, 360, 720}
	}
	for name, load := range loads {
		for _, n := range sizes {
			t.Run(fmt.Sprintf("%s, %d teams", name, n), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					table := &countingTable{Table: standin.NewTable()}
					limits := teams(n, 40)
					ctx, cancel := context.WithCancel(t.Context())
					holders := make([]*allotment.Holder, instances)
					for i := range holders {
						h := allotment.NewHolder(allotment.Options{Table: table, Holder: fmt.Sprint(i)})
						h.SetLimits(1, limits)
						qt.Assert(t, h.Start(ctx), qt.IsNil)
						holders[i] = h
						random := rand.New(rand.NewPCG(1, uint64(i)))
						go func() {
							for ; ctx.Err() == nil; time.Sleep(time.Second) {
								load(h, limits, random)
							}
						}()
					}
					time.Sleep(20 * time.Second)
					reads, commits, conflicts := table.reads.Load(), table.commits.Load(), table.conflicts.Load()
					const measured = time.Minute
					time.Sleep(measured)
					rate := func(now, before int64) float64 { return float64(now-before) / measured.Seconds() / instances }
					perCommit, perRead := rate(table.commits.Load(), commits), rate(table.reads.Load(), reads)
					t.Logf("%s, %d teams: %.2f commits/s, %.2f conflicts/s, %.2f reads/s an instance", name, n, perCommit, rate(table.conflicts.Load(), conflicts), perRead)
					qt.Check(t, perCommit <= maxCommits*float64(n), qt.IsTrue)
					qt.Check(t, perRead <= maxReads*float64(n), qt.IsTrue)
					cancel()
					time.Sleep(2 * time.Second)
					for _, h := range holders {
						qt.Check(t, h.Stop(t.Context()), qt.IsNil)
					}
				})
			})
		}
	}
}

// BenchmarkPermit measures one request at an instance with 360 teams.
func BenchmarkPermit(b *testing.B) {
	h := allotment.NewHolder(allotment.Options{Table: standin.NewTable(), Holder: "a"})
	h.SetLimits(1, teams(360, 40))
	qt.Assert(b, h.Sync(b.Context()), qt.IsNil)
	b.ReportAllocs()
	for b.Loop() {
		permit, err := h.Acquire("team-007")
		if err != nil || permit.Check() != nil {
			b.Fatal(err)
		}
		permit.Release()
	}
}

// BenchmarkMemory measures the memory of one of seven instances per team, once all rows are known.
func BenchmarkMemory(b *testing.B) {
	const n = 360
	for b.Loop() {
		table := standin.NewTable()
		holders := make([]*allotment.Holder, instances)
		var before, after runtime.MemStats
		for i := range holders {
			holders[i] = allotment.NewHolder(allotment.Options{Table: table, Holder: fmt.Sprintf("entry-%d/0192f0c1", i)})
			holders[i].SetLimits(1, teams(n, 40))
			qt.Assert(b, holders[i].Sync(b.Context()), qt.IsNil)
		}
		rows, err := table.Scan(b.Context(), "allotment/", "", n)
		qt.Assert(b, err, qt.IsNil)
		size := 0
		for _, row := range rows {
			size += len(row.Value)
		}
		runtime.GC()
		runtime.ReadMemStats(&before)
		h := allotment.NewHolder(allotment.Options{Table: table, Holder: "entry-7/0192f0c1"})
		h.SetLimits(1, teams(n, 40))
		qt.Assert(b, h.Sync(b.Context()), qt.IsNil)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/team")
		b.ReportMetric(float64(size)/n, "row-B/team")
		runtime.KeepAlive(h)
		runtime.KeepAlive(holders)
	}
}
