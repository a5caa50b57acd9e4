// Package move decides which pools receive instances from the spare pool and which return them. It weighs the gain
// of a move against its cost: a moving instance drains and reboots, and serves no requests meanwhile.
//
// # Usage
//
//	planner := move.NewPlanner(move.Options{})
//	planner.Observe(now, loads)                     // about once a second
//	for _, transfer := range planner.Plan(now, pools) { ... }
package move

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Load is the current load of a pool.
type Load struct {
	Pool string
	// Demand is the number of slots that arriving work needs: arrival rate times service time, summed over all entry
	// instances.
	Demand float64
	// Wait is the longest current waiting time. Target is the shortest latency target of the classes of the pool.
	Wait   time.Duration
	Target time.Duration
}

// Pool is the state of a pool as the instance rows show it.
type Pool struct {
	Name  string
	Spare bool
	// Serving is the number of instances in service.
	Serving int
	// Arriving is the number of instances that are moving into the pool.
	Arriving int
	// FromSpare is the number of serving instances that belong to the spare pool.
	FromSpare int
	// Slots is the number of slots of one instance.
	Slots float64
}

// Transfer is a number of instances to move from one pool to another.
type Transfer struct {
	From, To string
	Count    int
	// Return means that the instances go back to the spare pool, to which they belong.
	Return bool
}

// Options are the parameters of a planner. Zero values have defaults.
type Options struct {
	// MoveTime is how long a move takes: drain and reboot. Default 2 min.
	MoveTime time.Duration
	// StayTime is how long an instance is expected to stay in the pool that receives it. The gain of a move is
	// computed over this time. Default 10 min.
	StayTime time.Duration
	// ReturnDelay is how long a pool must need fewer instances than it has before it returns one. Default 5 min.
	ReturnDelay time.Duration
	// HighUtilisation is the fraction of its capacity above which a pool grows. A pool returns an instance if its
	// utilisation without that instance would stay below LowUtilisation. Defaults 0.8 and 0.6.
	HighUtilisation, LowUtilisation float64
}

// window is the time over which the median demand is computed. A surge shorter than half of it does not change the
// median. A move would come too late for such a surge.
const window = 30 * time.Second

// sampleInterval is the minimum time between two samples of a pool. It bounds their number.
const sampleInterval = time.Second

// Planner plans moves from the recent demand of each pool. It is not safe for concurrent use. A new planner, such as
// that of a process that has just acquired the lease, has no samples and plans no moves for one window.
type Planner struct {
	options Options
	pools   map[string]*samples
}

// samples is the recent demand of a pool.
type samples struct {
	times  []time.Time
	demand []float64
	load   Load
	// idleSince is the time when the pool began to need fewer instances than it has. It is zero if it needs all.
	idleSince time.Time
}

// NewPlanner returns a planner without samples.
func NewPlanner(o Options) *Planner {
	o.MoveTime = cmp.Or(o.MoveTime, 2*time.Minute)
	o.StayTime = cmp.Or(o.StayTime, 10*time.Minute)
	o.ReturnDelay = cmp.Or(o.ReturnDelay, 5*time.Minute)
	o.HighUtilisation = cmp.Or(o.HighUtilisation, 0.8)
	o.LowUtilisation = cmp.Or(o.LowUtilisation, 0.6)
	return &Planner{options: o, pools: make(map[string]*samples)}
}

// Observe records the current loads.
func (p *Planner) Observe(now time.Time, loads []Load) {
	for _, load := range loads {
		s, ok := p.pools[load.Pool]
		if !ok {
			s = &samples{}
			p.pools[load.Pool] = s
		}
		s.load = load
		if n := len(s.times); n > 0 && now.Sub(s.times[n-1]) < sampleInterval {
			continue
		}
		s.times, s.demand = append(s.times, now), append(s.demand, load.Demand)
		outdated, _ := slices.BinarySearchFunc(s.times, now.Add(-3*window), time.Time.Compare)
		s.times, s.demand = slices.Delete(s.times, 0, outdated), slices.Delete(s.demand, 0, outdated)
	}
}

// Plan returns the moves to begin now. Arriving instances count as capacity of the pool that receives them, so that
// a further call before their arrival does not request them again.
func (p *Planner) Plan(now time.Time, pools []Pool) []Transfer {
	spare := slices.IndexFunc(pools, func(each Pool) bool { return each.Spare })
	if spare < 0 {
		return nil
	}
	available := pools[spare].Serving
	shortages := make([]shortage, 0, len(pools))
	var transfers []Transfer
	for _, each := range pools {
		if each.Spare || each.Slots <= 0 {
			continue
		}
		if n, ok := p.findShortage(now, each); ok {
			shortages = append(shortages, n)
		} else if returning := p.countReturns(now, each); returning > 0 {
			transfers = append(transfers, Transfer{From: each.Name, To: pools[spare].Name, Count: returning, Return: true})
		}
	}
	// If the spare pool has too few instances, pools with the largest missing fraction of their demand come first.
	slices.SortStableFunc(shortages, func(a, b shortage) int { return cmp.Compare(b.fraction, a.fraction) })
	for _, n := range shortages {
		if count := min(n.count, available); count > 0 {
			available -= count
			transfers = append(transfers, Transfer{From: pools[spare].Name, To: n.pool, Count: count})
		}
	}
	return transfers
}

// shortage is a lack of instances in a pool. The fraction is the part of the pool's demand that exceeds its capacity.
type shortage struct {
	pool     string
	count    int
	fraction float64
}

// findShortage returns the instances that a pool should receive, and whether there are any.
func (p *Planner) findShortage(now time.Time, in Pool) (shortage, bool) {
	demand, ok := p.forecast(now, in.Name)
	if !ok {
		return shortage{}, false
	}
	s := p.pools[in.Name]
	capacity := float64(in.Serving+in.Arriving) * in.Slots * p.options.HighUtilisation
	missing := demand - capacity
	if s.load.Target > 0 && s.load.Wait > s.load.Target/2 && in.Arriving == 0 {
		// Work has waited for half its latency target, so the slots serve less than calculated.
		missing = max(missing, in.Slots)
		if demand < capacity/2 {
			// The low median shows that this is a short surge, which ends before an instance could arrive.
			missing = 0
		}
	}
	if missing <= 0 {
		return shortage{}, false
	}
	s.idleSince = time.Time{}
	usableSlots := in.Slots * p.options.HighUtilisation
	count := int(math.Ceil(missing / usableSlots))
	// The last instance has the smallest gain: the slots of it that are needed, over the time that it stays. The cost
	// is the work that it could do during the moves there and back. Without a net gain it is left out.
	lastInstance := missing - float64(count-1)*usableSlots
	if lastInstance*p.options.StayTime.Seconds() <= usableSlots*2*p.options.MoveTime.Seconds() {
		count--
	}
	return shortage{pool: in.Name, count: count, fraction: missing / demand}, count > 0
}

// countReturns returns the number of instances that a pool should return now.
func (p *Planner) countReturns(now time.Time, in Pool) int {
	s := p.pools[in.Name]
	demand, ok := p.forecast(now, in.Name)
	if !ok {
		return 0
	}
	idle := in.FromSpare > 0 && in.Arriving == 0 && demand < float64(in.Serving-1)*in.Slots*p.options.LowUtilisation
	if !idle {
		s.idleSince = time.Time{}
		return 0
	}
	if s.idleSince.IsZero() {
		s.idleSince = now
	}
	if now.Sub(s.idleSince) < p.options.ReturnDelay {
		return 0
	}
	// The delay starts again, so that at most one instance leaves in each ReturnDelay.
	s.idleSince = now
	return 1
}

// forecast returns the demand expected at the end of a move that begins now: the median of the last window plus its
// extrapolated rise. The rise is the smaller one of two successive windows, because a step, which does not continue,
// shows in only one of them. A falling demand is not extrapolated. The result is false without enough samples.
func (p *Planner) forecast(now time.Time, name string) (float64, bool) {
	s, ok := p.pools[name]
	if !ok || len(s.times) == 0 || now.Sub(s.times[len(s.times)-1]) > window || now.Sub(s.times[0]) < window-sampleInterval {
		return 0, false
	}
	recent := median(s.between(now.Add(-window), now))
	if now.Sub(s.times[0]) < 3*window-sampleInterval {
		return recent, true
	}
	previous := median(s.between(now.Add(-2*window), now.Add(-window)))
	earliest := median(s.between(now.Add(-3*window), now.Add(-2*window)))
	rise := max(0, min(recent-previous, previous-earliest))
	return recent + rise*p.options.MoveTime.Seconds()/window.Seconds(), true
}

// between returns the demand samples after from, up to and including to.
func (s *samples) between(from, to time.Time) []float64 {
	after := func(limit time.Time) int {
		i, _ := slices.BinarySearchFunc(s.times, limit.Add(1), time.Time.Compare)
		return i
	}
	return s.demand[after(from):after(to)]
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
