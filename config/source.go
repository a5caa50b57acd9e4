package config

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/team"
)

const (
	// DefaultInterval is the time between polls of the current version.
	DefaultInterval = 500 * time.Millisecond
	// maxPolls bounds the polls in flight. With several in flight the age of the configuration stays
	// at one interval plus one round trip when the platform takes longer than the interval.
	maxPolls = 4
	// pollTimeout ends a poll that can no longer confirm anything useful.
	pollTimeout = 4 * time.Second
	// maxRecent is how many changes a source keeps for peers that are behind.
	maxRecent = 64
)

// SourceOptions are the settings of a Source.
type SourceOptions struct {
	Policy   Policy
	Interval time.Duration
	Logger   hclog.Logger
}

// Source is the configuration that is in force in one entry instance. It is safe for concurrent use.
// Its version never decreases.
type Source struct {
	store    *Store
	policy   Policy
	interval time.Duration
	logger   hclog.Logger

	state atomic.Pointer[state]
	polls chan struct{}
	ready chan struct{}

	mu      sync.Mutex // guards writes of state and the fields below
	started time.Time
	recent  []Change
	cancel  context.CancelFunc
	running sync.WaitGroup
}

type state struct {
	snapshot *Snapshot
	// confirmed is an instant at which no version after the snapshot's had been accepted. It is zero before the first confirmation.
	confirmed time.Time
	// since is when the snapshot was put in force.
	since time.Time
	// changed is closed when a later version is in force.
	changed chan struct{}
}

// NewSource returns a source with an empty configuration that has not been confirmed.
func NewSource(store *Store, o SourceOptions) *Source {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	s := &Source{
		store:    store,
		policy:   o.Policy.withDefaults(),
		interval: o.Interval,
		logger:   o.Logger.Named("config"),
		polls:    make(chan struct{}, maxPolls),
		ready:    make(chan struct{}),
		started:  time.Now(),
	}
	s.state.Store(&state{snapshot: build(0, map[Ref]Document{}), changed: make(chan struct{})})
	return s
}

// Start begins to poll the platform and returns at once. See [Source.WaitReady].
func (s *Source) Start(context.Context) error {
	if err := s.policy.Check(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	s.running.Go(func() { s.run(ctx) })
	return nil
}

// Stop ends polling. The last snapshot stays readable.
func (s *Source) Stop(context.Context) error {
	s.mu.Lock()
	cancel := s.cancel
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	s.running.Wait()
	return nil
}

// WaitReady returns once the configuration was confirmed at an instant after the source was made.
// An earlier confirmation that a peer passed on does not count: the process that this one replaces
// may have seen a later version since then.
func (s *Source) WaitReady(ctx context.Context) error {
	select {
	case <-s.ready:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for the configuration")
	}
}

// Ready is closed once the configuration may be served. See [Source.WaitReady].
func (s *Source) Ready() <-chan struct{} { return s.ready }

// Snapshot returns the configuration in force.
func (s *Source) Snapshot() *Snapshot { return s.state.Load().snapshot }

// Age returns the time since the configuration was certainly current. It is unknown before the first confirmation.
func (s *Source) Age() (age time.Duration, known bool) { return s.state.Load().age() }

func (s *state) age() (time.Duration, bool) {
	if s.confirmed.IsZero() {
		return 0, false
	}
	return time.Since(s.confirmed), true
}

// Report returns the version in force with the time since it was certainly current.
func (s *Source) Report() (version uint64, age time.Duration, known bool) {
	st := s.state.Load()
	age, known = st.age()
	return st.snapshot.version, age, known
}

// Changed returns a channel that is closed when a later version than the present one is in force.
func (s *Source) Changed() <-chan struct{} { return s.state.Load().changed }

// Policy returns the policy for keyed work.
func (s *Source) Policy() Policy { return s.policy }

// Authenticate returns the team of a key. It fails with [ErrKeysStale] if keys cannot be checked
// now, and with [ErrUnknownKey]. The caller repeats the call when work that has waited is dispatched.
func (s *Source) Authenticate(key string) (team.Team, error) {
	st := s.state.Load()
	if err := s.policy.CheckAge(st.age()); err != nil {
		return team.Team{}, err
	}
	t, ok := st.snapshot.TeamByKey(key)
	if !ok {
		return team.Team{}, ErrUnknownKey
	}
	return t, nil
}

// AuthenticateOperator returns the name of an operator's key. It fails as [Source.Authenticate] does.
func (s *Source) AuthenticateOperator(key string) (string, error) {
	st := s.state.Load()
	if err := s.policy.CheckAge(st.age()); err != nil {
		return "", err
	}
	name, ok := st.snapshot.OperatorByKey(key)
	if !ok {
		return "", ErrUnknownKey
	}
	return name, nil
}

// run polls at once, then at the interval. The phase is random, so that instances that were started together
// do not poll together: the first to see a version tells the others.
func (s *Source) run(ctx context.Context) {
	phase := time.NewTimer(time.Duration(rand.Int64N(int64(s.interval))))
	defer phase.Stop()
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case s.polls <- struct{}{}:
			s.running.Go(func() {
				defer func() { <-s.polls }()
				ctx, cancel := context.WithTimeout(ctx, pollTimeout)
				defer cancel()
				if err := s.Poll(ctx); err != nil && !errors.Is(err, context.Canceled) {
					s.logger.Debug("Configuration poll failed.", "error", err)
				}
			})
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-phase.C:
			ticker.Reset(s.interval)
		case <-ticker.C:
		}
	}
}

// Poll reads the current version from the platform and brings this source up to it.
func (s *Source) Poll(ctx context.Context) error {
	sent := time.Now()
	h, err := s.store.head(ctx, "")
	if err != nil {
		return err
	}
	from := s.Snapshot()
	if h.version < from.version {
		// Polls can overtake each other, and peers can be faster than a poll.
		// Only a read that began after the version was in force here shows a fault of the platform.
		if sent.Before(s.state.Load().since) {
			return nil
		}
		err := eris.Wrapf(ErrOlderVersion, "version %d after version %d", h.version, from.version)
		s.logger.Error("Platform went back to an older configuration. The newer one stays in force.", "error", err)
		return err
	}
	next := from
	if h.version > from.version {
		if next, err = s.fetch(ctx, from, h.version); err != nil {
			return err
		}
	}
	s.advance(next, sent)
	return nil
}

// fetch reads what lies between a snapshot and a version, and keeps the changes for peers.
func (s *Source) fetch(ctx context.Context, from *Snapshot, version uint64) (*Snapshot, error) {
	if from.version == 0 || version-from.version > maxDelta {
		return s.store.load(ctx, version)
	}
	changes, err := s.store.changes(ctx, from.version, version)
	if err != nil {
		return nil, err
	}
	if changes == nil {
		return s.store.load(ctx, version)
	}
	next, err := applyAll(from, changes)
	if err != nil {
		return nil, err
	}
	s.remember(changes)
	return next, nil
}

func (s *Source) remember(changes []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		switch last := len(s.recent) - 1; {
		case last >= 0 && c.Version <= s.recent[last].Version:
			continue
		case last >= 0 && c.Version != s.recent[last].Version+1:
			s.recent = nil
		}
		s.recent = append(s.recent, c)
	}
	if extra := len(s.recent) - maxRecent; extra > 0 {
		s.recent = append([]Change(nil), s.recent[extra:]...)
	}
}

// advance puts the snapshot in force if it is later, and records that no version after it had been accepted at the instant.
func (s *Source) advance(next *Snapshot, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.state.Load()
	st := *old
	if next.version > old.snapshot.version {
		st.snapshot = next
		st.since = time.Now()
		st.changed = make(chan struct{})
	}
	if at.After(old.confirmed) {
		st.confirmed = at
	}
	s.state.Store(&st)
	if st.snapshot != old.snapshot {
		close(old.changed)
		s.logger.Info("Configuration is in force.", "version", next.version)
		for _, p := range next.problems {
			s.logger.Error("Document is not usable in this process and is left out.", "document", p.Ref.String(), "error", p.Detail)
		}
	}
	select {
	case <-s.ready:
	default:
		if !st.confirmed.Before(s.started) {
			close(s.ready)
		}
	}
}

// Observe records what a peer said: at the instant, no version after the given one had been accepted.
// The instant is on the clock of this process. It returns false if this source is behind the version
// and has to receive a [Delta] first.
func (s *Source) Observe(version uint64, at time.Time) bool {
	snapshot := s.Snapshot()
	if snapshot.version < version {
		return false
	}
	s.advance(snapshot, at)
	return true
}

// Delta is what a peer needs to reach a version.
type Delta struct {
	Version uint64 `json:"version"`
	// Changes lead from the peer's version to Version. If they are not known any more, Documents is the whole set.
	Changes   []Change   `json:"changes,omitempty"`
	Documents []Document `json:"documents,omitempty"`
}

// Delta returns the encoded difference between the version of a peer and the version in force here.
func (s *Source) Delta(after uint64) ([]byte, error) {
	snapshot := s.Snapshot()
	delta := Delta{Version: snapshot.version}
	s.mu.Lock()
	for _, c := range s.recent {
		if c.Version > after && c.Version <= snapshot.version {
			delta.Changes = append(delta.Changes, c)
		}
	}
	s.mu.Unlock()
	if after < snapshot.version && uint64(len(delta.Changes)) != snapshot.version-after {
		delta.Changes, delta.Documents = nil, snapshot.Documents()
	}
	return json.Marshal(delta)
}

// Accept puts a peer's delta in force if it is later than what is in force here.
func (s *Source) Accept(data []byte) error {
	var delta Delta
	if err := json.Unmarshal(data, &delta); err != nil {
		return eris.Wrap(err, "configuration delta")
	}
	from := s.Snapshot()
	if delta.Version <= from.version {
		return nil
	}
	if len(delta.Changes) == 0 {
		documents := make(map[Ref]Document, len(delta.Documents))
		for _, d := range delta.Documents {
			documents[d.Ref()] = d
		}
		s.advance(build(delta.Version, documents), time.Time{})
		return nil
	}
	for len(delta.Changes) > 0 && delta.Changes[0].Version <= from.version {
		delta.Changes = delta.Changes[1:]
	}
	next, err := applyAll(from, delta.Changes)
	if err != nil {
		return err
	}
	s.remember(delta.Changes)
	s.advance(next, time.Time{})
	return nil
}
