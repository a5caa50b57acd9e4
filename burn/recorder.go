// Package burn records whether requests meet the targets of their classes and reports the burn rate
// of the error budget over several windows.
//
// An entry instance counts outcomes in buckets of one minute. The buckets of one hour form a chunk, which is
// one object of the object store.
//
// # Usage
//
//	recorder := burn.NewRecorder("one-1", incarnation, time.Now())
//	recorder.Record("counterQuote", "workshops", burn.Met)
//	...
//	chunks := recorder.CloseBucket(time.Now()) // every minute
//	err := burn.Save(ctx, objects, chunks)
//
//	chunks, err := burn.Load(ctx, objects, time.Now())
//	report := burn.NewReport(time.Now(), objectives, chunks)
package burn

import (
	"sync"
	"sync/atomic"
	"time"
)

// Outcome says how a request ended with respect to the target of its class.
type Outcome int

// Outcomes of a request.
const (
	// Met means that the whole response was sent within the target.
	Met Outcome = iota
	// Late means that the whole response was sent, but after the target.
	Late
	// Failed means that no whole response was sent, or that the outcome is unknown.
	Failed
	// Refused means that the request was rejected without being run, because there was no capacity.
	Refused
	// Limited means that the request was rejected because its team was at its upper limit. It does not count
	// against the objective.
	Limited
	outcomeCount
)

// bucketLength is the length of a bucket. The shortest window has five buckets.
const bucketLength = time.Minute

// chunkLength is the time that one stored chunk covers. An entry instance writes its current chunk again each
// minute, so that one chunk is one object, and a report over three days reads 72 objects for each entry instance.
const chunkLength = time.Hour

// seriesKey identifies a series. An empty team stands for the class as a whole.
type seriesKey struct{ class, team string }

// counters counts the requests of a series by outcome since the start of the process.
type counters [outcomeCount]atomic.Uint64

// Recorder counts the outcomes of requests. It is safe for concurrent use.
type Recorder struct {
	entry       string
	incarnation uint64

	series sync.Map // seriesKey to *counters

	mu    sync.Mutex
	chunk Chunk
	// lastTotals holds the counters at the last CloseBucket.
	lastTotals map[seriesKey][outcomeCount]uint64
}

// NewRecorder returns the recorder of one incarnation of an entry instance.
func NewRecorder(entry string, incarnation uint64, now time.Time) *Recorder {
	r := &Recorder{entry: entry, incarnation: incarnation, lastTotals: make(map[seriesKey][outcomeCount]uint64)}
	r.chunk = r.newChunk(now)
	return r
}

// Record counts a request by its class, team and outcome.
func (r *Recorder) Record(class, team string, outcome Outcome) {
	key := seriesKey{class: class, team: team}
	value, ok := r.series.Load(key)
	if !ok {
		value, _ = r.series.LoadOrStore(key, new(counters))
	}
	value.(*counters)[outcome].Add(1)
}

// CloseBucket closes the current bucket and returns the chunks that have to be stored now: the current one and,
// when a new hour has begun, the one before it.
func (r *Recorder) CloseBucket(now time.Time) []Chunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	bucket := r.openBucket(now, func(key seriesKey, total [outcomeCount]uint64) { r.lastTotals[key] = total })
	var chunks []Chunk
	if !r.chunk.Start.Equal(bucket.Start.Truncate(chunkLength)) {
		chunks = append(chunks, r.chunk.clone())
		r.chunk = r.newChunk(now)
	}
	r.chunk.add(bucket)
	return append(chunks, r.chunk.clone())
}

// CurrentChunk returns the counts since the last CloseBucket as a chunk. It must not be stored, because the next
// CloseBucket returns the same counts.
func (r *Recorder) CurrentChunk(now time.Time) Chunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	chunk := r.newChunk(now)
	chunk.add(r.openBucket(now, func(seriesKey, [outcomeCount]uint64) {}))
	return chunk
}

// openBucket returns the counts since the last CloseBucket as a bucket. It calls counted with the new totals of
// each series in the bucket.
func (r *Recorder) openBucket(now time.Time, counted func(key seriesKey, total [outcomeCount]uint64)) Bucket {
	bucket := Bucket{Start: now.UTC().Truncate(bucketLength)}
	r.series.Range(func(key, value any) bool {
		k := key.(seriesKey)
		counts := value.(*counters)
		before := r.lastTotals[k]
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
			bucket.Series = append(bucket.Series, s)
		}
		return true
	})
	return bucket
}

func (r *Recorder) newChunk(now time.Time) Chunk {
	return Chunk{Entry: r.entry, Incarnation: r.incarnation, Start: now.UTC().Truncate(chunkLength)}
}
