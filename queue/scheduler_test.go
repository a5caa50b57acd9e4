package queue_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/queue"
)

const service = 10 * time.Millisecond

// serveBacklogged runs the scheduler from now for the given time, with requests of the same service time and
// with the given queues of class and team always backlogged. It returns how many requests of each queue ran.
func serveBacklogged(s *queue.Scheduler, now time.Time, length time.Duration, queues ...[2]string) map[[2]string]int {
	ran := map[[2]string]int{}
	var running []queue.Request
	for at := now; at.Before(now.Add(length)); at = at.Add(service) {
		for _, r := range running {
			s.Finished(at, r, service)
		}
		running = running[:0]
		for _, q := range queues {
			for n := range 50 {
				_ = s.Offer(at, request(fmt.Sprint(q, at.UnixNano(), n), q[0], q[1], at))
			}
		}
		for {
			r, ok := s.Next(at, nil)
			if !ok {
				break
			}
			ran[[2]string{r.Class, r.Team}]++
			running = append(running, r)
		}
	}
	for _, r := range running {
		s.Finished(now.Add(length), r, service)
	}
	return ran
}

// TestRejection guards against requests that are admitted although they cannot finish in time, or rejected
// with a wrong reason.
func TestRejection(t *testing.T) {
	soon := func(r queue.Request) queue.Request { r.Deadline = morning.Add(time.Millisecond); return r }
	base := request("x", "c0", "t0", morning)
	tests := map[string]struct {
		slots, queued int
		request       queue.Request
		want          queue.Reason
	}{
		"free slot":      {1, 0, base, ""},
		"unknown class":  {1, 0, request("x", "c9", "t0", morning), queue.ReasonUnknownClass},
		"duplicate":      {1, 1, request("0", "c0", "t0", morning), queue.ReasonDuplicate},
		"no capacity":    {0, 0, base, queue.ReasonNoCapacity},
		"past deadline":  {1, 0, queue.Request{ID: "x", Class: "c0", Team: "t0", Deadline: morning}, queue.ReasonDeadline},
		"queue too long": {1, 10, soon(base), queue.ReasonDeadline},
		"too many":       {1, 60, base, queue.ReasonQueueFull},
		"too large":      {1, 0, queue.Request{ID: "x", Class: "c0", Bytes: 1<<20 + 1, Deadline: morning.Add(time.Second)}, queue.ReasonQueueFull},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(t, queue.Options{MaxRequests: 100, MaxBytes: 1 << 20}, tt.slots, 2)
			for i := range tt.queued {
				_ = s.Offer(morning, request(fmt.Sprint(i), "c0", "t0", morning))
			}
			err := s.Offer(morning, tt.request)
			var rejection *queue.Rejection
			if errors.As(err, &rejection) {
				qt.Assert(t, rejection.Reason, qt.Equals, tt.want)
				return
			}
			qt.Assert(t, tt.want, qt.Equals, queue.Reason(""), qt.Commentf("admitted"))
		})
	}
}

// TestReclaim guards against a class that uses the unused share of another class for more than a second
// after that class needs it, and against slots of a class that are not divided by the shares of its teams.
func TestReclaim(t *testing.T) {
	s := newScheduler(t, queue.Options{}, 20, 2)
	alone := serveBacklogged(s, morning, 5*time.Second, [2]string{"c0", "t0"})
	qt.Assert(t, alone[[2]string{"c0", "t0"}], qt.Equals, 500*20)
	both := [][2]string{{"c0", "t0"}, {"c0", "t1"}, {"c1", "t0"}}
	serveBacklogged(s, morning.Add(5*time.Second), time.Second, both...)
	ran := serveBacklogged(s, morning.Add(6*time.Second), time.Second, both...)
	for i, want := range []float64{600, 600, 800} {
		got := float64(ran[both[i]])
		qt.Assert(t, got >= 0.95*want && got <= 1.05*want, qt.IsTrue, qt.Commentf("%v ran %v, share %v", both[i], got, want))
	}
}

// TestSurgeLeavesRoom guards against a surge of one team that fills the bounded queue, so that requests of
// other classes and teams are rejected.
func TestSurgeLeavesRoom(t *testing.T) {
	s := newScheduler(t, queue.Options{MaxRequests: 400}, 20, 2)
	for i := range 1000 {
		_ = s.Offer(morning, request(fmt.Sprint("surge", i), "c0", "t0", morning))
	}
	for n, q := range [][2]string{{"c1", "t0"}, {"c0", "t1"}} {
		for i := range 20 {
			qt.Assert(t, s.Offer(morning, request(fmt.Sprint(n, "other", i), q[0], q[1], morning)), qt.IsNil)
		}
	}
}

// TestEstimateRecovers guards against a class that rejects all requests for ever, because its estimate of the
// service time is over its target and no request runs that would correct it.
func TestEstimateRecovers(t *testing.T) {
	s := newScheduler(t, queue.Options{}, 4, 1)
	for i := range 100 {
		r := request(fmt.Sprint(i), "c0", "t0", morning)
		_ = s.Offer(morning, r)
		s.Next(morning, nil)
		s.Finished(morning, r, time.Minute)
	}
	now := morning.Add(time.Minute)
	ran := serveBacklogged(s, now, 20*time.Second, [2]string{"c0", "t0"})
	qt.Assert(t, ran[[2]string{"c0", "t0"}] > 1000, qt.IsTrue, qt.Commentf("%v ran", ran))
}

// TestTeamAtLimit guards against a team at its upper limit that blocks the other teams, or that afterwards
// takes all slots because it accrued credit in the meantime.
func TestTeamAtLimit(t *testing.T) {
	s := newScheduler(t, queue.Options{}, 10, 2)
	for i := range 200 {
		_ = s.Offer(morning, request(fmt.Sprint("a", i), "c0", "t0", morning))
		_ = s.Offer(morning, request(fmt.Sprint("b", i), "c0", "t1", morning))
	}
	now := morning
	next := func(mayRun func(string) bool) string {
		r, ok := s.Next(now, mayRun)
		qt.Assert(t, ok, qt.IsTrue)
		s.Finished(now, r, 5*time.Millisecond)
		return r.Team
	}
	for range 100 {
		now = now.Add(time.Millisecond)
		qt.Assert(t, next(func(team string) bool { return team != "t0" }), qt.Equals, "t1")
	}
	ran := map[string]int{}
	for range 20 {
		ran[next(nil)]++
	}
	qt.Assert(t, ran["t0"] <= 11, qt.IsTrue, qt.Commentf("%v", ran))
	_, ok := s.Next(now, func(string) bool { return false })
	qt.Assert(t, ok, qt.IsFalse)
}

// TestAccounting guards against requests that are lost or dispatched twice, and against wrong counts of
// requests, bytes and slots, in any order of calls.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := queue.NewScheduler(queue.Options{MaxRequests: 50})
		c, _ := class.New(class.Spec{Name: "c0", Pool: "pool", Target: "1s", Share: 1})
		s.Configure([]class.Class{c}, nil)
		s.SetCapacity(morning, 3)
		now, queued, running := morning, map[string]bool{}, []queue.Request{}
		leave := func(id string) {
			if !queued[id] {
				t.Fatalf("request %s left the queue without being in it", id)
			}
			delete(queued, id)
		}
		for n := range rapid.IntRange(0, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"offer", "offer", "offer", "next", "end", "end", "cancel", "expire", "reset"}).Draw(t, "call") {
			case "offer":
				r := queue.Request{ID: fmt.Sprint(n), Class: "c0", Team: rapid.SampledFrom([]string{"t0", "t1"}).Draw(t, "team"), Bytes: 10,
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "left")) * time.Millisecond)}
				if s.Offer(now, r) == nil {
					queued[r.ID] = true
				}
			case "next":
				if r, ok := s.Next(now, nil); ok {
					leave(r.ID)
					running = append(running, r)
				}
			case "end":
				if len(running) == 0 {
					continue
				}
				r := running[0]
				running = running[1:]
				switch n % 3 {
				case 0:
					s.Finished(now, r, service)
				case 1:
					s.Aborted(now, r, service)
				case 2:
					queued[r.ID] = s.Requeue(now, r)
				}
			case "cancel":
				if id := fmt.Sprint(n / 2); s.Cancel(id) {
					leave(id)
				}
			case "expire":
				for _, r := range s.Expire(now) {
					leave(r.ID)
				}
			case "reset":
				s.Configure(nil, nil)
				for _, r := range s.Expire(now) {
					leave(r.ID)
				}
				s.Configure([]class.Class{c}, nil)
			}
			requests, bytes := s.Queued()
			// Expire has not yet returned the requests that Next dropped.
			if requests > len(queued) || bytes != 10*requests || s.Running() != len(running) || len(running) > 3 {
				t.Fatalf("%d queued with %d bytes, %d running; want %d and %d", requests, bytes, s.Running(), len(queued), len(running))
			}
		}
		for _, r := range s.Expire(now.Add(time.Hour)) {
			leave(r.ID)
		}
		if len(queued) > 0 {
			t.Fatalf("%d requests are lost", len(queued))
		}
	})
}
