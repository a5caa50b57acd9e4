package queue_test

import (
	"time"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/queue"
	"github.com/chivetiller/chivetiller/team"
)

// policy creates the scheduler and the endpoint set of an entry instance: the production code or a baseline.
type policy func(sc *scenario, dataCentre string) (scheduler, endpointSet)

// must returns the value of a document that is known to be valid.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// production uses the production code.
func production(sc *scenario, dataCentre string) (scheduler, endpointSet) {
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

// fifo is a baseline with one first-in first-out queue and round robin over the endpoints.
func fifo(*scenario, string) (scheduler, endpointSet) {
	return &partitionedQueue{order: []*partition{{slotFraction: 1}}}, &roundRobin{}
}

// fixedPartitions is a baseline that gives each team in each class a fixed fraction of the slots.
func fixedPartitions(sc *scenario, _ string) (scheduler, endpointSet) {
	s, totalShare := &partitionedQueue{}, 0.0
	for _, c := range sc.classes {
		for _, t := range sc.teams {
			s.order = append(s.order, &partition{class: c.Name, team: t.Name, slotFraction: c.Share * t.Share})
			totalShare += c.Share * t.Share
		}
	}
	for _, q := range s.order {
		q.slotFraction /= totalShare
	}
	return s, &roundRobin{}
}

// partition is a bounded first-in first-out queue with a fixed fraction of the slots.
type partition struct {
	class, team  string
	slotFraction float64
	running      int
	waiting      []queue.Request
}

// partitionedQueue serves its partitions in turn.
type partitionedQueue struct {
	order       []*partition
	slots, turn int
}

func (s *partitionedQueue) partitionOf(r queue.Request) *partition {
	for _, q := range s.order {
		if q.class == r.Class && q.team == r.Team {
			return q
		}
	}
	return s.order[0]
}

func (s *partitionedQueue) SetCapacity(_ time.Time, slots int) { s.slots = slots }

func (s *partitionedQueue) Offer(_ time.Time, r queue.Request) error {
	q := s.partitionOf(r)
	if len(q.waiting) >= 1000 {
		return &queue.Rejection{Reason: queue.ReasonQueueFull}
	}
	q.waiting = append(q.waiting, r)
	return nil
}

func (s *partitionedQueue) Next(time.Time, func(string) bool) (queue.Request, bool) {
	for range s.order {
		s.turn++
		q := s.order[s.turn%len(s.order)]
		if len(q.waiting) > 0 && q.running < max(int(q.slotFraction*float64(s.slots)+0.5), 1) {
			r := q.waiting[0]
			q.waiting = q.waiting[1:]
			q.running++
			return r, true
		}
	}
	return queue.Request{}, false
}

func (s *partitionedQueue) Finished(_ time.Time, r queue.Request, _ time.Duration) {
	s.partitionOf(r).running--
}
func (s *partitionedQueue) Aborted(_ time.Time, r queue.Request, _ time.Duration) {
	s.partitionOf(r).running--
}
func (s *partitionedQueue) Expire(time.Time) []queue.Request { return nil }

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
