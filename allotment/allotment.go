// Package allotment keeps each team within its upper limit over all entry instances. It is a distributed quota: each
// entry instance holds an allotment, which is a share of the team's limit, for a lease duration, and admits requests
// against it without contacting any other process. Jobs count against the same limit.
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
	// ErrLimit means that the team has used up the allotment of this entry instance.
	ErrLimit = errors.New("team is at its upper limit")
	// ErrExpired means that the allotment has expired because it was not renewed, or that the holder is stopping.
	ErrExpired = errors.New("allotment is not held")
)

// Options configure a holder. Fields that are 0 have the defaults stated.
type Options struct {
	Table provider.Table
	// Holder names the process and its incarnation. It never repeats.
	Holder string
	Logger hclog.Logger
	// LeaseDuration is the time after a renewal when an allotment expires. The default is 30 s.
	LeaseDuration time.Duration
	// MaxRun is the maximum time from [Permit.Check] to the end of a request. The default is 1 min.
	MaxRun time.Duration
	// Margin is added to the time after which the allotment of a failed holder is reclaimed, since the clocks of two
	// processes may run at different rates. The default is 2 s.
	Margin time.Duration
	// Interval is the time between reads of the rows. The default is 1 s.
	Interval time.Duration
	// MaxBatch is the maximum number of teams in a transaction. The default is 64.
	MaxBatch int
}

const (
	defaultLeaseDuration = 30 * time.Second
	defaultMaxRun        = time.Minute
	defaultMargin        = 2 * time.Second
	defaultInterval      = time.Second
	defaultMaxBatch      = 64
)

// Holder holds the allotments of one entry instance.
type Holder struct {
	o       Options
	logger  hclog.Logger
	wake    chan struct{}
	renewal *loop.Loop
	// syncMutex makes sure that only one [Holder.Sync] runs at a time.
	syncMutex sync.Mutex

	mu       sync.Mutex
	teams    map[string]*teamAllotment
	version  uint64
	stopping bool
	// count is the last renewal count. No count is used twice, not even for different teams, so that peers detect
	// each renewal as a change.
	count uint64
}

// teamAllotment is the state of the allotment of one team.
type teamAllotment struct {
	team  string
	limit int
	// held is the amount that the row confirms. It may be used until expiresAt.
	held      int
	expiresAt time.Time
	// generation counts how often the allotment was lost. Each loss invalidates all permits whose requests have not
	// been sent yet.
	generation uint64
	inUse      int
	// peak is the maximum of inUse in the present window. deniedInWindow reports whether a request was denied in the
	// window, and denied counts the requests that were denied since the last write.
	peak           int
	deniedInWindow bool
	denied         int
	windowStart    time.Time
	jobDemand      int
	// publishedDemand is the last wanted amount that was written because requests were denied.
	publishedDemand int

	version   uint64
	record    record
	peers     map[string]peerRenewal
	renewedAt time.Time
	attempts  []attempt
}

// peerRenewal is a renewal count of another holder and the time on the local clock when it was first read.
type peerRenewal struct {
	count       uint64
	firstReadAt time.Time
}

// attempt is a transaction that may or may not have changed the row.
type attempt struct {
	// baseVersion is the version of the row that the transaction requires.
	baseVersion uint64
	count       uint64
	amount      int
	sentAt      time.Time
}

// usableAmount returns how many requests may run. If a transaction that shrinks the allotment may take effect, the
// smaller amount counts.
func (a *teamAllotment) usableAmount() int {
	n := min(a.held, max(a.limit, 0))
	for _, t := range a.attempts {
		n = min(n, t.amount)
	}
	return n
}

// isGone reports whether the team was removed from the configuration and nothing of its allotment is left.
func (a *teamAllotment) isGone(holder string) bool {
	_, listed := a.record.Holders[holder]
	return a.limit <= 0 && a.version != 0 && !listed && a.inUse == 0 && len(a.attempts) == 0
}

// wantedAmount returns the amount that this entry instance could use now.
func (a *teamAllotment) wantedAmount() int {
	n := max(a.peak, a.inUse, a.publishedDemand)
	if a.denied > 0 {
		// Denied requests are only a lower bound of the demand, so the amount is doubled until no request is denied.
		n = max(n+a.denied, 2*max(a.held, a.publishedDemand))
	}
	return min(n, max(a.limit, 0))
}

// recordPublished records that a wanted amount is being written to the row.
func (a *teamAllotment) recordPublished(want int) {
	if a.denied > 0 {
		a.publishedDemand, a.denied, a.deniedInWindow = want, 0, true
	}
}

// advanceWindow begins a new window if the present one is over. The published demand is kept until a whole window has
// passed without a denied request. If it followed every change at once, the allotments of all holders would change
// all the time.
func (a *teamAllotment) advanceWindow(now time.Time, window time.Duration) {
	if now.Sub(a.windowStart) < window {
		return
	}
	if !a.deniedInWindow && a.denied == 0 {
		a.publishedDemand = 0
	}
	a.windowStart, a.peak, a.deniedInWindow = now, a.inUse, false
}

// NewHolder returns a holder without teams.
func NewHolder(o Options) *Holder {
	if o.LeaseDuration <= 0 {
		o.LeaseDuration = defaultLeaseDuration
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
	h := &Holder{o: o, logger: o.Logger.Named("allotment"), wake: make(chan struct{}, 1), teams: make(map[string]*teamAllotment)}
	h.renewal = loop.New(loop.Jittered(o.Interval, h.wake, h.syncAndPause))
	return h
}

// SetLimits sets the upper limits of all teams from a version of the configuration. A version that is older than the
// last one is ignored.
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
			a = &teamAllotment{team: team, peers: make(map[string]peerRenewal)}
			h.teams[team] = a
		}
		a.limit = limit
	}
	for team, a := range h.teams {
		if _, ok := limits[team]; !ok {
			a.limit = 0
		}
	}
	h.wakeLoop()
}

// Acquire returns a permit for one request. It fails with [ErrLimit] or [ErrExpired].
func (h *Holder) Acquire(team string) (*Permit, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.teams[team]
	if !ok || a.limit <= 0 {
		return nil, ErrLimit
	}
	if h.stopping || !time.Now().Before(a.expiresAt) {
		return nil, ErrExpired
	}
	if a.inUse >= a.usableAmount() {
		if a.denied == 0 {
			h.wakeLoop()
		}
		a.denied++
		return nil, ErrLimit
	}
	a.inUse++
	a.peak = max(a.peak, a.inUse)
	return &Permit{holder: h, account: a, generation: a.generation}, nil
}

// Permit allows one request to run. It has to be released.
type Permit struct {
	holder     *Holder
	account    *teamAllotment
	generation uint64
	released   bool
}

// Check returns nil if the request may still be sent. It fails with [ErrExpired] if the allotment was not renewed in
// time, for instance because the process was paused. The request must end within MaxRun after the call.
func (p *Permit) Check() error {
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	if p.released || p.generation != p.account.generation || !time.Now().Before(p.account.expiresAt) {
		return ErrExpired
	}
	return nil
}

// Release releases the permit. Further calls have no effect.
func (p *Permit) Release() {
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	if !p.released {
		p.released = true
		p.account.inUse--
	}
}

// Usage is the allotment of a team at this entry instance and its use.
type Usage struct {
	// Held is the number of requests that this entry instance may run at a time, and InUse the number that it runs.
	Held, InUse int
	// ExpiresAt is the time when the allotment expires unless it is renewed.
	ExpiresAt time.Time
	// Limit is the upper limit of the team in the configuration that this entry instance has.
	Limit int
	// Known reports whether this entry instance has read the row of the team. If not, InForce and Jobs are not valid.
	Known bool
	// InForce is the limit that is effective over the whole fleet. It is above Limit until all holders have shrunk
	// their allotments to a lowered limit.
	InForce int
	// Jobs is the number of running jobs over the whole fleet.
	Jobs int
}

// Usage returns the usage of a team. It is zero if the team is unknown.
func (h *Holder) Usage(team string) Usage {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.teams[team]
	if !ok {
		return Usage{}
	}
	return Usage{
		Held: a.held, InUse: a.inUse, ExpiresAt: a.expiresAt, Limit: a.limit, Jobs: a.record.Jobs,
		Known: a.version != 0, InForce: a.record.limitInForce(),
	}
}

func (h *Holder) wakeLoop() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
