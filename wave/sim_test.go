package wave_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/wave"
)

// Times of the simulated fleet. Reports are sent every second and arrive a second later.
const (
	simTick        = 500 * time.Millisecond
	simReport      = time.Second
	simNotice      = 3 * time.Second
	simRepair      = 20 * time.Minute
	simReturnLimit = 5 * time.Minute
	simMaxDuration = 48 * time.Hour
)

// simInstance is an instance with the durations of its drain and reboot, and the times when these end.
type simInstance struct {
	row                    pool.Instance
	drain, reboot          time.Duration
	draining               bool
	drainedAt, restartedAt time.Time
	incarnation            uint64
	// sentReport has not arrived yet, lastReport has.
	sentReport, lastReport provider.Instance
}

// simPool is a pool under one wave.
type simPool struct {
	pool      pool.Pool
	instances []*simInstance
}

// strategy chooses the stops to begin.
type strategy func(p pool.Pool, members []wave.Member) []string

// fixedLimit returns a baseline strategy: at most n(size) stops at a time, in order of names.
func fixedLimit(n func(size int) int) strategy {
	return func(_ pool.Pool, members []wave.Member) []string {
		free := n(len(members))
		var chosen []string
		for _, m := range members {
			if m.Down {
				free--
			}
		}
		for _, m := range members {
			if free > 0 && m.Pending && !m.Down {
				chosen = append(chosen, m.ID)
				free--
			}
		}
		return chosen
	}
}

// simFleet returns pools of random sizes between low and high, four workers to a rack.
func simFleet(r *rand.Rand, pools, low, high int, budget string, failing float64) []*simPool {
	fleet := make([]*simPool, 0, pools)
	for i := range pools {
		p, err := pool.New(pool.Spec{Name: fmt.Sprintf("p%03d", i), MaxUnavailable: budget})
		if err != nil {
			panic(err)
		}
		sp := &simPool{pool: p}
		for j := range low + r.IntN(high-low+1) {
			in := &simInstance{
				drain:       time.Second + time.Duration(r.Int64N(int64(29*time.Second))),
				reboot:      time.Minute + time.Duration(r.Int64N(int64(2*time.Minute))),
				incarnation: 1,
				row: pool.Instance{
					ID: fmt.Sprintf("p%03d-%03d", i, j), Pool: p.Name(), State: pool.StateServing,
					DataCentre: fmt.Sprintf("dc%d", j%3), Rack: fmt.Sprintf("r%d", j/12), Incarnation: 1,
				},
			}
			if r.Float64() < failing {
				in.reboot = simRepair
			}
			sp.instances = append(sp.instances, in)
		}
		fleet = append(fleet, sp)
	}
	return fleet
}

// minDuration returns a lower bound of the duration of a wave. It is the largest of three: the total time of all
// stops divided by the budget, the longest stop, and the sum of the shortest stops if they are divided evenly over
// the stops that the budget allows at a time.
func (sp *simPool) minDuration() time.Duration {
	budget := max(1, sp.pool.MaxUnavailable(len(sp.instances)))
	stops := make([]time.Duration, 0, len(sp.instances))
	var sum time.Duration
	for _, in := range sp.instances {
		stop := max(simNotice, in.drain) + in.reboot
		stops = append(stops, stop)
		sum += stop
	}
	slices.Sort(stops)
	var chain time.Duration
	for _, stop := range stops[:(len(stops)+budget-1)/budget] {
		chain += stop
	}
	return max(sum/time.Duration(budget), stops[len(stops)-1], chain)
}

// outcome is the result of a simulated wave.
type outcome struct {
	took        time.Duration
	violations  int
	slowestPass time.Duration // longest time to plan all pools once, in real time
}

// simulateWave runs a wave over the fleet in virtual time until all instances are done.
func simulateWave(fleet []*simPool, choose strategy) outcome {
	w, err := wave.New(wave.Spec{Name: "w", Notice: simNotice.String(), ReturnLimit: simReturnLimit.String()}, time.Time{})
	if err != nil {
		panic(err)
	}
	begin := time.Unix(0, 0)
	var out outcome
	for now := begin; now.Sub(begin) < simMaxDuration; now = now.Add(simTick) {
		left := 0
		var planning time.Duration
		for _, sp := range fleet {
			if now.Sub(begin)%simReport == 0 {
				for _, in := range sp.instances {
					in.lastReport, in.sentReport = in.sentReport, in.report(now)
				}
			}
			rows := make([]pool.Stored, len(sp.instances))
			down := 0
			for i, in := range sp.instances {
				in.step(now, w)
				rows[i].Instance = in.row
				if in.row.Down() {
					down++
				}
				if in.row.LastWave != w.Operation() || in.row.Operation != "" {
					left++
				}
			}
			before := time.Now()
			chosen := choose(sp.pool, w.Members(rows, func(string) bool { return true }))
			planning += time.Since(before)
			for _, in := range sp.instances {
				if slices.Contains(chosen, in.row.ID) {
					in.row = wave.BeginStop(now, in.row, in.lastReport, pool.StateDraining, w.Operation())
					in.row.Incarnation = in.incarnation
					down++
				}
			}
			if down > sp.pool.MaxUnavailable(len(sp.instances)) {
				out.violations++
			}
		}
		out.slowestPass = max(out.slowestPass, planning)
		if left == 0 {
			out.took = now.Sub(begin)
			return out
		}
	}
	out.took = simMaxDuration
	return out
}

func (in *simInstance) report(now time.Time) provider.Instance {
	out := provider.Instance{ID: in.row.ID, Incarnation: in.incarnation, State: provider.InstanceLive, Reported: now}
	switch {
	case now.Before(in.restartedAt):
		out.State = provider.InstanceGone
	case in.draining:
		out.State = provider.InstanceLeaving
		if now.Before(in.drainedAt) {
			out.InFlight = 1
		}
	}
	return out
}

func (in *simInstance) step(now time.Time, w wave.Wave) {
	if !in.row.Down() {
		return
	}
	d := wave.NextStep(now, in.row, in.lastReport, true, w.Rules())
	if d.Changed {
		in.row = d.Next
		d = wave.NextStep(now, in.row, in.lastReport, true, w.Rules())
	}
	switch {
	case d.Call == wave.CallDrain && !in.draining:
		in.draining, in.drainedAt = true, now.Add(in.drain)
	case d.Call == wave.CallReboot && in.incarnation == in.row.Incarnation && !now.Before(in.restartedAt):
		// A repeated reboot of an instance under repair does not make the repair longer.
		in.incarnation++
		in.draining = false
		in.restartedAt = now.Add(in.reboot)
	}
}
