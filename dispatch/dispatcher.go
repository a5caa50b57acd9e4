// Package dispatch sends requests to the endpoints of their pools. One task per pool owns the queue,
// the choice of endpoint and the idle connections. Requesters talk to it by messages,
// and make the attempts that it grants on their own goroutines.
//
// # Usage
//
//	d := dispatch.New(dispatch.Options{Logger: logger, Permits: permits})
//	if err := d.Start(ctx); err != nil { ... }
//	defer d.Stop(ctx)
//	d.Configure(pools, classes, teams)
//	d.SetEndpoints("shiftDesk", endpoints)
//	response, err := d.Do(ctx, "shiftDesk", request) // err is a *problem.Problem
package dispatch

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/dispatch/connection"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/queue"
	"github.com/chivetiller/chivetiller/retry"
	"github.com/chivetiller/chivetiller/team"
)

// Observer is told about attempts at endpoints. Its methods are called by many goroutines.
type Observer interface {
	// EndpointFault is called for each attempt that brought no complete response.
	EndpointFault(pool, endpoint string, kind connection.FaultKind)
	// EndpointNotRun is called for each attempt that the endpoint refused as not run.
	EndpointNotRun(pool, endpoint string)
	// Retry is called for each attempt after the first.
	Retry(pool, class string)
	// Hedge is called for each hedged request.
	Hedge(pool, class string)
}

// DefaultMaxOverrun is the longest target of a class.
const DefaultMaxOverrun = class.MaxTarget

// DefaultDialTimeout is how long an endpoint has to accept a connection.
const DefaultDialTimeout = time.Second

// Options of a dispatcher.
type Options struct {
	Queue    queue.Options
	Endpoint endpoint.Options
	Retry    retry.Options
	// NewScheduler and NewEndpoints replace the parts of a task. They may be nil.
	NewScheduler func(pool string) Scheduler
	NewEndpoints func(pool string) Endpoints
	// Permits may be nil, in which case teams have no upper limits.
	Permits Permits
	Limits  connection.Limits
	// MaxOverrun is how long an endpoint is expected to go on with a request whose deadline has passed.
	// Until it has ended, or for MaxOverrun, the request counts against the upper limit of its team.
	MaxOverrun  time.Duration
	DialTimeout time.Duration
	// DisableHedging switches hedged requests off.
	DisableHedging bool
	// Observer may be nil.
	Observer Observer
	Logger   hclog.Logger
}

// Dispatcher has one task per pool.
type Dispatcher struct {
	o *Options

	mu      sync.Mutex
	stopped bool
	tasks   atomic.Pointer[map[string]*task]
	// ended has every task that was started.
	ended sync.WaitGroup
}

// New returns a dispatcher without pools.
func New(o Options) *Dispatcher {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("dispatch")
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.MaxOverrun == 0 {
		o.MaxOverrun = DefaultMaxOverrun
	}
	if o.NewScheduler == nil {
		o.NewScheduler = func(string) Scheduler { return queue.NewScheduler(o.Queue) }
	}
	if o.NewEndpoints == nil {
		o.NewEndpoints = func(string) Endpoints { return endpoint.NewSet(o.Endpoint) }
	}
	d := &Dispatcher{o: &o}
	d.tasks.Store(&map[string]*task{})
	return d
}

// Start does nothing: tasks start with their pools.
func (d *Dispatcher) Start(context.Context) error { return nil }

// Stop rejects waiting requests, and returns when those in flight are finished or the context ends.
func (d *Dispatcher) Stop(ctx context.Context) error {
	d.mu.Lock()
	d.stopped = true
	tasks := *d.tasks.Load()
	d.mu.Unlock()
	for _, t := range tasks {
		t.send(stop{})
	}
	ended := make(chan struct{})
	go func() {
		d.ended.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Configure sets the pools, classes and teams. The task of a removed pool ends after its last request.
func (d *Dispatcher) Configure(pools []pool.Pool, classes []class.Class, teams []team.Team) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	old := *d.tasks.Load()
	next := make(map[string]*task, len(pools))
	for _, p := range pools {
		t, ok := old[p.Name()]
		if !ok {
			t = newTask(p.Name(), d.o)
			d.ended.Go(t.run)
		}
		next[p.Name()] = t
		t.send(configure{classes: classesOf(p.Name(), classes), teams: teams})
	}
	d.tasks.Store(&next)
	for name, t := range maps.All(old) {
		if next[name] == nil {
			t.send(stop{})
		}
	}
}

func classesOf(pool string, classes []class.Class) []class.Class {
	var own []class.Class
	for _, c := range classes {
		if c.Pool() == pool {
			own = append(own, c)
		}
	}
	return own
}

// SetEndpoints replaces the endpoints of a pool. It does nothing if there is no such pool.
func (d *Dispatcher) SetEndpoints(pool string, endpoints []endpoint.Endpoint) {
	if t := d.task(pool); t != nil {
		t.send(setEndpoints{endpoints: endpoints})
	}
}

// Loads returns the load of each pool.
func (d *Dispatcher) Loads() []Load {
	tasks := *d.tasks.Load()
	loads := make([]Load, 0, len(tasks))
	for _, t := range tasks {
		reply := make(chan Load, 1)
		t.send(load{reply: reply})
		select {
		case l := <-reply:
			loads = append(loads, l)
		case <-t.done:
		}
	}
	return loads
}

// Usage returns the slot time that teams have used at this entry instance in the pools where work waits.
// Elsewhere shares have no effect.
func (d *Dispatcher) Usage() map[string][]queue.Usage {
	all := make(map[string][]queue.Usage)
	for name, t := range *d.tasks.Load() {
		reply := make(chan []queue.Usage, 1)
		t.send(usage{reply: reply})
		select {
		case list := <-reply:
			if len(list) > 0 {
				all[name] = list
			}
		case <-t.done:
		}
	}
	return all
}

// ObservePeerUsage takes the usage of a peer, so that shares hold over all entry instances.
func (d *Dispatcher) ObservePeerUsage(peer string, all map[string][]queue.Usage) {
	for name, list := range all {
		if t := d.task(name); t != nil {
			t.send(peerUsage{peer: peer, list: list})
		}
	}
}

// RemovePeer removes what was observed of a peer that has gone.
func (d *Dispatcher) RemovePeer(peer string) {
	for _, t := range *d.tasks.Load() {
		t.send(forgetPeer{peer: peer})
	}
}

func (d *Dispatcher) task(pool string) *task { return (*d.tasks.Load())[pool] }

// Do sends the request to an endpoint of the pool and returns its complete response.
// Any error is a *problem.Problem that says whether the request ran.
// The end of the context takes back a request that waits, and ends the attempt of an idempotent one.
func (d *Dispatcher) Do(ctx context.Context, pool string, r *Request) (*Response, error) {
	t := d.task(pool)
	if t == nil {
		return nil, problem.NotRun(problem.NoEndpoint, "pool does not exist").RetryAfter(time.Second)
	}
	e := execution{task: t, ticket: ticket{request: r, reply: make(chan grant, 1)}}
	response, err := e.run(ctx)
	if err != nil {
		return nil, err
	}
	return response, nil
}
