package burn

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// ObjectPrefix is the prefix of the object names of stored chunks.
const ObjectPrefix = "burn/"

// Chunk is what one incarnation of an entry instance recorded in one hour.
type Chunk struct {
	Entry       string    `cbor:"entry"`
	Incarnation uint64    `cbor:"incarnation"`
	Start       time.Time `cbor:"start"`
	Buckets     []Bucket  `cbor:"minutes"`
}

// Bucket holds the counts of one minute. A bucket without series means that there were no requests; a missing
// bucket means that nothing is known about the minute.
type Bucket struct {
	Start  time.Time `cbor:"start"`
	Series []Series  `cbor:"series"`
}

// Series counts the requests of a team in a class by outcome.
type Series struct {
	Class  string               `cbor:"class"`
	Team   string               `cbor:"team"`
	Counts [outcomeCount]uint64 `cbor:"counts"`
}

// ObjectName returns the name of the object that holds the chunk. Names sort by hour.
func (p Chunk) ObjectName() string {
	return fmt.Sprintf("%s%s/%s-%d", ObjectPrefix, p.Start.UTC().Format("2006-01-02T15"), p.Entry, p.Incarnation)
}

// NameMayCover reports whether the chunk with the object name may hold buckets at or after the time.
func NameMayCover(name string, since time.Time) bool {
	hour, _, ok := strings.Cut(strings.TrimPrefix(name, ObjectPrefix), "/")
	return ok && hour >= since.UTC().Truncate(chunkLength).Format("2006-01-02T15")
}

// Marshal encodes the chunk for storage.
func (p Chunk) Marshal() ([]byte, error) {
	data, err := cbor.Marshal(p)
	return data, eris.Wrap(err, "encode burn history")
}

// ParseChunk decodes a stored chunk.
func ParseChunk(data []byte) (Chunk, error) {
	var p Chunk
	if err := cbor.Unmarshal(data, &p); err != nil {
		return Chunk{}, eris.Wrap(err, "decode burn history")
	}
	return p, nil
}

// add merges a bucket into the chunk.
func (p *Chunk) add(m Bucket) {
	i := slices.IndexFunc(p.Buckets, func(o Bucket) bool { return o.Start.Equal(m.Start) })
	if i < 0 {
		p.Buckets = append(p.Buckets, m)
		return
	}
	merged := &p.Buckets[i]
	for _, s := range m.Series {
		j := slices.IndexFunc(merged.Series, func(o Series) bool { return o.Class == s.Class && o.Team == s.Team })
		if j < 0 {
			merged.Series = append(merged.Series, s)
			continue
		}
		for k, n := range s.Counts {
			merged.Series[j].Counts[k] += n
		}
	}
}

// clone copies the chunk, so that later buckets do not change a chunk that is being stored.
func (p Chunk) clone() Chunk {
	buckets := make([]Bucket, len(p.Buckets))
	for i, m := range p.Buckets {
		buckets[i] = Bucket{Start: m.Start, Series: slices.Clone(m.Series)}
	}
	p.Buckets = buckets
	return p
}
