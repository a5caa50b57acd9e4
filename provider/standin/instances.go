package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/provider"
)

// InstanceDriver is an instance as the stand-in drives it. Stand-in endpoints implement it. Its methods, except
// Reboot, must not call the stand-in.
type InstanceDriver interface {
	// Start makes the machine accept requests. Its address does not change.
	Start(incarnation uint64) error
	// Drain makes the machine refuse new requests while it finishes those in flight.
	Drain()
	// Undrain makes the machine accept requests again.
	Undrain()
	// Reboot stops the machine at once, with any requests in flight, and returns when it accepts
	// requests again under the incarnation.
	Reboot(incarnation uint64) error
	// InFlight returns the number of requests that are running.
	InFlight() int
}

// ListFaults are the faults of the list of instances. Rates are between 0 and 1.
type ListFaults struct {
	// Lag is added to the lag of the options.
	Lag time.Duration `json:"lag"`
	// Repeat is the rate at which an old entry is sent again.
	Repeat float64 `json:"repeat"`
	// Drop is the rate at which an entry is left out. It appears again at the next change or whole list.
	Drop float64 `json:"drop"`
}

// Instances is the list of instances. Entries appear in it after a lag.
type Instances struct {
	lag      time.Duration
	interval time.Duration

	mu       sync.Mutex
	random   *rand.Rand
	faults   ListFaults
	members  map[string]*listedInstance
	log      []change
	reported time.Time
	stuck    map[string]bool
}

type listedInstance struct {
	instance provider.Instance
	machine  InstanceDriver
	// last is the index of the newest change of this instance in the log.
	last int
}

type change struct {
	at       time.Time
	instance provider.Instance
}

var _ provider.Instances = (*Instances)(nil)

func newInstances(o Options) *Instances {
	return &Instances{
		lag:      o.ListLag,
		interval: o.ReportInterval,
		random:   rand.New(rand.NewPCG(o.Seed, 1)),
		members:  make(map[string]*listedInstance),
		stuck:    make(map[string]bool),
	}
}

// Add starts a machine and adds it to the list. The machine may be nil. The incarnation is set to 1 if it is 0.
func (l *Instances) Add(instance provider.Instance, machine InstanceDriver) error {
	instance.Incarnation = max(instance.Incarnation, 1)
	instance.State = provider.InstanceLive
	if machine != nil {
		if err := machine.Start(instance.Incarnation); err != nil {
			return fmt.Errorf("start instance %q: %w", instance.ID, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m := &listedInstance{instance: instance, machine: machine}
	l.members[instance.ID] = m
	l.append(m, time.Now())
	return nil
}

// Remove marks an instance as gone, as after a failure. The machine is not stopped.
func (l *Instances) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m, ok := l.members[id]; ok {
		m.instance.State = provider.InstanceGone
		l.append(m, time.Now())
	}
}

// SetStuck makes an instance fail to return from its next reboots. It returns once stuck is false again and it is rebooted.
func (l *Instances) SetStuck(id string, stuck bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stuck[id] = stuck
}

// SetFaults replaces the faults of the list.
func (l *Instances) SetFaults(f ListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// List implements [provider.Instances].
func (l *Instances) List(ctx context.Context, cursor string) (provider.InstanceList, error) {
	if err := ctx.Err(); err != nil {
		return provider.InstanceList{}, fmt.Errorf("%w: %w", provider.ErrUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.collect(now)
	from := 0
	if cursor != "" {
		n, err := strconv.Atoi(cursor)
		if err != nil || n < 0 || n > len(l.log) {
			return provider.InstanceList{}, fmt.Errorf("cursor %q: %w", cursor, provider.ErrNotFound)
		}
		from = n
	}
	visible := from
	newest := make(map[string]provider.Instance)
	for visible < len(l.log) && !l.log[visible].at.Add(l.lag+l.faults.Lag).After(now) {
		instance := l.log[visible].instance
		newest[instance.ID] = instance
		visible++
	}
	list := provider.InstanceList{Cursor: strconv.Itoa(visible)}
	for _, instance := range newest {
		if cursor == "" && instance.State == provider.InstanceGone {
			continue
		}
		list.Instances = append(list.Instances, instance)
	}
	slices.SortFunc(list.Instances, func(a, b provider.Instance) int { return strings.Compare(a.ID, b.ID) })
	l.distort(&list, visible)
	return list, nil
}

// distort drops and repeats entries at the rates of the faults.
func (l *Instances) distort(list *provider.InstanceList, visible int) {
	if l.faults.Drop > 0 {
		list.Instances = slices.DeleteFunc(list.Instances, func(provider.Instance) bool { return l.random.Float64() < l.faults.Drop })
	}
	if l.faults.Repeat > 0 && visible > 0 && l.random.Float64() < l.faults.Repeat {
		list.Instances = append(list.Instances, l.log[l.random.IntN(visible)].instance)
	}
}

// collect takes a report from each machine that is due for one. An idle machine whose count has not
// changed adds no entry, unless it is leaving.
func (l *Instances) collect(now time.Time) {
	if now.Sub(l.reported) < l.interval {
		return
	}
	l.reported = now
	for _, m := range l.members {
		if m.machine == nil || m.instance.State == provider.InstanceGone {
			continue
		}
		count := m.machine.InFlight()
		if count != m.instance.InFlight || m.instance.State == provider.InstanceLeaving {
			m.instance.InFlight = count
			l.append(m, now)
		}
	}
}

// append adds the present state of a member to the log.
func (l *Instances) append(m *listedInstance, now time.Time) {
	m.instance.Reported = now
	m.last = len(l.log)
	l.log = append(l.log, change{at: now, instance: m.instance})
}

// Drain implements [provider.Instances].
func (l *Instances) Drain(ctx context.Context, id string) error {
	return l.setState(ctx, id, provider.InstanceLive, provider.InstanceLeaving, InstanceDriver.Drain)
}

// Undrain implements [provider.Instances].
func (l *Instances) Undrain(ctx context.Context, id string) error {
	return l.setState(ctx, id, provider.InstanceLeaving, provider.InstanceLive, InstanceDriver.Undrain)
}

func (l *Instances) setState(ctx context.Context, id string, from, to provider.InstanceState, act func(InstanceDriver)) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.members[id]
	if !ok {
		return fmt.Errorf("instance %q: %w", id, provider.ErrNotFound)
	}
	if m.instance.State != from {
		return nil
	}
	if m.machine != nil {
		act(m.machine)
		m.instance.InFlight = m.machine.InFlight()
	}
	m.instance.State = to
	l.append(m, time.Now())
	return nil
}

// Reboot implements [provider.Instances]. It returns when the reboot has begun.
func (l *Instances) Reboot(ctx context.Context, id string, incarnation uint64) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.members[id]
	if !ok {
		return fmt.Errorf("instance %q: %w", id, provider.ErrNotFound)
	}
	if m.instance.Incarnation != incarnation {
		return nil
	}
	m.instance.Incarnation++
	m.instance.State = provider.InstanceGone
	m.instance.InFlight = 0
	l.append(m, time.Now())
	if l.stuck[id] {
		return nil
	}
	if m.machine == nil {
		m.instance.State = provider.InstanceLive
		l.append(m, time.Now())
		return nil
	}
	go l.finishReboot(m, incarnation+1)
	return nil
}

func (l *Instances) finishReboot(m *listedInstance, incarnation uint64) {
	if err := m.machine.Reboot(incarnation); err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.instance.Incarnation == incarnation {
		m.instance.State = provider.InstanceLive
		l.append(m, time.Now())
	}
}
