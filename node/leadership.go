package node

import (
	"context"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/common/loop"
	"github.com/chivetiller/chivetiller/internal/jobs/refusal"
	"github.com/chivetiller/chivetiller/scheduler"
)

const (
	// checkInterval is the time between two checks whether this process is the leader.
	checkInterval = 20 * time.Millisecond
	// startRetryPause is the time before the start of the scheduler is tried again.
	startRetryPause = 250 * time.Millisecond
	// refusalsInterval is the time between two searches for old refusals. Each reads all of them.
	refusalsInterval = 30 * time.Second
)

// leadership runs the scheduler while this process is the leader.
type leadership struct {
	n    *Node
	loop *loop.Loop
	// pruning removes old refusals, and refusals holds those that it knows of in this term.
	pruning  *loop.Loop
	refusals *refusal.Pruner

	mu     sync.Mutex
	engine *scheduler.Engine
}

func newLeadership(n *Node) *leadership {
	l := &leadership{n: n}
	l.loop = loop.New(loop.Every(checkInterval, l.followTerm))
	l.pruning = loop.New(loop.Every(refusalsInterval, l.pruneRefusals))
	return l
}

// Start starts to follow the terms of this process.
func (l *leadership) Start() {
	l.loop.Start()
	l.pruning.Start()
}

// Stop stops the scheduler for good.
func (l *leadership) Stop() {
	l.pruning.Stop()
	l.loop.Stop()
	if engine := l.stopEngine(); engine != nil {
		// Only here, since the engine of a term may be started again otherwise.
		engine.HandOver(context.Background())
	}
}

// Engine returns the scheduler, and false if it is not running.
func (l *leadership) Engine() (*scheduler.Engine, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine, l.engine != nil
}

// pruneRefusals removes old refusals while this process is the leader.
func (l *leadership) pruneRefusals(ctx context.Context) {
	if engine, ok := l.Engine(); !ok || !engine.IsLeader() {
		l.refusals = nil
		return
	}
	if l.refusals == nil {
		l.refusals = refusal.NewPruner(l.n.settings.Bounds.Retention)
	}
	l.n.intake.PruneRefusals(ctx, l.refusals)
}

// stopEngine stops the scheduler and returns it, or nil if it is not running.
func (l *leadership) stopEngine() *scheduler.Engine {
	l.mu.Lock()
	engine := l.engine
	l.engine = nil
	l.mu.Unlock()
	if engine != nil {
		engine.Stop()
	}
	return engine
}

// followTerm starts the scheduler at the start of a term and stops it when the term has ended.
func (l *leadership) followTerm(ctx context.Context) {
	term, leading := l.n.members.Term()
	engine, running := l.Engine()
	if running && (!leading || engine.Fence() != term.Fence) {
		l.stopEngine()
		running = false
	}
	if !leading || running || l.n.source.Current().Version == 0 {
		return
	}
	next := scheduler.NewEngine(scheduler.EngineOptions{
		Core: scheduler.Options{
			Bounds: l.n.settings.Bounds, Fence: term.Fence, Term: term.Number, AcquiredAt: term.AcquiredAt, PreviousLeaderEnded: term.PreviousLeaderEnded,
			EarlierLeadersUntil: term.EarlierLeadersUntil, PreviousLeaderSeenAt: term.PreviousLeaderSeenAt, UnboundedLeadersUntil: term.UnboundedLeadersUntil,
			LeasesBoundedFrom: term.LeasesBoundedFrom, Features: l.n.settings.Serving.Scheduling(),
			Observer: l.n.metrics, InstanceCommandRate: l.n.settings.InstanceCommandRate,
		},
		Name: l.n.settings.Name, Store: l.n.deps.Store, Clock: l.n.clock, Registry: l.n.deps.Registry, Waves: l.n.source, Evacuations: l.n.source, Workers: l.n.sender,
		Instances: l.n.deps.Instances, Advisor: l.n.deps.Advisor, Catalog: l.n.source.Current, Leadership: l.n.members, Logger: l.n.deps.Logger,
	})
	limited, cancel := l.untilTermEnds(ctx, term.Fence)
	defer cancel()
	if err := next.Start(limited); err != nil {
		l.n.logger.Warn("Leadership cannot begin: the scheduler did not start.", "fence", term.Fence, "error", err)
		next.Stop()
		select {
		case <-time.After(startRetryPause):
		case <-ctx.Done():
		}
		return
	}
	l.mu.Lock()
	l.engine = next
	l.mu.Unlock()
}

// untilTermEnds returns a context that ends with the term.
func (l *leadership) untilTermEnds(ctx context.Context, fence uint64) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithCancel(ctx)
	watch := loop.Every(checkInterval, func(context.Context) {
		if term, leading := l.n.members.Term(); !leading || term.Fence != fence {
			cancel()
		}
	})
	go watch(limited)
	return limited, cancel
}
