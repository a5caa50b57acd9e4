// Package lease gives duties to one process at a time. A fencing token makes sure that a process which was
// paused cannot write for a duty that another one has taken over.
//
// # Usage
//
//	manager := lease.NewManager(lease.Options{Table: table, Holder: "entry-1/7", Duties: []string{"housekeeping"}})
//	err := manager.Start(ctx)
//	defer manager.Stop(ctx)
//	if held, ok := manager.Held("housekeeping"); ok {
//		err = table.Commit(ctx, held.Guard(txn))
//	}
package lease

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/loop"
	"github.com/chivetiller/chivetiller/provider"
)

const (
	leasePrefix = "lease/"
	fencePrefix = "fence/"
)

// Options configure a manager. Fields that are 0 have the defaults stated.
type Options struct {
	Table provider.Table
	// Holder names the process and its incarnation. It never repeats.
	Holder string
	// Duties are all duties that this process may hold.
	Duties []string
	Logger hclog.Logger
	// LeaseDuration is how long a lease is held after a renewal. The default is 10 s.
	LeaseDuration time.Duration
	// Margin covers differences in the rates of clocks. The default is 1 s.
	Margin time.Duration
	// Interval is the time between rounds. The default is a quarter of the term.
	Interval time.Duration
}

const (
	defaultTerm     = 10 * time.Second
	defaultMargin   = time.Second
	roundsPerTerm   = 4
	maxRoundRepeats = 4
)

// leaseRow is the value of the row lease/{duty}. Without a holder, the lease is free.
type leaseRow struct {
	Holder string `json:"holder,omitempty"`
	// Count grows with each renewal.
	Count uint64 `json:"count"`
}

// fenceRow is the value of the row fence/{duty}. It changes only when the holder does.
type fenceRow struct {
	Token  uint64 `json:"token"`
	Holder string `json:"holder"`
}

// Lease is a duty that this process holds.
type Lease struct {
	duty    string
	token   uint64
	version uint64
	until   time.Time
}

// Duty returns the name of the duty.
func (l Lease) Duty() string { return l.duty }

// Token returns the fencing token. It is greater than that of all earlier holders.
func (l Lease) Token() uint64 { return l.token }

// ExpiresAt returns the end of the lease on the own clock. It moves with each renewal.
func (l Lease) ExpiresAt() time.Time { return l.until }

// Check returns the check that no other process has taken over the duty.
func (l Lease) Check() provider.Check {
	return provider.Check{Key: fencePrefix + l.duty, Version: l.version}
}

// Guard returns the transaction with a check that no other process has taken over the duty.
func (l Lease) Guard(txn provider.Txn) provider.Txn {
	// Clip makes append copy, so that the checks of the caller's transaction stay as they are.
	txn.Checks = append(slices.Clip(txn.Checks), l.Check())
	return txn
}

// Manager acquires and renews the leases of one process.
type Manager struct {
	o       Options
	logger  hclog.Logger
	renewal *loop.Loop
	// syncing is held by the one round that runs at a time.
	syncing sync.Mutex

	mu       sync.Mutex
	limit    int
	duties   map[string]*duty
	stopping bool
}

// duty is what the manager knows of one duty.
type duty struct {
	name         string
	lease        leaseRow
	leaseVersion uint64
	fence        fenceRow
	fenceVersion uint64
	// since is when the renewal count was first seen, on the own clock.
	since time.Time
	// until is the end of the own lease.
	until time.Time
	// sent holds when a renewal was sent, by its count, until the count is seen in the row.
	sent map[uint64]time.Time
	// count is the highest renewal count that this process has used.
	count uint64
}

// NewManager returns a manager that holds nothing.
func NewManager(o Options) *Manager {
	if o.LeaseDuration <= 0 {
		o.LeaseDuration = defaultTerm
	}
	if o.Margin <= 0 {
		o.Margin = defaultMargin
	}
	if o.Interval <= 0 {
		o.Interval = o.LeaseDuration / roundsPerTerm
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	m := &Manager{o: o, logger: o.Logger.Named("lease"), limit: len(o.Duties), duties: make(map[string]*duty)}
	m.renewal = loop.New(loop.Jittered(o.Interval, nil, m.round))
	for _, name := range o.Duties {
		m.duties[name] = &duty{name: name, sent: make(map[uint64]time.Time)}
	}
	return m
}

// SetLimit sets how many duties this process takes, such as all duties divided by the entry instances. A
// duty that nobody has taken for another term is taken beyond the limit. Duties above it are given up one a round.
func (m *Manager) SetLimit(limit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
}

// Held returns the lease of a duty if this process holds it. Writes for the duty still need [Lease.Guard].
func (m *Manager) Held(name string) (Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.duties[name]
	if !ok || m.stopping || !d.held(m.o.Holder, time.Now()) {
		return Lease{}, false
	}
	return Lease{duty: name, token: d.fence.Token, version: d.fenceVersion, until: d.until}, true
}

// Duties returns the duties that this process holds.
func (m *Manager) Duties() []Lease {
	var held []Lease
	for _, name := range m.o.Duties {
		if l, ok := m.Held(name); ok {
			held = append(held, l)
		}
	}
	return held
}

// Holder returns who held a duty when it was last read, and the fencing token.
func (m *Manager) Holder(name string) (holder string, token uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d, ok := m.duties[name]; ok {
		return d.lease.Holder, d.fence.Token
	}
	return "", 0
}

func (d *duty) held(holder string, now time.Time) bool {
	return d.own(holder) && now.Before(d.until)
}

// own reports whether the rows name the holder.
func (d *duty) own(holder string) bool {
	return d.lease.Holder == holder && d.fence.Holder == holder
}

func decode[T any](row provider.Row, to *T) error {
	return eris.Wrapf(json.Unmarshal(row.Value, to), "decode row %q", row.Key)
}

func encode(value any) []byte {
	// Both rows have no field that fails to encode.
	data, _ := json.Marshal(value)
	return data
}
