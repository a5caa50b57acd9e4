// Package catalog holds the configuration that the operator gives: queues, pools of workers, teams and their keys.
//
// # Usage
//
//	queue, ok := c.Match(host, path)
//	team, ok := c.TeamOf(key)
package catalog

import (
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

// Queue takes the jobs under a host and a path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Pool names the workers that run the jobs.
	Pool string
	// Priority orders the queues. 0 comes first.
	Priority int
	// Attempts is how often a task may fail.
	Attempts int
	// Stretch and Goal give the latency objective: Stretch times the longest chain of work, and Goal more.
	Stretch    float64
	BaseTarget time.Duration
	// Public means that no key is asked for.
	Public bool
	// Policy is set if only some workers may run a step.
	Policy *Policy
}

// Policy gives the times of the service that knows which workers may run a step.
type Policy struct {
	Decide time.Duration
	Each   time.Duration
	Valid  time.Duration
}

// Pool is a pool of workers.
type Pool struct {
	Name string
	// EnforcesCapacity means that the workers refuse what does not fit.
	EnforcesCapacity bool
	// Spare means that the instances of the pool are switched off.
	Spare bool
}

// Team is a team of submitters.
type Team struct {
	Name string
	Keys []string
	// Weight is the share of the team when all is full.
	Weight float64
	// Limit is what the team may have running over all workers. 0 means no limit.
	Limit work.Resources
}

// Catalog is one version of the configuration. It does not change.
type Catalog struct {
	Version uint64
	MaxBody int64
	Queues  []Queue
	Pools   map[string]Pool
	Teams   map[string]Team
	queues  map[string]*Queue
	byHost  map[string][]*Queue
	teamOf  map[string]string
}

// New returns a catalogue with its indexes.
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
		for _, k := range t.Keys {
			c.teamOf[k] = t.Name
		}
	}
	return c
}

// Match returns the queue with the longest prefix of the path.
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

// TeamOf returns the team that owns a key.
func (c *Catalog) TeamOf(key string) (string, bool) {
	name, ok := c.teamOf[key]
	return name, ok
}
