package delegate

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// minWorkers is the number of workers from which on delegates are used. With fewer, their calls are a small part of the
	// processor time of the leader, and each node more on the way can fail.
	minWorkers = 100
	// minShare is the processor share that a delegate needs, as a part of that of the leader.
	minShare = 0.5
	// nodesInterval is the time between two reads of the live nodes.
	nodesInterval = 200 * time.Millisecond
	// directAfterFailure is how long the leader calls a worker itself after its delegate got no answer. The delegate may be unable
	// to reach the worker.
	directAfterFailure = 5 * time.Second
	// forgetWorker is the time without a command after which a worker is forgotten.
	forgetWorker = 10 * time.Second
)

// Node is a node that can carry commands.
type Node struct {
	Name string
	// Address is where the node accepts commands.
	Address    string
	DataCentre string
	Cores      float64
}

// SenderOptions are the options of a sender.
type SenderOptions struct {
	// Direct calls the workers from this node.
	Direct worker.Commander
	// Nodes returns the other live nodes that accept commands.
	Nodes func() []Node
	// Cores is the processor share of this node.
	Cores  float64
	Clock  *store.Clock
	Logger hclog.Logger
}

// Sender sends commands through delegates, or from this node if there are few workers or no delegate can be used. All commands for a
// worker take the same way as long as its delegate is live. It is safe for concurrent use.
type Sender struct {
	options SenderOptions
	logger  hclog.Logger

	mu sync.Mutex
	// workers holds the workers that were sent a command recently.
	workers map[string]*path
	links   map[string]*link
	// delegates holds the links that may be used, by data centre. They were last listed at listedAt.
	delegates map[string][]*link
	listedAt  time.Duration
	prunedAt  time.Duration
}

// path is how commands reach a worker.
type path struct {
	lastUsed time.Duration
	// directUntil is the time until which this node calls the worker itself.
	directUntil time.Duration
}

var _ worker.Commander = (*Sender)(nil)

// NewSender returns a sender without connections. It connects to delegates when it is used.
func NewSender(o SenderOptions) *Sender {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return &Sender{options: o, logger: o.Logger.Named("delegate"), workers: make(map[string]*path), links: make(map[string]*link)}
}

// Close ends all connections.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.close()
	}
}

// Start implements [worker.Commander].
func (s *Sender) Start(ctx context.Context, to worker.Target, command worker.StartCommand) (worker.Reply, error) {
	status, err := s.send(ctx, request{Kind: kindStart, Target: to, Start: &command}, func() (worker.Status, error) {
		reply, err := s.options.Direct.Start(ctx, to, command)
		return worker.Status{Reply: reply}, err
	})
	return status.Reply, err
}

// Stop implements [worker.Commander].
func (s *Sender) Stop(ctx context.Context, to worker.Target, command worker.RunCommand) (worker.Reply, error) {
	status, err := s.send(ctx, request{Kind: kindStop, Target: to, Run: &command}, func() (worker.Status, error) {
		reply, err := s.options.Direct.Stop(ctx, to, command)
		return worker.Status{Reply: reply}, err
	})
	return status.Reply, err
}

// Throttle implements [worker.Commander].
func (s *Sender) Throttle(ctx context.Context, to worker.Target, command worker.RunCommand) (worker.Reply, error) {
	status, err := s.send(ctx, request{Kind: kindThrottle, Target: to, Run: &command}, func() (worker.Status, error) {
		reply, err := s.options.Direct.Throttle(ctx, to, command)
		return worker.Status{Reply: reply}, err
	})
	return status.Reply, err
}

// Renew implements [worker.Commander].
func (s *Sender) Renew(ctx context.Context, to worker.Target, command worker.RenewCommand) (worker.Status, error) {
	return s.send(ctx, request{Kind: kindRenew, Target: to, Renew: &command}, func() (worker.Status, error) {
		return s.options.Direct.Renew(ctx, to, command)
	})
}

// send sends a command through the delegate of its worker, or with direct.
func (s *Sender) send(ctx context.Context, r request, direct func() (worker.Status, error)) (worker.Status, error) {
	l := s.chooseLink(r.Target)
	if l == nil {
		return direct()
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Timeout = time.Until(deadline)
		if now, known := s.options.Clock.Now(); known {
			r.Deadline = now + r.Timeout
		}
	}
	status, err := l.call(ctx, r)
	if errors.Is(err, errNoLink) {
		return direct()
	}
	if errors.Is(err, errWorkerSilent) {
		s.useDirect(r.Target.ID)
	}
	return status, err
}

// useDirect makes this node call a worker itself for a while.
func (s *Sender) useDirect(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.workers[id]; ok {
		p.directUntil = clock.Now() + directAfterFailure
	}
}

// chooseLink returns the link for a worker, and nil if this node calls the worker itself. Delegates in the data centre of the worker
// come first: they are unreachable only when the worker is too.
func (s *Sender) chooseLink(to worker.Target) *link {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.workers[to.ID]
	if !ok {
		p = &path{}
		s.workers[to.ID] = p
	}
	p.lastUsed = now
	s.forgetWorkers(now)
	if len(s.workers) < minWorkers || now < p.directUntil {
		return nil
	}
	s.listDelegates(now)
	return highestRank(s.delegates[to.DataCentre], to.ID)
}

// highestRank returns the usable link that ranks highest for a worker (rendezvous hashing), so that the loss of a delegate moves only
// its own workers.
func highestRank(links []*link, id string) *link {
	var best *link
	var bestRank uint64
	for _, l := range links {
		if rank := xxhash.Sum64String(l.name + "/" + id); (best == nil || rank > bestRank) && l.usable() {
			best, bestRank = l, rank
		}
	}
	return best
}

func (s *Sender) forgetWorkers(now time.Duration) {
	if now-s.prunedAt < forgetWorker {
		return
	}
	s.prunedAt = now
	for id, p := range s.workers {
		if now-p.lastUsed > forgetWorker {
			delete(s.workers, id)
		}
	}
}

// listDelegates reads the live nodes from time to time. Those with a small processor share carry no commands.
func (s *Sender) listDelegates(now time.Duration) {
	if s.delegates != nil && now-s.listedAt < nodesInterval {
		return
	}
	s.listedAt = now
	s.delegates = make(map[string][]*link)
	listed := make(map[string]bool)
	for _, n := range s.options.Nodes() {
		if n.Address == "" || n.Cores < minShare*s.options.Cores {
			continue
		}
		key := n.Name + " " + n.Address
		listed[key] = true
		l, ok := s.links[key]
		if !ok {
			l = newLink(n.Name, n.Address, s.logger)
			s.links[key] = l
		}
		s.delegates[n.DataCentre] = append(s.delegates[n.DataCentre], l)
	}
	for _, links := range s.delegates {
		slices.SortFunc(links, func(a, b *link) int { return cmp.Compare(a.name, b.name) })
	}
	for key, l := range s.links {
		if !listed[key] {
			l.close()
			delete(s.links, key)
		}
	}
}
