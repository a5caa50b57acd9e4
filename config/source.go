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
	// maxPolls is the largest number of concurrent polls. Polls overlap when the platform takes longer to respond than
	// the interval, so that the age of the configuration still stays at one interval plus one round trip.
	maxPolls = 4
	// pollTimeout ends a poll whose response would be too old to be useful.
	pollTimeout = 4 * time.Second
	// maxRecentChanges is the number of changes that a source keeps for peers with an older version.
	maxRecentChanges = 64
)

// SourceOptions are the settings of a Source.
type SourceOptions struct {
	Policy   Policy
	Interval time.Duration
	Logger   hclog.Logger
}

// Source keeps the configuration of one entry instance current: it polls the platform, and exchanges confirmations
// and changes with its peers. The version in force never decreases. Source is safe for concurrent use.
type Source struct {
	store    *Store
	policy   Policy
	interval time.Duration
	logger   hclog.Logger

	state     atomic.Pointer[state]
	pollSlots chan struct{}
	ready     chan struct{}

	mu            sync.Mutex // guards writes of state and the fields below
	createdAt     time.Time
	recentChanges []Change
	cancel        context.CancelFunc
	running       sync.WaitGroup
}

type state struct {
	snapshot *Snapshot
	// confirmedAt is the latest time at which the platform is known to have had no newer version than the snapshot.
	// It is zero before the first confirmation.
	confirmedAt time.Time
	// activatedAt is the time at which the snapshot came into force.
	activatedAt time.Time
	// changed is closed when a newer version comes into force.
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
		store:     store,
		policy:    o.Policy.withDefaults(),
		interval:  o.Interval,
		logger:    o.Logger.Named("config"),
		pollSlots: make(chan struct{}, maxPolls),
		ready:     make(chan struct{}),
		createdAt: time.Now(),
	}
	s.state.Store(&state{snapshot: buildSnapshot(0, map[Ref]Document{}), changed: make(chan struct{})})
	return s
}

// Start starts polling the platform and returns at once. It fails if the policy is invalid. See [Source.WaitReady].
func (s *Source) Start(context.Context) error {
	if err := s.policy.Check(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	s.running.Go(func() { s.pollLoop(ctx) })
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

// WaitReady returns once the configuration has been confirmed to be current at a time after the source was created.
// A confirmation from before that time, which a peer can pass on, does not count: the previous process of this
// entry instance may have had a newer version in force since then.
func (s *Source) WaitReady(ctx context.Context) error {
	select {
	case <-s.ready:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for the configuration")
	}
}

// Ready returns a channel that is closed once the configuration may be served. See [Source.WaitReady].
func (s *Source) Ready() <-chan struct{} { return s.ready }

// Snapshot returns the configuration in force.
func (s *Source) Snapshot() *Snapshot { return s.state.Load().snapshot }

// Age returns the time since the configuration was last confirmed to be current. It is unknown before the first confirmation.
func (s *Source) Age() (age time.Duration, known bool) { return s.state.Load().age() }

func (s *state) age() (time.Duration, bool) {
	if s.confirmedAt.IsZero() {
		return 0, false
	}
	return time.Since(s.confirmedAt), true
}

// SnapshotForKeys returns the configuration in force. It fails with [ErrKeysStale] if the last confirmation of that
// configuration is too old to check keys. A pause during the call makes the confirmation look older, never newer.
func (s *Source) SnapshotForKeys() (*Snapshot, error) {
	st := s.state.Load()
	if err := s.policy.CheckAge(st.age()); err != nil {
		return nil, err
	}
	return st.snapshot, nil
}

// Report returns the version in force and the time since it was last confirmed to be current.
func (s *Source) Report() (version uint64, age time.Duration, known bool) {
	st := s.state.Load()
	age, known = st.age()
	return st.snapshot.version, age, known
}

// Changed returns a channel that is closed when a newer version than the present one comes into force.
func (s *Source) Changed() <-chan struct{} { return s.state.Load().changed }

// Policy returns the policy for keyed work.
func (s *Source) Policy() Policy { return s.policy }

// Authenticate returns the team of a key. It fails with [ErrKeysStale] if the last confirmation is too old to
// check keys, and with [ErrUnknownKey]. Callers check the key again when they dispatch work that has waited.
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

// AuthenticateOperator returns the name of an operator key. It fails in the same way as [Source.Authenticate].
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

// pollLoop polls at once and then at the interval. The phase is random, so that the polls of instances that were
// started together are spread out: the first instance to read a new version passes it on to the others.
func (s *Source) pollLoop(ctx context.Context) {
	phase := time.NewTimer(time.Duration(rand.Int64N(int64(s.interval))))
	defer phase.Stop()
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case s.pollSlots <- struct{}{}:
			s.running.Go(func() {
				defer func() { <-s.pollSlots }()
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

// Poll reads the current version from the platform and puts it in force. It fails with [ErrOlderVersion]
// if the platform has lost a version that is in force here.
func (s *Source) Poll(ctx context.Context) error {
	sentAt := time.Now()
	h, err := s.store.readHead(ctx, "")
	if err != nil {
		return err
	}
	from := s.Snapshot()
	if h.version < from.version {
		// A concurrent poll or a peer may have delivered the newer version during this poll.
		// Only a read that began after the version came into force here shows a fault of the platform.
		if sentAt.Before(s.state.Load().activatedAt) {
			return nil
		}
		err := eris.Wrapf(ErrOlderVersion, "version %d after version %d", h.version, from.version)
		s.logger.Error("Platform returned an older configuration; the newer one stays in force.", "error", err)
		return err
	}
	next := from
	if h.version > from.version {
		if next, err = s.fetchSnapshot(ctx, from, h.version); err != nil {
			return err
		}
	}
	s.activate(next, sentAt)
	return nil
}

// fetchSnapshot returns the snapshot at the version or at a newer one. It reads only the changes since the given
// snapshot if it can, and keeps them for peers.
func (s *Source) fetchSnapshot(ctx context.Context, from *Snapshot, version uint64) (*Snapshot, error) {
	if from.version == 0 || version-from.version > maxVersionGap {
		return s.store.readSnapshot(ctx, version)
	}
	changes, err := s.store.readChanges(ctx, from.version, version)
	if err != nil {
		return nil, err
	}
	if changes == nil {
		return s.store.readSnapshot(ctx, version)
	}
	next, err := applyChanges(from, changes)
	if err != nil {
		return nil, err
	}
	s.recordRecentChanges(changes)
	return next, nil
}

// recordRecentChanges adds the changes to the list for peers, which holds consecutive versions.
func (s *Source) recordRecentChanges(changes []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		switch last := len(s.recentChanges) - 1; {
		case last >= 0 && c.Version <= s.recentChanges[last].Version:
			continue
		case last >= 0 && c.Version != s.recentChanges[last].Version+1:
			s.recentChanges = nil
		}
		s.recentChanges = append(s.recentChanges, c)
	}
	if extra := len(s.recentChanges) - maxRecentChanges; extra > 0 {
		s.recentChanges = append([]Change(nil), s.recentChanges[extra:]...)
	}
}

// activate puts the snapshot in force if it is newer than the present one, and records that the platform had no
// newer version than it at the given time. A zero time confirms nothing.
func (s *Source) activate(next *Snapshot, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.state.Load()
	st := *old
	if next.version > old.snapshot.version {
		st.snapshot = next
		st.activatedAt = time.Now()
		st.changed = make(chan struct{})
	}
	if at.After(old.confirmedAt) {
		st.confirmedAt = at
	}
	s.state.Store(&st)
	if st.snapshot != old.snapshot {
		close(old.changed)
		s.logger.Info("Configuration is in force.", "version", next.version)
		for _, p := range next.problems {
			s.logger.Error("Document failed the checks of this process and is ignored.", "document", p.Ref.String(), "error", p.Detail)
		}
	}
	select {
	case <-s.ready:
	default:
		if !st.confirmedAt.Before(s.createdAt) {
			close(s.ready)
		}
	}
}

// Observe records the confirmation of a peer: at the given time, which is on the clock of this process, the platform
// had no newer version than the given one. It returns false if this source has an older version and
// needs a [Delta] first.
func (s *Source) Observe(version uint64, at time.Time) bool {
	snapshot := s.Snapshot()
	if snapshot.version < version {
		return false
	}
	s.activate(snapshot, at)
	return true
}

// Delta holds what a peer needs to reach a version.
type Delta struct {
	Version uint64 `json:"version"`
	// Changes are those after the peer's version up to Version. If the source no longer has them all, Documents
	// holds the whole set.
	Changes   []Change   `json:"changes,omitempty"`
	Documents []Document `json:"documents,omitempty"`
}

// Delta returns the encoded [Delta] from the version of a peer to the version in force here.
func (s *Source) Delta(after uint64) ([]byte, error) {
	snapshot := s.Snapshot()
	delta := Delta{Version: snapshot.version}
	s.mu.Lock()
	for _, c := range s.recentChanges {
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

// Accept puts the encoded delta of a peer in force if its version is newer than the one in force here.
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
		s.activate(buildSnapshot(delta.Version, documents), time.Time{})
		return nil
	}
	for len(delta.Changes) > 0 && delta.Changes[0].Version <= from.version {
		delta.Changes = delta.Changes[1:]
	}
	next, err := applyChanges(from, delta.Changes)
	if err != nil {
		return err
	}
	s.recordRecentChanges(delta.Changes)
	s.activate(next, time.Time{})
	return nil
}
