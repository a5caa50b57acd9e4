// Package demo runs the main job of chivetiller in one process: three entry instances on real sockets serve
// requests of several classes, while a maintenance wave reboots every endpoint and an entry instance is replaced.
// Afterwards the callers' results are compared with what the endpoints recorded.
//
// # Usage
//
//	report, err := demo.Run(ctx, demo.Options{Logger: logger})
//	if err != nil { ... }
//	fmt.Println(report)
package demo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/wave"
)

// Defaults of the options.
const (
	DefaultDuration = 14 * time.Second
	DefaultRate     = 300
)

const (
	waveName = "demo"
	// warmUp is the time of load before the wave and the replacement.
	warmUp = 500 * time.Millisecond
	// replaceAfter is the time between the start of the wave and the replacement, which then falls into it.
	replaceAfter = 1500 * time.Millisecond
	// coolDown is the time of load after the wave.
	coolDown = time.Second
	poll     = 50 * time.Millisecond
)

// Options of a run.
type Options struct {
	// Duration is the longest time of load. The load ends soon after the wave, which has to end within it.
	Duration time.Duration
	// Rate is the number of requests a second.
	Rate   int
	Logger hclog.Logger
	// Progress is told what happens. It may be nil.
	Progress func(line string)
}

// Run starts a cluster, runs load, wave and replacement, and checks the outcome.
func Run(ctx context.Context, o Options) (report Report, err error) {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	c, err := newCluster(ctx, o.Logger)
	defer func() { err = errors.Join(err, c.stop()) }()
	if err != nil {
		return Report{}, eris.Wrap(err, "start")
	}
	o.Progress(fmt.Sprintf("%d entry instances and %d endpoints in %d data centres are ready", len(c.entries), len(c.endpoints), len(dataCentres)))
	r := &run{o: o, cluster: c, balancer: &balancer{}}
	r.balancer.set(c.addresses())
	return r.do(ctx)
}

// run is one run of the demo.
type run struct {
	o        Options
	cluster  *cluster
	balancer *balancer
	load     *load
}

func (r *run) do(ctx context.Context) (Report, error) {
	balancing, stopBalancing := context.WithCancel(ctx)
	defer stopBalancing()
	r.balancer.check(ctx, newReadinessClient())
	r.load = newLoad(r.cluster.keys, r.balancer, r.o.Rate)
	loading, stopLoading := context.WithTimeout(ctx, r.o.Duration)
	defer stopLoading()
	var tasks sync.WaitGroup
	tasks.Go(func() { r.balancer.run(balancing) })
	var loaded sync.WaitGroup
	loaded.Go(func() { r.load.run(loading) })

	waveTime, err := r.disturb(loading)
	if err == nil {
		_ = sleep(loading, coolDown) // the end of the load ends the wait
	}
	stopLoading()
	loaded.Wait()
	stopBalancing()
	tasks.Wait()
	if err != nil {
		return Report{}, err
	}
	report := check(r.load.done, r.cluster.endpoints)
	report.WaveSeconds = waveTime.Seconds()
	return report, nil
}

// disturb runs the wave and replaces an entry instance meanwhile. It returns how long the wave took.
func (r *run) disturb(ctx context.Context) (time.Duration, error) {
	if err := sleep(ctx, warmUp); err != nil {
		return 0, err
	}
	start := time.Now()
	if err := r.startWave(ctx); err != nil {
		return 0, err
	}
	r.o.Progress("maintenance wave started")
	if err := sleep(ctx, replaceAfter); err != nil {
		return 0, err
	}
	if err := r.replaceEntry(ctx); err != nil {
		return 0, err
	}
	return r.waitWave(ctx, start)
}

func (r *run) startWave(ctx context.Context) error {
	table := r.cluster.platform.Table()
	rows, err := pool.NewStore(table).List(ctx)
	if err != nil {
		return err
	}
	pools := r.cluster.entries[0].Source().Snapshot().Pools()
	spec := wave.Spec{Name: waveName, Pools: servicePools, Notice: waveNotice.String()}
	_, err = wave.NewStore(table).Create(ctx, spec, time.Now(), pools, rows)
	return eris.Wrap(err, "start the wave")
}

// replaceEntry stops an entry instance while a new one starts in its place.
func (r *run) replaceEntry(ctx context.Context) error {
	c := r.cluster
	old := c.entries[0]
	if err := c.startEntry(ctx, dataCentres[0]+"-2", dataCentres[0]); err != nil {
		return err
	}
	r.balancer.set(c.addresses())
	if err := c.waitReady(ctx); err != nil {
		return err
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := old.Stop(stopping); err != nil {
		return eris.Wrap(err, "replace an entry instance")
	}
	old.remote.Close()
	c.entries = c.entries[1:]
	r.balancer.set(c.addresses())
	r.o.Progress(fmt.Sprintf("entry instance %s replaced by %s", old.name, c.entries[len(c.entries)-1].name))
	return nil
}

func (r *run) waitWave(ctx context.Context, start time.Time) (time.Duration, error) {
	waves := wave.NewStore(r.cluster.platform.Table())
	for {
		w, err := waves.Get(ctx, waveName)
		if err != nil {
			return 0, err
		}
		if w.State() == wave.StateDone {
			took := time.Since(start)
			r.o.Progress(fmt.Sprintf("maintenance wave ended after %.1f s", took.Seconds()))
			return took, nil
		}
		if err := sleep(ctx, poll); err != nil {
			return 0, eris.Errorf("maintenance wave did not end within the load of %s", r.o.Duration)
		}
	}
}

// addresses returns where callers reach the entry instances.
func (c *cluster) addresses() []string {
	addresses := make([]string, 0, len(c.entries))
	for _, e := range c.entries {
		addresses = append(addresses, e.CallerAddress())
	}
	return addresses
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
