package queue

import (
	"math"
	"time"
)

const (
	// minRetryAfter keeps rejected callers from retrying at once.
	minRetryAfter = 50 * time.Millisecond
	// noCapacityRetryAfter is the time after which a pool without slots may have some again.
	noCapacityRetryAfter = time.Second
	// overShare is the part of its share from which a team counts as over its share, because the
	// average of occupied slots fluctuates.
	overShare = 0.9
)

// Offer queues a request, or fails with a *Rejection if it cannot finish before its deadline or a bound
// is reached.
func (s *Scheduler) Offer(now time.Time, r Request) error {
	c, ok := s.classes[r.Class]
	if !ok || c.removed {
		return &Rejection{Reason: ReasonUnknownClass}
	}
	if _, ok := s.items[r.ID]; ok {
		return &Rejection{Reason: ReasonDuplicate}
	}
	q := s.team(c, r.Team)
	if s.overBound(q, r.Bytes) {
		return &Rejection{Reason: ReasonQueueFull, RetryAfter: max(minRetryAfter, duration(c.service.mean))}
	}
	if s.slots == 0 {
		return &Rejection{Reason: ReasonNoCapacity, RetryAfter: noCapacityRetryAfter}
	}
	i := s.newItem(q, r)
	position := q.position(i)
	if late := s.lateness(now, q, position, r.Deadline); late > 0 {
		// While nothing of the team runs, an estimate that is too high would never be corrected.
		i.probe = !q.busy() && s.occupied.running < s.slots && now.Before(r.Deadline)
		if !i.probe {
			reason := s.reason(now, q)
			s.forget(i)
			return &Rejection{Reason: reason, RetryAfter: max(minRetryAfter, late)}
		}
	}
	s.items[r.ID] = i
	s.enqueue(i, position)
	s.nextExpiry = earlier(s.nextExpiry, latestStart(i))
	return nil
}

func (s *Scheduler) newItem(q *teamQueue, r Request) *item {
	s.sequence++
	var i *item
	if n := len(s.spare); n > 0 {
		i, s.spare = s.spare[n-1], s.spare[:n-1]
	} else {
		i = new(item)
	}
	*i = item{request: r, queue: q, sequence: s.sequence}
	return i
}

func (s *Scheduler) enqueue(i *item, position int) {
	q, c := i.queue, i.queue.class
	if c.queued == 0 {
		c.tag = max(c.tag, s.virtual-s.credit(c))
	}
	if q.queued() == 0 {
		q.tag = max(q.tag, c.virtual-s.teamCredit(q))
	}
	if !q.busy() {
		c.busyTeams++
		c.busyWeight += q.weight
	}
	s.push(i, position)
}

func (s *Scheduler) team(c *classQueue, name string) *teamQueue {
	q, ok := c.teams[name]
	if !ok {
		w := s.weightOf(name)
		q = &teamQueue{class: c, name: name, share: w, weight: w, index: -1}
		c.teams[name] = q
		c.list = append(c.list, q)
	}
	return q
}

// overBound reports whether a request of the size goes over a bound. A class may hold as much as is
// free in the scheduler, and a team as much as is free in its class. A surge therefore leaves room for
// the other classes and teams.
func (s *Scheduler) overBound(q *teamQueue, bytes int) bool {
	c := q.class
	over := func(limit, total, ofClass, ofTeam, size int) bool {
		free := limit - total
		return ofClass+size > free || ofTeam+size > max(free-ofClass, 0)
	}
	return over(s.options.MaxRequests, s.queued, c.queued, q.queued(), 1) ||
		over(s.options.MaxBytes, s.bytes, c.bytes, q.bytes, bytes)
}

// lateness returns how long after the deadline a request at the position would finish.
func (s *Scheduler) lateness(now time.Time, q *teamQueue, position int, deadline time.Time) time.Duration {
	e := q.estimate()
	wait := 0.0
	if s.occupied.running >= s.slots || s.queued > 0 {
		wait = s.wait(now, q, float64(position)*e.mean) + s.slotWait()
	}
	finish := now.Add(duration(wait + q.tail()))
	return finish.Sub(deadline)
}

// slotWait returns the time in seconds until a slot becomes free when all are in use.
func (s *Scheduler) slotWait() float64 {
	var slotTime float64
	for _, c := range s.order {
		slotTime += float64(c.occupied.running) * c.service.mean
	}
	running := max(s.occupied.running, 1)
	return slotTime / float64(running*running)
}

// wait returns the time in seconds until the team has received the slot time, which is queued ahead.
func (s *Scheduler) wait(now time.Time, q *teamQueue, slotTime float64) float64 {
	c, slots := q.class, float64(s.slots)
	// Classes that spend their credit go first; this one may be such a class itself.
	ahead, least := 0.0, math.Inf(1)
	for _, other := range s.order {
		if other == c || other.queued == 0 {
			continue
		}
		least = min(least, other.tag)
		if lag := c.tag - other.tag; lag > 0 {
			ahead += min(lag*other.weight, float64(other.queued)*other.service.mean)
		}
	}
	rate := s.rate(now, q)
	if lag := least - c.tag; lag > 0 && len(s.order) > 1 {
		credit := min(lag*c.weight/slots, float64(c.queued)*c.service.mean/slots)
		part := slots * q.weight / max(c.busyWeight, q.weight)
		if slotTime <= part*credit {
			return ahead/slots + slotTime/part
		}
		return ahead/slots + credit + (slotTime-part*credit)/rate
	}
	return ahead/slots + slotTime/rate
}

// rate returns how many slots the team can expect to use at a time: its share among the classes and
// teams that compete, or what the others leave, whichever is more.
func (s *Scheduler) rate(now time.Time, q *teamQueue) float64 {
	c := q.class
	slots := float64(s.slots)
	ofClass := max(slots*c.weight/s.busyWeight(c), slots-(s.occupied.at(now)-c.occupied.at(now)))
	weight := c.busyWeight
	if !q.busy() {
		weight += q.weight
	}
	ofTeam := max(ofClass*q.weight/weight, ofClass-(c.occupied.at(now)-q.occupied.at(now)))
	return max(ofTeam, 1e-6)
}

// reason returns ReasonOverShare if the team uses its share of a full pool, and ReasonDeadline otherwise.
func (s *Scheduler) reason(now time.Time, q *teamQueue) Reason {
	c := q.class
	if s.occupied.running < s.slots || (c.busyTeams < 2 && s.occupied.running == c.occupied.running) {
		return ReasonDeadline
	}
	share := float64(s.slots) * c.weight / s.busyWeight(c) * q.weight / max(c.busyWeight, q.weight)
	if q.busy() && q.occupied.at(now) >= overShare*share {
		return ReasonOverShare
	}
	return ReasonDeadline
}
