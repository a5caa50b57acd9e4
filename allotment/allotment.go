// Package allotment keeps each team within its upper limit over all entry instances. Each entry instance
// holds a part of the limit for a term, and admits requests against its part without asking anyone.
//
// # Usage
//
//	holder := allotment.NewHolder(allotment.Options{Table: table, Holder: "entry-1/7"})
//	holder.SetLimits(version, map[string]int{"supervisors": 40})
//	err := holder.Start(ctx)
//	defer holder.Stop(ctx)
//	permit, err := holder.Acquire("supervisors")
//	...
//	err = permit.Check() // right before the first byte is sent
//	permit.Release()
package allotment

import (
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/loop"
	"github.com/chivetiller/chivetiller/provider"
)

var (
	// ErrLimit means that the team uses all that this entry instance holds for it.
	ErrLimit = errors.New("team is at its upper limit")
	// ErrExpired means that the term has passed without a renewal, or that the holder is stopping.
	ErrExpired = errors.New("allotment is not held")
)

// Options configure a holder. Fields that are 0 have the defaults stated.
type Options struct {
	Table provider.Table
	// Holder names the process and its incarnation. It never repeats.
	Holder string
	Logger hclog.Logger
	// LeaseDuration is how long a part is used after a renewal. The default is 30 s.
	LeaseDuration time.Duration
	// MaxRun bounds the time from Check to the end of a request. The default is 1 min.
	MaxRun time.Duration
	// Margin covers differences in the rates of clocks. The default is 2 s.
	Margin time.Duration
	// Interval is the time between looks at the rows. The default is 1 s.
	Interval time.Duration
	// MaxBatch is the largest number of teams in a transaction. The default is 64.
	MaxBatch int
}

const (
	defaultTerm     = 30 * time.Second
	defaultMaxRun   = time.Minute
	defaultMargin   = 2 * time.Second
	defaultInterval = time.Second
	defaultMaxBatch = 64
)

// Holder holds the parts of one entry instance.
type Holder struct {
	o       Options
	logger  hclog.Logger
	wake    chan struct{}
	renewal *loop.Loop
	// syncing is held by the one round that runs at a time.
	syncing sync.Mutex

	mu       sync.Mutex
	teams    map[string]*account
	version  uint64
	stopping bool
	// count is the last renewal count. No count is used twice, also not for another team, so that peers
	// see each renewal as a change.
	count uint64
}

// account is the part of one team.
type account struct {
	team  string
	limit int
	// held is the amount in the row as far as it is confirmed, and until the end of its term.
	held  int
	until time.Time
	// generation grows each time the part is lost, which ends all permits that were not dispatched.
	generation uint64
	inUse      int
	// peak is the largest inUse in the present window of a few rounds. short
	// reports whether a request was denied in it, and denied counts those since the last write.
	peak     int
	short    bool
	denied   int
	window   time.Time
	jobsWant int
	// demand is the last want that denied requests were the reason of.
	demand int

	version  uint64
	record   record
	seen     map[string]sighting
	renewed  time.Time
	attempts []attempt
}

// sighting is when a renewal count of another holder was first seen, on the own clock.
type sighting struct {
	count uint64
	since time.Time
}

// attempt is a transaction whose effect on the row is not known yet.
type attempt struct {
	// checked is the version of the row that the transaction requires.
	checked uint64
	count   uint64
	amount  int
	sent    time.Time
}

// usable returns how many requests may run. A part that is about to shrink counts as shrunk already.
func (a *account) usable() int {
	n := min(a.held, max(a.limit, 0))
	for _, t := range a.attempts {
		n = min(n, t.amount)
	}
	return n
}

// ended reports whether nothing is left of a team that the configuration no longer has.
func (a *account) ended(holder string) bool {
	_, listed := a.record.Holders[holder]
	return a.limit <= 0 && a.version != 0 && !listed && a.inUse == 0 && len(a.attempts) == 0
}

// want returns how much the part could use now.
func (a *account) want() int {
	n := max(a.peak, a.inUse, a.demand)
	if a.denied > 0 {
		// Demand beyond the part is known only as a lower bound, so that it is doubled until nothing is denied.
		n = max(n+a.denied, 2*max(a.held, a.demand))
	}
	return min(n, max(a.limit, 0))
}

// asked notes that the want is written.
func (a *account) asked(want int) {
	if a.denied > 0 {
		a.demand, a.denied, a.short = want, 0, true
	}
}

// roll begins a new window if the present one is over. The demand is kept for one window without a denied
// request: wants that follow each moment would make the parts of all holders change all the time.
func (a *account) roll(now time.Time, window time.Duration) {
	if now.Sub(a.window) < window {
		return
	}
	if !a.short && a.denied == 0 {
		a.demand = 0
	}
	a.window, a.peak, a.short = now, a.inUse, false
}

// NewHolder returns a holder without teams.
func NewHolder(o Options) *Holder {
	if o.LeaseDuration <= 0 {
		o.LeaseDuration = defaultTerm
	}
	if o.MaxRun <= 0 {
		o.MaxRun = defaultMaxRun
	}
	if o.Margin <= 0 {
		o.Margin = defaultMargin
	}
	if o.Interval <= 0 {
		o.Interval = defaultInterval
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	h := &Holder{o: o, logger: o.Logger.Named("allotment"), wake: make(chan struct{}, 1), teams: make(map[string]*account)}
	h.renewal = loop.New(loop.Jittered(o.Interval, h.wake, h.round))
	return h
}

// SetLimits sets the upper limits of all teams as of a version of the configuration. An older version than the last is ignored.
func (h *Holder) SetLimits(version uint64, limits map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version < h.version {
		return
	}
	h.version = version
	for team, limit := range limits {
		a, ok := h.teams[team]
		if !ok {
			a = &account{team: team, seen: make(map[string]sighting)}
			h.teams[team] = a
		}
		a.limit = limit
	}
	for team, a := range h.teams {
		if _, ok := limits[team]; !ok {
			a.limit = 0
		}
	}
	h.notify()
}

// Acquire takes a permit for one request or fails with [ErrLimit] or [ErrExpired].
func (h *Holder) Acquire(team string) (*Permit, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.teams[team]
	if !ok || a.limit <= 0 {
		return nil, ErrLimit
	}
	if h.stopping || !time.Now().Before(a.until) {
		return nil, ErrExpired
	}
	if a.inUse >= a.usable() {
		if a.denied == 0 {
			h.notify()
		}
		a.denied++
		return nil, ErrLimit
	}
	a.inUse++
	a.peak = max(a.peak, a.inUse)
	return &Permit{holder: h, account: a, generation: a.generation}, nil
}

// Permit allows one request to run.
type Permit struct {
	holder     *Holder
	account    *account
	generation uint64
	released   bool
}

// Check reports whether the request may still be sent. It fails with [ErrExpired] if the part was not
// renewed in time, for instance because the process was paused. The request must end within MaxRun after it.
func (p *Permit) Check() error {
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	if p.released || p.generation != p.account.generation || !time.Now().Before(p.account.until) {
		return ErrExpired
	}
	return nil
}

// Release gives the permit back. Further calls have no effect.
func (p *Permit) Release() {
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	if !p.released {
		p.released = true
		p.account.inUse--
	}
}

// Usage is how a team stands at this entry instance.
type Usage struct {
	// Held is the part of this entry instance, and InUse what runs under it.
	Held, InUse int
	// ExpiresAt is the end of the term.
	ExpiresAt time.Time
	// Limit is the limit in the configuration of this entry instance.
	Limit int
	// Known reports whether this entry instance has read the row of the team. InForce and Jobs mean nothing without.
	Known bool
	// InForce is the limit that holds over the whole fleet. It is above Limit while holders shrink to a lowered limit.
	InForce int
	// Jobs is the number of running jobs over the whole fleet.
	Jobs int
}

// Usage returns how a team stands.
func (h *Holder) Usage(team string) Usage {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.teams[team]
	if !ok {
		return Usage{}
	}
	return Usage{
		Held: a.held, InUse: a.inUse, ExpiresAt: a.until, Limit: a.limit, Jobs: a.record.Jobs,
		Known: a.version != 0, InForce: a.record.inForce(),
	}
}

// RequestSync makes the holder look at the rows at once, for instance because a peer asked for a part.
func (h *Holder) RequestSync() { h.notify() }

func (h *Holder) notify() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
