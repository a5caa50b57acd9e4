package move_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/move"
)

const (
	slots    = 8
	moveTime = 2 * time.Minute
	target   = time.Second
)

// fleet is a set of pools in virtual time. Instances arrive moveTime after their transfer begins.
type fleet struct {
	pools    []move.Pool
	arrivals []arrival
	moves    int
	// lateSeconds is the time during which the demand of a pool exceeds its capacity, summed over all pools.
	// spareSeconds and totalSeconds are the instance time in the spare pool and in all pools.
	lateSeconds, spareSeconds, totalSeconds float64
}

type arrival struct {
	at       time.Time
	from     int
	to       int
	isReturn bool
}

func newFleet(pools, size, spare int) *fleet {
	f := &fleet{pools: []move.Pool{{Name: "spare", Spare: true, Serving: spare, Slots: slots}}}
	for i := range pools {
		f.pools = append(f.pools, move.Pool{Name: fmt.Sprintf("p%d", i), Serving: size, Slots: slots})
	}
	return f
}

func (f *fleet) index(name string) int {
	for i := range f.pools {
		if f.pools[i].Name == name {
			return i
		}
	}
	panic(name)
}

func (f *fleet) begin(now time.Time, transfers []move.Transfer) {
	for _, o := range transfers {
		from, to := f.index(o.From), f.index(o.To)
		for range o.Count {
			f.pools[from].Serving--
			if o.Return {
				f.pools[from].FromSpare--
			}
			f.pools[to].Arriving++
			f.arrivals = append(f.arrivals, arrival{at: now.Add(moveTime), from: from, to: to, isReturn: o.Return})
			f.moves++
		}
	}
}

// tick completes the moves that are due and counts one second with the given demands.
func (f *fleet) tick(now time.Time, demand []float64) {
	rest := f.arrivals[:0]
	for _, a := range f.arrivals {
		if now.Before(a.at) {
			rest = append(rest, a)
			continue
		}
		f.pools[a.to].Arriving--
		f.pools[a.to].Serving++
		if !a.isReturn {
			f.pools[a.to].FromSpare++
		}
	}
	f.arrivals = rest
	for i, p := range f.pools {
		f.totalSeconds += float64(p.Serving)
		if p.Spare {
			f.spareSeconds += float64(p.Serving)
		} else if demand[i] > float64(p.Serving)*slots {
			f.lateSeconds++
		}
	}
}

// movePlanner is implemented by the planner and by the baseline that the benchmark compares it with.
type movePlanner interface {
	Observe(now time.Time, loads []move.Load)
	Plan(now time.Time, pools []move.Pool) []move.Transfer
}

// reactive is the baseline: it follows the current demand, without forecast, cost or hysteresis.
type reactive struct{ demand map[string]float64 }

func (r *reactive) Observe(_ time.Time, loads []move.Load) {
	for _, l := range loads {
		r.demand[l.Pool] = l.Demand
	}
}

func (r *reactive) Plan(_ time.Time, pools []move.Pool) []move.Transfer {
	free := pools[0].Serving
	var transfers []move.Transfer
	for _, p := range pools[1:] {
		need := int(math.Ceil(r.demand[p.Name]/slots)) - p.Serving - p.Arriving
		switch {
		case need > 0 && free > 0:
			need = min(need, free)
			free -= need
			transfers = append(transfers, move.Transfer{From: "spare", To: p.Name, Count: need})
		case need < 0 && p.FromSpare > 0:
			transfers = append(transfers, move.Transfer{From: p.Name, To: "spare", Count: min(p.FromSpare, -need), Return: true})
		}
	}
	return transfers
}

// run simulates the fleet for a time. The demand is given as a fraction of the initial capacity of each pool.
func (f *fleet) run(p movePlanner, length time.Duration, demand func(pool int, at time.Duration) float64) {
	begin := time.Unix(0, 0)
	home := make([]float64, len(f.pools))
	for i := range f.pools {
		home[i] = float64(f.pools[i].Serving) * slots
	}
	for at := time.Duration(0); at < length; at += time.Second {
		now := begin.Add(at)
		loads := make([]move.Load, 0, len(f.pools))
		demands := make([]float64, len(f.pools))
		for i := range f.pools {
			d := demand(i, at) * home[i]
			demands[i] = d
			loads = append(loads, move.Load{Pool: f.pools[i].Name, Demand: d, Target: target})
		}
		f.tick(now, demands)
		p.Observe(now, loads)
		f.begin(now, p.Plan(now, f.pools))
	}
}

// surge returns a demand of half the capacity with surges of 8 s to five times the mean, each followed by 8 s of a
// twentieth of the mean. The pools surge in turn.
func surge(pools int) func(int, time.Duration) float64 {
	return func(pool int, at time.Duration) float64 {
		switch second := int(at.Seconds()) - pool*(600/max(1, pools)); {
		case pool > 0 && second%600 >= 0 && second%600 < 8:
			return 2.5
		case pool > 0 && second%600 >= 8 && second%600 < 16:
			return 0.025
		}
		return 0.5
	}
}

// ramp returns a demand that rises from 0.5 to 1.4 times the capacity within half an hour, stays there for an hour
// and falls again.
func ramp(noise *rand.Rand) func(int, time.Duration) float64 {
	return func(pool int, at time.Duration) float64 {
		if pool != 1 {
			return 0.5
		}
		up := min(1, max(0, (at-10*time.Minute).Minutes()/30))
		down := min(1, max(0, (at-100*time.Minute).Minutes()/30))
		return 0.5 + 0.9*(up-down) + 0.05*noise.NormFloat64()
	}
}

// TestPlanner guards against moves for short surges, growth that comes too late, instances that move back and forth,
// and instances that never return to the spare pool.
func TestPlanner(t *testing.T) {
	tests := map[string]struct {
		demand    func(int, time.Duration) float64
		length    time.Duration
		moves     [2]int
		maxLate   float64
		fromSpare int
	}{
		"surges of seconds": {demand: surge(5), length: 2 * time.Hour, moves: [2]int{0, 0}, maxLate: 5 * 12 * 8},
		"rising demand":     {demand: ramp(rand.New(rand.NewPCG(1, 1))), length: 4 * time.Hour, moves: [2]int{8, 20}, maxLate: 0},
		"step that stays": {
			demand: func(pool int, at time.Duration) float64 {
				if pool == 1 && at > 10*time.Minute {
					return 1.2
				}
				return 0.5
			},
			length: time.Hour, moves: [2]int{5, 5}, maxLate: 150, fromSpare: 5,
		},
		"no samples": {demand: func(int, time.Duration) float64 { return 3 }, length: 20 * time.Second, maxLate: 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(5, 10, 10)
			f.run(move.NewPlanner(move.Options{}), tt.length, tt.demand)
			qt.Check(t, f.moves >= tt.moves[0] && f.moves <= tt.moves[1], qt.IsTrue, qt.Commentf("%d moves", f.moves))
			qt.Check(t, f.lateSeconds <= tt.maxLate, qt.IsTrue, qt.Commentf("%v s late", f.lateSeconds))
			qt.Check(t, f.pools[1].FromSpare, qt.Equals, tt.fromSpare)
		})
	}
}

// TestPlanRepeated guards against a second transfer for a shortage whose instances are already moving.
func TestPlanRepeated(t *testing.T) {
	f, p, now := newFleet(1, 10, 10), move.NewPlanner(move.Options{}), time.Unix(0, 0)
	for range 60 {
		now = now.Add(time.Second)
		p.Observe(now, []move.Load{{Pool: "p0", Demand: 100}})
	}
	first := p.Plan(now, f.pools)
	qt.Assert(t, first, qt.DeepEquals, []move.Transfer{{From: "spare", To: "p0", Count: 6}})
	f.begin(now, first)
	qt.Assert(t, p.Plan(now, f.pools), qt.HasLen, 0)
}

// BenchmarkMoves reports the moves, the pool time with too little capacity, and the ratio of spare to total instance
// time. It compares the planner with one that follows the current demand.
func BenchmarkMoves(b *testing.B) {
	demands := map[string]func() func(int, time.Duration) float64{
		"surges": func() func(int, time.Duration) float64 { return surge(5) },
		"ramp":   func() func(int, time.Duration) float64 { return ramp(rand.New(rand.NewPCG(1, 1))) },
	}
	planners := map[string]func() movePlanner{
		"planner":  func() movePlanner { return move.NewPlanner(move.Options{}) },
		"reactive": func() movePlanner { return &reactive{demand: make(map[string]float64)} },
	}
	for size, count := range map[string]struct{ pools, size, spare int }{"today": {4, 10, 10}, "large": {272, 13, 164}} {
		for demand, makeDemand := range demands {
			for name, makePlanner := range planners {
				b.Run(size+"/"+demand+"/"+name, func(b *testing.B) {
					var f *fleet
					for b.Loop() {
						f = newFleet(count.pools, count.size, count.spare)
						f.run(makePlanner(), 4*time.Hour, makeDemand())
					}
					b.ReportMetric(float64(f.moves), "moves")
					b.ReportMetric(f.lateSeconds, "late-s")
					b.ReportMetric(f.spareSeconds/f.totalSeconds, "buffer-ratio")
				})
			}
		}
	}
}
