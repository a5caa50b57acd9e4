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
	// chargedSlotTime is the slot time in seconds that was charged to the team at dispatch.
	chargedSlotTime float64
	running         bool
	// probe means that the request was admitted to measure the service time again. It is not dropped
	// because of the estimate.
	probe bool
}

// before reports whether the request is dispatched before the other one of the same team: the earliest
// deadline goes first.
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
	// share is the configured weight. weight is the one in force at this entry instance: it corrects the
	// share by a factor for the usage at peers.
	share, weight float64
	// startTag is the virtual time at which the next request of the team starts. It grows by the slot time
	// in seconds over the weight.
	startTag float64
	// heapIndex is the position in the heap of the class, or -1 if nothing is queued.
	heapIndex int
	// items[headIndex:] are queued. The items before have been removed.
	items       []*item
	headIndex   int
	bytes       int
	serviceTime serviceTimeEstimate
	occupancy   occupancy
	// usedSlotTime is the slot time in seconds that was charged at this entry instance since the team first
	// sent a request here. recentSlotTime is the decaying sum of the slot time at all entry instances.
	usedSlotTime, recentSlotTime float64
}

func (q *teamQueue) queued() int { return len(q.items) - q.headIndex }

func (q *teamQueue) headOfLine() *item { return q.items[q.headIndex] }

// active reports whether the team has queued or running requests and so competes for slots.
func (q *teamQueue) active() bool { return q.queued() > 0 || q.occupancy.running > 0 }

// insertPosition returns how many queued requests are dispatched before the item.
func (q *teamQueue) insertPosition(i *item) int {
	n, _ := slices.BinarySearchFunc(q.items[q.headIndex:], i, func(a, b *item) int {
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
	if q.headIndex > 0 && len(q.items) == cap(q.items) {
		n := copy(q.items, q.items[q.headIndex:])
		clear(q.items[n:])
		q.items, q.headIndex = q.items[:n], 0
	}
	q.items = slices.Insert(q.items, q.headIndex+position, i)
	q.bytes += i.request.Bytes
}

func (q *teamQueue) removeAt(position int) {
	i := q.items[q.headIndex+position]
	if position == 0 {
		q.items[q.headIndex] = nil
		q.headIndex++
		if q.headIndex == len(q.items) {
			q.items, q.headIndex = q.items[:0], 0
		}
	} else {
		q.items = slices.Delete(q.items, q.headIndex+position, q.headIndex+position+1)
	}
	q.bytes -= i.request.Bytes
}

// estimate returns the estimate of the team, or that of its class while the team has few samples.
func (q *teamQueue) estimate() *serviceTimeEstimate {
	if q.serviceTime.samples >= minTeamSamples {
		return &q.serviceTime
	}
	return &q.class.serviceTime
}

// tailServiceTime returns the service time in seconds that few requests of the team exceed.
func (q *teamQueue) tailServiceTime() float64 {
	return q.estimate().tail(tailMarginRatio * seconds(q.class.target))
}

// classQueue holds the queues of the teams of a class.
type classQueue struct {
	name   string
	weight float64
	urgent bool
	target time.Duration
	// removed means that the class is no longer configured.
	removed bool
	// startTag is the virtual time at which the next request of the class starts.
	startTag float64
	teams    map[string]*teamQueue
	// teamList holds the teams in the order of their first request.
	teamList []*teamQueue
	// backlogged holds the teams with queued requests.
	backlogged teamHeap
	// virtualTime is the virtual time of the fair queue of the teams in the class.
	virtualTime float64
	queued      int
	bytes       int
	// activeTeams is the number of active teams, and activeWeight the sum of their weights.
	activeTeams  int
	activeWeight float64
	serviceTime  serviceTimeEstimate
	occupancy    occupancy
}

// active reports whether the class has queued or running requests.
func (c *classQueue) active() bool { return c.queued > 0 || c.occupancy.running > 0 }

// teamHeap is a heap of teams by their start tags.
type teamHeap []*teamQueue

var _ heap.Interface = (*teamHeap)(nil)

// Len implements heap.Interface.
func (h teamHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h teamHeap) Less(i, j int) bool { return h[i].startTag < h[j].startTag }

// Swap implements heap.Interface.
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	q := x.(*teamQueue)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	q.heapIndex = -1
	return q
}

func seconds(d time.Duration) float64 { return d.Seconds() }

// duration converts seconds to a duration between 0 and an hour. A longer estimate is of no use to a caller.
func duration(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, 0), 3600) * float64(time.Second))
}
