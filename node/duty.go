package node

import (
	"context"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/common/loop"
	"github.com/chivetiller/chivetiller/scheduler"
)

const (
	// dutyInterval is the time between two looks at whether the duty is held.
	dutyInterval = 20 * time.Millisecond
	// beginPause is the time after a term that could not begin.
	beginPause = 250 * time.Millisecond
	// loadTimeout bounds the reading of all rows at the begin of a term.
	loadTimeout = 3 * time.Second
)

// duty runs the scheduler while the process holds the duty.
type duty struct {
	n    *Node
	loop *loop.Loop

	mu     sync.Mutex
	engine *scheduler.Engine
}

func newDuty(n *Node) *duty {
	d := &duty{n: n}
	d.loop = loop.New(loop.Every(dutyInterval, d.round))
	return d
}

// Start begins to follow the duty.
func (d *duty) Start() { d.loop.Start() }

// Stop ends the scheduler.
func (d *duty) Stop() {
	d.loop.Stop()
	d.end()
}

// Engine returns the running scheduler.
func (d *duty) Engine() (*scheduler.Engine, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine, d.engine != nil
}

func (d *duty) end() {
	d.mu.Lock()
	engine := d.engine
	d.engine = nil
	d.mu.Unlock()
	if engine != nil {
		engine.Stop()
	}
}

func (d *duty) round(ctx context.Context) {
	tenure, held := d.n.members.Term()
	engine, running := d.Engine()
	if running && (!held || engine.Fence() != tenure.Fence) {
		d.end()
		running = false
	}
	if !held || running || d.n.source.Current().Version == 0 {
		return
	}
	next := scheduler.NewEngine(scheduler.EngineOptions{
		Core: scheduler.Options{Bounds: d.n.s.Bounds, Fence: tenure.Fence, Term: tenure.Number, AcquiredAt: tenure.AcquiredAt, PreviousLeaderGone: tenure.PreviousLeaderGone, Observer: d.n.metrics},
		Name: d.n.s.Name, Store: d.n.d.Store, Clock: d.n.clock, Registry: d.n.d.Registry, Waves: d.n.source, Workers: d.n.d.Commander,
		Instances: d.n.d.Instances, Advisor: d.n.d.Advisor, Catalog: d.n.source.Current, Leadership: d.n.members, Logger: d.n.d.Logger,
	})
	limited, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := next.Start(limited); err != nil {
		d.n.logger.Warn("Duty cannot begin.", "fence", tenure.Fence, "error", err)
		next.Stop()
		select {
		case <-time.After(beginPause):
		case <-ctx.Done():
		}
		return
	}
	d.mu.Lock()
	d.engine = next
	d.mu.Unlock()
}
