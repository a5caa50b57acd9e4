// Package forecast foresees surges of demand that recur, so that instances are in a pool when its surge begins and not 2 s later.
//
// It answers a load of several pools whose demand surges by turns, each for some seconds at a multiple of its mean, at a constant period.
// A surge that does not recur is not foreseen: the pool follows the arrivals then.
//
// # Usage
//
//	f := forecast.New()
//	f.Arrive(pool, now, coreSeconds) // each job
//	f.Advance(now)                   // each plan
//	cores := f.Rate(pool, now)       // 0 if no surge is foreseen
//
// # States
//
// A pool is calm or surges. It begins to surge when significantly more jobs arrive than on average, and is calm again when the rate has
// fallen well below that of the surge.
//
// The period is unknown until it is confirmed in one of two ways: two surges of each of two pools, or three of one, are the same time
// apart; or all pools have surged once, one after the other, at equal distances of which there are at least three.
//
// The forecast of a pool is trusted until a surge that it foresaw does not begin. It is trusted again once a surge has begun at the time at
// which it would have been foreseen. A change of the rhythm costs each pool one surge's worth of instances at most.
//
// All times are monotonic times of one process.
package forecast

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// Lead is the time before a surge from which on its instances are asked for: the duration of a move, the time until the worker
	// has answered, and the time between two plans.
	Lead = 2300 * time.Millisecond
	// window is the time over which the onset of a surge is detected, and endWindow its end.
	window    = 1500 * time.Millisecond
	endWindow = 750 * time.Millisecond
	// minSpan is the time over which the rate of the latest arrivals is taken at least.
	minSpan = 100 * time.Millisecond
	// onsetSignificance is the number of standard deviations by which the arrivals of a window exceed the mean at an onset.
	onsetSignificance = 3
	// endShare is the share of the rate of a surge below which it has ended.
	endShare = 0.4
	// meanOver is the time over which the mean rate of a pool is taken at least. A pool that surges first has no calm time before.
	meanOver = 6 * time.Second
	// meanHalfLife is the time in which the weight of earlier arrivals in the mean rate halves.
	meanHalfLife = 2 * time.Minute
	// minPeriod and maxPeriod limit the periods that are recognised. In a shorter one, the instances of a surge are not released
	// before the next one.
	minPeriod = 6 * time.Second
	maxPeriod = 10 * time.Minute
	// agreement is the relative difference up to which two intervals count as equal, and minTolerance the absolute one.
	agreement    = 0.08
	minTolerance = 750 * time.Millisecond
	// minIntervals is the number of equal distances between surges of different pools that confirm a turn.
	minIntervals = 3
	// maxSurges is the number of surges of a pool that are kept.
	maxSurges = 6
	// minShare is the share of the work of the largest kept surge of its pool that a surge needs to be expected again.
	minShare = 0.4
)

// surge is a time in which a pool had more demand than on average.
type surge struct {
	start, end time.Duration
	jobs       float64
	work       float64
}

// rate returns the mean work in core-seconds a second.
func (s surge) rate() float64 {
	if s.end <= s.start {
		return 0
	}
	return s.work / (s.end - s.start).Seconds()
}

type arrival struct {
	at   time.Duration
	work float64
}

// track is what is known of a pool.
type track struct {
	// recent holds the arrivals of the window.
	recent []arrival
	// jobs is the decayed number of all arrivals, as of countedAt, and age the decayed time over which they came.
	jobs, age float64
	countedAt time.Duration
	// surges holds the latest surges. The last one has no end while the pool surges.
	surges   []surge
	surging  bool
	distrust bool
	// foreseen is the start of the surge that is foreseen and that has not been judged, and 0 if there is none.
	foreseen time.Duration
}

// Forecast foresees the surges of all pools. It is not safe for concurrent use.
type Forecast struct {
	tracks     map[string]*track
	advancedAt time.Duration
	period     time.Duration
	counts     Counts
}

// Counts are totals, for metrics.
type Counts struct {
	// Foreseen counts the surges that were foreseen, and Missed those of them that did not begin.
	Foreseen, Missed uint64
}

// New returns a forecast that knows nothing.
func New() *Forecast { return &Forecast{tracks: make(map[string]*track)} }

// Counts returns the totals.
func (f *Forecast) Counts() Counts { return f.counts }

// Period returns the period of the surges, and 0 if none is confirmed.
func (f *Forecast) Period() time.Duration { return f.period }

func (f *Forecast) track(pool string, now time.Duration) *track {
	t, ok := f.tracks[pool]
	if !ok {
		t = &track{countedAt: now}
		f.tracks[pool] = t
	}
	return t
}

// Arrive records a job with its work in core-seconds.
func (f *Forecast) Arrive(pool string, at time.Duration, work float64) {
	t := f.track(pool, at)
	t.count(at)
	t.jobs++
	t.recent = append(t.recent, arrival{at: at, work: work})
	if t.surging {
		s := &t.surges[len(t.surges)-1]
		s.jobs++
		s.work += work
	}
}

// count lets the mean rate decay up to a time.
func (t *track) count(now time.Duration) {
	passed := now - t.countedAt
	if passed <= 0 {
		return
	}
	keep := math.Exp2(-passed.Seconds() / meanHalfLife.Seconds())
	t.jobs *= keep
	t.age = t.age*keep + passed.Seconds()
	t.countedAt = now
}

// mean returns the mean number of arrivals a second.
func (t *track) mean() float64 { return t.jobs / max(t.age, meanOver.Seconds()) }

// Advance detects the surges that have begun or ended, judges the forecasts that are due, and looks for the period.
func (f *Forecast) Advance(now time.Duration) {
	f.advancedAt = now
	for _, t := range f.tracks {
		t.count(now)
		t.detect(now)
	}
	f.period = f.findPeriod()
	for _, t := range f.tracks {
		f.judge(t, now)
	}
}

// detect updates the state of a pool.
func (t *track) detect(now time.Duration) {
	first := slices.IndexFunc(t.recent, func(a arrival) bool { return a.at > now-window })
	if first < 0 {
		first = len(t.recent)
	}
	t.recent = t.recent[first:]
	if t.surging {
		s := &t.surges[len(t.surges)-1]
		latest := 0.0
		for _, a := range t.recent {
			if a.at > now-endWindow {
				latest++
			}
		}
		if now-s.start < window || latest/endWindow.Seconds() >= endShare*s.jobs/(now-s.start).Seconds() {
			return
		}
		// The arrivals of the surge must not look like the onset of another one.
		t.surging, t.recent = false, nil
		s.end = max(now-time.Duration((1-endShare)*float64(endWindow)), s.start+time.Millisecond)
		return
	}
	expected := t.mean() * window.Seconds()
	if float64(len(t.recent)) <= expected+onsetSignificance*math.Sqrt(expected+1) {
		return
	}
	t.begin(now)
}

// begin records that a surge has begun at the most likely of the recent arrivals: that from which on the rate differs most from the mean,
// by the likelihood of random arrivals.
func (t *track) begin(now time.Duration) {
	mean, best, at := max(t.mean(), 1/meanOver.Seconds()), math.Inf(-1), 0
	for i, a := range t.recent {
		jobs, seconds := float64(len(t.recent)-i), max(now-a.at, minSpan).Seconds()
		if likelihood := jobs*math.Log(jobs/seconds/mean) - jobs + mean*seconds; likelihood > best {
			best, at = likelihood, i
		}
	}
	s := surge{start: t.recent[at].at}
	for _, a := range t.recent[at:] {
		s.jobs++
		s.work += a.work
	}
	t.surging = true
	t.surges = append(t.surges, s)
	if len(t.surges) > maxSurges {
		t.surges = t.surges[1:]
	}
}

// tolerance returns how far a surge may be from the time at which it is expected.
func tolerance(period time.Duration) time.Duration {
	return max(minTolerance, time.Duration(agreement*float64(period)))
}

func agree(a, b time.Duration) bool { return (a - b).Abs() <= tolerance(min(a, b)) }

// findPeriod returns the period that is confirmed, and 0 if there is none.
func (f *Forecast) findPeriod() time.Duration {
	if period := f.repeatedPeriod(); period > 0 {
		return period
	}
	return f.turnPeriod()
}

// repeatedPeriod returns the period on which the latest intervals between the surges of pools agree.
func (f *Forecast) repeatedPeriod() time.Duration {
	var intervals []time.Duration
	for _, t := range f.tracks {
		for i := max(1, len(t.surges)-2); i < len(t.surges); i++ {
			if d := t.surges[i].start - t.surges[i-1].start; d >= minPeriod && d <= maxPeriod {
				intervals = append(intervals, d)
			}
		}
	}
	slices.Sort(intervals)
	var best []time.Duration
	for i := range intervals {
		n := i + 1
		for n < len(intervals) && agree(intervals[i], intervals[n]) {
			n++
		}
		if n-i > len(best) {
			best = intervals[i:n]
		}
	}
	if len(best) < 2 {
		return 0
	}
	return best[len(best)/2]
}

// turnPeriod returns the period that follows from the first surges of all pools, if they came one after the other at equal distances.
func (f *Forecast) turnPeriod() time.Duration {
	if len(f.tracks) <= minIntervals {
		return 0
	}
	starts := make([]time.Duration, 0, len(f.tracks))
	for _, t := range f.tracks {
		if len(t.surges) == 0 {
			return 0
		}
		starts = append(starts, t.surges[0].start)
	}
	slices.Sort(starts)
	distance := (starts[len(starts)-1] - starts[0]) / time.Duration(len(starts)-1)
	for i := 1; i < len(starts); i++ {
		if !agree(starts[i]-starts[i-1], distance) {
			return 0
		}
	}
	period := distance * time.Duration(len(starts))
	if period < minPeriod || period > maxPeriod {
		return 0
	}
	return period
}

// next returns the surge of a pool that is expected to recur next, and the time of its recurrence.
func (f *Forecast) next(t *track, now time.Duration) (surge, time.Duration, bool) {
	if f.period == 0 {
		return surge{}, 0, false
	}
	largest := 0.0
	for _, s := range t.surges {
		largest = max(largest, s.work)
	}
	for _, s := range t.surges {
		at := s.start + f.period
		if s.end > 0 && s.work >= minShare*largest && at > now-tolerance(f.period) {
			return s, at, true
		}
	}
	return surge{}, 0, false
}

// judge compares the forecast of a pool with what has come, and foresees the next surge.
func (f *Forecast) judge(t *track, now time.Duration) {
	if t.foreseen > 0 {
		late := tolerance(max(f.period, minPeriod))
		came := slices.ContainsFunc(t.surges, func(s surge) bool { return (s.start - t.foreseen).Abs() <= late })
		switch {
		case came:
			t.distrust, t.foreseen = false, 0
		case now > t.foreseen+late:
			if !t.distrust {
				f.counts.Missed++
			}
			t.distrust, t.foreseen = true, 0
		}
		return
	}
	if _, at, ok := f.next(t, now); ok && at > now && at <= now+Lead {
		t.foreseen = at
		if !t.distrust {
			f.counts.Foreseen++
		}
	}
}

// Rate returns the work, in core-seconds a second, that a surge of a pool is foreseen to bring soon, and 0 if none is foreseen or the surge
// has begun: the arrivals tell then.
func (f *Forecast) Rate(pool string, now time.Duration) float64 {
	t, ok := f.tracks[pool]
	if !ok || t.distrust || t.foreseen == 0 || now < t.foreseen-Lead {
		return 0
	}
	s, _, ok := f.next(t, min(now, t.foreseen-1))
	if !ok {
		return 0
	}
	return s.rate()
}

// row is the stored form. Times are relative to the snapshot.
type row struct {
	Pools map[string]trackRow `cbor:"1,keyasint"`
}

type trackRow struct {
	Jobs     float64    `cbor:"1,keyasint"`
	Age      float64    `cbor:"2,keyasint"`
	Surges   []surgeRow `cbor:"3,keyasint,omitempty"`
	Surging  bool       `cbor:"4,keyasint,omitempty"`
	Distrust bool       `cbor:"5,keyasint,omitempty"`
}

type surgeRow struct {
	Start time.Duration `cbor:"1,keyasint"`
	End   time.Duration `cbor:"2,keyasint,omitempty"`
	Jobs  float64       `cbor:"3,keyasint"`
	Work  float64       `cbor:"4,keyasint"`
}

// maxStoredPools limits the size of the row: 273 pools with six surges each take about 50 KB.
const maxStoredPools = 273

// Snapshot implements snapshot.Learner.
func (f *Forecast) Snapshot(now time.Duration) ([]byte, error) {
	if len(f.tracks) == 0 {
		return nil, nil
	}
	// The pools that have surged last are the most telling.
	pools := slices.SortedFunc(maps.Keys(f.tracks), func(a, b string) int {
		return cmp.Or(cmp.Compare(f.tracks[b].lastStart(), f.tracks[a].lastStart()), cmp.Compare(a, b))
	})
	r := row{Pools: make(map[string]trackRow)}
	for _, pool := range pools[:min(len(pools), maxStoredPools)] {
		t := f.tracks[pool]
		stored := trackRow{Jobs: t.jobs, Age: t.age, Surging: t.surging, Distrust: t.distrust}
		for _, s := range t.surges {
			stored.Surges = append(stored.Surges, surgeRow{Start: s.start - now, End: relative(s.end, now), Jobs: s.jobs, Work: s.work})
		}
		r.Pools[pool] = stored
	}
	data, err := cbor.Marshal(r)
	return data, eris.Wrap(err, "encode the forecast")
}

// relative returns a time relative to now, and 0 for a time that is not known.
func relative(at, now time.Duration) time.Duration {
	if at == 0 {
		return 0
	}
	return min(at-now, -1)
}

func (t *track) lastStart() time.Duration {
	if len(t.surges) == 0 {
		return math.MinInt64
	}
	return t.surges[len(t.surges)-1].start
}

// Restore implements snapshot.Learner.
func (f *Forecast) Restore(value []byte, takenAt time.Duration) error {
	var r row
	if err := cbor.Unmarshal(value, &r); err != nil {
		return eris.Wrap(err, "decode the forecast")
	}
	tracks := make(map[string]*track, len(r.Pools))
	for pool, stored := range r.Pools {
		if !(stored.Jobs >= 0) || !(stored.Age >= 0) || len(stored.Surges) > maxSurges {
			return eris.Errorf("forecast of pool %q is out of range", pool)
		}
		t := &track{jobs: stored.Jobs, age: stored.Age, countedAt: takenAt, distrust: stored.Distrust}
		for i, s := range stored.Surges {
			if !(s.Jobs >= 0) || !(s.Work >= 0) || s.Start > 0 || s.End > 0 {
				return eris.Errorf("surge of pool %q is out of range", pool)
			}
			restored := surge{start: takenAt + s.Start, jobs: s.Jobs, work: s.Work}
			switch {
			case s.End != 0:
				restored.end = takenAt + s.End
			case i == len(stored.Surges)-1 && stored.Surging:
				t.surging = true
			default:
				return eris.Errorf("surge of pool %q has no end", pool)
			}
			t.surges = append(t.surges, restored)
		}
		tracks[pool] = t
	}
	f.tracks = tracks
	return nil
}
