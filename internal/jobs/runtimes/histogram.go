package runtimes

import (
	"math"
	"slices"
	"time"
)

const (
	// buckets is the number of buckets of a histogram, and bucketsPerDoubling their resolution. A bucket is 19 % wide, which is less than
	// the spread between the tasks of a step. Absolute times reach from 1 ms to 4 hours, and ratios from 1/4096 to 4096.
	buckets            = 96
	bucketsPerDoubling = 4
	// ratioOne is the bucket of the ratio 1.
	ratioOne = buckets / 2
	// memory is the number of runs after which the weight of earlier ones has fallen to a third.
	memory = 128
	// halfLife is the time in which the weight of earlier runs halves if new ones are rare.
	halfLife = 15 * time.Minute
)

// minCount is the least count that is kept.
const minCount = 1e-6

// masses holds the probability, or the weight, of each bucket.
type masses [buckets]float32

// position returns the place of a time or ratio on the logarithmic scale, in buckets.
func position(x float64) float64 { return bucketsPerDoubling * math.Log2(x) }

func value(position float64) float64 { return math.Exp2(position / bucketsPerDoubling) }

// timePosition is the position of a time among absolute times. Its unit is a millisecond.
func timePosition(d time.Duration) float64 { return position(max(d.Seconds()*1000, 1e-6)) }

// histogram holds decayed counts.
type histogram struct {
	counts masses
	weight float64
	// at is the time of the latest run.
	at time.Duration
}

// add adds one run. The neighbours of its bucket get half of the weight, since few runs leave gaps between the buckets.
func (h *histogram) add(at float64, now time.Duration) {
	keep := float32(1 - 1.0/memory)
	if now > h.at {
		keep *= float32(math.Exp2(-float64(now-h.at) / float64(halfLife)))
		h.at = now
	}
	for i, n := range h.counts {
		if n *= keep; n < minCount {
			// Arithmetic with denormal numbers is slow.
			n = 0
		}
		h.counts[i] = n
	}
	h.weight = h.weight*float64(keep) + 1
	low := math.Floor(at)
	part := float32(at - low)
	for offset, share := range [...]float32{0.25 * (1 - part), 0.5 - 0.25*part, 0.25 + 0.25*part, 0.25 * part} {
		h.counts[clamp(int(low)+offset-1)] += share
	}
}

func clamp(i int) int { return min(max(i, 0), buckets-1) }

// over returns the probabilities of a histogram that is added to a wider distribution. The wider one has the weight of some runs.
func (h *histogram) over(wider *masses, widerRuns float64) masses {
	if h == nil || h.weight == 0 {
		return *wider
	}
	var m masses
	total := float32(h.weight + widerRuns)
	for i := range m {
		m[i] = (h.counts[i] + float32(widerRuns)*wider[i]) / total
	}
	return m
}

// normalise makes the sum of the probabilities 1. It reports whether there are any.
func (m *masses) normalise() bool {
	var sum float32
	for _, p := range m {
		sum += p
	}
	if !(sum > 0) {
		return false
	}
	for i := range m {
		m[i] /= sum
	}
	return true
}

// bell returns a normal distribution on the logarithmic scale. spread is the standard deviation of the natural logarithm.
func bell(centre, spread float64) masses {
	var m masses
	deviation := spread * bucketsPerDoubling / math.Ln2
	for i := range m {
		d := (float64(i) - centre) / deviation
		m[i] = float32(math.Exp(-d * d / 2))
	}
	m.normalise()
	return m
}

// quantile returns the position that a share q does not exceed.
func (m *masses) quantile(q float64) float64 {
	var sum float64
	for i, p := range m {
		if next := sum + float64(p); next >= q && p > 0 {
			return float64(i) - 0.5 + max(0, q-sum)/float64(p)
		} else if next > sum {
			sum = next
		}
	}
	return buckets - 0.5
}

// above returns the share that exceeds a position.
func (m *masses) above(at float64) float64 {
	var sum float64
	for i, p := range slices.Backward(m[:]) {
		switch low := float64(i) - 0.5; {
		case low >= at:
			sum += float64(p)
		case low+1 > at:
			return sum + float64(p)*(low+1-at)
		default:
			return sum
		}
	}
	return sum
}

// packed is a histogram as it is stored: the buckets between the first and the last one in use, relative to the largest.
type packed struct {
	First  int     `cbor:"1,keyasint"`
	Counts []byte  `cbor:"2,keyasint"`
	Weight float32 `cbor:"3,keyasint"`
}

func (h *histogram) pack() packed {
	const steps = 255
	largest := slices.Max(h.counts[:])
	p := packed{Weight: float32(h.weight)}
	for i, n := range h.counts {
		share := byte(0)
		if largest > 0 {
			share = byte(math.Round(float64(n / largest * steps)))
		}
		if share == 0 && len(p.Counts) == 0 {
			p.First = i + 1
		} else {
			p.Counts = append(p.Counts, share)
		}
	}
	for len(p.Counts) > 0 && p.Counts[len(p.Counts)-1] == 0 {
		p.Counts = p.Counts[:len(p.Counts)-1]
	}
	return p
}

// unpack returns the histogram of a stored one, and false if it is out of range.
func (p packed) unpack() (*histogram, bool) {
	if p.First < 0 || p.First > buckets || len(p.Counts) > buckets-p.First || !(p.Weight >= 0) || p.Weight > 2*memory {
		return nil, false
	}
	h := &histogram{}
	for i, share := range p.Counts {
		h.counts[p.First+i] = float32(share)
	}
	if !h.counts.normalise() {
		return h, p.Weight == 0
	}
	for i := range h.counts {
		h.counts[i] *= p.Weight
	}
	h.weight = float64(p.Weight)
	return h, true
}
