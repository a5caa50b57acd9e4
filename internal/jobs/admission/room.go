package admission

import "github.com/chivetiller/chivetiller/work"

// Rooms tells what each pool can get: its own instances, those that are switched off, and those of other pools that run nothing.
type Rooms struct {
	spare   string
	pools   map[string]*Room
	idle    map[string]*Room
	unknown bool
}

// NewRooms returns rooms without instances. spare is the pool whose instances are switched off. unknown means that the capacity of an
// instance is not known.
func NewRooms(spare string, unknown bool) *Rooms {
	return &Rooms{spare: spare, pools: make(map[string]*Room), idle: make(map[string]*Room), unknown: unknown}
}

// Add adds an instance of a pool. One without processors has a capacity that is not known.
func (r *Rooms) Add(pool string, capacity work.Resources, idle bool) {
	r.unknown = r.unknown || capacity.CPU <= 0
	room(r.pools, pool).add(capacity, 1)
	if idle && pool != r.spare {
		room(r.idle, pool).add(capacity, 1)
		room(r.idle, "").add(capacity, 1)
	}
}

func room(rooms map[string]*Room, pool string) *Room {
	if rooms[pool] == nil {
		rooms[pool] = &Room{}
	}
	return rooms[pool]
}

// Of returns what a pool can get besides what services use.
func (r *Rooms) Of(pool string, services work.Resources) *Room {
	sum := &Room{reserved: services, unknown: r.unknown}
	for _, part := range []*Room{r.pools[pool], r.pools[r.spare], r.idle[""]} {
		if part != nil {
			for capacity, n := range part.counts {
				sum.add(capacity, n)
			}
		}
	}
	if own := r.idle[pool]; own != nil {
		// They are part of the pool and of all idle ones.
		for capacity, n := range own.counts {
			sum.add(capacity, -n)
		}
	}
	return sum
}

// Room is what a pool can get. The zero value has nothing.
type Room struct {
	counts map[work.Resources]int
	// reserved is what services use.
	reserved work.Resources
	// unknown means that the capacity of an instance is not known.
	unknown bool
}

// add adds or removes instances.
func (r *Room) add(capacity work.Resources, n int) {
	if r.counts == nil {
		r.counts = make(map[work.Resources]int)
	}
	if r.counts[capacity] += n; r.counts[capacity] == 0 {
		delete(r.counts, capacity)
	}
}

// cores returns the cores that are not used by services.
func (r *Room) cores() float64 {
	total := -r.reserved.CPU
	for capacity, n := range r.counts {
		total += capacity.CPU * int64(n)
	}
	return float64(total) / 1000
}

// shapes returns the instances by capacity, and none if there are too many different ones.
func (r *Room) shapes() []Instances {
	if r.unknown || len(r.counts) > maxShapes {
		return nil
	}
	shapes := make([]Instances, 0, len(r.counts))
	for capacity, n := range r.counts {
		shapes = append(shapes, Instances{Capacity: capacity, Count: n})
	}
	return shapes
}
