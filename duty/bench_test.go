package duty_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/job"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/wave"
)

// BenchmarkFleetPass measures one pass over all pools by one process that holds every duty, while a wave runs over
// all pools. The table is in memory. A pass should take at most a tenth of the interval of 1 s.
func BenchmarkFleetPass(b *testing.B) {
	for _, count := range []int{5, 50, 273} {
		b.Run(fmt.Sprintf("pools=%d", count), func(b *testing.B) {
			table, fleet := standin.NewTable(), newFakeFleet(0)
			var pools []pool.Pool
			for i := range count {
				pools = append(pools, mustPool(pool.Spec{Name: fmt.Sprintf("p%03d", i), MaxUnavailable: "20%"}))
				fleet.addPool(table, pools[i].Name(), 13+i%2)
			}
			rows := listInstances(b, table)
			createWave(b, table, wave.Spec{Name: "w"}, pools, rows)
			holder, lease := duty.NewFleet(duty.FleetOptions{Table: table, Instances: fleet, Pools: func() []pool.Pool { return pools }}), newFakeLease(table)
			for b.Loop() {
				if err := holder.Pass(b.Context(), lease); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/1000/float64(b.N), "pass-ms")
			b.ReportMetric(float64(len(rows)), "workers")
		})
	}
}

// BenchmarkJobsPass measures one pass over the jobs of a data centre in which most workers are full. The pass also
// places an urgent job, so the figure includes the time from its submission to its start. The table is in memory.
// A pass should take at most half of the interval of 1 s, so that urgent jobs start within 2.1 s.
func BenchmarkJobsPass(b *testing.B) {
	for _, workers := range []int{17, 100, 370} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := standin.New(standin.Options{})
			fleet := newFakeFleet(0)
			fleet.addPool(p.Table(), "support", 3*workers)
			store := job.NewStore(p.Table(), nil)
			submit := func(urgent bool) {
				j, err := job.New(job.Spec{Kind: "k", Team: "t", Cores: 6, Memory: gib, Urgent: urgent}, "dc0", time.Now())
				if err == nil {
					err = store.Submit(b.Context(), j)
				}
				if err != nil {
					b.Fatal(err)
				}
			}
			for range 12 * workers {
				submit(false)
			}
			holder, lease := duty.NewJobs(duty.JobsOptions{
				Table: p.Table(), Instances: fleet, Tasks: p.Tasks(), DataCentres: func() []string { return []string{"dc0"} },
			}), newFakeLease(p.Table())
			pass := func() {
				if err := holder.Pass(b.Context(), lease); err != nil {
					b.Fatal(err)
				}
			}
			pass()
			for b.Loop() {
				submit(true)
				pass()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/1000/float64(b.N), "pass-ms")
			b.ReportMetric(float64(12*workers), "jobs")
		})
	}
}
