// Package lease assigns duties, which are control loops that only one process may run at a time. A process runs a
// duty while it holds the lease of the duty. A fencing token makes sure that a process that was paused cannot write
// for a duty that another process has taken over.
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
	// LeaseDuration is the time after a renewal when a lease expires. The default is 10 s.
	LeaseDuration time.Duration
	// Margin is added to the lease duration before a lease is taken over, since the clocks of two processes may run
	// at different rates. The default is 1 s.
	Margin time.Duration
	// Interval is the time between renewals. The default is a quarter of the lease duration.
	Interval time.Duration
}

const (
	defaultLeaseDuration = 10 * time.Second
	defaultMargin        = time.Second
	roundsPerDuration    = 4
	maxConflictRetries   = 4
)

// leaseRow is the value of the row lease/{duty}. The lease is free if it has no holder.
type leaseRow struct {
	Holder string `json:"holder,omitempty"`
	// Count grows with each renewal.
	Count uint64 `json:"count"`
}

// fenceRow is the value of the row fence/{duty}. It changes only when the holder changes, so that renewals do not
// conflict with transactions that check it.
type fenceRow struct {
	Token  uint64 `json:"token"`
	Holder string `json:"holder"`
}

// Lease is the lease of a duty that this process holds.
type Lease struct {
	duty      string
	token     uint64
	version   uint64
	expiresAt time.Time
}

// Duty returns the name of the duty.
func (l Lease) Duty() string { return l.duty }

// Token returns the fencing token. It is greater than those of all previous holders.
func (l Lease) Token() uint64 { return l.token }

// ExpiresAt returns the time on the local clock when the lease expires unless it is renewed.
func (l Lease) ExpiresAt() time.Time { return l.expiresAt }

// Check returns the transaction check that no other process has taken over the duty.
func (l Lease) Check() provider.Check {
	return provider.Check{Key: fencePrefix + l.duty, Version: l.version}
}

// Guard returns the transaction with the check that no other process has taken over the duty. The transaction then
// fails with [provider.ErrConflict] if one has.
func (l Lease) Guard(txn provider.Txn) provider.Txn {
	// Clip makes append allocate, so that the checks of the caller's transaction are not changed.
	txn.Checks = append(slices.Clip(txn.Checks), l.Check())
	return txn
}

// Manager acquires and renews the leases of one process.
type Manager struct {
	o       Options
	logger  hclog.Logger
	renewal *loop.Loop
	// syncMutex makes sure that only one [Manager.Sync] runs at a time.
	syncMutex sync.Mutex

	mu       sync.Mutex
	limit    int
	duties   map[string]*duty
	stopping bool
}

// duty holds the rows of a duty as they were last read, and the state of this process's renewals.
type duty struct {
	name         string
	lease        leaseRow
	leaseVersion uint64
	fence        fenceRow
	fenceVersion uint64
	// unchangedSince is the time on the local clock when the present lease row was first read.
	unchangedSince time.Time
	// expiresAt is the time when the lease expires if this process holds it.
	expiresAt time.Time
	// sentAt holds the times when renewals were sent, by renewal count, until the count is read from the row.
	sentAt map[uint64]time.Time
	// count is the highest renewal count that this process has used.
	count uint64
}

// NewManager returns a manager that holds no leases.
func NewManager(o Options) *Manager {
	if o.LeaseDuration <= 0 {
		o.LeaseDuration = defaultLeaseDuration
	}
	if o.Margin <= 0 {
		o.Margin = defaultMargin
	}
	if o.Interval <= 0 {
		o.Interval = o.LeaseDuration / roundsPerDuration
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	m := &Manager{o: o, logger: o.Logger.Named("lease"), limit: len(o.Duties), duties: make(map[string]*duty)}
	m.renewal = loop.New(m.renewPeriodically)
	for _, name := range o.Duties {
		m.duties[name] = &duty{name: name, sentAt: make(map[uint64]time.Time)}
	}
	return m
}

// SetLimit sets how many leases this process acquires, such as the number of duties divided by that of the entry
// instances. A lease that has remained free for one more lease duration is acquired even beyond the limit. Of leases
// in excess of the limit, each renewal interval releases one.
func (m *Manager) SetLimit(limit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
}

// Held returns the lease of a duty, and whether this process holds it. Writes for the duty still need [Lease.Guard],
// since the lease can expire at any time.
func (m *Manager) Held(name string) (Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.duties[name]
	if !ok || m.stopping || !d.heldBy(m.o.Holder, time.Now()) {
		return Lease{}, false
	}
	return Lease{duty: name, token: d.fence.Token, version: d.fenceVersion, expiresAt: d.expiresAt}, true
}

// HeldLeases returns the leases that this process holds.
func (m *Manager) HeldLeases() []Lease {
	var held []Lease
	for _, name := range m.o.Duties {
		if l, ok := m.Held(name); ok {
			held = append(held, l)
		}
	}
	return held
}

// Holder returns the holder of a duty and its fencing token as they were last read from the table.
func (m *Manager) Holder(name string) (holder string, token uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d, ok := m.duties[name]; ok {
		return d.lease.Holder, d.fence.Token
	}
	return "", 0
}

// heldBy reports whether the holder has the lease and it has not expired.
func (d *duty) heldBy(holder string, now time.Time) bool {
	return d.assignedTo(holder) && now.Before(d.expiresAt)
}

// assignedTo reports whether both rows name the holder, whether or not the lease has expired.
func (d *duty) assignedTo(holder string) bool {
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
