package scheduler

import (
	"math"
	"time"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/instance"
)

// demand is what a pool needs and has.
type demand struct {
	pool string
	// need and have are in instances.
	need int
	have int
}

// cores returns the processors that a pool needs: those of its services, and for its jobs as many as finish their work by
// their objectives, or as many as keep up with what comes in.
func (c *Core) neededCores(p *pool) float64 {
	var total, jobs float64
	for _, j := range p.jobs {
		q, ok := c.catalog.Queue(j.doc.Queue)
		if !ok {
			continue
		}
		for _, o := range j.open {
			if j.service {
				for _, s := range o.steps {
					if s.doc.Service && !s.doc.Filler {
						total += float64(s.tasksLeft) * float64(s.doc.Request.CPU) / 1000
					}
				}
				continue
			}
			chain, left := o.remainingWork(c.durations.estimate)
			jobs += left / max(c.timeLeft(o, j, q, chain), minTimeLeft).Seconds()
		}
	}
	return total + max(jobs, p.expectedRate(c.now))
}

// timeLeft returns in which time the work of an occurrence is asked for: until its objective, or if that is missed until it no
// longer earns anything. What is later than that is done with what is left over.
func (c *Core) timeLeft(o *occurrence, j *job, q *catalog.Queue, chain time.Duration) time.Duration {
	objective := o.objectiveAt(q, j)
	if objective-c.now >= chain/2 {
		return objective - c.now
	}
	if end := o.objectiveStart(j) + lateFactor*(objective-o.objectiveStart(j)); end-c.now >= chain {
		return end - c.now
	}
	return expiredJobTime
}

// width returns how many workers the widest service of the pool needs. One more lets its tasks be moved one by one.
func (p *pool) minWidth() int {
	widest := 0
	for _, j := range p.jobs {
		for i := range j.doc.Steps {
			if s := &j.doc.Steps[i]; s.Service && s.MaxPerWorker > 0 {
				widest = max(widest, (s.Count+s.MaxPerWorker-1)/s.MaxPerWorker)
			}
		}
	}
	return widest
}

// demands returns the demand of each pool that a queue uses, and the mean number of cores of an instance.
func (c *Core) demands(spare string) ([]demand, float64) {
	used := make(map[string]bool)
	for i := range c.catalog.Queues {
		used[c.catalog.Queues[i].Pool] = true
	}
	have := make(map[string]int)
	var cores float64
	for id, m := range c.fleet.instances {
		cores += float64(m.Capacity.CPU) / 1000
		pool := m.Pool
		if mv, ok := c.fleet.pendingMoves[id]; ok {
			pool = mv.pool
		}
		// An instance in maintenance or out of reach is replaced meanwhile.
		if c.serves(m) {
			have[pool]++
		}
	}
	if len(c.fleet.instances) == 0 {
		return nil, 0
	}
	perInstance := cores / float64(len(c.fleet.instances))
	var demands []demand
	for name := range c.catalog.Pools {
		if name == spare || !used[name] {
			continue
		}
		p := c.pool(name)
		need := max(minInstances, p.minWidth()+1, int(math.Ceil(c.neededCores(p)*headroom/perInstance)))
		demands = append(demands, demand{pool: name, need: need, have: have[name]})
	}
	return demands, perInstance
}

// arrival is a job that came, with its work in core-seconds.
type arrival struct {
	at          time.Duration
	coreSeconds float64
}

const (
	// rateWindow is over how much time the rate of arrivals is taken, and compared with the time before it. Demand rises
	// fivefold over some seconds, and a move takes 1.5 s.
	rateWindow = 600 * time.Millisecond
	// riseSignificance is by how many standard deviations arrivals have to grow from one window to the next to count as a rise
	// that goes on, if they are random.
	riseSignificance = 1.5
	// riseLead is how far ahead a rise is followed: a move, and the time until its worker has answered.
	riseLead = 2 * time.Second
	// maxRise bounds by how much a rise is followed, as a part of the rate.
	maxRise = 1.0
)

// arrive notes a job that has come.
func (p *pool) recordArrival(now time.Duration, work float64) {
	p.arrivals = append(p.arrivals, arrival{at: now, coreSeconds: work})
}

// rises reports whether more jobs have come lately than before, by more than the standard deviation of random arrivals, as at
// the onset of a surge. One or two jobs say nothing.
func (p *pool) isRising(now time.Duration) bool {
	var earlier, latest float64
	for _, a := range p.arrivals {
		if a.at < now-2*rateWindow {
			earlier++
		} else {
			latest++
		}
	}
	return latest > 2 && latest-earlier > math.Sqrt(latest+earlier)
}

// rate returns the work that is expected to come in when an instance that is ordered now has arrived, in core-seconds a second.
// Few jobs say little about a rate: it is lowered by the standard deviation of their number.
func (p *pool) expectedRate(now time.Duration) float64 {
	first := 0
	for first < len(p.arrivals) && p.arrivals[first].at < now-4*rateWindow {
		first++
	}
	p.arrivals = p.arrivals[first:]
	var earlier, latest, work float64
	for _, a := range p.arrivals {
		switch {
		case a.at < now-2*rateWindow:
		case a.at < now-rateWindow:
			earlier++
		default:
			latest++
			work += a.coreSeconds
		}
	}
	if latest == 0 {
		return 0
	}
	rate := (latest - math.Sqrt(latest)) / latest * work / rateWindow.Seconds()
	if rise := latest - earlier; rise > riseSignificance*math.Sqrt(latest+earlier) {
		rate *= 1 + min(rise/latest*riseLead.Seconds()/rateWindow.Seconds(), maxRise)
	}
	return rate
}

// listedWorker is the worker of an instance, and when a list showed it first.
type listedWorker struct {
	worker, pool string
	at           time.Duration
}

// arrivalGrace is how long a new worker may take to register and to answer before its pool counts as one smaller. Workers
// on the bench answer within 0.4 s of the first list that names them.
const registrationGrace = time.Second

// serves reports whether an instance adds to the capacity of its pool, or will soon.
func (c *Core) serves(m instance.Instance) bool {
	switch {
	case m.State == instance.Moving:
		return true
	case m.State != instance.Up || c.fleet.draining(m.ID):
		return false
	}
	return c.reachable(m) || c.now-c.fleet.firstListed[m.ID].at < registrationGrace
}

// inReach reports whether the worker on an instance has answered lately.
func (c *Core) reachable(m instance.Instance) bool {
	ws, ok := c.workers[m.Worker]
	return ok && ws.answered && !ws.leaseExpired && c.now-ws.lastContact <= contactTimeout
}

// darkDataCentres returns the data centres in which workers run and none of them is in reach. An instance that moves there
// would be of no use.
func (c *Core) unreachableDataCentres() map[string]bool {
	dark := make(map[string]bool)
	for _, m := range c.fleet.instances {
		if m.State != instance.Up || m.Worker == "" {
			continue
		}
		if c.serves(m) || c.fleet.draining(m.ID) {
			dark[m.DataCentre] = false
		} else if _, known := dark[m.DataCentre]; !known {
			dark[m.DataCentre] = true
		}
	}
	return dark
}
