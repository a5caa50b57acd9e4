package queue

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the shortest delay that a rejected caller is told to wait before it retries.
	minRetryAfter = 50 * time.Millisecond
	// noCapacityRetryAfter is the delay that a caller is told to wait while the pool has no slots.
	noCapacityRetryAfter = time.Second
	// overShareRatio is the fraction of its share at which a team counts as over its share. It is below 1
	// because the average of occupied slots fluctuates.
	overShareRatio = 0.9
)

// Offer admits a request to the queue. It fails with a *Rejection if the request cannot be admitted, for
// example because it cannot finish before its deadline or the queue is full.
func (s *Scheduler) Offer(now time.Time, r Request) error {
	c, ok := s.classes[r.Class]
	if !ok || c.removed {
		return &Rejection{Reason: ReasonUnknownClass}
	}
	if _, ok := s.itemsByID[r.ID]; ok {
		return &Rejection{Reason: ReasonDuplicate}
	}
	q := s.getOrCreateTeam(c, r.Team)
	if s.exceedsBound(q, r.Bytes) {
		return &Rejection{Reason: ReasonQueueFull, RetryAfter: max(minRetryAfter, duration(c.serviceTime.mean))}
	}
	if s.slots == 0 {
		return &Rejection{Reason: ReasonNoCapacity, RetryAfter: noCapacityRetryAfter}
	}
	i := s.newItem(q, r)
	position := q.insertPosition(i)
	if lateness := s.expectedLateness(now, q, position, r.Deadline); lateness > 0 {
		// Without a running or queued request of the team, an estimate that is too high would never be
		// corrected. A free slot is therefore used for a probe.
		i.probe = !q.active() && s.occupancy.running < s.slots && now.Before(r.Deadline)
		if !i.probe {
			reason := s.rejectionReason(now, q)
			s.releaseItem(i)
			return &Rejection{Reason: reason, RetryAfter: max(minRetryAfter, lateness)}
		}
	}
	s.itemsByID[r.ID] = i
	s.enqueue(i, position)
	s.nextExpiry = earlier(s.nextExpiry, latestStart(i))
	return nil
}

// newItem returns an item for the request, reused if possible.
func (s *Scheduler) newItem(q *teamQueue, r Request) *item {
	s.sequence++
	var i *item
	if n := len(s.freeItems); n > 0 {
		i, s.freeItems = s.freeItems[n-1], s.freeItems[:n-1]
	} else {
		i = new(item)
	}
	*i = item{request: r, queue: q, sequence: s.sequence}
	return i
}

// enqueue adds an admitted request to the queue of its team. If the class or the team had no backlog, its start
// tag moves up to the virtual time less its credit: unused share beyond the credit is not saved up.
func (s *Scheduler) enqueue(i *item, position int) {
	q, c := i.queue, i.queue.class
	if c.queued == 0 {
		c.startTag = max(c.startTag, s.virtualTime-s.classCredit(c))
	}
	if q.queued() == 0 {
		q.startTag = max(q.startTag, c.virtualTime-s.teamCredit(q))
	}
	if !q.active() {
		c.activeTeams++
		c.activeWeight += q.weight
	}
	s.addToTeam(i, position)
}

// getOrCreateTeam returns the queue of the team in the class. An unknown team gets an empty queue.
func (s *Scheduler) getOrCreateTeam(c *classQueue, name string) *teamQueue {
	q, ok := c.teams[name]
	if !ok {
		w := s.shareOf(name)
		q = &teamQueue{class: c, name: name, share: w, weight: w, heapIndex: -1}
		c.teams[name] = q
		c.teamList = append(c.teamList, q)
	}
	return q
}

// exceedsBound reports whether a request of the given size would exceed a bound of the queue. A class may
// hold as much as is still free in the scheduler, and a team as much as is still free in its class, so that
// a surge leaves room for the other classes and teams.
func (s *Scheduler) exceedsBound(q *teamQueue, bytes int) bool {
	c := q.class
	over := func(limit, total, ofClass, ofTeam, size int) bool {
		free := limit - total
		return ofClass+size > free || ofTeam+size > max(free-ofClass, 0)
	}
	return over(s.options.MaxRequests, s.queued, c.queued, q.queued(), 1) ||
		over(s.options.MaxBytes, s.bytes, c.bytes, q.bytes, bytes)
}

// expectedLateness returns how long after its deadline a request at the given position of the team's queue
// would finish. It is negative or 0 if the request finishes in time.
func (s *Scheduler) expectedLateness(now time.Time, q *teamQueue, position int, deadline time.Time) time.Duration {
	e := q.estimate()
	wait := 0.0
	if s.occupancy.running >= s.slots || s.queued > 0 {
		wait = s.expectedWait(now, q, float64(position)*e.mean) + s.expectedSlotWait()
	}
	finish := now.Add(duration(wait + q.tailServiceTime()))
	return finish.Sub(deadline)
}

// expectedSlotWait returns the time in seconds until a slot becomes free while all are in use.
func (s *Scheduler) expectedSlotWait() float64 {
	var slotTime float64
	for _, c := range s.classOrder {
		slotTime += float64(c.occupancy.running) * c.serviceTime.mean
	}
	running := max(s.occupancy.running, 1)
	return slotTime / float64(running*running)
}

// expectedWait returns the time in seconds until the team has received the given slot time, which is that
// of its requests ahead in the queue.
func (s *Scheduler) expectedWait(now time.Time, q *teamQueue, slotTime float64) float64 {
	c, slots := q.class, float64(s.slots)
	// Classes with a lower start tag spend their credit first. This class may be such a class itself.
	slotTimeAhead, lowestTag := 0.0, math.Inf(1)
	for _, other := range s.classOrder {
		if other == c || other.queued == 0 {
			continue
		}
		lowestTag = min(lowestTag, other.startTag)
		if lag := c.startTag - other.startTag; lag > 0 {
			slotTimeAhead += min(lag*other.weight, float64(other.queued)*other.serviceTime.mean)
		}
	}
	rate := s.serviceRate(now, q)
	if lag := lowestTag - c.startTag; lag > 0 && len(s.classOrder) > 1 {
		credit := min(lag*c.weight/slots, float64(c.queued)*c.serviceTime.mean/slots)
		teamSlots := slots * q.weight / max(c.activeWeight, q.weight)
		if slotTime <= teamSlots*credit {
			return slotTimeAhead/slots + slotTime/teamSlots
		}
		return slotTimeAhead/slots + credit + (slotTime-teamSlots*credit)/rate
	}
	return slotTimeAhead/slots + slotTime/rate
}

// serviceRate returns how many slots the team can expect to use at a time: its share among the active
// classes and teams, or the slots that the others leave unused, whichever is more.
func (s *Scheduler) serviceRate(now time.Time, q *teamQueue) float64 {
	c := q.class
	slots := float64(s.slots)
	classSlots := max(slots*c.weight/s.competingWeight(c), slots-(s.occupancy.averageAt(now)-c.occupancy.averageAt(now)))
	weight := c.activeWeight
	if !q.active() {
		weight += q.weight
	}
	teamSlots := max(classSlots*q.weight/weight, classSlots-(c.occupancy.averageAt(now)-q.occupancy.averageAt(now)))
	return max(teamSlots, 1e-6)
}

// rejectionReason returns ReasonOverShare if all slots are in use and the team uses its share of them, and
// ReasonDeadline otherwise.
func (s *Scheduler) rejectionReason(now time.Time, q *teamQueue) Reason {
	c := q.class
	if s.occupancy.running < s.slots || (c.activeTeams < 2 && s.occupancy.running == c.occupancy.running) {
		return ReasonDeadline
	}
	share := float64(s.slots) * c.weight / s.competingWeight(c) * q.weight / max(c.activeWeight, q.weight)
	if q.active() && q.occupancy.averageAt(now) >= overShareRatio*share {
		return ReasonOverShare
	}
	return ReasonDeadline
}
