package queue

import (
	"container/heap"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/team"
)

const (
	// urgentCredit bounds the credit of an urgent class, as time for which it may use all slots.
	urgentCredit = 2 * time.Second
	// shortCredit bounds the credit of other classes and of teams, as time at their share. It lets a
	// short burst of a team that stays within its share go before teams that are over theirs.
	shortCredit = 500 * time.Millisecond
	// expiryInterval is how often all queues are searched for expired requests at least, because
	// learned service times change.
	expiryInterval = 50 * time.Millisecond
	// sweepInterval is how long the state of an idle team is kept at least.
	sweepInterval = 10 * time.Minute
	// maxSpare bounds the items that are kept for reuse.
	maxSpare = 256
)

// Scheduler queues the work of one pool at one entry instance.
type Scheduler struct {
	options Options
	slots   int
	classes map[string]*classQueue
	order   []*classQueue
	weights map[string]float64
	items   map[string]*item
	// peers holds the last usage that each peer reported.
	peers map[string]map[usageKey]time.Duration
	// spare holds items for reuse.
	spare    []*item
	dropped  []Request
	blocked  []*teamQueue
	sequence uint64
	// virtual is the virtual time over the classes.
	virtual  float64
	queued   int
	bytes    int
	occupied occupancy
	swept    time.Time
	// nextExpiry is the time before which no queued request has to be dropped.
	nextExpiry time.Time
	adjusted   time.Time
}

// NewScheduler returns a scheduler without classes and without capacity.
func NewScheduler(o Options) *Scheduler {
	return &Scheduler{
		options: o.withDefaults(),
		classes: make(map[string]*classQueue),
		weights: make(map[string]float64),
		items:   make(map[string]*item),
		peers:   make(map[string]map[usageKey]time.Duration),
	}
}

// Configure sets the classes of the pool and the shares of the teams. Requests of a class that is no
// longer configured are returned by the next call of Expire.
func (s *Scheduler) Configure(classes []class.Class, teams []team.Team) {
	clear(s.weights)
	for _, t := range teams {
		s.weights[t.Name()] = t.Share()
	}
	configured := make(map[string]bool, len(classes))
	s.order = s.order[:0]
	for _, c := range classes {
		configured[c.Name()] = true
		q, ok := s.classes[c.Name()]
		if !ok {
			q = &classQueue{name: c.Name(), teams: make(map[string]*teamQueue), tag: s.virtual}
			q.service.mean = seconds(s.options.DefaultServiceTime)
			q.service.deviation = q.service.mean / 2
			s.classes[c.Name()] = q
		}
		q.weight, q.urgent, q.target, q.removed = c.Share(), c.Urgent(), c.Target(), false
		s.order = append(s.order, q)
	}
	for name, q := range s.classes {
		if !configured[name] {
			s.removeClass(q)
			continue
		}
		q.busyWeight = 0
		for _, t := range q.list {
			t.share = s.weightOf(t.name)
			t.weight = t.share
			if t.busy() {
				q.busyWeight += t.weight
			}
		}
	}
}

// SetCapacity sets the number of slots that this entry instance may use now, including those in use.
func (s *Scheduler) SetCapacity(_ time.Time, slots int) { s.slots = max(slots, 0) }

// Queued returns the number and the bytes of queued requests.
func (s *Scheduler) Queued() (requests, bytes int) { return s.queued, s.bytes }

// Running returns the number of dispatched requests that have not finished.
func (s *Scheduler) Running() int { return s.occupied.running }

// Next removes the next request from the queue. It returns false if no request may run now: nothing is
// queued, all slots are in use, or mayRun refuses every team with queued requests.
func (s *Scheduler) Next(now time.Time, mayRun func(team string) bool) (Request, bool) {
	for s.occupied.running < s.slots && s.queued > 0 {
		q := s.choose(mayRun)
		if q == nil {
			return Request{}, false
		}
		i := q.first()
		if now.After(latestStart(i)) {
			s.drop(i, 0)
			continue
		}
		s.dispatch(now, i)
		return i.request, true
	}
	return Request{}, false
}

// credit returns how far the tag of a class may stay behind the virtual time while the class uses less
// than its share. An urgent class keeps a larger credit, which it spends at the start of a surge. The
// other classes then wait, but for no more than half of their targets.
func (s *Scheduler) credit(c *classQueue) float64 {
	if !c.urgent {
		return seconds(shortCredit) * float64(s.slots) / s.busyWeight(c)
	}
	limit := urgentCredit
	for _, other := range s.order {
		if other != c {
			limit = min(limit, other.target/2)
		}
	}
	return seconds(limit) * float64(s.slots) / c.weight
}

// teamCredit is like credit for a team.
func (s *Scheduler) teamCredit(q *teamQueue) float64 {
	c := q.class
	slots := float64(s.slots) * c.weight / s.busyWeight(c)
	return seconds(shortCredit) * slots / max(c.busyWeight, q.weight)
}

// busyWeight returns the sum of the weights of the class and of the others that compete for slots.
func (s *Scheduler) busyWeight(c *classQueue) float64 {
	total := c.weight
	for _, other := range s.order {
		if other != c && other.busy() {
			total += other.weight
		}
	}
	return total
}

// choose returns the queue to serve next, or nil if no team may run.
func (s *Scheduler) choose(mayRun func(team string) bool) *teamQueue {
	var best *classQueue
	var bestTeam *teamQueue
	for _, c := range s.order {
		if c.queued == 0 {
			continue
		}
		if best != nil && c.tag >= best.tag {
			continue
		}
		q := s.chooseTeam(c, mayRun)
		if q == nil {
			// A class whose teams may not run does not save up its share.
			c.tag = max(c.tag, s.virtual)
			continue
		}
		best, bestTeam = c, q
	}
	if best != nil {
		s.virtual = max(s.virtual, best.tag)
		best.virtual = max(best.virtual, bestTeam.tag)
	}
	return bestTeam
}

// chooseTeam returns the team of the class with the least tag that may run, or nil.
func (s *Scheduler) chooseTeam(c *classQueue, mayRun func(team string) bool) *teamQueue {
	s.blocked = s.blocked[:0]
	var chosen *teamQueue
	for len(c.waiting) > 0 {
		q := c.waiting[0]
		if mayRun == nil || mayRun(q.name) {
			chosen = q
			break
		}
		heap.Pop(&c.waiting)
		s.blocked = append(s.blocked, q)
	}
	for _, q := range s.blocked {
		// A team that may not run does not save up its share.
		if chosen != nil {
			q.tag = max(q.tag, chosen.tag)
		}
		heap.Push(&c.waiting, q)
	}
	return chosen
}

func (s *Scheduler) dispatch(now time.Time, i *item) {
	q := i.queue
	s.pull(i, 0)
	i.running = true
	i.charged = q.estimate().mean
	s.occupy(now, q, 1)
	s.charge(q, i.charged)
}

// occupy changes the number of occupied slots of the team and its class.
func (s *Scheduler) occupy(now time.Time, q *teamQueue, by int) {
	s.occupied.change(now, by)
	q.class.occupied.change(now, by)
	q.occupied.change(now, by)
}

// charge adds slot time in seconds to the team and its class. It can be negative.
func (s *Scheduler) charge(q *teamQueue, slotTime float64) {
	q.used += slotTime
	q.recent += slotTime
	q.class.tag += slotTime / q.class.weight
	q.tag += slotTime / q.weight
	if q.index >= 0 {
		heap.Fix(&q.class.waiting, q.index)
	}
}

// Finished records that a dispatched request has ended after it occupied a slot for the service time.
// If it occupied several slots (retries, hedged requests), service is their sum.
func (s *Scheduler) Finished(now time.Time, r Request, service time.Duration) {
	s.end(now, r, service, true)
}

// Aborted is like Finished for a request whose service time says nothing about others of its class,
// such as one that failed at once. The slot time is charged, but not learned.
func (s *Scheduler) Aborted(now time.Time, r Request, service time.Duration) {
	s.end(now, r, service, false)
}

func (s *Scheduler) end(now time.Time, r Request, service time.Duration, learn bool) {
	i, ok := s.items[r.ID]
	if !ok || !i.running {
		return
	}
	q, c := i.queue, i.queue.class
	slotTime := seconds(max(service, 0))
	s.occupy(now, q, -1)
	s.charge(q, slotTime-i.charged)
	if learn {
		q.service.add(slotTime)
		c.service.add(slotTime)
	}
	s.forget(i)
	s.idle(q)
}

// Requeue puts a dispatched request that no endpoint has received back into its queue, without a new
// admission. It returns false if the request is not running.
func (s *Scheduler) Requeue(now time.Time, r Request) bool {
	i, ok := s.items[r.ID]
	if !ok || !i.running {
		return false
	}
	s.occupy(now, i.queue, -1)
	s.charge(i.queue, -i.charged)
	i.running, i.charged = false, 0
	s.push(i, i.queue.position(i))
	return true
}

// Cancel removes a queued request. It returns false if the request is not queued, for example because
// it has been dispatched.
func (s *Scheduler) Cancel(id string) bool {
	i, ok := s.items[id]
	if !ok || i.running {
		return false
	}
	s.remove(i, i.queue.position(i))
	return true
}

// Expire removes and returns the queued requests that can no longer finish in time. They have not run.
func (s *Scheduler) Expire(now time.Time) []Request {
	s.sweep(now)
	s.adjustWeights(now)
	expired := s.dropped
	s.dropped = nil
	if now.Before(s.nextExpiry) {
		return expired
	}
	s.nextExpiry = now.Add(expiryInterval)
	for _, c := range s.order {
		for n := 0; n < len(c.waiting); {
			q := c.waiting[n]
			i := q.first()
			if start := latestStart(i); !now.After(start) {
				s.nextExpiry = earlier(s.nextExpiry, start)
				n++
				continue
			}
			expired = append(expired, i.request)
			s.remove(i, 0)
		}
	}
	return expired
}

// sweep removes the state of teams that have sent nothing for long.
func (s *Scheduler) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepInterval {
		return
	}
	s.swept = now
	for _, c := range s.order {
		c.list = slices.DeleteFunc(c.list, func(q *teamQueue) bool {
			if q.busy() || now.Sub(q.occupied.updated) < sweepInterval {
				return false
			}
			delete(c.teams, q.name)
			return true
		})
	}
}

// latestStart returns the time until which the request can be dispatched and finish in time.
func latestStart(i *item) time.Time {
	if i.probe {
		return i.request.Deadline
	}
	return i.request.Deadline.Add(-duration(i.queue.tail()))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// drop removes a request that Expire reports later.
func (s *Scheduler) drop(i *item, position int) {
	s.dropped = append(s.dropped, i.request)
	s.remove(i, position)
}

// push puts an item into the queue of its team.
func (s *Scheduler) push(i *item, position int) {
	q, c := i.queue, i.queue.class
	q.insert(i, position)
	s.queued++
	c.queued++
	s.bytes += i.request.Bytes
	c.bytes += i.request.Bytes
	if q.index < 0 {
		heap.Push(&c.waiting, q)
	}
}

// pull takes an item out of the queue of its team.
func (s *Scheduler) pull(i *item, position int) {
	q, c := i.queue, i.queue.class
	q.removeAt(position)
	s.queued--
	c.queued--
	s.bytes -= i.request.Bytes
	c.bytes -= i.request.Bytes
	if q.queued() == 0 {
		heap.Remove(&c.waiting, q.index)
	}
}

// remove takes a queued item out of the scheduler.
func (s *Scheduler) remove(i *item, position int) {
	q := i.queue
	s.pull(i, position)
	s.forget(i)
	s.idle(q)
}

func (s *Scheduler) forget(i *item) {
	delete(s.items, i.request.ID)
	*i = item{}
	if len(s.spare) < maxSpare {
		s.spare = append(s.spare, i)
	}
}

// idle updates the sums of the class after the team may have stopped to compete for slots.
func (s *Scheduler) idle(q *teamQueue) {
	if q.busy() {
		return
	}
	c := q.class
	c.busyTeams--
	c.busyWeight -= q.weight
	if c.busyTeams == 0 {
		c.busyWeight = 0 // removes rounding errors
		if c.removed {
			delete(s.classes, c.name)
		}
	}
}

// removeClass drops the queued requests of a class. Its running requests still end in the usual way.
func (s *Scheduler) removeClass(c *classQueue) {
	c.removed = true
	if !c.busy() {
		delete(s.classes, c.name)
		return
	}
	for _, q := range c.list {
		for q.queued() > 0 {
			s.drop(q.first(), 0)
		}
	}
}

func (s *Scheduler) weightOf(team string) float64 {
	if w, ok := s.weights[team]; ok {
		return w
	}
	return 1
}
