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

// InstanceDriver lets the stand-in platform control an instance. Stand-in endpoints implement it. Its methods, except
// Reboot, must not call the stand-in platform, because it may hold its lock meanwhile.
type InstanceDriver interface {
	// Start makes the instance accept requests. Its address does not change.
	Start(incarnation uint64) error
	// Drain makes the instance refuse new requests while it finishes those in flight.
	Drain()
	// Undrain makes the instance accept requests again.
	Undrain()
	// Reboot stops the instance at once, which interrupts requests in flight, and returns when the instance accepts
	// requests again under the given incarnation.
	Reboot(incarnation uint64) error
	// InFlight returns the number of requests that are running.
	InFlight() int
}

// ListFaults are the faults of the list of instances. Rates are between 0 and 1.
type ListFaults struct {
	// Lag is added to Options.ListLag.
	Lag time.Duration `json:"lag"`
	// Repeat is the rate of responses that repeat an old entry.
	Repeat float64 `json:"repeat"`
	// Drop is the rate of entries that are left out. The entry appears again with its next change or with the whole list.
	Drop float64 `json:"drop"`
}

// Instances is the list of instances. Changes appear in it after a lag.
type Instances struct {
	lag      time.Duration
	interval time.Duration

	mu         sync.Mutex
	random     *rand.Rand
	faults     ListFaults
	listed     map[string]*listedInstance
	log        []change
	lastReport time.Time
	stuck      map[string]bool
}

// listedInstance is an instance of the list with its driver, which may be nil.
type listedInstance struct {
	instance provider.Instance
	driver   InstanceDriver
	// lastChange is the index of the newest change of this instance in the log.
	lastChange int
}

// change is the state of an instance from a time on.
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
		listed:   make(map[string]*listedInstance),
		stuck:    make(map[string]bool),
	}
}

// Add starts an instance through its driver, which may be nil, and adds it to the list. An incarnation of 0 becomes 1.
func (l *Instances) Add(instance provider.Instance, driver InstanceDriver) error {
	instance.Incarnation = max(instance.Incarnation, 1)
	instance.State = provider.InstanceLive
	if driver != nil {
		if err := driver.Start(instance.Incarnation); err != nil {
			return fmt.Errorf("start instance %q: %w", instance.ID, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m := &listedInstance{instance: instance, driver: driver}
	l.listed[instance.ID] = m
	l.appendChange(m, time.Now())
	return nil
}

// Remove marks an instance as gone, as after a failure. It does not stop the instance.
func (l *Instances) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m, ok := l.listed[id]; ok {
		m.instance.State = provider.InstanceGone
		l.appendChange(m, time.Now())
	}
}

// SetStuck sets whether an instance stays gone after a reboot. To return, it must be rebooted again while stuck is false.
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
	l.collectReports(now)
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
	l.injectFaults(&list, visible)
	return list, nil
}

// injectFaults drops and repeats entries at the rates of the faults.
func (l *Instances) injectFaults(list *provider.InstanceList, visible int) {
	if l.faults.Drop > 0 {
		list.Instances = slices.DeleteFunc(list.Instances, func(provider.Instance) bool { return l.random.Float64() < l.faults.Drop })
	}
	if l.faults.Repeat > 0 && visible > 0 && l.random.Float64() < l.faults.Repeat {
		list.Instances = append(list.Instances, l.log[l.random.IntN(visible)].instance)
	}
}

// collectReports reads the in-flight count of each instance once per report interval. A count that has not changed adds no
// entry, unless the instance is leaving.
func (l *Instances) collectReports(now time.Time) {
	if now.Sub(l.lastReport) < l.interval {
		return
	}
	l.lastReport = now
	for _, m := range l.listed {
		if m.driver == nil || m.instance.State == provider.InstanceGone {
			continue
		}
		count := m.driver.InFlight()
		if count != m.instance.InFlight || m.instance.State == provider.InstanceLeaving {
			m.instance.InFlight = count
			l.appendChange(m, now)
		}
	}
}

// appendChange adds the present state of an instance to the log.
func (l *Instances) appendChange(m *listedInstance, now time.Time) {
	m.instance.Reported = now
	m.lastChange = len(l.log)
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
	m, ok := l.listed[id]
	if !ok {
		return fmt.Errorf("instance %q: %w", id, provider.ErrNotFound)
	}
	if m.instance.State != from {
		return nil
	}
	if m.driver != nil {
		act(m.driver)
		m.instance.InFlight = m.driver.InFlight()
	}
	m.instance.State = to
	l.appendChange(m, time.Now())
	return nil
}

// Reboot implements [provider.Instances]. It returns when the reboot has begun.
func (l *Instances) Reboot(ctx context.Context, id string, incarnation uint64) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.listed[id]
	if !ok {
		return fmt.Errorf("instance %q: %w", id, provider.ErrNotFound)
	}
	if m.instance.Incarnation != incarnation {
		return nil
	}
	m.instance.Incarnation++
	m.instance.State = provider.InstanceGone
	m.instance.InFlight = 0
	l.appendChange(m, time.Now())
	if l.stuck[id] {
		return nil
	}
	if m.driver == nil {
		m.instance.State = provider.InstanceLive
		l.appendChange(m, time.Now())
		return nil
	}
	go l.finishReboot(m, incarnation+1)
	return nil
}

func (l *Instances) finishReboot(m *listedInstance, incarnation uint64) {
	if err := m.driver.Reboot(incarnation); err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.instance.Incarnation == incarnation {
		m.instance.State = provider.InstanceLive
		l.appendChange(m, time.Now())
	}
}
