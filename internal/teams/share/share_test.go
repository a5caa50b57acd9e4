package share

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/work"
)

// TestTake guards against a team that has no job within its rate, against a pause that saves up more than the burst, and against jobs that
// become known late and earn tokens twice.
func TestTake(t *testing.T) {
	const s = time.Second
	tests := map[string]struct {
		weight float64
		at     []time.Duration
		within int
	}{
		"first job of a small weight": {0.01, []time.Duration{0, s, 2 * s}, 1},
		"burst":                       {3, make([]time.Duration, 20), 6},
		"steady":                      {1, []time.Duration{0, s, 2 * s, 3 * s, 4 * s}, 5},
		"twice the rate":              {1, []time.Duration{0, 0, 0, s, s, 2 * s, 2 * s}, 4},
		"after a long pause":          {1, []time.Duration{0, 0, time.Hour, time.Hour, time.Hour, time.Hour}, 4},
		"out of order":                {1, []time.Duration{10 * s, 10 * s, 0, 10 * s, 0, 10 * s}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, within := NewRates(), 0
			for _, at := range test.at {
				if r.Take("a", test.weight, at) {
					within++
				}
			}
			qt.Assert(t, within, qt.Equals, test.within)
		})
	}
}

// TestTakeOver guards against a new leader that judges the jobs otherwise than the one before, and against teams that take each other's tokens.
func TestTakeOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type arrival struct {
			team int
			at   time.Duration
		}
		var arrivals []arrival
		for range rapid.IntRange(1, 60).Draw(t, "jobs") {
			arrivals = append(arrivals, arrival{rapid.IntRange(0, 2).Draw(t, "team"), time.Duration(rapid.IntRange(0, 10000).Draw(t, "ms")) * time.Millisecond})
		}
		slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
		weights := [3]float64{0.5, 2, 10}
		both, alone := NewRates(), [3]*Rates{NewRates(), NewRates(), NewRates()}
		var within [3]int
		for _, a := range arrivals {
			offset := 5 * time.Hour
			took := both.Take(fmt.Sprint(a.team), weights[a.team], a.at)
			if took != alone[a.team].Take("x", weights[a.team], a.at+offset) {
				t.Fatal("the judgement depends on other teams or on the clock")
			}
			if took {
				within[a.team]++
			}
			if most := max(minBurst, weights[a.team]*burst.Seconds()) + weights[a.team]*a.at.Seconds() + 1e-6; float64(within[a.team]) > most {
				t.Fatalf("%d jobs are within the rate, at most %g may be", within[a.team], most)
			}
		}
	})
}

// TestLevel guards against teams within their share that are ordered, against a team far over its share that is not, and against services
// that count against the batch jobs of their team.
func TestLevel(t *testing.T) {
	cores := func(n int64) work.Resources { return work.Resources{CPU: n * 1000} }
	tests := map[string]struct {
		cores          int64
		service        bool
		memory         int64
		within, beyond int
	}{
		"nothing":               {},
		"its share":             {cores: 10, beyond: 2},
		"twice its share":       {cores: 20, beyond: 4},
		"three times its share": {cores: 32, within: 1, beyond: 6},
		"all":                   {cores: 100, within: 1, beyond: 20},
		"memory dominates":      {cores: 10, memory: 320, within: 1, beyond: 6},
		"service":               {cores: 30, service: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p Pool
			waiting := slices.Values([]string{"a", "b"})
			weight := func(team string) float64 { return map[string]float64{"a": 1, "b": 9}[team] }
			p.Add("a", cores(test.cores).Plus(work.Resources{Memory: test.memory}), test.service)
			// The credit is used up after a while.
			for now := range 10 {
				p.Advance(time.Duration(now)*time.Second, cores(100).Plus(work.Resources{Memory: 1000}), waiting, weight)
			}
			p.teams["a"].credit = 0
			qt.Assert(t, p.Level("a", false), qt.Equals, test.within)
			qt.Assert(t, p.Level("a", true), qt.Equals, test.beyond)
			qt.Assert(t, p.Level("unknown", true), qt.Equals, 0)
		})
	}
}

// TestCredit guards against a small team whose first jobs of a surge wait, and against credit without a bound.
func TestCredit(t *testing.T) {
	var p Pool
	capacity, waiting := work.Resources{CPU: 100000}, slices.Values([]string{"a", "b"})
	weight := func(team string) float64 { return map[string]float64{"a": 1, "b": 9}[team] }
	p.Advance(0, capacity, waiting, weight)
	p.Advance(time.Hour, capacity, waiting, weight)
	p.Add("a", work.Resources{CPU: 30000}, false)
	qt.Assert(t, p.Level("a", false), qt.Equals, 0)
	p.Advance(time.Hour+100*time.Millisecond, capacity, waiting, weight)
	qt.Assert(t, p.Level("a", false), qt.Equals, 1)
	p.Remove("a", work.Resources{CPU: 30000}, false)
	qt.Assert(t, p.Level("a", false), qt.Equals, 0)
	// Without runs and jobs a team is forgotten once its credit is full.
	none := slices.Values([]string(nil))
	p.Advance(time.Hour+time.Second, capacity, none, weight)
	p.Advance(2*time.Hour, capacity, none, weight)
	qt.Assert(t, p.teams, qt.HasLen, 0)
}

// TestPool is a model test: whatever runs and waits, the usage of a team is what it runs, levels grow with usage, a team below its share is
// never far over it, and credit is bounded.
func TestPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pool
		running := make(map[string][]work.Resources)
		teams := []string{"a", "b", "c", "d"}
		weights := make(map[string]float64)
		for _, team := range teams {
			weights[team] = rapid.SampledFrom([]float64{0.1, 1, 5, 40}).Draw(t, "weight")
		}
		weight := func(team string) float64 { return weights[team] }
		now := time.Duration(0)
		capacity := work.Resources{CPU: 64000, Memory: 64000}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				team := rapid.SampledFrom(teams).Draw(t, "team")
				r := work.Resources{CPU: rapid.Int64Range(0, 8000).Draw(t, "cpu"), Memory: rapid.Int64Range(0, 8000).Draw(t, "memory")}
				before := p.Level(team, true)
				p.Add(team, r, false)
				running[team] = append(running[team], r)
				if after := p.Level(team, true); after < before {
					t.Fatalf("level falls from %d to %d with a further run", before, after)
				}
			},
			"end": func(t *rapid.T) {
				team := rapid.SampledFrom(teams).Draw(t, "team")
				if list := running[team]; len(list) > 0 {
					p.Remove(team, list[0], false)
					running[team] = list[1:]
				}
			},
			"pass": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
				p.Advance(now, capacity, slices.Values(rapid.SliceOfDistinct(rapid.SampledFrom(teams), rapid.ID).Draw(t, "waiting")), weight)
			},
			"": func(t *rapid.T) {
				for _, team := range teams {
					var sum work.Resources
					for _, r := range running[team] {
						sum = sum.Plus(r)
					}
					u, ok := p.teams[team]
					if !ok {
						if sum != (work.Resources{}) {
							t.Fatalf("team %s was forgotten while it runs tasks", team)
						}
						continue
					}
					if u.running != sum {
						t.Fatalf("team %s has %v, want %v", team, u.running, sum)
					}
					used, owed := p.Used(team)
					if used <= owed && p.Level(team, false) != 0 {
						t.Fatalf("team %s uses %g of %g and is far over its share", team, used, owed)
					}
					if u.weight > 0 && (u.credit < 0 || u.credit > 1+1e-9) {
						t.Fatalf("team %s has credit %g", team, u.credit)
					}
				}
			},
		})
	})
}
