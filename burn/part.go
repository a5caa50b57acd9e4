package burn

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// ObjectPrefix is the prefix of the names of stored parts.
const ObjectPrefix = "burn/"

// Chunk is what one entry instance recorded in one hour.
type Chunk struct {
	Entry       string    `cbor:"entry"`
	Incarnation uint64    `cbor:"incarnation"`
	Start       time.Time `cbor:"start"`
	Buckets     []Bucket  `cbor:"minutes"`
}

// Bucket is a bucket. A bucket without series says that there were no requests;
// a missing bucket says that nothing is known.
type Bucket struct {
	Start  time.Time `cbor:"start"`
	Series []Series  `cbor:"series"`
}

// Series counts the requests of a team in a class by outcome.
type Series struct {
	Class  string           `cbor:"class"`
	Team   string           `cbor:"team"`
	Counts [outcomes]uint64 `cbor:"counts"`
}

// ObjectName returns the name of the object that holds the part. Names of one hour sort together.
func (p Chunk) ObjectName() string {
	return fmt.Sprintf("%s%s/%s-%d", ObjectPrefix, p.Start.UTC().Format("2006-01-02T15"), p.Entry, p.Incarnation)
}

// NameMayCover reports whether the named part may hold buckets at or after the time.
func NameMayCover(name string, since time.Time) bool {
	hour, _, ok := strings.Cut(strings.TrimPrefix(name, ObjectPrefix), "/")
	return ok && hour >= since.UTC().Truncate(partLength).Format("2006-01-02T15")
}

// Marshal encodes the part for storage.
func (p Chunk) Marshal() ([]byte, error) {
	data, err := cbor.Marshal(p)
	return data, eris.Wrap(err, "encode burn history")
}

// ParseChunk decodes a stored part.
func ParseChunk(data []byte) (Chunk, error) {
	var p Chunk
	if err := cbor.Unmarshal(data, &p); err != nil {
		return Chunk{}, eris.Wrap(err, "decode burn history")
	}
	return p, nil
}

// add merges a bucket into the part.
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

// clone copies the part, so that later buckets do not change what is being stored.
func (p Chunk) clone() Chunk {
	minutes := make([]Bucket, len(p.Buckets))
	for i, m := range p.Buckets {
		minutes[i] = Bucket{Start: m.Start, Series: slices.Clone(m.Series)}
	}
	p.Buckets = minutes
	return p
}
