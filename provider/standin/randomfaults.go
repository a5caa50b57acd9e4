package standin

import (
	"context"
	"math/rand/v2"
	"time"
)

// RandomFaultOptions configure the injection of random faults. Fields that are 0 have the defaults stated.
type RandomFaultOptions struct {
	Seed uint64
	// Clients are partitioned from the platform one at a time.
	Clients []Identity
	// Pausers are paused one at a time.
	Pausers []*Pauser
	// MeanInterval is the mean time between faults, which is exponentially distributed. The default is 5 s.
	MeanInterval time.Duration
	// MeanDuration is the mean duration of a fault. The default is 10 s.
	MeanDuration time.Duration
	// LateBy is the mean delay of late and duplicate effects. The default is 5 s.
	LateBy time.Duration
}

// InjectRandomFaults injects faults at random until ctx ends: outages, a slow store, lost responses, late and duplicate
// effects, network partitions and pauses. Often two faults are present at the same time. Before it returns, it removes all.
func (p *Platform) InjectRandomFaults(ctx context.Context, o RandomFaultOptions) {
	if o.MeanInterval <= 0 {
		o.MeanInterval = 5 * time.Second
	}
	if o.MeanDuration <= 0 {
		o.MeanDuration = 10 * time.Second
	}
	if o.LateBy <= 0 {
		o.LateBy = 5 * time.Second
	}
	done := make(chan struct{})
	// The faults of the store and those of single clients are independent and overlap at random.
	go func() {
		defer close(done)
		p.injectStoreFaults(ctx, o, rand.New(rand.NewPCG(o.Seed, 3)))
	}()
	injectClientFaults(ctx, p, o, rand.New(rand.NewPCG(o.Seed, 4)))
	<-done
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// injectStoreFaults injects faults that affect all clients.
func (p *Platform) injectStoreFaults(ctx context.Context, o RandomFaultOptions, random *rand.Rand) {
	defer p.SetFaults(Faults{})
	for sleep(ctx, exponential(random, o.MeanInterval)) == nil {
		rate := random.Float64()
		f := Faults{LateBy: o.LateBy}
		// One fault, or two at the same time.
		for range 1 + random.IntN(2) {
			switch random.IntN(5) {
			case 0:
				f.Down = true
			case 1:
				f.Delay = exponential(random, 500*time.Millisecond)
			case 2:
				f.LoseResponse = rate
			case 3:
				f.Late = rate / 2
			case 4:
				f.Duplicate = rate
			}
		}
		p.SetFaults(f)
		if sleep(ctx, exponential(random, o.MeanDuration)) != nil {
			return
		}
		p.SetFaults(Faults{})
	}
}

// injectClientFaults partitions or pauses one client at a time.
func injectClientFaults(ctx context.Context, p *Platform, o RandomFaultOptions, random *rand.Rand) {
	if len(o.Clients)+len(o.Pausers) == 0 {
		<-ctx.Done()
		return
	}
	for sleep(ctx, exponential(random, o.MeanInterval)) == nil {
		i := random.IntN(len(o.Clients) + len(o.Pausers))
		begin, end := func() { p.Partition(o.Clients[i]) }, func() { p.Heal(o.Clients[i]) }
		if j := i - len(o.Clients); j >= 0 {
			begin, end = o.Pausers[j].Pause, o.Pausers[j].Resume
		}
		begin()
		// The fault also ends when ctx ends.
		_ = sleep(ctx, exponential(random, o.MeanDuration))
		end()
	}
}
