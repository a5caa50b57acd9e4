package scheduler

import (
	"context"
	"time"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/store"
)

const (
	// rowHandover is the row in which a leader that stops leaves what the next one would have to find out again.
	rowHandover = "handover"
	// maxHandedOver is the number of workers in the row. Each takes up to 60 bytes.
	maxHandedOver = store.MaxRowBytes / 64
	// doubtedAfter is the time without an answer after which a worker may be down. Renewals are answered more often.
	doubtedAfter = time.Second
	// storeClockError is how much the estimate of the store's clock may be behind it: the timeout of a call, since a reply may have
	// travelled that long.
	storeClockError = time.Second
)

// handoverRow holds the workers that may be down when a leader stops. Only the leader of the next term may use it.
type handoverRow struct {
	Term int `cbor:"1,keyasint"`
	// LeasesUntil holds the time on the store's clock at which the leases of a worker have certainly expired, by worker ID. This leader
	// extends none of them any more.
	LeasesUntil map[string]time.Duration `cbor:"2,keyasint,omitempty"`
}

// HandOver stores what the next leader would have to find out again. It is called once the engine has stopped for good.
func (e *Engine) HandOver(ctx context.Context) {
	defer func() {
		if p := recover(); p != nil {
			e.handlePanic(p)
		}
	}()
	if !e.options.Leadership.IsLeader(e.Fence()) {
		// What a scheduler believes that has panicked is not handed over.
		return
	}
	now := clock.Now()
	e.core.SetTime(now)
	ends := e.core.LeaseEnds()
	if _, known := e.options.Clock.At(now); !known || len(ends) == 0 {
		return
	}
	row := handoverRow{Term: e.Term(), LeasesUntil: make(map[string]time.Duration, len(ends))}
	for id, end := range ends {
		at, _ := e.options.Clock.At(end)
		row.LeasesUntil[id] = at + storeClockError
	}
	value, err := e.encode(row)
	if err != nil {
		e.logger.Error("What is handed over cannot be encoded.", "fence", e.Fence(), "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err = e.options.Store.Commit(ctx, store.Tx{
		Expected: []store.Expect{{Key: leadershipKey("holder"), Version: e.Fence()}},
		Puts:     []store.Put{{Key: leadershipKey(rowHandover), Value: value}},
	})
	if err != nil {
		e.logger.Warn("The next leader is not told which workers may be down.", "fence", e.Fence(), "workers", len(ends), "error", err)
		return
	}
	e.logger.Info("The next leader is told which workers may be down.", "fence", e.Fence(), "workers", len(ends))
}

// takeHandover gives the core what the previous leader has handed over.
func (e *Engine) takeHandover(row handoverRow, now time.Duration) {
	storeNow, known := e.options.Clock.At(now)
	if row.Term == 0 || row.Term != e.Term()-1 || !known {
		return
	}
	ends := make(map[string]time.Duration, len(row.LeasesUntil))
	for id, end := range row.LeasesUntil {
		ends[id] = now + end - storeNow
	}
	e.core.SetLeaseEnds(ends)
	e.logger.Info("The previous leader has told which workers may be down.", "workers", len(ends))
}

// SetLeaseEnds sets the times at which the leases of workers have certainly expired, as the previous leader knew when it stopped.
func (c *Core) SetLeaseEnds(ends map[string]time.Duration) { c.leaseEnds = ends }

// LeaseEnds returns the times at which the leases of workers that may be down have certainly expired if nothing is sent to them any more, at
// most maxHandedOver.
func (c *Core) LeaseEnds() map[string]time.Duration {
	ends := make(map[string]time.Duration)
	add := func(id string, end time.Duration) {
		if len(ends) < maxHandedOver {
			ends[id] = max(end, c.now)
		}
	}
	// Those that are known to be down go first.
	for _, known := range []bool{true, false} {
		for id, ws := range c.workers {
			_, handedOver := c.leaseEnds[id]
			switch {
			case known != (handedOver || ws.leaseExpired):
			case ws.earlier.fence != 0 || !ws.registered():
				// Calls to another life of the worker may still give it a lease.
			case !ws.answered:
				add(id, c.previousLeaseEnd(id))
			case ws.leaseExpired:
				add(id, c.now)
			case ws.doubtedAt > 0 || c.now-ws.lastContact > doubtedAfter:
				add(id, ws.certainExpiry())
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
					add(id, end)
				}
			}
		}
	}
	return ends
}
