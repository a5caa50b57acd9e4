// Package move decides which pools grow from the spare pool and which give instances back. It weighs
// the gain of a move against its cost: a moving instance drains and reboots, and serves nobody meanwhile.
//
// # Usage
//
//	planner := move.NewPlanner(move.Options{})
//	planner.Observe(now, loads)                     // about once a second
//	for _, order := range planner.Plan(now, pools) { ... }
package move

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Load is what a pool has to do and can do.
type Load struct {
	Pool string
	// Demand is the number of slots that arriving work needs: arrival rate times service time, over all entry instances.
	Demand float64
	// Wait is the longest present waiting time, and Target the shortest target of a class of the pool.
	Wait   time.Duration
	Target time.Duration
}

// Pool is the state of a pool as the instance rows show it.
type Pool struct {
	Name  string
	Spare bool
	// Serving is the number of instances in service.
	Serving int
	// Arriving is the number of instances on their way into the pool.
	Arriving int
	// FromSpare is the number of serving instances that belong to the spare pool.
	FromSpare int
	// Slots is the number of slots of one instance.
	Slots float64
}

// Transfer is a number of instances to move.
type Transfer struct {
	From, To string
	Count    int
	// Return marks instances that return to the pool that they belong to.
	Return bool
}

// Options are the parameters of a planner. Zero values have defaults.
type Options struct {
	// MoveTime is how long a move takes: drain and reboot. Default 2 min.
	MoveTime time.Duration
	// StayTime is how long a loan is expected to last, over which the gain of a move counts. Default 10 min.
	StayTime time.Duration
	// ReturnDelay is how long a pool must need less before it gives back. Default 5 min.
	ReturnDelay time.Duration
	// HighUtilisation and LowUtilisation are the fractions of the capacity above which a pool grows, and below which it
	// stays with one instance less before it gives that back. Defaults 0.8 and 0.6.
	HighUtilisation, LowUtilisation float64
}

// window is the time over which the median demand is taken. A surge shorter than half of it does not
// change the median; a move would come too late for such a surge.
const window = 30 * time.Second

// sampleEvery bounds the samples that a planner keeps of each pool.
const sampleEvery = time.Second

// Planner keeps the recent demand of each pool. It is not safe for concurrent use. A planner that takes
// over begins with no samples and decides nothing for one window.
type Planner struct {
	options Options
	pools   map[string]*samples
}

// samples is the recent demand of a pool.
type samples struct {
	at     []time.Time
	demand []float64
	load   Load
	// quietSince is since when the pool has needed less than it has. Zero if it does not.
	quietSince time.Time
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

// Observe takes the present loads.
func (p *Planner) Observe(now time.Time, loads []Load) {
	for _, load := range loads {
		s, ok := p.pools[load.Pool]
		if !ok {
			s = &samples{}
			p.pools[load.Pool] = s
		}
		s.load = load
		if n := len(s.at); n > 0 && now.Sub(s.at[n-1]) < sampleEvery {
			continue
		}
		s.at, s.demand = append(s.at, now), append(s.demand, load.Demand)
		drop, _ := slices.BinarySearchFunc(s.at, now.Add(-3*window), time.Time.Compare)
		s.at, s.demand = slices.Delete(s.at, 0, drop), slices.Delete(s.demand, 0, drop)
	}
}

// Plan returns the moves to begin now. Instances on their way count as capacity, so a repeated call
// before their arrival orders nothing twice.
func (p *Planner) Plan(now time.Time, pools []Pool) []Transfer {
	spare := slices.IndexFunc(pools, func(each Pool) bool { return each.Spare })
	if spare < 0 {
		return nil
	}
	free := pools[spare].Serving
	needs := make([]need, 0, len(pools))
	var orders []Transfer
	for _, each := range pools {
		if each.Spare || each.Slots <= 0 {
			continue
		}
		if n, ok := p.growth(now, each); ok {
			needs = append(needs, n)
		} else if back := p.giveBack(now, each); back > 0 {
			orders = append(orders, Transfer{From: each.Name, To: pools[spare].Name, Count: back, Return: true})
		}
	}
	// If the spare pool cannot serve all, the pools that lack the largest part of their demand come first.
	slices.SortStableFunc(needs, func(a, b need) int { return cmp.Compare(b.lack, a.lack) })
	for _, n := range needs {
		if count := min(n.count, free); count > 0 {
			free -= count
			orders = append(orders, Transfer{From: pools[spare].Name, To: n.pool, Count: count})
		}
	}
	return orders
}

// need is the growth that a pool needs.
type need struct {
	pool  string
	count int
	lack  float64
}

func (p *Planner) growth(now time.Time, in Pool) (need, bool) {
	demand, ok := p.forecast(now, in.Name)
	if !ok {
		return need{}, false
	}
	s := p.pools[in.Name]
	capacity := float64(in.Serving+in.Arriving) * in.Slots * p.options.HighUtilisation
	short := demand - capacity
	if s.load.Target > 0 && s.load.Wait > s.load.Target/2 && in.Arriving == 0 {
		// Work already waits for half its target, so the slots do less than their number promises.
		short = max(short, in.Slots)
		if demand < capacity/2 {
			// The median shows a short surge, which is over before an instance could arrive.
			short = 0
		}
	}
	if short <= 0 {
		return need{}, false
	}
	s.quietSince = time.Time{}
	usable := in.Slots * p.options.HighUtilisation
	count := int(math.Ceil(short / usable))
	// The gain of the last instance is the smallest: the part of it that is used, over the time of the
	// loan. The cost is what it could do in the time of the move there and of the move back.
	last := short - float64(count-1)*usable
	if last*p.options.StayTime.Seconds() <= usable*2*p.options.MoveTime.Seconds() {
		count--
	}
	return need{pool: in.Name, count: count, lack: short / demand}, count > 0
}

func (p *Planner) giveBack(now time.Time, in Pool) int {
	s := p.pools[in.Name]
	demand, ok := p.forecast(now, in.Name)
	if !ok {
		return 0
	}
	idle := in.FromSpare > 0 && in.Arriving == 0 && demand < float64(in.Serving-1)*in.Slots*p.options.LowUtilisation
	if !idle {
		s.quietSince = time.Time{}
		return 0
	}
	if s.quietSince.IsZero() {
		s.quietSince = now
	}
	if now.Sub(s.quietSince) < p.options.ReturnDelay {
		return 0
	}
	// The time begins again, so that at most one instance leaves in each quiet time.
	s.quietSince = now
	return 1
}

// forecast returns the demand to expect when a move that begins now ends: the median of the last window
// plus its rise, extrapolated. The rise is the smaller one of two successive windows, because a step, which
// does not go on, shows in one of them only. A falling demand is not extrapolated.
func (p *Planner) forecast(now time.Time, name string) (float64, bool) {
	s, ok := p.pools[name]
	if !ok || len(s.at) == 0 || now.Sub(s.at[len(s.at)-1]) > window || now.Sub(s.at[0]) < window-sampleEvery {
		return 0, false
	}
	recent := median(s.between(now.Add(-window), now))
	if now.Sub(s.at[0]) < 3*window-sampleEvery {
		return recent, true
	}
	before := median(s.between(now.Add(-2*window), now.Add(-window)))
	first := median(s.between(now.Add(-3*window), now.Add(-2*window)))
	rise := max(0, min(recent-before, before-first))
	return recent + rise*p.options.MoveTime.Seconds()/window.Seconds(), true
}

// between returns the samples after from and up to to.
func (s *samples) between(from, to time.Time) []float64 {
	after := func(limit time.Time) int {
		i, _ := slices.BinarySearchFunc(s.at, limit.Add(1), time.Time.Compare)
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
