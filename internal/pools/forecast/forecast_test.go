package forecast_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/internal/pools/forecast"
)

// demand plays jobs of pools whose demand surges by turns.
type demand struct {
	random *rand.Rand
	pools  int
	turn   time.Duration
	// meanRate is the mean number of jobs a second of each pool. A surge brings four times as many, the rest a twentieth.
	meanRate float64
	// jobWork is the work of a job in core-seconds.
	jobWork float64
	// shift is added to the time from which the turns count.
	shift time.Duration
}

const tick = 50 * time.Millisecond

func (d *demand) surges(pool int, now time.Duration) bool {
	return int((now+d.shift)/d.turn)%d.pools == pool
}

// play plays the demand from one time to another, and calls each at each tick.
func (d *demand) play(f *forecast.Forecast, from, to time.Duration, each func(now time.Duration)) {
	for now := from; now < to; now += tick {
		for pool := range d.pools {
			rate := 0.05 * d.meanRate
			if d.surges(pool, now) {
				rate = 4 * d.meanRate
			}
			for expected := rate * tick.Seconds(); ; {
				expected -= d.random.ExpFloat64()
				if expected < 0 {
					break
				}
				f.Arrive(name(pool), now, d.jobWork*(0.5+d.random.Float64()))
			}
		}
		f.Advance(now)
		each(now)
	}
}

func name(pool int) string { return fmt.Sprint("p", pool) }

// foreseen returns the share of the surges between two times of which at least half of the work was foreseen a second before.
func foreseen(d *demand, f *forecast.Forecast, from, to time.Duration) float64 {
	var begun, hits float64
	d.play(f, from, to, func(now time.Duration) {
		start := now + time.Second
		if (start+d.shift)%d.turn != 0 || start >= to {
			return
		}
		for pool := range d.pools {
			if d.surges(pool, start) {
				begun++
				if f.Rate(name(pool), now) >= 0.5*4*d.meanRate*d.jobWork {
					hits++
				}
			}
		}
	})
	return hits / begun
}

func newDemand(seed uint64, meanRate float64) *demand {
	return &demand{random: rand.New(rand.NewPCG(seed, 1)), pools: 4, turn: 4500 * time.Millisecond, meanRate: meanRate, jobWork: 20}
}

// TestTurns guards against surges by turns that find their pools without instances again and again. The bound is that of the operators' target:
// nine tenths of the demand of a surge in time. A surge is counted from the second turn on, and by way of a snapshot also for the next leader.
func TestTurns(t *testing.T) {
	for name, rate := range map[string]float64{"many jobs": 25, "few jobs": 4} {
		t.Run(name, func(t *testing.T) {
			var share, after float64
			const seeds = 20
			for seed := range uint64(seeds) {
				d, f := newDemand(seed, rate), forecast.New()
				d.play(f, 0, 4*d.turn, func(time.Duration) {})
				share += foreseen(d, f, 4*d.turn, 12*d.turn) / seeds
				value, err := f.Snapshot(12 * d.turn)
				qt.Assert(t, err, qt.IsNil)
				next := forecast.New()
				qt.Assert(t, next.Restore(value, 12*d.turn), qt.IsNil)
				after += foreseen(d, next, 12*d.turn+time.Second/2, 16*d.turn) / seeds
			}
			t.Logf("foreseen: %.3f, after a takeover %.3f", share, after)
			qt.Assert(t, share >= 0.9, qt.IsTrue, qt.Commentf("%.3f", share))
			qt.Assert(t, after >= 0.9, qt.IsTrue, qt.Commentf("%.3f", after))
		})
	}
}

// TestTurnChanges guards against instances that are moved for nothing again and again once the turn of the pools has changed.
func TestTurnChanges(t *testing.T) {
	for seed := range uint64(20) {
		d, f := newDemand(seed, 25), forecast.New()
		d.play(f, 0, 12*d.turn, func(time.Duration) {})
		before := f.Counts().Missed
		d.shift = 2500 * time.Millisecond
		d.play(f, 12*d.turn, 24*d.turn, func(time.Duration) {})
		missed := f.Counts().Missed - before
		qt.Assert(t, missed <= uint64(d.pools), qt.IsTrue, qt.Commentf("seed %d: %d surges that did not come", seed, missed))
	}
}

// TestSteady guards against surges that are foreseen in random arrivals without any.
func TestSteady(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := forecast.New()
	for now := time.Duration(0); now < 10*time.Minute; now += tick {
		for pool := range 4 {
			if random.Float64() < 0.4 {
				f.Arrive(name(pool), now, 10)
			}
		}
		f.Advance(now)
	}
	qt.Assert(t, f.Counts().Foreseen <= 2, qt.IsTrue, qt.Commentf("%+v", f.Counts()))
}

// TestAny guards against a forecast of more than has ever come, a panic, and misses without bound, whatever arrives.
func TestAny(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := forecast.New()
		now, largest := time.Duration(0), 0.0
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond
			pool := name(rapid.IntRange(0, 3).Draw(rt, "pool"))
			for range rapid.IntRange(0, 40).Draw(rt, "jobs") {
				work := rapid.Float64Range(0, 100).Draw(rt, "work")
				largest = max(largest, work)
				f.Arrive(pool, now, work)
			}
			f.Advance(now)
			rate := f.Rate(pool, now)
			if math.IsNaN(rate) || rate < 0 || rate > 0 && f.Period() == 0 {
				rt.Fatalf("rate %g, period %s", rate, f.Period())
			}
			if c := f.Counts(); c.Missed > c.Foreseen {
				rt.Fatalf("%+v", c)
			}
			if rapid.IntRange(0, 20).Draw(rt, "takeover") == 0 {
				value, err := f.Snapshot(now)
				qt.Assert(t, err, qt.IsNil)
				if len(value) > 0 {
					if err := f.Restore(value, now); err != nil {
						rt.Fatal(err)
					}
				}
			}
		}
	})
}

// TestRestoreUnreadable guards against a row of another version that takes part of what is known.
func TestRestoreUnreadable(t *testing.T) {
	d, f := newDemand(1, 25), forecast.New()
	d.play(f, 0, 10*d.turn, func(time.Duration) {})
	before := f.Period()
	for _, value := range []string{"", "x", "\xa1\x01\xa1\x61p\xa1\x01\x20"} {
		qt.Assert(t, f.Restore([]byte(value), 0), qt.IsNotNil)
	}
	f.Advance(10 * d.turn)
	qt.Assert(t, f.Period(), qt.Equals, before)
}
