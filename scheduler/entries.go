package scheduler

import (
	"maps"

	"github.com/chivetiller/chivetiller/worker"
)

// dropMisdirected removes a worker at whose address another instance answers.
func (c *Core) dropMisdirected(ws *workerState) {
	c.misdirected.Add(ws.report, c.now)
	c.dropCrashedWorker(ws, "another instance answers at the address")
}

// usable reports whether a worker that is not known may be added by its entry.
func (c *Core) usable(r worker.Report) bool {
	if c.misdirected.Leads(r, c.now) {
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
	c.misdirected.Forget(listed)
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
