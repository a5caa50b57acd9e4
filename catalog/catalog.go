// Package catalog holds the configuration that the operator writes: queues, pools of workers, teams and their keys.
//
// # Usage
//
//	queue, ok := c.Match(host, path)
//	team, ok := c.TeamOf(key)
package catalog

import (
	"math"
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

// Queue accepts the jobs that are submitted under a host and a path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Pool names the workers that run the jobs.
	Pool string
	// Priority orders the queues. 0 is the highest priority.
	Priority int
	// Attempts is the number of failed runs of a task after which the job fails.
	Attempts int
	// Stretch and BaseTarget give the latency target of a job: Stretch times its critical path, plus BaseTarget.
	Stretch    float64
	BaseTarget time.Duration
	// Public means that clients need no key.
	Public bool
	// Policy is set if the policy service decides which workers may run a step.
	Policy *Policy
}

// Policy holds the configured times of the policy service. Valid is how long its tickets are valid.
type Policy struct {
	Decide time.Duration
	Each   time.Duration
	Valid  time.Duration
}

// Pool is a pool of workers.
type Pool struct {
	Name string
	// EnforcesCapacity means that the workers reject tasks that exceed their free resources.
	EnforcesCapacity bool
	// Spare means that the instances of the pool are switched off.
	Spare bool
}

// Team is a team of submitters.
type Team struct {
	Name string
	Keys []string
	// Weight is the relative share of the team when all workers are full, and the number of jobs a second that it is owed. 0 means that
	// none is set.
	Weight float64
	// Limit is the upper limit for the resources of the running tasks of the team on all workers. 0 means no limit.
	Limit work.Resources
}

// Limits are what a client may use in full, beside the size of a body. 0 means that the configuration sets no limit.
type Limits struct {
	// MaxHeader is the size of a head in bytes.
	MaxHeader int64
	// HeaderTimeout is the time in which a head arrives, and IdleTimeout the time between two requests of a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version uint64
	MaxBody int64
	Limits  Limits
	Queues  []Queue
	Pools   map[string]Pool
	Teams   map[string]Team
	queues  map[string]*Queue
	byHost  map[string][]*Queue
	teamOf  map[string]string
	// weighted means that a team has a weight.
	weighted bool
}

// New returns a catalogue and builds its indexes.
func New(version uint64, maxBody int64, queues []Queue, pools []Pool, teams []Team) *Catalog {
	c := &Catalog{
		Version: version, MaxBody: maxBody, Queues: queues, Pools: make(map[string]Pool), Teams: make(map[string]Team),
		queues: make(map[string]*Queue), byHost: make(map[string][]*Queue), teamOf: make(map[string]string),
	}
	for i := range queues {
		q := &queues[i]
		c.queues[q.Name] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for _, p := range pools {
		c.Pools[p.Name] = p
	}
	for _, t := range teams {
		c.Teams[t.Name] = t
		c.weighted = c.weighted || t.Weight > 0
		for _, k := range t.Keys {
			c.teamOf[k] = t.Name
		}
	}
	return c
}

// Match returns the queue of the host with the longest prefix of the path. It ignores the port of the host.
func (c *Catalog) Match(host, path string) (*Queue, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best *Queue
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best, best != nil
}

// Queue returns a queue by its name.
func (c *Catalog) Queue(name string) (*Queue, bool) {
	q, ok := c.queues[name]
	return q, ok
}

// Weighted reports whether a team has a weight.
func (c *Catalog) Weighted() bool { return c.weighted }

// Weight returns the weight of a team. Teams without one, and jobs without a team, have the weight 1.
func (c *Catalog) Weight(team string) float64 {
	if w := c.Teams[team].Weight; w > 0 && !math.IsInf(w, 1) {
		return w
	}
	return 1
}

// TeamOf returns the team that owns a key.
func (c *Catalog) TeamOf(key string) (string, bool) {
	name, ok := c.teamOf[key]
	return name, ok
}
