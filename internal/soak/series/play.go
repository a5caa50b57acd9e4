package series

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
	"github.com/chivetiller/chivetiller/internal/soak/world"
)

const (
	// settleTime is the time from the start of the processes to the load, until the leader has reached all workers.
	settleTime = 3 * time.Second
	// aroundTime bounds what comes before and after the load.
	aroundTime = 4 * time.Minute
	// recoveryTime is the time from the end of the last fault to the end of the load.
	recoveryTime = 5 * time.Second
	// minDuration leaves time for faults before the recovery.
	minDuration = 2 * recoveryTime
	// checkInterval is the time between two checks while the load runs.
	checkInterval = 5 * time.Second
	// watchTime is how long jobs are watched after they were asked for in the end.
	watchTime      = 4 * time.Second
	workersPerRack = 3
)

// Options choose a play of a series.
type Options struct {
	// Program is the path of the program.
	Program string
	// Directory receives the settings and logs of the processes.
	Directory string
	// Record receives what was sent, answered and run.
	Record io.Writer
	Seed   uint64
	// Duration is how long the load lasts.
	Duration       time.Duration
	Nodes, Workers int
	// NoFaults plays the load only.
	NoFaults bool
}

// player plays a series of faults in a world.
type player struct {
	w      *world.World
	report *Report

	mu    sync.Mutex
	lives int
}

// Play starts processes, workers and clients, plays the series of faults of a seed, and reports whether the promises held.
func Play(o Options) (*Report, error) {
	if o.Duration < minDuration {
		return nil, fmt.Errorf("the load lasts %s; it has to last %s or more", o.Duration, minDuration)
	}
	w, err := world.New(world.Options{
		Program: o.Program, Directory: o.Directory, Record: o.Record, Nodes: o.Nodes, SlowClocks: true, Seed: o.Seed,
	})
	if err != nil {
		return nil, err
	}
	defer w.Close()
	go w.CloseEarly(o.Duration + aroundTime)
	p := &player{w: w, report: &Report{Seed: o.Seed, Nodes: o.Nodes, Workers: o.Workers, Duration: o.Duration}}
	if err := w.AddWorkers(o.Workers, workersPerRack, service); err != nil {
		return nil, err
	}
	l := newLoad(w, o)
	l.configure()
	if err := w.StartNodes(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	stop := make(chan struct{})
	var checks sync.WaitGroup
	checks.Go(func() { p.check(stop) })
	var series []Fault
	if !o.NoFaults {
		series = New(o.Seed, Size{Nodes: o.Nodes, Workers: o.Workers, Duration: o.Duration - recoveryTime})
	}
	var faults sync.WaitGroup
	faults.Go(func() { p.inject(series) })
	l.run()
	faults.Wait()
	l.settle()
	close(stop)
	checks.Wait()
	return p.report, p.report.finish(w, l)
}

// rackOf returns the rack of a worker.
func rackOf(number int) string { return fmt.Sprintf("r%d", number/workersPerRack+1) }

// check checks the promises while the load runs, and records when one is broken.
func (p *player) check(stop <-chan struct{}) {
	known := make(map[promises.Promise]int)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, v := range promises.Check(p.w.History(), promises.DefaultBounds()) {
			for _, violation := range v.Violations[min(known[v.Promise], len(v.Violations)):] {
				p.w.Record("BROKEN: %s: %s", v.Promise, violation.Text)
			}
			known[v.Promise] = len(v.Violations)
		}
	}
}

// inject causes the faults at their times, and returns when all have ended.
func (p *player) inject(faults []Fault) {
	begin := time.Now()
	var ends sync.WaitGroup
	for _, f := range faults {
		time.Sleep(time.Until(begin.Add(f.At)))
		p.report.Faults = append(p.report.Faults, f)
		p.w.Record("fault: %s", f)
		ends.Go(func() {
			if err := p.cause(f); err != nil {
				p.w.Record("fault %s was not caused: %v", f.Kind, err)
				p.mu.Lock()
				defer p.mu.Unlock()
				p.report.NotCaused = append(p.report.NotCaused, fmt.Sprintf("%s: %v", f.Kind, err))
			}
		})
	}
	ends.Wait()
}

// cause causes a fault and returns when it has ended.
func (p *player) cause(f Fault) error {
	switch rules[f.Kind].scope {
	case ofNodes:
		return p.disturbNode(f, p.w.Nodes()[f.Target])
	case ofWorkers:
		return p.disturbWorker(f, p.workerOf(f.Target))
	}
	switch f.Kind {
	case PauseLeader, StopLeader, KillLeader:
		leader := p.w.Leader()
		if leader == nil {
			return fmt.Errorf("there is no leader")
		}
		return p.disturbNode(f, leader)
	}
	p.disturbStore(f)
	return nil
}

// workerOf returns the present worker of a machine.
func (p *player) workerOf(number int) *world.Worker {
	machine := fmt.Sprintf("m%d", number+1)
	var last *world.Worker
	for _, ws := range p.w.Workers() {
		if ws.Machine() == machine {
			last = ws
		}
	}
	return last
}

func (p *player) disturbNode(f Fault, n *world.Node) error {
	p.w.Record("%s: %s", f.Kind, n.Name())
	switch f.Kind {
	case StopNode, StopLeader:
		return n.Restart()
	case KillNode, KillLeader:
		n.Kill()
		time.Sleep(f.Duration)
		return n.Start()
	}
	ended := p.w.History().Disrupt(rules[f.Kind].disruption, n.Name())
	defer ended()
	switch f.Kind {
	case PauseNode, PauseLeader:
		return n.Pause(f.Duration)
	case ReloadNode:
		return n.ChangeSettings(changedWrites)
	case StorePartly:
		n.SetRefused(true)
		time.Sleep(f.Duration)
		n.SetRefused(false)
		return nil
	case ClientLinkSlow, ClientReset, ClientQuiet:
		disturbLink(n.Clients(), f)
	default:
		disturbLink(n.StoreLink(), f)
	}
	return nil
}
