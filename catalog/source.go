package catalog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/common/loop"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/datacentres/evacuation"
	"github.com/chivetiller/chivetiller/store"
)

const (
	// changesWait is how long the store may delay its reply while nothing changes (long polling). A configuration has to be in
	// force within 2 s, also after a connection has stopped responding.
	changesWait = 700 * time.Millisecond
	// changesTimeout is how long such a call may take beyond changesWait.
	changesTimeout = 500 * time.Millisecond
	// retryPause is the pause after a failed call, and the time between two checks whether peers have to be queried.
	retryPause = 150 * time.Millisecond
	// queryPeersAfter is the time since the last confirmation after which peers are queried.
	queryPeersAfter = 1700 * time.Millisecond
)

// Decoder decodes the rows that the operator writes into the store.
type Decoder interface {
	Table() string
	ConfigRow() store.Key
	IsWave(row store.Row) bool
	DecodeConfig(value []byte) (*Catalog, error)
	DecodeWave(row store.Row) (instance.Wave, error)
	WaveStatus(row store.Key, finished bool) store.Put
	// IsEvacuation and DecodeEvacuation are called for removed rows, too, which have no value.
	IsEvacuation(row store.Row) bool
	DecodeEvacuation(row store.Row) (dataCentre string, err error)
}

// Snapshot is a configuration as the operator wrote it, the version of its row, and the time since the store last confirmed it.
type Snapshot struct {
	Value   []byte        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
}

// Peers queries other processes for their configuration.
type Peers interface {
	// Latest returns the newest configuration of the peers. Peers that have the given version of the row return it without a value.
	Latest(ctx context.Context, version uint64) (Snapshot, bool)
}

// SourceOptions are the options of a source.
type SourceOptions struct {
	Store   store.Store
	Clock   *store.Clock
	Decoder Decoder
	Peers   Peers
	Logger  hclog.Logger
}

// Source follows the configuration. It is safe for concurrent use.
type Source struct {
	options SourceOptions
	logger  hclog.Logger
	loops   []*loop.Loop

	mu      sync.Mutex
	current *Catalog
	// value is the configuration as the operator wrote it, and rowVersion the version of its row.
	value      []byte
	rowVersion uint64
	// confirmedAt is the last time at which the configuration was known to be the newest one, in local monotonic time.
	confirmedAt time.Duration
	// confirmedByStoreAt is the same for confirmations by the store alone, without peers.
	confirmedByStoreAt time.Duration
	waves              map[string]instance.Wave
	evacuations        evacuation.Rows
	// readVersion is the version up to which changes have been read. 0 means that all rows have to be read.
	readVersion uint64
}

// NewSource returns a source that is not started.
func NewSource(o SourceOptions) *Source {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	s := &Source{options: o, logger: o.Logger.Named("catalog"), waves: make(map[string]instance.Wave), current: New(0, 0, nil, nil, nil)}
	s.loops = []*loop.Loop{loop.New(s.readChanges), loop.New(loop.Every(retryPause, s.queryPeers))}
	return s
}

// Start starts to follow the configuration.
func (s *Source) Start() {
	for _, l := range s.loops {
		l.Start()
	}
}

// Stop stops following the configuration.
func (s *Source) Stop() {
	for _, l := range s.loops {
		l.Stop()
	}
}

// Current returns the current configuration. Its version is 0 as long as none has been read.
func (s *Source) Current() *Catalog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Age returns the time since the configuration was last known to be the newest one.
func (s *Source) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clock.Now() - s.confirmedAt
}

// Latest returns the configuration for a peer.
func (s *Source) Latest() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{Value: s.value, Version: s.rowVersion, Age: clock.Now() - s.confirmedByStoreAt}
}

// Waves returns the requests for maintenance, keyed by the name of their row.
func (s *Source) Waves() map[string]instance.Wave {
	s.mu.Lock()
	defer s.mu.Unlock()
	waves := make(map[string]instance.Wave, len(s.waves))
	for name, w := range s.waves {
		waves[name] = w
	}
	return waves
}

// Evacuations returns the evacuated data centres, as far as this process has read.
func (s *Source) Evacuations() evacuation.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.Set()
}

// Refresh reads all rows of the operator without waiting for changes, again and again until that succeeds or ctx is done. A leader that
// begins calls it, since its process may not have read changes for a while.
func (s *Source) Refresh(ctx context.Context) error {
	for {
		rows, err := s.options.Store.Scan(ctx, s.options.Decoder.Table(), "", "", "")
		if err == nil {
			s.options.Clock.Update(rows.Now)
			s.applyRows(rows, true)
			return nil
		}
		s.logger.Warn("Rows of the operator cannot be read.", "error", err)
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return err
		}
	}
}

// WaveStatus returns the row that reports the status of a wave to the operator.
func (s *Source) WaveStatus(name string, finished bool) store.Put {
	return s.options.Decoder.WaveStatus(store.Key{Name: name}, finished)
}

// readChanges reads the rows again and again until ctx is done.
func (s *Source) readChanges(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.readRows(ctx); err != nil && ctx.Err() == nil {
			s.logger.Warn("Configuration cannot be read.", "age", s.Age(), "error", err)
			select {
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
		}
	}
}

// readRows waits for the next changes and applies them. Without a previous version it reads all rows of the operator.
func (s *Source) readRows(ctx context.Context) error {
	s.mu.Lock()
	after := s.readVersion
	s.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, changesWait+changesTimeout)
	defer cancel()
	sent := clock.Now()
	var rows store.Rows
	var err error
	if after == 0 {
		rows, err = s.options.Store.Scan(limited, s.options.Decoder.Table(), "", "", "")
	} else {
		rows, err = s.options.Store.Changes(limited, s.options.Decoder.Table(), after, changesWait)
	}
	if errors.Is(err, store.ErrHistoryGone) {
		s.logger.Warn("Changes of the configuration are no longer in the history; all rows are read.", "after", after)
		s.mu.Lock()
		s.readVersion = 0
		s.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	s.options.Clock.Update(rows.Now)
	s.applyRows(rows, after == 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readVersion = rows.Version
	if s.current.Version > 0 {
		// The reply contains the rows as of some time after the request was sent.
		s.recordConfirmation(sent)
		s.confirmedByStoreAt = max(s.confirmedByStoreAt, sent)
	}
	return nil
}

// recordConfirmation records that the configuration was the newest one at a time, in local monotonic time.
func (s *Source) recordConfirmation(at time.Duration) { s.confirmedAt = max(s.confirmedAt, at) }

// applyRows applies changed rows, or all rows if they are complete. Evacuations whose rows are missing from those have ended.
func (s *Source) applyRows(rows store.Rows, complete bool) {
	var evacuated []string
	for _, row := range rows.Rows {
		if !s.options.Decoder.IsEvacuation(row) {
			s.applyRow(row)
			continue
		}
		dataCentre, err := s.options.Decoder.DecodeEvacuation(row)
		switch {
		case err != nil:
			s.logger.Error("Evacuation cannot be decoded.", "row", row.Name, "error", err)
		case complete && !row.Deleted:
			evacuated = append(evacuated, dataCentre)
		case complete:
		default:
			s.changeEvacuations(func(e *evacuation.Rows) { e.Apply(dataCentre, !row.Deleted, row.Version, clock.Now()) })
		}
	}
	s.changeEvacuations(func(e *evacuation.Rows) {
		if complete {
			e.Replace(evacuated, rows.Version, clock.Now())
		}
		e.Advance(rows.Version)
	})
}

// changeEvacuations changes the evacuations and logs the data centres whose evacuation begins or ends.
func (s *Source) changeEvacuations(change func(*evacuation.Rows)) {
	s.mu.Lock()
	before := s.evacuations.Set()
	change(&s.evacuations)
	after := s.evacuations.Set()
	s.mu.Unlock()
	for _, name := range after.Without(before) {
		s.logger.Info("Data centre is evacuated.", "dataCentre", name, "evacuated", after.Len())
	}
	for _, name := range before.Without(after) {
		s.logger.Info("Data centre is no longer evacuated.", "dataCentre", name, "for", clock.Now()-before.Since(name), "evacuated", after.Len())
	}
}

// applyRow decodes a changed row and applies it.
func (s *Source) applyRow(row store.Row) {
	switch {
	case row.Deleted:
	case row.Name == s.options.Decoder.ConfigRow().Name:
		s.applyConfig(row.Value, row.Version, "store")
	case s.options.Decoder.IsWave(row):
		w, err := s.options.Decoder.DecodeWave(row)
		if err != nil {
			s.logger.Error("Request for maintenance cannot be decoded.", "row", row.Name, "error", err)
			return
		}
		s.mu.Lock()
		s.waves[row.Name] = w
		s.mu.Unlock()
	}
}

// applyConfig makes a configuration the current one unless a newer one is.
func (s *Source) applyConfig(value []byte, row uint64, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row <= s.rowVersion {
		return
	}
	c, err := s.options.Decoder.DecodeConfig(value)
	if err != nil {
		s.logger.Error("Configuration cannot be decoded.", "row", row, "error", err)
		return
	}
	if c.Version < s.current.Version {
		s.logger.Warn("Configuration is ignored because a newer one is in force.", "version", c.Version, "inForce", s.current.Version)
		return
	}
	s.current, s.value, s.rowVersion = c, value, row
	s.logger.Info("Configuration is in force.", "version", c.Version, "queues", len(c.Queues), "pools", len(c.Pools), "teams", len(c.Teams), "from", from)
}

// queryPeers queries peers for the configuration while the store does not reply to this process.
func (s *Source) queryPeers(ctx context.Context) {
	if s.Age() < queryPeersAfter || s.options.Peers == nil {
		return
	}
	s.mu.Lock()
	row := s.rowVersion
	s.mu.Unlock()
	sent := clock.Now()
	snapshot, ok := s.options.Peers.Latest(ctx, row)
	if !ok || snapshot.Version < row {
		return
	}
	s.applyConfig(snapshot.Value, snapshot.Version, "peer")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rowVersion >= snapshot.Version && s.current.Version > 0 {
		s.recordConfirmation(sent - snapshot.Age)
	}
}
