package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/provider"
)

// Faults are the faults of the platform that affect all clients. Rates are between 0 and 1. The zero value is a platform without faults.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down,omitempty"`
	// Delay is the mean duration of a call, half of it before the call takes effect. It varies by 50%.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseResponse is the rate of calls that take effect and whose response is lost.
	LoseResponse float64 `json:"loseResponse,omitempty"`
	// Late is the rate of calls whose response is lost and that take effect only after LateBy.
	Late float64 `json:"late,omitempty"`
	// Duplicate is the rate of calls that take effect a second time after LateBy.
	Duplicate float64 `json:"duplicate,omitempty"`
	// LateBy is the mean delay of the late and the duplicate effects. It varies by 50%.
	LateBy time.Duration `json:"lateBy,omitempty"`
	// List holds the faults of the list of instances.
	List ListFaults `json:"list"`
}

// Identity identifies the caller of a call. An empty field of the identity of a network partition matches every caller.
type Identity struct {
	// Client names the calling process.
	Client string `json:"client,omitempty"`
	// DataCentre is the data centre of the calling process.
	DataCentre string `json:"dataCentre,omitempty"`
}

func (i Identity) matches(caller Identity) bool {
	return (i.Client == "" || i.Client == caller.Client) && (i.DataCentre == "" || i.DataCentre == caller.DataCentre)
}

// injector draws the faults of each call.
type injector struct {
	mu         sync.Mutex
	faults     Faults
	partitions map[Identity]bool
	random     *rand.Rand
}

func newInjector(seed uint64) *injector {
	return &injector{partitions: make(map[Identity]bool), random: rand.New(rand.NewPCG(seed, 2))}
}

// SetFaults replaces all faults except network partitions.
func (p *Platform) SetFaults(f Faults) {
	p.instances.SetFaults(f.List)
	p.injector.mu.Lock()
	defer p.injector.mu.Unlock()
	p.injector.faults = f
}

// Partition makes the platform unreachable for the matching clients until Heal is called with the same identity.
func (p *Platform) Partition(clients Identity) {
	p.injector.mu.Lock()
	defer p.injector.mu.Unlock()
	p.injector.partitions[clients] = true
}

// Heal ends a network partition.
func (p *Platform) Heal(clients Identity) {
	p.injector.mu.Lock()
	defer p.injector.mu.Unlock()
	delete(p.injector.partitions, clients)
}

// callFaults are the faults of one call.
type callFaults struct {
	before, after      time.Duration
	loseResponse, late bool
	duplicate          bool
	lateBy             time.Duration
}

func (j *injector) drawFaults() callFaults {
	j.mu.Lock()
	defer j.mu.Unlock()
	f := j.faults
	vary := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + j.random.Float64())) }
	return callFaults{
		before:       vary(f.Delay / 2),
		after:        vary(f.Delay / 2),
		loseResponse: f.LoseResponse > 0 && j.random.Float64() < f.LoseResponse,
		late:         f.Late > 0 && j.random.Float64() < f.Late,
		duplicate:    f.Duplicate > 0 && j.random.Float64() < f.Duplicate,
		lateBy:       vary(f.LateBy),
	}
}

// reachable fails if the platform is down or partitioned from the caller.
func (j *injector) reachable(caller Identity) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.faults.Down {
		return fmt.Errorf("%w: it is down", provider.ErrUnavailable)
	}
	for partition := range j.partitions {
		if partition.matches(caller) {
			return fmt.Errorf("%w: partition", provider.ErrUnavailable)
		}
	}
	return nil
}

// call runs an operation with faults. effect means that the operation changes the state of the platform, so that its outcome
// is unknown if the response is lost.
func (j *injector) call(ctx context.Context, caller Identity, effect bool, operation func(context.Context) error) error {
	lost := func(reason string) error {
		if effect {
			return fmt.Errorf("%w: %s", provider.ErrUnknownOutcome, reason)
		}
		return fmt.Errorf("%w: %s", provider.ErrUnavailable, reason)
	}
	if err := j.reachable(caller); err != nil {
		return err
	}
	f := j.drawFaults()
	if sleep(ctx, f.before) != nil {
		return lost("deadline passed")
	}
	if err := j.reachable(caller); err != nil {
		return err
	}
	runLater := func() { _ = operation(context.WithoutCancel(ctx)) }
	if f.late {
		if effect {
			time.AfterFunc(f.lateBy, runLater)
		}
		return lost("response was lost")
	}
	err := operation(ctx)
	if f.duplicate && effect {
		time.AfterFunc(f.lateBy, runLater)
	}
	if sleep(ctx, f.after) != nil {
		return lost("deadline passed")
	}
	if f.loseResponse {
		return lost("response was lost")
	}
	if j.reachable(caller) != nil {
		return lost("connection was lost")
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
