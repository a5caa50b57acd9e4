package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/jobs/admission"
)

// reportInterval is the minimum time between two sets of reports for admission.
const reportInterval = 100 * time.Millisecond

// loadReports are the reports of the queues as of a time.
type loadReports struct {
	queues map[string]admission.Report
	at     time.Duration
}

// refusesJobs reports whether jobs may be refused.
func (c *Core) refusesJobs() bool { return c.options.Features.Admission && c.catalog.Weighted() }

// recordLoad records the batch jobs that wait in a pool.
func (c *Core) recordLoad(p *pool, candidates []candidate) {
	if !c.refusesJobs() {
		return
	}
	p.load = admission.NewLoad(c.now)
	for i := range candidates {
		if cand := &candidates[i]; !cand.occurrence.steps[0].doc.BestEffort {
			p.load.Add(cand.Tier(), cand.Beyond(), cand.queue.Priority, cand.Rank())
		}
	}
}

// loadReports returns what admission has to know of each queue, and nothing without weights or a recent list of the instances.
func (c *Core) loadReports() *loadReports {
	reports := &loadReports{queues: make(map[string]admission.Report), at: c.now}
	if !c.refusesJobs() || len(c.fleet.instances) == 0 || c.now-c.fleet.listedAt > maxListAge {
		return reports
	}
	rooms := admission.NewRooms(c.sparePool(), len(c.fleet.malformed) > 0)
	for id, inst := range c.fleet.instances {
		pool, ws := inst.Pool, c.workers[inst.Worker]
		if mv, ok := c.fleet.pendingMoves[id]; ok {
			pool = mv.pool
		}
		capacity := inst.Capacity
		if ws != nil {
			capacity = capacity.Max(ws.report.Capacity)
		}
		rooms.Add(pool, capacity, ws == nil || len(ws.runs) == 0)
	}
	exhausted := c.shares.rates.Exhausted(c.now, c.catalog.Weight)
	for i := range c.catalog.Queues {
		q := &c.catalog.Queues[i]
		p := c.pool(q.Pool)
		reports.queues[q.Name] = p.load.Report(c.now, q.Priority, rooms.Of(q.Pool, p.shares.Services()), exhausted)
	}
	return reports
}

// LoadReport returns the latest report of a queue and the time since it was made. It does not wait for a pass.
func (e *Engine) LoadReport(queue string) (r admission.Report, age time.Duration, ok bool) {
	reports := e.reports.Load()
	if reports == nil {
		return admission.Report{}, 0, false
	}
	r, ok = reports.queues[queue]
	return r, clock.Now() - reports.at, ok
}
