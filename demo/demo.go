// Package demo runs a small fleet in one process and checks that no request is lost. Three entry instances on loopback
// sockets serve requests of several classes, while a maintenance wave reboots every endpoint and an entry instance is
// replaced. Afterwards the results of the callers are compared with the runs that the endpoints recorded.
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
	// warmUp is the duration of the load before the wave starts.
	warmUp = 500 * time.Millisecond
	// replaceAfter is the delay from the start of the wave to the replacement of an entry instance, which then takes
	// place during the wave.
	replaceAfter = 1500 * time.Millisecond
	// coolDown is the duration of the load after the wave.
	coolDown     = time.Second
	pollInterval = 50 * time.Millisecond
)

// Options are the options of a demo run.
type Options struct {
	// Duration is the longest duration of the load; 0 means DefaultDuration. The wave has to end within it, and the
	// load ends soon after the wave.
	Duration time.Duration
	// Rate is the number of requests per second; 0 means DefaultRate.
	Rate   int
	Logger hclog.Logger
	// Progress is called with a line of text at each step. It may be nil.
	Progress func(line string)
}

// Run starts a cluster, runs the load, the wave and the replacement, and returns the checked outcome. Lost, doubled or
// cut requests are no error: see Report.OK.
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
	r := &run{options: o, cluster: c, balancer: &balancer{}}
	r.balancer.setAddresses(c.callerAddresses())
	return r.execute(ctx)
}

// run is the state of one demo run.
type run struct {
	options  Options
	cluster  *cluster
	balancer *balancer
	load     *loadGenerator
}

func (r *run) execute(ctx context.Context) (Report, error) {
	balancerCtx, stopBalancing := context.WithCancel(ctx)
	defer stopBalancing()
	r.balancer.checkReadiness(ctx, newReadinessClient())
	r.load = newLoadGenerator(r.cluster.keys, r.balancer, r.options.Rate)
	loadCtx, stopLoading := context.WithTimeout(ctx, r.options.Duration)
	defer stopLoading()
	var balancerDone sync.WaitGroup
	balancerDone.Go(func() { r.balancer.run(balancerCtx) })
	var loadDone sync.WaitGroup
	loadDone.Go(func() { r.load.run(loadCtx) })

	waveTime, err := r.runDisturbances(loadCtx)
	if err == nil {
		_ = sleep(loadCtx, coolDown) // returns early if the load ends first
	}
	stopLoading()
	loadDone.Wait()
	stopBalancing()
	balancerDone.Wait()
	if err != nil {
		return Report{}, err
	}
	if err := waitForRecords(ctx, r.cluster.endpoints); err != nil {
		return Report{}, err
	}
	report := compareWithRecords(r.load.finished, r.cluster.endpoints)
	report.WaveSeconds = waveTime.Seconds()
	return report, nil
}

// runDisturbances runs the wave and replaces an entry instance during it. It returns the duration of the wave.
func (r *run) runDisturbances(ctx context.Context) (time.Duration, error) {
	if err := sleep(ctx, warmUp); err != nil {
		return 0, err
	}
	start := time.Now()
	if err := r.startWave(ctx); err != nil {
		return 0, err
	}
	r.options.Progress("maintenance wave started")
	if err := sleep(ctx, replaceAfter); err != nil {
		return 0, err
	}
	if err := r.replaceEntry(ctx); err != nil {
		return 0, err
	}
	return r.waitForWave(ctx, start)
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

// replaceEntry starts a new entry instance, and stops the one that it replaces when the new one is ready.
func (r *run) replaceEntry(ctx context.Context) error {
	c := r.cluster
	old := c.entries[0]
	if err := c.startEntry(ctx, dataCentres[0]+"-2", dataCentres[0]); err != nil {
		return err
	}
	r.balancer.setAddresses(c.callerAddresses())
	if err := c.waitReady(ctx); err != nil {
		return err
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := old.Stop(stopCtx); err != nil {
		return eris.Wrap(err, "replace an entry instance")
	}
	old.remote.Close()
	c.entries = c.entries[1:]
	r.balancer.setAddresses(c.callerAddresses())
	r.options.Progress(fmt.Sprintf("entry instance %s replaced by %s", old.name, c.entries[len(c.entries)-1].name))
	return nil
}

func (r *run) waitForWave(ctx context.Context, start time.Time) (time.Duration, error) {
	waves := wave.NewStore(r.cluster.platform.Table())
	for {
		w, err := waves.Get(ctx, waveName)
		if err != nil {
			return 0, err
		}
		if w.State() == wave.StateDone {
			took := time.Since(start)
			r.options.Progress(fmt.Sprintf("maintenance wave ended after %.1f s", took.Seconds()))
			return took, nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, eris.Errorf("maintenance wave did not end within the load of %s", r.options.Duration)
		}
	}
}

// callerAddresses returns the addresses at which callers reach the entry instances.
func (c *cluster) callerAddresses() []string {
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
