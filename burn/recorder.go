// Package burn records whether requests meet the targets of their classes and reports the burn rate
// of the error budget over several windows.
//
// # Usage
//
//	recorder := burn.NewRecorder("one-1", incarnation, time.Now())
//	recorder.Record("counterQuote", "workshops", burn.Met)
//	...
//	objects := recorder.CloseBucket(time.Now()) // store each under its name
//
//	report := burn.NewReport(time.Now(), objectives, parts)
package burn

import (
	"sync"
	"sync/atomic"
	"time"
)

// Outcome tells how a request ended with respect to its target.
type Outcome int

// Outcomes of a request.
const (
	// Met means that the whole response was given within the target.
	Met Outcome = iota
	// Late means that the whole response was given after the target.
	Late
	// Failed means that no whole response was given, or that its outcome is unknown.
	Failed
	// Refused means that the request was rejected as not run for want of capacity.
	Refused
	// Limited means that the team was at its upper limit. It does not count against the target.
	Limited
	outcomes
)

// resolution is the length of a bucket. The shortest window has five of them.
const resolution = time.Minute

// partLength is the time that one stored part covers. An entry instance writes its current part again each minute,
// so that one part is one object and a report over three days reads 72 objects for each entry instance.
const partLength = time.Hour

// seriesKey names what is counted together.
type seriesKey struct{ class, team string }

type counters [outcomes]atomic.Uint64

// Recorder counts the outcomes of requests. It is safe for concurrent use.
type Recorder struct {
	entry       string
	incarnation uint64

	series sync.Map // seriesKey to *counters

	mu   sync.Mutex
	part Chunk
	last map[seriesKey][outcomes]uint64
}

// NewRecorder returns a recorder of an entry instance.
func NewRecorder(entry string, incarnation uint64, now time.Time) *Recorder {
	r := &Recorder{entry: entry, incarnation: incarnation, last: make(map[seriesKey][outcomes]uint64)}
	r.part = r.newPart(now)
	return r
}

// Record counts a request.
func (r *Recorder) Record(class, team string, outcome Outcome) {
	key := seriesKey{class: class, team: team}
	value, ok := r.series.Load(key)
	if !ok {
		value, _ = r.series.LoadOrStore(key, new(counters))
	}
	value.(*counters)[outcome].Add(1)
}

// CloseBucket closes the current bucket and returns the parts that have to be stored now:
// the current one, and the one before it when a new hour has begun.
func (r *Recorder) CloseBucket(now time.Time) []Chunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	minute := r.openBucket(now, func(key seriesKey, total [outcomes]uint64) { r.last[key] = total })
	var parts []Chunk
	if !r.part.Start.Equal(minute.Start.Truncate(partLength)) {
		parts = append(parts, r.part.clone())
		r.part = r.newPart(now)
	}
	r.part.add(minute)
	return append(parts, r.part.clone())
}

// CurrentChunk returns what was counted since the last CloseBucket, as a part that is not to be stored.
func (r *Recorder) CurrentChunk(now time.Time) Chunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	part := r.newPart(now)
	part.add(r.openBucket(now, func(seriesKey, [outcomes]uint64) {}))
	return part
}

// openBucket returns the bucket of what was counted since the last CloseBucket, and tells the new totals of what it holds.
func (r *Recorder) openBucket(now time.Time, counted func(key seriesKey, total [outcomes]uint64)) Bucket {
	minute := Bucket{Start: now.UTC().Truncate(resolution)}
	r.series.Range(func(key, value any) bool {
		k := key.(seriesKey)
		counts := value.(*counters)
		before := r.last[k]
		total := before
		var changed bool
		s := Series{Class: k.class, Team: k.team}
		for i := range counts {
			total[i] = counts[i].Load()
			s.Counts[i] = total[i] - before[i]
			changed = changed || s.Counts[i] > 0
		}
		if changed {
			counted(k, total)
			minute.Series = append(minute.Series, s)
		}
		return true
	})
	return minute
}

func (r *Recorder) newPart(now time.Time) Chunk {
	return Chunk{Entry: r.entry, Incarnation: r.incarnation, Start: now.UTC().Truncate(partLength)}
}
