package queue

import (
	"container/heap"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/team"
)

const (
	// urgentCredit is the largest credit of an urgent class: the time for which it may use all slots.
	urgentCredit = 2 * time.Second
	// burstCredit is the largest credit of other classes and of teams: the time for which they may use their
	// share of the slots. A short burst of a team that stays within its share is thus served before teams
	// that are over theirs.
	burstCredit = 500 * time.Millisecond
	// expiryInterval is the longest time between two searches of all queues for expired requests. The
	// estimates of service times change, and with them the time until which a request can finish in time.
	expiryInterval = 50 * time.Millisecond
	// idleTeamRetention is the shortest time for which the state of an idle team is kept.
	idleTeamRetention = 10 * time.Minute
	// maxFreeItems bounds the number of items that are kept for reuse.
	maxFreeItems = 256
)

// Scheduler is the fair queue of one pool at one entry instance.
type Scheduler struct {
	options Options
	slots   int
	// classes also holds removed classes with running requests, classOrder only the configured ones.
	classes    map[string]*classQueue
	classOrder []*classQueue
	teamShares map[string]float64
	// itemsByID holds the queued and the running requests.
	itemsByID map[string]*item
	// peerUsage holds the last usage that each peer reported.
	peerUsage map[string]map[usageKey]time.Duration
	// freeItems holds items for reuse.
	freeItems []*item
	// dropped holds the requests that the next call of Expire returns.
	dropped []Request
	// blocked is used by selectTeam and kept to avoid an allocation.
	blocked  []*teamQueue
	sequence uint64
	// virtualTime is the virtual time of the fair queue of the classes.
	virtualTime float64
	queued      int
	bytes       int
	occupancy   occupancy
	lastPruned  time.Time
	// nextExpiry is the time before which no queued request has to be dropped.
	nextExpiry time.Time
	// weightsAdjusted is the time of the last adjustment of weights to the usage at peers.
	weightsAdjusted time.Time
}

// NewScheduler returns a scheduler without classes and without capacity.
func NewScheduler(o Options) *Scheduler {
	return &Scheduler{
		options:    o.withDefaults(),
		classes:    make(map[string]*classQueue),
		teamShares: make(map[string]float64),
		itemsByID:  make(map[string]*item),
		peerUsage:  make(map[string]map[usageKey]time.Duration),
	}
}

// Configure sets the classes of the pool and the shares of the teams. Requests of a class that is no
// longer configured are returned by the next call of Expire.
func (s *Scheduler) Configure(classes []class.Class, teams []team.Team) {
	clear(s.teamShares)
	for _, t := range teams {
		s.teamShares[t.Name()] = t.Share()
	}
	configured := make(map[string]bool, len(classes))
	s.classOrder = s.classOrder[:0]
	for _, c := range classes {
		configured[c.Name()] = true
		q, ok := s.classes[c.Name()]
		if !ok {
			q = &classQueue{name: c.Name(), teams: make(map[string]*teamQueue), startTag: s.virtualTime}
			q.serviceTime.mean = seconds(s.options.DefaultServiceTime)
			q.serviceTime.deviation = q.serviceTime.mean / 2
			s.classes[c.Name()] = q
		}
		q.weight, q.urgent, q.target, q.removed = c.Share(), c.Urgent(), c.Target(), false
		s.classOrder = append(s.classOrder, q)
	}
	for name, q := range s.classes {
		if !configured[name] {
			s.removeClass(q)
			continue
		}
		q.activeWeight = 0
		for _, t := range q.teamList {
			t.share = s.shareOf(t.name)
			t.weight = t.share
			if t.active() {
				q.activeWeight += t.weight
			}
		}
	}
}

// SetCapacity sets the number of slots that this entry instance may use now, including those in use.
func (s *Scheduler) SetCapacity(_ time.Time, slots int) { s.slots = max(slots, 0) }

// Queued returns the number and the bytes of queued requests.
func (s *Scheduler) Queued() (requests, bytes int) { return s.queued, s.bytes }

// Running returns the number of dispatched requests that have not finished.
func (s *Scheduler) Running() int { return s.occupancy.running }

// Next removes the next request from the queue. It returns false if no request may run now: nothing is
// queued, all slots are in use, or mayRun refuses every team with queued requests.
func (s *Scheduler) Next(now time.Time, mayRun func(team string) bool) (Request, bool) {
	for s.occupancy.running < s.slots && s.queued > 0 {
		q := s.selectQueue(mayRun)
		if q == nil {
			return Request{}, false
		}
		i := q.headOfLine()
		if now.After(latestStart(i)) {
			s.dropRequest(i, 0)
			continue
		}
		s.dispatch(now, i)
		return i.request, true
	}
	return Request{}, false
}

// classCredit returns how far the start tag of a class may stay behind the virtual time while the class
// uses less than its share. An urgent class keeps a larger credit, which it spends at the start of a surge.
// The other classes then wait, but for no more than half of their latency targets.
func (s *Scheduler) classCredit(c *classQueue) float64 {
	if !c.urgent {
		return seconds(burstCredit) * float64(s.slots) / s.competingWeight(c)
	}
	limit := urgentCredit
	for _, other := range s.classOrder {
		if other != c {
			limit = min(limit, other.target/2)
		}
	}
	return seconds(limit) * float64(s.slots) / c.weight
}

// teamCredit returns how far the start tag of a team may stay behind the virtual time of its class.
func (s *Scheduler) teamCredit(q *teamQueue) float64 {
	c := q.class
	slots := float64(s.slots) * c.weight / s.competingWeight(c)
	return seconds(burstCredit) * slots / max(c.activeWeight, q.weight)
}

// competingWeight returns the sum of the weights of the class and of the other active classes.
func (s *Scheduler) competingWeight(c *classQueue) float64 {
	total := c.weight
	for _, other := range s.classOrder {
		if other != c && other.active() {
			total += other.weight
		}
	}
	return total
}

// selectQueue returns the team queue to serve next, or nil if no team may run. It belongs to the class with
// the lowest start tag.
func (s *Scheduler) selectQueue(mayRun func(team string) bool) *teamQueue {
	var best *classQueue
	var bestTeam *teamQueue
	for _, c := range s.classOrder {
		if c.queued == 0 {
			continue
		}
		if best != nil && c.startTag >= best.startTag {
			continue
		}
		q := s.selectTeam(c, mayRun)
		if q == nil {
			// A class whose teams may not run accrues no credit.
			c.startTag = max(c.startTag, s.virtualTime)
			continue
		}
		best, bestTeam = c, q
	}
	if best != nil {
		s.virtualTime = max(s.virtualTime, best.startTag)
		best.virtualTime = max(best.virtualTime, bestTeam.startTag)
	}
	return bestTeam
}

// selectTeam returns the team with the lowest start tag among those of the class that may run, or nil.
func (s *Scheduler) selectTeam(c *classQueue, mayRun func(team string) bool) *teamQueue {
	s.blocked = s.blocked[:0]
	var chosen *teamQueue
	for len(c.backlogged) > 0 {
		q := c.backlogged[0]
		if mayRun == nil || mayRun(q.name) {
			chosen = q
			break
		}
		heap.Pop(&c.backlogged)
		s.blocked = append(s.blocked, q)
	}
	for _, q := range s.blocked {
		// A team that may not run accrues no credit.
		if chosen != nil {
			q.startTag = max(q.startTag, chosen.startTag)
		}
		heap.Push(&c.backlogged, q)
	}
	return chosen
}

// dispatch starts the head-of-line request of a team and charges its expected slot time. finishRequest corrects
// the charge.
func (s *Scheduler) dispatch(now time.Time, i *item) {
	q := i.queue
	s.removeFromTeam(i, 0)
	i.running = true
	i.chargedSlotTime = q.estimate().mean
	s.addRunning(now, q, 1)
	s.chargeSlotTime(q, i.chargedSlotTime)
}

// addRunning changes the number of occupied slots of the team, its class and the scheduler.
func (s *Scheduler) addRunning(now time.Time, q *teamQueue, by int) {
	s.occupancy.addRunning(now, by)
	q.class.occupancy.addRunning(now, by)
	q.occupancy.addRunning(now, by)
}

// chargeSlotTime charges slot time in seconds to the team and its class. Negative slot time corrects an
// earlier charge.
func (s *Scheduler) chargeSlotTime(q *teamQueue, slotTime float64) {
	q.usedSlotTime += slotTime
	q.recentSlotTime += slotTime
	q.class.startTag += slotTime / q.class.weight
	q.startTag += slotTime / q.weight
	if q.heapIndex >= 0 {
		heap.Fix(&q.class.backlogged, q.heapIndex)
	}
}

// Finished records that a dispatched request has ended after it occupied a slot for the given service time.
// If it occupied several slots (retries, hedged requests), service is the sum of the times.
func (s *Scheduler) Finished(now time.Time, r Request, service time.Duration) {
	s.finishRequest(now, r, service, true)
}

// Aborted is like Finished for a request whose service time says nothing about others of its class,
// such as one that failed at once. The slot time is charged, but does not enter the estimates.
func (s *Scheduler) Aborted(now time.Time, r Request, service time.Duration) {
	s.finishRequest(now, r, service, false)
}

func (s *Scheduler) finishRequest(now time.Time, r Request, service time.Duration, updateEstimates bool) {
	i, ok := s.itemsByID[r.ID]
	if !ok || !i.running {
		return
	}
	q, c := i.queue, i.queue.class
	slotTime := seconds(max(service, 0))
	s.addRunning(now, q, -1)
	s.chargeSlotTime(q, slotTime-i.chargedSlotTime)
	if updateEstimates {
		q.serviceTime.addSample(slotTime)
		c.serviceTime.addSample(slotTime)
	}
	s.releaseItem(i)
	s.deactivateIfIdle(q)
}

// Requeue returns a dispatched request that no endpoint has received to its queue, without a new
// admission. It returns false if the request is not running.
func (s *Scheduler) Requeue(now time.Time, r Request) bool {
	i, ok := s.itemsByID[r.ID]
	if !ok || !i.running {
		return false
	}
	s.addRunning(now, i.queue, -1)
	s.chargeSlotTime(i.queue, -i.chargedSlotTime)
	i.running, i.chargedSlotTime = false, 0
	s.addToTeam(i, i.queue.insertPosition(i))
	return true
}

// Cancel removes a queued request. It returns false if the request is not queued, for example because
// it has been dispatched.
func (s *Scheduler) Cancel(id string) bool {
	i, ok := s.itemsByID[id]
	if !ok || i.running {
		return false
	}
	s.removeQueued(i, i.queue.insertPosition(i))
	return true
}

// Expire removes and returns the queued requests that can no longer finish in time, and those that were
// dropped since the last call. They have not run.
func (s *Scheduler) Expire(now time.Time) []Request {
	s.pruneIdleTeams(now)
	s.adjustWeights(now)
	expired := s.dropped
	s.dropped = nil
	if now.Before(s.nextExpiry) {
		return expired
	}
	s.nextExpiry = now.Add(expiryInterval)
	for _, c := range s.classOrder {
		for n := 0; n < len(c.backlogged); {
			q := c.backlogged[n]
			i := q.headOfLine()
			if start := latestStart(i); !now.After(start) {
				s.nextExpiry = earlier(s.nextExpiry, start)
				n++
				continue
			}
			expired = append(expired, i.request)
			s.removeQueued(i, 0)
		}
	}
	return expired
}

// pruneIdleTeams removes the state of teams that have been idle for idleTeamRetention.
func (s *Scheduler) pruneIdleTeams(now time.Time) {
	if now.Sub(s.lastPruned) < idleTeamRetention {
		return
	}
	s.lastPruned = now
	for _, c := range s.classOrder {
		c.teamList = slices.DeleteFunc(c.teamList, func(q *teamQueue) bool {
			if q.active() || now.Sub(q.occupancy.updated) < idleTeamRetention {
				return false
			}
			delete(c.teams, q.name)
			return true
		})
	}
}

// latestStart returns the latest time at which the request can be dispatched and still finish in time.
func latestStart(i *item) time.Time {
	if i.probe {
		return i.request.Deadline
	}
	return i.request.Deadline.Add(-duration(i.queue.tailServiceTime()))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// dropRequest removes a queued request. The next call of Expire returns it.
func (s *Scheduler) dropRequest(i *item, position int) {
	s.dropped = append(s.dropped, i.request)
	s.removeQueued(i, position)
}

// addToTeam inserts an item into the queue of its team.
func (s *Scheduler) addToTeam(i *item, position int) {
	q, c := i.queue, i.queue.class
	q.insert(i, position)
	s.queued++
	c.queued++
	s.bytes += i.request.Bytes
	c.bytes += i.request.Bytes
	if q.heapIndex < 0 {
		heap.Push(&c.backlogged, q)
	}
}

// removeFromTeam removes an item from the queue of its team.
func (s *Scheduler) removeFromTeam(i *item, position int) {
	q, c := i.queue, i.queue.class
	q.removeAt(position)
	s.queued--
	c.queued--
	s.bytes -= i.request.Bytes
	c.bytes -= i.request.Bytes
	if q.queued() == 0 {
		heap.Remove(&c.backlogged, q.heapIndex)
	}
}

// removeQueued removes a queued item from the scheduler.
func (s *Scheduler) removeQueued(i *item, position int) {
	q := i.queue
	s.removeFromTeam(i, position)
	s.releaseItem(i)
	s.deactivateIfIdle(q)
}

// releaseItem clears an item and keeps it for reuse.
func (s *Scheduler) releaseItem(i *item) {
	delete(s.itemsByID, i.request.ID)
	*i = item{}
	if len(s.freeItems) < maxFreeItems {
		s.freeItems = append(s.freeItems, i)
	}
}

// deactivateIfIdle subtracts the team from the sums of its class if its last request has just left, and
// deletes a removed class with its last team.
func (s *Scheduler) deactivateIfIdle(q *teamQueue) {
	if q.active() {
		return
	}
	c := q.class
	c.activeTeams--
	c.activeWeight -= q.weight
	if c.activeTeams == 0 {
		c.activeWeight = 0 // removes rounding errors
		if c.removed {
			delete(s.classes, c.name)
		}
	}
}

// removeClass drops the queued requests of a class. Its running requests are not interrupted.
func (s *Scheduler) removeClass(c *classQueue) {
	c.removed = true
	if !c.active() {
		delete(s.classes, c.name)
		return
	}
	for _, q := range c.teamList {
		for q.queued() > 0 {
			s.dropRequest(q.headOfLine(), 0)
		}
	}
}

// shareOf returns the configured share of the team, or 1 for a team that is not configured.
func (s *Scheduler) shareOf(team string) float64 {
	if w, ok := s.teamShares[team]; ok {
		return w
	}
	return 1
}
