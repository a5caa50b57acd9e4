package queue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/queue"
	"github.com/chivetiller/chivetiller/team"
)

var morning = time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)

// newScheduler returns a scheduler with classes c0 and c1 and teams t0, t1 and so on.
func newScheduler(tb testing.TB, o queue.Options, slots, teams int) *queue.Scheduler {
	tb.Helper()
	classes := make([]class.Class, 0, 2)
	for i, share := range []float64{0.6, 0.4} {
		c, err := class.New(class.Spec{Name: fmt.Sprint("c", i), Pool: "pool", Target: "10s", Share: share})
		if err != nil {
			tb.Fatal(err)
		}
		classes = append(classes, c)
	}
	list := make([]team.Team, teams)
	for i := range list {
		list[i], _ = team.New(team.Spec{Name: fmt.Sprint("t", i), Share: 1, UpperLimit: 1})
	}
	s := queue.NewScheduler(o)
	s.Configure(classes, list)
	s.SetCapacity(morning, slots)
	return s
}

func request(id, class, team string, now time.Time) queue.Request {
	return queue.Request{ID: id, Class: class, Team: team, Arrival: now, Deadline: now.Add(10 * time.Second), Bytes: 1000}
}

// BenchmarkRequest measures one Offer, Next and Finished while every team has four queued requests.
func BenchmarkRequest(b *testing.B) {
	for _, teams := range []int{6, 60, 360} {
		for _, blocked := range []int{0, 10} {
			b.Run(fmt.Sprintf("teams=%d/blocked=%d%%", teams, blocked), func(b *testing.B) {
				s := newScheduler(b, queue.Options{}, 64, teams)
				ids, names := make([]string, 1<<14), make([]string, teams)
				for i := range ids {
					ids[i] = fmt.Sprint("request-", i)
				}
				limited := map[string]bool{}
				for i := range names {
					names[i] = fmt.Sprint("t", i)
					limited[names[i]] = i%100 < blocked
				}
				mayRun := func(team string) bool { return !limited[team] }
				now, classes := morning, []string{"c0", "c1"}
				running := make([]queue.Request, 0, 64)
				n := 0
				offer := func() {
					// Blocked teams stay at four queued requests.
					team := names[n%teams]
					if err := s.Offer(now, request(ids[n%len(ids)], classes[n/teams%2], team, now)); err != nil && n < 8*teams {
						b.Fatal(err)
					}
					n++
				}
				for range 8 * teams {
					offer()
				}
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(100 * time.Microsecond)
					offer()
					if r, ok := s.Next(now, mayRun); ok {
						running = append(running, r)
					}
					if len(running) == cap(running) {
						for _, r := range running {
							s.Finished(now, r, 5*time.Millisecond)
						}
						running = running[:0]
					}
				}
			})
		}
	}
}

// BenchmarkExpire measures the search for expired requests, every 5 ms and without finding any.
func BenchmarkExpire(b *testing.B) {
	for _, teams := range []int{6, 60, 360} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := newScheduler(b, queue.Options{}, 64, teams)
			for i := range 2 * teams {
				r := request(fmt.Sprint(i), fmt.Sprint("c", i/teams), fmt.Sprint("t", i%teams), morning)
				r.Deadline = morning.AddDate(1, 0, 0)
				_ = s.Offer(morning, r)
			}
			now := morning
			for b.Loop() {
				now = now.Add(5 * time.Millisecond)
				s.Expire(now)
			}
		})
	}
}

// BenchmarkMemory reports the memory of the schedulers of all pools after each team has used both
// classes of each pool that it works with; a team works with a tenth of the pools and at least one.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ pools, teams int }{{5, 6}, {68, 90}, {273, 360}} {
		b.Run(fmt.Sprintf("pools=%d", size.pools), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				all := make([]*queue.Scheduler, size.pools)
				for i := range all {
					all[i] = newScheduler(b, queue.Options{}, 64, size.teams)
					for j := range 2 * max(size.teams/10, 1) {
						r := request("r", fmt.Sprint("c", j%2), fmt.Sprint("t", j/2), morning)
						_ = all[i].Offer(morning, r)
						all[i].Next(morning, nil)
						all[i].Finished(morning, r, time.Millisecond)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(all)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		})
	}
}
