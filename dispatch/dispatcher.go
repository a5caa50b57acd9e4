// Package dispatch sends requests to the endpoints of their pools. For each pool, one goroutine (a pool loop) owns
// the request queue, the choice of endpoints and the idle connections. Goroutines that want a request sent submit it
// to the pool loop by a message, wait for a grant, and make the HTTP exchange themselves.
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

// Observer is notified of attempts at endpoints. Its methods are called concurrently.
type Observer interface {
	// EndpointFault is called for each attempt that received no complete response.
	EndpointFault(pool, endpoint string, kind connection.FaultKind)
	// EndpointNotRun is called for each attempt that the endpoint refused as not run.
	EndpointNotRun(pool, endpoint string)
	// Retry is called for each attempt after the first.
	Retry(pool, class string)
	// Hedge is called for each hedged request.
	Hedge(pool, class string)
}

// DefaultMaxOverrun is the default of Options.MaxOverrun: the longest latency target that a class can have.
const DefaultMaxOverrun = class.MaxTarget

// DefaultDialTimeout is how long an endpoint has to accept a connection.
const DefaultDialTimeout = time.Second

// Options of a dispatcher.
type Options struct {
	Queue    queue.Options
	Endpoint endpoint.Options
	Retry    retry.Options
	// NewScheduler and NewEndpoints replace the scheduler and the endpoint set of a pool. They may be nil.
	NewScheduler func(pool string) Scheduler
	NewEndpoints func(pool string) Endpoints
	// Permits may be nil, in which case teams have no upper limits.
	Permits Permits
	Limits  connection.Limits
	// MaxOverrun is the longest time that an endpoint is expected to go on with a request after its deadline.
	// The request counts against the upper limit of its team until the endpoint has finished it, at most for MaxOverrun.
	MaxOverrun  time.Duration
	DialTimeout time.Duration
	// DisableHedging turns hedged requests off.
	DisableHedging bool
	// Observer may be nil.
	Observer Observer
	Logger   hclog.Logger
}

// Dispatcher runs one pool loop per pool.
type Dispatcher struct {
	options *Options

	mu      sync.Mutex
	stopped bool
	loops   atomic.Pointer[map[string]*poolLoop]
	// running counts the loops that have not returned.
	running sync.WaitGroup
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
	d := &Dispatcher{options: &o}
	d.loops.Store(&map[string]*poolLoop{})
	return d
}

// Start does nothing: Configure starts the loop of each pool.
func (d *Dispatcher) Start(context.Context) error { return nil }

// Stop rejects waiting requests. It returns when the requests in flight are finished, or with the error of the
// context if that ends first.
func (d *Dispatcher) Stop(ctx context.Context) error {
	d.mu.Lock()
	d.stopped = true
	loops := *d.loops.Load()
	d.mu.Unlock()
	for _, l := range loops {
		l.send(stop{})
	}
	ended := make(chan struct{})
	go func() {
		d.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Configure sets the pools, classes and teams. The loop of a removed pool rejects waiting requests and
// ends after the last one in flight.
func (d *Dispatcher) Configure(pools []pool.Pool, classes []class.Class, teams []team.Team) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	old := *d.loops.Load()
	next := make(map[string]*poolLoop, len(pools))
	for _, p := range pools {
		l, ok := old[p.Name()]
		if !ok {
			l = newPoolLoop(p.Name(), d.options)
			d.running.Go(l.run)
		}
		next[p.Name()] = l
		l.send(configure{classes: classesOfPool(p.Name(), classes), teams: teams})
	}
	d.loops.Store(&next)
	for name, l := range maps.All(old) {
		if next[name] == nil {
			l.send(stop{})
		}
	}
}

func classesOfPool(pool string, classes []class.Class) []class.Class {
	var matching []class.Class
	for _, c := range classes {
		if c.Pool() == pool {
			matching = append(matching, c)
		}
	}
	return matching
}

// SetEndpoints replaces the endpoints of a pool. It does nothing if there is no such pool.
func (d *Dispatcher) SetEndpoints(pool string, endpoints []endpoint.Endpoint) {
	if l := d.loop(pool); l != nil {
		l.send(setEndpoints{endpoints: endpoints})
	}
}

// Loads returns the load of each pool.
func (d *Dispatcher) Loads() []Load {
	loops := *d.loops.Load()
	loads := make([]Load, 0, len(loops))
	for _, l := range loops {
		reply := make(chan Load, 1)
		l.send(loadQuery{reply: reply})
		select {
		case l := <-reply:
			loads = append(loads, l)
		case <-l.done:
		}
	}
	return loads
}

// Usage returns, by pool, the slot time that teams have used at this entry instance. Pools with an empty queue are
// left out, because shares have no effect there.
func (d *Dispatcher) Usage() map[string][]queue.Usage {
	all := make(map[string][]queue.Usage)
	for name, l := range *d.loops.Load() {
		reply := make(chan []queue.Usage, 1)
		l.send(usageQuery{reply: reply})
		select {
		case list := <-reply:
			if len(list) > 0 {
				all[name] = list
			}
		case <-l.done:
		}
	}
	return all
}

// ObservePeerUsage records the usage at another entry instance, so that shares hold across all of them.
func (d *Dispatcher) ObservePeerUsage(peer string, all map[string][]queue.Usage) {
	for name, list := range all {
		if l := d.loop(name); l != nil {
			l.send(peerUsage{peer: peer, list: list})
		}
	}
}

// RemovePeer removes the recorded usage of an entry instance that has gone.
func (d *Dispatcher) RemovePeer(peer string) {
	for _, l := range *d.loops.Load() {
		l.send(removePeer{peer: peer})
	}
}

func (d *Dispatcher) loop(pool string) *poolLoop { return (*d.loops.Load())[pool] }

// Do sends the request to an endpoint of the pool and returns its complete response.
// Any error is a *problem.Problem that says whether the request may have run.
// When the context ends, a waiting request is withdrawn and the attempt of an idempotent request is cancelled.
// The attempt of any other request goes on.
func (d *Dispatcher) Do(ctx context.Context, pool string, r *Request) (*Response, error) {
	l := d.loop(pool)
	if l == nil {
		return nil, problem.NotRun(problem.NoEndpoint, "pool does not exist").RetryAfter(time.Second)
	}
	e := execution{loop: l, tracked: trackedRequest{request: r, reply: make(chan grant, 1)}}
	response, err := e.run(ctx)
	if err != nil {
		return nil, err
	}
	return response, nil
}
