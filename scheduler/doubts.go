package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/store"
)

const (
	// maxRecordBytes limits the record of leases. The rest of its row is for the term and the lengths.
	maxRecordBytes = store.MaxRowBytes - 64
	// maxDoubtAge is the age of the last confirmation of the leadership up to which workers are recorded. A worker that is recorded while
	// the store does not answer could not be taken back.
	maxDoubtAge = time.Second
	// maxPassGap is the time between two passes from which on the silence of workers counts anew. A process that was suspended finds that
	// none has answered.
	maxPassGap = 500 * time.Millisecond
)

// leaseRecordKey is the key of the record of leases.
var leaseRecordKey = rowkeys.Leadership(rowkeys.RowHandover)

// SetLeaseEnds sets the record of leases that earlier leaders have stored.
func (c *Core) SetLeaseEnds(entries leaserecord.Entries) { c.leaseRecord.Adopt(entries) }

// Interrupted records that no calls are sent at present, so that the silence of workers tells nothing.
func (c *Core) Interrupted() { c.servingSince = 0 }

// mayDoubt reports whether workers may be recorded now.
func (c *Core) mayDoubt() bool {
	if c.servingSince == 0 || c.now-c.servedAt > maxPassGap {
		c.servingSince = c.now
	}
	c.servedAt = c.now
	return c.now-c.confirmedAt <= maxDoubtAge && c.storesBatches() && c.refusedRows.Admits(leaseRecordKey)
}

// storesBatches reports whether the store has stored a batch lately, or has not had to.
func (c *Core) storesBatches() bool {
	return c.unstoredSince == 0 || c.now-max(c.lastStored, c.unstoredSince) < outageAfter
}

// doubtSilentWorker records a worker that may be down, and on which recorded runs may be.
func (c *Core) doubtSilentWorker(ws *workerState) {
	if c.now-ws.clockReceived <= maxLeaseExtension {
		// The last reply is not older. Most workers are decided by this field, which each pass reads anyway.
		return
	}
	id, silence := ws.report.ID, c.now-max(ws.lastContact, c.servingSince)
	if silence <= maxLeaseExtension || !c.leaseRecord.Admits(id, silence, c.now) {
		return
	}
	mayRun := len(ws.runs) > 0 || len(ws.expiredRuns) > 0
	if !ws.answered {
		mayRun = c.previousUsage[id] != nil
	}
	if !mayRun {
		return
	}
	if end, known := c.leaseEndOf(ws); known {
		c.leaseRecord.Doubt(id, leaserecord.Entry{Incarnation: ws.presentIncarnation(), End: max(end, c.now)})
	}
}

// leaseEndOf returns the time at which the lease of the present life of a worker has certainly ended if it is not extended any more, and
// false if calls of this leader to another life may still give it one.
func (c *Core) leaseEndOf(ws *workerState) (end time.Duration, known bool) {
	switch {
	case !ws.answered && ws.earlier.fence != 0 && !ws.restarted:
		// The worker was removed and is back in the same life, for which this leader may have requested a lease.
		return 0, false
	case !ws.answered:
		return c.previousLeaseEnd(ws.report.ID), true
	case !ws.registered():
		return 0, false
	case ws.leaseExpired:
		return c.now, true
	}
	return ws.certainExpiry(), true
}

// doubtUnknownWorkers records the workers that only the records of jobs name.
func (c *Core) doubtUnknownWorkers() {
	if c.now-c.servingSince <= maxLeaseExtension {
		return
	}
	for id := range c.previousUsage {
		if _, known := c.workers[id]; known || c.now < c.earlierCalls[id].until || !c.leaseRecord.Admits(id, maxLeaseExtension, c.now) {
			continue
		}
		c.leaseRecord.Doubt(id, leaserecord.Entry{End: max(c.previousLeaseEnd(id), c.now)})
	}
}

// pruneLeaseRecord removes the workers from the record whose leases have ended and that no record of a job names.
func (c *Core) pruneLeaseRecord() {
	if c.leaseRecord.Len() == 0 {
		return
	}
	named := make(map[string]bool)
	for _, p := range c.pools {
		for _, j := range p.jobs {
			for _, o := range j.open {
				for _, ids := range [][]string{o.progress.Workers, o.recordedWorkers} {
					for _, id := range ids {
						named[id] = true
					}
				}
			}
		}
	}
	c.leaseRecord.Prune(c.now, func(id string) bool { return named[id] })
}

// LeaseEnds returns the record of leases of a leader that stops for good: the workers that may be down, with the times at which their leases
// have certainly ended if nothing is sent to them any more, at most maxRecordBytes.
func (c *Core) LeaseEnds() leaserecord.Entries {
	entries, size := c.leaseRecord.Entries(), 0
	for id := range entries {
		size += leaserecord.Size(id)
	}
	add := func(id string, incarnation int64, end time.Duration) {
		if _, recorded := entries[id]; !recorded && size+leaserecord.Size(id) <= maxRecordBytes {
			size += leaserecord.Size(id)
			entries[id] = leaserecord.Entry{Incarnation: incarnation, End: max(end, c.now)}
		}
	}
	// Those that are known to be down go first.
	for _, known := range []bool{true, false} {
		for id, ws := range c.workers {
			if known != ws.leaseExpired {
				continue
			}
			if ws.answered && !ws.leaseExpired && ws.doubtedAt == 0 && c.now-ws.lastContact <= doubtedAfter {
				continue
			}
			if end, ok := c.leaseEndOf(ws); ok {
				add(id, ws.presentIncarnation(), end)
			}
		}
	}
	// The records may still name workers that are gone.
	for _, p := range c.pools {
		for _, j := range p.jobs {
			for _, o := range j.open {
				for _, id := range o.progress.Workers {
					if _, known := c.workers[id]; known || c.now < c.earlierCalls[id].until {
						continue
					}
					end := c.now
					if _, unanswered := c.previousUsage[id]; unanswered {
						end = c.previousLeaseEnd(id)
					}
					add(id, 0, end)
				}
			}
		}
	}
	return entries
}
