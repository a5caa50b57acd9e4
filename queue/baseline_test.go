package queue_test

import (
	"time"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/queue"
	"github.com/chivetiller/chivetiller/team"
)

// policy builds what serves an entry instance: the parts under test or a baseline.
type policy func(sc *scenario, dataCentre string) (scheduler, chooser)

// must returns the value of a document that is known to be valid.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func ours(sc *scenario, dataCentre string) (scheduler, chooser) {
	s := queue.NewScheduler(queue.Options{})
	classes, teams := make([]class.Class, len(sc.classes)), make([]team.Team, len(sc.teams))
	for i, spec := range sc.classes {
		classes[i] = must(class.New(spec))
	}
	for i, spec := range sc.teams {
		spec.UpperLimit = 1
		teams[i] = must(team.New(spec))
	}
	s.Configure(classes, teams)
	return s, endpoint.NewSet(endpoint.Options{DataCentre: dataCentre, Seed: sc.seed + 1})
}

// fifo is the baseline with one queue and round robin.
func fifo(*scenario, string) (scheduler, chooser) {
	return &splits{order: []*split{{part: 1}}}, &roundRobin{}
}

// fixedSplits is the baseline that gives each team in each class a fixed part of the slots.
func fixedSplits(sc *scenario, _ string) (scheduler, chooser) {
	s, of := &splits{}, 0.0
	for _, c := range sc.classes {
		for _, t := range sc.teams {
			s.order = append(s.order, &split{class: c.Name, team: t.Name, part: c.Share * t.Share})
			of += c.Share * t.Share
		}
	}
	for _, q := range s.order {
		q.part /= of
	}
	return s, &roundRobin{}
}

// split is a bounded first-in first-out queue with a fixed part of the slots.
type split struct {
	class, team string
	part        float64
	running     int
	waiting     []queue.Request
}

type splits struct {
	order       []*split
	slots, turn int
}

func (s *splits) of(r queue.Request) *split {
	for _, q := range s.order {
		if q.class == r.Class && q.team == r.Team {
			return q
		}
	}
	return s.order[0]
}

func (s *splits) SetCapacity(_ time.Time, slots int) { s.slots = slots }

func (s *splits) Offer(_ time.Time, r queue.Request) error {
	q := s.of(r)
	if len(q.waiting) >= 1000 {
		return &queue.Rejection{Reason: queue.ReasonQueueFull}
	}
	q.waiting = append(q.waiting, r)
	return nil
}

func (s *splits) Next(time.Time, func(string) bool) (queue.Request, bool) {
	for range s.order {
		s.turn++
		q := s.order[s.turn%len(s.order)]
		if len(q.waiting) > 0 && q.running < max(int(q.part*float64(s.slots)+0.5), 1) {
			r := q.waiting[0]
			q.waiting = q.waiting[1:]
			q.running++
			return r, true
		}
	}
	return queue.Request{}, false
}

func (s *splits) Finished(_ time.Time, r queue.Request, _ time.Duration) { s.of(r).running-- }
func (s *splits) Aborted(_ time.Time, r queue.Request, _ time.Duration)  { s.of(r).running-- }
func (s *splits) Expire(time.Time) []queue.Request                       { return nil }

// roundRobin chooses endpoints with free slots in turn, without regard to data centre or failures.
type roundRobin struct {
	endpoints         []endpoint.Endpoint
	inFlight          map[string]int
	turn, slots, used int
}

func (r *roundRobin) Update(_ time.Time, endpoints []endpoint.Endpoint) {
	r.endpoints, r.inFlight = endpoints, map[string]int{}
	for _, e := range endpoints {
		r.slots += e.Quota
	}
}

func (r *roundRobin) Capacity(time.Time) int  { return r.slots }
func (r *roundRobin) FreeSlots(time.Time) int { return r.slots - r.used }

func (r *roundRobin) Acquire(time.Time, ...string) (endpoint.Endpoint, bool) {
	for {
		r.turn = (r.turn + 1) % len(r.endpoints)
		if e := r.endpoints[r.turn]; r.inFlight[e.ID] < e.Quota {
			r.inFlight[e.ID]++
			r.used++
			return e, true
		}
	}
}

func (r *roundRobin) Release(_ time.Time, id string, _ endpoint.Outcome) {
	r.inFlight[id]--
	r.used--
}
