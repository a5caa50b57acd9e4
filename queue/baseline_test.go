package queue_test

import (
	"time"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/queue"
	"github.com/chivetiller/chivetiller/team"
)

// ours builds the scheduler and the chooser under test.
func ours(sc scenario) scenario {
	sc.newScheduler = func(sc *scenario) scheduler {
		s := queue.NewScheduler(queue.Options{})
		classes := make([]class.Class, 0, len(sc.classes))
		for _, spec := range sc.classes {
			c, err := class.New(spec)
			if err != nil {
				panic(err)
			}
			classes = append(classes, c)
		}
		teams := make([]team.Team, 0, len(sc.teams))
		for _, spec := range sc.teams {
			spec.UpperLimit = 1 << 20
			t, err := team.New(spec)
			if err != nil {
				panic(err)
			}
			teams = append(teams, t)
		}
		s.Configure(classes, teams)
		return s
	}
	sc.newChooser = func(dataCentre string) chooser {
		return endpoint.NewSet(endpoint.Options{DataCentre: dataCentre, Seed: sc.seed + 1})
	}
	return sc
}

// fifo is the baseline with one queue and round robin.
func fifo(sc scenario) scenario {
	sc.newScheduler = func(*scenario) scheduler { return &fixedQueues{queues: map[[2]string]*fixedQueue{}} }
	sc.newChooser = func(string) chooser { return &roundRobin{} }
	return sc
}

// fixedSplits is the baseline that gives each team in each class a fixed part of the slots.
func fixedSplits(sc scenario) scenario {
	sc = fifo(sc)
	sc.newScheduler = func(sc *scenario) scheduler {
		f := &fixedQueues{queues: map[[2]string]*fixedQueue{}}
		var ofClasses, ofTeams float64
		for _, c := range sc.classes {
			ofClasses += c.Share
		}
		for _, t := range sc.teams {
			ofTeams += t.Share
		}
		for _, c := range sc.classes {
			for _, t := range sc.teams {
				f.queues[[2]string{c.Name, t.Name}] = &fixedQueue{part: c.Share / ofClasses * t.Share / ofTeams}
			}
		}
		return f
	}
	return sc
}

type fixedQueue struct {
	part    float64
	running int
	waiting []queue.Request
}

// fixedQueues has bounded first-in first-out queues, each with a fixed part of the slots. Without
// configured queues there is only one.
type fixedQueues struct {
	queues map[[2]string]*fixedQueue
	order  [][2]string
	slots  int
	turn   int
}

var _ scheduler = (*fixedQueues)(nil)

func (f *fixedQueues) queue(r queue.Request) *fixedQueue {
	key := [2]string{r.Class, r.Team}
	q, ok := f.queues[key]
	if !ok {
		key = [2]string{}
		if q, ok = f.queues[key]; !ok {
			q = &fixedQueue{part: 1}
			f.queues[key] = q
		}
	}
	if q.running == 0 && len(q.waiting) == 0 {
		for _, known := range f.order {
			if known == key {
				return q
			}
		}
		f.order = append(f.order, key)
	}
	return q
}

func (f *fixedQueues) SetCapacity(_ time.Time, slots int) { f.slots = slots }

func (f *fixedQueues) Offer(_ time.Time, r queue.Request) error {
	q := f.queue(r)
	const longest = 1000
	if len(q.waiting) >= longest {
		return &queue.Rejection{Reason: queue.ReasonQueueFull}
	}
	q.waiting = append(q.waiting, r)
	return nil
}

func (f *fixedQueues) Next(time.Time, func(string) bool) (queue.Request, bool) {
	for range f.order {
		f.turn++
		q := f.queues[f.order[f.turn%len(f.order)]]
		if len(q.waiting) > 0 && q.running < max(int(q.part*float64(f.slots)+0.5), 1) {
			r := q.waiting[0]
			q.waiting = q.waiting[1:]
			q.running++
			return r, true
		}
	}
	return queue.Request{}, false
}

func (f *fixedQueues) Finished(_ time.Time, r queue.Request, _ time.Duration) { f.queue(r).running-- }

func (f *fixedQueues) Aborted(_ time.Time, r queue.Request, _ time.Duration) { f.queue(r).running-- }

func (f *fixedQueues) Expire(time.Time) []queue.Request { return nil }

// roundRobin chooses endpoints with free slots in turn, without regard to data centre or failures.
type roundRobin struct {
	endpoints []endpoint.Endpoint
	inFlight  []int
	turn      int
	slots     int
	used      int
}

var _ chooser = (*roundRobin)(nil)

func (r *roundRobin) Update(_ time.Time, endpoints []endpoint.Endpoint) {
	r.endpoints, r.inFlight = endpoints, make([]int, len(endpoints))
	for _, e := range endpoints {
		r.slots += e.Quota
	}
}

func (r *roundRobin) Capacity(time.Time) int { return r.slots }

func (r *roundRobin) Free(time.Time) int { return r.slots - r.used }

func (r *roundRobin) Acquire(time.Time, ...string) (endpoint.Endpoint, bool) {
	for range r.endpoints {
		r.turn = (r.turn + 1) % len(r.endpoints)
		if r.inFlight[r.turn] < r.endpoints[r.turn].Quota {
			r.inFlight[r.turn]++
			r.used++
			return r.endpoints[r.turn], true
		}
	}
	return endpoint.Endpoint{}, false
}

func (r *roundRobin) Release(_ time.Time, id string, _ endpoint.Outcome) {
	for i, e := range r.endpoints {
		if e.ID == id {
			r.inFlight[i]--
			r.used--
		}
	}
}
