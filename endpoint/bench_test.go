package endpoint_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chivetiller/chivetiller/endpoint"
)

var start = time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)

// list returns workers in data centres dc0, dc1 and so on.
func list(workers, dataCentres, quota int) []endpoint.Endpoint {
	all := make([]endpoint.Endpoint, workers)
	for i := range all {
		all[i] = endpoint.Endpoint{ID: fmt.Sprintf("worker-%04d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres),
			Address: fmt.Sprintf("127.1.%d.%d:8080", i/250, i%250), Incarnation: 1, Quota: quota}
	}
	return all
}

// BenchmarkChoice measures one Acquire and Release in a pool of all workers. 90 % of the slots are in use, so
// that most endpoints are chosen in other data centres.
func BenchmarkChoice(b *testing.B) {
	for _, workers := range []int{50, 370, 3700} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := endpoint.NewSet(endpoint.Options{DataCentre: "dc0", Seed: 1})
			s.Update(start, list(workers, 10, 2))
			held := make([]string, 0, 2*workers)
			for len(held) < 2*workers*9/10 {
				e, _ := s.Acquire(start)
				held = append(held, e.ID)
			}
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				e, _ := s.Acquire(now)
				s.Release(now, held[i%len(held)], endpoint.OutcomeOK)
				held[i%len(held)] = e.ID
			}
			b.ReportMetric(5000, "bound-ns/op")
		})
	}
}

// BenchmarkUpdate measures an update with a new list of all workers of a pool.
func BenchmarkUpdate(b *testing.B) {
	for _, workers := range []int{50, 370, 3700} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := endpoint.NewSet(endpoint.Options{DataCentre: "dc0", Seed: 1})
			all := list(workers, 10, 2)
			for b.Loop() {
				s.Update(start, all)
			}
		})
	}
}

// BenchmarkQuotas measures the quotas of slots and connections of all endpoints after a change of the
// membership.
func BenchmarkQuotas(b *testing.B) {
	for _, members := range []int{7, 20, 70} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			q := endpoint.NewQuotas("entry0", time.Second)
			all := make([]endpoint.Member, 0, members)
			for i := range members {
				all = append(all, endpoint.Member{ID: fmt.Sprint("entry", i), DataCentre: fmt.Sprintf("dc%d", i%10)})
			}
			q.Update(start, all)
			now := start.Add(time.Second)
			workers := list(3700, 10, 0)
			for b.Loop() {
				for _, e := range workers {
					q.Quota(now, endpoint.SlotsPerEndpoint, e.ID, e.DataCentre)
					q.Quota(now, endpoint.ConnectionsPerEndpoint, e.ID, e.DataCentre)
				}
			}
		})
	}
}

// BenchmarkMemory reports the memory used by the sets of all pools.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ workers, pools int }{{50, 5}, {925, 68}, {3700, 273}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				sets := make([]*endpoint.Set, size.pools)
				for i := range sets {
					sets[i] = endpoint.NewSet(endpoint.Options{DataCentre: "dc0"})
					sets[i].Update(start, list(size.workers/size.pools, 10, 2))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(sets)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		})
	}
}
