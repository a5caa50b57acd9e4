package scheduler

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/preemption"
	"github.com/chivetiller/chivetiller/internal/jobs/runtimes"
	"github.com/chivetiller/chivetiller/work"
)

const (
	// reserveAfter is how long a task of a service waits for room before a worker is kept free for it. Short tasks may have ended by then.
	reserveAfter = time.Second
	// reservationLimit is how long a worker is kept free without the end of a run there until another one is chosen, since its tasks may
	// take longer than estimated.
	reservationLimit = 5 * time.Second
	// reservedShare is the share of the workers of a pool that are kept free at a time, so that other tasks go on.
	reservedShare = 0.25
	// reserveRetry is the pause after no worker was found that could have room.
	reserveRetry = 500 * time.Millisecond
	// minRunLeft is the time that a run is assumed to take at least.
	minRunLeft = 50 * time.Millisecond
)

// reservation keeps room on a worker for a task of a service that waits, or of a job for which runs were stopped. Any task of the step may
// use it.
type reservation struct {
	step *step
	// since is the time of the reservation or of the latest check, and used is what was in use on the worker then.
	since time.Duration
	used  work.Resources
	// until is the time at which the room of runs that were stopped for another job is not kept any more, and 0 for a service.
	until time.Duration
}

// leavesReserved reports whether n more tasks of a step on a worker leave the room that is kept for other steps.
func (ws *workerState) leavesReserved(s *step, n int64) bool {
	if len(ws.reservations) == 0 {
		return true
	}
	free := ws.freeCapacity().Minus(s.doc.ReservedResources().Times(n))
	for _, r := range ws.reservations {
		if r.step != s {
			free = free.Minus(r.step.doc.ReservedResources())
		}
	}
	return work.Resources{}.Fits(free)
}

// dropReservations removes the reservations that are not needed any more, or that have lasted too long.
func (c *Core) dropReservations(p *pool) {
	if len(p.reserved) == 0 {
		return
	}
	kept := make(map[*step]int)
	p.reserved = slices.DeleteFunc(p.reserved, func(ws *workerState) bool {
		if c.workers[ws.report.ID] != ws || !c.acceptsTasks(ws) {
			ws.reservations = nil
			return true
		}
		ws.reservations = slices.DeleteFunc(ws.reservations, func(r reservation) bool {
			s := r.step
			if s.job.progress.State.Ended() || kept[s] >= s.idleTasks+c.movingOut(s) || !s.doc.ReservedResources().Fits(ws.report.Capacity) {
				return true
			}
			if r.until > 0 && c.now >= r.until || c.now-r.since >= reservationLimit && r.used.Fits(ws.used) {
				return true
			}
			kept[s]++
			return false
		})
		for i := range ws.reservations {
			if r := &ws.reservations[i]; c.now-r.since >= reservationLimit {
				r.since, r.used = c.now, ws.used
			}
		}
		return len(ws.reservations) == 0
	})
}

// reserveRoom keeps workers free for the tasks of a service that wait for room, those first that are expected to have room soonest.
func (c *Core) reserveRoom(s *step, workers *placement) {
	if s.waitsSince == 0 {
		s.waitsSince = c.now
	}
	if c.now-s.waitsSince < reserveAfter || c.now < s.waits().reserveNotBefore {
		return
	}
	p := c.pool(s.job.doc.Pool)
	waiting := s.idleTasks
	for _, ws := range p.reserved {
		waiting -= ws.reservedFor(s)
	}
	limit := max(1, int(reservedShare*float64(len(workers.workers))))
	for n := int64(1); n <= int64(waiting) && c.withinTeamLimit(s, n); n++ {
		ws := c.soonestRoom(s, workers.workers, len(p.reserved) >= limit)
		if ws == nil {
			s.waits().reserveNotBefore = c.now + reserveRetry
			return
		}
		p.reserve(s, ws, c.now)
		c.logger.Info("Worker is kept free for a service.", "job", s.job.doc.ID, "step", s.number, "worker", ws.report.ID, "waited", c.now-s.waitsSince,
			"runs", len(ws.runs), "reservations", len(ws.reservations))
	}
}

// reserve keeps room on a worker for a task of a step.
func (p *pool) reserve(s *step, ws *workerState, now time.Duration) {
	if len(ws.reservations) == 0 {
		p.reserved = append(p.reserved, ws)
	}
	ws.reservations = append(ws.reservations, reservation{step: s, since: now, used: ws.used})
}

func (ws *workerState) reservedFor(s *step) int {
	n := 0
	for _, r := range ws.reservations {
		if r.step == s {
			n++
		}
	}
	return n
}

// useReservation removes a reservation of a step on a worker on which one of its tasks starts.
func (ws *workerState) useReservation(s *step) {
	if i := slices.IndexFunc(ws.reservations, func(r reservation) bool { return r.step == s }); i >= 0 {
		ws.reservations = slices.Delete(ws.reservations, i, i+1)
	}
}

// soonestRoom returns the worker that is expected to have room for one more task of a step first, and nil if there is none. With
// onlyReserved it is one that is kept free already.
func (c *Core) soonestRoom(s *step, usable []*workerState, onlyReserved bool) *workerState {
	var best *workerState
	var bestWait time.Duration
	for _, ws := range usable {
		if onlyReserved && len(ws.reservations) == 0 || !c.eligible(s, ws) {
			continue
		}
		if s.doc.MaxPerWorker > 0 && c.tasksOn(s, ws)+ws.reservedFor(s) >= s.doc.MaxPerWorker {
			continue
		}
		if wait, ok := c.timeToRoom(s, ws, c.expect); ok && (best == nil || wait < bestWait) {
			best, bestWait = ws, wait
		}
	}
	return best
}

// unreserved returns the capacity that is neither in use nor reserved.
func (ws *workerState) unreserved() work.Resources {
	free := ws.freeCapacity()
	for _, r := range ws.reservations {
		free = free.Minus(r.step.doc.ReservedResources())
	}
	return free
}

// timeToRoom returns how long a worker is expected to take until it has room for one more task of a step beside its reservations. It
// reports false if only the end of a service would make room. expect returns what is expected of a step.
func (c *Core) timeToRoom(s *step, ws *workerState, expect func(*step) runtimes.Expectation) (time.Duration, bool) {
	endings := make([]preemption.Ending, 0, len(ws.runs))
	for _, r := range ws.runs {
		if !r.step.doc.Service || r.phase == stopping {
			endings = append(endings, preemption.Ending{Left: c.expectedLeft(r, expect), Size: r.step.doc.ReservedResources()})
		}
	}
	return preemption.RoomAfter(s.doc.ReservedResources(), ws.unreserved(), endings)
}
