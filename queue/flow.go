package queue

import (
	"container/heap"
	"slices"
	"time"
)

// item is a queued or running request.
type item struct {
	request Request
	queue   *teamQueue
	// sequence orders requests with equal deadlines by arrival.
	sequence uint64
	// charged is the slot time in seconds that was charged at dispatch.
	charged float64
	running bool
	// probe marks a request that was admitted to learn a service time again. It is not dropped
	// because of an estimate.
	probe bool
}

func (i *item) before(other *item) bool {
	if !i.request.Deadline.Equal(other.request.Deadline) {
		return i.request.Deadline.Before(other.request.Deadline)
	}
	return i.sequence < other.sequence
}

// teamQueue holds the requests of a team in a class, in the order of their deadlines.
type teamQueue struct {
	class *classQueue
	name  string
	// share is the configured weight, and weight the one in force at this entry instance. They differ
	// by a factor that makes up for usage at peers.
	share, weight float64
	// tag is the virtual time at which the next request starts: slot time over weight.
	tag float64
	// index is the position in the heap of the class, or -1 if nothing is queued.
	index int
	// items[head:] are queued.
	items    []*item
	head     int
	bytes    int
	service  estimate
	occupied occupancy
	// used is the slot time in seconds that was charged in all, and recent the average of the usage
	// over all entry instances.
	used, recent float64
}

func (q *teamQueue) queued() int { return len(q.items) - q.head }

func (q *teamQueue) first() *item { return q.items[q.head] }

// busy reports whether the team competes for slots.
func (q *teamQueue) busy() bool { return q.queued() > 0 || q.occupied.running > 0 }

// position returns how many queued requests go before the item.
func (q *teamQueue) position(i *item) int {
	n, _ := slices.BinarySearchFunc(q.items[q.head:], i, func(a, b *item) int {
		switch {
		case a == b:
			return 0
		case a.before(b):
			return -1
		}
		return 1
	})
	return n
}

func (q *teamQueue) insert(i *item, position int) {
	if q.head > 0 && len(q.items) == cap(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	q.items = slices.Insert(q.items, q.head+position, i)
	q.bytes += i.request.Bytes
}

func (q *teamQueue) removeAt(position int) {
	i := q.items[q.head+position]
	if position == 0 {
		q.items[q.head] = nil
		q.head++
		if q.head == len(q.items) {
			q.items, q.head = q.items[:0], 0
		}
	} else {
		q.items = slices.Delete(q.items, q.head+position, q.head+position+1)
	}
	q.bytes -= i.request.Bytes
}

// estimate returns the estimate of the team, or that of its class while the team has few samples.
func (q *teamQueue) estimate() *estimate {
	if q.service.samples >= estimateTrusted {
		return &q.service
	}
	return &q.class.service
}

// tail returns a service time in seconds that few requests of the team exceed.
func (q *teamQueue) tail() float64 {
	return q.estimate().tail(tailMargin * seconds(q.class.target))
}

// classQueue holds the queues of the teams of a class.
type classQueue struct {
	name   string
	weight float64
	urgent bool
	target time.Duration
	// removed means that the class is no longer configured.
	removed bool
	tag     float64
	teams   map[string]*teamQueue
	// list holds the teams in the order of their first request.
	list []*teamQueue
	// waiting holds the teams with queued requests.
	waiting teamHeap
	// virtual is the virtual time over the teams of the class.
	virtual float64
	queued  int
	bytes   int
	// busyTeams and busyWeight count the teams that compete for slots.
	busyTeams  int
	busyWeight float64
	service    estimate
	occupied   occupancy
}

func (c *classQueue) busy() bool { return c.queued > 0 || c.occupied.running > 0 }

// teamHeap orders teams by their tags.
type teamHeap []*teamQueue

var _ heap.Interface = (*teamHeap)(nil)

// Len implements heap.Interface.
func (h teamHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h teamHeap) Less(i, j int) bool { return h[i].tag < h[j].tag }

// Swap implements heap.Interface.
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	q := x.(*teamQueue)
	q.index = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	q.index = -1
	return q
}

func seconds(d time.Duration) float64 { return d.Seconds() }

func duration(seconds float64) time.Duration {
	// An estimate beyond an hour would overflow nothing, but is no use to a caller either.
	return time.Duration(min(max(seconds, 0), 3600) * float64(time.Second))
}
