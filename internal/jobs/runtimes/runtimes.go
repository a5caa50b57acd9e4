// Package runtimes learns how long tasks run from the runs that have finished. It answers a load whose declared estimates are off by half to
// nine tenths, whose jobs vary within a queue, and of whose tasks a few take several times as long as the others.
//
// # Usage
//
//	m := runtimes.New()
//	m.Observe(class, took, now)          // a whole run, divided by the pace of its worker
//	m.ObserveWithin(finished, took, now) // the same run, after other tasks of its step
//	e := m.Expect(class)
//	e.Median(), e.Mean(), e.Quantile(0.95), e.Runs()
//	e = e.Given(finished, running)       // the other tasks of the step
//	e.Left(ran)
//
// # States
//
// A class is unknown, then known by the ratio of all runs to their estimates, then by its queue, then by its queue and estimate, and then by
// itself. Each is a distribution on a logarithmic scale; a wide one counts as some runs of the next narrower one, so that there is no step
// between them. At the queue, the distribution of its run times and that of its ratios to the estimates are multiplied, which is Bayes' rule
// for an error of the estimate that does not depend on the run time.
//
// Earlier runs lose weight with each run of their group, and with time. No promise depends on an expectation.
package runtimes

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/store"
)

const (
	// widerRuns is the number of runs for which a wider group counts. The tasks of a job are alike, so that it is more than one job. With 12
	// runs the error after 100 runs was larger (9th decile 2.24 in place of 2.17), and with 48 hardly smaller (2.12).
	widerRuns = 24
	// queueRuns is the number of runs for which what is assumed of a queue counts.
	queueRuns = 4
	// estimateSpread is the assumed error of an estimate, as the standard deviation of its logarithm.
	estimateSpread = 0.7
	// maxQueues and maxGroups limit the memory: the groups of a queue, so that one queue cannot crowd out others.
	maxQueues = 1024
	maxGroups = 48
	// maxName is the length of the names of queues and images from which on runs teach nothing. Rows have to hold them.
	maxName = 128
	// maxStep is the step from which on steps are not told apart.
	maxStep = 255
	// estimateBuckets is the number of buckets of a histogram that are one group of estimates. Estimates within it differ by 41 %.
	estimateBuckets = 2
	// defaultUnit is what ratios of tasks without an estimate refer to.
	defaultUnit = time.Second
	// kernelRuns is the number of runs for which the assumed variation within a step counts, and kernelInterval the number of runs after
	// which it is taken anew.
	kernelRuns     = 40
	kernelInterval = 16
	// cacheShare is the share of the runs of a queue, as a divisor, that may pass before the cache is emptied, and maxCached limits it.
	cacheShare = 16
	maxCached  = 512
	// maxEncoded leaves room in a row for its encoding.
	maxEncoded = store.MaxRowBytes - 1024
)

// Class is what tells tasks apart.
type Class struct {
	Queue string
	// Step is the index of the step, and Steps the number of steps of the job.
	Step, Steps int
	Image       string
	// CPU is the request in thousandths of a core.
	CPU int64
	// Estimate is the declared run time, and 0 if there is none.
	Estimate time.Duration
}

// group names the runs of a queue that are alike. Those with the same estimate have only that set.
type group struct {
	_        struct{} `cbor:",toarray"`
	Step     int
	Steps    int
	Image    string
	CPU      int
	Estimate int
}

// noEstimate is the estimate of a group without one.
const noEstimate = math.MinInt32

func (c Class) unit() float64 {
	if c.Estimate <= 0 {
		return float64(defaultUnit)
	}
	return float64(c.Estimate)
}

func (c Class) estimateGroup() group {
	g := group{Step: -1, Estimate: noEstimate}
	if c.Estimate > 0 {
		g.Estimate = int(math.Floor(timePosition(c.Estimate) / estimateBuckets))
	}
	return g
}

func (c Class) group() group {
	g := c.estimateGroup()
	g.Step, g.Steps = min(max(c.Step, 0), maxStep), min(max(c.Steps, 0), maxStep)
	g.Image, g.CPU = c.Image, bits.Len64(uint64(max(c.CPU, 0)))
	return g
}

// queue is what is known of the runs of a queue.
type queue struct {
	times, ratios histogram
	groups        map[group]*histogram
	// cache holds what is expected of classes, and passed counts the runs since it was emptied.
	cache  map[cacheKey]*distribution
	passed int
}

// cacheKey names the classes of which the same is expected relative to their units.
type cacheKey struct {
	group    group
	position int
}

func newQueue() *queue {
	return &queue{groups: make(map[group]*histogram), cache: make(map[cacheKey]*distribution)}
}

// Model learns the run times of all classes. It is not safe for concurrent use.
type Model struct {
	queues map[string]*queue
	ratios histogram
	// within holds the ratios of tasks to the median of those of their step that finished before.
	within       histogram
	kernel       *kernel
	withinPassed int
	// unknown is what is expected of a queue of which nothing is known.
	unknown       *distribution
	unknownPassed int
}

// New returns a model that knows nothing.
func New() *Model {
	return &Model{queues: make(map[string]*queue), kernel: newKernel(assumedKernel), unknown: assumed}
}

var (
	assumedError = bell(ratioOne, estimateSpread)
	assumed      = newDistribution(assumedError)
	flat         = bell(ratioOne, 1000)
	// assumedKernel is the variation of the tasks of a step until it is known: a quarter, and a few that take several times as long.
	assumedKernel = func() masses {
		const tail = 0.03
		m, long := bell(ratioOne, 0.25), bell(ratioOne+position(6), 0.5)
		for i := range m {
			m[i] = (1-tail)*m[i] + tail*long[i]
		}
		return m
	}()
)

// Fixed returns an expectation that rests on no run.
func Fixed(d time.Duration) Expectation {
	return Expectation{ratios: assumed, unit: float64(max(d, 0)), fixed: true}
}

// Expect returns what is expected of a run of a class.
func (m *Model) Expect(c Class) Expectation { return m.expect(c, true) }

// Preview returns what Expect does and keeps nothing for later calls, which would see it until the cache is emptied.
func (m *Model) Preview(c Class) Expectation { return m.expect(c, false) }

func (m *Model) expect(c Class, keep bool) Expectation {
	q := m.queues[c.Queue]
	if q == nil {
		return Expectation{ratios: m.unknown, unit: float64(max(c.Estimate, 0)), within: m.kernel}
	}
	key := cacheKey{group: c.group(), position: int(math.Round(timePosition(time.Duration(c.unit()))))}
	d := q.cache[key]
	if d == nil {
		if d = newDistribution(q.expect(c, key.position, m.unknown.masses)); keep {
			if len(q.cache) >= maxCached {
				clear(q.cache)
			}
			q.cache[key] = d
		}
	}
	return Expectation{ratios: d, unit: c.unit(), runs: int(math.Round(q.times.weight)), within: m.kernel}
}

// expect returns the ratios that are expected of a class whose unit has a position among the absolute times.
func (q *queue) expect(c Class, position int, wider masses) masses {
	ratios := q.ratios.over(&wider, queueRuns)
	if position >= 0 && position < buckets {
		times, combined := q.times.over(&flat, queueRuns), ratios
		for i := range combined {
			combined[i] *= times[clamp(i+position-ratioOne)]
		}
		if combined.normalise() {
			ratios = combined
		}
	}
	ratios = q.groups[c.estimateGroup()].over(&ratios, widerRuns)
	return q.groups[c.group()].over(&ratios, widerRuns)
}

// Observe records that a whole run of a class took a time. The pace of its worker and the distance to its data are to be divided out.
func (m *Model) Observe(c Class, took time.Duration, now time.Duration) {
	if took <= 0 || len(c.Queue) > maxName || len(c.Image) > maxName {
		return
	}
	ratio := position(float64(took)/c.unit()) + ratioOne
	m.ratios.add(ratio, now)
	if m.unknownPassed++; m.unknownPassed >= kernelInterval {
		m.unknownPassed = 0
		m.unknown = newDistribution(m.ratios.over(&assumedError, widerRuns))
	}
	q := m.queues[c.Queue]
	if q == nil {
		if len(m.queues) >= maxQueues {
			delete(m.queues, oldest(m.queues, func(q *queue) time.Duration { return q.times.at }))
		}
		q = newQueue()
		m.queues[c.Queue] = q
	}
	q.times.add(timePosition(took), now)
	q.ratios.add(ratio, now)
	if q.passed++; float64(q.passed) >= q.times.weight/cacheShare {
		q.passed = 0
		clear(q.cache)
	}
	for _, g := range [...]group{c.estimateGroup(), c.group()} {
		h := q.groups[g]
		if h == nil {
			if len(q.groups) >= maxGroups {
				delete(q.groups, oldest(q.groups, func(h *histogram) time.Duration { return h.at }))
			}
			h = &histogram{}
			q.groups[g] = h
		}
		h.add(ratio, now)
	}
}

// oldest returns the key of the entry with the earliest time.
func oldest[K comparable, V any](entries map[K]V, at func(V) time.Duration) (found K) {
	first := time.Duration(math.MaxInt64)
	for key, entry := range entries {
		if at(entry) < first {
			found, first = key, at(entry)
		}
	}
	return found
}

// ObserveWithin records that a task took a time after other tasks of its step had finished.
func (m *Model) ObserveWithin(finished []time.Duration, took time.Duration, now time.Duration) {
	if len(finished) < minTold || took <= 0 {
		return
	}
	var buffer [maxTold]time.Duration
	sorted := buffer[:copy(buffer[:], finished[max(0, len(finished)-maxTold):])]
	slices.Sort(sorted)
	typical := sorted[len(sorted)/2]
	if typical <= 0 {
		return
	}
	m.within.add(position(float64(took)/float64(typical))+ratioOne, now)
	if m.withinPassed++; m.withinPassed >= kernelInterval {
		m.withinPassed = 0
		m.kernel = newKernel(m.within.over(&assumedKernel, kernelRuns))
	}
}

// row is the state as it is stored.
type row struct {
	Ratios packed     `cbor:"1,keyasint"`
	Within packed     `cbor:"2,keyasint"`
	Queues []queueRow `cbor:"3,keyasint"`
}

type queueRow struct {
	Name   string     `cbor:"1,keyasint"`
	Times  packed     `cbor:"2,keyasint"`
	Ratios packed     `cbor:"3,keyasint"`
	Groups []groupRow `cbor:"4,keyasint,omitempty"`
}

type groupRow struct {
	Group group  `cbor:"1,keyasint"`
	Runs  packed `cbor:"2,keyasint"`
}

// Encode returns the state as it is stored, or nil if nothing is known. If not all of it fits into a row, the groups with the least runs
// are left out, and then the queues.
func (m *Model) Encode() ([]byte, error) {
	if len(m.queues) == 0 {
		return nil, nil
	}
	const packedBytes, queueBytes, groupBytes = 14, 8, 24
	r := row{Ratios: m.ratios.pack(), Within: m.within.pack()}
	size := 4*packedBytes + 2*buckets
	type candidate struct {
		queue int
		row   groupRow
	}
	var groups []candidate
	names := slices.SortedFunc(maps.Keys(m.queues), func(a, b string) int {
		return cmp.Or(cmp.Compare(m.queues[b].times.weight, m.queues[a].times.weight), cmp.Compare(a, b))
	})
	for _, name := range names {
		q := m.queues[name]
		stored := queueRow{Name: name, Times: q.times.pack(), Ratios: q.ratios.pack()}
		size += len(name) + queueBytes + 2*packedBytes + len(stored.Times.Counts) + len(stored.Ratios.Counts)
		if size > maxEncoded {
			break
		}
		for g, h := range q.groups {
			groups = append(groups, candidate{queue: len(r.Queues), row: groupRow{Group: g, Runs: h.pack()}})
		}
		r.Queues = append(r.Queues, stored)
	}
	slices.SortFunc(groups, func(a, b candidate) int {
		x, y := a.row.Group, b.row.Group
		return cmp.Or(cmp.Compare(b.row.Runs.Weight, a.row.Runs.Weight), cmp.Compare(a.queue, b.queue), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Steps, y.Steps),
			cmp.Compare(x.Image, y.Image), cmp.Compare(x.CPU, y.CPU), cmp.Compare(x.Estimate, y.Estimate))
	})
	for _, g := range groups {
		if size += groupBytes + packedBytes + len(g.row.Group.Image) + len(g.row.Runs.Counts); size > maxEncoded {
			break
		}
		q := &r.Queues[g.queue]
		q.Groups = append(q.Groups, g.row)
	}
	data, err := cbor.Marshal(r)
	return data, eris.Wrap(err, "encode the run times")
}

// Decode returns the model of a stored state.
func Decode(data []byte) (*Model, error) {
	var r row
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, eris.Wrap(err, "decode the run times")
	}
	valid := true
	unpack := func(p packed) histogram {
		h, ok := p.unpack()
		if !ok {
			valid = false
			return histogram{}
		}
		return *h
	}
	m := New()
	m.ratios, m.within = unpack(r.Ratios), unpack(r.Within)
	m.kernel = newKernel(m.within.over(&assumedKernel, kernelRuns))
	m.unknown = newDistribution(m.ratios.over(&assumedError, widerRuns))
	for _, stored := range r.Queues {
		q := newQueue()
		q.times, q.ratios = unpack(stored.Times), unpack(stored.Ratios)
		for _, g := range stored.Groups {
			h := unpack(g.Runs)
			q.groups[g.Group] = &h
		}
		valid = valid && len(q.groups) <= maxGroups
		m.queues[stored.Name] = q
	}
	if !valid || len(m.queues) > maxQueues {
		return nil, eris.New("run times are out of range")
	}
	return m, nil
}

// Snapshot implements snapshot.Learner.
func (m *Model) Snapshot(time.Duration) ([]byte, error) { return m.Encode() }

// Restore implements snapshot.Learner.
func (m *Model) Restore(value []byte, takenAt time.Duration) error {
	restored, err := Decode(value)
	if err != nil {
		return err
	}
	restored.ratios.at, restored.within.at = takenAt, takenAt
	for _, q := range restored.queues {
		q.times.at, q.ratios.at = takenAt, takenAt
		for _, h := range q.groups {
			h.at = takenAt
		}
	}
	*m = *restored
	return nil
}
