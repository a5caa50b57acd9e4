package scheduler

import (
	"maps"
	"time"

	"github.com/chivetiller/chivetiller/common/backoff"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// misdirectedPause is the time after which a worker is used again at whose address another instance has answered, if its entry in
	// the registry has not changed. It doubles with each further time up to maxMisdirectedPause.
	misdirectedPause    = 400 * time.Millisecond
	maxMisdirectedPause = 30 * time.Second
)

// misdirection is an entry of the registry whose address leads to another instance.
type misdirection struct {
	address     string
	incarnation int64
	count       int
	until       time.Duration
}

// dropMisdirected removes a worker at whose address another instance answers.
func (c *Core) dropMisdirected(ws *workerState) {
	m := c.misdirected[ws.report.ID]
	if m == nil || m.address != ws.report.Address || m.incarnation != ws.report.Incarnation {
		m = &misdirection{address: ws.report.Address, incarnation: ws.report.Incarnation}
		c.misdirected[ws.report.ID] = m
	}
	m.count++
	m.until = c.now + backoff.Doubled(m.count, misdirectedPause, maxMisdirectedPause)
	c.dropCrashedWorker(ws, "another instance answers at the address")
}

// misdirects reports whether the entry of a worker still leads to another instance.
func (c *Core) misdirects(r worker.Report) bool {
	m := c.misdirected[r.ID]
	return m != nil && c.now < m.until && m.address == r.Address && m.incarnation == r.Incarnation
}

// usable reports whether a worker that is not known may be added by its entry.
func (c *Core) usable(r worker.Report) bool {
	if c.misdirects(r) {
		return false
	}
	// Without a configuration, no pool is known.
	if _, known := c.catalog.Pools[r.Pool]; known || len(c.catalog.Pools) == 0 {
		return true
	}
	if c.unknownPools[r.ID] != r.Pool {
		c.unknownPools[r.ID] = r.Pool
		c.logger.Warn("Registry entry of a worker has an unknown pool.", "worker", r.ID, "pool", r.Pool, "config", c.catalog.Version)
	}
	return false
}

// forgetEntries forgets what is known of the entries that the registry does not list any more.
func (c *Core) forgetEntries(listed map[string]bool) {
	maps.DeleteFunc(c.misdirected, func(id string, _ *misdirection) bool { return !listed[id] })
	maps.DeleteFunc(c.unknownPools, func(id, _ string) bool { return !listed[id] })
}

// contradicts reports whether an entry gives an incarnation of a worker an address or a pool that it does not have. A worker keeps both,
// so that the entry is of another writer. The worker is not taken for another one before no run can be left on it.
func (c *Core) contradicts(r worker.Report, ws *workerState) bool {
	if !changesPlace(r, ws) || r.Incarnation == 0 || r.Incarnation != ws.identity.Incarnation {
		return false
	}
	if ws.answered {
		return !ws.leaseExpired
	}
	_, used := c.previousUsage[r.ID]
	return used
}

// changesPlace reports whether an entry names another address or pool than that of the worker that is known.
func changesPlace(r worker.Report, ws *workerState) bool {
	return r.Address != ws.report.Address || r.Pool != ws.report.Pool
}
