package wave_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chivetiller/chivetiller/wave"
)

// BenchmarkRollout measures the duration of a wave, in virtual time, as a ratio to the minimum duration that the
// budget allows. It compares the planner with two baselines: one stop at a time per pool, and a tenth of each pool.
// Bounds: rollout-ratio at most 1.2, at most 1.4 if a tenth of the stops fails, violations 0.
func BenchmarkRollout(b *testing.B) {
	fleets := map[string]struct{ pools, low, high int }{
		"directorate": {5, 9, 12},
		"nilbelt":     {5, 9, 12},
		"pools=50":    {50, 11, 16},
		"pools=273":   {273, 11, 16},
	}
	budgets := map[string]string{"directorate": "20%", "nilbelt": "30%", "pools=50": "20%", "pools=273": "20%"}
	strategies := map[string]strategy{
		"plan":  wave.Plan,
		"one":   fixedLimit(func(int) int { return 1 }),
		"tenth": fixedLimit(func(size int) int { return max(1, size/10) }),
	}
	for name, size := range fleets {
		for _, failing := range []float64{0, 0.1} {
			for kind, choose := range strategies {
				b.Run(name+"/failing="+map[float64]string{0: "0", 0.1: "tenth"}[failing]+"/"+kind, func(b *testing.B) {
					var ratio, worst float64
					violations := 0
					var slowest time.Duration
					n := 0
					for b.Loop() {
						for seed := range uint64(max(1, 60/size.pools)) {
							fleet := simFleet(rand.New(rand.NewPCG(seed, 1)), size.pools, size.low, size.high, budgets[name], failing)
							var least time.Duration
							for _, sp := range fleet {
								least = max(least, sp.minDuration())
							}
							out := simulateWave(fleet, choose)
							each := out.took.Seconds() / least.Seconds()
							ratio += each
							worst = max(worst, each)
							violations += out.violations
							slowest = max(slowest, out.slowestPass)
							n++
						}
					}
					b.ReportMetric(ratio/float64(n), "rollout-ratio")
					b.ReportMetric(worst, "rollout-ratio-worst")
					b.ReportMetric(float64(violations), "violations")
					b.ReportMetric(float64(slowest.Microseconds())/1000, "plan-ms")
				})
			}
		}
	}
}

// BenchmarkPlan measures the time to plan all pools once, when every pool has stops to begin.
// Bound: 10 ms at 3,700 workers and 273 pools.
func BenchmarkPlan(b *testing.B) {
	for name, pools := range map[string]int{"pools=5": 5, "pools=50": 50, "pools=273": 273} {
		b.Run(name, func(b *testing.B) {
			fleet := simFleet(rand.New(rand.NewPCG(1, 1)), pools, 11, 16, "20%", 0)
			members := make([][]wave.Member, len(fleet))
			workers := 0
			for i, sp := range fleet {
				for _, in := range sp.instances {
					members[i] = append(members[i], wave.Member{ID: in.row.ID, Rack: in.row.Rack, DataCentre: in.row.DataCentre, Pending: true})
					workers++
				}
			}
			for b.Loop() {
				for i, sp := range fleet {
					wave.Plan(sp.pool, members[i])
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/1000/float64(b.N), "plan-ms")
			b.ReportMetric(float64(workers), "workers")
		})
	}
}
