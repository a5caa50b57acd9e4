package scheduler

import (
	"maps"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/horizon"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// RosterEntry is a worker in the stored roster. The next leader renews the leases of these workers at once, even if the
// registry has dropped them.
type RosterEntry struct {
	ID          string         `cbor:"1,keyasint"`
	Pool        string         `cbor:"2,keyasint"`
	Address     string         `cbor:"3,keyasint"`
	Incarnation int64          `cbor:"4,keyasint,omitempty"`
	Capacity    work.Resources `cbor:"5,keyasint"`
	DataCentre  string         `cbor:"6,keyasint,omitempty"`
	// Restarted means that calls to earlier lives of the worker may have given this one a lease, which is as long as a worker grants.
	Restarted bool `cbor:"7,keyasint,omitempty"`
	// EarlierLeasesUntil is the time on the store's clock at which such leases have certainly ended, and 0 if that is not known. It stays as
	// it is from leader to leader, so that the error of the clock does not add up.
	EarlierLeasesUntil time.Duration `cbor:"8,keyasint,omitempty"`
	// earlierEnd is EarlierLeasesUntil as a local monotonic time.
	earlierEnd time.Duration
}

// toStore returns the entry as it is stored. offset is what is added to a local time to get that of the store.
func (e RosterEntry) toStore(offset time.Duration) *RosterEntry {
	if e.earlierEnd != 0 && e.EarlierLeasesUntil == 0 {
		e.EarlierLeasesUntil = e.earlierEnd + offset + storeClockError
	}
	e.earlierEnd = 0
	return &e
}

// fromStore returns a stored entry as the core takes it. offset is what is added to a time on the store's clock.
func (e RosterEntry) fromStore(offset time.Duration) RosterEntry {
	if e.EarlierLeasesUntil != 0 {
		e.earlierEnd = e.EarlierLeasesUntil + offset
	}
	return e
}

// SetRoster adds the workers in the roster of the previous leader.
func (c *Core) SetRoster(roster []RosterEntry) {
	for _, e := range roster {
		ws := c.addWorker(worker.Report{ID: e.ID, Pool: e.Pool, Address: e.Address, Incarnation: e.Incarnation, Capacity: e.Capacity, DataCentre: e.DataCentre})
		ws.unlistedSince, ws.restarted = c.now, e.Restarted
		ws.earlierEnd, ws.earlierStoredEnd = e.earlierEnd, e.EarlierLeasesUntil
		delete(c.rosterChanges, e.ID)
	}
}

// MigrateRows adds the workers in the roster of an earlier version, unless they are known. It makes the next batches store them in
// the present rows, and remove the old rows if the store has some.
func (c *Core) MigrateRows(roster []RosterEntry, hasOldRows bool) {
	c.hasOldRows = hasOldRows
	for _, e := range roster {
		if _, ok := c.workers[e.ID]; !ok {
			c.SetRoster([]RosterEntry{e})
			c.rosterChanges[e.ID] = true
		}
	}
}

// rosterKey returns the key of the row of a worker in the roster.
func rosterKey(id string) store.Key { return rowkeys.Fleet(rowkeys.RosterPrefix + id) }

// takeRosterChanges returns the roster entries that are out of date in the store and whose rows are admitted, at most limit. An entry
// that is to be removed is nil.
func (c *Core) takeRosterChanges(limit int) map[string]*RosterEntry {
	changes := make(map[string]*RosterEntry)
	for id := range c.rosterChanges {
		if len(changes) >= limit {
			break
		}
		if !c.refusedRows.Admits(rosterKey(id)) {
			continue
		}
		delete(c.rosterChanges, id)
		changes[id] = c.rosterEntry(id)
	}
	return changes
}

// rosterEntry returns the roster entry of a worker, and nil if no lease of the worker has to be renewed by the next leader.
func (c *Core) rosterEntry(id string) *RosterEntry {
	ws, ok := c.workers[id]
	if !ok || ws.leaseExpired {
		return nil
	}
	entry := &RosterEntry{
		ID: ws.report.ID, Pool: ws.report.Pool, Address: ws.report.Address, Incarnation: ws.identity.Incarnation, Capacity: ws.report.Capacity,
		DataCentre: ws.report.DataCentre, Restarted: ws.restarted,
	}
	if !ws.restarted {
		return entry
	}
	if end, known := ws.earlierLeasesEnd(); known && end != ws.earlierEnd {
		entry.earlierEnd = end
	} else if known {
		entry.earlierEnd, entry.EarlierLeasesUntil = end, ws.earlierStoredEnd
	}
	return entry
}

// recordedRun is the latest run of a task that a previous leader started.
type recordedRun struct {
	step   *step
	index  int
	number int
}

// recordPreviousUsage records the workers on which previous leaders may have tasks of a job running.
func (c *Core) recordPreviousUsage(j *job) {
	for _, o := range j.open {
		for _, id := range o.recordedWorkers {
			if c.previousUsage[id] == nil {
				c.previousUsage[id] = make(map[string]work.Resources)
			}
		}
		for _, s := range o.steps {
			for i := range s.tasks {
				if s.tasks[i].done && !s.doc.Speculative {
					continue
				}
				for id, number := range o.progress.OpenRuns(s.number, i) {
					c.previousUsage[id][j.doc.Team] = c.previousUsage[id][j.doc.Team].Plus(s.doc.Request)
					c.previousRuns[id] = append(c.previousRuns[id], recordedRun{step: s, index: i, number: number})
				}
			}
		}
	}
}

// leaders returns what is known at the start of the term of the earlier leaders.
func (o Options) leaders() horizon.Leaders {
	l := horizon.Leaders{
		AcquiredAt: o.AcquiredAt, EarlierUntil: o.EarlierLeadersUntil, PreviousSeenAt: o.PreviousLeaderSeenAt, UnboundedUntil: o.UnboundedLeadersUntil,
	}
	if o.PreviousLeaderEnded {
		l.PreviousEndedAt = o.AcquiredAt
	}
	return l
}

// previousLeasesExpireAt returns the time at which the leases of all workers that have neither answered nor restarted are certain to
// have expired.
func (c *Core) previousLeasesExpireAt() time.Duration { return c.leaders.LeasesUntil(c.limits, false) }

// previousLeaseExpired reports whether the lease of a worker that has not answered is certain to have expired.
func (c *Core) previousLeaseExpired(id string) bool {
	return c.now > c.previousLeaseEnd(id)
}

// previousLeaseEnd returns the time at which the lease of a worker that has not answered is certain to have expired.
func (c *Core) previousLeaseEnd(id string) time.Duration {
	until := c.previousLeasesExpireAt()
	entry, recorded := c.leaseRecord.Entry(id)
	if ws, ok := c.workers[id]; ok {
		ofLife := !recorded || entry.IsOf(ws.presentIncarnation())
		earlier, known := ws.earlierLeasesEnd()
		switch {
		case !ws.registered() || !ofLife || !known:
			until = max(c.leaders.LeasesUntil(c.limits, true), earlier)
		default:
			until = max(until, earlier)
		}
		// An entry that names no life does not tell of calls to earlier ones.
		recorded = recorded && ofLife && (entry.Incarnation != 0 || ws.registered() && !ws.restarted)
	}
	if recorded {
		until = min(until, entry.End)
	}
	return until
}

// forgetPreviousUsage removes what previous leaders may have running on workers whose leases have expired.
func (c *Core) forgetPreviousUsage() {
	if len(c.previousUsage) == 0 || c.leaseRecord.Len() == 0 && c.now <= c.previousLeasesExpireAt() {
		return
	}
	before := len(c.previousUsage)
	maps.DeleteFunc(c.previousUsage, func(id string, _ map[string]work.Resources) bool { return c.previousLeaseExpired(id) })
	if expired := before - len(c.previousUsage); expired > 0 {
		c.workersGone = true
		c.logger.Info("Leases granted by the previous leader have expired.", "workers", expired, "left", len(c.previousUsage))
	}
}

// PreviousLeaderEnded records that the previous leader has ended and renews no more leases.
func (c *Core) PreviousLeaderEnded() {
	if c.leaders.PreviousEndedAt == 0 {
		c.leaders.PreviousEndedAt = c.now
	}
}

// recordsAll reports whether each start of a task of a step is stored before it is sent, so that the record of a task names the only run
// that may be left of it. The members of a gang start together.
func (s *step) recordsAll() bool { return s.doc.Service && !s.doc.Gang }

// blocked reports whether tasks of a step may be running on a worker that has not answered yet, of which the record does not tell which.
func (c *Core) blocked(s *step) bool {
	if len(c.previousUsage) == 0 || s.recordsAll() {
		return false
	}
	for _, id := range s.occurrence.recordedWorkers {
		if _, ok := c.previousUsage[id]; ok {
			return true
		}
	}
	return false
}

// blockedTask reports whether the recorded run of a task may be running on a worker that has not answered yet.
func (c *Core) blockedTask(s *step, index int) bool {
	if len(c.previousUsage) == 0 || !s.recordsAll() {
		return false
	}
	id, _, ok := s.occurrence.progress.Run(s.number, index)
	if !ok {
		return false
	}
	_, unanswered := c.previousUsage[id]
	return unanswered
}
